package policy

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// replicatedState is what the voters' log has made so far. It is the same at each voter that has applied the same entries. While
// nothing but whole policies is agreed on it is written as form 1 has it: voters of an earlier build may read it.
type replicatedState struct {
	Voters         []string        `cbor:"1,keyasint,omitempty"`
	Active         Document        `cbor:"2,keyasint,omitempty"`  // the part ""
	LegacyPending  *Document       `cbor:"3,keyasint,omitempty"`  // in form 1 the change under way, else nil: see encodeState
	LegacyExcluded []string        `cbor:"4,keyasint,omitempty"`  // the same
	Roster         []rosterEntry   `cbor:"5,keyasint,omitempty"`  // by name
	RosterVersion  uint64          `cbor:"6,keyasint,omitempty"`  // of the roster: grows with each change of it
	EndedChanges   []EndedChange   `cbor:"7,keyasint,omitempty"`  // the last changes, oldest first
	Retained       []Document      `cbor:"8,keyasint,omitempty"`  // the last that were in force, with their texts, oldest first
	ActiveParts    []Document      `cbor:"9,keyasint,omitempty"`  // the other parts that have a text in force, by name
	PendingChanges []pendingChange `cbor:"10,keyasint,omitempty"` // changes under way, oldest first
	PartNames      []string        `cbor:"11,keyasint,omitempty"` // of all parts that members hold or held: places have them by number
	CommitCount    uint64          `cbor:"12,keyasint,omitempty"` // texts that came into force
	Format         uint8           `cbor:"13,keyasint,omitempty"` // of the log: nothing goes into it that voters of this form can't read; 0: the first

	partNumbers map[string]uint32 // of Names
	commitOrder []string          // parts, in the order in which they came into force; one may be there more than once
}

// pendingChange is a change that is.
type pendingChange struct {
	Document         Document `cbor:"1,keyasint,omitempty"`
	Excluded         []string `cbor:"2,keyasint,omitempty"`
	MinRosterVersion uint64   `cbor:"3,keyasint,omitempty"` // version of the roster when somebody whom it concerns last came into it
}

// rosterEntry is a member's in the roster: it may take requests by what is in force.
type rosterEntry struct {
	Name        string   `cbor:"1,keyasint,omitempty"`
	RunID       uint64   `cbor:"2,keyasint,omitempty"`
	PartNumbers []uint32 `cbor:"3,keyasint,omitempty"` // that it holds besides "", by number, in order
	Format      uint8    `cbor:"4,keyasint,omitempty"` // 0: it came in by a command of form 1, and counts for every part
}

// EndedChange is what became of a change, for ever.
type EndedChange struct {
	Document  Document `cbor:"1,keyasint,omitempty" json:"Doc"` // without its text
	Committed bool     `cbor:"2,keyasint,omitempty" json:"InForce"`
	AbortedBy string   `cbor:"3,keyasint,omitempty" json:"By"` // dropped: by whom
	Reason    string   `cbor:"4,keyasint,omitempty" json:"Why"`
	Excluded  []string `cbor:"5,keyasint,omitempty" json:"Without"`
}

const (
	maxEndedChanges     = 256
	maxRetainedPolicies = 16 // texts of the part for all
	maxRetainedPerPart  = 1  // of each other, besides the one in force
	maxRosterSize       = 20000
	maxPartNames        = 1 << 16
	maxPendingChanges   = 512 // changes under way: ten times what the worst minute has
)

type commandKind uint8

const (
	commandJoin      commandKind = iota + 1 // a member's life is in the roster from now on, or holds other parts
	commandRemove                           // a member's life is not any more: it certainly takes nothing
	commandPropose                          // a change is under way
	commandCommit                           // it is in force
	commandAbort                            // it is not, and never will be
	commandSetFormat                        // the log has another form from now on: all voters know it
	commandBatch                            // from form 2 on: several, in order
)

