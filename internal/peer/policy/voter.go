package policy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// raftNode is a member's part in the log, where it has one. Raft's node does nothing by itself: it is ticked, told, and asked
// for what is to be kept and sent; what it sends goes out once what it rests on is on the disk.
//
// A voter's promises (whom it voted for, what it has of the log) are on its disk. One whose disk was lost, torn or
// restored from earlier would break them without knowing. So one that can't prove that its disk is as it was asks the
// others first how far they are (hearing): as many of them that each quorum in which it ever took part has one of them
// besides itself, or all others where none can prove more than it. It votes in no term up to the highest that it hears
// of, and for nobody who is behind what it heard (floor): what it has forgotten, one of these knows.
type raftNode struct {
	node      *Node
	id        uint64
	epoch     uint64
	rawNode   *raft.RawNode // nil while hearing
	storage   *raft.MemoryStorage
	hardState *raftpb.HardState // while hearing: what the disk has

	state        *replicatedState
	appliedIndex uint64
	confState    *raftpb.ConfState

	diskQueue      []*raftpb.Message // what Raft wants on the disk, in order
	writing        []*raftpb.Message // what is being put there, as one batch
	writeBatch     Batch
	writingBase    bool          // it is what this start rests on: Raft does nothing before
	writeSeq       uint64        // its number; 0: nothing waits
	writeRetryAt   time.Duration // it failed, and is tried then
	restartPending bool          // it begins anew once nothing waits
	requeryPending bool          // and asks the others first
	snapshotDue    bool          // a snapshot is due
	nextTickAt     time.Duration
	campaignAt     time.Duration // it stands for election then, if nobody leads; 0: it did

	provenCurrent bool
	startNumber   uint64 // of this start
	nextQueryAt   time.Duration
	positions     map[string]*PositionResponse
	trustDisk     bool
	voteFloor     position // votes go to nobody behind it
	learning      bool     // it is being taken in, or its disk was lost: it votes once it has what its leader had
	learnUpTo     uint64   // of that leader, when it first told

	coordinator     coordinator
	pendingCommands []command     // are to go into the log together
	groupCommitAt   time.Duration // at the latest then; before it nothing else goes

	regressions    map[string]regression    // voters that say that they have less than they once said
	snapshotSentAt map[uint64]time.Duration // when a snapshot was last sent, by voter
}

// regression is a voter that says that it has less than it once said.
type regression struct {
	count int // on end
	since time.Duration
}

// position is how far a log goes.
type position struct{ term, index uint64 }

func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.index < o.index
}

const (
	tickInterval          = 200 * time.Millisecond
	heartbeatTicks        = 2 // ticks
	minElectionTicks      = 6 // ticks without a leader; Raft doubles it by chance at the most
	electionJitterTicks   = 3
	compactAfterEntries   = 256 // entries
	retainedEntries       = 64
	positionQueryInterval = 250 * time.Millisecond
	minCampaignDelay      = 100 * time.Millisecond
	campaignDelayJitter   = 300 * time.Millisecond
	diskRetryInterval     = 500 * time.Millisecond
	snapshotTimeout       = 3 * time.Second
	minRegressions        = 3                      // one may be late, from before it had more
	minRegressionSpan     = 500 * time.Millisecond // and several that were doubled or passed by others; a stream is sent again after 200 ms
	groupCommitInterval   = 10 * time.Millisecond  // a fifth of a short change: several writes of a disk
	maxGroupedCommands    = 512                    // commands of one entry: joins of a fleet that starts
)

// raftID is a voter's number in Raft.
func raftID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes all
	return max(1, h.Sum64())
}

// discardLogger drops what Raft would log; what operators would know is said here.
type discardLogger struct{}

func (discardLogger) Debug(...any)              {}
func (discardLogger) Debugf(string, ...any)     {}
func (discardLogger) Error(...any)              {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Info(...any)               {}
func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Warning(...any)            {}
func (discardLogger) Warningf(string, ...any)   {}
func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// initialSnapshot is what the log of a new fleet starts from: the same at all voters that the files name.
func initialSnapshot(voters []string, epoch uint64, s *replicatedState) *raftpb.Snapshot {
	conf := &raftpb.ConfState{}
	for _, v := range voters {
		conf.Voters = append(conf.Voters, raftID(v))
	}
	slices.Sort(conf.Voters)
	if s == nil {
		s = &replicatedState{Voters: slices.Sorted(slices.Values(voters))}
	}
	return &raftpb.Snapshot{Data: encodeState(s), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(uint64(1)), Term: new(epoch + 1)}}
}

