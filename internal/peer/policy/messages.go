package policy

import (
	"fmt"
)

// Message is a message between members. Exactly one of Raft, Notify, Fetch and the pointer fields is set. A build
// skips fields that it does not have.
type Message struct {
	Epoch         uint64         `cbor:"1,keyasint,omitempty"` // epoch of the sender's voters; see Node.epoch
	Raft          []byte         `cbor:"2,keyasint,omitempty"` // a Raft message (protobuf)
	LeaseRequest  *LeaseRequest  `cbor:"3,keyasint,omitempty"`
	LeaseResponse *LeaseResponse `cbor:"4,keyasint,omitempty"`
	// To is the member to which a voter forwards a LeaseResponse.
	To string `cbor:"5,keyasint,omitempty"`
	// Notify requests that the receiver send a lease request, because something has changed.
	Notify           bool              `cbor:"6,keyasint,omitempty"`
	PositionRequest  *PositionRequest  `cbor:"7,keyasint,omitempty"`
	PositionResponse *PositionResponse `cbor:"8,keyasint,omitempty"`
	Fetch            string            `cbor:"9,keyasint,omitempty"` // ID of a change whose documents are requested
	Document         *Document         `cbor:"10,keyasint,omitempty"`
	Proposal         *Proposal         `cbor:"11,keyasint,omitempty"`
	ReplaceVoter     *ReplaceVoter     `cbor:"12,keyasint,omitempty"`
	Hops             int               `cbor:"13,keyasint,omitempty"` // number of times that the message was forwarded
	History          *History          `cbor:"14,keyasint,omitempty"`
	// Parts are the parts of the change that a Fetch requests. If empty, the Fetch requests the parts that the roster
	// has for the sender.
	Parts []string `cbor:"15,keyasint,omitempty"`
}

// maxDatagramRaftBytes is the size up to which a Raft message is sent as a datagram. With its envelope such a message
// stays well below the 2,048 bytes that internal/peer/transport accepts. A larger bound loses messages, a smaller one
// opens more streams.
const maxDatagramRaftBytes = 900

// Large reports whether a message may be too large for a datagram.
func (m *Message) Large() bool {
	return len(m.Raft) > maxDatagramRaftBytes || m.Document != nil || m.Proposal != nil || m.History != nil
}

// LeaseRequest requests the renewal of a member's lease from the leader, and reports the member's state.
type LeaseRequest struct {
	Name         string `cbor:"1,keyasint,omitempty"`
	RunID        uint64 `cbor:"2,keyasint,omitempty"`
	Seq          uint64 `cbor:"3,keyasint,omitempty"`
	ActiveNumber uint64 `cbor:"4,keyasint,omitempty"` // number of the global document that the member serves by
	Prepared     string `cbor:"5,keyasint,omitempty"` // format 1: ID of the change that the member has prepared
	RejectedID   string `cbor:"6,keyasint,omitempty"` // ID of a change that the member can't serve by
	RejectReason string `cbor:"7,keyasint,omitempty"`
	Join         bool   `cbor:"8,keyasint,omitempty"` // the member requests an entry in the roster
	// StatusOf lists the IDs of changes whose status the member requests.
	StatusOf         []string `cbor:"9,keyasint,omitempty"`
	Through          string   `cbor:"10,keyasint,omitempty"` // the voter that forwarded the request to the leader
	StopWhenIsolated bool     `cbor:"11,keyasint,omitempty"` // the member's setting, which has to equal the leader's
	LeaseMS          uint32   `cbor:"12,keyasint,omitempty"` // Settings.Lease in ms, which has to equal the leader's
	LeaseExpired     bool     `cbor:"13,keyasint,omitempty"` // the member's lease has expired
	// Format and the fields after it exist since format 2.
	Format      uint8    `cbor:"14,keyasint,omitempty"`
	KnownUpTo   uint64   `cbor:"15,keyasint,omitempty"` // CommitIndex up to which it has all documents; 0: none
	PreparedIDs []string `cbor:"16,keyasint,omitempty"` // IDs of all changes that it has prepared; replaces Prepared
	PartsHash   uint64   `cbor:"17,keyasint,omitempty"` // hash of the parts that it holds: see partsHash
	Parts       []string `cbor:"18,keyasint,omitempty"` // the parts that it holds, if the roster may not list them
}

