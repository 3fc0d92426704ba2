package core

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func newTestIDs(words int) *IDTable { return NewIDTable(make([]atomic.Uint64, words)) }

func TestIDIsClaimedOnce(t *testing.T) {
	ids := newTestIDs(1 << 10)
	if !ids.Claim("a", "1") || ids.Claim("a", "1") || !ids.Claim("b", "1") || !ids.Claim("a", "2") {
		t.Error("the second claim of an ID, or the first of another, had the wrong result")
	}
	ids.Release("a", "1")
	if !ids.Claim("a", "1") || ids.Claim("b", "1") {
		t.Error("a release had no effect, or one on another agent")
	}
}

// Two tables in the same memory are those of two processes.
func TestIDIsClaimedByOneOfManyProcesses(t *testing.T) {
	words := make([]atomic.Uint64, 1<<10)
	const processes, rounds = 4, 300
	for n := range rounds {
		var claimed atomic.Int64
		var all sync.WaitGroup
		for range processes {
			ids := NewIDTable(words)
			all.Go(func() {
				if ids.Claim("a", fmt.Sprint(n)) {
					claimed.Add(1)
				}
			})
		}
		all.Wait()
		if claimed.Load() > 1 {
			t.Fatalf("ID %d was claimed %d times", n, claimed.Load())
		}
	}
}

// A table that is too small forgets the oldest IDs, and always accepts new ones.
func TestFullIDTableForgetsTheOldest(t *testing.T) {
	ids := newTestIDs(2 * slotsPerBucket)
	for n := range 100 {
		if !ids.Claim("a", fmt.Sprint(n)) {
			t.Fatalf("new ID %d was rejected", n)
		}
	}
	if ids.Claim("a", "99") {
		t.Error("the newest ID is forgotten")
	}
}

func TestIDExpires(t *testing.T) {
	ids := newTestIDs(1 << 10)
	bucket, tag := ids.find("a", "1")
	old := (idNow() - uint64((idRetention+time.Second)/idTimeUnit)) & idTimeMask
	bucket[3].Store(tag<<idTimeBits | old)
	if !ids.Claim("a", "1") {
		t.Error("an ID is remembered for longer than idRetention")
	}
}
