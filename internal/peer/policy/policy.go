// Package policy has the agents of a fleet agree on what they decide by. The policy has parts, one for what holds for all
// ("") and one for each service that has any; each part has its own number, one text of a part is in force at a time, and a
// change takes hold at every member that holds one of its parts, or nowhere. It decides only: messages, time, what the disk has
// taken and what the operators ask come in as events; messages, what is to be kept, and what the daemon is to serve by go
// out as actions. No clock, socket, file or goroutine; its own chance is from a seed.
//
// A few members, the voters, keep a log of the changes by Raft (Ongaro and Ousterhout, 2014; go.etcd.io/raft, a state
// machine without I/O). The log holds who is in the fleet's roster (state.go), the change under way, and what became of
// the last ones. Everybody else, and the voters as well, is a member (member.go): it asks the voters now and then, keeps
// changes that are under way and concern it on its disk, and says so. The voter that leads (steward.go) brings a change
// into force once all that it concerns have it on their disks, or certainly take no requests; else it drops it.
//
// docs/design/policy.md has the claims, what they rest on, and the argument for each.
package policy

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"
)

// FormatVersion is the version of messages, log and disk that this build writes. FormatVersion 1 had one part, "", and one change at a time; what
// it wrote is understood. Of voters or members of form 1 nothing is asked that they don't know.
const FormatVersion = 2

// Document is the text of a part, and the change that made it; or a change, with the texts of all its parts.
type Document struct {
	Number          uint64     `cbor:"1,keyasint,omitempty" json:"Number"` // of the part's texts that came into force, from 1; 0: what each daemon's own file says
	ID              string     `cbor:"2,keyasint,omitempty" json:"ID"`     // of the change
	Digest          string     `cbor:"3,keyasint,omitempty" json:"Digest"` // see DigestOf
	Body            []byte     `cbor:"4,keyasint,omitempty" json:"Body"`   // the file's text
	Author          string     `cbor:"5,keyasint,omitempty" json:"Author"` // the member at which it was asked for, and who asked
	Reason          string     `cbor:"6,keyasint,omitempty" json:"Reason"`
	CreatedMS       int64      `cbor:"7,keyasint,omitempty" json:"At"`    // ms, Unix, by the author's clock: for people
	Part            string     `cbor:"8,keyasint,omitempty" json:"Part"`  // a service's name; empty: what holds for all
	CommitIndex     uint64     `cbor:"9,keyasint,omitempty" json:"Order"` // among all texts of all parts that came into force
	AdditionalParts []Document `cbor:"10,keyasint,omitempty" json:"More"` // the change's other parts: they come into force with it, or not at all
}

// Documents are a change's parts, one by one. The texts have the change's ID, and no More.
func (d *Document) Documents() []Document {
	one := *d
	one.AdditionalParts = nil
	all := []Document{one}
	for _, x := range d.AdditionalParts {
		x.ID, x.Author, x.Reason, x.CreatedMS, x.AdditionalParts = d.ID, d.Author, d.Reason, d.CreatedMS, nil
		all = append(all, x)
	}
	return all
}

// Includes reports whether a change is one of a part.
func (d *Document) Includes(part string) bool {
	return d.Part == part || slices.ContainsFunc(d.AdditionalParts, func(x Document) bool { return x.Part == part })
}

// isGlobalOnly reports whether form 1 has it as well.
func (d *Document) isGlobalOnly() bool { return d.Part == "" && len(d.AdditionalParts) == 0 }

// filterParts is a change with those of its parts that a member holds; nil: it holds none.
func (d *Document) filterParts(holds func(part string) bool) *Document {
	texts := slices.DeleteFunc(d.Documents(), func(x Document) bool { return !holds(x.Part) })
	return joinDocuments(texts)
}

// joinDocuments makes a change of its texts; nil: there are none.
func joinDocuments(texts []Document) *Document {
	if len(texts) == 0 {
		return nil
	}
	c := texts[0]
	for _, x := range texts[1:] {
		c.AdditionalParts = append(c.AdditionalParts, Document{Part: x.Part, Number: x.Number, Digest: x.Digest, Body: x.Body, CommitIndex: x.CommitIndex})
	}
	return &c
}

