package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"reflect"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
)

// peering is the daemon's part in its fleet while it runs.
type peering struct {
	spec      *daemonconfig.Peers
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
	tcp, err := copyOf(d.listeners[daemonconfig.Address{Network: "tcp", Addr: spec.Listen}])
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
		if p.agent != nil && !p.agent.SetFleetSize(c.MaxBalancers, min(c.MinBalancers, c.MaxBalancers)) {
			again = true
		}
		again = !d.applyLimits(p) || again
	}
	if again {
		time.AfterFunc(shareRetryInterval, d.scheduleUpdate)
	}
}

// updatePeering follows a change of the file: the same member goes on with other settings, or it leaves and another comes.
func (d *Daemon) updatePeering(was *daemonconfig.Peers, wasLimits *daemonconfig.Limits) {
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
				p.agent.SetFleetSize(d.cfg.Balancers, d.cfg.Balancers)
			}
		}
	}
}

// openPackets opens the socket for datagrams that a configuration names, if it is not open yet.
func (d *Daemon) openPackets(cfg *daemonconfig.Config) (opened string, err error) {
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
