package core

import (
	"time"

	"vetchhaven/decide"
)

// handle processes one posted event, and adds the balancer's events that follow from it to pending. A served request is
// answered here, so that its client does not wait for the next step.
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
	case stopEnds:
		l.onStopEnds()
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

// onRequestArrived adds a request to the table, unless it is not admitted.
func (l *Loop) onRequestArrived(r *Request) {
	if r.done { // its deadline timer was handled before it: see onDeadlineExceeded
		return
	}
	if reason := l.admissionClosed(); reason != "" {
		l.shed(r, reason)
		return
	}
	// A duplicate ID is rejected. The ID of a request that has ended recently is rejected too, because servers may
	// still have it in their records.
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
		Client:      r.ClientID,
		Upload:      r.Upload,
	})
}

// onResponseStarted notifies the balancer, and cancels the other attempts of the request, because their responses can't
// be used any more.
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

// onUploadCompleted sets a request's deadline, which has been running since its client wrote the last byte.
func (l *Loop) onUploadCompleted(e uploadCompleted) {
	if e.done {
		return
	}
	e.Deadline = l.deadlineOf(e.Request)
	l.pending = append(l.pending, decide.UploadCompleted{
		Request:   e.ID,
		Attempt:   e.N,
		Remaining: time.Until(e.Deadline) - l.answerMargin,
	})
}

// onAttemptEnded records an attempt's outcome. With the result OK, its response is the request's final answer, unless
// the response of another attempt is being sent to the client.
func (l *Loop) onAttemptEnded(e attemptEnded) {
	e.open--
	if e.open < 0 {
		l.violated(AttemptsClosed, e.ID, e.N, e.Server, "more attempts have ended than were begun")
	}
	l.noteResult(e.Attempt, e.outcome.Result)
	l.noteRefusedConnection(e.Attempt, e.outcome.Result)
	e.timedOut = e.timedOut || e.outcome.Result == decide.TimedOut
	switch {
	case e.outcome.Result != decide.OK:
	case e.done:
		discard(e.response)
	case e.guard.anotherResponds(e.N):
		e.outcome.Result = decide.Cancelled
		discard(e.response)
	default:
		l.finish(e.Request, Answer{Response: e.response})
		l.counts.served++
		l.totals.served.Add(1)
	}
	e.outcome.Answered = e.done
	l.pending = append(l.pending, e.outcome)
	l.recordOutcome(e.Attempt, e.outcome.Result)
	l.forget(e.Request)
}

// onClientDisconnected ends a request whose client has disconnected or does not need an answer any more.
func (l *Loop) onClientDisconnected(r *Request) {
	if r.done {
		return
	}
	l.counts.clientDisconnects++
	l.totals.clientDisconnects.Add(1)
	// The client gets an answer, because it may have closed only its sending side. If no attempt was made, the answer
	// is a refusal, after which the client may retry.
	l.finish(r, Answer{ClientDisconnected: true, Refused: len(r.attempts) == 0})
	l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
	l.forget(r)
}

// onDeadlineExceeded answers a request that has no answer when its deadline has passed. The balancer should answer
// every request before that; if it does not, the client gets its final answer here, and the failure is logged.
func (l *Loop) onDeadlineExceeded(r *Request) {
	if r.done || r.deadlineLifted.Load() {
		return
	}
	l.log.Error("no final answer by the deadline",
		"request", r.ID, "attempts", len(r.attempts), "open", r.open, "left_on_arrival", r.Remaining)
	l.counts.late++
	l.totals.late.Add(1)
	answer := Answer{TimedOut: true}
	if l.requests[r.ID] != r { // r is not in the table yet, and its ID may be that of another request
		l.reject(r, answer)
		return
	}
	l.finish(r, answer)
	l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
	l.forget(r)
}

// onStopEnds answers the open requests as failed, because the process may be killed before their deadlines. A response
// that is being sent to its client goes on.
func (l *Loop) onStopEnds() {
	for _, r := range l.requests {
		if r.done || r.deadlineLifted.Load() {
			continue
		}
		l.counts.failed++
		l.totals.failed.Add(1)
		l.finish(r, Answer{TimedOut: true})
		l.pending = append(l.pending, decide.RequestCancelled{Request: r.ID})
		l.forget(r)
	}
}

// onList applies an endpoint list or a change of it.
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

// finish gives a request its only final answer.
func (l *Loop) finish(r *Request, answer Answer) {
	if r.done {
		l.violated(AnsweredOnce, r.ID, len(r.attempts), "", "a second final answer")
		return
	}
	r.done = true
	r.stopDeadlineTimer()
	r.guard.finish(r.ended, func() { r.reply(answer) })
}

// reject gives the final answer to a request that is not in the table. Later events of its connection and of its timer
// are ignored because done is set; a disconnect of its client may already have been posted.
func (l *Loop) reject(r *Request, answer Answer) {
	r.done = true
	r.stopDeadlineTimer() // otherwise the timer would hold the request, with its body, until its deadline
	r.guard.finish(r.ended, func() { r.reply(answer) })
}

// forget removes a request from the table if it is done and has no attempt in flight. Until then its ID is taken, and
// after that it is one of the recent IDs.
func (l *Loop) forget(r *Request) {
	if r.done && r.open == 0 {
		delete(l.requests, r.ID)
		l.releaseClaim(r)
		l.recent.add(r.ID, l.clock.now())
	}
}
