package endpoints

import (
	"fmt"
	"time"
)

// minSuddenLoss is how many servers a snapshot must lack at least for the loss to count as sudden: in a small
// fleet, one or two that are withdrawn together are more than half and yet nothing unusual.
const minSuddenLoss = 3

// maxWithdrawn bounds the withdrawals that are remembered for a source, and so its memory. Beyond it they are
// forgotten, and count from then on as if the source had just been reset.
const maxWithdrawn = maxRemovals

// source is the state of one source. Times are those of Module.Step.
type source struct {
	Source
	known          bool // a report has been received since the start or the last reset
	failing        bool // no report has been received since it last failed
	failingSince   time.Duration
	entries        map[string]*entry        // the servers that it has, by ID
	lastReceived   time.Duration            // when its last report was received
	withdrawnSince time.Duration            // since when servers without an element in withdrawn are missing
	withdrawn      map[string]time.Duration // servers that it no longer has: when it was first received without them
}

// entry is a server of a source.
type entry struct {
	Server
	announced time.Duration // when the source began to have it, or to have it up
	// lastMissing is when the source's last report without the server was received, before announced, and
	// missingSince when the first of these was.
	lastMissing  time.Duration
	missingSince time.Duration
	lost         bool // a snapshot suddenly lacks it, and is not believed yet
	lostAt       time.Duration
}

// markReceived records that a report was received.
func (s *source) markReceived(now time.Duration) {
	if !s.known {
		s.withdrawnSince = now
		s.withdrawn = map[string]time.Duration{}
	}
	s.known = true
	s.failing = false
	s.lastReceived = now
}

// withdraw records that the source no longer has a server.
func (s *source) withdraw(id string, now time.Duration) {
	delete(s.entries, id)
	if s.withdrawn == nil || len(s.withdrawn) > maxWithdrawn {
		s.withdrawn = map[string]time.Duration{}
		s.withdrawnSince = now
	}
	s.withdrawn[id] = now
}

// announce records that the source has a server again, and for how long it did not.
func (s *source) announce(e *entry, now time.Duration) {
	e.announced = now
	e.lastMissing = s.lastReceived
	e.missingSince = s.withdrawnSince
	if since, ok := s.withdrawn[e.ID]; ok {
		e.missingSince = since
		delete(s.withdrawn, e.ID)
	}
}

// isUsable reports whether a source's reports count: there are some, and it has not failed for too long.
func (s *source) isUsable(now time.Duration) bool {
	return s.known && (!s.failing || now-s.failingSince <= s.Hold)
}

// applySnapshot applies the complete list of a source's servers.
func (m *Module) applySnapshot(s *source, servers []Server) {
	named := map[string]bool{}
	for _, server := range servers {
		named[server.ID] = true
	}
	isSudden := m.checkSuddenLoss(s, named)
	for id, e := range s.entries {
		switch {
		case named[id]:
		case s.Exact:
			m.recordRemoval(s, e, Removed)
			s.withdraw(id, m.latest)
		case isSudden && !e.lost:
			e.lost = true
			e.lostAt = m.latest
		case e.lost && m.latest-e.lostAt < m.settings.Guard:
		default:
			s.withdraw(id, m.latest)
		}
	}
	for _, server := range servers {
		m.applyServer(s, server)
	}
	s.markReceived(m.latest)
}

// checkSuddenLoss reports whether a snapshot with the named servers lacks too many at once to be believed, and
// logs that.
func (m *Module) checkSuddenLoss(s *source, named map[string]bool) bool {
	missing := 0
	for id, e := range s.entries {
		if !named[id] && !e.lost {
			missing++
		}
	}
	if s.Exact || missing < minSuddenLoss || 2*missing <= len(s.entries) {
		return false
	}
	m.logs = append(m.logs, fmt.Sprintf("%s lacks %d of %d servers at once: they stay for %v",
		s.Name, missing, len(s.entries), m.settings.Guard))
	return true
}

// applyServer applies what a source reports of one server.
func (m *Module) applyServer(s *source, server Server) {
	e := s.entries[server.ID]
	if e == nil {
		e = &entry{Server: server}
		s.announce(e, m.latest)
		if server.State == Removed || server.State == Absent {
			m.recordRemoval(s, e, server.State)
			return
		}
		s.entries[server.ID] = e
	}
	oldState := e.State
	e.Server = server
	e.lost = false
	switch {
	case server.State == Removed:
		m.recordRemoval(s, e, Removed)
		s.withdraw(server.ID, m.latest)
	case server.State == Absent:
		s.withdraw(server.ID, m.latest)
	case server.State == Draining:
		m.recordRemoval(s, e, Draining)
	case oldState != Up: // the source that reported it as draining has it up again
		s.announce(e, m.latest)
	}
	if server.State == Up {
		m.revokeRemoval(s, server)
	}
}
