package core

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"math"
	"strings"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/rights"
)

// clock is the agent's monotonic clock. It does not start at zero, so that backends that started
// before the agent have a time too.
type clock struct{ base time.Time }

const clockOffset = time.Hour

func newClock() clock                        { return clock{time.Now()} }
func (c clock) now() time.Duration           { return c.at(time.Now()) }
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.base) + clockOffset }

func (c clock) wall(d time.Duration) time.Time { return c.base.Add(d - clockOffset) }

// hint is the time of a start that the list tells in milliseconds of Unix time, above 0, by this process's wall clock as
// it was at the start. It may be off by any span: see startTimes.
func (c clock) hint(ms int64) time.Duration {
	since := time.UnixMilli(ms).Sub(c.base)
	return max(0, min(since, math.MaxInt64-clockOffset)+clockOffset)
}

// What is posted to the loop, besides List and the module's own ProbeResult and PeerMessage.
type (
	arrived struct{ *Request }
	left    struct{ *Request } // the client hung up
	overdue struct{ *Request } // its time and half the grace are up and no answer is there
	began   struct {           // a part of its answer is about to reach the client
		*Attempt
		worked  bool
		latency time.Duration
	}
	uploaded struct { // its last byte is out
		*Attempt
		at time.Time
	}
	ended struct { // an attempt
		*Attempt
		outcome decide.Outcome
		answer  any
	}
)

// Why an attempt's context has ended, besides by the end of the agent.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrCancelled = errors.New("cancelled")
)

// Loop owns the balancer, the clock, the timers and the table of open requests. Everything else
// posts events to it; it never waits for any of them.
type Loop struct {
	cfg      *Config
	log      *slog.Logger
	clock    clock
	balancer *decide.Balancer
	protocol Protocol
	peers    *peers
	watch    func() // asks discovery for a watch

	events   chan any
	stopped  chan struct{}
	ready    atomic.Bool
	listed   chan struct{} // closed once a list has named servers
	margin   time.Duration
	requests map[string]*Request
	recent   recent // ids of requests that have ended
	timers   timerHeap
	pending  []decide.Event
	probing  map[string]bool // one probe of a backend at a time
	counts   counts
	totals   totals
	told     []Counts // by class
	standing standing
	away     atomic.Bool                     // an operator has sent clients away
	barred   atomic.Pointer[map[string]bool] // taken out by hand; never changed in place
	up       atomic.Pointer[map[string]bool] // ready by the list; never changed in place; nil: none has come
	ends     atomic.Pointer[time.Time]       // when the last answers are given; nil: it is not to end
	base     context.Context                 // of attempts: ends with the loop
	ending   bool                            // it is to end
	summing  bool                            // a summary is due
	inject   func()                          // a test's; else nil
	guard    func(func())                    // runs a goroutine's work and keeps its panic to this agent
	held     func([]rights.Holding)          // told how rights stand; must not wait; nil: nobody
	turned   map[string]int                  // by the fleet's limits, since the last summary
	counters counters
	// toleratesViolations is set by tests of the invariants alone.
	toleratesViolations bool
	sights              sights
	starts              startTimes
	kept                kept
	hold                atomic.Pointer[hold] // nil: requests are taken without end
	narrow              atomic.Pointer[[]time.Duration]
}

// totals are what the agent did since its start, for others to read.
type totals struct{ requests, served, refused, failed, gone, attempts, late atomic.Int64 }

// What the loop tells itself.
type (
	stopping   struct{}
	summaryDue struct{}
)

// learntQuery asks the loop for what its module has learnt.
type learntQuery struct{ reply chan learnt }

// learnt is that, with the starts of the servers' processes as the list has them, ms, Unix.
type learnt struct {
	decide.Learnt
	starts map[string]int64
}

func (l *Loop) learnt() learnt {
	now := learnt{l.balancer.Learnt(), map[string]int64{}}
	for _, b := range now.Backends {
		now.starts[b.ID] = l.starts.told(b.ID)
	}
	return now
}

// counts are what the agent did since its last line about it.
type counts struct{ requests, served, refused, failed, gone, attempts, late int }

