package virtual

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/source/endpoints"
)

// agent stands in for the real agent: the same loop, table of requests, attempts and pool of
// connections as in package agent, on the driver's clock.
type agent struct {
	counted  decide.FleetSize // what it was last told of the fleet's size
	d        *driver
	n, zone  int
	up       bool
	leaving  bool // takes nothing new, and ends once it has answered what it took
	life     int  // starts so far: what was planned for an earlier one is void
	policy   Policy
	pending  []decide.Event
	stepped  time.Duration // the last step
	stepping time.Duration // the next one that is planned; negative: none
	timers   timers
	requests map[string]*request
	view     view
	members  *endpoints.Module  // merges list and records; nil: there are no records
	share    *sharer            // nil: it sees servers by itself
	pools    map[string][]*conn // idle connections by server, the latest used last
}

// request is one that an agent has taken, until its attempts are in.
type request struct {
	id       string
	task     *model.Task
	try      int
	class    int
	deadline time.Duration
	answer   func(model.Answer, time.Duration)
	done     bool
	open     int
	attempts []*attempt
}

type attempt struct {
	agent   *agent
	life    int
	r       *request
	n       int
	server  string
	sent    time.Duration
	process int64 // start of its server's process, as the agent's list had it
	conn    *conn
	written bool
	over    bool
}

// view is the list as the agent has it.
type view struct {
	version int64
	entries []model.Entry
	places  map[string]int
}

func (v *view) set(version int64, entries []model.Entry) {
	v.version, v.entries, v.places = version, slices.Clone(entries), map[string]int{}
	for _, e := range entries {
		v.places[e.Server.Name] = e.Server.Place
	}
}

func (v *view) change(version int64, entries []model.Entry) {
	v.version = version
	for _, e := range entries {
		i := slices.IndexFunc(v.entries, func(o model.Entry) bool { return o.Server.Name == e.Server.Name })
		switch {
		case e.State == decide.Removed:
			if i >= 0 {
				v.entries = slices.Delete(v.entries, i, i+1)
			}
			delete(v.places, e.Server.Name)
			continue
		case i >= 0:
			v.entries[i] = e
		default:
			v.entries = append(v.entries, e)
		}
		v.places[e.Server.Name] = e.Server.Place
	}
}

// start begins anew with the list as the agent had it last.
func (a *agent) start(now time.Duration) (err error) {
	if a.leaving {
		a.kill()
	}
	if a.up {
		return nil
	}
	a.up, a.life = true, a.life+1
	a.pending, a.timers, a.requests, a.pools = nil, nil, map[string]*request{}, map[string][]*conn{}
	a.stepped, a.stepping = now-a.d.s.Tick, -1
	seed := a.d.chance.Sub(model.Name("agent"), uint64(a.n), uint64(a.life))
	settings := a.d.s.Settings(a.n)
	settings.Peers = a.d.o.Notes
	settings.Balancers, a.counted = cmp.Or(a.d.o.Balancers, settings.Balancers), decide.FleetSize{}
	if a.policy, err = a.d.o.New(settings, uint64(seed)); err != nil {
		return err
	}
	if p, ok := a.policy.(seer); ok {
		p.Sees(a.d.truth)
	}
	for _, e := range a.view.entries {
		a.tell(e)
	}
	if a.d.s.Records.Every > 0 {
		a.members = newMembers(a.d.s.Records)
		var all []endpoints.Server
		for _, e := range a.view.entries {
			all = append(all, member(e))
		}
		a.members.Step(a.d.now, endpoints.Snapshot{Source: fromList, Servers: all})
	}
	a.post(decide.ListUpdate{Kind: decide.ListCached, Backends: backends(a.view.entries)})
	if a.share != nil {
		a.share.tell()
	}
	return nil
}

// leave ends the agent's process once it has nothing open.
func (a *agent) leave() {
	if a.leaving = a.up; a.leaving && len(a.requests) == 0 {
		a.kill()
	}
}

