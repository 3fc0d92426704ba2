package decide

import "time"

// Learned is the state that a balancer may take over from its predecessor: how long requests take. It holds
// no budgets, tokens or failures, because these are soon out of date.
type Learned struct {
	Classes  []LearnedClass // by class
	Backends []LearnedBackend
	// Limit is the in-flight limit of all agents together, per backend. It is valid only for a successor that
	// takes over the same clients at once, not after a pause. 0: no limit is restored.
	Limit float64
}

// LearnedClass holds the running means of a class, in nanoseconds: latency, and expected work of requests.
type LearnedClass struct{ Latency, Work float64 }

// LearnedBackend is the slowness of a backend's process, as a multiple of the mean of all backends.
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

// Restore takes over the state that another balancer has learned; it must be called before the first Step.
// The slowness of a backend applies only to the process at which it was observed, and is outweighed by a few
// answers. Invalid values are ignored.
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

// restoreSlowness sets the slowness of a backend that is listed for the first time to the restored value.
func (b *Balancer) restoreSlowness(backend *endpoint) {
	learned, ok := b.restoredSlowness[backend.ID]
	if ok && learned.Started == backend.Started && !backend.inSlowStart {
		backend.slowness = learned.Slowness
		backend.slownessSamples = priorSamples
	}
	delete(b.restoredSlowness, backend.ID)
}
