// Package chain simulates calls through several tiers in virtual time: each process of a tier works on a request and
// calls the next tier through an agent of its own, down to the last tier. It shows how retries at each tier add up at
// the last one, and how much work is done for clients that no longer wait. Servers are those of package model. The
// same seed gives the same result.
package chain

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/model"
)

// The policies: the agent's own, and least-request with at most three attempts per request or with no retries.
const (
	Agent  = "vetchhaven"
	Threes = "threes"
	None   = "none"
)

// Config describes a simulation. Clients call tier 1 through agents of their own, one for each client process.
type Config struct {
	Tiers     int
	Processes int           // number of processes of each tier, and of client processes
	Rate      float64       // calls per second of one client process
	Work      time.Duration // mean work of one attempt at a process
	Cores     int
	Way       time.Duration // one-way delay between two processes
	Aim       time.Duration // latency objective
	Deadline  time.Duration // time that a client waits
	Margin    time.Duration // an agent answers this much before its caller's deadline
	Leave     float64       // share of clients that leave early, at a random time before their deadline
	Policy    string
	Deadlines bool // the remaining time of a client is passed down; otherwise each tier waits for Deadline again
	Cancels   bool // cancellations by callers are passed down

	Errors   float64 // share of attempts that fail at the last tier during the incident
	Slow     float64 // speed factor of the middle tier during the incident; 0: unchanged
	Begin    time.Duration
	Incident time.Duration // length of the incident
	Length   time.Duration
	Events   int // maximum number of simulated events; 0: unlimited
	Seed     uint64
}

// Default returns a chain in which each process receives 408 calls per second, which uses about a fifth of its
// capacity. The network delays of a call to the next process and of its answer are half a millisecond together.
func Default(tiers int) Config {
	return Config{Tiers: tiers, Processes: 4, Rate: 408, Work: 2 * time.Millisecond, Cores: 4, Way: 250 * time.Microsecond,
		Aim: 300 * time.Millisecond, Deadline: time.Second, Margin: 5 * time.Millisecond, Leave: 0.05, Policy: Agent, Deadlines: true,
		Begin: 15 * time.Second, Incident: 5 * time.Second, Length: 26 * time.Second, Seed: 1}
}

// Result is the result of a simulation. Clients' calls count by the time at which they began.
type Result struct {
	Before       Span // the second before the incident
	First, Later Span // the incident's first second; later calls whose deadline is before the incident's end
	// Settled is the time from the cold start until a full second begins in which 99 in 100 calls are served;
	// negative: there was none before the incident.
	Settled    time.Duration
	Recovered  time.Duration // the same, counted from the incident's end; negative: not within the simulation
	Retries    []int         // during the incident, by the agents that call tier 1, 2, ...
	Most       int           // highest number of retries of one agent during the incident
	Unanswered int           // calls at any tier without an answer by their deadline while their callers still waited
	CutShort   bool          // Events was reached, so the counts are incomplete
}

// Span counts the clients' calls that began in a time span, and the attempts at the last tier for them at any time.
type Span struct {
	Calls, Served int // by clients that did not leave early
	All           int // calls, including those of clients that left early
	Attempts      int // at the last tier
	Void          int // attempts that ended after their client had left or stopped waiting
}

// PerCall returns the attempts at the last tier for each call of a client.
func (s Span) PerCall() float64 { return float64(s.Attempts) / float64(max(s.All, 1)) }

// Share returns the share of calls that were served.
func (s Span) Share() float64 { return float64(s.Served) / float64(max(s.Calls, 1)) }

// VoidShare returns the share of attempts at the last tier that ended after their client had left.
func (s Span) VoidShare() float64 { return float64(s.Void) / float64(max(s.Attempts, 1)) }

// Sum returns the sum of two spans.
func (s Span) Sum(o Span) Span {
	return Span{s.Calls + o.Calls, s.Served + o.Served, s.All + o.All, s.Attempts + o.Attempts, s.Void + o.Void}
}

type policy interface {
	Step(now time.Duration, events []decide.Event) []decide.Action
}

const (
	clockOffset    = time.Hour              // a policy's time at the start of the simulation
	window         = 100 * time.Millisecond // time resolution of the recovery
	recoveredShare = 0.99
	recoveredFor   = time.Second
)

type simulation struct {
	Config
	now        time.Duration
	eventQueue eventqueue.Queue
	rng        *rand.Rand
	tiers      [][]*process // tier 0 holds the clients
	calls      int          // number of calls so far, by all agents
	spans      [4]Span      // calls outside the reported spans, then those of Result: Before, First, Later
	served     [][2]int     // numbers of calls that began in each window, and of those that were served
	result     Result
}

