package policy

import (
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// compactAfterEntries is the number of entries in the log at which a snapshot replaces most of them. A larger number
	// costs memory and time at a start; with a smaller one, the complete state is written more often.
	compactAfterEntries = 256
	// retainedEntries is the number of entries that stay in the log, so that a voter that is only a little behind
	// needs no snapshot.
	retainedEntries = 64
	// diskRetryInterval is the time after which a failed write is repeated.
	diskRetryInterval = 500 * time.Millisecond
)

// processReady processes Raft's output. Messages that depend on a disk write wait for it; the others are sent at
// once, so that a leader with a slow disk continues to send heartbeats.
func (r *raftNode) processReady() {
	for r.rawNode != nil && !r.writingBase && r.rawNode.HasReady() {
		ready := r.rawNode.Ready()
		for _, m := range ready.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				r.diskQueue = append(r.diskQueue, m)
			case raft.LocalApplyThread:
				for _, entry := range m.GetEntries() {
					r.applyEntry(entry)
				}
				r.deliverResponses(m.GetResponses())
				r.coordinator.answerConfirmed(r)
			default:
				r.sendRaftMessage(m)
			}
		}
		for _, readState := range ready.ReadStates {
			r.coordinator.receiveReadState(r, readState)
		}
		r.writeQueued()
	}
	r.compact()
}

// hasPendingWrites reports whether a write is queued, in progress or to be repeated.
func (r *raftNode) hasPendingWrites() bool {
	return r.writingBase || len(r.diskQueue)+len(r.writing) > 0
}

// writeFailed reports whether the last write has failed and has to be repeated.
func (r *raftNode) writeFailed() bool {
	return r.writeSeq == 0 && (r.writingBase || len(r.writing) > 0)
}

// writeQueued stores the queued data as one batch, unless a write is outstanding. A snapshot always begins a batch.
func (r *raftNode) writeQueued() {
	if r.writeSeq > 0 || len(r.writing) > 0 || len(r.diskQueue) == 0 {
		return
	}
	batch := Batch{Epoch: r.epoch}
	for len(r.diskQueue) > 0 {
		m := r.diskQueue[0]
		if hasSnapshot(m) && len(r.writing) > 0 {
			break
		}
		r.diskQueue = r.diskQueue[1:]
		r.writing = append(r.writing, m)
		batch.add(m)
	}
	if batch.HardState == nil && batch.Snapshot == nil && batch.FirstIndex == 0 { // the messages have no data to store
		r.finishWrite()
		return
	}
	r.writeBatch = batch
	r.writeSeq = r.node.persist(batch)
}

// add adds the data that a Raft message requires to be stored. Its entries replace those in the batch from their first
// index on.
func (b *Batch) add(m *raftpb.Message) {
	if hardState := hardStateOf(m); hardState != nil {
		b.HardState = must(proto.Marshal(hardState))
	}
	if hasSnapshot(m) {
		b.Snapshot = must(proto.Marshal(m.Snapshot))
	}
	for _, entry := range m.GetEntries() {
		index := entry.GetIndex()
		if b.FirstIndex == 0 || index <= b.FirstIndex {
			b.FirstIndex = index
			b.Entries = nil
		} else {
			b.Entries = b.Entries[:index-b.FirstIndex]
		}
		b.Entries = append(b.Entries, must(proto.Marshal(entry)))
	}
}

func hasSnapshot(m *raftpb.Message) bool {
	return m.Snapshot != nil && !raft.IsEmptySnap(m.Snapshot)
}

// hardStateOf returns the hard state in a message for the disk, or nil if it has not changed.
func hardStateOf(m *raftpb.Message) *raftpb.HardState {
	hardState := &raftpb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
	if raft.IsEmptyHardState(hardState) {
		return nil
	}
	return hardState
}

// persisted handles the outcome of the write in progress.
func (r *raftNode) persisted(seq uint64, err error) {
	if r.writeSeq == 0 || seq != r.writeSeq {
		return
	}
	r.writeSeq = 0
	if err != nil {
		r.writeRetryAt = r.node.now + diskRetryInterval
		return
	}
	r.finishWrite()
	r.processReady()
}

