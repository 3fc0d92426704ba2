package policy

import (
	"slices"
	"time"
)

const (
	// watchDuration is for how long the status of a change is requested: much longer than any change takes.
	watchDuration = 10 * time.Minute
	// maxWatchedChanges bounds the watches of one member; the oldest is dropped.
	maxWatchedChanges = 64
	// proposalTimeout is for how long a proposal is offered to the voters: several elections. After it the change is
	// aborted, so that it does not take effect at some later time.
	proposalTimeout = 30 * time.Second
	// proposalRetryInterval is after which a proposal is offered again: several writes of the voters' disks.
	proposalRetryInterval = 700 * time.Millisecond
)

// watchedChange is a change of which the status is requested with the lease requests.
type watchedChange struct {
	status ChangeStatus
	until  time.Duration
}

// isOpen reports whether the outcome is not known yet.
func (w watchedChange) isOpen() bool { return w.status.State <= ChangePreparing }

// outgoingProposal is offered to the voters until one of them has it.
type outgoingProposal struct {
	proposal  Proposal
	sendAt    time.Duration // again
	expiresAt time.Duration
}

// isSettledBy reports whether a status shows that the log has taken the proposal.
func (p *outgoingProposal) isSettledBy(status *ChangeStatus) bool {
	proposed := p.proposal.Document.ID == status.ID && status.State != ChangeUnknown
	aborted := p.proposal.AbortID == status.ID && status.State > ChangePreparing
	return proposed || aborted
}

// propose takes a proposal that an operator makes at this member.
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

// advanceProposals offers the proposals that are due, and ends those that no voter has taken.
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
	proposal := p.proposal // what is sent must not change with a later abort
	m.node.send(m.leaderOrAny(), &Message{Proposal: &proposal})
	m.requestSoon()
}

// watch has the status of a change requested from now on.
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

// updateWatches takes the statuses of a response.
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
