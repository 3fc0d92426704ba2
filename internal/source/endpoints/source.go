package endpoints

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// minSuddenLoss is the minimum number of missing servers for a loss to count as sudden. In a small fleet, one or
// two servers that are withdrawn together may be more than half, but this is not unusual.
const minSuddenLoss = 3

// maxWithdrawn bounds the number of withdrawals that are stored for a source, and so its memory. Beyond it all of
// them are dropped, and the missing servers are treated as missing since that moment, like after a reset.
const maxWithdrawn = maxRemovals

// source is the state of one source. Times are those of Module.Step.
type source struct {
	Source
	known          bool // whether a report has been received since the start or the last reset
	failing        bool // whether the source has failed and no report has been received since
	failingSince   time.Duration
	replaced       bool                     // whether entries are reports of another origin, which the next snapshot replaces
	entries        map[string]*entry        // the servers that the source names, by ID
	lastReceived   time.Duration            // when its last report was received
	withdrawnSince time.Duration            // since when servers that are not in withdrawn are missing
	withdrawn      map[string]time.Duration // when each server that the source no longer names was first missing
}

// entry is a server that a source names.
type entry struct {
	Server
	announced time.Duration // when the source began to name the server, or to report it as up
	// Before announced, the source did not name the server: missingSince is when its first report without the
	// server was received, lastMissing when the last one was.
	lastMissing  time.Duration
	missingSince time.Duration
	lost         bool // whether the server suddenly disappeared from a snapshot and is kept for Settings.SuddenLossGuard
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

// forgetReports discards what the source has reported. A server that it names after that does not count as announced
// anew.
func (s *source) forgetReports(now time.Duration) {
	s.known = false
	s.replaced = false
	s.entries = map[string]*entry{}
	s.lastReceived = now
	s.withdrawnSince = now
	s.withdrawn = map[string]time.Duration{}
}

// withdraw records that the source no longer names a server.
func (s *source) withdraw(id string, now time.Duration) {
	delete(s.entries, id)
	if s.withdrawn == nil || len(s.withdrawn) > maxWithdrawn {
		s.withdrawn = map[string]time.Duration{}
		s.withdrawnSince = now
	}
	s.withdrawn[id] = now
}

// announce records that the source names a server, and since when the server was missing before.
func (s *source) announce(e *entry, now time.Duration) {
	e.announced = now
	e.lastMissing = s.lastReceived
	e.missingSince = s.withdrawnSince
	if since, ok := s.withdrawn[e.ID]; ok {
		e.missingSince = since
		delete(s.withdrawn, e.ID)
	}
}

// isUsable reports whether a source's reports are used: at least one has been received, and the source has not been
// failing for longer than Hold.
func (s *source) isUsable(now time.Duration) bool {
	return s.known && (!s.failing || now-s.failingSince <= s.Hold)
}

// applySnapshot applies the complete list of a source's servers.
func (m *Module) applySnapshot(s *source, servers []Server) {
	if s.replaced {
		s.forgetReports(m.latest)
	}
	named := map[string]bool{}
	for _, server := range servers {
		named[server.ID] = true
	}
	isSudden := m.checkSuddenLoss(s, named)
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		e := s.entries[id]
		switch {
		case named[id]:
		case s.Exact:
			m.recordRemoval(s, e, Removed)
			s.withdraw(id, m.latest)
		case isSudden && !e.lost:
			e.lost = true
			e.lostAt = m.latest
		case e.lost && m.latest-e.lostAt < m.settings.SuddenLossGuard:
		default:
			s.withdraw(id, m.latest)
		}
	}
	for _, server := range servers {
		m.applyServer(s, server)
	}
	s.markReceived(m.latest)
}

// checkSuddenLoss reports whether a snapshot with the named servers lacks so many servers that it is not accepted
// yet, and logs this.
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
	m.logs = append(m.logs, fmt.Sprintf("source %s suddenly lacks %d of %d servers: they are kept for %v",
		s.Name, missing, len(s.entries), m.settings.SuddenLossGuard))
	return true
}

// applyServer applies a source's report of one server.
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
	case oldState != Up: // the source reported the server as draining, and reports it as up again
		s.announce(e, m.latest)
	}
	if server.State == Up {
		m.revokeRemoval(s, server)
	}
}
