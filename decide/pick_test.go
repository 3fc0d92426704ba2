package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

func TestIdleBackendIsPickedFirst(t *testing.T) {
	t.Run("idle backends at random", func(t *testing.T) {
		h := newHarness(t, testSettings(), 2, testBackends(4))
		counts := h.serve(400, idempotent, 50*ms)
		for _, id := range []string{"a", "b", "c", "d"} {
			if counts[id] < 60 || counts[id] > 140 {
				t.Errorf("%s got %d of 400, want about 100", id, counts[id])
			}
		}
	})
	t.Run("idle before busy", func(t *testing.T) {
		h := newHarness(t, testSettings(), 2, testBackends(4))
		h.serve(80, idempotent, 50*ms)
		used := map[string]bool{}
		for i := range 4 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			used[h.sent[id][0]] = true
		}
		if len(used) != 4 {
			t.Errorf("four requests went to %d backends, want 4", len(used))
		}
	})
	t.Run("fewest in flight", func(t *testing.T) {
		h := newHarness(t, testSettings(), 2, testBackends(4))
		h.serve(80, idempotent, 50*ms)
		counts := map[string]int{}
		for i := range 12 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			counts[h.sent[id][0]]++
		}
		for id, n := range counts {
			if n < 2 || n > 4 {
				t.Errorf("%s has %d in flight of 12 over 4", id, n)
			}
		}
	})
	t.Run("a new backend counts at the mean", func(t *testing.T) {
		h := newHarness(t, testSettings(), 2, testBackends(4))
		h.serve(80, idempotent, 50*ms)
		for i := range 8 {
			h.request(fmt.Sprint("q", i), idempotent)
		}
		h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "new"}}})
		rush := 0
		for i := range 4 {
			id := fmt.Sprint("n", i)
			h.request(id, idempotent)
			if h.sent[id][0] == "new" {
				rush++
			}
		}
		if rush > 2 {
			t.Errorf("the new backend got %d of 4, want at most 2", rush)
		}
	})
	t.Run("own zone where crossing is priced", func(t *testing.T) {
		s := testSettings()
		s.CrossZonePrice = 0.02
		h := newHarness(t, s, 2, testBackends(4))
		h.now += s.SlowStartTime + 1 // the limit has not been cut for longer than the slow start takes
		counts := h.serve(400, idempotent, 50*ms)
		if own := counts["a"] + counts["b"]; own < 280 || own > 380 {
			t.Errorf("the own zone got %d of 400, want most but not all", own)
		}
	})
	t.Run("slow backends less", func(t *testing.T) {
		h := newHarness(t, testSettings(), 2, testBackends(4))
		late := 0
		for i := range 600 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			lat := 40 * ms
			if h.sent[id][0] == "a" {
				lat = 160 * ms
				if i >= 300 {
					late++
				}
			}
			h.now += lat
			h.outcome(id, decide.OK, lat)
		}
		if late > 40 {
			t.Errorf("a backend four times slower still got %d of 300", late)
		}
	})
}

// A stalled backend must be detected by the waiting time of its oldest attempt, before it answers.
func TestStalledBackendIsAvoided(t *testing.T) {
	h := newHarness(t, testSettings(), 4, testBackends(3))
	h.serve(60, idempotent, 20*ms)
	for i := range 3 { // one request for each backend
		h.request(fmt.Sprint("hang", i), idempotent)
	}
	for i := range 3 {
		id := fmt.Sprint("hang", i)
		if h.sent[id][0] != "a" {
			h.now += 10 * ms
			h.outcome(id, decide.OK, 20*ms)
		}
	}
	h.now += 300 * ms
	for i := range 6 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		if h.sent[id][0] == "a" {
			t.Errorf("request %d went to the stalled backend", i)
		}
	}
}

// The time until a time-out is a lower bound of a backend's latency. A backend that answers only light requests must
// not count as fast because of these.
func TestTimeoutsRaiseSlowness(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 3, testBackends(3))
	h.serve(60, idempotent, 20*ms)
	got := 0
	for round := range 60 {
		var hang []string
		answered := false
		for i := range 6 {
			h.request(fmt.Sprint("q", round, "-", i), idempotent)
		}
		h.now += 20 * ms
		for i := range 6 {
			id := fmt.Sprint("q", round, "-", i)
			if h.sent[id][0] == "a" {
				if got++; answered {
					hang = append(hang, id)
					continue
				}
				answered = true
			}
			h.outcome(id, decide.OK, 20*ms)
		}
		h.now += 60 * ms
		for _, id := range hang {
			h.outcome(id, decide.TimedOut, 80*ms)
		}
		h.now += 20 * ms
	}
	if got > 90 {
		t.Errorf("a backend that times out half its requests got %d of 360", got)
	}
}

