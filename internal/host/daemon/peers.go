package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/tomlfile"
)

// Peers are how the daemon stands among others; nil: it stands alone.
type Peers struct {
	Fleet, Name, Zone, Region string
	Listen                    string // udp and tcp
	Advertise                 string
	Seeds                     []string
	Events                    string // a file; empty: none
	View                      membership.Settings
	Verdicts                  *ejection.Settings // nil: what members know of servers is not shared
}

// peers is [peers] in the file.
type peers struct {
	Fleet        string
	Name         string
	Listen       string
	Advertise    string
	Seeds        []string
	Zone         string
	Region       string
	Events       string
	Every        tomlfile.Duration
	Direct       tomlfile.Duration
	Indirect     tomlfile.Duration
	SuspectLeast tomlfile.Duration `toml:"suspect_least"`
	Retry        tomlfile.Duration
	BytesPerS    int `toml:"bytes_per_s"`
	FarBytesPerS int `toml:"far_bytes_per_s"`
	Members      int
	sharedPeers
}

// peers checks [peers]; nil where the file has none.
func (c *checker) peers(f *file) *Peers {
	if f.Peers == nil {
		return nil
	}
	in := f.Peers
	at := func(field string) string { return "peers." + field }
	p := &Peers{Fleet: in.Fleet, Name: in.Name, Zone: in.Zone, Region: in.Region, Listen: in.Listen, Advertise: in.Advertise, Seeds: in.Seeds, Events: in.Events}
	if !membership.ValidFleet(p.Fleet) {
		c.fail(at("fleet"), "%q: 1 to 32 printable characters without spaces are allowed", p.Fleet)
	}
	if p.Advertise == "" {
		p.Advertise = p.Listen
	}
	for _, a := range []struct {
		field, addr string
	}{{"listen", p.Listen}, {"advertise", p.Advertise}} {
		c.hostPort(at(a.field), a.addr)
	}
	if a, err := netip.ParseAddrPort(p.Advertise); err == nil && a.Addr().IsUnspecified() {
		c.fail(at("advertise"), "%q: others need an address at which they reach this daemon", p.Advertise)
	}
	for i, s := range p.Seeds {
		c.hostPort(fmt.Sprintf("peers.seeds[%d]", i), s)
	}
	if p.Events != "" && !filepath.IsAbs(p.Events) {
		p.Events = filepath.Join(filepath.Dir(c.Path), p.Events)
	}
	limit := func(field string, d tomlfile.Duration, least, most, instead time.Duration) time.Duration {
		v := c.span(at(field), d, instead)
		if v < least || v > most {
			c.fail(at(field), "%v: %v to %v are allowed", v, least, most)
		}
		return v
	}
	s := membership.Settings{Name: p.Name, Addr: p.Advertise, Zone: p.Zone, Region: p.Region, Seeds: p.Seeds, BytesPerSecond: in.BytesPerS, RemoteBytesPerSecond: in.FarBytesPerS, MaxMembers: in.Members,
		ProbeInterval:   limit("every", in.Every, 20*time.Millisecond, 10*time.Second, membership.DefaultProbeInterval),
		ProbeTimeout:    limit("direct", in.Direct, 5*time.Millisecond, 10*time.Second, membership.DefaultProbeTimeout),
		IndirectTimeout: limit("indirect", in.Indirect, 5*time.Millisecond, 10*time.Second, membership.DefaultIndirectTimeout),
		MinSuspicion:    limit("suspect_least", in.SuspectLeast, 100*time.Millisecond, 5*time.Minute, membership.DefaultMinSuspicion),
		ReconnectFor:    limit("retry", in.Retry, time.Minute, 30*24*time.Hour, membership.DefaultReconnectFor)}
	if in.BytesPerS < 0 || in.BytesPerS > 0 && in.BytesPerS < 4096 {
		c.fail(at("bytes_per_s"), "%d: at least 4096 are needed", in.BytesPerS)
	}
	if in.FarBytesPerS < 0 || in.FarBytesPerS > 0 && in.FarBytesPerS < 4096 {
		c.fail(at("far_bytes_per_s"), "%d: at least 4096 are needed", in.FarBytesPerS)
	}
	if in.Members < 0 || in.Members > 100_000 {
		c.fail(at("members"), "%d: up to 100000 are allowed", in.Members)
	}
	if c.err == nil {
		probe := s
		probe.Boot, probe.RunID = 1, 1
		if _, err := membership.New(probe, 1); err != nil { // a name, a zone
			c.fail(at("name"), "%v", err)
		}
	}
	p.View = s
	if !(in.OutMost >= 0 && in.OutMost <= 1) {
		c.fail(at("out_most"), "%v: a share from 0 to 1 is allowed", in.OutMost)
	}
	age := limit("evidence_age", in.EvidenceAge, 2*time.Second, 10*time.Minute, ejection.DefaultMaxEvidenceAge)
	if in.Verdicts == nil || *in.Verdicts {
		p.Verdicts = &ejection.Settings{MaxEjectedShare: in.OutMost, MaxEvidenceAge: age}
	}
	return p
}

