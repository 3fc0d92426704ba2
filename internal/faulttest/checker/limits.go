package checker

import (
	"slices"
	"time"
)

// limited is one limit that the daemons share.
type limited struct {
	figure, bound int
	hard, rate    bool
	wanted        int   // a second, of all daemons
	since         int64 // something last changed
	begun         int
	seconds       float64 // in which more was wanted than it allows, and nothing was broken
	last          int64
}

// limitsJudge judges limits by what servers saw.
type limitsJudge struct {
	b                Bounds
	all              map[string]*limited
	hard, soft, used *Claim
}

func (j *limitsJudge) start(b Bounds) []*Claim {
	j.b, j.all = b, map[string]*limited{}
	j.hard = &Claim{Name: LimitHard, Text: "no hard limit is ever passed: at servers, at once, or in a second less what arrivals are late by"}
	j.soft = &Claim{Name: LimitSoft, Text: "no soft limit is used beyond its bound"}
	j.used = &Claim{Name: LimitUsed, Text: "where more is wanted than a limit allows, and nothing is broken, it is used"}
	return []*Claim{j.hard, j.soft, j.used}
}

// truth takes a line about limits; changed is when the truth about daemons last changed.
func (j *limitsJudge) truth(l *Line, base, changed int64) {
	if l.What == Limited {
		j.all[l.Limit] = &limited{figure: l.Figure, bound: l.Bound, hard: l.Hard, rate: l.Rate, since: l.T, last: l.T}
		return
	}
	x := j.all[l.Limit]
	if l.What == Wanted {
		for _, x := range j.all {
			x.wanted, x.since = l.Wanted, l.T
		}
		return
	}
	if x == nil {
		return
	}
	c, most := j.soft, x.bound
	if x.hard {
		c, most = j.hard, x.figure
	}
	if 10*l.Used >= 9*x.figure { // it was tried: else any number would have kept it
		c.Tried++
		c.near(float64(l.Used)/float64(most), "%d of %d (%s)", l.Used, most, l.Limit)
	}
	if l.Used > most {
		c.fail(l.T, base, "%s: %d in use, and %d is the most", l.Limit, l.Used, most)
	}
	quiet := max(x.since, changed) + int64(j.b.Settle)
	if j.binds(x) && 5*x.wanted >= 6*x.figure && x.last > quiet {
		x.begun += l.Begun
		x.seconds += float64(l.T-x.last) / float64(time.Second)
	}
	x.last = l.T
}

// binds reports whether a limit is the one that turns requests away: another may leave less.
func (j *limitsJudge) binds(x *limited) bool {
	for _, o := range j.all {
		if !o.rate || o.figure < x.figure {
			return false
		}
	}
	return x.rate
}

func (j *limitsJudge) end(now, base int64) {
	var names []string
	for n := range j.all {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		x := j.all[n]
		if x.seconds < 5 {
			continue
		}
		j.used.Tried += int(x.seconds)
		share := float64(x.begun) / x.seconds / float64(x.figure)
		j.used.near(-share, "%.0f%% (%s)", 100*share, n)
		if share < j.b.Used {
			j.used.fail(now, base, "%s: %.0f%% of %d a second over %.0f s", n, 100*share, x.figure, x.seconds)
		}
	}
}
