package decide

import (
	"cmp"
	"time"
)

// arrivalDecay is the weight that earlier arrivals keep with each new one: the last few hundred count.
const arrivalDecay = 1 - meanWeight/20

// onRequest admits a request to the queue.
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
		b.finish(request, NoBackend) // no other may get it, and waiting brings nothing
		return
	}
	b.enqueue(request)
}

// countArrival adds a request to what is known of its class.
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

// isUp reports whether the list says that a backend is up, and no operator has disabled it.
func (b *Balancer) isUp(id string) bool {
	backend := b.byID[id]
	return backend != nil && backend.State == Up
}

// inferClientRetry reports whether a request is a client's retry, by its remaining time.
//
// Clients give all their tries but the last one the same time, and the last one all that is left to them:
// where most requests come with one remaining time, another one tells how long ago its client began. Where
// callers hand down what is left of their own time, remaining times are spread about the usual one, and tell
// nothing. So the usual one is found by majority vote (Boyer and Moore). A last try follows at least one of
// the usual length, so those count double; one near it, as clients seldom have, starts the vote anew.
//
// Departure from the design page: it is inferred at all. It could hurt where first tries come in two lengths
// far apart.
func (b *Balancer) inferClientRetry(class *classState, e Request) bool {
	jitter := max(b.settings.Tick, time.Duration(remainingJitter*float64(class.Objective)), 1)
	difference := e.Remaining - class.usualRemaining
	distance := max(difference, -difference) / (2 * jitter)
	switch {
	case e.ClientRetry: // marked as one: no evidence of what first tries come with
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

// onUploadCompleted starts the time of an uploaded request, and the work of its backend.
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

// onResponseStarted rules out further attempts. Where the backend has completed its work, the success is
// counted now.
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

// onOutcome ends an attempt, learns from it, and ends or retries its request.
func (b *Balancer) onOutcome(e Outcome) {
	request, attempt := b.findOpenAttempt(e.Request, e.Attempt)
	if request == nil {
		return
	}
	alreadyCounted := request.responseStarted && !attempt.countsInFlight // as its response began
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

// recordSuccess counts a success.
func (b *Balancer) recordSuccess(request *openRequest, attempt *openAttempt, e Outcome) {
	b.observe(request, attempt, e)
	b.retryTokens = min(retryBucketSize, b.retryTokens+successRefill)
	if b.now <= request.objectiveAt {
		b.classes[request.class].answeredInTime++
	}
}

// countOutcome sends what was observed to a random peer after every few outcomes.
func (b *Balancer) countOutcome() {
	b.outcomeCount++
	if b.sharesObservations() && b.outcomeCount%outcomesPerMessage == 0 {
		b.sendPeerMessage(b.observations, 1+b.rng.IntN(b.settings.Balancers-1))
	}
}

// finish gives a request its final answer. Nothing else does. The answer is a refusal, which lets any client
// try again, where no attempt may have run; else a failure.
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

// retryAfter is when a refused client may try again: spread over a few times the time in which what is queued
// and in flight now is served. Sooner, retries would meet the same load.
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

// closeRequest forgets a request once it has its final answer and its attempts have ended.
func (b *Balancer) closeRequest(request *openRequest) {
	request.ended = true
	if request.queued {
		b.dequeue(request)
	}
	if request.openCount == 0 {
		delete(b.requests, request.id)
	}
}
