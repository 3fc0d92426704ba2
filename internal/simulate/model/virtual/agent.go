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

// agent simulates the real agent: the same loop, table of requests, attempts and pool of
// connections as in package core, on the driver's clock.
type agent struct {
	fleetSize  decide.FleetSize // the fleet size that the policy has received last
	d          *driver
	n, zone    int
	up         bool
	draining   bool // accepts no new requests, and ends once it has answered its open requests
	generation int  // number of starts so far; events scheduled for an earlier one are ignored
	policy     Policy
	pending    []decide.Event
	lastStep   time.Duration // time of the last step
	nextStep   time.Duration // time of the next scheduled step; negative: none
	timers     timers
	requests   map[string]*request
	view       view
	merger     *endpoints.Module  // merges the list and the records; nil: there are no records
	reporter   *reporter          // nil: outcomes are not shared
	pools      map[string][]*conn // idle connections by server, the most recently used one last
}

// request is a request that an agent has accepted, until its attempts have ended.
type request struct {
	id       string
	task     *model.Task
	try      int
	class    int
	deadline time.Duration
	answer   func(model.Answer, time.Duration)
	done     bool // has its final answer
	open     int  // number of attempts in progress
	attempts []*attempt
}

type attempt struct {
	agent      *agent
	generation int
	r          *request
	n          int
	server     string
	sent       time.Duration
	process    int64 // start time of the server's process according to the agent's list
	conn       *conn
	written    bool
	ended      bool
}

// view is the agent's copy of the list.
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

// start starts the agent with the list that its previous process had last.
func (a *agent) start(now time.Duration) (err error) {
	if a.draining {
		a.kill()
	}
	if a.up {
		return nil
	}
	a.up, a.generation = true, a.generation+1
	a.pending, a.timers, a.requests, a.pools = nil, nil, map[string]*request{}, map[string][]*conn{}
	a.lastStep, a.nextStep = now-a.d.s.Tick, -1
	seed := a.d.seed.Derive(model.HashName("agent"), uint64(a.n), uint64(a.generation))
	settings := a.d.s.Settings(a.n)
	settings.Peers = a.d.o.Notes
	settings.Balancers, a.fleetSize = cmp.Or(a.d.o.Balancers, settings.Balancers), decide.FleetSize{}
	if a.policy, err = a.d.o.New(settings, uint64(seed)); err != nil {
		return err
	}
	if p, ok := a.policy.(oraclePolicy); ok {
		p.SetServerStates(a.d.serverStates)
	}
	for _, e := range a.view.entries {
		a.recordListed(e)
	}
	if a.d.s.Records.Every > 0 {
		a.merger = newMerger(a.d.s.Records)
		var all []endpoints.Server
		for _, e := range a.view.entries {
			all = append(all, endpointOf(e))
		}
		a.merger.Step(a.d.now, endpoints.Snapshot{Source: fromList, Servers: all})
	}
	a.post(decide.ListUpdate{Kind: decide.ListCached, Backends: backends(a.view.entries)})
	if a.reporter != nil {
		a.reporter.postEjections()
	}
	return nil
}

// drain ends the agent's process once it has no open requests.
func (a *agent) drain() {
	if a.draining = a.up; a.draining && len(a.requests) == 0 {
		a.kill()
	}
}

// kill ends the agent's process: its requests are lost, and its clients' connections break.
func (a *agent) kill() {
	if !a.up {
		return
	}
	a.up, a.draining = false, false
	a.d.checker.Stopped(a.d.now, a.n)
	for _, c := range a.d.sortedConns() {
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
	a.d.list(model.Unsubscribe{Agent: a.n})
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

func (a *agent) recordListed(e model.Entry) {
	a.d.checker.Listed(a.d.now, a.n, e.Server.Name, e.State, e.Server.Zone, e.Server.Pod, e.Started)
}

// receiveList handles a message of the list.
func (a *agent) receiveList(t model.ListMessage) {
	if t.Failed {
		a.post(decide.ListUpdate{Kind: decide.ListFailed})
		return
	}
	for _, e := range t.Entries {
		a.recordListed(e)
	}
	if a.merger != nil {
		if t.Full {
			a.d.checker.Unlisted(a.d.now, a.n, func(server string) bool {
				return slices.ContainsFunc(t.Entries, func(e model.Entry) bool { return e.Server.Name == server })
			})
		}
		a.mergeList(t)
		return
	}
	kind := decide.ListDelta
	if t.Full {
		kind = decide.ListFull
		a.view.set(t.Version, t.Entries)
		a.d.checker.Unlisted(a.d.now, a.n, func(server string) bool { _, ok := a.view.places[server]; return ok })
	} else {
		a.view.change(t.Version, t.Entries)
	}
	a.post(decide.ListUpdate{Kind: kind, Backends: backends(t.Entries)})
	if a.reporter != nil {
		a.reporter.updateList(t.Entries, t.Full)
	}
}

func (a *agent) post(e decide.Event) {
	a.pending = append(a.pending, e)
	a.scheduleStep(a.d.now)
}

// scheduleStep schedules a step at a time, or as soon after it as the tick allows.
func (a *agent) scheduleStep(at time.Duration) {
	at = max(at, a.lastStep+a.d.s.Tick)
	if a.nextStep >= 0 && a.nextStep <= at {
		return
	}
	a.nextStep = at
	generation := a.generation
	a.d.at(at, func() {
		if a.up && a.generation == generation && a.nextStep == at {
			a.step()
		}
	})
}

func (a *agent) step() {
	now := a.d.now
	a.nextStep = -1
	for len(a.timers) > 0 && a.timers[0].at <= now {
		a.pending = append(a.pending, decide.TimerFired{Token: heap.Pop(&a.timers).(timer).token})
	}
	if len(a.pending) > 0 {
		a.lastStep = now
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
		a.scheduleStep(now)
	}
	if len(a.timers) > 0 {
		a.scheduleStep(a.timers[0].at)
	}
}

// margin returns the time that is reserved before the client's deadline, so that a time-out of an attempt
// reaches the policy early enough for the client to get the final answer.
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
		a.countTurnedAway(act.Request, act.Reason)
		a.answer(act.Request, checker.Refused, model.Refused, act.RetryAfter)
	case decide.Fail:
		a.countTurnedAway(act.Request, act.Reason)
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
		a.d.stats.Call(a.d.now)
		a.d.list(model.Subscribe{Agent: a.n, Since: a.view.version})
	}
}

