package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// changeDecision is the decision that a leader has proposed for a change being prepared.
type changeDecision uint8

const (
	undecided changeDecision = iota
	decidedCommit
	decidedAbort
)

// changeProgress is a leader's record of the progress of a change being prepared.
type changeProgress struct {
	since         time.Duration // when this leader first saw the change
	affected      []rosterEntry // members that the change affects, in the roster of rosterVersion
	rosterVersion uint64
	// unprepared is the number of affected members that had not prepared the change at the last review, minus those that
	// have reported since then that they prepared it.
	unprepared int
	decision   changeDecision
	proposedAt time.Duration // when the decision was proposed
}

// recentCommit is a committed change with the members that it affected.
type recentCommit struct {
	commitIndex uint64
	committedAt time.Duration
	affected    []rosterEntry
}

// progressOf returns the progress of a change, with the members that it affects now.
func (c *coordinator) progressOf(r *raftNode, pending *pendingChange) *changeProgress {
	progress := c.progress[pending.Document.ID]
	if progress == nil {
		progress = &changeProgress{since: r.node.now}
		c.progress[pending.Document.ID] = progress
		c.notifyAt = r.node.now
	}
	if progress.affected == nil || progress.rosterVersion != r.state.RosterVersion {
		progress.affected = r.state.affectedMembers(&pending.Document)
		progress.rosterVersion = r.state.RosterVersion
	}
	return progress
}

// unpreparedMembers returns the members that have to prepare a change and have not reported that they have prepared
// it.
func (c *coordinator) unpreparedMembers(r *raftNode, pending *pendingChange) []string {
	var names []string
	for _, entry := range c.progressOf(r, pending).affected {
		if c.isUnprepared(&entry, pending) {
			names = append(names, entry.Name)
		}
	}
	return names
}

func (c *coordinator) isUnprepared(entry *rosterEntry, pending *pendingChange) bool {
	if slices.Contains(pending.Excluded, entry.Name) {
		return false
	}
	m := c.members[entry.Name]
	return m == nil || m.runID != entry.RunID || !m.hasPrepared(pending.Document.ID)
}

// changeStatus returns the status of a change, with its progress while it is being prepared.
func (c *coordinator) changeStatus(r *raftNode, id string) ChangeStatus {
	status := r.state.changeStatus(id)
	pending := r.state.findPending(id)
	if pending == nil {
		return status
	}
	unprepared := c.unpreparedMembers(r, pending)
	for _, entry := range c.progressOf(r, pending).affected {
		if !slices.Contains(pending.Excluded, entry.Name) {
			status.RequiredMembers++
		}
	}
	status.PreparedMembers = status.RequiredMembers - len(unprepared)
	status.Missing = unprepared[:min(maxListedMembers, len(unprepared))]
	return status
}

// reviewChanges reviews all changes being prepared.
func (c *coordinator) reviewChanges(r *raftNode) {
	pendingIDs := map[string]bool{}
	for i := range r.state.PendingChanges { // a review does not modify this list: its decision goes through the log
		pending := &r.state.PendingChanges[i]
		pendingIDs[pending.Document.ID] = true
		c.reviewChange(r, pending)
	}
	for id := range c.progress {
		if !pendingIDs[id] {
			delete(c.progress, id)
		}
	}
}