// If the number of backends becomes five times as large, the new backends are in slow start. The load that they can't
// serve yet must not move to the warm backends, nor to a single backend (incident i37feae).
func TestNewBackendsDoNotShiftLoadToWarmOnes(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.serve(100, idempotent, 50*ms)
	grown := testBackends(20)
	for i := 4; i < 20; i++ {
		grown[i].Started = h.now
	}
	h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: grown})
	warm := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		for _, b := range h.sent[id] {
			if b < "e" {
				warm[b]++
			}
		}
	}
	for id, n := range warm {
		if n > 18 { // maxBackendShares (3) times the initial limit per backend (6)
			t.Errorf("%s holds %d in flight", id, n)
		}
	}
	if sum := warm["a"] + warm["b"] + warm["c"] + warm["d"]; sum > 60 {
		t.Errorf("the four warm backends hold %d in flight", sum)
	}
}

// An agent with little traffic would get an answer from each server only once a day if it used all of them. It must use
// a few servers, in an order that differs between agents, and switch to others when those fail (scenario satx big-1).
func TestQuietBalancerUsesASubset(t *testing.T) {
	s := testSettings()
	s.Balancers = 500
	firsts := map[string]int{}
	for self := range 60 {
		s.Self = self
		h := newHarness(t, s, uint64(self), testBackends(40))
		used := map[string]int{}
		for i := range 80 {
			id := fmt.Sprint("q", i)
			h.request(id, idempotent)
			h.advance(30 * ms)
			if len(h.sent[id]) > 0 {
				h.outcome(id, decide.OK, 30*ms)
				used[h.sent[id][0]]++
			}
			h.advance(370 * ms)
		}
		if len(used) > 12 {
			t.Errorf("agent %d used %d servers, want a few", self, len(used))
		}
		for id := range used {
			firsts[id]++
		}
		for id := range used { // all of these servers are removed
			h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: id, State: decide.Removed}}})
		}
		h.request("next", idempotent)
		if len(h.sent["next"]) == 0 || used[h.sent["next"][0]] > 0 {
			t.Errorf("agent %d found no further server", self)
		}
	}
	if len(firsts) < 38 {
		t.Errorf("60 agents together used %d of 40 servers", len(firsts))
	}
}

// Some kinds of machines are faster for one class, some for another. The slowness that an agent has measured for a kind
// must also apply to the servers of that kind that it has hardly used (scenario satx rough-1).
func TestKindSlownessIsLearnedPerClass(t *testing.T) {
	list := testBackends(20)
	for i := range list {
		list[i].Kind = i % 2
	}
	h := newHarness(t, testSettings(), 4, list)
	byFasterKind := map[int]int{}
	for i := range 400 {
		class := i % 2
		id := fmt.Sprint("q", i)
		h.request(id, class)
		kind := int(h.sent[id][0][0]-'a') % 2
		latency := 60 * ms
		if kind == class {
			latency = 20 * ms
		}
		h.now += latency
		h.outcome(id, decide.OK, latency)
		if i >= 200 && kind == class {
			byFasterKind[class]++
		}
	}
	if byFasterKind[0] < 85 || byFasterKind[1] < 85 {
		t.Errorf("%d and %d of 100 went to the kind that is faster for the class, want most", byFasterKind[0], byFasterKind[1])
	}
	unknownKind := testBackends(2) // backends of unknown kinds must be accepted
	unknownKind[0].Kind = -3
	newHarness(t, testSettings(), 1, unknownKind).serve(10, idempotent, 10*ms)
}

// A server that has rejected an attempt must get fewer requests, because it is overloaded for longer than one latency.
// It used to get as many requests after a rejection as before (scenario satx rough-2).
func TestBackendThatRejectsIsChosenLess(t *testing.T) {
	hits := 0
	for seed := range uint64(100) {
		h := newHarness(t, testSettings(), seed, testBackends(4))
		h.serve(20, idempotent, 20*ms)
		h.request("q", idempotent)
		full := h.sent["q"][0]
		h.outcome("q", decide.Rejected, ms)
		h.advance(2 * time.Second)
		h.request("next", idempotent)
		if h.sent["next"][0] == full {
			hits++
		}
	}
	if hits > 18 {
		t.Errorf("the full one of four servers got %d of 100 requests 2 s after its rejection", hits)
	}
}
