package core

import (
	"context"
	"errors"
	"time"
	"vetchhaven/decide"
)

// Why an attempt's context has ended, besides by the end of the agent.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrCancelled = errors.New("cancelled")
)

// attemptContext is a context that knows when its timer ends it. One of context's own would need two, each
// booked with the base that all attempts share.
type attemptContext struct {
	context.Context
	until time.Time
}

func (c attemptContext) Deadline() (time.Time, bool) { return c.until, true }

// maxUploadTime bounds how long the last byte of a request may take to come, whatever its protocol bounds.
const maxUploadTime = time.Hour

// startAttempt starts an attempt. Its goroutine ends by the client's deadline; there are no more of them
// than MaxAttempts for each request that is open.
func (l *Loop) startAttempt(a decide.Send) {
	r := l.requests[a.Request]
	if r != nil && !r.done && (l.dedupWindowPassed(r) || !l.mayStart(r, a.Backend)) {
		l.pending = append(l.pending, decide.Outcome{Request: a.Request, Attempt: len(r.attempts), Backend: a.Backend, Result: decide.NotSent, Answered: r.done})
		r.attempts = append(r.attempts, &Attempt{Request: r, N: len(r.attempts), Server: a.Backend, cancel: func(error) {}, ended: true, result: decide.NotSent})
		return
	}
	if r == nil || r.done { // after a final answer nothing more is sent
		l.pending = append(l.pending, decide.Outcome{Request: a.Request, Backend: a.Backend,
			Result: decide.NotSent, Answered: true})
		return
	}
	start := time.Now()
	until := r.Deadline.Add(-l.answerMargin)
	if r.Upload {
		until = start.Add(maxUploadTime)
	}
	if a.Timeout > 0 && start.Add(a.Timeout).Before(until) {
		until = start.Add(a.Timeout)
	}
	t := &Attempt{Request: r, N: len(r.attempts), Server: a.Backend, loop: l, start: start, reuseOnly: a.ReuseOnly, processStarted: l.outcomes.starts[a.Backend]}
	if a.StartBy > 0 {
		t.startBy = l.clock.wall(a.StartBy)
	}
	ctx, cancel := context.WithCancelCause(l.attemptsContext)
	t.Context, t.cancel = attemptContext{ctx, until}, cancel
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
		e := attemptEnded{t, decide.Outcome{Request: r.ID, Attempt: t.N, Backend: a.Backend, Result: decide.Errored}, nil}
		defer func() {
			e.outcome.Latency, e.outcome.NotReplayable, e.outcome.Dialed = time.Since(t.start), t.notReplayable, t.dialed
			l.post(e)
		}()
		l.containPanic(func() { e.outcome.Result, e.answer, e.outcome.Load = l.protocol.Attempt(t) })
	}()
}
