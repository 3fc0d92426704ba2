package core

import (
	"cmp"
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

// Loop owns the balancer, the clock, the timers and the request table. Other goroutines post events to it; it never
// waits for these goroutines. Only the goroutine that executes run may use its fields, except for the atomic ones.
type Loop struct {
	cfg      *Config
	log      *slog.Logger
	clock    clock
	balancer *decide.Balancer
	protocol Protocol
	peers    *peers // nil: the agent has no peers

	events  chan any
	stopped chan struct{} // closed when run has ended

	// Callbacks; none of them may block.
	requestWatch func()              // requests a watch of the endpoint list
	reportUsage  func([]quota.Usage) // receives the usage of leases; nil: it is not reported
	containPanic func(func())        // runs a function; a panic in it ends only this agent
	memoryShort  func() bool         // see MemoryShort; nil: it never is
	logHeld      func()              // logs what the agent holds for its peers; nil in tests of the loop
	stepHook     func()              // for tests; nil in production

	// The request table.
	requests        map[string]*Request
	recent          recentIDs       // IDs of requests that have ended
	ids             *IDTable        // see claim; nil: the agent's own table is created with its first attempt
	attemptsContext context.Context // parent of all attempts' contexts; ends with the loop
	answerMargin    time.Duration   // time kept free before a client's deadline for the final answer
	probing         map[string]bool // servers with a health check in progress
	endedProcesses  endedProcesses
	pending         []decide.Event // for the next step
	timers          timerHeap

	// State from operators, the endpoint list and the fleet.
	starts        startTimes
	ejected       ejectedServers
	readyServers  atomic.Pointer[map[string]bool] // servers listed as ready; never modified in place; nil: no list yet
	disabled      atomic.Pointer[map[string]bool] // servers disabled by operators; never modified in place
	drained       atomic.Bool                     // an operator has drained the agent
	drainDeadline atomic.Pointer[time.Time]       // latest deadline of new requests; nil: the agent is not stopping
	admission     atomic.Pointer[admissionBound]  // nil: requests are admitted without a time limit
	dedupWindows  atomic.Pointer[[]time.Duration] // by class, see NarrowDedupWindows; nil: only the settings apply

	// Statistics.
	counts        counts
	totals        totals
	counters      counters
	classCounts   []ClassCounts
	shedCounts    map[string]int // by shared limit, or by policyPrefix and the policy's reason; since the last summary
	outcomes      outcomeReport
	backendCounts backendCounts

	ready            atomic.Bool   // a list with servers has been received
	listed           chan struct{} // closed when ready is set
	stopRequested    bool
	summaryRequested bool

	toleratesViolations bool // a violation does not panic in tests; set only by tests of the invariants
}

const (
	// eventQueueSize is the number of posted events that may be queued before post blocks: those of a few milliseconds
	// in a busy agent.
	eventQueueSize = 1024
	// summaryInterval is the time between two log lines that summarize the agent's work.
	summaryInterval = 10 * time.Second
	// idleTimer is the initial duration of the step timer. Any value works, since an unnecessary wake-up is harmless.
	idleTimer = time.Hour
)

// newLoop returns a loop, which run starts. It returns an error if the settings are not valid.
func newLoop(cfg *Config, clk clock, p Protocol, log *slog.Logger) (*Loop, error) {
	balancer, err := decide.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var starts startTimes
	if cfg.Learned != nil {
		balancer.Restore(cfg.Learned.toLearned(cfg, clk, &starts))
	}
	return &Loop{
		cfg:          cfg,
		log:          log,
		clock:        clk,
		balancer:     balancer,
		protocol:     p,
		events:       make(chan any, eventQueueSize),
		stopped:      make(chan struct{}),
		listed:       make(chan struct{}),
		requestWatch: func() {},
		containPanic: func(f func()) { f() },
		// An attempt that may last until the client's deadline ends earlier by this margin, one tick by default, so
		// that its timeout reaches the balancer in time for the client to get the final answer.
		answerMargin: cmp.Or(cfg.Margin, cfg.Settings.Tick),
		requests:     map[string]*Request{},
		recent:       newRecentIDs(cfg.MaxDeadline()),
		probing:      map[string]bool{},
		starts:       starts,
		classCounts:  make([]ClassCounts, len(cfg.Settings.Classes)),
		shedCounts:   map[string]int{},
	}, nil
}

// post sends an event to the loop, and waits while its queue is full. After the loop has stopped the event is dropped.
func (l *Loop) post(event any) {
	select {
	case l.events <- event: // the queue is seldom full, and a select on one channel is cheaper than on two
		return
	default:
	}
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// tryPost sends an event to the loop without waiting. It reports false if the queue is full. After the loop has stopped
// it drops the event and reports true.
func (l *Loop) tryPost(event any) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// Submit passes a request to the loop, which answers it exactly once. After the loop has stopped it gives no answer:
// see Stopped.
func (l *Loop) Submit(r *Request) {
	r.Deadline = l.capDeadline(r.Deadline)
	r.submittedDeadline = r.Deadline
	l.startDeadlineTimer(r)
	l.post(requestArrived{r})
}

// ClientDisconnected notifies the loop that a request's client has disconnected, or does not need an answer any more.
// The request's attempts count as in flight until they end.
func (l *Loop) ClientDisconnected(r *Request) { l.post(clientDisconnected{r}) }

// Stopped returns a channel that is closed when the loop has ended. Requests without an answer have failed then.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Healthy reports whether the agent should get clients: it has received a list with servers, and no operator has
// drained it.
func (l *Loop) Healthy() bool { return l.ready.Load() && !l.drained.Load() }

// ContainPanic runs f and recovers a panic in it. The panic ends this agent but not the process.
func (l *Loop) ContainPanic(f func()) { l.containPanic(f) }

// stepTimer fires when the balancer's next step is due.
type stepTimer struct {
	timer    *time.Timer
	armedFor time.Duration // when it fires; 0: never
}

// arm sets the timer to fire at due; 0: never.
func (t *stepTimer) arm(due time.Duration, clk clock) {
	switch {
	case due == t.armedFor:
	case due == 0:
		t.timer.Stop()
	default:
		t.timer.Reset(due - clk.now())
	}
	t.armedFor = due
}

// run handles events and steps the balancer with them, at most once per tick, until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	l.attemptsContext = ctx
	// The end of ctx and the summary arrive as events too, so that the loop waits on two channels only.
	defer context.AfterFunc(ctx, func() { l.post(stopping{}) })()
	summary := time.AfterFunc(summaryInterval, func() { l.post(summaryDue{}) })
	defer summary.Stop()
	wake := stepTimer{timer: time.NewTimer(idleTimer)}
	defer wake.timer.Stop()
	var lastStep time.Duration
	for {
		wake.arm(l.nextStep(lastStep), l.clock)
		select {
		case e := <-l.events:
			l.handle(e)
			l.handlePosted()
		case <-wake.timer.C:
			wake.armedFor = 0
		}
		if l.stopRequested || ctx.Err() != nil {
			return
		}
		if l.summaryRequested {
			l.summaryRequested = false
			l.summarize()
			summary.Reset(summaryInterval)
		}
		now := l.clock.now()
		if now < lastStep+l.cfg.Settings.Tick {
			continue
		}
		l.handlePosted()
		l.fireTimers(now)
		if len(l.pending) > 0 {
			lastStep = now
			l.step(now)
		}
	}
}

// nextStep returns when the balancer's next step is due; 0: no step is due.
func (l *Loop) nextStep(lastStep time.Duration) time.Duration {
	tick := l.cfg.Settings.Tick
	switch {
	case len(l.pending) > 0 && tick > 0:
		return lastStep + tick
	case len(l.timers) > 0:
		return max(l.timers[0].at, lastStep+tick)
	case len(l.pending) > 0:
		return l.clock.now()
	}
	return 0
}

// handlePosted handles the events that are in the queue now.
func (l *Loop) handlePosted() {
	for range len(l.events) {
		l.handle(<-l.events)
	}
}

// fireTimers turns the timers that are due into events.
func (l *Loop) fireTimers(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		fired := heap.Pop(&l.timers).(timer)
		l.pending = append(l.pending, decide.TimerFired{Token: fired.token})
	}
}

// step runs a step of the balancer with the pending events, and executes its actions.
func (l *Loop) step(now time.Duration) {
	if l.stepHook != nil {
		l.stepHook()
	}
	events := l.pending
	l.pending = nil
	for i, event := range events {
		// The request's remaining time is computed here, because it has become shorter since the request arrived. The
		// request may have been removed from the table, because its client has disconnected.
		if e, ok := event.(decide.Request); ok && l.requests[e.ID] != nil {
			e.Remaining = l.clock.at(l.requests[e.ID].Deadline) - l.answerMargin - now
			events[i] = e
		}
	}
	for _, action := range l.balancer.Step(now, events) {
		l.execute(action, now)
	}
}
