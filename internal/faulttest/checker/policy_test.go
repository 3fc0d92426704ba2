package checker

import (
	"testing"
	"time"
)

// agreedFleet returns a history of three members that agree on a policy, with a lease of one second, and use policy 0.
func agreedFleet(stops bool) *history {
	s := &history{}
	s.at(0, Line{What: Agreed, Hard: stops, PauseMS: 1000, Why: "a b c"})
	for i, n := range []string{"a", "b", "c"} {
		s.at(0, Line{What: Up, Of: n, PID: i + 1}).uses(1, i+1, 0, "")
	}
	return s
}

func (s *history) uses(at float64, pid int, number uint64, id string) *history {
	return s.at(at, Line{What: RequestAdmitted, Of: string("abc"[pid-1]), PID: pid, Number: number, ID: id})
}

// change adds a change that comes into force at 30 s: a and b use it at once, c uses it late seconds after that.
func (s *history) change(late float64) *history {
	s.at(29.5, Line{What: Proposed, Of: "a", ID: "x"}).uses(30, 1, 1, "x").uses(30.01, 2, 1, "x")
	return s.uses(30+late-0.001, 3, 0, "").uses(30+late, 3, 1, "x").at(31+late, Line{What: AuthorNotified, Of: "a", ID: "x", State: "in force", Number: 1})
}

func (s *history) allUse(at float64, number uint64, id string) *history {
	for pid := 1; pid <= 3; pid++ {
		s.uses(at, pid, number, id)
	}
	return s.at(at, Line{What: End})
}

func TestPolicyClaims(t *testing.T) {
	b := bounds
	b.PolicySpread = 500 * time.Millisecond
	cut := func(s *history) *history {
		return s.at(25, Line{What: Link, From: "a", To: "c", Drop: 1}).at(25, Line{What: Link, From: "b", To: "c", Drop: 1})
	}
	for name, c := range map[string]struct {
		s     *history
		claim string
		want  string
	}{
		"all at once":                                 {agreedFleet(true).change(0.1).allUse(60, 1, "x"), PolicyOne, "kept"},
		"one late on healthy links":                   {agreedFleet(true).change(0.7).allUse(60, 1, "x"), PolicyOne, "BROKEN"},
		"one late, isolated, within its lease":        {cut(agreedFleet(true)).change(1.2).allUse(60, 1, "x"), PolicyOne, "kept"},
		"one late, isolated, past its lease":          {cut(agreedFleet(true)).change(1.7).allUse(60, 1, "x"), PolicyOne, "BROKEN"},
		"no change":                                   {agreedFleet(true).allUse(60, 0, ""), PolicyOne, "not tried"},
		"one never switches":                          {agreedFleet(true).change(0.1).uses(60, 1, 1, "x").uses(60, 2, 1, "x").uses(60, 3, 0, "").at(60, Line{What: End}), PolicyAll, "BROKEN"},
		"all at the end":                              {agreedFleet(true).change(0.1).allUse(60, 1, "x"), PolicyAll, "kept"},
		"an aborted change is used":                   {agreedFleet(true).at(20, Line{What: AuthorNotified, Of: "a", ID: "x", State: "dropped"}).change(0.1).allUse(60, 1, "x"), PolicyAll, "BROKEN"},
		"author notified of abort of a change in use": {agreedFleet(true).change(0.1).at(40, Line{What: AuthorNotified, Of: "b", ID: "x", State: "dropped"}).allUse(60, 1, "x"), PolicyAuthorNotified, "BROKEN"},
		"author not notified":                         {agreedFleet(true).at(20, Line{What: Proposed, Of: "a", ID: "y"}).allUse(60, 0, ""), PolicyAuthorNotified, "BROKEN"},
		"return to an earlier policy":                 {agreedFleet(true).change(0.1).uses(50, 2, 0, "").allUse(60, 1, "x"), PolicyDurable, "BROKEN"},
		"one number, two changes":                     {agreedFleet(true).change(0.1).uses(50, 2, 1, "z").allUse(60, 1, "x"), PolicyDurable, "BROKEN"},
		"a start with an earlier policy":              {agreedFleet(true).change(0.1).at(50, Line{What: Up, Of: "b", PID: 9}).at(50.5, Line{What: RequestAdmitted, Of: "b", PID: 9}).allUse(60, 1, "x"), PolicyStart, "BROKEN"},
		"rejection without a fault":                   {agreedFleet(true).change(0.1).at(55, Line{What: PolicyRejected, Of: "b", PID: 2}).allUse(60, 1, "x"), PolicyServes, "BROKEN"},
		"rejection, isolated, stops":                  {cut(agreedFleet(true)).at(58, Line{What: PolicyRejected, Of: "c", PID: 3}).allUse(60, 0, ""), PolicyServes, "not tried"},
		"rejection, isolated, vetoes":                 {cut(agreedFleet(false)).at(58, Line{What: PolicyRejected, Of: "c", PID: 3}).allUse(60, 0, ""), PolicyServes, "BROKEN"},
	} {
		if got := Policy(b, c.s.lines).Find(c.claim); got.Outcome() != c.want {
			t.Errorf("%s: %s is %s (tried %d), want %s: %v", name, c.claim, got.Outcome(), got.Tried, c.want, got.Breaks)
		}
	}
	withDisks := agreedFleet(true)
	withDisks.at(10, Line{What: OnDisk, Of: "a", ID: "x"}).at(10, Line{What: OnDisk, Of: "b", ID: "x"})
	if got := Policy(b, cut(withDisks).change(1.2).allUse(60, 1, "x").lines).Find(PolicyAll); got.Outcome() != "BROKEN" {
		t.Errorf("a member without the policy on its disk used the earlier one after it came into force: %s, want BROKEN", got.Outcome())
	}
}
