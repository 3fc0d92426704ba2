package policy

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// coordinator is the leading voter's part in changes and leases: it answers lease requests, brings changes through
// prepare to commit or abort, and keeps the roster. Each leader learns the state of the members anew from their requests;
// what it decides goes through the log.
//
// It answers a request only once a quorum has confirmed that this voter led after the request had arrived (Raft's read
// index), and everything committed by then is applied. So no response of a leader that has lost its place is later than
// the election of the next one, and that one treats its predecessor's leases as valid for one LeaseExpiry after its
// election.
type coordinator struct {
	term         uint64 // in which this voter leads; 0: it does not
	leadingSince time.Duration
	nextStepAt   time.Duration

	// Lease requests, in the order of their way: unconfirmed, confirming, confirmedReads.
	unconfirmed    []receivedRequest
	confirming     []receivedRequest // a read index was requested for them
	readRequestID  uint64            // of that
	confirmSentAt  time.Duration
	confirmedReads []confirmedRead // the log is still to be applied up to their index

	members       map[string]*memberProgress // by name
	progress      map[string]*changeProgress // of the changes being prepared, by ID
	recentCommits []recentCommit             // some members may not know them yet
	rosterChanges map[string]rosterChange    // proposed and not applied, by the member's name

	reviewAt         time.Duration // of the roster and all changes
	reviews          int           // of single changes, each over all members that it affects
	notifyAt         time.Duration
	notifyOffset     int // among the members to notify, where there are too many for one round
	formatProposedAt time.Duration
}

// receivedRequest is a lease request, and who sent or forwarded it.
type receivedRequest struct {
	request *LeaseRequest
	from    string
}

// confirmedRead are requests that may be answered once the log is applied up to an index.
type confirmedRead struct {
	index    uint64
	requests []receivedRequest
}

// memberProgress is what a leader knows of a member from its requests.
type memberProgress struct {
	runID         uint64
	format        uint8
	lastRequestAt time.Duration
	grantedAt     time.Duration // of the last lease by this leader; 0: none
	knownUpTo     uint64        // the CommitIndex up to which it knows all
	prepared      []string      // IDs of changes
	rejectedID    string
	rejectReason  string
	// removing: it is being removed from the roster, and is granted no lease meanwhile.
	removing bool
	// unheardResponses counts consecutive requests that report an expired lease although it was granted in time.
	unheardResponses int
}

func (m *memberProgress) hasPrepared(id string) bool { return slices.Contains(m.prepared, id) }

// rejects reports whether a member can't serve by a change. The member may be unknown (nil).
func (m *memberProgress) rejects(id string) bool { return m != nil && m.rejectedID == id }

// Intervals and bounds of the coordinator.
const (
	// reviewInterval is how often it reviews the roster and all changes. An event that matters causes a review at once, so
	// longer ones only delay timeouts; each review costs as much as there are members affected.
	reviewInterval = 100 * time.Millisecond
	// notifyInterval is how often members that have not prepared a change are notified. Longer ones delay a change by a
	// lost message.
	notifyInterval = 150 * time.Millisecond
	// maxNotifications bounds those of one round, so that the requests that follow don't come all at once.
	maxNotifications = 64
	// notifyRoundsPerInterval is how often there are rounds while there are more members to notify than that.
	notifyRoundsPerInterval = 4
	// reproposeInterval is after which a command that was lost on its way into the log is proposed again.
	reproposeInterval = time.Second
	// readIndexTimeout is after which a read index that was not confirmed is requested anew, for later requests only.
	readIndexTimeout = 2 * time.Second
	// leaseExpirySlack is how long after its calculated end a lease counts as expired.
	leaseExpirySlack = 20 * time.Millisecond
	// memberAliveSpan is for how long after a request its member counts as running.
	memberAliveSpan = 2 * time.Second
	// maxUnheardResponses is after how many responses that a member did not receive a change goes on without it. Fewer
	// remove members for a few lost messages.
	maxUnheardResponses = 3
	// maxUnconfirmedRequests bounds the requests that wait for a read index; others are dropped, and sent again.
	maxUnconfirmedRequests = 4096
)

// advance does what is due by now.
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

// receiveRequest takes a lease request. It is answered once a quorum has confirmed this leader.
func (c *coordinator) receiveRequest(r *raftNode, received receivedRequest) {
	if len(c.unconfirmed) < maxUnconfirmedRequests {
		c.unconfirmed = append(c.unconfirmed, received)
	}
	c.requestReadIndex(r)
}

// requestReadIndex has Raft confirm that this voter still leads, for all requests that have arrived. One confirmation is
// on its way at a time.
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

// readContext identifies a read index of this term and request: two numbers of 8 bytes.
func (c *coordinator) readContext() []byte {
	context := binary.BigEndian.AppendUint64(nil, c.term)
	return binary.BigEndian.AppendUint64(context, c.readRequestID)
}

// receiveReadState takes Raft's confirmation: all that was committed when it was requested is up to its index.
func (c *coordinator) receiveReadState(r *raftNode, state raft.ReadState) {
	if !slices.Equal(state.RequestCtx, c.readContext()) || !r.isLeader() || c.members == nil {
		return
	}
	c.confirmedReads = append(c.confirmedReads, confirmedRead{state.Index, c.confirming})
	c.confirming = nil
	c.answerConfirmed(r)
	c.requestReadIndex(r)
}

// answerConfirmed answers the confirmed requests for which enough of the log is applied.
func (c *coordinator) answerConfirmed(r *raftNode) {
	for len(c.confirmedReads) > 0 && c.confirmedReads[0].index <= r.appliedIndex && c.members != nil {
		requests := c.confirmedReads[0].requests
		c.confirmedReads = c.confirmedReads[1:]
		for _, received := range requests {
			c.respond(r, received)
		}
	}
}

// commandApplied takes note of what the log has done.
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

// canReadLog reports whether a member is known to read the log as it is.
func (c *coordinator) canReadLog(r *raftNode, name string) bool {
	format := r.state.Format
	if i, ok := r.state.findMember(name); ok && r.state.Roster[i].Format >= format {
		return true
	}
	m := c.members[name]
	return format == 0 || m != nil && m.format >= format
}

// proposeFormat raises the format of the log to that of this build, for good, when the first change of a service's part
// is proposed: until then an earlier build can be gone back to. It reports whether all voters are known to read it.
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

// allVotersHaveFormat reports whether all voters are known to be of a format, or of a later one.
func (c *coordinator) allVotersHaveFormat(r *raftNode, format uint8) bool {
	for _, name := range r.state.Voters {
		if m := c.members[name]; m == nil || m.format < format {
			return false
		}
	}
	return true
}

// sortedKeys returns the keys of a map in order, for loops whose effects must not depend on the map's order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
