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

func each(from, every float64, times int, do string, who ...int) (all []plan.Event) {
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

func kind(e plan.Event, k string) []plan.Event {
	e.Kind = k
	return []plan.Event{e}
}

func from(e plan.Event, state string) []plan.Event {
	e.State = state
	return []plan.Event{e}
}

func to(e plan.Event, who ...int) []plan.Event {
	e.To = who
	return []plan.Event{e}
}

// The hard cases, each with both kinds of cut_off. All claims are held; what each is to come to besides stands with it.
func TestHardCases(t *testing.T) {
	all5 := []int{0, 1, 2, 3, 4}
	for name, c := range map[string]struct {
		members, voters int
		length          time.Duration
		events          []plan.Event
		drop            float64
		least           uint64 // policy in force in the end, at the least, with stops
		vetoes          uint64 // and with vetoes
	}{
		"one of five voters down at the start":        {5, 5, time.Minute, join(each(0.001, 1, 1, "kill", 4), each(8, 3, 6, "apply", 0), each(35, 1, 1, "start", 4), each(45, 1, 1, "apply", 1)), 0, 4, 1},
		"two of five voters down":                     {6, 5, time.Minute, join(each(6, 1, 1, "kill", 0, 1), each(8, 4, 6, "apply", 5), each(36, 1, 1, "start", 0, 1), each(50, 1, 1, "apply", 5)), 0, 4, 1},
		"three of five down: nothing changes":         {6, 5, time.Minute, join(each(5, 1, 1, "apply", 5), each(8, 1, 1, "kill", 0, 1, 2), each(9, 4, 3, "apply", 5), each(30, 1, 1, "start", 0, 1, 2), each(45, 1, 1, "apply", 5)), 0, 2, 2},
		"paused past its lease, woken in the middle":  {5, 3, time.Minute, join(each(6, 1, 1, "pause", 4), each(7, 1, 1, "apply", 0), each(20, 1, 1, "resume", 4), each(35, 1, 1, "apply", 4)), 0, 2, 1},
		"nobody hears the leader":                     {5, 3, time.Minute, join(cut(6, []int{1}, []int{0, 2, 3, 4}, true, 15), each(8, 4, 3, "apply", 4), each(40, 1, 1, "apply", 3)), 0, 2, 1},
		"the leader hears nobody":                     {5, 3, time.Minute, join(cut(6, []int{0, 2, 3, 4}, []int{1}, true, 15), each(8, 4, 3, "apply", 4), each(40, 1, 1, "apply", 3)), 0, 2, 1},
		"one member hears no leader, but a voter":     {5, 3, time.Minute, join(cut(6, []int{4}, []int{0, 1}, false, 20), each(8, 4, 5, "apply", 3), each(40, 1, 1, "apply", 4)), 0, 6, 6},
		"cut as it is prepared, healed as it is in":   {5, 3, time.Minute, join(each(6, 2, 12, "apply", 0), cut(6.010, []int{4}, []int{0, 1, 2, 3}, false, 0.020), cut(10.005, []int{3}, []int{0, 1, 2}, false, 0.030), cut(14.015, []int{1}, []int{0, 2, 3, 4}, false, 3)), 0, 6, 5},
		"ten minutes of a partition":                  {6, 3, 700 * time.Second, join(each(5, 1, 1, "apply", 0), cut(10, []int{0, 1, 3}, []int{2, 4, 5}, false, 600), each(20, 60, 9, "apply", 3), each(50, 60, 9, "apply", 5), each(650, 1, 1, "apply", 5)), 0, 10, 2},
		"changes each second under 10% loss":          {5, 3, 90 * time.Second, each(6, 1, 60, "apply", 4), 0.1, 30, 30},
		"two authors, on both sides of a cut":         {6, 3, time.Minute, join(cut(6, []int{0, 3}, []int{1, 2, 4, 5}, false, 12), each(8, 1, 1, "apply", 3), each(8, 1, 1, "apply", 4), each(40, 1, 1, "apply", 5)), 0, 2, 1},
		"two authors at once":                         {5, 3, time.Minute, join(each(6, 3, 5, "apply", 3), each(6, 3, 5, "apply", 4)), 0, 5, 5},
		"a full disk":                                 {5, 3, time.Minute, join(kind(at(6, "disk", 4), "full"), each(8, 4, 3, "apply", 0), kind(at(25, "disk", 4), "well"), each(35, 1, 1, "apply", 0)), 0, 1, 1},
		"a leader with a disk of 500 ms a sync":       {5, 3, time.Minute, join(kind(at(4, "disk", 0, 1, 2), "slow"), each(8, 5, 6, "apply", 4)), 0, 5, 5},
		"a member's disk from an hour ago":            {5, 3, time.Minute, join(each(4, 1, 1, "keep", 4), each(6, 2, 4, "apply", 0), each(20, 1, 1, "kill", 4), from(at(21, "start", 4), "old"), each(35, 1, 1, "apply", 0)), 0, 5, 5},
		"a voter's disk from an hour ago":             {5, 3, 80 * time.Second, join(each(4, 1, 1, "keep", 0), each(6, 2, 4, "apply", 3), each(20, 1, 1, "kill", 0), from(at(21, "start", 0), "old"), each(26, 1, 1, "kill", 1), each(40, 1, 1, "start", 1), each(55, 1, 1, "apply", 3)), 0, 5, 5},
		"a voter's disk is lost":                      {5, 3, time.Minute, join(each(6, 2, 4, "apply", 3), each(20, 1, 1, "kill", 1), from(at(21, "start", 1), "none"), each(40, 1, 1, "apply", 3)), 0, 5, 5},
		"the whole fleet is killed and started":       {5, 3, time.Minute, join(each(6, 2, 3, "apply", 3), each(12.02, 1, 1, "apply", 4), each(12.03, 1, 1, "kill", all5...), each(15, 1, 1, "start", all5...), each(35, 1, 1, "apply", 3)), 0, 4, 4},
		"a voter is replaced in the middle":           {5, 3, time.Minute, join(each(6, 1, 1, "apply", 3), to(at(6.008, "voters", 4), 3), each(10, 4, 4, "apply", 4)), 0, 5, 5},
		"one leaves in the middle":                    {5, 3, time.Minute, join(each(6, 1, 1, "term", 4), each(6.1, 1, 1, "apply", 3), each(20, 1, 1, "apply", 3)), 0, 1, 1},
		"without one that is down, by the author":     {5, 3, time.Minute, join(each(6, 1, 1, "kill", 4), to(at(8, "apply", 0), 4), each(30, 1, 1, "start", 4), each(45, 1, 1, "apply", 4)), 0, 2, 2},
		"two hundred members, of which three vote":    {200, 3, 40 * time.Second, join(each(8, 3, 6, "apply", 100)), 0, 6, 6},
		"a fleet of two hundred, all of it restarted": {200, 3, 50 * time.Second, join(each(6, 1, 1, "apply", 100), each(10, 1, 1, "kill", everyone(200)...), each(12, 1, 1, "start", everyone(200)...), each(30, 1, 1, "apply", 100)), 0, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, stops := range []bool{true, false} {
				p := fleet(c.members, c.voters, stops, c.events...)
				p.Length, p.Policy.Lease, p.Policy.Within, p.Link.Drop = c.length, 3*time.Second, 5*time.Second, c.drop
				o := Options{Seed: 3, Witness: true, Take: max(20*time.Millisecond, time.Duration(c.members)*5*time.Millisecond, c.length/3000)}
				r, rep := play(t, p, o)
				kept(t, map[bool]string{true: "stops", false: "vetoes"}[stops], rep, checker.PolicyStart, checker.PolicyAuthorNotified)
				want := c.least
				if !stops {
					want = c.vetoes
				}
				for i, s := range r.Shown {
					if s.Name != "" && (s.Active.Number < want || s.Active.Number != r.Shown[0].Active.Number && r.Shown[0].Name != "") {
						t.Errorf("stops %v: %s has policy %d in the end, the first %d, and %d is the least", stops, plan.Name(i), s.Active.Number, r.Shown[0].Active.Number, want)
						break
					}
				}
			}
		})
	}
}

