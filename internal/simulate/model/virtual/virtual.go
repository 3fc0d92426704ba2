// Package virtual simulates a scenario in virtual time: discrete events drive the servers, the list,
// the network and the clients of package model around instances of a policy, without I/O and
// without waiting. The same scenario, seed and policy give the same result on any machine.
package virtual

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/statistics"
)

// Policy makes the decisions of one agent; in production it is a *decide.Balancer.
type Policy interface {
	Step(now time.Duration, events []decide.Event) []decide.Action
}

// Options describe a simulation.
type Options struct {
	Scenario *model.Scenario
	Seed     uint64
	New      func(s decide.Settings, seed uint64) (Policy, error)
	Believe  bool                                       // for comparison: agents use only the records, each reading unchecked
	Progress func(now time.Duration, d *statistics.Day) // called each simulated second; may be nil
	Stop     func() bool                                // polled; ends the simulation early; may be nil
	// Balancers is the number of agents that each agent is configured with at its start; 0: the real number.
	Balancers int
	// Count returns the number of agents according to an agent's own view of the fleet, which replaces Balancers
	// after the start; nil: agents have no such view. It is called five times a second.
	Count func(agent int, now time.Duration) (most, least int)
	Share *Sharing // how agents share outcomes; nil: each agent only uses its own outcomes
	Notes bool     // agents exchange the messages of their policies, without losses
	Ended Ended    // called at the end of each attempt; may be nil
}

const fleetSizeInterval = 200 * time.Millisecond

// updateFleetSizes passes to each agent's policy the fleet size of the agent's own view, if it has changed.
func (d *driver) updateFleetSizes() {
	for _, a := range d.agents {
		most, least := d.o.Count(a.n, d.now)
		if now := (decide.FleetSize{Max: most, Min: least}); a.up && most > 0 && now != a.fleetSize {
			a.fleetSize = now
			a.post(now)
		}
	}
	if d.now < d.s.Length {
		d.at(d.now+fleetSizeInterval, d.updateFleetSizes)
	}
}

// Played is the result of a simulation.
type Played struct {
	Day      *statistics.Day
	Judge    *checker.Checker
	CutShort bool
	Emptied  int // times that an agent's list, merged of list and records, became empty
	Messages int // between agents
	Bytes    int // of these messages
}

// oraclePolicy is a policy that gets the exact present or earlier states of all servers, which a real agent can't
// observe. It is for comparison.
type oraclePolicy interface {
	SetServerStates(states func(late time.Duration) []model.ServerState)
}

const (
	stateInterval  = 20 * time.Millisecond // interval between stored states, for oracles with a delay
	stateRetention = 2 * time.Second
)

// serverStates returns the states of all servers as they were before the delay late, for oracle policies. The slice
// does not change later.
func (d *driver) serverStates(late time.Duration) []model.ServerState {
	if late <= 0 {
		return d.world.ServerStates(d.now)
	}
	if n := len(d.history); n == 0 || d.now >= d.history[n-1].at+stateInterval {
		d.history = append(d.history, pastStates{d.now, d.world.ServerStates(d.now)})
		for d.history[0].at < d.now-stateRetention {
			d.history = d.history[1:]
		}
	}
	i := len(d.history) - 1
	for i > 0 && d.history[i].at > d.now-late {
		i--
	}
	return d.history[i].states
}

type pastStates struct {
	at     time.Duration
	states []model.ServerState
}

// clockOffset is the policy's time at the scenario's start, so that the start times of all servers are above zero.
const clockOffset = time.Hour

// sampleEvery is the interval between samples of the servers' queues.
const sampleEvery = 250 * time.Millisecond

type driver struct {
	o        Options
	s        *model.Scenario
	seed     model.Seed
	now      time.Duration
	queue    eventQueue
	world    *model.World
	checker  *checker.Checker
	stats    *statistics.Day
	agents   []*agent
	load     *model.Load
	conns    map[int]*conn
	lastConn int // the number of the newest connection
	wakes    map[*model.Proc]time.Duration
	listAt   time.Duration
	open     int // number of tasks in progress
	history  []pastStates
	// emptied is how often an agent's merged list became empty.
	emptied         int
	messages, bytes int
	lossRand        *rand.Rand
	err             error
}

