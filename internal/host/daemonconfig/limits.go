package daemonconfig

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

// Limits are those that the fleet shares.
type Limits struct {
	lease.Settings
	classes []string // of each limit; empty: all
}

// limits checks [[limit]], and what [peers] says of keepers; nil where the file limits nothing.
func (c *checker) limits(f *fileTables, cfg *Config, classes classSet) *Limits {
	if len(f.Limit) == 0 {
		return nil
	}
	if f.Peers == nil {
		c.fail("limit[0]", "limits that the fleet shares need [peers]")
		return nil
	}
	l := &Limits{Settings: lease.Settings{Servers: f.Peers.LeaseServers, ClockDrift: f.Peers.Drift}}
	if l.Term = c.positiveDuration("peers.term", f.Peers.LeaseTerm, lease.DefaultTerm); l.Term < time.Second || l.Term > time.Minute {
		c.fail("peers.term", "%v: 1s to 1m are allowed", l.Term)
	}
	if !(l.ClockDrift >= 0 && l.ClockDrift <= 0.2) {
		c.fail("peers.drift", "%v: 0 to 0.2 are allowed", l.ClockDrift)
	}
	if n := len(l.Servers); n == 0 || n > 16 {
		c.fail("peers.keepers", "%d keepers: 1 to 16 members are to be named", n)
	}
	for i, k := range l.Servers {
		if !membership.ValidName(k) || slices.Index(l.Servers, k) != i {
			c.fail(fmt.Sprintf("peers.keepers[%d]", i), "%q is no name of a member, or is there twice", k)
		}
	}
	for _, class := range classes.settings.Classes {
		l.MaxAttemptTime = max(l.MaxAttemptTime, class.Deadline)
	}
	for i := range f.Limit {
		c.limit(fmt.Sprintf("limit[%d].", i), &f.Limit[i], l, f, classes.names)
	}
	if c.err == nil {
		if _, err := lease.NewClient(l.Settings, cfg.Peers.Name, 1); err != nil {
			c.fail("limit", "%v", err)
		}
	}
	return l
}

func (c *checker) limit(at string, in *limitTable, l *Limits, f *fileTables, classes []string) {
	one := lease.Limit{Limit: quota.Limit{Name: in.Name, Class: -1, Zone: -1, Cell: -1, Server: in.Server}, Total: in.Total, FloorShare: in.Floor}
	if in.Name == "" || strings.ContainsAny(in.Name, " \t\r\n\"") || len(in.Name) > 40 || slices.ContainsFunc(l.Limits, func(o lease.Limit) bool { return o.Name == in.Name }) {
		c.fail(at+"name", "%q: 1 to 40 characters without spaces or quotes, and each once", in.Name)
	}
	one.Kind = quota.Kind(c.choice(at+"counts", in.Counts, quota.KindNames))
	one.Hard = c.choice(at+"kind", in.Kind, []string{"hard", "soft"}) == 0
	if in.Total < 1 || in.Total > 10_000_000 {
		c.fail(at+"figure", "%d: 1 to 10000000 are allowed", in.Total)
	}
	if in.Floor != 0 && one.Hard || !(in.Floor >= 0 && in.Floor <= 1) {
		c.fail(at+"floor", "%v: a share, and of a soft limit: nothing can be promised of a hard one that is cut off", in.Floor)
	}
	var scope []string
	of := func(key, value string) { scope = append(scope, key+" "+value) }
	if in.Class != "" {
		of("class", in.Class)
		if !slices.Contains(classes, in.Class) {
			c.fail(at+"class", "%q is none of the classes %s", in.Class, strings.Join(classes, ", "))
		}
	}
	if in.Zone != "" {
		of("zone", in.Zone)
		if one.Zone = slices.Index(f.Site.Zones, in.Zone); one.Zone < 0 {
			c.fail(at+"zone", "%q is none of the zones %s", in.Zone, strings.Join(f.Site.Zones, ", "))
		}
	}
	if in.Pod != nil {
		of("pod", fmt.Sprint(*in.Pod))
		one.Cell = *in.Pod
		if one.Cell < 0 {
			c.fail(at+"pod", "%d is negative", one.Cell)
		}
	}
	if in.Server != "" {
		of("server", in.Server)
	}
	if in.Partition != "" {
		of("each", in.Partition)
		one.Partition = quota.Partition(1 + c.choice(at+"each", in.Partition, []string{"server", "zone", "pod"}))
	}
	one.Scope = strings.Join(scope, ", ")
	l.Limits = append(l.Limits, one)
	l.classes = append(l.classes, in.Class)
}

// ForInstance are the limits in the terms of an instance's settings. One of a class that it does not take falls on nothing.
func (l *Limits) ForInstance(i *Instance) []quota.Limit {
	var all []quota.Limit
	for n, one := range l.Limits {
		r := one.Limit
		if l.classes[n] != "" {
			if r.Class = slices.Index(i.Agent.Site.Classes, l.classes[n]); r.Class < 0 {
				r.Class = math.MaxInt32
			}
		}
		all = append(all, r)
	}
	return all
}

// LimitSummary is what a file says of a limit, and what follows from it.
type LimitSummary struct {
	Name           string   `json:"name"`
	Counts         string   `json:"counts"`
	Scope          string   `json:"scope"`
	Kind           string   `json:"kind"`
	Figure         int      `json:"figure"`
	Max            int      `json:"most"`       // ever, of all agents together
	MaxLeased      int      `json:"most_lent"`  // of that, by rights
	MaxFloors      int      `json:"most_floor"` // and by floors of agents that no keeper reaches
	IsolatedAmount string   `json:"alone"`      // what an agent may use that no keeper reaches
	Servers        []string `json:"keepers"`    // and what each lends
	TermSeconds    float64  `json:"term_s"`     // rights that are cut off lapse within it
	ReclaimSeconds float64  `json:"back_s"`     // and are lent to others after it
}

// Summary is what follows from the file, with so many agents.
func (l *Limits) Summary(agents int) []LimitSummary {
	var all []LimitSummary
	for _, one := range l.Limits {
		b := l.Bounds(one, agents)
		s := LimitSummary{Name: one.Name, Counts: one.Kind.String(), Scope: one.Scope, Kind: "soft", Figure: one.Total, Max: b.Max, MaxLeased: b.MaxLeased, MaxFloors: b.MaxFloors,
			IsolatedAmount: "nothing", TermSeconds: b.Term.Seconds(), ReclaimSeconds: b.Reclaim.Seconds()}
		if one.Scope == "" {
			s.Scope = "all"
		}
		if one.Hard {
			s.Kind = "hard"
		}
		switch {
		case b.IsolatedAmount > 0 && !one.Kind.IsRate():
			s.IsolatedAmount = fmt.Sprint(b.IsolatedAmount)
		case b.IsolatedAmount > 0:
			s.IsolatedAmount = fmt.Sprintf("%d in %v", b.IsolatedAmount, b.IsolatedSpan.Round(10*time.Millisecond))
		}
		for k, part := range b.Shares {
			s.Servers = append(s.Servers, fmt.Sprintf("%s %d", l.Settings.Servers[k], part))
		}
		all = append(all, s)
	}
	return all
}
