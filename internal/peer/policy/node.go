package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Node is one member's part in the fleet's policy, and its part in the log where it votes. One goroutine owns it.
type Node struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	started  bool
	stored   *StoredState // until the first step

	member   member
	raftNode *raftNode

	persistSeq     uint64   // of what goes to the disk
	voters         []string // as they are known here
	voterNames     map[uint64]string
	epoch          uint64 // of the voters: grows with each rescue
	epochChangedAt time.Duration
	members        map[string]MemberInfo
	stats          Stats
}

// Stats are of a node's life.
type Stats struct {
	Sent          uint64 `json:"Sent"`
	LeaseRequests uint64 `json:"Asked"`
	Persisted     uint64 `json:"Persisted"`
}

// New returns a node as its disk has it.
func New(s Settings, d StoredState, seed uint64) (*Node, error) {
	if err := s.applyDefaults(); err != nil {
		return nil, err
	}
	n := &Node{settings: s, rng: rand.New(rand.NewPCG(seed, s.RunID)), stored: &d, voterNames: map[uint64]string{}, members: map[string]MemberInfo{}}
	n.member = member{node: n, outstanding: map[uint64]time.Duration{}, activeParts: map[string]Document{}, preparedAt: map[string]time.Duration{}, rejections: map[string]string{}, fetching: map[string]time.Duration{}, missing: map[string]DocumentRef{}, configuredParts: n.settings.Parts}
	n.learnVoters(s.Voters)
	if d.Member != nil {
		var saved savedMember
		if err := decoding.Unmarshal(d.Member, &saved); err != nil {
			return nil, fmt.Errorf("policy: the member's part on the disk: %w", err)
		}
		if saved.Format > FormatVersion {
			return nil, fmt.Errorf("policy: the member's part on the disk has form %d, and this build knows 1 to %d", saved.Format, FormatVersion)
		}
		n.member.active, n.member.prepared, n.epoch, n.member.knownUpTo = saved.Active, saved.allPrepared(), saved.Epoch, saved.KnownUpTo
		if saved.PartsHash != partsHash(n.settings.Parts) { // its file has other services now
			n.member.knownUpTo = 0
		}
		for _, d := range saved.ActiveParts {
			n.member.activeParts[d.Part] = d
		}
		if len(saved.Voters) > 0 {
			n.learnVoters(saved.Voters)
		}
	}
	return n, nil
}

// start is the first step.
func (n *Node) start() {
	d := n.stored
	n.started, n.stored = true, nil
	n.member.startedAt, n.member.nextRequestAt = n.now, n.now
	n.member.discardUnheldParts()
	before := n.member.prepared
	n.member.prepared = nil
	for _, p := range before {
		if err := n.member.checkChange(p); err != nil { // another build or another file: what it agreed to it can't any more
			n.member.rejections[p.ID] = err.Error()
		} else {
			n.member.prepared, n.member.preparedAt[p.ID] = append(n.member.prepared, p), n.now
		}
	}
	if n.epoch > 0 && n.member.knownUpTo == 0 { // it ended before it knew what a rescue had given up
		n.epochChangedAt = max(1, n.now)
	}
	if h := n.settings.Handoff; h != nil && h.Number == n.member.active.Number { // its requests go on
		n.member.inRoster, n.member.everInRoster, n.member.leaseExpiry, n.member.seq, n.member.lastAnsweredSeq = true, true, n.now+h.LeaseRemaining, h.Seq+1, h.Seq
		n.member.servedParts = h.ServedParts(n.member.configuredParts, n.member.activeDocument)
	}
	if d.Snapshot != nil || d.Member == nil && slices.Contains(n.settings.Voters, n.settings.Name) {
		v, err := newRaftNode(n, d, false)
		if err != nil {
			n.say(true, "%v; this member takes no part in the vote", err)
			return
		}
		n.epoch = max(n.epoch, d.Epoch)
		n.raftNode = v
	}
}

// Next is when Step is to be called at the latest.
func (n *Node) Next() time.Duration {
	if !n.started {
		return 0
	}
	next := n.member.nextDeadline()
	if n.raftNode != nil {
		next = min(next, n.raftNode.nextDeadline())
	}
	return max(next, n.now+time.Millisecond)
}

