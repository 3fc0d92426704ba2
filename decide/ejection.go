package decide

import (
	"math"
	"time"
)

// isEjected reports whether a backend gets no ordinary traffic at present, because this agent or the fleet
// has ejected it or the fleet has reported that it drains.
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

// recordFailure ejects a backend, for a time that doubles with each further failure, unless the failures are
// likely to be chance.
//
// Departure from the design page (outlier detection): a backend that fails fast is always idle and would
// attract all traffic. It is therefore ejected at its first error, because errors are rare when nothing is
// wrong. Attempts that were sent before its last ejection add nothing. If all backends fail occasionally,
// ejection takes more errors than the error rate of the others gives by chance; otherwise some backends would
// be ejected at any time for errors that none of them can avoid. This could do harm if most backends fail at
// once, because the worst of them then takes longer to stand out.
func (b *Balancer) recordFailure(backend *endpoint, attempt *openAttempt, class *classState) {
	standsOut := backend.unreachable || backend.errorRate >= b.chanceErrorRate(backend)
	if attempt.sentAt < backend.lastEjectedAt || !standsOut {
		return
	}
	b.recordObservation(observation{hash: backend.hash, value: observedFailure, at: b.now})
	b.eject(backend, class.Objective)
}

// chanceErrorRate returns the error rate up to which a backend may be failing by chance, at the error rate of
// the others.
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

// onOverdue counts an attempt that has been in flight for most of its objective as delayed, without waiting
// for its outcome.
//
// Departure from the design page: an agent that admits by credit gets few answers. In an overloaded fleet the
// answers arrive after clients have given up, which is too late to react.
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

// onEjections replaces the ejections that the fleet's agents have agreed on.
//
// Departure from the design page: an agent that detects a failing backend by itself pays with its own
// requests, and each of many agents pays again. Fleet ejections only narrow the choice: none of them brings a
// backend back, and each expires by itself. This could do harm if the failure that several agents see does
// not affect this agent: it then prefers other backends without need.
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
