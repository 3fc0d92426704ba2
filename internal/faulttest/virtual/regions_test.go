package virtual

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

// drawRegions draws a fleet in regions, and faults of the links between regions and of some daemons.
func drawRegions(seed uint64) *plan.Plan {
	rng := rand.New(rand.NewPCG(seed, 38))
	regions, each := 2+rng.IntN(4), 3+rng.IntN(5)
	p := &plan.Plan{Name: "drawn", Daemons: regions * each, Seeds: []int{0, each}, Zones: 1 + rng.IntN(3),
		Bounds: checker.Bounds{Crash: 8 * time.Second, Leave: 2 * time.Second, Join: 5 * time.Second, Settle: 10 * time.Second, Pause: 1500 * time.Millisecond,
			MinServed: 0.99, MaxIdleBytes: 2400, MaxBytes: 80 << 10, MaxRemoteBytes: 20 << 10, RoundTrips: 4},
		Between: plan.Link{Delay: time.Duration(5+rng.IntN(120)) * time.Millisecond, Jitter: time.Duration(rng.IntN(20)) * time.Millisecond}}
	for n := range p.Daemons {
		p.Regions = append(p.Regions, "r"+strconv.Itoa(n/each+1))
	}
	in := func(region int) (all []int) {
		for n := range each {
			all = append(all, region*each+n)
		}
		return all
	}
	rest := func(region int) (all []int) {
		for n := range p.Daemons {
			if n/each != region {
				all = append(all, n)
			}
		}
		return all
	}
	at := 15 * time.Second
	for range 3 {
		a := rng.IntN(regions)
		b := (a + 1 + rng.IntN(regions-1)) % regions
		lasts := time.Duration(12+rng.IntN(30)) * time.Second
		e := plan.Event{At: at, Do: "link", Who: in(a), To: in(b), Both: true, Link: p.Between}
		switch rng.IntN(8) {
		case 0, 1: // one region is partitioned from all others
			e.To, e.Link.Drop = rest(a), 1
		case 2: // two regions are partitioned from each other
			e.Link.Drop = 1
		case 3: // a one-way cut
			e.Both, e.Link.Drop = false, 1
		case 4: // one direction is lossy
			e.Both, e.Link.Drop = false, 0.2
		case 5: // 300 ms more delay, on and off
			e.Link.Delay += 300 * time.Millisecond
			for k := time.Duration(0); k*6*time.Second < lasts; k++ {
				f, g := e, e
				f.At, g.At, g.Do = at+k*6*time.Second, at+k*6*time.Second+3*time.Second, "heal"
				p.Events = append(p.Events, f, g)
			}
			e.Do = "heal"
		case 6: // some daemons are killed and restart
			who := []int{a*each + rng.IntN(each)}
			if rng.IntN(3) == 0 { // a whole region
				who = in(a)
			}
			e = plan.Event{At: at, Do: "kill", Who: who}
			p.Events = append(p.Events, plan.Event{At: at + lasts, Do: "start", Who: who, State: "kept"})
		case 7: // one or two daemons are isolated from all others
			few := in(a)[:1+rng.IntN(2)]
			e.Who, e.To, e.Link.Drop = few, nil, 1
			for n := range p.Daemons {
				if n/each != a || n%each >= len(few) {
					e.To = append(e.To, n)
				}
			}
		}
		p.Events = append(p.Events, e)
		if e.Do == "link" {
			h := e
			h.At, h.Do = at+lasts, "heal"
			p.Events = append(p.Events, h)
		}
		at += lasts + time.Duration(5+rng.IntN(15))*time.Second
	}
	slices.SortStableFunc(p.Events, func(a, b plan.Event) int { return cmp.Compare(a.At, b.At) })
	p.Length = at + 15*time.Second
	return p
}

func TestDrawnRegionFaultsKeepAllClaims(t *testing.T) {
	seeds, first := uint64(4), uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("REGION_SEEDS"), 10, 32); err == nil { // for longer manual runs
		seeds = n
	}
	if n, err := strconv.ParseUint(os.Getenv("REGION_FIRST"), 10, 32); err == nil {
		first = n
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := drawRegions(seed)
			r, err := Play(p, Options{Seed: seed, Workers: 1})
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range checker.Check(p.Bounds, r.Lines).Claims {
				if c.Broken > 0 {
					t.Errorf("%s: broken %d of %d times: %q", c.Name, c.Broken, c.Tried, c.Breaks[:min(3, len(c.Breaks))])
				}
			}
		})
	}
}
