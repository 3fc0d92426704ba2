package policy

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Recovery of a voter whose disk may be older than the promises that it has made to other voters.
//
// A voter's promises are on its disk: which candidate it voted for, and which entries it acknowledged. If the disk was
// lost, damaged or restored from an earlier copy, the voter would break its promises unintentionally. Therefore a
// voter that can't prove that its disk is current first queries the positions of the other voters. It needs enough
// responses of voters with proven disks that each quorum in which it ever took part contains at least one of these
// voters. If too few voters can prove that their disks are current, it needs responses of all others. From then on it
// does not vote in any term up to the highest one that it learned of, and it votes for no candidate whose log is
// behind the furthest position that it learned of (voteFloor): any entry that it has lost is in the log of one of the
// voters that responded.

// positionQueryInterval is the interval at which voters that have not responded are queried again.
const positionQueryInterval = 250 * time.Millisecond

// maxStoredEntriesBytes is larger than any log, so that all entries are returned.
const maxStoredEntriesBytes = 1 << 40

// beginRecovery starts the recovery again, with new queries to all other voters.
func (r *raftNode) beginRecovery() {
	r.requeryPending = false
	r.voteFloor = position{}
	r.provenCurrent = false
	r.nextQueryAt = r.node.now
	clear(r.positions)
}

// queryPositions queries the other voters for the last positions of their logs, and ends the recovery if enough of
// them have responded.
func (r *raftNode) queryPositions() {
	n := r.node
	if n.now < r.nextQueryAt {
		return
	}
	r.nextQueryAt = n.now + positionQueryInterval
	last := r.lastPosition()
	for _, voter := range r.state.Voters {
		known := r.positions[voter]
		if voter != n.settings.Name && (known == nil || !known.ProvenCurrent) {
			n.send(voter, &Message{PositionRequest: &PositionRequest{
				StartNumber: r.startNumber,
				LastTerm:    last.term,
				LastIndex:   last.index,
			}})
		}
	}
	r.evaluatePositions()
}

// receivePositionResponse records the position of another voter.
func (r *raftNode) receivePositionResponse(from string, response *PositionResponse) {
	if r.rawNode == nil && response.StartNumber == r.startNumber {
		r.positions[from] = response
		r.evaluatePositions()
	}
}

// trust ends the recovery by an operator's decision: this voter takes part on the basis of its own log position and of
// those that other voters have reported so far.
func (r *raftNode) trust() {
	if r.rawNode == nil {
		r.trustDisk = true
		r.evaluatePositions()
	}
}

// quorumPositions combines the responses of the other voters.
type quorumPositions struct {
	responses int
	proven    int      // responses of voters whose disks are proven current
	term      uint64   // highest term, including this voter's
	furthest  position // furthest position, including this voter's
}

// evaluatePositions ends the recovery if enough other voters have responded.
func (r *raftNode) evaluatePositions() {
	voters := r.state.Voters
	if !slices.Contains(voters, r.node.settings.Name) { // this voter was removed, and must not take part
		return
	}
	known := quorumPositions{term: r.hardState.GetTerm(), furthest: r.lastPosition()}
	for _, voter := range voters {
		response := r.positions[voter]
		if response == nil || voter == r.node.settings.Name {
			continue
		}
		if response.ProvenCurrent && response.Applied > r.appliedIndex && !slices.Contains(response.Voters, r.node.settings.Name) {
			r.node.retireVoter("the other voters have removed this voter")
			return
		}
		known.add(response)
	}
	majority := len(voters)/2 + 1
	enoughProven := known.proven >= len(voters)-majority+1
	if enoughProven || known.responses >= len(voters)-1 || r.trustDisk {
		r.endRecovery(known)
	}
}

func (q *quorumPositions) add(response *PositionResponse) {
	q.responses++
	if response.ProvenCurrent {
		q.proven++
	}
	q.term = max(q.term, response.Term)
	if p := (position{response.LastTerm, response.LastIndex}); q.furthest.less(p) {
		q.furthest = p
	}
}

