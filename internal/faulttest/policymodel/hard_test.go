package policymodel

import (
	"errors"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

func cut(sec float64, who, to []int, oneWay bool, span float64) []plan.Event {
	e := at(sec, "link", who...)
	e.To, e.Both, e.Link = to, !oneWay, plan.Link{Drop: 1}
	h := at(sec+span, "heal", who...)
	h.To, h.Both = to, !oneWay
	return []plan.Event{e, h}
}

func repeat(from, every float64, times int, do string, who ...int) (all []plan.Event) {
	for i := range times {
		all = append(all, at(from+float64(i)*every, do, who...))
	}
	return all
}

func join(all ...[]plan.Event) (out []plan.Event) {
	for _, a := range all {
		out = append(out, a...)
	}
	return out
}

func withKind(e plan.Event, k string) []plan.Event {
	e.Kind = k
	return []plan.Event{e}
}

func withState(e plan.Event, state string) []plan.Event {
	e.State = state
	return []plan.Event{e}
}

func withTargets(e plan.Event, who ...int) []plan.Event {
	e.To = who
	return []plan.Event{e}
}

// Difficult cases, each with both values of cut_off. All claims must be kept, and the final policy must have at least
// the number that the case states.
func TestHardCases(t *testing.T) {
	all5 := []int{0, 1, 2, 3, 4}
	for name, c := range map[string]struct {
		members, voters int
		length          time.Duration
		events          []plan.Event
		drop            float64
		least           uint64 // with stops: lowest allowed number of the policy in force at the end
		vetoes          uint64 // the same with vetoes
	}{
		"one of five voters down at the start":           {5, 5, time.Minute, join(repeat(0.001, 1, 1, "kill", 4), repeat(8, 3, 6, "apply", 0), repeat(35, 1, 1, "start", 4), repeat(45, 1, 1, "apply", 1)), 0, 4, 1},
		"two of five voters down":                        {6, 5, time.Minute, join(repeat(6, 1, 1, "kill", 0, 1), repeat(8, 4, 6, "apply", 5), repeat(36, 1, 1, "start", 0, 1), repeat(50, 1, 1, "apply", 5)), 0, 4, 1},
		"three of five down, so nothing changes":         {6, 5, time.Minute, join(repeat(5, 1, 1, "apply", 5), repeat(8, 1, 1, "kill", 0, 1, 2), repeat(9, 4, 3, "apply", 5), repeat(30, 1, 1, "start", 0, 1, 2), repeat(45, 1, 1, "apply", 5)), 0, 2, 2},
		"paused past its lease, resumed during a change": {5, 3, time.Minute, join(repeat(6, 1, 1, "pause", 4), repeat(7, 1, 1, "apply", 0), repeat(20, 1, 1, "resume", 4), repeat(35, 1, 1, "apply", 4)), 0, 2, 1},
		"no member receives from the leader":             {5, 3, time.Minute, join(cut(6, []int{1}, []int{0, 2, 3, 4}, true, 15), repeat(8, 4, 3, "apply", 4), repeat(40, 1, 1, "apply", 3)), 0, 2, 1},
		"the leader receives from no member":             {5, 3, time.Minute, join(cut(6, []int{0, 2, 3, 4}, []int{1}, true, 15), repeat(8, 4, 3, "apply", 4), repeat(40, 1, 1, "apply", 3)), 0, 2, 1},
		"one member reaches a voter but no leader":       {5, 3, time.Minute, join(cut(6, []int{4}, []int{0, 1}, false, 20), repeat(8, 4, 5, "apply", 3), repeat(40, 1, 1, "apply", 4)), 0, 6, 6},
		"cut during prepare, healed at commit":           {5, 3, time.Minute, join(repeat(6, 2, 12, "apply", 0), cut(6.010, []int{4}, []int{0, 1, 2, 3}, false, 0.020), cut(10.005, []int{3}, []int{0, 1, 2}, false, 0.030), cut(14.015, []int{1}, []int{0, 2, 3, 4}, false, 3)), 0, 6, 5},
		"a partition of ten minutes":                     {6, 3, 700 * time.Second, join(repeat(5, 1, 1, "apply", 0), cut(10, []int{0, 1, 3}, []int{2, 4, 5}, false, 600), repeat(20, 60, 9, "apply", 3), repeat(50, 60, 9, "apply", 5), repeat(650, 1, 1, "apply", 5)), 0, 10, 2},
		"a change each second under 10% loss":            {5, 3, 90 * time.Second, repeat(6, 1, 60, "apply", 4), 0.1, 30, 30},
		"two authors on both sides of a partition":       {6, 3, time.Minute, join(cut(6, []int{0, 3}, []int{1, 2, 4, 5}, false, 12), repeat(8, 1, 1, "apply", 3), repeat(8, 1, 1, "apply", 4), repeat(40, 1, 1, "apply", 5)), 0, 2, 1},
		"two authors at once":                            {5, 3, time.Minute, join(repeat(6, 3, 5, "apply", 3), repeat(6, 3, 5, "apply", 4)), 0, 5, 5},
		"a full disk":                                    {5, 3, time.Minute, join(withKind(at(6, "disk", 4), "full"), repeat(8, 4, 3, "apply", 0), withKind(at(25, "disk", 4), "well"), repeat(35, 1, 1, "apply", 0)), 0, 1, 1},
		"a leader with a disk of 500 ms a sync":          {5, 3, time.Minute, join(withKind(at(4, "disk", 0, 1, 2), "slow"), repeat(8, 5, 6, "apply", 4)), 0, 5, 5},
		"a member's disk from an hour ago":               {5, 3, time.Minute, join(repeat(4, 1, 1, "keep", 4), repeat(6, 2, 4, "apply", 0), repeat(20, 1, 1, "kill", 4), withState(at(21, "start", 4), "old"), repeat(35, 1, 1, "apply", 0)), 0, 5, 5},
		"a voter's disk from an hour ago":                {5, 3, 80 * time.Second, join(repeat(4, 1, 1, "keep", 0), repeat(6, 2, 4, "apply", 3), repeat(20, 1, 1, "kill", 0), withState(at(21, "start", 0), "old"), repeat(26, 1, 1, "kill", 1), repeat(40, 1, 1, "start", 1), repeat(55, 1, 1, "apply", 3)), 0, 5, 5},
		"a voter's disk is lost":                         {5, 3, time.Minute, join(repeat(6, 2, 4, "apply", 3), repeat(20, 1, 1, "kill", 1), withState(at(21, "start", 1), "none"), repeat(40, 1, 1, "apply", 3)), 0, 5, 5},
		"the whole fleet is killed and restarted":        {5, 3, time.Minute, join(repeat(6, 2, 3, "apply", 3), repeat(12.02, 1, 1, "apply", 4), repeat(12.03, 1, 1, "kill", all5...), repeat(15, 1, 1, "start", all5...), repeat(35, 1, 1, "apply", 3)), 0, 4, 4},
		"a voter is replaced during a change":            {5, 3, time.Minute, join(repeat(6, 1, 1, "apply", 3), withTargets(at(6.008, "voters", 4), 3), repeat(10, 4, 4, "apply", 4)), 0, 5, 5},
		"one leaves during a change":                     {5, 3, time.Minute, join(repeat(6, 1, 1, "term", 4), repeat(6.1, 1, 1, "apply", 3), repeat(20, 1, 1, "apply", 3)), 0, 1, 1},
		"the author excludes one that is down":           {5, 3, time.Minute, join(repeat(6, 1, 1, "kill", 4), withTargets(at(8, "apply", 0), 4), repeat(30, 1, 1, "start", 4), repeat(45, 1, 1, "apply", 4)), 0, 2, 2},
		"two hundred members with three voters":          {200, 3, 40 * time.Second, join(repeat(8, 3, 6, "apply", 100)), 0, 6, 6},
		"a fleet of two hundred, all of it restarted":    {200, 3, 50 * time.Second, join(repeat(6, 1, 1, "apply", 100), repeat(10, 1, 1, "kill", firstMembers(200)...), repeat(12, 1, 1, "start", firstMembers(200)...), repeat(30, 1, 1, "apply", 100)), 0, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, stops := range []bool{true, false} {
				p := fleet(c.members, c.voters, stops, c.events...)
				p.Length, p.Policy.Lease, p.Policy.PrepareTimeout, p.Link.Drop = c.length, 3*time.Second, 5*time.Second, c.drop
				o := Options{Seed: 3, Witness: true, Take: max(20*time.Millisecond, time.Duration(c.members)*5*time.Millisecond, c.length/3000)}
				r, rep := play(t, p, o)
				checkClaims(t, map[bool]string{true: "stops", false: "vetoes"}[stops], rep, checker.PolicyStart, checker.PolicyAuthorNotified)
				want := c.least
				if !stops {
					want = c.vetoes
				}
				for i, s := range r.Shown {
					if s.Name != "" && (s.Active.Number < want || s.Active.Number != r.Shown[0].Active.Number && r.Shown[0].Name != "") {
						t.Errorf("stops %v: %s has policy %d at the end, the first member %d, want at least %d", stops, plan.Name(i), s.Active.Number, r.Shown[0].Active.Number, want)
						break
					}
				}
			}
		})
	}
}

