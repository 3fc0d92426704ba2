package core

import (
	"context"
	"net"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

// Classes of testkit.Settings, in their order.
const (
	classGet = iota // idempotent
	classPut        // keyed
	classPay        // not idempotent
)

// sendingLoop is a loop that is told what to send by its test, in the module's place, and whose attempts end as told.
type sendingLoop struct {
	*Loop
	results chan decide.Result
	request pendingRequest
}

func newSendingLoop(t *testing.T, class int, change func(*decide.Settings)) *sendingLoop {
	t.Helper()
	cfg := testConfig(t, testkit.Setup{})
	if change != nil {
		change(&cfg.Settings)
	}
	s := &sendingLoop{results: make(chan decide.Result), request: newPendingRequest("r")}
	var err error
	if s.Loop, err = newLoop(cfg, newClock(), endingProtocol{results: s.results}, testkit.Quiet); err != nil {
		t.Fatal(err)
	}
	s.attemptsContext, s.toleratesViolations = context.Background(), true
	s.request.Class, s.request.Deadline = class, time.Now().Add(time.Minute)
	s.handle(requestArrived{s.request.Request})
	return s
}

// endingProtocol's attempts end with what comes on a channel.
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

// endAttempt ends the one attempt that is out.
func (s *sendingLoop) endAttempt(t *testing.T, result decide.Result) {
	t.Helper()
	s.results <- result
	s.handle(testkit.Receive(t, "outcome", s.events))
}

func (s *sendingLoop) violationCount(i Invariant) int64 { return s.counters.violations[i].Load() }

// Whatever the module decides, no attempt begins against the rules on repeats: it is refused, counted, and the module hears
// that it was not sent.
func TestAttemptsThatViolateTheRetryRulesAreRefused(t *testing.T) {
	noCopies := func(s *decide.Settings) { s.Hedging = false }
	shortWindow := func(s *decide.Settings) { s.Classes[classPut].DedupWindow = time.Nanosecond }
	for name, row := range map[string]struct {
		class  int
		change func(*decide.Settings)
		first  []decide.Result // of the attempts before; those that are out at the end have none
		out    bool            // the last one is still out
		want   Invariant
		kept   bool
	}{
		"not idempotent, never ran":          {class: classPay, first: []decide.Result{decide.Incomplete}, kept: true},
		"not idempotent, turned away":        {class: classPay, first: []decide.Result{decide.Rejected}, kept: true},
		"not idempotent, may have run":       {class: classPay, first: []decide.Result{decide.Reset}, want: EffectOnce},
		"not idempotent, timed out":          {class: classPay, first: []decide.Result{decide.TimedOut}, want: EffectOnce},
		"not idempotent, one before may":     {class: classPay, first: []decide.Result{decide.Errored}, want: EffectOnce},
		"not idempotent, one is out":         {class: classPay, out: true, want: OneAttemptOut},
		"idempotent, may have run":           {class: classGet, first: []decide.Result{decide.Reset}, kept: true},
		"idempotent, a second copy":          {class: classGet, out: true, kept: true},
		"second copies are not allowed":      {class: classGet, change: noCopies, out: true, want: OneAttemptOut},
		"keyed, within its window":           {class: classPut, first: []decide.Result{decide.Reset}, kept: true},
		"keyed, past its window":             {class: classPut, change: shortWindow, first: []decide.Result{decide.Reset}, want: DedupWindow},
		"keyed, past it and never ran":       {class: classPut, change: shortWindow, first: []decide.Result{decide.ConnectFailed}, kept: true},
		"all attempts are used up":           {class: classGet, first: []decide.Result{decide.Reset, decide.Reset, decide.Reset}, want: AttemptBound},
		"the last of those that are allowed": {class: classGet, first: []decide.Result{decide.Reset, decide.Reset}, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSendingLoop(t, row.class, row.change)
			defer close(s.results)
			for _, result := range row.first {
				s.send("s")
				s.endAttempt(t, result)
			}
			if row.out {
				s.send("s")
			}
			s.pending = nil
			before := s.totals.attempts.Load()
			s.send("t")
			began := s.totals.attempts.Load() - before
			if row.kept {
				if began != 1 {
					t.Error("an attempt that is allowed did not begin")
				}
				for i := range s.counters.violations {
					if s.violationCount(Invariant(i)) != 0 {
						t.Errorf("%s was counted", Invariant(i))
					}
				}
				return
			}
			if began != 0 || s.violationCount(row.want) != 1 {
				t.Errorf("%d attempts began, %s was counted %d times", began, row.want, s.violationCount(row.want))
			}
			if len(s.pending) != 1 || s.pending[0].(decide.Outcome).Result != decide.NotSent {
				t.Errorf("the module heard %+v", s.pending)
			}
		})
	}
}

