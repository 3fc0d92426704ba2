package daemonconfig

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

// Limits are the limits that the fleet shares, [[limit]] in the file. They reach an agent as follows: ForInstance
// translates them for one instance, Daemon.applyLimits passes them to the instance's agent, and the agent's loop
// passes them to decide (SharedLimits) and thus to its quota.Ledger. The amounts arrive separately, as leases
// (Daemon.leasesGranted).
type Limits struct {
	lease.Settings
	classes []string // the class of each limit; empty: all classes
}

// Bounds of [[limit]], and of the settings of lease servers in [peers].
const (
	minLeaseTerm       = time.Second
	maxLeaseTerm       = time.Minute
	maxLeaseServers    = 16
	maxClockDrift      = 0.2
	maxLimitNameLength = 40
	maxLimitTotal      = 10_000_000
)

// limits checks [[limit]] and the settings of lease servers in [peers]. It returns nil if there are no limits.
func (c *checker) limits(f *fileTables, cfg *Config, classes classSet) *Limits {
	if len(f.Limit) == 0 {
		return nil
	}
	if f.Peers == nil {
		c.fail("limit[0]", "shared limits need [peers]")
		return nil
	}
	l := &Limits{Settings: c.leaseSettings(f.Peers)}
	for _, class := range classes.settings.Classes {
		l.MaxAttemptTime = max(l.MaxAttemptTime, class.Deadline)
	}
	for i := range f.Limit {
		t := &f.Limit[i]
		limit := c.limit(fmt.Sprintf("limit[%d].", i), t, l.Limits)
		c.limitScope(fmt.Sprintf("limit[%d].", i), t, &limit, classes.names, f.Site.Zones)
		l.Limits = append(l.Limits, limit)
		l.classes = append(l.classes, t.Class)
	}
	if c.err == nil {
		if _, err := lease.NewClient(l.Settings, cfg.Peers.Name, 1); err != nil {
			c.fail("limit", "%v", err)
		}
	}
	return l
}

// leaseSettings checks the settings of lease servers in [peers].
func (c *checker) leaseSettings(t *peersTable) lease.Settings {
	s := lease.Settings{
		Servers:    t.LeaseServers,
		ClockDrift: t.Drift,
		Term:       c.positiveDuration("peers.term", t.LeaseTerm, lease.DefaultTerm),
	}
	if s.Term < minLeaseTerm || s.Term > maxLeaseTerm {
		c.fail("peers.term", "%v: 1s to 1m are allowed", s.Term)
	}
	if !(s.ClockDrift >= 0 && s.ClockDrift <= maxClockDrift) { // negated so that NaN fails too
		c.fail("peers.drift", "%v: 0 to %v are allowed", s.ClockDrift, maxClockDrift)
	}
	if n := len(s.Servers); n == 0 || n > maxLeaseServers {
		c.fail("peers.keepers", "%d keepers: 1 to %d members must be named", n, maxLeaseServers)
	}
	for i, name := range s.Servers {
		if !membership.ValidName(name) || slices.Index(s.Servers, name) != i {
			c.fail(fmt.Sprintf("peers.keepers[%d]", i), "%q is not a valid member name, or is named twice", name)
		}
	}
	return s
}

// limit checks the kind and the figures of a limit. key is the prefix of its keys in the file; before holds the limits
// that precede it.
func (c *checker) limit(key string, t *limitTable, before []lease.Limit) lease.Limit {
	hasSameName := func(other lease.Limit) bool { return other.Name == t.Name }
	if t.Name == "" || len(t.Name) > maxLimitNameLength || strings.ContainsAny(t.Name, " \t\r\n\"") || slices.ContainsFunc(before, hasSameName) {
		c.fail(key+"name", "%q: a unique name of 1 to %d characters without spaces or quotes is needed", t.Name, maxLimitNameLength)
	}
	limit := lease.Limit{
		Limit:      quota.Limit{Name: t.Name, Class: -1, Zone: -1, Cell: -1, Server: t.Server},
		Total:      t.Total,
		FloorShare: t.Floor,
	}
	limit.Kind = quota.Kind(c.choice(key+"counts", t.Counts, quota.KindNames))
	limit.Hard = c.choice(key+"kind", t.Kind, []string{"hard", "soft"}) == 0
	if t.Total < 1 || t.Total > maxLimitTotal {
		c.fail(key+"figure", "%d: 1 to %d are allowed", t.Total, maxLimitTotal)
	}
	if t.Floor != 0 && limit.Hard || !(t.Floor >= 0 && t.Floor <= 1) { // negated so that NaN fails too
		c.fail(key+"floor", "%v: a share from 0 to 1 is allowed, and only for a soft limit: an isolated agent gets nothing of a hard one", t.Floor)
	}
	return limit
}

