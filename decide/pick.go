package decide

import (
	"cmp"
	"math"
	"time"
)

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) hold(r *request) {
	r.holding = true
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.holding = false
	b.held = without(b.held, r)
}

// releaseHeld sends what is held while there is room: first tries before clients' repeats, the
// most valuable class first, within it the newest. Waiting here costs the backends nothing; it
// ends when an answer within the aim is out of reach.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	for i := range b.classes {
		b.classes[i].value = b.value(i)
	}
	for {
		best, value := -1, 0.0
		for i, r := range b.held {
			if r.passed {
				continue
			}
			v := b.classes[r.class].value
			if r.repeat {
				v *= repeatValue
			}
			if r.aim-b.now < time.Duration(b.expected(r)/2) {
				v *= b.classes[r.class].LateValue
			}
			if best < 0 || v >= value {
				best, value = i, v
			}
		}
		if best < 0 || !b.room(b.held[best]) {
			break
		}
		r := b.held[best]
		r.lack, r.spare = nil, b.above(r)
		if t := b.pick(r); t != nil {
			b.unhold(r)
			b.send(r, t)
		} else {
			r.passed = true
		}
	}
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		need := min(holdMargin*b.expected(r), holdAtMost*float64(b.classes[r.class].Objective))
		give := min(r.aim-time.Duration(need), r.half-b.s.Tick) // refused later, it costs more
		why := NoCapacity
		if r.passed {
			why = NoBackend
		}
		if r.passed && r.lack != nil {
			why = NoLease
		}
		r.passed = false
		if r.repeat || give <= b.now || why == NoLease && !r.lack.SlowStart() { // no wait brings a right
			b.unhold(r)
			b.finish(r, why)
		} else if r.timer == 0 {
			b.timer(r, give)
		}
	}
}

// room reports whether one more attempt may go out. A thin agent seldom has two requests to
// choose from, so each class leaves credit for the more valuable ones, by their share of arrivals.
// Now and then one goes out on none: an agent that sends nothing hears of nothing that would bring it some.
func (b *Balancer) room(r *request) bool {
	if b.thin() {
		return b.credit > thinBurst*b.classes[r.class].latency*b.above(r) || b.now-b.lastAt >= thinProbe
	}
	return float64(b.inFlight-b.stuck) < b.limit()
}

// above is the share of the work asked for that is worth more than r.
func (b *Balancer) above(r *request) float64 {
	above, all := 0.0, 0.0
	for _, c := range b.classes {
		if all += c.arrived * c.latency; c.value > b.classes[r.class].value {
			above += c.arrived * c.latency
		}
	}
	return above / max(all, 1)
}

// thin reports whether an even part of the in-flight limit is too small to be counted out. Departure: many
// agents that may each have one attempt in flight have too many together. There an agent admits by credit
// instead: each first try brings its own work times the square of aimed over present delay, each attempt
// takes its work. All agents see one fleet's delay, so that all admit the same part of what they get.
func (b *Balancer) thin() bool {
	return b.s.Balancers > 1 && startPerBack*float64(b.up) < thinPart*float64(b.s.Balancers)
}

// notesOn reports whether thin agents pass notes: what one of them saw, all know soon.
func (b *Balancer) notesOn() bool { return b.s.Peers && b.thin() }

// earn adds what a first try brings to the credit of a thin agent.
func (b *Balancer) earn(r *request) {
	part := b.aimed() / max(b.delay, 1e-9)
	b.credit = min(b.credit+b.expected(r)*min(part*part, thinMost), thinBurst*b.classes[r.class].latency)
}

// aimed is the delay, as a share of the aim, that a thin agent keeps to. A server that holds many requests
// works less well, and does not recover while as many agents go on asking it, each of them seldom: all that
// it holds is given up before it comes to it. None of them can see one server fill up, so that the mean of
// all has to stay near what an empty one takes. Where the work itself takes a good part of the aim, that is
// the measure: by what clients tell, else by answers of servers that had nothing else in hand. Until those
// come it aims at the least, which leaves some idle.
func (b *Balancer) aimed() float64 {
	if b.notesOn() {
		return aimedDelay
	}
	told, all := 0.0, 0.0
	for _, c := range b.classes {
		told += c.arrived * cmp.Or(c.work/float64(c.Objective), c.rest)
		all += c.arrived
	}
	return max(aimedThin, min(aimedStretch*told/max(all, 1e-9), aimedMost))
}

// value is what a unit of work spent on a class now adds to the operator's goal.
func (b *Balancer) value(class int) float64 {
	total, worst, low := 0.0, -1, math.Inf(1)
	for i := range b.classes {
		c := &b.classes[i]
		total += c.arrived * c.Value * b.unit(c)
		if share := (c.answered + 1) / (c.arrived + 1); share < low {
			worst, low = i, share
		}
	}
	c := &b.classes[class]
	v := (b.s.GoalWhole + b.s.GoalWindow) * c.Value * b.unit(c) / c.latency / max(total, 1e-9)
	if class == worst {
		v += b.s.GoalClass / (max(c.arrived, 1) * c.latency)
	}
	return v
}

func (b *Balancer) unit(c *classState) float64 {
	if b.s.ByWork {
		return c.latency
	}
	return 1
}

// pick chooses a backend: one with nothing of this balancer in flight, at random; else the one with the
// fewest; never the one that just failed, unless it is the only one. nil: none may be used now.
func (b *Balancer) pick(r *request) *backend {
	if n := min(len(b.backends), b.width()); n > scanMost {
		if t := b.sample(r, b.backends[:n]); t != nil {
			return t
		}
	}
	return b.scan(r)
}

