package decide

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// stillDisabled is the value in disabledByHand for a backend that an operator has disabled and not enabled
// again.
const stillDisabled = time.Duration(-1)

// onListUpdate applies a list of backends, or handles the failure to get one.
func (b *Balancer) onListUpdate(e ListUpdate) {
	if b.settings.Subscribe {
		b.scheduleSubscribe(e.Kind)
	}
	if e.Kind == ListFailed {
		return
	}
	b.listVersion++
	b.partitionValid = false
	listed := map[string]bool{}
	for _, entry := range e.Backends {
		listed[entry.ID] = true
		backend := b.byID[entry.ID]
		if backend == nil {
			b.addBackend(entry)
		} else {
			b.updateBackend(backend, entry)
		}
	}
	slices.SortStableFunc(b.backends, func(x, y *endpoint) int { return cmp.Compare(x.rank, y.rank) })
	complete := e.Kind != ListDelta
	b.backends = slices.DeleteFunc(b.backends, func(backend *endpoint) bool {
		if complete && !listed[backend.ID] {
			backend.State = Removed
			backend.listed = Removed
		}
		return b.forget(backend)
	})
}

// scheduleSubscribe sets the timer for the next Subscribe after a failure or a cached list, with exponential
// backoff and full jitter, because all agents may start, or reach discovery again, at the same time.
func (b *Balancer) scheduleSubscribe(kind ListKind) {
	if kind != ListCached && kind != ListFailed {
		b.subscribeFailures = 1
		return
	}
	ceiling := min(b.settings.SubscribeWithin/64<<min(b.subscribeFailures, 4), maxSubscribeBackoff)
	b.subscribeToken = b.setTimer(time.Duration(b.rng.Float64() * float64(ceiling)))
	b.subscribeFailures++
}

// addBackend adds a backend that is listed for the first time.
func (b *Balancer) addBackend(entry Backend) {
	backend := &endpoint{
		Backend:      entry,
		listed:       entry.State,
		slowness:     1,
		hash:         hashID(entry.ID),
		rank:         hashID(fmt.Sprint(entry.ID, b.settings.Self)),
		addrSetAt:    b.listVersion,
		zoneSetAt:    b.listVersion,
		cellSetAt:    b.listVersion,
		processSetAt: b.listVersion,
	}
	b.byID[entry.ID] = backend
	b.byHash[backend.hash] = backend
	b.backends = append(b.backends, backend)
	if started := max(entry.Started, b.disabledByHand[entry.ID]); started > 0 {
		b.beginSlowStart(backend, started)
	}
	b.restoreSlowness(backend)
	b.applyState(backend)
}

// updateBackend applies a list entry to a backend that was listed before.
func (b *Balancer) updateBackend(backend *endpoint, entry Backend) {
	if entry.Started > backend.Started {
		b.resetProcess(backend, max(entry.Started, backend.slowStartFrom))
	}
	if entry.Addr != backend.Addr {
		backend.addrSetAt = b.listVersion
	}
	if entry.Zone != backend.Zone {
		backend.zoneSetAt = b.listVersion
	}
	if entry.Cell != backend.Cell {
		backend.cellSetAt = b.listVersion
	}
	backend.Backend = entry
	backend.listed = entry.State
	b.applyState(backend)
}

// forget deletes a backend that is removed from the list and has no attempt in flight, and reports whether it
// did. If it did not, it is called again with the next list.
func (b *Balancer) forget(backend *endpoint) bool {
	if backend.State != Removed || len(backend.inFlight) > 0 {
		return false
	}
	delete(b.byID, backend.ID)
	if b.byHash[backend.hash] == backend {
		delete(b.byHash, backend.hash)
	}
	return true
}

// applyState sets the state of a backend from the list and the operators. A backend that an operator has
// disabled is treated as draining even if the list has it as up.
func (b *Balancer) applyState(backend *endpoint) {
	backend.State = backend.listed
	if b.disabledByHand[backend.ID] == stillDisabled {
		backend.State = max(backend.listed, Draining)
	}
}

// resetProcess resets the state of a backend whose process was replaced by a new one.
func (b *Balancer) resetProcess(backend *endpoint, startedAt time.Duration) {
	b.beginSlowStart(backend, startedAt)
	backend.failureScore = 0
	backend.ejectedUntil = 0
	backend.fleetEjectedUntil = 0
	backend.drainedUntil = 0
	backend.unreachable = false
	backend.consecutiveTimeouts = 0
	backend.processSetAt = b.listVersion
}

// onBackendDisabled disables a backend for an operator, or enables it again. An enabled backend is in slow
// start, because its process was most likely restarted while it was disabled, and the list may report the
// restart late or not at all.
func (b *Balancer) onBackendDisabled(e BackendDisabled) {
	b.forgetEnabled()
	backend := b.byID[e.Backend]
	wasDisabled := b.disabledByHand[e.Backend] == stillDisabled
	b.partitionValid = false
	switch {
	case e.Disabled:
		b.disabledByHand[e.Backend] = stillDisabled
	case wasDisabled:
		b.disabledByHand[e.Backend] = b.now
	}
	if backend == nil || wasDisabled == e.Disabled {
		return
	}
	b.applyState(backend)
	if !e.Disabled {
		b.listVersion++ // outcomes of earlier attempts belong to another process
		b.resetProcess(backend, b.now)
	}
}

// forgetEnabled deletes the records of backends that were enabled again and whose slow start is over.
func (b *Balancer) forgetEnabled() {
	maps.DeleteFunc(b.disabledByHand, func(_ string, enabledAt time.Duration) bool {
		return enabledAt != stillDisabled && b.now-enabledAt >= b.settings.SlowStartTime
	})
}

// HasBackend reports whether a backend is in the list, or disabled by an operator.
func (b *Balancer) HasBackend(id string) bool {
	return b.byID[id] != nil || b.disabledByHand[id] == stillDisabled
}

// BackendCounts returns the number of listed backends, and the number of those that get no ordinary traffic
// now because they are draining, disabled by an operator, unreachable, or ejected.
func (b *Balancer) BackendCounts() (listed, avoided int) {
	for _, backend := range b.backends {
		if backend.listed == Removed {
			continue
		}
		listed++
		if backend.State != Up || backend.unreachable || b.isEjected(backend) {
			avoided++
		}
	}
	return listed, avoided
}
