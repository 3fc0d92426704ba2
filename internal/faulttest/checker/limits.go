package checker

import (
	"slices"
	"time"
)

// limited is one limit that the daemons share.
type limited struct {
	capacity, bound  int
	hard, rate       bool
	demandPerSecond  int   // over all daemons
	changedAt        int64 // last change of the limit or of its demand
	begunCount       int
	saturatedSeconds float64 // seconds without faults in which the demand exceeded the limit
	lastLineAt       int64
}

// limitsChecker checks the use of shared limits, as measured at the servers.
type limitsChecker struct {
	bounds           Bounds
	limits           map[string]*limited
	hard, soft, used *Claim
}

func (lc *limitsChecker) begin(b Bounds) []*Claim {
	lc.bounds, lc.limits = b, map[string]*limited{}
	lc.hard = &Claim{Name: LimitHard, Text: "no hard limit is ever exceeded at servers: in flight, or begun within a second less the possible delay of arrivals"}
	lc.soft = &Claim{Name: LimitSoft, Text: "the use of a soft limit never exceeds its bound"}
	lc.used = &Claim{Name: LimitUsed, Text: "where the demand exceeds a limit and there is no fault, the limit is used"}
	return []*Claim{lc.hard, lc.soft, lc.used}
}

// applyTruth applies a line about limits; changed is the time at which the true state of the daemons last changed.
func (lc *limitsChecker) applyTruth(l *Line, base, changed int64) {
	if l.What == Limited {
		lc.limits[l.Limit] = &limited{capacity: l.Total, bound: l.Bound, hard: l.Hard, rate: l.Rate, changedAt: l.T, lastLineAt: l.T}
		return
	}
	x := lc.limits[l.Limit]
	if l.What == DemandChanged {
		for _, x := range lc.limits {
			x.demandPerSecond, x.changedAt = l.Demand, l.T
		}
		return
	}
	if x == nil {
		return
	}
	c, allowed := lc.soft, x.bound
	if x.hard {
		c, allowed = lc.hard, x.capacity
	}
	if 10*l.Used >= 9*x.capacity { // a use below 90% of the limit would always keep the claim, so it does not count as a trial
		c.Tried++
		c.recordMargin(float64(l.Used)/float64(allowed), "%d of %d (%s)", l.Used, allowed, l.Limit)
	}
	if l.Used > allowed {
		c.recordBreak(l.T, base, "%s: %d in use, maximum %d", l.Limit, l.Used, allowed)
	}
	quiet := max(x.changedAt, changed) + int64(lc.bounds.Settle)
	if lc.isBinding(x) && 5*x.demandPerSecond >= 6*x.capacity && x.lastLineAt > quiet {
		x.begunCount += l.Begun
		x.saturatedSeconds += float64(l.T-x.lastLineAt) / float64(time.Second)
	}
	x.lastLineAt = l.T
}

// isBinding reports whether a limit is the one that causes rejections: all limits are rate limits, and no other is
// lower.
func (lc *limitsChecker) isBinding(x *limited) bool {
	for _, o := range lc.limits {
		if !o.rate || o.capacity < x.capacity {
			return false
		}
	}
	return x.rate
}

func (lc *limitsChecker) end(now, base int64) {
	var names []string
	for n := range lc.limits {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		x := lc.limits[n]
		if x.saturatedSeconds < 5 {
			continue
		}
		lc.used.Tried += int(x.saturatedSeconds)
		share := float64(x.begunCount) / x.saturatedSeconds / float64(x.capacity)
		lc.used.recordMargin(-share, "%.0f%% (%s)", 100*share, n)
		if share < lc.bounds.MinLimitUse {
			lc.used.recordBreak(now, base, "%s: %.0f%% of %d per second used over %.0f s", n, 100*share, x.capacity, x.saturatedSeconds)
		}
	}
}
