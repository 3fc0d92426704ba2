package decide

// updateCapacity sums up what the backends that are up, and not ejected or unreachable, can do.
//
// Backends that are up, warm and healthy count the same until something happens to them: whatever may change
// one of them clears partitionValid. Only the others, whose slow start and ejections change with time, are
// looked at each time.
func (b *Balancer) updateCapacity() {
	if b.partitionValid && len(b.unsettled) == 0 {
		return // the sums are as they were
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

// partitionBackends sorts out which backends are up, warm and healthy.
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

// isSettled reports whether a backend is up, warm and healthy.
func (b *Balancer) isSettled(backend *endpoint) bool {
	if backend.State != Up || b.capacityShare(backend) != 1 {
		return false
	}
	return !backend.inSlowStart && !backend.unreachable && !b.isEjected(backend)
}

// addUnsettled adds what another backend can do to the sums.
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
		b.partitionValid = false // from the next time on it is one of the settled ones
	}
}
