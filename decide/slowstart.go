package decide

import (
	"math"
	"time"
)

// beginSlowStart records that a backend's process started at the given time. The initial budget is a random
// fraction of a request below zero: otherwise each of many agents could send the backend one request at once,
// and together they would overload it.
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

// capacityShare returns the share of its full capacity that a backend has at least by now: 1 once its slow
// start is over.
func (b *Balancer) capacityShare(backend *endpoint) float64 {
	age := b.now - backend.slowStartFrom
	backend.inSlowStart = backend.inSlowStart && age < b.settings.SlowStartTime
	if !backend.inSlowStart {
		return 1
	}
	first := b.settings.SlowStartShare
	return first + (1-first)*max(0, float64(age)/float64(b.settings.SlowStartTime))
}

// slowStartAllows reports whether a backend may get a request as far as slow start is concerned. It enforces
// rule 4 of the package comment: all agents together do not overload a backend in slow start.
//
// The backend has a budget of work, which grows at the rate of work that a warm backend of its kind serves
// for this agent, times capacityShare, times a multiple. The multiple is Settings.OverloadMultiple, or the
// square root of it if there are no more agents than backends. All agents together then stay below
// OverloadMultiple, however many they are: see docs/design/many-agents.md. A request larger than
// maxSlowStartWork is not allowed.
//
// If no backend is warm, as after a restart of the whole fleet, the budget grows with this agent's share of
// the lowest in-flight limit instead; otherwise no backend would serve until the end of its slow start. This
// could do harm if that limit, a few requests at once, already overloads the backend.
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

// warmServiceRate returns the rate of work that a warm backend of this kind recently served for this agent,
// in mean requests of the first class per nanosecond. If the kind has no warm backend, the mean over all
// kinds is used. The mean covers about one slow start. In the overload after the loss of many backends the
// warm ones serve less for a while, and a mean over a shorter time would then give the backends in slow start
// too little work. A new agent uses the time that it has observed so far.
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

// addServedWork adds the work of an answered attempt to the served work of a kind. The work is divided by the
// number of backends that are warm now. If it were divided when it is read, the work of many backends would
// be attributed to the few that remain warm.
func (b *Balancer) addServedWork(kind *kindState, workUnits float64) {
	kind.servedWork = b.decayedWork(kind) + workUnits/float64(max(kind.warmCount, 1))
}

// decayedWork returns the served work of a kind, decayed to the present.
func (b *Balancer) decayedWork(kind *kindState) float64 {
	elapsed := float64(b.now - kind.servedWorkAt)
	kind.servedWork *= math.Exp(-elapsed / float64(b.settings.SlowStartTime+1))
	kind.servedWorkAt = b.now
	return kind.servedWork
}
