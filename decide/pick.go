package decide

import (
	"cmp"
	"math"
)

// pick chooses a backend: one with nothing of this balancer in flight, at random; else the one with the
// fewest; never the one that just failed, unless it is the only one. nil: none may be used now.
func (b *Balancer) pick(request *openRequest) *endpoint {
	if n := min(len(b.backends), b.subsetSize()); n > maxScanned {
		if backend := b.sampleIdle(request, b.backends[:n]); backend != nil {
			return backend
		}
	}
	return b.scanAll(request)
}

// sampleIdle chooses among the idle backends as scanAll does, by drawing some and accepting each by its
// weight (rejection sampling): the same distribution without looking at all of them. The subset is taken with
// those of it that may not be used now, so that the choice is a little narrower than by scanAll. nil where
// that takes too many draws, as where few are idle.
func (b *Balancer) sampleIdle(request *openRequest, among []*endpoint) *endpoint {
	maxWeight := b.maxIdleWeight
	for range maxDraws {
		backend := among[b.rng.IntN(len(among))]
		countsAsIdle := backend.hasAnswered || b.inFlight < b.upCount
		if len(backend.inFlight) > 0 || !countsAsIdle {
			continue
		}
		if !b.eligible(request, backend) || !b.isHealthy(backend, request) {
			continue
		}
		weight := b.idleWeight(backend, request)
		if weight > maxWeight { // the draws so far went by too low a bound, and would favour the others
			b.maxIdleWeight = weight
			maxWeight = weight
			continue
		}
		if b.rng.Float64()*maxWeight < weight {
			return backend
		}
	}
	return nil
}

// eligible reports whether a backend may get a request at all. The order of the checks matters: the last two
// keep accounts.
func (b *Balancer) eligible(request *openRequest, backend *endpoint) bool {
	if backend.State != Up || !b.mayAttempt(request, backend) {
		return false
	}
	if backend == request.lastFailed && b.upCount > 1 && request.onlyBackend == "" {
		return false
	}
	if b.now < max(backend.rejectingUntil, backend.drainedUntil) {
		return false
	}
	limit := max(1, maxBackendShares*b.limitPerBackend*b.ownShare)
	if float64(len(backend.inFlight)) >= limit {
		return false
	}
	return b.slowStartAllows(backend, request) && b.leaseAllows(request, backend)
}

// leaseAllows reports whether this agent's leases of the fleet's limits allow a request at a backend, and
// notes which limit does not. A rejection is counted once for a request, so that the lease server learns who
// needs more.
func (b *Balancer) leaseAllows(request *openRequest, backend *endpoint) bool {
	if b.ledger.Empty() {
		return true
	}
	limit := b.ledger.RefusedBy(b.now, b.demandOf(request, backend))
	if limit == nil {
		return true
	}
	if !request.lackReported {
		b.ledger.CountRejection(b.now, limit)
	}
	request.lackingLimit = limit
	request.lackReported = true
	return false
}

// idleWeight is how likely an idle backend is chosen, against others.
//
// Departure from the design page: an even choice among idle backends would load slow ones as much as fast
// ones; each counts by the inverse cube of its observed slowness. Acts when speeds differ.
func (b *Balancer) idleWeight(backend *endpoint, request *openRequest) float64 {
	slowness := b.currentSlowness(backend) * *b.classFit(backend.Kind, request.class)
	weight := b.capacityShare(backend) / (slowness * slowness * slowness)
	if b.sharesObservations() { // all know the same: the cube would send all to the same few
		weight = b.capacityShare(backend) / slowness
	}
	if backend.failureScore > 0 && b.admitsByCredit() {
		weight *= recoveringWeight
	}
	uncrowded := b.now-b.limitCutAt > b.settings.SlowStartTime
	if backend.Zone != b.settings.Zone && b.settings.CrossZonePrice > 0 && uncrowded {
		weight *= crossZoneWeight
	}
	return weight
}

// scanAll chooses among all backends of the subset: an idle one by weight; else the one with the lowest
// score; else, where all are ejected, the one that failed least, since a first attempt goes out all the same.
func (b *Balancer) scanAll(request *openRequest) *endpoint {
	var idle, leastLoaded, leastFailing *endpoint
	totalWeight := 0.0
	lowestScore, lowestFailure := math.Inf(1), math.Inf(1)
	remaining := b.subsetSize()
	b.maxIdleWeight = 0
	for _, backend := range b.backends {
		if remaining <= 0 {
			break
		}
		if !b.eligible(request, backend) {
			continue
		}
		if !b.isHealthy(backend, request) {
			failure := backend.failureScore*b.rng.Float64() + float64(len(backend.inFlight))
			if failure < lowestFailure {
				leastFailing = backend
				lowestFailure = failure
			}
			continue
		}
		load := b.loadOf(backend)
		if load < 1 {
			weight := b.idleWeight(backend, request)
			b.maxIdleWeight = max(b.maxIdleWeight, weight)
			remaining--
			totalWeight += weight
			if b.rng.Float64()*totalWeight < weight {
				idle = backend
			}
			continue
		}
		score := b.loadScore(backend, request, load)
		if score < lowestScore {
			leastLoaded = backend
			lowestScore = score
		}
	}
	return cmp.Or(idle, leastLoaded, leastFailing)
}

// loadOf is the number of this agent's attempts that a backend has in flight. One that has not answered yet
// counts at the mean of all, so that a new one draws no rush.
func (b *Balancer) loadOf(backend *endpoint) float64 {
	if backend.hasAnswered {
		return float64(len(backend.inFlight))
	}
	return float64(b.inFlight) / float64(b.upCount)
}

// loadScore orders busy backends, the lowest first.
//
// Departure from the design page: in-flight counts are weighted by slowness, as in idleWeight.
func (b *Balancer) loadScore(backend *endpoint, request *openRequest, load float64) float64 {
	slowness := b.currentSlowness(backend) * *b.classFit(backend.Kind, request.class)
	if backend.hasAnswered {
		// Else load is the mean of all, and slow start is in it: a busy fleet would pass it by.
		slowness /= b.capacityShare(backend)
	}
	return (load + 1) * slowness * (1 + 0.01*b.rng.Float64())
}

// subsetSize is the number of idle backends among which a choice is made: the first of this agent's own order
// that may be used.
//
// Departure from the design page (subsetting): an agent with little traffic, spread over all backends, would
// learn of each once a day and open a connection for nearly every attempt. It keeps to so many that it uses
// each again within half an objective: what it learned of one is then about as old as a request may be. The
// order is each agent's own, by a hash, so that all together load all backends evenly, and the loss of one
// brings in one other. It could hurt where one agent has most of the traffic of a large fleet: there the gap
// is small and the subset large. Acts where no observations of peers tell of the others.
func (b *Balancer) subsetSize() int {
	if b.meanAttemptGap == 0 || b.sharesObservations() {
		return len(b.backends)
	}
	return max(minSubsetSize, int(revisitObjectives*float64(b.peerInterval)/b.meanAttemptGap))
}
