package policy

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Recovery of a voter whose disk may be older than what it promised.
//
// A voter's promises, for whom it voted and which entries it acknowledged, are on its disk. If the disk was lost, torn or
// restored from an earlier copy, the voter would break them without knowing. So one that can't prove that its disk is
// current first queries the positions of the other voters: of as many proven ones that each quorum in which it ever took
// part has one of them besides itself, or of all others where too few can prove theirs. It then votes in no term up to
// the highest that it learned of, and for no candidate whose log is behind the furthest one (voteFloor): any entry that it
// has forgotten is known to one of these.

// positionQueryInterval is after which the voters that have not responded are queried again.
const positionQueryInterval = 250 * time.Millisecond

// maxStoredEntriesBytes is more than any log has: all its entries are wanted.
const maxStoredEntriesBytes = 1 << 40

// beginRecovery has the voter query the others anew.
func (r *raftNode) beginRecovery() {
	r.requeryPending = false
	r.voteFloor = position{}
	r.provenCurrent = false
	r.nextQueryAt = r.node.now
	clear(r.positions)
}

// queryPositions asks the other voters how far their logs reach, and takes part once that is known.
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
				Number:    r.startNumber,
				LastTerm:  last.term,
				LastIndex: last.index,
			}})
		}
	}
	r.evaluatePositions()
}

// receivePositionResponse takes the position of another voter.
func (r *raftNode) receivePositionResponse(from string, response *PositionResponse) {
	if r.rawNode == nil && response.Number == r.startNumber {
		r.positions[from] = response
		r.evaluatePositions()
	}
}

// trust takes an operator's decision that this voter may take part by the positions that it knows.
func (r *raftNode) trust() {
	if r.rawNode == nil {
		r.trustDisk = true
		r.evaluatePositions()
	}
}

// quorumPositions is what the responses of the other voters say together.
type quorumPositions struct {
	responses int
	proven    int      // of voters that can prove that their disks are current
	term      uint64   // the highest, this voter's included
	furthest  position // this voter's included
}

// evaluatePositions has the voter take part if enough others have responded.
func (r *raftNode) evaluatePositions() {
	voters := r.state.Voters
	if !slices.Contains(voters, r.node.settings.Name) { // it was removed: the others go on without it
		return
	}
	known := quorumPositions{term: r.hardState.GetTerm(), furthest: r.lastPosition()}
	for _, voter := range voters {
		response := r.positions[voter]
		if response == nil || voter == r.node.settings.Name {
			continue
		}
		if response.ProvenCurrent && response.Applied > r.appliedIndex && !slices.Contains(response.Voters, r.node.settings.Name) {
			r.node.retireVoter("the others vote without this one")
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

// endRecovery has the voter take part by what it has learned.
func (r *raftNode) endRecovery(known quorumPositions) {
	if own := r.lastPosition(); own.less(known.furthest) {
		r.voteFloor = known.furthest
		r.node.infof("this voter's disk is behind what others know (%d entries, %d are known): it votes for no candidate that is, and catches up",
			own.index, known.furthest.index)
	}
	// It may have voted in any of these terms, and forgotten: the vote for itself keeps it from voting for another.
	vote := r.id
	if known.term == 0 { // a new fleet: nobody has voted
		vote = 0
	}
	r.hardState = &raftpb.HardState{Term: new(known.term), Vote: new(vote), Commit: new(r.hardState.GetCommit())}
	if err := r.persistBaseAndStart(); err != nil {
		r.node.errorf("%v", err)
	}
}

// persistBaseAndStart starts Raft. What it starts from has to be on the disk before it promises anything.
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

// receivePositionRequest responds to a voter that has just started. If it has less than it acknowledged, this one stops
// leading.
func (r *raftNode) receivePositionRequest(from string, request *PositionRequest) {
	response := &PositionResponse{
		Number:        request.Number,
		ProvenCurrent: !r.catchingUp && (r.rawNode != nil || r.provenCurrent),
		Voters:        r.state.Voters,
		Applied:       r.appliedIndex,
		Start:         r.startNumber,
	}
	r.forgetEarlierStart(from, request.Number)
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

// forgetEarlierStart drops the position that a voter reported before it started anew: it may have lost that with its
// disk, and a floor that nobody reaches any more would never be lifted. A voter that takes part with such a floor queries
// all again, as at its start: it knows of the entries below the floor perhaps from that one alone, and may not vote without
// them before it knows that the others have not acknowledged them.
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

// matchIndex returns up to which entry another voter's log equals this one's, as far as this one knows while it leads.
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

// stepDownAfterLoss stops leading, since another voter has less than it acknowledged: commits may have counted on it.
func (r *raftNode) stepDownAfterLoss(name string) {
	if !r.restartPending {
		r.node.infof("voter %s has lost what it had: this one stops leading, since commits may have counted on it", name)
	}
	r.regressions = map[string]regression{}
	r.restart()
}
