package policymodel

import (
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/policy"
)

// A member is cut off just after its lease was renewed, its clock as slow as clocks may be and the voters' as fast, and the
// change that comes goes on without it once its lease is over. That is over for the leader only after T (1 + d) / (1 - d) of
// its own time: after T of it the member takes by the old policy for 2% of T more, beside others who take by the new.
// The same where the leader that renewed it ends at that moment: the next one counts from its election, which the leases
// here are long enough to outlast. And the other way round nothing happens but a longer wait.
func TestALeaseIsOverForTheLeaderAfterItIsOverForTheMember(t *testing.T) {
	const drift = policy.DefaultClockDrift
	for name, c := range map[string]struct {
		lease         time.Duration
		voters, other float64 // rates of clocks
		ends          bool    // the leader, as it has renewed the lease
	}{
		"voters fast, the member slow": {20 * time.Second, drift, -drift, false},
		"voters slow, the member fast": {20 * time.Second, -drift, drift, false},
		"the leader ends as well":      {200 * time.Second, drift, -drift, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lead := ""
			o := Options{Seed: 1, Witness: true, Take: 40 * time.Millisecond, Say: func(_ time.Duration, who, text string) {
				if lead == "" && strings.HasPrefix(text, "this voter leads") {
					lead = who
				}
			}, Rate: func(n int) float64 {
				if n < 3 {
					return c.voters
				}
				return c.other
			}}
			p := fleet(5, 3, true)
			p.Policy.Lease, p.Length, p.Bounds.PolicySpread = c.lease, 2*time.Second, 20*time.Millisecond
			if _, err := Play(p, o); err != nil { // it leads in the next run as well, which is the same so far
				t.Fatal(err)
			}
			p.Length = c.lease*11/10 + 10*time.Second
			p.Events = join(cut(2, []int{4}, []int{0, 1, 2, 3}, false, 2*p.Length.Seconds()), each(2.1, 1, 1, "apply", 3))
			if c.ends {
				p.Events = join(each(2, 1, 1, "kill", int(lead[1]-'1')), p.Events)
			}
			r, err := Play(p, o)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range checker.Policy(p.Bounds, r.Lines).Find(checker.PolicyAll).Breaks {
				t.Error(b)
			}
			// What the case is made of: the member took to the end of its lease, and the change came into force without it.
			var last, first time.Duration
			for _, l := range r.Lines {
				switch at := time.Duration(l.T); {
				case l.What == checker.Took && l.Of == plan.Name(4) && l.Number == 0:
					last = at
				case l.What == checker.Took && l.Number == 1 && first == 0:
					first = at
				}
			}
			if end := time.Duration(float64(c.lease) / (1 + c.other)); last < end-time.Second || first < last || first > last+end/20+5*time.Second {
				t.Errorf("the member took by its file up to %v, and the first by the change was at %v", last, first)
			}
		})
	}
}

// With stops a change goes on without who is cut off, also where its lease ends after the time that the change has to be
// on all disks: the leader waits for the lease before it drops the change.
func TestAChangeGoesOnWithoutWhoIsCutOffHoweverShortItsTime(t *testing.T) {
	for _, lease := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
		p := fleet(5, 3, true, join(cut(6, []int{4}, []int{0, 1, 2, 3}, false, 40), each(7, 1, 1, "apply", 0))...)
		p.Policy.Lease, p.Policy.Within = lease, 3*time.Second
		r, rep := play(t, p, Options{Seed: 1, Witness: true})
		kept(t, lease.String(), rep, checker.PolicyAuthorNotified)
		for _, l := range r.Lines {
			if l.What == checker.AuthorNotified && l.State != "in force" {
				t.Errorf("lease %v: the change is %s: %s", lease, l.State, l.Why)
			}
		}
	}
}
