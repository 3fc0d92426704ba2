package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
)

func ejectionOf(id string, started time.Duration, drain bool, until time.Duration) decide.Ejections {
	return decide.Ejections{Ejections: []decide.Ejection{{Backend: id, Started: started, Draining: drain, Until: until}}}
}

// sentTo serves n requests and returns the number of those that went to a backend.
func sentTo(r *harness, id string, n int) int { return r.serve(n, idempotent, ms)[id] }

func TestFleetEjectionHoldsUntilItExpires(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.step(ejectionOf("a", 0, false, h.now+time.Minute))
	if n := sentTo(h, "a", 100); n != 0 {
		t.Errorf("%d of 100 requests went to the ejected backend", n)
	}
	h.step(decide.Ejections{}) // ends the ejection
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("no request went to the backend after its ejection was lifted")
	}
	h.step(ejectionOf("a", 0, false, h.now+time.Second))
	h.advance(2 * time.Second)
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("no request went to the backend after its ejection expired")
	}
	h.step(ejectionOf("a", 5*time.Second, false, h.now+time.Minute))
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("an ejection of another process of the backend was applied")
	}
}

// If all backends are ejected, a first attempt must still be sent: fleet ejections must not exclude the last backend.
func TestEjectionOfAllLeavesAllInUse(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(2))
	h.step(decide.Ejections{Ejections: []decide.Ejection{{Backend: "a", Until: h.now + time.Minute}, {Backend: "b", Until: h.now + time.Minute}}})
	if _, ok := findAction[decide.Send](h.request("x", idempotent)); !ok {
		t.Error("no attempt was sent")
	}
}

func TestDrainReportedByPeersGetsNothing(t *testing.T) {
	list := testBackends(3)
	h := newHarness(t, testSettings(), 1, list)
	h.step(ejectionOf("a", 0, true, h.now+10*time.Second))
	if n := sentTo(h, "a", 100); n != 0 {
		t.Errorf("%d of 100 requests went to a backend that drains according to peers", n)
	}
	h.advance(11 * time.Second)
	if n := sentTo(h, "a", 100); n == 0 {
		t.Error("no request went to the backend although the reported drain has expired and no list confirms it")
	}
	list[0].State = decide.Draining
	h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: list})
	h.step(decide.Ejections{})
	if n := sentTo(h, "a", 100); n != 0 {
		t.Errorf("%d of 100 requests went to a backend that drains according to the list", n)
	}
	// The other two backends are reported as draining: no attempt may be sent to them, and the request is refused at
	// once.
	h.step(decide.Ejections{Ejections: []decide.Ejection{{Backend: "b", Draining: true, Until: h.now + 10*time.Second}, {Backend: "c", Draining: true, Until: h.now + 10*time.Second}}})
	if s, ok := findAction[decide.Send](h.request("y", idempotent)); ok {
		t.Errorf("an attempt was sent to a draining backend: %+v", s)
	}
}

// An ejection must not apply to the process that replaces the ejected one, even before a newer report arrives.
func TestEjectionOfAnEarlierProcessIsIgnored(t *testing.T) {
	list := testBackends(3)
	for _, drain := range []bool{false, true} {
		h := newHarness(t, testSettings(), 1, list)
		h.advance(time.Minute)
		h.step(ejectionOf("a", 0, drain, h.now+time.Hour))
		if n := sentTo(h, "a", 60); n != 0 {
			t.Fatalf("drain %v: %d of 60 requests went to the ejected backend", drain, n)
		}
		fresh := testBackends(3)
		fresh[0].Started = h.now
		h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: fresh})
		h.advance(20 * time.Second) // the slow start is over
		if n := sentTo(h, "a", 100); n == 0 {
			t.Errorf("drain %v: no request went to the new process", drain)
		}
	}
}
