package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Shown is how a member stands, for operators.
type Shown struct {
	Name     string        `json:"name"`
	Force    Doc           `json:"in_force"`
	Parts    []Doc         `json:"parts,omitempty"` // of services, those in force that it holds
	Holds    []string      `json:"holds,omitempty"` // services whose parts it holds
	Unheld   []string      `json:"not_held_yet,omitempty"`
	Pending  string        `json:"under_way,omitempty"` // the changes that it has on its disk
	Nay      string        `json:"nay,omitempty"`       // one that it can't serve by
	Why      string        `json:"why,omitempty"`
	Serving  string        `json:"serving"` // as the last word to its instances was
	Until    time.Duration `json:"until_ns,omitempty"`
	Alone    bool          `json:"alone,omitempty"`
	Stops    bool          `json:"stops_when_cut_off"`
	Voters   []string      `json:"voters"`
	Leader   string        `json:"leader,omitempty"` // as it last answered
	HeardAgo time.Duration `json:"answered_ago_ns"`
	Epoch    uint64        `json:"rescues"`
	Votes    string        `json:"votes,omitempty"` // of a voter: how it stands
	Roster   []string      `json:"roster,omitempty"`
	Stats    Stats         `json:"stats"`
}

// Show is how this member stands.
func (n *Node) Show() Shown {
	m := &n.m
	s := Shown{Name: n.s.Name, Force: m.force, Holds: m.want, Alone: m.told.Alone, Stops: n.s.Stops, Voters: n.voters, Leader: m.leader, HeardAgo: n.now - m.heardAt, Epoch: n.epoch, Stats: n.stats}
	s.Force.Body = nil
	for _, d := range m.inForceParts() {
		d.Body = nil
		s.Parts = append(s.Parts, d)
	}
	for _, p := range m.want {
		if !slices.Contains(m.held, p) {
			s.Unheld = append(s.Unheld, p)
		}
	}
	s.Pending = strings.Join(idsOf(m.prepared), ", ")
	if ids := sorted(m.nays); len(ids) > 0 {
		s.Nay, s.Why = ids[0], m.nays[ids[0]]
	}
	switch t := &m.told; {
	case t.Why != "":
		s.Serving = t.Why
	case len(t.Both) > 0:
		s.Serving = "by what both the policy in force and the changes under way allow"
	case t.Alone:
		s.Serving = "alone, by the last policy known"
	default:
		s.Serving = "by the policy in force"
		if t.Until < Never {
			s.Until = t.Until - n.now
		}
	}
	if v := n.v; v != nil {
		switch {
		case v.rn == nil:
			s.Votes = "not yet: it asks the other voters whether its disk is as it was"
		case v.leads():
			s.Votes = "leads"
		case v.blank || v.floor != (position{}):
			s.Votes = "not yet: it catches up"
		case v.leader() == "":
			s.Votes = "knows no leader"
		default:
			s.Votes = "follows " + v.leader()
		}
		for _, p := range v.state.Roster {
			s.Roster = append(s.Roster, p.Name)
		}
	}
	return s
}

// Handed is what another process needs that takes this one's place at once; nil: it could take no request either.
func (n *Node) Handed(now time.Duration) *Handed {
	if !n.m.joined {
		return nil
	}
	h := &Handed{Number: n.m.force.Number, Left: max(0, n.m.lease-now), Seq: n.m.seq, Form: Form}
	for _, p := range n.m.held {
		d := n.m.text(p)
		h.Parts = append(h.Parts, Ref{p, d.Number, d.ID})
	}
	return h
}

// Kept are the texts in force as a member's part on the disk has them, that for all first.
func Kept(part []byte) ([]Doc, error) {
	var s savedMember
	if part == nil {
		return []Doc{{}}, nil
	}
	if err := decoding.Unmarshal(part, &s); err != nil {
		return nil, fmt.Errorf("policy: the member's part on the disk: %w", err)
	}
	return append([]Doc{s.Force}, s.Texts...), nil
}

// Force is the part for all that is in force here.
func (n *Node) Force() Doc { return n.m.force }

// Text is a part's text in force here; Number 0: it has none, or this member does not hold it.
func (n *Node) Text(part string) Doc { return n.m.text(part) }

// Fate is what became of a change that is watched, as far as this member has heard.
func (n *Node) Fate(id string) Fate {
	if i := slices.IndexFunc(n.m.about, func(w watched) bool { return w.fate.ID == id }); i >= 0 {
		return n.m.about[i].fate
	}
	return Fate{ID: id}
}

// HeardAt is when the last answer came, by the member's clock.
func (n *Node) HeardAt() time.Duration { return n.m.heardAt }

// Known is the answer to the last Past; nil: it has not come.
func (n *Node) Known() *Past { return n.m.past }

// Told is what the daemon was last told to serve by.
func (n *Node) Told() Serving { return n.m.told }

// OnDisk are the changes of which a member's part has texts on the disk: those in force, and those under way.
func OnDisk(part []byte) []string {
	var s savedMember
	if part == nil || decoding.Unmarshal(part, &s) != nil {
		return nil
	}
	var all []string
	for _, d := range append([]Doc{s.Force}, s.Texts...) {
		if d.ID != "" {
			all = append(all, d.ID)
		}
	}
	return append(all, idsOf(s.changes())...)
}
