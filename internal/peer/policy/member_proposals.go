package policy

import (
	"slices"
	"time"
)

const (
	// watchDuration is the time for which the status of a change is requested. It is much longer than any change takes.
	watchDuration = 10 * time.Minute
	// maxWatchedChanges bounds the number of watches of one member. The oldest watch is dropped.
	maxWatchedChanges = 64
	// proposalTimeout is the time for which a proposal is sent to the voters: longer than several elections. The change
	// is aborted afterwards, so that it does not take effect at some later time.
	proposalTimeout = 30 * time.Second
	// proposalRetryInterval is the time after which a proposal is sent again. It covers several writes of the voters'
	// disks.
	proposalRetryInterval = 700 * time.Millisecond
)

// watchedChange is a change whose status the member requests with its lease requests.
type watchedChange struct {
	status ChangeStatus
	until  time.Duration
}

// isOpen reports whether the outcome of the change is still unknown.
func (w watchedChange) isOpen() bool { return w.status.State <= ChangePreparing }

// outgoingProposal is a proposal that the member sends to the voters until the log has it.
type outgoingProposal struct {
	proposal  Proposal
	sendAt    time.Duration // when it is sent next
	expiresAt time.Duration
}

// isSettledBy reports whether a status shows that the log has the proposal.
func (p *outgoingProposal) isSettledBy(status *ChangeStatus) bool {
	proposed := p.proposal.Document.ID == status.ID && status.State != ChangeUnknown
	aborted := p.proposal.AbortID == status.ID && status.State > ChangePreparing
	return proposed || aborted
}

// propose starts to send a proposal that an operator made at this member, and watches its change.
func (m *member) propose(p Proposal) {
	outgoing := &outgoingProposal{proposal: p, sendAt: m.node.now, expiresAt: m.node.now + proposalTimeout}
	if p.AbortID != "" {
		m.watch(p.AbortID)
		m.proposals = append(m.proposals, outgoing)
		return
	}
	id := p.Document.ID
	m.watch(id)
	if !slices.ContainsFunc(m.proposals, func(o *outgoingProposal) bool { return o.proposal.Document.ID == id }) {
		m.proposals = append(m.proposals, outgoing)
	}
}

// advanceProposals sends the proposals that are due. A change that the log has not accepted within proposalTimeout is
// replaced by its abort.
func (m *member) advanceProposals() {
	n := m.node
	for _, p := range m.proposals {
		if n.now >= p.expiresAt && p.proposal.AbortID == "" {
			p.proposal = Proposal{
				AbortID:  p.proposal.Document.ID,
				Document: Document{Author: n.settings.Name, Reason: "it did not reach the voters within " + proposalTimeout.String()},
			}
			p.expiresAt = n.now + watchDuration
		}
		if n.now >= p.sendAt && n.now < p.expiresAt {
			m.sendProposal(p)
		}
	}
	m.proposals = slices.DeleteFunc(m.proposals, func(p *outgoingProposal) bool { return n.now >= p.expiresAt })
}

func (m *member) sendProposal(p *outgoingProposal) {
	p.sendAt = m.node.now + proposalRetryInterval
	proposal := p.proposal // a copy, since the message must not change if an abort replaces the proposal later
	m.node.send(m.leaderOrAny(), &Message{Proposal: &proposal})
	m.requestSoon()
}

// watch requests the status of a change with the lease requests from now on.
func (m *member) watch(id string) {
	m.requestSoon()
	until := m.node.now + watchDuration
	for i := range m.watches {
		if m.watches[i].status.ID == id {
			m.watches[i].until = until
			return
		}
	}
	if len(m.watches) == maxWatchedChanges {
		m.watches = slices.Delete(m.watches, 0, 1)
	}
	m.watches = append(m.watches, watchedChange{status: ChangeStatus{ID: id}, until: until})
}

// updateWatches records the statuses in a response, and ends the proposals that the log has.
func (m *member) updateWatches(statuses []ChangeStatus) {
	for _, status := range statuses {
		for i := range m.watches {
			if m.watches[i].status.ID != status.ID {
				continue
			}
			m.watches[i].status = status
			m.proposals = slices.DeleteFunc(m.proposals, func(p *outgoingProposal) bool { return p.isSettledBy(&status) })
		}
	}
}
