package decide_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
)

// auditor checks the four rules from events and actions alone. It models no
// backend: it only remembers what the balancer was told and what it did.
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
	left     time.Duration // when the client was told to have left; answers of that step do no harm
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
	offAt   time.Duration // when it was told to drain or to be gone
	started time.Duration // when it was told to have started; 0: warm
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

// cold checks this agent's part of a cold backend's load. What a backend can do
// is not told; what the busiest warm one was sent in the same span bounds what
// a balancer may hold to be its own measure, and the stated multiple of the
// cold share of that, with the slack of a few light requests, bounds the cold one.
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

// hostile feeds a balancer a legal but unkind order of events and audits it.
func hostile(t *testing.T, seed uint64, steps int) *auditor {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	s := settings()
	s.Balancers = 1 + rng.IntN(30)
	s.Self = rng.IntN(s.Balancers)
	s.Subscribe = rng.IntN(2) == 0
	s.Hedging = rng.IntN(2) == 0
	s.Peers = rng.IntN(2) == 0
	s.MaxAttempts = rng.IntN(6)
	s.CrossZonePrice = float64(rng.IntN(2)) * 0.02
	if rng.IntN(4) == 0 {
		s.SlowStartTime, s.OverloadWindow, s.SubscribeWithin, s.Tick = 0, 0, 0, 0
	}
	s.Classes = s.Classes[:1+rng.IntN(len(s.Classes))]
	for i := range s.Classes {
		s.Classes[i].DedupWindow = time.Duration(rng.IntN(100)) * ms
	}
	b, err := decide.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	a := newAuditor(s)
	a.now = time.Hour
	type timer struct {
		at    time.Duration
		token int64
	}
	var timers []timer
	var open []decide.Outcome // attempts that are out
	due := map[string]time.Duration{}
	pool := backends(8)
	next := 0
	for range steps {
		a.now += time.Duration(rng.IntN(30)) * ms / 4
		var events []decide.Event
		keep := timers[:0]
		for _, tm := range timers {
			if tm.at <= a.now {
				events = append(events, decide.TimerFired{Token: tm.token})
			} else {
				keep = append(keep, tm)
			}
		}
		timers = keep
		if rng.IntN(40) == 0 {
			least := 1 + rng.IntN(40)
			events = append(events, decide.FleetSize{Max: least + rng.IntN(40), Min: least})
		}
		for range rng.IntN(3) {
			next++
			id := fmt.Sprint("q", next)
			left := time.Duration(1+rng.IntN(1500)) * ms
			due[id] = a.now + left
			events = append(events, decide.Request{ID: id, Class: rng.IntN(len(s.Classes)), Remaining: left,
				Work: time.Duration(rng.IntN(3)*rng.IntN(200)) * ms, ClientRetry: rng.IntN(5) == 0, Upload: rng.IntN(5) == 0})
		}
		// Every attempt ends by its request's time; some early, with any result.
		rest := open[:0]
		for _, o := range open {
			r := a.requests[o.Request]
			switch {
			case r.upload && rng.IntN(6) == 0:
				left := time.Duration(1+rng.IntN(1500)) * ms
				due[o.Request] = a.now + left
				events = append(events, decide.UploadCompleted{Request: o.Request, Attempt: o.Attempt, Remaining: left})
				rest = append(rest, o)
				continue
			case r.upload && rng.IntN(6) > 0, r.stream && rng.IntN(6) > 0:
				rest = append(rest, o) // it takes its time
				continue
			case !r.upload && !r.stream && !r.ended && rng.IntN(20) == 0:
				events = append(events, decide.ResponseStarted{Request: o.Request, Attempt: o.Attempt, Completed: rng.IntN(2) == 0, Latency: 50 * ms})
				rest = append(rest, o)
				continue
			case due[o.Request] <= a.now:
				o.Result = decide.TimedOut
			case rng.IntN(8) == 0:
				o.Result = decide.Result(rng.IntN(8))
			default:
				rest = append(rest, o)
				continue
			}
			if o.NotReplayable = r.upload && rng.IntN(2) == 0; r.upload { // its last byte is not out
				o.Result = []decide.Result{decide.Rejected, decide.ConnectFailed, decide.NotSent, decide.Incomplete}[rng.IntN(4)]
			}
			o.Latency = time.Duration(rng.IntN(900)) * ms
			o.Answered = o.Result == decide.OK || a.requests[o.Request].ended
			events = append(events, o)
			if rng.IntN(10) == 0 {
				events = append(events, o) // told twice
			}
		}
		open = rest
		switch rng.IntN(25) {
		case 0:
			n := &pool[rng.IntN(len(pool))]
			n.State = decide.BackendState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				n.State, n.Started = decide.Up, a.now
			}
			if rng.IntN(2) == 0 {
				n.Zone, n.Cell = rng.IntN(4), rng.IntN(4)
			}
			events = append(events, decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{*n}})
		case 1:
			var full []decide.Backend // up to none at all
			for _, n := range pool[:rng.IntN(len(pool)+1)] {
				n.State = decide.Up
				full = append(full, n)
			}
			events = append(events, decide.ListUpdate{Kind: decide.ListKind(1 + rng.IntN(2)), Backends: full})
		case 2:
			events = append(events, decide.ListUpdate{Kind: decide.ListFailed})
		case 3:
			if next > 0 {
				events = append(events, decide.RequestCancelled{Request: fmt.Sprint("q", 1+rng.IntN(next))})
			}
		case 4:
			events = append(events, decide.TimerFired{Token: rng.Int64N(1 << 20)},
				decide.Outcome{Request: fmt.Sprint("q", rng.IntN(next+2)), Attempt: rng.IntN(2)*99 - 1},
				decide.ProbeResult{Backend: "x"}, decide.PeerMessage{From: 70})
		case 6, 7:
			events = append(events, decide.BackendDisabled{Backend: pool[rng.IntN(len(pool))].ID, Disabled: rng.IntN(2) == 0})
		case 5:
			events = append(events, decide.PeerMessage{From: rng.IntN(12) - 1,
				Data: binary.BigEndian.AppendUint64(nil, rng.Uint64())[:rng.IntN(9)]})
		}
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			a.event(e)
		}
		acts := b.Step(a.now, events)
		if err := b.CheckMeasure(); err != nil {
			t.Fatalf("seed %d at %v: %v", seed, a.now, err)
		}
		for _, act := range acts {
			a.action(act)
			switch act := act.(type) {
			case decide.SetTimer:
				timers = append(timers, timer{a.now + act.After, act.Token})
			case decide.Send:
				open = append(open, decide.Outcome{Request: act.Request, Backend: act.Backend,
					Attempt: len(a.requests[act.Request].sends) - 1})
			}
		}
		a.overdue()
	}
	return a
}

func TestRulesUnderAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		a := hostile(t, seed, 600)
		if len(a.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(a.faults[:min(3, len(a.faults))], "\n"))
		}
	}
}

func FuzzRulesUnderAnyOrder(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if a := hostile(t, seed, 400); len(a.faults) > 0 {
			t.Fatal(strings.Join(a.faults[:min(3, len(a.faults))], "\n"))
		}
	})
}

// Each check of the auditor must be able to fail: these recorded actions are bad.
func TestAuditorRejects(t *testing.T) {
	send := func(b string) decide.Action { return decide.Send{Request: "q", Backend: b} }
	ended := func(n int, res decide.Result) decide.Event {
		return decide.Outcome{Request: "q", Attempt: n, Result: res, Answered: res == decide.OK}
	}
	refuse, fail := decide.Refuse{Request: "q"}, decide.Fail{Request: "q"}
	off := decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", State: decide.Draining}}}
	moved := func(id string, cell int) decide.Event {
		return decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: id, Cell: cell}}}
	}
	empty := decide.ListUpdate{Kind: decide.ListFull}
	cold := decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "a", Started: time.Hour}}}
	tests := []struct {
		name  string
		class int
		play  []any // events, actions, and durations that pass
		want  string
	}{
		{"no answer", safe, []any{2021 * ms}, "got no answer in time"},
		{"two answers", safe, []any{fail, fail}, "answered twice"},
		{"answer after being served", safe, []any{send("a"), ended(0, decide.OK), refuse}, "answered twice"},
		{"late answer", safe, []any{2020*ms + 1, fail}, "answered late"},
		{"send after the answer", safe, []any{fail, send("a")}, "sent after its end"},
		{"unknown backend", safe, []any{send("zz")}, "never told"},
		{"past the limit", safe, []any{send("a"), ended(0, decide.Errored), send("b"), ended(1, decide.Errored),
			send("a"), ended(2, decide.Errored), send("b"), ended(3, decide.Errored), send("a")}, "past the attempt limit"},
		{"second copy", safe, []any{send("a"), send("b")}, "two attempts out"},
		{"unsafe repeated", unsafe, []any{send("a"), ended(0, decide.TimedOut), send("b")}, "is unsafe"},
		{"unsafe refused", unsafe, []any{send("a"), ended(0, decide.Reset), refuse}, "refused though"},
		{"unsafe refused while out", unsafe, []any{send("a"), refuse}, "refused though"},
		{"zone refused", keyedZone, []any{send("a"), ended(0, decide.Errored), refuse}, "refused though"},
		{"outside the zone", keyedZone, []any{send("a"), ended(0, decide.Errored), send("c")}, "outside its group"},
		{"outside the cell", keyedCell, []any{send("a"), ended(0, decide.Errored), send("d")}, "outside its group"},
		{"to one moved into the cell", keyedCell, []any{send("a"), moved("d", 0), ended(0, decide.Errored), send("d")},
			"come to the group since"},
		{"after the backend that moved", keyedCell, []any{send("a"), moved("a", 1), ended(0, decide.Errored), send("d")},
			"outside its group"},
		{"after the window", keyedAll, []any{send("a"), 301 * ms, ended(0, decide.Errored), send("b")}, "after its window"},
		{"drained", safe, []any{off, 501 * ms, send("a")}, "drain or be gone"},
		{"gone from the list", safe, []any{empty, 501 * ms, send("b")}, "drain or be gone"},
		{"out by hand", safe, []any{decide.BackendDisabled{Backend: "a", Disabled: true}, send("a")}, "out by hand"},
		{"back by hand is cold", safe, []any{decide.BackendDisabled{Backend: "a", Disabled: true}, decide.BackendDisabled{Backend: "a"}, send("a"),
			ended(0, decide.Rejected), send("a"), ended(1, decide.Rejected), send("a"), ended(2, decide.Rejected), send("a"), send("a"),
			send("a")}, "is cold"},
		{"cold", safe, []any{cold, send("a"), ended(0, decide.Rejected), send("a"), ended(1, decide.Rejected),
			send("a"), ended(2, decide.Rejected), send("a"), send("a"), send("a")}, "is cold"},
		{"message where none is allowed", safe, []any{decide.SendToPeer{To: 1, Data: []byte{1}}}, "bytes to peer"},
		{"timer in the past", safe, []any{decide.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAuditor(settings())
			a.now = time.Hour
			a.event(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(4)})
			a.event(decide.Request{ID: "q", Class: tt.class, Remaining: 2000 * ms})
			for _, p := range tt.play {
				switch p := p.(type) {
				case time.Duration:
					a.now += p
				case decide.Event:
					a.event(p)
				case decide.Action:
					a.action(p)
				}
			}
			a.overdue()
			if got := strings.Join(a.faults, "; "); !strings.Contains(got, tt.want) {
				t.Errorf("faults %q, want one with %q", got, tt.want)
			}
		})
	}
}
