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
	// groupCommitInterval is the shortest time between two entries of the log: the commands that arrive meanwhile
	// share one entry. It is a fifth of the duration of a short change, or several disk writes. A longer interval
	// delays each change, a shorter one costs more writes.
	groupCommitInterval = 10 * time.Millisecond
	// maxGroupedCommands bounds the number of commands in one entry. Many commands arrive at once when all members of
	// a fleet start.
	maxGroupedCommands = 512
)

// propose proposes a command to the log if this voter leads, together with the other commands that arrive within
// groupCommitInterval. It reports whether the command was accepted. An accepted command may still be lost, so the
// caller proposes it again if it has no effect.
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

// isProposalQueued reports whether the proposal of a change waits to go into the log.
func (r *raftNode) isProposalQueued(id string) bool {
	return slices.ContainsFunc(r.pendingCommands, func(c command) bool { return c.Kind == commandPropose && c.Document.ID == id })
}

// flushCommands proposes the waiting commands to the log, unless groupCommitInterval has not passed yet.
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
			return // the remaining commands are lost, and their callers propose them again
		}
		commands = commands[count:]
	}
}

// groupSize returns how many of the commands go into one entry: at least one, and up to and including the one with
// which the texts reach MaxChangeBytes.
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

// replaceVoter proposes a change of the voters if this voter leads.
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

// checkReplacement returns an error if the voters can't be changed as requested.
func (r *raftNode) checkReplacement(request *ReplaceVoter) error {
	add, remove := request.Add, request.Remove
	switch {
	case !r.isLeader():
		return errors.New("this voter does not lead")
	case add == remove: // also if both are empty
		return errors.New("there is no member to add or to remove")
	case add != "" && slices.Contains(r.state.Voters, add):
		return fmt.Errorf("%s is a voter already", add)
	case remove != "" && !slices.Contains(r.state.Voters, remove):
		return fmt.Errorf("%s is not a voter", remove)
	case add != "" && !r.coordinator.canReadLog(r, add):
		return fmt.Errorf("%s has sent no request here, or runs an earlier version that can't read this log", add)
	case remove != "" && add == "" && len(r.state.Voters) == 1:
		return errors.New("the last voter can't be removed")
	}
	return nil
}

// rescue makes this voter the only voter, with its present state. The changes being prepared are aborted. The new log
// begins after the last entry of the old log, in a later term, so that no entry of the old log can be mistaken for an
// entry of the new one.
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

// discardLog drops the log, and all state that depends on its entries.
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
