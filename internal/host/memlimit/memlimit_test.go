package memlimit

import (
	"math"
	"runtime/debug"
	"testing"
)

func TestRuntimeLimitLeavesSpaceForTheProgram(t *testing.T) {
	for _, row := range []struct{ total, mapped, want int64 }{
		{32 << 20, 18 << 20, 14<<20 - unmeasured},
		{192 << 20, 10 << 20, 182<<20 - unmeasured},
		{16 << 20, 18 << 20, minLimit},
	} {
		if got := runtimeLimit(row.total, row.mapped); got != row.want {
			t.Errorf("%+v: %d", row, got)
		}
	}
}

func TestLimiterSetsTheRuntimesLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	if mappedBytes() == 0 {
		t.Fatal("no memory is mapped from files")
	}
	var l Limiter
	l.adjust()
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("a limiter without a limit has set %d", got)
	}
	l.Set(1 << 10)
	if got := debug.SetMemoryLimit(-1); got >= 1<<30-unmeasured || got == math.MaxInt64 || got < 1<<29 {
		t.Errorf("limit %d of %d", got, 1<<30)
	}
}
