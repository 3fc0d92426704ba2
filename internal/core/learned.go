package core

import (
	"time"

	"vetchhaven/decide"
)

// LearnedState is the state that an agent has learned and with which its successor of the same name may start. It uses names
// and wall-clock times, which are valid in both. Retry budgets and tokens are not part of it. It is stored on disk.
type LearnedState struct {
	// Limit is the limit on attempts in flight, for a successor that takes over the clients without a pause; 0: there
	// is none. See decide.Learned.
	Limit   float64                `json:"limit,omitempty"`
	Classes map[string]ClassMemory `json:"classes"`
	Servers []ServerMemory         `json:"servers"`
}

// ClassMemory is a class's mean latency and expected work, in nanoseconds.
type ClassMemory struct {
	Latency float64 `json:"latency_ns"`
	Work    float64 `json:"work_ns"`
}

// ServerMemory is the slowness of a server's process: its latency as a multiple of the mean of all servers.
type ServerMemory struct {
	ID       string  `json:"id"`
	Started  int64   `json:"started_ms"` // Unix milliseconds; 0: long ago
	Slowness float64 `json:"slow"`
}

// learnedQuery is posted to request the state that the balancer has learned.
type learnedQuery struct{ reply chan learnedState }

// learnedState is the reply to a learnedQuery. startedMS holds the listed starts of the servers' processes in Unix
// milliseconds, by server.
type learnedState struct {
	decide.Learned
	startedMS map[string]int64
}

func (l *Loop) learned() learnedState {
	state := learnedState{l.balancer.Learned(), map[string]int64{}}
	for _, b := range state.Backends {
		state.startedMS[b.ID] = l.starts.listedMS(b.ID)
	}
	return state
}

// Learned returns the state that the balancer has learned. It reports false if the loop has stopped or does not reply
// within the timeout.
func (a *Agent) Learned(timeout time.Duration) (*LearnedState, bool) {
	query := learnedQuery{make(chan learnedState, 1)}
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	select {
	case a.loop.events <- query:
	case <-a.loop.stopped:
		return nil, false
	case <-limit.C:
		return nil, false
	}
	select {
	case state := <-query.reply:
		return a.memoryOf(state), true
	case <-a.loop.stopped:
		return nil, false
	case <-limit.C:
		return nil, false
	}
}

// memoryOf converts the state that the balancer has learned to names and wall-clock times.
func (a *Agent) memoryOf(state learnedState) *LearnedState {
	m := &LearnedState{Limit: state.Limit, Classes: map[string]ClassMemory{}, Servers: []ServerMemory{}}
	for i, class := range state.Classes {
		m.Classes[a.cfg.Site.Classes[i]] = ClassMemory{Latency: class.Latency, Work: class.Work}
	}
	for _, b := range state.Backends {
		server := ServerMemory{ID: b.ID, Slowness: b.Slowness}
		if b.Started > 0 {
			server.Started = state.startedMS[b.ID]
		}
		m.Servers = append(m.Servers, server)
	}
	return m
}

// toLearned converts a memory to the balancer's terms.
func (m *LearnedState) toLearned(cfg *Config, clk clock, starts *startTimes) decide.Learned {
	learned := decide.Learned{Limit: m.Limit}
	for _, name := range cfg.Site.Classes {
		class := m.Classes[name]
		learned.Classes = append(learned.Classes, decide.LearnedClass{Latency: class.Latency, Work: class.Work})
	}
	for _, s := range m.Servers {
		b := decide.LearnedBackend{ID: s.ID, Slowness: s.Slowness}
		if s.Started > 0 {
			b.Started = starts.restore(s.ID, s.Started, clk.hint(s.Started), clk.now())
		}
		learned.Backends = append(learned.Backends, b)
	}
	return learned
}
