// Package memlimit keeps a process within its memory limit, by the limit of Go's runtime and by telling when little memory
// is left. The runtime's limit covers the heap, the stacks and the runtime's own data, touched or not, but neither the
// mapped program and libraries nor the C library's memory, which take most of a small limit; and the runtime exceeds its
// limit when more than that is in use.
package memlimit

import (
	"context"
	"errors"
	"io"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

const (
	// headroom is how many bytes the runtime leaves free of the memory of the process, for growth between two
	// adjustments.
	headroom = 4 << 20
	// shortage is how many bytes are left, at most, when memory is short. It is less than headroom: garbage that the
	// runtime has not collected yet is no shortage.
	shortage = 3 << 20
	// minLimit is the smallest limit of the runtime, in bytes: below it the collector would do nothing but run.
	minLimit = 4 << 20
	// adjustInterval is the time between two adjustments: parts of the program become resident as they are used.
	adjustInterval = 50 * time.Millisecond
	// minAdjustment is the smallest change of the runtime's limit, in bytes: each change stops all goroutines.
	minAdjustment = 128 << 10
	// readInterval is how long a reading of the process's memory is used.
	readInterval = time.Millisecond
)

// Limiter adjusts the runtime's limit. The zero value sets none.
type Limiter struct {
	bytes  atomic.Int64
	limit  atomic.Int64 // the runtime's limit
	readAt atomic.Int64 // when short was set, in nanoseconds since started
	short  atomic.Bool
}

// started is the base of Limiter.readAt.
var started = time.Now()

// Set sets the memory that the process may take, in MiB, and adjusts the runtime's limit; 0: no limit is set.
func (l *Limiter) Set(memoryMB int) {
	l.bytes.Store(int64(memoryMB) << 20)
	l.adjust()
}

// Run adjusts the runtime's limit to the memory that the program takes beside it, until ctx ends.
func (l *Limiter) Run(ctx context.Context) { core.RunPeriodically(ctx, adjustInterval, l.adjust) }

// Short reports whether the process has taken all of its memory but a small rest. It may be called from any goroutine,
// and often.
func (l *Limiter) Short() bool {
	total := l.bytes.Load()
	if total == 0 {
		return false
	}
	now := int64(time.Since(started))
	readAt := l.readAt.Load()
	if now-readAt < int64(readInterval) && readAt > 0 || !l.readAt.CompareAndSwap(readAt, now) {
		return l.short.Load()
	}
	short := residentBytes() > total-shortage
	if wasShort := l.short.Swap(short); short && !wasShort {
		l.adjust()
	}
	return short
}

func (l *Limiter) adjust() {
	total := l.bytes.Load()
	resident := residentBytes()
	if total == 0 || resident == 0 {
		return
	}
	limit := runtimeLimit(total, resident, runtimeBytes())
	if change := limit - l.limit.Load(); max(change, -change) >= minAdjustment {
		l.limit.Store(limit)
		debug.SetMemoryLimit(limit)
	}
}

// runtimeLimit returns the limit of the runtime in a process that may take total bytes and takes resident bytes, while
// the runtime counts counted bytes.
func runtimeLimit(total, resident, counted int64) int64 {
	return max(minLimit, counted+total-resident-headroom)
}

// runtimeBytes returns how many bytes count towards the runtime's limit.
func runtimeBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// openStatm opens the file that tells the memory of the process (proc_pid_statm(5)), once. The error is kept.
var openStatm = sync.OnceValues(func() (*os.File, error) { return os.Open("/proc/self/statm") })

// residentBytes returns the resident memory of the process, or 0 if the system does not tell.
func residentBytes() int64 {
	const residentField, maxText = 1, 256
	statm, err := openStatm()
	if err != nil {
		return 0
	}
	var text [maxText]byte
	n, err := statm.ReadAt(text[:], 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0
	}
	fields := strings.Fields(string(text[:n]))
	if len(fields) <= residentField {
		return 0
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
