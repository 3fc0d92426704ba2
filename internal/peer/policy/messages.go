package policy

import (
	"fmt"
)

// Message is what members send to one another; one of its pointers, Raft, Notify or Fetch is set. A field that a version
// does not know is skipped.
type Message struct {
	Epoch         uint64         `cbor:"1,keyasint,omitempty"` // of the sender's voters; see Node.epoch
	Raft          []byte         `cbor:"2,keyasint,omitempty"` // a message of Raft's (protobuf)
	LeaseRequest  *LeaseRequest  `cbor:"3,keyasint,omitempty"`
	LeaseResponse *LeaseResponse `cbor:"4,keyasint,omitempty"`
	// To is the member to which a voter forwards a LeaseResponse.
	To string `cbor:"5,keyasint,omitempty"`
	// Notify asks the receiver to send a lease request, since something changed.
	Notify           bool              `cbor:"6,keyasint,omitempty"`
	PositionRequest  *PositionRequest  `cbor:"7,keyasint,omitempty"`
	PositionResponse *PositionResponse `cbor:"8,keyasint,omitempty"`
	Fetch            string            `cbor:"9,keyasint,omitempty"` // the ID of a change whose documents are requested
	Document         *Document         `cbor:"10,keyasint,omitempty"`
	Proposal         *Proposal         `cbor:"11,keyasint,omitempty"`
	ReplaceVoter     *ReplaceVoter     `cbor:"12,keyasint,omitempty"`
	Hops             int               `cbor:"13,keyasint,omitempty"` // how often it was forwarded
	History          *History          `cbor:"14,keyasint,omitempty"`
	// Parts are the parts of the change that a Fetch requests; none: those that the roster has for the sender.
	Parts []string `cbor:"15,keyasint,omitempty"`
}

// maxDatagramRaftBytes is how large a message of Raft's may be for a datagram: with its envelope it stays well below the
// 2,048 bytes that internal/peer/transport takes. A larger bound loses messages, a smaller one opens more streams.
const maxDatagramRaftBytes = 900

// Large reports whether a message may be too large for a datagram.
func (m *Message) Large() bool {
	return len(m.Raft) > maxDatagramRaftBytes || m.Document != nil || m.Proposal != nil || m.History != nil
}

// LeaseRequest asks the leader to renew a member's lease. It reports the member's state.
type LeaseRequest struct {
	Name         string `cbor:"1,keyasint,omitempty"`
	RunID        uint64 `cbor:"2,keyasint,omitempty"`
	Seq          uint64 `cbor:"3,keyasint,omitempty"`
	ActiveNumber uint64 `cbor:"4,keyasint,omitempty"` // of the global document that it serves by
	Prepared     string `cbor:"5,keyasint,omitempty"` // format 1: the change that it has prepared
	RejectedID   string `cbor:"6,keyasint,omitempty"` // a change that it can't serve by
	RejectReason string `cbor:"7,keyasint,omitempty"`
	Join         bool   `cbor:"8,keyasint,omitempty"` // it requests a place in the roster
	// StatusOf are changes of which it requests the status.
	StatusOf         []string `cbor:"9,keyasint,omitempty"`
	Through          string   `cbor:"10,keyasint,omitempty"` // the voter that forwarded it to the leader
	StopWhenIsolated bool     `cbor:"11,keyasint,omitempty"` // a setting, which has to be the leader's
	LeaseMS          uint32   `cbor:"12,keyasint,omitempty"` // a setting, in milliseconds, which has to be the leader's
	LeaseExpired     bool     `cbor:"13,keyasint,omitempty"` // it admits no requests
	// Format and what follows: since format 2.
	Format      uint8    `cbor:"14,keyasint,omitempty"`
	KnownUpTo   uint64   `cbor:"15,keyasint,omitempty"` // the CommitIndex up to which it knows all; 0: nothing
	PreparedIDs []string `cbor:"16,keyasint,omitempty"` // all changes that it has prepared, in place of Prepared
	PartsHash   uint64   `cbor:"17,keyasint,omitempty"` // of the parts that it holds: see partsHash
	Parts       []string `cbor:"18,keyasint,omitempty"` // that it holds, where the voters may not know them
}

