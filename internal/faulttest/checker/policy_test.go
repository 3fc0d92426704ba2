package checker

import (
	"testing"
	"time"
)

// agreeing are three that agree, with a lease of a second, and take by policy 0.
func agreeing(stops bool) *story {
	s := &story{}
	s.at(0, Line{What: Agreed, Hard: stops, PauseMS: 1000, Why: "a b c"})
	for i, n := range []string{"a", "b", "c"} {
		s.at(0, Line{What: Up, Of: n, PID: i + 1}).takes(1, i+1, 0, "")
	}
	return s
}

func (s *story) takes(at float64, pid int, number uint64, id string) *story {
	return s.at(at, Line{What: Took, Of: string("abc"[pid-1]), PID: pid, Number: number, ID: id})
}

// change is one that comes into force at 30 s: a and b use it at once, c a while later.
func (s *story) change(late float64) *story {
	s.at(29.5, Line{What: Proposed, Of: "a", ID: "x"}).takes(30, 1, 1, "x").takes(30.01, 2, 1, "x")
	return s.takes(30+late-0.001, 3, 0, "").takes(30+late, 3, 1, "x").at(31+late, Line{What: AuthorNotified, Of: "a", ID: "x", State: "in force", Number: 1})
}

func (s *story) last(at float64, number uint64, id string) *story {
	for pid := 1; pid <= 3; pid++ {
		s.takes(at, pid, number, id)
	}
	return s.at(at, Line{What: End})
}

func TestPoliciesAreJudgedByWhatWasTaken(t *testing.T) {
	b := bounds
	b.PolicySpread = 500 * time.Millisecond
	cut := func(s *story) *story {
		return s.at(25, Line{What: Link, From: "a", To: "c", Drop: 1}).at(25, Line{What: Link, From: "b", To: "c", Drop: 1})
	}
	for name, c := range map[string]struct {
		s     *story
		claim string
		want  string
	}{
		"all at once":                         {agreeing(true).change(0.1).last(60, 1, "x"), PolicyOne, "kept"},
		"one late on whole links":             {agreeing(true).change(0.7).last(60, 1, "x"), PolicyOne, "BROKEN"},
		"one late, cut off, within its lease": {cut(agreeing(true)).change(1.2).last(60, 1, "x"), PolicyOne, "kept"},
		"one late, cut off, past its lease":   {cut(agreeing(true)).change(1.7).last(60, 1, "x"), PolicyOne, "BROKEN"},
		"no change":                           {agreeing(true).last(60, 0, ""), PolicyOne, "not tried"},
		"one never":                           {agreeing(true).change(0.1).takes(60, 1, 1, "x").takes(60, 2, 1, "x").takes(60, 3, 0, "").at(60, Line{What: End}), PolicyAll, "BROKEN"},
		"all in the end":                      {agreeing(true).change(0.1).last(60, 1, "x"), PolicyAll, "kept"},
		"a dropped one is used":               {agreeing(true).at(20, Line{What: AuthorNotified, Of: "a", ID: "x", State: "dropped"}).change(0.1).last(60, 1, "x"), PolicyAll, "BROKEN"},
		"told dropped, and it is used":        {agreeing(true).change(0.1).at(40, Line{What: AuthorNotified, Of: "b", ID: "x", State: "dropped"}).last(60, 1, "x"), PolicyAuthorNotified, "BROKEN"},
		"nobody told":                         {agreeing(true).at(20, Line{What: Proposed, Of: "a", ID: "y"}).last(60, 0, ""), PolicyAuthorNotified, "BROKEN"},
		"back to an earlier one":              {agreeing(true).change(0.1).takes(50, 2, 0, "").last(60, 1, "x"), PolicyDurable, "BROKEN"},
		"one number, two changes":             {agreeing(true).change(0.1).takes(50, 2, 1, "z").last(60, 1, "x"), PolicyDurable, "BROKEN"},
		"a start by an earlier one":           {agreeing(true).change(0.1).at(50, Line{What: Up, Of: "b", PID: 9}).at(50.5, Line{What: Took, Of: "b", PID: 9}).last(60, 1, "x"), PolicyStart, "BROKEN"},
		"turned away where nothing is broken": {agreeing(true).change(0.1).at(55, Line{What: PolicyRejected, Of: "b", PID: 2}).last(60, 1, "x"), PolicyServes, "BROKEN"},
		"turned away, cut off, stops":         {cut(agreeing(true)).at(58, Line{What: PolicyRejected, Of: "c", PID: 3}).last(60, 0, ""), PolicyServes, "not tried"},
		"turned away, cut off, vetoes":        {cut(agreeing(false)).at(58, Line{What: PolicyRejected, Of: "c", PID: 3}).last(60, 0, ""), PolicyServes, "BROKEN"},
	} {
		if got := Policy(b, c.s.lines).Find(c.claim); got.Outcome() != c.want {
			t.Errorf("%s: %s is %s (tried %d), not %s: %v", name, c.claim, got.Outcome(), got.Tried, c.want, got.Breaks)
		}
	}
	had := agreeing(true)
	had.at(10, Line{What: OnDisk, Of: "a", ID: "x"}).at(10, Line{What: OnDisk, Of: "b", ID: "x"})
	if got := Policy(b, cut(had).change(1.2).last(60, 1, "x").lines).Find(PolicyAll); got.Outcome() != "BROKEN" {
		t.Errorf("it had the policy not on its disk, and took by the earlier one after it came into force: %s", got.Outcome())
	}
}
