package core

import (
	"context"
	"errors"
	"time"

	"vetchhaven/decide"
)

// Causes of the end of an attempt's context, besides the end of the agent.
var (
	ErrTimedOut  = errors.New("timed out")
	ErrCancelled = errors.New("cancelled")
)

// Attempt is one attempt of a request at a server.
type Attempt struct {
	*Request
	N       int // number of the attempt within its request, from 0
	Server  string
	zone    int             // the server's zone, as the balancer had it when it decided on the attempt
	cell    int             // the server's cell, likewise
	Context context.Context // ends when the attempt must end; its cause is ErrTimedOut or ErrCancelled

	loop           *Loop
	timer          attemptTimer // ends the context
	cancel         context.CancelCauseFunc
	start          time.Time     // start of the attempt; of an upload, once sent: when its last byte was sent
	startBy        time.Time     // latest time at which the first byte may be written, see startExpired; zero: no bound
	reuseOnly      bool          // see MayDial
	listedMS       int64         // latest listed start of the server, Unix milliseconds; 0: not known
	scopedRepeat   bool          // see Loop.isScopedRepeat
	processStarted int64         // listed start of the server's process, Unix milliseconds
	dialed         bool          // see MarkDialed
	notReplayable  bool          // see MarkNotReplayable
	responseParts  int           // see StartResponse
	waitsForClient bool          // see WaitForClient
	failure        error         // see NoteFailure
	hasResult      bool          // the attempt has ended, and result is valid
	result         decide.Result // see hasResult
}

// ServerProgress specifies whether the server is still working on the response when a part of it has arrived.
type ServerProgress bool

// The values of ServerProgress.
const (
	ServerWorking ServerProgress = false // the server is still computing parts of the response
	ServerDone    ServerProgress = true  // only the transfer of the response remains
)

// StartResponse records that a part of the attempt's response is about to be sent to the client. It reports false if
// the part must not be sent: another attempt's response has begun, the request has its final answer, or its deadline
// has passed. If it reports true, no other attempt is made, and this attempt's outcome is the request's final answer.
//
// With ServerDone in the first call the client's deadline no longer ends the attempt, because a client that has begun
// to read a response waits for its end. The protocol must bound the time of the transfer.
func (a *Attempt) StartResponse(progress ServerProgress) bool {
	if progress == ServerDone && a.responseParts == 0 && !a.timer.stop() {
		return false // its deadline has passed
	}
	if !a.guard.startResponse(a.N) {
		return false
	}
	a.responseParts++
	if a.responseParts == 1 {
		a.deadlineLifted.Store(progress == ServerDone)
		a.loop.post(responseStarted{a, progress == ServerDone, time.Since(a.start)})
	}
	return true
}

// UploadCompleted records that the last byte of the request has been sent with this attempt. The server's time runs
// from now on; the client's time has run since it wrote that byte.
func (a *Attempt) UploadCompleted() {
	a.start = time.Now()
	a.loop.post(uploadCompleted{a})
}

// WaitForClient records that the attempt's response waits for its client to read. From now on the attempt is no load on
// its server: a client that does not read must not take the server's capacity from others. The deadline stays. It may be
// called only after StartResponse has reported true.
func (a *Attempt) WaitForClient() {
	if !a.waitsForClient {
		a.waitsForClient = true
		a.loop.post(responseStarted{a, true, time.Since(a.start)})
	}
}

// MayDial reports whether the attempt may open a connection. If it may not, and there is no open connection that it
// can use, the protocol must end it as NotSent.
func (a *Attempt) MayDial() bool { return !a.reuseOnly }

// MarkDialed records that the attempt opens a connection.
func (a *Attempt) MarkDialed() { a.dialed = true }

// MarkNotReplayable records that the part of the request that was sent can't be sent again.
func (a *Attempt) MarkNotReplayable() { a.notReplayable = true }

// NoteFailure records why the attempt failed, for the debug log. The protocol calls it before the attempt returns.
func (a *Attempt) NoteFailure(err error) { a.failure = err }

// Sent counts the attempt as sent. It is called when the request's last byte has been written.
func (a *Attempt) Sent() { a.loop.ClassCounts(a.Class).Sends.Add(1) }

// startExpired reports whether it is too late to begin the attempt: the deduplication window of a retry is about to
// end, or the leases that the attempt has reserved may by now be granted to another agent.
func (a *Attempt) startExpired() bool { return !a.startBy.IsZero() && !time.Now().Before(a.startBy) }