// endRecovery starts Raft, with the term and the voteFloor that the responses require.
func (r *raftNode) endRecovery(known quorumPositions) {
	if own := r.lastPosition(); own.less(known.furthest) {
		r.voteFloor = known.furthest
		r.node.infof("this voter's disk is behind what others know (%d entries here, %d there): it catches up, and supports no candidate that is behind",
			own.index, known.furthest.index)
	}
	// This voter may have voted in this term or an earlier one without a record of it on its disk. A recorded vote for
	// itself keeps it from voting for another candidate in this term.
	vote := r.id
	if known.term == 0 { // in a new fleet no voter has voted
		vote = 0
	}
	r.hardState = &raftpb.HardState{Term: new(known.term), Vote: new(vote), Commit: new(r.hardState.GetCommit())}
	if err := r.persistBaseAndStart(); err != nil {
		r.node.errorf("%v", err)
	}
}

// persistBaseAndStart starts Raft, and stores the state that Raft starts from. Raft's output waits for this write,
// since the state has to be on the disk before the voter makes any promise.
func (r *raftNode) persistBaseAndStart() error {
	if err := r.startRaft(); err != nil {
		return err
	}
	r.provenCurrent = true
	base := Batch{
		Wipe:      true,
		HardState: must(proto.Marshal(r.hardState)),
		Snapshot:  must(proto.Marshal(must(r.storage.Snapshot()))),
		Epoch:     r.epoch,
	}
	first := must(r.storage.FirstIndex())
	if last := r.lastPosition().index; last >= first {
		base.FirstIndex = first
		for _, entry := range must(r.storage.Entries(first, last+1, maxStoredEntriesBytes)) {
			base.Entries = append(base.Entries, must(proto.Marshal(entry)))
		}
	}
	r.writeBatch = base
	r.writingBase = true
	r.writeSeq = r.node.persist(base)
	return nil
}

// receivePositionRequest responds to a voter that has just started. If that voter has less of the log than it
// acknowledged to this one as the leader, this one steps down.
func (r *raftNode) receivePositionRequest(from string, request *PositionRequest) {
	response := &PositionResponse{
		StartNumber:   request.StartNumber,
		ProvenCurrent: !r.catchingUp && (r.rawNode != nil || r.provenCurrent),
		Voters:        r.state.Voters,
		Applied:       r.appliedIndex,
		Start:         r.startNumber,
	}
	r.forgetEarlierStart(from, request.StartNumber)
	if r.rawNode != nil {
		response.Term = r.status().HardState.GetTerm()
	} else {
		response.Term = r.hardState.GetTerm()
	}
	last := r.lastPosition()
	response.LastTerm = last.term
	response.LastIndex = last.index
	r.node.send(from, &Message{PositionResponse: response})
	if r.matchIndex(from) > request.LastIndex {
		r.stepDownAfterLoss(from)
	}
}

// forgetEarlierStart drops the position that another voter reported before it restarted. The other voter may have lost
// these entries with its disk, and a vote floor that no log reaches any more would never be lifted. If this voter
// takes part with a vote floor, it queries all voters again, as at its own start: the restarted voter may have been
// the only one that reported the entries up to the floor, and this voter must not vote for a log without them until
// the other voters have reported that they have not acknowledged them.
func (r *raftNode) forgetEarlierStart(from string, startNumber uint64) {
	known := r.positions[from]
	if known == nil || known.Start == 0 || known.Start == startNumber {
		return
	}
	delete(r.positions, from)
	if r.rawNode != nil && r.voteFloor != (position{}) && !r.catchingUp {
		r.requeryPending = true
		r.restart()
	}
}

// matchIndex returns the index up to which another voter has acknowledged this voter's log, or 0 if this voter does
// not lead.
func (r *raftNode) matchIndex(name string) (index uint64) {
	if !r.isLeader() {
		return 0
	}
	r.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if id == raftID(name) {
			index = progress.Match
		}
	})
	return index
}

// stepDownAfterLoss ends this voter's leadership, because another voter has lost entries that it acknowledged, and
// commits may have counted its acknowledgement.
func (r *raftNode) stepDownAfterLoss(name string) {
	if !r.restartPending {
		r.node.infof("voter %s has lost log entries that it acknowledged: this voter stops leading, since commits may depend on them",
			name)
	}
	r.regressions = map[string]regression{}
	r.restart()
}
