package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Status is how a member stands, for operators.
type Status struct {
	Name              string        `json:"name"`
	Active            Document      `json:"in_force"`
	Parts             []Document    `json:"parts,omitempty"` // of services, those in force that it holds
	ConfiguredParts   []string      `json:"holds,omitempty"` // services whose parts it holds
	NotYetServed      []string      `json:"not_held_yet,omitempty"`
	Pending           string        `json:"under_way,omitempty"` // the changes that it has on its disk
	RejectedID        string        `json:"nay,omitempty"`       // one that it can't serve by
	RejectReason      string        `json:"why,omitempty"`
	Serving           string        `json:"serving"` // as the last word to its instances was
	Until             time.Duration `json:"until_ns,omitempty"`
	Standalone        bool          `json:"alone,omitempty"`
	StopsWhenIsolated bool          `json:"stops_when_cut_off"`
	Voters            []string      `json:"voters"`
	Leader            string        `json:"leader,omitempty"` // as it last answered
	LastResponseAgo   time.Duration `json:"answered_ago_ns"`
	Epoch             uint64        `json:"rescues"`
	Votes             string        `json:"votes,omitempty"` // of a voter: how it stands
	Roster            []string      `json:"roster,omitempty"`
	Stats             Stats         `json:"stats"`
}

// Status is how this member stands.
func (n *Node) Status() Status {
	m := &n.member
	s := Status{Name: n.settings.Name, Active: m.active, ConfiguredParts: m.configuredParts, Standalone: m.serving.Standalone, StopsWhenIsolated: n.settings.StopWhenIsolated, Voters: n.voters, Leader: m.leader, LastResponseAgo: n.now - m.lastResponseAt, Epoch: n.epoch, Stats: n.stats}
	s.Active.Body = nil
	for _, d := range m.sortedActiveParts() {
		d.Body = nil
		s.Parts = append(s.Parts, d)
	}
	for _, p := range m.configuredParts {
		if !slices.Contains(m.servedParts, p) {
			s.NotYetServed = append(s.NotYetServed, p)
		}
	}
	s.Pending = strings.Join(changeIDs(m.prepared), ", ")
	if ids := sortedKeys(m.rejections); len(ids) > 0 {
		s.RejectedID, s.RejectReason = ids[0], m.rejections[ids[0]]
	}
	switch t := &m.serving; {
	case t.Blocked != "":
		s.Serving = t.Blocked
	case len(t.Preparing) > 0:
		s.Serving = "by what both the policy in force and the changes under way allow"
	case t.Standalone:
		s.Serving = "alone, by the last policy known"
	default:
		s.Serving = "by the policy in force"
		if t.Until < Never {
			s.Until = t.Until - n.now
		}
	}
	if v := n.raftNode; v != nil {
		switch {
		case v.rawNode == nil:
			s.Votes = "not yet: it asks the other voters whether its disk is as it was"
		case v.isLeader():
			s.Votes = "leads"
		case v.learning || v.voteFloor != (position{}):
			s.Votes = "not yet: it catches up"
		case v.leaderName() == "":
			s.Votes = "knows no leader"
		default:
			s.Votes = "follows " + v.leaderName()
		}
		for _, p := range v.state.Roster {
			s.Roster = append(s.Roster, p.Name)
		}
	}
	return s
}

// HandoffState is what another process needs that takes this one's place at once; nil: it could take no request either.
func (n *Node) HandoffState(now time.Duration) *HandoffState {
	if !n.member.inRoster {
		return nil
	}
	h := &HandoffState{Number: n.member.active.Number, LeaseRemaining: max(0, n.member.leaseExpiry-now), Seq: n.member.seq, Format: FormatVersion}
	for _, p := range n.member.servedParts {
		d := n.member.activeDocument(p)
		h.Parts = append(h.Parts, DocumentRef{p, d.Number, d.ID})
	}
	return h
}

// StoredDocuments are the texts in force as a member's part on the disk has them, that for all first.
func StoredDocuments(part []byte) ([]Document, error) {
	var s savedMember
	if part == nil {
		return []Document{{}}, nil
	}
	if err := decoding.Unmarshal(part, &s); err != nil {
		return nil, fmt.Errorf("policy: the member's part on the disk: %w", err)
	}
	return append([]Document{s.Active}, s.ActiveParts...), nil
}

// ActivePolicy is the part for all that is in force here.
func (n *Node) ActivePolicy() Document { return n.member.active }

// ActiveDocument is a part's text in force here; Number 0: it has none, or this member does not hold it.
func (n *Node) ActiveDocument(part string) Document { return n.member.activeDocument(part) }

// ChangeStatus is what became of a change that is watched, as far as this member has heard.
func (n *Node) ChangeStatus(id string) ChangeStatus {
	if i := slices.IndexFunc(n.member.watches, func(w watchedChange) bool { return w.status.ID == id }); i >= 0 {
		return n.member.watches[i].status
	}
	return ChangeStatus{ID: id}
}

// LastResponseAt is when the last answer came, by the member's clock.
func (n *Node) LastResponseAt() time.Duration { return n.member.lastResponseAt }

// History is the answer to the last Past; nil: it has not come.
func (n *Node) History() *History { return n.member.history }

// Serving is what the daemon was last told to serve by.
func (n *Node) Serving() Serving { return n.member.serving }

// StoredChanges are the changes of which a member's part has texts on the disk: those in force, and those under way.
func StoredChanges(part []byte) []string {
	var s savedMember
	if part == nil || decoding.Unmarshal(part, &s) != nil {
		return nil
	}
	var all []string
	for _, d := range append([]Document{s.Active}, s.ActiveParts...) {
		if d.ID != "" {
			all = append(all, d.ID)
		}
	}
	return append(all, changeIDs(s.allPrepared())...)
}
