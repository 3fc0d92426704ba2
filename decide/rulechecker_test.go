package decide_test

import (
	"fmt"
	"time"

	"vetchhaven/decide"
)

// auditor checks the four rules from events and actions alone. It models no
// backend: it only remembers what the balancer was notified and what it did.
type auditor struct {
	s        decide.Settings
	now      time.Duration
	requests map[string]*audited
	backends map[string]*auditedBackend
	lists    int // taken
	banned   map[string]bool
	lifted   map[string]time.Duration // when a ban last ended
	faults   []string
}

type audited struct {
	class    decide.Class
	deadline time.Duration
	sends    []auditedSend
	ended    bool
	upload   bool          // its last byte is still to come: it has all the time
	spent    bool          // can't be sent again
	left     time.Duration // when the client was notified to have left; answers of that step do no harm
	stream   bool
}

type auditedSend struct {
	backend string
	told    decide.Backend // what the list said of it then
	order   int            // lists taken by then
	at      time.Duration
	out     bool
	risky   bool // may have run
}

type auditedBackend struct {
	decide.Backend
	offAt   time.Duration // when it was notified to drain or to be gone
	started time.Duration // when it was notified to have started; 0: warm
	sends   []time.Duration
	zoned   int // the list that last changed its zone, or brought it
	celled  int // the same of its cell
}

func newAuditor(s decide.Settings) *auditor {
	return &auditor{s: s, banned: map[string]bool{}, lifted: map[string]time.Duration{}, requests: map[string]*audited{}, backends: map[string]*auditedBackend{}}
}

func (a *auditor) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

func (a *auditor) event(e decide.Event) {
	switch e := e.(type) {
	case decide.Request:
		if e.Class >= 0 && e.Class < len(a.s.Classes) && a.requests[e.ID] == nil {
			a.requests[e.ID] = &audited{class: a.s.Classes[e.Class], deadline: a.now + e.Remaining, upload: e.Upload}
		}
	case decide.Outcome:
		r := a.requests[e.Request]
		if r == nil || e.Attempt < 0 || e.Attempt >= len(r.sends) || !r.sends[e.Attempt].out {
			return
		}
		r.sends[e.Attempt].out = false
		r.spent = r.spent || e.NotReplayable
		r.sends[e.Attempt].risky = !e.Result.NeverRan()
		r.ended = r.ended || e.Answered
	case decide.UploadCompleted:
		if r := a.requests[e.Request]; r != nil && r.upload && e.Attempt < len(r.sends) && r.sends[e.Attempt].out {
			r.upload, r.deadline, r.sends[e.Attempt].at = false, a.now+e.Remaining, a.now
		}
	case decide.ResponseStarted:
		if r := a.requests[e.Request]; r != nil {
			r.stream = true
		}
	case decide.RequestCancelled:
		if r := a.requests[e.Request]; r != nil && !r.ended {
			r.ended, r.left = true, a.now
		}
	case decide.BackendDisabled:
		if a.banned[e.Backend] && !e.Disabled {
			a.lifted[e.Backend] = a.now
			if b := a.backends[e.Backend]; b != nil {
				b.started, b.sends = a.now, nil
			}
		}
		a.banned[e.Backend] = e.Disabled
	case decide.ListUpdate:
		if e.Kind == decide.ListFailed {
			return
		}
		a.lists++
		listed := map[string]bool{}
		for _, n := range e.Backends {
			listed[n.ID] = true
			b := a.backends[n.ID]
			if b == nil {
				b = &auditedBackend{zoned: a.lists, celled: a.lists, started: a.lifted[n.ID]}
				a.backends[n.ID] = b
			}
			if b.Zone != n.Zone {
				b.zoned = a.lists
			}
			if b.Cell != n.Cell {
				b.celled = a.lists
			}
			if n.Started > b.Started {
				b.started, b.sends = max(n.Started, b.started), nil
			}
			if n.State == decide.Up {
				b.offAt = 0
			} else if b.Backend.State == decide.Up || b.offAt == 0 {
				b.offAt = a.now
			}
			b.Backend = n
		}
		if e.Kind != decide.ListDelta {
			for id, b := range a.backends {
				if !listed[id] && b.offAt == 0 {
					b.offAt = a.now
					b.State = decide.Removed
				}
			}
		}
	}
}

func (a *auditor) action(act decide.Action) {
	switch act := act.(type) {
	case decide.Send:
		a.send(act)
	case decide.Refuse:
		r := a.final(act.Request)
		if r == nil {
			return
		}
		for _, s := range r.sends {
			free := r.class.Effect == decide.Idempotent ||
				r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeAll
			if (s.risky || s.out) && !free {
				a.fault("%s refused though an attempt may have run", act.Request)
			}
		}
	case decide.Fail:
		a.final(act.Request)
	case decide.SetTimer:
		if act.After < 0 {
			a.fault("a timer in the past: %v", act.After)
		}
	case decide.SendToPeer:
		if !a.s.Peers || len(act.Data) > 256 || act.To < 0 || act.To >= a.s.Balancers || act.To == a.s.Self {
			a.fault("%d bytes to peer %d", len(act.Data), act.To)
		}
	}
}

