package policymodel

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
)

var bounds = checker.Bounds{Crash: 8 * time.Second, Leave: 2 * time.Second, Join: 5 * time.Second, Settle: 10 * time.Second, Pause: 1500 * time.Millisecond, PolicySpread: 500 * time.Millisecond}

func fleet(n, voters int, stops bool, events ...plan.Event) *plan.Plan {
	p := &plan.Plan{Name: "test", Daemons: n, Zones: 1, Length: 60 * time.Second, Bounds: bounds, Events: events,
		Policy: &plan.Policy{Voters: firstMembers(voters), StopWhenIsolated: stops, Lease: 5 * time.Second, PrepareTimeout: 10 * time.Second}}
	return p
}

func at(sec float64, do string, who ...int) plan.Event {
	return plan.Event{At: time.Duration(sec * float64(time.Second)), Do: do, Who: who, State: "kept"}
}

func play(t *testing.T, p *plan.Plan, o Options) (*Result, *checker.Report) {
	t.Helper()
	if os.Getenv("SAY") != "" {
		o.Log = func(at time.Duration, who, text string) { fmt.Printf("%8.3f %s: %s\n", at.Seconds(), who, text) }
	}
	r, err := Play(p, o)
	if err != nil {
		t.Fatal(err)
	}
	return r, checker.Policy(p.Bounds, r.Lines)
}

// checkClaims reports an error for each broken claim, and for each claim in tries that was not tried.
func checkClaims(t *testing.T, what string, rep *checker.Report, tries ...string) {
	t.Helper()
	for _, c := range rep.Claims {
		if c.Broken > 0 {
			t.Errorf("%s: %s: %v", what, c.Name, c.Breaks)
		}
	}
	for _, n := range tries {
		if rep.Find(n).Tried == 0 {
			t.Errorf("%s: %s was not tried", what, n)
		}
	}
}

// Random schedules: link faults, crashes, disk faults, pauses, leaves, and a change every few seconds.
func TestDrawnSchedulesKeepAllClaims(t *testing.T) {
	tried := map[string]int{}
	for seed := range uint64(24) {
		p, o := Draw(seed, 8)
		_, rep := play(t, p, o)
		checkClaims(t, fmt.Sprint("schedule ", seed), rep)
		for _, c := range rep.Claims {
			tried[c.Name] += c.Tried
		}
	}
	for name, least := range map[string]int{checker.PolicyOne: 1000, checker.PolicyAll: 60, checker.PolicyStart: 100, checker.PolicyServes: 1000, checker.PolicyDurable: 1000, checker.PolicyAuthorNotified: 250} {
		if tried[name] < least {
			t.Errorf("%s was tried only %d times", name, tried[name])
		}
	}
}

func TestSameSeedGivesSameLines(t *testing.T) {
	p, o := Draw(7, 8)
	a, _ := play(t, p, o)
	b, _ := play(t, p, o)
	if len(a.Lines) < 1000 || !slices.Equal(a.Lines, b.Lines) {
		t.Errorf("%d and %d lines, which differ or are too few", len(a.Lines), len(b.Lines))
	}
}

// The acting member is killed at each write and each message of a change, at one point per run.
func TestMemberKilledAtEachPointOfAChange(t *testing.T) {
	const asked = 5 * time.Second
	for _, stops := range []bool{true, false} {
		p := fleet(4, 3, stops, at(5, "apply", 3))
		p.Length, p.Policy.Lease, p.Policy.PrepareTimeout, p.Bounds.Settle = 35*time.Second, 2*time.Second, 3*time.Second, 8*time.Second
		o := Options{Seed: 1, Take: 50 * time.Millisecond, From: asked, Witness: true, Back: 1200 * time.Millisecond}
		points := 0
		o.Point = func(n int, at time.Duration, _, _ string) {
			if at < asked+150*time.Millisecond {
				points = n
			}
		}
		play(t, p, o)
		if points < 60 {
			t.Fatalf("only %d points", points)
		}
		o.Point = nil
		for k := 1; k <= points; k += 4 {
			o.Kill = []int{k}
			_, rep := play(t, p, o)
			checkClaims(t, fmt.Sprintf("stops %v, point %d", stops, k), rep, checker.PolicyDurable)
		}
	}
}

// Shows that the checker detects violations: the baselines break the claim of one policy at a time.
func TestBaselinesBreakOnePolicyClaim(t *testing.T) {
	for _, w := range []Way{OneByOne, Gossip} {
		broken := 0
		for seed := range uint64(6) {
			p, o := Draw(seed, 8)
			o.Way = w
			if _, rep := play(t, p, o); rep.Find(checker.PolicyOne).Broken > 0 {
				broken++
			}
		}
		if broken < 3 {
			t.Errorf("method %d: only %d of 6 schedules broke the claim of one policy at a time", w, broken)
		}
	}
}

// Voters are replaced one by one while changes continue, and each new one catches up with little traffic.
func TestVotersAreReplacedOneByOne(t *testing.T) {
	var events []plan.Event
	for i := range 20 {
		events = append(events, at(3+2*float64(i), "apply", 4))
	}
	for i, out := range []string{"d1", "d2", "d3"} {
		e := at(10+8*float64(i), "voters", 5)
		e.To, e.Remove = []int{3 + i}, out
		events = append(events, e, at(13+8*float64(i), "kill", i))
	}
	p := fleet(7, 3, true, events...)
	r, rep := play(t, p, Options{Seed: 1, Witness: true})
	for _, c := range rep.Claims {
		if c.Broken > 0 {
			t.Errorf("%s: %v", c.Name, c.Breaks)
		}
	}
	if got := r.Shown[6].Voters; !slices.Equal(got, []string{"d4", "d5", "d6"}) || r.Shown[6].Active.Number < 10 {
		t.Errorf("voters %v, policy %d", got, r.Shown[6].Active.Number)
	}
	if rate := float64(r.Bytes) / p.Length.Seconds() / 7; rate > 3000 {
		t.Errorf("%.0f bytes per second and member", rate)
	}
}

func TestShippedPolicyPlansKeepTheirClaims(t *testing.T) {
	paths, err := filepath.Glob("../../../drills/*policy*.toml")
	if err != nil || len(paths) < 8 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		p, err := plan.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if p.NeedsRealProcesses {
			continue
		}
		for seed := range uint64(2) {
			_, rep := play(t, p, Options{Seed: seed + 1, Witness: p.Policy.Witness})
			checkClaims(t, fmt.Sprintf("%s, seed %d", p.Name, seed+1), rep, p.RequiredClaims...)
		}
	}
}

// Found by the 1,077th schedule: the disk of a voter is torn while its messages reach no member, and the leader counts
// on entries that the voter acknowledged and lost. Raft then sent it the same entries repeatedly, as fast as the link
// allowed.
func TestVoterThatLostAcknowledgedEntriesCausesNoMessageStorm(t *testing.T) {
	p, o := Draw(1076, 10)
	r, rep := play(t, p, o)
	checkClaims(t, "schedule 1076", rep)
	if r.Messages > 100*p.Daemons*90 {
		t.Errorf("%d messages", r.Messages)
	}
}
