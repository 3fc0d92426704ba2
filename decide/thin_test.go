package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// serveAt plays a thin agent alone, whose servers all answer after latency, and counts how many of the last
// 200 of 400 requests went out. Clients tell work with each; 0: nothing.
func serveAt(t *testing.T, latency, work time.Duration) (sent int) {
	t.Helper()
	return serveReporting(t, latency, work, decide.Load{})
}

// serveReporting is serveAt before servers that report a load with each answer.
func serveReporting(t *testing.T, latency, work time.Duration, load decide.Load) (sent int) {
	t.Helper()
	s := thinSettings()
	s.Peers, s.MaxAttempts = false, 1
	r := newRig(t, s, 1, backends(20))
	for i := range 400 {
		id := fmt.Sprint("q", i)
		r.step(decide.Request{ID: id, Class: safe, Remaining: s.Classes[safe].Deadline, Work: work})
		if len(r.sent[id]) > 0 {
			r.advance(latency)
			r.step(decide.Outcome{Request: id, Backend: r.sent[id][0], Latency: latency, Answered: true, Load: load})
		}
		r.advance(200 * ms)
		if i >= 200 {
			sent += len(r.sent[id])
		}
	}
	return sent
}

// Fleet trial, join and herd with some 300 agents: at a mean delay of 0.45 to 0.8 of the aim each agent
// still let in most of what it was asked, servers held so many that they worked at a part of their speed,
// and every second attempt timed out. The same agents were to refuse at 0.6 of the aim.
func TestThinAgentShedsWhileServersOnlyBeginToFill(t *testing.T) {
	aim := thinSettings().Classes[safe].Objective
	if sent := serveAt(t, aim*45/100, 0); sent > 100 || sent < 40 {
		t.Errorf("%d of 200 went out at a delay of 0.45 of the aim, want about a third", sent)
	}
	if sent := serveAt(t, aim/5, 0); sent < 195 {
		t.Errorf("%d of 200 went out at a delay of a fifth of the aim, want all", sent)
	}
}

// Where the work itself takes nearly half of the aim, a delay of as much is that of empty servers.
func TestThinAgentDoesNotTakeLongWorkForCrowding(t *testing.T) {
	aim := thinSettings().Classes[safe].Objective
	if sent := serveAt(t, aim*45/100, aim*40/100); sent < 195 {
		t.Errorf("%d of 200 went out though no server is crowded", sent)
	}
}

// Tide-tolls, throng+brink, seed 249848192171: work took 0.3 to 0.4 of short aims and clients told nothing of it, so
// that agents refused half of what came while servers held one to three requests each. What a server takes that
// reports nothing else in hand is what the work takes; what one takes that holds many, or does not say, is not.
func TestThinAgentLearnsFromIdleServersHowLongWorkTakes(t *testing.T) {
	latency := thinSettings().Classes[safe].Objective * 45 / 100
	for _, c := range []struct {
		name        string
		load        decide.Load
		work        time.Duration
		least, most int
	}{
		{"none in hand", decide.Load{Valid: true}, 0, 195, 200},
		{"one, told with noise", decide.Load{Valid: true, InFlight: 1.2}, 0, 195, 200},
		{"20 in hand", decide.Load{Valid: true, InFlight: 20}, 0, 40, 100},
		{"none waiting, and not told how many are in hand", decide.Load{Valid: true, InFlight: -1}, 0, 40, 100},
		{"no report", decide.Load{}, 0, 40, 100},
		{"none in hand, but clients tell of short work", decide.Load{Valid: true}, latency / 10, 40, 100},
	} {
		if sent := serveReporting(t, latency, c.work, c.load); sent < c.least || sent > c.most {
			t.Errorf("%s: %d of 200 went out at a delay of 0.45 of the aim, want %d to %d", c.name, sent, c.least, c.most)
		}
	}
}

// An agent with a few requests a second keeps to a few servers, and so meets each of them again soon and on
// the connection that it has. When all of those are replaced it goes on with others, as few.
func TestThinAgentKeepsToFewServersAndReplacesThem(t *testing.T) {
	s := thinSettings()
	s.Peers = false
	r := newRig(t, s, 1, backends(20))
	used := func(from, to int) map[string]int {
		n := map[string]int{}
		for i := from; i < to; i++ {
			id := fmt.Sprint("q", i)
			r.request(id, safe)
			for _, b := range r.sent[id] {
				n[b]++
				r.advance(20 * ms)
				r.outcome(id, decide.OK, 20*ms)
			}
			r.advance(80 * ms)
		}
		return n
	}
	used(0, 20)
	first := used(20, 120)
	if len(first) > 4 {
		t.Errorf("%d servers were used by an agent with ten requests a second, want 3 or so", len(first))
	}
	var gone []decide.Backend
	for id := range first {
		gone = append(gone, decide.Backend{ID: id, State: decide.Removed})
	}
	r.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: gone})
	second, sum := used(120, 220), 0
	for id, n := range second {
		if sum += n; first[id] > 0 {
			t.Errorf("%s got %d though it is gone", id, n)
		}
	}
	if len(second) > 4 || sum < 98 {
		t.Errorf("%d requests went to %d other servers, want 100 to 3 or so", sum, len(second))
	}
}
