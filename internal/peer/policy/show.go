package policy

import (
	"fmt"
	"slices"
	"time"
)

// Shown is how a member stands, for operators.
type Shown struct {
	Name     string        `json:"name"`
	Force    Doc           `json:"in_force"`
	Pending  string        `json:"under_way,omitempty"` // the change that it has on its disk
	Nay      string        `json:"nay,omitempty"`       // the one that it can't serve by
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
	s := Shown{Name: n.s.Name, Force: m.force, Nay: m.nay, Why: m.why, Alone: m.told.Alone, Stops: n.s.Stops, Voters: n.voters, Leader: m.leader, HeardAgo: n.now - m.heardAt, Epoch: n.epoch, Stats: n.stats}
	s.Force.Body = nil
	if m.prepared != nil {
		s.Pending = m.prepared.ID
	}
	switch t := &m.told; {
	case t.Why != "":
		s.Serving = t.Why
	case t.Both != nil:
		s.Serving = "by what both the policy in force and the change under way allow"
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
	return &Handed{Number: n.m.force.Number, Left: max(0, n.m.lease-now), Seq: n.m.seq}
}

// KeptForce is the policy in force as a member's part on the disk has it.
func KeptForce(part []byte) (Doc, error) {
	var s savedMember
	if part == nil {
		return Doc{}, nil
	}
	if err := decoding.Unmarshal(part, &s); err != nil {
		return Doc{}, fmt.Errorf("policy: the member's part on the disk: %w", err)
	}
	return s.Force, nil
}

// Force is the policy in force here.
func (n *Node) Force() Doc { return n.m.force }

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

// OnDisk are the changes that a member's part has on the disk: the one in force, and one that is under way.
func OnDisk(part []byte) []string {
	var s savedMember
	if part == nil || decoding.Unmarshal(part, &s) != nil {
		return nil
	}
	var all []string
	if s.Force.ID != "" {
		all = append(all, s.Force.ID)
	}
	if s.Prepared != nil {
		all = append(all, s.Prepared.ID)
	}
	return all
}
