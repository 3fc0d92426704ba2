package policymodel

import (
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/policy"
)

// Guards against a leader that counts a member's lease as expired too early. A member is isolated just after the
// renewal of its lease. Its clock has the lowest rate that clock drift d allows, and the clocks of the voters have the
// highest. A change then commits without the member once its lease T is over. The leader must wait T (1 + d) / (1 - d)
// by its own clock. After only T, the member would admit requests by the old policy for 2% of T more, while others use
// the new one. The same holds if the leader that renewed the lease ends at that moment: the next leader counts from its
// election, and the leases here outlast the election. With the rates swapped, only the wait is longer.
func TestLeaseExpiresForMemberBeforeLeader(t *testing.T) {
	const drift = policy.DefaultClockDrift
	for name, c := range map[string]struct {
		lease         time.Duration
		voters, other float64 // clock drifts
		ends          bool    // the leader ends after it renewed the lease
	}{
		"voters fast, the member slow": {20 * time.Second, drift, -drift, false},
		"voters slow, the member fast": {20 * time.Second, -drift, drift, false},
		"the leader ends as well":      {200 * time.Second, drift, -drift, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lead := ""
			o := Options{Seed: 1, Witness: true, Take: 40 * time.Millisecond, Log: func(_ time.Duration, who, text string) {
				if lead == "" && strings.HasPrefix(text, "this voter leads") {
					lead = who
				}
			}, ClockDrift: func(n int) float64 {
				if n < 3 {
					return c.voters
				}
				return c.other
			}}
			p := fleet(5, 3, true)
			p.Policy.Lease, p.Length, p.Bounds.PolicySpread = c.lease, 2*time.Second, 20*time.Millisecond
			if _, err := Play(p, o); err != nil { // the next run is identical up to here, so it has the same leader
				t.Fatal(err)
			}
			p.Length = c.lease*11/10 + 10*time.Second
			p.Events = join(cut(2, []int{4}, []int{0, 1, 2, 3}, false, 2*p.Length.Seconds()), repeat(2.1, 1, 1, "apply", 3))
			if c.ends {
				p.Events = join(repeat(2, 1, 1, "kill", int(lead[1]-'1')), p.Events)
			}
			r, err := Play(p, o)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range checker.Policy(p.Bounds, r.Lines).Find(checker.PolicyAll).Breaks {
				t.Error(b)
			}
			// Precondition of the case: the member admitted requests until the end of its lease, and the change came
			// into force without it.
			var last, first time.Duration
			for _, l := range r.Lines {
				switch at := time.Duration(l.T); {
				case l.What == checker.RequestAdmitted && l.Of == plan.Name(4) && l.Number == 0:
					last = at
				case l.What == checker.RequestAdmitted && l.Number == 1 && first == 0:
					first = at
				}
			}
			if end := time.Duration(float64(c.lease) / (1 + c.other)); last < end-time.Second || first < last || first > last+end/20+5*time.Second {
				t.Errorf("the member admitted requests by its file until %v, and the first use of the change was at %v", last, first)
			}
		})
	}
}

// With stops, a change commits without an isolated member even if the member's lease ends after the prepare timeout of
// the change: the leader waits for the end of the lease before it would abort the change.
func TestChangeCommitsWithoutIsolatedMemberForAnyLease(t *testing.T) {
	for _, lease := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		p := fleet(5, 3, true, join(cut(6, []int{4}, []int{0, 1, 2, 3}, false, 40), repeat(7, 1, 1, "apply", 0))...)
		p.Policy.Lease, p.Policy.PrepareTimeout = lease, 3*time.Second
		r, rep := play(t, p, Options{Seed: 1, Witness: true})
		checkClaims(t, lease.String(), rep, checker.PolicyAuthorNotified)
		for _, l := range r.Lines {
			if l.What == checker.AuthorNotified && l.State != "in force" {
				t.Errorf("lease %v: the change is %s: %s", lease, l.State, l.Why)
			}
		}
	}
}