func newLoop(cfg *Config, ck clock, p Protocol, log *slog.Logger) (*Loop, error) {
	balancer, err := decide.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var starts startTimes
	if cfg.Memory != nil {
		balancer.Restore(cfg.Memory.learnt(cfg, ck, &starts))
	}
	return &Loop{starts: starts, cfg: cfg, log: log, guard: func(f func()) { f() }, clock: ck, balancer: balancer, protocol: p, watch: func() {},
		events: make(chan any, 1024), stopped: make(chan struct{}), listed: make(chan struct{}),
		// An attempt that waits for the client's deadline ends one tick before it: its time-out
		// reaches the module in time for the client to hear the final answer.
		margin:   cmp.Or(cfg.Margin, cfg.Settings.Tick),
		recent:   newRecent(cfg.Longest()),
		told:     make([]Counts, len(cfg.Settings.Classes)),
		requests: map[string]*Request{}, probing: map[string]bool{}, turned: map[string]int{}}, nil
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

// Take gives a request to the loop, which owes it one final answer. After the loop has stopped there is
// none: see Stopped.
func (l *Loop) Take(r *Request) {
	r.Deadline = l.before(r.Deadline)
	if !r.Upload {
		l.limit(r)
	}
	l.post(arrived{r})
}

// before is a client's deadline, or the time of the last answers of an agent that is to end sooner.
func (l *Loop) before(t time.Time) time.Time {
	if end := l.ends.Load(); end != nil && end.Before(t) {
		return *end
	}
	return t
}

// limit has a request found overdue. One that comes with less than a tick left is answered by the step that
// first sees it; the grace after the deadline is there for this.
func (l *Loop) limit(r *Request) {
	r.late = time.AfterFunc(time.Until(r.Deadline)+l.cfg.Settings.AnswerGrace/2, func() { l.post(overdue{r}) })
}

// Leave says that a request's client is gone, or wants no answer: none is owed any more. Its attempts
// count as out until they end.
func (l *Loop) Leave(r *Request) { l.post(left{r}) }

// Stopped is closed when the loop has ended. What was taken and is not answered by then has failed.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Healthy reports whether clients may come: a server is known, and no operator has sent them away.
func (l *Loop) Healthy() bool { return l.ready.Load() && !l.away.Load() }

// Guard runs f and keeps a panic in it to this agent, which ends by it.
func (l *Loop) Guard(f func()) { l.guard(f) }

const summaryEvery = 10 * time.Second

// run steps the balancer with what has come in, no oftener than the tick, until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	l.base = ctx
	// What ends it, and what is due now and then, come as events too: it waits for two things alone.
	defer context.AfterFunc(ctx, func() { l.post(stopping{}) })()
	summary := time.AfterFunc(summaryEvery, func() { l.post(summaryDue{}) })
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
			l.take(e)
			l.drain()
		case <-wake.C:
			armed = 0
		}
		if l.ending || ctx.Err() != nil {
			return
		}
		if l.summing {
			l.summing = false
			l.summarize()
			summary.Reset(summaryEvery)
		}
		now := l.clock.now()
		if now < last+l.cfg.Settings.Tick {
			continue
		}
		l.drain()
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.pending = append(l.pending, decide.TimerFired{Token: heap.Pop(&l.timers).(timer).token})
		}
		if len(l.pending) == 0 {
			continue
		}
		if l.inject != nil {
			l.inject()
		}
		last = now
		events := l.pending
		l.pending = nil
		for i, e := range events {
			// Its time has run on since it came in. It may be gone already: its client may be.
			if e, ok := e.(decide.Request); ok && l.requests[e.ID] != nil {
				e.Left = l.clock.at(l.requests[e.ID].Deadline) - l.margin - now
				events[i] = e
			}
		}
		for _, a := range l.balancer.Step(now, events) {
			l.execute(a, now)
		}
	}
}

// drain takes what else has come in.
func (l *Loop) drain() {
	for range len(l.events) {
		l.take(<-l.events)
	}
}

