// Package daemon hosts many agent instances in one process. It keeps each of them running, changes them under load
// when the settings file or the fleet's policy changes, hands its sockets over to a successor, and restores its state
// from the last snapshot. Instances make their decisions independently: each has its own balancer, token bucket,
// endpoint list and limits. They share only the watch of each endpoint list, and the process's sockets and memory,
// which are split by weight.
//
// # State and ownership
//
// Run's goroutine owns a Daemon's state. Other goroutines run functions on it with call and post. State that the
// transport's goroutine (internal/peer/transport) and the instances' loops need is in atomic values and sync.Maps. The
// admin endpoint's handlers run in goroutines of their own, and use call or the transport.
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
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
)

// Options are the options that a daemon is started with.
type Options struct {
	Config      *daemonconfig.Config
	Log         *slog.Logger
	Inherit     map[daemonconfig.Address]*os.File // listening sockets of the predecessor
	MemoryShort func() bool                       // reports whether the process is short of memory; nil: it never is
	IDs         *core.IDTable                     // IDs that this daemon or its predecessor has executed; nil: each agent has its own
	Snapshot    []byte                            // the predecessor's snapshot; nil: the one in the state directory is read
	// Ready is called once every instance runs and has a list, or readyTimeout has passed.
	Ready func()
	// StartSuccessor starts a successor with these sockets and this snapshot, and returns when the successor is ready. If
	// StartSuccessor is nil, this daemon can't hand over.
	StartSuccessor func(ctx context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error
	// ReloadSuccessor makes the successor, which StartSuccessor has started, read its file again.
	ReloadSuccessor func() error
	// Fault may make an instance panic. Only tests set it.
	Fault func(name string) func(core.Totals)
	// PeerFault is called in each step of failure detection and may make it panic. Only tests set it.
	PeerFault func()
	Version   string        // the program's version, which is reported to peers
	WallSkew  time.Duration // added to the wall clock; only fault tests set it
}

// Daemon hosts instances. Run's goroutine owns its state, except for atomic values and sync.Maps.
type Daemon struct {
	options   Options
	cfg       *daemonconfig.Config // the configuration in use: the file with the applied policy laid over it
	log       *slog.Logger
	startedAt time.Time // the base of the times that now returns
	rng       *rand.Rand

	// The state of Run's loop, and of the daemon's end.
	calls       chan func() // functions for Run's goroutine to run
	done        chan struct{}
	ctx         context.Context // ends when everything admitted is answered
	reloads     int
	handingOver bool // a successor is being started, or serves
	// handoverEnded is closed when the current handover ends, whether it succeeds or fails. It is nil if no handover
	// has begun, or the last one failed.
	handoverEnded chan struct{}
	stopping      bool           // the instances are being stopped, and no further ones are started
	running       sync.WaitGroup // instances, including those that drain
	background    sync.WaitGroup // other goroutines

	reloadMu        sync.Mutex  // allows one Reload at a time
	successorServes atomic.Bool // the handover succeeded

	// Sockets. No goroutine accepts or reads on these: copies are used.
	listeners   map[daemonconfig.Address]net.Listener
	packetConns map[string]*net.UDPConn // for peers, by address

	// Instances and the lists that they follow.
	instances       map[string]*hostedInstance // by name
	supervisor      *supervise.Supervisor
	hubs            map[string]*hub // by source
	agents          sync.Map        // agentHandle by number, for the transport's goroutine
	replaced        sync.Map        // agents that are being replaced under another policy
	lastAgentNumber atomic.Uint32

	// Snapshots.
	snapshots  *snapshotStore
	memories   map[string]*core.LearnedState // by instance: what its agent returned last, or what the last snapshot contained
	remembered map[string]*rememberedSource  // by daemonconfig.Source.Key: sources of the last snapshot, and dropped ones

	// Membership of the fleet.
	peering       *peering                // nil: the daemon is not in a fleet, or its peering is being started
	activePeering atomic.Pointer[peering] // the same, for other goroutines
	savedPeers    *transport.Saved        // from the predecessor
	previous      *transport.Transport    // the transport that is being replaced by another one in this process; otherwise nil
	size          atomic.Pointer[membership.BalancerCount]
	sizeChanged   chan struct{} // wakes Run's goroutine to update the instances
	ejections     atomic.Pointer[ejectionSet]

	// The fleet's policy.
	policy         policyState
	policyLease    time.Duration
	serving        atomic.Pointer[servingState] // nil: the file has no [policy]
	servingUpdated chan struct{}                // wakes Run's goroutine to read serving
	heldParts      atomic.Pointer[[]string]     // the parts of the policy that the daemon has to hold
	ownFile        atomic.Pointer[ownFile]      // the daemon's own file
}

// maxQueuedCalls bounds the functions that wait for Run's goroutine before callers block.
const maxQueuedCalls = 64

// New opens the sockets of a daemon, inherited or new, and reads its last snapshot. Nothing runs yet.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		options:        o,
		cfg:            o.Config,
		log:            o.Log,
		startedAt:      time.Now(),
		rng:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		calls:          make(chan func(), maxQueuedCalls),
		done:           make(chan struct{}),
		listeners:      map[daemonconfig.Address]net.Listener{},
		packetConns:    map[string]*net.UDPConn{},
		instances:      map[string]*hostedInstance{},
		hubs:           map[string]*hub{},
		memories:       map[string]*core.LearnedState{},
		remembered:     map[string]*rememberedSource{},
		sizeChanged:    make(chan struct{}, 1),
		servingUpdated: make(chan struct{}, 1),
	}
	d.supervisor = supervise.New(o.Config.Supervise, d.rng.Uint64())
	d.warnOfUnusedKeys(o.Config)
	d.snapshots = newSnapshotStore(o.Config.StateDir, o.Log)
	d.restoreSnapshot()
	d.ownFile.Store(&ownFile{d.cfg.Path, d.cfg.Text()})
	if d.cfg.Policy != nil {
		d.policyLease = d.cfg.Policy.Lease
	}
	d.openPolicy()
	if err := d.openSockets(); err != nil {
		d.closeSockets()
		return nil, err
	}
	return d, nil
}

