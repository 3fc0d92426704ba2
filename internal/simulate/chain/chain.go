// Package chain plays calls in tiers in simulated time: each process of a tier works on a request and calls the next
// tier through an agent of its own, down to the last tier. It shows what retries at each tier come to there, and what
// is done for clients that have left. The servers' model is that of package emulate. The same seed gives the same play.
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

// The policies that are played: the agent's own, and least-request with plain retries of three or with none.
const (
	Agent  = "vetchhaven"
	Threes = "threes"
	None   = "none"
)

// Config says what to play. Clients call tier 1 through agents of their own, one beside each client process.
type Config struct {
	Tiers     int
	Processes int           // of each tier, and client processes
	Rate      float64       // calls a second of one client process
	Work      time.Duration // in the mean, for one attempt at a process
	Cores     int
	Way       time.Duration // one way, between two processes
	Aim       time.Duration
	Deadline  time.Duration // the time that a client waits
	Margin    time.Duration // an agent answers so long before its caller's time is up
	Leave     float64       // share of clients that leave early, at any moment of their deadline
	Policy    string
	Deadlines bool // what is left of a client's time is handed down; else each tier waits for Deadline anew
	Cancels   bool // that a caller has left or given up is handed down

	Errors   float64 // share of attempts that the last tier fails during the incident
	Slow     float64 // speed of the middle tier during it; 0: as ever
	Begin    time.Duration
	Incident time.Duration // how long it takes
	Length   time.Duration
	Events   int // at the most; 0: no bound
	Seed     uint64
}

// Default is a chain of processes at 408 calls a second each, a quarter busy, a millisecond apart.
func Default(tiers int) Config {
	return Config{Tiers: tiers, Processes: 4, Rate: 408, Work: 2 * time.Millisecond, Cores: 4, Way: 250 * time.Microsecond,
		Aim: 300 * time.Millisecond, Deadline: time.Second, Margin: 5 * time.Millisecond, Leave: 0.05, Policy: Agent, Deadlines: true,
		Begin: 15 * time.Second, Incident: 5 * time.Second, Length: 26 * time.Second, Seed: 1}
}

// Result is how it went. Calls are those of clients, by when they began.
type Result struct {
	Before       Span          // in the second before the incident
	First, Later Span          // in its first second; from then on, as long as their time is up before its end
	Settled      time.Duration // from the start of all, cold, until 99 in 100 calls are served for a second on end; negative: later than the incident
	Recovered    time.Duration // the same, from the incident's end; negative: not in the play
	Retries      []int         // during the incident, of the agents that call tier 1, 2, ...
	Most         int           // retries of one agent during it, the highest
	Unanswered   int           // calls of any tier without an answer by their deadline, though nobody had left
	CutShort     bool          // the bound on events was met: what is counted is less than would have been
}

// Span counts clients' calls and what the last tier did for them, whenever it did.
type Span struct {
	Calls, Served int // of clients that did not leave early
	All           int // with those that did
	Attempts      int // at the last tier
	Void          int // of these, ended after their client had left or given up
}

// PerCall is attempts at the last tier for one call of a client.
func (s Span) PerCall() float64 { return float64(s.Attempts) / float64(max(s.All, 1)) }

// Share is the share of calls that were served.
func (s Span) Share() float64 { return float64(s.Served) / float64(max(s.Calls, 1)) }

// VoidShare is the share of attempts at the last tier that ended for nobody.
func (s Span) VoidShare() float64 { return float64(s.Void) / float64(max(s.Attempts, 1)) }

// Sum is two spans together.
func (s Span) Sum(o Span) Span {
	return Span{s.Calls + o.Calls, s.Served + o.Served, s.All + o.All, s.Attempts + o.Attempts, s.Void + o.Void}
}

type policy interface {
	Step(now time.Duration, events []decide.Event) []decide.Action
}

const (
	clockOffset = time.Hour              // a policy's time at the start of the play
	window      = 100 * time.Millisecond // by which recovery is told
	wellAt      = 0.99
	wellFor     = time.Second
)

type player struct {
	Config
	now    time.Duration
	agenda eventqueue.Queue
	rng    *rand.Rand
	tiers  [][]*process // from the clients on
	calls  int          // so far, of all agents
	last   [4]Span      // none, before, first, later
	served [][2]int     // of calls begun in a window: asked, served
	result Result
}

// process is one of a tier: a server (not at the clients), and an agent (not at the last tier).
type process struct {
	p       *player
	tier, n int
	id      string
	server  *model.Server
	wakeAt  time.Duration
	jobs    map[string]*attempt
	policy  policy
	open    map[string]*call
	retries int
}