// kill ends the agent's process: what it holds is void, its clients' connections break.
func (a *agent) kill() {
	if !a.up {
		return
	}
	a.up, a.leaving = false, false
	a.d.judge.Stopped(a.d.now, a.n)
	for _, c := range a.d.sorted() {
		if c.agent == a {
			c.close()
		}
	}
	var held []*request
	for _, r := range a.requests {
		if !r.done {
			held = append(held, r)
		}
	}
	slices.SortFunc(held, func(x, y *request) int {
		if x.id < y.id {
			return -1
		}
		return 1
	})
	for _, r := range held {
		if r.done = true; r.answer != nil {
			r.answer(model.Failed, 0)
		}
	}
	a.requests = nil
	a.d.list(model.Leave{Agent: a.n})
}

func backends(entries []model.Entry) []decide.Backend {
	list := make([]decide.Backend, 0, len(entries))
	for _, e := range entries {
		b := decide.Backend{ID: e.Server.Name, State: e.State, Zone: e.Server.Zone, Cell: e.Server.Pod, Kind: e.Server.Kind, Weight: 1}
		if e.Started > 0 {
			b.Started = e.Started + clockOffset
		}
		list = append(list, b)
	}
	return list
}

func (a *agent) tell(e model.Entry) {
	a.d.judge.Told(a.d.now, a.n, e.Server.Name, e.State, e.Server.Zone, e.Server.Pod, e.Started)
}

// told takes a message of the list.
func (a *agent) told(t model.Tell) {
	if t.Failed {
		a.post(decide.ListUpdate{Kind: decide.ListFailed})
		return
	}
	for _, e := range t.Entries {
		a.tell(e)
	}
	if a.members != nil {
		if t.Full {
			a.d.judge.Missing(a.d.now, a.n, func(server string) bool {
				return slices.ContainsFunc(t.Entries, func(e model.Entry) bool { return e.Server.Name == server })
			})
		}
		a.listed(t)
		return
	}
	kind := decide.ListDelta
	if t.Full {
		kind = decide.ListFull
		a.view.set(t.Version, t.Entries)
		a.d.judge.Missing(a.d.now, a.n, func(server string) bool { _, ok := a.view.places[server]; return ok })
	} else {
		a.view.change(t.Version, t.Entries)
	}
	a.post(decide.ListUpdate{Kind: kind, Backends: backends(t.Entries)})
	if a.share != nil {
		a.share.listed(t.Entries, t.Full)
	}
}

// ---- The loop ----

func (a *agent) post(e decide.Event) {
	a.pending = append(a.pending, e)
	a.plan(a.d.now)
}

// plan sees to a step at a time, or as soon after as the tick allows.
func (a *agent) plan(at time.Duration) {
	at = max(at, a.stepped+a.d.s.Tick)
	if a.stepping >= 0 && a.stepping <= at {
		return
	}
	a.stepping = at
	life := a.life
	a.d.at(at, func() {
		if a.up && a.life == life && a.stepping == at {
			a.step()
		}
	})
}

func (a *agent) step() {
	now := a.d.now
	a.stepping = -1
	for len(a.timers) > 0 && a.timers[0].at <= now {
		a.pending = append(a.pending, decide.TimerFired{Token: heap.Pop(&a.timers).(timer).token})
	}
	if len(a.pending) > 0 {
		a.stepped = now
		events := a.pending
		a.pending = nil
		for i, e := range events {
			if e, ok := e.(decide.Request); ok && a.requests[e.ID] != nil {
				e.Remaining = a.requests[e.ID].deadline - a.margin() - now
				events[i] = e
			}
		}
		for _, act := range a.policy.Step(now+clockOffset, events) {
			a.execute(act)
		}
	}
	if len(a.pending) > 0 {
		a.plan(now)
	}
	if len(a.timers) > 0 {
		a.plan(a.timers[0].at)
	}
}

