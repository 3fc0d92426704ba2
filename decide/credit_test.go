package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// Hundreds of agents that may each have one attempt in flight overload the servers. An agent that admits by credit must
// admit fewer requests when the delay exceeds the target, and all of them while there is no queue, however many agents
// there are (incident ie43f64, scenario dallas big-1).
func TestCreditFollowsDelay(t *testing.T) {
	play := func(latency time.Duration) (sent int) {
		h := newHarness(t, creditSettings(), 1, testBackends(8))
		for i := range 300 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			h.advance(latency)
			if len(h.sent[id]) > 0 {
				h.outcome(id, decide.OK, latency)
				if i >= 100 {
					sent++
				}
			}
		}
		return sent
	}
	if n := play(40 * ms); n < 198 {
		t.Errorf("without queues %d of 200 requests were sent, want all", n)
	}
	if n := play(320 * ms); n < 20 || n > 90 {
		t.Errorf("at a delay of four fifths of the objective %d of 200 requests were sent, want about a quarter", n)
	}
}

// In an overloaded fleet answers arrive after clients have stopped waiting. An attempt that has been in flight for most
// of its objective must therefore count as delayed at once, so that fewer requests are admitted before it ends
// (scenario dallas rough-1).
func TestOverdueAttemptCountsAtOnce(t *testing.T) {
	s := creditSettings()
	s.Balancers = 1000
	h := newHarness(t, s, 1, testBackends(90))
	for i := range 30 {
		id := fmt.Sprint("warm", i)
		h.request(id, idempotent)
		h.advance(20 * ms)
		h.outcome(id, decide.OK, 20*ms)
	}
	sent := 0
	for i := range 60 { // none of these requests is answered
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		h.advance(60 * ms)
		if i >= 30 {
			sent += len(h.sent[id])
		}
	}
	if sent > 15 {
		t.Errorf("%d of 30 requests were sent although no answer had arrived for seconds", sent)
	}
}

// An agent whose attempts are rejected by full servers must admit fewer requests even without reports from peers.
// Without peers, 893 agents that admitted by credit were not limited, and the queues of all servers stayed full
// (incident i8cbe41).
func TestCreditWithoutPeersAdmitsLess(t *testing.T) {
	s := creditSettings()
	s.Peers, s.MaxAttempts = false, 1
	h := newHarness(t, s, 1, testBackends(20))
	sent := 0
	for i := range 120 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		if len(h.sent[id]) > 0 {
			h.outcome(id, decide.Rejected, ms)
		}
		h.advance(400 * ms)
		if i >= 60 {
			sent += len(h.sent[id])
		}
	}
	if sent > 15 || sent < 3 {
		t.Errorf("%d of 60 requests were sent although all servers are full, want about one in fifteen", sent)
	}
}
