package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// What an operator takes out gets nothing until it is put back, whatever the list says in between.
func TestBanHolds(t *testing.T) {
	out, back := decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "a"}
	told := func(state decide.BackendState, started time.Duration) decide.Event {
		return decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", State: state, Started: started}}}
	}
	full := decide.ListUpdate{Kind: decide.ListFull, Backends: backends(2)}
	others := decide.ListUpdate{Kind: decide.ListFull, Backends: backends(2)[1:]}
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
			r := newRig(t, settings(), 1, backends(2))
			r.serve(40, safe, 10*ms)
			for _, e := range tt.events {
				r.step(e)
				r.advance(10 * ms)
			}
			if got := r.serve(200, safe, 10*ms); (got["a"] > 0) != tt.used {
				t.Errorf("sends to a: %d, want any: %v", got["a"], tt.used)
			}
		})
	}
}

// A request in its backoff does not go to what was taken out meanwhile, even where nothing else is left.
func TestBanDuringBackoff(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		r := newRig(t, settings(), seed, backends(2))
		r.request("q", safe)
		first := r.sent["q"][0]
		r.outcome("q", decide.Reset, ms)
		r.step(decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "b", Disabled: true})
		actions := r.advance(3 * time.Second)
		if len(r.sent["q"]) != 1 || final("q", actions) == "" {
			t.Errorf("seed %d: sent %v after %s failed, answer %q", seed, r.sent["q"], first, final("q", actions))
		}
	}
}

// Out by hand a backend is restarted: back in it counts as cold, though the list has not told of a start.
func TestBackByHandIsCold(t *testing.T) {
	s := settings()
	s.SlowStartShare, s.SlowStartTime, s.OverloadMultiple, s.OverloadWindow = 0.3, 8*time.Second, 2.5, time.Second
	r := newRig(t, s, 3, backends(4))
	r.serve(400, safe, 10*ms)
	r.step(decide.BackendDisabled{Backend: "a", Disabled: true})
	r.serve(100, safe, 10*ms)
	r.step(decide.BackendDisabled{Backend: "a"})
	counts := r.serve(100, safe, 10*ms) // one second
	if counts["a"] == 0 || counts["a"] > 20 {
		t.Errorf("in its first second back a got %d of 100, warm ones got %v", counts["a"], counts)
	}
}

// A backend that has not answered yet counts at the mean of its likes, and not at that over its warmth:
// else a fleet that has several requests in flight at each would pass it by until it is warm.
func TestBusyFleetTriesAColdOne(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := settings()
		s.SlowStartShare, s.SlowStartTime, s.OverloadMultiple, s.OverloadWindow = 0.3, 8*time.Second, 2.5, time.Second
		r := newRig(t, s, seed, backends(3))
		until := map[string]time.Duration{} // of open requests, in time
		n, used := 0, 0
		see := func(actions []decide.Action) {
			for _, act := range actions {
				if send, ok := act.(decide.Send); ok {
					until[send.Request] = r.now + 60*ms // 15 at once, five at each
					if send.Backend == "a" {
						used++
					}
				}
			}
		}
		run := func(d time.Duration) {
			for end := r.now + d; r.now < end; {
				see(r.advance(4 * ms))
				for id, at := range until {
					if at <= r.now {
						delete(until, id)
						see(r.outcome(id, decide.OK, 60*ms))
					}
				}
				n++
				see(r.request(fmt.Sprint("q", n), safe))
			}
		}
		run(3 * time.Second)
		r.step(decide.BackendDisabled{Backend: "a", Disabled: true})
		run(time.Second)
		r.step(decide.BackendDisabled{Backend: "a"})
		used = 0
		run(2 * time.Second)
		if used == 0 {
			t.Errorf("seed %d: nothing for 2 s", seed)
		}
	}
}
