package policy

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// groupCommitInterval is the least time between two entries of the log: what comes meanwhile goes into one. It is a
	// fifth of what a short change takes, or several writes of a disk. Longer ones delay each change, shorter ones cost
	// more writes.
	groupCommitInterval = 10 * time.Millisecond
	// maxGroupedCommands bounds the commands of one entry: many are there when all members of a fleet start.
	maxGroupedCommands = 512
)

// propose puts a command into the log if this voter leads, together with all others that come within
// groupCommitInterval. It reports whether it was taken; even then it may be lost, and who needs it proposes it again.
func (r *raftNode) propose(c *command) bool {
	if !r.isLeader() {
		return false
	}
	if r.state.Format < FormatVersion { // a log of format 1 has no batches
		return r.rawNode.Propose(encode(c)) == nil
	}
	r.pendingCommands = append(r.pendingCommands, *c)
	r.flushCommands()
	return true
}

// isProposalQueued reports whether a change waits to go into the log.
func (r *raftNode) isProposalQueued(id string) bool {
	return slices.ContainsFunc(r.pendingCommands, func(c command) bool { return c.Kind == commandPropose && c.Document.ID == id })
}

// flushCommands puts the waiting commands into the log, once it is time.
func (r *raftNode) flushCommands() {
	if len(r.pendingCommands) == 0 || r.node.now < r.groupCommitAt {
		return
	}
	commands := r.pendingCommands
	r.pendingCommands = nil
	r.groupCommitAt = r.node.now + groupCommitInterval
	for r.isLeader() && len(commands) > 0 {
		count := groupSize(commands)
		entry := &commands[0]
		if count > 1 {
			entry = &command{Kind: commandBatch, Commands: commands[:count]}
		}
		if r.rawNode.Propose(encode(entry)) != nil {
			return // who needs them proposes them again
		}
		commands = commands[count:]
	}
}

// groupSize is how many of the commands go into one entry: at least one, and no more once their texts reach MaxChangeBytes.
func groupSize(commands []command) int {
	count := 0
	size := 0
	for count < len(commands) && count < maxGroupedCommands && (count == 0 || size < MaxChangeBytes) {
		if change := commands[count].Document; change != nil {
			size += change.bodyBytes()
		}
		count++
	}
	return count
}

// replaceVoter changes the voters, if this one leads.
func (r *raftNode) replaceVoter(request *ReplaceVoter) error {
	if err := r.checkReplacement(request); err != nil {
		return err
	}
	change := &raftpb.ConfChangeV2{Context: encode(request)}
	add := func(kind raftpb.ConfChangeType, name string) {
		if name == "" {
			return
		}
		r.node.voterNames[raftID(name)] = name
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(raftID(name))})
	}
	add(raftpb.ConfChangeAddNode, request.Add)
	add(raftpb.ConfChangeRemoveNode, request.Remove)
	return r.rawNode.ProposeConfChange(change)
}

// checkReplacement returns why the voters can't be changed so.
func (r *raftNode) checkReplacement(request *ReplaceVoter) error {
	add, remove := request.Add, request.Remove
	switch {
	case !r.isLeader():
		return errors.New("this voter does not lead")
	case add == remove: // both may be empty
		return errors.New("nobody to add or to remove")
	case add != "" && slices.Contains(r.state.Voters, add):
		return fmt.Errorf("%s votes already", add)
	case remove != "" && !slices.Contains(r.state.Voters, remove):
		return fmt.Errorf("%s does not vote", remove)
	case add != "" && !r.coordinator.canReadLog(r, add):
		return fmt.Errorf("%s is not heard, or is of an earlier version, which can't read this log", add)
	case remove != "" && add == "" && len(r.state.Voters) == 1:
		return errors.New("the last voter stays")
	}
	return nil
}

// rescue makes this voter the only one, with what it knows. The changes being prepared are aborted. The new log begins
// after the old one, in a later term, so that nothing of the old one is taken for a part of it.
func (r *raftNode) rescue(epoch uint64) error {
	name := r.node.settings.Name
	state := *r.state
	state.Voters = []string{name}
	for _, pending := range slices.Clone(state.PendingChanges) {
		state.abort(&pending.Document, name, "voters were lost, and an operator has gone on without them")
	}
	state.PendingChanges = nil
	snapshot := initialSnapshot(state.Voters, epoch, &state)
	last := r.lastPosition()
	snapshot.Metadata.Term = new(max(last.term, r.hardState.GetTerm()) + 1)
	snapshot.Metadata.Index = new(last.index + 1)
	r.discardLog(epoch)
	if err := r.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := r.restoreSnapshot(snapshot); err != nil {
		return err
	}
	r.hardState = &raftpb.HardState{Term: snapshot.Metadata.Term, Vote: new(uint64(0)), Commit: snapshot.Metadata.Index}
	return r.persistBaseAndStart()
}

// discardLog drops the log, and all that waits for its entries.
func (r *raftNode) discardLog(epoch uint64) {
	r.epoch = epoch
	r.storage = raft.NewMemoryStorage()
	r.hardState = &raftpb.HardState{}
	r.rawNode = nil
	r.coordinator = coordinator{}
	r.pendingCommands = nil
	r.diskQueue = nil
	r.writing = nil
	r.writingBase = false
	r.writeSeq = 0
	r.voteFloor = position{}
	r.provenCurrent = true
}
