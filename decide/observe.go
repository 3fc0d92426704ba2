package decide

import "time"

// observe updates the statistics of a backend and of the fleet with the outcome of an attempt.
func (b *Balancer) observe(request *openRequest, attempt *openAttempt, e Outcome) {
	if attempt.listVersion < attempt.backend.processSetAt {
		return // the outcome belongs to a process that has since been replaced
	}
	switch e.Result {
	case OK:
		b.observeSuccess(request, attempt, e)
	case Rejected:
		b.observeRejection(request, attempt)
	case TimedOut:
		b.observeTimeout(request, attempt, e)
	case Errored, ConnectFailed, Reset, Incomplete:
		b.observeError(request, attempt, e)
	}
}

func (b *Balancer) observeSuccess(request *openRequest, attempt *openAttempt, e Outcome) {
	backend := attempt.backend
	class := &b.classes[request.class]
	latency := float64(e.Latency)
	if backend.unreachable && backend.slowStartFrom < attempt.sentAt {
		b.beginSlowStart(backend, b.now) // it has restarted, and the list has not reported that yet
	}
	backend.unreachable = false
	backend.errorRate -= meanWeight * backend.errorRate
	if !backend.inSlowStart {
		b.addServedWork(b.kind(backend), attempt.workUnits)
		b.addServedWork(b.kind(nil), attempt.workUnits)
	}
	backend.failureScore = max(0, backend.failureScore-failureScoreRecovery)
	backend.lastSuccessAt = b.now
	backend.consecutiveTimeouts = 0
	backend.hasAnswered = true
	relative := latency / attempt.expectedLatency
	steps := byte(min(relative, maxSlownessSample-0.1) * slownessSteps)
	b.recordObservation(observation{hash: backend.hash, value: steps, at: b.now})
	// The latency is scaled to the mean work of the class, because the long latency of a heavy request does
	// not indicate a queue.
	meanLatency := latency * class.meanLatency / b.expectedLatency(request)
	class.meanLatency = updateMean(class.meanLatency, max(meanLatency, 1))
	if attempt.overdue {
		return // its delay has already been counted
	}
	kindSlowness := b.kindSlowness(attempt.kind, request.class)
	*kindSlowness += meanWeight * (min(relative, maxSlownessSample) - *kindSlowness)
	b.updateSlowness(backend, relative / *kindSlowness)
	// The latency is divided by slowness, because that of a slow backend is not typical of the other
	// backends.
	share := min(latency, meanLatency) / max(1, backend.slowness) / float64(class.Objective)
	if e.Load.Valid && e.Load.InFlight >= 0 && e.Load.InFlight < maxUnloadedInFlight {
		class.unloadedLatency = updateMean(class.unloadedLatency, share)
	}
	b.adjustLimit(share)
}

// observeRejection records that a backend rejected an attempt. The backend counts as slow, because its queue
// is longer than those of the backends that accepted their attempts. It gets no request for a random part of
// the mean latency.
func (b *Balancer) observeRejection(request *openRequest, attempt *openAttempt) {
	backend := attempt.backend
	b.updateSlowness(backend, overdueSlowness)
	wait := b.rng.Float64() * b.classes[request.class].meanLatency
	backend.rejectingUntil = b.now + time.Duration(wait)
	b.adjustLimit(1)
}

// observeTimeout counts a time-out as a failure if the backend has had no success since the attempt was sent:
// in that case the cause is neither a single slow request nor a queue. If balancers share observations, the
// time-outs of all of them are counted, so that silentTimeouts in a row are required.
func (b *Balancer) observeTimeout(request *openRequest, attempt *openAttempt, e Outcome) {
	backend := attempt.backend
	class := &b.classes[request.class]
	if !attempt.overdue {
		backend.consecutiveTimeouts++
	}
	enough := backend.consecutiveTimeouts >= silentTimeouts || !b.sharesObservations()
	switch {
	case enough && backend.lastSuccessAt < attempt.sentAt:
		b.recordFailure(backend, attempt, class)
	case !attempt.overdue:
		b.adjustLimit(max(1, float64(e.Latency)/float64(class.Objective)))
		b.updateSlowness(backend, float64(e.Latency)/attempt.expectedLatency) // at least this slow
		b.recordObservation(observation{hash: backend.hash, value: observedOverdue, at: b.now})
	}
}

// observeError records an error. Only a refused connection proves that the backend's process is not running;
// established connections also break for other reasons.
func (b *Balancer) observeError(request *openRequest, attempt *openAttempt, e Outcome) {
	backend := attempt.backend
	if e.Result == ConnectFailed {
		backend.unreachable = true
		b.partitionValid = false
	}
	backend.errorRate += meanWeight * (1 - backend.errorRate)
	b.recordFailure(backend, attempt, &b.classes[request.class])
}

// updateSlowness adds one latency, as a multiple of the expected latency, to a backend's slowness. The first
// few samples have a higher weight, because an agent with little traffic gets few answers from each backend.
func (b *Balancer) updateSlowness(backend *endpoint, sample float64) {
	backend.slownessSamples++
	weight := max(meanWeight, 1/(backend.slownessSamples+priorSamples))
	backend.slowness += weight * (min(sample, maxSlownessSample) - backend.slowness)
}

// kindSlowness returns the mean latency of a class at the backends of a kind, as a multiple of the expected
// latency.
//
// Departure from the design page: an agent with little traffic has few answers per backend and class, so this
// ratio is measured per kind of backend.
func (b *Balancer) kindSlowness(kindIndex, classIndex int) *float64 {
	kindIndex = max(kindIndex, 0) // the list may name an unknown kind
	for len(b.slownessByKind[classIndex]) <= kindIndex {
		b.slownessByKind[classIndex] = append(b.slownessByKind[classIndex], 1)
	}
	return &b.slownessByKind[classIndex][kindIndex]
}

// currentSlowness returns a backend's latency as a multiple of the mean: its measured slowness, or a higher
// value if its oldest attempt has been waiting for long. A stalled backend is thus detected before it
// answers.
func (b *Balancer) currentSlowness(backend *endpoint) float64 {
	for _, attempt := range backend.inFlight {
		if attempt.listVersion < backend.processSetAt {
			continue // it was sent to a process that has ended
		}
		waited := float64(b.now - attempt.sentAt)
		return max(backend.slowness, waited/attempt.expectedLatency/2)
	}
	return backend.slowness
}

// expectedLatency returns the mean latency of a request with this class and stated work, in nanoseconds.
func (b *Balancer) expectedLatency(request *openRequest) float64 {
	class := &b.classes[request.class]
	if request.expectedWork > 0 && class.meanWork > 0 {
		return class.meanLatency * request.expectedWork / class.meanWork
	}
	return class.meanLatency
}
