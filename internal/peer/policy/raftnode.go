package policy

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// raftNode is a voter's part in the log: it drives go.etcd.io/raft, which does nothing by itself. It passes ticks and
// messages to Raft, stores what Raft wants stored, and sends Raft's messages once what they rest on is on the disk.
//
// A voter whose disk may be older than what it promised first recovers: see raftnode_recovery.go.
type raftNode struct {
	node    *Node
	id      uint64        // of this voter in Raft: see raftID
	epoch   uint64        // of the voters that it votes with: see Node.epoch
	rawNode *raft.RawNode // nil while recovering

	// The log and its state machine.
	storage      *raft.MemoryStorage // what is on the disk
	hardState    *raftpb.HardState   // while recovering: what is on the disk
	state        *replicatedState
	appliedIndex uint64
	confState    *raftpb.ConfState
	snapshotDue  bool

	// Writing to the disk. A write is idle, in progress (writeSeq is not 0), or failed and to be repeated.
	diskQueue      []*raftpb.Message // what Raft wants stored, in order
	writing        []*raftpb.Message // what is being stored as one batch
	writeBatch     Batch
	writingBase    bool          // the batch is what this start rests on: Raft does nothing before
	writeSeq       uint64        // of the batch; 0: none is in progress
	writeRetryAt   time.Duration // after a failure
	restartPending bool          // Raft begins anew once no write is outstanding
	requeryPending bool          // and the other voters are queried before

	nextTickAt time.Duration
	campaignAt time.Duration // the first campaign of this start, if nobody leads; 0: done

	// Recovery.
	provenCurrent bool // the disk is certainly as this voter left it, or has been brought up to date
	trustDisk     bool // an operator has decided that it is
	startNumber   uint64
	nextQueryAt   time.Duration
	positions     map[string]*PositionResponse // of other voters, by name
	voteFloor     position                     // no vote for a log that is behind it; zero: none
	catchingUp    bool                         // joined without a log: no vote before it has what its leader had
	catchUpTo     uint64                       // the leader's commit index when it first sent the log

	coordinator coordinator
	// pendingCommands go into the log together (group commit), not before groupCommitAt.
	pendingCommands []command
	groupCommitAt   time.Duration

	regressions    map[string]regression    // voters that report less than they acknowledged, by name
	snapshotSentAt map[uint64]time.Duration // snapshots on their way, by Raft's ID
}

// regression is a voter that reports less than it acknowledged.
type regression struct {
	count int // of consecutive reports
	since time.Duration
}

// position is how far a log reaches.
type position struct{ term, index uint64 }

// less reports whether a log that reaches p is behind one that reaches o, as Raft compares them for votes.
func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.index < o.index
}

// Raft's timing. An election takes an election timeout of 1.2 to 1.6 s, which Raft draws up to twice as long.
const (
	// tickInterval is Raft's unit of time. Shorter ones cost more messages while nothing happens.
	tickInterval = 200 * time.Millisecond
	// heartbeatTicks is the interval of a leader's heartbeats in ticks.
	heartbeatTicks = 2
	// minElectionTicks is after how many ticks without a leader a voter campaigns. Fewer make leaders lose their place by
	// one slow message; more leave the fleet without a leader for longer, and the leases have to last over that.
	minElectionTicks = 6
	// electionJitterTicks: a voter's timeout is up to this many ticks less one longer, by its seed.
	electionJitterTicks = 3
	// minCampaignDelay is when a voter that starts campaigns at the earliest, if nobody leads.
	minCampaignDelay = 100 * time.Millisecond
	// campaignDelayJitter spreads these campaigns, so that they don't split the votes.
	campaignDelayJitter = 300 * time.Millisecond
	// snapshotTimeout is after which a snapshot that had no effect is sent again.
	snapshotTimeout = 3 * time.Second
	// maxInflightMessages bounds what Raft sends to a voter without an acknowledgement.
	maxInflightMessages = 64
	// maxMessageBytes bounds the entries of one message of Raft's: two texts of a part.
	maxMessageBytes = 2 * MaxBodyBytes
	// maxUncommittedBytes bounds the entries that are not committed yet; more proposals are dropped, and offered again.
	maxUncommittedBytes = 64 * MaxBodyBytes
)

// raftID returns a voter's ID in Raft: a hash of its name, never 0.
func raftID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return max(1, h.Sum64())
}