// process is a process of a tier: a server (except client processes) with an agent (except at the last tier).
type process struct {
	p       *simulation
	tier, n int
	id      string
	server  *model.Server
	wakeAt  time.Duration
	jobs    map[string]*attempt
	policy  policy
	open    map[string]*call
	retries int
}

// client is one call of a client; all calls at lower tiers for it refer to it.
type client struct {
	span        int
	window      int
	leavesEarly bool // leaves before its deadline
	left        bool // has left, its deadline has passed, or it has its final answer
}

// call is a request at an agent.
type call struct {
	id       string
	caller   *process
	client   *client
	parent   *attempt // attempt at the tier above for which it is made; nil: the client's own call
	deadline time.Duration
	attempts []*attempt
	done     bool
}

type attempt struct {
	call      *call
	n         int
	to        *process
	sent      time.Duration
	ended     bool
	cancelled bool // its process has been notified that the caller no longer waits
	child     *call
}

// Play runs a simulation to its end.
func Play(c Config) (Result, error) {
	p := &simulation{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 38)), served: make([][2]int, c.Length/window+1)}
	p.result.Retries = make([]int, c.Tiers)
	if err := p.build(); err != nil {
		return Result{}, err
	}
	p.at(c.Begin, func() { p.incident(c.Errors, c.Slow) })
	p.at(c.Begin+c.Incident, func() { p.incident(0, 1) })
	for n := range c.Processes {
		p.nextCall(p.tiers[0][n])
	}
	for done := 0; ; done++ {
		at, do, ok := p.eventQueue.Next(1<<63 - 1)
		if p.result.CutShort = ok && c.Events > 0 && done == c.Events; !ok || p.result.CutShort {
			break
		}
		p.now = at
		do()
	}
	p.result.Before, p.result.First, p.result.Later = p.spans[1], p.spans[2], p.spans[3]
	p.result.Settled, p.result.Recovered = p.timeToRecover(0, p.Begin-p.Deadline), p.timeToRecover(p.Begin+p.Incident, p.Length)
	for _, t := range p.tiers[:c.Tiers] {
		for _, q := range t {
			p.result.Most = max(p.result.Most, q.retries)
		}
	}
	return p.result, nil
}

func (p *simulation) build() error {
	s := &model.Scenario{Agents: p.Processes, Zones: []string{"z"},
		Kinds:   []model.Kind{{Cores: p.Cores, Speed: 1, Slots: p.Cores, Queue: 2000, ThrashAt: 1e9, ColdShare: 1, Connections: 1 << 20}},
		Classes: []model.Class{{Work: p.Work, Class: decide.Class{Objective: p.Aim, Deadline: p.Deadline, Value: 1}}},
		Rules: model.Rules{MaxAttempts: 3, ConnectTimeout: 250 * time.Millisecond, IdleClose: time.Hour,
			DrainGrace: 2 * time.Second, ColdShare: 1}}
	if p.Policy == None {
		s.Rules.MaxAttempts = 1
	}
	root := model.Seed(p.Seed)
	for tier := range p.Tiers + 1 {
		var all []*process
		for n := range p.Processes {
			q := &process{p: p, tier: tier, n: n, id: fmt.Sprintf("t%d-%d", tier, n), jobs: map[string]*attempt{}, open: map[string]*call{}}
			if tier > 0 {
				q.server = model.NewServer(model.ServerSpec{Name: q.id}, s, model.NewKeys(s.Classes), root, 0, false)
				for from := range p.Processes { // connections stay open
					q.server.Step(0, model.Dial{Conn: from, Agent: from})
				}
			}
			all = append(all, q)
		}
		p.tiers = append(p.tiers, all)
	}
	for tier, all := range p.tiers[:p.Tiers] {
		var list []decide.Backend
		for _, q := range p.tiers[tier+1] {
			list = append(list, decide.Backend{ID: q.id, Weight: 1})
		}
		for n, q := range all {
			var err error
			seed := uint64(root.Derive(model.HashName("agent"), uint64(tier), uint64(n)))
			if q.policy, err = p.newPolicy(s.Settings(n), seed); err != nil {
				return err
			}
			q.step(decide.ListUpdate{Kind: decide.ListFull, Backends: list})
		}
	}
	return nil
}