// newRaftNode is a voter as its disk has it; blank: it is being taken in, and knows nothing yet.
func newRaftNode(n *Node, d *StoredState, blank bool) (*raftNode, error) {
	v := &raftNode{node: n, id: raftID(n.settings.Name), epoch: d.Epoch, storage: raft.NewMemoryStorage(), hardState: &raftpb.HardState{}, state: &replicatedState{}, confState: &raftpb.ConfState{},
		provenCurrent: d.ProvenCurrent, positions: map[string]*PositionResponse{}, regressions: map[string]regression{}, snapshotSentAt: map[uint64]time.Duration{}, startNumber: n.rng.Uint64(), nextTickAt: n.now + tickInterval, nextQueryAt: n.now}
	switch {
	case blank:
		v.epoch, v.learning = n.epoch, true
	case d.Snapshot == nil:
		if err := v.storage.ApplySnapshot(initialSnapshot(n.settings.Voters, 0, nil)); err != nil {
			return nil, err
		}
	default:
		if err := v.loadStorage(d); err != nil {
			return nil, err
		}
	}
	if !blank {
		if err := v.restoreSnapshot(must(v.storage.Snapshot())); err != nil {
			return nil, err
		}
	}
	switch {
	case blank, d.ProvenCurrent && d.Snapshot != nil:
		return v, v.startRaft()
	case len(v.state.Voters) <= 1: // nobody else knows anything
		return v, v.persistBaseAndStart()
	}
	return v, nil
}

// loadStorage takes over what the disk has.
func (v *raftNode) loadStorage(d *StoredState) error {
	snap := &raftpb.Snapshot{}
	if err := proto.Unmarshal(d.Snapshot, snap); err != nil {
		return fmt.Errorf("policy: the log's snapshot: %w", err)
	}
	if err := v.storage.ApplySnapshot(snap); err != nil {
		return err
	}
	var all []*raftpb.Entry
	for _, data := range d.Entries {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return fmt.Errorf("policy: an entry of the log: %w", err)
		}
		if e.GetIndex() > snap.GetMetadata().GetIndex() {
			all = append(all, e)
		}
	}
	if err := v.storage.Append(all); err != nil {
		return err
	}
	if d.HardState != nil {
		if err := proto.Unmarshal(d.HardState, v.hardState); err != nil {
			return fmt.Errorf("policy: the log's state: %w", err)
		}
	}
	return nil
}

// restoreSnapshot takes the state from a snapshot.
func (v *raftNode) restoreSnapshot(snap *raftpb.Snapshot) error {
	s, err := decodeState(snap.GetData())
	if err != nil {
		return err
	}
	v.state, v.appliedIndex, v.confState = s, snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState()
	v.node.learnVoters(s.Voters)
	return nil
}

// lastPosition is how far its log goes.
func (v *raftNode) lastPosition() position {
	i := must(v.storage.LastIndex())
	t, err := v.storage.Term(i)
	if err != nil {
		return position{}
	}
	return position{t, i}
}

// startRaft has it take part.
func (v *raftNode) startRaft() error {
	if v.hardState.GetCommit() < v.appliedIndex {
		v.hardState.Commit = new(v.appliedIndex)
	}
	if last := v.lastPosition().index; v.hardState.GetCommit() > last {
		v.hardState.Commit = new(last)
	}
	if raft.IsEmptyHardState(v.hardState) {
		v.hardState = &raftpb.HardState{Term: new(uint64(0)), Vote: new(uint64(0)), Commit: new(v.appliedIndex)}
	}
	if err := v.storage.SetHardState(v.hardState); err != nil {
		return err
	}
	rn, err := raft.NewRawNode(&raft.Config{ID: v.id, ElectionTick: minElectionTicks + v.node.rng.IntN(electionJitterTicks), HeartbeatTick: heartbeatTicks, Storage: v.storage, Applied: v.appliedIndex,
		MaxSizePerMsg: 2 * MaxBodyBytes, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 64 * MaxBodyBytes, CheckQuorum: true, PreVote: true, AsyncStorageWrites: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: discardLogger{}})
	if err != nil {
		return fmt.Errorf("policy: raft: %w", err)
	}
	v.rawNode = rn
	v.campaignAt = v.node.now + minCampaignDelay + time.Duration(v.node.rng.Float64()*float64(campaignDelayJitter))
	return nil
}

