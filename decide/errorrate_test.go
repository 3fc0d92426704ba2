package decide

import (
	"fmt"
	"testing"
	"time"
)

// New backends may have IDs that were never listed before. The balancer must delete a removed backend without attempts
// in flight, because its loops run over all backends that it keeps. It must keep a removed backend with an attempt in
// flight until that attempt ends.
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
		t.Errorf("%d backends, %d IDs, %d hashes; want only the backend with an attempt in flight", len(b.backends), len(b.byID), len(b.byHash))
	}
	step(Outcome{Request: "r", Backend: "first", Result: OK})
	step(ListUpdate{Kind: ListFull, Backends: []Backend{{ID: "last"}}})
	if len(b.backends) != 1 || b.byID["last"] == nil || len(b.byHash) != 1 || len(b.requests) != 0 {
		t.Errorf("%d backends, %d hashes, %d requests; want one backend and no request", len(b.backends), len(b.byHash), len(b.requests))
	}
}

// newSingleAttemptBalancer returns a balancer without retries and slow start. Its backends are b0, b1 and so on.
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

// If all backends fail occasionally, a single error must eject none of them. If only one fails, its first error
// ejects it.
func TestCommonErrorRateEjectsNone(t *testing.T) {
	for _, all := range []bool{true, false} {
		now := time.Hour
		b := newSingleAttemptBalancer(t, now, 6)
		ejectedSteps := 0
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
					ejectedSteps++
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
					t.Fatalf("%d of 6 ejected for errors that all of them return", out)
				}
			}
		}
		if ejectedSteps == 0 {
			t.Errorf("all %v: the failing backend was never ejected", all)
		}
	}
}

// One error must eject a backend if the others have none, but not if another one has just had an error too. In that
// case several errors must eject it, or one refused connection.
func TestErrorRateBeyondChanceEjects(t *testing.T) {
	for _, row := range []struct {
		result Result
		others bool
		least  int // minimum and maximum number of such results until the ejection
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
			t.Errorf("%v, others too %v: ejected after %d, want %d to %d", row.result, row.others, bad, row.least, row.most)
		}
	}
}

// A broken connection must not count as the end of the process. In a network where many connections broke, backends
// repeatedly counted as just started, and got only the share of a backend in slow start.
func TestBrokenConnectionDoesNotBeginSlowStart(t *testing.T) {
	for res, wantSlowStart := range map[Result]bool{Reset: false, Incomplete: false, ConnectFailed: true} {
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
		if b.byID["b"].inSlowStart != wantSlowStart {
			t.Errorf("after outcome %v and an answer: slow start is %v", res, b.byID["b"].inSlowStart)
		}
	}
}

// If all backends are in slow start, no rate of a warm one can be measured. Each backend must still get some work, at
// most what a backend in slow start can certainly serve, and more as its slow start proceeds.
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
		now += 2 * time.Millisecond // 500 requests a second, 20 in flight: more than the three backends can serve
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
			// Two agents each send a backend this much work. It has at least two cores, and collapses above 2.5 times
			// its capacity.
			certain := 0.3 + 0.7*float64(i)/10
			if by[id] < 0.5*certain || i < 9 && 2*by[id] > 2.5*2*(certain+0.07) {
				t.Errorf("second %d: backend %s got %.2f of work, it can certainly do %.2f per core", i, id, by[id], certain)
			}
		}
	}
}
