package decide

import (
	"math"
	"time"
)

// onPeerMessage processes the report of another agent: the work that its clients request, the delay that it
// observes, and its observations of backends.
//
// Departure from the design page: if the limit were divided equally, a busy agent would refuse requests while
// agents with little traffic leave their share unused. This matters where agents may exchange messages and
// their traffic differs.
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
	b.meanDelay = updateMean(b.meanDelay, min(m.delay, 1)) // with little traffic, own answers come too late
	for _, o := range m.observations {
		b.mergeObservation(o)
	}
}

// recordObservation stores an observation, to be sent to peers.
//
// Departure from the design page: an agent that admits by credit uses each backend too seldom to measure its
// speed or to detect a failure alone. Where agents may exchange messages, it sends its own observations and
// those that it has received, until they are a few objectives old: see countOutcome.
func (b *Balancer) recordObservation(o observation) {
	if backend := b.byHash[o.hash]; backend != nil {
		backend.observedAt = o.at
	}
	b.observations = append(b.observations, o)
	if len(b.observations) > maxObservations {
		b.observations = append(b.observations[:0], b.observations[1:]...)
	}
}

// mergeObservation applies an observation from a peer, unless it is not newer than the last one of its
// backend. The same observation arrives from several peers, and counting it each time would make every
// backend look slow.
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

// onFleetSize applies the bounds of the number of agents. Each use takes the safe bound: shares and limits
// use the upper bound, and the multiple for backends in slow start uses the lower bound.
func (b *Balancer) onFleetSize(e FleetSize) {
	if b.settings.Peers || e.Min < 1 || e.Max < e.Min {
		return
	}
	before := b.admitsByCredit()
	b.settings.Balancers = e.Max
	b.minBalancers = e.Min
	b.ownShare = 1 / float64(e.Max)
	if b.admitsByCredit() != before { // attempts that started while credit was not in use must leave no debt
		b.admissionCredit = max(b.admissionCredit, 0)
	}
}

// sendPeerMessage sends a report to the peer whose number is this agent's number plus offset.
func (b *Balancer) sendPeerMessage(observations []observation, offset int) {
	m := peerMessage{demand: b.demand, delay: b.meanDelay, observations: observations}
	to := (b.settings.Self + offset) % b.settings.Balancers
	b.actions = append(b.actions, SendToPeer{To: to, Data: m.encode(b.now, b.peerInterval)})
}

// reportToPeers reports this agent's demand to peers, and recomputes its share of the limit. If there are
// more than peerFanout peers, a random sample of them gets the report, and the peers whose reports have
// arrived recently represent the rest: with reports to all peers, the number of messages would grow with the
// square of the number of agents.
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

// updateOwnShare recomputes this agent's share of the in-flight limit, which is divided partly equally and
// partly by demand. If sampled is set, peers without a recent report count as average ones. Otherwise peers
// whose reports have ceased count as stopped, since their clients use other agents.
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