// restart has it begin anew from what is on its disk, as a process that starts does: it leads no more, and forgets how
// far others were.
func (v *raftNode) restart() {
	if v.restartPending = v.hasPendingWrites(); v.restartPending { // what waits for the disk comes first
		return
	}
	hard, _, err := v.storage.InitialState()
	if err == nil {
		v.hardState, v.rawNode, v.coordinator, v.pendingCommands = hard, nil, coordinator{}, nil
		err = v.restoreSnapshot(must(v.storage.Snapshot()))
	}
	if err == nil && v.requeryPending {
		v.requeryPending, v.voteFloor, v.provenCurrent, v.nextQueryAt = false, position{}, false, v.node.now
		clear(v.positions)
		return
	}
	if err == nil {
		err = v.startRaft()
	}
	if err != nil {
		v.node.say(true, "the policy's log can't be read again: %v", err)
	}
}

// hasPendingWrites reports whether anything waits for the disk.
func (v *raftNode) hasPendingWrites() bool {
	return v.writingBase || len(v.diskQueue)+len(v.writing) > 0
}

func (v *raftNode) status() raft.BasicStatus { return v.rawNode.BasicStatus() }

// isLeader reports whether it leads, as far as it knows.
func (v *raftNode) isLeader() bool {
	return v.rawNode != nil && v.status().RaftState == raft.StateLeader
}

// leaderName is the name of who leads, as far as it knows; empty: nobody.
func (v *raftNode) leaderName() string {
	if v.rawNode == nil {
		return ""
	}
	return v.node.voterNames[v.status().Lead]
}

// advance does what is due.
func (v *raftNode) advance() {
	n := v.node
	if v.rawNode == nil {
		v.queryPositions()
		return
	}
	if v.writeFailed() && n.now >= v.writeRetryAt {
		v.writeSeq = n.persist(v.writeBatch)
	}
	if late := n.now - v.nextTickAt; late >= 0 {
		v.rawNode.Tick() // one, however late: a process that was stopped has heard nobody meanwhile
		v.nextTickAt = n.now + tickInterval
	}
	if v.campaignAt > 0 && n.now >= v.campaignAt { // once a start: a fleet that comes back need not wait for an election's whole patience
		if v.campaignAt = 0; v.status().Lead == raft.None && !v.learning && v.voteFloor == (position{}) {
			_ = v.rawNode.Campaign() // it asks first whether others would vote (PreVote): where there is a leader they would not
		}
	}
	v.retrySnapshots()
	v.processReady()
	v.coordinator.advance(v)
	v.flushCommands()
	v.processReady()
}

