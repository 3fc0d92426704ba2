package core

import (
	"maps"
	"time"

	"vetchhaven/decide"
)

// startTimes are when servers' processes started, by the agent's monotonic clock. A list has a start in Unix time by the
// clock of another machine, which may be off from this one's by any span. What this process observed bounds it: a start
// that a list has for the first time lies between the last list without it and now. Where the listed time lies there
// too it is taken for true; else the start counts as of now, the coldest that it can be. A list that has a start later
// than other changes makes the server colder by as much as it is late.
//
// A start on the first list that was read, or after one that was saved, has no such lower bound: there the listed time
// is taken for true unless it lies in the future. With a wall clock that is ahead by d, a server that started less than
// a warm-up before this agent counts as warmer by d then, at worst as warm; with one that is behind, as colder for at
// most one warm-up.
type startTimes struct {
	known    map[string]startTime
	listedAt time.Duration // the last list was read; 0: none was
	prunedAt time.Duration
}

// startTime is one start.
type startTime struct {
	listedMS     int64         // Unix milliseconds, as the list has it
	at           time.Duration // by the agent's clock
	missingSince time.Duration // the list has not had the server since; 0: it has it
}

const (
	// missingRetention is how long the start of a server is kept that has left the list: one that comes back as the same
	// process, after a flap of the list, has not started anew.
	missingRetention = 10 * time.Minute
	// pruneInterval is the time between two looks for starts that were kept for that long.
	pruneInterval = time.Minute
)

// observe bounds the starts of a list. That of a process which is known already stays as it is: changed, it would count
// as another process.
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

// markUnlisted marks the servers that a complete list does not have.
func (s *startTimes) markUnlisted(l *List, now time.Duration) {
	for id := range s.known {
		if _, listed := l.Starts[id]; !listed {
			s.markMissing(id, now)
		}
	}
}

// markMissing notes that the list does not have a server.
func (s *startTimes) markMissing(id string, now time.Duration) {
	if start, known := s.known[id]; known && start.missingSince == 0 {
		start.missingSince = now
		s.known[id] = start
	}
}

// prune drops the starts of servers that have been missing for long.
func (s *startTimes) prune(now time.Duration) {
	if now-s.prunedAt < pruneInterval {
		return
	}
	s.prunedAt = now
	maps.DeleteFunc(s.known, func(_ string, start startTime) bool {
		return start.missingSince > 0 && now-start.missingSince > missingRetention
	})
}

// resolve is when a process started by the agent's clock; hint is its listed time by this process's own wall clock.
func (s *startTimes) resolve(id string, listedMS int64, hint, now time.Duration) time.Duration {
	previous, known := s.known[id]
	if known && listedMS <= previous.listedMS { // as before, or an older list
		previous.missingSince = 0
		s.known[id] = previous
		return previous.at
	}
	at := min(hint, now)
	if at < s.listedAt { // the listed time is proved wrong, or came late: nothing says when in between it started
		at = now
	}
	if known {
		at = max(at, previous.at+1) // it counts as another process, whatever the bounds leave
	}
	s.known[id] = startTime{listedMS: listedMS, at: at}
	return at
}

// startedAt is when the process of a server started that the list has with this time, or false if that is not known.
func (s *startTimes) startedAt(id string, listedMS int64) (time.Duration, bool) {
	start, known := s.known[id]
	return start.at, known && start.listedMS == listedMS
}

// listedMS is a start as the list has it, in Unix milliseconds; 0: it is not known.
func (s *startTimes) listedMS(id string) int64 { return s.known[id].listedMS }

// restore notes the start of a process that an earlier agent of this name knew.
func (s *startTimes) restore(id string, listedMS int64, hint, now time.Duration) time.Duration {
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	return s.resolve(id, listedMS, hint, now)
}
