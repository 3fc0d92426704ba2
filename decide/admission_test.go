package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// Latency above the target delay lowers the in-flight limit. Requests beyond the limit wait and are then refused; a
// client's retry is refused first.
func TestInFlightLimitFollowsDelay(t *testing.T) {
	s := testSettings()
	s.Balancers = 2
	h := newHarness(t, s, 1, testBackends(2))
	for i := range 200 { // these requests are answered slowly
		id := fmt.Sprint("s", i)
		h.request(id, idempotent)
		h.now += 350 * ms
		h.outcome(id, decide.OK, 350*ms)
	}
	out := 0
	var all []decide.Action
	for i := range 20 {
		id := fmt.Sprint("q", i)
		all = append(all, h.request(id, idempotent)...)
		out += len(h.sent[id])
	}
	if want := 4 * 2 / 2; out != want {
		t.Errorf("%d in flight, want this agent's share of 4 per backend: %d", out, want)
	}
	clientRetry := h.step(decide.Request{ID: "again", Class: idempotent, Remaining: 2000 * ms, ClientRetry: true})
	if finalAnswer("again", clientRetry) != "refuse" {
		t.Errorf("a client's retry: %v, want a refusal at once", clientRetry)
	}
	all = append(all, h.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if len(h.sent[id]) == 0 && finalAnswer(id, all) != "refuse" {
			t.Errorf("%s: %q, want one refusal", id, finalAnswer(id, all))
		}
	}
}

// Each agent's share of the limit must become smaller with the number of agents, even if backends are idle: many agents
// that each use the complete limit overload the backends (incident i6c6372).
func TestInFlightLimitIsDividedAmongBalancers(t *testing.T) {
	inFlight := func(balancers int) (n int) {
		s := testSettings()
		s.Balancers = balancers
		h := newHarness(t, s, 1, testBackends(10))
		for i := range 100 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			n += len(h.sent[id])
		}
		return n
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("one of 20 agents has %d in flight, a single agent %d", many, one)
	}
}

// The limit must fall when the list becomes shorter (incident ia38185).
func TestInFlightLimitFollowsTheList(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(10))
	h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)})
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		n += len(h.sent[id])
	}
	if n > 12 {
		t.Errorf("%d in flight on two backends", n)
	}
}

// While the list still contains unreachable backends, the load that they served must not move to the reachable ones
// (incidents idacc77 and i574e74).
func TestInFlightLimitExcludesUnreachableBackends(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(10))
	h.serve(50, idempotent, 5*ms)
	unreachable := map[string]bool{}
	for i := 0; len(unreachable) < 6 && i < 500; i++ {
		id := fmt.Sprint("d", i)
		h.request(id, idempotent)
		h.now += ms
		if b := h.sent[id][0]; b < "g" { // a to f
			unreachable[b] = true
			h.outcome(id, decide.ConnectFailed, ms)
		} else {
			h.outcome(id, decide.OK, ms)
		}
	}
	h.advance(50 * ms)
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		n += len(h.sent[id])
	}
	if n > 28 { // six for each of four backends, and a few more because the limit grew
		t.Errorf("%d in flight on four reachable backends", n)
	}
}

// Attempts that hang at a backend which does not answer must not use up the capacity of the other backends once that
// backend is ejected (incident ieb2a7b).
func TestAttemptsAtUnreachableBackendsUseNoCapacity(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 1, testBackends(3))
	h.serve(60, idempotent, 20*ms)
	h.now += ms
	var hung []string
	for i := range 18 {
		id := fmt.Sprint("h", i)
		h.request(id, idempotent)
		if len(h.sent[id]) == 1 && h.sent[id][0] == "a" {
			hung = append(hung, id)
		}
	}
	if len(hung) < 3 {
		t.Fatalf("the hanging attempts are %v, want at least 3", hung)
	}
	h.now += 20 * ms
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(h.sent[id]) == 1 && h.sent[id][0] != "a" {
			h.outcome(id, decide.OK, 20*ms)
		}
	}
	h.now += 100 * ms
	h.outcome(hung[0], decide.TimedOut, 120*ms)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		for _, b := range h.sent[id] {
			if n++; b == "a" {
				t.Errorf("%s went to the backend that does not answer", id)
			}
		}
	}
	if n < 12 {
		t.Errorf("%d in flight on the two backends that answer, want their whole limit of 12", n)
	}
}

// The limit of a busy agent must not fall by chance if the mean latency is well within the objective but the latencies
// of single answers vary widely (incident ieeee80).
func TestLimitOfBusyBalancerIsNotCutByChance(t *testing.T) {
	s := testSettings()
	s.Balancers = 2
	h := newHarness(t, s, 1, testBackends(30))
	seq := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // ms; the mean is 110, the objective 400
	refused, queue := 0, []string{}
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if finalAnswer(id, h.request(id, idempotent)) != "" {
			refused++
		}
		queue = append(queue, id)
		h.now += ms
		if len(queue) > 75 {
			if len(h.sent[queue[0]]) > 0 {
				// 25 answers in a row have the same latency, so that twenty answers in a row can all be slow.
				h.outcome(queue[0], decide.OK, seq[(i/25)%10]*ms)
			}
			queue = queue[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 4000 requests were refused, want 0", refused)
	}
}

// Many agents that raise their limits at the same time must not exceed the capacity together (incident ieb2a7b).
func TestLimitGrowsByBackendsNotByRequests(t *testing.T) {
	total := func(balancers int) int {
		s := testSettings()
		s.Balancers = balancers
		h := newHarness(t, s, 1, testBackends(20))
		var out []string // in flight, oldest first
		sends := func(actions []decide.Action) {
			for _, a := range actions {
				if a, ok := a.(decide.Send); ok {
					out = append(out, a.Request)
				}
			}
		}
		for i := range 200 { // requests beyond the limit are queued
			sends(h.request(fmt.Sprint("q", i), idempotent))
		}
		for i := range 4 * len(out) { // four rounds of fast answers
			sends(h.outcome(out[0], decide.OK, 20*ms))
			out = out[1:]
			sends(h.request(fmt.Sprint("more", i), idempotent))
		}
		return len(out) * balancers
	}
	if one, many := total(1), total(20); one < 130 || many > one*3/2 {
		t.Errorf("after four rounds one agent has %d in flight, want growth from 120; 20 agents have %d", one, many)
	}
}

// The latency of a server that has been measured as slow must not lower the limit, because it does not indicate a queue
// at the other servers. With other load on the machines of a third of the servers, the mean delay exceeded the target,
// and 40 in 100 requests were refused although the other servers had capacity (scenario houston big-1).
func TestSlowBackendsDoNotCutTheLimit(t *testing.T) {
	h := newHarness(t, creditSettings(), 1, testBackends(8))
	sent := 0
	for i := range 600 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		if len(h.sent[id]) > 0 {
			latency := 110 * ms
			if h.sent[id][0] < "e" {
				latency = 235 * ms
			}
			h.advance(latency)
			h.outcome(id, decide.OK, latency)
		}
		h.advance(100 * ms)
		if i >= 400 {
			sent += len(h.sent[id])
		}
	}
	if sent < 195 {
		t.Errorf("%d of 200 requests were sent although most servers have no queue", sent)
	}
}