// DocumentRef says which text of a part is in force.
type DocumentRef struct {
	Part   string `cbor:"1,keyasint,omitempty" json:"part"`
	Number uint64 `cbor:"2,keyasint,omitempty" json:"number"`
	ID     string `cbor:"3,keyasint,omitempty" json:"id,omitempty"`
}

// Bounds of a change.
const (
	MaxBodyBytes      = 64 << 10  // bytes of a part
	MaxChangeBytes    = 128 << 10 // and of all parts of one change: two go into a message of the log
	maxPartsPerChange = 16        // parts of a change
	MaxPartNameBytes  = 64        // bytes of a part's name
	MaxPartsPerMember = 1024      // parts that a member holds: more than the services of the largest fleet thought of
	maxActiveBytes    = 1 << 20   // bytes of all parts in force: with the texts before them a snapshot is half of what a stream takes
	MaxReasonBytes    = 500       // and of the reason for it
	maxListedMembers  = 16        // members that an answer names
)

// DigestOf is the first 16 bytes of a text's SHA-256, in hexadecimal.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// Settings are fixed for the life of a Node.
type Settings struct {
	Name   string
	RunID  uint64
	Voters []string // at the very beginning; later ones are agreed on
	// Stops: a member that is cut off takes no more requests once its lease has ended, and changes go on without it.
	// Else it serves on, and a change is dropped while a member can't be reached.
	StopWhenIsolated bool
	ServeLastKnown   bool          // a member that starts and finds nobody serves by the last policy that it knows
	Lease            time.Duration // default Lease
	PrepareTimeout   time.Duration // a change has so long to reach all; default Within
	StandaloneAfter  time.Duration // a start that finds nobody for so long is alone; default Alone
	ClockDrift       float64       // by which rates of clocks may differ, each way; default Drift
	Parts            []string      // that this member holds at its start, besides "": see Hold
	// Check says whether this member could serve by these texts, one of each part that it holds and that has any; must not wait.
	Check   func(all []Document) error
	Handoff *HandoffState // from the process, or the part of it, whose place this one takes without a gap; nil: none
}

// HandoffState is what a process knows that another one takes the place of.
type HandoffState struct {
	Number         uint64        `cbor:"1,keyasint,omitempty"` // in force, as it knew
	LeaseRemaining time.Duration `cbor:"2,keyasint,omitempty"` // of its lease
	Seq            uint64        `cbor:"3,keyasint,omitempty"` // its last question
	Parts          []DocumentRef `cbor:"4,keyasint,omitempty"` // that it held, with what was in force
	Format         uint8         `cbor:"5,keyasint,omitempty"` // 0: the first, whose roster counts it for every part
}

// ServedParts are those of the parts that may be served by on: what was in force is what is known here.
func (h *HandoffState) ServedParts(want []string, text func(part string) Document) (all []string) {
	if h.Format == 0 {
		return want
	}
	for _, r := range h.Parts {
		if d := text(r.Part); slices.Contains(want, r.Part) && d.Number == r.Number && d.ID == r.ID {
			all = append(all, r.Part)
		}
	}
	return all
}

// Defaults, each with where it comes from.
const (
	DefaultLease           = 5 * time.Second  // two elections of a leader (at most 3.0 s each in the mean) leave most leases alive
	DefaultPrepareTimeout  = 10 * time.Second // 200 members fetch 64 KB each from one voter in less
	DefaultStandaloneAfter = 3 * time.Second  // whoever runs answers by then
	DefaultClockDrift      = 0.01
)

