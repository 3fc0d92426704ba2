package core

import (
	"math/rand/v2"
	"time"
)

const (
	// minShedRetryAfter is the minimum Retry-After of a request that is shed. A random time of up to
	// shedRetryAfterJitter is added, so that clients do not all retry at once.
	minShedRetryAfter    = time.Second
	shedRetryAfterJitter = time.Second
)

// admissionBound is the time until which requests are admitted, and the reason why none is admitted after it.
type admissionBound struct {
	until  time.Time
	reason string
}

// AdmitUntil makes the agent admit requests until a time by the process's own clock, and shed later requests at once,
// with the given reason. Requests that were admitted before that time are completed. With the zero time no request is
// admitted. AdmitUntil does not block.
func (a *Agent) AdmitUntil(until time.Time, reason string) {
	a.loop.admission.Store(&admissionBound{until, reason})
}

// ShortenAdmission is AdmitUntil, except that an earlier bound remains in force.
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

// AdmitAlways removes the bound: requests are admitted without a time limit.
func (a *Agent) AdmitAlways() { a.loop.admission.Store(nil) }

// Admits reports whether the admission bound would admit a request that arrives now.
func (a *Agent) Admits() bool { return a.loop.admissionClosed() == "" }

// admissionClosed returns why a request is not admitted now; empty: it is admitted. It reads the clock, so that the
// bound is also observed after a pause of the process.
func (l *Loop) admissionClosed() string {
	bound := l.admission.Load()
	if bound == nil || time.Now().Before(bound.until) {
		return ""
	}
	return bound.reason
}

// shed refuses a request that is not admitted. The request is not passed to the balancer.
func (l *Loop) shed(r *Request, reason string) {
	l.counts.requests++
	l.totals.requests.Add(1)
	l.counts.refused++
	l.totals.refused.Add(1)
	l.shedCounts[policyPrefix+reason]++
	jitter := time.Duration(rand.Float64() * float64(shedRetryAfterJitter))
	l.reject(r, Answer{Refused: true, Policy: reason, RetryAfter: minShedRetryAfter + jitter})
}

// NarrowDedupWindows bounds, by class, the time after their first attempt in which admitted requests are retried; 0:
// only the agent's own policy applies. It is called when another policy with shorter windows has been activated,
// because servers may already apply that policy. It does not block.
func (a *Agent) NarrowDedupWindows(windows []time.Duration) { a.loop.dedupWindows.Store(&windows) }

// dedupWindowPassed reports whether a request with an earlier attempt must not be retried any more because of
// NarrowDedupWindows.
func (l *Loop) dedupWindowPassed(r *Request) bool {
	windows := l.dedupWindows.Load()
	if windows == nil || r.Class >= len(*windows) || (*windows)[r.Class] == 0 || len(r.attempts) == 0 {
		return false
	}
	return time.Since(r.attempts[0].start) > (*windows)[r.Class]
}