// A request has one final answer, whoever gives it first; a second one is counted.
func TestSecondFinalAnswerIsCounted(t *testing.T) {
	s := newSendingLoop(t, classGet, nil)
	s.finish(s.request.Request, Answer{Refused: true})
	s.finish(s.request.Request, Answer{TimedOut: true})
	s.request.Abort()
	if s.violationCount(AnsweredOnce) != 1 || len(s.request.reply) != 1 {
		t.Errorf("counted %d times, %d answers", s.violationCount(AnsweredOnce), len(s.request.reply))
	}
}

// A violation ends a test, and nothing in production.
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

// The send guard, as a table of events: what opens, what is refused, and when the answer is given.
func TestSendGuard(t *testing.T) {
	interrupted := 0
	interrupt := func() { interrupted++ }
	answer := func(n *int) func() { return func() { *n++ } }
	t.Run("an answer waits for open writes", func(t *testing.T) {
		var g sendGuard
		given, over := 0, make(chan struct{})
		interrupted = 0
		if !g.open(0, interrupt) || !g.open(1, interrupt) {
			t.Fatal("a write was refused")
		}
		if !g.finish(over, answer(&given)) || given != 0 || interrupted != 2 {
			t.Errorf("%d answers, %d interrupted", given, interrupted)
		}
		if g.open(2, interrupt) {
			t.Error("a write opened behind the answer")
		}
		if g.end(0); given != 0 {
			t.Error("the answer was given with a write open")
		}
		if g.end(1); given != 1 {
			t.Error("the answer was not given")
		}
		if g.finish(over, answer(&given)) || given != 1 {
			t.Error("there was a second answer")
		}
		if g.end(1) {
			t.Error("a write ended twice")
		}
	})
	t.Run("a streamed answer is the only attempt's", func(t *testing.T) {
		var g sendGuard
		g.open(1, func() { go g.end(1) })
		if !g.startResponse(0) || len(g.writes) > 0 {
			t.Error("an answer streams beside another attempt's write")
		}
		if g.startResponse(1) || !g.startResponse(0) {
			t.Error("not the first attempt's alone")
		}
		if g.open(1, interrupt) || !g.open(0, interrupt) {
			t.Error("another attempt writes beside an answer that streams")
		}
		if !g.anotherResponds(1) || g.anotherResponds(0) {
			t.Error("whose answer it is")
		}
	})
	t.Run("nothing streams behind the answer", func(t *testing.T) {
		var g sendGuard
		given := 0
		g.finish(make(chan struct{}), answer(&given))
		if g.startResponse(0) || given != 1 {
			t.Error("it did")
		}
	})
}

// Right before the first byte of an attempt all is looked at that may have changed since it was decided.
func TestBeginWriteChecksWhatHasChanged(t *testing.T) {
	for name, row := range map[string]struct {
		change func(l *Loop, a *Attempt, client, other net.Conn)
		want   SendRefusal
		result decide.Result
	}{
		"nothing":                {func(*Loop, *Attempt, net.Conn, net.Conn) {}, SendAllowed, 0},
		"answered":               {func(l *Loop, a *Attempt, _, _ net.Conn) { l.finish(a.Request, Answer{}) }, RequestAnswered, decide.NotSent},
		"another answer streams": {func(_ *Loop, a *Attempt, _, _ net.Conn) { a.guard.startResponse(1) }, RequestAnswered, decide.NotSent},
		"its own answer streams": {func(_ *Loop, a *Attempt, _, _ net.Conn) { a.guard.startResponse(0) }, SendAllowed, 0},
		"timed out":              {func(_ *Loop, a *Attempt, _, _ net.Conn) { a.cancel(ErrTimedOut) }, AttemptEnded, decide.Incomplete},
		"cancelled":              {func(_ *Loop, a *Attempt, _, _ net.Conn) { a.cancel(ErrCancelled) }, AttemptEnded, decide.Cancelled},
		"drains by the list": {func(l *Loop, _ *Attempt, _, _ net.Conn) {
			l.noteServerStates(List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "s", State: decide.Draining}}}})
		}, ServerWithdrawn, decide.Incomplete},
		"is missing in a whole list": {func(l *Loop, _ *Attempt, _, _ net.Conn) {
			l.noteServerStates(List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull}})
		}, ServerWithdrawn, decide.Incomplete},
		"taken out by hand": {func(l *Loop, _ *Attempt, _, _ net.Conn) {
			l.disabled.Store(&map[string]bool{"s": true})
		}, ServerWithdrawn, decide.Incomplete},
		"window closed":     {func(_ *Loop, a *Attempt, _, _ net.Conn) { a.startBy = time.Now() }, WindowClosed, decide.NotSent},
		"window still open": {func(_ *Loop, a *Attempt, _, _ net.Conn) { a.startBy = time.Now().Add(time.Minute) }, SendAllowed, 0},
		"client left":       {func(_ *Loop, _ *Attempt, client, _ net.Conn) { testkit.HalfClose(t, client); client.Close() }, ClientDisconnected, decide.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSendingLoop(t, classGet, nil)
			defer close(s.results)
			s.noteServerStates(List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "s", State: decide.Up}}}})
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
			row.change(s.Loop, a, client, s.request.Client)
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