// take books one event and keeps it for the next step. A served request is answered here: the
// client need not wait for the step.
func (l *Loop) take(e any) {
	switch e := e.(type) {
	case arrived:
		if e.done { // its time was over before it came here: see overdue
			return
		}
		if why := l.closed(); why != "" { // by another policy, or by none: see Taking
			l.turn(e.Request, why)
			return
		}
		// Not for the table: the id belongs to the other one. Each request has a new id, so one that
		// has just ended is no better: servers may still know it.
		if l.requests[e.ID] != nil || l.recent.has(e.ID, l.clock.now()) {
			l.reject(e.Request, Answer{Duplicate: true})
			return
		}
		l.counts.requests++
		l.totals.requests.Add(1)
		l.requests[e.ID] = e.Request
		l.pending = append(l.pending, decide.Request{ID: e.ID, Class: e.Class, Work: e.Work, Repeat: e.Repeat, Only: e.Only, Upload: e.Upload})
	case began:
		// What else is out can't come to anything any more.
		l.pending = append(l.pending, decide.StreamStarted{Request: e.ID, Attempt: e.N, Worked: e.worked, Latency: e.latency})
		for _, o := range e.attempts {
			if o != e.Attempt {
				o.cancel(ErrCancelled)
			}
		}
	case uploaded:
		if e.done {
			return
		}
		e.Deadline = l.before(e.at.Add(e.Left))
		l.limit(e.Request)
		l.pending = append(l.pending, decide.Uploaded{Request: e.ID, Attempt: e.N, Left: time.Until(e.Deadline) - l.margin})
	case ended:
		if e.open--; e.open < 0 {
			l.violated(AttemptsClosed, e.ID, e.N, e.Server, "more attempts have ended than were begun")
		}
		l.attemptEnded(e.Attempt, e.outcome.Result)
		e.timedOut = e.timedOut || e.outcome.Result == decide.TimedOut
		if e.outcome.Result == decide.OK && !e.done {
			if e.guard.streaming(e.N) {
				// Another attempt's answer is on its way to the client: this one is not the final answer.
				e.outcome.Result = decide.Cancelled
			} else {
				l.finish(e.Request, Answer{Served: e.answer})
				l.counts.served++
				l.totals.served.Add(1)
			}
		}
		e.outcome.Done = e.done
		l.pending = append(l.pending, e.outcome)
		l.saw(e.Attempt, e.outcome.Result)
		l.forget(e.Request)
	case left:
		if !e.done {
			l.counts.gone++
			l.totals.gone.Add(1)
			// It may have ended its sending alone, and read on. What was never sent may be tried again.
			l.finish(e.Request, Answer{Gone: true, Refused: len(e.attempts) == 0})
			l.pending = append(l.pending, decide.Abandoned{Request: e.ID})
			l.forget(e.Request)
		}
	case overdue:
		// The module answers every request before its deadline. This keeps the promise to the
		// client where it does not, and says so.
		if !e.done && !e.unbound.Load() {
			l.log.Error("no final answer by the deadline", "request", e.ID, "attempts", len(e.attempts), "open", e.open,
				"left_on_arrival", e.Left)
			l.counts.late++
			l.totals.late.Add(1)
			a := Answer{TimedOut: true}
			if l.requests[e.ID] != e.Request { // it is still to arrive, and the id may be another one's
				l.reject(e.Request, a)
				return
			}
			l.finish(e.Request, a)
			l.pending = append(l.pending, decide.Abandoned{Request: e.ID})
			l.forget(e.Request)
		}
	case List:
		l.starts.observe(&e, l.clock.now())
		l.started(e)
		l.tell(e)
		l.protocol.Update(e)
		l.pending = append(l.pending, e.List)
		if len(e.Backends) > 0 {
			if !l.ready.Swap(true) {
				close(l.listed)
			}
		}
	case decide.ProbeResult:
		delete(l.probing, e.Backend)
		l.pending = append(l.pending, e)
	case judged:
		l.judge(e)
	case sightsDue:
		l.sight()
	case decide.Fleet, decide.Limits:
		l.pending = append(l.pending, e.(decide.Event))
	case lent:
		all := make([]rights.Right, len(e.all))
		for i, r := range e.all {
			all[i] = r.Right
			all[i].Until = l.clock.at(r.Until)
		}
		l.pending = append(l.pending, decide.Rights{All: all})
	case decide.PeerMessage:
		l.pending = append(l.pending, e)
	case stopping:
		l.ending = true
	case summaryDue:
		l.summing = true
	case learntQuery:
		e.reply <- l.learnt()
	case banned:
		l.ban(e)
	case standingQuery:
		l.stand()
		close(e.done)
	}
}

