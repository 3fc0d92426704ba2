package decide_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
)

// checkRandomEvents passes valid events in a random order to a balancer, and checks its actions against the rules.
func checkRandomEvents(t *testing.T, seed uint64, steps int) *ruleChecker {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	s := testSettings()
	s.Balancers = 1 + rng.IntN(30)
	s.Self = rng.IntN(s.Balancers)
	s.Subscribe = rng.IntN(2) == 0
	s.Hedging = rng.IntN(2) == 0
	s.Peers = rng.IntN(2) == 0
	s.MaxAttempts = rng.IntN(6)
	s.CrossZonePrice = float64(rng.IntN(2)) * 0.02
	if rng.IntN(4) == 0 {
		s.SlowStartTime, s.OverloadWindow, s.SubscribeWithin, s.Tick = 0, 0, 0, 0
	}
	s.Classes = s.Classes[:1+rng.IntN(len(s.Classes))]
	for i := range s.Classes {
		s.Classes[i].DedupWindow = time.Duration(rng.IntN(100)) * ms
	}
	b, err := decide.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	a := newRuleChecker(s)
	a.now = time.Hour
	type timer struct {
		at    time.Duration
		token int64
	}
	var timers []timer
	var open []decide.Outcome // outcomes of the open attempts
	due := map[string]time.Duration{}
	pool := testBackends(8)
	for i := range pool {
		if rng.IntN(3) == 0 {
			pool[i].Zone, pool[i].Cell = decide.Unknown, decide.Unknown
		}
	}
	next := 0
	for range steps {
		a.now += time.Duration(rng.IntN(30)) * ms / 4
		var events []decide.Event
		keep := timers[:0]
		for _, tm := range timers {
			if tm.at <= a.now {
				events = append(events, decide.TimerFired{Token: tm.token})
			} else {
				keep = append(keep, tm)
			}
		}
		timers = keep
		if rng.IntN(40) == 0 {
			least := 1 + rng.IntN(40)
			events = append(events, decide.FleetSize{Max: least + rng.IntN(40), Min: least})
		}
		for range rng.IntN(3) {
			next++
			id := fmt.Sprint("q", next)
			left := time.Duration(1+rng.IntN(1500)) * ms
			due[id] = a.now + left
			events = append(events, decide.Request{ID: id, Class: rng.IntN(len(s.Classes)), Remaining: left,
				Work: time.Duration(rng.IntN(3)*rng.IntN(200)) * ms, ClientRetry: rng.IntN(5) == 0, Upload: rng.IntN(5) == 0})
		}
		// Every attempt ends by the deadline of its request, some of them earlier and with any result.
		rest := open[:0]
		for _, o := range open {
			r := a.requests[o.Request]
			switch {
			case r.uploading && rng.IntN(6) == 0:
				left := time.Duration(1+rng.IntN(1500)) * ms
				due[o.Request] = a.now + left
				events = append(events, decide.UploadCompleted{Request: o.Request, Attempt: o.Attempt, Remaining: left})
				rest = append(rest, o)
				continue
			case r.uploading && rng.IntN(6) > 0, r.responseStarted && rng.IntN(6) > 0:
				rest = append(rest, o) // it stays open for longer
				continue
			case !r.uploading && !r.responseStarted && !r.ended && rng.IntN(20) == 0:
				events = append(events, decide.ResponseStarted{Request: o.Request, Attempt: o.Attempt, Completed: rng.IntN(2) == 0, Latency: 50 * ms})
				rest = append(rest, o)
				continue
			case due[o.Request] <= a.now:
				o.Result = decide.TimedOut
			case rng.IntN(8) == 0:
				o.Result = decide.Result(rng.IntN(8))
			default:
				rest = append(rest, o)
				continue
			}
			if o.NotReplayable = r.uploading && rng.IntN(2) == 0; r.uploading { // its last byte has not been sent
				o.Result = []decide.Result{decide.Rejected, decide.ConnectFailed, decide.NotSent, decide.Incomplete}[rng.IntN(4)]
			}
			o.Latency = time.Duration(rng.IntN(900)) * ms
			o.Answered = o.Result == decide.OK || a.requests[o.Request].ended
			events = append(events, o)
			if rng.IntN(10) == 0 {
				events = append(events, o) // reported twice
			}
		}
		open = rest
		switch rng.IntN(25) {
		case 0:
			n := &pool[rng.IntN(len(pool))]
			n.State = decide.BackendState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				n.State, n.Started = decide.Up, a.now
			}
			if rng.IntN(2) == 0 {
				n.Zone, n.Cell = rng.IntN(5)-1, rng.IntN(5)-1 // may be decide.Unknown
			}
			events = append(events, decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{*n}})
		case 1:
			var full []decide.Backend // may be empty
			for _, n := range pool[:rng.IntN(len(pool)+1)] {
				n.State = decide.Up
				full = append(full, n)
			}
			events = append(events, decide.ListUpdate{Kind: decide.ListKind(1 + rng.IntN(2)), Backends: full})
		case 2:
			events = append(events, decide.ListUpdate{Kind: decide.ListFailed})
		case 3:
			if next > 0 {
				events = append(events, decide.RequestCancelled{Request: fmt.Sprint("q", 1+rng.IntN(next))})
			}
		case 4:
			events = append(events, decide.TimerFired{Token: rng.Int64N(1 << 20)},
				decide.Outcome{Request: fmt.Sprint("q", rng.IntN(next+2)), Attempt: rng.IntN(2)*99 - 1},
				decide.ProbeResult{Backend: "x"}, decide.PeerMessage{From: 70})
		case 6, 7:
			events = append(events, decide.BackendDisabled{Backend: pool[rng.IntN(len(pool))].ID, Disabled: rng.IntN(2) == 0})
		case 5:
			events = append(events, decide.PeerMessage{From: rng.IntN(12) - 1,
				Data: binary.BigEndian.AppendUint64(nil, rng.Uint64())[:rng.IntN(9)]})
		}
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			a.event(e)
		}
		acts := b.Step(a.now, events)
		if err := b.CheckCapacity(); err != nil {
			t.Fatalf("seed %d at %v: %v", seed, a.now, err)
		}
		for _, act := range acts {
			a.action(act)
			switch act := act.(type) {
			case decide.SetTimer:
				timers = append(timers, timer{a.now + act.After, act.Token})
			case decide.Send:
				open = append(open, decide.Outcome{Request: act.Request, Backend: act.Backend,
					Attempt: len(a.requests[act.Request].sends) - 1})
			}
		}
		a.checkUnanswered()
	}
	return a
}

func TestRulesUnderAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		a := checkRandomEvents(t, seed, 600)
		if len(a.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(a.violations[:min(3, len(a.violations))], "\n"))
		}
	}
}

func FuzzRulesUnderAnyOrder(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if a := checkRandomEvents(t, seed, 400); len(a.violations) > 0 {
			t.Fatal(strings.Join(a.violations[:min(3, len(a.violations))], "\n"))
		}
	})
}

// Each check of ruleChecker must be able to fail: each of these sequences of events and actions violates a rule.
func TestRuleCheckerRejects(t *testing.T) {
	send := func(b string) decide.Action { return decide.Send{Request: "q", Backend: b} }
	ended := func(n int, res decide.Result) decide.Event {
		return decide.Outcome{Request: "q", Attempt: n, Result: res, Answered: res == decide.OK}
	}
	refuse, fail := decide.Refuse{Request: "q"}, decide.Fail{Request: "q"}
	draining := decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", State: decide.Draining}}}
	moved := func(id string, cell int) decide.Event {
		return decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: id, Cell: cell}}}
	}
	empty := decide.ListUpdate{Kind: decide.ListFull}
	inSlowStart := decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", Started: time.Hour}}}
	tests := []struct {
		name  string
		class int
		play  []any // events, actions, and durations by which the clock advances
		want  string
	}{
		{"no answer", idempotent, []any{2021 * ms}, "got no answer in time"},
		{"two answers", idempotent, []any{fail, fail}, "answered twice"},
		{"answer after being served", idempotent, []any{send("a"), ended(0, decide.OK), refuse}, "answered twice"},
		{"late answer", idempotent, []any{2020*ms + 1, fail}, "answered late"},
		{"send after the answer", idempotent, []any{fail, send("a")}, "sent after its final answer"},
		{"unknown backend", idempotent, []any{send("zz")}, "is unknown"},
		{"past the limit", idempotent, []any{send("a"), ended(0, decide.Errored), send("b"), ended(1, decide.Errored),
			send("a"), ended(2, decide.Errored), send("b"), ended(3, decide.Errored), send("a")}, "past the attempt limit"},
		{"second open attempt", idempotent, []any{send("a"), send("b")}, "two open attempts"},
		{"non-idempotent repeated", nonIdempotent, []any{send("a"), ended(0, decide.TimedOut), send("b")}, "is non-idempotent"},
		{"non-idempotent refused", nonIdempotent, []any{send("a"), ended(0, decide.Reset), refuse}, "refused though"},
		{"non-idempotent refused while open", nonIdempotent, []any{send("a"), refuse}, "refused though"},
		{"keyed refused", keyedZone, []any{send("a"), ended(0, decide.Errored), refuse}, "refused though"},
		{"outside the zone", keyedZone, []any{send("a"), ended(0, decide.Errored), send("c")}, "outside its deduplication scope"},
		{"outside the cell", keyedCell, []any{send("a"), ended(0, decide.Errored), send("d")}, "outside its deduplication scope"},
		{"between unknown cells", keyedCell, []any{moved("a", decide.Unknown), moved("b", decide.Unknown), send("a"), ended(0, decide.Errored), send("b")},
			"not known to be in its deduplication scope"},
		{"to a backend that moved into the cell", keyedCell, []any{send("a"), moved("d", 0), ended(0, decide.Errored), send("d")},
			"joined the deduplication scope since"},
		{"after the backend that moved", keyedCell, []any{send("a"), moved("a", 1), ended(0, decide.Errored), send("d")},
			"outside its deduplication scope"},
		{"after the window", keyedAll, []any{send("a"), 301 * ms, ended(0, decide.Errored), send("b")}, "after its deduplication window"},
		{"drained", idempotent, []any{draining, 501 * ms, send("a")}, "draining or removed"},
		{"removed from the list", idempotent, []any{empty, 501 * ms, send("b")}, "draining or removed"},
		{"disabled by an operator", idempotent, []any{decide.BackendDisabled{Backend: "a", Disabled: true}, send("a")}, "operator has disabled"},
		{"enabled again by an operator is in slow start", idempotent, []any{decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "a"}, send("a"),
			ended(0, decide.Rejected), send("a"), ended(1, decide.Rejected), send("a"), ended(2, decide.Rejected), send("a"), send("a"),
			send("a")}, "is in slow start"},
		{"cold", idempotent, []any{inSlowStart, send("a"), ended(0, decide.Rejected), send("a"), ended(1, decide.Rejected),
			send("a"), ended(2, decide.Rejected), send("a"), send("a"), send("a")}, "is in slow start"},
		{"message where none is allowed", idempotent, []any{decide.SendToPeer{To: 1, Data: []byte{1}}}, "bytes to peer"},
		{"timer in the past", idempotent, []any{decide.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newRuleChecker(testSettings())
			a.now = time.Hour
			a.event(decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(4)})
			a.event(decide.Request{ID: "q", Class: tt.class, Remaining: 2000 * ms})
			for _, p := range tt.play {
				switch p := p.(type) {
				case time.Duration:
					a.now += p
				case decide.Event:
					a.event(p)
				case decide.Action:
					a.action(p)
				}
			}
			a.checkUnanswered()
			if got := strings.Join(a.violations, "; "); !strings.Contains(got, tt.want) {
				t.Errorf("violations %q, want one with %q", got, tt.want)
			}
		})
	}
}
