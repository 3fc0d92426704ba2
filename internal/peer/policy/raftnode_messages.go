package policy

import (
	"errors"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// A voter that has less than it acknowledged says so in its responses. Responses may also be late or doubled, so a
// leader steps down only by several over a while.
const (
	// minRegressions is how many consecutive responses have to say so: one may be from before it had more.
	minRegressions = 3
	// minRegressionSpan is over how long: several may be doubled or overtaken, and a stream is sent again after 200 ms.
	minRegressionSpan = 500 * time.Millisecond
)

// receiveRaftMessage passes a message of another voter to Raft, unless this voter must not act on it.
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
		r.node.errorf("a message of voter %s was rejected: %v", from, err)
	}
	r.processReady()
}

// admitRaftMessage reports whether a message is for Raft to handle. It adapts a heartbeat that Raft would panic on.
func (r *raftNode) admitRaftMessage(from string, m *raftpb.Message) bool {
	last := r.lastPosition()
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		candidate := position{m.GetLogTerm(), m.GetIndex()}
		return !r.catchingUp && !candidate.less(r.voteFloor)
	case raftpb.MsgHeartbeat: // the leader may count on entries that this disk has lost
		if m.GetCommit() > last.index {
			m.Commit = new(last.index)
		}
	case raftpb.MsgTimeoutNow: // leadership is not transferred here
		return false
	case raftpb.MsgAppResp:
		if match := r.matchIndex(from); m.GetReject() && m.GetRejectHint() < match {
			r.countRegression(from)
			return false // Raft would send it the same entries for ever
		}
		delete(r.regressions, from)
	}
	return true
}

// countRegression takes note that a voter reports less than it acknowledged, and stops leading if it goes on to.
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

// sendRaftMessage sends a message of Raft's, unless this voter must not promise what it says.
func (r *raftNode) sendRaftMessage(m *raftpb.Message) {
	to := r.node.voterNames[m.GetTo()]
	if to == "" || to == r.node.settings.Name {
		return
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if r.catchingUp || r.voteFloor != (position{}) { // it is behind, and does not stand for election
			return
		}
	case raftpb.MsgSnap:
		r.snapshotSentAt[m.GetTo()] = r.node.now
	}
	r.node.send(to, &Message{Raft: must(proto.Marshal(m))})
}

// retrySnapshots has snapshots sent again that had no effect. Raft itself notes when one had: the receiver responds.
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