// margin is kept free before the client's time is up: a time-out at its end reaches the policy in
// time for the client to hear the final answer.
func (a *agent) margin() time.Duration { return a.d.s.Tick }

func (a *agent) execute(act decide.Action) {
	switch act := act.(type) {
	case decide.Send:
		a.send(act)
	case decide.Cancel:
		if r := a.requests[act.Request]; r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
			r.attempts[act.Attempt].end(decide.Cancelled, decide.Load{})
		}
	case decide.Refuse:
		a.turnedAway(act.Request, act.Reason)
		a.answer(act.Request, checker.Refused, model.Refused, act.RetryAfter)
	case decide.Fail:
		a.turnedAway(act.Request, act.Reason)
		a.answer(act.Request, checker.Failed, model.Failed, 0)
	case decide.SendToPeer:
		if to := act.To; a.d.o.Notes && to >= 0 && to < len(a.d.agents) {
			a.d.messages++
			a.d.bytes += len(act.Data)
			a.d.at(a.d.now+time.Millisecond, func() {
				if o := a.d.agents[to]; o.up {
					o.post(decide.PeerMessage{From: a.n, Data: act.Data})
				}
			})
		}
	case decide.SetTimer:
		heap.Push(&a.timers, timer{a.d.now + act.After, act.Token})
	case decide.Subscribe:
		a.d.day.Call(a.d.now)
		a.d.list(model.Ask{Agent: a.n, Since: a.view.version})
	}
}

func (a *agent) turnedAway(id string, why decide.Reason) {
	if r := a.requests[id]; r != nil {
		a.d.day.TurnedAway(a.d.now, r.class, why)
	}
}

func (a *agent) take(r *request) {
	a.requests[r.id] = r
	a.post(decide.Request{ID: r.id, Class: r.class, Work: r.task.Hint})
	life := a.life
	alive := func() bool { return a.up && a.life == life && !r.done }
	a.d.at(r.deadline, func() { // the client leaves; what it may still be told is nobody's any more
		if alive() && r.answer != nil {
			answer := r.answer
			r.answer = nil
			answer(model.NoAnswer, 0)
		}
	})
	// The real agent answers in the policy's stead half a slack later. Here the policy has to, or the
	// judge says so.
	a.d.at(r.deadline+a.d.s.Rules.AnswerSlack, func() {
		if alive() {
			r.done = true
			a.post(decide.RequestCancelled{Request: r.id})
			a.forget(r)
		}
	})
}

// answer carries a final answer of the policy out. One for a request that has ended is for the
// judge alone: on a connection there is no room for a second.
func (a *agent) answer(id string, kind checker.Kind, told model.Answer, after time.Duration) {
	if r := a.requests[id]; r != nil {
		a.finish(r, kind, told, after)
	} else {
		a.d.judge.Answered(a.d.now, a.n, id, kind)
	}
}

// finish gives a final answer. That there is only one is the policy's to see to, and the judge's.
func (a *agent) finish(r *request, kind checker.Kind, told model.Answer, after time.Duration) {
	a.d.judge.Answered(a.d.now, a.n, r.id, kind)
	if !r.done {
		r.done = true
		if answer := r.answer; answer != nil {
			r.answer = nil
			answer(told, after)
		}
	}
	a.forget(r)
}

func (a *agent) forget(r *request) {
	if r.done && r.open == 0 {
		delete(a.requests, r.id)
		if a.leaving && len(a.requests) == 0 {
			life := a.life // not now: whoever forgets is in the midst of it
			a.d.at(a.d.now, func() {
				if a.life == life && a.leaving {
					a.kill()
				}
			})
		}
	}
}

// ---- Attempts ----

