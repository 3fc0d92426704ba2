package core

import (
	"context"
	"net"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

// Indices of the classes in testkit.SettingsFormat.
const (
	classGet = iota // idempotent
	classPut        // with an idempotency key
	classPay        // non-idempotent
)

// sendingLoop is a loop for tests that start attempts instead of the balancer and determine their results.
type sendingLoop struct {
	*Loop
	results chan decide.Result
	request pendingRequest
}

func newSendingLoop(t *testing.T, class int, change func(*decide.Settings)) *sendingLoop {
	t.Helper()
	cfg := testConfig(t, testkit.ConfigOptions{})
	if change != nil {
		change(&cfg.Settings)
	}
	s := &sendingLoop{results: make(chan decide.Result), request: newPendingRequest("r")}
	var err error
	if s.Loop, err = newLoop(cfg, newClock(), endingProtocol{results: s.results}, testkit.DiscardLogger); err != nil {
		t.Fatal(err)
	}
	s.attemptsContext = context.Background()
	s.toleratesViolations = true
	s.request.Class = class
	s.request.Deadline = time.Now().Add(time.Minute)
	s.handle(requestArrived{s.request.Request})
	return s
}

// endingProtocol is a protocol whose attempts end with the results that arrive on a channel.
type endingProtocol struct {
	idleProtocol
	results chan decide.Result
}

func (p endingProtocol) Attempt(*Attempt) (decide.Result, any, decide.Load) {
	return <-p.results, nil, decide.Load{}
}

func (s *sendingLoop) send(server string) {
	s.execute(decide.Send{Request: "r", Backend: server}, s.clock.now())
}

// endAttempt ends the only attempt in flight.
func (s *sendingLoop) endAttempt(t *testing.T, result decide.Result) {
	t.Helper()
	s.results <- result
	s.handle(testkit.Receive(t, "outcome", s.events))
}

func (s *sendingLoop) violationCount(i Invariant) int64 { return s.counters.violations[i].Load() }

// Whatever the balancer decides, no attempt may be made that violates the rules on repeated execution: it must be
// refused and counted, and its outcome for the balancer must be that it was not sent.
func TestAttemptsThatViolateTheRetryRulesAreRefused(t *testing.T) {
	noHedging := func(s *decide.Settings) { s.Hedging = false }
	shortWindow := func(s *decide.Settings) { s.Classes[classPut].DedupWindow = time.Nanosecond }
	for name, row := range map[string]struct {
		class    int
		change   func(*decide.Settings)
		earlier  []decide.Result // results of the attempts that have ended
		inFlight bool            // another attempt has not ended
		violates Invariant
		allowed  bool
	}{
		"non-idempotent, not executed":       {class: classPay, earlier: []decide.Result{decide.Incomplete}, allowed: true},
		"non-idempotent, rejected":           {class: classPay, earlier: []decide.Result{decide.Rejected}, allowed: true},
		"non-idempotent, may be executed":    {class: classPay, earlier: []decide.Result{decide.Reset}, violates: EffectOnce},
		"non-idempotent, timed out":          {class: classPay, earlier: []decide.Result{decide.TimedOut}, violates: EffectOnce},
		"non-idempotent, errored":            {class: classPay, earlier: []decide.Result{decide.Errored}, violates: EffectOnce},
		"non-idempotent, one in flight":      {class: classPay, inFlight: true, violates: OneAttemptInFlight},
		"idempotent, may be executed":        {class: classGet, earlier: []decide.Result{decide.Reset}, allowed: true},
		"idempotent, hedged":                 {class: classGet, inFlight: true, allowed: true},
		"hedging is off":                     {class: classGet, change: noHedging, inFlight: true, violates: OneAttemptInFlight},
		"with a key, within its window":      {class: classPut, earlier: []decide.Result{decide.Reset}, allowed: true},
		"with a key, past its window":        {class: classPut, change: shortWindow, earlier: []decide.Result{decide.Reset}, violates: DedupWindow},
		"with a key, past it, not executed":  {class: classPut, change: shortWindow, earlier: []decide.Result{decide.ConnectFailed}, allowed: true},
		"all attempts are used up":           {class: classGet, earlier: []decide.Result{decide.Reset, decide.Reset, decide.Reset}, violates: AttemptBound},
		"the last of those that are allowed": {class: classGet, earlier: []decide.Result{decide.Reset, decide.Reset}, allowed: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSendingLoop(t, row.class, row.change)
			defer close(s.results)
			for _, result := range row.earlier {
				s.send("s")
				s.endAttempt(t, result)
			}
			if row.inFlight {
				s.send("s")
			}
			s.pending = nil
			before := s.totals.attempts.Load()
			s.send("t")
			made := s.totals.attempts.Load() - before
			if row.allowed {
				if made != 1 {
					t.Error("an allowed attempt was not made")
				}
				for i := range s.counters.violations {
					if s.violationCount(Invariant(i)) != 0 {
						t.Errorf("%s was counted", Invariant(i))
					}
				}
				return
			}
			if made != 0 || s.violationCount(row.violates) != 1 {
				t.Errorf("%d attempts were made, %s was counted %d times", made, row.violates, s.violationCount(row.violates))
			}
			if len(s.pending) != 1 || s.pending[0].(decide.Outcome).Result != decide.NotSent {
				t.Errorf("events for the balancer %+v", s.pending)
			}
		})
	}
}

