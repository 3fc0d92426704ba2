package core

import (
	"context"
	"time"
)

// RunPeriodically calls f every interval until ctx ends. Calls do not overlap: a call that takes longer than the
// interval delays the next one.
func RunPeriodically(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}