// serverWithdrawn reports whether the attempt's server must get no more requests: an operator has disabled it, or the
// list has it as draining or does not contain it. This may have changed since the balancer decided on the attempt,
// because opening a connection may take long.
func (a *Attempt) serverWithdrawn() bool {
	if ready := a.loop.readyServers.Load(); ready != nil && !(*ready)[a.Server] {
		return true
	}
	disabled := a.loop.disabled.Load()
	return disabled != nil && (*disabled)[a.Server]
}

// attemptContext is a context whose Deadline is the time at which the attempt's timer ends it. With package context
// alone, a deadline and a cause would need two contexts below the parent that all attempts share, and the deadline
// would need a second timer.
type attemptContext struct {
	context.Context
	until time.Time
}

// Deadline returns the time at which the attempt's timer ends the context.
func (c attemptContext) Deadline() (time.Time, bool) { return c.until, true }

// maxUploadTime bounds the time until a request's last byte has been sent, independently of the protocol's own bounds.
const maxUploadTime = time.Hour

// startAttempt executes a Send of the balancer, unless the request has ended or a guard refuses it.
func (l *Loop) startAttempt(send decide.Send) {
	r := l.requests[send.Request]
	if r == nil || r.done { // no attempt is sent after the final answer
		l.pending = append(l.pending, decide.Outcome{
			Request:  send.Request,
			Backend:  send.Backend,
			Result:   decide.NotSent,
			Answered: true,
		})
		return
	}
	if !r.claimed && !l.claim(r) {
		l.rejectRepeated(r, send.Backend)
		return
	}
	if l.dedupWindowPassed(r) || l.mayReachAnotherProcess(r, send) || !l.mayStart(r, send) {
		l.refuseAttempt(r, send.Backend)
		return
	}
	a := l.newAttempt(r, send)
	r.attempts = append(r.attempts, a)
	r.open++
	if a.N > 0 {
		l.counters.retries.Add(1)
	}
	l.counts.attempts++
	l.totals.attempts.Add(1)
	l.logStart(a)
	go l.runAttempt(a)
}

// refuseAttempt records an attempt that a guard has refused as not sent.
func (l *Loop) refuseAttempt(r *Request, server string) {
	l.pending = append(l.pending, decide.Outcome{
		Request:  r.ID,
		Attempt:  len(r.attempts),
		Backend:  server,
		Result:   decide.NotSent,
		Answered: r.done,
	})
	r.attempts = append(r.attempts, &Attempt{
		Request:   r,
		N:         len(r.attempts),
		Server:    server,
		cancel:    func(error) {},
		hasResult: true,
		result:    decide.NotSent,
	})
}

// newAttempt returns an attempt and starts its timer.
func (l *Loop) newAttempt(r *Request, send decide.Send) *Attempt {
	start := time.Now()
	until := r.Deadline.Add(-l.answerMargin)
	if r.Upload {
		until = start.Add(maxUploadTime)
	}
	if send.Timeout > 0 && start.Add(send.Timeout).Before(until) {
		until = start.Add(send.Timeout)
	}
	deadline := func() time.Time { return until }
	if r.Upload {
		deadline = func() time.Time { return earlier(until, l.extendedDeadline(r).Add(-l.answerMargin)) }
	}
	a := &Attempt{
		Request:        r,
		N:              len(r.attempts),
		Server:         send.Backend,
		zone:           send.Zone,
		cell:           send.Cell,
		loop:           l,
		start:          start,
		reuseOnly:      send.ReuseOnly,
		listedMS:       l.starts.listedMS(send.Backend),
		scopedRepeat:   l.isScopedRepeat(r),
		processStarted: l.outcomes.starts[send.Backend],
	}
	if send.StartBy > 0 {
		a.startBy = l.clock.wall(send.StartBy)
	}
	ctx, cancel := context.WithCancelCause(l.attemptsContext)
	a.Context = attemptContext{ctx, until}
	a.cancel = cancel
	a.timer.until = deadline
	a.timer.expire = func() { cancel(ErrTimedOut) }
	a.timer.start()
	return a
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// runAttempt makes an attempt. It runs in a goroutine of its own, which the end of the attempt's context ends. It posts
// an outcome in every case, even after a panic, because the balancer waits for it. At most MaxAttempts of these
// goroutines run for each open request.
func (l *Loop) runAttempt(a *Attempt) {
	defer a.cancel(nil)
	defer a.timer.stop()
	e := attemptEnded{Attempt: a, outcome: decide.Outcome{
		Request: a.ID,
		Attempt: a.N,
		Backend: a.Server,
		Result:  decide.Errored,
	}}
	defer func() {
		e.outcome.Latency = time.Since(a.start)
		e.outcome.NotReplayable = a.notReplayable
		e.outcome.Dialed = a.dialed
		l.post(e)
	}()
	l.containPanic(func() { e.outcome.Result, e.response, e.outcome.Load = l.protocol.Attempt(a) })
}