// retrySnapshots has snapshots sent again that have not come to anything. Raft says itself when one has: the other answers.
func (v *raftNode) retrySnapshots() {
	if len(v.snapshotSentAt) == 0 || !v.isLeader() {
		return
	}
	var late []uint64
	v.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		switch at, sent := v.snapshotSentAt[id]; {
		case !sent:
		case p.State != tracker.StateSnapshot:
			delete(v.snapshotSentAt, id)
		case v.node.now-at > snapshotTimeout:
			delete(v.snapshotSentAt, id)
			late = append(late, id)
		}
	})
	for _, id := range late {
		v.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// nextDeadline is when due is to be called at the latest.
func (v *raftNode) nextDeadline() time.Duration {
	if v.rawNode == nil {
		return v.nextQueryAt
	}
	at := v.nextTickAt
	if v.writeFailed() {
		at = min(at, v.writeRetryAt)
	}
	if v.isLeader() {
		at = min(at, v.coordinator.nextStepAt)
	}
	if len(v.pendingCommands) > 0 {
		at = min(at, v.groupCommitAt)
	}
	if v.campaignAt > 0 {
		at = min(at, v.campaignAt)
	}
	return at
}

// queryPositions asks the other voters how far they are, and takes part once that is known.
func (v *raftNode) queryPositions() {
	n := v.node
	if n.now < v.nextQueryAt {
		return
	}
	v.nextQueryAt = n.now + positionQueryInterval
	last := v.lastPosition()
	for _, o := range v.state.Voters {
		if o != n.settings.Name && (v.positions[o] == nil || !v.positions[o].ProvenCurrent) {
			n.send(o, &Message{PositionRequest: &PositionRequest{v.startNumber, last.term, last.index}})
		}
	}
	v.evaluatePositions()
}

// evaluatePositions looks whether enough have answered.
func (v *raftNode) evaluatePositions() {
	voters := v.state.Voters
	if !slices.Contains(voters, v.node.settings.Name) { // it was taken out: the others go on without it
		return
	}
	proved, all := 0, 0
	term, top := v.hardState.GetTerm(), v.lastPosition()
	for _, o := range voters {
		s := v.positions[o]
		if s == nil || o == v.node.settings.Name {
			continue
		}
		if s.ProvenCurrent && s.Applied > v.appliedIndex && !slices.Contains(s.Voters, v.node.settings.Name) {
			v.node.retireVoter("the others vote without this one")
			return
		}
		all++
		if s.ProvenCurrent {
			proved++
		}
		term = max(term, s.Term)
		if p := (position{s.LastTerm, s.LastIndex}); top.less(p) {
			top = p
		}
	}
	majority := len(voters)/2 + 1
	if proved < len(voters)-majority+1 && all < len(voters)-1 && !v.trustDisk {
		return
	}
	own := v.lastPosition()
	if own.less(top) {
		v.voteFloor = top
		v.node.say(false, "this voter's disk is behind what others know (%d entries, %d are known): it votes for nobody who is, and catches up", own.index, top.index)
	}
	// In none of these terms may it vote for somebody else: it may have, and forgotten.
	v.hardState = &raftpb.HardState{Term: new(term), Vote: new(v.id), Commit: new(v.hardState.GetCommit())}
	if term == 0 {
		v.hardState.Vote = new(uint64(0)) // a fleet at its very beginning: nobody has voted
	}
	if err := v.persistBaseAndStart(); err != nil {
		v.node.say(true, "%v", err)
	}
}

// persistBaseAndStart has it take part from now on. What it has heard, and what it began with, has to be on the disk before it promises
// anything.
func (v *raftNode) persistBaseAndStart() error {
	if err := v.startRaft(); err != nil {
		return err
	}
	v.provenCurrent = true
	snap := must(v.storage.Snapshot())
	b := Batch{Wipe: true, HardState: must(proto.Marshal(v.hardState)), Snapshot: must(proto.Marshal(snap)), Epoch: v.epoch}
	first := must(v.storage.FirstIndex())
	if l := v.lastPosition().index; l >= first {
		b.FirstIndex = first
		for _, e := range must(v.storage.Entries(first, l+1, 1<<40)) {
			b.Entries = append(b.Entries, must(proto.Marshal(e)))
		}
	}
	v.writeBatch, v.writingBase = b, true
	v.writeSeq = v.node.persist(b)
	return nil
}

// receivePositionRequest answers a voter that has just started. If it has less than it once said, whoever leads forgets how far it was.
func (v *raftNode) receivePositionRequest(from string, c *PositionRequest) {
	s := &PositionResponse{Number: c.Number, ProvenCurrent: !v.learning && (v.rawNode != nil || v.provenCurrent), Voters: v.state.Voters, Applied: v.appliedIndex, Start: v.startNumber}
	// What it said before it started anew, it may have lost with its disk: a floor that nobody has any more would never be reached.
	// One that takes part with such a floor asks all again, as at its start: who heard of an entry by one alone may not vote
	// without it before it knows that others have not confirmed it.
	if was := v.positions[from]; was != nil && was.Start != 0 && was.Start != c.Number {
		delete(v.positions, from)
		if v.rawNode != nil && v.voteFloor != (position{}) && !v.learning {
			v.requeryPending = true
			v.restart()
		}
	}
	if v.rawNode != nil {
		s.Term = v.status().HardState.GetTerm()
	} else {
		s.Term = v.hardState.GetTerm()
	}
	last := v.lastPosition()
	s.LastTerm, s.LastIndex = last.term, last.index
	v.node.send(from, &Message{PositionResponse: s})
	if v.matchIndex(from) > c.LastIndex {
		v.stepDownAfterLoss(from)
	}
}

// matchIndex is how far another's log goes, as this one counts on while it leads.
func (v *raftNode) matchIndex(name string) (match uint64) {
	if !v.isLeader() {
		return 0
	}
	v.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if id == raftID(name) {
			match = p.Match
		}
	})
	return match
}

