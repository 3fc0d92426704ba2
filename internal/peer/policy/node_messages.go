package policy

const (
	// maxResponseHops bounds the number of times that a LeaseResponse is forwarded. The voter that forwarded the request
	// forwards the response, so one hop is needed; the bound prevents loops.
	maxResponseHops = 2
	// maxReplaceVoterHops bounds the number of times that a ReplaceVoter is forwarded on its way to the leader. More than
	// one hop is needed if a voter still has an earlier leader on record. An operator can repeat a request that was
	// dropped.
	maxReplaceVoterHops = 2
)

// receive dispatches a message from another member, or from this member itself.
func (n *Node) receive(from string, m *Message) {
	if m == nil || from == "" {
		return
	}
	if !n.acceptEpoch(from, m) {
		return
	}
	n.voterNames[raftID(from)] = from
	switch {
	case m.Raft != nil:
		if n.raftNode == nil {
			n.becomeVoter(from)
		}
		if n.raftNode != nil {
			n.raftNode.receiveRaftMessage(from, m.Raft)
		}
	case m.LeaseRequest != nil:
		n.receiveLeaseRequest(from, m.LeaseRequest)
	case m.LeaseResponse != nil:
		n.receiveLeaseResponse(from, m)
	case m.Notify:
		n.member.requestSoon()
	case m.PositionRequest != nil:
		if n.raftNode != nil {
			n.raftNode.receivePositionRequest(from, m.PositionRequest)
		}
	case m.PositionResponse != nil:
		if n.raftNode != nil {
			n.raftNode.receivePositionResponse(from, m.PositionResponse)
		}
	case m.Fetch != "":
		n.receiveFetch(from, m)
	case m.Document != nil:
		n.member.receiveChange(m.Document)
	case m.Proposal != nil:
		n.receiveProposal(m)
	case m.ReplaceVoter != nil:
		n.replaceVoter(m.ReplaceVoter, m.Hops)
	case m.History != nil:
		n.receiveHistory(from, m.History)
	}
}

// acceptEpoch compares the sender's epoch with this member's epoch, and adopts a later one. It reports whether the
// message has to be handled.
func (n *Node) acceptEpoch(from string, m *Message) bool {
	switch {
	case m.Epoch < n.epoch: // the sender has not received the epoch of a rescue
		if m.Raft != nil || m.PositionRequest != nil || m.LeaseResponse != nil {
			n.send(from, &Message{Notify: true}) // informs the sender of the epoch, and makes it request a lease
			return false
		}
	case m.Epoch > n.epoch:
		n.epoch = m.Epoch
		n.epochChangedAt = max(1, n.now)
		n.member.resetKnowledge()
		if n.raftNode != nil && n.raftNode.epoch < m.Epoch {
			n.retireVoter("an operator's rescue has made another voter the only one")
		}
		n.member.requestSoon()
	}
	return true
}

// receiveLeaseRequest passes a member's request to the coordinator if this voter leads, or else forwards it to the
// leader.
func (n *Node) receiveLeaseRequest(from string, request *LeaseRequest) {
	r := n.raftNode
	if r == nil || r.rawNode == nil || request.Name == "" {
		return
	}
	if from != request.Name && from != request.Through {
		return
	}
	n.stats.LeaseRequests++
	if r.isLeader() {
		if r.coordinator.term > 0 {
			r.coordinator.receiveRequest(r, receivedRequest{request, from})
		}
		return
	}
	if leader := r.leaderName(); leader != "" && leader != n.settings.Name && request.Through == "" {
		forwarded := *request
		forwarded.Through = n.settings.Name
		n.send(leader, &Message{LeaseRequest: &forwarded})
	}
}

// receiveLeaseResponse handles a response to this member, or forwards it to the member that it is addressed to.
func (n *Node) receiveLeaseResponse(from string, m *Message) {
	if m.To == "" || m.To == n.settings.Name {
		n.member.receiveLeaseResponse(from, m.LeaseResponse)
		return
	}
	if m.Hops < maxResponseHops {
		n.send(m.To, &Message{LeaseResponse: m.LeaseResponse, Hops: m.Hops + 1})
	}
}

// receiveFetch sends the documents of a change to the sender, for the parts that the sender holds.
func (n *Node) receiveFetch(from string, m *Message) {
	if n.raftNode == nil {
		return
	}
	state := n.raftNode.state
	if change := state.changeDocuments(m.Fetch, state.partFilter(from, m.Parts)); change != nil {
		n.send(from, &Message{Document: change})
	}
}

// receiveHistory stores a response, or answers a request if this member is a voter.
func (n *Node) receiveHistory(from string, h *History) {
	if h.IsResponse {
		n.member.history = h
		return
	}
	if n.raftNode != nil {
		n.send(from, &Message{History: n.raftNode.state.history(h.Part, h.Number)})
	}
}

// receiveProposal proposes a change to the log if this voter leads, or else forwards the proposal to the leader.
func (n *Node) receiveProposal(m *Message) {
	r := n.raftNode
	proposal := m.Proposal
	if r == nil || r.rawNode == nil || proposal.Check() != nil {
		return
	}
	if !r.isLeader() {
		if leader := r.leaderName(); leader != "" && m.Hops == 0 {
			n.send(leader, &Message{Proposal: proposal, Hops: 1})
		}
		return
	}
	if proposal.AbortID != "" {
		r.coordinator.abortChange(r, proposal)
		return
	}
	change := proposal.Document
	if r.state.changeStatus(change.ID).State != ChangeUnknown || r.isProposalQueued(change.ID) {
		return // this change was proposed before
	}
	if !change.isGlobalOnly() && r.state.Format < FormatVersion {
		if !r.coordinator.proposeFormat(r) {
			r.propose(&command{
				Kind:      commandAbort,
				ID:        change.ID,
				AbortedBy: n.settings.Name,
				Reason:    "services have no parts yet: not all voters have been heard to be of this version",
			})
		}
		return // the change is proposed once the log has this format: the proposing member retries
	}
	change.Number = 0
	r.propose(&command{
		Kind:     commandPropose,
		Document: &change,
		Base:     proposal.Base,
		Excluded: proposal.Excluded,
		Bases:    proposal.Bases,
	})
}

// replaceVoter changes the voters if this voter leads, or else forwards the request to the leader. hops is the number
// of times that the request was forwarded.
func (n *Node) replaceVoter(request *ReplaceVoter, hops int) {
	r := n.raftNode
	if r != nil && r.isLeader() {
		if err := r.replaceVoter(request); err != nil {
			n.errorf("changing the voters failed: %v", err)
		}
		return
	}
	if hops > maxReplaceVoterHops {
		return
	}
	leader := ""
	if r != nil {
		leader = r.leaderName()
	}
	if leader == "" {
		leader = n.member.leaderOrAny()
	}
	n.send(leader, &Message{ReplaceVoter: request, Hops: hops + 1})
}
