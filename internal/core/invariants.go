package core

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/decide"
)

// Invariant is what a guard of the agent holds whatever the module decides. A violation is refused where it can be, counted
// and logged, and panics in tests.
type Invariant int

// The invariants.
const (
	AnsweredOnce   Invariant = iota // a request has one final answer
	EffectOnce                      // one that may not be repeated is sent again only where no attempt can have run
	OneAttemptOut                   // ... and never has two attempts out; nor has any, where second copies are not allowed
	DedupWindow                     // a keyed one is sent again only while its first attempt is remembered
	AttemptBound                    // no more attempts are made than the settings allow
	WriteMatched                    // each end of a write belongs to one that was admitted
	AttemptsClosed                  // no more attempts end than were begun
	invariantCount
)

var invariantNames = [invariantCount]string{"answered_once", "effect_once", "one_attempt_out", "keyed_window", "attempt_bound", "write_matched", "attempts_closed"}

// String is the name under which violations are counted.
func (i Invariant) String() string { return invariantNames[i] }

// counters are what an agent counts of its decisions, for others to read.
type counters struct {
	sendRefusals [sendRefusalCount]atomic.Int64
	violations   [invariantCount]atomic.Int64
	endings      [decide.ReasonCount]atomic.Int64 // of requests that were refused or failed, by the module's reason
	results      [decide.Incomplete + 1]atomic.Int64
	retries      atomic.Int64
}

// Counters are what an agent counted since its start, by the name of each case.
type Counters struct {
	SendRefusals map[string]int64 // writes that a send guard did not admit
	Violations   map[string]int64 // of invariants
	Endings      map[string]int64 // requests refused or failed by the module, by its reason
	Results      map[string]int64 // ends of attempts
	Closes       map[string]int64 // clients' connections that were asked to end, by why
	Retries      int64            // attempts after a request's first
}

// resultNames name the ends of attempts.
var resultNames = [...]string{"ok", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "not_sent", "broke"}

// Counters tells them. It may be called at any time.
func (a *Agent) Counters() Counters {
	n := &a.loop.counters
	c := Counters{map[string]int64{}, map[string]int64{}, map[string]int64{}, map[string]int64{}, a.limiter.evictionCounts(), n.retries.Load()}
	for i := range n.sendRefusals {
		if SendRefusal(i) != SendAllowed {
			c.SendRefusals[SendRefusal(i).String()] = n.sendRefusals[i].Load()
		}
	}
	for i := range n.violations {
		c.Violations[Invariant(i).String()] = n.violations[i].Load()
	}
	for i := range n.endings {
		c.Endings[decide.Reason(i).String()] = n.endings[i].Load()
	}
	for i := range n.results {
		c.Results[resultNames[i]] = n.results[i].Load()
	}
	return c
}

// violated counts and logs a violation. Tests end by it.
func (l *Loop) violated(i Invariant, request string, attempt int, server, reason string) {
	l.counters.violations[i].Add(1)
	l.log.Error("invariant violated", "invariant", i.String(), "request", request, "attempt", attempt, "endpoint", server, "reason", reason)
	if testing.Testing() && !l.toleratesViolations {
		panic(fmt.Sprintf("invariant %s: request %s attempt %d at %s: %s", i, request, attempt, server, reason))
	}
}

// mayStart holds a further attempt to the rules on repeats, whatever the module has decided: it sees what became of the
// attempts before, and nothing of the module's books.
func (l *Loop) mayStart(r *Request, server string) bool {
	s := l.cfg.Settings
	class := &s.Classes[r.Class]
	refuse := func(i Invariant, reason string) bool {
		l.violated(i, r.ID, len(r.attempts), server, reason)
		return false
	}
	if len(r.attempts) >= s.MaxAttempts && s.MaxAttempts > 0 {
		return refuse(AttemptBound, fmt.Sprintf("%d attempts are allowed", s.MaxAttempts))
	}
	for _, t := range r.attempts {
		switch {
		case !t.ended && (class.Effect == decide.NonIdempotent || !s.Hedging):
			return refuse(OneAttemptOut, fmt.Sprintf("attempt %d at %s is still out", t.N, t.Server))
		case t.ended && t.result.NeverRan(), class.Effect == decide.Idempotent:
		case class.Effect == decide.NonIdempotent:
			return refuse(EffectOnce, fmt.Sprintf("attempt %d at %s may have run: %s", t.N, t.Server, resultNames[t.result]))
		case time.Since(t.start) > class.DedupWindow:
			return refuse(DedupWindow, fmt.Sprintf("attempt %d at %s may have run %v ago, %v are remembered", t.N, t.Server, time.Since(t.start), class.DedupWindow))
		}
	}
	return true
}

// noteResult notes what became of an attempt.
func (l *Loop) noteResult(t *Attempt, result decide.Result) {
	t.ended, t.result = true, result
	l.counters.results[result].Add(1)
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("attempt ended", "request", t.ID, "attempt", t.N, "endpoint", t.Server, "result", resultNames[result], "after", time.Since(t.start))
	}
}

// requestEnded notes why the module gave a request an answer that is no success.
func (l *Loop) requestEnded(r *Request, kind string, why decide.Reason) {
	l.counters.endings[why].Add(1)
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("request ended", "request", r.ID, "answer", kind, "reason", why.String(), "attempts", len(r.attempts))
	}
}