func (s *Settings) applyDefaults() error {
	s.Lease, s.PrepareTimeout, s.StandaloneAfter, s.ClockDrift = cmp.Or(s.Lease, DefaultLease), cmp.Or(s.PrepareTimeout, DefaultPrepareTimeout), cmp.Or(s.StandaloneAfter, DefaultStandaloneAfter), cmp.Or(s.ClockDrift, DefaultClockDrift)
	switch n := len(s.Voters); {
	case s.Name == "" || s.RunID == 0:
		return errors.New("policy: a member has a name and a life")
	case n != 1 && n != 3 && n != 5:
		return fmt.Errorf("policy: %d voters: 1, 3 or 5 are allowed", n)
	case s.Lease < 500*time.Millisecond || s.PrepareTimeout < time.Second || s.StandaloneAfter <= 0 || s.ClockDrift < 0 || s.ClockDrift > 0.2:
		return fmt.Errorf("policy: lease %v, within %v, alone %v, drift %v make no sense", s.Lease, s.PrepareTimeout, s.StandaloneAfter, s.ClockDrift)
	}
	parts, err := normalizeParts(s.Parts)
	if err != nil {
		return err
	}
	s.Parts = parts
	for i, v := range s.Voters {
		if v == "" || slices.Index(s.Voters, v) != i {
			return fmt.Errorf("policy: voter %q is no name, or is there twice", v)
		}
	}
	return nil
}

// normalizeParts are a member's parts, in order, each once; "" is everybody's and not named.
func normalizeParts(names []string) ([]string, error) {
	all := slices.Compact(slices.Sorted(slices.Values(names)))
	all = slices.DeleteFunc(all, func(p string) bool { return p == "" })
	if len(all) > MaxPartsPerMember {
		return nil, fmt.Errorf("policy: a member with %d parts: up to %d are allowed", len(all), MaxPartsPerMember)
	}
	for _, p := range all {
		if len(p) > MaxPartNameBytes {
			return nil, fmt.Errorf("policy: part %q: names have up to %d bytes", p, MaxPartNameBytes)
		}
	}
	return all, nil
}

// LeaseExpiry is when what a member was told has certainly lapsed, counted from when the leader told it: the member counts
// Lease from when it asked, which was earlier, and its clock may be slow where the leader's is fast.
func (s *Settings) LeaseExpiry() time.Duration {
	return time.Duration(float64(s.Lease) * (1 + s.ClockDrift) / (1 - s.ClockDrift))
}

// Event is something that happened by the time of a Step.
type Event interface{ event() }

type (
	// Received is a message of another member, or of this one to itself.
	Received struct {
		From    string
		Message *Message
	}
	// Persisted says that what was given to the disk up to a number is on it, or, with an error, that the one of this
	// number is not and never will be.
	Persisted struct {
		Seq uint64
		Err error
	}
	// MembersChanged are what the fleet's view knows of others.
	MembersChanged struct{ Members []MemberInfo }
	// Propose asks for a change.
	Propose struct{ Proposal Proposal }
	// WatchChange asks what becomes of a change, for a while.
	WatchChange struct{ ID string }
	// ReplaceVoter asks for another voter in place of one; either may be empty: one more, or one fewer.
	ReplaceVoter struct{ Add, Remove string }
	// Rescue makes this voter the only one, by an operator's word: what only the others knew is given up.
	Rescue struct{}
	// TrustDisk has a voter take part though it can't prove that its disk is as it was: an operator's word.
	TrustDisk struct{}
	// RenewNow has it ask the leader now.
	RenewNow struct{}
	// SetParts says which parts this member holds from now on, besides "". One that it did not hold before is not served by until
	// Serving says so; by one that it holds no more nothing is served any more when this event comes.
	SetParts struct{ Parts []string }
	// History asks a voter for the last changes, and for the text of the policy of a number; with Told it is the answer.
	History struct {
		IsResponse bool          `cbor:"1,keyasint,omitempty" json:"Told"`
		Number     uint64        `cbor:"2,keyasint,omitempty" json:"Number"`
		Changes    []EndedChange `cbor:"3,keyasint,omitempty" json:"All"`  // oldest first
		Document   *Document     `cbor:"4,keyasint,omitempty" json:"Doc"`  // nil: it is not kept any more
		Part       string        `cbor:"5,keyasint,omitempty" json:"Part"` // whose number it is
	}
	// NameOwnership says that this process has its name for itself.
	NameOwnership struct{ Exclusive bool }
)

func (Received) event()       {}
func (Persisted) event()      {}
func (MembersChanged) event() {}
func (Propose) event()        {}
func (WatchChange) event()    {}
func (ReplaceVoter) event()   {}
func (Rescue) event()         {}
func (TrustDisk) event()      {}
func (NameOwnership) event()  {}
func (RenewNow) event()       {}
func (SetParts) event()       {}
func (History) event()        {}