// initialSnapshot is what the log of these voters begins with: the same at all of them. A nil state means a new fleet.
func initialSnapshot(voters []string, epoch uint64, s *replicatedState) *raftpb.Snapshot {
	conf := &raftpb.ConfState{}
	for _, voter := range voters {
		conf.Voters = append(conf.Voters, raftID(voter))
	}
	slices.Sort(conf.Voters)
	if s == nil {
		s = &replicatedState{Voters: slices.Sorted(slices.Values(voters))}
	}
	return &raftpb.Snapshot{
		Data:     encodeState(s),
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(epoch + 1)},
	}
}

// newRaftNode returns a voter with the log on its disk, or with the first one of a new fleet.
func newRaftNode(n *Node, stored *StoredState) (*raftNode, error) {
	r := emptyRaftNode(n, stored.Epoch)
	r.provenCurrent = stored.ProvenCurrent
	if err := r.loadStorage(stored); err != nil {
		return nil, err
	}
	if err := r.restoreSnapshot(must(r.storage.Snapshot())); err != nil {
		return nil, err
	}
	switch {
	case stored.ProvenCurrent && stored.Snapshot != nil:
		return r, r.startRaft()
	case len(r.state.Voters) <= 1: // no other voter can know more
		return r, r.persistBaseAndStart()
	}
	return r, nil // recovers
}

// newEmptyVoter returns a voter that has no log yet: a leader has begun to send it.
func newEmptyVoter(n *Node) (*raftNode, error) {
	r := emptyRaftNode(n, n.epoch)
	r.catchingUp = true
	return r, r.startRaft()
}

func emptyRaftNode(n *Node, epoch uint64) *raftNode {
	return &raftNode{
		node:           n,
		id:             raftID(n.settings.Name),
		epoch:          epoch,
		storage:        raft.NewMemoryStorage(),
		hardState:      &raftpb.HardState{},
		state:          &replicatedState{},
		confState:      &raftpb.ConfState{},
		positions:      map[string]*PositionResponse{},
		regressions:    map[string]regression{},
		snapshotSentAt: map[uint64]time.Duration{},
		startNumber:    n.rng.Uint64(),
		nextTickAt:     n.now + tickInterval,
		nextQueryAt:    n.now,
	}
}

// loadStorage takes the log that is on the disk.
func (r *raftNode) loadStorage(stored *StoredState) error {
	if stored.Snapshot == nil {
		return r.storage.ApplySnapshot(initialSnapshot(r.node.settings.Voters, 0, nil))
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(stored.Snapshot, snapshot); err != nil {
		return fmt.Errorf("policy: the log's snapshot: %w", err)
	}
	if err := r.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	var entries []*raftpb.Entry
	for _, data := range stored.Entries {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(data, entry); err != nil {
			return fmt.Errorf("policy: an entry of the log: %w", err)
		}
		if entry.GetIndex() > snapshot.GetMetadata().GetIndex() {
			entries = append(entries, entry)
		}
	}
	if err := r.storage.Append(entries); err != nil {
		return err
	}
	if stored.HardState == nil {
		return nil
	}
	if err := proto.Unmarshal(stored.HardState, r.hardState); err != nil {
		return fmt.Errorf("policy: the log's state: %w", err)
	}
	return nil
}

// restoreSnapshot takes the state machine's state from a snapshot.
func (r *raftNode) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	state, err := decodeState(snapshot.GetData())
	if err != nil {
		return err
	}
	r.state = state
	r.appliedIndex = snapshot.GetMetadata().GetIndex()
	r.confState = snapshot.GetMetadata().GetConfState()
	r.node.learnVoters(state.Voters)
	return nil
}

// lastPosition returns how far the log reaches.
func (r *raftNode) lastPosition() position {
	index := must(r.storage.LastIndex())
	term, err := r.storage.Term(index)
	if err != nil {
		return position{}
	}
	return position{term, index}
}

