package decide

import (
	"math"
	"time"
)

// isEjected reports whether a backend gets no ordinary traffic for now, by this agent's own ejection or by
// the fleet's.
func (b *Balancer) isEjected(backend *endpoint) bool {
	return b.now < max(backend.ejectedUntil, backend.fleetEjectedUntil, backend.drainedUntil)
}

// isHealthy reports whether a backend may get a request as ordinary traffic. After an ejection it gets one
// attempt at a time until it has recovered, and non-idempotent requests only after a second period as long as
// the ejection.
func (b *Balancer) isHealthy(backend *endpoint, request *openRequest) bool {
	if b.isEjected(backend) {
		return false
	}
	if backend.failureScore == 0 {
		return true
	}
	if len(backend.inFlight) > 0 {
		return false
	}
	return b.classes[request.class].Effect != NonIdempotent || b.now >= backend.probationEnd()
}

// probationEnd is when a backend may get non-idempotent requests again: after a second period as long as its
// ejection.
func (e *endpoint) probationEnd() time.Duration {
	return e.ejectedUntil + (e.ejectedUntil - e.lastEjectedAt)
}

// recordFailure ejects a backend, for a time that doubles with each further failure, unless its failures are
// chance.
//
// Departure from the design page (outlier detection): a backend that fails fast is always idle and would draw
// all traffic. It is ejected at its first error, since errors are rare where nothing is wrong; what was sent
// before its last ejection adds nothing. Where all backends fail now and then alike, it takes more errors
// than chance gives at the others' rate: else some would be ejected at any time for what none of them can
// help. It could hurt where most fail at once: then it takes the one that fails worst longer to stand out.
func (b *Balancer) recordFailure(backend *endpoint, attempt *openAttempt, class *classState) {
	standsOut := backend.unreachable || backend.errorRate >= b.chanceErrorRate(backend)
	if attempt.sentAt < backend.lastEjectedAt || !standsOut {
		return
	}
	b.recordObservation(observation{hash: backend.hash, value: observedFailure, at: b.now})
	b.eject(backend, class.Objective)
}

// chanceErrorRate is the error rate that a backend may have by chance where the others fail as they do.
func (b *Balancer) chanceErrorRate(backend *endpoint) float64 {
	mean := 0.0
	for _, other := range b.backends {
		if other != backend && other.State == Up {
			mean += min(other.errorRate, maxPeerErrorRate) / float64(b.upCount)
		}
	}
	return mean + outlierDeviations*math.Sqrt(meanWeight/2*mean)
}

// eject keeps ordinary traffic from a backend for a multiple of unit, with jitter.
func (b *Balancer) eject(backend *endpoint, unit time.Duration) {
	b.partitionValid = false
	backend.failureScore = min(backend.failureScore+1, maxFailureScore)
	backend.lastEjectedAt = b.now
	jitter := 0.75 + 0.5*b.rng.Float64()
	backend.ejectedUntil = b.now + time.Duration(math.Exp2(backend.failureScore-1)*jitter*float64(unit))
}

// onOverdue counts an attempt that has been in flight for most of its objective as late now.
//
// Departure from the design page: an agent that admits by credit has few answers, and those of a crowded
// fleet come after its clients' patience: too late to act.
func (b *Balancer) onOverdue(attempt *openAttempt) {
	backend := attempt.backend
	if !attempt.open || attempt.listVersion < backend.processSetAt {
		return
	}
	attempt.overdue = true
	backend.consecutiveTimeouts++
	b.updateSlowness(backend, overdueSlowness)
	b.recordObservation(observation{hash: backend.hash, value: observedOverdue, at: b.now})
	b.adjustLimit(1)
}

// onEjections takes the ejections that the fleet's agents agree on, in place of the last ones.
//
// Departure from the design page: an agent finds a failing backend by itself at the price of its own
// requests, and each of many agents pays it. Fleet ejections only narrow the choice: none brings a backend
// back, and each ends by itself. It could hurt where what several agents see is not so for this one: it tries
// others first.
func (b *Balancer) onEjections(e Ejections) {
	for _, backend := range b.backends {
		backend.fleetEjectedUntil = 0
		backend.drainedUntil = 0
	}
	for _, ejection := range e.Ejections {
		backend := b.byID[ejection.Backend]
		if backend == nil || backend.Started != ejection.Started {
			continue
		}
		if ejection.Draining {
			backend.drainedUntil = ejection.Until
		} else {
			backend.fleetEjectedUntil = ejection.Until
		}
	}
	b.partitionValid = false
}
