package virtual

import (
	"testing"

	"vetchhaven/internal/simulate/scenario"
)

// What is harmless in one agent adds up over a hundred: new connections, servers looked at, cold budgets, delays
// believed. Each row brings one such case about (testdata/many-NAME.toml: 100 agents, 66 servers, 12 s) and asks for a
// service and for a bound on connections opened. Before the mends of the fleet trial each opened nearly twice as many
// as it may, and burst, replaced and zone served less than asked too; throng, of a day of 32 agents, served half.
func TestManyAgentsServeAsOne(t *testing.T) {
	for _, row := range []struct {
		name    string
		service float64 // at least
		dials   int     // at most
	}{
		{"restart", 0.93, 5500},     // all agents restart at once into a fleet half of which is cold
		{"burst", 0.955, 4500},      // half as much again over a fleet near its limit
		{"busy", 0.98, 3500},        // one agent with ten times the mean traffic
		{"zone", 0.97, 4500},        // a zone lost and back cold while the others are full
		{"replaced", 0.68, 6000},    // all that an agent keeps to is replaced within 7 s
		{"late", 0.98, 4000},        // the list is 6 s late while connections break
		{"turned-away", 0.92, 5500}, // the list turns seven calls in ten away as all restart
		{"throng", 0.62, 600},       // 32 agents whose clients tell nothing of work that takes 0.3 of its aim
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load("testdata/many-" + row.name + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			p, err := Play(Options{Scenario: s, Seed: 1, New: Decide})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range p.Judge.Breaches() {
				t.Errorf("rule broken: %v", b)
			}
			if got := p.Day.Total.Service(); got < row.service {
				t.Errorf("service %.3f, want %.3f at least", got, row.service)
			}
			if got := p.Day.Total.Dials; got > row.dials {
				t.Errorf("%d connections opened, want %d at the most", got, row.dials)
			}
		})
	}
}