// Step takes what has happened by now, in order, and returns what to do.
func (n *Node) Step(now time.Duration, events ...Event) []Action {
	n.now, n.actions = max(now, n.now), nil
	if !n.started {
		n.start()
	}
	for _, e := range events {
		switch e := e.(type) {
		case Received:
			n.receive(e.From, e.Message)
		case Persisted:
			n.member.persisted(e.Seq, e.Err)
			if n.raftNode != nil {
				n.raftNode.persisted(e.Seq, e.Err)
			}
		case MembersChanged:
			n.members = make(map[string]MemberInfo, len(e.Members))
			for _, w := range e.Members {
				n.members[w.Name] = w
			}
		case Propose:
			n.member.propose(e.Proposal)
		case WatchChange:
			n.member.watch(e.ID)
		case ReplaceVoter:
			n.replaceVoter(&e, 0)
		case Rescue:
			n.rescue()
		case TrustDisk:
			if n.raftNode != nil && n.raftNode.rawNode == nil {
				n.raftNode.trustDisk = true
				n.raftNode.evaluatePositions()
			}
		case RenewNow:
			n.member.nextRequestAt = n.now
		case SetParts:
			n.member.setParts(e.Parts)
		case History:
			n.member.history = nil
			n.send(n.member.leaderOrRandomVoter(), &Message{History: &e})
		case NameOwnership:
			if n.member.exclusiveName != e.Exclusive {
				n.member.exclusiveName = e.Exclusive
				n.member.requestSoon()
			}
		}
	}
	if n.raftNode != nil {
		n.raftNode.advance()
	}
	n.member.advance()
	return n.actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) say(bad bool, format string, args ...any) {
	n.emit(Log{fmt.Sprintf(format, args...), bad})
}

func (n *Node) persist(b Batch) uint64 {
	n.persistSeq++
	n.stats.Persisted++
	n.emit(Persist{n.persistSeq, b})
	return n.persistSeq
}

// send sends a message. To itself it goes as well: the daemon brings it back.
func (n *Node) send(to string, m *Message) {
	if to == "" {
		return
	}
	m.Epoch = n.epoch
	n.stats.Sent++
	n.emit(Send{to, m})
}

// learnVoters takes note of who votes.
func (n *Node) learnVoters(all []string) {
	if len(all) > 0 {
		n.voters = slices.Clone(all)
	}
	for _, v := range all {
		n.voterNames[raftID(v)] = v
	}
}

// isCurrentRun reports whether the view knows a member by this life.
func (n *Node) isCurrentRun(name string, life uint64) bool { return n.members[name].RunID == life }

// receive takes a message of another.
func (n *Node) receive(from string, m *Message) {
	if m == nil || from == "" {
		return
	}
	switch {
	case m.Epoch < n.epoch: // it does not know of a rescue
		if m.Raft != nil || m.PositionRequest != nil || m.LeaseResponse != nil {
			n.send(from, &Message{Notify: true})
			return
		}
	case m.Epoch > n.epoch:
		n.epoch, n.epochChangedAt = m.Epoch, max(1, n.now)
		n.member.resetKnowledge()
		if n.raftNode != nil && n.raftNode.epoch < m.Epoch {
			n.retireVoter("an operator has gone on without it (rescue)")
		}
		n.member.requestSoon()
	}
	n.voterNames[raftID(from)] = from
	switch {
	case m.Raft != nil:
		if n.raftNode == nil && slices.Contains(n.voters, n.settings.Name) || n.raftNode == nil && m.Epoch == n.epoch {
			n.becomeVoter(from, m.Raft)
		}
		if n.raftNode != nil {
			n.raftNode.receiveRaftMessage(from, m.Raft)
		}
	case m.LeaseRequest != nil:
		n.receiveLeaseRequest(from, m)
	case m.LeaseResponse != nil && m.To != "" && m.To != n.settings.Name:
		if m.Hops < 2 {
			n.send(m.To, &Message{LeaseResponse: m.LeaseResponse, Hops: m.Hops + 1})
		}
	case m.LeaseResponse != nil:
		n.member.receiveLeaseResponse(from, m.LeaseResponse)
	case m.Notify:
		n.member.requestSoon()
	case m.PositionRequest != nil:
		if n.raftNode != nil {
			n.raftNode.receivePositionRequest(from, m.PositionRequest)
		}
	case m.PositionResponse != nil:
		if v := n.raftNode; v != nil && v.rawNode == nil && m.PositionResponse.Number == v.startNumber {
			v.positions[from] = m.PositionResponse
			v.evaluatePositions()
		}
	case m.Fetch != "":
		if n.raftNode != nil {
			if d := n.raftNode.state.changeDocuments(m.Fetch, n.raftNode.state.partFilter(from, m.Parts)); d != nil {
				n.send(from, &Message{Document: d})
			}
		}
	case m.Document != nil:
		n.member.receiveChange(m.Document)
	case m.Proposal != nil:
		n.receiveProposal(m)
	case m.ReplaceVoter != nil:
		n.replaceVoter(m.ReplaceVoter, m.Hops)
	case m.History != nil && m.History.IsResponse:
		n.member.history = m.History
	case m.History != nil:
		if n.raftNode != nil {
			p := n.raftNode.state.history(m.History.Part, m.History.Number)
			n.send(from, &Message{History: p})
		}
	}
}