func (a *agent) send(s decide.Send) {
	r := a.requests[s.Request]
	if r == nil {
		a.post(decide.Outcome{Request: s.Request, Backend: s.Backend, Result: decide.NotSent, Answered: true})
		return
	}
	now := a.d.now
	t := &attempt{agent: a, life: a.life, r: r, n: len(r.attempts), server: s.Backend, sent: now}
	if a.share != nil {
		t.process = a.share.starts[s.Backend]
	}
	r.attempts = append(r.attempts, t)
	r.open++
	a.d.day.Attempt(now, r.class, s.Backend)
	until := r.deadline - a.margin()
	if s.Timeout > 0 {
		until = min(until, now+s.Timeout)
	}
	a.d.at(until, func() {
		if t.written {
			t.end(decide.TimedOut, decide.Load{})
		} else {
			t.end(decide.Incomplete, decide.Load{})
		}
	})
	place, ok := a.view.places[s.Backend]
	if !ok {
		a.d.at(now, func() { t.end(decide.ConnectFailed, decide.Load{}) })
		return
	}
	if c := a.idle(s.Backend); c != nil {
		c.use(t)
		c.write()
		return
	}
	a.dial(t, place)
}

// end is an attempt's one outcome.
func (t *attempt) end(result decide.Result, load decide.Load) {
	a := t.agent
	if t.over || a.life != t.life || !a.up {
		return
	}
	t.over = true
	r := t.r
	r.open--
	if c := t.conn; c != nil {
		t.conn, c.attempt = nil, nil
		if result == decide.OK || result == decide.Errored || result == decide.Rejected {
			c.rest()
		} else {
			c.close()
		}
	}
	if result == decide.OK && !r.done {
		a.finish(r, checker.Served, model.Served, 0)
	}
	a.post(decide.Outcome{Request: r.id, Attempt: t.n, Backend: t.server, Result: result,
		Latency: a.d.now - t.sent, Answered: r.done, Load: load})
	if a.share != nil {
		a.share.saw(t, result)
	}
	if a.d.o.Ended != nil {
		a.d.o.Ended(a.d.now, a.n, t.server, result)
	}
	a.forget(r)
}

// ---- Connections ----

// conn is one connection of an agent to a process.
type conn struct {
	id      int
	agent   *agent
	server  string // as the agent names it: another may have its address by now
	proc    *model.Proc
	attempt *attempt
	ready   bool
	over    bool
	mute    bool // what comes back is lost
	since   time.Duration
}

const restTime = 20 * time.Millisecond // as in package agent

// inView is how many servers it has a connection to.
func (a *agent) inView() int {
	seen := map[string]bool{}
	for server, list := range a.pools {
		if len(list) > 0 {
			seen[server] = true
		}
	}
	for _, r := range a.requests {
		for _, t := range r.attempts {
			if !t.over {
				seen[t.server] = true
			}
		}
	}
	return len(seen)
}

// idle takes the connection used last of those that have rested, else the last one.
func (a *agent) idle(server string) *conn {
	list := a.pools[server]
	keep := a.d.s.Rules.IdleClose * 3 / 4 // as the real agent
	for len(list) > 0 && a.d.now-list[0].since >= keep {
		list[0].close()
		list = a.pools[server]
	}
	if len(list) == 0 {
		return nil
	}
	i := len(list) - 1
	for i > 0 && a.d.now-list[i].since < restTime {
		i--
	}
	if a.d.now-list[i].since < restTime {
		i = len(list) - 1
	}
	c := list[i]
	a.pools[server] = slices.Delete(list, i, i+1)
	return c
}

func (a *agent) dial(t *attempt, place int) {
	d := a.d
	p := d.world.At(place)
	d.at(d.now+d.s.Rules.ConnectTimeout, func() {
		if t.conn == nil || !t.conn.ready {
			t.end(decide.ConnectFailed, decide.Load{})
		}
	})
	if p == nil {
		// Nothing listens there: its machine says so, if it can be reached.
		d.at(d.now+2*d.world.Net.Way(a.zone, a.zone), func() { t.end(decide.ConnectFailed, decide.Load{}) })
		return
	}
	d.conn++
	d.day.Dial(d.now, t.r.class)
	c := &conn{id: d.conn, agent: a, server: t.server, proc: p}
	d.conns[c.id] = c
	c.use(t)
	c.forth(func() { d.step(p, model.Dial{Conn: c.id, Agent: a.n}) })
}