func (a *agent) countTurnedAway(id string, why decide.Reason) {
	if r := a.requests[id]; r != nil {
		a.d.stats.TurnedAway(a.d.now, r.class, why)
	}
}

func (a *agent) take(r *request) {
	a.requests[r.id] = r
	a.post(decide.Request{ID: r.id, Class: r.class, Work: r.task.Hint})
	generation := a.generation
	alive := func() bool { return a.up && a.generation == generation && !r.done }
	a.d.at(r.deadline, func() { // the client stops waiting and reads no later answer
		if alive() && r.answer != nil {
			answer := r.answer
			r.answer = nil
			answer(model.NoAnswer, 0)
		}
	})
	// If the policy has not answered, the real agent answers for it half of AnswerSlack after the deadline.
	// Here only the policy answers; without its answer the checker reports a breach.
	a.d.at(r.deadline+a.d.s.Rules.AnswerSlack, func() {
		if alive() {
			r.done = true
			a.post(decide.RequestCancelled{Request: r.id})
			a.removeIfDone(r)
		}
	})
}

// answer delivers a final answer of the policy. An answer to a request that has ended goes to the
// checker only, since a connection can't carry a second answer.
func (a *agent) answer(id string, kind checker.Kind, result model.Answer, after time.Duration) {
	if r := a.requests[id]; r != nil {
		a.finish(r, kind, result, after)
	} else {
		a.d.checker.Answered(a.d.now, a.n, id, kind)
	}
}

// finish delivers a final answer. The policy must give exactly one, and the checker verifies that.
func (a *agent) finish(r *request, kind checker.Kind, result model.Answer, after time.Duration) {
	a.d.checker.Answered(a.d.now, a.n, r.id, kind)
	if !r.done {
		r.done = true
		if answer := r.answer; answer != nil {
			r.answer = nil
			answer(result, after)
		}
	}
	a.removeIfDone(r)
}

func (a *agent) removeIfDone(r *request) {
	if r.done && r.open == 0 {
		delete(a.requests, r.id)
		if a.draining && len(a.requests) == 0 {
			generation := a.generation // deferred to an event, since the caller still uses the request
			a.d.at(a.d.now, func() {
				if a.generation == generation && a.draining {
					a.kill()
				}
			})
		}
	}
}

func (a *agent) send(s decide.Send) {
	r := a.requests[s.Request]
	if r == nil {
		a.post(decide.Outcome{Request: s.Request, Backend: s.Backend, Result: decide.NotSent, Answered: true})
		return
	}
	now := a.d.now
	t := &attempt{agent: a, generation: a.generation, r: r, n: len(r.attempts), server: s.Backend, sent: now}
	if a.reporter != nil {
		t.process = a.reporter.starts[s.Backend]
	}
	r.attempts = append(r.attempts, t)
	r.open++
	a.d.stats.Attempt(now, r.class, s.Backend)
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
		c.assign(t)
		c.write()
		return
	}
	a.dial(t, place)
}

// end records the one outcome of an attempt.
func (t *attempt) end(result decide.Result, load decide.Load) {
	a := t.agent
	if t.ended || a.generation != t.generation || !a.up {
		return
	}
	t.ended = true
	r := t.r
	r.open--
	if c := t.conn; c != nil {
		t.conn, c.attempt = nil, nil
		if result == decide.OK || result == decide.Errored || result == decide.Rejected {
			c.putIdle()
		} else {
			c.close()
		}
	}
	if result == decide.OK && !r.done {
		a.finish(r, checker.Served, model.Served, 0)
	}
	a.post(decide.Outcome{Request: r.id, Attempt: t.n, Backend: t.server, Result: result,
		Latency: a.d.now - t.sent, Answered: r.done, Load: load})
	if a.reporter != nil {
		a.reporter.observe(t, result)
	}
	if a.d.o.Ended != nil {
		a.d.o.Ended(a.d.now, a.n, t.server, result)
	}
	a.removeIfDone(r)
}

