package core

import (
	"math"
	"time"
)

// clock is the agent's monotonic clock. It does not start at zero, so that servers that started before the agent have a
// time too.
type clock struct{ base time.Time }

// clockOffset is the time at the agent's start.
const clockOffset = time.Hour

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration { return t.Sub(c.base) + clockOffset }

// wall is the moment of a time by this clock.
func (c clock) wall(d time.Duration) time.Time { return c.base.Add(d - clockOffset) }

// hint is the time of a start that the list has in Unix milliseconds, above 0, by this process's wall clock as it was at
// its own start. It may be off by any span: see startTimes.
func (c clock) hint(unixMS int64) time.Duration {
	since := time.UnixMilli(unixMS).Sub(c.base)
	return max(0, min(since, math.MaxInt64-clockOffset)+clockOffset)
}
