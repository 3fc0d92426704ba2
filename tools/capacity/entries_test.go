package main

import (
	"bytes"
	"testing"
	"time"

	"vetchhaven/internal/rehearse/chain"
	"vetchhaven/tools/capacity/slopes"
)

// What chain and path print with --toml is what docs/capacity/slopes.toml takes.
func TestEntriesOfChainAndPathAreTaken(t *testing.T) {
	var main, start []*chainPlay
	for _, of := range chainCases {
		for _, n := range []int{1, 4} {
			for _, policy := range []string{chain.Agent, chain.Threes} {
				c := chain.Default(n)
				c.Policy = policy
				main = append(main, &chainPlay{of, c, chain.Result{}})
			}
		}
	}
	for _, n := range []int{1, 4} {
		start = append(start, &chainPlay{config: chain.Default(n)})
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
			t.Errorf("%s has the points %v, two were measured", s.Name, s.Points)
		}
	}
	o.calm = 0
	for _, s := range pathSlopes(o, rows) {
		if s.Quantity == "added_p99" {
			t.Errorf("%s: the 99th of a hundred is told though busy rounds were not set aside", s.Name)
		}
	}
	if len(back) < 15 {
		t.Errorf("%d entries", len(back))
	}
}
