// Package transport connects a daemon's member of the fleet to the outside: a UDP socket for datagrams, a TCP listener
// for exchanges of whole views and for large messages, the file of the last view, timers, and the file of event lines.
// It validates what comes in, decides nothing, and turns each occurrence into one event of the state machines that it
// drives: membership (SWIM with Lifeguard), leases (drivers in leasedriver.go), outlier ejection (ejectiondriver.go) and
// replicated policy (policydriver.go).
//
// Ownership: the loop of Transport.Run (loop.go) is the one goroutine that calls these state machines. Readers of sockets
// (datagrams.go, streams.go), the daemon and the disk hand their inputs to it over a channel, and callers that need an
// answer have a function run on it (Transport.do). Nothing that serves clients ever waits for it.
//
// Goroutines: the loop, in Run's own; the writer of the view's file, the reader of datagrams, the acceptor of streams, one
// for each accepted stream (up to 16) and for each exchange that this member opens, all of which Run ends by closing the
// sockets and waits for; the writer of the event log, from New on, which Run ends last; and one for each policy message on a
// stream of its own (up to MaxPolicyStreams), which end by their timeouts and are not waited for.
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

// Options are what a Transport is started with. Its callbacks run on its loop, and must not wait.
type Options struct {
	Fleet string
	// Membership is completed by New: boot number, run ID, and what is known of members.
	Membership membership.Settings
	// UDP and TCP are owned by the Transport from New on, and closed at the end of Run.
	UDP *net.UDPConn
	TCP *net.TCPListener
	// Dir holds the last view. Empty: it is not saved.
	Dir string
	// Saved is from the process that this one replaces. nil: the file is read.
	Saved *Saved
	Log   *slog.Logger
	// Events receives a JSON line for each change, for fault tests. nil: none.
	Events io.Writer
	// SizeChanged is called with each change of the fleet's size.
	SizeChanged func(membership.Size)
	// Inject is called in each step, for tests.
	Inject func()
	// WallSkew is how far the wall clock is taken to be off, for fault tests.
	WallSkew time.Duration

	// Previous is the ended Transport of this process whose leases, evidence and lists this one continues. nil: none.
	Previous *Transport

	// Leases are the limits that the fleet shares. nil: none.
	Leases *lease.Settings
	// LeasesGranted gives an agent leases, whose times are after base.
	LeasesGranted func(agent uint32, all []quota.Lease, base time.Time)

	// Ejection are the settings of outlier ejection but for name and run ID. nil: members exchange no evidence.
	Ejection *ejection.Settings
	// EjectionsChanged gives the complete set of ejections from now on, whose times are after base.
	EjectionsChanged func(all []ejection.Ejection, base time.Time)

	// PolicyDriver is that of the Transport before, if the member continues its run. nil: NewPolicyDriver creates one.
	PolicyDriver *PolicyDriver
	// NewPolicyDriver returns the driver of the fleet's policy for a member's run. nil: there is no policy.
	NewPolicyDriver func(runID uint64) *PolicyDriver
}

// Transport is one member of a fleet on its sockets.
type Transport struct {
	options   Options
	log       *slog.Logger
	view      *membership.View
	running   context.Context      // ends with Run; set there, before the loop
	base      time.Time            // of all times of the state machines
	localInfo membership.LocalInfo // as last set
	eventLog  *eventLog            // nil: none
	viewFile  *viewFile
	leases    *leaseDriver
	ejection  *ejectionDriver
	policy    *policyLink

	inputs     chan input
	calls      chan func()   // to be run on the loop
	done       chan struct{} // closed at the end of Run
	failed     chan error    // a panic in another goroutine
	leaveSent  chan struct{} // closed once the view has sent that this member leaves
	background sync.WaitGroup

	streamSlots  chan struct{}                        // one for each stream that another member may have open
	streamID     uint64                               // of the last exchange that another member opened
	responses    map[uint64]chan *membership.Exchange // by stream ID: where the response goes
	exchanges    map[uint64]chan *membership.Exchange // by ID of the view: where the end of an own exchange goes
	frozen       atomic.Bool                          // another process has the sockets
	mu           sync.Mutex
	thawed       chan struct{} // closed when it is no longer frozen; under mu
	dropped      atomic.Uint64 // inputs for which there was no room
	rejected     rejectedCounts
	datagrams    atomic.Uint64 // written, those of the policy apart
	bytesWritten atomic.Uint64 // of these
}

const (
	// maxInputs is how many inputs may wait for the loop. Larger costs memory, smaller drops datagrams in a burst.
	maxInputs = 512
	// maxCalls is how many callers may wait for the loop.
	maxCalls = 16
	// maxBatch is how many inputs one step takes. Larger delays timers under load, smaller costs a step for each.
	maxBatch = 64
	// maxStreams is how many streams of other members may be open at a time. Further ones are closed at once, and their
	// members try others. Streams that this member opens are not counted.
	maxStreams = 16
	// streamTimeout bounds each phase of an exchange.
	streamTimeout = 3 * time.Second
	// callTimeout is how long a caller waits for the loop.
	callTimeout = 2 * time.Second
	// bootSaveTimeout is how long a start waits for its boot number to be saved. It is announced without, after that: the
	// number is then less certain to be larger than all before.
	bootSaveTimeout = 500 * time.Millisecond
	// bootSavePoll is how often the start looks for that.
	bootSavePoll = 2 * time.Millisecond
)

// New returns a member that is ready to Run. It has a new boot number, unless it replaces a process.
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
		tr.base = o.Previous.base // the times of what it continues are after that
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

// completeSettings sets the membership settings that depend on the run before, and returns what that saved; nil: nothing.
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

// Sent returns how many datagrams of membership, leases and ejection this member has written, and their bytes.
func (tr *Transport) Sent() (datagrams, bytes uint64) {
	return tr.datagrams.Load(), tr.bytesWritten.Load()
}