// MemberInfo is a member as the view has it.
type MemberInfo struct {
	Name     string
	RunID    uint64
	Departed bool // by its own word, or an operator's
}

// Action is something to be done, in the order given.
type Action interface{ action() }

type (
	// Send is a message to a member. It may be lost.
	Send struct {
		To      string
		Message *Message
	}
	// Persist is to be on the disk, in order, each whole or not at all, before Persisted says so.
	Persist struct {
		Seq   uint64
		Batch Batch
	}
	// ServingChanged is what this member is to serve by from now on.
	ServingChanged struct{ Serving Serving }
	// Log is a line for people.
	Log struct {
		Text  string
		Error bool
	}
)

func (Send) action()           {}
func (Persist) action()        {}
func (ServingChanged) action() {}
func (Log) action()            {}

// Never is a time that does not come.
const Never = time.Duration(1<<62 - 1)

// Serving is what a member serves by.
type Serving struct {
	Document    *Document     // the part "". Number 0: what its own file says
	Parts       []Document    // the others that it holds and that have a text in force, by name
	ServedParts []string      // the parts that it may serve by, besides "": with a text, or by its own file
	Preparing   []*Document   // not empty: only what those in force and these changes all allow
	Until       time.Duration // no request is taken from then on, by this member's clock
	Standalone  bool          // it found nobody, and its file says that it serves all the same
	Blocked     string        // none is taken
}

// Batch is what goes to the disk together. What is nil stays as it is there.
type Batch struct {
	Wipe          bool     // first: all of the voter's part goes
	HardState     []byte   // Raft's hard state (protobuf)
	Snapshot      []byte   // Raft's snapshot (protobuf); entries up to it may go
	Entries       [][]byte // Raft's entries (protobuf), in order; those on the disk from the first of them on go
	FirstIndex    uint64   // the index of the first
	CompactBefore uint64   // entries before this index may go
	Member        []byte   // the member's part
	Epoch         uint64   // of the voter's part, where there is any of it
}

// StoredState is what was on it at the start: the last of each part.
type StoredState struct {
	HardState, Snapshot, Member []byte
	Entries                     [][]byte
	Epoch                       uint64
	// Proved: it is as this member's last process left it, for certain. Else it may be an earlier one, restored.
	ProvenCurrent bool
}

// Message is what members tell one another. A field that a version does not know is skipped.
type Message struct {
	Epoch            uint64            `cbor:"1,keyasint,omitempty"` // of the sender's voters
	Raft             []byte            `cbor:"2,keyasint,omitempty"` // a message of Raft's (protobuf)
	LeaseRequest     *LeaseRequest     `cbor:"3,keyasint,omitempty"`
	LeaseResponse    *LeaseResponse    `cbor:"4,keyasint,omitempty"`
	To               string            `cbor:"5,keyasint,omitempty"` // of an answer on its way through another voter
	Notify           bool              `cbor:"6,keyasint,omitempty"` // there is news: ask
	PositionRequest  *PositionRequest  `cbor:"7,keyasint,omitempty"`
	PositionResponse *PositionResponse `cbor:"8,keyasint,omitempty"`
	Fetch            string            `cbor:"9,keyasint,omitempty"` // the change of this ID is wanted
	Document         *Document         `cbor:"10,keyasint,omitempty"`
	Proposal         *Proposal         `cbor:"11,keyasint,omitempty"`
	ReplaceVoter     *ReplaceVoter     `cbor:"12,keyasint,omitempty"`
	Hops             int               `cbor:"13,keyasint,omitempty"` // of what voters pass on to their leader
	History          *History          `cbor:"14,keyasint,omitempty"`
	Parts            []string          `cbor:"15,keyasint,omitempty"` // of a Fetch: the parts of that change that are wanted; none: all
}

// Large reports whether a message may be too large for a datagram.
func (m *Message) Large() bool {
	return len(m.Raft) > 900 || m.Document != nil || m.Proposal != nil || m.History != nil
}

