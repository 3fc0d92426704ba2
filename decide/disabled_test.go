package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A backend that an operator has disabled must get no requests until it is enabled again, whatever its listed state.
func TestDisabledBackendGetsNothing(t *testing.T) {
	disable, enable := decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "a"}
	listDelta := func(state decide.BackendState, started time.Duration) decide.Event {
		return decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", State: state, Started: started}}}
	}
	full := decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)}
	others := decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)[1:]}
	restarted := listDelta(decide.Up, time.Hour+ms)
	for _, tt := range []struct {
		name   string
		events []decide.Event
		used   bool // whether it gets requests at the end
	}{
		{"disabled", []decide.Event{disable}, false},
		{"disabled twice, enabled once", []decide.Event{disable, disable, enable}, true},
		{"enabled without having been disabled", []decide.Event{enable}, true},
		{"the list says up", []decide.Event{disable, listDelta(decide.Up, 0)}, false},
		{"the whole list says up", []decide.Event{disable, full}, false},
		{"the list reports a restart", []decide.Event{disable, restarted}, false},
		{"the list says draining, then up", []decide.Event{disable, listDelta(decide.Draining, 0), listDelta(decide.Up, 0)}, false},
		{"removed, then listed again", []decide.Event{disable, others, full}, false},
		{"removed, enabled, listed again", []decide.Event{disable, others, enable, full}, true},
		{"disabled before it was ever listed", []decide.Event{others, disable, full}, false},
		{"enabled while the list says draining", []decide.Event{disable, listDelta(decide.Draining, 0), enable}, false},
		{"enabled, then the list says draining", []decide.Event{disable, enable, listDelta(decide.Draining, 0)}, false},
		{"draining in the list, disabled, up in the list, enabled", []decide.Event{listDelta(decide.Draining, 0), disable, listDelta(decide.Up, 0), enable}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 1, testBackends(2))
			h.serve(40, idempotent, 10*ms)
			for _, e := range tt.events {
				h.step(e)
				h.advance(10 * ms)
			}
			if got := h.serve(200, idempotent, 10*ms); (got["a"] > 0) != tt.used {
				t.Errorf("requests sent to a: %d, want any: %v", got["a"], tt.used)
			}
		})
	}
}

// A request in retry backoff must not be sent to a backend that has been disabled since, even if there is no other.
func TestBackendDisabledDuringBackoff(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		h := newHarness(t, testSettings(), seed, testBackends(2))
		h.request("q", idempotent)
		first := h.sent["q"][0]
		h.outcome("q", decide.Reset, ms)
		h.step(decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "b", Disabled: true})
		actions := h.advance(3 * time.Second)
		if len(h.sent["q"]) != 1 || finalAnswer("q", actions) == "" {
			t.Errorf("seed %d: sent %v after %s failed, answer %q", seed, h.sent["q"], first, finalAnswer("q", actions))
		}
	}
}

// A backend is usually restarted while it is disabled. Once it is enabled again it must count as in slow start, even
// if the list does not report its start.
func TestEnabledBackendIsInSlowStart(t *testing.T) {
	s := testSettings()
	s.SlowStartShare, s.SlowStartTime, s.OverloadMultiple, s.OverloadWindow = 0.3, 8*time.Second, 2.5, time.Second
	h := newHarness(t, s, 3, testBackends(4))
	h.serve(400, idempotent, 10*ms)
	h.step(decide.BackendDisabled{Backend: "a", Disabled: true})
	h.serve(100, idempotent, 10*ms)
	h.step(decide.BackendDisabled{Backend: "a"})
	counts := h.serve(100, idempotent, 10*ms) // one second
	if counts["a"] == 0 || counts["a"] > 20 {
		t.Errorf("in its first second after it was enabled a got %d of 100, all backends got %v", counts["a"], counts)
	}
}

// A backend that has not answered yet must count as having the mean load of all backends, and not that load divided
// by its share of capacity. Otherwise a fleet that has several requests in flight per backend would not use it until
// it is warm.
func TestBusyFleetUsesBackendsInSlowStart(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := testSettings()
		s.SlowStartShare, s.SlowStartTime, s.OverloadMultiple, s.OverloadWindow = 0.3, 8*time.Second, 2.5, time.Second
		h := newHarness(t, s, seed, testBackends(3))
		until := map[string]time.Duration{} // when open requests will be answered
		n, used := 0, 0
		handle := func(actions []decide.Action) {
			for _, act := range actions {
				if send, ok := act.(decide.Send); ok {
					until[send.Request] = h.now + 60*ms // 15 in flight, five per backend
					if send.Backend == "a" {
						used++
					}
				}
			}
		}
		run := func(d time.Duration) {
			for end := h.now + d; h.now < end; {
				handle(h.advance(4 * ms))
				for id, at := range until {
					if at <= h.now {
						delete(until, id)
						handle(h.outcome(id, decide.OK, 60*ms))
					}
				}
				n++
				handle(h.request(fmt.Sprint("q", n), idempotent))
			}
		}
		run(3 * time.Second)
		h.step(decide.BackendDisabled{Backend: "a", Disabled: true})
		run(time.Second)
		h.step(decide.BackendDisabled{Backend: "a"})
		used = 0
		run(2 * time.Second)
		if used == 0 {
			t.Errorf("seed %d: the enabled backend got no request for 2 s", seed)
		}
	}
}
