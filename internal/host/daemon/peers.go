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
	Membership                membership.Settings
	Ejection                  *ejection.Settings // nil: what members know of servers is not shared
}

// peersTable is [peers] in the file.
type peersTable struct {
	Fleet           string
	Name            string
	Listen          string
	Advertise       string
	Seeds           []string
	Zone            string
	Region          string
	Events          string
	ProbeInterval   tomlfile.Duration `toml:"every"`
	ProbeTimeout    tomlfile.Duration `toml:"direct"`
	IndirectTimeout tomlfile.Duration `toml:"indirect"`
	MinSuspicion    tomlfile.Duration `toml:"suspect_least"`
	ReconnectFor    tomlfile.Duration `toml:"retry"`
	BytesPerS       int               `toml:"bytes_per_s"`
	RemoteBytesPerS int               `toml:"far_bytes_per_s"`
	Members         int
	sharedPeers
}

// peers checks [peers]; nil where the file has none.
func (c *checker) peers(f *fileTables) *Peers {
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
		v := c.positiveDuration(at(field), d, instead)
		if v < least || v > most {
			c.fail(at(field), "%v: %v to %v are allowed", v, least, most)
		}
		return v
	}
	s := membership.Settings{Name: p.Name, Addr: p.Advertise, Zone: p.Zone, Region: p.Region, Seeds: p.Seeds, BytesPerSecond: in.BytesPerS, RemoteBytesPerSecond: in.RemoteBytesPerS, MaxMembers: in.Members,
		ProbeInterval:   limit("every", in.ProbeInterval, 20*time.Millisecond, 10*time.Second, membership.DefaultProbeInterval),
		ProbeTimeout:    limit("direct", in.ProbeTimeout, 5*time.Millisecond, 10*time.Second, membership.DefaultProbeTimeout),
		IndirectTimeout: limit("indirect", in.IndirectTimeout, 5*time.Millisecond, 10*time.Second, membership.DefaultIndirectTimeout),
		MinSuspicion:    limit("suspect_least", in.MinSuspicion, 100*time.Millisecond, 5*time.Minute, membership.DefaultMinSuspicion),
		ReconnectFor:    limit("retry", in.ReconnectFor, time.Minute, 30*24*time.Hour, membership.DefaultReconnectFor)}
	if in.BytesPerS < 0 || in.BytesPerS > 0 && in.BytesPerS < 4096 {
		c.fail(at("bytes_per_s"), "%d: at least 4096 are needed", in.BytesPerS)
	}
	if in.RemoteBytesPerS < 0 || in.RemoteBytesPerS > 0 && in.RemoteBytesPerS < 4096 {
		c.fail(at("far_bytes_per_s"), "%d: at least 4096 are needed", in.RemoteBytesPerS)
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
	p.Membership = s
	if !(in.MaxEjectedShare >= 0 && in.MaxEjectedShare <= 1) {
		c.fail(at("out_most"), "%v: a share from 0 to 1 is allowed", in.MaxEjectedShare)
	}
	age := limit("evidence_age", in.MaxEvidenceAge, 2*time.Second, 10*time.Minute, ejection.DefaultMaxEvidenceAge)
	if in.ShareEjections == nil || *in.ShareEjections {
		p.Ejection = &ejection.Settings{MaxEjectedShare: in.MaxEjectedShare, MaxEvidenceAge: age}
	}
	return p
}

// peering is the daemon's part in its fleet while it runs.
type peering struct {
	spec      *Peers
	transport *transport.Transport
	end       context.CancelFunc
	ended     chan struct{}
	events    io.Closer
	failures  int
}

// Restarts of a part that fails wait so long, twice as long each time, up to the most. Nothing else waits for it.
const (
	minPeeringBackoff  = time.Second
	maxPeeringBackoff  = time.Minute
	leaveTimeout       = 400 * time.Millisecond
	shareRetryInterval = 200 * time.Millisecond
)

// startPeering starts it, if the file asks for it. Whatever goes wrong is logged and tried again: the daemon serves without.
func (d *Daemon) startPeering(saved *transport.Saved, fails int) {
	if d.cfg.Peers == nil || d.peering != nil || d.handingOver || d.ctx.Err() != nil { // handing: the sockets are another's
		return
	}
	p, err := d.newPeering(saved)
	if err != nil {
		d.log.Error("fleet: this daemon stands alone for now", "error", err)
		d.retryPeering(fails + 1)
		return
	}
	p.failures = fails
	d.peering = p
	d.activePeering.Store(p)
	for _, part := range d.instances {
		if part.agent != nil {
			p.transport.AddAgent(part.number)
		}
	}
	d.watchLists()
	for name, h := range d.hubs {
		d.background.Go(func() { d.reportList(name, h) })
	}
	ctx, end := context.WithCancel(d.ctx)
	p.end = end
	started := d.now()
	d.background.Go(func() {
		err := p.transport.Run(ctx)
		if p.events != nil {
			_ = p.events.Close()
		}
		close(p.ended)
		d.post(func() {
			if d.peering != p {
				return // another has taken its place, or it was told to end
			}
			d.peering = nil
			d.activePeering.CompareAndSwap(p, nil)
			if err == nil || d.ctx.Err() != nil {
				return
			}
			d.log.Error("fleet: the part that keeps the view has failed; instances serve on", "error", err)
			d.saveHandoff()
			if d.now()-started > maxPeeringBackoff {
				p.failures = 0
			}
			d.retryPeering(p.failures + 1)
		})
	})
}

func (d *Daemon) retryPeering(fails int) {
	time.AfterFunc(min(maxPeeringBackoff, minPeeringBackoff<<min(fails-1, 10)), func() { d.post(func() { d.startPeering(nil, fails) }) })
}

