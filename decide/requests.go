package decide

import (
	"cmp"
	"time"
)

// arrivalDecay is the factor by which each new arrival reduces the weight of earlier ones: the last few
// hundred arrivals determine the counts.
const arrivalDecay = 1 - meanWeight/20

// onRequest adds a request to the queue, unless its class is invalid, its ID is taken, or the only backend
// that may get it is not up.
func (b *Balancer) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.classes) || b.requests[e.ID] != nil {
		return
	}
	class := &b.classes[e.Class]
	request := &openRequest{
		id:           e.ID,
		class:        e.Class,
		objectiveAt:  b.now + min(class.Objective, e.Remaining),
		halfTimeAt:   b.now + e.Remaining/2,
		deadline:     b.now + e.Remaining,
		clientRetry:  e.ClientRetry,
		onlyBackend:  e.OnlyBackend,
		client:       e.Client,
		uploading:    e.Upload,
		expectedWork: float64(e.Work),
	}
	if b.inferClientRetry(class, e) {
		request.clientRetry = true
		request.objectiveAt -= max(0, class.Deadline-e.Remaining)
	}
	b.countArrival(class, request)
	b.requests[e.ID] = request
	if !request.clientRetry {
		b.demand += b.expectedLatency(request)
		b.earnCredit(request)
	}
	if request.onlyBackend != "" && !b.isUp(request.onlyBackend) {
		b.finish(request, NoBackend) // no other backend may get it, so waiting would not help
		return
	}
	b.enqueue(request)
}

// countArrival adds a request to the statistics of its class.
func (b *Balancer) countArrival(class *classState, request *openRequest) {
	if request.expectedWork > 0 {
		class.meanWork = updateMean(class.meanWork, request.expectedWork)
	}
	for i := range b.classes {
		b.classes[i].arrived *= arrivalDecay
		b.classes[i].answeredInTime *= arrivalDecay
	}
	class.arrived++
	b.firstRequestAt = cmp.Or(b.firstRequestAt, b.now)
}

// isUp reports whether a backend is up in the list and not disabled by an operator.
func (b *Balancer) isUp(id string) bool {
	backend := b.byID[id]
	return backend != nil && backend.State == Up
}

// inferClientRetry reports whether a request is a client's retry, judging by its remaining time.
//
// A client gives each of its tries the same time, except the last one, which gets all the time that the
// client has left. If most requests arrive with one remaining time, a different remaining time shows how long
// ago the client made its first try. If callers pass on the rest of their own deadline, remaining times vary
// around the usual one and do not indicate retries. Therefore the usual remaining time is found by majority
// vote (Boyer and Moore). A request with the usual remaining time adds two votes, because a last try, which
// takes away one, follows at least one such request. A remaining time that differs only a little from the
// usual one, as clients' last tries seldom do, restarts the vote.
//
// Departure from the design page: the design does not infer retries. The inference could do harm if first
// tries have two different remaining times with a large difference between them.
func (b *Balancer) inferClientRetry(class *classState, e Request) bool {
	jitter := max(b.settings.Tick, time.Duration(remainingJitter*float64(class.Objective)), 1)
	difference := e.Remaining - class.usualRemaining
	distance := max(difference, -difference) / (2 * jitter)
	switch {
	case e.ClientRetry: // it does not indicate the remaining time of first tries
	case distance == 0:
		class.usualVotes = min(class.usualVotes+2, 2*confidentVotes)
		class.usualRemaining += difference / 8
	case class.usualVotes == 0 || distance < minOtherLength:
		class.usualVotes = 2
		class.usualRemaining = e.Remaining
	default:
		class.usualVotes--
	}
	return distance > 0 && class.usualVotes >= confidentVotes
}

// onUploadCompleted starts the time limits of an uploaded request, and its work at the backend.
func (b *Balancer) onUploadCompleted(e UploadCompleted) {
	request, attempt := b.findOpenAttempt(e.Request, e.Attempt)
	if request == nil || !request.uploading {
		return
	}
	class := &b.classes[request.class]
	request.uploading = false
	request.objectiveAt = b.now + min(class.Objective, e.Remaining)
	request.deadline = b.now + e.Remaining
	request.halfTimeAt = b.now + e.Remaining/2
	b.beginWork(request, attempt)
}

