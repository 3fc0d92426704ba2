package soak

import "slices"

// Shrink drops from a plan what is not needed for it to fail: first one trouble after the other, then the faults of its
// processes. fails plays a plan and reports whether it still fails; it is called at most so many times. Plays with real
// processes differ from run to run: a trouble that was dropped by luck of one play may be needed in the next.
func Shrink(p Plan, tries int, fails func(Plan) bool) Plan {
	for i := len(p.Incidents) - 1; i >= 0 && tries > 0; i-- {
		smaller := p
		smaller.Incidents = slices.Delete(slices.Clone(p.Incidents), i, i+1)
		tries--
		if fails(smaller) {
			p = smaller
		}
	}
	if tries > 0 && len(p.Faults) > 0 {
		smaller := p
		smaller.Faults = nil
		if fails(smaller) {
			p = smaller
		}
	}
	return p
}