// startRaft has Raft take part with the log and hard state as they are.
func (r *raftNode) startRaft() error {
	if r.hardState.GetCommit() < r.appliedIndex {
		r.hardState.Commit = new(r.appliedIndex)
	}
	if last := r.lastPosition().index; r.hardState.GetCommit() > last {
		r.hardState.Commit = new(last)
	}
	if raft.IsEmptyHardState(r.hardState) {
		r.hardState = &raftpb.HardState{Term: new(uint64(0)), Vote: new(uint64(0)), Commit: new(r.appliedIndex)}
	}
	if err := r.storage.SetHardState(r.hardState); err != nil {
		return err
	}
	rng := r.node.rng
	rawNode, err := raft.NewRawNode(&raft.Config{
		ID:                        r.id,
		ElectionTick:              minElectionTicks + rng.IntN(electionJitterTicks),
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		AsyncStorageWrites:        true,
		StepDownOnRemoval:         true,
		DisableProposalForwarding: true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		return fmt.Errorf("policy: raft: %w", err)
	}
	r.rawNode = rawNode
	r.campaignAt = r.node.now + minCampaignDelay + time.Duration(rng.Float64()*float64(campaignDelayJitter))
	return nil
}

// restart has Raft begin anew from what is on the disk, as at the start of a process: this voter leads no more, and
// forgets what others acknowledged. It is done once no write is outstanding.
func (r *raftNode) restart() {
	r.restartPending = r.hasPendingWrites()
	if r.restartPending {
		return
	}
	if err := r.restartNow(); err != nil {
		r.node.errorf("the policy's log can't be read again: %v", err)
	}
}

func (r *raftNode) restartNow() error {
	hardState, _, err := r.storage.InitialState()
	if err != nil {
		return err
	}
	r.hardState = hardState
	r.rawNode = nil
	r.coordinator = coordinator{}
	r.pendingCommands = nil
	if err := r.restoreSnapshot(must(r.storage.Snapshot())); err != nil {
		return err
	}
	if r.requeryPending {
		r.beginRecovery()
		return nil
	}
	return r.startRaft()
}

// isLeader reports whether this voter leads, as far as it knows.
func (r *raftNode) isLeader() bool {
	return r.rawNode != nil && r.status().RaftState == raft.StateLeader
}

func (r *raftNode) status() raft.BasicStatus { return r.rawNode.BasicStatus() }

// leaderName returns who leads, as far as this voter knows; empty: nobody.
func (r *raftNode) leaderName() string {
	if r.rawNode == nil {
		return ""
	}
	return r.node.voterNames[r.status().Lead]
}

// advance does what is due by now.
func (r *raftNode) advance() {
	now := r.node.now
	if r.rawNode == nil {
		r.queryPositions()
		return
	}
	if r.writeFailed() && now >= r.writeRetryAt {
		r.writeSeq = r.node.persist(r.writeBatch)
	}
	if now >= r.nextTickAt {
		r.rawNode.Tick() // one, however late: a process that was stopped has received nothing meanwhile
		r.nextTickAt = now + tickInterval
	}
	if r.campaignAt > 0 && now >= r.campaignAt {
		r.campaignAt = 0
		r.campaignOnce()
	}
	r.retrySnapshots()
	r.processReady()
	r.coordinator.advance(r)
	r.flushCommands()
	r.processReady()
}

// campaignOnce campaigns early after a start, so that a fleet that comes back need not wait for an election timeout. By
// PreVote it asks first whether others would vote for it: where there is a leader they would not.
func (r *raftNode) campaignOnce() {
	if r.status().Lead == raft.None && !r.catchingUp && r.voteFloor == (position{}) {
		_ = r.rawNode.Campaign()
	}
}

// nextDeadline returns when advance is to be called at the latest.
func (r *raftNode) nextDeadline() time.Duration {
	if r.rawNode == nil {
		return r.nextQueryAt
	}
	at := r.nextTickAt
	if r.writeFailed() {
		at = min(at, r.writeRetryAt)
	}
	if r.isLeader() {
		at = min(at, r.coordinator.nextStepAt)
	}
	if len(r.pendingCommands) > 0 {
		at = min(at, r.groupCommitAt)
	}
	if r.campaignAt > 0 {
		at = min(at, r.campaignAt)
	}
	return at
}

// discardLogger drops Raft's own log lines; what operators need is logged by this package. What Raft holds for fatal
// panics.
type discardLogger struct{}

func (discardLogger) Debug(...any)                   {}
func (discardLogger) Debugf(string, ...any)          {}
func (discardLogger) Error(...any)                   {}
func (discardLogger) Errorf(string, ...any)          {}
func (discardLogger) Info(...any)                    {}
func (discardLogger) Infof(string, ...any)           {}
func (discardLogger) Warning(...any)                 {}
func (discardLogger) Warningf(string, ...any)        {}
func (discardLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (discardLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
