package virtual

import (
	"testing"

	"vetchhaven/internal/simulate/scenario"
)

// Records are published 45 s late, and readings of them fail, are truncated or are empty, while servers drain, end,
// restart and move. When the records are merged with the list, no request goes to a drained server, no ward-close has
// its effect twice and no agent is left without servers. An agent that uses each reading unchecked sends to drained
// servers and is left without servers, so the scenario can reveal a fault of the merging.
//
// An effect may happen twice without an agent's fault if a server has moved and the list reports that late: once in one
// run out of fourteen, and a different order of random draws moves it to another seed. The checker distinguishes this
// from an agent's faulty repeat, which must not happen.
func TestContradictingSourcesAreMerged(t *testing.T) {
	s, err := scenario.Load("../../../../scenarios/two-sources.toml")
	if err != nil {
		t.Fatal(err)
	}
	play := func(believe bool) *Played {
		p, err := Play(Options{Scenario: s, Seed: 4, New: Decide, Believe: believe})
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	p := play(false)
	for _, b := range p.Judge.Breaches() {
		t.Errorf("rule broken: %v", b)
	}
	if twice, free := p.Judge.Doubled(); twice > len(free) || len(free) > 1 || p.Emptied > 0 {
		t.Errorf("%d effects twice by agents' repeats, %v without an agent's fault, %d times without a server; want none, at most one, none",
			twice-len(free), free, p.Emptied)
	}
	if got := p.Day.Total.Service(); got < 0.99 {
		t.Errorf("service %.3f, want 0.99", got)
	}
	if p := play(true); p.Judge.Count(3) < 100 || p.Emptied == 0 {
		t.Errorf("using each reading as it is sent %d requests to draining servers and left agents without a server %d times: the scenario shows no fault",
			p.Judge.Count(3), p.Emptied)
	}
}
