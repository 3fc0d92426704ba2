package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

// A request that only one backend may get must be sent only to that backend, also when it is retried after a failure which
// proves that it has not run. It must be refused at once if that backend is not up.
func TestRequestPinnedToOneBackend(t *testing.T) {
	b, err := decide.New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	step := func(e ...decide.Event) []decide.Action { return b.Step(now, e) }
	step(decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "old", State: decide.Draining}}})
	sent := func(all []decide.Action) (n int) {
		for _, a := range all {
			if s, ok := a.(decide.Send); ok {
				if n++; s.Backend != "b" {
					t.Errorf("an attempt was sent to %s, want only b", s.Backend)
				}
			}
		}
		return n
	}
	for i := range 20 {
		id := string(rune('A' + i))
		all := step(decide.Request{ID: id, Class: idempotent, Remaining: 5 * time.Second, OnlyBackend: "b"})
		if sent(all) != 1 {
			t.Fatalf("want one attempt, got %+v", all)
		}
		now += ms
		if i%4 == 0 { // it is retried once, at the same backend
			var timer decide.SetTimer
			for _, a := range step(decide.Outcome{Request: id, Backend: "b", Result: decide.Rejected, Latency: ms}) {
				if s, ok := a.(decide.SetTimer); ok {
					timer = s
				}
			}
			now += timer.After + time.Second
			if n := sent(step(decide.TimerFired{Token: timer.Token})); n != 1 {
				t.Errorf("after a rejection by its only backend it was sent %d times, want once", n)
			}
			step(decide.Outcome{Request: id, Attempt: 1, Backend: "b", Result: decide.OK, Latency: ms, Answered: true})
			continue
		}
		step(decide.Outcome{Request: id, Backend: "b", Result: decide.OK, Latency: ms, Answered: true})
	}
	for _, only := range []string{"old", "unknown"} {
		all := step(decide.Request{ID: only, Class: idempotent, Remaining: 5 * time.Second, OnlyBackend: only})
		refused := false
		for _, a := range all {
			_, ok := a.(decide.Refuse)
			refused = refused || ok
		}
		if !refused || sent(all) != 0 {
			t.Errorf("only backend %s: got %+v, want a refusal and no attempt", only, all)
		}
	}
}

// A list may contain kinds and zones that are not in the settings. A balancer used to panic if the first backend had an
// unknown kind.
func TestUnknownBackendKindIsAccepted(t *testing.T) {
	b, err := decide.New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a", Kind: -1, Zone: -1}}}})
	for _, a := range b.Step(time.Hour, []decide.Event{decide.Request{ID: "1", Class: idempotent, Remaining: 5 * time.Second}}) {
		if s, ok := a.(decide.Send); ok && s.Backend == "a" {
			return
		}
	}
	t.Error("no attempt was sent")
}
