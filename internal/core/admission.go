package core

import (
	"math/rand/v2"
	"time"
)

// admissionBound is until when requests are taken, and why no longer.
type admissionBound struct {
	until  time.Time
	reason string
}

// AdmitUntil has requests taken until a moment by the process's own clock, and turned away at once from then on, with why.
// What was taken by then is finished. The zero time: none is taken. AdmitAlways takes the bound away. None of these waits.
func (a *Agent) AdmitUntil(until time.Time, why string) {
	a.loop.admission.Store(&admissionBound{until, why})
}

// ShortenAdmission has requests taken no longer than until a moment: one that was told to end sooner, or takes none by now, stays so.
func (a *Agent) ShortenAdmission(until time.Time, why string) {
	for {
		h := a.loop.admission.Load()
		if h != nil && !h.until.After(until) || a.loop.admission.CompareAndSwap(h, &admissionBound{until, why}) {
			return
		}
	}
}

// AdmitAlways has requests taken without end.
func (a *Agent) AdmitAlways() { a.loop.admission.Store(nil) }

// Admits reports whether a request that comes now is taken, as far as that bound goes.
func (a *Agent) Admits() bool { return a.loop.admissionClosed() == "" }

// admissionClosed is why a request that is there now is not taken; empty: it is. The clock is looked at as it is taken: a process
// that was stopped past the moment finds out here.
func (l *Loop) admissionClosed() string {
	h := l.admission.Load()
	if h == nil || time.Now().Before(h.until) {
		return ""
	}
	return h.reason
}

// shed refuses a request that is not taken. The module never hears of it.
func (l *Loop) shed(r *Request, why string) {
	l.counts.requests++
	l.totals.requests.Add(1)
	l.counts.refused++
	l.totals.refused.Add(1)
	l.shedCounts["policy: "+why]++
	// Spread, so that all do not come back at once.
	l.reject(r, Answer{Refused: true, Policy: why, RetryAfter: time.Second + time.Duration(rand.Float64()*float64(time.Second))})
}

// NarrowDedupWindows has what was taken already repeated for no longer than these windows after its first attempt, by class; 0: as
// its own policy says. Another policy with a shorter window has come into force, and servers may go by it.
func (a *Agent) NarrowDedupWindows(windows []time.Duration) { a.loop.dedupWindows.Store(&windows) }

// dedupWindowPassed reports whether a request that may have run can't be sent again by a window that came later.
func (l *Loop) dedupWindowPassed(r *Request) bool {
	w := l.dedupWindows.Load()
	if w == nil || r.Class >= len(*w) || (*w)[r.Class] == 0 || len(r.attempts) == 0 {
		return false
	}
	return time.Since(r.attempts[0].start) > (*w)[r.Class]
}
