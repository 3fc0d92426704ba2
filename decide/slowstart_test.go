package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A backend in slow start must get at most its share of capacity times what a warm one serves.
func TestSlowStartShareOfTraffic(t *testing.T) {
	list := testBackends(5)
	list[0].Started = time.Hour // the start of the harness's clock
	h := newHarness(t, testSettings(), 9, list)
	counts := h.serve(200, idempotent, 20*ms) // the first 4 s of 10: the share of capacity rises from 0.2 to 0.52
	if warm := (200 - counts["a"]) / 4; float64(counts["a"]) > 0.52*float64(warm)+2 {
		t.Errorf("the backend in slow start got %d, a warm one %d", counts["a"], warm)
	}
	if counts["a"] == 0 {
		t.Error("the backend in slow start got nothing")
	}
	h.advance(10 * time.Second)
	if n := h.serve(200, idempotent, 20*ms)["a"]; n < 25 {
		t.Errorf("after its slow start it got %d of 200", n)
	}
}

// Under overload a backend in slow start must get more than its share of capacity times what a warm one serves, but
// at most the overload multiple of that (incidents i37feae and i28e3f7).
func TestSlowStartShareUnderOverload(t *testing.T) {
	list := testBackends(5)
	h := newHarness(t, testSettings(), 9, list)
	var out []string
	counts := map[string]float64{}
	answer := func(id string, latency time.Duration) {
		counts[h.sent[id][0]]++
		for _, a := range h.outcome(id, decide.OK, latency) {
			if a, ok := a.(decide.Send); ok {
				out = append(out, a.Request)
			}
		}
	}
	drive := func(n int) { // every 5 ms: all answers of the backend in slow start, one of the others, and two requests
		for range n {
			h.advance(5 * ms)
			was := out
			out = nil
			for i, id := range was {
				if h.sent[id][0] == "a" && list[0].Started > 0 {
					answer(id, 5*ms)
				} else if i == 0 {
					answer(id, 50*ms)
				} else {
					out = append(out, id)
				}
			}
			for range 2 {
				id := fmt.Sprint("q", len(h.sent), "-", h.now)
				if h.request(id, idempotent); len(h.sent[id]) > 0 {
					out = append(out, id)
				}
			}
		}
	}
	for i := range 30 {
		id := fmt.Sprint("first", i)
		h.request(id, idempotent)
		out = append(out, id)
	}
	drive(400)
	list[0].Started = h.now
	h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: list[:1]})
	clear(counts)
	drive(400) // two seconds: the share of capacity rises from 0.2 to 0.36, 0.28 on average
	warm := (counts["b"] + counts["c"] + counts["d"] + counts["e"]) / 4
	share := counts["a"] / warm
	if share < 0.5 || share > 0.28*2.5 {
		t.Errorf("the backend in slow start served %.2f of a warm one's work", share)
	}
}

// A backend in slow start must get no heavy request, because a single one could overload it.
func TestSlowStartGetsNoHeavyRequest(t *testing.T) {
	list := testBackends(3)
	r := newHarness(t, testSettings(), 9, list)
	send := func(id string, work time.Duration) {
		r.step(decide.Request{ID: id, Class: idempotent, Remaining: 2000 * ms, Work: work})
		r.now += 20 * ms
		r.outcome(id, decide.OK, 20*ms)
	}
	for i := range 100 {
		send(fmt.Sprint("w", i), 20*ms)
	}
	r.step(decide.ListUpdate{Kind: decide.ListDelta,
		Backends: []decide.Backend{{ID: "cold", Started: r.now}}})
	got := 0
	for i := range 100 {
		send(fmt.Sprint("l", i), 20*ms)
		if h := fmt.Sprint("h", i); i%10 == 0 {
			if send(h, 300*ms); r.sent[h][0] == "cold" {
				t.Fatalf("heavy request %d went to the backend in slow start", i)
			}
		}
		if r.sent[fmt.Sprint("l", i)][0] == "cold" {
			got++
		}
	}
	if got == 0 {
		t.Error("the backend in slow start got no light request either")
	}
}

// A backend that is reachable again before the list reports its start must count as in slow start.
func TestBackendThatComesBackIsInSlowStart(t *testing.T) {
	h := newHarness(t, testSettings(), 3, testBackends(3))
	h.serve(60, idempotent, 20*ms)
	for i := 0; ; i++ {
		id := fmt.Sprint("d", i)
		h.request(id, idempotent)
		h.now += 20 * ms
		if h.sent[id][0] == "a" {
			h.outcome(id, decide.ConnectFailed, 20*ms)
			break
		}
		h.outcome(id, decide.OK, 20*ms)
	}
	h.advance(2 * time.Second)
	seen := 0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		h.request(id, idempotent)
		h.now += 20 * ms
		h.outcome(id, decide.OK, 20*ms)
		if h.sent[id][0] == "a" {
			seen++
		}
	}
	if seen == 0 || seen > 35 {
		t.Errorf("after its return it got %d of 200, want the share of a backend in slow start", seen)
	}
}

// Only some of many agents may send a request to a server right after its start. 150 agents that each sent one request
// at once to a server in slow start overloaded it (scenario dallas rules-3).
func TestManyBalancersSpareABackendInSlowStart(t *testing.T) {
	sent := 0
	for seed := range uint64(200) {
		h := newHarness(t, testSettings(), seed, testBackends(2))
		h.serve(40, idempotent, 20*ms)
		h.step(decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{
			{ID: "a", Started: h.now}, {ID: "b", State: decide.Draining}}})
		h.now += 5 * ms
		h.request("q", idempotent)
		sent += len(h.sent["q"])
	}
	if sent > 60 {
		t.Errorf("%d of 200 agents sent to a server within 5 ms of its start", sent)
	}
}
