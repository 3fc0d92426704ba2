package chain

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// small returns a chain with little traffic, which keeps the tests short.
func small(tiers int, policy string) Config {
	c := Default(tiers)
	c.Processes, c.Rate, c.Policy = 2, 25, policy
	c.Begin, c.Incident, c.Length = 2*time.Second, 4*time.Second, 7*time.Second
	return c
}

func play(t *testing.T, c Config) Result {
	t.Helper()
	r, err := Play(c)
	if err != nil {
		t.Fatal(err)
	}
	if r.Later.All < 20 {
		t.Fatalf("%d calls in the incident: too few for the test", r.Later.All)
	}
	return r
}

func TestSameSeedSamePlay(t *testing.T) {
	c := small(4, Agent)
	c.Errors = 0.5
	first, second := fmt.Sprintf("%+v", play(t, c)), fmt.Sprintf("%+v", play(t, c))
	c.Seed = 2
	if other := fmt.Sprintf("%+v", play(t, c)); first != second || first == other {
		t.Errorf("seed 1: %s\nagain:  %s\nseed 2: %s", first, second, other)
	}
}

// When all attempts fail at the last of eight tiers, the agents' buckets are soon empty and each call makes one
// attempt there. With the policy Threes, retries multiply until the deadline.
func TestRetriesOfEightTiersDoNotMultiply(t *testing.T) {
	c := small(8, Agent)
	c.Errors = 1
	agent := play(t, c)
	c.Policy, c.Rate = Threes, 8 // this policy has no initial burst, and makes hundreds of attempts for each call
	threes := play(t, c)
	if a := agent.Later.PerCall(); a > 1.1 {
		t.Errorf("%.2f attempts at the last tier for a call after the burst, 1.1 at the most", a)
	}
	if agent.Most > Burst(1, 1) {
		t.Errorf("an agent retried %d times though nothing was served, %d at the most", agent.Most, Burst(1, 1))
	}
	if a, b := agent.Later.PerCall(), threes.Later.PerCall(); b < 20*a {
		t.Errorf("the policy threes makes %.2f attempts, the agent %.2f: this load does not show a difference", b, a)
	}
}

// Twice as many tiers cost no more attempts for a call after the initial burst, and in the first second no more than
// the buckets allow.
func TestBurstsOfTiersAddUp(t *testing.T) {
	var later, burst [2]float64
	for i, tiers := range []int{4, 8} {
		c := small(tiers, Agent)
		c.Errors, c.Leave = 1, 0
		r := play(t, c)
		later[i], burst[i] = r.Later.PerCall(), float64(r.First.Attempts-r.First.All)
		if most := float64(Burst(tiers, c.Processes)); burst[i] > most {
			t.Errorf("%d tiers: %.0f attempts besides the calls in the first second, %.0f at the most", tiers, burst[i], most)
		}
	}
	if later[1] > 1.1*later[0] {
		t.Errorf("attempts for a call: %.2f with 4 tiers, %.2f with 8", later[0], later[1])
	}
}

// The simulation of each policy gives the result that Worked computes. With half of the attempts failing there are
// successes that refill the buckets, and the buckets limit the retries. With more tiers, emptying the upper buckets
// would take longer than this simulation.
func TestSimulationMatchesWorked(t *testing.T) {
	for _, policy := range []string{Agent, Threes, None} {
		c := small(3, policy)
		c.Rate, c.Errors, c.Incident, c.Length = 150, 0.5, 8*time.Second, 10*time.Second
		r := play(t, c)
		attempts, served := Worked(policy, 3, 0.5)
		if got := r.Later.PerCall(); math.Abs(got/attempts-1) > 0.08 {
			t.Errorf("%s: %.3f attempts for a call, %.3f computed", policy, got, attempts)
		}
		if got := r.Later.Share(); math.Abs(got-served) > 0.06 {
			t.Errorf("%s: %.3f served, %.3f computed", policy, got, served)
		}
	}
}

func TestWorked(t *testing.T) {
	for _, row := range []struct {
		policy           string
		tiers            int
		errors           float64
		attempts, served float64
	}{
		{Threes, 16, 1, math.Pow(3, 16), 0},
		{Agent, 16, 1, 1, 0},
		{None, 16, 1, 1, 0},
		{None, 3, 0.5, 1, 0.5},
		{Threes, 1, 0.5, 1.75, 0.875},
		{Agent, 1, 0.5, 1 / 0.9, 0.5 / 0.9},
		{Agent, 4, 0.5, 5.0 / 3, 5.0 / 6}, // 1/s: 2 at the last tier, 1.2 four tiers above it
	} {
		if a, s := Worked(row.policy, row.tiers, row.errors); math.Abs(a/row.attempts-1) > 1e-9 || math.Abs(s-row.served) > 1e-9 {
			t.Errorf("%s, %d tiers, %.0f%%: %.4f attempts and %.4f served, want %.4f and %.4f", row.policy, row.tiers, 100*row.errors, a, s, row.attempts, row.served)
		}
	}
	if a, _ := Worst(Agent, 16); a > 1+16*successRefill/retryCost {
		t.Errorf("at the worst %.2f attempts for a call with 16 tiers, above the bound", a)
	}
}

// Each call at each tier gets its answer in time, and passed-down deadlines and cancellations keep the last tier from
// working for clients that no longer wait.
func TestNoWorkForClientsThatLeft(t *testing.T) {
	c := small(6, Agent)
	c.Rate, c.Slow, c.Leave = 60, 0.02, 0.3
	c.Incident = 3 * time.Second
	var void [3]float64
	for i, down := range [][2]bool{{false, false}, {true, false}, {true, true}} {
		c.Deadlines, c.Cancels = down[0], down[1]
		r := play(t, c)
		if void[i] = r.First.Sum(r.Later).VoidShare(); r.Unanswered > 0 {
			t.Errorf("%v: %d calls without an answer in time", down, r.Unanswered)
		}
	}
	if void[0] == 0 || void[2] > void[1]/4 {
		t.Errorf("attempts for clients that had left: %.4f with nothing passed down, %.4f with deadlines, %.4f with cancellation too", void[0], void[1], void[2])
	}
}

// A cold chain warms up whether deadlines are passed down or not. The lower tiers get requests with different remaining
// times, and each counts as a first try there. A policy that takes them for clients' retries rejects them for seconds.
func TestPassedDownDeadlinesDoNotSlowTheStart(t *testing.T) {
	for seed := range uint64(2) {
		c := Default(16)
		c.Processes, c.Rate, c.Seed = 2, 300, 1+seed
		c.Begin, c.Incident, c.Length = 4*time.Second, 0, 4*time.Second
		r, err := Play(c)
		if err != nil {
			t.Fatal(err)
		}
		if r.Settled < 0 || r.Settled > time.Second {
			t.Errorf("seed %d: 99 in 100 calls were served after %v (negative: not in 3 s), 1 s at the most", c.Seed, r.Settled)
		}
	}
}
