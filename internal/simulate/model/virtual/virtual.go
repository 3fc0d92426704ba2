// Package virtual plays a scenario in simulated time: discrete events drive the servers, the list,
// the network and the clients of package emulate round instances of a policy, without I/O and
// without waiting. The same scenario, seed and policy give the same day, whatever the machine does.
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

// Policy is what decides for one agent; in service a *decide.Balancer.
type Policy interface {
	Step(now time.Duration, events []decide.Event) []decide.Action
}

// Options say what to play.
type Options struct {
	Scenario *model.Scenario
	Seed     uint64
	New      func(s decide.Settings, seed uint64) (Policy, error)
	Believe  bool                                       // agents believe each reading of records, and nothing else: a plain resolver, to compare with
	Progress func(now time.Duration, d *statistics.Day) // each simulated second; may be nil
	Stop     func() bool                                // asked now and then; may be nil
	// Balancers is what agents are told of their number at their start; 0: the truth.
	Balancers int
	// Count is what an agent's own view of the fleet says of it from then on; nil: it has none. Asked five times a
	// second.
	Count func(agent int, now time.Duration) (most, least int)
	Share *Sharing // nil: each agent sees servers by itself
	Notes bool     // agents pass the policy's own messages to one another, on links that lose nothing
	Ended Ended    // may be nil
}

const countEvery = 200 * time.Millisecond

// count has agents told what their views say, where that has changed.
func (d *driver) count() {
	for _, a := range d.agents {
		most, least := d.o.Count(a.n, d.now)
		if now := (decide.FleetSize{Max: most, Min: least}); a.up && most > 0 && now != a.counted {
			a.counted = now
			a.post(now)
		}
	}
	if d.now < d.s.Length {
		d.at(d.now+countEvery, d.count)
	}
}

// Played is how it went.
type Played struct {
	Day      *statistics.Day
	Judge    *checker.Judge
	CutShort bool
	Emptied  int // times that an agent was left with no server by what list and records said
	Messages int // between agents, and their bytes
	Bytes    int
}

// seer is a policy that is shown how all servers truly are, now or as they were a while ago: no agent can be
// such a one. It is there to compare with.
type seer interface {
	Sees(truth func(late time.Duration) []model.Sight)
}

const (
	truthEvery = 20 * time.Millisecond // how often the truth is kept for those that see it late
	truthKept  = 2 * time.Second
)

// truth is how all servers were, as shown to seers. The slice stays as it is.
func (d *driver) truth(late time.Duration) []model.Sight {
	if late <= 0 {
		return d.world.Sights(d.now)
	}
	if n := len(d.truths); n == 0 || d.now >= d.truths[n-1].at+truthEvery {
		d.truths = append(d.truths, past{d.now, d.world.Sights(d.now)})
		for d.truths[0].at < d.now-truthKept {
			d.truths = d.truths[1:]
		}
	}
	i := len(d.truths) - 1
	for i > 0 && d.truths[i].at > d.now-late {
		i--
	}
	return d.truths[i].sight
}

type past struct {
	at    time.Duration
	sight []model.Sight
}

// clockOffset is the policy's time at the scenario's start, so that all starts lie after zero.
const clockOffset = time.Hour

// sampleEvery is how often servers' queues are looked at.
const sampleEvery = 250 * time.Millisecond

type driver struct {
	o      Options
	s      *model.Scenario
	chance model.Chance
	now    time.Duration
	queue  eventQueue
	world  *model.World
	judge  *checker.Judge
	day    *statistics.Day
	agents []*agent
	load   *model.Load
	conns  map[int]*conn
	conn   int // the last number given
	wakes  map[*model.Proc]time.Duration
	listAt time.Duration
	open   int // tasks
	truths []past
	// emptied is how often an agent's merged list came out empty.
	emptied         int
	messages, bytes int
	roll            *rand.Rand
	err             error
}

// Play plays a scenario to its end, or until Stop says so.
func Play(o Options) (*Played, error) {
	s := o.Scenario
	chance := model.Chance(o.Seed).Sub(model.Name("rehearsal"))
	d := &driver{o: o, s: s, chance: chance, world: model.NewWorld(s, chance), load: model.NewLoad(s, chance),
		judge: checker.New(JudgeConfig(s, 0)), day: statistics.New(s), conns: map[int]*conn{}, wakes: map[*model.Proc]time.Duration{},
		roll: rand.New(rand.NewPCG(o.Seed, 51))}
	for i := range s.Agents {
		a := &agent{d: d, n: i, zone: s.ZoneOf(i)}
		d.agents = append(d.agents, a)
		a.view.set(d.world.List.Snapshot())
		if err := a.start(0); err != nil {
			return nil, err
		}
	}
	if o.Share != nil {
		if err := d.shareFrom(); err != nil {
			return nil, err
		}
	}
	for _, c := range s.Timeline {
		d.at(c.At, func() { d.apply(c.What) })
	}
	d.at(0, d.sample)
	if o.Count != nil {
		d.at(0, d.count)
	}
	if s.Records.Every > 0 {
		r := &records{d: d, spec: s.Records}
		d.at(0, r.look)
	}
	d.nextTask()
	cut := d.run()
	if d.err != nil {
		return nil, d.err
	}
	d.judge.End(d.now)
	d.day.Reads = d.world.List.Reads()
	d.day.Finish(min(d.now, s.Length))
	return &Played{d.day, d.judge, cut, d.emptied, d.messages, d.bytes}, nil
}

