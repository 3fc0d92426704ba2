package decide

import "time"

// Learned is what a balancer may take over from one that ran before it: how long things take. It
// holds no budgets, tokens or strikes: what they allowed or forbade was for that moment.
type Learned struct {
	Classes  []LearnedClass // by class
	Backends []LearnedBackend
	// Limit is what may be in flight, for all agents together per backend. It is for one that takes over
	// at that very moment, with the same clients; after a pause it says nothing, and 0 leaves it out.
	Limit float64
}

// LearnedClass is a class's running means, in nanoseconds.
type LearnedClass struct{ Latency, Work float64 }

// LearnedBackend is how slow a process was, against the mean of all.
type LearnedBackend struct {
	ID       string
	Started  time.Duration
	Slowness float64
}

// Learned tells what this balancer has learnt.
func (b *Balancer) Learned() Learned {
	l := Learned{Limit: b.perBack}
	for _, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{c.latency, c.work})
	}
	for _, t := range b.backends {
		if t.samples > 0 {
			l.Backends = append(l.Backends, LearnedBackend{t.ID, t.Started, t.slow})
		}
	}
	return l
}

// Restore takes over what another has learnt, before the first Step. A backend's slowness counts for the very
// process that showed it, and gives way to a few answers; what makes no sense is left out.
func (b *Balancer) Restore(l Learned) {
	for i, c := range l.Classes {
		ok := c.Latency >= 1 && c.Work >= 0
		if ok && i < len(b.classes) && c.Latency <= float64(b.classes[i].Deadline) {
			b.classes[i].latency, b.classes[i].work = c.Latency, c.Work
		}
	}
	if l.Limit >= floorPerBack && l.Limit <= restoredMost {
		b.perBack = l.Limit
	}
	b.restored = map[string]LearnedBackend{}
	for _, r := range l.Backends {
		if r.Slowness > 0 && r.Slowness <= slowBound {
			b.restored[r.ID] = r
		}
	}
}

// recall gives a backend that is listed for the first time what was learnt of it before.
func (b *Balancer) recall(t *backend) {
	if r, ok := b.restored[t.ID]; ok && r.Started == t.Started && !t.cold {
		t.slow, t.samples = r.Slowness, priorSamples
	}
	delete(b.restored, t.ID)
}
