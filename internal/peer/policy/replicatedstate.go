package policy

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// replicatedState is the state of the log's state machine. It is the same at all voters that have applied the same
// entries. As long as only the global part has been changed, it is written in format 1, so that voters of an earlier
// build can read it.
type replicatedState struct {
	Voters         []string      `cbor:"1,keyasint,omitempty"`
	Active         Document      `cbor:"2,keyasint,omitempty"` // active global document
	LegacyPending  *Document     `cbor:"3,keyasint,omitempty"` // format 1: the change being prepared; nil in memory
	LegacyExcluded []string      `cbor:"4,keyasint,omitempty"` // format 1: Excluded of that change; nil in memory
	Roster         []rosterEntry `cbor:"5,keyasint,omitempty"` // sorted by name
	RosterVersion  uint64        `cbor:"6,keyasint,omitempty"` // increases with each change of the roster
	EndedChanges   []EndedChange `cbor:"7,keyasint,omitempty"` // the last changes that ended, oldest first
	// Retained contains the last committed documents with their texts, oldest first.
	Retained       []Document      `cbor:"8,keyasint,omitempty"`
	ActiveParts    []Document      `cbor:"9,keyasint,omitempty"`  // active documents of other parts, sorted by part
	PendingChanges []pendingChange `cbor:"10,keyasint,omitempty"` // changes being prepared, oldest first
	// PartNames lists all parts that members hold or held. rosterEntry refers to parts by their index in it.
	PartNames   []string `cbor:"11,keyasint,omitempty"`
	CommitCount uint64   `cbor:"12,keyasint,omitempty"` // number of committed documents of all parts
	// Format is the format of the log: all its entries can be read by voters of this format. 0 means format 1.
	Format uint8 `cbor:"13,keyasint,omitempty"`

	partNumbers map[string]uint32 // indexes in PartNames; built when needed
	commitOrder []string          // parts in the order of their commits, where a part may repeat; built when needed
}

// pendingChange is a change being prepared.
type pendingChange struct {
	Document Document `cbor:"1,keyasint,omitempty"`
	Excluded []string `cbor:"2,keyasint,omitempty"` // members that the author declared to be down
	// MinRosterVersion is the RosterVersion at which a member that the change affects last joined the roster. A commit
	// that was decided by an earlier version may lack that member.
	MinRosterVersion uint64 `cbor:"3,keyasint,omitempty"`
}

// rosterEntry is the entry of one member in the roster. The member may admit requests by the active documents.
type rosterEntry struct {
	Name  string `cbor:"1,keyasint,omitempty"`
	RunID uint64 `cbor:"2,keyasint,omitempty"`
	// PartNumbers are the parts that the member holds besides the global one, as sorted indexes in PartNames.
	PartNumbers []uint32 `cbor:"3,keyasint,omitempty"`
	Format      uint8    `cbor:"4,keyasint,omitempty"` // 0: the member joined in format 1, and counts for every part
}

// EndedChange is a change with its final outcome.
type EndedChange struct {
	Document  Document `cbor:"1,keyasint,omitempty" json:"Doc"` // the change without its texts
	Committed bool     `cbor:"2,keyasint,omitempty" json:"InForce"`
	AbortedBy string   `cbor:"3,keyasint,omitempty" json:"By"`
	Reason    string   `cbor:"4,keyasint,omitempty" json:"Why"` // why it was aborted, or committed without being prepared
	Excluded  []string `cbor:"5,keyasint,omitempty" json:"Without"`
}

// Bounds of the replicated state. All voters have to use the same bounds.
const (
	// maxEndedChanges bounds the number of outcomes that can be looked up.
	maxEndedChanges = 256
	// maxRetainedPolicies bounds the number of retained documents of the global part, to which an operator can return.
	maxRetainedPolicies = 16
	// maxRetainedPerPart bounds the number of retained documents of each other part, besides the active one: see
	// maxActiveBytes.
	maxRetainedPerPart = 1
	// maxRosterSize bounds the number of members of a fleet.
	maxRosterSize = 20000
	// maxPartNames bounds the number of names of parts that were ever held.
	maxPartNames = 1 << 16
	// maxPendingChanges bounds the number of changes being prepared at once: ten times the number of changes in the
	// busiest minute.
	maxPendingChanges = 512
)

// encodeState encodes a state, in format 1 if that format can express the state.
func encodeState(s *replicatedState) []byte {
	written := *s
	if len(s.PendingChanges) == 1 && s.PendingChanges[0].Document.isGlobalOnly() {
		written.LegacyPending = &s.PendingChanges[0].Document
		written.LegacyExcluded = s.PendingChanges[0].Excluded
		written.PendingChanges = nil
	}
	return encode(&written)
}

