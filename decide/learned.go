package decide

import "time"

// Learned is what a balancer may take over from one that ran before it: how long things take. It holds no
// budgets, tokens or failures: what they allowed or forbade was for that moment.
type Learned struct {
	Classes  []LearnedClass // by class
	Backends []LearnedBackend
	// Limit is the in-flight limit for all agents together per backend. It is for a successor that takes over
	// at that very moment, with the same clients; after a pause it says nothing, and 0 leaves it out.
	Limit float64
}

// LearnedClass holds a class's running means, in nanoseconds.
type LearnedClass struct{ Latency, Work float64 }

// LearnedBackend is how slow a backend's process was, as a multiple of the mean of all.
type LearnedBackend struct {
	ID       string
	Started  time.Duration
	Slowness float64
}

// Learned returns what this balancer has learned.
func (b *Balancer) Learned() Learned {
	l := Learned{Limit: b.limitPerBackend}
	for _, class := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{Latency: class.meanLatency, Work: class.meanWork})
	}
	for _, backend := range b.backends {
		if backend.slownessSamples > 0 {
			learned := LearnedBackend{ID: backend.ID, Started: backend.Started, Slowness: backend.slowness}
			l.Backends = append(l.Backends, learned)
		}
	}
	return l
}

// Restore takes over what another balancer has learned, before the first Step. A backend's slowness counts
// for the very process that showed it, and gives way to a few answers; values that make no sense are left
// out.
func (b *Balancer) Restore(l Learned) {
	for i, class := range l.Classes {
		if i >= len(b.classes) {
			break
		}
		plausible := class.Latency >= 1 && class.Work >= 0
		if plausible && class.Latency <= float64(b.classes[i].Deadline) {
			b.classes[i].meanLatency = class.Latency
			b.classes[i].meanWork = class.Work
		}
	}
	if l.Limit >= minLimitPerBackend && l.Limit <= maxRestoredLimit {
		b.limitPerBackend = l.Limit
	}
	b.restoredSlowness = map[string]LearnedBackend{}
	for _, backend := range l.Backends {
		if backend.Slowness > 0 && backend.Slowness <= maxSlownessSample {
			b.restoredSlowness[backend.ID] = backend
		}
	}
}

// restoreSlowness gives a backend that is listed for the first time the slowness that was learned before.
func (b *Balancer) restoreSlowness(backend *endpoint) {
	learned, ok := b.restoredSlowness[backend.ID]
	if ok && learned.Started == backend.Started && !backend.inSlowStart {
		backend.slowness = learned.Slowness
		backend.slownessSamples = priorSamples
	}
	delete(b.restoredSlowness, backend.ID)
}
