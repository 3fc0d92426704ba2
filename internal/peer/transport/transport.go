// Package transport performs the I/O of a daemon's member of the fleet: a UDP socket for datagrams, a TCP listener for
// exchanges of complete views and for large messages, the file of the last view, timers, and the file of event lines.
// The package validates its inputs and passes each one as an event to one of the state machines that it drives:
// membership (SWIM with Lifeguard), leases (leasedriver.go), outlier ejection (ejectiondriver.go) and replicated
// policy (policydriver.go). All decisions are made by these state machines.
//
// Ownership: only the loop of Transport.Run (loop.go) calls the state machines. The readers of the sockets
// (datagrams.go, streams.go), the daemon and the disk writers send their inputs to the loop over a channel, and
// callers that need a result have a function run on the loop (Transport.do). Code that serves clients never waits for
// the loop.
//
// Goroutines: the loop runs in the goroutine that calls Run. Run starts the writer of the view's file, the reader of
// datagrams, the acceptor of streams, one goroutine for each accepted stream (up to 16) and one for each exchange
// that this member opens. Each policy message on a separate stream has a goroutine too (up to MaxPolicyStreams). Run
// ends all of these by cancelling their context and closing the sockets, and waits for them. New starts the writer of
// the event log, which Run ends last.
package transport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

// Options configure a Transport. The callbacks run on the Transport's loop and must not block.
type Options struct {
	Fleet string
	// Membership is completed by New, which sets Boot, RunID and KnownMembers.
	Membership membership.Settings
	// UDP and TCP belong to the Transport from New on; Run closes them when it ends.
	UDP *net.UDPConn
	TCP *net.TCPListener
	// Dir is the directory of the file with the last view. Empty: the view is not saved.
	Dir string
	// Saved is the state of the process that this one replaces. If nil, New reads the saved state from the file.
	Saved *Saved
	Log   *slog.Logger
	// Events receives a JSON line for each change, for fault tests. nil: no lines are written.
	Events io.Writer
	// SizeChanged is called with each change of the fleet's size.
	SizeChanged func(membership.BalancerCount)
	// Inject is called in each step of the membership view, for tests.
	Inject func()
	// WallSkew is added to the wall clock's time, for fault tests.
	WallSkew time.Duration

	// Previous is the ended Transport of this process whose leases, evidence and lists this one takes over. It is nil if
	// there was no such Transport.
	Previous *Transport

	// Leases configures the limits that the fleet shares. It is nil if there are no shared limits.
	Leases *lease.Settings
	// LeasesGranted passes an agent its leases; their times count from base.
	LeasesGranted func(agent uint32, all []quota.Lease, base time.Time)

	// Ejection configures outlier ejection; name and run ID are set by New. nil: members exchange no evidence.
	Ejection *ejection.Settings
	// EjectionsChanged passes on the complete set of current ejections; their times count from base.
	EjectionsChanged func(all []ejection.Ejection, base time.Time)

	// PolicyDriver is the driver of the previous Transport, if the member continues its run. nil: NewPolicyDriver
	// creates one.
	PolicyDriver *PolicyDriver
	// NewPolicyDriver returns a driver of the fleet's policy for a member's run. It is nil if the fleet has no policy.
	NewPolicyDriver func(runID uint64) *PolicyDriver
}

// Transport is one member of a fleet on its sockets.
type Transport struct {
	options   Options
	log       *slog.Logger
	view      *membership.View
	running   context.Context      // ends with Run, which sets it before the loop starts
	base      time.Time            // the instant from which the times of all state machines count
	localInfo membership.LocalInfo // the last value passed to SetLocalInfo
	eventLog  *eventLog            // nil: no event lines are written
	viewFile  *viewFile
	leases    *leaseDriver
	ejection  *ejectionDriver
	policy    *policyLink

	inputs     chan input
	calls      chan func()   // functions to run on the loop
	done       chan struct{} // closed at the end of Run
	failed     chan error    // a panic in another goroutine
	leaveSent  chan struct{} // closed once the view has announced that this member leaves
	background sync.WaitGroup

	streamSlots  chan struct{}                        // holds an element for each open stream of another member
	streamID     uint64                               // ID of the last exchange that another member opened
	responses    map[uint64]chan *membership.Exchange // by stream ID: receives the view's response
	exchanges    map[uint64]chan *membership.Exchange // by the view's ID: receives the last message of an own exchange
	frozen       atomic.Bool                          // another process uses the sockets
	mu           sync.Mutex
	thawed       chan struct{} // closed when frozen becomes false; guarded by mu
	dropped      atomic.Uint64 // inputs dropped because the queue was full
	rejected     rejectedCounts
	datagrams    atomic.Uint64 // datagrams written, without those of the policy
	bytesWritten atomic.Uint64 // bytes of these datagrams
}