// command is an entry of the log.
type command struct {
	Kind          commandKind `cbor:"1,keyasint,omitempty"`
	Name          string      `cbor:"2,keyasint,omitempty"`
	RunID         uint64      `cbor:"3,keyasint,omitempty"`
	Document      *Document   `cbor:"4,keyasint,omitempty"`
	Base          uint64      `cbor:"5,keyasint,omitempty"`
	Excluded      []string    `cbor:"6,keyasint,omitempty"`
	ID            string      `cbor:"7,keyasint,omitempty"`
	RosterVersion uint64      `cbor:"8,keyasint,omitempty"` // of a commit: the roster of which all have it
	AbortedBy     string      `cbor:"9,keyasint,omitempty"`
	Reason        string      `cbor:"10,keyasint,omitempty"`
	Bases         []uint64    `cbor:"11,keyasint,omitempty"`
	Parts         []string    `cbor:"12,keyasint,omitempty"` // of a join
	Format        uint8       `cbor:"13,keyasint,omitempty"` // of a join, 0: Parts are not known; of doForm: the new one
	Commands      []command   `cbor:"14,keyasint,omitempty"` // of doMany
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

// encodeState writes it, as form 1 has it where that can say it.
func encodeState(s *replicatedState) []byte {
	c := *s
	if len(s.PendingChanges) == 1 && s.PendingChanges[0].Document.isGlobalOnly() {
		c.LegacyPending, c.LegacyExcluded, c.PendingChanges = &s.PendingChanges[0].Document, s.PendingChanges[0].Excluded, nil
	}
	return encode(&c)
}

func decodeState(data []byte) (*replicatedState, error) {
	s := &replicatedState{}
	if err := decoding.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("policy: state: %w", err)
	}
	if s.LegacyPending != nil {
		s.PendingChanges = append(s.PendingChanges, pendingChange{Document: *s.LegacyPending, Excluded: s.LegacyExcluded, MinRosterVersion: s.RosterVersion})
		s.LegacyPending, s.LegacyExcluded = nil, nil
	}
	if s.CommitCount == 0 { // form 1 counted them by the number
		s.CommitCount, s.Active.CommitIndex = s.Active.Number, s.Active.Number
	}
	return s, nil
}

// partsHash is a sum of parts' names, in order; 0: there are none.
func partsHash(parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write(append([]byte(p), 0)) // a hash takes all
	}
	return max(1, h.Sum64())
}

// findMember is where a name stands in the roster, or belongs.
func (s *replicatedState) findMember(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Roster, name, func(p rosterEntry, n string) int { return strings.Compare(p.Name, n) })
}

// inRoster reports whether a member's life is in the roster.
func (s *replicatedState) inRoster(name string, life uint64) bool {
	i, ok := s.findMember(name)
	return ok && s.Roster[i].RunID == life
}

// partNumber is the number that places have for a part; false: nobody ever held it.
func (s *replicatedState) partNumber(part string) (uint32, bool) {
	if s.partNumbers == nil || len(s.partNumbers) != len(s.PartNames) {
		s.partNumbers = make(map[string]uint32, len(s.PartNames))
		for i, n := range s.PartNames {
			s.partNumbers[n] = uint32(i)
		}
	}
	n, ok := s.partNumbers[part]
	return n, ok
}

// holdsPart reports whether a member holds a part.
func (s *replicatedState) holdsPart(p *rosterEntry, part string) bool {
	if part == "" || p.Format == 0 {
		return true
	}
	n, ok := s.partNumber(part)
	if !ok {
		return false
	}
	_, ok = slices.BinarySearch(p.PartNumbers, n)
	return ok
}

// affects reports whether a change concerns a member.
func (s *replicatedState) affects(d *Document, p *rosterEntry) bool {
	return s.holdsPart(p, d.Part) || slices.ContainsFunc(d.AdditionalParts, func(x Document) bool { return s.holdsPart(p, x.Part) })
}

// affectedMembers are the members whom a change concerns.
func (s *replicatedState) affectedMembers(d *Document) []rosterEntry {
	all := []rosterEntry{}
	for i := range s.Roster {
		if s.affects(d, &s.Roster[i]) {
			all = append(all, s.Roster[i])
		}
	}
	return all
}

// partNamesOf are the parts of a place, in order.
func (s *replicatedState) partNamesOf(p *rosterEntry) []string {
	var all []string
	for _, n := range p.PartNumbers {
		if int(n) < len(s.PartNames) {
			all = append(all, s.PartNames[n])
		}
	}
	slices.Sort(all)
	return all
}

