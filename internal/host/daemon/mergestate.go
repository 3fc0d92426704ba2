package daemon

import (
	"cmp"
	"slices"
	"time"

	"vetchhaven/internal/source/endpoints"
)

// mergeCandidate is the state of a source that was followed, from which the origins of another one may continue.
type mergeCandidate struct {
	*endpoints.SavedState
	hasName bool // the source had the same name
	hasKey  bool // the source read the same list and records
	at      time.Duration
}

// mergeFor returns the state from which origins continue. Each continues from the last state of an origin with the same
// identity, whatever source that was of, or else from that of the source with the same name, together with the removals that
// this origin had reported. Where the source with the same key or name had further origins, their last reports are included.
// It returns nil if there is no state for any origin.
func mergeFor(origins []endpoints.Source, candidates []mergeCandidate) *endpoints.SavedState {
	slices.SortFunc(candidates, func(a, b mergeCandidate) int {
		return cmp.Or(cmp.Compare(b.at, a.at), compareBool(b.hasKey, a.hasKey), compareBool(b.hasName, a.hasName))
	})
	merge := &endpoints.SavedState{}
	for _, origin := range origins {
		if from, saved, found := findOrigin(origin, candidates); found {
			merge.Sources = append(merge.Sources, saved)
			merge.Removals = append(merge.Removals, removalsBy(origin.Name, from)...)
		}
	}
	if last := slices.IndexFunc(candidates, func(c mergeCandidate) bool { return c.hasKey || c.hasName }); last >= 0 {
		for _, saved := range candidates[last].Sources {
			isPresent := slices.ContainsFunc(origins, func(o endpoints.Source) bool { return o.Name == saved.Name })
			if !isPresent {
				merge.Sources = append(merge.Sources, saved)
				merge.Removals = append(merge.Removals, removalsBy(saved.Name, candidates[last])...)
			}
		}
	}
	if len(merge.Sources) == 0 {
		return nil
	}
	slices.SortStableFunc(merge.Removals, func(a, b endpoints.SavedRemoval) int { return cmp.Compare(b.AgeMS, a.AgeMS) })
	return merge
}

// findOrigin returns the candidate from which an origin continues, and its state there. The candidates are sorted, the
// preferred one first.
func findOrigin(origin endpoints.Source, candidates []mergeCandidate) (from mergeCandidate, saved endpoints.SavedSource, found bool) {
	for _, c := range candidates {
		for _, s := range c.Sources {
			if isOrigin(s, origin) {
				return c, s, true
			}
		}
	}
	for _, c := range candidates {
		for _, s := range c.Sources {
			if c.hasName && s.Name == origin.Name {
				return c, s, true
			}
		}
	}
	return from, saved, false
}

// removalsBy returns the removals that an origin had reported.
func removalsBy(origin string, from mergeCandidate) (removals []endpoints.SavedRemoval) {
	for _, removal := range from.Removals {
		if removal.Source == origin {
			removals = append(removals, removal)
		}
	}
	return removals
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// isOrigin reports whether a saved state is that of an origin: it has the same name, and read the same.
func isOrigin(saved endpoints.SavedSource, origin endpoints.Source) bool {
	return saved.Name == origin.Name && saved.Origin == origin.Origin
}