const (
	// maxInputs is the maximum number of inputs that wait for the loop. A larger value costs memory, a smaller one drops
	// datagrams in a burst.
	maxInputs = 512
	// maxCalls is the maximum number of callers that wait for the loop.
	maxCalls = 16
	// maxBatch is the maximum number of inputs that one step handles. A larger value delays timers under load, a smaller
	// one needs more steps.
	maxBatch = 64
	// maxStreams is the maximum number of streams of other members that are open at a time. Further streams are closed at
	// once, and the members that opened them try another member. Streams that this member opens are not counted.
	maxStreams = 16
	// streamTimeout bounds each phase of an exchange.
	streamTimeout = 3 * time.Second
	// callTimeout is the time for which a caller waits for the loop.
	callTimeout = 2 * time.Second
	// bootSaveTimeout is the time for which a start waits for its boot number to be saved. After that the number is
	// announced unsaved: it is then less certain that the next start's number will be larger than this one.
	bootSaveTimeout = 500 * time.Millisecond
	// bootSavePoll is the interval at which the start checks whether the boot number is saved.
	bootSavePoll = 2 * time.Millisecond
)

// New returns a member that is ready to Run. The member has a new boot number, unless it takes over from a running
// process.
func New(o Options) (*Transport, error) {
	if !membership.ValidFleet(o.Fleet) {
		return nil, fmt.Errorf("fleet %q: 1 to 32 printable characters without spaces are allowed", o.Fleet)
	}
	tr := newTransport(o)
	saved := tr.completeSettings()
	settings := tr.options.Membership
	view, err := membership.New(settings, rand.Uint64())
	if err != nil {
		return nil, err
	}
	tr.view = view
	tr.localInfo = membership.LocalInfo{Instances: settings.Instances, Balancers: settings.Balancers}
	if o.Previous != nil {
		tr.base = o.Previous.base // the times in the state that is taken over count from there
	}
	if tr.leases, err = newLeaseDriver(tr, saved); err != nil {
		return nil, err
	}
	if tr.ejection, err = newEjectionDriver(tr); err != nil {
		return nil, err
	}
	if tr.options.PolicyDriver == nil && o.NewPolicyDriver != nil {
		tr.options.PolicyDriver = o.NewPolicyDriver(settings.RunID)
	}
	tr.policy = newPolicyLink(tr)
	tr.eventLog = newEventLog(o.Events, settings.Name, os.Getpid(), o.Log)
	return tr, nil
}

func newTransport(o Options) *Transport {
	return &Transport{
		options:     o,
		log:         o.Log,
		base:        time.Now(),
		viewFile:    newViewFile(o.Dir, o.Log),
		inputs:      make(chan input, maxInputs),
		calls:       make(chan func(), maxCalls),
		done:        make(chan struct{}),
		failed:      make(chan error, 1),
		leaveSent:   make(chan struct{}),
		streamSlots: make(chan struct{}, maxStreams),
		responses:   map[uint64]chan *membership.Exchange{},
		exchanges:   map[uint64]chan *membership.Exchange{},
		thawed:      make(chan struct{}),
	}
}

// completeSettings sets the membership settings that depend on the previous run, and returns the state that this run
// saved; nil: no saved state exists.
func (tr *Transport) completeSettings() *Saved {
	s := &tr.options.Membership
	saved := tr.options.Saved
	if saved != nil && saved.TakesOver {
		s.TakesOver = true
		s.Boot = saved.Boot
		s.RunID = saved.RunID
		s.Incarnation = saved.Incarnation + 1
		s.DatagramNumber = saved.DatagramNumber
		s.Uptime = time.Duration(saved.UptimeMS) * time.Millisecond
		s.KnownMembers = saved.Records
		return saved
	}
	if saved == nil {
		saved = tr.viewFile.read()
	}
	previousBoot := uint64(0)
	if saved != nil {
		previousBoot = saved.Boot
		s.KnownMembers = saved.Records
	}
	s.Boot = membership.NextBootNumber(previousBoot, time.Now().Add(tr.options.WallSkew).Unix())
	s.RunID = rand.Uint64() | 1
	return saved
}

func (tr *Transport) now() time.Duration { return time.Since(tr.base) }

// Sent returns how many datagrams of membership, leases and ejection this member has written, and their total bytes.
func (tr *Transport) Sent() (datagrams, bytes uint64) {
	return tr.datagrams.Load(), tr.bytesWritten.Load()
}