// LeaseResponse is the leader's. A quorum confirmed that it led after the request had arrived.
type LeaseResponse struct {
	Seq    uint64 `cbor:"1,keyasint,omitempty"` // of the request
	Leader string `cbor:"2,keyasint,omitempty"`
	// InRoster: this run of the member is in the roster, and may serve by the active documents.
	InRoster     bool           `cbor:"3,keyasint,omitempty"`
	ActiveNumber uint64         `cbor:"4,keyasint,omitempty"` // format 1: of the global document
	ActiveID     string         `cbor:"5,keyasint,omitempty"` // format 1
	Pending      string         `cbor:"6,keyasint,omitempty"` // format 1: the change being prepared
	Voters       []string       `cbor:"7,keyasint,omitempty"`
	Statuses     []ChangeStatus `cbor:"8,keyasint,omitempty"`
	Refusal      string         `cbor:"9,keyasint,omitempty"` // why it is not taken into the roster
	// Format and what follows: since format 2.
	Format        uint8         `cbor:"10,keyasint,omitempty"`
	CommittedUpTo uint64        `cbor:"11,keyasint,omitempty"` // the last CommitIndex
	Changed       []DocumentRef `cbor:"12,keyasint,omitempty"` // of its parts: committed since the request's KnownUpTo
	Complete      bool          `cbor:"13,keyasint,omitempty"` // Changed has all active documents of its parts
	PendingIDs    []string      `cbor:"14,keyasint,omitempty"` // changes being prepared that affect it
	PartsHash     uint64        `cbor:"15,keyasint,omitempty"` // of the parts that the roster has for it
	// CountsForAllParts: the roster does not know its parts, and every change waits for it.
	CountsForAllParts bool `cbor:"16,keyasint,omitempty"`
	PartsRequested    bool `cbor:"17,keyasint,omitempty"` // the next request is to list its parts
}

