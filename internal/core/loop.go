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

// Loop owns the balancer, the clock, the timers and the table of open requests. Everything else
// posts events to it; it never waits for any of them.
type Loop struct {
	cfg          *Config
	log          *slog.Logger
	clock        clock
	balancer     *decide.Balancer
	protocol     Protocol
	peers        *peers
	requestWatch func() // asks discovery for a watch

	events           chan any
	stopped          chan struct{}
	ready            atomic.Bool
	listed           chan struct{} // closed once a list has named servers
	answerMargin     time.Duration
	requests         map[string]*Request
	recent           recentIDs // ids of requests that have ended
	timers           timerHeap
	pending          []decide.Event
	probing          map[string]bool // one probe of a backend at a time
	counts           counts
	totals           totals
	classCounts      []ClassCounts // by class
	backendCounts    backendCounts
	drained          atomic.Bool                     // an operator has sent clients away
	disabled         atomic.Pointer[map[string]bool] // taken out by hand; never changed in place
	readyServers     atomic.Pointer[map[string]bool] // ready by the list; never changed in place; nil: none has come
	drainDeadline    atomic.Pointer[time.Time]       // when the last answers are given; nil: it is not to end
	attemptsContext  context.Context                 // of attempts: ends with the loop
	stopRequested    bool                            // it is to end
	summaryRequested bool                            // a summary is due
	stepHook         func()                          // a test's; else nil
	containPanic     func(func())                    // runs a goroutine's work and keeps its panic to this agent
	reportUsage      func([]quota.Usage)             // told how rights stand; must not wait; nil: nobody
	shedCounts       map[string]int                  // by a limit of the fleet, or the policy, since the last summary
	counters         counters
	outcomes         outcomeReport
	starts           startTimes
	ejected          ejectedServers
	admission        atomic.Pointer[admissionBound]  // nil: requests are admitted without end
	dedupWindows     atomic.Pointer[[]time.Duration] // by class, see Narrow; nil: the policy's own

	toleratesViolations bool // set by tests of the invariants alone
}

// totals are what the agent did since its start, for others to read.
type totals struct{ requests, served, refused, failed, clientDisconnects, attempts, late atomic.Int64 }

// counts are what the agent did since its last line about it.
type counts struct{ requests, served, refused, failed, clientDisconnects, attempts, late int }

func newLoop(cfg *Config, ck clock, p Protocol, log *slog.Logger) (*Loop, error) {
	balancer, err := decide.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var starts startTimes
	if cfg.Memory != nil {
		balancer.Restore(cfg.Memory.toLearned(cfg, ck, &starts))
	}
	return &Loop{starts: starts, cfg: cfg, log: log, containPanic: func(f func()) { f() }, clock: ck, balancer: balancer, protocol: p, requestWatch: func() {},
		events: make(chan any, 1024), stopped: make(chan struct{}), listed: make(chan struct{}),
		// An attempt that waits for the client's deadline ends one tick before it: its time-out
		// reaches the module in time for the client to hear the final answer.
		answerMargin: cmp.Or(cfg.Margin, cfg.Settings.Tick),
		recent:       newRecentIDs(cfg.MaxDeadline()),
		classCounts:  make([]ClassCounts, len(cfg.Settings.Classes)),
		requests:     map[string]*Request{}, probing: map[string]bool{}, shedCounts: map[string]int{}}, nil
}

// post hands an event to the loop. After the loop has stopped it goes nowhere.
func (l *Loop) post(e any) {
	select {
	case l.events <- e: // nearly always there is room, and one channel is cheaper than two
		return
	default:
	}
	select {
	case l.events <- e:
	case <-l.stopped:
	}
}

// Submit gives a request to the loop, which owes it one final answer. After the loop has stopped there is
// none: see Stopped.
func (l *Loop) Submit(r *Request) {
	r.Deadline = l.capDeadline(r.Deadline)
	if !r.Upload {
		l.startDeadlineTimer(r)
	}
	l.post(requestArrived{r})
}

// capDeadline is a client's deadline, or the time of the last answers of an agent that is to end sooner.
func (l *Loop) capDeadline(t time.Time) time.Time {
	if end := l.drainDeadline.Load(); end != nil && end.Before(t) {
		return *end
	}
	return t
}

// startDeadlineTimer has a request found overdue. One that comes with less than a tick left is answered by the step that
// first sees it; the grace after the deadline is there for this.
func (l *Loop) startDeadlineTimer(r *Request) {
	r.deadlineTimer = time.AfterFunc(time.Until(r.Deadline)+l.cfg.Settings.AnswerGrace/2, func() { l.post(deadlineExceeded{r}) })
}

// ClientDisconnected says that a request's client is gone, or wants no answer: none is owed any more. Its attempts
// count as out until they end.
func (l *Loop) ClientDisconnected(r *Request) { l.post(clientDisconnected{r}) }

// Stopped is closed when the loop has ended. What was taken and is not answered by then has failed.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Healthy reports whether clients may come: a server is known, and no operator has sent them away.
func (l *Loop) Healthy() bool { return l.ready.Load() && !l.drained.Load() }

// ContainPanic runs f and keeps a panic in it to this agent, which ends by it.
func (l *Loop) ContainPanic(f func()) { l.containPanic(f) }

const summaryInterval = 10 * time.Second

// run steps the balancer with what has come in, no oftener than the tick, until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	l.attemptsContext = ctx
	// What ends it, and what is due now and then, come as events too: it waits for two things alone.
	defer context.AfterFunc(ctx, func() { l.post(stopping{}) })()
	summary := time.AfterFunc(summaryInterval, func() { l.post(summaryDue{}) })
	defer summary.Stop()
	var last, armed time.Duration // armed: when wake fires; 0: it does not
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		due := time.Duration(0)
		if len(l.pending) > 0 && l.cfg.Settings.Tick > 0 {
			due = last + l.cfg.Settings.Tick
		} else if len(l.timers) > 0 {
			due = max(l.timers[0].at, last+l.cfg.Settings.Tick)
		} else if len(l.pending) > 0 {
			due = l.clock.now()
		}
		switch {
		case due == armed:
		case due == 0:
			wake.Stop()
		default:
			wake.Reset(due - l.clock.now())
		}
		armed = due
		select {
		case e := <-l.events:
			l.handle(e)
			l.handlePosted()
		case <-wake.C:
			armed = 0
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
		if now < last+l.cfg.Settings.Tick {
			continue
		}
		l.handlePosted()
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.pending = append(l.pending, decide.TimerFired{Token: heap.Pop(&l.timers).(timer).token})
		}
		if len(l.pending) == 0 {
			continue
		}
		if l.stepHook != nil {
			l.stepHook()
		}
		last = now
		events := l.pending
		l.pending = nil
		for i, e := range events {
			// Its time has run on since it came in. It may be gone already: its client may be.
			if e, ok := e.(decide.Request); ok && l.requests[e.ID] != nil {
				e.Remaining = l.clock.at(l.requests[e.ID].Deadline) - l.answerMargin - now
				events[i] = e
			}
		}
		for _, a := range l.balancer.Step(now, events) {
			l.execute(a, now)
		}
	}
}

// handlePosted takes what else has come in.
func (l *Loop) handlePosted() {
	for range len(l.events) {
		l.handle(<-l.events)
	}
}
