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
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/source/discovery"
)

// Options are what a daemon is started with.
type Options struct {
	Config  *daemonconfig.Config
	Log     *slog.Logger
	Inherit map[daemonconfig.Address]*os.File // listening sockets of the daemon before
	State   []byte                            // the snapshot of the daemon before; nil: that of the state directory is read
	// Ready is called once every instance runs and has a list, or has waited long enough for one.
	Ready func()
	// Upgrade starts a successor with these sockets and this snapshot, and returns when that is ready; nil: this daemon
	// can't hand over.
	Upgrade func(ctx context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error
	// ReloadSuccessor tells the successor that Upgrade has started to read its file again.
	ReloadSuccessor func() error
	// Fault may make an instance panic: tests set it.
	Fault func(name string) func(core.Totals)
	// PeerFault is called in each step of failure detection, and may make it panic: tests set it.
	PeerFault func()
	Program   string        // the program's version, which peers see
	WallSkew  time.Duration // by which the wall clock is off: fault tests set it
}

// Daemon hosts instances. Run's goroutine owns its state, but for what is atomic or a sync.Map.
type Daemon struct {
	options   Options
	cfg       *daemonconfig.Config // the file with the policy that instances serve by
	log       *slog.Logger
	startedAt time.Time // of the monotonic time that now returns
	rng       *rand.Rand

	// Run's goroutine.
	calls       chan func() // for it to run
	done        chan struct{}
	ctx         context.Context // ends when everything admitted is answered
	reloads     int
	handingOver bool // a successor is being started, or serves
	// handoverEnded is closed when the handover that is under way ends, well or not; nil: none is, and none went well.
	handoverEnded chan struct{}
	stopping      bool           // the instances were asked to end: none is started any more
	running       sync.WaitGroup // instances, draining ones too
	background    sync.WaitGroup // other goroutines

	reloadMu        sync.Mutex  // one Reload at a time
	successorServes atomic.Bool // the handover went well

	// Sockets. Nobody accepts or reads on these: copies are used.
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
	memories   map[string]*core.Memory       // of instances, from the last snapshot or their last one
	savedLists map[string]*discovery.Members // from the last snapshot, by daemonconfig.Source.Key

	// The daemon's part in its fleet.
	peering       *peering                // nil: it stands alone, or this is being started
	activePeering atomic.Pointer[peering] // the same, for other goroutines
	savedPeers    *transport.Saved        // from the daemon before
	previous      *transport.Transport    // while another takes its place in this process
	size          atomic.Pointer[membership.Size]
	sizeChanged   chan struct{} // instances are to be updated
	ejections     atomic.Pointer[ejectionSet]

	// The fleet's policy.
	policy         policyState
	policyLease    time.Duration
	serving        atomic.Pointer[servingState] // nil: no policy is agreed on
	servingUpdated chan struct{}                // Run's goroutine is to look at serving
	heldParts      atomic.Pointer[[]string]     // the parts that the daemon is to hold
	ownFile        atomic.Pointer[ownFile]      // the daemon's own file
}

// maxQueuedCalls bounds the functions that wait for Run's goroutine before callers block.
const maxQueuedCalls = 64

// New opens what a daemon needs: sockets, inherited or new, and its last snapshot. Nothing runs yet.
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
		memories:       map[string]*core.Memory{},
		savedLists:     map[string]*discovery.Members{},
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

// warnOfUnusedKeys names the keys of a file that are read and have no effect: they stay, so that files of earlier builds load.
func (d *Daemon) warnOfUnusedKeys(cfg *daemonconfig.Config) {
	if cfg.Drain > 0 {
		d.log.Warn("the key drain has no effect: a drain lasts for the longest deadline and 0.6 s", "file", cfg.Path, "drain", cfg.Drain)
	}
}

// openSockets takes over the inherited sockets, and opens those that are missing.
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

// now returns the daemon's monotonic time.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// call runs f on Run's goroutine, and waits. It reports false if the daemon has ended.
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

// post runs f on Run's goroutine, without waiting for it.
func (d *Daemon) post(f func()) {
	select {
	case d.calls <- f:
	case <-d.done:
	}
}

// signal wakes a receiver of a channel with a buffer of one, which may be woken already.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
