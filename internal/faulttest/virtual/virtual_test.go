package virtual

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/peer/membership"
)

func loadShippedPlans(t *testing.T) []*plan.Plan {
	t.Helper()
	paths, err := filepath.Glob("../../../drills/*.toml")
	if err != nil || len(paths) < 15 {
		t.Fatal(paths, err)
	}
	var all []*plan.Plan
	for _, path := range paths {
		p, err := plan.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
	return all
}

// claimsWithoutService returns the claims that a plan tries, except Serving, which needs real processes: there are no
// requests in virtual time.
func claimsWithoutService(p *plan.Plan) []string {
	return slices.DeleteFunc(slices.Clone(p.RequiredClaims), func(c string) bool { return c == checker.Serving })
}

func TestShippedPlansKeepTheirClaims(t *testing.T) {
	for _, p := range loadShippedPlans(t) {
		if p.NeedsRealProcesses || p.Policy != nil { // package policymodel runs plans of policies
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			p.Bounds.MaxSuspicion = 0 // virtual time doesn't depend on how busy the machine is
			seeds := uint64(8)
			// Plans with regions are long, and the drawn plans try the same claims.
			if len(p.Regions) > 0 && !strings.HasPrefix(p.Name, "short") {
				seeds = 1
			}
			for seed := range seeds {
				r, err := Play(p, Options{Seed: seed + 1, Workers: 1})
				if err != nil {
					t.Fatal(err)
				}
				report := checker.Check(p.Bounds, r.Lines)
				for _, c := range report.Claims {
					if c.Broken > 0 {
						t.Errorf("seed %d: %s: broken %d of %d times: %v", seed+1, c.Name, c.Broken, c.Tried, c.Breaks)
					}
				}
				if missed := report.NotTried(claimsWithoutService(p)); len(missed) > 0 {
					t.Errorf("seed %d: not tried: %v", seed+1, missed)
				}
			}
		})
	}
}

func TestSameSeedGivesSameLinesOnAnyNumberOfWorkers(t *testing.T) {
	p, err := plan.Load("../../../drills/halves.toml")
	if err != nil {
		t.Fatal(err)
	}
	var first []byte
	for _, workers := range []int{1, 2, 7} {
		r, err := Play(p, Options{Seed: 5, Workers: workers, Daemons: 60})
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(r.Lines)
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = text
		} else if !bytes.Equal(first, text) {
			t.Errorf("different lines with %d workers", workers)
		}
	}
}

func TestPartitionedRegionIsDeadToOthersAndRejoins(t *testing.T) {
	l, err := topology.New(topology.Spec{Members: 15, Regions: 5, RTT: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	l.CutOff(4, 5*time.Second, 25*time.Second)
	held := map[[2]int]bool{} // pairs of daemons of which the first considered the second dead during the partition
	r, err := Play(&plan.Plan{Name: "regions", Daemons: 15, Seeds: []int{0, 1}, Length: 60 * time.Second}, Options{Seed: 3, Warm: true, Layout: l,
		Each: func(_ time.Duration, daemon int, a membership.Action) {
			if c, ok := a.(membership.MemberChanged); ok && c.Record.State == membership.Dead {
				for n := range 15 {
					if plan.Name(n) == c.Record.Name {
						held[[2]int{daemon, n}] = true
					}
				}
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	for a := range 15 {
		for b := range 15 {
			if apart := (l.Region(a) == 4) != (l.Region(b) == 4); a != b && held[[2]int{a, b}] != apart {
				t.Errorf("%d considers %d dead: %v, partitioned: %v", a, b, held[[2]int{a, b}], apart)
			}
		}
		if r.Views[a].Digest() != r.Views[0].Digest() || r.Views[a].Local().Zone != l.ZoneName(a) {
			t.Errorf("%d has a different view at the end, or is in zone %s", a, r.Views[a].Local().Zone)
		}
	}
}
