package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// serveAt plays an agent that admits by credit alone, whose servers all answer after latency, and counts how
// many of the last 200 of 400 requests went out. Clients tell work with each; 0: nothing.
func serveAt(t *testing.T, latency, work time.Duration) (sent int) {
	t.Helper()
	return serveReporting(t, latency, work, decide.Load{})
}

// serveReporting is serveAt before servers that report a load with each answer.
func serveReporting(t *testing.T, latency, work time.Duration, load decide.Load) (sent int) {
	t.Helper()
	s := creditSettings()
	s.Peers, s.MaxAttempts = false, 1
	h := newHarness(t, s, 1, testBackends(20))
	for i := range 400 {
		id := fmt.Sprint("q", i)
		h.step(decide.Request{ID: id, Class: idempotent, Remaining: s.Classes[idempotent].Deadline, Work: work})
		if len(h.sent[id]) > 0 {
			h.advance(latency)
			h.step(decide.Outcome{Request: id, Backend: h.sent[id][0], Latency: latency, Answered: true, Load: load})
		}
		h.advance(200 * ms)
		if i >= 200 {
			sent += len(h.sent[id])
		}
	}
	return sent
}

// Fleet trial, join and herd with some 300 agents: at a mean delay of 0.45 to 0.8 of the objective each agent
// still let in most of what it was asked, servers held so many that they worked at a part of their speed,
// and every second attempt timed out. The same agents were to refuse at 0.6 of the objective.
func TestCreditShedsBeforeBackendsFill(t *testing.T) {
	aim := creditSettings().Classes[idempotent].Objective
	if sent := serveAt(t, aim*45/100, 0); sent > 100 || sent < 40 {
		t.Errorf("%d of 200 went out at a delay of 0.45 of the aim, want about a third", sent)
	}
	if sent := serveAt(t, aim/5, 0); sent < 195 {
		t.Errorf("%d of 200 went out at a delay of a fifth of the aim, want all", sent)
	}
}

// Where the work itself takes nearly half of the objective, a delay of as much is that of empty servers.
func TestCreditDoesNotTakeLongWorkForOverload(t *testing.T) {
	aim := creditSettings().Classes[idempotent].Objective
	if sent := serveAt(t, aim*45/100, aim*40/100); sent < 195 {
		t.Errorf("%d of 200 went out though no server is crowded", sent)
	}
}

// Tide-tolls, throng+brink, seed 249848192171: work took 0.3 to 0.4 of short objectives and clients told
// nothing of it, so that agents refused half of what came while servers held one to three requests each. What
// a server takes that reports nothing else in hand is what the work takes; what one takes that holds many, or
// does not say, is not.
func TestUnloadedLatencyIsLearnedFromIdleBackends(t *testing.T) {
	latency := creditSettings().Classes[idempotent].Objective * 45 / 100
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
func TestSubsetIsSmallAndReplacesLostBackends(t *testing.T) {
	s := creditSettings()
	s.Peers = false
	h := newHarness(t, s, 1, testBackends(20))
	used := func(from, to int) map[string]int {
		n := map[string]int{}
		for i := from; i < to; i++ {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			for _, b := range h.sent[id] {
				n[b]++
				h.advance(20 * ms)
				h.outcome(id, decide.OK, 20*ms)
			}
			h.advance(80 * ms)
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
	h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: gone})
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