// warnOfUnusedKeys logs the keys of a file that have no effect. Such keys are still accepted, so that files of
// earlier builds load.
func (d *Daemon) warnOfUnusedKeys(cfg *daemonconfig.Config) {
	if cfg.Drain > 0 {
		d.log.Warn("the key drain has no effect: a drain lasts for the longest deadline and 0.6 s", "file", cfg.Path, "drain", cfg.Drain)
	}
}

// openSockets takes over the inherited sockets and opens those that are missing.
func (d *Daemon) openSockets() error {
	for address, file := range d.options.Inherit {
		if err := d.inheritSocket(address, file); err != nil {
			return fmt.Errorf("inherited socket %s: %w", address, err)
		}
	}
	return d.listen(d.cfg)
}

func (d *Daemon) inheritSocket(address daemonconfig.Address, file *os.File) error {
	if address.Network == "udp" {
		conn, err := net.FilePacketConn(file)
		if err != nil {
			return err
		}
		_ = file.Close()
		d.packetConns[address.Addr] = conn.(*net.UDPConn)
		return nil
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return err
	}
	_ = file.Close()
	d.listeners[address] = listener
	return nil
}

// now returns the monotonic time since the daemon started.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// call runs f on Run's goroutine and waits until f has returned. It reports false if the daemon has ended.
func (d *Daemon) call(f func()) bool {
	ran := make(chan struct{})
	run := func() {
		f()
		close(ran)
	}
	select {
	case d.calls <- run:
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

// post makes Run's goroutine run f, and does not wait for f to return.
func (d *Daemon) post(f func()) {
	select {
	case d.calls <- f:
	case <-d.done:
	}
}

// signal wakes the receiver of a channel with a buffer of one. It does not block if the receiver was already woken.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