// Play simulates a scenario to its end, or until Stop returns true.
func Play(o Options) (*Played, error) {
	s := o.Scenario
	seed := model.Seed(o.Seed).Derive(model.HashName("rehearsal"))
	d := &driver{o: o, s: s, seed: seed, world: model.NewWorld(s, seed), load: model.NewLoad(s, seed),
		checker: checker.New(CheckerConfig(s, 0)), stats: statistics.New(s), conns: map[int]*conn{}, wakes: map[*model.Proc]time.Duration{},
		lossRand: rand.New(rand.NewPCG(o.Seed, 51))}
	for i := range s.Agents {
		a := &agent{d: d, n: i, zone: s.ZoneOf(i)}
		d.agents = append(d.agents, a)
		a.view.set(d.world.List.Snapshot())
		if err := a.start(0); err != nil {
			return nil, err
		}
	}
	if o.Share != nil {
		if err := d.startReporters(); err != nil {
			return nil, err
		}
	}
	for _, c := range s.Timeline {
		d.at(c.At, func() { d.apply(c.What) })
	}
	d.at(0, d.sample)
	if o.Count != nil {
		d.at(0, d.updateFleetSizes)
	}
	if s.Records.Every > 0 {
		r := &records{d: d, spec: s.Records}
		d.at(0, r.read)
	}
	d.nextTask()
	cut := d.run()
	if d.err != nil {
		return nil, d.err
	}
	d.checker.End(d.now)
	d.stats.Reads = d.world.List.Reads()
	d.stats.Finish(min(d.now, s.Length))
	return &Played{d.stats, d.checker, cut, d.emptied, d.messages, d.bytes}, nil
}

// CheckerConfig returns the checker's configuration for a scenario; times may be off by slack.
func CheckerConfig(s *model.Scenario, slack time.Duration) checker.Config {
	c := checker.Config{DrainGrace: s.Rules.DrainGrace, AnswerSlack: s.Rules.AnswerSlack + slack, Slack: slack,
		MaxAttempts: s.Rules.MaxAttempts}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, k.Class)
		c.Names = append(c.Names, k.Name)
	}
	return c
}

func (d *driver) at(t time.Duration, f func()) { d.queue.push(max(t, d.now), f) }

// run handles events in order until the scenario is over and no task is in progress.
func (d *driver) run() (cut bool) {
	end := d.s.Length + 10*time.Second
	for _, c := range d.s.Classes {
		end = max(end, d.s.Length+c.Deadline+5*time.Second)
	}
	for n := 0; d.err == nil; n++ {
		at, f, ok := d.queue.pop()
		if !ok || at > end || at > d.s.Length && d.open == 0 {
			d.now = max(d.now, min(end, d.s.Length+d.s.Rules.AnswerSlack))
			return false
		}
		if n%4096 == 0 && d.o.Stop != nil && d.o.Stop() {
			return true
		}
		d.now = at
		f()
	}
	return false
}

func (d *driver) sample() {
	for _, p := range d.world.Procs {
		if !p.Dead {
			d.stats.Sample(d.now, p.Spec, p.Held(), p.Pressure(d.now))
		}
	}
	view, up := 0, 0
	for _, a := range d.agents {
		if a.up {
			view += a.inView()
			up++
		}
	}
	d.stats.InView(d.now, float64(view)/float64(max(up, 1)))
	d.checker.Advance(d.now)
	if d.o.Progress != nil && d.now%time.Second == 0 {
		d.o.Progress(d.now, d.stats)
	}
	if d.now+sampleEvery <= d.s.Length {
		d.at(d.now+sampleEvery, d.sample)
	}
}

func (d *driver) nextTask() {
	t, ok := d.load.Next()
	if !ok {
		return
	}
	d.at(t.At, func() {
		d.open++
		c := model.NewClient(d.s, t)
		d.try(&c)
		d.nextTask()
	})
}

// try sends a client's present try to its agent, which is on the same machine.
func (d *driver) try(c *model.Client) {
	d.stats.Try(d.now, &c.Task, c.Try)
	a := d.agents[c.Task.Agent]
	if !a.up || a.draining {
		d.tryAnswered(c, model.Unreachable, 0)
		return
	}
	left := c.Remaining(d.now)
	r := &request{id: c.ID(), task: &c.Task, try: c.Try, class: c.Task.Class, deadline: d.now + left}
	r.answer = func(kind model.Answer, after time.Duration) { d.tryAnswered(c, kind, after) }
	d.checker.Took(d.now, a.n, r.id, r.class, r.deadline)
	a.take(r)
}

// tryAnswered ends a try: the client is done or retries.
func (d *driver) tryAnswered(c *model.Client, kind model.Answer, after time.Duration) {
	if kind == model.Refused {
		d.stats.Refusal(d.now, c.Task.Class)
	}
	wait, again := c.Next(d.now, kind, after)
	if !again {
		d.open--
		d.stats.End(d.now, &c.Task, kind)
		return
	}
	d.at(d.now+wait, func() { d.try(c) })
}

// step passes an event to a process and carries out its effects.
func (d *driver) step(p *model.Proc, e model.ServerEvent) {
	d.applyEffects(p, p.Step(d.now, e))
}

