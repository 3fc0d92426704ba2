package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

// A request that only one backend may get goes there, again after a failure that proves that nothing
// ran, to no other ever, and is refused at once where that one takes nothing.
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
					t.Errorf("sent to %s", s.Backend)
				}
			}
		}
		return n
	}
	for i := range 20 {
		id := string(rune('A' + i))
		all := step(decide.Request{ID: id, Class: idempotent, Remaining: 5 * time.Second, OnlyBackend: "b"})
		if sent(all) != 1 {
			t.Fatalf("%+v", all)
		}
		now += ms
		if i%4 == 0 { // it goes out once more, to the same one
			var timer decide.SetTimer
			for _, a := range step(decide.Outcome{Request: id, Backend: "b", Result: decide.Rejected, Latency: ms}) {
				if s, ok := a.(decide.SetTimer); ok {
					timer = s
				}
			}
			now += timer.After + time.Second
			if n := sent(step(decide.TimerFired{Token: timer.Token})); n != 1 {
				t.Errorf("after a refusal by the one backend it went out %d times", n)
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
			t.Errorf("%s: %+v", only, all)
		}
	}
}

// A list may name kinds and zones that the settings do not know: a module that met one first panicked.
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
	t.Error("nothing was sent")
}