// decodeState decodes a state of either format.
func decodeState(data []byte) (*replicatedState, error) {
	s := &replicatedState{}
	if err := decoding.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("policy: decode the replicated state: %w", err)
	}
	if s.LegacyPending != nil {
		s.PendingChanges = append(s.PendingChanges, pendingChange{
			Document:         *s.LegacyPending,
			Excluded:         s.LegacyExcluded,
			MinRosterVersion: s.RosterVersion,
		})
		s.LegacyPending = nil
		s.LegacyExcluded = nil
	}
	if s.CommitCount == 0 { // in format 1 the number of the only part counts the commits
		s.CommitCount = s.Active.Number
		s.Active.CommitIndex = s.Active.Number
	}
	return s, nil
}

// partsHash returns a hash of the sorted names of parts, or 0 if the list is empty.
func partsHash(parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write(append([]byte(part), 0)) // never fails
	}
	return max(1, h.Sum64())
}

// findMember returns the index of a member in the roster, or the index at which it would be inserted.
func (s *replicatedState) findMember(name string) (index int, found bool) {
	return slices.BinarySearchFunc(s.Roster, name, func(e rosterEntry, n string) int { return strings.Compare(e.Name, n) })
}

// inRoster reports whether this run of a member is in the roster.
func (s *replicatedState) inRoster(name string, runID uint64) bool {
	i, ok := s.findMember(name)
	return ok && s.Roster[i].RunID == runID
}

// partNumber returns a part's index in PartNames. known is false if no member ever held the part.
func (s *replicatedState) partNumber(part string) (number uint32, known bool) {
	if s.partNumbers == nil || len(s.partNumbers) != len(s.PartNames) {
		s.partNumbers = make(map[string]uint32, len(s.PartNames))
		for i, name := range s.PartNames {
			s.partNumbers[name] = uint32(i)
		}
	}
	number, known = s.partNumbers[part]
	return number, known
}

// addPartNumber returns a part's index in PartNames, and adds the part if it is not there. ok is false if PartNames is
// full.
func (s *replicatedState) addPartNumber(part string) (number uint32, ok bool) {
	if number, known := s.partNumber(part); known {
		return number, true
	}
	if len(s.PartNames) >= maxPartNames {
		return 0, false
	}
	number = uint32(len(s.PartNames))
	s.PartNames = append(s.PartNames, part)
	s.partNumbers[part] = number
	return number, true
}

// holdsPart reports whether a member holds a part. A member that joined in format 1 counts as holding every part.
func (s *replicatedState) holdsPart(e *rosterEntry, part string) bool {
	if part == "" || e.Format == 0 {
		return true
	}
	number, known := s.partNumber(part)
	if !known {
		return false
	}
	_, holds := slices.BinarySearch(e.PartNumbers, number)
	return holds
}

// affects reports whether a change has a part that a member holds.
func (s *replicatedState) affects(change *Document, e *rosterEntry) bool {
	return s.holdsPart(e, change.Part) ||
		slices.ContainsFunc(change.AdditionalParts, func(d Document) bool { return s.holdsPart(e, d.Part) })
}

// affectedMembers returns the members that a change affects. The result is not nil.
func (s *replicatedState) affectedMembers(change *Document) []rosterEntry {
	affected := []rosterEntry{}
	for i := range s.Roster {
		if s.affects(change, &s.Roster[i]) {
			affected = append(affected, s.Roster[i])
		}
	}
	return affected
}

// partNamesOf returns the sorted names of the parts that a member holds besides the global one.
func (s *replicatedState) partNamesOf(e *rosterEntry) []string {
	var names []string
	for _, number := range e.PartNumbers {
		if int(number) < len(s.PartNames) {
			names = append(names, s.PartNames[number])
		}
	}
	slices.Sort(names)
	return names
}

// activeDocument returns the active document of a part. Its Number is 0 if the part has none.
func (s *replicatedState) activeDocument(part string) *Document {
	if part == "" {
		return &s.Active
	}
	if i, ok := s.findActivePart(part); ok {
		return &s.ActiveParts[i]
	}
	return &Document{Part: part}
}

// findActivePart returns the index of a part in ActiveParts, or the index at which it would be inserted.
func (s *replicatedState) findActivePart(part string) (index int, found bool) {
	return slices.BinarySearchFunc(s.ActiveParts, part, func(d Document, p string) int { return strings.Compare(d.Part, p) })
}

