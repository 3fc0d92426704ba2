package decide

import (
	"math"
	"time"
)

// start notes that a backend's process started at a time learned now. Its budget begins at a random part of a
// request below nothing: each of many agents may send it one at once, and together these would push it over.
func (b *Balancer) start(t *backend, at time.Duration) {
	t.warmFrom, t.cold, t.seen, t.slow, t.samples = at, true, false, 1, 0
	t.budget, t.budgetAt, b.partitioned = -b.rng.Float64(), b.now, false
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmth(t *backend) float64 {
	age := b.now - t.warmFrom
	if t.cold = t.cold && age < b.s.SlowStartTime; !t.cold {
		return 1
	}
	return b.s.SlowStartShare + (1-b.s.SlowStartShare)*max(0, float64(age)/float64(b.s.SlowStartTime))
}

// measure sums up what the backends that are up, and not ejected or down, can do. Those that are up, warm
// and sound count the same until something happens to them: whatever may change one of them clears
// partitioned. Only the others, whose warmth and ejections change with time, are looked at each time.
func (b *Balancer) measure() {
	if b.partitioned && len(b.unsettled) == 0 { // the sums are as they were
		return
	}
	if !b.partitioned {
		b.partition()
	}
	b.up, b.sound, b.capacity, b.stuck = b.settled, b.settled, float64(b.settled), 0
	for _, k := range b.kinds {
		k.warm = k.settled
	}
	for _, t := range b.unsettled {
		b.measureUnsettled(t)
	}
}

// partition sorts out which backends are up, warm and sound.
func (b *Balancer) partition() {
	b.partitioned, b.settled, b.unsettled = true, 0, b.unsettled[:0]
	for _, k := range b.kinds {
		k.settled = 0
	}
	for _, t := range b.backends {
		if b.isSettled(t) {
			b.settled++
			b.kind(t).settled++
			b.kind(nil).settled++
		} else {
			b.unsettled = append(b.unsettled, t)
		}
	}
}

// isSettled reports whether a backend is up, warm and sound.
func (b *Balancer) isSettled(t *backend) bool {
	return t.State == Up && b.warmth(t) == 1 && !t.cold && !t.down && !b.avoids(t)
}

// measureUnsettled adds what another backend can do to the sums.
func (b *Balancer) measureUnsettled(t *backend) {
	warmth := b.warmth(t)
	if t.State == Up {
		b.up++
	}
	if t.State == Up && !t.cold {
		b.kind(t).warm++
		b.kind(nil).warm++
		if !t.down {
			b.sound++
		}
	}
	if t.State == Up && !t.down && !b.avoids(t) {
		b.capacity += warmth
	} else {
		b.stuck += len(t.out)
	}
	if b.isSettled(t) {
		b.partitioned = false // from the next time on it is one of the others
	}
}

// coldRoom reports whether a cold backend may get this request. No agent sends it more than a warm one of its
// kind serves for it, times warmth, times the stated multiple, or its root where agents are fewer than
// backends. All stay under that together, however many they are: see docs/design/many-agents.md. Where none
// is warm, each gets its warmth's part of the least that may be in flight, or none serves until the ramp is
// over: a fleet that restarts as a whole. It could hurt where that, a few at once, is more than it can do.
func (b *Balancer) coldRoom(t *backend, r *request) bool {
	w := b.warmth(t)
	if !t.cold {
		return true
	}
	multiple := max(1, b.s.OverloadMultiple)
	if b.fewest <= b.up {
		multiple = math.Sqrt(multiple)
	}
	share := w * b.warmRate(t) * multiple
	if b.sound == 0 {
		share = w * floorPerBack * b.share / b.classes[0].latency
	}
	t.budget, t.budgetAt = min(t.budget+share*float64(b.now-t.budgetAt), 1), b.now
	return t.budget > 0 && b.expected(r) <= heavy*b.classes[r.class].latency
}

// warmRate is what a warm backend of this kind, or of any where its kind has none, lately served for this
// agent, in mean requests of the first class a nanosecond: over about one ramp, since in the crush after the
// loss of many they serve less, and cold ones would be spared just then. A new agent goes by what it has.
func (b *Balancer) warmRate(t *backend) float64 {
	span, k := float64(b.s.SlowStartTime+1), b.kind(t)
	if k.warm == 0 {
		k = b.kind(nil)
	}
	seen := max(1-math.Exp(-float64(b.now-b.firstAt)/span), float64(b.s.OverloadWindow)/span, 1e-9)
	return b.decayed(k) / span / seen
}

// decayed is that work. Each answer counts over those warm then: what many served is not for few that stay.
func (b *Balancer) decayed(k *kindState) float64 {
	k.done, k.doneAt = k.done*math.Exp(-float64(b.now-k.doneAt)/float64(b.s.SlowStartTime+1)), b.now
	return k.done
}
