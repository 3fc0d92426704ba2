package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// state is what the voters' log has made so far. It is the same at each voter that has applied the same entries.
type state struct {
	Voters  []string `cbor:"1,keyasint,omitempty"`
	Force   Doc      `cbor:"2,keyasint,omitempty"`
	Pending *Doc     `cbor:"3,keyasint,omitempty"`
	Without []string `cbor:"4,keyasint,omitempty"` // of the change under way
	Roster  []place  `cbor:"5,keyasint,omitempty"` // by name
	Version uint64   `cbor:"6,keyasint,omitempty"` // of the roster: grows with each change of it
	Ended   []Ended  `cbor:"7,keyasint,omitempty"` // the last changes, oldest first
	Kept    []Doc    `cbor:"8,keyasint,omitempty"` // the last that were in force, with their texts, oldest first
}

// place is a member's in the roster: it may take requests by the policy in force.
type place struct {
	Name string `cbor:"1,keyasint,omitempty"`
	Life uint64 `cbor:"2,keyasint,omitempty"`
}

// Ended is what became of a change, for ever.
type Ended struct {
	Doc     Doc      `cbor:"1,keyasint,omitempty"` // without its text
	InForce bool     `cbor:"2,keyasint,omitempty"`
	By      string   `cbor:"3,keyasint,omitempty"` // dropped: by whom
	Why     string   `cbor:"4,keyasint,omitempty"`
	Without []string `cbor:"5,keyasint,omitempty"`
}

const (
	endedMost  = 256
	keptMost   = 16
	rosterMost = 20000
)

type deed uint8

const (
	doJoin    deed = iota + 1 // a member's life is in the roster from now on
	doOut                     // a member's life is not any more: it certainly takes nothing
	doPropose                 // a change is under way
	doCommit                  // it is in force
	doDrop                    // it is not, and never will be
)

// command is an entry of the log.
type command struct {
	Do      deed     `cbor:"1,keyasint,omitempty"`
	Name    string   `cbor:"2,keyasint,omitempty"`
	Life    uint64   `cbor:"3,keyasint,omitempty"`
	Doc     *Doc     `cbor:"4,keyasint,omitempty"`
	Base    uint64   `cbor:"5,keyasint,omitempty"`
	Without []string `cbor:"6,keyasint,omitempty"`
	ID      string   `cbor:"7,keyasint,omitempty"`
	Version uint64   `cbor:"8,keyasint,omitempty"` // of a commit: the roster of which all have it
	By      string   `cbor:"9,keyasint,omitempty"`
	Why     string   `cbor:"10,keyasint,omitempty"`
}

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 16, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic("policy: " + err.Error()) // fixed options, or a struct of our own
	}
	return v
}

func encode(v any) []byte { return must(encoding.Marshal(v)) }

// find is where a name stands in the roster, or belongs.
func (s *state) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Roster, name, func(p place, n string) int { return strings.Compare(p.Name, n) })
}

// has reports whether a member's life is in the roster.
func (s *state) has(name string, life uint64) bool {
	i, ok := s.find(name)
	return ok && s.Roster[i].Life == life
}

// apply is what a command does. It depends on nothing but state and command.
func (s *state) apply(c *command) {
	switch c.Do {
	case doJoin:
		i, ok := s.find(c.Name)
		switch {
		case ok && s.Roster[i].Life == c.Life, c.Name == "", !ok && len(s.Roster) >= rosterMost:
			return
		case ok:
			s.Roster[i].Life = c.Life
		default:
			s.Roster = slices.Insert(s.Roster, i, place{c.Name, c.Life})
		}
		s.Version++
	case doOut:
		if i, ok := s.find(c.Name); ok && s.Roster[i].Life == c.Life {
			s.Roster = slices.Delete(s.Roster, i, i+1)
			s.Version++
		}
	case doPropose:
		s.propose(c)
	case doCommit:
		// Who came into the roster since all had it may not have it: then it is looked at anew.
		if s.Pending != nil && s.Pending.ID == c.ID && s.Version == c.Version {
			s.commit()
		}
	case doDrop:
		if s.Pending != nil && s.Pending.ID == c.ID {
			s.end(*s.Pending, false, c.By, c.Why)
			s.Pending, s.Without = nil, nil
		} else if c.ID != "" && s.fate(c.ID).State == Unknown { // should it still be on its way, it comes too late
			s.end(Doc{ID: c.ID}, false, c.By, c.Why)
		}
	}
}

func (s *state) propose(c *command) {
	d := c.Doc
	switch {
	case d == nil || s.fate(d.ID).State != Unknown: // asked for once more
	case s.Pending != nil:
		s.end(*d, false, s.Pending.Author, fmt.Sprintf("another change is under way: %s (%s)", s.Pending.ID, s.Pending.Reason))
	case d.Digest == s.Force.Digest && s.Force.Number > 0: // the same once more is no change
		same := *d
		same.Number = s.Force.Number
		s.end(same, true, "", "it was in force already")
	case c.Base != s.Force.Number:
		s.end(*d, false, s.Force.Author, fmt.Sprintf("it was made of policy %d; in force since is %d, %s", c.Base, s.Force.Number, s.Force.ID))
	default:
		p := *d
		p.Number = s.Force.Number + 1
		s.Pending, s.Without = &p, c.Without
	}
}

// commit brings the change under way into force.
func (s *state) commit() {
	s.Force = *s.Pending
	s.Kept = append(s.Kept, s.Force)
	if n := len(s.Kept) - keptMost; n > 0 {
		s.Kept = slices.Delete(s.Kept, 0, n)
	}
	s.end(s.Force, true, "", "")
	for _, name := range s.Without {
		if i, ok := s.find(name); ok {
			s.Roster = slices.Delete(s.Roster, i, i+1)
			s.Version++
		}
	}
	s.Pending, s.Without = nil, nil
}

func (s *state) end(d Doc, inForce bool, by, why string) {
	d.Body = nil
	e := Ended{Doc: d, InForce: inForce, By: by, Why: why}
	if inForce && why == "" {
		e.Without = s.Without
	}
	s.Ended = append(s.Ended, e)
	if n := len(s.Ended) - endedMost; n > 0 {
		s.Ended = slices.Delete(s.Ended, 0, n)
	}
}

// fate is what became of a change, as far as the log says.
func (s *state) fate(id string) Fate {
	if s.Pending != nil && s.Pending.ID == id {
		return Fate{ID: id, State: UnderWay}
	}
	for i := len(s.Ended) - 1; i >= 0; i-- {
		if e := &s.Ended[i]; e.Doc.ID == id {
			f := Fate{ID: id, State: Dropped, By: e.By, Why: e.Why}
			if e.InForce {
				f.State, f.Number = InForce, e.Doc.Number
			}
			return f
		}
	}
	return Fate{ID: id}
}

// doc is a change with its text, if it is known.
func (s *state) doc(id string) *Doc {
	if s.Pending != nil && s.Pending.ID == id {
		return s.Pending
	}
	for i := len(s.Kept) - 1; i >= 0; i-- {
		if s.Kept[i].ID == id {
			return &s.Kept[i]
		}
	}
	return nil
}

// past is the last changes, and one with its text.
func (s *state) past(number uint64) *Past {
	p := &Past{Told: true, Number: number, All: s.Ended}
	for i := range s.Kept {
		if s.Kept[i].Number == number {
			d := s.Kept[i]
			p.Doc = &d
		}
	}
	return p
}

func decodeState(data []byte) (*state, error) {
	s := &state{}
	if err := decoding.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("policy: state: %w", err)
	}
	return s, nil
}