// LeaseResponse is the leader's response to a LeaseRequest. After the request arrived, a quorum confirmed that the
// leader still led.
type LeaseResponse struct {
	Seq    uint64 `cbor:"1,keyasint,omitempty"` // Seq of the request
	Leader string `cbor:"2,keyasint,omitempty"`
	// InRoster reports that this run of the member is in the roster, and may serve by the active documents.
	InRoster     bool           `cbor:"3,keyasint,omitempty"`
	ActiveNumber uint64         `cbor:"4,keyasint,omitempty"` // format 1: number of the active global document
	ActiveID     string         `cbor:"5,keyasint,omitempty"` // format 1: ID of the active global document
	Pending      string         `cbor:"6,keyasint,omitempty"` // format 1: ID of the change being prepared
	Voters       []string       `cbor:"7,keyasint,omitempty"`
	Statuses     []ChangeStatus `cbor:"8,keyasint,omitempty"`
	Refusal      string         `cbor:"9,keyasint,omitempty"` // why the leader does not add the member to the roster
	// Format and the fields after it exist since format 2.
	Format        uint8  `cbor:"10,keyasint,omitempty"`
	CommittedUpTo uint64 `cbor:"11,keyasint,omitempty"` // the last CommitIndex
	// Changed has the active documents of the member's parts that were committed after the request's KnownUpTo.
	Changed    []DocumentRef `cbor:"12,keyasint,omitempty"`
	Complete   bool          `cbor:"13,keyasint,omitempty"` // Changed has all active documents of the member's parts
	PendingIDs []string      `cbor:"14,keyasint,omitempty"` // IDs of the changes being prepared that affect the member
	PartsHash  uint64        `cbor:"15,keyasint,omitempty"` // hash of the parts that the roster has for the member
	// CountsForAllParts reports that the roster does not list the member's parts, so every change waits for the member.
	CountsForAllParts bool `cbor:"16,keyasint,omitempty"`
	PartsRequested    bool `cbor:"17,keyasint,omitempty"` // the member's next request has to list its parts
}