func (a *auditor) final(id string) *audited {
	r := a.requests[id]
	switch {
	case r == nil:
		a.fault("answer for the unknown request %s", id)
		return nil
	case r.ended && r.left != a.now:
		a.fault("%s answered twice", id)
	case a.now > r.deadline+a.s.AnswerGrace && !r.stream && !r.upload:
		a.fault("%s answered late", id)
	}
	r.ended, r.left = true, 0
	return r
}

func (a *auditor) send(act decide.Send) {
	r, b := a.requests[act.Request], a.backends[act.Backend]
	if r == nil || b == nil {
		a.fault("send of %q to %q, one of which was never told", act.Request, act.Backend)
		return
	}
	if r.ended && r.left != a.now {
		a.fault("%s sent after its end", act.Request)
	}
	if r.spent || r.stream {
		a.fault("%s sent again, though it is spent or its answer has begun", act.Request)
	}
	if len(r.sends) >= max(1, a.s.MaxAttempts) {
		a.fault("%s sent past the attempt limit", act.Request)
	}
	if a.banned[act.Backend] {
		a.fault("%s sent to %s, which is out by hand", act.Request, act.Backend)
	}
	if b.offAt > 0 && a.now > b.offAt+a.s.DrainGrace {
		a.fault("%s sent to %s, told %v ago to drain or be gone", act.Request, act.Backend, a.now-b.offAt)
	}
	var anchor *auditedSend
	for i := range r.sends {
		s := &r.sends[i]
		if s.out && !a.s.Hedging {
			a.fault("%s has two attempts out", act.Request)
		}
		if anchor == nil && (s.out || s.risky) {
			anchor = s
		}
	}
	if anchor != nil {
		from := anchor.told // a later list may have moved it, and others
		switch {
		case r.class.Effect == decide.NonIdempotent:
			a.fault("%s is unsafe and may have run, sent again", act.Request)
		case r.class.Effect == decide.Keyed && a.now-anchor.at > r.class.DedupWindow:
			a.fault("%s sent again after its window", act.Request)
		case r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeZone && from.Zone != b.Zone,
			r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeCell && from.Cell != b.Cell:
			a.fault("%s sent again outside its group", act.Request)
		case r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeZone && b.zoned > anchor.order,
			r.class.Effect == decide.Keyed && r.class.Scope == decide.ScopeCell && b.celled > anchor.order:
			a.fault("%s sent again to %s, which has come to the group since", act.Request, act.Backend)
		}
	}
	r.sends = append(r.sends, auditedSend{backend: act.Backend, told: b.Backend, order: a.lists, at: a.now, out: true})
	b.sends = append(b.sends, a.now)
	a.cold(b)
}

// cold checks this agent's part of a backend in slow start's load. What a backend can do
// is not told; what the busiest warm one was sent in the same span bounds what
// a balancer may hold to be its own measure, and the stated multiple of the
// cold share of that, with the slack of a few light requests, bounds the one in slow start.
func (a *auditor) cold(b *auditedBackend) {
	if b.started == 0 || a.now-b.started >= a.s.SlowStartTime || a.s.SlowStartTime == 0 {
		return
	}
	span := max(a.s.OverloadWindow, 1)
	count := func(b *auditedBackend, span time.Duration) (n int) {
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
			up = up || o.offAt == 0 && !a.banned[o.ID]
		}
	}
	if most == 0 { // nothing to measure by: the least that may be in flight per backend stands in
		most = 4
	}
	if !up { // by all agents together, for a mean latency each
		most = max(most, int(4*span/(100*ms))/a.s.Balancers)
	}
	warmth := a.s.SlowStartShare + (1-a.s.SlowStartShare)*max(0, float64(a.now-b.started)/float64(a.s.SlowStartTime))
	if got := count(b, span); float64(got) > a.s.OverloadMultiple*warmth*float64(most)+3 {
		a.fault("%s is cold (%v) and got %d sends in %v, the busiest warm one %d in three times that",
			b.ID, a.now-b.started, got, span, most)
	}
}

// overdue checks that nothing accepted is without its answer past its time.
func (a *auditor) overdue() {
	for id, r := range a.requests {
		if !r.ended && !r.stream && !(r.upload && len(r.sends) > 0) && a.now > r.deadline+a.s.AnswerGrace {
			a.fault("%s got no answer in time", id)
			r.ended = true
		}
	}
}
