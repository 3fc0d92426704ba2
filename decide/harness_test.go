package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

const ms = time.Millisecond

// Indices of the classes in the test settings.
const (
	idempotent = iota
	nonIdempotent
	keyedAll
	keyedZone
	keyedCell
)

func testSettings() decide.Settings {
	class := func(e decide.Effect, g decide.DedupScope) decide.Class {
		return decide.Class{Objective: 400 * ms, Deadline: 2000 * ms, Value: 1, Effect: e, Scope: g, DedupWindow: 300 * ms}
	}
	return decide.Settings{
		Balancers: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []decide.Class{
			class(decide.Idempotent, 0), class(decide.NonIdempotent, 0), class(decide.Keyed, decide.ScopeAll),
			class(decide.Keyed, decide.ScopeZone), class(decide.Keyed, decide.ScopeCell),
		},
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, SlowStartShare: 0.2, SlowStartTime: 10 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, SubscribeWithin: 10 * time.Second,
		GoalOverall: 0.6, GoalWorstWindow: 0.2, GoalWorstClass: 0.2,
	}
}

// testBackends returns n backends named a, b, c and so on, two per zone and cell.
func testBackends(n int) []decide.Backend {
	var list []decide.Backend
	for i := range n {
		list = append(list, decide.Backend{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// harness drives one balancer and records its actions.
type harness struct {
	t       *testing.T
	b       *decide.Balancer
	now     time.Duration
	sent    map[string][]string // the backends of each request's attempts
	timers  []decide.TimerFired
	due     []time.Duration
	actions []decide.Action // from the last step
}

func newHarness(t *testing.T, s decide.Settings, seed uint64, list []decide.Backend) *harness {
	t.Helper()
	b, err := decide.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
	h.step(decide.ListUpdate{Kind: decide.ListCached, Backends: list})
	return h
}

func (h *harness) step(events ...decide.Event) []decide.Action {
	h.actions = h.b.Step(h.now, events)
	for _, a := range h.actions {
		switch a := a.(type) {
		case decide.Send:
			h.sent[a.Request] = append(h.sent[a.Request], a.Backend)
		case decide.SetTimer:
			h.timers = append(h.timers, decide.TimerFired{Token: a.Token})
			h.due = append(h.due, h.now+a.After)
		}
	}
	return h.actions
}

// advance moves the clock and fires the timers that become due. It returns all actions.
func (h *harness) advance(d time.Duration) []decide.Action {
	var all []decide.Action
	end := h.now + d
	for {
		next := -1
		for i, at := range h.due {
			if at <= end && (next < 0 || at < h.due[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		token := h.timers[next]
		h.now = max(h.now, h.due[next])
		h.timers = append(h.timers[:next], h.timers[next+1:]...)
		h.due = append(h.due[:next], h.due[next+1:]...)
		all = append(all, h.step(token)...)
	}
	h.now = end
	return all
}

func (h *harness) request(id string, class int) []decide.Action {
	return h.step(decide.Request{ID: id, Class: class, Remaining: 2000 * ms})
}

// outcome ends the latest attempt of a request.
func (h *harness) outcome(id string, res decide.Result, latency time.Duration) []decide.Action {
	h.t.Helper()
	n := len(h.sent[id]) - 1
	if n < 0 {
		h.t.Fatalf("%s: no attempt was sent", id)
	}
	return h.step(decide.Outcome{Request: id, Attempt: n, Backend: h.sent[id][n], Result: res,
		Latency: latency, Answered: res == decide.OK})
}

// serve sends n requests one after the other, answers each at once, and returns the number of requests per backend.
func (h *harness) serve(n int, class int, latency time.Duration) map[string]int {
	h.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(h.sent))
		h.request(id, class)
		h.now += latency
		h.outcome(id, decide.OK, latency)
		counts[h.sent[id][0]]++
	}
	return counts
}

// finalAnswer returns the kind of the final answer to a request among the actions, or "" if they contain no answer to
// it.
func finalAnswer(id string, actions []decide.Action) string {
	found := ""
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Refuse:
			if a.Request == id {
				found += "refuse"
			}
		case decide.Fail:
			if a.Request == id {
				found += "fail"
			}
		}
	}
	return found
}

// creditSettings returns settings in which a balancer's even share of the in-flight limit is less than one attempt,
// so that it admits by credit.
func creditSettings() decide.Settings {
	s := testSettings()
	s.Balancers, s.Peers = 100, true
	return s
}
