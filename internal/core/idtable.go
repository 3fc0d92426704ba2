package core

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// IDTable holds the IDs of requests that may have been executed within the last idRetention. All processes of an agent
// can share it in one mapped file, so that none of them executes a request again that another has executed. Its memory
// is fixed: if too many IDs are claimed, the oldest ones are forgotten. Its methods may be called from any goroutine.
//
// An ID's hash selects a bucket of slots, and its tag identifies it there. A slot is one word, so that it is read and
// replaced in one step: the tag, and the time of the claim by the system's monotonic clock, which all processes share.
type IDTable struct {
	seed  uint64
	slots []atomic.Uint64
}

const (
	// idRetention is how long an ID is remembered after its first attempt.
	idRetention = 30 * time.Second
	// slotsPerBucket is how many IDs with the same bucket are remembered.
	slotsPerBucket = 8
	// idTimeUnit is the unit of the time in a slot, which has idTimeBits bits and wraps around.
	idTimeUnit = 10 * time.Millisecond
	idTimeBits = 24
	idTimeMask = 1<<idTimeBits - 1
	// idTableWords is the size of an agent's own table, in words.
	idTableWords = 8 << 10
)

// NewIDTable returns a table in the given memory, of a power of two words, which may contain the IDs of other
// processes. The first bucket's first word holds the seed of the hashes.
func NewIDTable(words []atomic.Uint64) *IDTable {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	words[0].CompareAndSwap(0, binary.LittleEndian.Uint64(random[:])|1)
	return &IDTable{seed: words[0].Load(), slots: words}
}

// Claim records an ID of an agent. It reports false if the ID was claimed within idRetention and not released. Of two
// claims at the same time at most one succeeds.
func (t *IDTable) Claim(agent, id string) bool {
	bucket, tag := t.find(agent, id)
	now := idNow()
	for {
		free, freeValue := -1, uint64(0)
		oldest := uint64(0)
		for i := range bucket {
			value := bucket[i].Load()
			age := (now - value) & idTimeMask
			isFresh := value != 0 && age < uint64(idRetention/idTimeUnit)
			if isFresh && value>>idTimeBits == tag {
				return false
			}
			if !isFresh {
				age = idTimeMask + 1
			}
			if free < 0 || age > oldest {
				free, freeValue, oldest = i, value, age
			}
		}
		if bucket[free].CompareAndSwap(freeValue, tag<<idTimeBits|now) {
			return t.isOnly(bucket, free, tag, now)
		}
	}
}

// isOnly reports whether no other slot of a bucket has a claim of the same ID. Otherwise it withdraws the claim in slot
// own: another process has claimed the ID at the same time.
func (t *IDTable) isOnly(bucket []atomic.Uint64, own int, tag, now uint64) bool {
	for i := range bucket {
		value := bucket[i].Load()
		if i != own && value>>idTimeBits == tag && (now-value)&idTimeMask < uint64(idRetention/idTimeUnit) {
			bucket[own].CompareAndSwap(tag<<idTimeBits|now, 0)
			return false
		}
	}
	return true
}

// Release forgets an ID that the caller has claimed, because its request was certainly not executed.
func (t *IDTable) Release(agent, id string) {
	bucket, tag := t.find(agent, id)
	for i := range bucket {
		if value := bucket[i].Load(); value>>idTimeBits == tag {
			bucket[i].CompareAndSwap(value, 0)
		}
	}
}

// find returns the bucket of an ID, and the tag that identifies the ID in it.
func (t *IDTable) find(agent, id string) (bucket []atomic.Uint64, tag uint64) {
	text := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), t.seed)
	text = binary.LittleEndian.AppendUint32(text, uint32(len(agent)))
	text = append(append(text, agent...), id...)
	sum := sha256.Sum256(text)
	buckets := uint64(len(t.slots)/slotsPerBucket - 1) // the first one holds the seed
	first := (1 + binary.LittleEndian.Uint64(sum[8:])%buckets) * slotsPerBucket
	return t.slots[first : first+slotsPerBucket], binary.LittleEndian.Uint64(sum[:])>>idTimeBits | 1
}

// idNow returns the time by the system's monotonic clock, in idTimeUnit.
func idNow() uint64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // never fails
	return uint64(now.Nano()/int64(idTimeUnit)) & idTimeMask
}

// claim records that a request may be executed from now on. It reports false if this process, or another process of the
// agent, may have executed a request of its ID.
func (l *Loop) claim(r *Request) bool {
	if l.ids == nil {
		l.ids = NewIDTable(make([]atomic.Uint64, idTableWords))
	}
	r.claimed = l.ids.Claim(l.cfg.Name, r.ID)
	return r.claimed
}

// rejectRepeated gives the final answer to a request whose ID was executed before, in place of its first attempt.
func (l *Loop) rejectRepeated(r *Request, server string) {
	l.counts.failed++
	l.totals.failed.Add(1)
	l.finish(r, Answer{Duplicate: true})
	l.refuseAttempt(r, server)
	l.forget(r)
}

// releaseClaim forgets the ID of a request that has ended, if none of its attempts can have been executed.
func (l *Loop) releaseClaim(r *Request) {
	if r.claimed && !r.mayHaveRun() {
		l.ids.Release(l.cfg.Name, r.ID)
	}
}