// stepDownAfterLoss takes note that another has less than this one counts on.
func (v *raftNode) stepDownAfterLoss(name string) {
	if !v.restartPending {
		v.node.say(false, "voter %s has lost what it had: this one leads no more, so that nobody counts on it", name)
	}
	v.regressions = map[string]regression{}
	v.restart()
}

// receiveRaftMessage takes a message of Raft's.
func (v *raftNode) receiveRaftMessage(from string, data []byte) {
	if v.rawNode == nil {
		return
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil || m.GetFrom() != raftID(from) || m.GetTo() != v.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	last := v.lastPosition()
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if v.learning || (position{m.GetLogTerm(), m.GetIndex()}).less(v.voteFloor) {
			return
		}
	case raftpb.MsgHeartbeat: // a leader that counts on what this disk has lost: Raft would panic
		if m.GetCommit() > last.index {
			m.Commit = new(last.index)
		}
	case raftpb.MsgTimeoutNow:
		return
	case raftpb.MsgAppResp: // it has less than it once said: Raft would send it the same for ever
		if match := v.matchIndex(from); m.GetReject() && m.GetRejectHint() < match {
			s := v.regressions[from]
			if s.count++; s.count == 1 {
				s.since = v.node.now
			}
			if v.regressions[from] = s; s.count >= minRegressions && v.node.now-s.since >= minRegressionSpan {
				v.stepDownAfterLoss(from)
			}
			return
		}
		delete(v.regressions, from)
	}
	if v.learning && v.learnUpTo == 0 {
		v.learnUpTo = max(1, m.GetCommit())
	}
	if err := v.rawNode.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		v.node.say(true, "a message of voter %s was not taken: %v", from, err)
	}
	v.processReady()
}

// writeFailed reports whether what was to go to the disk is to be tried again.
func (v *raftNode) writeFailed() bool {
	return v.writeSeq == 0 && (v.writingBase || len(v.writing) > 0)
}

// processReady takes out what Raft has ready. What rests on the disk waits for it, the rest goes out at once: a leader with a slow
// disk goes on being heard.
func (v *raftNode) processReady() {
	for v.rawNode != nil && !v.writingBase && v.rawNode.HasReady() {
		rd := v.rawNode.Ready()
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				v.diskQueue = append(v.diskQueue, m)
			case raft.LocalApplyThread:
				for _, e := range m.GetEntries() {
					v.applyEntry(e)
				}
				v.deliverResponses(m.GetResponses())
				v.coordinator.answerConfirmed(v)
			default:
				v.sendRaftMessage(m)
			}
		}
		for _, r := range rd.ReadStates {
			v.coordinator.receiveReadState(v, r)
		}
		v.writeQueued()
	}
	v.compact()
}

// writeQueued puts all that waits on the disk at once, if nothing is on its way there.
func (v *raftNode) writeQueued() {
	if v.writeSeq > 0 || len(v.writing) > 0 || len(v.diskQueue) == 0 {
		return
	}
	b := Batch{Epoch: v.epoch}
	for len(v.diskQueue) > 0 {
		m := v.diskQueue[0]
		if m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot) && len(v.writing) > 0 {
			break // by itself
		}
		v.diskQueue, v.writing = v.diskQueue[1:], append(v.writing, m)
		if h := hardStateOf(m); h != nil {
			b.HardState = must(proto.Marshal(h))
		}
		if m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot) {
			b.Snapshot = must(proto.Marshal(m.Snapshot))
		}
		for _, e := range m.GetEntries() {
			switch i := e.GetIndex(); {
			case b.FirstIndex == 0 || i <= b.FirstIndex:
				b.FirstIndex, b.Entries = i, nil
			default:
				b.Entries = b.Entries[:i-b.FirstIndex]
			}
			b.Entries = append(b.Entries, must(proto.Marshal(e)))
		}
	}
	if b.HardState == nil && b.Snapshot == nil && b.FirstIndex == 0 { // nothing that has to be there
		v.finishWrite()
		return
	}
	v.writeBatch = b
	v.writeSeq = v.node.persist(b)
}

// hardStateOf is the hard state in a message for the disk; nil: it has not changed.
func hardStateOf(m *raftpb.Message) *raftpb.HardState {
	h := &raftpb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
	if raft.IsEmptyHardState(h) {
		return nil
	}
	return h
}