func (p *simulation) newPolicy(s decide.Settings, seed uint64) (policy, error) {
	switch p.Policy {
	case Agent:
		return decide.New(s, seed)
	case Threes, None:
		return baseline.New("least-request", s, seed)
	}
	return nil, fmt.Errorf("%q is none of %s, %s, %s", p.Policy, Agent, Threes, None)
}

func (p *simulation) incident(errors, slow float64) {
	for _, q := range p.tiers[p.Tiers] {
		q.serve(model.SetErrors{Rate: errors})
	}
	if slow > 0 {
		for _, q := range p.tiers[(p.Tiers+1)/2] {
			q.serve(model.SetSpeed{Factor: slow})
		}
	}
}

func (p *simulation) nextCall(q *process) {
	at := p.now + time.Duration(p.rng.ExpFloat64()/p.Rate*float64(time.Second))
	if at >= p.Length {
		return
	}
	p.at(at, func() {
		c := &client{window: int(p.now / window)}
		switch in := p.now - p.Begin; {
		case in >= -time.Second && in < 0:
			c.span = 1
		case in >= 0 && in < min(time.Second, p.Incident):
			c.span = 2
		case in >= 0 && in < p.Incident-p.Deadline:
			c.span = 3
		}
		left := p.Deadline
		if p.rng.Float64() < p.Leave {
			c.leavesEarly, left = true, time.Duration(p.rng.Float64()*float64(p.Deadline))
		}
		p.spans[c.span].All++
		if !c.leavesEarly {
			p.spans[c.span].Calls++
			p.served[c.window][0]++
		}
		r := q.call(c, nil, p.now+p.Deadline)
		p.at(p.now+left, func() {
			c.left = true
			q.abandon(r)
		})
		p.nextCall(q)
	})
}

// timeToRecover returns how long after the time from the share of served calls has recovered, considering calls that
// begin before until.
func (p *simulation) timeToRecover(from, until time.Duration) time.Duration {
	since := time.Duration(-1)
	for w := int(from / window); w < int(until/window); w++ {
		asked, at := p.served[w], time.Duration(w)*window
		switch {
		case float64(asked[1]) < recoveredShare*float64(asked[0]):
			since = -1
		case since < 0:
			since = at
		case at-since >= recoveredFor:
			return since - from
		}
	}
	return -1
}

// call makes a call of a process to the next tier.
func (q *process) call(c *client, parent *attempt, deadline time.Duration) *call {
	p := q.p
	p.calls++
	r := &call{id: fmt.Sprintf("%x", p.calls), caller: q, client: c, parent: parent, deadline: deadline}
	q.open[r.id] = r
	p.at(deadline-p.Margin, func() {
		for _, a := range r.attempts {
			a.end(decide.TimedOut)
		}
	})
	p.at(deadline, func() {
		if !r.done { // the policy did not answer in time
			p.result.Unanswered++
			q.abandon(r)
		}
	})
	q.step(decide.Request{ID: r.id, Remaining: deadline - p.Margin - p.now})
	return r
}

func (q *process) step(e decide.Event) {
	p := q.p
	if q.policy == nil {
		return
	}
	for _, act := range q.policy.Step(p.now+clockOffset, []decide.Event{e}) {
		switch act := act.(type) {
		case decide.Send:
			q.send(act)
		case decide.Refuse:
			q.finish(q.open[act.Request], decide.Errored)
		case decide.Fail:
			q.finish(q.open[act.Request], decide.Errored)
		case decide.SetTimer:
			p.at(p.now+act.After, func() { q.step(decide.TimerFired{Token: act.Token}) })
		}
	}
}

func (q *process) send(s decide.Send) {
	p, r := q.p, q.open[s.Request]
	if r == nil {
		p.at(p.now, func() {
			q.step(decide.Outcome{Request: s.Request, Backend: s.Backend, Result: decide.NotSent, Answered: true})
		})
		return
	}
	a := &attempt{call: r, n: len(r.attempts), sent: p.now}
	for _, t := range p.tiers[q.tier+1] {
		if t.id == s.Backend {
			a.to = t
		}
	}
	r.attempts = append(r.attempts, a)
	if a.n > 0 && p.now >= p.Begin && p.now < p.Begin+p.Incident {
		p.result.Retries[q.tier]++
		q.retries++
	}
	p.at(p.now+p.Way, a.arrive)
}

