package core

import (
	"hash/maphash"
	"time"
)

// recent remembers ids for a while: by a hash, since ids may be long, and no more than so many.
type recent struct {
	seed     maphash.Seed
	span     time.Duration
	now, old map[uint64]struct{}
	since    time.Duration // of now
}

const recentMost = 16 << 10 // ids in each half: about half a megabyte

func newRecent(span time.Duration) recent {
	return recent{seed: maphash.MakeSeed(), span: span}
}

func (r *recent) rotate(now time.Duration) {
	if now-r.since >= r.span || len(r.now) >= recentMost {
		r.now, r.old, r.since = make(map[uint64]struct{}, len(r.now)), r.now, now
	}
}

func (r *recent) add(id string, now time.Duration) {
	r.rotate(now)
	r.now[maphash.String(r.seed, id)] = struct{}{}
}

func (r *recent) has(id string, now time.Duration) bool {
	r.rotate(now)
	h := maphash.String(r.seed, id)
	_, fresh := r.now[h]
	_, older := r.old[h]
	return fresh || older
}