// limitScope checks to which requests a limit applies.
func (c *checker) limitScope(key string, t *limitTable, limit *lease.Limit, classes, zones []string) {
	var scope []string
	if t.Class != "" {
		scope = append(scope, "class "+t.Class)
		if !slices.Contains(classes, t.Class) {
			c.fail(key+"class", "%q is none of the classes %s", t.Class, strings.Join(classes, ", "))
		}
	}
	if t.Zone != "" {
		scope = append(scope, "zone "+t.Zone)
		limit.Zone = slices.Index(zones, t.Zone)
		if limit.Zone < 0 {
			c.fail(key+"zone", "%q is none of the zones %s", t.Zone, strings.Join(zones, ", "))
		}
	}
	if t.Pod != nil {
		scope = append(scope, fmt.Sprintf("pod %d", *t.Pod))
		limit.Cell = *t.Pod
		if limit.Cell < 0 {
			c.fail(key+"pod", "%d is negative", limit.Cell)
		}
	}
	if t.Server != "" {
		scope = append(scope, "server "+t.Server)
	}
	if t.Partition != "" {
		scope = append(scope, "each "+t.Partition)
		limit.Partition = quota.Partition(1 + c.choice(key+"each", t.Partition, []string{"server", "zone", "pod"}))
	}
	limit.Scope = strings.Join(scope, ", ")
}

// noClass is the class of a limit that applies to no class of an instance.
const noClass = math.MaxInt32

// ForInstance returns the limits with their classes as indexes into an instance's classes.
func (l *Limits) ForInstance(i *Instance) []quota.Limit {
	var limits []quota.Limit
	for n := range l.Limits {
		limit := l.Limits[n].Limit
		if class := l.classes[n]; class != "" {
			limit.Class = slices.Index(i.Agent.Site.Classes, class)
			if limit.Class < 0 {
				limit.Class = noClass
			}
		}
		limits = append(limits, limit)
	}
	return limits
}

// LimitSummary is a limit as the file sets it, with the bounds that follow from it.
type LimitSummary struct {
	Name           string   `json:"name"`
	Counts         string   `json:"counts"`
	Scope          string   `json:"scope"`
	Kind           string   `json:"kind"` // hard or soft
	Figure         int      `json:"figure"`
	Max            int      `json:"most"`       // the maximum that all agents together may use
	MaxLeased      int      `json:"most_lent"`  // the part of Max that is used by leases
	MaxFloors      int      `json:"most_floor"` // the part of Max that is used by floors of agents while they reach no lease server
	IsolatedAmount string   `json:"alone"`      // the amount that an agent may use while it reaches no lease server
	Servers        []string `json:"keepers"`    // the lease servers, with their shares
	TermSeconds    float64  `json:"term_s"`     // the time within which leases of an isolated agent expire
	ReclaimSeconds float64  `json:"back_s"`     // the time after which these leases are granted to others
}

// Summary returns a summary of each limit, for a number of agents.
func (l *Limits) Summary(agents int) []LimitSummary {
	var summaries []LimitSummary
	for _, limit := range l.Limits {
		bounds := l.Bounds(limit, agents)
		s := LimitSummary{
			Name:           limit.Name,
			Counts:         limit.Kind.String(),
			Scope:          cmp.Or(limit.Scope, "all"),
			Kind:           "soft",
			Figure:         limit.Total,
			Max:            bounds.MaxUsed,
			MaxLeased:      bounds.MaxLeased,
			MaxFloors:      bounds.MaxFloors,
			IsolatedAmount: "nothing",
			TermSeconds:    bounds.Term.Seconds(),
			ReclaimSeconds: bounds.ReclaimTime.Seconds(),
		}
		if limit.Hard {
			s.Kind = "hard"
		}
		switch {
		case bounds.IsolatedAmount > 0 && !limit.Kind.IsRate():
			s.IsolatedAmount = fmt.Sprint(bounds.IsolatedAmount)
		case bounds.IsolatedAmount > 0:
			s.IsolatedAmount = fmt.Sprintf("%d in %v", bounds.IsolatedAmount, bounds.IsolatedSpan.Round(10*time.Millisecond))
		}
		for i, share := range bounds.Shares {
			s.Servers = append(s.Servers, fmt.Sprintf("%s %d", l.Settings.Servers[i], share))
		}
		summaries = append(summaries, s)
	}
	return summaries
}
