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

// Invariant is a rule that a guard of the agent enforces, whatever the balancer decides. A violation is prevented where
// possible, counted and logged; in tests it causes a panic.
type Invariant int

// The invariants.
const (
	AnsweredOnce       Invariant = iota // a request has one final answer
	EffectOnce                          // a non-idempotent request is retried only if no attempt can have been executed
	OneAttemptInFlight                  // no two attempts in flight if the request is non-idempotent or hedging is off
	DedupWindow                         // a keyed request is retried only within the deduplication window
	DedupScope                          // a keyed request is retried only within the deduplication scope
	AttemptBound                        // no more attempts are made than the settings allow
	WriteMatched                        // each end of a write belongs to a write that was admitted
	AttemptsClosed                      // no more attempts end than were started
	invariantCount
)

// invariantNames are values of a metric's label.
var invariantNames = [invariantCount]string{
	"answered_once",
	"effect_once",
	"one_attempt_out",
	"keyed_window",
	"keyed_scope",
	"attempt_bound",
	"write_matched",
	"attempts_closed",
}

// String returns the name under which violations are counted.
func (i Invariant) String() string { return invariantNames[i] }

// resultNames are the names of decide.Result, as values of a metric's label.
var resultNames = [...]string{
	"ok",
	"errored",
	"full",
	"timed_out",
	"connect_failed",
	"reset",
	"cancelled",
	"not_sent",
	"broke",
}

// counters count an agent's decisions. Any goroutine may read them.
type counters struct {
	sendRefusals [sendRefusalCount]atomic.Int64
	violations   [invariantCount]atomic.Int64
	endings      [decide.ReasonCount]atomic.Int64 // requests that were refused or failed, by the balancer's reason
	results      [decide.Incomplete + 1]atomic.Int64
	retries      atomic.Int64
}

// Counters are an agent's counts since its start, by name.
type Counters struct {
	SendRefusals map[string]int64 // writes that a send guard refused, by SendRefusal
	Violations   map[string]int64 // violations, by Invariant
	Endings      map[string]int64 // requests refused or failed by the balancer, by reason; without shed requests
	Results      map[string]int64 // ended attempts, by result
	Evictions    map[string]int64 // evicted client connections, by reason
	Retries      int64            // attempts after the first one of their request
}

// Counters returns the present counts. It may be called at any time.
func (a *Agent) Counters() Counters {
	n := &a.loop.counters
	c := Counters{
		SendRefusals: map[string]int64{},
		Violations:   map[string]int64{},
		Endings:      map[string]int64{},
		Results:      map[string]int64{},
		Evictions:    a.limiter.evictionCounts(),
		Retries:      n.retries.Load(),
	}
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

// violated counts and logs a violation, and panics in tests.
func (l *Loop) violated(i Invariant, request string, attempt int, server, reason string) {
	l.counters.violations[i].Add(1)
	l.log.Error("invariant violated",
		"invariant", i.String(), "request", request, "attempt", attempt, "endpoint", server, "reason", reason)
	if testing.Testing() && !l.toleratesViolations {
		panic(fmt.Sprintf("invariant %s: request %s attempt %d at %s: %s", i, request, attempt, server, reason))
	}
}

// mayStart reports whether another attempt of a request obeys the rules on repeated execution, whatever the balancer
// has decided. It checks the outcomes of the earlier attempts, not the balancer's state. If it reports false, it has
// counted a violation.
func (l *Loop) mayStart(r *Request, send decide.Send) bool {
	settings := &l.cfg.Settings
	if settings.MaxAttempts > 0 && len(r.attempts) >= settings.MaxAttempts {
		reason := fmt.Sprintf("%d attempts are allowed", settings.MaxAttempts)
		l.violated(AttemptBound, r.ID, len(r.attempts), send.Backend, reason)
		return false
	}
	class := &settings.Classes[r.Class]
	for _, earlier := range r.attempts {
		if invariant, reason := earlier.forbidsRetry(class, settings.Hedging, send); reason != "" {
			l.violated(invariant, r.ID, len(r.attempts), send.Backend, reason)
			return false
		}
	}
	return true
}

// forbidsRetry returns the invariant that a further attempt, during or after this one, would violate, and the reason.
// If the reason is empty, it would violate none.
func (a *Attempt) forbidsRetry(class *decide.Class, hedging bool, retry decide.Send) (Invariant, string) {
	switch {
	case !a.hasResult && (class.Effect == decide.NonIdempotent || !hedging):
		return OneAttemptInFlight, fmt.Sprintf("attempt %d at %s is still in flight", a.N, a.Server)
	case a.hasResult && a.result.NeverRan(), class.Effect == decide.Idempotent:
		return 0, ""
	case class.Effect == decide.NonIdempotent:
		return EffectOnce, fmt.Sprintf("attempt %d at %s may have been executed: %s",
			a.N, a.Server, resultNames[a.result])
	case time.Since(a.start) > class.DedupWindow:
		return DedupWindow, fmt.Sprintf("attempt %d at %s may have been executed %v ago, past its window of %v",
			a.N, a.Server, time.Since(a.start), class.DedupWindow)
	case !a.sharesDedupScope(class.Scope, retry):
		return DedupScope, fmt.Sprintf("attempt %d at %s (zone %d, cell %d) may have been executed, and zone %d, cell %d may not have its key",
			a.N, a.Server, a.zone, a.cell, retry.Zone, retry.Cell)
	}
	return 0, ""
}

// sharesDedupScope reports whether the servers of the attempt and of a retry are known to drop each other's repeats.
func (a *Attempt) sharesDedupScope(scope decide.DedupScope, retry decide.Send) bool {
	isShared := func(own, other int) bool {
		return own == other && (own != decide.Unknown || a.Server == retry.Backend)
	}
	switch scope {
	case decide.ScopeZone:
		return isShared(a.zone, retry.Zone)
	case decide.ScopeCell:
		return isShared(a.cell, retry.Cell)
	}
	return true
}

// logStart logs the start of an attempt, with what decides whether its server drops a repeat.
func (l *Loop) logStart(a *Attempt) {
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("attempt started", "request", a.ID, "attempt", a.N, "endpoint", a.Server,
			"zone", a.zone, "cell", a.cell)
	}
}

// noteResult stores, counts and logs an attempt's result.
func (l *Loop) noteResult(a *Attempt, result decide.Result) {
	a.hasResult = true
	a.result = result
	l.counters.results[result].Add(1)
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("attempt ended", "request", a.ID, "attempt", a.N, "endpoint", a.Server,
			"result", resultNames[result], "after", time.Since(a.start), "error", a.failure)
	}
}

// noteEnding counts and logs the reason for which the balancer refused or failed a request.
func (l *Loop) noteEnding(r *Request, answer string, reason decide.Reason) {
	l.counters.endings[reason].Add(1)
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("request ended", "request", r.ID, "answer", answer, "reason", reason.String(),
			"attempts", len(r.attempts))
	}
}
