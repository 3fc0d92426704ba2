package decide_test

import (
	"fmt"
	"time"

	"vetchhaven/decide"
)

// ruleChecker checks the four rules of the platform (see the package comment of decide). It uses only the events that
// the balancer has received and the actions that it has returned, and no model of a backend.
type ruleChecker struct {
	s          decide.Settings
	now        time.Duration
	requests   map[string]*checkedRequest
	backends   map[string]*checkedBackend
	listCount  int // lists received
	disabled   map[string]bool
	enabledAt  map[string]time.Duration // when an operator last enabled the backend again
	violations []string
}

type checkedRequest struct {
	class           decide.Class
	deadline        time.Duration
	sends           []checkedAttempt
	ended           bool
	uploading       bool          // its last byte has not been sent yet, so that no deadline applies
	notReplayable   bool          // the part of it that was sent can't be sent again
	cancelledAt     time.Duration // when the client disconnected; an answer in the same step is allowed
	responseStarted bool
}

type checkedAttempt struct {
	backend    string
	listed     decide.Backend // as listed when it was sent
	listCount  int            // lists received when it was sent
	at         time.Duration
	open       bool
	mayHaveRun bool
}

type checkedBackend struct {
	decide.Backend
	withdrawnAt time.Duration // when it was reported as draining or removed
	started     time.Duration // the start that was last reported; 0: warm
	sends       []time.Duration
	zoneSetAt   int // number of the list that first contained it or last changed its zone
	cellSetAt   int // number of the list that first contained it or last changed its cell
}

func newRuleChecker(s decide.Settings) *ruleChecker {
	return &ruleChecker{s: s, disabled: map[string]bool{}, enabledAt: map[string]time.Duration{}, requests: map[string]*checkedRequest{}, backends: map[string]*checkedBackend{}}
}