func (d *driver) applyEffects(p *model.Proc, effects []model.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case model.Accepted, model.Rejected:
			c := d.conns[e.Conn]
			d.toAgent(c, func() { c.opened(e.Kind == model.Accepted) })
		case model.Replied:
			c := d.conns[e.Conn]
			if e.Result == decide.Rejected { // counted from now; the agent can't have learned it earlier
				d.checker.TurnedAway(d.now, e.Job.ID, p.Name)
			}
			row := d.stats.Server(p.Spec)
			switch e.Result {
			case decide.OK:
				row.Served++
			case decide.Rejected:
				row.Full++
			default:
				row.Errors++
			}
			d.toAgent(c, func() { c.replied(e.Result, e.Load) })
		case model.Closed:
			c := d.conns[e.Conn]
			d.toAgent(c, c.reset)
		case model.Ran:
			d.checker.Ran(d.now, e.Job.ID, p.Name)
		case model.Overloaded:
			informed := p.InformedShare(func(agent int) bool { return d.checker.KnowsStart(agent, p.Name, p.StartedAt()) })
			row := d.stats.Server(p.Spec)
			row.Fell = true
			row.Pressure = max(row.Pressure, p.Pressure(d.now))
			d.checker.Overloaded(d.now, p.Name, informed)
			messages := d.world.EndOverloaded(d.now, p)
			d.resetConns(p)
			d.deliver(messages)
		}
	}
	d.wake(p)
}

// wake schedules the next step of a process for the time of its next action.
func (d *driver) wake(p *model.Proc) {
	next := p.NextWake()
	if p.Dead || next == 0 || d.wakes[p] > 0 && d.wakes[p] <= next && d.wakes[p] >= d.now {
		return
	}
	d.wakes[p] = next
	d.at(next, func() {
		if !p.Dead && d.wakes[p] == next {
			d.wakes[p] = 0
			d.step(p, model.Wake{})
		}
	})
}

// toAgent delivers something from a connection's server to its agent, if the network connects them.
func (d *driver) toAgent(c *conn, f func()) {
	if c == nil || c.closed || c.proc.Silent || !d.world.Net.Connected(c.agent.zone, c.proc.Spec.Zone) {
		return
	}
	d.at(d.now+d.world.Net.Delay(c.agent.zone, c.proc.Spec.Zone), func() {
		if !c.closed {
			f()
		}
	})
}

// resetConns resets all connections to a process.
func (d *driver) resetConns(p *model.Proc) {
	delete(d.wakes, p)
	for _, c := range d.sortedConns() {
		if c.proc == p {
			d.toAgent(c, c.reset)
		}
	}
}

func (d *driver) apply(what any) {
	if op, ok := what.(model.Agents); ok {
		for n := op.From; n < op.To; n++ {
			if !op.Up && op.Drain {
				d.agents[n].drain()
			} else if !op.Up {
				d.agents[n].kill()
			} else if err := d.agents[n].start(d.now); err != nil {
				d.err = err
			}
		}
		return
	}
	r := d.world.Apply(d.now, what)
	for _, did := range r.Effects {
		d.applyEffects(did.Proc, did.Effects)
	}
	for _, p := range r.Died {
		d.resetConns(p)
	}
	d.deliver(r.Messages)
}

// list passes an event to the list.
func (d *driver) list(e model.ListEvent) { d.deliver(d.world.List.Step(d.now, e)) }

func (d *driver) deliver(messages []model.ListMessage) {
	for _, t := range messages {
		a := d.agents[t.Agent]
		generation := a.generation
		d.at(t.At, func() {
			if a.up && a.generation == generation {
				a.receiveList(t)
			}
		})
	}
	next := d.world.List.NextWake()
	if next == 0 || d.listAt >= d.now && d.listAt <= next && d.listAt > 0 {
		return
	}
	d.listAt = next
	d.at(next, func() {
		if d.listAt == next {
			d.listAt = 0
			d.list(model.Wake{})
		}
	})
}

// eventQueue is a heap of future events, by time and then in the order of insertion.
type eventQueue struct {
	heap []event
	seq  uint64
}

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (q *eventQueue) push(at time.Duration, f func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, f})
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.heap[i].before(q.heap[up]) {
			break
		}
		q.heap[i], q.heap[up] = q.heap[up], q.heap[i]
		i = up
	}
}

func (q *eventQueue) pop() (time.Duration, func(), bool) {
	if len(q.heap) == 0 {
		return 0, nil, false
	}
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if q.heap[c].before(q.heap[least]) {
				least = c
			}
		}
		if least == i {
			break
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
	return top.at, top.f, true
}

// Decide returns the agent's own policy.
func Decide(s decide.Settings, seed uint64) (Policy, error) {
	b, err := decide.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return b, nil
}
