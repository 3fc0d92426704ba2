package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Node is one process's part in the fleet's policy: a member, and a raftNode where it votes. One goroutine owns it.
type Node struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // of the current step
	actions  []Action      // of the current step
	started  bool          // the first step was made
	stored   *StoredState  // until the first step

	member   member
	raftNode *raftNode // nil: this process does not vote

	persistSeq uint64            // of the last batch given to the disk
	voters     []string          // as far as this process knows; never empty
	voterNames map[uint64]string // names by Raft's IDs: of voters, and of whoever sent a message
	// epoch is the number of rescues since the fleet began. Voters of an earlier epoch are ignored.
	epoch          uint64
	epochChangedAt time.Duration         // 0: not in this process's life
	membership     map[string]MemberInfo // what failure detection knows, by name
	stats          Stats
}

// New returns a node that goes on from what is on its disk.
func New(s Settings, stored StoredState, seed uint64) (*Node, error) {
	if err := s.prepare(); err != nil {
		return nil, err
	}
	n := &Node{
		settings:   s,
		rng:        rand.New(rand.NewPCG(seed, s.RunID)),
		stored:     &stored,
		voterNames: map[uint64]string{},
		membership: map[string]MemberInfo{},
	}
	n.member = newMember(n)
	n.learnVoters(s.Voters)
	if stored.Member == nil {
		return n, nil
	}
	saved, err := decodeMember(stored.Member)
	if err != nil {
		return nil, err
	}
	if saved.Format > FormatVersion {
		return nil, fmt.Errorf("policy: what the member stored has format %d, and this build knows 1 to %d", saved.Format, FormatVersion)
	}
	n.epoch = saved.Epoch
	n.member.restore(saved)
	n.learnVoters(saved.Voters)
	return n, nil
}

// start makes the first step.
func (n *Node) start() {
	stored := n.stored
	n.started = true
	n.stored = nil
	n.member.start()
	if stored.Snapshot == nil && (stored.Member != nil || !slices.Contains(n.settings.Voters, n.settings.Name)) {
		return // it did not vote
	}
	r, err := newRaftNode(n, stored)
	if err != nil {
		n.errorf("%v; this member does not vote", err)
		return
	}
	n.epoch = max(n.epoch, stored.Epoch)
	n.raftNode = r
}

// Next returns when Step is to be called at the latest.
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

// Step takes what has happened by now, in order, and returns what to do. A time before that of the last step counts as
// that.
func (n *Node) Step(now time.Duration, events ...Event) []Action {
	n.now = max(now, n.now)
	n.actions = nil
	if !n.started {
		n.start()
	}
	for _, e := range events {
		n.handle(e)
	}
	if n.raftNode != nil {
		n.raftNode.advance()
	}
	n.member.advance()
	return n.actions
}

func (n *Node) handle(e Event) {
	switch e := e.(type) {
	case Received:
		n.receive(e.From, e.Message)
	case Persisted:
		n.member.persisted(e.Seq, e.Err)
		if n.raftNode != nil {
			n.raftNode.persisted(e.Seq, e.Err)
		}
	case MembersChanged:
		n.membership = make(map[string]MemberInfo, len(e.Members))
		for _, info := range e.Members {
			n.membership[info.Name] = info
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
		if n.raftNode != nil {
			n.raftNode.trust()
		}
	case RenewNow:
		n.member.nextRequestAt = n.now
	case SetParts:
		n.member.setParts(e.Parts)
	case History:
		n.member.history = nil
		n.send(n.member.leaderOrRandomVoter(), &Message{History: &e})
	case NameOwnership:
		n.member.setExclusiveName(e.Exclusive)
	}
}

// emit appends an action to those of the current step.
func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// infof emits a line for the operators.
func (n *Node) infof(format string, args ...any) {
	n.emit(Log{Text: fmt.Sprintf(format, args...)})
}

// errorf emits a line about a fault.
func (n *Node) errorf(format string, args ...any) {
	n.emit(Log{Text: fmt.Sprintf(format, args...), Error: true})
}

// persist gives a batch to the disk and returns its number.
func (n *Node) persist(b Batch) uint64 {
	n.persistSeq++
	n.stats.Persisted++
	n.emit(Persist{Seq: n.persistSeq, Batch: b})
	return n.persistSeq
}

// send sends a message, also to this member itself: the caller of Step passes it back. Without a receiver it does nothing.
func (n *Node) send(to string, m *Message) {
	if to == "" {
		return
	}
	m.Epoch = n.epoch
	n.stats.Sent++
	n.emit(Send{To: to, Message: m})
}

// learnVoters records who votes, unless the list is empty.
func (n *Node) learnVoters(names []string) {
	if len(names) > 0 {
		n.voters = slices.Clone(names)
	}
	for _, name := range names {
		n.voterNames[raftID(name)] = name
	}
}

// isCurrentRun reports whether failure detection knows a member by this run.
func (n *Node) isCurrentRun(name string, runID uint64) bool { return n.membership[name].RunID == runID }

// becomeVoter has this member take part in the log, since a leader sends it to this member.
func (n *Node) becomeVoter(from string) {
	r, err := newEmptyVoter(n)
	if err != nil {
		n.errorf("%v", err)
		return
	}
	n.raftNode = r
	// Should it have voted before, and lost its disk, the leader learns from this that it has less than it acknowledged.
	n.send(from, &Message{PositionRequest: &PositionRequest{Number: r.startNumber}})
	n.infof("this member votes from now on: %s has sent it the log", from)
}

// retireVoter ends this member's part in the log.
func (n *Node) retireVoter(reason string) {
	n.raftNode = nil
	n.persist(Batch{Wipe: true})
	n.errorf("this member no longer votes: %s", reason)
}

// rescue goes on with this voter alone.
func (n *Node) rescue() {
	if n.raftNode == nil {
		n.errorf("rescue: this member has no part of the log")
		return
	}
	if err := n.raftNode.rescue(n.epoch + 1); err != nil {
		n.errorf("rescue: %v", err)
		return
	}
	n.epoch++
	n.epochChangedAt = max(1, n.now)
	n.member.resetKnowledge()
	state := n.raftNode.state
	n.errorf("an operator has had this voter go on alone (rescue %d): what only the others knew is given up; "+
		"in force is policy %d (%s) and the texts of %d services",
		n.epoch, state.Active.Number, state.Active.ID, len(state.ActiveParts))
}
