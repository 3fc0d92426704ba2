package ejectionsim

import (
	"maps"
	"slices"
	"time"

	"vetchhaven/internal/peer/ejection"
)

const (
	// maxPicks is how many random servers an agent picks before it sends to one that is ejected.
	maxPicks = 200
	// recoveryWindow is how long after its recovery requests to a server are counted for Result.MaxReadmittedRate.
	recoveryWindow = 30 * time.Second
	// maxLocalDoublings bounds a local ejection to 16 s: 1 s, doubled with each failure.
	maxLocalDoublings = 5
)

// scheduleRequest schedules an agent's next request.
func (w *world) scheduleRequest(a *agent) {
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/w.options.Rate*float64(time.Second)), func() {
		w.sendRequest(a)
		w.scheduleRequest(a)
	})
}

// sendBatch sends the requests of one sample interval, and reports their outcomes to the member.
func (w *world) sendBatch(a *agent) {
	mean := w.options.Rate * w.options.SampleInterval.Seconds()
	for at := w.rng.ExpFloat64(); at < mean; at += w.rng.ExpFloat64() {
		w.sendRequest(a)
	}
	if len(a.samples) > 0 {
		samples := make([]ejection.OutcomeSample, 0, len(a.samples))
		for _, s := range slices.Sorted(maps.Keys(a.samples)) {
			samples = append(samples, a.samples[s])
		}
		clear(a.samples)
		if a.member != nil {
			w.step(a, ejection.OutcomesObserved{Samples: samples})
		}
	}
	w.at(w.now+w.options.SampleInterval, func() { w.sendBatch(a) })
}

// sendRequest sends one request, and reports or collects its outcome.
func (w *world) sendRequest(a *agent) {
	w.result.Requests++
	server := w.pickServer(a)
	w.countRecovering(server)
	sample := w.outcome(a, server)
	if w.options.LocalEjection {
		a.updateLocalEjection(server, sample.Failed > 0, w.now)
	}
	switch {
	case a.samples != nil:
		a.addSample(server, sample)
	case a.member != nil:
		w.step(a, ejection.OutcomesObserved{Samples: []ejection.OutcomeSample{sample}})
	}
}

// pickServer returns a random server that is not ejected, or any if there seems to be none.
func (w *world) pickServer(a *agent) int {
	server := 0
	for range maxPicks {
		server = w.randomServer(a)
		if a.changed != nil && a.changed[server].State != ejection.Up {
			continue
		}
		until, ejected := a.ejectedUntil[serverID(server)]
		if (!ejected || w.now >= until) && w.now >= a.localUntil[server] {
			break
		}
	}
	return server
}

func (w *world) randomServer(a *agent) int {
	if a.servers != nil {
		return a.servers[w.rng.IntN(len(a.servers))]
	}
	return w.rng.IntN(w.options.Servers)
}

// countRecovering counts the rate of requests to a server that recovered lately.
func (w *world) countRecovering(server int) {
	if w.wellSince[server] == 0 || w.now-w.wellSince[server] >= recoveryWindow {
		return
	}
	recent := append(w.recent[server], w.now)
	for w.now-recent[0] > time.Second {
		recent = recent[1:]
	}
	w.recent[server] = recent
	w.result.MaxReadmittedRate = max(w.result.MaxReadmittedRate, len(recent))
}

// outcome draws what becomes of a request.
func (w *world) outcome(a *agent, server int) ejection.OutcomeSample {
	serverFault := w.rng.Float64() < w.options.FailureShare(server, w.now)
	failed := serverFault || w.rng.Float64() < w.options.ErrorRate || w.rng.Float64() < w.options.LinkLoss(a.number, server, w.now)
	if serverFault {
		w.result.FailedByServer++
	}
	sample := ejection.OutcomeSample{Server: serverID(server), StartedMS: startedMS}
	if !failed {
		sample.Succeeded = 1
		return sample
	}
	sample.Failed = 1
	if serverFault && !w.options.Unresponsive {
		sample.ErrorResponses = 1
	}
	return sample
}

// updateLocalEjection ejects a server by the agent itself after a failure, for twice as long each time.
func (a *agent) updateLocalEjection(server int, failed bool, now time.Duration) {
	if !failed {
		a.localEjections[server] = 0
		return
	}
	a.localEjections[server] = min(a.localEjections[server]+1, maxLocalDoublings)
	a.localUntil[server] = now + time.Duration(1<<(a.localEjections[server]-1))*time.Second
}

// addSample adds an outcome to the samples that are not reported yet.
func (a *agent) addSample(server int, sample ejection.OutcomeSample) {
	pending := a.samples[server]
	sample.Succeeded += pending.Succeeded
	sample.Failed += pending.Failed
	sample.ErrorResponses += pending.ErrorResponses
	a.samples[server] = sample
}
