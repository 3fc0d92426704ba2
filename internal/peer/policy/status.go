package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Status is the state of a member as the admin endpoint shows it. The JSON keys are those of earlier releases.
type Status struct {
	Name              string        `json:"name"`
	Active            Document      `json:"in_force"`               // active global document, without its text
	Parts             []Document    `json:"parts,omitempty"`        // active documents of the other parts that it holds
	ConfiguredParts   []string      `json:"holds,omitempty"`        // services whose parts it is configured to hold
	NotYetServed      []string      `json:"not_held_yet,omitempty"` // those ConfiguredParts that it may not serve yet
	Pending           string        `json:"under_way,omitempty"`    // IDs of the changes that it has prepared
	RejectedID        string        `json:"nay,omitempty"`          // ID of a change that it can't serve by
	RejectReason      string        `json:"why,omitempty"`
	Serving           string        `json:"serving"` // description of what it serves by
	Until             time.Duration `json:"until_ns,omitempty"`
	Standalone        bool          `json:"alone,omitempty"`
	StopsWhenIsolated bool          `json:"stops_when_cut_off"`
	Voters            []string      `json:"voters"`
	Leader            string        `json:"leader,omitempty"` // leader that the last response named
	LastResponseAgo   time.Duration `json:"answered_ago_ns"`
	Epoch             uint64        `json:"rescues"`
	Votes             string        `json:"votes,omitempty"`  // description of how a voter takes part; empty: not a voter
	Roster            []string      `json:"roster,omitempty"` // members in the roster, if this member is a voter
	Stats             Stats         `json:"stats"`
}

// Stats counts the messages and writes of a node since its process started.
type Stats struct {
	Sent          uint64 `json:"Sent"`      // messages sent
	LeaseRequests uint64 `json:"Asked"`     // lease requests that this voter received
	Writes        uint64 `json:"Persisted"` // batches passed to the disk
}

// Status returns the state of this member.
func (n *Node) Status() Status {
	m := &n.member
	s := Status{
		Name:              n.settings.Name,
		Active:            m.active,
		ConfiguredParts:   m.configuredParts,
		Pending:           strings.Join(changeIDs(m.prepared), ", "),
		Standalone:        m.serving.Standalone,
		StopsWhenIsolated: n.settings.StopWhenIsolated,
		Voters:            n.voters,
		Leader:            m.leader,
		LastResponseAgo:   n.now - m.lastResponseAt,
		Epoch:             n.epoch,
		Stats:             n.stats,
	}
	s.Active.Body = nil
	for _, d := range m.sortedActiveParts() {
		d.Body = nil
		s.Parts = append(s.Parts, d)
	}
	for _, part := range m.configuredParts {
		if !slices.Contains(m.servedParts, part) {
			s.NotYetServed = append(s.NotYetServed, part)
		}
	}
	if ids := sortedKeys(m.rejections); len(ids) > 0 {
		s.RejectedID = ids[0]
		s.RejectReason = m.rejections[ids[0]]
	}
	s.Serving, s.Until = n.describeServing()
	if n.raftNode != nil {
		s.Votes = n.raftNode.describe()
		for _, entry := range n.raftNode.state.Roster {
			s.Roster = append(s.Roster, entry.Name)
		}
	}
	return s
}

// describeServing describes what this member serves by, and returns how much longer it may if that is bounded.
func (n *Node) describeServing() (text string, remaining time.Duration) {
	serving := &n.member.serving
	switch {
	case serving.Blocked != "":
		return serving.Blocked, 0
	case len(serving.Preparing) > 0:
		return "by what both the policy in force and the changes under way allow", 0
	case serving.Standalone:
		return "alone, by the last policy known", 0
	case serving.Until < Never:
		remaining = serving.Until - n.now
	}
	return "by the policy in force", remaining
}

// describe describes how a voter takes part in the log.
func (r *raftNode) describe() string {
	switch {
	case r.rawNode == nil:
		return "not yet: it asks the other voters whether its disk is as it was"
	case r.isLeader():
		return "leads"
	case r.catchingUp || r.voteFloor != (position{}):
		return "not yet: it catches up"
	case r.leaderName() == "":
		return "knows no leader"
	}
	return "follows " + r.leaderName()
}

// HandoffState returns the state that a successor needs to replace this process without a gap. It returns nil if this
// process is not in the roster, and so has no lease to pass on.
func (n *Node) HandoffState(now time.Duration) *HandoffState {
	if !n.member.inRoster {
		return nil
	}
	h := &HandoffState{
		ActiveNumber:   n.member.active.Number,
		LeaseRemaining: max(0, n.member.leaseExpiry-now),
		Seq:            n.member.seq,
		Format:         FormatVersion,
	}
	for _, part := range n.member.servedParts {
		d := n.member.activeDocument(part)
		h.Parts = append(h.Parts, DocumentRef{Part: part, Number: d.Number, ID: d.ID})
	}
	return h
}

// ActivePolicy returns the active global document.
func (n *Node) ActivePolicy() Document { return n.member.active }

// ActiveDocument returns the active document of a part. Its Number is 0 if the part has none, or if this member does
// not hold the part.
func (n *Node) ActiveDocument(part string) Document { return n.member.activeDocument(part) }

// ChangeStatus returns the last status that this member received for a watched change.
func (n *Node) ChangeStatus(id string) ChangeStatus {
	for _, watch := range n.member.watches {
		if watch.status.ID == id {
			return watch.status
		}
	}
	return ChangeStatus{ID: id}
}

// History returns the response to the last History event, or nil if none has arrived.
func (n *Node) History() *History { return n.member.history }

// Serving returns the Serving of the last ServingChanged action.
func (n *Node) Serving() Serving { return n.member.serving }

// StoredDocuments returns the active documents in the data that a member stored, the global one first.
func StoredDocuments(stored []byte) ([]Document, error) {
	if stored == nil {
		return []Document{{}}, nil
	}
	saved, err := decodeMember(stored)
	if err != nil {
		return nil, err
	}
	return append([]Document{saved.Active}, saved.ActiveParts...), nil
}

// StoredChanges returns the IDs of the changes in the data that a member stored: first those of active documents, then
// the prepared ones. It returns nil if the data can't be decoded.
func StoredChanges(stored []byte) []string {
	if stored == nil {
		return nil
	}
	saved, err := decodeMember(stored)
	if err != nil {
		return nil
	}
	var ids []string
	for _, d := range append([]Document{saved.Active}, saved.ActiveParts...) {
		if d.ID != "" {
			ids = append(ids, d.ID)
		}
	}
	return append(ids, changeIDs(saved.allPrepared())...)
}

func decodeMember(stored []byte) (*savedMember, error) {
	saved := &savedMember{}
	if err := decoding.Unmarshal(stored, saved); err != nil {
		return nil, fmt.Errorf("policy: decode the member's stored state: %w", err)
	}
	return saved, nil
}