// LeaseRequest is a member's question: what is in force, and may I go on. It says how the member stands.
type LeaseRequest struct {
	Name             string   `cbor:"1,keyasint,omitempty"`
	RunID            uint64   `cbor:"2,keyasint,omitempty"`
	Seq              uint64   `cbor:"3,keyasint,omitempty"`
	ActiveNumber     uint64   `cbor:"4,keyasint,omitempty"` // the number that it serves by
	Prepared         string   `cbor:"5,keyasint,omitempty"` // the change that it has on its disk, and can serve by
	RejectedID       string   `cbor:"6,keyasint,omitempty"` // the change that it can't serve by ...
	RejectReason     string   `cbor:"7,keyasint,omitempty"` // ... and why
	Join             bool     `cbor:"8,keyasint,omitempty"` // it would be in the roster
	StatusOf         []string `cbor:"9,keyasint,omitempty"` // changes of which it would know what became
	Through          string   `cbor:"10,keyasint,omitempty"`
	StopWhenIsolated bool     `cbor:"11,keyasint,omitempty"` // its settings, which have to be the leader's
	LeaseMS          uint32   `cbor:"12,keyasint,omitempty"`
	LeaseExpired     bool     `cbor:"13,keyasint,omitempty"` // its lease is over: it takes nothing
	// From form 2 on.
	Format      uint8    `cbor:"14,keyasint,omitempty"`
	KnownUpTo   uint64   `cbor:"15,keyasint,omitempty"` // it knows all that came into force up to this Order; 0: nothing
	PreparedIDs []string `cbor:"16,keyasint,omitempty"` // all changes that it has on its disk, and can serve by; in place of Prepared
	PartsHash   uint64   `cbor:"17,keyasint,omitempty"` // the sum of the parts that it holds: see sumOf
	Parts       []string `cbor:"18,keyasint,omitempty"` // these, where the voters may not know them
}

// LeaseResponse is the leader's. It was certainly the leader after the question had come.
type LeaseResponse struct {
	Seq          uint64         `cbor:"1,keyasint,omitempty"`
	Leader       string         `cbor:"2,keyasint,omitempty"`
	InRoster     bool           `cbor:"3,keyasint,omitempty"` // this life is in the roster: it may serve by what is in force
	ActiveNumber uint64         `cbor:"4,keyasint,omitempty"`
	ActiveID     string         `cbor:"5,keyasint,omitempty"`
	Pending      string         `cbor:"6,keyasint,omitempty"`
	Voters       []string       `cbor:"7,keyasint,omitempty"`
	Statuses     []ChangeStatus `cbor:"8,keyasint,omitempty"`
	Refusal      string         `cbor:"9,keyasint,omitempty"` // why it is not taken into the roster
	// From form 2 on.
	Format            uint8         `cbor:"10,keyasint,omitempty"`
	CommittedUpTo     uint64        `cbor:"11,keyasint,omitempty"` // Order of the last that came into force
	Changed           []DocumentRef `cbor:"12,keyasint,omitempty"` // of its parts: what came into force since the question's Upto
	Complete          bool          `cbor:"13,keyasint,omitempty"` // these are all that are in force
	PendingIDs        []string      `cbor:"14,keyasint,omitempty"` // changes under way that concern it
	PartsHash         uint64        `cbor:"15,keyasint,omitempty"` // the sum of the parts that the roster has for it
	CountsForAllParts bool          `cbor:"16,keyasint,omitempty"` // the roster has none for it, and counts it for every part
	PartsRequested    bool          `cbor:"17,keyasint,omitempty"` // they are wanted
}

// ChangeStatus is what became of a change.
type ChangeStatus struct {
	ID        string      `cbor:"1,keyasint,omitempty" json:"id"`
	State     ChangeState `cbor:"2,keyasint,omitempty" json:"-"`
	Number    uint64      `cbor:"3,keyasint,omitempty" json:"number,omitempty"` // in force: its number
	AbortedBy string      `cbor:"4,keyasint,omitempty" json:"by,omitempty"`     // dropped: by whom
	Reason    string      `cbor:"5,keyasint,omitempty" json:"why,omitempty"`
	// Under way: members that have it on their disks, all that have to, and some that have not.
	PreparedMembers int           `cbor:"6,keyasint,omitempty" json:"have,omitempty"`
	RequiredMembers int           `cbor:"7,keyasint,omitempty" json:"of,omitempty"`
	Missing         []string      `cbor:"8,keyasint,omitempty" json:"missing,omitempty"`
	Parts           []DocumentRef `cbor:"9,keyasint,omitempty" json:"parts,omitempty"` // in force: of one of services' parts, or of several, all their numbers
}

