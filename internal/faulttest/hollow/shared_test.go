package hollow

import (
	"testing"
	"time"
)

// ejectionLoad simulates services of ten agents, each of which calls the next three services, so that each
// agent has the same number of peers at any fleet size.
func ejectionLoad(t *testing.T, agents int, rate float64) Phase {
	t.Helper()
	const size, calls = 10, 3
	g := &Graph{Of: make([]int, agents), Services: make([][]int, agents/size), Calls: make([][]int, agents/size), Tier: make([]int, agents/size)}
	for n := range agents {
		g.Of[n] = n / size
		g.Services[n/size] = append(g.Services[n/size], n)
	}
	for k := range g.Calls {
		for o := range calls {
			g.Calls[k] = append(g.Calls[k], (k+1+o)%len(g.Services))
		}
	}
	v := Verdicts{Seed: 3, Graph: g, Rate: rate, Error: 0.001, Marks: []time.Duration{6 * time.Second}, Length: 16 * time.Second}
	phases, _, err := v.Play()
	if err != nil {
		t.Fatal(err)
	}
	return phases[1]
}

// Ejection messages go only to a server's subscribers, and those about chance errors only to a few of them, so the cost
// for an agent hardly grows when the fleet doubles.
func TestEjectionCostIsFlat(t *testing.T) {
	small, large := ejectionLoad(t, 80, 100), ejectionLoad(t, 160, 100)
	t.Logf("%.0f and %.0f bytes, %.2f and %.2f messages a second, %.4f and %.4f of a core", small.Out.Bytes, large.Out.Bytes, small.Out.Messages, large.Out.Messages, small.Processor, large.Processor)
	if r := large.Out.Bytes / small.Out.Bytes; r > 1.3 {
		t.Errorf("160 agents send %.0f bytes a second each, 80 send %.0f", large.Out.Bytes, small.Out.Bytes)
	}
	if r := large.Out.Messages / small.Out.Messages; r > 1.3 {
		t.Errorf("160 agents send %.2f messages a second each, 80 send %.2f", large.Out.Messages, small.Out.Messages)
	}
	if large.Out.Bytes > 1000 {
		t.Errorf("each agent sends %.0f bytes a second at rest", large.Out.Bytes)
	}
	if a, b := ejectionLoad(t, 40, 40), ejectionLoad(t, 40, 40); a.Out != b.Out || a.In != b.In {
		t.Errorf("the same seed sent %+v, then %+v", a.Out, b.Out)
	}
}

// In a drawn graph an agent of a larger fleet also calls more servers. In a fleet of twice the size, the cost for an
// agent must be at most twice as high in the second phase.
func TestEjectionCostGrowsSlowerThanTheFleet(t *testing.T) {
	drawn := func(agents int) Phase {
		g, err := DrawGraph(GraphSpec{Agents: agents, Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
		v := Verdicts{Seed: 3, Graph: g, Rate: 40, Error: 0.001, Marks: []time.Duration{time.Second}, Length: 4 * time.Second}
		phases, _, err := v.Play()
		if err != nil {
			t.Fatal(err)
		}
		return phases[1]
	}
	small, large := drawn(40), drawn(80)
	t.Logf("%.0f and %.0f bytes a second", small.Out.Bytes, large.Out.Bytes)
	if r := large.Out.Bytes / small.Out.Bytes; r > 2 {
		t.Errorf("80 agents send %.0f bytes a second each, 40 send %.0f", large.Out.Bytes, small.Out.Bytes)
	}
}

func limitLoad(t *testing.T, members int) (holder, keeper Phase) {
	t.Helper()
	l := Limits{Seed: 3, Members: members, Rate: 8, Marks: []time.Duration{5 * time.Second}, Length: 7 * time.Second}
	h, k, _, err := l.Play()
	if err != nil {
		t.Fatal(err)
	}
	return h[1], k[1]
}

func TestLimitCostIsFlatForALeaseClientAndLinearForALeaseServer(t *testing.T) {
	h1, k1 := limitLoad(t, 20)
	h2, k2 := limitLoad(t, 40)
	if r := h2.Out.Bytes / h1.Out.Bytes; r > 1.1 {
		t.Errorf("a lease client among 40 members sends %.0f bytes a second, one among 20 sends %.0f", h2.Out.Bytes, h1.Out.Bytes)
	}
	if r := k2.In.Bytes / k1.In.Bytes; r < 1.5 || r > 2.3 {
		t.Errorf("a lease server for 40 members receives %.0f bytes a second, one for 20 receives %.0f", k2.In.Bytes, k1.In.Bytes)
	}
}

func TestALeaseServerAnswersAnyNumberOfClients(t *testing.T) {
	if each, err := KeeperTime(20); err != nil || each <= 0 {
		t.Errorf("a lease request takes %v, error %v", each, err)
	}
}
