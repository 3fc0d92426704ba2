package decide

import (
	"fmt"
	"math"
)

// CheckCapacity returns an error if the incrementally updated sums of a balancer differ from those of a complete
// recount.
func (b *Balancer) CheckCapacity() error {
	type sums struct {
		up, healthy, uncounted int
		warm                   [8]int
	}
	take := func() (s sums) {
		s.up, s.healthy, s.uncounted = b.upCount, b.healthyCount, b.inFlightUncounted
		for i, k := range b.kinds {
			s.warm[i%len(s.warm)] += k.warmCount
		}
		return s
	}
	b.updateCapacity()
	kept, capacity := take(), b.capacity
	b.partitionValid = false
	b.updateCapacity()
	if whole := take(); whole != kept || math.Abs(b.capacity-capacity) > 1e-9 {
		return fmt.Errorf("sums %+v and capacity %v, by a full count %+v and %v", kept, capacity, whole, b.capacity)
	}
	return nil
}

// StartAttemptAtDrainingBackend starts an attempt of an open request at a backend that has begun to drain, and returns
// the reason of the request's final answer.
func (b *Balancer) StartAttemptAtDrainingBackend(request, backend string) Reason {
	e := b.byID[backend]
	e.State = Draining
	b.actions = nil
	b.startAttempt(b.requests[request], e)
	for _, a := range b.actions {
		switch a := a.(type) {
		case Refuse:
			return a.Reason
		case Fail:
			return a.Reason
		}
	}
	return ReasonCount
}
