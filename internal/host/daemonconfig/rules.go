package daemonconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
)

// settings are what all instances are told alike.
func (c *checker) settings(f *fileTables, own []classTable) (decide.Settings, []string) {
	r := &f.Rules
	s := decide.Settings{Balancers: cmp.Or(r.Balancers, 1), ByWork: f.Site.ByWork, MaxAttempts: cmp.Or(r.MaxAttempts, 3), Hedging: r.Hedging,
		MayCancel: true, RetryAfter: r.MaxRetryAfter.D() > 0, MaxRetryAfter: c.duration("rules.max_retry_after", r.MaxRetryAfter, 0),
		ConnectTimeout: c.positiveDuration("rules.connect_timeout", r.ConnectTimeout, 250*time.Millisecond),
		DrainGrace:     c.positiveDuration("rules.drain_grace", r.DrainGrace, 2*time.Second),
		AnswerGrace:    c.duration("rules.answer_slack", r.AnswerSlack, 20*time.Millisecond),
		SlowStartShare: r.SlowStartShare, SlowStartTime: c.duration("rules.ramp_time", r.SlowStartTime, 0), OverloadMultiple: r.OverloadMultiple,
		OverloadWindow: c.duration("rules.fall_window", r.OverloadWindow, time.Second), GoalWhole: 0.45, GoalWindow: 0.35, GoalClass: 0.2,
		CrossZonePrice: r.CrossZonePrice}
	if s.Balancers < 1 {
		c.fail("rules.balancers", "%d: at least 1 is needed", s.Balancers)
	}
	if s.MaxAttempts < 1 {
		c.fail("rules.max_attempts", "%d: at least 1 is needed", s.MaxAttempts)
	}
	if !(r.SlowStartShare >= 0 && r.SlowStartShare <= 1) {
		c.fail("rules.cold_share", "%v is no share: 0 to 1 is allowed", r.SlowStartShare)
	}
	if !(r.OverloadMultiple >= 0) {
		c.fail("rules.fall_multiple", "%v is negative", r.OverloadMultiple)
	}
	if !(r.CrossZonePrice >= 0) {
		c.fail("rules.cross_zone_price", "%v is negative", r.CrossZonePrice)
	}
	var names []string
	for i, k := range own {
		at := func(field string) string { return fmt.Sprintf("class[%d].%s", i, field) }
		if k.Name == "" || strings.ContainsAny(k.Name, "/ ?#%") || slices.Contains(names, k.Name) {
			c.fail(at("name"), "%q is no name for the first part of a path, or is there twice", k.Name)
		}
		names = append(names, k.Name)
		effect := c.choice(at("repeats"), cmp.Or(k.Effect, "unsafe"), []string{"safe", "keyed", "unsafe"})
		group := c.choice(at("group"), cmp.Or(k.Scope, "all"), []string{"all", "zone", "pod"})
		d := decide.Class{Objective: c.positiveDuration(at("aim"), k.Objective, 0), Deadline: c.positiveDuration(at("deadline"), k.Deadline, 0), Value: k.Value, LateValue: k.LateValue,
			Effect: decide.Effect(effect), Scope: decide.DedupScope(group), DedupWindow: c.duration(at("window"), k.DedupWindow, 0)}
		if d.Objective > d.Deadline {
			c.fail(at("aim"), "%v is past the deadline of %v", d.Objective, d.Deadline)
		}
		if (d.Effect == decide.Keyed) != (d.DedupWindow > 0) {
			c.fail(at("window"), "%v: a keyed class has a window, and no other has", d.DedupWindow)
		}
		if !(k.Value >= 0) || !(k.LateValue >= 0 && k.LateValue <= 1) {
			c.fail(at("worth"), "worth is not negative, and late is a share")
		}
		s.Classes = append(s.Classes, d)
	}
	if len(own) == 0 {
		c.fail("class", "at least one [[class]] is needed")
	}
	return s, names
}
