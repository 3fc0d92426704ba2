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
	// compactAfterEntries is how many entries the log grows to before a snapshot replaces most of them. More cost memory
	// and time at a start, fewer cost a write of the whole state more often.
	compactAfterEntries = 256
	// retainedEntries stay in the log, so that a voter that is a little behind needs no snapshot.
	retainedEntries = 64
	// diskRetryInterval is after which a failed write is repeated.
	diskRetryInterval = 500 * time.Millisecond
)

// processReady takes out what Raft has ready. What rests on the disk waits for it, the rest is sent at once: a leader with
// a slow disk goes on sending heartbeats.
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

// hasPendingWrites reports whether anything waits for the disk.
func (r *raftNode) hasPendingWrites() bool {
	return r.writingBase || len(r.diskQueue)+len(r.writing) > 0
}

// writeFailed reports whether a batch is to be written again.
func (r *raftNode) writeFailed() bool {
	return r.writeSeq == 0 && (r.writingBase || len(r.writing) > 0)
}

// writeQueued stores all that waits as one batch, unless a write is outstanding. A snapshot is the first in its batch.
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
	if batch.HardState == nil && batch.Snapshot == nil && batch.FirstIndex == 0 { // nothing to be stored
		r.finishWrite()
		return
	}
	r.writeBatch = batch
	r.writeSeq = r.node.persist(batch)
}

// add adds what a message of Raft's wants stored. Its entries replace those of the same indexes and after them.
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

// hardStateOf returns the hard state in a message for the disk; nil: it has not changed.
func hardStateOf(m *raftpb.Message) *raftpb.HardState {
	hardState := &raftpb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
	if raft.IsEmptyHardState(hardState) {
		return nil
	}
	return hardState
}

// persisted takes the outcome of the write in progress.
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

// finishWrite does what waited for the disk.
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

// updateStorage has the memory follow the disk.
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

// updateVoting lifts what keeps this voter from voting, once its log reaches far enough.
func (r *raftNode) updateVoting() {
	if r.voteFloor != (position{}) && !r.lastPosition().less(r.voteFloor) {
		r.voteFloor = position{}
		r.node.infof("this voter has caught up with what was known")
	}
	if r.catchingUp && r.catchUpTo > 0 && r.appliedIndex >= r.catchUpTo && slices.Contains(r.state.Voters, r.node.settings.Name) {
		r.catchingUp = false
	}
}

// deliverResponses delivers what waited for the disk, or for entries to be applied: to other voters, and to Raft itself.
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
	r.snapshotDue = true // a new voter accepts only a snapshot in which it votes
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
		r.node.errorf("an entry of the policy's log can't be decoded by this version: %v", err)
		return
	}
	r.state.apply(c)
	if r.isLeader() {
		r.coordinator.commandApplied(r, c)
	}
}

// compact replaces most of the log by a snapshot, if it is long or a snapshot is due.
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
	// In memory the entries may go before they do on the disk: a start from the disk has more then, not less.
	batch := Batch{Snapshot: must(proto.Marshal(snapshot)), Epoch: r.epoch}
	if r.appliedIndex > first+retainedEntries {
		batch.CompactBefore = r.appliedIndex - retainedEntries
		_ = r.storage.Compact(batch.CompactBefore)
	}
	r.node.persist(batch)
}