func (c *conn) use(t *attempt) { c.attempt, t.conn = t, c }

// forth carries something to the server, if the way is open.
func (c *conn) forth(f func()) {
	d, p := c.agent.d, c.proc
	if p.Silent || !d.world.Net.Open(c.agent.zone, p.Spec.Zone) {
		return
	}
	d.at(d.now+d.world.Net.Way(c.agent.zone, p.Spec.Zone), func() {
		if !p.Dead && !p.Silent {
			f()
		}
	})
}

// came says that the connection is up, or refused.
func (c *conn) came(up bool) {
	t, d := c.attempt, c.agent.d
	if t == nil {
		return
	}
	if !up {
		t.end(decide.ConnectFailed, decide.Load{})
		return
	}
	c.ready = true
	trips := time.Duration(max(0, d.s.Kinds[c.proc.Spec.Kind].HandshakeRTT-1) * 2 * float64(d.world.Net.Way(c.agent.zone, c.proc.Spec.Zone)))
	d.at(d.now+trips, func() {
		if !c.over && c.attempt == t {
			c.write()
		}
	})
}

// write sends the attempt's request.
func (c *conn) write() {
	t, d := c.attempt, c.agent.d
	t.written = true
	began := d.now
	breaks, before := d.world.Net.Breaks()
	if breaks {
		d.at(d.now+d.world.Net.Way(c.agent.zone, c.proc.Spec.Zone), c.reset)
		if before {
			return
		}
	}
	if d.world.Net.Loses() {
		c.mute = true
	}
	work, luck := t.r.task.Attempt(d.s, d.chance, t.r.try, t.n)
	job := model.Job{ID: t.r.id, Agent: c.agent.n, Class: t.r.class, Key: t.r.task.Key, Work: work, Luck: luck, Sent: began}
	p := c.proc
	c.forth(func() {
		d.judge.Arrived(d.now, began, c.agent.n, job.ID, c.server)
		if p.Name != c.server { // another process has the address: it is that one that runs it
			d.judge.Moved(job.ID, c.server, p.Name)
		}
		d.step(p, model.Arrive{Conn: c.id, Job: job})
	})
}

func (c *conn) replied(result decide.Result, load decide.Load) {
	if c.mute {
		return
	}
	if t := c.attempt; t != nil {
		t.end(result, load)
	}
}

// reset ends the connection from the other side.
func (c *conn) reset() {
	t := c.attempt
	switch {
	case t == nil:
		c.close()
	case t.written:
		t.end(decide.Reset, decide.Load{})
	default:
		t.end(decide.Incomplete, decide.Load{})
	}
}

// rest keeps the connection for the next attempt.
func (c *conn) rest() {
	a := c.agent
	if c.over || a.view.places[c.server] != c.proc.Spec.Place {
		c.close()
		return
	}
	c.since = a.d.now
	a.pools[c.server] = append(a.pools[c.server], c)
}

// close ends the connection from the agent's side.
func (c *conn) close() {
	if c.over {
		return
	}
	c.over = true
	delete(c.agent.d.conns, c.id)
	if list := c.agent.pools[c.server]; len(list) > 0 {
		if i := slices.Index(list, c); i >= 0 {
			c.agent.pools[c.server] = slices.Delete(list, i, i+1)
		}
	}
	c.forth(func() { c.agent.d.step(c.proc, model.Hangup{Conn: c.id}) })
}

// sorted is all connections, oldest first: a map has no order.
func (d *driver) sorted() []*conn {
	all := make([]*conn, 0, len(d.conns))
	for _, c := range d.conns {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *conn) int { return a.id - b.id })
	return all
}

type timer struct {
	at    time.Duration
	token int64
}

type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].token < h[j].token
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
