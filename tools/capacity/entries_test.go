package main

import (
	"bytes"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/hollow"
	"vetchhaven/internal/simulate/chain"
	"vetchhaven/tools/capacity/slopes"
)

// The entries that chain and path print with --toml are valid in docs/capacity/slopes.toml.
func TestChainAndPathEntriesAreValid(t *testing.T) {
	var main, start []*chainRun
	for _, of := range chainCases {
		for _, n := range []int{1, 4} {
			for _, policy := range []string{chain.Agent, chain.Threes} {
				c := chain.Default(n)
				c.Policy = policy
				main = append(main, &chainRun{of, c, chain.Result{}})
			}
		}
	}
	for _, n := range []int{1, 4} {
		start = append(start, &chainRun{config: chain.Default(n)})
	}
	o := pathOptions{servers: []int{12, 200}, rate: 408, rounds: 3, length: time.Second, calm: time.Millisecond}
	three := []float64{1, 2, 3}
	row := pathRow{cpu: three, added50: three, added99: three}
	rows := []pathRow{row, row, {services: 50, servers: 200, cpu: three[:1]}} // the last has too few rounds
	rows[0].services, rows[0].servers = 2, 12
	rows[1].services, rows[1].servers = 12, 12
	all := append(chainSlopes([]int{1, 4}, 1, main, start), pathSlopes(o, rows)...)
	var out bytes.Buffer
	if err := slopes.Write(&out, all...); err != nil {
		t.Fatal(err)
	}
	back, err := slopes.Parse("entries", out.Bytes())
	if err != nil {
		t.Fatalf("%v\n%s", err, out.Bytes())
	}
	for _, s := range back {
		if len(s.Points) != 2 {
			t.Errorf("%s has the points %v, want the two that were measured", s.Name, s.Points)
		}
	}
	o.calm = 0
	for _, s := range pathSlopes(o, rows) {
		if s.Quantity == "added_p99" {
			t.Errorf("%s: there is a p99 although busy rounds were not discarded", s.Name)
		}
	}
	if len(back) < 15 {
		t.Errorf("%d entries, want at least 15", len(back))
	}
}

// The entries that view, verdicts and limits print for each variable pass the checks of slopes.Parse, and none is missing.
func TestViewVerdictsAndLimitsEntriesAreValid(t *testing.T) {
	f := &flags{sizes: "30,100", seed: 1, workers: 1}
	p := hollow.Phase{Out: hollow.Rate{Bytes: 2, Messages: 1, Most: 3}, In: hollow.Rate{Bytes: 2, Messages: 1, Most: 3}, Processor: 0.001}
	var all []slopes.Slope
	for _, c := range []struct{ mechanism, variable, which, form string }{{"view", "agents", "rest_80ms", "log"}, {"verdicts", "calls_per_s", "rate_100", "power"}, {"limits", "agents", "zone_back_keeper", "linear"}} {
		s := f.series(c.mechanism, "rest", c.variable, "seed 1")
		s.add(30, p)
		s.add(100, p)
		all = append(all, s.entries(c.which, c.mechanism+" --part rest", c.form)...)
	}
	var out bytes.Buffer
	if err := slopes.Write(&out, all...); err != nil {
		t.Fatal(err)
	}
	if back, err := slopes.Parse("entries", out.Bytes()); err != nil || len(back) != 3*len(quantities) {
		t.Errorf("%d entries, want %d, %v", len(back), 3*len(quantities), err)
	}
}

// A ceiling applies to the mean of bytes only. The time until all views agree is an entry of its own, without a point
// for a size at which they never agree.
func TestWorstMinuteEntriesHaveCeilingAndAgreementTime(t *testing.T) {
	f := &flags{sizes: "30,100,300", seed: 1, workers: 1}
	s := f.series("view", "worst", "agents", "a zone")
	s.ceiling = 500
	for i, n := range []float64{30, 100, 300} {
		s.add(n, hollow.Phase{Out: hollow.Rate{Bytes: 20, Most: 900}})
		s.agreed(n, []time.Duration{time.Second, 2 * time.Second, -1}[i])
	}
	agreed := 0
	for _, e := range s.entries("zone", "view --part zone", "linear") {
		if want := map[string]float64{"bytes_out": 500, "bytes_in": 500}[e.Quantity]; e.Ceiling != want {
			t.Errorf("%s has a ceiling of %v, want %v", e.Name, e.Ceiling, want)
		}
		if e.Quantity == "time_agreed" {
			agreed++
			if len(e.Points) != 2 || e.Points[1] != [2]float64{100, 2} || e.Unit != "s" {
				t.Errorf("%s in %s: %v", e.Name, e.Unit, e.Points)
			}
		}
	}
	if agreed != 1 {
		t.Errorf("%d entries of the time until all views agree, want 1", agreed)
	}
}
