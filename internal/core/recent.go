package core

import (
	"hash/maphash"
	"time"
)

// recentIDs remembers ids for a while: by a hash, since ids may be long, and no more than so many.
type recentIDs struct {
	seed              maphash.Seed
	span              time.Duration
	current, previous map[uint64]struct{}
	since             time.Duration // of now
}

const maxRecentIDs = 16 << 10 // ids in each half: about half a megabyte

func newRecentIDs(span time.Duration) recentIDs {
	return recentIDs{seed: maphash.MakeSeed(), span: span}
}

func (r *recentIDs) rotate(now time.Duration) {
	if now-r.since >= r.span || len(r.current) >= maxRecentIDs {
		r.current, r.previous, r.since = make(map[uint64]struct{}, len(r.current)), r.current, now
	}
}

func (r *recentIDs) add(id string, now time.Duration) {
	r.rotate(now)
	r.current[maphash.String(r.seed, id)] = struct{}{}
}

func (r *recentIDs) has(id string, now time.Duration) bool {
	r.rotate(now)
	h := maphash.String(r.seed, id)
	_, fresh := r.current[h]
	_, older := r.previous[h]
	return fresh || older
}