// finish gives a request its final answer, once.
func (l *Loop) finish(r *Request, a Answer) {
	if r.done {
		l.violated(AnsweredOnce, r.ID, len(r.attempts), "", "a second final answer")
		return
	}
	r.done = true
	if r.late != nil {
		r.late.Stop()
	}
	r.guard.finish(r.over, func() { r.reply(a) })
}

// reject gives a request that never comes to the table its final answer. What its connection and its timer post of it later
// (its client's leaving may be on its way already) finds it done. The timer is not stopped: whoever takes the request may still
// be about to note it.
func (l *Loop) reject(r *Request, a Answer) {
	r.done = true
	r.guard.finish(r.over, func() { r.reply(a) })
}

// forget drops a request that is done with and has nothing out. Until then its id stays taken.
func (l *Loop) forget(r *Request) {
	if r.done && r.open == 0 {
		delete(l.requests, r.ID)
		l.recent.add(r.ID, l.clock.now())
	}
}

// recent remembers ids for a while: by a hash, since ids may be long, and no more than so many.
type recent struct {
	seed     maphash.Seed
	span     time.Duration
	now, old map[uint64]struct{}
	since    time.Duration // of now
}

const recentMost = 16 << 10 // ids in each half: about half a megabyte

func newRecent(span time.Duration) recent {
	return recent{seed: maphash.MakeSeed(), span: span}
}

func (r *recent) turn(now time.Duration) {
	if now-r.since >= r.span || len(r.now) >= recentMost {
		r.now, r.old, r.since = make(map[uint64]struct{}, len(r.now)), r.now, now
	}
}

func (r *recent) add(id string, now time.Duration) {
	r.turn(now)
	r.now[maphash.String(r.seed, id)] = struct{}{}
}

func (r *recent) has(id string, now time.Duration) bool {
	r.turn(now)
	h := maphash.String(r.seed, id)
	_, fresh := r.now[h]
	_, older := r.old[h]
	return fresh || older
}

// execute carries out one action of the module.
func (l *Loop) execute(a decide.Action, now time.Duration) {
	switch a := a.(type) {
	case decide.Send:
		l.send(a)
	case decide.Cancel:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && l.cfg.Settings.MayCancel {
			r.attempts[a.Attempt].cancel(ErrCancelled)
		}
	case decide.Refuse:
		if r := l.requests[a.Request]; r != nil && !r.done {
			l.requestEnded(r, "refused", a.Why)
			l.counts.refused++
			l.totals.refused.Add(1)
			l.limited(a.Limit)
			l.finish(r, Answer{Refused: true, RetryAfter: a.RetryAfter, Limit: a.Limit, Verdict: l.keptFrom(a.Why, now)})
			l.forget(r)
		}
	case decide.Fail:
		if r := l.requests[a.Request]; r != nil && !r.done {
			l.requestEnded(r, "failed", a.Why)
			l.counts.failed++
			l.totals.failed.Add(1)
			l.limited(a.Limit)
			l.finish(r, Answer{TimedOut: r.timedOut, Limit: a.Limit})
			l.forget(r)
		}
	case decide.SetTimer:
		heap.Push(&l.timers, timer{now + a.After, a.Token})
	case decide.Probe:
		if l.cfg.Settings.MayProbe && !l.probing[a.Backend] {
			l.probing[a.Backend] = true
			go l.guard(func() { l.post(l.protocol.Probe(a.Backend)) })
		}
	case decide.TellPeer:
		if l.peers != nil {
			l.peers.tell(a.To, a.Data)
		}
	case decide.Subscribe:
		l.watch()
	case decide.Held:
		if l.held != nil {
			l.held(a.All)
		}
	default:
		l.log.Error("unknown action", "action", a)
	}
}

