package core

import (
	"hash/maphash"
	"time"
)

// recentIDs holds the IDs that were added within at least the last span, unless there are more than maxRecentIDs. It
// stores hashes, because IDs may be long, in two generations: the older one is dropped when a new one begins.
type recentIDs struct {
	seed     maphash.Seed
	span     time.Duration
	current  map[uint64]struct{}
	previous map[uint64]struct{}
	since    time.Duration // when current was begun
}

// maxRecentIDs bounds the number of IDs in each generation, which takes about half a megabyte.
const maxRecentIDs = 16 << 10

func newRecentIDs(span time.Duration) recentIDs {
	return recentIDs{seed: maphash.MakeSeed(), span: span}
}

// rotate begins a new generation if the current one is older than span or full.
func (r *recentIDs) rotate(now time.Duration) {
	if now-r.since < r.span && len(r.current) < maxRecentIDs {
		return
	}
	r.previous = r.current
	r.current = make(map[uint64]struct{}, len(r.previous))
	r.since = now
}

func (r *recentIDs) add(id string, now time.Duration) {
	r.rotate(now)
	r.current[maphash.String(r.seed, id)] = struct{}{}
}

func (r *recentIDs) has(id string, now time.Duration) bool {
	r.rotate(now)
	hash := maphash.String(r.seed, id)
	_, inCurrent := r.current[hash]
	_, inPrevious := r.previous[hash]
	return inCurrent || inPrevious
}
