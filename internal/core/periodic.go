package core

import (
	"context"
	"time"
)

// RunPeriodically calls f every interval until ctx ends. Calls don't overlap: one that takes longer delays the next.
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
