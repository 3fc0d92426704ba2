package decide

import (
	"fmt"
	"testing"
	"time"
)

// Backends come under ever new ids. What is gone, with nothing out, leaves nothing behind, and one
// that still has an attempt out is kept until that is in; loops run over all that are kept.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	b, err := New(Settings{Balancers: 1, MaxAttempts: 2, Tick: time.Millisecond, SlowStartShare: 1,
		Classes: []Class{{Objective: time.Second, Deadline: 2 * time.Second, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	step := func(events ...Event) []Action {
		now += time.Millisecond
		return b.Step(now, events)
	}
	entry := func(id string, s BackendState) ListUpdate { return ListUpdate{Backends: []Backend{{ID: id, State: s}}} }
	step(ListUpdate{Kind: ListFull, Backends: []Backend{{ID: "first"}}})
	step(Request{ID: "r", Remaining: time.Hour})
	for n := range 5000 {
		id := fmt.Sprint("b", n)
		step(entry(id, Up))
		step(entry(id, Removed))
	}
	step(entry("first", Removed))
	if len(b.backends) != 1 || len(b.byID) != 1 || len(b.byHash) != 1 {
		t.Errorf("%d backends, %d ids, %d keys; only the one with an attempt out is left", len(b.backends), len(b.byID), len(b.byHash))
	}
	step(Outcome{Request: "r", Backend: "first", Result: OK})
	step(ListUpdate{Kind: ListFull, Backends: []Backend{{ID: "last"}}})
	if len(b.backends) != 1 || b.byID["last"] == nil || len(b.byHash) != 1 || len(b.requests) != 0 {
		t.Errorf("%d backends, %d keys, %d requests", len(b.backends), len(b.byHash), len(b.requests))
	}
}

// newSingleAttemptBalancer returns a balancer without retries and slow start, which knows the backends b0, b1 and so on.
func newSingleAttemptBalancer(t *testing.T, now time.Duration, backends int) *Balancer {
	t.Helper()
	b, err := New(Settings{Balancers: 1, MaxAttempts: 1, Tick: time.Millisecond, SlowStartShare: 1,
		Classes: []Class{{Objective: time.Second, Deadline: 2 * time.Second, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Backend
	for i := range backends {
		list = append(list, Backend{ID: fmt.Sprint("b", i)})
	}
	b.Step(now, []Event{ListUpdate{Kind: ListFull, Backends: list}})
	return b
}

// Where every backend fails now and then alike, none is ejected for a single error; where one
// fails and the others do not, its first error is enough.
func TestCommonErrorRateEjectsNone(t *testing.T) {
	for _, all := range []bool{true, false} {
		now := time.Hour
		b := newSingleAttemptBalancer(t, now, 6)
		struck := 0
		for n := range 1500 {
			id := fmt.Sprint(n)
			now += 20 * time.Millisecond
			for _, a := range b.Step(now, []Event{Request{ID: id, Remaining: 2 * time.Second}}) {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				res := OK
				if all && n%20 == 0 || s.Backend == "b0" && n > 1000 {
					res = Errored
				}
				now += 10 * time.Millisecond
				b.Step(now, []Event{Outcome{Request: id, Backend: s.Backend, Result: res, Latency: 10 * time.Millisecond}})
				if b.byID["b0"].failureScore > 0 && n > 1000 {
					struck++
				}
			}
			if all && n > 200 && n <= 1000 {
				out := 0
				for _, t := range b.backends {
					if now < t.ejectedUntil {
						out++
					}
				}
				if out > 2 {
					t.Fatalf("%d of 6 ejected for errors that all have", out)
				}
			}
		}
		if struck == 0 {
			t.Errorf("all %v: the failing one was never struck", all)
		}
	}
}

// One error ejects a backend where the others have none, and not where another has just had one
// too; several strike it all the same, and so does a refused connection at once.
func TestErrorRateBeyondChanceEjects(t *testing.T) {
	for _, row := range []struct {
		result Result
		others bool
		least  int // of such results until it is struck
		most   int
	}{{Errored, false, 1, 1}, {Errored, true, 2, 4}, {Reset, true, 2, 4}, {ConnectFailed, true, 1, 1}} {
		now := time.Hour
		b := newSingleAttemptBalancer(t, now, 4)
		bad, failed := 0, !row.others
		for n := 0; n < 1000 && b.byID["b0"].failureScore == 0; n++ {
			id := fmt.Sprint(n)
			now += 20 * time.Millisecond
			for _, a := range b.Step(now, []Event{Request{ID: id, Remaining: 2 * time.Second}}) {
				if s, ok := a.(Send); ok {
					res := OK
					if s.Backend == "b1" && !failed && n > 40 {
						res, failed = Errored, true
					} else if s.Backend == "b0" && failed && n > 40 {
						res = row.result
						bad++
					}
					b.Step(now, []Event{Outcome{Request: id, Backend: s.Backend, Result: res, Latency: time.Millisecond}})
				}
			}
		}
		if bad < row.least || bad > row.most {
			t.Errorf("%v, others too %v: struck after %d, want %d to %d", row.result, row.others, bad, row.least, row.most)
		}
	}
}

// A connection that breaks is no process that has ended: where many break by themselves, backends
// were taken for just started, and held to a backend in slow start's part, over and over.
func TestBrokenConnectionDoesNotBeginSlowStart(t *testing.T) {
	for res, cold := range map[Result]bool{Reset: false, Incomplete: false, ConnectFailed: true} {
		b, err := New(Settings{Balancers: 1, MaxAttempts: 1, Tick: time.Millisecond, SlowStartShare: 0.3, SlowStartTime: time.Minute,
			Classes: []Class{{Objective: time.Second, Deadline: 2 * time.Second, Value: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		b.Step(now, []Event{ListUpdate{Kind: ListFull, Backends: []Backend{{ID: "b"}}}})
		for n, r := range []Result{OK, res, res, OK} {
			now += 10 * time.Second
			id := fmt.Sprint(n)
			b.Step(now, []Event{Request{ID: id, Remaining: 2 * time.Second}})
			now += 10 * time.Millisecond
			b.Step(now, []Event{Outcome{Request: id, Backend: "b", Result: r, Latency: 10 * time.Millisecond}})
		}
		if b.byID["b"].inSlowStart != cold {
			t.Errorf("after outcome %v and an answer: cold %v", res, b.byID["b"].inSlowStart)
		}
	}
}

// Where every backend is cold there are no warm ones to measure by. Each gets some work all the
// same, within what a backend in slow start can surely do, and more as it warms up.
func TestAllBackendsInSlowStartStillServe(t *testing.T) {
	b, err := New(Settings{Balancers: 2, MaxAttempts: 1, Tick: time.Millisecond, SlowStartShare: 0.3, SlowStartTime: 10 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: time.Second,
		Classes: []Class{{Objective: 200 * time.Millisecond, Deadline: time.Second, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Hour
	now := start
	b.Step(now, []Event{ListUpdate{Kind: ListFull, Backends: []Backend{{ID: "a", Started: now}, {ID: "b", Started: now}, {ID: "c", Started: now}}}})
	const latency = 40 * time.Millisecond
	type out struct {
		Send
		at time.Duration
	}
	var pending []out
	var sent [10]map[string]float64 // work by second and backend
	for i := range sent {
		sent[i] = map[string]float64{}
	}
	for n := 0; now < start+9900*time.Millisecond; n++ {
		now += 2 * time.Millisecond // 500 a second, 20 at once: more than all three can do
		events := []Event{Request{ID: fmt.Sprint(n), Remaining: time.Second}}
		for len(pending) > 0 && now >= pending[0].at+latency {
			events = append(events, Outcome{Request: pending[0].Request, Backend: pending[0].Backend, Result: OK, Latency: latency})
			pending = pending[1:]
		}
		for _, a := range b.Step(now, events) {
			if s, ok := a.(Send); ok {
				pending = append(pending, out{s, now})
				sent[(now-start)/time.Second][s.Backend] += latency.Seconds()
			}
		}
	}
	for i, by := range sent {
		for _, id := range []string{"a", "b", "c"} {
			// Two agents send it this much each; it has two cores at least, and falls over at 2.5
			// times what it can do.
			sure := 0.3 + 0.7*float64(i)/10
			if by[id] < 0.5*sure || i < 9 && 2*by[id] > 2.5*2*(sure+0.07) {
				t.Errorf("second %d: backend %s got %.2f of work, it can surely do %.2f a core", i, id, by[id], sure)
			}
		}
	}
}
