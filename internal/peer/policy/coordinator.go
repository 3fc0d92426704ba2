package policy

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// coordinator is the role of the leading voter in changes and leases. It answers lease requests, takes changes from
// prepare to commit or abort, and maintains the roster. Each new leader builds its records of the members from their
// requests; its decisions are entries of the log.
//
// It answers a request only once a quorum has confirmed that this voter led after the request had arrived (Raft's
// read index), and all entries committed by then are applied. So a leader that has lost its leadership sends no
// response to a request that arrived after the election of the next leader. The next leader treats the leases of its
// predecessor as valid for one LeaseExpiry after its own election.
type coordinator struct {
	term         uint64 // term in which this voter leads; 0: it does not lead
	leadingSince time.Duration
	nextStepAt   time.Duration

	// Lease requests pass through unconfirmed, confirming and confirmedReads, in this order.
	unconfirmed    []receivedRequest
	confirming     []receivedRequest // requests that the outstanding read index is for
	readRequestID  uint64            // ID of that read index
	confirmSentAt  time.Duration
	confirmedReads []confirmedRead // requests that wait until the log is applied up to an index

	members       map[string]*memberProgress // by name
	progress      map[string]*changeProgress // progress of the changes being prepared, by ID
	recentCommits []recentCommit             // commits that some members may not have received yet
	rosterChanges map[string]rosterChange    // roster changes that are proposed but not applied, by member name

	reviewAt         time.Duration // when the roster and all changes are reviewed next
	reviews          int           // number of reviews of a single change, each over all members that it affects
	notifyAt         time.Duration
	notifyOffset     int // start of the next round, if there are too many members to notify in one round
	formatProposedAt time.Duration
}

// receivedRequest is a lease request with the member that sent or forwarded it.
type receivedRequest struct {
	request *LeaseRequest
	from    string
}

// confirmedRead is a group of requests that may be answered once the log is applied up to an index.
type confirmedRead struct {
	index    uint64
	requests []receivedRequest
}

// memberProgress is the state of a member as reported in its requests to this leader.
type memberProgress struct {
	runID         uint64
	format        uint8
	lastRequestAt time.Duration
	grantedAt     time.Duration // when this leader last granted a lease; 0: never
	knownUpTo     uint64        // CommitIndex up to which the member has all documents
	prepared      []string      // IDs of the changes that the member has prepared
	rejectedID    string
	rejectReason  string
	// removing reports that the member is being removed from the roster; meanwhile it is granted no lease.
	removing bool
	// unreceivedResponses counts consecutive requests that report an expired lease although the lease was renewed in
	// time, so the member did not receive the response.
	unreceivedResponses int
}

func (m *memberProgress) hasPrepared(id string) bool { return slices.Contains(m.prepared, id) }

// rejects reports whether a member can't serve by a change. m is nil if the member is unknown.
func (m *memberProgress) rejects(id string) bool { return m != nil && m.rejectedID == id }

// Intervals and bounds of the coordinator.
const (
	// reviewInterval is the interval of the reviews of the roster and all changes. A relevant event causes a review
	// at once, so a longer interval only delays timeouts. The cost of a review is proportional to the number of
	// affected members.
	reviewInterval = 100 * time.Millisecond
	// notifyInterval is the interval at which members that have not prepared a change are notified. With a longer
	// interval, a lost message delays a change for longer.
	notifyInterval = 150 * time.Millisecond
	// maxNotifications bounds the notifications of one round, so that the requests that they cause do not all arrive
	// at once.
	maxNotifications = 64
	// notifyRoundsPerInterval is the number of rounds per notifyInterval while more than maxNotifications members are
	// to be notified.
	notifyRoundsPerInterval = 4
	// reproposeInterval is the time after which a command that the log has not applied is proposed again.
	reproposeInterval = time.Second
	// readIndexTimeout is the time after which an unconfirmed read index is abandoned together with its requests. The
	// next read index is for later requests only.
	readIndexTimeout = 2 * time.Second
	// leaseExpirySlack is added to the calculated end of a lease before the lease counts as expired.
	leaseExpirySlack = 20 * time.Millisecond
	// memberAliveSpan is the time without a request after which a member no longer counts as running.
	memberAliveSpan = 2 * time.Second
	// maxUnreceivedResponses is the number of responses lost on the way to a member after which changes continue
	// without the member. With a smaller number, a few lost messages remove a member.
	maxUnreceivedResponses = 3
	// maxUnconfirmedRequests bounds the requests that wait for a read index. Further requests are dropped; members retry
	// them.
	maxUnconfirmedRequests = 4096
)

// advance starts or ends this voter's leadership as Raft reports it, and performs the work that is due.
func (c *coordinator) advance(r *raftNode) {
	now := r.node.now
	status := r.status()
	if status.RaftState != raft.StateLeader {
		if c.term > 0 {
			*c = coordinator{}
		}
		c.nextStepAt = Never
		return
	}
	if term := status.HardState.GetTerm(); c.term != term {
		*c = newCoordinator(term, now)
		r.node.infof("this voter leads in term %d", term)
	}
	c.nextStepAt = now + reviewInterval
	c.requestReadIndex(r)
	if now >= c.reviewAt {
		c.reviewAt = now + reviewInterval
		c.reviewRoster(r)
		c.reviewChanges(r)
		c.notifyMembers(r)
	}
}

