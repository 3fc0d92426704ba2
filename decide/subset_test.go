package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// serveAt simulates an agent that admits by credit, without peers, and whose servers all answer after latency. It
// returns how many of the last 200 of 400 requests were sent. work is the expected work given in each request; 0: it is
// not given.
func serveAt(t *testing.T, latency, work time.Duration) (sent int) {
	t.Helper()
	return serveReporting(t, latency, work, decide.Load{})
}

// serveReporting is serveAt with servers that send a load report with each answer.
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

// An agent must refuse requests at a mean delay of 0.45 of the objective. In a fleet of about 300 agents that refused
// requests only at 0.6, each agent admitted most of its requests at a mean delay of 0.45 to 0.8. The servers had so
// many requests in flight that they worked at a fraction of their speed, and every second attempt timed out (fleet
// trial, scenarios join and herd).
func TestCreditShedsBeforeBackendsFill(t *testing.T) {
	objective := creditSettings().Classes[idempotent].Objective
	if sent := serveAt(t, objective*45/100, 0); sent > 100 || sent < 40 {
		t.Errorf("%d of 200 requests were sent at a delay of 0.45 of the objective, want about a third", sent)
	}
	if sent := serveAt(t, objective/5, 0); sent < 195 {
		t.Errorf("%d of 200 requests were sent at a delay of a fifth of the objective, want all", sent)
	}
}

// If the work itself takes nearly half of the objective, a delay of about that length is normal for idle servers. It
// must not count as a sign of overload.
func TestCreditDoesNotTakeLongWorkForOverload(t *testing.T) {
	objective := creditSettings().Classes[idempotent].Objective
	if sent := serveAt(t, objective*45/100, objective*40/100); sent < 195 {
		t.Errorf("%d of 200 requests were sent although no server is overloaded", sent)
	}
}

// The target delay must follow the latency of servers that report no other request in flight, because that is the time
// that the work takes. In a case where work took 0.3 to 0.4 of short objectives and requests did not give their work,
// agents refused half of the requests while servers had one to three requests in flight each. The latency of a server
// with many requests in flight, or without a load report, must not count (tide-tolls, scenario throng+brink, seed
// 249848192171).
func TestUnloadedLatencyIsLearnedFromIdleBackends(t *testing.T) {
	latency := creditSettings().Classes[idempotent].Objective * 45 / 100
	for _, c := range []struct {
		name        string
		load        decide.Load
		work        time.Duration
		least, most int
	}{
		{"nothing else in flight", decide.Load{Valid: true}, 0, 195, 200},
		{"one in flight, reported with noise", decide.Load{Valid: true, InFlight: 1.2}, 0, 195, 200},
		{"20 in flight", decide.Load{Valid: true, InFlight: 20}, 0, 40, 100},
		{"none waiting, number in flight not reported", decide.Load{Valid: true, InFlight: -1}, 0, 40, 100},
		{"no report", decide.Load{}, 0, 40, 100},
		{"nothing else in flight, but clients state short work", decide.Load{Valid: true}, latency / 10, 40, 100},
	} {
		if sent := serveReporting(t, latency, c.work, c.load); sent < c.least || sent > c.most {
			t.Errorf("%s: %d of 200 requests were sent at a delay of 0.45 of the objective, want %d to %d", c.name, sent, c.least, c.most)
		}
	}
}

// An agent with a few requests a second must use only a few servers, so that it soon uses each of them again, on the
// connection that is still open. If all of them are replaced, it must switch to an equally small number of others.
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
			t.Errorf("%s got %d requests although it is removed", id, n)
		}
	}
	if len(second) > 4 || sum < 98 {
		t.Errorf("%d requests went to %d other servers, want 100 to 3 or so", sum, len(second))
	}
}