// activeDocument is a part's text in force; Number 0: it has none.
func (s *replicatedState) activeDocument(name string) *Document {
	if name == "" {
		return &s.Active
	}
	if i, ok := s.findActivePart(name); ok {
		return &s.ActiveParts[i]
	}
	return &Document{Part: name}
}

func (s *replicatedState) findActivePart(name string) (int, bool) {
	return slices.BinarySearchFunc(s.ActiveParts, name, func(d Document, n string) int { return strings.Compare(d.Part, n) })
}

// findPending is a change under way; nil: it is not.
func (s *replicatedState) findPending(id string) *pendingChange {
	for i := range s.PendingChanges {
		if s.PendingChanges[i].Document.ID == id {
			return &s.PendingChanges[i]
		}
	}
	return nil
}

// apply is what a command does. It depends on nothing but state and command.
func (s *replicatedState) apply(c *command) {
	switch c.Kind {
	case commandJoin:
		s.applyJoin(c)
	case commandRemove:
		if i, ok := s.findMember(c.Name); ok && s.Roster[i].RunID == c.RunID {
			s.Roster = slices.Delete(s.Roster, i, i+1)
			s.RosterVersion++
		}
	case commandPropose:
		s.applyProposal(c)
	case commandCommit:
		// Who came into the roster since all had it may not have it: then it is looked at anew. Who came and has nothing to do
		// with it does not count, nor does who left; form 1 counts them, so for what it knows as well they do.
		if u := s.findPending(c.ID); u != nil && (c.RosterVersion == s.RosterVersion || !u.Document.isGlobalOnly() && c.RosterVersion >= u.MinRosterVersion) {
			s.commitChange(u)
		}
	case commandAbort:
		if u := s.findPending(c.ID); u != nil {
			s.recordEnd(u.Document, false, c.AbortedBy, c.Reason, nil)
			s.removePending(c.ID)
		} else if c.ID != "" && s.changeStatus(c.ID).State == ChangeUnknown { // should it still be on its way, it comes too late
			s.recordEnd(Document{ID: c.ID}, false, c.AbortedBy, c.Reason, nil)
		}
	case commandSetFormat:
		s.Format = max(s.Format, c.Format)
	case commandBatch:
		for i := range c.Commands {
			if c.Commands[i].Kind != commandBatch {
				s.apply(&c.Commands[i])
			}
		}
	}
}

func (s *replicatedState) applyJoin(c *command) {
	i, ok := s.findMember(c.Name)
	p := rosterEntry{Name: c.Name, RunID: c.RunID, Format: c.Format}
	for _, name := range c.Parts {
		n, known := s.partNumber(name)
		if !known {
			if len(s.PartNames) >= maxPartNames {
				return
			}
			n = uint32(len(s.PartNames))
			s.PartNames = append(s.PartNames, name)
			s.partNumbers[name] = n
		}
		p.PartNumbers = append(p.PartNumbers, n)
	}
	slices.Sort(p.PartNumbers)
	switch {
	case c.Name == "", !ok && len(s.Roster) >= maxRosterSize:
		return
	case ok && s.Roster[i].RunID == c.RunID && (c.Format == 0 || s.Roster[i].Format == c.Format && slices.Equal(s.Roster[i].PartNumbers, p.PartNumbers)):
		return
	case ok:
		s.Roster[i] = p
	default:
		s.Roster = slices.Insert(s.Roster, i, p)
	}
	s.RosterVersion++
	for i := range s.PendingChanges {
		if s.affects(&s.PendingChanges[i].Document, &p) {
			s.PendingChanges[i].MinRosterVersion = s.RosterVersion
		}
	}
}

