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

// Loop owns the balancer, the clock, the timers and the request table. All others post events to it; it never waits for
// any of them. Its fields belong to the goroutine in run, except where they are atomic.
type Loop struct {
	cfg      *Config
	log      *slog.Logger
	clock    clock
	balancer *decide.Balancer
	protocol Protocol
	peers    *peers // nil: there are none

	events  chan any
	stopped chan struct{} // closed when run has ended

	// Callbacks; none of them may wait.
	requestWatch func()              // asks discovery for a watch
	reportUsage  func([]quota.Usage) // receives the use of leases; nil: nobody does
	containPanic func(func())        // runs a goroutine's work and contains its panic in this agent
	stepHook     func()              // of tests; nil in production

	// The request table.
	requests        map[string]*Request
	recent          recentIDs       // of requests that have ended
	attemptsContext context.Context // of all attempts: ends with the loop
	answerMargin    time.Duration   // kept free before a client's deadline, for the answer
	probing         map[string]bool // servers with a health check under way
	pending         []decide.Event  // for the next step
	timers          timerHeap

	// What operators, the list and the fleet have said.
	starts        startTimes
	ejected       ejectedServers
	readyServers  atomic.Pointer[map[string]bool] // by the list; never changed in place; nil: no list has come
	disabled      atomic.Pointer[map[string]bool] // servers disabled by operators; never changed in place
	drained       atomic.Bool                     // an operator drains the agent
	drainDeadline atomic.Pointer[time.Time]       // the last answers are given then; nil: the agent does not stop
	admission     atomic.Pointer[admissionBound]  // nil: requests are admitted without end
	dedupWindows  atomic.Pointer[[]time.Duration] // by class, see NarrowDedupWindows; nil: the balancer's settings

	// Statistics.
	counts        counts
	totals        totals
	counters      counters
	classCounts   []ClassCounts
	shedCounts    map[string]int // by shared limit, or the policy, since the last summary
	outcomes      outcomeReport
	backendCounts backendCounts

	ready            atomic.Bool   // a list has named servers
	listed           chan struct{} // closed then
	stopRequested    bool
	summaryRequested bool

	toleratesViolations bool // set by tests of the invariants only
}

const (
	// eventQueueSize is how many events may be posted before posting waits: some milliseconds of a busy agent.
	eventQueueSize = 1024
	// summaryInterval is the time between two lines that sum up what the agent did.
	summaryInterval = 10 * time.Second
	// idleTimer is what the step timer is set to at first: any time.
	idleTimer = time.Hour
)

// newLoop returns a loop that run has yet to run. It returns an error if the settings are not valid.
func newLoop(cfg *Config, clk clock, p Protocol, log *slog.Logger) (*Loop, error) {
	balancer, err := decide.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var starts startTimes
	if cfg.Memory != nil {
		balancer.Restore(cfg.Memory.toLearned(cfg, clk, &starts))
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
		// An attempt that may take until the client's deadline ends one tick before it: its timeout reaches the
		// balancer in time for the client to get the final answer.
		answerMargin: cmp.Or(cfg.Margin, cfg.Settings.Tick),
		requests:     map[string]*Request{},
		recent:       newRecentIDs(cfg.MaxDeadline()),
		probing:      map[string]bool{},
		starts:       starts,
		classCounts:  make([]ClassCounts, len(cfg.Settings.Classes)),
		shedCounts:   map[string]int{},
	}, nil
}

// post hands an event to the loop. After the loop has stopped it is dropped.
func (l *Loop) post(event any) {
	select {
	case l.events <- event: // nearly always there is room, and one channel is cheaper than two
		return
	default:
	}
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// tryPost hands an event to the loop if there is room for it. It does not wait, and reports false if there is none.
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

// Submit gives a request to the loop, which owes it one final answer. After the loop has stopped there is none: see
// Stopped.
func (l *Loop) Submit(r *Request) {
	r.Deadline = l.capDeadline(r.Deadline)
	if !r.Upload {
		l.startDeadlineTimer(r)
	}
	l.post(requestArrived{r})
}

// capDeadline is a client's deadline, or the time of the last answers if the agent stops before that.
func (l *Loop) capDeadline(deadline time.Time) time.Time {
	if end := l.drainDeadline.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// startDeadlineTimer has the loop notice when a request's deadline and half of the answer grace have passed. A request
// that arrives with less than a tick left is answered by the step that first sees it; the grace is there for this.
func (l *Loop) startDeadlineTimer(r *Request) {
	after := time.Until(r.Deadline) + l.cfg.Settings.AnswerGrace/2
	r.deadlineTimer = time.AfterFunc(after, func() { l.post(deadlineExceeded{r}) })
}

// ClientDisconnected says that a request's client has disconnected, or wants no answer: none is owed any more. Its
// attempts count as in flight until they end.
func (l *Loop) ClientDisconnected(r *Request) { l.post(clientDisconnected{r}) }

// Stopped is closed when the loop has ended. Requests that have no answer by then have failed.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Healthy reports whether clients may come: a server is known, and no operator drains the agent.
func (l *Loop) Healthy() bool { return l.ready.Load() && !l.drained.Load() }

// ContainPanic runs f. A panic in it ends this agent, not the process.
func (l *Loop) ContainPanic(f func()) { l.containPanic(f) }

// stepTimer fires when the balancer is to be stepped.
type stepTimer struct {
	timer    *time.Timer
	armedFor time.Duration // when it fires; 0: it does not
}

// arm sets the timer to a time; 0: it does not fire.
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

// run steps the balancer with the events that have come, no more often than the tick, until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	l.attemptsContext = ctx
	// The end of ctx and the summary come as events too, so that the loop waits for two channels only.
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

// nextStep is when the balancer is to be stepped; 0: there is nothing for it.
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

// handlePosted handles the events that have been posted by now.
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

// step steps the balancer with the pending events, and executes its actions.
func (l *Loop) step(now time.Duration) {
	if l.stepHook != nil {
		l.stepHook()
	}
	events := l.pending
	l.pending = nil
	for i, event := range events {
		// A request's time has run on since it arrived. It may have left the table already: its client may have
		// disconnected.
		if e, ok := event.(decide.Request); ok && l.requests[e.ID] != nil {
			e.Remaining = l.clock.at(l.requests[e.ID].Deadline) - l.answerMargin - now
			events[i] = e
		}
	}
	for _, action := range l.balancer.Step(now, events) {
		l.execute(action, now)
	}
}
