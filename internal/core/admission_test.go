package core

import (
	"log/slog"
	"testing"
	"time"

	"vetchhaven/decide"
)

func newBareLoop() *Loop {
	return &Loop{cfg: &Config{}, clock: newClock(), log: slog.New(slog.DiscardHandler), requests: map[string]*Request{}, shedCounts: map[string]int{}, recent: newRecentIDs(time.Second)}
}

// The clock is looked at as a request is taken, not as the lease came: one that was stopped past it takes nothing.
func TestNoRequestIsAdmittedPastTheBound(t *testing.T) {
	l := newBareLoop()
	a := &Agent{loop: l}
	take := func(id string) (got Answer, taken bool) {
		l.handle(requestArrived{NewRequest(id, 0, func(x Answer) { got = x })})
		return got, l.requests[id] != nil
	}
	if _, taken := take("a"); !taken {
		t.Error("without a bound it is not taken")
	}
	a.AdmitUntil(time.Now().Add(time.Hour), "no lease")
	if _, taken := take("b"); !taken {
		t.Error("within the lease it is not taken")
	}
	a.AdmitUntil(time.Now().Add(-time.Millisecond), "no lease")
	got, taken := take("c")
	if taken || !got.Refused || got.Policy != "no lease" || got.RetryAfter < time.Second || len(l.pending) != 2 {
		t.Errorf("%+v, taken %v, %d events for the module", got, taken, len(l.pending))
	}
	if l.requests["a"].done || l.requests["b"].done {
		t.Error("what was taken before is not finished")
	}
	a.AdmitAlways()
	if _, taken := take("d"); !taken {
		t.Error("freed, and it is not taken")
	}
	if l.totals.refused.Load() != 1 || l.totals.requests.Load() != 4 {
		t.Errorf("%d refused of %d", l.totals.refused.Load(), l.totals.requests.Load())
	}
}

// A request under way is repeated by the shorter window of its own policy and the one that came since.
func TestRetriesFollowTheShorterDedupWindow(t *testing.T) {
	l := newBareLoop()
	a := &Agent{loop: l}
	r := NewRequest("r", 1, func(Answer) {})
	r.Deadline = time.Now().Add(time.Minute)
	r.attempts = []*Attempt{{Request: r, start: time.Now().Add(-3 * time.Second), cancel: func(error) {}}}
	l.requests["r"] = r
	for _, c := range []struct {
		windows []time.Duration
		narrow  bool
	}{{nil, false}, {[]time.Duration{0, 4 * time.Second}, false}, {[]time.Duration{0, 2 * time.Second}, true}, {[]time.Duration{time.Second, 0}, false}} {
		if c.windows != nil {
			a.NarrowDedupWindows(c.windows)
		}
		if got := l.dedupWindowPassed(r); got != c.narrow {
			t.Errorf("%v: %v", c.windows, got)
		}
	}
	a.NarrowDedupWindows([]time.Duration{0, 2 * time.Second})
	l.startAttempt(decide.Send{Request: "r", Backend: "s"})
	if o, ok := l.pending[0].(decide.Outcome); !ok || o.Result != decide.NotSent || o.Attempt != 1 || len(r.attempts) != 2 {
		t.Errorf("%+v", l.pending)
	}
}