// JudgeConfig is what a scenario's rules say to the judge; times may be off by slack.
func JudgeConfig(s *model.Scenario, slack time.Duration) checker.Config {
	c := checker.Config{DrainGrace: s.Rules.DrainGrace, AnswerSlack: s.Rules.AnswerSlack + slack, Slack: slack,
		MaxAttempts: s.Rules.MaxAttempts}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, k.Class)
		c.Names = append(c.Names, k.Name)
	}
	return c
}

func (d *driver) at(t time.Duration, f func()) { d.queue.push(max(t, d.now), f) }

// run plays events in order until nothing is owed any more.
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
			d.day.Sample(d.now, p.Spec, p.Held(), p.Pressure(d.now))
		}
	}
	view, up := 0, 0
	for _, a := range d.agents {
		if a.up {
			view += a.inView()
			up++
		}
	}
	d.day.InView(d.now, float64(view)/float64(max(up, 1)))
	d.judge.Advance(d.now)
	if d.o.Progress != nil && d.now%time.Second == 0 {
		d.o.Progress(d.now, d.day)
	}
	if d.now+sampleEvery <= d.s.Length {
		d.at(d.now+sampleEvery, d.sample)
	}
}

// ---- Clients ----

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

// try sends a client's present try to its agent, on the same machine.
func (d *driver) try(c *model.Client) {
	d.day.Try(d.now, &c.Task, c.Try)
	a := d.agents[c.Task.Agent]
	if !a.up || a.leaving {
		d.answered(c, model.Unreachable, 0)
		return
	}
	left := c.Left(d.now)
	r := &request{id: c.ID(), task: &c.Task, try: c.Try, class: c.Task.Class, deadline: d.now + left}
	r.answer = func(kind model.Answer, after time.Duration) { d.answered(c, kind, after) }
	d.judge.Took(d.now, a.n, r.id, r.class, r.deadline)
	a.take(r)
}

// answered ends a try: the client is done, or tries again.
func (d *driver) answered(c *model.Client, kind model.Answer, after time.Duration) {
	if kind == model.Refused {
		d.day.Refusal(d.now, c.Task.Class)
	}
	wait, again := c.Next(d.now, kind, after)
	if !again {
		d.open--
		d.day.End(d.now, &c.Task, kind)
		return
	}
	d.at(d.now+wait, func() { d.try(c) })
}

// ---- Servers and the list ----

// step gives a process one event and carries out what it does.
func (d *driver) step(p *model.Proc, e model.ServerEvent) {
	d.did(p, p.Step(d.now, e))
}

func (d *driver) did(p *model.Proc, effects []model.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case model.Accepted, model.Rejected:
			c := d.conns[e.Conn]
			d.back(c, func() { c.came(e.Kind == model.Accepted) })
		case model.Replied:
			c := d.conns[e.Conn]
			if e.Result == decide.Rejected { // from when it is said: the agent can't know sooner
				d.judge.TurnedAway(d.now, e.Job.ID, p.Name)
			}
			row := d.day.Server(p.Spec)
			switch e.Result {
			case decide.OK:
				row.Served++
			case decide.Rejected:
				row.Full++
			default:
				row.Errors++
			}
			d.back(c, func() { c.replied(e.Result, e.Load) })
		case model.Closed:
			c := d.conns[e.Conn]
			d.back(c, c.reset)
		case model.Ran:
			d.judge.Ran(d.now, e.Job.ID, p.Name)
		case model.Fell:
			informed := p.Blame(func(agent int) bool { return d.judge.Knows(agent, p.Name, p.Born()) })
			row := d.day.Server(p.Spec)
			row.Fell = true
			row.Pressure = max(row.Pressure, p.Pressure(d.now))
			d.judge.Fell(d.now, p.Name, informed)
			tells := d.world.Fallen(d.now, p)
			d.died(p)
			d.tells(tells)
		}
	}
	d.wake(p)
}

// wake sees to it that a process is stepped when something is due.
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

// back carries something from a connection's server to its agent, if the way is open.
func (d *driver) back(c *conn, f func()) {
	if c == nil || c.over || c.proc.Silent || !d.world.Net.Open(c.agent.zone, c.proc.Spec.Zone) {
		return
	}
	d.at(d.now+d.world.Net.Way(c.agent.zone, c.proc.Spec.Zone), func() {
		if !c.over {
			f()
		}
	})
}

// died resets all connections to a process.
func (d *driver) died(p *model.Proc) {
	delete(d.wakes, p)
	for _, c := range d.sorted() {
		if c.proc == p {
			d.back(c, c.reset)
		}
	}
}

func (d *driver) apply(what any) {
	if op, ok := what.(model.Agents); ok {
		for n := op.From; n < op.To; n++ {
			if !op.Up && op.Drain {
				d.agents[n].leave()
			} else if !op.Up {
				d.agents[n].kill()
			} else if err := d.agents[n].start(d.now); err != nil {
				d.err = err
			}
		}
		return
	}
	r := d.world.Apply(d.now, what)
	for _, did := range r.Did {
		d.did(did.Proc, did.Effects)
	}
	for _, p := range r.Died {
		d.died(p)
	}
	d.tells(r.Tells)
}

// list gives the list one event.
func (d *driver) list(e model.ListEvent) { d.tells(d.world.List.Step(d.now, e)) }

func (d *driver) tells(tells []model.Tell) {
	for _, t := range tells {
		a := d.agents[t.Agent]
		life := a.life
		d.at(t.At, func() {
			if a.up && a.life == life {
				a.told(t)
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

// ---- Events ----

// eventQueue is a heap of what is to happen, by time and then in the order in which it was put in.
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

// Decide is the project's own policy.
func Decide(s decide.Settings, seed uint64) (Policy, error) {
	b, err := decide.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return b, nil
}
