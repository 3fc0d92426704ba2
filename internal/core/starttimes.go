package core

import (
	"maps"
	"time"

	"vetchhaven/decide"
)

// startTimes are when servers' processes started, by the agent's monotonic clock. A list has a start in Unix time by
// the clock of another machine, which may differ from this one's by any amount. What this process has observed
// bounds the start: a start that a list has for the first time lies between the last list without it and now. If the
// listed time lies in that range too it is taken as correct; otherwise the process counts as started now, which
// makes it as cold as it can be. A list that has a start later than other changes makes the server colder by that
// delay.
//
// A start in the first list that was read, or in the first one after a list that was saved, has no such lower bound.
// The listed time is then taken as correct unless it lies in the future. If the wall clock is ahead by d, a server
// that started less than one warm-up before this agent counts as warmer by d, at worst as warm. If the wall clock is
// behind, it counts as colder for at most one warm-up.
type startTimes struct {
	known    map[string]startTime
	listedAt time.Duration // when the last list was read; 0: none was
	prunedAt time.Duration
}

// startTime is one start.
type startTime struct {
	listedMS     int64         // Unix milliseconds, as the list has it
	at           time.Duration // start by the agent's clock
	missingSince time.Duration // since when the server is missing in the list; 0: it is listed
}

const (
	// missingRetention is how long the start of a server is kept after the server has left the list. A server that
	// comes back as the same process, after the list has flapped, has not started anew.
	missingRetention = 10 * time.Minute
	// pruneInterval is the time between two searches for starts that are past missingRetention.
	pruneInterval = time.Minute
)

// observe bounds the starts of a list. The start of a process that is known already does not change, because the
// process would then count as another one.
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

// markUnlisted marks the servers that a complete list does not have as missing.
func (s *startTimes) markUnlisted(l *List, now time.Duration) {
	for id := range s.known {
		if _, listed := l.Starts[id]; !listed {
			s.markMissing(id, now)
		}
	}
}

// markMissing records that the list does not have a server.
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
	if at < s.listedAt { // the listed time is wrong, or was listed late; when in between it started is unknown
		at = now
	}
	if known {
		at = max(at, previous.at+1) // it must count as another process, whatever the bounds
	}
	s.known[id] = startTime{listedMS: listedMS, at: at}
	return at
}

// startedAt returns when the process of a server started whose listed start is listedMS, or false if no such process
// is known.
func (s *startTimes) startedAt(id string, listedMS int64) (time.Duration, bool) {
	start, known := s.known[id]
	return start.at, known && start.listedMS == listedMS
}

// listedMS returns a server's start as the list has it, in Unix milliseconds; 0: it is not known.
func (s *startTimes) listedMS(id string) int64 { return s.known[id].listedMS }

// restore records the start of a process that an earlier agent of this name knew.
func (s *startTimes) restore(id string, listedMS int64, hint, now time.Duration) time.Duration {
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	return s.resolve(id, listedMS, hint, now)
}
