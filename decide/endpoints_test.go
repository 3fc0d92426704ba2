package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

func TestDrainingAndRemovedBackendsGetNothing(t *testing.T) {
	for _, state := range []decide.BackendState{decide.Draining, decide.Removed} {
		h := newHarness(t, testSettings(), 1, testBackends(3))
		h.step(decide.ListUpdate{Kind: decide.ListDelta,
			Backends: []decide.Backend{{ID: "a", State: state}}})
		if n := h.serve(100, idempotent, 20*ms)["a"]; n > 0 {
			t.Errorf("state %d: the backend got %d requests", state, n)
		}
	}
	t.Run("missing from a full list", func(t *testing.T) {
		h := newHarness(t, testSettings(), 1, testBackends(3))
		h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(3)[1:]})
		if n := h.serve(100, idempotent, 20*ms)["a"]; n > 0 {
			t.Errorf("the backend got %d requests", n)
		}
	})
	t.Run("while a request backs off", func(t *testing.T) {
		for seed := uint64(0); seed < 20; seed++ {
			h := newHarness(t, testSettings(), seed, testBackends(2))
			h.request("q", idempotent)
			other := map[string]string{"a": "b", "b": "a"}[h.sent["q"][0]]
			h.now += ms
			h.outcome("q", decide.Errored, ms)
			h.step(decide.ListUpdate{Kind: decide.ListDelta,
				Backends: []decide.Backend{{ID: other, State: decide.Draining}}})
			h.advance(time.Second)
			for _, b := range h.sent["q"][1:] {
				if b == other {
					t.Fatalf("seed %d: a retry went to the draining backend", seed)
				}
			}
		}
	})
	t.Run("listed again with the same ID", func(t *testing.T) {
		h := newHarness(t, testSettings(), 1, testBackends(2))
		h.serve(50, idempotent, 20*ms)
		h.step(decide.ListUpdate{Kind: decide.ListDelta,
			Backends: []decide.Backend{{ID: "a", State: decide.Removed}}})
		h.step(decide.ListUpdate{Kind: decide.ListDelta,
			Backends: []decide.Backend{{ID: "a", Started: h.now}}})
		h.serve(400, idempotent, 20*ms)
		h.advance(10 * time.Second)
		if n := h.serve(200, idempotent, 20*ms)["a"]; n < 50 {
			t.Errorf("after its slow start it got %d of 200", n)
		}
	})
}

func TestSubscribeIsRetriedWithBackoff(t *testing.T) {
	s := testSettings()
	s.Subscribe = true
	countSubscribes := func(acts []decide.Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(decide.Subscribe); ok {
				n++
			}
		}
		return n
	}
	delays := map[time.Duration]bool{}
	for seed := uint64(0); seed < 10; seed++ {
		h := newHarness(t, s, seed, testBackends(2))
		delays[h.due[0]-h.now] = true
		if n := countSubscribes(h.advance(s.SubscribeWithin / 10)); n != 1 {
			t.Fatalf("subscribed %d times at the start, want once", n)
		}
		for range 8 { // after each failure there is one more Subscribe within the bound
			h.step(decide.ListUpdate{Kind: decide.ListFailed})
			if n := countSubscribes(h.advance(s.SubscribeWithin / 2)); n != 1 {
				t.Fatalf("subscribed %d times after a failure, want once", n)
			}
		}
		h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)})
		if n := countSubscribes(h.advance(time.Minute)); n != 0 {
			t.Errorf("subscribed %d times while the subscription holds", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents subscribe after only %d different waits", len(delays))
	}
	h := newHarness(t, testSettings(), 1, testBackends(2))
	if n := countSubscribes(append(h.step(decide.ListUpdate{Kind: decide.ListFailed}), h.advance(time.Minute)...)); n != 0 {
		t.Error("subscribed although the list is pushed")
	}
}