// client is one client's call, which all that is done for it belongs to.
type client struct {
	span   int
	window int
	early  bool // leaves before its time is up
	gone   bool // has left, or its time is up, or it was told that it is not served
}

// call is a request as an agent has it.
type call struct {
	id       string
	by       *process
	client   *client
	above    *attempt // that it is made for; nil: the client's own
	deadline time.Duration
	attempts []*attempt
	done     bool
}

type attempt struct {
	of        *call
	n         int
	to        *process
	sent      time.Duration
	over      bool
	cancelled bool // its process knows that nobody waits
	below     *call
}

// Play plays a chain to its end.
func Play(c Config) (Result, error) {
	p := &player{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 38)), served: make([][2]int, c.Length/window+1)}
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
		at, do, ok := p.agenda.Next(1<<63 - 1)
		if p.result.CutShort = ok && c.Events > 0 && done == c.Events; !ok || p.result.CutShort {
			break
		}
		p.now = at
		do()
	}
	p.result.Before, p.result.First, p.result.Later = p.last[1], p.last[2], p.last[3]
	p.result.Settled, p.result.Recovered = p.well(0, p.Begin-p.Deadline), p.well(p.Begin+p.Incident, p.Length)
	for _, t := range p.tiers[:c.Tiers] {
		for _, q := range t {
			p.result.Most = max(p.result.Most, q.retries)
		}
	}
	return p.result, nil
}

func (p *player) build() error {
	s := &model.Scenario{Agents: p.Processes, Zones: []string{"z"},
		Kinds:   []model.Kind{{Cores: p.Cores, Speed: 1, Slots: p.Cores, Queue: 2000, ThrashAt: 1e9, ColdShare: 1, Connections: 1 << 20}},
		Classes: []model.Class{{Work: p.Work, Class: decide.Class{Objective: p.Aim, Deadline: p.Deadline, Value: 1}}},
		Rules: model.Rules{MaxAttempts: 3, ConnectTimeout: 250 * time.Millisecond, IdleClose: time.Hour,
			DrainGrace: 2 * time.Second, ColdShare: 1}}
	if p.Policy == None {
		s.Rules.MaxAttempts = 1
	}
	chance := model.Chance(p.Seed)
	for tier := range p.Tiers + 1 {
		var all []*process
		for n := range p.Processes {
			q := &process{p: p, tier: tier, n: n, id: fmt.Sprintf("t%d-%d", tier, n), jobs: map[string]*attempt{}, open: map[string]*call{}}
			if tier > 0 {
				q.server = model.NewServer(model.ServerSpec{Name: q.id}, s, model.NewKeys(s.Classes), chance, 0, false)
				for from := range p.Processes { // the connections stay
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
			seed := uint64(chance.Sub(model.Name("agent"), uint64(tier), uint64(n)))
			if q.policy, err = p.newPolicy(s.Settings(n), seed); err != nil {
				return err
			}
			q.step(decide.ListUpdate{Kind: decide.ListFull, Backends: list})
		}
	}
	return nil
}

func (p *player) newPolicy(s decide.Settings, seed uint64) (policy, error) {
	switch p.Policy {
	case Agent:
		return decide.New(s, seed)
	case Threes, None:
		return baseline.New("least-request", s, seed)
	}
	return nil, fmt.Errorf("%q is none of %s, %s, %s", p.Policy, Agent, Threes, None)
}

func (p *player) incident(errors, slow float64) {
	for _, q := range p.tiers[p.Tiers] {
		q.serve(model.SetErrors{Rate: errors})
	}
	if slow > 0 {
		for _, q := range p.tiers[(p.Tiers+1)/2] {
			q.serve(model.SetSpeed{Factor: slow})
		}
	}
}

// ---- Clients ----

func (p *player) nextCall(q *process) {
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
			c.early, left = true, time.Duration(p.rng.Float64()*float64(p.Deadline))
		}
		p.last[c.span].All++
		if !c.early {
			p.last[c.span].Calls++
			p.served[c.window][0]++
		}
		r := q.call(c, nil, p.now+p.Deadline)
		p.at(p.now+left, func() {
			c.gone = true
			q.abandon(r)
		})
		p.nextCall(q)
	})
}

