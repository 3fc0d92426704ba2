package core

import (
	"maps"
	"time"

	"vetchhaven/decide"
)

// startTimes are when servers' processes started, by the agent's monotonic clock. A list tells a start in Unix time by
// the clock of another machine, which may be off from this one's by any span; what this process observed bounds it: a
// start that a list tells for the first time lies between the last list that lacked it and now. Where the told time lies
// there too it is taken for true; else the start counts as of now, the coldest that it can be. A list that tells a start
// after it has told something later makes the server colder by as much as it is late.
//
// A start on the first list that was read, or behind one that was saved, has no such lower bound: there the told time is
// taken for true unless it lies in the future. With a wall clock that is ahead by d, a server that started less than a
// warm-up before this agent counts as warmer by d then, at the worst as warm; with one that is behind, as colder for at
// most one warm-up.
type startTimes struct {
	known    map[string]startTime
	listedAt time.Duration // when the last list was read; 0: none was
	prunedAt time.Duration // when what has been off the list for long was dropped
}

// startTime is one start.
type startTime struct {
	listedMS     int64         // ms, Unix, as the list has it
	at           time.Duration // by the agent's clock
	missingSince time.Duration // since when the list has lacked the server; 0: it has it
}

const (
	// missingRetention is how long the start of a server is kept that has left the list: one that comes back as the same process,
	// after a flap of the list, has not started anew.
	missingRetention = 10 * time.Minute
	pruneInterval    = time.Minute
)

// observe bounds the starts of a list that has come. The told time of a process that is known already stays where it was
// put: moved, it would count as another process.
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
		told := l.Starts[b.ID]
		if told <= 0 {
			continue
		}
		b.Started = s.resolve(b.ID, told, b.Started, now)
	}
	if l.Kind == decide.ListFull {
		s.markUnlisted(l, now)
	}
	s.prune(now)
	if !l.Saved && l.Kind != decide.ListCached {
		s.listedAt = now
	}
}

// markUnlisted notes what a whole list does not name.
func (s *startTimes) markUnlisted(l *List, now time.Duration) {
	for id := range s.known {
		if _, listed := l.Starts[id]; !listed {
			s.markMissing(id, now)
		}
	}
}

// markMissing notes that the list lacks a server.
func (s *startTimes) markMissing(id string, now time.Duration) {
	if t, known := s.known[id]; known && t.missingSince == 0 {
		t.missingSince = now
		s.known[id] = t
	}
}

// prune drops what has been off the list for long.
func (s *startTimes) prune(now time.Duration) {
	if now-s.prunedAt < pruneInterval {
		return
	}
	s.prunedAt = now
	maps.DeleteFunc(s.known, func(_ string, t startTime) bool { return t.missingSince > 0 && now-t.missingSince > missingRetention })
}

// resolve is when a process started; hint is its told time by this process's own wall clock.
func (s *startTimes) resolve(id string, told int64, hint, now time.Duration) time.Duration {
	last, known := s.known[id]
	if known && told <= last.listedMS { // as it was, or an older list
		last.missingSince = 0
		s.known[id] = last
		return last.at
	}
	at := min(hint, now)
	if at < s.listedAt { // the told time is proved wrong, or was told late: nothing says where in between it started
		at = now
	}
	if known {
		at = max(at, last.at+1) // another process: it counts as one, whatever the bounds leave
	}
	s.known[id] = startTime{listedMS: told, at: at}
	return at
}

// startedAt is when the process of a server started that the list tells so, or false where that is not known.
func (s *startTimes) startedAt(id string, told int64) (time.Duration, bool) {
	t, ok := s.known[id]
	return t.at, ok && t.listedMS == told
}

// listedMS is a start as the list has it, ms, Unix; 0: it is not known.
func (s *startTimes) listedMS(id string) int64 { return s.known[id].listedMS }

// restore notes the start of a process that an earlier agent under this name knew.
func (s *startTimes) restore(id string, told int64, hint, now time.Duration) time.Duration {
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	return s.resolve(id, told, hint, now)
}