// Whatever the balancer decides, a request with a key that may have been executed must not be sent to a server that is
// not known to share the zone or cell of the earlier attempt's server.
func TestRetriesOutsideTheDedupScopeAreRefused(t *testing.T) {
	for name, row := range map[string]struct {
		scope   decide.DedupScope
		retry   decide.Send
		earlier decide.Result
		cell    int // of the earlier attempt's server s, and its zone
		allowed bool
	}{
		"the same cell":                      {decide.ScopeCell, decide.Send{Backend: "t", Cell: 3}, decide.Reset, 3, true},
		"another cell":                       {decide.ScopeCell, decide.Send{Backend: "t", Cell: 4}, decide.Reset, 3, false},
		"another cell, not executed":         {decide.ScopeCell, decide.Send{Backend: "t", Cell: 4}, decide.ConnectFailed, 3, true},
		"unknown cells":                      {decide.ScopeCell, decide.Send{Backend: "t", Cell: decide.Unknown}, decide.Reset, decide.Unknown, false},
		"the same server of an unknown cell": {decide.ScopeCell, decide.Send{Backend: "s", Cell: decide.Unknown}, decide.Reset, decide.Unknown, true},
		"the same zone":                      {decide.ScopeZone, decide.Send{Backend: "t", Zone: 1, Cell: 4}, decide.Reset, 1, true},
		"unknown zones":                      {decide.ScopeZone, decide.Send{Backend: "t", Zone: decide.Unknown}, decide.Reset, decide.Unknown, false},
		"all servers":                        {decide.ScopeAll, decide.Send{Backend: "t", Zone: 5, Cell: 5}, decide.Reset, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSendingLoop(t, classPut, func(settings *decide.Settings) { settings.Classes[classPut].Scope = row.scope })
			defer close(s.results)
			s.execute(decide.Send{Request: "r", Backend: "s", Zone: row.cell, Cell: row.cell}, s.clock.now())
			s.endAttempt(t, row.earlier)
			before := s.totals.attempts.Load()
			row.retry.Request = "r"
			s.execute(row.retry, s.clock.now())
			made := s.totals.attempts.Load() - before
			if wasMade := made == 1; wasMade != row.allowed {
				t.Errorf("%d attempts were made, allowed is %v", made, row.allowed)
			}
			if isCounted := s.violationCount(DedupScope) == 1; isCounted == row.allowed {
				t.Errorf("%d violations, allowed is %v", s.violationCount(DedupScope), row.allowed)
			}
		})
	}
}

// A request must get only one final answer, the first one; a second one must be counted as a violation.
func TestSecondFinalAnswerIsCounted(t *testing.T) {
	s := newSendingLoop(t, classGet, nil)
	s.finish(s.request.Request, Answer{Refused: true})
	s.finish(s.request.Request, Answer{TimedOut: true})
	s.request.Abort()
	if s.violationCount(AnsweredOnce) != 1 || len(s.request.reply) != 1 {
		t.Errorf("counted %d times, %d answers", s.violationCount(AnsweredOnce), len(s.request.reply))
	}
}

// A violation must cause a panic in tests. In production it must not end the loop.
func TestViolationPanicsInTests(t *testing.T) {
	s := newSendingLoop(t, classGet, nil)
	s.toleratesViolations = false
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	s.violated(AnsweredOnce, "r", 0, "s", "brought about")
}

// TestSendGuard checks, step by step, which writes the send guard admits and when it gives the answer.
func TestSendGuard(t *testing.T) {
	interrupted := 0
	interrupt := func() { interrupted++ }
	answer := func(n *int) func() { return func() { *n++ } }
	t.Run("an answer waits for open writes", func(t *testing.T) {
		var g sendGuard
		given := 0
		ended := make(chan struct{})
		interrupted = 0
		if !g.open(0, interrupt) || !g.open(1, interrupt) {
			t.Fatal("a write was refused")
		}
		if !g.finish(ended, answer(&given)) || given != 0 || interrupted != 2 {
			t.Errorf("%d answers, %d interrupted", given, interrupted)
		}
		if g.open(2, interrupt) {
			t.Error("a write opened after the answer")
		}
		g.end(0)
		if given != 0 {
			t.Error("the answer was given with a write open")
		}
		g.end(1)
		if given != 1 {
			t.Error("the answer was not given")
		}
		if g.finish(ended, answer(&given)) || given != 1 {
			t.Error("there was a second answer")
		}
		if g.end(1) {
			t.Error("a write ended twice")
		}
	})
	t.Run("a response that has begun is the only one", func(t *testing.T) {
		var g sendGuard
		g.open(1, func() { go g.end(1) })
		if !g.startResponse(0) || len(g.writes) > 0 {
			t.Error("a response begins while another attempt writes")
		}
		if g.startResponse(1) || !g.startResponse(0) {
			t.Error("the connection is not reserved for the first attempt")
		}
		if g.open(1, interrupt) || !g.open(0, interrupt) {
			t.Error("another attempt writes after a response has begun")
		}
		if !g.anotherResponds(1) || g.anotherResponds(0) {
			t.Error("anotherResponds is wrong about the responding attempt")
		}
	})
	t.Run("no response begins after the answer", func(t *testing.T) {
		var g sendGuard
		given := 0
		g.finish(make(chan struct{}), answer(&given))
		if g.startResponse(0) || given != 1 {
			t.Error("a response began after the answer, or the answer was lost")
		}
	})
}