// well is how long after a time calls are served again, of those that begin before another.
func (p *player) well(from, until time.Duration) time.Duration {
	since := time.Duration(-1)
	for w := int(from / window); w < int(until/window); w++ {
		asked, at := p.served[w], time.Duration(w)*window
		switch {
		case float64(asked[1]) < wellAt*float64(asked[0]):
			since = -1
		case since < 0:
			since = at
		case at-since >= wellFor:
			return since - from
		}
	}
	return -1
}

// ---- Agents ----

// call has a process call the next tier.
func (q *process) call(c *client, above *attempt, deadline time.Duration) *call {
	p := q.p
	p.calls++
	r := &call{id: fmt.Sprintf("%x", p.calls), by: q, client: c, above: above, deadline: deadline}
	q.open[r.id] = r
	p.at(deadline-p.Margin, func() {
		for _, a := range r.attempts {
			a.end(decide.TimedOut)
		}
	})
	p.at(deadline, func() {
		if !r.done { // a policy that has not answered by now is not waited for
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
	a := &attempt{of: r, n: len(r.attempts), sent: p.now}
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

// finish is a call's answer to whoever it is for.
func (q *process) finish(r *call, result decide.Result) {
	if r == nil || r.done {
		return
	}
	p := q.p
	r.done = true
	q.forget(r)
	if a := r.above; a != nil {
		a.to.reply(a, result)
		return
	}
	if result == decide.OK && !r.client.early && !r.client.gone {
		p.last[r.client.span].Served++
		p.served[r.client.window][1]++
	}
	r.client.gone = true // it waits no longer: what is still done for it is for nobody
}

// abandon ends a call whose caller has left. Its attempts run on, unless that is handed down.
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
	q.forget(r)
}

func (q *process) forget(r *call) {
	for _, a := range r.attempts {
		if !a.over {
			return
		}
	}
	delete(q.open, r.id)
}

// end is an attempt's one outcome, at the agent that made it.
func (a *attempt) end(result decide.Result) {
	if a.over {
		return
	}
	a.over = true
	r, q := a.of, a.of.by
	p := q.p
	if p.Cancels && (result == decide.Cancelled || result == decide.TimedOut) {
		p.at(p.now+p.Way, a.cancel)
	}
	if result == decide.OK {
		q.finish(r, decide.OK)
	}
	q.step(decide.Outcome{Request: r.id, Attempt: a.n, Backend: a.to.id, Result: result, Latency: p.now - a.sent, Answered: r.done})
	if r.done {
		q.forget(r)
	}
}

// ---- Servers ----

// arrive is an attempt at its process.
func (a *attempt) arrive() {
	q, p := a.to, a.to.p
	id := fmt.Sprintf("%s/%d", a.of.id, a.n)
	q.jobs[id] = a
	work := time.Duration((0.5 + p.rng.Float64()) * float64(p.Work))
	q.serve(model.Arrive{Conn: a.of.by.n, Job: model.Job{ID: id, Agent: a.of.by.n, Work: work, Luck: p.rng.Float64(), Sent: a.sent}})
}

// cancel tells an attempt's process that nobody waits for it. What it works on itself it finishes.
func (a *attempt) cancel() {
	a.cancelled = true
	if a.below != nil {
		a.to.abandon(a.below)
	}
}

// serve gives a process's server one event, and goes on with what it has done.
func (q *process) serve(e model.ServerEvent) {
	p := q.p
	type did struct {
		a   *attempt
		how decide.Result
	}
	var all []did // the server's own slice is good until its next step
	for _, f := range q.server.Step(p.now, e) {
		if f.Kind == model.Replied {
			all = append(all, did{q.jobs[f.Job.ID], f.Result})
			delete(q.jobs, f.Job.ID)
		}
	}
	for _, d := range all {
		q.worked(d.a, d.how)
	}
	q.wake()
}

func (q *process) wake() {
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

// worked is when a process's own part is done: the last tier answers, the others call on.
func (q *process) worked(a *attempt, result decide.Result) {
	p := q.p
	if q.tier == p.Tiers {
		s := &p.last[a.of.client.span]
		s.Attempts++
		if a.of.client.gone {
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
	if p.Deadlines { // told as what is left: the way there is not seen
		if deadline = a.of.deadline - p.Margin + p.Way; deadline-p.Margin <= p.now {
			q.reply(a, decide.Errored)
			return
		}
	}
	a.below = q.call(a.of.client, a, deadline)
}

// reply carries a process's answer to the agent that asked.
func (q *process) reply(a *attempt, result decide.Result) {
	q.p.at(q.p.now+q.p.Way, func() { a.end(result) })
}

func (p *player) at(t time.Duration, do func()) { p.agenda.At(max(t, p.now), do) }
