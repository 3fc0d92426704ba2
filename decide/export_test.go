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
		s.up, s.sound, s.stuck = b.up, b.sound, b.stuck
		for i, k := range b.kinds {
			s.warm[i%len(s.warm)] += k.warm
		}
		return s
	}
	b.measure()
	kept, capacity := take(), b.capacity
	b.partitioned = false
	b.measure()
	if whole := take(); whole != kept || math.Abs(b.capacity-capacity) > 1e-9 {
		return fmt.Errorf("%+v and capacity %v, counted whole %+v and %v", kept, capacity, whole, b.capacity)
	}
	return nil
}
