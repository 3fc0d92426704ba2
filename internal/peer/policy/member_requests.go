package policy

import (
	"maps"
	"slices"
	"time"
)

// Intervals of lease requests. The leader receives as many requests per second as there are members divided by the
// interval.
const (
	// urgentRequestInterval is the first interval between two requests of a member that needs a response: a few round
	// trips between regions. It doubles with each request that is not answered.
	urgentRequestInterval = 200 * time.Millisecond
	// maxUrgentInterval limits this backoff for a member that needs a response, or that stops without one.
	maxUrgentInterval = 5 * urgentRequestInterval
	// maxBackoffDoublings keeps the shift from overflowing. It allows 12.8 s, but a third of the default lease limits the
	// interval before that.
	maxBackoffDoublings = 6
	// renewalsPerLease is the number of renewals within the duration of a lease for a member that needs no response: two
	// consecutive requests may be lost.
	renewalsPerLease = 3
	// urgentLeaseFraction sets when a member that stops at lease expiry needs a response: in the last quarter of the
	// lease.
	urgentLeaseFraction = 4
	// minRequestInterval limits the requests that events cause to 100 a second for each member.
	minRequestInterval = 10 * time.Millisecond
	// voterTimeout is how long a voter may take to respond before the member sends its requests to another voter.
	// With a shorter timeout, one slow disk write makes members leave a leader; a longer one wastes a part of the
	// lease.
	voterTimeout = 2 * urgentRequestInterval
	// responseTimeout is how long after its request a response is accepted. A later response is outdated, and the records
	// of outstanding requests take memory.
	responseTimeout = 3 * time.Second
	// avoidLeaderDuration is how long requests go through another voter after the leader did not respond directly.
	// With a longer duration, voters carry the load of forwarding for longer after a short network fault.
	avoidLeaderDuration = 5 * time.Second
	// maxStatusQueries bounds the number of changes whose status one request queries, so that the response fits a
	// datagram.
	maxStatusQueries = 8
)

// needsResponse reports whether the member needs information that a response contains.
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

// requestInterval returns the mean interval until the next request. It backs off while there is no response.
func (m *member) requestInterval() time.Duration {
	interval := max(urgentRequestInterval, m.node.settings.Lease/renewalsPerLease)
	if m.needsResponse() || m.node.settings.StopWhenIsolated {
		interval = maxUrgentInterval
	}
	return min(interval, urgentRequestInterval<<min(m.unansweredRequests, maxBackoffDoublings))
}

// jitter returns a random span between 0.75 and 1.25 times the given one, so that members do not send at the same
// time.
func (m *member) jitter(span time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*m.node.rng.Float64()) * float64(span))
}

// switchVoter selects another voter for the next request.
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

// chooseVoter returns the voter for the next request: the preferred voter if there is one, or else the voters in
// turn. The first of them depends on the member's name, so that members spread over the voters.
func (m *member) chooseVoter() string {
	voters := m.node.voters
	if preferred := m.preferredVoter(); preferred != "" && slices.Contains(voters, preferred) {
		return preferred
	}
	first := int(raftID(m.node.settings.Name) % uint64(len(voters)))
	return voters[(m.voterOffset+first)%len(voters)]
}

// preferredVoter returns the leader or, while the leader does not respond to this member directly, the voter that last
// forwarded a response. It returns an empty name if neither is on record.
func (m *member) preferredVoter() string {
	avoided := m.leader != "" && m.leader == m.avoidedLeader && m.node.now < m.avoidUntil
	if avoided && m.relay != "" {
		return m.relay
	}
	return m.leader
}

// leaderOrAny returns the leader or, while no leader is on record, a random voter, which forwards messages to the
// leader.
func (m *member) leaderOrAny() string {
	if m.leader != "" {
		return m.leader
	}
	return m.randomVoter()
}

// leaderOrRandomVoter returns a voter for a request that any voter can answer, now or soon: with equal probability the
// leader or a random voter.
func (m *member) leaderOrRandomVoter() string {
	if m.node.rng.IntN(2) == 0 {
		return m.randomVoter()
	}
	return m.leaderOrAny()
}

func (m *member) randomVoter() string {
	return m.node.voters[m.node.rng.IntN(len(m.node.voters))]
}

// newLeaseRequest returns a lease request that reports the member's state.
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
	if ids := sortedKeys(m.rejections); len(ids) > 0 { // several rejections are reported in turn
		request.RejectedID = ids[m.rotation%len(ids)]
		request.RejectReason = m.rejections[request.RejectedID]
	}
	if !m.inRoster || m.rosterPartsHash != request.PartsHash || m.partsRequested {
		request.Parts = m.configuredParts
	}
	for i := range m.watches { // watches that do not fit into one request are queried in turn
		watch := m.watches[(m.rotation+i)%len(m.watches)]
		if watch.isOpen() && len(request.StatusOf) < maxStatusQueries {
			request.StatusOf = append(request.StatusOf, watch.status.ID)
		}
	}
	return request
}

// requestSoon schedules the next request at once, but not before minRequestInterval after the last one.
func (m *member) requestSoon() {
	m.nextRequestAt = min(m.nextRequestAt, max(m.node.now, m.lastRequestAt+minRequestInterval))
}
