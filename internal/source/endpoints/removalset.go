package endpoints

import "slices"

// removalSet holds removals, oldest first, and finds those of a server without a look at the others: removals outlive the
// process, so that there may be many more of them than servers.
type removalSet struct {
	all    []*removal // sorted by number
	byID   map[string][]*removal
	byAddr map[string][]*removal // without those of an unknown address
	last   int                   // the number of the latest removal
}

func newRemovalSet() *removalSet {
	return &removalSet{byID: map[string][]*removal{}, byAddr: map[string][]*removal{}}
}

// add adds a removal as the latest one. Beyond maxRemovals the oldest one is dropped.
func (s *removalSet) add(r *removal) {
	s.last++
	r.number = s.last
	s.all = append(s.all, r)
	s.byID[r.id] = append(s.byID[r.id], r)
	if r.addr != "" {
		s.byAddr[r.addr] = append(s.byAddr[r.addr], r)
	}
	if len(s.all) > maxRemovals {
		s.removeFromIndexes(s.all[0])
		s.all = s.all[1:]
	}
}

// matching returns the removals of a server, by its ID or by its address, oldest first.
func (s *removalSet) matching(server Server) []*removal {
	byID := s.byID[server.ID]
	byAddr := s.byAddr[server.Addr]
	if len(byID) == 0 {
		return byAddr
	}
	if len(byAddr) == 0 {
		return byID
	}
	both := slices.Concat(byID, byAddr)
	slices.SortFunc(both, func(a, b *removal) int { return a.number - b.number })
	return slices.Compact(both)
}

// remove removes removals. They must be in the set.
func (s *removalSet) remove(removals []*removal) {
	if len(removals) == 0 {
		return
	}
	for _, r := range removals {
		s.removeFromIndexes(r)
	}
	s.all = slices.DeleteFunc(s.all, func(r *removal) bool { return slices.Contains(removals, r) })
}

// removeOf removes all removals that a source has reported.
func (s *removalSet) removeOf(source string) {
	s.all = slices.DeleteFunc(s.all, func(r *removal) bool {
		if r.source == source {
			s.removeFromIndexes(r)
		}
		return r.source == source
	})
}

func (s *removalSet) removeFromIndexes(r *removal) {
	removeFromIndex(s.byID, r.id, r)
	removeFromIndex(s.byAddr, r.addr, r)
}

// removeFromIndex removes a removal from an index. It makes a new slice, since matching may have returned the old one.
func removeFromIndex(index map[string][]*removal, key string, r *removal) {
	var rest []*removal
	for _, other := range index[key] {
		if other != r {
			rest = append(rest, other)
		}
	}
	if len(rest) > 0 {
		index[key] = rest
	} else {
		delete(index, key)
	}
}
