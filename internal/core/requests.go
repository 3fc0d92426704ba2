package core

import (
	"time"
	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

// handle books one event and keeps it for the next step. A served request is answered here: the
// client need not wait for the step.
func (l *Loop) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.admit(e.Request)
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
	case decide.FleetSize, decide.SharedLimits:
		l.pending = append(l.pending, e.(decide.Event))
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

// admit books a request that a client has sent.
func (l *Loop) admit(r *Request) {
	if r.done { // its time was over before it came here: see onDeadlineExceeded
		return
	}
	if why := l.admissionClosed(); why != "" { // by another policy, or by none: see AdmitUntil
		l.shed(r, why)
		return
	}
	// Not for the table: the id belongs to the other one. Each request has a new id, so one that
	// has just ended is no better: servers may still know it.
	if l.requests[r.ID] != nil || l.recent.has(r.ID, l.clock.now()) {
		l.reject(r, Answer{Duplicate: true})
		return
	}
	l.counts.requests++
	l.totals.requests.Add(1)
	l.requests[r.ID] = r
	l.pending = append(l.pending, decide.Request{ID: r.ID, Class: r.Class, Work: r.Work, ClientRetry: r.ClientRetry, OnlyBackend: r.OnlyServer, Upload: r.Upload})
}

// onResponseStarted ends the other attempts of a request: nothing can come of them any more.
func (l *Loop) onResponseStarted(e responseStarted) {
	l.pending = append(l.pending, decide.ResponseStarted{Request: e.ID, Attempt: e.N, Completed: e.completed, Latency: e.latency})
	for _, o := range e.attempts {
		if o != e.Attempt {
			o.cancel(ErrCancelled)
		}
	}
}

// onUploadCompleted has a request's time run from its last byte.
func (l *Loop) onUploadCompleted(e uploadCompleted) {
	if e.done {
		return
	}
	e.Deadline = l.capDeadline(e.at.Add(e.Remaining))
	l.startDeadlineTimer(e.Request)
	l.pending = append(l.pending, decide.UploadCompleted{Request: e.ID, Attempt: e.N, Remaining: time.Until(e.Deadline) - l.answerMargin})
}

// onAttemptEnded books an attempt's outcome. A served request has its final answer by it, unless another attempt's answer is
// on its way to the client.
func (l *Loop) onAttemptEnded(e attemptEnded) {
	if e.open--; e.open < 0 {
		l.violated(AttemptsClosed, e.ID, e.N, e.Server, "more attempts have ended than were begun")
	}
	l.noteResult(e.Attempt, e.outcome.Result)
	e.timedOut = e.timedOut || e.outcome.Result == decide.TimedOut
	if e.outcome.Result == decide.OK && !e.done {
		if e.guard.otherResponds(e.N) {
			e.outcome.Result = decide.Cancelled
		} else {
			l.finish(e.Request, Answer{Served: e.answer})
			l.counts.served++
			l.totals.served.Add(1)
		}
	}
	e.outcome.Answered = e.done
	l.pending = append(l.pending, e.outcome)
	l.recordOutcome(e.Attempt, e.outcome.Result)
	l.forget(e.Request)
}

// onClientDisconnected gives up a request for which nobody waits.
func (l *Loop) onClientDisconnected(r *Request) {
	if r.done {
		return
	}
	l.counts.clientDisconnects++
	l.totals.clientDisconnects.Add(1)
	// It may have ended its sending alone, and read on. What was never sent may be tried again.
	l.finish(r, Answer{ClientDisconnected: true, Refused: len(r.attempts) == 0})
	l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
	l.forget(r)
}

// onDeadlineExceeded answers a request that has no answer in time. The module answers every request before its deadline: this
// keeps the promise to the client where it does not, and says so.
func (l *Loop) onDeadlineExceeded(r *Request) {
	if r.done || r.deadlineLifted.Load() {
		return
	}
	l.log.Error("no final answer by the deadline", "request", r.ID, "attempts", len(r.attempts), "open", r.open, "left_on_arrival", r.Remaining)
	l.counts.late++
	l.totals.late.Add(1)
	a := Answer{TimedOut: true}
	if l.requests[r.ID] != r { // it is still to arrive, and the id may be another one's
		l.reject(r, a)
		return
	}
	l.finish(r, a)
	l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
	l.forget(r)
}

// onList takes a list, or a change of it.
func (l *Loop) onList(e List) {
	l.starts.observe(&e, l.clock.now())
	l.noteStarts(e)
	l.noteServerStates(e)
	l.protocol.Update(e)
	l.pending = append(l.pending, e.ListUpdate)
	if len(e.Backends) > 0 && !l.ready.Swap(true) {
		close(l.listed)
	}
}

// onLeasesGranted takes what the agent may use of the fleet's limits.
func (l *Loop) onLeasesGranted(e leasesGranted) {
	all := make([]quota.Lease, len(e.leases))
	for i, r := range e.leases {
		all[i] = r.Lease
		all[i].Expires = l.clock.at(r.ExpiresAt)
	}
	l.pending = append(l.pending, decide.LeasesGranted{Leases: all})
}

// finish gives a request its final answer, once.
func (l *Loop) finish(r *Request, a Answer) {
	if r.done {
		l.violated(AnsweredOnce, r.ID, len(r.attempts), "", "a second final answer")
		return
	}
	r.done = true
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	r.guard.finish(r.ended, func() { r.reply(a) })
}

// reject gives a request that never comes to the table its final answer. What its connection and its timer post of it later
// (its client's leaving may be on its way already) finds it done. The timer is not stopped: whoever takes the request may still
// be about to note it.
func (l *Loop) reject(r *Request, a Answer) {
	r.done = true
	r.guard.finish(r.ended, func() { r.reply(a) })
}

// forget drops a request that is done with and has nothing out. Until then its id stays taken.
func (l *Loop) forget(r *Request) {
	if r.done && r.open == 0 {
		delete(l.requests, r.ID)
		l.recent.add(r.ID, l.clock.now())
	}
}