// reviewChange decides whether a change can be committed or has to be aborted now, and proposes the decision.
func (c *coordinator) reviewChange(r *raftNode, pending *pendingChange) {
	now := r.node.now
	id := pending.Document.ID
	progress := c.progressOf(r, pending)
	if progress.decision != undecided && now-progress.proposedAt < reproposeInterval {
		return
	}
	unprepared := c.unpreparedMembers(r, pending)
	progress.unprepared = len(unprepared)
	c.reviews++
	for _, name := range unprepared {
		if reason, objects := c.objection(r, pending, name); objects {
			c.decide(r, progress, decidedAbort, &command{Kind: commandAbort, ID: id, AbortedBy: name, Reason: reason})
			return
		}
	}
	if len(unprepared) == 0 {
		c.decide(r, progress, decidedCommit, &command{Kind: commandCommit, ID: id, RosterVersion: progress.rosterVersion})
		return
	}
	timeout := r.node.settings.PrepareTimeout
	if r.node.settings.StopWhenIsolated {
		c.fenceExpired(r, unprepared)
		timeout += r.node.settings.LeaseExpiry() // a lease may have been granted just before the timeout
	}
	if now-progress.since > timeout {
		reason := "not heard, or it has not put the change on its disk within " + r.node.settings.PrepareTimeout.String()
		c.decide(r, progress, decidedAbort, &command{Kind: commandAbort, ID: id, AbortedBy: joinLimited(unprepared), Reason: reason})
	}
}

// objection reports whether and why a member makes it impossible to commit a change: the member rejects the change, or
// runs an earlier build that does not support the parts of services.
func (c *coordinator) objection(r *raftNode, pending *pendingChange, name string) (reason string, objects bool) {
	m := c.members[name]
	if m == nil {
		return "", false
	}
	if m.rejects(pending.Document.ID) {
		return m.rejectReason, true
	}
	isRunning := r.node.now-m.lastRequestAt < memberAliveSpan
	if m.format < FormatVersion && !pending.Document.isGlobalOnly() && isRunning {
		return "it is of an earlier version, and knows no parts of services", true
	}
	return "", false
}

// decide proposes a decision, and records it if the proposal was accepted.
func (c *coordinator) decide(r *raftNode, progress *changeProgress, decision changeDecision, cmd *command) {
	if r.propose(cmd) {
		progress.decision = decision
		progress.proposedAt = r.node.now
	}
}

// commitApplied updates the records after the log has applied a commit. Either the change is committed, or it has to
// be reviewed again because a member that it affects joined meanwhile.
func (c *coordinator) commitApplied(r *raftNode, id string) {
	progress := c.progress[id]
	if r.state.findPending(id) != nil {
		if progress != nil && progress.decision == decidedCommit {
			progress.decision = undecided
		}
		return
	}
	delete(c.progress, id)
	if progress == nil {
		return
	}
	for i := range slices.Backward(r.state.EndedChanges) {
		ended := &r.state.EndedChanges[i]
		if ended.Document.ID != id {
			continue
		}
		if ended.Committed {
			r.node.infof("%s is in force", describeChange(&ended.Document))
			c.recentCommits = append(c.recentCommits, recentCommit{r.state.CommitCount, r.node.now, progress.affected})
		}
		return
	}
}

// abortChange aborts a change as requested by an operator, or by the member that proposed it. The abort is also
// recorded for a change that no voter has received yet.
func (c *coordinator) abortChange(r *raftNode, p *Proposal) {
	if r.state.changeStatus(p.AbortID).State > ChangePreparing {
		return
	}
	r.propose(&command{
		Kind:      commandAbort,
		ID:        p.AbortID,
		AbortedBy: p.Document.Author,
		Reason:    cmp.Or(p.Document.Reason, "an operator dropped it"),
	})
}

// describeChange describes a change in a log line.
func describeChange(change *Document) string {
	var parts []string
	for _, d := range change.Documents() {
		parts = append(parts, fmt.Sprintf("policy %d%s", d.Number, partSuffix(d.Part)))
	}
	return fmt.Sprintf("%s (%s, by %s: %s)", strings.Join(parts, " and "), change.ID, change.Author, change.Reason)
}

// joinLimited returns a text that lists up to maxListedMembers names, and the number of the others.
func joinLimited(names []string) string {
	if more := len(names) - maxListedMembers; more > 0 {
		return strings.Join(names[:maxListedMembers], ", ") + fmt.Sprintf(" and %d more", more)
	}
	return strings.Join(names, ", ")
}
