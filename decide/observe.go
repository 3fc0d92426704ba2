package decide

import "time"

// observe learns from the outcome of an attempt.
func (b *Balancer) observe(request *openRequest, attempt *openAttempt, e Outcome) {
	if attempt.listVersion < attempt.backend.processSetAt {
		return // it tells of a process that another has replaced since
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
		b.beginSlowStart(backend, b.now) // it came back before the list says so: it counts as just started
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
	// For mean work: a heavy request tells of no queue.
	meanLatency := latency * class.meanLatency / b.expectedLatency(request)
	class.meanLatency = updateMean(class.meanLatency, max(meanLatency, 1))
	if attempt.overdue {
		return // its delay has been counted
	}
	fit := b.classFit(attempt.kind, request.class)
	*fit += meanWeight * (min(relative, maxSlownessSample) - *fit)
	b.updateSlowness(backend, relative / *fit)
	// A slow backend says little of the others.
	share := min(latency, meanLatency) / max(1, backend.slowness) / float64(class.Objective)
	if e.Load.Valid && e.Load.InFlight >= 0 && e.Load.InFlight < maxUnloadedInFlight {
		class.unloadedLatency = updateMean(class.unloadedLatency, share)
	}
	b.adjustLimit(share)
}

// observeRejection learns that a backend's queue is longer than those that took what came.
func (b *Balancer) observeRejection(request *openRequest, attempt *openAttempt) {
	backend := attempt.backend
	b.updateSlowness(backend, overdueSlowness)
	wait := b.rng.Float64() * b.classes[request.class].meanLatency
	backend.rejectingUntil = b.now + time.Duration(wait)
	b.adjustLimit(1)
}

// observeTimeout counts a time-out as a failure where nothing else came from the backend since the attempt
// was sent: that is more than a slow request, and no queue. Where balancers share observations, slow answers
// add up, and silence takes several in a row.
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
		b.updateSlowness(backend, float64(e.Latency)/attempt.expectedLatency) // at least so slow
		b.recordObservation(observation{hash: backend.hash, value: observedOverdue, at: b.now})
	}
}

// observeError counts an error. Connections break by themselves too; a backend that refuses one runs no
// process.
func (b *Balancer) observeError(request *openRequest, attempt *openAttempt, e Outcome) {
	backend := attempt.backend
	if e.Result == ConnectFailed {
		backend.unreachable = true
		b.partitionValid = false
	}
	backend.errorRate += meanWeight * (1 - backend.errorRate)
	b.recordFailure(backend, attempt, &b.classes[request.class])
}

// updateSlowness takes one latency, as a multiple of the expected one, into a backend's slowness. The first
// few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) updateSlowness(backend *endpoint, sample float64) {
	backend.slownessSamples++
	weight := max(meanWeight, 1/(backend.slownessSamples+priorSamples))
	backend.slowness += weight * (min(sample, maxSlownessSample) - backend.slowness)
}

// classFit is how much slower than the mean the backends of a kind serve a class.
//
// Departure from the design page: a quiet agent pools what it learns by kind, since it has few answers for
// each backend, class by class.
func (b *Balancer) classFit(kindIndex, classIndex int) *float64 {
	kindIndex = max(kindIndex, 0) // the list may name a kind that is not known
	for len(b.classFits[classIndex]) <= kindIndex {
		b.classFits[classIndex] = append(b.classFits[classIndex], 1)
	}
	return &b.classFits[classIndex][kindIndex]
}

// currentSlowness is how much longer a backend takes than the mean, by its answers or by the wait of its
// oldest attempt if that is worse: a stall shows before any answer.
func (b *Balancer) currentSlowness(backend *endpoint) float64 {
	for _, attempt := range backend.inFlight {
		if attempt.listVersion < backend.processSetAt {
			continue // it waits for a process that has ended
		}
		waited := float64(b.now - attempt.sentAt)
		return max(backend.slowness, waited/attempt.expectedLatency/2)
	}
	return backend.slowness
}

// expectedLatency is the mean latency for a request of this class and stated work, in nanoseconds.
func (b *Balancer) expectedLatency(request *openRequest) float64 {
	class := &b.classes[request.class]
	if request.expectedWork > 0 && class.meanWork > 0 {
		return class.meanLatency * request.expectedWork / class.meanWork
	}
	return class.meanLatency
}
