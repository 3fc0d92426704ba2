package decide

import "time"

// Learnt is what a balancer may take over from one that ran before it: how long things take. It
// holds no budgets, tokens or strikes: what they allowed or forbade was for that moment.
type Learnt struct {
	Classes  []LearntClass // by class
	Backends []LearntBackend
	// Limit is what may be in flight, for all agents together per backend. It is for one that takes over
	// at that very moment, with the same clients; after a pause it says nothing, and 0 leaves it out.
	Limit float64
}

// LearntClass is a class's running means, in nanoseconds.
type LearntClass struct{ Latency, Work float64 }

// LearntBackend is how slow a process was, against the mean of all.
type LearntBackend struct {
	ID      string
	Started time.Duration
	Slow    float64
}

// Learnt tells what this balancer has learnt.
func (b *Balancer) Learnt() Learnt {
	l := Learnt{Limit: b.perBack}
	for _, c := range b.classes {
		l.Classes = append(l.Classes, LearntClass{c.latency, c.work})
	}
	for _, t := range b.backends {
		if t.samples > 0 {
			l.Backends = append(l.Backends, LearntBackend{t.ID, t.Started, t.slow})
		}
	}
	return l
}

// Restore takes over what another has learnt, before the first Step. A backend's slowness counts for the very
// process that showed it, and gives way to a few answers; what makes no sense is left out.
func (b *Balancer) Restore(l Learnt) {
	for i, c := range l.Classes {
		ok := c.Latency >= 1 && c.Work >= 0
		if ok && i < len(b.classes) && c.Latency <= float64(b.classes[i].Deadline) {
			b.classes[i].latency, b.classes[i].work = c.Latency, c.Work
		}
	}
	if l.Limit >= floorPerBack && l.Limit <= restoredMost {
		b.perBack = l.Limit
	}
	b.restored = map[string]LearntBackend{}
	for _, r := range l.Backends {
		if r.Slow > 0 && r.Slow <= slowBound {
			b.restored[r.ID] = r
		}
	}
}

// recall gives a backend that is listed for the first time what was learnt of it before.
func (b *Balancer) recall(t *backend) {
	if r, ok := b.restored[t.ID]; ok && r.Started == t.Started && !t.cold {
		t.slow, t.samples = r.Slow, priorSamples
	}
	delete(b.restored, t.ID)
}
