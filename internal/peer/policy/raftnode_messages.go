package policy

import (
	"errors"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// A voter that has lost entries that it acknowledged reports a shorter log in its responses. But a response may also
// be late or a duplicate, so a leader steps down only after several such responses over some time.
const (
	// minRegressions is the number of consecutive responses that have to report a shorter log: a single one may have
	// been sent before the voter received the entries.
	minRegressions = 3
	// minRegressionSpan is the span that these responses have to cover: several responses may be duplicates or arrive
	// out of order, and the transport sends a stream again after 200 ms.
	minRegressionSpan = 500 * time.Millisecond
)

// receiveRaftMessage passes a message from another voter to Raft, unless this voter must not act on it.
func (r *raftNode) receiveRaftMessage(from string, data []byte) {
	if r.rawNode == nil {
		return
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return
	}
	if m.GetFrom() != raftID(from) || m.GetTo() != r.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if !r.admitRaftMessage(from, m) {
		return
	}
	if r.catchingUp && r.catchUpTo == 0 {
		r.catchUpTo = max(1, m.GetCommit())
	}
	err := r.rawNode.Step(m)
	if err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		r.node.errorf("Raft rejected a message from voter %s: %v", from, err)
	}
	r.processReady()
}

// admitRaftMessage reports whether a message has to be passed to Raft. It adjusts a heartbeat that would make Raft
// panic.
func (r *raftNode) admitRaftMessage(from string, m *raftpb.Message) bool {
	last := r.lastPosition()
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		candidate := position{m.GetLogTerm(), m.GetIndex()}
		return !r.catchingUp && !candidate.less(r.voteFloor)
	case raftpb.MsgHeartbeat: // the commit index may include entries that this disk has lost
		if m.GetCommit() > last.index {
			m.Commit = new(last.index)
		}
	case raftpb.MsgTimeoutNow: // this package does not transfer leadership
		return false
	case raftpb.MsgAppResp:
		if match := r.matchIndex(from); m.GetReject() && m.GetRejectHint() < match {
			r.countRegression(from)
			return false // Raft would send the same entries repeatedly
		}
		delete(r.regressions, from)
	}
	return true
}

// countRegression counts a response of a voter that has less of the log than it acknowledged. It steps down if such
// responses continue.
func (r *raftNode) countRegression(from string) {
	reported := r.regressions[from]
	reported.count++
	if reported.count == 1 {
		reported.since = r.node.now
	}
	r.regressions[from] = reported
	if reported.count >= minRegressions && r.node.now-reported.since >= minRegressionSpan {
		r.stepDownAfterLoss(from)
	}
}

// sendRaftMessage sends a Raft message. It drops vote requests of a voter that must not become the leader.
func (r *raftNode) sendRaftMessage(m *raftpb.Message) {
	to := r.node.voterNames[m.GetTo()]
	if to == "" || to == r.node.settings.Name {
		return
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if r.catchingUp || r.voteFloor != (position{}) { // its log is behind, so it must not become the leader
			return
		}
	case raftpb.MsgSnap:
		r.snapshotSentAt[m.GetTo()] = r.node.now
	}
	r.node.send(to, &Message{Raft: must(proto.Marshal(m))})
}

// retrySnapshots makes Raft send snapshots again that had no effect within snapshotTimeout. Raft itself detects a
// snapshot that had an effect, from the receiver's response.
func (r *raftNode) retrySnapshots() {
	if len(r.snapshotSentAt) == 0 || !r.isLeader() {
		return
	}
	var failed []uint64
	r.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		sentAt, sent := r.snapshotSentAt[id]
		if !sent {
			return
		}
		if progress.State != tracker.StateSnapshot {
			delete(r.snapshotSentAt, id)
			return
		}
		if r.node.now-sentAt > snapshotTimeout {
			delete(r.snapshotSentAt, id)
			failed = append(failed, id)
		}
	})
	for _, id := range failed {
		r.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
	}
}
