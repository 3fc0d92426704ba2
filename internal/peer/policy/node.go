package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Node takes part in the replication of the policy for one process: it has a member and, if the process is a voter, a
// raftNode. One goroutine owns it.
type Node struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the current step
	actions  []Action      // actions of the current step
	started  bool          // the first step was made
	stored   *StoredState  // data on the disk; nil after the first step

	member   member
	raftNode *raftNode // nil: this process is not a voter

	persistSeq uint64            // Seq of the last batch passed to the disk
	voters     []string          // the last list of voters that this process received; never empty
	voterNames map[uint64]string // names, by Raft's IDs, of voters and of members that have sent a message
	// epoch is the number of rescues since the fleet began. Voters of an earlier epoch are ignored.
	epoch          uint64
	epochChangedAt time.Duration         // 0: the epoch has not changed since this process started
	membership     map[string]MemberInfo // members that failure detection last reported, by name
	stats          Stats
}

// New returns a node that continues from the data on its disk.
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
		return nil, fmt.Errorf("policy: the member's stored state has format %d, and this build knows 1 to %d",
			saved.Format, FormatVersion)
	}
	n.epoch = saved.Epoch
	n.member.restore(saved)
	n.learnVoters(saved.Voters)
	return n, nil
}

// start restores the stored data. It is called in the first step.
func (n *Node) start() {
	stored := n.stored
	n.started = true
	n.stored = nil
	n.member.start()
	if stored.Snapshot == nil && (stored.Member != nil || !slices.Contains(n.settings.Voters, n.settings.Name)) {
		return // this member was not a voter
	}
	r, err := newRaftNode(n, stored)
	if err != nil {
		n.errorf("%v; this member does not take part as a voter", err)
		return
	}
	n.epoch = max(n.epoch, stored.Epoch)
	n.raftNode = r
}

// Next returns the time by which Step has to be called.
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

// Step handles the events since the last step, in order, and returns the actions to perform. If now is before the
// time of the last step, that time is used.
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

// infof emits a log line for the operators.
func (n *Node) infof(format string, args ...any) {
	n.emit(Log{Text: fmt.Sprintf(format, args...)})
}

// errorf emits a log line about a fault.
func (n *Node) errorf(format string, args ...any) {
	n.emit(Log{Text: fmt.Sprintf(format, args...), Error: true})
}

// persist emits the action that stores a batch, and returns its Seq.
func (n *Node) persist(b Batch) uint64 {
	n.persistSeq++
	n.stats.Writes++
	n.emit(Persist{Seq: n.persistSeq, Batch: b})
	return n.persistSeq
}

// send emits the action that sends a message. A message to this member itself is passed back by the caller of Step. If
// to is empty, send has no effect.
func (n *Node) send(to string, m *Message) {
	if to == "" {
		return
	}
	m.Epoch = n.epoch
	n.stats.Sent++
	n.emit(Send{To: to, Message: m})
}

// learnVoters records the voters, unless the list is empty.
func (n *Node) learnVoters(names []string) {
	if len(names) > 0 {
		n.voters = slices.Clone(names)
	}
	for _, name := range names {
		n.voterNames[raftID(name)] = name
	}
}

// isCurrentRun reports whether failure detection lists a member with this run ID.
func (n *Node) isCurrentRun(name string, runID uint64) bool { return n.membership[name].RunID == runID }

// becomeVoter makes this member a voter, because a voter has sent it a Raft message.
func (n *Node) becomeVoter(from string) {
	r, err := newEmptyVoter(n)
	if err != nil {
		n.errorf("%v", err)
		return
	}
	n.raftNode = r
	// If this member was a voter before and has lost its disk, this request shows the leader that the log here is
	// shorter than what this member acknowledged.
	n.send(from, &Message{PositionRequest: &PositionRequest{StartNumber: r.startNumber}})
	n.infof("this member takes part as a voter from now on: %s sent it a Raft message", from)
}

// retireVoter ends this member's role as a voter, and removes its log from the disk.
func (n *Node) retireVoter(reason string) {
	n.raftNode = nil
	n.persist(Batch{Wipe: true})
	n.errorf("this member is no longer a voter, and removes its log: %s", reason)
}

// rescue makes this voter the only voter and starts a new epoch, by an operator's decision after the other voters were
// lost.
func (n *Node) rescue() {
	if n.raftNode == nil {
		n.errorf("rescue failed: this member is not a voter, and has no log")
		return
	}
	if err := n.raftNode.rescue(n.epoch + 1); err != nil {
		n.errorf("rescue failed: %v", err)
		return
	}
	n.epoch++
	n.epochChangedAt = max(1, n.now)
	n.member.resetKnowledge()
	state := n.raftNode.state
	n.errorf("an operator has made this voter the only one (rescue %d): what only the other voters knew is lost; "+
		"policy %d (%s) and the policies of %d services are in force",
		n.epoch, state.Active.Number, state.Active.ID, len(state.ActiveParts))
}
