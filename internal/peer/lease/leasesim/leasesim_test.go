package leasesim

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
)

var bothKinds = []quota.Kind{quota.InFlight, quota.Requests}

// evenDemand returns a demand that is the same for all clients, in requests a second.
func evenDemand(rate float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return rate }
}

// unevenDemand gives one client ten times the demand of each other client. The demand of ten clients together is about
// twice a total of 120.
func unevenDemand(client int, _ time.Duration) float64 {
	if client == 0 {
		return 120
	}
	return 12
}

func runSim(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// withFaults returns options of a fleet with random faults, whose size depends on the seed.
func withFaults(seed uint64, kind quota.Kind) Options {
	return Options{
		Seed:            seed,
		Clients:         5 + int(seed%20),
		Kind:            kind,
		MeanAttemptTime: 200 * time.Millisecond,
		Faults:          true,
		ClockDrift:      lease.DefaultClockDrift,
	}
}

func TestHardLimitIsNeverExceeded(t *testing.T) {
	for _, kind := range bothKinds {
		t.Run(kind.String(), func(t *testing.T) {
			started, crashes, nearTotal := 0, 0, 0
			for seed := range uint64(8) {
				o := withFaults(seed, kind)
				o.Servers = 1 + 2*int(seed%3)
				o.Total = 20 + int(seed)
				o.Duration = 60 * time.Second
				o.Demand = evenDemand(60)
				r := runSim(t, o)
				if r.Exceeded > 0 {
					t.Errorf("seed %d: exceeded %d times, by up to %d of %d", seed, r.Exceeded, r.MaxUsed, o.Total)
				}
				started += r.Started
				crashes += r.Crashes
				nearTotal += r.NearTotal
			}
			if started < 1500 || crashes < 60 || nearTotal < 50 {
				t.Errorf("not enough is exercised: %d started, %d near the total, %d crashes", started, nearTotal, crashes)
			}
		})
	}
}

func TestSoftLimitStaysWithinItsBound(t *testing.T) {
	exceeded := 0
	for _, kind := range bothKinds {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%v, seed %d", kind, seed), func(t *testing.T) {
				o := withFaults(seed, kind)
				o.Servers = 3
				o.Total = 60
				o.Soft = true
				o.Duration = 40 * time.Second
				o.Demand = evenDemand(30)
				r := runSim(t, o)
				if r.MaxUsed > r.Bound {
					t.Errorf("%d in use, the bound is %d", r.MaxUsed, r.Bound)
				}
				exceeded += r.Exceeded
			})
		}
	}
	if exceeded == 0 {
		t.Error("the total was never exceeded: the bound was not exercised")
	}
}

// If clocks drift far more than the settings assume, the limit is exceeded, and the simulation detects that.
func TestClocksBeyondTheAssumedDriftExceedTheLimit(t *testing.T) {
	exceeded := 0
	for seed := range uint64(20) {
		r := runSim(t, Options{
			Seed:            seed,
			Clients:         2,
			Servers:         1,
			Total:           30,
			Kind:            quota.InFlight,
			Duration:        40 * time.Second,
			Demand:          evenDemand(300),
			MeanAttemptTime: 200 * time.Millisecond,
			ClockDrift:      0.6,
			Partitioned:     []int{1},
			PartitionStart:  10 * time.Second,
			PartitionEnd:    time.Hour,
		})
		exceeded += r.Exceeded
	}
	if exceeded == 0 {
		t.Error("the limit was never exceeded")
	}
}

func TestLimitIsUsedWithoutFaults(t *testing.T) {
	for _, c := range []struct {
		name         string
		demand       func(int, time.Duration) float64
		soft         bool
		minUsedShare float64
	}{
		{"two fifths of the total wanted", evenDemand(5), false, 0.97},
		{"four fifths wanted", evenDemand(10), false, 0.80},
		{"twice the total wanted", evenDemand(24), false, 0.84},
		{"uneven demand", unevenDemand, false, 0.82},
		{"soft, four fifths wanted", evenDemand(10), true, 0.95},
		{"soft, uneven demand", unevenDemand, true, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := runSim(t, Options{
				Seed:      1,
				Clients:   10,
				Servers:   3,
				Total:     120,
				Soft:      c.soft,
				Kind:      quota.Requests,
				Duration:  60 * time.Second,
				Demand:    c.demand,
				CountFrom: 10 * time.Second,
			})
			t.Logf("used %.3f, at most %d of %d, %d messages of %d bytes", r.UsedShare, r.MaxUsed, r.Bound, r.Messages, r.Bytes)
			if r.UsedShare < c.minUsedShare {
				t.Errorf("used %.3f of the wanted or allowed requests, which is too little", r.UsedShare)
			}
		})
	}
}

func TestShiftOfDemandIsFollowed(t *testing.T) {
	const shift = 20 * time.Second
	fromFirstToSecond := func(client int, now time.Duration) float64 {
		if client < 2 && (client == 1) == (now > shift) {
			return 2000
		}
		return 1
	}
	for _, soft := range []bool{false, true} {
		for _, c := range []struct {
			kind quota.Kind
			rate float64 // requests a second that the total allows
		}{
			{quota.Requests, 120},
			{quota.InFlight, 1200},
		} {
			t.Run(fmt.Sprintf("%v, soft %v", c.kind, soft), func(t *testing.T) {
				r := runSim(t, Options{
					Seed:            2,
					Clients:         10,
					Servers:         3,
					Total:           120,
					Soft:            soft,
					Kind:            c.kind,
					MeanAttemptTime: 100 * time.Millisecond,
					Duration:        40 * time.Second,
					CountFrom:       10 * time.Second,
					Demand:          fromFirstToSecond,
				})
				after := r.AdaptationTime(1, shift, c.rate, 0.85)
				t.Logf("followed after %v", after)
				if after == 0 || after > 2*time.Second {
					t.Errorf("followed after %v, want at most 2 s (0: never)", after)
				}
			})
		}
	}
}