// onResponseStarted excludes further attempts of the request. If the backend has completed its work, the
// success is counted now.
func (b *Balancer) onResponseStarted(e ResponseStarted) {
	request, attempt := b.findOpenAttempt(e.Request, e.Attempt)
	if request == nil || request.ended {
		return
	}
	request.responseStarted = true
	if e.Completed && attempt.countsInFlight {
		b.recordSuccess(request, attempt, Outcome{Result: OK, Latency: e.Latency})
		b.endWork(attempt)
	}
}

// onOutcome ends an attempt, updates the statistics of its backend, and retries the request or ends it.
func (b *Balancer) onOutcome(e Outcome) {
	request, attempt := b.findOpenAttempt(e.Request, e.Attempt)
	if request == nil {
		return
	}
	alreadyCounted := request.responseStarted && !attempt.countsInFlight // counted when its response began
	b.closeAttempt(request, attempt, e)
	switch {
	case e.Result == OK && alreadyCounted:
	case e.Result == OK && !request.ended:
		b.recordSuccess(request, attempt, e)
	default:
		b.observe(request, attempt, e)
	}
	b.countOutcome()
	if e.Answered || e.Result == OK || request.ended {
		b.closeRequest(request)
		return
	}
	request.lastFailed = attempt.backend
	if request.openCount == 0 && !request.backingOff && !request.queued {
		b.retry(request, e.Result)
	}
}

// recordSuccess counts a successful attempt.
func (b *Balancer) recordSuccess(request *openRequest, attempt *openAttempt, e Outcome) {
	b.observe(request, attempt, e)
	b.retryTokens = min(retryBucketSize, b.retryTokens+successRefill)
	if b.now <= request.objectiveAt {
		b.classes[request.class].answeredInTime++
	}
}

// countOutcome counts an outcome. If balancers share observations, it sends the recent ones to a random peer
// after every outcomesPerMessage outcomes.
func (b *Balancer) countOutcome() {
	b.outcomeCount++
	if b.sharesObservations() && b.outcomeCount%outcomesPerMessage == 0 {
		b.sendPeerMessage(b.observations, 1+b.rng.IntN(b.settings.Balancers-1))
	}
}

// finish gives a request a final answer other than success; no other function does this. If no attempt may
// have run, the answer is a refusal, after which any client may retry; otherwise it is a failure.
func (b *Balancer) finish(request *openRequest, reason Reason) {
	if request.ended {
		return
	}
	limit := request.lackingLimitName(reason)
	var answer Action
	if request.mayHaveRun == 0 {
		answer = Refuse{
			Request:    request.id,
			RetryAfter: b.retryAfter(request, reason),
			Reason:     reason,
			Limit:      limit,
		}
	} else {
		answer = Fail{Request: request.id, Reason: reason, Limit: limit}
	}
	b.actions = append(b.actions, answer)
	b.closeRequest(request)
}

// retryAfter returns the time after which a refused client may retry; 0: no advice. It is a random multiple
// (two to four times) of the time that the requests which are queued and in flight now are expected to take,
// because earlier retries would find the same load. For lack of a lease, it is based on leaseRetryAfter.
func (b *Balancer) retryAfter(request *openRequest, reason Reason) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	if reason == NoLease {
		return min(time.Duration((1+b.rng.Float64())*float64(leaseRetryAfter)), b.settings.MaxRetryAfter)
	}
	rounds := max(1, float64(b.inFlight+len(b.queue))/b.inFlightLimit())
	latency := b.classes[request.class].meanLatency
	return min(time.Duration((2+2*b.rng.Float64())*rounds*latency), b.settings.MaxRetryAfter)
}

// closeRequest ends a request, and removes it if all its attempts have ended.
func (b *Balancer) closeRequest(request *openRequest) {
	request.ended = true
	if request.queued {
		b.dequeue(request)
	}
	if request.openCount == 0 {
		delete(b.requests, request.id)
	}
}
