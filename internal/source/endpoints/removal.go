package endpoints

import (
	"slices"
	"time"
)

// maxRemovals bounds the number of removals that are stored, and so their memory. Beyond it the oldest removal is
// dropped: after that many later removals, no record is expected to name its server any more. With a smaller value a
// stale record could bring back a removed server in a large fleet.
const maxRemovals = 20000

// removal is a source's report that a server is draining or was removed.
type removal struct {
	number  int // in a removalSet: a later removal has a larger one
	id      string
	addr    string
	state   State  // Draining or Removed
	source  string // name of the source that reported it
	at      time.Duration
	started int64 // start of the server, as in Server.Started
}

// recordRemoval records that a source reports a server as draining or removed; other states are ignored.
func (m *Module) recordRemoval(s *source, e *entry, state State) {
	if state != Draining && state != Removed {
		return
	}
	for _, r := range m.removals.matching(e.Server) {
		if r.source == s.Name {
			r.state = state
			r.at = m.latest // a repeated report counts as new
			r.started = max(r.started, e.Started)
			return
		}
	}
	m.removals.add(&removal{
		id:      e.ID,
		addr:    e.Addr,
		state:   state,
		source:  s.Name,
		at:      m.latest,
		started: e.Started,
	})
}

// revokeRemoval drops a source's own removals of a server that it reports as up.
func (m *Module) revokeRemoval(s *source, server Server) {
	var revoked []*removal
	for _, r := range m.removals.matching(server) {
		if r.source == s.Name {
			revoked = append(revoked, r)
		}
	}
	m.removals.remove(revoked)
}

// isOverruledBy reports whether a source's entry is newer evidence than the removal: a later start of the server,
// or a withdrawal and a new announcement after the removal.
//
// The withdrawal must have lasted for guard, because two cases are not new announcements: a record that was
// published before the removal may be read for the first time after it, and a reading may lack records by mistake.
func (r *removal) isOverruledBy(e *entry, guard time.Duration) bool {
	if e.State != Up || e.lost {
		return false
	}
	if e.Started > 0 && r.started > 0 {
		return e.Started > r.started
	}
	return e.announced > r.at && e.lastMissing > r.at && e.lastMissing-max(e.missingSince, r.at) >= guard
}

// removalOf returns the removal of a server that no entry overrules. If there are several, it returns the oldest one
// with the largest state; nil if there is none.
func (m *Module) removalOf(entries []*entry) *removal {
	var result *removal
	for _, e := range entries {
		for _, r := range m.removals.matching(e.Server) {
			isStronger := result == nil || r.state > result.state || r.state == result.state && r.number < result.number
			if isStronger && !m.isOverruled(r, entries) {
				result = r
			}
		}
	}
	return result
}

// isOverruled reports whether any entry of a server is newer evidence than a removal of it.
func (m *Module) isOverruled(r *removal, entries []*entry) bool {
	return slices.ContainsFunc(entries, func(e *entry) bool { return r.isOverruledBy(e, m.settings.SuddenLossGuard) })
}
