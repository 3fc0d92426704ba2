package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
)

// peering is the daemon's membership in its fleet while the membership runs. Run's goroutine owns it. The transport
// has goroutines of its own.
type peering struct {
	spec      *daemonconfig.Peers
	transport *transport.Transport
	stop      context.CancelFunc
	ended     chan struct{}
	events    io.Closer // the event log; nil: events are not written
	failures  int       // consecutive failures before this start
}

const (
	// minPeeringBackoff is the time before a peering that has failed is started again. It doubles with each failure.
	// Instances go on serving meanwhile.
	minPeeringBackoff = time.Second
	// maxPeeringBackoff bounds the backoff. After a peering that ran for longer than this, the backoff is
	// minPeeringBackoff again.
	maxPeeringBackoff = time.Minute
	// maxBackoffDoublings keeps the shift from overflowing.
	maxBackoffDoublings = 10
	// leaveTimeout is how long a member that leaves may take to notify the others. A longer timeout delays the
	// daemon's end.
	leaveTimeout = 400 * time.Millisecond
	// busyRetryInterval is the time before limits, ejections and bans are passed again to an instance that was too
	// busy to take them.
	busyRetryInterval = 200 * time.Millisecond
)

// startPeering starts the peering, if the file has [peers] and no peering runs. saved is the state of the last one,
// and may be nil. A failure is logged and retried, and the daemon serves without a peering meanwhile. failures is the
// number of consecutive failures before this start.
func (d *Daemon) startPeering(saved *transport.Saved, failures int) {
	// During a handover the sockets belong to the successor.
	if d.cfg.Peers == nil || d.peering != nil || d.handingOver || d.ctx.Err() != nil {
		return
	}
	p, err := d.newPeering(saved)
	if err != nil {
		d.log.Error("fleet: peering not started; this daemon serves without it and retries", "error", err)
		d.retryPeering(failures + 1)
		return
	}
	p.failures = failures
	d.peering = p
	d.activePeering.Store(p)
	for _, instance := range d.instances {
		if instance.agent != nil {
			p.transport.AddAgent(instance.number)
		}
	}
	d.watchLists()
	for name, h := range d.hubs {
		d.background.Go(func() { d.reportList(name, h) })
	}
	ctx, stop := context.WithCancel(d.ctx)
	p.stop = stop
	startedAt := d.now()
	d.background.Go(func() {
		err := p.transport.Run(ctx)
		p.closeEvents()
		close(p.ended)
		d.post(func() { d.peeringEnded(p, startedAt, err) })
	})
}

// peeringEnded handles the end of a peering, and schedules another start if the peering has failed.
func (d *Daemon) peeringEnded(p *peering, startedAt time.Duration, err error) {
	if d.peering != p {
		return // the peering was replaced or stopped
	}
	d.peering = nil
	d.activePeering.CompareAndSwap(p, nil)
	if err == nil || d.ctx.Err() != nil {
		return
	}
	d.log.Error("fleet: membership and its transport have failed; they are started again, and instances go on serving", "error", err)
	d.saveHandoff()
	if d.now()-startedAt > maxPeeringBackoff {
		p.failures = 0
	}
	d.retryPeering(p.failures + 1)
}

func (d *Daemon) retryPeering(failures int) {
	backoff := min(maxPeeringBackoff, minPeeringBackoff<<min(failures-1, maxBackoffDoublings))
	time.AfterFunc(backoff, func() {
		d.post(func() { d.startPeering(nil, failures) })
	})
}

// newPeering makes a peering that does not run yet.
func (d *Daemon) newPeering(saved *transport.Saved) (*peering, error) {
	spec := d.cfg.Peers
	takesOver := d.previous != nil && saved != nil && saved.TakesOver
	if d.cfg.Policy != nil && !takesOver {
		if err := d.reloadPolicy(); err != nil {
			return nil, err
		}
	}
	tcp, udp, err := d.copyPeerSockets(spec.Listen)
	if err != nil {
		return nil, err
	}
	options := d.transportOptions(takesOver)
	options.TCP = tcp
	options.UDP = udp
	options.Saved = saved
	p := &peering{spec: spec, ended: make(chan struct{})}
	if spec.Events != "" {
		file, err := os.OpenFile(spec.Events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			d.log.Error("fleet: events are not written, since their file can't be opened", "error", err)
		} else {
			options.Events = file
			p.events = file
		}
	}
	p.transport, err = transport.New(options)
	if err != nil {
		_ = tcp.Close()
		_ = udp.Close()
		p.closeEvents()
		return nil, err
	}
	return p, nil
}

func (p *peering) closeEvents() {
	if p.events != nil {
		_ = p.events.Close()
	}
}

// copyPeerSockets returns copies of the stream and datagram sockets of an address.
func (d *Daemon) copyPeerSockets(listen string) (*net.TCPListener, *net.UDPConn, error) {
	tcp, err := copyOf(d.listeners[daemonconfig.Address{Network: "tcp", Addr: listen}])
	if err != nil {
		return nil, nil, err
	}
	udp, err := copyOfUDP(d.packetConns[listen])
	if err != nil {
		_ = tcp.Close()
		return nil, nil, err
	}
	return tcp.(*net.TCPListener), udp, nil
}

