package core

import (
	"sync"
	"time"
)

// logInterval is the minimum time between two lines of a LogThrottle.
const logInterval = time.Second

// LogThrottle limits how often a line is logged that an overload would otherwise repeat for each request. The zero value
// is ready for use, by any goroutine.
type LogThrottle struct {
	mu      sync.Mutex
	lastAt  time.Time
	skipped int
}

// Allow reports whether the line is to be logged now, and how many were left out since the last one.
func (t *LogThrottle) Allow() (skipped int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !t.lastAt.IsZero() && now.Sub(t.lastAt) < logInterval {
		t.skipped++
		return 0, false
	}
	t.lastAt = now
	skipped = t.skipped
	t.skipped = 0
	return skipped, true
}