// ChangeStatus is the status of a change.
type ChangeStatus struct {
	ID        string      `cbor:"1,keyasint,omitempty" json:"id"`
	State     ChangeState `cbor:"2,keyasint,omitempty" json:"-"`
	Number    uint64      `cbor:"3,keyasint,omitempty" json:"number,omitempty"` // committed: of its first part
	AbortedBy string      `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
	Reason    string      `cbor:"5,keyasint,omitempty" json:"why,omitempty"` // aborted: why
	// PreparedMembers of RequiredMembers have prepared it; Missing names up to maxListedMembers that have not.
	PreparedMembers int      `cbor:"6,keyasint,omitempty" json:"have,omitempty"`
	RequiredMembers int      `cbor:"7,keyasint,omitempty" json:"of,omitempty"`
	Missing         []string `cbor:"8,keyasint,omitempty" json:"missing,omitempty"`
	// Parts has the numbers of all parts of a committed change, unless that has the global part alone.
	Parts []DocumentRef `cbor:"9,keyasint,omitempty" json:"parts,omitempty"`
}

// ChangeState is the state of a change: unknown, then preparing, then committed or aborted for good.
type ChangeState uint8

// The states of a change, in the order in which it passes through them.
const (
	// ChangeUnknown: the log does not have it, or its outcome is no longer retained.
	ChangeUnknown ChangeState = iota
	// ChangePreparing: the log has it, and the coordinator waits for the members that it affects.
	ChangePreparing
	// ChangeCommitted: its documents are or were active.
	ChangeCommitted
	// ChangeAborted: it never takes effect. A change is aborted by the coordinator, if a member rejects it, is of an earlier
	// build, or has not prepared it in time (reviewChange); by an operator, at any time before its end; by the member that
	// proposed it, if no voter has taken it for 30 s (member_proposals.go); by the state machine as it is proposed, if it
	// conflicts with another one or is made of an earlier number (applyProposal); and by a rescue, which aborts all.
	ChangeAborted
)

// String returns the state as the admin endpoint and the commands have it.
func (s ChangeState) String() string {
	return [...]string{"unknown", "under way", "in force", "dropped"}[min(s, ChangeAborted)]
}

// Proposal is a change that an operator proposes, or the abort of one.
type Proposal struct {
	Document Document `cbor:"1,keyasint,omitempty"`
	Base     uint64   `cbor:"2,keyasint,omitempty"` // the active number that the author saw
	Excluded []string `cbor:"3,keyasint,omitempty"` // members that the author declares to be down: not waited for
	AbortID  string   `cbor:"4,keyasint,omitempty"` // not empty: the change of this ID is to be aborted
	Bases    []uint64 `cbor:"5,keyasint,omitempty"` // as Base, of Document.AdditionalParts
}

// Check returns an error for a proposal that is not allowed.
func (p *Proposal) Check() error {
	if p.AbortID != "" {
		return nil
	}
	d := &p.Document
	parts := len(d.AdditionalParts) + 1
	switch {
	case d.ID == "" || len(d.ID) > maxChangeIDBytes:
		return fmt.Errorf("a change needs an ID of 1 to %d characters", maxChangeIDBytes)
	case parts > maxPartsPerChange:
		return fmt.Errorf("a change of %d parts: up to %d are allowed", parts, maxPartsPerChange)
	case len(p.Bases) != len(d.AdditionalParts):
		return fmt.Errorf("a change of %d parts made of %d", parts, len(p.Bases)+1)
	case len(d.Reason) > MaxReasonBytes || len(d.Author) > MaxReasonBytes:
		return fmt.Errorf("reason and author: up to %d bytes are allowed", MaxReasonBytes)
	case len(p.Excluded) > maxExcludedMembers:
		return fmt.Errorf("without %d members: up to %d are allowed", len(p.Excluded), maxExcludedMembers)
	}
	return d.checkTexts()
}

// checkTexts returns an error if a text is too large, or does not have the digest that the change says.
func (d *Document) checkTexts() error {
	size := 0
	seen := map[string]bool{}
	for _, part := range d.Documents() {
		size += len(part.Body)
		switch {
		case len(part.Part) > MaxPartNameBytes:
			return fmt.Errorf("part %q: names have up to %d bytes", part.Part, MaxPartNameBytes)
		case seen[part.Part]:
			return fmt.Errorf("part %q is there twice", part.Part)
		case len(part.Body) > MaxBodyBytes:
			return fmt.Errorf("part %q has %d bytes: up to %d are allowed", part.Part, len(part.Body), MaxBodyBytes)
		case part.Digest != DigestOf(part.Body):
			return fmt.Errorf("part %q: its digest does not fit its text", part.Part)
		}
		seen[part.Part] = true
	}
	if size > MaxChangeBytes {
		return fmt.Errorf("a change of %d bytes: up to %d are allowed", size, MaxChangeBytes)
	}
	return nil
}

// PositionRequest asks another voter, at a start, how far its log reaches. See raftnode_recovery.go.
type PositionRequest struct {
	Number    uint64 `cbor:"1,keyasint,omitempty"` // identifies this start
	LastTerm  uint64 `cbor:"2,keyasint,omitempty"`
	LastIndex uint64 `cbor:"3,keyasint,omitempty"`
}

// PositionResponse says how far a voter's log reaches.
type PositionResponse struct {
	Number        uint64   `cbor:"1,keyasint,omitempty"` // of the request
	ProvenCurrent bool     `cbor:"2,keyasint,omitempty"` // it takes part in Raft, or its disk is certainly current
	Term          uint64   `cbor:"3,keyasint,omitempty"`
	LastTerm      uint64   `cbor:"4,keyasint,omitempty"`
	LastIndex     uint64   `cbor:"5,keyasint,omitempty"`
	Voters        []string `cbor:"6,keyasint,omitempty"`
	Applied       uint64   `cbor:"7,keyasint,omitempty"` // index of the last entry that it applied
	Start         uint64   `cbor:"8,keyasint,omitempty"` // Number of its own requests; 0: an earlier build
}