// transportOptions returns the transport's options that follow from the configuration. If takesOver is true, the new
// transport continues as the member of the previous transport in this process.
func (d *Daemon) transportOptions(takesOver bool) transport.Options {
	spec := d.cfg.Peers
	o := transport.Options{
		Fleet:       spec.Fleet,
		Membership:  spec.Membership,
		Dir:         d.cfg.StateDir,
		Log:         d.log,
		WallSkew:    d.options.WallSkew,
		Inject:      d.options.PeerFault,
		SizeChanged: d.fleetSizeChanged,
	}
	o.Membership.Instances = len(d.cfg.Instances)
	o.Membership.Balancers = len(d.cfg.Instances)
	o.Membership.ConfiguredBalancers = d.cfg.Balancers
	o.Membership.Version = d.options.Version
	if spec.Ejection != nil {
		o.Ejection = spec.Ejection
		o.EjectionsChanged = d.ejectionsChanged
		o.Previous = d.previous
	}
	if limits := d.cfg.Limits; limits != nil {
		o.Leases = &limits.Settings
		o.LeasesGranted = d.leasesGranted
		o.Previous = d.previous
	}
	if d.cfg.Policy != nil {
		o.NewPolicyDriver = d.newPolicyDriver
		if takesOver {
			o.PolicyDriver = d.previous.PolicyDriver()
			o.Previous = d.previous // the policy driver's times keep the same clock
		}
	}
	return o
}

// fleetSizeChanged stores the number of agents in the fleet, and schedules an update of the instances. The transport's
// goroutine calls it, and it does not block.
func (d *Daemon) fleetSizeChanged(size membership.BalancerCount) {
	d.size.Store(&size)
	d.scheduleUpdate()
}

// scheduleUpdate makes Run's goroutine call updateInstances. It does not block.
func (d *Daemon) scheduleUpdate() { signal(d.sizeChanged) }

// updateInstances passes the instances their bans, the size of the fleet, and the shared limits. If an instance was
// too busy to take them, it tries again later.
func (d *Daemon) updateInstances() {
	size := d.size.Load()
	retry := false
	for _, instance := range d.instances {
		if !d.applyBans(instance) {
			retry = true
		}
		if size == nil || d.cfg.Peers == nil {
			continue
		}
		if instance.agent != nil && !instance.agent.SetFleetSize(size.MaxBalancers, min(size.MinBalancers, size.MaxBalancers)) {
			retry = true
		}
		if !d.applyLimits(instance) {
			retry = true
		}
	}
	if retry {
		time.AfterFunc(busyRetryInterval, d.scheduleUpdate)
	}
}

// updatePeering adapts the peering to a change of the configuration: the same member continues with other settings, or
// the old member leaves and another one joins.
func (d *Daemon) updatePeering(oldPeers *daemonconfig.Peers, oldLimits *daemonconfig.Limits) {
	peers := d.cfg.Peers
	p := d.peering
	if p == nil {
		d.startPeering(nil, 0)
		return
	}
	if reflect.DeepEqual(oldPeers, peers) && reflect.DeepEqual(oldLimits, d.cfg.Limits) {
		p.transport.SetLocalInfo(membership.LocalInfo{Instances: len(d.cfg.Instances), Balancers: len(d.cfg.Instances)})
		return
	}
	d.peering = nil
	d.activePeering.Store(nil)
	isSameMember := peers != nil && peers.Fleet == oldPeers.Fleet && peers.Name == oldPeers.Name && peers.Advertise == oldPeers.Advertise
	d.background.Go(func() { d.restartPeering(p, isSameMember) })
	if peers == nil || peers.Ejection == nil { // the daemon uses only its own evidence from now on
		d.ejectionsChanged(nil, d.startedAt)
	}
	if peers == nil {
		d.resetFleetSize()
	}
}

// restartPeering ends a peering and starts another one with the current configuration.
func (d *Daemon) restartPeering(p *peering, isSameMember bool) {
	var saved *transport.Saved
	if isSameMember {
		saved = p.transport.Suspend()
	} else {
		p.transport.Leave(leaveTimeout)
	}
	p.stop()
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
}

// resetFleetSize makes the instances use the file's number of balancers.
func (d *Daemon) resetFleetSize() {
	d.size.Store(nil)
	for _, instance := range d.instances {
		if instance.agent != nil {
			instance.agent.SetFleetSize(d.cfg.Balancers, d.cfg.Balancers)
		}
	}
}

// currentPeering returns the daemon's peering, or nil if there is none.
func (d *Daemon) currentPeering() (p *peering) {
	d.call(func() { p = d.peering })
	return p
}

// MembershipStatus returns the daemon's view of its fleet. ok is false if the daemon has no peering, or its transport
// does not respond.
func (d *Daemon) MembershipStatus() (s transport.MembershipStatus, ok bool) {
	p := d.currentPeering()
	if p == nil {
		return s, false
	}
	return p.transport.MembershipStatus()
}

// ForgetMember passes on an operator's decision that a dead member will not come back.
func (d *Daemon) ForgetMember(name string) error {
	p := d.currentPeering()
	if p == nil {
		return errNoMembership
	}
	state, known := p.transport.Forget(name)
	if !known {
		return fmt.Errorf("%q is not known", name)
	}
	if state != membership.Dead {
		return fmt.Errorf("%q is %v: only one that is dead can be forgotten", name, state)
	}
	return nil
}
