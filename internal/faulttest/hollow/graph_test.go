package hollow

import (
	"reflect"
	"slices"
	"testing"
)

func TestTheGraphIsSkewedDeepAndDrawnFromTheSeed(t *testing.T) {
	draw := func(seed uint64) *Graph {
		g, err := DrawGraph(GraphSpec{Agents: 12000, Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		return g
	}
	g := draw(1)
	if len(g.Services) != 990 || !reflect.DeepEqual(g, draw(1)) || reflect.DeepEqual(g, draw(2)) {
		t.Errorf("%d services, or the same seed gave different graphs, or different seeds gave the same graph", len(g.Services))
	}
	agents, calls := 0, 0
	var sizes []int
	for k, s := range g.Services {
		agents += len(s)
		sizes = append(sizes, len(s))
		for _, o := range g.Calls[k] {
			if g.Tier[o] <= g.Tier[k] {
				t.Errorf("service %d of tier %d calls %d of tier %d", k, g.Tier[k], o, g.Tier[o])
			}
		}
		calls += len(g.Calls[k])
		for _, a := range s {
			if g.Of[a] != k {
				t.Errorf("agent %d is of service %d, not %d", a, g.Of[a], k)
			}
		}
	}
	slices.Sort(sizes)
	if agents != 12000 || sizes[0] < 1 || sizes[495] > 10 || sizes[989] < 500 {
		t.Errorf("%d agents; service sizes: smallest %d, median %d, largest %d", agents, sizes[0], sizes[495], sizes[989])
	}
	if mean := float64(calls) / 990; mean < 7 || mean > 14 {
		t.Errorf("a service calls %.1f others on average", mean)
	}
	if g.Deepest() != 16 {
		t.Errorf("calls are up to %d deep, want 16", g.Deepest())
	}
	if g, err := DrawGraph(GraphSpec{Agents: 20}); err != nil || len(g.Services) != 2 || len(g.Servers(0)) == 0 {
		t.Errorf("a graph of 20 agents: %+v, %v", g, err)
	}
	if _, err := DrawGraph(GraphSpec{Agents: 1}); err == nil {
		t.Error("a graph of one agent was drawn")
	}
}
