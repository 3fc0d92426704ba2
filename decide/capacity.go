package decide

// updateCapacity computes the total capacity of the backends that are up, reachable and not ejected.
//
// Backends that are up, not in slow start and healthy ("settled") add the same capacity until an event
// changes their state. Every change that may affect one of them clears partitionValid. Only the other
// backends, whose slow start and ejections end with time, are checked on each call.
func (b *Balancer) updateCapacity() {
	if b.partitionValid && len(b.unsettled) == 0 {
		return // all backends are settled, and none has changed
	}
	if !b.partitionValid {
		b.partitionBackends()
	}
	b.upCount = b.settledCount
	b.healthyCount = b.settledCount
	b.capacity = float64(b.settledCount)
	b.inFlightUncounted = 0
	for _, kind := range b.kinds {
		kind.warmCount = kind.settledCount
	}
	for _, backend := range b.unsettled {
		b.addUnsettled(backend)
	}
}

// partitionBackends separates the settled backends from the others.
func (b *Balancer) partitionBackends() {
	b.partitionValid = true
	b.settledCount = 0
	b.unsettled = b.unsettled[:0]
	for _, kind := range b.kinds {
		kind.settledCount = 0
	}
	for _, backend := range b.backends {
		if !b.isSettled(backend) {
			b.unsettled = append(b.unsettled, backend)
			continue
		}
		b.settledCount++
		b.kind(backend).settledCount++
		b.kind(nil).settledCount++
	}
}

// isSettled reports whether a backend is up, not in slow start, and healthy.
func (b *Balancer) isSettled(backend *endpoint) bool {
	if backend.State != Up || b.capacityShare(backend) != 1 {
		return false
	}
	return !backend.inSlowStart && !backend.unreachable && !b.isEjected(backend)
}

// addUnsettled adds a backend that is not settled to the sums.
func (b *Balancer) addUnsettled(backend *endpoint) {
	share := b.capacityShare(backend)
	up := backend.State == Up
	if up {
		b.upCount++
	}
	if up && !backend.inSlowStart {
		b.kind(backend).warmCount++
		b.kind(nil).warmCount++
		if !backend.unreachable {
			b.healthyCount++
		}
	}
	if up && !backend.unreachable && !b.isEjected(backend) {
		b.capacity += share
	} else {
		b.inFlightUncounted += len(backend.inFlight)
	}
	if b.isSettled(backend) {
		b.partitionValid = false // the next call counts it as settled
	}
}