// peering is the daemon's part in its fleet while it runs.
type peering struct {
	spec    *Peers
	carrier *transport.Transport
	end     context.CancelFunc
	ended   chan struct{}
	events  io.Closer
	fails   int
}

// Restarts of a part that fails wait so long, twice as long each time, up to the most. Nothing else waits for it.
const (
	peersFirst = time.Second
	peersMost  = time.Minute
	leaveWait  = 400 * time.Millisecond
	shareAgain = 200 * time.Millisecond
)

// meet starts it, if the file asks for it. Whatever goes wrong is logged and tried again: the daemon serves without.
func (d *Daemon) meet(saved *transport.Saved, fails int) {
	if d.cfg.Peers == nil || d.peering != nil || d.handing || d.stop.Err() != nil { // handing: the sockets are another's
		return
	}
	p, err := d.newPeering(saved)
	if err != nil {
		d.log.Error("fleet: this daemon stands alone for now", "error", err)
		d.meetLater(fails + 1)
		return
	}
	p.fails = fails
	d.peering = p
	d.sharing.Store(p)
	for _, part := range d.parts {
		if part.agent != nil {
			p.carrier.AddAgent(part.number)
		}
	}
	d.watchLists()
	for name, h := range d.hubs {
		d.others.Go(func() { d.listed(name, h) })
	}
	ctx, end := context.WithCancel(d.stop)
	p.end = end
	started := d.now()
	d.others.Go(func() {
		err := p.carrier.Run(ctx)
		if p.events != nil {
			_ = p.events.Close()
		}
		close(p.ended)
		d.later(func() {
			if d.peering != p {
				return // another has taken its place, or it was told to end
			}
			d.peering = nil
			d.sharing.CompareAndSwap(p, nil)
			if err == nil || d.stop.Err() != nil {
				return
			}
			d.log.Error("fleet: the part that keeps the view has failed; instances serve on", "error", err)
			d.handOn()
			if d.now()-started > peersMost {
				p.fails = 0
			}
			d.meetLater(p.fails + 1)
		})
	})
}

func (d *Daemon) meetLater(fails int) {
	time.AfterFunc(min(peersMost, peersFirst<<min(fails-1, 10)), func() { d.later(func() { d.meet(nil, fails) }) })
}

func (d *Daemon) newPeering(saved *transport.Saved) (*peering, error) {
	spec := d.cfg.Peers
	takesOver := d.before != nil && saved != nil && saved.TakesOver
	if d.cfg.Policy != nil && !takesOver {
		if err := d.readPolicy(); err != nil {
			return nil, err
		}
	}
	tcp, err := copyOf(d.sockets[Address{"tcp", spec.Listen}])
	if err != nil {
		return nil, err
	}
	udp, err := copyOfUDP(d.packets[spec.Listen])
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	p := &peering{spec: spec, ended: make(chan struct{})}
	o := transport.Options{Fleet: spec.Fleet, Membership: spec.View, UDP: udp, TCP: tcp.(*net.TCPListener), Dir: d.cfg.StateDir, Saved: saved, Log: d.log, WallSkew: d.o.ClockOff,
		Inject: d.o.PeerFault, SizeChanged: func(c membership.Size) {
			d.count.Store(&c)
			d.shareSoon()
		}}
	o.Membership.Instances, o.Membership.Balancers = len(d.cfg.Instances), len(d.cfg.Instances)
	o.Membership.ConfiguredBalancers, o.Membership.Program = d.cfg.Balancers, d.o.Program
	if spec.Verdicts != nil {
		o.Ejection, o.EjectionsChanged, o.Previous = spec.Verdicts, d.judged, d.before
	}
	if l := d.cfg.Limits; l != nil {
		o.Leases, o.LeasesGranted, o.Previous = &l.Settings, d.lend, d.before
	}
	if d.cfg.Policy != nil {
		o.NewPolicyDriver = d.newAgreement
		if takesOver {
			o.PolicyDriver, o.Previous = d.before.PolicyDriver(), d.before // its times go on by the same clock
		}
	}
	if spec.Events != "" {
		f, err := os.OpenFile(spec.Events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			d.log.Error("fleet: events are not written", "error", err)
		} else {
			o.Events, p.events = f, f
		}
	}
	if p.carrier, err = transport.New(o); err != nil {
		_, _ = tcp.Close(), udp.Close()
		if p.events != nil {
			_ = p.events.Close()
		}
		return nil, err
	}
	return p, nil
}

