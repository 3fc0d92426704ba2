package policymodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

// Draw draws a random plan: a fleet, its settings, a change every few seconds, and overlapping faults. The faults are
// partitions, one-way cuts and lossy links; crashes and restarts with the disk unchanged, or with an empty, torn or
// outdated disk (at most a minority of the voters); pauses; slow and full disks; and leaves. At the end of the plan all
// links and disks are healthy and all members that ran are running again.
func Draw(seed uint64, most int) (*plan.Plan, Options) {
	rng := rand.New(rand.NewPCG(seed, 73))
	voters := []int{3, 3, 5, 1}[rng.IntN(4)]
	n := voters + rng.IntN(max(1, most-voters))
	length := 90 * time.Second
	quiet := 40 * time.Second // time without faults at the end
	p := &plan.Plan{Name: "drawn", Daemons: n, Zones: 1, Length: length,
		Policy: &plan.Policy{Voters: firstMembers(voters), StopWhenIsolated: rng.IntN(2) == 0, Lease: time.Duration(2+rng.IntN(6)) * time.Second, PrepareTimeout: time.Duration(3+rng.IntN(8)) * time.Second, ServeLastKnown: rng.IntN(4) == 0},
		Bounds: checker.Bounds{Crash: 8 * time.Second, Leave: 2 * time.Second, Join: 5 * time.Second, Settle: 15 * time.Second, Pause: 1500 * time.Millisecond, PolicySpread: 500 * time.Millisecond}}
	if rng.IntN(3) == 0 {
		p.Link = plan.Link{Drop: 0.1 * rng.Float64(), Duplicate: 0.1 * rng.Float64(), Reorder: 0.2 * rng.Float64()}
	}
	o := Options{Seed: seed, Witness: rng.IntN(2) == 0, Take: 50 * time.Millisecond}
	when := func() time.Duration {
		return 3*time.Second + time.Duration(rng.Float64()*float64(length-quiet-6*time.Second))
	}
	some := func(k int) []int { return rng.Perm(n)[:min(n, k)] }
	add := func(e plan.Event) { p.Events = append(p.Events, e) }
	down := map[int]bool{}
	for t := 2 * time.Second; t < length-25*time.Second; t += time.Duration(1+rng.IntN(5)) * time.Second {
		e := plan.Event{At: t, Do: "apply", Who: some(1)}
		if rng.IntN(10) == 0 && !p.Policy.StopWhenIsolated { // with cut_off = "vetoes", one change in ten is omitted
			continue
		}
		add(e)
	}
	lost := 0
	for range 3 + rng.IntN(6) {
		t, span := when(), time.Duration(1+rng.IntN(10))*time.Second
		switch rng.IntN(8) {
		case 0, 1: // partition in two
			side := some(1 + rng.IntN(n))
			var rest []int
			for i := range n {
				if !slices.Contains(side, i) {
					rest = append(rest, i)
				}
			}
			drop := 1.0
			if rng.IntN(4) == 0 {
				drop = 0.3 + 0.4*rng.Float64()
			}
			both := rng.IntN(3) > 0
			add(plan.Event{At: t, Do: "link", Who: side, To: rest, Both: both, Link: plan.Link{Drop: drop}})
			add(plan.Event{At: t + span, Do: "heal", Who: side, To: rest, Both: both})
		case 2: // paused
			who := some(1 + rng.IntN(2))
			add(plan.Event{At: t, Do: "pause", Who: who})
			add(plan.Event{At: t + span, Do: "resume", Who: who})
		case 3: // disk fault
			who := some(1 + rng.IntN(2))
			add(plan.Event{At: t, Do: "disk", Who: who, Kind: []string{"full", "slow"}[rng.IntN(2)]})
			add(plan.Event{At: t + span, Do: "disk", Who: who, Kind: "well"})
		case 4: // graceful leave
			x := rng.IntN(n)
			if down[x] {
				continue
			}
			down[x] = true
			add(plan.Event{At: t, Do: "term", Who: []int{x}})
			add(plan.Event{At: t + span, Do: "start", Who: []int{x}, State: "kept"})
		default: // crash
			k := 1
			if rng.IntN(5) == 0 {
				k = n
			}
			for _, x := range some(k) {
				if down[x] {
					continue
				}
				down[x] = true
				e := plan.Event{At: t + span, Do: "start", Who: []int{x}, State: "kept"}
				if rng.IntN(3) == 0 && (x >= voters || lost < (voters-1)/2) {
					e.State = []string{"none", "torn", "old"}[rng.IntN(3)]
					if x < voters {
						lost++
					}
					add(plan.Event{At: t / 2, Do: "keep", Who: []int{x}})
				}
				add(plan.Event{At: t, Do: "kill", Who: []int{x}})
				add(e)
			}
		}
	}
	add(plan.Event{At: length - quiet + 5*time.Second, Do: "heal"})
	add(plan.Event{At: length - quiet + 5*time.Second, Do: "disk", Who: firstMembers(n), Kind: "well"})
	add(plan.Event{At: length - quiet + 5*time.Second, Do: "resume", Who: firstMembers(n)})
	for x := range n {
		if down[x] {
			add(plan.Event{At: length - quiet + 5*time.Second, Do: "start", Who: []int{x}, State: "kept"})
		}
	}
	slices.SortStableFunc(p.Events, func(a, b plan.Event) int { return int(a.At - b.At) })
	return p, o
}