// limited is a context that knows when its timer ends it. One of context's own would need two, each
// booked with the base that all attempts share.
type limited struct {
	context.Context
	until time.Time
}

func (l limited) Deadline() (time.Time, bool) { return l.until, true }

// uploadMost bounds how long the last byte of a request may take to come, whatever its protocol bounds.
const uploadMost = time.Hour

// send starts an attempt. Its goroutine ends by the client's deadline; there are no more of them
// than MaxAttempts for each request that is open.
func (l *Loop) send(a decide.Send) {
	r := l.requests[a.Request]
	if r != nil && !r.done && (l.narrowed(r) || !l.mayStart(r, a.Backend)) {
		l.pending = append(l.pending, decide.Outcome{Request: a.Request, Attempt: len(r.attempts), Backend: a.Backend, Result: decide.NotSent, Done: r.done})
		r.attempts = append(r.attempts, &Attempt{Request: r, N: len(r.attempts), Server: a.Backend, cancel: func(error) {}, ended: true, result: decide.NotSent})
		return
	}
	if r == nil || r.done { // after a final answer nothing more is sent
		l.pending = append(l.pending, decide.Outcome{Request: a.Request, Backend: a.Backend,
			Result: decide.NotSent, Done: true})
		return
	}
	start := time.Now()
	until := r.Deadline.Add(-l.margin)
	if r.Upload {
		until = start.Add(uploadMost)
	}
	if a.Timeout > 0 && start.Add(a.Timeout).Before(until) {
		until = start.Add(a.Timeout)
	}
	t := &Attempt{Request: r, N: len(r.attempts), Server: a.Backend, loop: l, start: start, noDial: a.NoDial, process: l.sights.starts[a.Backend]}
	if a.Until > 0 {
		t.until = l.clock.wall(a.Until)
	}
	ctx, cancel := context.WithCancelCause(l.base)
	t.Context, t.cancel = limited{ctx, until}, cancel
	t.timer = time.AfterFunc(until.Sub(start), func() { cancel(ErrTimedOut) })
	r.attempts = append(r.attempts, t)
	r.open++
	if t.N > 0 {
		l.counters.retries.Add(1)
	}
	l.counts.attempts++
	l.totals.attempts.Add(1)
	go func() {
		defer cancel(nil)
		defer t.timer.Stop()
		// Whatever becomes of it, its outcome is told: the module waits for it.
		e := ended{t, decide.Outcome{Request: r.ID, Attempt: t.N, Backend: a.Backend, Result: decide.Errored}, nil}
		defer func() {
			e.outcome.Latency, e.outcome.Spent, e.outcome.Dialed = time.Since(t.start), t.spent, t.dialed
			l.post(e)
		}()
		l.guard(func() { e.outcome.Result, e.answer, e.outcome.Load = l.protocol.Attempt(t) })
	}()
}

func (l *Loop) summarize() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.refused,
		"failed", l.counts.failed, "gone", l.counts.gone, "attempts", l.counts.attempts, "late", l.counts.late,
		"open", len(l.requests))
	l.counts = counts{}
	for name, n := range l.turned {
		if why, policy := strings.CutPrefix(name, "policy: "); policy {
			l.log.Warn("turned away for the policy", "why", why, "requests", n)
			continue
		}
		l.log.Info("turned away by a limit of the fleet", "limit", name, "requests", n)
	}
	clear(l.turned)
	if l.kept.refused > 0 {
		l.log.Info("refused while verdicts of the fleet keep servers out", "servers", l.kept.names, "requests", l.kept.refused)
	}
	l.kept.refused = 0
}

// limited counts what a limit of the fleet turned away.
func (l *Loop) limited(name string) {
	if name != "" {
		l.turned[name]++
	}
}

// timer is a SetTimer that is pending.
type timer struct {
	at    time.Duration
	token int64
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
