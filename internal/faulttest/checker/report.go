package checker

import (
	"fmt"
	"time"
)

// Bounds are the limits that the claims hold the fleet to. A looser bound lets faults pass, a tighter one breaks
// claims on a busy machine.
type Bounds struct {
	Crash           time.Duration // until a crash is known to all linked daemons
	Leave           time.Duration // until an orderly end is
	Join            time.Duration // until a start is
	Settle          time.Duration // after the last change, until all views agree with the truth
	Pause           time.Duration // a process may be paused for so long and must not be held for dead
	MinServed       float64       // share of requests
	MaxIdleBytes    int           // a second, to peers, at rest
	MaxBytes        int           // in any second, to peers
	MaxRemoteBytes  int           // in any second, to other regions
	MaxSuspicion    time.Duration // suspicions within a region that end so soon are ignored: a busy machine's
	RoundTrips      int           // between two daemons, that are added to Crash, Leave and Join
	Ejection        time.Duration // until a failing server is ejected by all daemons
	MaxEjectedShare float64       // of an even share of requests, for an ejected server
	PolicySpread    time.Duration // from a policy's first use until all use it, on healthy links
	MinLimitUse     float64       // share of a limit that is used where more is wanted
}

// Claim is one of them, and what became of it.
type Claim struct {
	Name    string   `json:"name"`
	Text    string   `json:"text"`
	Tried   int      `json:"tried"`
	Nearest string   `json:"nearest,omitempty"`
	Breaks  []string `json:"breaks,omitempty"` // at the most breaksMost
	Broken  int      `json:"broken"`
	// Durations are the times of all occasions that have one, sorted.
	Durations []time.Duration `json:"-"`

	nearestMargin float64
	hasNearest    bool
}

const maxBreaks = 20

// Outcome is a word for people.
func (c *Claim) Outcome() string {
	switch {
	case c.Broken > 0:
		return "BROKEN"
	case c.Tried == 0:
		return "not tried"
	}
	return "kept"
}

func (c *Claim) recordBreak(at int64, base int64, format string, args ...any) {
	c.Broken++
	if len(c.Breaks) < maxBreaks {
		c.Breaks = append(c.Breaks, fmt.Sprintf("%.3f s: ", float64(at-base)/1e9)+fmt.Sprintf(format, args...))
	}
}

// recordMargin keeps the nearest miss: the highest of how near, in words.
func (c *Claim) recordMargin(margin float64, format string, args ...any) {
	if !c.hasNearest || margin > c.nearestMargin {
		c.hasNearest, c.nearestMargin = true, margin
		c.Nearest = fmt.Sprintf(format, args...)
	}
}

func (c *Claim) recordDuration(d time.Duration) {
	c.Durations = append(c.Durations, d)
	c.recordMargin(d.Seconds(), "%v", d.Round(time.Millisecond))
}

// Report is all of them.
type Report struct {
	Claims []*Claim `json:"claims"`
	Lines  int      `json:"lines"`
	Gaps   int      `json:"gaps"` // lines that daemons could not write: what was in them is not judged
}

// Broken counts claims that were broken.
func (r *Report) Broken() int {
	n := 0
	for _, c := range r.Claims {
		if c.Broken > 0 {
			n++
		}
	}
	return n
}

// NotTried are those of some claims that were not tried.
func (r *Report) NotTried(names []string) []string {
	var missed []string
	for _, n := range names {
		if c := r.Find(n); c == nil || c.Tried == 0 {
			missed = append(missed, n)
		}
	}
	return missed
}

// Find is the claim of a name.
func (r *Report) Find(name string) *Claim {
	for _, c := range r.Claims {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Claims' names.
const (
	CrashKnown           = "crash-known"
	LeaveKnown           = "leave-known"
	JoinKnown            = "join-known"
	Settled              = "settled"
	NoWrongDeath         = "no-wrong-death"
	OneName              = "one-name"
	CountEnough          = "count-enough"
	CountFollows         = "count-follows"
	Serving              = "serving"
	BytesMaximum         = "bytes-most"
	BytesIdle            = "bytes-idle"
	BytesFar             = "bytes-far"
	NearCalm             = "near-calm"
	LimitHard            = "limit-hard"
	LimitSoft            = "limit-soft"
	LimitUsed            = "limit-used"
	EjectionKnown        = "verdict-known"
	EjectionKept         = "kept-off"
	NoWrongOut           = "no-wrong-out"
	BackAgain            = "back-again"
	PolicyOne            = "policy-one"
	PolicyAll            = "policy-all"
	PolicyStart          = "policy-start"
	PolicyServes         = "policy-serves"
	PolicyDurable        = "policy-kept"
	PolicyAuthorNotified = "policy-told"
	PolicyAtomic         = "policy-whole"
	PolicyIsolated       = "policy-apart"
)

// Names are all of them.
var Names = []string{CrashKnown, LeaveKnown, JoinKnown, Settled, NoWrongDeath, OneName, CountEnough, CountFollows, Serving, BytesMaximum, BytesIdle, BytesFar, NearCalm, LimitHard, LimitSoft, LimitUsed, EjectionKnown, EjectionKept, NoWrongOut, BackAgain,
	PolicyOne, PolicyAll, PolicyStart, PolicyServes, PolicyDurable, PolicyAuthorNotified, PolicyAtomic, PolicyIsolated}
