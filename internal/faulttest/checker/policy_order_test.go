package checker

import "testing"

// Guards against a dependence on map order: of several policies that were first used at the same time, firstLaterUse
// must return the lowest number. Otherwise, reports of the same history differ.
func TestFirstLaterUseIsDeterministic(t *testing.T) {
	for range 50 {
		q := &partChecker{used: map[uint64]*used{}}
		for n := uint64(1); n <= 8; n++ {
			q.used[n] = &used{first: 7}
		}
		if at, by := q.firstLaterUse(3); at != 7 || by != 4 {
			t.Fatalf("first later use at %d of policy %d, want at 7 of policy 4", at, by)
		}
	}
}
