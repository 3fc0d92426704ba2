package decide

import "time"

// holdUp is how long an agent may be held up between its last look at the clock and the write that goes
// by it: the figure that the platform states. A window that closes sooner than that counts as closed.
const holdUp = 150 * time.Millisecond

// send starts an attempt. Nothing else does; the rules are checked here last.
func (b *Balancer) send(r *request, t *backend) {
	if t.State != Up || b.now < t.leaves || !b.mayRepeat(r, t) || b.now >= r.deadline {
		b.finish(r, DeadlineTooClose)
		return
	}
	a := &attempt{b: t, list: b.lists, zone: t.Zone, cell: t.Cell, kind: t.Kind, sent: b.now,
		cost: max(b.expected(r), 1), open: true}
	a.units = a.cost / b.classes[0].latency
	taken, until, dial, ok := b.book.Reserve(b.now, b.use(r, t))
	if !ok {
		b.finish(r, NoLease)
		return
	}
	a.rights, a.noDial = taken, !dial
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky++; r.anchor == nil {
		r.anchor = a
	} else if c := &b.classes[r.class]; c.Effect == Keyed {
		until = min(until, r.anchor.sent+c.DedupWindow-holdUp)
	}
	b.credit = max(b.credit-a.cost, -a.cost) // what goes out on no credit adds to no debt
	// Attempts, not requests: an agent that refuses would see its traffic grow by those that come
	// again, look at more backends, connect to them and find their tables full, as all others do.
	if b.lastAt > 0 {
		b.gap = blend(b.gap, float64(b.now-b.lastAt))
	}
	b.lastAt = b.now
	if !r.upload {
		b.takeUp(r, a)
	}
	t.budget -= a.units // of use while it is cold
	s := Send{Request: r.id, Backend: t.ID, ReuseOnly: a.noDial}
	if until < 1<<63-1 { // the latest there is: nothing bounds it
		s.StartBy = until
	}
	b.actions = append(b.actions, s)
}

// takeUp counts an attempt as work in hand, from when its backend has all of it.
func (b *Balancer) takeUp(r *request, a *attempt) {
	a.load, a.sent = true, b.now
	a.b.out = append(a.b.out, a)
	b.inFlight++
	if b.thin() {
		aim := float64(b.classes[r.class].Objective)
		b.watched[b.alarm(time.Duration(min(aim, max(overdueAt*aim, overdueCost*a.cost))))] = a
	}
}

// putDown ends that.
func (b *Balancer) putDown(a *attempt) {
	if a.load {
		a.load = false
		b.inFlight--
		a.b.out = without(a.b.out, a)
	}
}

// finish gives a request its final answer. Nothing else does. It is a refusal
// where no attempt may have run, which lets any client try again; else a failure.
func (b *Balancer) finish(r *request, why Reason) {
	if r.ended {
		return
	}
	var answer Action = Fail{r.id, why, r.name(why)}
	if r.risky == 0 {
		answer = Refuse{r.id, b.comeBack(r, why), why, r.name(why)}
	}
	b.actions = append(b.actions, answer)
	b.close(r)
}

// comeBack is when a refused client may try again: spread over a few times the time in which what
// is held and in flight now is served. Sooner, repeats would meet the same crowd.
func (b *Balancer) comeBack(r *request, why Reason) time.Duration {
	if !b.s.RetryAfter {
		return 0
	}
	if why == NoLease {
		return min(time.Duration((1+b.rng.Float64())*float64(returnWithin)), b.s.MaxRetryAfter)
	}
	ahead := max(1, float64(b.inFlight+len(b.held))/b.limit())
	return min(time.Duration((2+2*b.rng.Float64())*ahead*b.classes[r.class].latency), b.s.MaxRetryAfter)
}

// close forgets a request once it has ended and its attempts are in.
func (b *Balancer) close(r *request) {
	r.ended = true
	if r.holding {
		b.unhold(r)
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}