// ChangeStatus is the status of a change.
type ChangeStatus struct {
	ID        string      `cbor:"1,keyasint,omitempty" json:"id"`
	State     ChangeState `cbor:"2,keyasint,omitempty" json:"-"`
	Number    uint64      `cbor:"3,keyasint,omitempty" json:"number,omitempty"` // of the first part, once committed
	AbortedBy string      `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
	Reason    string      `cbor:"5,keyasint,omitempty" json:"why,omitempty"` // reason of an abort
	// PreparedMembers of RequiredMembers have prepared the change. Missing names up to maxListedMembers of those that
	// have not.
	PreparedMembers int      `cbor:"6,keyasint,omitempty" json:"have,omitempty"`
	RequiredMembers int      `cbor:"7,keyasint,omitempty" json:"of,omitempty"`
	Missing         []string `cbor:"8,keyasint,omitempty" json:"missing,omitempty"`
	// Parts has the numbers of all parts of a committed change. It is empty if the change has only the global part.
	Parts []DocumentRef `cbor:"9,keyasint,omitempty" json:"parts,omitempty"`
}

// ChangeState is the state of a change. It goes from unknown to preparing, and from there to committed or aborted,
// which are final.
type ChangeState uint8

// The states of a change, in the order in which it passes through them.
const (
	// ChangeUnknown means that the log does not have the change, or that its outcome is no longer retained.
	ChangeUnknown ChangeState = iota
	// ChangePreparing means that the log has the change, and the coordinator waits for the members that it affects.
	ChangePreparing
	// ChangeCommitted means that the documents of the change are or were active.
	ChangeCommitted
	// ChangeAborted means that the change never takes effect. A change is aborted:
	//   - by the coordinator, if a member rejects the change, runs an earlier build, or has not prepared the change
	//     in time (reviewChange);
	//   - by an operator, at any time before the change has ended;
	//   - by the member that proposed the change, if no voter has accepted it for 30 s (member_proposals.go);
	//   - by the state machine when it applies the proposal, if the change conflicts with another one or is based on
	//     an earlier number (applyProposal);
	//   - by a rescue, which aborts all changes being prepared.
	ChangeAborted
)

// String returns the state as the admin endpoint and the commands show it.
func (s ChangeState) String() string {
	return [...]string{"unknown", "under way", "in force", "dropped"}[min(s, ChangeAborted)]
}

// Proposal is a change that an operator proposes, or the abort of one.
type Proposal struct {
	Document Document `cbor:"1,keyasint,omitempty"`
	Base     uint64   `cbor:"2,keyasint,omitempty"` // number of the active document that the author changed
	// Excluded has the members that the author declares to be down. The change does not wait for them.
	Excluded []string `cbor:"3,keyasint,omitempty"`
	AbortID  string   `cbor:"4,keyasint,omitempty"` // ID of the change to abort; empty: the proposal is a change
	Bases    []uint64 `cbor:"5,keyasint,omitempty"` // the same as Base, for each of Document.AdditionalParts
}

// Check returns an error if the proposal is not allowed.
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
		return fmt.Errorf("a change of %d parts with %d base numbers: each part needs one", parts, len(p.Bases)+1)
	case len(d.Reason) > MaxReasonBytes || len(d.Author) > MaxReasonBytes:
		return fmt.Errorf("reason and author: up to %d bytes are allowed", MaxReasonBytes)
	case len(p.Excluded) > maxExcludedMembers:
		return fmt.Errorf("a change without %d members: up to %d may be excluded", len(p.Excluded), maxExcludedMembers)
	}
	return d.checkTexts()
}

// checkTexts returns an error if the name of a part is too long or listed twice, a text is too large, or a text does
// not match its digest.
func (d *Document) checkTexts() error {
	size := 0
	seen := map[string]bool{}
	for _, part := range d.Documents() {
		size += len(part.Body)
		switch {
		case len(part.Part) > MaxPartNameBytes:
			return fmt.Errorf("part %q: names have up to %d bytes", part.Part, MaxPartNameBytes)
		case seen[part.Part]:
			return fmt.Errorf("part %q is listed twice", part.Part)
		case len(part.Body) > MaxBodyBytes:
			return fmt.Errorf("part %q has %d bytes: up to %d are allowed", part.Part, len(part.Body), MaxBodyBytes)
		case part.Digest != DigestOf(part.Body):
			return fmt.Errorf("part %q: its digest does not match its text", part.Part)
		}
		seen[part.Part] = true
	}
	if size > MaxChangeBytes {
		return fmt.Errorf("a change of %d bytes: up to %d are allowed", size, MaxChangeBytes)
	}
	return nil
}

// PositionRequest is sent by a voter that has started, to query how far the log of another voter reaches. See
// raftnode_recovery.go.
type PositionRequest struct {
	StartNumber uint64 `cbor:"1,keyasint,omitempty"` // identifies this start
	LastTerm    uint64 `cbor:"2,keyasint,omitempty"`
	LastIndex   uint64 `cbor:"3,keyasint,omitempty"`
}

// PositionResponse reports how far a voter's log reaches.
type PositionResponse struct {
	StartNumber   uint64   `cbor:"1,keyasint,omitempty"` // StartNumber of the request
	ProvenCurrent bool     `cbor:"2,keyasint,omitempty"` // the voter takes part in Raft, or its disk is certainly current
	Term          uint64   `cbor:"3,keyasint,omitempty"`
	LastTerm      uint64   `cbor:"4,keyasint,omitempty"`
	LastIndex     uint64   `cbor:"5,keyasint,omitempty"`
	Voters        []string `cbor:"6,keyasint,omitempty"`
	Applied       uint64   `cbor:"7,keyasint,omitempty"` // index of the last entry that the voter applied
	Start         uint64   `cbor:"8,keyasint,omitempty"` // StartNumber of its own requests; 0: it runs an earlier build
}