// finishWrite performs the work that waited for the write.
func (r *raftNode) finishWrite() {
	written := r.writing
	r.writing = nil
	r.writeBatch = Batch{}
	r.writingBase = false
	for _, m := range written {
		r.updateStorage(m)
	}
	r.updateVoting()
	for _, m := range written {
		r.deliverResponses(m.GetResponses())
	}
	if r.restartPending && !r.hasPendingWrites() {
		r.restart()
	}
	r.writeQueued()
}

// updateStorage updates the copy of the log in memory after a write.
func (r *raftNode) updateStorage(m *raftpb.Message) {
	if hasSnapshot(m) {
		if err := r.storage.ApplySnapshot(m.Snapshot); err == nil {
			if err := r.restoreSnapshot(m.Snapshot); err != nil {
				r.node.errorf("%v", err)
			}
		}
	}
	if hardState := hardStateOf(m); hardState != nil {
		_ = r.storage.SetHardState(hardState)
	}
	_ = r.storage.Append(m.GetEntries())
}

// updateVoting lifts the restrictions on this voter's votes once its log reaches far enough.
func (r *raftNode) updateVoting() {
	if r.voteFloor != (position{}) && !r.lastPosition().less(r.voteFloor) {
		r.voteFloor = position{}
		r.node.infof("this voter's log has caught up with what the other voters reported")
	}
	if r.catchingUp && r.catchUpTo > 0 && r.appliedIndex >= r.catchUpTo && slices.Contains(r.state.Voters, r.node.settings.Name) {
		r.catchingUp = false
	}
}

// deliverResponses delivers the messages that waited for a write, or for entries to be applied, to other voters and to
// Raft itself.
func (r *raftNode) deliverResponses(responses []*raftpb.Message) {
	for _, m := range responses {
		if m.GetTo() == r.id {
			_ = r.rawNode.Step(m)
		} else {
			r.sendRaftMessage(m)
		}
	}
}

// applyEntry applies a committed entry of the log.
func (r *raftNode) applyEntry(entry *raftpb.Entry) {
	if entry.GetIndex() <= r.appliedIndex {
		return
	}
	r.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		r.applyConfChange(entry.GetData())
	case raftpb.EntryNormal:
		r.applyCommand(entry.GetData())
	}
}

// applyConfChange changes the voters.
func (r *raftNode) applyConfChange(data []byte) {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(data, change); err != nil {
		return
	}
	r.confState = r.rawNode.ApplyConfChange(change)
	r.snapshotDue = true // a new voter accepts only a snapshot that lists it as a voter
	context := change.GetContext()
	var request ReplaceVoter
	if len(context) == 0 || decoding.Unmarshal(context, &request) != nil {
		return
	}
	voters := slices.DeleteFunc(r.state.Voters, func(name string) bool {
		return name == request.Remove || name == request.Add
	})
	if request.Add != "" {
		voters = append(voters, request.Add)
	}
	slices.Sort(voters)
	r.state.Voters = voters
	r.node.learnVoters(voters)
	r.node.infof("voters are now %s", strings.Join(voters, ", "))
}

// applyCommand applies a command to the state machine.
func (r *raftNode) applyCommand(data []byte) {
	if len(data) == 0 { // Raft's first entry of a term
		return
	}
	c := &command{}
	if err := decoding.Unmarshal(data, c); err != nil {
		r.node.errorf("an entry of the policy's log can't be decoded by this version, and is skipped: %v", err)
		return
	}
	r.state.apply(c)
	if r.isLeader() {
		r.coordinator.commandApplied(r, c)
	}
}

// compact replaces most of the log by a snapshot if the log is long or a snapshot is due.
func (r *raftNode) compact() {
	first := must(r.storage.FirstIndex())
	isLong := r.appliedIndex >= first+compactAfterEntries
	if r.hasPendingWrites() || !isLong && !r.snapshotDue {
		return
	}
	r.snapshotDue = false
	snapshot, err := r.storage.CreateSnapshot(r.appliedIndex, r.confState, encodeState(r.state))
	if err != nil {
		return
	}
	// The entries may be removed in memory before they are removed on the disk: a restart then finds more entries on
	// the disk, not fewer.
	batch := Batch{Snapshot: must(proto.Marshal(snapshot)), Epoch: r.epoch}
	if r.appliedIndex > first+retainedEntries {
		batch.CompactBefore = r.appliedIndex - retainedEntries
		_ = r.storage.Compact(batch.CompactBefore)
	}
	r.node.persist(batch)
}
