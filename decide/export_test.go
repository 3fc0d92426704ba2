package decide

import (
	"fmt"
	"math"
)

// CheckMeasure reports where the sums that a balancer goes by differ from those of a whole count.
func (b *Balancer) CheckMeasure() error {
	type sums struct {
		up, sound, stuck int
		warm             [8]int
	}
	take := func() (s sums) {
		s.up, s.sound, s.stuck = b.upCount, b.healthyCount, b.inFlightUncounted
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
		return fmt.Errorf("%+v and capacity %v, counted whole %+v and %v", kept, capacity, whole, b.capacity)
	}
	return nil
}

// StartAttemptWithdrawn has an attempt of an open request begun at a backend that drains by now, and returns the reason of its
// final answer.
func (b *Balancer) StartAttemptWithdrawn(request, backend string) Reason {
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