// A policy that all find valid but one, whose zone it does not have, is dropped with that one's words.
func TestOneThatCantServeByItDropsIt(t *testing.T) {
	p := fleet(5, 3, false, at(6, "apply", 0), at(20, "apply", 1))
	r, rep := play(t, p, Options{Seed: 1, Check: func(n int, body []byte) error {
		if n == 4 && strings.HasPrefix(string(body), "# c1") {
			return errors.New("zone: \"north\" is none of the zones south")
		}
		return nil
	}})
	kept(t, "one can't", rep, checker.PolicyAuthorNotified)
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

// The majority of voters is lost for good: one goes on by the operator's word, others come to vote, and changes go on.
func TestRescueAfterTheMajorityIsLost(t *testing.T) {
	p := fleet(6, 3, true, join(each(6, 2, 3, "apply", 4), each(14, 1, 1, "kill", 0, 1), each(20, 1, 1, "apply", 4), each(30, 1, 1, "rescue", 2),
		to(at(40, "voters", 4), 3), each(50, 1, 1, "apply", 4), to(at(60, "voters", 4), 4), each(70, 1, 1, "apply", 5), from(at(80, "start", 0), "kept"), each(95, 1, 1, "apply", 5))...)
	p.Length = 120 * time.Second
	r, rep := play(t, p, Options{Seed: 2, Witness: true})
	kept(t, "rescue", rep, checker.PolicyAuthorNotified)
	s := r.Shown[5]
	if len(s.Voters) != 3 || s.Epoch != 1 || s.Active.Number < 5 || r.Shown[0].Votes != "" || r.Shown[0].Active.Number != s.Active.Number {
		t.Errorf("%v vote, policy %d after %d rescues; the one that came back: %q, policy %d", s.Voters, s.Active.Number, s.Epoch, r.Shown[0].Votes, r.Shown[0].Active.Number)
	}
}
