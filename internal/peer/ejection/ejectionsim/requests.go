package ejectionsim

import (
	"maps"
	"slices"
	"time"

	"vetchhaven/internal/peer/ejection"
)

const (
	// maxPicks is the number of random picks after which an agent sends to an ejected server.
	maxPicks = 200
	// recoveryWindow is the time after a server's recovery in which its requests are counted for
	// Result.MaxReadmittedRate.
	recoveryWindow = 30 * time.Second
	// maxLocalDoublings bounds a local ejection to 16 s: it lasts 1 s and doubles with each further failure.
	maxLocalDoublings = 5
)

// scheduleRequest schedules an agent's next request.
func (sim *simulation) scheduleRequest(a *agent) {
	sim.at(sim.now+time.Duration(sim.rng.ExpFloat64()/sim.options.Rate*float64(time.Second)), func() {
		sim.sendRequest(a)
		sim.scheduleRequest(a)
	})
}

// sendBatch simulates the requests of one sample interval, and reports their outcomes to the member.
func (sim *simulation) sendBatch(a *agent) {
	mean := sim.options.Rate * sim.options.SampleInterval.Seconds()
	for at := sim.rng.ExpFloat64(); at < mean; at += sim.rng.ExpFloat64() {
		sim.sendRequest(a)
	}
	if len(a.samples) > 0 {
		samples := make([]ejection.OutcomeSample, 0, len(a.samples))
		for _, s := range slices.Sorted(maps.Keys(a.samples)) {
			samples = append(samples, a.samples[s])
		}
		clear(a.samples)
		if a.member != nil {
			sim.step(a, ejection.OutcomesObserved{Samples: samples})
		}
	}
	sim.at(sim.now+sim.options.SampleInterval, func() { sim.sendBatch(a) })
}

// sendRequest simulates one request, and reports or collects its outcome.
func (sim *simulation) sendRequest(a *agent) {
	sim.result.Requests++
	server := sim.pickServer(a)
	sim.countRecovering(server)
	sample := sim.outcome(a, server)
	if sim.options.LocalEjection {
		a.updateLocalEjection(server, sample.Failed > 0, sim.now)
	}
	switch {
	case a.samples != nil:
		a.addSample(server, sample)
	case a.member != nil:
		sim.step(a, ejection.OutcomesObserved{Samples: []ejection.OutcomeSample{sample}})
	}
}

// pickServer returns a random server that is not ejected, or any server if none is found in maxPicks picks.
func (sim *simulation) pickServer(a *agent) int {
	server := 0
	for range maxPicks {
		server = sim.randomServer(a)
		if a.changed != nil && a.changed[server].State != ejection.Up {
			continue
		}
		until, ejected := a.ejectedUntil[serverID(server)]
		if (!ejected || sim.now >= until) && sim.now >= a.localUntil[server] {
			break
		}
	}
	return server
}

func (sim *simulation) randomServer(a *agent) int {
	if a.servers != nil {
		return a.servers[sim.rng.IntN(len(a.servers))]
	}
	return sim.rng.IntN(sim.options.Servers)
}

// countRecovering measures the rate of requests to a server that recovered recently.
func (sim *simulation) countRecovering(server int) {
	if sim.recoveredAt[server] == 0 || sim.now-sim.recoveredAt[server] >= recoveryWindow {
		return
	}
	recent := append(sim.recent[server], sim.now)
	for sim.now-recent[0] > time.Second {
		recent = recent[1:]
	}
	sim.recent[server] = recent
	sim.result.MaxReadmittedRate = max(sim.result.MaxReadmittedRate, len(recent))
}

// outcome draws the outcome of a request.
func (sim *simulation) outcome(a *agent, server int) ejection.OutcomeSample {
	serverFault := sim.rng.Float64() < sim.options.FailureShare(server, sim.now)
	failed := serverFault || sim.rng.Float64() < sim.options.ErrorRate || sim.rng.Float64() < sim.options.LinkLoss(a.number, server, sim.now)
	if serverFault {
		sim.result.FailedByServer++
	}
	sample := ejection.OutcomeSample{Server: serverID(server), StartedMS: startedMS}
	if !failed {
		sample.Succeeded = 1
		return sample
	}
	sample.Failed = 1
	if serverFault && !sim.options.Unresponsive {
		sample.ErrorResponses = 1
	}
	return sample
}

// updateLocalEjection ejects a server locally at the agent after a failure, for twice as long after each further
// failure.
func (a *agent) updateLocalEjection(server int, failed bool, now time.Duration) {
	if !failed {
		a.localEjections[server] = 0
		return
	}
	a.localEjections[server] = min(a.localEjections[server]+1, maxLocalDoublings)
	a.localUntil[server] = now + time.Duration(1<<(a.localEjections[server]-1))*time.Second
}

// addSample adds an outcome to the pending samples.
func (a *agent) addSample(server int, sample ejection.OutcomeSample) {
	pending := a.samples[server]
	sample.Succeeded += pending.Succeeded
	sample.Failed += pending.Failed
	sample.ErrorResponses += pending.ErrorResponses
	a.samples[server] = sample
}
