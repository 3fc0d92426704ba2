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

// raftNode is the role of a voter in the log. It drives go.etcd.io/raft, which performs no I/O itself: raftNode passes
// ticks and messages to Raft, stores what Raft requires to be stored, and sends each of Raft's messages once the data
// that the message depends on is on the disk.
//
// A voter whose disk may be older than the promises that it has made first recovers: see raftnode_recovery.go.
type raftNode struct {
	node    *Node
	id      uint64        // Raft's ID of this voter: see raftID
	epoch   uint64        // epoch of this voter's data: see Node.epoch
	rawNode *raft.RawNode // nil during recovery

	// The log and its state machine.
	storage      *raft.MemoryStorage // copy of the log on the disk
	hardState    *raftpb.HardState   // during recovery: the hard state on the disk
	state        *replicatedState
	appliedIndex uint64
	confState    *raftpb.ConfState
	snapshotDue  bool

	// Writing to the disk. There is no write, or one is in progress (writeSeq is not 0), or one has failed and has to
	// be repeated.
	diskQueue      []*raftpb.Message // messages whose data Raft requires to be stored, in order
	writing        []*raftpb.Message // messages whose data is being stored as one batch
	writeBatch     Batch
	writingBase    bool          // the batch is the state that Raft started from: Raft's output waits for this write
	writeSeq       uint64        // Seq of the batch; 0: no write is in progress
	writeRetryAt   time.Duration // when a failed write is repeated
	restartPending bool          // Raft is restarted once no write is outstanding
	requeryPending bool          // the restart begins with a recovery, which queries the other voters

	nextTickAt time.Duration
	campaignAt time.Duration // when this voter campaigns once after its start, if there is no leader; 0: done

	// Recovery.
	provenCurrent bool // the disk is certainly as this voter left it, or has been brought up to date
	trustDisk     bool // an operator has decided that this voter may take part without proof
	startNumber   uint64
	nextQueryAt   time.Duration
	positions     map[string]*PositionResponse // positions of other voters, by name
	voteFloor     position                     // no vote for a candidate whose log is behind it; zero: no floor
	catchingUp    bool                         // joined without a log: no vote before the log reaches catchUpTo
	catchUpTo     uint64                       // commit index in the first Raft message that it received

	coordinator coordinator
	// pendingCommands go into the log together (group commit), not before groupCommitAt.
	pendingCommands []command
	groupCommitAt   time.Duration

	regressions    map[string]regression    // voters that report a shorter log than they acknowledged, by name
	snapshotSentAt map[uint64]time.Duration // when snapshots were sent, by Raft's ID of the receiver
}

// regression counts the reports of a voter that has less of the log than it acknowledged.
type regression struct {
	count int // number of consecutive reports
	since time.Duration
}

// position is the position of the last entry of a log.
type position struct{ term, index uint64 }

// less reports whether a log that ends at p is behind a log that ends at o, as Raft compares logs for votes.
func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.index < o.index
}

// Raft's timing. An election takes one election timeout. Its base value is 1.2 to 1.6 s; Raft randomizes it between
// the base value and twice the base value.
const (
	// tickInterval is Raft's unit of time. A shorter interval costs more messages when idle.
	tickInterval = 200 * time.Millisecond
	// heartbeatTicks is the interval of a leader's heartbeats in ticks.
	heartbeatTicks = 2
	// minElectionTicks is the number of ticks without a leader after which a voter campaigns. With fewer ticks, one
	// slow message ends a leadership; with more, the fleet is without a leader for longer, and leases have to outlast
	// that.
	minElectionTicks = 6
	// electionJitterTicks is the range of the random addition to a voter's election timeout, in ticks: 0 to one less
	// than this. It depends on the voter's seed.
	electionJitterTicks = 3
	// minCampaignDelay is the shortest delay after the start before a voter campaigns if there is no leader.
	minCampaignDelay = 100 * time.Millisecond
	// campaignDelayJitter spreads these campaigns, so that they don't split the votes.
	campaignDelayJitter = 300 * time.Millisecond
	// snapshotTimeout is the time after which a snapshot that had no effect is sent again.
	snapshotTimeout = 3 * time.Second
	// maxInflightMessages bounds the messages that Raft sends to a voter without an acknowledgement.
	maxInflightMessages = 64
	// maxMessageBytes bounds the entries of one Raft message: two texts of a part.
	maxMessageBytes = 2 * MaxBodyBytes
	// maxUncommittedBytes bounds the entries that are not committed yet. Further proposals are dropped, and proposed
	// again.
	maxUncommittedBytes = 64 * MaxBodyBytes
)

