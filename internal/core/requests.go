package core

import (
	"time"

	"vetchhaven/decide"
)

// handle processes one event that was posted to the loop, and keeps what the balancer must know for the next step. A
// served request is answered here: its client need not wait for the step.
func (l *Loop) handle(event any) {
	switch e := event.(type) {
	case requestArrived:
		l.onRequestArrived(e.Request)
	case responseStarted:
		l.onResponseStarted(e)
	case uploadCompleted:
		l.onUploadCompleted(e)
	case attemptEnded:
		l.onAttemptEnded(e)
	case clientDisconnected:
		l.onClientDisconnected(e.Request)
	case deadlineExceeded:
		l.onDeadlineExceeded(e.Request)
	case List:
		l.onList(e)
	case decide.ProbeResult:
		delete(l.probing, e.Backend)
		l.pending = append(l.pending, e)
	case ejectionsUpdated:
		l.onEjections(e)
	case outcomesDue:
		l.reportOutcomes()
	case decide.FleetSize:
		l.pending = append(l.pending, e)
	case decide.SharedLimits:
		l.pending = append(l.pending, e)
	case leasesGranted:
		l.onLeasesGranted(e)
	case decide.PeerMessage:
		l.pending = append(l.pending, e)
	case stopping:
		l.stopRequested = true
	case summaryDue:
		l.summaryRequested = true
	case learnedQuery:
		e.reply <- l.learned()
	case disableServer:
		l.onDisableServer(e)
	case backendCountsQuery:
		l.updateBackendCounts()
		close(e.done)
	}
}

// onRequestArrived enters a request into the table, unless it is not admitted.
func (l *Loop) onRequestArrived(r *Request) {
	if r.done { // its deadline was exceeded before it came here: see onDeadlineExceeded
		return
	}
	if reason := l.admissionClosed(); reason != "" {
		l.shed(r, reason)
		return
	}
	// The ID belongs to another request. One that has just ended is no better: servers may still know it.
	if l.requests[r.ID] != nil || l.recent.has(r.ID, l.clock.now()) {
		l.reject(r, Answer{Duplicate: true})
		return
	}
	l.counts.requests++
	l.totals.requests.Add(1)
	l.requests[r.ID] = r
	l.pending = append(l.pending, decide.Request{
		ID:          r.ID,
		Class:       r.Class,
		Work:        r.Work,
		ClientRetry: r.ClientRetry,
		OnlyBackend: r.OnlyServer,
		Upload:      r.Upload,
	})
}

// onResponseStarted cancels the other attempts of a request: nothing can come of them any more.
func (l *Loop) onResponseStarted(e responseStarted) {
	l.pending = append(l.pending, decide.ResponseStarted{
		Request:   e.ID,
		Attempt:   e.N,
		Completed: e.completed,
		Latency:   e.latency,
	})
	for _, a := range e.attempts {
		if a != e.Attempt {
			a.cancel(ErrCancelled)
		}
	}
}

// onUploadCompleted has a request's deadline run from its last byte.
func (l *Loop) onUploadCompleted(e uploadCompleted) {
	if e.done {
		return
	}
	e.Deadline = l.capDeadline(e.at.Add(e.Remaining))
	l.startDeadlineTimer(e.Request)
	l.pending = append(l.pending, decide.UploadCompleted{
		Request:   e.ID,
		Attempt:   e.N,
		Remaining: time.Until(e.Deadline) - l.answerMargin,
	})
}

// onAttemptEnded books an attempt's outcome. A served request has its final answer by it, unless another attempt's
// response is on its way to the client.
func (l *Loop) onAttemptEnded(e attemptEnded) {
	e.open--
	if e.open < 0 {
		l.violated(AttemptsClosed, e.ID, e.N, e.Server, "more attempts have ended than were begun")
	}
	l.noteResult(e.Attempt, e.outcome.Result)
	e.timedOut = e.timedOut || e.outcome.Result == decide.TimedOut
	if e.outcome.Result == decide.OK && !e.done {
		if e.guard.anotherResponds(e.N) {
			e.outcome.Result = decide.Cancelled
		} else {
			l.finish(e.Request, Answer{Served: e.response})
			l.counts.served++
			l.totals.served.Add(1)
		}
	}
	e.outcome.Answered = e.done
	l.pending = append(l.pending, e.outcome)
	l.recordOutcome(e.Attempt, e.outcome.Result)
	l.forget(e.Request)
}

// onClientDisconnected ends a request for which nobody waits.
func (l *Loop) onClientDisconnected(r *Request) {
	if r.done {
		return
	}
	l.counts.clientDisconnects++
	l.totals.clientDisconnects.Add(1)
	// It may have closed only its sending side, and read on. What was never sent may be retried.
	l.finish(r, Answer{ClientDisconnected: true, Refused: len(r.attempts) == 0})
	l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
	l.forget(r)
}

// onDeadlineExceeded answers a request that has no answer in time. The balancer answers every request before its
// deadline: this keeps the promise to the client if it does not, and logs that.
func (l *Loop) onDeadlineExceeded(r *Request) {
	if r.done || r.deadlineLifted.Load() {
		return
	}
	l.log.Error("no final answer by the deadline",
		"request", r.ID, "attempts", len(r.attempts), "open", r.open, "left_on_arrival", r.Remaining)
	l.counts.late++
	l.totals.late.Add(1)
	answer := Answer{TimedOut: true}
	if l.requests[r.ID] != r { // it has yet to arrive, and its ID may be another one's
		l.reject(r, answer)
		return
	}
	l.finish(r, answer)
	l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
	l.forget(r)
}

// onList takes an endpoint list, or a change of it.
func (l *Loop) onList(list List) {
	l.starts.observe(&list, l.clock.now())
	l.noteStarts(list)
	l.noteServerStates(list)
	l.protocol.Update(list)
	l.pending = append(l.pending, list.ListUpdate)
	if len(list.Backends) > 0 && !l.ready.Swap(true) {
		close(l.listed)
	}
}

// finish gives a request its final answer, once.
func (l *Loop) finish(r *Request, answer Answer) {
	if r.done {
		l.violated(AnsweredOnce, r.ID, len(r.attempts), "", "a second final answer")
		return
	}
	r.done = true
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	r.guard.finish(r.ended, func() { r.reply(answer) })
}

// reject gives a request that never enters the table its final answer. Later events of its connection and its timer (its
// client's disconnect may be posted already) find it done. The timer is not stopped: Submit, in another goroutine, may
// still be about to set it.
func (l *Loop) reject(r *Request, answer Answer) {
	r.done = true
	r.guard.finish(r.ended, func() { r.reply(answer) })
}

// forget drops a request that is done and has no attempt in flight. Until then its ID stays taken.
func (l *Loop) forget(r *Request) {
	if r.done && r.open == 0 {
		delete(l.requests, r.ID)
		l.recent.add(r.ID, l.clock.now())
	}
}