// shareSoon has Run tell the instances what is for them. It does not wait.
func (d *Daemon) shareSoon() {
	select {
	case d.counted <- struct{}{}:
	default:
	}
}

// share tells the instances which servers are out by hand, how many share the servers, and the limits. One that is too
// busy to hear of it is told again.
func (d *Daemon) share() {
	c := d.count.Load()
	again := false
	for _, p := range d.parts {
		again = !d.ban(p) || again
		if c == nil || d.cfg.Peers == nil {
			continue
		}
		if p.agent != nil && !p.agent.SetFleetSize(c.MaxBalancers, min(c.MinBalancers, c.MaxBalancers)) {
			again = true
		}
		again = !d.limit(p) || again
	}
	if again {
		time.AfterFunc(shareAgain, d.shareSoon)
	}
}

// remeet follows a change of the file: the same member goes on with other settings, or it leaves and another comes.
func (d *Daemon) remeet(was *Peers, wasLimits *Limits) {
	now := d.cfg.Peers
	p := d.peering
	if p == nil {
		d.meet(nil, 0)
		return
	}
	if reflect.DeepEqual(was, now) && reflect.DeepEqual(wasLimits, d.cfg.Limits) {
		p.carrier.SetLocalInfo(membership.LocalInfo{Instances: len(d.cfg.Instances), Balancers: len(d.cfg.Instances)})
		return
	}
	d.peering = nil
	d.sharing.Store(nil)
	d.others.Go(func() {
		var saved *transport.Saved
		if now != nil && now.Fleet == was.Fleet && now.Name == was.Name && now.Advertise == was.Advertise {
			saved = p.carrier.Freeze()
		} else {
			p.carrier.Leave(leaveWait)
		}
		p.end()
		<-p.ended
		d.later(func() {
			if saved != nil {
				d.before = p.carrier
			} else {
				d.handOn()
			}
			d.meet(saved, 0)
			d.before = nil
		})
	})
	if now == nil || now.Verdicts == nil { // each goes by its own evidence
		d.judged(nil, d.base)
	}
	if now == nil { // back to the file's figure
		d.count.Store(nil)
		for _, p := range d.parts {
			if p.agent != nil {
				p.agent.SetFleetSize(d.cfg.Balancers, d.cfg.Balancers)
			}
		}
	}
}

// openPackets opens the socket for datagrams that a configuration names, if it is not open yet.
func (d *Daemon) openPackets(cfg *Config) (opened string, err error) {
	if cfg.Peers == nil || d.packets[cfg.Peers.Listen] != nil {
		return "", nil
	}
	a, err := netip.ParseAddrPort(cfg.Peers.Listen)
	if err != nil {
		return "", err
	}
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return "", fmt.Errorf("listen udp:%s: %w", cfg.Peers.Listen, err)
	}
	d.packets[cfg.Peers.Listen] = u
	return cfg.Peers.Listen, nil
}

// dropPackets closes what the configuration no longer names.
func (d *Daemon) dropPackets() {
	for a, u := range d.packets {
		if d.cfg.Peers == nil || d.cfg.Peers.Listen != a {
			_ = u.Close()
			delete(d.packets, a)
		}
	}
}

func copyOfUDP(u *net.UDPConn) (*net.UDPConn, error) {
	if u == nil {
		return nil, fmt.Errorf("the socket for datagrams is not open")
	}
	f, err := fileOf(u, u.LocalAddr().String())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

// View is how the daemon sees its fleet; ok is false where it stands alone, or its view does not answer.
func (d *Daemon) View() (s transport.MembershipStatus, ok bool) {
	var p *peering
	d.do(func() { p = d.peering })
	if p == nil {
		return s, false
	}
	return p.carrier.MembershipStatus()
}

// Forget passes on an operator's word that a dead member has gone for good.
func (d *Daemon) Forget(name string) error {
	var p *peering
	d.do(func() { p = d.peering })
	if p == nil {
		return fmt.Errorf("this daemon has no view of a fleet: [peers] is not in its file, or is being started")
	}
	switch was, known := p.carrier.Forget(name); {
	case !known:
		return fmt.Errorf("%q is not known", name)
	case was != membership.Dead:
		return fmt.Errorf("%q is %v: only one that is dead can be forgotten", name, was)
	}
	return nil
}

// peerAddress is where it listens for exchanges.
func (cfg *Config) peerAddress() []Address {
	if cfg.Peers == nil {
		return nil
	}
	return []Address{{"tcp", cfg.Peers.Listen}}
}
