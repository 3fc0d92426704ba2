package virtual

import (
	"testing"

	"vetchhaven/internal/simulate/scenario"
)

// Behaviour that is harmless in one agent adds up over a hundred agents: new connections, servers considered, slow-start
// budgets, and delays that each agent takes as current. Each row is such a case (testdata/many-NAME.toml: 100 agents,
// 66 servers, 12 s) with a minimum service and a maximum of opened connections. The tests guard against a fleet that
// opens nearly twice as many connections as allowed, and against too little service in burst, replaced and zone. The
// case throng (32 agents) guards against a fault with which half of its requests were served.
func TestManyAgentsServeAsOne(t *testing.T) {
	for _, row := range []struct {
		name    string
		service float64 // at least
		dials   int     // at most
	}{
		{"restart", 0.93, 5500},     // all agents restart at once while half of the servers are cold
		{"burst", 0.955, 4500},      // 50% more load on a fleet near its limit
		{"busy", 0.98, 3500},        // one agent with ten times the mean traffic
		{"zone", 0.97, 4500},        // a zone fails and restarts cold while the others are fully loaded
		{"replaced", 0.68, 6000},    // all servers that an agent uses are replaced within 7 s
		{"late", 0.98, 4000},        // the list's updates are 6 s late while connections break
		{"turned-away", 0.92, 5500}, // the list rejects seven calls in ten while all agents restart
		{"throng", 0.62, 600},       // 32 agents, no work hints; the work takes 0.3 of the latency objective
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
