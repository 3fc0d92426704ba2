package daemonconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
)

// Defaults of [rules].
const (
	defaultMaxAttempts    = 3
	defaultConnectTimeout = 250 * time.Millisecond
	defaultDrainGrace     = 2 * time.Second
	defaultAnswerGrace    = 20 * time.Millisecond
	defaultOverloadWindow = time.Second

	// The weights of the balancer's goals add up to 1: see decide.Settings.
	goalOverall = 0.45
	goalWindow  = 0.35
	goalClass   = 0.2
)

// classSet holds the classes of requests that instances may have, and the settings that all these instances share.
type classSet struct {
	settings decide.Settings // Classes are in the order of names
	names    []string
	tables   []classTable // as they are in the file
}

// classes checks [rules] and the given tables of classes.
func (c *checker) classes(f *fileTables, tables []classTable) classSet {
	set := classSet{settings: c.rules(f), tables: tables}
	for i := range tables {
		set.settings.Classes = append(set.settings.Classes, c.class(i, &tables[i], set.names))
		set.names = append(set.names, tables[i].Name)
	}
	if len(tables) == 0 {
		c.fail("class", "at least one [[class]] is needed")
	}
	return set
}

// rules checks [rules].
func (c *checker) rules(f *fileTables) decide.Settings {
	r := &f.Rules
	s := decide.Settings{
		Balancers:        cmp.Or(r.Balancers, 1),
		ByWork:           f.Site.ByWork,
		MaxAttempts:      cmp.Or(r.MaxAttempts, defaultMaxAttempts),
		Hedging:          r.Hedging,
		MayCancel:        true,
		RetryAfter:       r.MaxRetryAfter.D() > 0,
		MaxRetryAfter:    c.duration("rules.max_retry_after", r.MaxRetryAfter, 0),
		ConnectTimeout:   c.positiveDuration("rules.connect_timeout", r.ConnectTimeout, defaultConnectTimeout),
		DrainGrace:       c.positiveDuration("rules.drain_grace", r.DrainGrace, defaultDrainGrace),
		AnswerGrace:      c.duration("rules.answer_slack", r.AnswerSlack, defaultAnswerGrace),
		SlowStartShare:   r.SlowStartShare,
		SlowStartTime:    c.duration("rules.ramp_time", r.SlowStartTime, 0),
		OverloadMultiple: r.OverloadMultiple,
		OverloadWindow:   c.duration("rules.fall_window", r.OverloadWindow, defaultOverloadWindow),
		GoalOverall:      goalOverall,
		GoalWorstWindow:  goalWindow,
		GoalWorstClass:   goalClass,
		CrossZonePrice:   r.CrossZonePrice,
	}
	if s.Balancers < 1 {
		c.fail("rules.balancers", "%d: at least 1 is needed", s.Balancers)
	}
	if s.MaxAttempts < 1 {
		c.fail("rules.max_attempts", "%d: at least 1 is needed", s.MaxAttempts)
	}
	// The comparisons are negated so that NaN fails them.
	if !(r.SlowStartShare >= 0 && r.SlowStartShare <= 1) {
		c.fail("rules.cold_share", "%v is not a share: 0 to 1 is allowed", r.SlowStartShare)
	}
	if !(r.OverloadMultiple >= 0) {
		c.fail("rules.fall_multiple", "%v is negative", r.OverloadMultiple)
	}
	if !(r.CrossZonePrice >= 0) {
		c.fail("rules.cross_zone_price", "%v is negative", r.CrossZonePrice)
	}
	return s
}

// class checks the i-th class. before holds the names of the classes that precede it.
func (c *checker) class(i int, t *classTable, before []string) decide.Class {
	at := func(field string) string { return fmt.Sprintf("class[%d].%s", i, field) }
	if t.Name == "" || strings.ContainsAny(t.Name, "/ ?#%") || slices.Contains(before, t.Name) {
		c.fail(at("name"), "%q is used twice, or can't be the first part of a path", t.Name)
	}
	effect := c.choice(at("repeats"), cmp.Or(t.Effect, "unsafe"), []string{"safe", "keyed", "unsafe"})
	scope := c.choice(at("group"), cmp.Or(t.Scope, "all"), []string{"all", "zone", "pod"})
	class := decide.Class{
		Objective:   c.positiveDuration(at("aim"), t.Objective, 0),
		Deadline:    c.positiveDuration(at("deadline"), t.Deadline, 0),
		Value:       t.Value,
		LateValue:   t.LateValue,
		Effect:      decide.Effect(effect),
		Scope:       decide.DedupScope(scope),
		DedupWindow: c.duration(at("window"), t.DedupWindow, 0),
	}
	if class.Objective > class.Deadline {
		c.fail(at("aim"), "%v is longer than the deadline of %v", class.Objective, class.Deadline)
	}
	if (class.Effect == decide.Keyed) != (class.DedupWindow > 0) {
		c.fail(at("window"), "%v: a keyed class needs a window, and no other class may have one", class.DedupWindow)
	}
	if !(t.Value >= 0) || !(t.LateValue >= 0 && t.LateValue <= 1) {
		c.fail(at("worth"), "worth must not be negative, and late must be a share from 0 to 1")
	}
	return class
}
