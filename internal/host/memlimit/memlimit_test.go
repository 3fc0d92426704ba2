package memlimit

import (
	"math"
	"runtime/debug"
	"testing"
	"time"
)

func TestRuntimeLimitLeavesSpaceForTheProgram(t *testing.T) {
	for _, row := range []struct{ total, resident, counted, want int64 }{
		{32 << 20, 22 << 20, 6 << 20, 16<<20 - headroom},    // 16 MiB are the program's
		{192 << 20, 30 << 20, 20 << 20, 182<<20 - headroom}, // 10 MiB
		{32 << 20, 30 << 20, 12 << 20, 14<<20 - headroom},   // 2 MiB are left of the process's memory
		{16 << 20, 22 << 20, 6 << 20, minLimit},
	} {
		if got := runtimeLimit(row.total, row.resident, row.counted); got != row.want {
			t.Errorf("%+v: %d", row, got)
		}
	}
}

func TestLimiterSetsTheRuntimesLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	resident := residentBytes()
	if resident == 0 {
		t.Fatal("the process takes no memory")
	}
	var l Limiter
	l.adjust()
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("a limiter without a limit has set %d", got)
	}
	l.Set(1 << 10)
	if got := debug.SetMemoryLimit(-1); got >= 1<<30-headroom || got == math.MaxInt64 || got < 1<<29 {
		t.Errorf("limit %d of %d", got, 1<<30)
	}
}

// Guards against a process that takes on more although its memory has been used up.
func TestMemoryIsShortWhenLittleOfItIsLeft(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	var l Limiter
	if l.Short() {
		t.Error("short without a limit")
	}
	l.bytes.Store(residentBytes() + 512<<20) // without a limit of the runtime, which might free memory meanwhile
	if l.Short() {
		t.Error("short with 512 MB left")
	}
	time.Sleep(2 * readInterval) // a reading is used for that long
	l.bytes.Store(residentBytes() + 1<<20)
	if !l.Short() {
		t.Error("not short with 1 MB left")
	}
}