// BeginWrite must check everything that may have changed since the balancer decided on the attempt.
func TestBeginWriteChecksWhatHasChanged(t *testing.T) {
	list := func(kind decide.ListKind, backends ...decide.Backend) List {
		return List{ListUpdate: decide.ListUpdate{Kind: kind, Backends: backends}}
	}
	for name, row := range map[string]struct {
		change func(l *Loop, a *Attempt, client net.Conn)
		want   SendRefusal
		result decide.Result
	}{
		"nothing": {
			change: func(*Loop, *Attempt, net.Conn) {},
			want:   SendAllowed,
		},
		"answered": {
			change: func(l *Loop, a *Attempt, _ net.Conn) { l.finish(a.Request, Answer{}) },
			want:   RequestAnswered,
			result: decide.NotSent,
		},
		"another response has begun": {
			change: func(_ *Loop, a *Attempt, _ net.Conn) { a.guard.startResponse(1) },
			want:   RequestAnswered,
			result: decide.NotSent,
		},
		"its own response has begun": {
			change: func(_ *Loop, a *Attempt, _ net.Conn) { a.guard.startResponse(0) },
			want:   SendAllowed,
		},
		"timed out": {
			change: func(_ *Loop, a *Attempt, _ net.Conn) { a.cancel(ErrTimedOut) },
			want:   AttemptEnded,
			result: decide.Incomplete,
		},
		"cancelled": {
			change: func(_ *Loop, a *Attempt, _ net.Conn) { a.cancel(ErrCancelled) },
			want:   AttemptEnded,
			result: decide.Cancelled,
		},
		"drains according to the list": {
			change: func(l *Loop, _ *Attempt, _ net.Conn) {
				l.noteServerStates(list(decide.ListDelta, decide.Backend{ID: "s", State: decide.Draining}))
			},
			want:   ServerWithdrawn,
			result: decide.Incomplete,
		},
		"is missing in a complete list": {
			change: func(l *Loop, _ *Attempt, _ net.Conn) { l.noteServerStates(list(decide.ListFull)) },
			want:   ServerWithdrawn,
			result: decide.Incomplete,
		},
		"disabled by an operator": {
			change: func(l *Loop, _ *Attempt, _ net.Conn) { l.disabled.Store(&map[string]bool{"s": true}) },
			want:   ServerWithdrawn,
			result: decide.Incomplete,
		},
		"window closed": {
			change: func(_ *Loop, a *Attempt, _ net.Conn) { a.startBy = time.Now() },
			want:   WindowClosed,
			result: decide.NotSent,
		},
		"window still open": {
			change: func(_ *Loop, a *Attempt, _ net.Conn) { a.startBy = time.Now().Add(time.Minute) },
			want:   SendAllowed,
		},
		"client disconnected": {
			change: func(_ *Loop, _ *Attempt, client net.Conn) {
				testkit.HalfClose(t, client)
				client.Close()
			},
			want:   ClientDisconnected,
			result: decide.NotSent,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSendingLoop(t, classGet, nil)
			defer close(s.results)
			s.noteServerStates(list(decide.ListFull, decide.Backend{ID: "s", State: decide.Up}))
			ln := testkit.Listen(t)
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if s.request.Client, err = ln.Accept(); err != nil {
				t.Fatal(err)
			}
			defer s.request.Client.Close()
			s.send("s")
			a := s.request.attempts[0]
			row.change(s.Loop, a, client)
			got := a.BeginWrite(func() {})
			if got != row.want {
				t.Fatalf("%v, want %v", got, row.want)
			}
			if got == SendAllowed {
				a.EndWrite()
				return
			}
			if result := got.Result(a.Context); result != row.result {
				t.Errorf("result %v, want %v", result, row.result)
			}
			if s.counters.sendRefusals[got].Load() != 1 || len(a.guard.writes) != 0 {
				t.Errorf("counted %d times, %d writes are open", s.counters.sendRefusals[got].Load(), len(a.guard.writes))
			}
		})
	}
}
