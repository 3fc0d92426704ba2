package core

import (
	"math/rand/v2"
	"time"
)

const (
	// minShedRetryAfter is the least Retry-After of a request that is shed, and shedRetryAfterJitter what is added at
	// random, so that clients do not all come back at once.
	minShedRetryAfter    = time.Second
	shedRetryAfterJitter = time.Second
)

// admissionBound is until when requests are admitted, and why no longer.
type admissionBound struct {
	until  time.Time
	reason string
}

// AdmitUntil has requests admitted until a moment by the process's own clock, and shed at once from then on, for a
// reason. Requests admitted by then are finished. The zero time: none is admitted. It does not wait.
func (a *Agent) AdmitUntil(until time.Time, reason string) {
	a.loop.admission.Store(&admissionBound{until, reason})
}

// ShortenAdmission has requests admitted no longer than until a moment: an earlier bound stays.
func (a *Agent) ShortenAdmission(until time.Time, reason string) {
	for {
		present := a.loop.admission.Load()
		if present != nil && !present.until.After(until) {
			return
		}
		if a.loop.admission.CompareAndSwap(present, &admissionBound{until, reason}) {
			return
		}
	}
}

// AdmitAlways has requests admitted without end.
func (a *Agent) AdmitAlways() { a.loop.admission.Store(nil) }

// Admits reports whether a request that comes now is admitted by that bound.
func (a *Agent) Admits() bool { return a.loop.admissionClosed() == "" }

// admissionClosed is why a request is not admitted now; empty: it is. The clock is read here, so that a process that was
// paused past the bound notices.
func (l *Loop) admissionClosed() string {
	bound := l.admission.Load()
	if bound == nil || time.Now().Before(bound.until) {
		return ""
	}
	return bound.reason
}

// shed refuses a request that is not admitted. The balancer does not learn of it.
func (l *Loop) shed(r *Request, reason string) {
	l.counts.requests++
	l.totals.requests.Add(1)
	l.counts.refused++
	l.totals.refused.Add(1)
	l.shedCounts[policyPrefix+reason]++
	jitter := time.Duration(rand.Float64() * float64(shedRetryAfterJitter))
	l.reject(r, Answer{Refused: true, Policy: reason, RetryAfter: minShedRetryAfter + jitter})
}

// NarrowDedupWindows has admitted requests retried for no longer than these windows after their first attempt, by class;
// 0: as the agent's own policy says. Another policy with shorter windows has been activated, and servers may follow it.
// It does not wait.
func (a *Agent) NarrowDedupWindows(windows []time.Duration) { a.loop.dedupWindows.Store(&windows) }

// dedupWindowPassed reports whether a request that may have been executed can't be retried by a window that was
// narrowed since.
func (l *Loop) dedupWindowPassed(r *Request) bool {
	windows := l.dedupWindows.Load()
	if windows == nil || r.Class >= len(*windows) || (*windows)[r.Class] == 0 || len(r.attempts) == 0 {
		return false
	}
	return time.Since(r.attempts[0].start) > (*windows)[r.Class]
}