// persisted says that a batch is on the disk, or can't be.
func (v *raftNode) persisted(seq uint64, err error) {
	if v.writeSeq == 0 || seq != v.writeSeq {
		return
	}
	v.writeSeq = 0
	if err != nil {
		v.writeRetryAt = v.node.now + diskRetryInterval
		return
	}
	v.finishWrite()
	v.processReady()
}

// finishWrite does what waited for the disk.
func (v *raftNode) finishWrite() {
	done := v.writing
	v.writing, v.writeBatch, v.writingBase = nil, Batch{}, false
	for _, m := range done {
		if m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot) {
			if err := v.storage.ApplySnapshot(m.Snapshot); err == nil {
				if err := v.restoreSnapshot(m.Snapshot); err != nil {
					v.node.say(true, "%v", err)
				}
			}
		}
		if h := hardStateOf(m); h != nil {
			_ = v.storage.SetHardState(h)
		}
		_ = v.storage.Append(m.GetEntries())
	}
	if v.voteFloor != (position{}) && !v.lastPosition().less(v.voteFloor) {
		v.voteFloor = position{}
		v.node.say(false, "this voter has caught up with what was known")
	}
	if v.learning && v.learnUpTo > 0 && v.appliedIndex >= v.learnUpTo && slices.Contains(v.state.Voters, v.node.settings.Name) {
		v.learning = false
	}
	for _, m := range done {
		v.deliverResponses(m.GetResponses())
	}
	if v.restartPending && !v.hasPendingWrites() {
		v.restart()
	}
	v.writeQueued()
}

// deliverResponses sends what rested on the disk, or on the log's being applied: to others, and to Raft itself.
func (v *raftNode) deliverResponses(all []*raftpb.Message) {
	for _, m := range all {
		if m.GetTo() == v.id {
			_ = v.rawNode.Step(m)
		} else {
			v.sendRaftMessage(m)
		}
	}
}

// sendRaftMessage sends a message of Raft's.
func (v *raftNode) sendRaftMessage(m *raftpb.Message) {
	to := v.node.voterNames[m.GetTo()]
	if to == "" || to == v.node.settings.Name {
		return
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if v.learning || v.voteFloor != (position{}) { // it is behind: it stands for nothing
			return
		}
	case raftpb.MsgSnap:
		v.snapshotSentAt[m.GetTo()] = v.node.now
	}
	v.node.send(to, &Message{Raft: must(proto.Marshal(m))})
}

// applyEntry applies an entry that is in the log for good.
func (v *raftNode) applyEntry(e *raftpb.Entry) {
	if e.GetIndex() <= v.appliedIndex {
		return
	}
	v.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		cc := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return
		}
		v.confState, v.snapshotDue = v.rawNode.ApplyConfChange(cc), true // a new voter takes a snapshot only in which it votes
		if ctx := cc.GetContext(); len(ctx) > 0 {
			var r ReplaceVoter
			if decoding.Unmarshal(ctx, &r) == nil {
				v.state.Voters = slices.DeleteFunc(v.state.Voters, func(o string) bool { return o == r.Remove || o == r.Add })
				if r.Add != "" {
					v.state.Voters = append(v.state.Voters, r.Add)
				}
				slices.Sort(v.state.Voters)
				v.node.learnVoters(v.state.Voters)
				v.node.say(false, "voters are now %s", strings.Join(v.state.Voters, ", "))
			}
		}
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return
		}
		c := &command{}
		if err := decoding.Unmarshal(e.GetData(), c); err != nil {
			v.node.say(true, "an entry of the policy's log makes no sense to this version: %v", err)
			return
		}
		v.state.apply(c)
		if v.isLeader() {
			v.coordinator.commandApplied(v, c)
		}
	}
}

// compact keeps the log short.
func (v *raftNode) compact() {
	first := must(v.storage.FirstIndex())
	if v.hasPendingWrites() || v.appliedIndex < first+compactAfterEntries && !v.snapshotDue {
		return
	}
	v.snapshotDue = false
	snap, err := v.storage.CreateSnapshot(v.appliedIndex, v.confState, encodeState(v.state))
	if err != nil {
		return
	}
	// The disk first; in memory it may go at once: what is on the disk is more.
	b := Batch{Snapshot: must(proto.Marshal(snap)), Epoch: v.epoch}
	if v.appliedIndex > first+retainedEntries {
		b.CompactBefore = v.appliedIndex - retainedEntries
		_ = v.storage.Compact(b.CompactBefore)
	}
	v.node.persist(b)
}