// finish delivers a call's answer to the attempt at the tier above, or to the client.
func (q *process) finish(r *call, result decide.Result) {
	if r == nil || r.done {
		return
	}
	p := q.p
	r.done = true
	q.removeIfDone(r)
	if a := r.parent; a != nil {
		a.to.reply(a, result)
		return
	}
	if result == decide.OK && !r.client.leavesEarly && !r.client.left {
		p.spans[r.client.span].Served++
		p.served[r.client.window][1]++
	}
	r.client.left = true // the client no longer waits: any further work for it is void
}

// abandon ends a call whose caller has left. Its attempts run on unless cancellations are passed down.
func (q *process) abandon(r *call) {
	if r.done {
		return
	}
	r.done = true
	q.step(decide.RequestCancelled{Request: r.id})
	if q.p.Cancels {
		for _, a := range r.attempts {
			a.end(decide.Cancelled)
		}
	}
	q.removeIfDone(r)
}

func (q *process) removeIfDone(r *call) {
	for _, a := range r.attempts {
		if !a.ended {
			return
		}
	}
	delete(q.open, r.id)
}

// end records the one outcome of an attempt at the agent that made it.
func (a *attempt) end(result decide.Result) {
	if a.ended {
		return
	}
	a.ended = true
	r, q := a.call, a.call.caller
	p := q.p
	if p.Cancels && (result == decide.Cancelled || result == decide.TimedOut) {
		p.at(p.now+p.Way, a.cancel)
	}
	if result == decide.OK {
		q.finish(r, decide.OK)
	}
	q.step(decide.Outcome{Request: r.id, Attempt: a.n, Backend: a.to.id, Result: result, Latency: p.now - a.sent, Answered: r.done})
	if r.done {
		q.removeIfDone(r)
	}
}

// arrive handles the arrival of an attempt at its process.
func (a *attempt) arrive() {
	q, p := a.to, a.to.p
	id := fmt.Sprintf("%s/%d", a.call.id, a.n)
	q.jobs[id] = a
	work := time.Duration((0.5 + p.rng.Float64()) * float64(p.Work))
	q.serve(model.Arrive{Conn: a.call.caller.n, Job: model.Job{ID: id, Agent: a.call.caller.n, Work: work, Draw: p.rng.Float64(), Sent: a.sent}})
}

// cancel notifies an attempt's process that the caller no longer waits. The process finishes its own work on it.
func (a *attempt) cancel() {
	a.cancelled = true
	if a.child != nil {
		a.to.abandon(a.child)
	}
}

// serve passes an event to a process's server and handles the answers.
func (q *process) serve(e model.ServerEvent) {
	p := q.p
	type did struct {
		a   *attempt
		how decide.Result
	}
	var all []did // the slice that Step returns is valid only until the next Step
	for _, f := range q.server.Step(p.now, e) {
		if f.Kind == model.Replied {
			all = append(all, did{q.jobs[f.Job.ID], f.Result})
			delete(q.jobs, f.Job.ID)
		}
	}
	for _, d := range all {
		q.processed(d.a, d.how)
	}
	q.scheduleWake()
}

func (q *process) scheduleWake() {
	p := q.p
	next := q.server.NextWake()
	if next == 0 || q.wakeAt >= p.now && q.wakeAt <= next && q.wakeAt > 0 {
		return
	}
	q.wakeAt = next
	p.at(next, func() {
		if q.wakeAt == next {
			q.wakeAt = 0
			q.serve(model.Wake{})
		}
	})
}

// processed handles the end of a process's own work: the last tier answers, the others call the next tier.
func (q *process) processed(a *attempt, result decide.Result) {
	p := q.p
	if q.tier == p.Tiers {
		s := &p.spans[a.call.client.span]
		s.Attempts++
		if a.call.client.left {
			s.Void++
		}
	}
	if result != decide.OK || q.tier == p.Tiers {
		q.reply(a, result)
		return
	}
	if a.cancelled {
		return
	}
	deadline := p.now + p.Deadline
	if p.Deadlines { // passed as remaining time, so the receiver does not account for the network delay
		if deadline = a.call.deadline - p.Margin + p.Way; deadline-p.Margin <= p.now {
			q.reply(a, decide.Errored)
			return
		}
	}
	a.child = q.call(a.call.client, a, deadline)
}

// reply sends a process's answer to the agent that made the attempt.
func (q *process) reply(a *attempt, result decide.Result) {
	q.p.at(q.p.now+q.p.Way, func() { a.end(result) })
}

func (p *simulation) at(t time.Duration, do func()) { p.eventQueue.At(max(t, p.now), do) }
