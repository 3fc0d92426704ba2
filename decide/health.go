package decide

import (
	"math"
	"time"
)

// observe learns from the outcome of an attempt.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	t, c, lat := a.b, &b.classes[r.class], float64(e.Latency)
	if a.list < t.started {
		return // it tells of a process that another has replaced since
	}
	switch e.Result {
	case OK:
		if t.down && t.warmFrom < a.sent { // it came back before the list told: treat it as just started
			b.start(t, b.now)
		}
		t.down = false
		t.errs -= smooth * t.errs
		if !t.cold {
			for _, k := range []*kindState{b.kind(t), b.kind(nil)} {
				k.done = b.decayed(k) + a.units/float64(max(k.warm, 1))
			}
		}
		t.strikes = max(0, t.strikes-strikeHeal)
		t.lastOK, t.silent, t.seen = b.now, 0, true
		b.write(note{t.key, byte(min(lat/a.cost, slowBound-0.1) * noteStep), b.now})
		mean := lat * c.latency / b.expected(r) // for mean work: a heavy request tells of no queue
		c.latency = blend(c.latency, max(mean, 1))
		if !a.late {
			fit := b.fit(a.kind, r.class)
			*fit += smooth * (min(lat/a.cost, slowBound) - *fit)
			b.learnSpeed(t, lat/a.cost / *fit)
			// A slow backend says little of the others.
			share := min(lat, mean) / max(1, t.slow) / float64(c.Objective)
			if e.Load.Valid && e.Load.InFlight >= 0 && e.Load.InFlight < alone {
				c.rest = blend(c.rest, share)
			}
			b.pace(share)
		}
	case Rejected:
		b.learnSpeed(t, lateSlow) // its queue is longer than those that took what came
		t.fullTill = b.now + time.Duration(b.rng.Float64()*c.latency)
		b.pace(1)
	case TimedOut:
		if !a.late {
			t.silent++
		}
		// Nothing came back since: more than a slow request, and no queue. Where all tell all, slow
		// answers add up, and silence takes several in a row.
		if (t.silent >= silentNotes || !b.notesOn()) && t.lastOK < a.sent {
			b.strike(t, a, c)
		} else if !a.late {
			b.pace(max(1, lat/float64(c.Objective)))
			b.learnSpeed(t, lat/a.cost) // at least so slow
			b.write(note{t.key, noteLate, b.now})
		}
	case Errored, ConnectFailed, Reset, Incomplete:
		// Connections break by themselves too; a process that has ended takes no new ones.
		if e.Result == ConnectFailed {
			t.down, b.partitioned = true, false
		}
		t.errs += smooth * (1 - t.errs)
		b.strike(t, a, c)
	}
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	t.samples++
	t.slow += max(smooth, 1/(t.samples+priorSamples)) * (min(sample, slowBound) - t.slow)
}

// fit is how much slower than the mean backends of this kind serve a class. Departure: a quiet
// agent pools what it learns, since it has few answers for each backend, class by class.
func (b *Balancer) fit(kind, class int) *float64 {
	kind = max(kind, 0) // the list may name a kind that is not known
	for len(b.fits[class]) <= kind {
		b.fits[class] = append(b.fits[class], 1)
	}
	return &b.fits[class][kind]
}

// strike ejects a backend for a while that doubles with each further strike. Departure: one that
// fails fast is always idle and would draw all traffic. It acts on the first error, since errors
// are rare where nothing is wrong; what was sent before the last strike adds nothing. Where all
// backends fail now and then alike, it takes more errors than chance gives at the others' rate: else
// some would be ejected at any time for what none of them can help. It could hurt where most fail
// at once: then it takes the one that fails worst longer to stand out.
func (b *Balancer) strike(t *backend, a *attempt, c *classState) {
	others := 0.0
	for _, o := range b.backends {
		if o != t && o.State == Up {
			others += min(o.errs, errsMost) / float64(b.up)
		}
	}
	chance := others + errsApart*math.Sqrt(smooth/2*others)
	if a.sent >= t.struckAt && (t.down || t.errs >= chance) { // nothing listens there: that is no chance
		b.write(note{t.key, noteFailed, b.now})
		b.eject(t, c.Objective)
	}
}

// overdue counts an attempt that is out for most of its aim as late now. Departure: a thin agent
// has few answers, and those of a crowded fleet come after its clients' patience: too late to act.
func (b *Balancer) overdue(a *attempt) {
	if a.open && a.list >= a.b.started {
		a.late = true
		a.b.silent++
		b.learnSpeed(a.b, lateSlow)
		b.write(note{a.b.key, noteLate, b.now})
		b.pace(1)
	}
}

func (b *Balancer) eject(t *backend, unit time.Duration) {
	b.partitioned = false
	t.strikes = min(t.strikes+1, strikeCap)
	t.struckAt = b.now
	t.ejected = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*float64(unit))
}

// healthy reports whether t may get r as ordinary traffic. After an ejection it gets one attempt
// at a time until healed, of unsafe requests only where no others came for as long again.
func (b *Balancer) healthy(t *backend, r *request) bool {
	return !b.avoids(t) && (t.strikes == 0 ||
		len(t.out) == 0 && (b.classes[r.class].Effect != NonIdempotent || b.now >= 2*t.ejected-t.struckAt))
}

// pace moves the limit on attempts in flight by the latency seen, as a share of the aim: down
// when the running mean passes the aimed share, up while it binds. Departure: beyond it requests
// are held, then refused, since a queue that outlasts the aims serves nobody. The floor, a few
// attempts per backend, keeps a fleet in use that is slow without a queue.
func (b *Balancer) pace(share float64) {
	// The mean spans what is in flight at once: over less, chance would cut a busy agent's limit.
	weight := min(smooth, 1/b.limit())
	b.delay += weight * (min(share, 2) - b.delay)
	aimed, floor := aimedDelay, floorPerBack
	if b.s.Balancers > b.up { // a busy one of many may hold several times its part, and so may others
		aimed, floor = min(aimedDelay, b.aimed()), floorCrowd
	}
	switch {
	case b.delay > aimed && b.now-b.cutAt > time.Duration(b.classes[0].latency):
		b.perBack = max(floor, b.perBack*limitCut)
		b.cutAt = b.now
	case b.delay < aimed && float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9:
		b.perBack += limitGrow / b.limit()
	}
}

// limit is what may be in flight now; it follows the list, where a cold backend counts by its warmth.
func (b *Balancer) limit() float64 { return max(1, b.perBack*b.share*b.capacity) }