func (d *Daemon) newPeering(saved *transport.Saved) (*peering, error) {
	spec := d.cfg.Peers
	takesOver := d.previous != nil && saved != nil && saved.TakesOver
	if d.cfg.Policy != nil && !takesOver {
		if err := d.reloadPolicy(); err != nil {
			return nil, err
		}
	}
	tcp, err := copyOf(d.listeners[Address{"tcp", spec.Listen}])
	if err != nil {
		return nil, err
	}
	udp, err := copyOfUDP(d.packetConns[spec.Listen])
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	p := &peering{spec: spec, ended: make(chan struct{})}
	o := transport.Options{Fleet: spec.Fleet, Membership: spec.Membership, UDP: udp, TCP: tcp.(*net.TCPListener), Dir: d.cfg.StateDir, Saved: saved, Log: d.log, WallSkew: d.options.WallSkew,
		Inject: d.options.PeerFault, SizeChanged: func(c membership.Size) {
			d.size.Store(&c)
			d.scheduleUpdate()
		}}
	o.Membership.Instances, o.Membership.Balancers = len(d.cfg.Instances), len(d.cfg.Instances)
	o.Membership.ConfiguredBalancers, o.Membership.Program = d.cfg.Balancers, d.options.Program
	if spec.Ejection != nil {
		o.Ejection, o.EjectionsChanged, o.Previous = spec.Ejection, d.ejectionsChanged, d.previous
	}
	if l := d.cfg.Limits; l != nil {
		o.Leases, o.LeasesGranted, o.Previous = &l.Settings, d.leasesGranted, d.previous
	}
	if d.cfg.Policy != nil {
		o.NewPolicyDriver = d.newPolicyDriver
		if takesOver {
			o.PolicyDriver, o.Previous = d.previous.PolicyDriver(), d.previous // its times go on by the same clock
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
	if p.transport, err = transport.New(o); err != nil {
		_, _ = tcp.Close(), udp.Close()
		if p.events != nil {
			_ = p.events.Close()
		}
		return nil, err
	}
	return p, nil
}

// scheduleUpdate has Run tell the instances what is for them. It does not wait.
func (d *Daemon) scheduleUpdate() {
	select {
	case d.sizeChanged <- struct{}{}:
	default:
	}
}

// updateInstances tells the instances which servers are out by hand, how many share the servers, and the limits. One that is too
// busy to hear of it is told again.
func (d *Daemon) updateInstances() {
	c := d.size.Load()
	again := false
	for _, p := range d.instances {
		again = !d.applyBans(p) || again
		if c == nil || d.cfg.Peers == nil {
			continue
		}
		if p.agent != nil && !p.agent.Share(c.MaxBalancers, min(c.MinBalancers, c.MaxBalancers)) {
			again = true
		}
		again = !d.applyLimits(p) || again
	}
	if again {
		time.AfterFunc(shareRetryInterval, d.scheduleUpdate)
	}
}

// updatePeering follows a change of the file: the same member goes on with other settings, or it leaves and another comes.
func (d *Daemon) updatePeering(was *Peers, wasLimits *Limits) {
	now := d.cfg.Peers
	p := d.peering
	if p == nil {
		d.startPeering(nil, 0)
		return
	}
	if reflect.DeepEqual(was, now) && reflect.DeepEqual(wasLimits, d.cfg.Limits) {
		p.transport.SetLocalInfo(membership.LocalInfo{Instances: len(d.cfg.Instances), Balancers: len(d.cfg.Instances)})
		return
	}
	d.peering = nil
	d.activePeering.Store(nil)
	d.background.Go(func() {
		var saved *transport.Saved
		if now != nil && now.Fleet == was.Fleet && now.Name == was.Name && now.Advertise == was.Advertise {
			saved = p.transport.Freeze()
		} else {
			p.transport.Leave(leaveTimeout)
		}
		p.end()
		<-p.ended
		d.post(func() {
			if saved != nil {
				d.previous = p.transport
			} else {
				d.saveHandoff()
			}
			d.startPeering(saved, 0)
			d.previous = nil
		})
	})
	if now == nil || now.Ejection == nil { // each goes by its own evidence
		d.ejectionsChanged(nil, d.startedAt)
	}
	if now == nil { // back to the file's figure
		d.size.Store(nil)
		for _, p := range d.instances {
			if p.agent != nil {
				p.agent.Share(d.cfg.Balancers, d.cfg.Balancers)
			}
		}
	}
}

// openPackets opens the socket for datagrams that a configuration names, if it is not open yet.
func (d *Daemon) openPackets(cfg *Config) (opened string, err error) {
	if cfg.Peers == nil || d.packetConns[cfg.Peers.Listen] != nil {
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
	d.packetConns[cfg.Peers.Listen] = u
	return cfg.Peers.Listen, nil
}

// dropPackets closes what the configuration no longer names.
func (d *Daemon) dropPackets() {
	for a, u := range d.packetConns {
		if d.cfg.Peers == nil || d.cfg.Peers.Listen != a {
			_ = u.Close()
			delete(d.packetConns, a)
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

// MembershipStatus is how the daemon sees its fleet; ok is false where it stands alone, or its view does not answer.
func (d *Daemon) MembershipStatus() (s transport.MembershipStatus, ok bool) {
	var p *peering
	d.call(func() { p = d.peering })
	if p == nil {
		return s, false
	}
	return p.transport.MembershipStatus()
}

// ForgetMember passes on an operator's word that a dead member has gone for good.
func (d *Daemon) ForgetMember(name string) error {
	var p *peering
	d.call(func() { p = d.peering })
	if p == nil {
		return fmt.Errorf("this daemon has no view of a fleet: [peers] is not in its file, or is being started")
	}
	switch was, known := p.transport.Forget(name); {
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