// raftID returns a voter's ID in Raft: a hash of its name, never 0.
func raftID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return max(1, h.Sum64())
}

// initialSnapshot returns the snapshot with which the log of the voters begins. It is the same at all of them. A nil
// state means a new fleet.
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

// newRaftNode returns a voter with the log on its disk, or with the initial log of a new fleet.
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
	case len(r.state.Voters) <= 1: // there is no other voter that could have more entries
		return r, r.persistBaseAndStart()
	}
	return r, nil // the voter recovers first
}

// newEmptyVoter returns a voter that has no log yet, and receives it from the leader.
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

// loadStorage loads the log from the data on the disk.
func (r *raftNode) loadStorage(stored *StoredState) error {
	if stored.Snapshot == nil {
		return r.storage.ApplySnapshot(initialSnapshot(r.node.settings.Voters, 0, nil))
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(stored.Snapshot, snapshot); err != nil {
		return fmt.Errorf("policy: decode the log's snapshot: %w", err)
	}
	if err := r.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	var entries []*raftpb.Entry
	for _, data := range stored.Entries {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(data, entry); err != nil {
			return fmt.Errorf("policy: decode an entry of the log: %w", err)
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
		return fmt.Errorf("policy: decode Raft's hard state: %w", err)
	}
	return nil
}

// restoreSnapshot sets the state of the state machine from a snapshot.
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

// lastPosition returns the position of the log's last entry.
func (r *raftNode) lastPosition() position {
	index := must(r.storage.LastIndex())
	term, err := r.storage.Term(index)
	if err != nil {
		return position{}
	}
	return position{term, index}
}

// startRaft starts Raft with the present log and hard state.
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
		return fmt.Errorf("policy: start Raft: %w", err)
	}
	r.rawNode = rawNode
	r.campaignAt = r.node.now + minCampaignDelay + time.Duration(rng.Float64()*float64(campaignDelayJitter))
	return nil
}

// restart restarts Raft from the data on the disk, as at the start of a process: this voter no longer leads, and
// discards its record of what others acknowledged. If a write is outstanding, the restart waits for it.
func (r *raftNode) restart() {
	r.restartPending = r.hasPendingWrites()
	if r.restartPending {
		return
	}
	if err := r.restartNow(); err != nil {
		r.node.errorf("restarting Raft from the policy's log failed: %v", err)
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

// isLeader reports whether Raft has this voter in the leader state. Another voter may have been elected meanwhile.
func (r *raftNode) isLeader() bool {
	return r.rawNode != nil && r.status().RaftState == raft.StateLeader
}

func (r *raftNode) status() raft.BasicStatus { return r.rawNode.BasicStatus() }

// leaderName returns the name of the current leader according to Raft, or an empty name if Raft has no leader.
func (r *raftNode) leaderName() string {
	if r.rawNode == nil {
		return ""
	}
	return r.node.voterNames[r.status().Lead]
}

// advance performs the work that is due: recovery, or Raft's ticks, writes and messages, and the coordinator's work.
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
		r.rawNode.Tick() // one tick even if several are due: a paused process has received no messages meanwhile
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

// campaignOnce campaigns soon after a start, so that a fleet that restarts need not wait for an election timeout. This
// does not disturb an existing leader: with PreVote, Raft first requests pre-votes, which voters that have a leader do
// not grant.
func (r *raftNode) campaignOnce() {
	if r.status().Lead == raft.None && !r.catchingUp && r.voteFloor == (position{}) {
		_ = r.rawNode.Campaign()
	}
}

// nextDeadline returns the time by which advance has to be called.
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

// discardLogger drops Raft's own log lines: this package logs what operators need. It panics on errors that Raft
// reports as fatal.
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