// findPending returns the change being prepared that has an ID, or nil if no such change is being prepared.
func (s *replicatedState) findPending(id string) *pendingChange {
	for i := range s.PendingChanges {
		if s.PendingChanges[i].Document.ID == id {
			return &s.PendingChanges[i]
		}
	}
	return nil
}

// changeStatus returns the status of a change according to the log.
func (s *replicatedState) changeStatus(id string) ChangeStatus {
	if s.findPending(id) != nil {
		return ChangeStatus{ID: id, State: ChangePreparing}
	}
	for i := len(s.EndedChanges) - 1; i >= 0; i-- {
		if ended := &s.EndedChanges[i]; ended.Document.ID == id {
			return ended.status()
		}
	}
	return ChangeStatus{ID: id}
}

func (e *EndedChange) status() ChangeStatus {
	status := ChangeStatus{ID: e.Document.ID, State: ChangeAborted, AbortedBy: e.AbortedBy, Reason: e.Reason}
	if !e.Committed {
		return status
	}
	status.State = ChangeCommitted
	status.Number = e.Document.Number
	if e.Document.isGlobalOnly() {
		return status
	}
	for _, d := range e.Document.Documents() {
		status.Parts = append(status.Parts, DocumentRef{Part: d.Part, Number: d.Number})
	}
	return status
}

// changeDocuments returns a change, reduced to the parts that a member holds and to the documents that are still
// retained. It returns nil if no document remains.
func (s *replicatedState) changeDocuments(id string, holds func(part string) bool) *Document {
	if pending := s.findPending(id); pending != nil {
		return pending.Document.filterParts(holds)
	}
	var documents []Document
	add := func(d *Document) {
		hasPart := slices.ContainsFunc(documents, func(x Document) bool { return x.Part == d.Part })
		if d.ID == id && !hasPart && holds(d.Part) {
			documents = append(documents, *d)
		}
	}
	add(&s.Active)
	for i := range s.ActiveParts {
		add(&s.ActiveParts[i])
	}
	for i := len(s.Retained) - 1; i >= 0; i-- {
		add(&s.Retained[i])
	}
	return joinDocuments(documents)
}

// partFilter returns a function that selects the parts of a change to send to a member that fetches the change: the
// global part and the parts that the member lists; if it lists none, the parts that its roster entry has; if it is not
// in the roster, all parts.
func (s *replicatedState) partFilter(name string, named []string) func(part string) bool {
	if len(named) > 0 {
		return func(part string) bool { return part == "" || slices.Contains(named, part) }
	}
	if i, ok := s.findMember(name); ok {
		entry := s.Roster[i]
		return func(part string) bool { return s.holdsPart(&entry, part) }
	}
	return func(string) bool { return true }
}

// committedSince returns those active documents of a member's parts that were committed after a CommitIndex, in the
// order of their commits. Its cost is proportional to the number of later commits.
func (s *replicatedState) committedSince(index uint64, holds func(part string) bool) (refs []DocumentRef) {
	if index >= s.CommitCount {
		return nil
	}
	if len(s.commitOrder) == 0 {
		s.rebuildCommitOrder()
	}
	seen := map[string]bool{}
	for _, part := range slices.Backward(s.commitOrder) {
		d := s.activeDocument(part)
		if seen[d.Part] {
			continue
		}
		if d.CommitIndex <= index {
			break // all remaining documents were committed earlier
		}
		seen[d.Part] = true
		if holds(d.Part) {
			refs = append(refs, DocumentRef{Part: d.Part, Number: d.Number, ID: d.ID})
		}
	}
	slices.Reverse(refs)
	return refs
}

// rebuildCommitOrder builds commitOrder from the active documents.
func (s *replicatedState) rebuildCommitOrder() {
	active := []*Document{&s.Active}
	for i := range s.ActiveParts {
		active = append(active, &s.ActiveParts[i])
	}
	slices.SortFunc(active, func(a, b *Document) int { return cmp.Compare(a.CommitIndex, b.CommitIndex) })
	for _, d := range active {
		s.commitOrder = append(s.commitOrder, d.Part)
	}
}

// history returns the last changes, and the document of a part with the given number. For a part other than the global
// one, number 0 selects the active document.
func (s *replicatedState) history(part string, number uint64) *History {
	h := &History{IsResponse: true, Part: part, Number: number, Changes: s.EndedChanges}
	active := *s.activeDocument(part)
	if active.Number > 0 && (active.Number == number || number == 0 && part != "") {
		h.Document = &active
	}
	for _, d := range s.Retained {
		if d.Number == number && d.Part == part {
			h.Document = &d
		}
	}
	return h
}
