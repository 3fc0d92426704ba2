package checker

import "testing"

// Of two policies that were first used in one instant, the earlier one is named, each time. It was the one that a map gave first:
// a report of the same history named one or the other.
func TestFirstLaterUseIsTheSameEachTime(t *testing.T) {
	for range 50 {
		q := &partChecker{used: map[uint64]*used{}}
		for n := uint64(1); n <= 8; n++ {
			q.used[n] = &used{first: 7}
		}
		if at, by := q.firstLaterUse(3); at != 7 || by != 4 {
			t.Fatalf("at %d by %d", at, by)
		}
	}
}
