package core

import (
	"math"
	"time"
)

// clock is the agent's monotonic clock. Its reading at the agent's start is above zero, so that the start of a server
// that started before the agent is a positive time too.
type clock struct{ base time.Time }

// clockOffset is the clock's reading at the agent's start.
const clockOffset = time.Hour

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration { return t.Sub(c.base) + clockOffset }

// wall converts a reading of this clock to a time.Time.
func (c clock) wall(d time.Duration) time.Time { return c.base.Add(d - clockOffset) }

// hint converts a server's start time in the list (Unix milliseconds, above 0) to a reading of this clock, by the
// process's wall clock as it was at the agent's start. The error of the result is not bounded: see startTimes.
func (c clock) hint(unixMS int64) time.Duration {
	since := time.UnixMilli(unixMS).Sub(c.base)
	return max(0, min(since, math.MaxInt64-clockOffset)+clockOffset)
}