// ChangeState is a change's.
type ChangeState uint8

const (
	ChangeUnknown ChangeState = iota
	ChangePreparing
	ChangeCommitted
	ChangeAborted
)

func (s ChangeState) String() string {
	return [...]string{"unknown", "under way", "in force", "dropped"}[min(s, ChangeAborted)]
}

// Proposal is a change that is asked for.
type Proposal struct {
	Document Document `cbor:"1,keyasint,omitempty"`
	Base     uint64   `cbor:"2,keyasint,omitempty"` // the number in force that its author saw
	Excluded []string `cbor:"3,keyasint,omitempty"` // members that are down, by the author's word
	AbortID  string   `cbor:"4,keyasint,omitempty"` // no change: the one of this ID is to be dropped
	Bases    []uint64 `cbor:"5,keyasint,omitempty"` // as Base, of the parts in Doc.More
}

// Check says what is wrong with a proposal that came from elsewhere.
func (p *Proposal) Check() error {
	switch {
	case p.AbortID != "":
		return nil
	case p.Document.ID == "" || len(p.Document.ID) > 64:
		return errors.New("a change needs an ID of 1 to 64 characters")
	case len(p.Document.AdditionalParts) >= maxPartsPerChange:
		return fmt.Errorf("a change of %d parts: up to %d are allowed", len(p.Document.AdditionalParts)+1, maxPartsPerChange)
	case len(p.Bases) != len(p.Document.AdditionalParts):
		return fmt.Errorf("a change of %d parts made of %d", len(p.Document.AdditionalParts)+1, len(p.Bases)+1)
	case len(p.Document.Reason) > MaxReasonBytes || len(p.Document.Author) > MaxReasonBytes:
		return fmt.Errorf("reason and author: up to %d bytes are allowed", MaxReasonBytes)
	case len(p.Excluded) > 1000:
		return fmt.Errorf("without %d members: up to 1000 are allowed", len(p.Excluded))
	}
	size, seen := 0, map[string]bool{}
	for _, x := range p.Document.Documents() {
		size += len(x.Body)
		switch {
		case len(x.Part) > MaxPartNameBytes:
			return fmt.Errorf("part %q: names have up to %d bytes", x.Part, MaxPartNameBytes)
		case seen[x.Part]:
			return fmt.Errorf("part %q is there twice", x.Part)
		case len(x.Body) > MaxBodyBytes:
			return fmt.Errorf("part %q has %d bytes: up to %d are allowed", x.Part, len(x.Body), MaxBodyBytes)
		case x.Digest != DigestOf(x.Body):
			return fmt.Errorf("part %q: its digest does not fit its text", x.Part)
		}
		seen[x.Part] = true
	}
	if size > MaxChangeBytes {
		return fmt.Errorf("a change of %d bytes: up to %d are allowed", size, MaxChangeBytes)
	}
	return nil
}

// PositionRequest is a voter's question, at its start, to the other voters: how far are you. See voter.hearing.
type PositionRequest struct {
	Number    uint64 `cbor:"1,keyasint,omitempty"` // of this start
	LastTerm  uint64 `cbor:"2,keyasint,omitempty"`
	LastIndex uint64 `cbor:"3,keyasint,omitempty"`
}

// PositionResponse is the answer.
type PositionResponse struct {
	Number        uint64   `cbor:"1,keyasint,omitempty"`
	ProvenCurrent bool     `cbor:"2,keyasint,omitempty"` // it takes part, or its disk is as it was
	Term          uint64   `cbor:"3,keyasint,omitempty"`
	LastTerm      uint64   `cbor:"4,keyasint,omitempty"`
	LastIndex     uint64   `cbor:"5,keyasint,omitempty"`
	Voters        []string `cbor:"6,keyasint,omitempty"`
	Applied       uint64   `cbor:"7,keyasint,omitempty"`
	Start         uint64   `cbor:"8,keyasint,omitempty"` // of the one that answers: the Number of its own calls; 0: it does not say
}
