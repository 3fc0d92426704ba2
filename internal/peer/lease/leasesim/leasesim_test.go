package leasesim

import (
	"testing"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
)

func even(rate float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return rate }
}

func run(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Play(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestHardLimitIsNeverPassed(t *testing.T) {
	for _, counts := range []quota.Kind{quota.InFlight, quota.Requests} {
		begun, crashes, near := 0, 0, 0
		for seed := range uint64(8) {
			r := run(t, Options{Seed: seed, Holders: 5 + int(seed%20), Keepers: 1 + 2*int(seed%3), Figure: 20 + int(seed), Counts: counts, Length: 60 * time.Second,
				Demand: even(60), Lasts: 200 * time.Millisecond, Faults: true, Rates: lease.DefaultClockDrift})
			if r.Over > 0 {
				t.Errorf("%v, seed %d: %d times over, %d of %d at the most", counts, seed, r.Over, r.Most, 20+int(seed))
			}
			begun, crashes, near = begun+r.Begun, crashes+r.Crashes, near+r.Near
		}
		if begun < 1500 || crashes < 60 || near < 50 {
			t.Errorf("%v: %d begun, %d near the figure, among %d crashes: this tries nothing", counts, begun, near, crashes)
		}
	}
}

func TestSoftLimitKeepsItsBound(t *testing.T) {
	over := 0
	for _, counts := range []quota.Kind{quota.InFlight, quota.Requests} {
		for seed := range uint64(6) {
			r := run(t, Options{Seed: seed, Holders: 5 + int(seed%20), Keepers: 3, Figure: 60, Soft: true, Counts: counts, Length: 40 * time.Second,
				Demand: even(30), Lasts: 200 * time.Millisecond, Faults: true, Rates: lease.DefaultClockDrift})
			if r.Most > r.Bound {
				t.Errorf("%v, seed %d: %d, where %d is the bound", counts, seed, r.Most, r.Bound)
			}
			over += r.Over
		}
	}
	if over == 0 {
		t.Error("the figure was never passed: the bound was not tried")
	}
}

// The one assumption: where clocks differ by far more than is stated, the limit is passed. So the harness sees it.
func TestClocksFarOffBreakIt(t *testing.T) {
	over := 0
	for seed := range uint64(20) {
		r := run(t, Options{Seed: seed, Holders: 2, Keepers: 1, Figure: 30, Counts: quota.InFlight, Length: 40 * time.Second,
			Demand: even(300), Lasts: 200 * time.Millisecond, Rates: 0.6, Cut: []int{1}, Cut0: 10 * time.Second, Cut1: time.Hour})
		over += r.Over
	}
	if over == 0 {
		t.Error("never over: the harness would not see it")
	}
}

// One agent has ten times the traffic of each of the rest, and all together want twice the figure.
func uneven(n int, _ time.Duration) float64 {
	if n == 0 {
		return 120
	}
	return 12
}

func TestWholeLinksUseWhatIsWanted(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand func(int, time.Duration) float64
		soft   bool
		least  float64
	}{
		{"two fifths", even(5), false, 0.97}, {"four fifths", even(10), false, 0.80}, {"all wanted twice", even(24), false, 0.84},
		{"uneven", uneven, false, 0.82}, {"soft, four fifths", even(10), true, 0.95}, {"soft, uneven", uneven, true, 0.95},
	} {
		r := run(t, Options{Seed: 1, Holders: 10, Keepers: 3, Figure: 120, Soft: c.soft, Counts: quota.Requests, Length: 60 * time.Second, Demand: c.demand, From: 10 * time.Second})
		t.Logf("%s: served %.3f, most %d of %d, %d messages of %d bytes", c.name, r.Served, r.Most, r.Bound, r.Messages, r.Bytes)
		if r.Served < c.least {
			t.Errorf("%s: %.3f of what is wanted or allowed", c.name, r.Served)
		}
	}
}

func TestShiftIsFollowed(t *testing.T) {
	for _, soft := range []bool{false, true} {
		for _, counts := range []quota.Kind{quota.Requests, quota.InFlight} {
			r := run(t, Options{Seed: 2, Holders: 10, Keepers: 3, Figure: 120, Soft: soft, Counts: counts, Lasts: 100 * time.Millisecond, Length: 40 * time.Second, From: 10 * time.Second,
				Demand: func(n int, now time.Duration) float64 {
					if (n == 1) == (now > 20*time.Second) && n < 2 {
						return 2000
					}
					return 1
				}})
			rate := 120.0
			if counts == quota.InFlight {
				rate = 1200
			}
			d := r.Follows(1, 20*time.Second, rate, 0.85)
			t.Logf("%v soft %v: %v", counts, soft, d)
			if d == 0 || d > 2*time.Second {
				t.Errorf("%v, soft %v: followed after %v", counts, soft, d)
			}
		}
	}
}
