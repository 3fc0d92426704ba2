package virtual

import (
	"testing"

	"vetchhaven/internal/simulate/scenario"
)

// Records are published 45 s late, fail, are cut short or come empty, while servers drain, go, come back and move.
// Merged with the list they bring nothing to what it called drained, double no ward-close and leave nobody without
// servers. Who believes each reading does all three: the day has room for it.
//
// An effect may come twice with no agent to blame, where a server has moved and the list itself tells of it late: on one
// day in fourteen, once, and any change of what is drawn moves it to another day. The judge tells it from a repeat of an
// agent's own, of which there may be none.
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
		t.Errorf("%d effects twice by agents' repeats, %v by nobody's, %d times without a server, want none, at most one, none",
			twice-len(free), free, p.Emptied)
	}
	if got := p.Day.Total.Service(); got < 0.99 {
		t.Errorf("service %.3f, want 0.99", got)
	}
	if p := play(true); p.Judge.Count(3) < 100 || p.Emptied == 0 {
		t.Errorf("believing all sent %d to what drains and was left without a server %d times: the day tries nothing",
			p.Judge.Count(3), p.Emptied)
	}
}
