package policy

import (
	"slices"
	"time"
)

// rosterChange is a change of a member's roster entry that was proposed and is not applied yet.
type rosterChange struct {
	runID      uint64
	partsHash  uint64 // hash of the parts of a join
	proposedAt time.Duration
}

// reviewRoster removes the members that have departed, and repeats the proposals of removals that may have been lost.
func (c *coordinator) reviewRoster(r *raftNode) {
	for _, name := range sortedKeys(r.node.membership) {
		if info := r.node.membership[name]; info.Departed && r.state.inRoster(name, info.RunID) {
			c.removeMember(r, name, info.RunID, "it left")
		}
	}
	for _, name := range sortedKeys(c.members) {
		if m := c.members[name]; m.removing && r.state.inRoster(name, m.runID) {
			c.removeMember(r, name, m.runID, "as was proposed before")
		}
	}
}

// removeMember proposes to remove a member that certainly admits no requests. The member is granted no lease from now
// on.
func (c *coordinator) removeMember(r *raftNode, name string, runID uint64, reason string) {
	m := c.members[name]
	if m == nil {
		m = &memberProgress{runID: runID}
		c.members[name] = m
	}
	now := r.node.now
	if proposed, ok := c.rosterChanges[name]; ok && proposed.runID == runID && now-proposed.proposedAt < reproposeInterval {
		return
	}
	m.removing = m.runID == runID
	c.rosterChanges[name] = rosterChange{runID: runID, proposedAt: now}
	r.propose(&command{Kind: commandRemove, Name: name, RunID: runID, Reason: reason})
}

// fenceExpired removes those of the members whose leases have certainly expired, so that changes continue without
// them.
func (c *coordinator) fenceExpired(r *raftNode, names []string) {
	for _, name := range names {
		i, _ := r.state.findMember(name)
		if runID := r.state.Roster[i].RunID; c.leaseExpired(r, name, runID) {
			c.removeMember(r, name, runID, "its lease has ended, and it is not heard")
		}
	}
}

// leaseExpired reports whether a member certainly admits no requests any more, because every lease that this leader
// or an earlier one has granted to this run has expired.
func (c *coordinator) leaseExpired(r *raftNode, name string, runID uint64) bool {
	grantedAt := c.leadingSince
	if m := c.members[name]; m != nil && m.runID == runID {
		grantedAt = max(grantedAt, m.grantedAt)
	}
	return r.node.now > grantedAt+r.node.settings.LeaseExpiry()+leaseExpirySlack
}

// notifyMembers notifies members that may lack a change being prepared or committed, or that have sent this leader no
// request, so that they send a lease request.
func (c *coordinator) notifyMembers(r *raftNode) {
	now := r.node.now
	if now < c.notifyAt {
		return
	}
	c.notifyAt = now + notifyInterval
	uninformed := map[string]bool{}
	c.addUnprepared(r, uninformed)
	c.addUnawareOfCommits(r, uninformed)
	c.addUnknown(r, uninformed)
	names := sortedKeys(uninformed)
	if len(names) > maxNotifications { // each round notifies the next group of members
		first := c.notifyOffset % len(names)
		names = append(names[first:], names[:first]...)[:maxNotifications]
		c.notifyOffset += maxNotifications
		c.notifyAt = now + notifyInterval/notifyRoundsPerInterval
	}
	for _, name := range names {
		r.node.send(name, &Message{Notify: true})
	}
}

// addUnprepared adds the members that have not prepared a change. A member that has sent this leader a request is
// notified only until the prepare timeout; after that, a running member sends requests without being notified.
func (c *coordinator) addUnprepared(r *raftNode, names map[string]bool) {
	for i := range r.state.PendingChanges {
		pending := &r.state.PendingChanges[i]
		progress := c.progressOf(r, pending)
		inTime := r.node.now-progress.since < r.node.settings.PrepareTimeout
		for _, entry := range progress.affected {
			m := c.members[entry.Name]
			isUnknown := m == nil || m.runID != entry.RunID
			if c.isUnprepared(&entry, pending) && (isUnknown || inTime) {
				names[entry.Name] = true
			}
		}
	}
}

// addUnawareOfCommits adds the running members that have not received a recent commit that affects them.
func (c *coordinator) addUnawareOfCommits(r *raftNode, names map[string]bool) {
	now := r.node.now
	recent := 2 * r.node.settings.Lease
	c.recentCommits = slices.DeleteFunc(c.recentCommits, func(commit recentCommit) bool { return now-commit.committedAt > recent })
	for _, commit := range c.recentCommits {
		for _, entry := range commit.affected {
			m := c.members[entry.Name]
			isRunning := m != nil && m.runID == entry.RunID && now-m.lastRequestAt < recent
			if isRunning && m.knownUpTo < commit.commitIndex {
				names[entry.Name] = true
			}
		}
	}
}

// addUnknown adds the members that have sent no request to this leader. It does so only for the duration of one lease
// after the leader's election.
func (c *coordinator) addUnknown(r *raftNode, names map[string]bool) {
	if r.node.now-c.leadingSince >= r.node.settings.Lease {
		return
	}
	for _, entry := range r.state.Roster {
		if m := c.members[entry.Name]; m == nil || m.runID != entry.RunID {
			names[entry.Name] = true
		}
	}
}
