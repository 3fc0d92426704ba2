package checker

import (
	"slices"
	"time"
)

// limited is one limit that the daemons share.
type limited struct {
	capacity, bound  int
	hard, rate       bool
	demandPerSecond  int   // a second, of all daemons
	changedAt        int64 // something last changed
	begunCount       int
	saturatedSeconds float64 // in which more was wanted than it allows, and nothing was broken
	lastLineAt       int64
}

// limitsChecker checks shared limits by what servers saw.
type limitsChecker struct {
	bounds           Bounds
	limits           map[string]*limited
	hard, soft, used *Claim
}

func (j *limitsChecker) begin(b Bounds) []*Claim {
	j.bounds, j.limits = b, map[string]*limited{}
	j.hard = &Claim{Name: LimitHard, Text: "no hard limit is ever passed: at servers, at once, or in a second less what arrivals are late by"}
	j.soft = &Claim{Name: LimitSoft, Text: "no soft limit is used beyond its bound"}
	j.used = &Claim{Name: LimitUsed, Text: "where more is wanted than a limit allows, and nothing is broken, it is used"}
	return []*Claim{j.hard, j.soft, j.used}
}

// applyTruth takes a line about limits; changed is when the truth about daemons last changed.
func (j *limitsChecker) applyTruth(l *Line, base, changed int64) {
	if l.What == Limited {
		j.limits[l.Limit] = &limited{capacity: l.Figure, bound: l.Bound, hard: l.Hard, rate: l.Rate, changedAt: l.T, lastLineAt: l.T}
		return
	}
	x := j.limits[l.Limit]
	if l.What == Wanted {
		for _, x := range j.limits {
			x.demandPerSecond, x.changedAt = l.Wanted, l.T
		}
		return
	}
	if x == nil {
		return
	}
	c, allowed := j.soft, x.bound
	if x.hard {
		c, allowed = j.hard, x.capacity
	}
	if 10*l.Used >= 9*x.capacity { // it was tried: else any number would have kept it
		c.Tried++
		c.recordMargin(float64(l.Used)/float64(allowed), "%d of %d (%s)", l.Used, allowed, l.Limit)
	}
	if l.Used > allowed {
		c.recordBreak(l.T, base, "%s: %d in use, and %d is the most", l.Limit, l.Used, allowed)
	}
	quiet := max(x.changedAt, changed) + int64(j.bounds.Settle)
	if j.isBinding(x) && 5*x.demandPerSecond >= 6*x.capacity && x.lastLineAt > quiet {
		x.begunCount += l.Begun
		x.saturatedSeconds += float64(l.T-x.lastLineAt) / float64(time.Second)
	}
	x.lastLineAt = l.T
}

// isBinding reports whether a limit is the one that turns requests away: another may leave less.
func (j *limitsChecker) isBinding(x *limited) bool {
	for _, o := range j.limits {
		if !o.rate || o.capacity < x.capacity {
			return false
		}
	}
	return x.rate
}

func (j *limitsChecker) end(now, base int64) {
	var names []string
	for n := range j.limits {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		x := j.limits[n]
		if x.saturatedSeconds < 5 {
			continue
		}
		j.used.Tried += int(x.saturatedSeconds)
		share := float64(x.begunCount) / x.saturatedSeconds / float64(x.capacity)
		j.used.recordMargin(-share, "%.0f%% (%s)", 100*share, n)
		if share < j.bounds.MinLimitUse {
			j.used.recordBreak(now, base, "%s: %.0f%% of %d a second over %.0f s", n, 100*share, x.capacity, x.saturatedSeconds)
		}
	}
}
