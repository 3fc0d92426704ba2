// Package baseline holds small balancers as textbooks describe them, to play beside the decision
// module: random, round-robin, least-request and p2c (the better of two random choices), each with
// plain retries: at once, elsewhere, as often as the site allows. They keep the repeat rule, the
// drains and the deadlines; they know nothing of queues, cold servers, worth or budgets.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide"
)

// Names are the policies that Maker knows.
var Names = []string{"random", "round-robin", "least-request", "p2c", SeesNow, SeesLate}

const askAgain = time.Second // after a failed call to the list

// Policy is one textbook balancer for one agent.
type Policy struct {
	name     string
	s        decide.Settings
	rng      *rand.Rand
	servers  []*server
	requests map[string]*request
	turn     int
	token    int64
	due      map[int64]bool // timers that ask the list
	actions  []decide.Action
	eyes     *eyes // of those that see; else nil
}

type server struct {
	decide.Backend
	out int
}

type request struct {
	decide.Request
	deadline time.Duration
	first    *sent // the first that may have run
	sent     []*sent
	open     int
	risky    int
}

type sent struct {
	to   decide.Backend // as it was then
	s    *server
	at   time.Duration
	open bool
}

// Maker makes policies of a name, one for each agent of one play.
func Maker(name string) (func(s decide.Settings, seed uint64) (*Policy, error), error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is no policy: vetchhaven and %v are", name, Names)
	}
	shared := &ledger{sent: map[string][]load{}}
	return func(s decide.Settings, seed uint64) (*Policy, error) {
		p, err := New(name, s, seed)
		if err == nil && p.eyes != nil && name == SeesNow {
			p.eyes.ledger = shared
		}
		return p, err
	}, nil
}

// New makes a policy by its name.
func New(name string, s decide.Settings, seed uint64) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is no policy: vetchhaven and %v are", name, Names)
	}
	var e *eyes
	switch name {
	case SeesNow:
		e = &eyes{}
	case SeesLate:
		e = &eyes{late: seenLate}
	}
	if e != nil {
		e.ledger = &ledger{sent: map[string][]load{}}
	}
	return &Policy{eyes: e, name: name, s: s, rng: rand.New(rand.NewPCG(seed, 2)), requests: map[string]*request{},
		due: map[int64]bool{}}, nil
}

// Step takes what has happened and returns what to do, as decide.Balancer does.
func (p *Policy) Step(now time.Duration, events []decide.Event) []decide.Action {
	p.actions = nil
	for _, e := range events {
		switch e := e.(type) {
		case decide.ListUpdate:
			p.list(e)
		case decide.Request:
			r := &request{Request: e, deadline: now + e.Remaining}
			p.requests[e.ID] = r
			if p.eyes != nil && !p.admits(r) {
				delete(p.requests, r.ID)
				p.actions = append(p.actions, decide.Refuse{Request: r.ID})
				continue
			}
			p.send(now, r, nil)
		case decide.Outcome:
			p.outcome(now, e)
		case decide.RequestCancelled:
			delete(p.requests, e.Request)
		case decide.TimerFired:
			if p.due[e.Token] {
				delete(p.due, e.Token)
				p.actions = append(p.actions, decide.Subscribe{})
			}
		}
	}
	return p.actions
}

func (p *Policy) list(e decide.ListUpdate) {
	switch e.Kind {
	case decide.ListFailed:
		if p.s.Subscribe {
			p.token++
			p.due[p.token] = true
			p.actions = append(p.actions, decide.SetTimer{After: askAgain, Token: p.token})
		}
		return
	case decide.ListCached:
		if p.s.Subscribe {
			p.actions = append(p.actions, decide.Subscribe{})
		}
	}
	for _, n := range e.Backends {
		if i := slices.IndexFunc(p.servers, func(s *server) bool { return s.ID == n.ID }); i >= 0 {
			p.servers[i].Backend = n
		} else {
			p.servers = append(p.servers, &server{Backend: n})
		}
	}
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool {
		listed := e.Kind == decide.ListDelta ||
			slices.ContainsFunc(e.Backends, func(b decide.Backend) bool { return b.ID == s.ID })
		return s.State == decide.Removed || !listed
	})
}

func (p *Policy) outcome(now time.Duration, e decide.Outcome) {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.sent) || !r.sent[e.Attempt].open {
		return
	}
	a := r.sent[e.Attempt]
	a.open = false
	a.s.out--
	r.open--
	if e.Result.NeverRan() {
		if r.risky--; r.risky == 0 {
			r.first = nil
		}
	}
	if e.Answered || e.Result == decide.OK {
		delete(p.requests, e.Request)
		return
	}
	if r.open == 0 {
		p.send(now, r, a.s)
	}
}

// send makes the next attempt, not at the server that has just failed if there is another, or
// ends the request.
func (p *Policy) send(now time.Duration, r *request, failed *server) {
	var may []*server
	for _, s := range p.servers {
		if s.State == decide.Up && p.mayRepeat(now, r, s) {
			may = append(may, s)
		}
	}
	if len(may) > 1 {
		may = slices.DeleteFunc(may, func(s *server) bool { return s == failed })
	}
	if len(may) == 0 || now >= r.deadline || len(r.sent) >= max(1, p.s.MaxAttempts) {
		if delete(p.requests, r.ID); r.risky == 0 {
			p.actions = append(p.actions, decide.Refuse{Request: r.ID})
		} else {
			p.actions = append(p.actions, decide.Fail{Request: r.ID})
		}
		return
	}
	s := p.pick(may)
	if p.eyes != nil {
		s = p.see(now, r, may)
	}
	a := &sent{to: s.Backend, s: s, at: now, open: true}
	s.out++
	r.sent = append(r.sent, a)
	r.open++
	if r.risky++; r.first == nil {
		r.first = a
	}
	p.actions = append(p.actions, decide.Send{Request: r.ID, Backend: s.ID})
}

func (p *Policy) pick(may []*server) *server {
	switch p.name {
	case "round-robin":
		p.turn++
		return may[p.turn%len(may)]
	case "least-request":
		start := p.rng.IntN(len(may))
		best := may[start]
		for i := range may {
			if s := may[(start+i)%len(may)]; s.out < best.out {
				best = s
			}
		}
		return best
	case "p2c":
		a, b := may[p.rng.IntN(len(may))], may[p.rng.IntN(len(may))]
		if b.out < a.out {
			return b
		}
		return a
	}
	return may[p.rng.IntN(len(may))]
}

func (p *Policy) mayRepeat(now time.Duration, r *request, s *server) bool {
	c := p.s.Classes[r.Class]
	if r.risky == 0 || c.Effect == decide.Idempotent {
		return true
	}
	if c.Effect == decide.NonIdempotent || now+p.s.ConnectTimeout-r.first.at >= c.DedupWindow {
		return false
	}
	return c.Scope == decide.ScopeAll || c.Scope == decide.ScopeZone && s.Zone == r.first.to.Zone ||
		c.Scope == decide.ScopeCell && s.Cell == r.first.to.Cell
}
