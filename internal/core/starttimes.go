package core

import (
	"maps"
	"time"

	"vetchhaven/decide"
)

// startTimes holds the times at which servers' processes started, by the agent's monotonic clock. A list contains
// starts in Unix time by the clock of another machine, which may differ from this machine's clock by any amount. The
// agent's own observations bound a start: one that a list contains for the first time lies between the last list
// without it and now. If the listed time lies in that range too, it is taken as correct. Otherwise the process counts
// as started now, so that it gets the complete slow start. If the list contains a start later than other changes, the
// slow start ends later by that delay.
//
// For a start in the first list that was read, or in the first one after a saved list, there is no such lower bound.
// The listed time is then taken as correct unless it lies in the future. If this machine's wall clock is ahead by d,
// the slow start of a server that started less than one slow-start time before this agent ends earlier by d, at worst
// at once. If the wall clock is behind, the slow start ends later, by at most one slow-start time.
type startTimes struct {
	known    map[string]startTime
	listedAt time.Duration // when the last list that was not a stored one was received; 0: none was
	prunedAt time.Duration
}

// startTime is one start.
type startTime struct {
	listedMS     int64         // listed start, Unix milliseconds
	at           time.Duration // start by the agent's clock
	missingSince time.Duration // time since which the server is missing in the list; 0: it is listed
}

const (
	// missingRetention is how long the start of a server is kept after the server was removed from the list. If the
	// server is listed again as the same process, because the list was temporarily incomplete, it has not restarted.
	missingRetention = 10 * time.Minute
	// pruneInterval is the minimum time between two searches for starts that are older than missingRetention.
	pruneInterval = time.Minute
)

// observe replaces the starts in a list by those according to startTimes, and records them. The start of a process that
// has already been recorded does not change, because the process would then count as another one.
func (s *startTimes) observe(l *List, now time.Duration) {
	if l.Kind == decide.ListFailed {
		return
	}
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	for i := range l.Backends {
		b := &l.Backends[i]
		if b.State == decide.Removed {
			s.markMissing(b.ID, now)
			continue
		}
		if listed := l.Starts[b.ID]; listed > 0 {
			b.Started = s.resolve(b.ID, listed, b.Started, now)
		}
	}
	if l.Kind == decide.ListFull {
		s.markUnlisted(l, now)
	}
	s.prune(now)
	if !l.Saved && l.Kind != decide.ListCached {
		s.listedAt = now
	}
}

// markUnlisted marks the servers that a complete list does not contain as missing.
func (s *startTimes) markUnlisted(l *List, now time.Duration) {
	for id := range s.known {
		if _, listed := l.Starts[id]; !listed {
			s.markMissing(id, now)
		}
	}
}

// markMissing records that the list does not contain a server any more.
func (s *startTimes) markMissing(id string, now time.Duration) {
	if start, known := s.known[id]; known && start.missingSince == 0 {
		start.missingSince = now
		s.known[id] = start
	}
}

// prune drops the starts of servers that have been missing for longer than missingRetention.
func (s *startTimes) prune(now time.Duration) {
	if now-s.prunedAt < pruneInterval {
		return
	}
	s.prunedAt = now
	maps.DeleteFunc(s.known, func(_ string, start startTime) bool {
		return start.missingSince > 0 && now-start.missingSince > missingRetention
	})
}

// resolve returns when a process started, by the agent's clock; hint is its listed time by this process's own wall
// clock.
func (s *startTimes) resolve(id string, listedMS int64, hint, now time.Duration) time.Duration {
	previous, known := s.known[id]
	if known && listedMS <= previous.listedMS { // the same process, or an older list
		previous.missingSince = 0
		s.known[id] = previous
		return previous.at
	}
	at := min(hint, now)
	if at < s.listedAt { // the listed time is wrong, or was listed late, so that the actual start is unknown
		at = now
	}
	if known {
		at = max(at, previous.at+1) // it must count as another process in any case
	}
	s.known[id] = startTime{listedMS: listedMS, at: at}
	return at
}

// startedAt returns the start, by the agent's clock, of the process of a server whose listed start is listedMS, or
// false if that is not the latest recorded process of the server.
func (s *startTimes) startedAt(id string, listedMS int64) (time.Duration, bool) {
	start, known := s.known[id]
	return start.at, known && start.listedMS == listedMS
}

// listedMS returns the listed start of a server in Unix milliseconds; 0: it is unknown.
func (s *startTimes) listedMS(id string) int64 { return s.known[id].listedMS }

// restore records the start of a process from the stored LearnedState, and returns it by the agent's clock.
func (s *startTimes) restore(id string, listedMS int64, hint, now time.Duration) time.Duration {
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	return s.resolve(id, listedMS, hint, now)
}
