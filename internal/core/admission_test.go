package core

import (
	"log/slog"
	"testing"
	"time"

	"vetchhaven/decide"
)

// newBareLoop returns a loop without a balancer.
func newBareLoop() *Loop {
	return &Loop{
		cfg:        &Config{},
		clock:      newClock(),
		log:        slog.New(slog.DiscardHandler),
		requests:   map[string]*Request{},
		shedCounts: map[string]int{},
		recent:     newRecentIDs(time.Second),
		ids:        newTestIDs(idTableWords),
	}
}

// The clock must be read when a request arrives, and not when the bound is set: an agent that was paused past the bound
// must not admit a request.
func TestNoRequestIsAdmittedPastTheBound(t *testing.T) {
	l := newBareLoop()
	a := &Agent{loop: l}
	arrive := func(id string) (answer Answer, admitted bool) {
		l.handle(requestArrived{NewRequest(id, 0, func(a Answer) { answer = a })})
		return answer, l.requests[id] != nil
	}
	if _, admitted := arrive("a"); !admitted {
		t.Error("not admitted without a bound")
	}
	a.AdmitUntil(time.Now().Add(time.Hour), "no lease")
	if _, admitted := arrive("b"); !admitted {
		t.Error("not admitted before the bound")
	}
	a.AdmitUntil(time.Now().Add(-time.Millisecond), "no lease")
	answer, admitted := arrive("c")
	if admitted || !answer.Refused || answer.Policy != "no lease" || answer.RetryAfter < time.Second || len(l.pending) != 2 {
		t.Errorf("%+v, admitted %v, %d events for the balancer", answer, admitted, len(l.pending))
	}
	if l.requests["a"].done || l.requests["b"].done {
		t.Error("requests that were admitted before the bound have ended")
	}
	a.AdmitAlways()
	if _, admitted := arrive("d"); !admitted {
		t.Error("not admitted after the bound was removed")
	}
	if refused, requests := l.totals.refused.Load(), l.totals.requests.Load(); refused != 1 || requests != 4 {
		t.Errorf("%d refused of %d", refused, requests)
	}
}

// A request in flight may be retried only within the shorter of two windows: that of the agent's own policy, and the
// one that was set by NarrowDedupWindows.
func TestRetriesFollowTheShorterDedupWindow(t *testing.T) {
	l := newBareLoop()
	a := &Agent{loop: l}
	r := NewRequest("r", 1, func(Answer) {})
	r.Deadline = time.Now().Add(time.Minute)
	r.attempts = []*Attempt{{Request: r, start: time.Now().Add(-3 * time.Second), cancel: func(error) {}}}
	l.requests["r"] = r
	for _, c := range []struct {
		name    string
		windows []time.Duration // by class; the request is of class 1
		passed  bool
	}{
		{"no windows", nil, false},
		{"longer than its age", []time.Duration{0, 4 * time.Second}, false},
		{"shorter than its age", []time.Duration{0, 2 * time.Second}, true},
		{"only for another class", []time.Duration{time.Second, 0}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.windows != nil {
				a.NarrowDedupWindows(c.windows)
			}
			if got := l.dedupWindowPassed(r); got != c.passed {
				t.Errorf("passed: %v", got)
			}
		})
	}
	a.NarrowDedupWindows([]time.Duration{0, 2 * time.Second})
	l.startAttempt(decide.Send{Request: "r", Backend: "s"})
	outcome, ok := l.pending[0].(decide.Outcome)
	if !ok || outcome.Result != decide.NotSent || outcome.Attempt != 1 || len(r.attempts) != 2 {
		t.Errorf("events for the balancer %+v", l.pending)
	}
}
