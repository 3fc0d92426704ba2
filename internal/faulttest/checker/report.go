package checker

import (
	"fmt"
	"time"
)

// Bounds are the thresholds of the claims. A looser bound lets faults pass; a tighter one breaks claims on a busy
// machine.
type Bounds struct {
	Crash           time.Duration // until all linked daemons consider a killed daemon dead
	Leave           time.Duration // until they consider a daemon that leaves gracefully departed
	Join            time.Duration // until they consider a daemon that starts alive
	Settle          time.Duration // after the last change, until all views agree with the truth
	Pause           time.Duration // a process that is paused for at most this long must not be considered dead
	MinServed       float64       // share of requests that are served
	MaxIdleBytes    int           // bytes per second to peers, at rest
	MaxBytes        int           // bytes in any second to peers
	MaxRemoteBytes  int           // bytes in any second to other regions
	MaxSuspicion    time.Duration // shorter suspicions within a region are ignored: a busy machine causes them
	RoundTrips      int           // added to Crash, Leave and Join: this many of the round-trip times that links add between two daemons
	Ejection        time.Duration // until a failing server is ejected by all daemons
	MaxEjectedShare float64       // for an ejected server, relative to an even share of requests
	PolicySpread    time.Duration // from a policy's first use until all use it, on healthy links
	MinLimitUse     float64       // share of a limit that is used where the demand exceeds it
}

// Claim is a property that a history must have, and the result of its check.
type Claim struct {
	Name    string   `json:"name"`
	Text    string   `json:"text"`
	Tried   int      `json:"tried"`
	Nearest string   `json:"nearest,omitempty"`
	Breaks  []string `json:"breaks,omitempty"` // at most maxBreaks
	Broken  int      `json:"broken"`
	// Durations are the measured times, sorted, of claims about times.
	Durations []time.Duration `json:"-"`

	nearestMargin float64
	hasNearest    bool
}

const maxBreaks = 20

// Outcome returns the result as reports show it.
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

// recordMargin keeps the text of the nearest miss, which is the one with the highest margin.
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

// Report is the result of a check of a history.
type Report struct {
	Claims []*Claim `json:"claims"`
	Lines  int      `json:"lines"`
	Gaps   int      `json:"gaps"` // lines that daemons could not write; what they contained is not checked
}

// Broken returns the number of broken claims.
func (r *Report) Broken() int {
	n := 0
	for _, c := range r.Claims {
		if c.Broken > 0 {
			n++
		}
	}
	return n
}

// NotTried returns those of the named claims that were not tried.
func (r *Report) NotTried(names []string) []string {
	var missed []string
	for _, n := range names {
		if c := r.Find(n); c == nil || c.Tried == 0 {
			missed = append(missed, n)
		}
	}
	return missed
}

// Find returns the claim with a name, or nil.
func (r *Report) Find(name string) *Claim {
	for _, c := range r.Claims {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Names of claims.
const (
	CrashKnown           = "crash-known"
	LeaveKnown           = "leave-known"
	JoinKnown            = "join-known"
	Settled              = "settled"
	NoWrongDeath         = "no-wrong-death"
	OneName              = "one-name"
	CountEnough          = "count-enough"
	CountExact           = "count-follows"
	Serving              = "serving"
	BytesMaximum         = "bytes-most"
	BytesIdle            = "bytes-idle"
	BytesRemote          = "bytes-far"
	NoSuspicionInRegion  = "near-calm"
	LimitHard            = "limit-hard"
	LimitSoft            = "limit-soft"
	LimitUsed            = "limit-used"
	EjectionKnown        = "verdict-known"
	EjectionKept         = "kept-off"
	NoWrongEjection      = "no-wrong-out"
	ServerReadmitted     = "back-again"
	PolicyOne            = "policy-one"
	PolicyAll            = "policy-all"
	PolicyStart          = "policy-start"
	PolicyServes         = "policy-serves"
	PolicyDurable        = "policy-kept"
	PolicyAuthorNotified = "policy-told"
	PolicyAtomic         = "policy-whole"
	PolicyIsolated       = "policy-apart"
)

// Names are the names of all claims.
var Names = []string{CrashKnown, LeaveKnown, JoinKnown, Settled, NoWrongDeath, OneName, CountEnough, CountExact, Serving, BytesMaximum, BytesIdle, BytesRemote, NoSuspicionInRegion, LimitHard, LimitSoft, LimitUsed, EjectionKnown, EjectionKept, NoWrongEjection, ServerReadmitted,
	PolicyOne, PolicyAll, PolicyStart, PolicyServes, PolicyDurable, PolicyAuthorNotified, PolicyAtomic, PolicyIsolated}