// propose puts a command into the log, if this one leads; soon after another, together with all that come within
// groupFor (group commit). It may be lost.
func (v *raftNode) propose(c *command) bool {
	if !v.isLeader() {
		return false
	}
	if v.state.Format < FormatVersion {
		return v.rawNode.Propose(encode(c)) == nil
	}
	v.pendingCommands = append(v.pendingCommands, *c)
	v.flushCommands()
	return true
}

// isProposalQueued reports whether a change is to go into the log, and does not yet.
func (v *raftNode) isProposalQueued(id string) bool {
	return slices.ContainsFunc(v.pendingCommands, func(c command) bool { return c.Kind == commandPropose && c.Document.ID == id })
}

// flushCommands puts what is to go into the log there, as one entry, once it is time.
func (v *raftNode) flushCommands() {
	if len(v.pendingCommands) == 0 || v.node.now < v.groupCommitAt {
		return
	}
	all := v.pendingCommands
	v.pendingCommands, v.groupCommitAt = nil, v.node.now+groupCommitInterval
	for v.isLeader() && len(all) > 0 {
		n, size := 0, 0
		for n < len(all) && n < maxGroupedCommands && (n == 0 || size < MaxChangeBytes) {
			if d := all[n].Document; d != nil {
				for _, x := range d.Documents() {
					size += len(x.Body)
				}
			}
			n++
		}
		c := &all[0]
		if n > 1 {
			c = &command{Kind: commandBatch, Commands: all[:n]}
		}
		if v.rawNode.Propose(encode(c)) != nil {
			return // whoever asked for it asks again
		}
		all = all[n:]
	}
}

// replaceVoter changes the voters, if this one leads.
func (v *raftNode) replaceVoter(r *ReplaceVoter) error {
	switch {
	case !v.isLeader():
		return errors.New("this voter does not lead")
	case r.Add == "" && r.Remove == "", r.Add == r.Remove:
		return errors.New("nobody to add or to remove")
	case r.Add != "" && slices.Contains(v.state.Voters, r.Add):
		return fmt.Errorf("%s votes already", r.Add)
	case r.Remove != "" && !slices.Contains(v.state.Voters, r.Remove):
		return fmt.Errorf("%s does not vote", r.Remove)
	case r.Add != "" && !v.coordinator.canReadLog(v, r.Add):
		return fmt.Errorf("%s is not heard, or is of an earlier version, which can't read this log", r.Add)
	case r.Remove != "" && r.Add == "" && len(v.state.Voters) == 1:
		return errors.New("the last voter stays")
	}
	cc := &raftpb.ConfChangeV2{Context: encode(r)}
	add := func(t raftpb.ConfChangeType, name string) {
		if name != "" {
			v.node.voterNames[raftID(name)] = name
			cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: new(raftID(name))})
		}
	}
	add(raftpb.ConfChangeAddNode, r.Add)
	add(raftpb.ConfChangeRemoveNode, r.Remove)
	return v.rawNode.ProposeConfChange(cc)
}

// rescue makes it the only voter, with what it knows.
func (v *raftNode) rescue(epoch uint64) error {
	n := v.node
	s := *v.state
	s.Voters = []string{n.settings.Name}
	for _, u := range slices.Clone(s.PendingChanges) {
		s.recordEnd(u.Document, false, n.settings.Name, "voters were lost, and an operator has gone on without them", nil)
	}
	s.PendingChanges = nil
	snap := initialSnapshot(s.Voters, epoch, &s)
	snap.Metadata.Term = new(max(v.lastPosition().term, v.hardState.GetTerm()) + 1)
	snap.Metadata.Index = new(v.lastPosition().index + 1)
	v.epoch, v.storage, v.hardState, v.rawNode, v.coordinator = epoch, raft.NewMemoryStorage(), &raftpb.HardState{}, nil, coordinator{}
	v.pendingCommands = nil
	v.diskQueue, v.writing, v.writingBase, v.writeSeq, v.voteFloor, v.provenCurrent = nil, nil, false, 0, position{}, true
	if err := v.storage.ApplySnapshot(snap); err != nil {
		return err
	}
	if err := v.restoreSnapshot(snap); err != nil {
		return err
	}
	v.hardState = &raftpb.HardState{Term: snap.Metadata.Term, Vote: new(uint64(0)), Commit: snap.Metadata.Index}
	return v.persistBaseAndStart()
}
