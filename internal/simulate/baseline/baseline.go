// Package baseline implements simple textbook balancers to compare with the decision module: random,
// round-robin, least-request and p2c (the better of two random choices). Each retries at once at
// another server, up to the maximum number of attempts. They respect the classes' repeat rules,
// draining and deadlines; they ignore queues, cold servers, request values and retry budgets.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide"
)

// Names lists the policies that Maker accepts.
var Names = []string{"random", "round-robin", "least-request", "p2c", SeesNow, SeesLate}

const resubscribeDelay = time.Second // delay after a failed call to the list

// Policy is a textbook balancer for one agent.
type Policy struct {
	name              string
	s                 decide.Settings
	rng               *rand.Rand
	servers           []*server
	requests          map[string]*request
	position          int
	token             int64
	resubscribeTimers map[int64]bool // tokens of timers for a new call to the list
	actions           []decide.Action
	oracle            *oracle // nil unless the policy is an oracle policy
}

type server struct {
	decide.Backend
	inFlight int
}

type request struct {
	decide.Request
	deadline   time.Duration
	first      *sent // the first attempt that may have run
	sent       []*sent
	open       int
	mayHaveRun int
}

type sent struct {
	to   decide.Backend // as it was when the attempt was sent
	s    *server
	at   time.Duration
	open bool
}

// Maker returns a function that makes the policies of the given name, one for each agent of a simulation.
func Maker(name string) (func(s decide.Settings, seed uint64) (*Policy, error), error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is no policy: the policies are vetchhaven and %v", name, Names)
	}
	shared := &sentWork{byServer: map[string][]sentLoad{}}
	return func(s decide.Settings, seed uint64) (*Policy, error) {
		p, err := New(name, s, seed)
		if err == nil && p.oracle != nil && name == SeesNow {
			p.oracle.sentWork = shared
		}
		return p, err
	}, nil
}

// New returns the policy of the given name.
func New(name string, s decide.Settings, seed uint64) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is no policy: the policies are vetchhaven and %v", name, Names)
	}
	var e *oracle
	switch name {
	case SeesNow:
		e = &oracle{}
	case SeesLate:
		e = &oracle{delay: oracleDelay}
	}
	if e != nil {
		e.sentWork = &sentWork{byServer: map[string][]sentLoad{}}
	}
	return &Policy{oracle: e, name: name, s: s, rng: rand.New(rand.NewPCG(seed, 2)), requests: map[string]*request{},
		resubscribeTimers: map[int64]bool{}}, nil
}

// Step handles events and returns actions, as decide.Balancer does.
func (p *Policy) Step(now time.Duration, events []decide.Event) []decide.Action {
	p.actions = nil
	for _, e := range events {
		switch e := e.(type) {
		case decide.ListUpdate:
			p.updateList(e)
		case decide.Request:
			r := &request{Request: e, deadline: now + e.Remaining}
			p.requests[e.ID] = r
			if p.oracle != nil && !p.admits(r) {
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
			if p.resubscribeTimers[e.Token] {
				delete(p.resubscribeTimers, e.Token)
				p.actions = append(p.actions, decide.Subscribe{})
			}
		}
	}
	return p.actions
}

func (p *Policy) updateList(e decide.ListUpdate) {
	switch e.Kind {
	case decide.ListFailed:
		if p.s.Subscribe {
			p.token++
			p.resubscribeTimers[p.token] = true
			p.actions = append(p.actions, decide.SetTimer{After: resubscribeDelay, Token: p.token})
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
	a.s.inFlight--
	r.open--
	if e.Result.NeverRan() {
		if r.mayHaveRun--; r.mayHaveRun == 0 {
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

// send makes the next attempt or ends the request. It avoids the server that has just failed if
// there is another one.
func (p *Policy) send(now time.Duration, r *request, failed *server) {
	var candidates []*server
	for _, s := range p.servers {
		if s.State == decide.Up && p.mayRepeat(now, r, s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) > 1 {
		candidates = slices.DeleteFunc(candidates, func(s *server) bool { return s == failed })
	}
	if len(candidates) == 0 || now >= r.deadline || len(r.sent) >= max(1, p.s.MaxAttempts) {
		if delete(p.requests, r.ID); r.mayHaveRun == 0 {
			p.actions = append(p.actions, decide.Refuse{Request: r.ID})
		} else {
			p.actions = append(p.actions, decide.Fail{Request: r.ID})
		}
		return
	}
	s := p.pick(candidates)
	if p.oracle != nil {
		s = p.pickByState(now, r, candidates)
	}
	a := &sent{to: s.Backend, s: s, at: now, open: true}
	s.inFlight++
	r.sent = append(r.sent, a)
	r.open++
	if r.mayHaveRun++; r.first == nil {
		r.first = a
	}
	p.actions = append(p.actions, decide.Send{Request: r.ID, Backend: s.ID})
}

func (p *Policy) pick(candidates []*server) *server {
	switch p.name {
	case "round-robin":
		p.position++
		return candidates[p.position%len(candidates)]
	case "least-request":
		start := p.rng.IntN(len(candidates))
		best := candidates[start]
		for i := range candidates {
			if s := candidates[(start+i)%len(candidates)]; s.inFlight < best.inFlight {
				best = s
			}
		}
		return best
	case "p2c":
		a, b := candidates[p.rng.IntN(len(candidates))], candidates[p.rng.IntN(len(candidates))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	}
	return candidates[p.rng.IntN(len(candidates))]
}

func (p *Policy) mayRepeat(now time.Duration, r *request, s *server) bool {
	c := p.s.Classes[r.Class]
	if r.mayHaveRun == 0 || c.Effect == decide.Idempotent {
		return true
	}
	if c.Effect == decide.NonIdempotent || now+p.s.ConnectTimeout-r.first.at >= c.DedupWindow {
		return false
	}
	sameScope := func(first, second int) bool { return first == second && (first != decide.Unknown || s == r.first.s) }
	return c.Scope == decide.ScopeAll || c.Scope == decide.ScopeZone && sameScope(r.first.to.Zone, s.Zone) ||
		c.Scope == decide.ScopeCell && sameScope(r.first.to.Cell, s.Cell)
}
