package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// Incident ie43f64, dallas big-1: hundreds of agents with one attempt each in flight crowd the
// servers. An agent that admits by credit admits less of what it is asked as the delay passes the target,
// and all of it while there is no queue, however much that is.
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
		t.Errorf("without queues %d of 200 were sent, want all", n)
	}
	if n := play(320 * ms); n < 20 || n > 90 {
		t.Errorf("at four fifths of the aim %d of 200 were sent, want about a quarter", n)
	}
}

// Dallas rough-1: in a crowded fleet answers come after the clients' patience. An attempt that
// is out for most of its objective counts as late at once, and less is admitted before it ends.
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
	for i := range 60 { // nothing is answered any more
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		h.advance(60 * ms)
		if i >= 30 {
			sent += len(h.sent[id])
		}
	}
	if sent > 15 {
		t.Errorf("%d of 30 were sent though nothing had come back for seconds", sent)
	}
}

// Incident i8cbe41: without peers nothing limited 893 agents that admit by credit, and every waiting room
// stayed full. One that meets full servers only admits less, though no peer tells it anything.
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
		t.Errorf("%d of 60 were sent to servers that are all full, want about one in fifteen", sent)
	}
}
