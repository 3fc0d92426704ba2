package decide

import (
	"math"
	"time"
)

// onPeerMessage takes what another agent reports: the work that its clients ask for, the delay it sees, and
// observations.
//
// Departure from the design page: shared out by head count, the limit would have a busy agent refuse what
// quiet ones leave unused. Acts where agents may exchange messages and their traffic differs.
func (b *Balancer) onPeerMessage(e PeerMessage) {
	m, ok := decode(e.Data, b.now, b.peerInterval)
	if !ok || e.From < 0 || e.From >= len(b.peers) || e.From == b.settings.Self {
		return
	}
	validFor := time.Duration(peerTimeoutIntervals * float64(b.peerInterval))
	b.peers[e.From] = peerState{demand: m.demand, validUntil: b.now + validFor}
	if !b.sharesObservations() {
		return
	}
	b.meanDelay = updateMean(b.meanDelay, min(m.delay, 1)) // what a quiet agent sees itself comes too late
	for _, o := range m.observations {
		b.mergeObservation(o)
	}
}

// recordObservation keeps an observation for peers.
//
// Departure from the design page: an agent that admits by credit uses each backend too seldom to know its
// speed or its failure by itself. Where agents may exchange messages it passes on what it saw and what it was
// told, for a few objectives: one message to one of them for every few outcomes.
func (b *Balancer) recordObservation(o observation) {
	if backend := b.byHash[o.hash]; backend != nil {
		backend.observedAt = o.at
	}
	b.observations = append(b.observations, o)
	if len(b.observations) > maxObservations {
		b.observations = append(b.observations[:0], b.observations[1:]...)
	}
}

// mergeObservation takes in a peer's observation unless something newer is known: the same one comes by many
// ways, and to learn it each time would make every backend look slow.
func (b *Balancer) mergeObservation(o observation) {
	backend := b.byHash[o.hash]
	if backend == nil || backend.State != Up || o.at <= backend.slowStartFrom || o.at <= backend.observedAt {
		return
	}
	switch o.value {
	case observedFailure:
		if o.at > backend.lastSuccessAt && o.at > backend.lastEjectedAt {
			b.eject(backend, b.peerInterval)
		}
	case observedOverdue:
		backend.consecutiveTimeouts++
		b.updateSlowness(backend, overdueSlowness)
	default:
		b.updateSlowness(backend, float64(o.value)/slownessSteps)
		backend.lastSuccessAt = max(backend.lastSuccessAt, o.at)
		backend.consecutiveTimeouts = 0
		if o.at > backend.lastEjectedAt {
			backend.failureScore = max(0, backend.failureScore-failureScoreRecovery)
		}
	}
	b.recordObservation(o)
}

// onFleetSize takes what the agents' own membership says of their number. Each use goes by the figure that is
// safe: shares and limits by the most that may be sending, the multiple for backends in slow start by the
// fewest.
func (b *Balancer) onFleetSize(e FleetSize) {
	if b.settings.Peers || e.Min < 1 || e.Max < e.Min {
		return
	}
	before := b.admitsByCredit()
	b.settings.Balancers = e.Max
	b.minBalancers = e.Min
	b.ownShare = 1 / float64(e.Max)
	if b.admitsByCredit() != before { // what started while credit did not count is not owed now
		b.admissionCredit = max(b.admissionCredit, 0)
	}
}

// sendPeerMessage reports to the peer so many numbers after this agent's.
func (b *Balancer) sendPeerMessage(observations []observation, offset int) {
	m := peerMessage{demand: b.demand, delay: b.meanDelay, observations: observations}
	to := (b.settings.Self + offset) % b.settings.Balancers
	b.actions = append(b.actions, SendToPeer{To: to, Data: m.encode(b.now, b.peerInterval)})
}

// reportToPeers reports this agent's demand, and computes its share anew. Where there are more peers than
// peerFanout, a sample of them gets the report, and those heard from lately stand for the rest: reports to
// all would cost messages with the square of the number of agents.
func (b *Balancer) reportToPeers() {
	elapsed := float64(b.now - b.demandUpdatedAt)
	b.demand *= math.Exp(-elapsed / (peerTimeoutIntervals * float64(b.peerInterval)))
	b.demandUpdatedAt = b.now
	b.peerReportToken = b.setTimer(b.peerInterval)
	peerCount := b.settings.Balancers - 1
	from := b.rng.IntN(b.settings.Balancers)
	for i := 1; i <= min(peerFanout, peerCount) && !b.sharesObservations(); i++ {
		b.sendPeerMessage(nil, 1+(from+i)%peerCount)
	}
	b.updateOwnShare(peerCount > peerFanout)
}

// updateOwnShare divides the in-flight limit, in part by head count and in part by demand. sampled: peers not
// heard from count as mean ones; else they have stopped, and their clients go elsewhere.
func (b *Balancer) updateOwnShare(sampled bool) {
	total := b.demand
	reporting := 1.0
	balancers := float64(b.settings.Balancers)
	for _, p := range b.peers {
		switch {
		case b.now < p.validUntil:
			total += p.demand
			reporting++
		case p.validUntil > 0 && !sampled:
			balancers--
		}
	}
	b.ownShare = 1 / balancers
	if total > 0 {
		byDemand := (1 - headCountShare) * b.demand / total * reporting
		b.ownShare = (headCountShare + byDemand) / balancers
	}
}
