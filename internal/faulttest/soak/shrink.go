package soak

import "slices"

// Shrink removes from a plan the parts that are not needed for it to fail: first one incident after the other, then
// the process faults. fails runs a plan and reports whether it still fails; it is called at most tries times. Real
// processes behave differently from run to run: an incident that was removed because one run failed without it by
// chance may be needed in the next.
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