// conn is a connection of an agent to a process.
type conn struct {
	id          int
	agent       *agent
	server      string // the agent's name for it; another server may have its address by now
	proc        *model.Proc
	attempt     *attempt
	ready       bool
	closed      bool
	answersLost bool // answers are lost
	idleSince   time.Duration
}

const minIdleTime = 20 * time.Millisecond // as in the real agent

// inView returns the number of servers that the agent has connections to.
func (a *agent) inView() int {
	seen := map[string]bool{}
	for server, list := range a.pools {
		if len(list) > 0 {
			seen[server] = true
		}
	}
	for _, r := range a.requests {
		for _, t := range r.attempts {
			if !t.ended {
				seen[t.server] = true
			}
		}
	}
	return len(seen)
}

// idle takes the most recently used connection that has been idle for minIdleTime or, if there is no such connection,
// the most recently used one.
func (a *agent) idle(server string) *conn {
	list := a.pools[server]
	keep := a.d.s.Rules.IdleClose * 3 / 4 // as in the real agent
	for len(list) > 0 && a.d.now-list[0].idleSince >= keep {
		list[0].close()
		list = a.pools[server]
	}
	if len(list) == 0 {
		return nil
	}
	i := len(list) - 1
	for i > 0 && a.d.now-list[i].idleSince < minIdleTime {
		i--
	}
	if a.d.now-list[i].idleSince < minIdleTime {
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
		// No process listens there, so its machine refuses the connection.
		d.at(d.now+2*d.world.Net.Delay(a.zone, a.zone), func() { t.end(decide.ConnectFailed, decide.Load{}) })
		return
	}
	d.lastConn++
	d.stats.Dial(d.now, t.r.class)
	c := &conn{id: d.lastConn, agent: a, server: t.server, proc: p}
	d.conns[c.id] = c
	c.assign(t)
	c.toServer(func() { d.step(p, model.Dial{Conn: c.id, Agent: a.n}) })
}

func (c *conn) assign(t *attempt) { c.attempt, t.conn = t, c }

// toServer delivers something to the server, if the network connects them.
func (c *conn) toServer(f func()) {
	d, p := c.agent.d, c.proc
	if p.Silent || !d.world.Net.Connected(c.agent.zone, p.Spec.Zone) {
		return
	}
	d.at(d.now+d.world.Net.Delay(c.agent.zone, p.Spec.Zone), func() {
		if !p.Dead && !p.Silent {
			f()
		}
	})
}

// opened handles the result of the dial: the connection is established or refused.
func (c *conn) opened(up bool) {
	t, d := c.attempt, c.agent.d
	if t == nil {
		return
	}
	if !up {
		t.end(decide.ConnectFailed, decide.Load{})
		return
	}
	c.ready = true
	trips := time.Duration(max(0, d.s.Kinds[c.proc.Spec.Kind].HandshakeRTT-1) * 2 * float64(d.world.Net.Delay(c.agent.zone, c.proc.Spec.Zone)))
	d.at(d.now+trips, func() {
		if !c.closed && c.attempt == t {
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
		d.at(d.now+d.world.Net.Delay(c.agent.zone, c.proc.Spec.Zone), c.reset)
		if before {
			return
		}
	}
	if d.world.Net.LosesAnswer() {
		c.answersLost = true
	}
	work, draw := t.r.task.Attempt(d.s, d.seed, t.r.try, t.n)
	job := model.Job{ID: t.r.id, Agent: c.agent.n, Class: t.r.class, Key: t.r.task.Key, Work: work, Draw: draw, Sent: began}
	p := c.proc
	c.toServer(func() {
		d.checker.Arrived(d.now, began, c.agent.n, job.ID, c.server)
		if p.Name != c.server { // another process has the address now and runs the request
			d.checker.Moved(job.ID, c.server, p.Name)
		}
		d.step(p, model.Arrive{Conn: c.id, Job: job})
	})
}

func (c *conn) replied(result decide.Result, load decide.Load) {
	if c.answersLost {
		return
	}
	if t := c.attempt; t != nil {
		t.end(result, load)
	}
}

// reset handles the end of the connection by the server.
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

// putIdle keeps the connection for a later attempt.
func (c *conn) putIdle() {
	a := c.agent
	if c.closed || a.view.places[c.server] != c.proc.Spec.Place {
		c.close()
		return
	}
	c.idleSince = a.d.now
	a.pools[c.server] = append(a.pools[c.server], c)
}

// close ends the connection from the agent's side.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.agent.d.conns, c.id)
	if list := c.agent.pools[c.server]; len(list) > 0 {
		if i := slices.Index(list, c); i >= 0 {
			c.agent.pools[c.server] = slices.Delete(list, i, i+1)
		}
	}
	c.toServer(func() { c.agent.d.step(c.proc, model.Hangup{Conn: c.id}) })
}

// sortedConns returns all connections, oldest first, since the order of a map is random.
func (d *driver) sortedConns() []*conn {
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