// A policy that one member rejects as invalid, because it lacks the member's zone, is aborted with that member's
// reason.
func TestMemberThatRejectsPolicyAbortsIt(t *testing.T) {
	p := fleet(5, 3, false, at(6, "apply", 0), at(20, "apply", 1))
	r, rep := play(t, p, Options{Seed: 1, Check: func(n int, body []byte) error {
		if n == 4 && strings.HasPrefix(string(body), "# c1") {
			return errors.New("zone: \"north\" is none of the zones south")
		}
		return nil
	}})
	checkClaims(t, "one rejects", rep, checker.PolicyAuthorNotified)
	told := map[string]checker.Line{}
	for _, l := range r.Lines {
		if l.What == checker.AuthorNotified {
			told[l.ID] = l
		}
	}
	if l := told["c1"]; l.State != "dropped" || !strings.Contains(l.Why, "d5: zone") {
		t.Errorf("%+v", l)
	}
	if l := told["c2"]; l.State != "in force" || l.Number != 1 {
		t.Errorf("%+v", l)
	}
}

// After a permanent loss of the majority of voters, an operator's rescue lets one voter continue, other members become
// voters, and changes are possible again.
func TestRescueAfterTheMajorityIsLost(t *testing.T) {
	p := fleet(6, 3, true, join(repeat(6, 2, 3, "apply", 4), repeat(14, 1, 1, "kill", 0, 1), repeat(20, 1, 1, "apply", 4), repeat(30, 1, 1, "rescue", 2),
		withTargets(at(40, "voters", 4), 3), repeat(50, 1, 1, "apply", 4), withTargets(at(60, "voters", 4), 4), repeat(70, 1, 1, "apply", 5), withState(at(80, "start", 0), "kept"), repeat(95, 1, 1, "apply", 5))...)
	p.Length = 120 * time.Second
	r, rep := play(t, p, Options{Seed: 2, Witness: true})
	checkClaims(t, "rescue", rep, checker.PolicyAuthorNotified)
	s := r.Shown[5]
	if len(s.Voters) != 3 || s.Epoch != 1 || s.Active.Number < 5 || r.Shown[0].Votes != "" || r.Shown[0].Active.Number != s.Active.Number {
		t.Errorf("voters %v, policy %d after %d rescues; the old voter that restarted: votes %q, policy %d", s.Voters, s.Active.Number, s.Epoch, r.Shown[0].Votes, r.Shown[0].Active.Number)
	}
}