func (s *replicatedState) applyProposal(c *command) {
	d := c.Document
	if d == nil || s.changeStatus(d.ID).State != ChangeUnknown { // asked for once more
		return
	}
	p := *d
	p.AdditionalParts = slices.Clone(d.AdditionalParts)
	texts := p.Documents()
	same, size := true, 0
	for i, x := range texts {
		of := s.activeDocument(x.Part)
		same = same && x.Digest == of.Digest && of.Number > 0
		size += len(x.Body) - len(of.Body)
		what := ""
		if x.Part != "" {
			what = " of part " + x.Part
		}
		for j := range s.PendingChanges {
			if u := &s.PendingChanges[j].Document; u.Includes(x.Part) {
				s.recordEnd(*d, false, u.Author, fmt.Sprintf("another change%s is under way: %s (%s)", what, u.ID, u.Reason), nil)
				return
			}
		}
		base := c.Base
		if i > 0 {
			if base = 0; i <= len(c.Bases) {
				base = c.Bases[i-1]
			}
		}
		if base != of.Number && !(x.Digest == of.Digest && of.Number > 0) {
			s.recordEnd(*d, false, of.Author, fmt.Sprintf("it was made of policy %d%s; in force since is %d, %s", base, what, of.Number, of.ID), nil)
			return
		}
		number := of.Number + 1
		if i == 0 {
			p.Number = number
		} else {
			p.AdditionalParts[i-1].Number = number
		}
	}
	all := size
	for i := range s.ActiveParts {
		all += len(s.ActiveParts[i].Body)
	}
	for i := range s.PendingChanges {
		for _, x := range s.PendingChanges[i].Document.Documents() {
			all += len(x.Body)
		}
	}
	switch {
	case same: // the same once more is no change
		p.Number--
		s.recordEnd(p, true, "", "it was in force already", nil)
	case !d.isGlobalOnly() && all > maxActiveBytes:
		s.recordEnd(*d, false, d.Author, fmt.Sprintf("all parts would have %d bytes: up to %d are allowed", all, maxActiveBytes), nil)
	case len(s.PendingChanges) >= maxPendingChanges:
		s.recordEnd(*d, false, d.Author, fmt.Sprintf("%d changes are under way: no more are taken", len(s.PendingChanges)), nil)
	default:
		s.PendingChanges = append(s.PendingChanges, pendingChange{Document: p, Excluded: c.Excluded, MinRosterVersion: s.RosterVersion})
	}
}

// commitChange brings a change under way into force.
func (s *replicatedState) commitChange(u *pendingChange) {
	doc, without := u.Document, u.Excluded
	for _, x := range doc.Documents() {
		s.CommitCount++
		x.CommitIndex = s.CommitCount
		if len(s.commitOrder) > 0 { // else it is made from all when it is needed
			s.commitOrder = append(s.commitOrder, x.Part)
		}
		if x.Part == "" {
			s.Active = x
			s.retain(x, maxRetainedPolicies)
		} else if i, ok := s.findActivePart(x.Part); ok {
			s.retain(s.ActiveParts[i], maxRetainedPerPart)
			s.ActiveParts[i] = x
		} else {
			s.ActiveParts = slices.Insert(s.ActiveParts, i, x)
		}
	}
	if len(s.commitOrder) > 4*(len(s.ActiveParts)+16) {
		s.commitOrder = nil
	}
	s.recordEnd(doc, true, "", "", without)
	for _, name := range without {
		if i, ok := s.findMember(name); ok {
			s.Roster = slices.Delete(s.Roster, i, i+1)
			s.RosterVersion++
		}
	}
	s.removePending(doc.ID)
}

// retain keeps a text that came into force, and of its part the last so many.
func (s *replicatedState) retain(d Document, most int) {
	d.CommitIndex = 0
	s.Retained = append(s.Retained, d)
	n := 0
	for i := len(s.Retained) - 1; i >= 0; i-- {
		if s.Retained[i].Part == d.Part {
			if n++; n > most {
				s.Retained = slices.Delete(s.Retained, i, i+1)
			}
		}
	}
}

func (s *replicatedState) removePending(id string) {
	s.PendingChanges = slices.DeleteFunc(s.PendingChanges, func(u pendingChange) bool { return u.Document.ID == id })
}

func (s *replicatedState) recordEnd(d Document, inForce bool, by, why string, without []string) {
	d.Body = nil
	d.AdditionalParts = slices.Clone(d.AdditionalParts)
	for i := range d.AdditionalParts {
		d.AdditionalParts[i].Body = nil
	}
	s.EndedChanges = append(s.EndedChanges, EndedChange{Document: d, Committed: inForce, AbortedBy: by, Reason: why, Excluded: without})
	if n := len(s.EndedChanges) - maxEndedChanges; n > 0 {
		s.EndedChanges = slices.Delete(s.EndedChanges, 0, n)
	}
}

