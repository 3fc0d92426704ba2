package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

func verdictOn(id string, started time.Duration, drain bool, until time.Duration) decide.Ejections {
	return decide.Ejections{Ejections: []decide.Ejection{{Backend: id, Started: started, Draining: drain, Until: until}}}
}

// sentTo serves n requests, and counts those that went to a backend.
func sentTo(r *harness, id string, n int) int { return r.serve(n, idempotent, ms)[id] }

func TestFleetEjectionHoldsUntilItExpires(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.step(verdictOn("a", 0, false, h.now+time.Minute))
	if n := sentTo(h, "a", 100); n != 0 {
		t.Errorf("%d of 100 to one that is out", n)
	}
	h.step(decide.Ejections{}) // acquitted
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("none to one that was acquitted")
	}
	h.step(verdictOn("a", 0, false, h.now+time.Second))
	h.advance(2 * time.Second)
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("none after the verdict has lapsed")
	}
	h.step(verdictOn("a", 5*time.Second, false, h.now+time.Minute))
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("a verdict on another process of it was heeded")
	}
}

// Where all are out, a first attempt still goes out: a fleet ejection takes nothing away that an agent had.
func TestEjectionOfAllLeavesAllInUse(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(2))
	h.step(decide.Ejections{Ejections: []decide.Ejection{{Backend: "a", Until: h.now + time.Minute}, {Backend: "b", Until: h.now + time.Minute}}})
	if _, ok := find[decide.Send](h.request("x", idempotent)); !ok {
		t.Error("nothing is sent")
	}
}

func TestDrainReportedByPeersGetsNothing(t *testing.T) {
	list := testBackends(3)
	h := newHarness(t, testSettings(), 1, list)
	h.step(verdictOn("a", 0, true, h.now+10*time.Second))
	if n := sentTo(h, "a", 100); n != 0 {
		t.Errorf("%d of 100 to one that others heard drains", n)
	}
	h.advance(11 * time.Second)
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("a drain that no list confirms holds for ever")
	}
	list[0].State = decide.Draining
	h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: list})
	h.step(decide.Ejections{})
	if n := sentTo(h, "a", 100); n != 0 {
		t.Errorf("%d of 100 to one that the list drains", n)
	}
	// The only ones left are notified to drain: nothing goes to them, and the request is refused at once.
	h.step(decide.Ejections{Ejections: []decide.Ejection{{Backend: "b", Draining: true, Until: h.now + 10*time.Second}, {Backend: "c", Draining: true, Until: h.now + 10*time.Second}}})
	if s, ok := find[decide.Send](h.request("y", idempotent)); ok {
		t.Errorf("%+v", s)
	}
}

// What was reported of a process ends with it, though no newer word has come.
func TestEjectionOfAnEarlierProcessIsIgnored(t *testing.T) {
	list := testBackends(3)
	for _, drain := range []bool{false, true} {
		h := newHarness(t, testSettings(), 1, list)
		h.advance(time.Minute)
		h.step(verdictOn("a", 0, drain, h.now+time.Hour))
		if n := sentTo(h, "a", 60); n != 0 {
			t.Fatalf("drain %v: %d of 60", drain, n)
		}
		fresh := testBackends(3)
		fresh[0].Started = h.now
		h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: fresh})
		h.advance(20 * time.Second) // it is warm
		if n := sentTo(h, "a", 100); n == 0 {
			t.Errorf("drain %v: nothing to the process that came after", drain)
		}
	}
}
