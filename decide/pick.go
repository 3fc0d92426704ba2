package decide

import (
	"cmp"
	"math"
)

// pick chooses a backend: a random one, weighted by idleWeight, of the idle ones, at which this balancer has
// no attempt in flight, or else the one with the lowest loadScore. It does not choose the backend that has
// just failed the request, unless that is the only one. It returns nil if no backend may be used now.
func (b *Balancer) pick(request *openRequest) *endpoint {
	if n := min(len(b.backends), b.subsetSize()); n > maxScanned {
		if backend := b.sampleIdle(request, b.backends[:n]); backend != nil {
			return backend
		}
	}
	return b.scanAll(request)
}

// sampleIdle chooses among the idle backends as scanAll does, but by drawing random backends and accepting
// each with a probability proportional to its weight (rejection sampling). This gives the same distribution
// without a scan of all backends. The sampled subset includes backends that may not be used now, so that
// there are slightly fewer backends to choose from than with scanAll. It returns nil if none was accepted in
// maxDraws draws, as when few backends are idle.
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
		if weight > maxWeight { // the bound was too low, so that earlier draws favoured the other backends
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

// eligible reports whether a backend may get a request; isHealthy, which covers ejections, is checked
// separately. The order of the checks matters, because the last two change state.
func (b *Balancer) eligible(request *openRequest, backend *endpoint) bool {
	if backend.State != Up || !b.mayAttempt(request, backend) {
		return false
	}
	if backend == request.lastFailed && b.upCount > 1 && !b.isBoundToBackend(request) {
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

// isBoundToBackend reports whether only one backend may get a request, whatever the list contains.
func (b *Balancer) isBoundToBackend(request *openRequest) bool {
	return request.onlyBackend != "" || b.isBoundToFirstAttempt(request)
}

// isBoundToFirstAttempt reports whether only the backend of the first attempt that may have run may get a
// repeat, because the deduplication scope is unknown.
func (b *Balancer) isBoundToFirstAttempt(request *openRequest) bool {
	class := &b.classes[request.class]
	return request.mayHaveRun > 0 && class.Effect == Keyed && request.firstMayHaveRun.hasUnknownScope(class)
}

// leaseAllows reports whether this agent's leases of the fleet's limits allow a request at a backend, and
// records the limit that does not. A rejection is counted once per request. The counts are reported, so that
// the lease servers grant more to the agents that need more.
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

// idleWeight returns the relative probability with which an idle backend is chosen.
//
// Departure from the design page: an unweighted choice among idle backends would send the same load to slow
// backends as to fast ones. Each backend is therefore weighted by the inverse cube of its observed slowness.
// This makes a difference if backends differ in speed.
func (b *Balancer) idleWeight(backend *endpoint, request *openRequest) float64 {
	slowness := b.currentSlowness(backend) * *b.kindSlowness(backend.Kind, request.class)
	weight := b.capacityShare(backend) / (slowness * slowness * slowness)
	if b.sharesObservations() { // with shared observations the cube would make all agents use the same few
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

// scanAll chooses among all backends of the subset: an idle one by weight, or else the one with the lowest
// loadScore. If all are ejected, it chooses one with a low failure score and few attempts in flight, because
// a first attempt is sent in any case.
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

// loadOf returns the number of this agent's attempts in flight at a backend. For a backend that has not
// answered yet it returns the mean over all backends, so that a new backend does not attract a burst of
// requests.
func (b *Balancer) loadOf(backend *endpoint) float64 {
	if backend.hasAnswered {
		return float64(len(backend.inFlight))
	}
	return float64(b.inFlight) / float64(b.upCount)
}

// loadScore returns the score by which busy backends are ordered, the lowest first.
func (b *Balancer) loadScore(backend *endpoint, request *openRequest, load float64) float64 {
	slowness := b.currentSlowness(backend) * *b.kindSlowness(backend.Kind, request.class)
	if backend.hasAnswered {
		// For a backend that has not answered, load is the mean of all backends instead. If that was divided
		// by the share of capacity too, a busy fleet would not use the backend.
		slowness /= b.capacityShare(backend)
	}
	return (load + 1) * slowness * (1 + 0.01*b.rng.Float64())
}

// subsetSize returns the number of idle backends to choose from: the first usable ones in this agent's own
// order.
//
// Departure from the design page (subsetting): if an agent with little traffic used all backends, it would
// observe each of them once a day and open a connection for nearly every attempt. It therefore limits its
// subset so that it uses each backend again within half an objective (revisitObjectives); its observations of
// a backend are then about as old as a request may be. The order is by a hash that differs between agents, so
// that all agents together load all backends evenly, and a backend that is lost is replaced by one other.
// This could do harm if one agent has most of the traffic of a large fleet, but then the gap between attempts
// is small and the subset large. Subsetting is used only if peers do not share observations of the other
// backends.
func (b *Balancer) subsetSize() int {
	if b.meanAttemptGap == 0 || b.sharesObservations() {
		return len(b.backends)
	}
	return max(minSubsetSize, int(revisitObjectives*float64(b.peerInterval)/b.meanAttemptGap))
}