func (a *ruleChecker) report(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

func (a *ruleChecker) event(e decide.Event) {
	switch e := e.(type) {
	case decide.Request:
		if e.Class >= 0 && e.Class < len(a.s.Classes) && a.requests[e.ID] == nil {
			a.requests[e.ID] = &checkedRequest{class: a.s.Classes[e.Class], deadline: a.now + e.Remaining, uploading: e.Upload}
		}
	case decide.Outcome:
		r := a.requests[e.Request]
		if r == nil || e.Attempt < 0 || e.Attempt >= len(r.sends) || !r.sends[e.Attempt].open {
			return
		}
		r.sends[e.Attempt].open = false
		r.notReplayable = r.notReplayable || e.NotReplayable
		r.sends[e.Attempt].mayHaveRun = !e.Result.NeverRan()
		r.ended = r.ended || e.Answered
	case decide.UploadCompleted:
		if r := a.requests[e.Request]; r != nil && r.uploading && e.Attempt < len(r.sends) && r.sends[e.Attempt].open {
			r.uploading, r.deadline, r.sends[e.Attempt].at = false, a.now+e.Remaining, a.now
		}
	case decide.ResponseStarted:
		if r := a.requests[e.Request]; r != nil {
			r.responseStarted = true
		}
	case decide.RequestCancelled:
		if r := a.requests[e.Request]; r != nil && !r.ended {
			r.ended, r.cancelledAt = true, a.now
		}
	case decide.BackendDisabled:
		if a.disabled[e.Backend] && !e.Disabled {
			a.enabledAt[e.Backend] = a.now
			if b := a.backends[e.Backend]; b != nil {
				b.started, b.sends = a.now, nil
			}
		}
		a.disabled[e.Backend] = e.Disabled
	case decide.ListUpdate:
		if e.Kind == decide.ListFailed {
			return
		}
		a.listCount++
		listed := map[string]bool{}
		for _, n := range e.Backends {
			listed[n.ID] = true
			b := a.backends[n.ID]
			if b == nil {
				b = &checkedBackend{zoneSetAt: a.listCount, cellSetAt: a.listCount, started: a.enabledAt[n.ID]}
				a.backends[n.ID] = b
			}
			if b.Zone != n.Zone {
				b.zoneSetAt = a.listCount
			}
			if b.Cell != n.Cell {
				b.cellSetAt = a.listCount
			}
			if n.Started > b.Started {
				b.started, b.sends = max(n.Started, b.started), nil
			}
			if n.State == decide.Up {
				b.withdrawnAt = 0
			} else if b.Backend.State == decide.Up || b.withdrawnAt == 0 {
				b.withdrawnAt = a.now
			}
			b.Backend = n
		}
		if e.Kind != decide.ListDelta {
			for id, b := range a.backends {
				if !listed[id] && b.withdrawnAt == 0 {
					b.withdrawnAt = a.now
					b.State = decide.Removed
				}
			}
		}
	}
}

func (a *ruleChecker) action(act decide.Action) {
	switch act := act.(type) {
	case decide.Send:
		a.send(act)
	case decide.Refuse:
		r := a.final(act.Request)
		if r == nil {
			return
		}
		for _, s := range r.sends {
			repeatable := r.class.Effect == decide.Idempotent ||
				r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeAll
			if (s.mayHaveRun || s.open) && !repeatable {
				a.report("%s refused though an attempt may have run", act.Request)
			}
		}
	case decide.Fail:
		a.final(act.Request)
	case decide.SetTimer:
		if act.After < 0 {
			a.report("a timer in the past: %v", act.After)
		}
	case decide.SendToPeer:
		if !a.s.Peers || len(act.Data) > 256 || act.To < 0 || act.To >= a.s.Balancers || act.To == a.s.Self {
			a.report("forbidden message of %d bytes to peer %d", len(act.Data), act.To)
		}
	}
}

func (a *ruleChecker) final(id string) *checkedRequest {
	r := a.requests[id]
	switch {
	case r == nil:
		a.report("answer to the unknown request %s", id)
		return nil
	case r.ended && r.cancelledAt != a.now:
		a.report("%s answered twice", id)
	case a.now > r.deadline+a.s.AnswerGrace && !r.responseStarted && !r.uploading:
		a.report("%s answered late", id)
	}
	r.ended, r.cancelledAt = true, 0
	return r
}

func (a *ruleChecker) send(act decide.Send) {
	r, b := a.requests[act.Request], a.backends[act.Backend]
	if r == nil || b == nil {
		a.report("send of %q to %q, one of which is unknown", act.Request, act.Backend)
		return
	}
	if r.ended && r.cancelledAt != a.now {
		a.report("%s sent after its final answer", act.Request)
	}
	if r.notReplayable || r.responseStarted {
		a.report("%s sent again, though it is not replayable or its response has started", act.Request)
	}
	if len(r.sends) >= max(1, a.s.MaxAttempts) {
		a.report("%s sent past the attempt limit", act.Request)
	}
	if a.disabled[act.Backend] {
		a.report("%s sent to %s, which an operator has disabled", act.Request, act.Backend)
	}
	if b.withdrawnAt > 0 && a.now > b.withdrawnAt+a.s.DrainGrace {
		a.report("%s sent to %s, which has been draining or removed for %v", act.Request, act.Backend, a.now-b.withdrawnAt)
	}
	var firstMayHaveRun *checkedAttempt
	for i := range r.sends {
		s := &r.sends[i]
		if s.open && !a.s.Hedging {
			a.report("%s has two open attempts", act.Request)
		}
		if firstMayHaveRun == nil && (s.open || s.mayHaveRun) {
			firstMayHaveRun = s
		}
	}
	if firstMayHaveRun != nil {
		from := firstMayHaveRun.listed // the entry at the time of that attempt: a later list may have changed it
		switch {
		case r.class.Effect == decide.NonIdempotent:
			a.report("%s is non-idempotent and may have run, but is sent again", act.Request)
		case r.class.Effect == decide.Keyed && a.now-firstMayHaveRun.at > r.class.DedupWindow:
			a.report("%s sent again after its deduplication window", act.Request)
		case r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeZone && from.Zone != b.Zone,
			r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeCell && from.Cell != b.Cell:
			a.report("%s sent again outside its deduplication scope", act.Request)
		case r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeZone && from.Zone == decide.Unknown && act.Backend != from.ID,
			r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeCell && from.Cell == decide.Unknown && act.Backend != from.ID:
			a.report("%s sent again to %s, which is not known to be in its deduplication scope", act.Request, act.Backend)
		case r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeZone && b.zoneSetAt > firstMayHaveRun.listCount,
			r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeCell && b.cellSetAt > firstMayHaveRun.listCount:
			a.report("%s sent again to %s, which has joined the deduplication scope since", act.Request, act.Backend)
		}
	}
	r.sends = append(r.sends, checkedAttempt{backend: act.Backend, listed: b.Backend, listCount: a.listCount, at: a.now, open: true})
	b.sends = append(b.sends, a.now)
	a.checkSlowStart(b)
}

// checkSlowStart checks the load that this agent sends to a backend in slow start. The capacity of backends is unknown.
// The number of attempts that the busiest warm backend got in three times the overload window is an upper bound of the
// rate that the balancer may have measured. A backend in slow start may get that number, times its capacity share,
// times the overload multiple, plus a few light requests, within one overload window.
func (a *ruleChecker) checkSlowStart(b *checkedBackend) {
	if b.started == 0 || a.now-b.started >= a.s.SlowStartTime || a.s.SlowStartTime == 0 {
		return
	}
	span := max(a.s.OverloadWindow, 1)
	count := func(b *checkedBackend, span time.Duration) (n int) {
		for _, at := range b.sends {
			if a.now-at < span {
				n++
			}
		}
		return n
	}
	most, up := 0, false
	for _, o := range a.backends {
		if o != b && (o.started == 0 || a.now-o.started >= a.s.SlowStartTime) {
			most = max(most, count(o, 3*span))
			up = up || o.withdrawnAt == 0 && !a.disabled[o.ID]
		}
	}
	if most == 0 { // no attempt was measured: use the lowest in-flight limit per backend
		most = 4
	}
	if !up { // all agents together may send the lowest limit of 4 in each mean latency of 100 ms
		most = max(most, int(4*span/(100*ms))/a.s.Balancers)
	}
	capacityShare := a.s.SlowStartShare + (1-a.s.SlowStartShare)*max(0, float64(a.now-b.started)/float64(a.s.SlowStartTime))
	if got := count(b, span); float64(got) > a.s.OverloadMultiple*capacityShare*float64(most)+3 {
		a.report("%s is in slow start (%v) and got %d sends in %v, the busiest warm backend %d in three times that",
			b.ID, a.now-b.started, got, span, most)
	}
}

// checkUnanswered checks that no accepted request is still unanswered after its deadline.
func (a *ruleChecker) checkUnanswered() {
	for id, r := range a.requests {
		if !r.ended && !r.responseStarted && !(r.uploading && len(r.sends) > 0) && a.now > r.deadline+a.s.AnswerGrace {
			a.report("%s got no answer in time", id)
			r.ended = true
		}
	}
}