// sample chooses among the idle of these backends as scan does, by drawing some and accepting each by
// its weight (rejection sampling): the same distribution, without looking at all. The part that an agent
// keeps to is taken with those of it that may not be used now, so that the choice is a little narrower
// than by scan. nil where that takes too many draws, as where few are idle.
func (b *Balancer) sample(r *request, among []*backend) *backend {
	most := b.topWeight
	for range sampleMost {
		t := among[b.rng.IntN(len(among))]
		if len(t.out) > 0 || !t.seen && b.inFlight >= b.up || !b.usable(r, t) || !b.healthy(t, r) {
			continue
		}
		w := b.weight(t, r)
		if w > most { // none so light was known: draws so far would favour the others
			b.topWeight, most = w, w
			continue
		}
		if b.rng.Float64()*most < w {
			return t
		}
	}
	return nil
}

// usable reports whether t may get r at all.
func (b *Balancer) usable(r *request, t *backend) bool {
	return t.State == Up && b.mayRepeat(r, t) && (t != r.failed || b.up <= 1 || r.only != "") &&
		b.now >= max(t.fullTill, t.leaves) &&
		float64(len(t.out)) < max(1, backCap*b.perBack*b.share) && b.coldRoom(t, r) && b.allowed(r, t)
}

// allowed reports whether the rights that this agent has of the fleet's limits let t get r, and notes
// which limit does not. What is turned away is reported once, so that whoever lends knows who needs more.
func (b *Balancer) allowed(r *request, t *backend) bool {
	if b.book.Empty() {
		return true
	}
	lack := b.book.RefusedBy(b.now, b.use(r, t), !r.lacked)
	if lack != nil {
		r.lack, r.lacked = lack, true
	}
	return lack == nil
}

// weight is how likely an idle backend is chosen, against others. Departure: an even choice among
// idle backends would load slow ones as much as fast ones; each counts by the inverse cube of its
// observed slowness. Acts when speeds differ.
func (b *Balancer) weight(t *backend, r *request) float64 {
	slow := b.slowness(t) * *b.fit(t.Kind, r.class)
	w := b.warmth(t) / (slow * slow * slow)
	if b.notesOn() {
		w = b.warmth(t) / slow // all know the same: the cube would send all to the same few
	}
	if t.strikes > 0 && b.thin() {
		w *= strikesBias // all agents together must not try it at once
	}
	if t.Zone != b.s.Zone && b.s.CrossZonePrice > 0 && b.now-b.cutAt > b.s.SlowStartTime {
		w *= crossBias // while nothing is crowded
	}
	return w
}

// scan looks at all backends.
func (b *Balancer) scan(r *request) *backend {
	var idle, few, last *backend
	total, least, mild := 0.0, math.Inf(1), math.Inf(1)
	wide := b.width()
	b.topWeight = 0
	for _, t := range b.backends {
		if wide <= 0 {
			break
		}
		if !b.usable(r, t) {
			continue
		}
		if !b.healthy(t, r) {
			if m := t.strikes*b.rng.Float64() + float64(len(t.out)); m < mild {
				last, mild = t, m
			}
			continue
		}
		load := float64(len(t.out))
		if !t.seen {
			load = float64(b.inFlight) / float64(b.up) // a new one counts at the mean: no rush
		}
		if load < 1 {
			w := b.weight(t, r)
			b.topWeight = max(b.topWeight, w)
			wide--
			if total += w; b.rng.Float64()*total < w {
				idle = t
			}
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		slow := b.slowness(t) * *b.fit(t.Kind, r.class)
		if t.seen { // else the mean is that of its likes, and warmth is in it: a busy fleet would pass it by
			slow /= b.warmth(t)
		}
		if score := (load + 1) * slow * (1 + 0.01*b.rng.Float64()); score < least {
			few, least = t, score
		}
	}
	return cmp.Or(idle, few, last) // last: all are ejected, and a first attempt still goes out
}

// width is how many idle backends a choice is made among: the first of this agent's own order
// that may be used. Departure: an agent with little traffic, spread over all, would hear of each
// backend once a day and open a connection for nearly every attempt. It keeps to so many that it
// meets each again within an aim: what it learnt of one is then about as old as a request may be.
// The order is each agent's own, by a hash, so that all together load all evenly, and the loss of
// one brings in one other. It could hurt where one agent has most of the traffic of a large fleet:
// there the gap is small and the part is large. Acts where no notes tell of the others.
func (b *Balancer) width() int {
	if b.gap == 0 || b.notesOn() { // notes tell of all
		return len(b.backends)
	}
	return max(widthLeast, int(meetAgain*float64(b.period)/b.gap))
}

// slowness is how much longer this backend takes than the mean, by its answers or
// by the wait of its oldest attempt if that is worse (a stall shows before any answer).
func (b *Balancer) slowness(t *backend) float64 {
	for _, a := range t.out {
		if a.list >= t.started { // an older one waits for a process that has ended
			return max(t.slow, float64(b.now-a.sent)/a.cost/2)
		}
	}
	return t.slow
}

// expected is the mean latency for a request of this class and told work.
func (b *Balancer) expected(r *request) float64 {
	c := &b.classes[r.class]
	if r.work > 0 && c.work > 0 {
		return c.latency * r.work / c.work
	}
	return c.latency
}
