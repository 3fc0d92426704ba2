package policy

import (
	"maps"
	"slices"
	"time"
)

// Intervals of lease requests. The cost at the leader is the number of members divided by the interval.
const (
	// urgentRequestInterval is the first wait between two requests of a member that needs a response: a few round trips
	// between regions. It doubles with each request that gets none.
	urgentRequestInterval = 200 * time.Millisecond
	// maxUrgentInterval ends this backoff for a member that needs a response or loses its lease without one.
	maxUrgentInterval = 5 * urgentRequestInterval
	// maxBackoffDoublings keeps the shift from overflowing: 12.8 s, by when a third of the usual lease is the bound.
	maxBackoffDoublings = 6
	// renewalsPerLease is how often a member that needs nothing renews its lease while that lasts: two requests may be lost.
	renewalsPerLease = 3
	// urgentLeaseFraction: a member that stops when its lease expires needs a response in the last quarter of the lease.
	urgentLeaseFraction = 4
	// minRequestInterval bounds the requests that events cause: 100 a second for one member.
	minRequestInterval = 10 * time.Millisecond
	// voterTimeout is how long a voter may take to respond before another one is asked. Shorter ones leave a leader that
	// has one slow write of a disk; longer ones cost a part of the lease.
	voterTimeout = 2 * urgentRequestInterval
	// responseTimeout is how long a response is accepted. A later one says nothing about now, and the request takes memory.
	responseTimeout = 3 * time.Second
	// avoidLeaderDuration is for how long a leader that did not respond directly is asked through another voter. Longer
	// ones put the load of forwarding on voters after a short fault of the network.
	avoidLeaderDuration = 5 * time.Second
	// maxStatusQueries bounds the changes of which one request asks the status, so that the response fits a datagram.
	maxStatusQueries = 8
)

// needsResponse reports whether the member waits for something that a response tells.
func (m *member) needsResponse() bool {
	switch {
	case !m.inRoster, m.rosterPartsHash != partsHash(m.configuredParts):
		return true
	case len(m.prepared) > 0, len(m.missing) > 0, len(m.fetching) > 0:
		return true
	case m.node.settings.StopWhenIsolated && m.node.now >= m.leaseExpiry-m.node.settings.Lease/urgentLeaseFraction:
		return true
	}
	return slices.ContainsFunc(m.watches, watchedChange.isOpen)
}

// sendLeaseRequest sends a lease request to a voter, and schedules the next one.
func (m *member) sendLeaseRequest() {
	n := m.node
	interval := m.requestInterval()
	m.unansweredRequests++
	m.nextRequestAt = n.now + m.jitter(interval)
	if n.now-m.lastResponseAt > voterTimeout && m.lastRequestAt > m.lastResponseAt {
		m.switchVoter()
	}
	m.requestTarget = m.chooseVoter()
	m.seq++
	m.outstanding[m.seq] = n.now
	m.lastRequestAt = n.now
	request := m.newLeaseRequest()
	m.rotation++
	n.send(m.requestTarget, &Message{LeaseRequest: request})
	maps.DeleteFunc(m.outstanding, func(_ uint64, sentAt time.Duration) bool {
		return n.now-sentAt > responseTimeout
	})
}

// requestInterval is the mean wait until the next request: by backoff while there is no response.
func (m *member) requestInterval() time.Duration {
	interval := max(urgentRequestInterval, m.node.settings.Lease/renewalsPerLease)
	if m.needsResponse() || m.node.settings.StopWhenIsolated {
		interval = maxUrgentInterval
	}
	return min(interval, urgentRequestInterval<<min(m.unansweredRequests, maxBackoffDoublings))
}

// jitter returns a random span between 0.75 and 1.25 times the given one, so that members do not send in step.
func (m *member) jitter(span time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*m.node.rng.Float64()) * float64(span))
}

// switchVoter has the next request go to another voter.
func (m *member) switchVoter() {
	m.voterOffset++
	if m.requestTarget == m.leader {
		m.avoidedLeader = m.leader
		m.avoidUntil = m.node.now + avoidLeaderDuration
	} else {
		m.relay = ""
	}
	m.leader = ""
}

// chooseVoter returns the voter for the next request: the preferred one, or one by turns. The first one depends on the
// member's name, so that members spread over the voters.
func (m *member) chooseVoter() string {
	voters := m.node.voters
	if preferred := m.preferredVoter(); preferred != "" && slices.Contains(voters, preferred) {
		return preferred
	}
	first := int(raftID(m.node.settings.Name) % uint64(len(voters)))
	return voters[(m.voterOffset+first)%len(voters)]
}

// preferredVoter returns the leader or, while that one does not respond to this member directly, the voter that last
// forwarded a response; empty: neither is known.
func (m *member) preferredVoter() string {
	avoided := m.leader != "" && m.leader == m.avoidedLeader && m.node.now < m.avoidUntil
	if avoided && m.relay != "" {
		return m.relay
	}
	return m.leader
}

// leaderOrAny returns the leader or, while it is not known, a random voter, which forwards what is for the leader.
func (m *member) leaderOrAny() string {
	if m.leader != "" {
		return m.leader
	}
	return m.randomVoter()
}

// leaderOrRandomVoter returns a voter for what any voter has, or will have soon: half of the time the leader.
func (m *member) leaderOrRandomVoter() string {
	if m.node.rng.IntN(2) == 0 {
		return m.randomVoter()
	}
	return m.leaderOrAny()
}

func (m *member) randomVoter() string {
	return m.node.voters[m.node.rng.IntN(len(m.node.voters))]
}

// newLeaseRequest reports the member's state.
func (m *member) newLeaseRequest() *LeaseRequest {
	n := m.node
	request := &LeaseRequest{
		Name:             n.settings.Name,
		RunID:            n.settings.RunID,
		Seq:              m.seq,
		ActiveNumber:     m.active.Number,
		Join:             m.exclusiveName && !m.inRoster,
		LeaseExpired:     m.inRoster && n.now >= m.leaseExpiry,
		StopWhenIsolated: n.settings.StopWhenIsolated,
		LeaseMS:          uint32(n.settings.Lease / time.Millisecond),
		Format:           FormatVersion,
		KnownUpTo:        m.knownUpTo,
		PreparedIDs:      changeIDs(m.prepared),
		PartsHash:        partsHash(m.configuredParts),
	}
	if i := slices.IndexFunc(m.prepared, (*Document).isGlobalOnly); i >= 0 { // for a leader of format 1
		request.Prepared = m.prepared[i].ID
	}
	if ids := sortedKeys(m.rejections); len(ids) > 0 { // by turns, where there are several
		request.RejectedID = ids[m.rotation%len(ids)]
		request.RejectReason = m.rejections[request.RejectedID]
	}
	if !m.inRoster || m.rosterPartsHash != request.PartsHash || m.partsRequested {
		request.Parts = m.configuredParts
	}
	for i := range m.watches { // by turns, where there are many
		watch := m.watches[(m.rotation+i)%len(m.watches)]
		if watch.isOpen() && len(request.StatusOf) < maxStatusQueries {
			request.StatusOf = append(request.StatusOf, watch.status.ID)
		}
	}
	return request
}

// requestSoon has the next request sent at once, or minRequestInterval after the last one.
func (m *member) requestSoon() {
	m.nextRequestAt = min(m.nextRequestAt, max(m.node.now, m.lastRequestAt+minRequestInterval))
}
