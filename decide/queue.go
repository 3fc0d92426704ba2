package decide

import "time"

// enqueue queues a request until there is capacity for it. If there is capacity already, the request leaves
// the queue at the end of the same step.
func (b *Balancer) enqueue(request *openRequest) {
	request.queued = true
	b.queue = append(b.queue, request)
}

func (b *Balancer) dequeue(request *openRequest) {
	request.queued = false
	b.queue = removeFirst(b.queue, request)
}

// dispatchQueue starts queued requests while there is capacity, and sheds those that are unlikely to be
// answered within their objective. Requests in this queue put no load on the backends.
func (b *Balancer) dispatchQueue() {
	if len(b.queue) == 0 {
		return
	}
	for i := range b.classes {
		b.classes[i].unitValue = b.valueOfWork(i)
	}
	b.startQueued()
	for i := len(b.queue) - 1; i >= 0; i-- {
		b.shedOrWait(b.queue[i])
	}
}

// startQueued starts queued requests in the order of nextQueued, as long as there is capacity.
func (b *Balancer) startQueued() {
	for {
		request := b.nextQueued()
		if request == nil || !b.hasCapacity(request) {
			return
		}
		request.lackingLimit = nil
		request.higherValueShare = b.higherValueShare(request)
		backend := b.pick(request)
		if backend == nil {
			request.noBackend = true
			continue
		}
		b.dequeue(request)
		b.startAttempt(request, backend)
	}
}

// nextQueued returns the queued request to start next: the one whose unit of work has the highest value,
// where clients' retries and requests that are expected to be answered late count less. Of requests with
// equal values it returns one of the client with the fewest open attempts, so that a client that sends many
// requests at once does not keep others out, and of these the one that was queued last. Requests that found
// no backend in this step are left out. It returns nil if no request remains.
func (b *Balancer) nextQueued() *openRequest {
	var best *openRequest
	bestValue := 0.0
	bestAttempts := 0
	for _, request := range b.queue {
		if request.noBackend {
			continue
		}
		class := &b.classes[request.class]
		value := class.unitValue
		if request.clientRetry {
			value *= clientRetryValue
		}
		if request.objectiveAt-b.now < time.Duration(b.expectedLatency(request)/2) {
			value *= class.LateValue
		}
		attempts := b.clientAttempts[request.client]
		if best == nil || value > bestValue || value == bestValue && attempts <= bestAttempts {
			best = request
			bestValue = value
			bestAttempts = attempts
		}
	}
	return best
}

// shedOrWait handles a request that found no capacity or no backend in this step. It ends the request if its
// shed time has come, and otherwise sets a timer for that time. A client's retry does not wait, and neither
// does a request that lacks a lease, unless it is one of a slow-start limit: waiting does not make a lease
// available. A repeat that is bound to its first attempt's backend does not wait once that may not get it.
func (b *Balancer) shedOrWait(request *openRequest) {
	reason := NoCapacity
	switch {
	case request.noBackend && request.lackingLimit != nil:
		reason = NoLease
	case request.noBackend:
		reason = NoBackend
	}
	request.noBackend = false
	lacksLease := reason == NoLease && !request.lackingLimit.SlowStart()
	lostBackend := reason == NoBackend && b.isBoundToFirstAttempt(request) && !b.anyMayRetry(request)
	shedAt := b.shedAt(request)
	switch {
	case request.clientRetry || shedAt <= b.now || lacksLease || lostBackend:
		b.dequeue(request)
		b.finish(request, reason)
	case request.timerToken == 0:
		b.setRequestTimer(request, shedAt)
	}
}

// shedAt returns when a queued request is shed: queueMargin mean latencies before its objective, but before
// half of the client's time is over, because a later refusal costs the client more.
func (b *Balancer) shedAt(request *openRequest) time.Duration {
	objective := float64(b.classes[request.class].Objective)
	margin := min(queueMargin*b.expectedLatency(request), maxQueueMargin*objective)
	return min(request.objectiveAt-time.Duration(margin), request.halfTimeAt-b.settings.Tick)
}
