package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// What an operator disables gets nothing until it is enabled again, whatever the list says in between.
func TestDisabledBackendGetsNothing(t *testing.T) {
	out, back := decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "a"}
	told := func(state decide.BackendState, started time.Duration) decide.Event {
		return decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", State: state, Started: started}}}
	}
	full := decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)}
	others := decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(2)[1:]}
	restarted := told(decide.Up, time.Hour+ms)
	for _, tt := range []struct {
		name   string
		events []decide.Event
		used   bool // at the end
	}{
		{"out", []decide.Event{out}, false},
		{"out twice, one back undoes both", []decide.Event{out, out, back}, true},
		{"back without having been out", []decide.Event{back}, true},
		{"the list says up", []decide.Event{out, told(decide.Up, 0)}, false},
		{"the whole list says up", []decide.Event{out, full}, false},
		{"the list says restarted", []decide.Event{out, restarted}, false},
		{"it drains, then is up", []decide.Event{out, told(decide.Draining, 0), told(decide.Up, 0)}, false},
		{"it is gone, then listed anew", []decide.Event{out, others, full}, false},
		{"gone, back, listed anew", []decide.Event{out, others, back, full}, true},
		{"out before it was ever listed", []decide.Event{others, out, full}, false},
		{"put back while the list says that it drains", []decide.Event{out, told(decide.Draining, 0), back}, false},
		{"put back, then the list says that it drains", []decide.Event{out, back, told(decide.Draining, 0)}, false},
		{"drained by the list, out, up by the list, back", []decide.Event{told(decide.Draining, 0), out, told(decide.Up, 0), back}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 1, testBackends(2))
			h.serve(40, idempotent, 10*ms)
			for _, e := range tt.events {
				h.step(e)
				h.advance(10 * ms)
			}
			if got := h.serve(200, idempotent, 10*ms); (got["a"] > 0) != tt.used {
				t.Errorf("sends to a: %d, want any: %v", got["a"], tt.used)
			}
		})
	}
}

// A request in its backoff does not go to what was disabled meanwhile, even where nothing else is left.
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

// While disabled a backend is restarted: back in it counts as in slow start, though the list does not say
// that it started.
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
		t.Errorf("in its first second back a got %d of 100, warm ones got %v", counts["a"], counts)
	}
}

// A backend that has not answered yet counts at the mean of its likes, and not at that over its share of
// capacity: else a fleet that has several requests in flight at each would pass it by until it is warm.
func TestBusyFleetUsesBackendsInSlowStart(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := testSettings()
		s.SlowStartShare, s.SlowStartTime, s.OverloadMultiple, s.OverloadWindow = 0.3, 8*time.Second, 2.5, time.Second
		h := newHarness(t, s, seed, testBackends(3))
		until := map[string]time.Duration{} // of open requests, in time
		n, used := 0, 0
		see := func(actions []decide.Action) {
			for _, act := range actions {
				if send, ok := act.(decide.Send); ok {
					until[send.Request] = h.now + 60*ms // 15 at once, five at each
					if send.Backend == "a" {
						used++
					}
				}
			}
		}
		run := func(d time.Duration) {
			for end := h.now + d; h.now < end; {
				see(h.advance(4 * ms))
				for id, at := range until {
					if at <= h.now {
						delete(until, id)
						see(h.outcome(id, decide.OK, 60*ms))
					}
				}
				n++
				see(h.request(fmt.Sprint("q", n), idempotent))
			}
		}
		run(3 * time.Second)
		h.step(decide.BackendDisabled{Backend: "a", Disabled: true})
		run(time.Second)
		h.step(decide.BackendDisabled{Backend: "a"})
		used = 0
		run(2 * time.Second)
		if used == 0 {
			t.Errorf("seed %d: nothing for 2 s", seed)
		}
	}
}
