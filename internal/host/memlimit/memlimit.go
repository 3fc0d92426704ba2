// Package memlimit keeps a process within its memory limit, by the limit of Go's runtime. That limit covers the heap, the
// stacks and the runtime's own data, but neither the mapped program and libraries nor the C library's memory, which take
// most of a small limit.
package memlimit

import (
	"context"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

const (
	// unmeasured is reserved, in bytes, for memory that is neither the runtime's nor mapped from files, and for growth
	// between two adjustments.
	unmeasured = 3 << 20
	// minLimit is the smallest limit of the runtime, in bytes: below it the collector would do nothing but run.
	minLimit = 4 << 20
	// adjustInterval is the time between two adjustments: parts of the program become resident as they are used.
	adjustInterval = time.Second
)

// Limiter adjusts the runtime's limit. The zero value sets none.
type Limiter struct{ bytes atomic.Int64 }

// Set sets the memory that the process may take, in MiB, and adjusts the runtime's limit; 0: no limit is set.
func (l *Limiter) Set(memoryMB int) {
	l.bytes.Store(int64(memoryMB) << 20)
	l.adjust()
}

// Run adjusts the runtime's limit to the memory that the program takes beside it, until ctx ends.
func (l *Limiter) Run(ctx context.Context) { core.RunPeriodically(ctx, adjustInterval, l.adjust) }

func (l *Limiter) adjust() {
	if total := l.bytes.Load(); total > 0 {
		debug.SetMemoryLimit(runtimeLimit(total, mappedBytes()))
	}
}

// runtimeLimit returns the limit of the runtime in a process that may take total bytes, of which files take mapped.
func runtimeLimit(total, mapped int64) int64 {
	return max(minLimit, total-mapped-unmeasured)
}

// mappedBytes returns how much resident memory is mapped from files (proc_pid_statm(5), shared), or 0 if the system does
// not tell.
func mappedBytes() int64 {
	const sharedField = 2
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) <= sharedField {
		return 0
	}
	pages, err := strconv.ParseInt(fields[sharedField], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