// changeStatus is what became of a change, as far as the log says.
func (s *replicatedState) changeStatus(id string) ChangeStatus {
	if s.findPending(id) != nil {
		return ChangeStatus{ID: id, State: ChangePreparing}
	}
	for i := len(s.EndedChanges) - 1; i >= 0; i-- {
		if e := &s.EndedChanges[i]; e.Document.ID == id {
			f := ChangeStatus{ID: id, State: ChangeAborted, AbortedBy: e.AbortedBy, Reason: e.Reason}
			if e.Committed {
				f.State, f.Number = ChangeCommitted, e.Document.Number
				if !e.Document.isGlobalOnly() {
					for _, x := range e.Document.Documents() {
						f.Parts = append(f.Parts, DocumentRef{Part: x.Part, Number: x.Number})
					}
				}
			}
			return f
		}
	}
	return ChangeStatus{ID: id}
}

// changeDocuments is a change with the texts of its parts, as far as they are known and somebody holds them; nil: there are none.
func (s *replicatedState) changeDocuments(id string, holds func(part string) bool) *Document {
	if u := s.findPending(id); u != nil {
		return u.Document.filterParts(holds)
	}
	var texts []Document
	add := func(d *Document) {
		if d.ID == id && holds(d.Part) && !slices.ContainsFunc(texts, func(x Document) bool { return x.Part == d.Part }) {
			texts = append(texts, *d)
		}
	}
	add(&s.Active)
	for i := range s.ActiveParts {
		add(&s.ActiveParts[i])
	}
	for i := len(s.Retained) - 1; i >= 0; i-- {
		add(&s.Retained[i])
	}
	return joinDocuments(texts)
}

// partFilter is what a member that fetches a change is to get of it: what it names, else what the roster has for it, else all.
func (s *replicatedState) partFilter(name string, parts []string) func(part string) bool {
	if len(parts) > 0 {
		return func(part string) bool { return part == "" || slices.Contains(parts, part) }
	}
	if i, ok := s.findMember(name); ok {
		p := s.Roster[i]
		return func(part string) bool { return s.holdsPart(&p, part) }
	}
	return func(string) bool { return true }
}

// committedSince is what came into force after an Order, of the parts that a member holds.
func (s *replicatedState) committedSince(order uint64, holds func(part string) bool) (all []DocumentRef) {
	if order >= s.CommitCount {
		return nil
	}
	if len(s.commitOrder) == 0 {
		type one struct {
			part  string
			order uint64
		}
		in := []one{{"", s.Active.CommitIndex}}
		for i := range s.ActiveParts {
			in = append(in, one{s.ActiveParts[i].Part, s.ActiveParts[i].CommitIndex})
		}
		slices.SortFunc(in, func(a, b one) int { return int(a.order) - int(b.order) })
		for _, x := range in {
			s.commitOrder = append(s.commitOrder, x.part)
		}
	}
	seen := map[string]bool{}
	for i := len(s.commitOrder) - 1; i >= 0; i-- {
		d := s.activeDocument(s.commitOrder[i])
		if seen[d.Part] {
			continue
		}
		if d.CommitIndex <= order {
			break // those before it are older still
		}
		if seen[d.Part] = true; holds(d.Part) {
			all = append(all, DocumentRef{d.Part, d.Number, d.ID})
		}
	}
	slices.Reverse(all)
	return all
}

// history is the last changes, and a part's text with its number.
func (s *replicatedState) history(part string, number uint64) *History {
	p := &History{IsResponse: true, Part: part, Number: number, Changes: s.EndedChanges}
	if d := *s.activeDocument(part); d.Number > 0 && (d.Number == number || number == 0 && part != "") {
		p.Document = &d
	}
	for i := range s.Retained {
		if s.Retained[i].Number == number && s.Retained[i].Part == part {
			d := s.Retained[i]
			p.Document = &d
		}
	}
	return p
}