func newCoordinator(term uint64, now time.Duration) coordinator {
	return coordinator{
		term:          term,
		leadingSince:  now,
		members:       map[string]*memberProgress{},
		progress:      map[string]*changeProgress{},
		rosterChanges: map[string]rosterChange{},
	}
}

// receiveRequest queues a lease request. It is answered once a quorum has confirmed that this voter leads.
func (c *coordinator) receiveRequest(r *raftNode, received receivedRequest) {
	if len(c.unconfirmed) < maxUnconfirmedRequests {
		c.unconfirmed = append(c.unconfirmed, received)
	}
	c.requestReadIndex(r)
}

// requestReadIndex requests Raft's confirmation that this voter still leads, for all requests that have arrived. Only
// one confirmation is outstanding at a time.
func (c *coordinator) requestReadIndex(r *raftNode) {
	now := r.node.now
	if len(c.confirming) > 0 && now-c.confirmSentAt > readIndexTimeout {
		c.confirming = nil
	}
	if len(c.unconfirmed) == 0 || len(c.confirming) > 0 || c.term == 0 {
		return
	}
	c.confirming = c.unconfirmed
	c.unconfirmed = nil
	c.readRequestID++
	c.confirmSentAt = now
	r.rawNode.ReadIndex(c.readContext())
}

// readContext returns the bytes that identify the outstanding read index: the term and the ID, of 8 bytes each.
func (c *coordinator) readContext() []byte {
	context := binary.BigEndian.AppendUint64(nil, c.term)
	return binary.BigEndian.AppendUint64(context, c.readRequestID)
}

// receiveReadState handles Raft's confirmation. Its index covers all entries that were committed when it was
// requested.
func (c *coordinator) receiveReadState(r *raftNode, state raft.ReadState) {
	if !slices.Equal(state.RequestCtx, c.readContext()) || !r.isLeader() || c.members == nil {
		return
	}
	c.confirmedReads = append(c.confirmedReads, confirmedRead{state.Index, c.confirming})
	c.confirming = nil
	c.answerConfirmed(r)
	c.requestReadIndex(r)
}

// answerConfirmed answers those confirmed requests whose index the applied log has reached.
func (c *coordinator) answerConfirmed(r *raftNode) {
	for len(c.confirmedReads) > 0 && c.confirmedReads[0].index <= r.appliedIndex && c.members != nil {
		requests := c.confirmedReads[0].requests
		c.confirmedReads = c.confirmedReads[1:]
		for _, received := range requests {
			c.respond(r, received)
		}
	}
}

// commandApplied updates the leader's records after the state machine has applied a command.
func (c *coordinator) commandApplied(r *raftNode, cmd *command) {
	switch cmd.Kind {
	case commandBatch:
		for i := range cmd.Commands {
			c.commandApplied(r, &cmd.Commands[i])
		}
	case commandJoin, commandRemove:
		delete(c.rosterChanges, cmd.Name)
		if m := c.members[cmd.Name]; m != nil && m.runID == cmd.RunID {
			m.removing = false
		}
	case commandCommit:
		c.commitApplied(r, cmd.ID)
	case commandAbort:
		delete(c.progress, cmd.ID)
		r.node.infof("change %s was dropped by %s: %s", cmd.ID, cmd.AbortedBy, cmd.Reason)
	}
	now := r.node.now
	c.reviewAt = now
	c.notifyAt = now
	c.nextStepAt = now
}

// canReadLog reports whether a member can read the log in its current format, by its roster entry or its requests.
// Every build can read format 1.
func (c *coordinator) canReadLog(r *raftNode, name string) bool {
	format := r.state.Format
	if i, ok := r.state.findMember(name); ok && r.state.Roster[i].Format >= format {
		return true
	}
	m := c.members[name]
	return format == 0 || m != nil && m.format >= format
}

// proposeFormat proposes to raise the format of the log to the format of this build. This is final, so it is done only
// when the first change of a service's part is proposed: until then, operators can return to an earlier build. It
// reports whether all voters have reported that they can read the new format.
func (c *coordinator) proposeFormat(r *raftNode) bool {
	if !c.allVotersHaveFormat(r, FormatVersion) {
		return false
	}
	if r.node.now-c.formatProposedAt > reproposeInterval {
		c.formatProposedAt = r.node.now
		r.propose(&command{Kind: commandSetFormat, Format: FormatVersion})
	}
	return true
}

// allVotersHaveFormat reports whether all voters have reported a format or a later one to this leader.
func (c *coordinator) allVotersHaveFormat(r *raftNode, format uint8) bool {
	for _, name := range r.state.Voters {
		if m := c.members[name]; m == nil || m.format < format {
			return false
		}
	}
	return true
}

// sortedKeys returns the sorted keys of a map, for loops whose effects must not depend on the order of the map.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
