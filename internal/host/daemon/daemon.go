// Package daemon hosts many agent instances in one process. It keeps each of them running, changes them under load when the
// file or the fleet's policy changes, hands its sockets over to a successor, and comes back from its last snapshot.
// Instances share no decisions: each has its own balancer, token bucket, endpoint list and limits. They share what is
// stated: one reading of each endpoint list, and the process's sockets and memory by weight.
//
// # State and ownership
//
// Run's goroutine owns a Daemon's state; other goroutines pass it functions by call and post. What the goroutine of the
// transport (internal/peer/transport) and the instances' loops need is in atomic values and sync.Maps. The admin endpoint's
// handlers run in goroutines of their own and go through call, or through the transport.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/source/discovery"
)

// Options are what a daemon is started with.
type Options struct {
	Config  *daemonconfig.Config
	Log     *slog.Logger
	Inherit map[daemonconfig.Address]*os.File // sockets of the daemon before, listening already
	State   []byte                            // its last state, if it hands over; else the state directory is read
	// Ready is called once every instance runs and has a list, or has waited long enough for one.
	Ready func()
	// Upgrade starts a successor with these sockets and this state, and returns when it is ready; nil:
	// this daemon can't hand over.
	Upgrade func(ctx context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error
	// Fault may make an instance panic: tests do.
	Fault func(name string) func(core.Totals)
	// PeerFault is called in each step of the view of the fleet, and may make it panic: tests do.
	PeerFault func()
	Program   string        // its version, told to peers
	WallSkew  time.Duration // a drill's: by which the wall clock is off
}

// Daemon is a fleet of instances. One goroutine, Run's, owns all of it.
type Daemon struct {
	options         Options
	cfg             *daemonconfig.Config
	log             *slog.Logger
	startedAt       time.Time
	calls           chan func() // for Run's goroutine
	done            chan struct{}
	listeners       map[daemonconfig.Address]net.Listener // nobody accepts on these: instances do, on copies
	packetConns     map[string]*net.UDPConn               // for peers, by address; nobody reads from these
	peering         *peering                              // nil: the daemon stands alone, or this is being started
	savedPeers      *transport.Saved                      // from the daemon before
	size            atomic.Pointer[membership.Size]
	previous        *transport.Transport    // while another takes its place in this process
	activePeering   atomic.Pointer[peering] // the peering, for instances' loops
	agents          sync.Map                // hosted by number, for the carrier's loop
	replaced        sync.Map                // agents that are being replaced under another policy
	ejections       atomic.Pointer[ejectionSet]
	lastAgentNumber atomic.Uint32
	sizeChanged     chan struct{} // the count has changed
	servingUpdated  chan struct{} // there is a new word on what to serve by
	policy          policyState
	heldParts       atomic.Pointer[[]string]     // the parts of the policy that it is to hold
	serving         atomic.Pointer[servingState] // nil: no policy is agreed on
	ownFile         atomic.Pointer[ownFile]      // the daemon's own file
	policyLease     time.Duration
	hubs            map[string]*hub
	instances       map[string]*hostedInstance
	supervisor      *supervise.Supervisor
	snapshots       *snapshotStore
	memories        map[string]*core.Memory // from the last state
	savedLists      map[string]*discovery.Members
	running         sync.WaitGroup // instances, draining ones too
	background      sync.WaitGroup
	ctx             context.Context
	reloads         int
	handingOver     bool
	rng             *rand.Rand
}

// readyTimeout is how long a start waits for lists: the list service may be down, and the saved one, or
// none, serves then.
const readyTimeout = 5 * time.Second

// New opens what a daemon needs: sockets, inherited or new, and its last state. Nothing runs yet.
func New(o Options) (*Daemon, error) {
	d := &Daemon{options: o, cfg: o.Config, log: o.Log, startedAt: time.Now(), calls: make(chan func(), 64), done: make(chan struct{}),
		listeners: map[daemonconfig.Address]net.Listener{}, packetConns: map[string]*net.UDPConn{}, sizeChanged: make(chan struct{}, 1), servingUpdated: make(chan struct{}, 1), hubs: map[string]*hub{}, instances: map[string]*hostedInstance{},
		memories: map[string]*core.Memory{}, savedLists: map[string]*discovery.Members{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	d.supervisor = supervise.New(o.Config.Supervise, d.rng.Uint64())
	d.snapshots = newSnapshotStore(o.Config.StateDir, o.Log)
	d.restoreSnapshot()
	d.ownFile.Store(&ownFile{d.cfg.Path, d.cfg.Text()})
	if d.cfg.Policy != nil {
		d.policyLease = d.cfg.Policy.Lease
	}
	d.openPolicy()
	for a, f := range o.Inherit {
		if a.Network == "udp" {
			u, err := net.FilePacketConn(f)
			if err != nil {
				d.closeSockets()
				return nil, fmt.Errorf("inherited socket %s: %w", a, err)
			}
			_ = f.Close()
			d.packetConns[a.Addr] = u.(*net.UDPConn)
			continue
		}
		ln, err := net.FileListener(f)
		if err != nil {
			d.closeSockets()
			return nil, fmt.Errorf("inherited socket %s: %w", a, err)
		}
		_ = f.Close()
		d.listeners[a] = ln
	}
	if _, err := d.listen(d.cfg); err != nil {
		d.closeSockets()
		return nil, err
	}
	return d, nil
}

// restoreSnapshot takes over the last state, as far as it may be believed.
func (d *Daemon) restoreSnapshot() {
	data, from := d.options.State, "the daemon before"
	saved := data == nil
	if saved {
		if data, from = d.snapshots.read(); data == nil {
			return
		}
	}
	s, err := snapshot.Decode(data, now(), d.cfg.MaxStateAge)
	if err != nil {
		d.log.Warn("the last state is not used", "from", from, "error", err)
		return
	}
	if saved {
		s.DropTransient()
	}
	if !saved && len(s.Peers) > 0 {
		if d.savedPeers, err = transport.DecodeSaved(s.Peers); err != nil {
			d.log.Warn("the view of the fleet is not taken over", "error", err)
		} else if d.savedPeers.Policy != nil {
			h := *d.savedPeers.Policy
			h.LeaseRemaining -= time.Duration(transport.MonotonicNanos() - d.savedPeers.PolicyNanos) // since the process before said so
			d.policy.handoff = &h
		}
	}
	for list, m := range s.Sources {
		d.savedLists[list] = m
	}
	for name, m := range s.Instances {
		if m != nil {
			d.memories[name] = m
		}
	}
	d.log.Info("last state", "from", from, "lists", len(s.Sources), "instances", len(s.Instances),
		"saved", time.UnixMilli(s.SavedMS).Format(time.RFC3339))
}

// now is the daemon's monotonic time.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// call has f run on Run's goroutine, and waits. It reports false where the daemon has ended.
func (d *Daemon) call(f func()) bool {
	ran := make(chan struct{})
	select {
	case d.calls <- func() { f(); close(ran) }:
	case <-d.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-d.done:
		return false
	}
}

// post has f run on Run's goroutine, without waiting.
func (d *Daemon) post(f func()) {
	select {
	case d.calls <- f:
	case <-d.done:
	}
}

// Run serves until stop ends, or until a successor has taken over; then everything taken is
// answered.
func (d *Daemon) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	admin := d.serveAdmin(d.listeners[d.cfg.Admin])
	d.followSources(d.cfg)
	var names []string
	for _, i := range d.cfg.Instances {
		d.instances[i.Name] = &hostedInstance{spec: i}
		names = append(names, i.Name)
	}
	for _, n := range names {
		d.start(n)
	}
	d.startPeering(d.savedPeers, 0)
	d.background.Go(func() { d.awaitReady(ctx) })
	d.background.Go(func() { d.snapshots.Run(ctx.Done()) })
	if s := d.policy.store; s != nil {
		d.background.Go(func() { s.Run(ctx.Done()) })
		defer s.Close()
	}
	save := time.NewTicker(saveInterval)
	defer save.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	handed := false
	for !handed && stop.Err() == nil {
		if at, any := d.supervisor.NextAt(); any {
			wake.Reset(max(0, at-d.now()))
		} else {
			wake.Stop()
		}
		select {
		case f := <-d.calls:
			f()
		case <-wake.C:
			d.supervise()
		case <-save.C:
			d.save()
		case <-d.sizeChanged:
			d.updateInstances()
		case <-d.servingUpdated:
			d.switchPolicy()
		case <-stop.Done():
		}
		handed = d.handingOver && d.options.Upgrade == nil
	}
	d.log.Info("stopping", "handed_over", handed)
	if !handed {
		d.save()
	}
	for _, p := range d.instances {
		if p.stop != nil {
			p.stop()
		}
	}
	for _, ln := range d.listeners { // a successor has copies
		if u, ok := ln.(*net.UnixListener); ok && !handed {
			u.SetUnlinkOnClose(true)
		}
		_ = ln.Close()
	}
	for _, u := range d.packetConns {
		_ = u.Close()
	}
	drained := make(chan struct{})
	go func() { d.running.Wait(); close(drained) }()
	for ended := false; !ended; {
		select {
		case f := <-d.calls: // instances tell of their ends, an operator asks how it goes
			f()
		case <-drained:
			ended = true
		}
	}
	if p := d.peering; p != nil && !handed { // nothing is sent from here any more
		p.transport.Leave(leaveTimeout)
	}
	cancel()
	for _, h := range d.hubs {
		h.stop()
	}
	close(d.done)
	answering, enough := context.WithTimeout(context.Background(), time.Second)
	_ = admin.Shutdown(answering) // who asked for the handover is told that it worked
	enough()
	_ = admin.Close()
	ended := make(chan struct{})
	go func() { d.background.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(3 * time.Second): // everything is answered: nothing else may keep the process
		d.log.Warn("ending though not all of the daemon's own work has ended")
	}
	d.log.Info("stopped")
	if handed {
		return ErrHandedOver
	}
	return nil
}

// awaitReady calls Ready once each hub has a list and each instance that runs has heard it.
func (d *Daemon) awaitReady(ctx context.Context) {
	limit := time.After(readyTimeout)
	var hubs []*hub
	d.call(func() {
		for _, h := range d.hubs {
			hubs = append(hubs, h)
		}
	})
	for _, h := range hubs {
		select {
		case <-h.Told():
		case <-limit:
			d.log.Warn("no list yet; instances refuse until there is one", "list", h.source.List)
		case <-ctx.Done():
			return
		}
	}
	look := time.NewTicker(2 * time.Millisecond)
	defer look.Stop()
	for heard := false; !heard; {
		d.call(func() {
			heard = true
			for _, p := range d.instances {
				told := d.hubs[p.spec.Source].Snapshot()
				heard = heard && d.policyAdmits() && (p.agent == nil || p.agent.Ready() || told == nil || len(told.Servers) == 0)
			}
		})
		select {
		case <-look.C:
		case <-limit:
			heard = true
		case <-ctx.Done():
			return
		}
	}
	if d.options.Ready != nil {
		d.options.Ready()
	}
}