// receiveLeaseRequest takes a member's question, or passes it on to the leader.
func (n *Node) receiveLeaseRequest(from string, m *Message) {
	v, a := n.raftNode, m.LeaseRequest
	if v == nil || v.rawNode == nil || a.Name == "" {
		return
	}
	if from != a.Name && from != a.Through {
		return
	}
	n.stats.LeaseRequests++
	if v.isLeader() {
		if v.coordinator.term > 0 {
			v.coordinator.receiveRequest(v, receivedRequest{a, from})
		}
		return
	}
	if to := v.leaderName(); to != "" && to != n.settings.Name && a.Through == "" {
		b := *a
		b.Through = n.settings.Name
		n.send(to, &Message{LeaseRequest: &b})
	}
}

// receiveProposal takes a change, or passes it on to the leader.
func (n *Node) receiveProposal(m *Message) {
	v, p := n.raftNode, m.Proposal
	if v == nil || v.rawNode == nil || p.Check() != nil {
		return
	}
	if !v.isLeader() {
		if to := v.leaderName(); to != "" && m.Hops == 0 {
			n.send(to, &Message{Proposal: p, Hops: 1})
		}
		return
	}
	if p.AbortID != "" {
		v.coordinator.abortChange(v, p)
		return
	}
	if v.state.changeStatus(p.Document.ID).State == ChangeUnknown && !v.isProposalQueued(p.Document.ID) {
		d := p.Document
		if !d.isGlobalOnly() && v.state.Format < FormatVersion {
			if v.coordinator.proposeFormat(v) { // its author offers it again
				return
			}
			v.propose(&command{Kind: commandAbort, ID: d.ID, AbortedBy: n.settings.Name, Reason: "services have no parts yet: not all voters have been heard to be of this version"})
			return
		}
		d.Number = 0
		v.propose(&command{Kind: commandPropose, Document: &d, Base: p.Base, Excluded: p.Excluded, Bases: p.Bases})
	}
}

// replaceVoter changes the voters, or passes that on to the leader.
func (n *Node) replaceVoter(r *ReplaceVoter, hops int) {
	switch {
	case n.raftNode != nil && n.raftNode.isLeader():
		if err := n.raftNode.replaceVoter(r); err != nil {
			n.say(true, "voters: %v", err)
		}
		return
	case hops > 2:
		return
	case n.raftNode != nil && n.raftNode.leaderName() != "":
		n.send(n.raftNode.leaderName(), &Message{ReplaceVoter: r, Hops: hops + 1})
	default:
		n.send(n.member.leaderOrAny(), &Message{ReplaceVoter: r, Hops: hops + 1})
	}
}

// becomeVoter makes this member a voter, since the leader sends it the log.
func (n *Node) becomeVoter(from string, data []byte) {
	v, err := newRaftNode(n, &StoredState{}, true)
	if err != nil {
		n.say(true, "%v", err)
		return
	}
	n.raftNode = v
	n.send(from, &Message{PositionRequest: &PositionRequest{Number: v.startNumber}}) // should it have voted before, and lost its disk
	n.say(false, "this member votes from now on: %s has sent it the log", from)
}

// retireVoter makes this member one that does not vote.
func (n *Node) retireVoter(why string) {
	n.raftNode = nil
	n.persist(Batch{Wipe: true})
	n.say(true, "this member votes no more: %s", why)
}

// rescue goes on with this voter alone.
func (n *Node) rescue() {
	if n.raftNode == nil {
		n.say(true, "rescue: this member has no part of the log")
		return
	}
	if err := n.raftNode.rescue(n.epoch + 1); err != nil {
		n.say(true, "rescue: %v", err)
		return
	}
	n.epoch++
	n.epochChangedAt = max(1, n.now)
	n.member.resetKnowledge()
	n.say(true, "an operator has had this voter go on alone (rescue %d): what only the others knew is given up; in force is policy %d (%s) and the texts of %d services", n.epoch, n.raftNode.state.Active.Number, n.raftNode.state.Active.ID, len(n.raftNode.state.ActiveParts))
}
