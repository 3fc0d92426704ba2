package decide

import (
	"math"
	"time"
)

// isEjected reports whether a backend gets no ordinary traffic at present, because this agent or the fleet
// has ejected it or the fleet has reported it as draining.
func (b *Balancer) isEjected(backend *endpoint) bool {
	return b.now < max(backend.ejectedUntil, backend.fleetEjectedUntil, backend.drainedUntil)
}

// isHealthy reports whether a backend may get a request as ordinary traffic. After an ejection a backend gets
// one attempt at a time until it has recovered, and non-idempotent requests only after a second period as
// long as the ejection.
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

// probationEnd returns when a backend may get non-idempotent requests again: after a second period as long as
// its ejection.
func (e *endpoint) probationEnd() time.Duration {
	return e.ejectedUntil + (e.ejectedUntil - e.lastEjectedAt)
}

// recordFailure ejects a backend, for a time that doubles with each further failure, unless its error rate
// may be due to chance.
//
// Departure from the design page (outlier detection): a backend that fails fast is always idle and would
// attract all traffic. It is therefore ejected at its first error, because errors are rare in normal
// operation. Failures of attempts that were sent before its last ejection are ignored. If all backends fail
// occasionally, a backend is ejected only if its error rate exceeds what the error rate of the others gives
// by chance; otherwise some backends would always be ejected for errors that occur at all of them. This could
// do harm if most backends fail at once, because it then takes longer until the worst of them stands out.
func (b *Balancer) recordFailure(backend *endpoint, attempt *openAttempt, class *classState) {
	standsOut := backend.unreachable || backend.errorRate >= b.chanceErrorRate(backend)
	if attempt.sentAt < backend.lastEjectedAt || !standsOut {
		return
	}
	b.recordObservation(observation{hash: backend.hash, value: observedFailure, at: b.now})
	b.eject(backend, class.Objective)
}

// chanceErrorRate returns the lowest error rate of a backend that is unlikely to be due to chance, given the
// error rate of the others.
func (b *Balancer) chanceErrorRate(backend *endpoint) float64 {
	mean := 0.0
	for _, other := range b.backends {
		if other != backend && other.State == Up {
			mean += min(other.errorRate, maxPeerErrorRate) / float64(b.upCount)
		}
	}
	return mean + outlierDeviations*math.Sqrt(meanWeight/2*mean)
}

// eject keeps ordinary traffic away from a backend for a multiple of unit, with jitter.
func (b *Balancer) eject(backend *endpoint, unit time.Duration) {
	b.partitionValid = false
	backend.failureScore = min(backend.failureScore+1, maxFailureScore)
	backend.lastEjectedAt = b.now
	jitter := 0.75 + 0.5*b.rng.Float64()
	backend.ejectedUntil = b.now + time.Duration(math.Exp2(backend.failureScore-1)*jitter*float64(unit))
}

// onOverdue records a long delay for an attempt that has been in flight for most of its objective, without
// waiting for its outcome.
//
// Departure from the design page: an agent that admits by credit gets few answers. In an overloaded fleet the
// answers arrive after clients have stopped waiting, which is too late to reduce the load.
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

// onEjections replaces the ejections on which the fleet's agents have agreed.
//
// Departure from the design page: without fleet ejections, each of many agents detects a failing backend only
// at the cost of some of its own requests. Fleet ejections only exclude backends: none of them ends an
// ejection by this agent, and each expires without a further message. This could do harm if the failure that
// several agents observe does not affect this agent: it then avoids the backend without need.
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
