package decide

import (
	"math"
	"time"
)

// beginSlowStart notes that a backend's process started at a time that was learned now. Its budget begins at
// a random part of a request below zero: each of many agents may send it one at once, and together these
// would overload it.
func (b *Balancer) beginSlowStart(backend *endpoint, at time.Duration) {
	backend.slowStartFrom = at
	backend.inSlowStart = true
	backend.hasAnswered = false
	backend.slowness = 1
	backend.slownessSamples = 0
	backend.slowStartBudget = -b.rng.Float64()
	backend.slowStartBudgetAt = b.now
	b.partitionValid = false
}

// capacityShare is the share of its full capacity that a backend certainly has by now: 1 once its slow start
// is over.
func (b *Balancer) capacityShare(backend *endpoint) float64 {
	age := b.now - backend.slowStartFrom
	backend.inSlowStart = backend.inSlowStart && age < b.settings.SlowStartTime
	if !backend.inSlowStart {
		return 1
	}
	first := b.settings.SlowStartShare
	return first + (1-first)*max(0, float64(age)/float64(b.settings.SlowStartTime))
}

// slowStartAllows reports whether a backend in slow start may get a request. It is the guard of the fourth
// rule: no endpoint in slow start is overloaded by all agents together.
//
// No agent sends it more than a warm backend of its kind serves for this agent, times the share of capacity,
// times the stated multiple, or its root where agents are fewer than backends. All agents stay under the
// multiple together, however many they are: see docs/design/many-agents.md. Where none is warm, each backend
// gets its share of the least that may be in flight, or none would serve until the slow start is over: a
// fleet that restarts as a whole. It could hurt where that, a few at once, is too much.
func (b *Balancer) slowStartAllows(backend *endpoint, request *openRequest) bool {
	share := b.capacityShare(backend)
	if !backend.inSlowStart {
		return true
	}
	multiple := max(1, b.settings.OverloadMultiple)
	if b.minBalancers <= b.upCount {
		multiple = math.Sqrt(multiple)
	}
	rate := share * b.warmServiceRate(backend) * multiple
	if b.healthyCount == 0 {
		rate = share * minLimitPerBackend * b.ownShare / b.classes[0].meanLatency
	}
	earned := rate * float64(b.now-backend.slowStartBudgetAt)
	backend.slowStartBudget = min(backend.slowStartBudget+earned, 1)
	backend.slowStartBudgetAt = b.now
	largest := maxSlowStartWork * b.classes[request.class].meanLatency
	return backend.slowStartBudget > 0 && b.expectedLatency(request) <= largest
}

// warmServiceRate is what a warm backend of this kind, or of any where its kind has none, lately served for
// this agent, in mean requests of the first class a nanosecond. It is taken over about one slow start: in the
// overload after the loss of many they serve less, and those in slow start would be spared just then. A new
// agent goes by the time it has.
func (b *Balancer) warmServiceRate(backend *endpoint) float64 {
	span := float64(b.settings.SlowStartTime + 1)
	kind := b.kind(backend)
	if kind.warmCount == 0 {
		kind = b.kind(nil)
	}
	observed := 1 - math.Exp(-float64(b.now-b.firstRequestAt)/span)
	observed = max(observed, float64(b.settings.OverloadWindow)/span, 1e-9)
	return b.decayedWork(kind) / span / observed
}

// addServedWork adds an answer to the served work of a kind. It counts over those that are warm now: what
// many served is not for the few that stay.
func (b *Balancer) addServedWork(kind *kindState, workUnits float64) {
	kind.servedWork = b.decayedWork(kind) + workUnits/float64(max(kind.warmCount, 1))
}

// decayedWork is the served work of a kind as it counts now.
func (b *Balancer) decayedWork(kind *kindState) float64 {
	elapsed := float64(b.now - kind.servedWorkAt)
	kind.servedWork *= math.Exp(-elapsed / float64(b.settings.SlowStartTime+1))
	kind.servedWorkAt = b.now
	return kind.servedWork
}
