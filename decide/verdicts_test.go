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
func sentTo(r *rig, id string, n int) int { return r.serve(n, safe, ms)[id] }

func TestVerdictKeepsOffUntilItLapses(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.step(verdictOn("a", 0, false, r.now+time.Minute))
	if n := sentTo(r, "a", 100); n != 0 {
		t.Errorf("%d of 100 to one that is out", n)
	}
	r.step(decide.Ejections{}) // acquitted
	if n := sentTo(r, "a", 100); n == 0 {
		t.Error("none to one that was acquitted")
	}
	r.step(verdictOn("a", 0, false, r.now+time.Second))
	r.advance(2 * time.Second)
	if n := sentTo(r, "a", 100); n == 0 {
		t.Error("none after the verdict has lapsed")
	}
	r.step(verdictOn("a", 5*time.Second, false, r.now+time.Minute))
	if n := sentTo(r, "a", 100); n == 0 {
		t.Error("a verdict on another process of it was heeded")
	}
}

// Where all are out, a first try still goes out: a verdict takes nothing away that an agent had.
func TestVerdictsOnAllLeaveWhatThereIs(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.step(decide.Ejections{Ejections: []decide.Ejection{{Backend: "a", Until: r.now + time.Minute}, {Backend: "b", Until: r.now + time.Minute}}})
	if _, ok := find[decide.Send](r.request("x", safe)); !ok {
		t.Error("nothing is sent")
	}
}

func TestToldDrainGetsNothingAndBringsNothingBack(t *testing.T) {
	list := backends(3)
	r := newRig(t, settings(), 1, list)
	r.step(verdictOn("a", 0, true, r.now+10*time.Second))
	if n := sentTo(r, "a", 100); n != 0 {
		t.Errorf("%d of 100 to one that others heard drains", n)
	}
	r.advance(11 * time.Second)
	if n := sentTo(r, "a", 100); n == 0 {
		t.Error("a drain that no list confirms holds for ever")
	}
	list[0].State = decide.Draining
	r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: list})
	r.step(decide.Ejections{})
	if n := sentTo(r, "a", 100); n != 0 {
		t.Errorf("%d of 100 to one that the list drains", n)
	}
	// The only ones left are told to drain: nothing goes to them, and it is said at once.
	r.step(decide.Ejections{Ejections: []decide.Ejection{{Backend: "b", Draining: true, Until: r.now + 10*time.Second}, {Backend: "c", Draining: true, Until: r.now + 10*time.Second}}})
	if s, ok := find[decide.Send](r.request("y", safe)); ok {
		t.Errorf("%+v", s)
	}
}

// What was told of a process ends with it, though no newer word has come.
func TestNewProcessOwesNothingToTheLastOnes(t *testing.T) {
	list := backends(3)
	for _, drain := range []bool{false, true} {
		r := newRig(t, settings(), 1, list)
		r.advance(time.Minute)
		r.step(verdictOn("a", 0, drain, r.now+time.Hour))
		if n := sentTo(r, "a", 60); n != 0 {
			t.Fatalf("drain %v: %d of 60", drain, n)
		}
		fresh := backends(3)
		fresh[0].Started = r.now
		r.step(decide.ListUpdate{Kind: decide.ListFull, Backends: fresh})
		r.advance(20 * time.Second) // it is warm
		if n := sentTo(r, "a", 100); n == 0 {
			t.Errorf("drain %v: nothing to the process that came after", drain)
		}
	}
}
