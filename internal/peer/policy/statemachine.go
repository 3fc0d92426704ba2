package policy

import (
	"fmt"
	"slices"
)

// commandKind is what a command does.
type commandKind uint8

const (
	// commandJoin takes a run of a member into the roster, or changes the parts that it holds there.
	commandJoin commandKind = iota + 1
	// commandRemove takes a run of a member out of the roster: it certainly admits no requests (it is fenced).
	commandRemove
	// commandPropose makes a change one that is being prepared.
	commandPropose
	// commandCommit makes the documents of a change active.
	commandCommit
	// commandAbort ends a change without effect, also one that has not arrived yet.
	commandAbort
	// commandSetFormat raises the format of the log: all voters can read it.
	commandSetFormat
	// commandBatch applies several commands in order; since format 2.
	commandBatch
)

// command is an entry of the log.
type command struct {
	Kind          commandKind `cbor:"1,keyasint,omitempty"`
	Name          string      `cbor:"2,keyasint,omitempty"`  // of a member that joins or is removed
	RunID         uint64      `cbor:"3,keyasint,omitempty"`  // of that member
	Document      *Document   `cbor:"4,keyasint,omitempty"`  // the proposed change
	Base          uint64      `cbor:"5,keyasint,omitempty"`  // see Proposal
	Excluded      []string    `cbor:"6,keyasint,omitempty"`  // see Proposal
	ID            string      `cbor:"7,keyasint,omitempty"`  // of a change that is committed or aborted
	RosterVersion uint64      `cbor:"8,keyasint,omitempty"`  // of a commit: of this roster all affected members have prepared it
	AbortedBy     string      `cbor:"9,keyasint,omitempty"`  // of an abort
	Reason        string      `cbor:"10,keyasint,omitempty"` // of an abort or a removal
	Bases         []uint64    `cbor:"11,keyasint,omitempty"` // see Proposal
	Parts         []string    `cbor:"12,keyasint,omitempty"` // of a join
	Format        uint8       `cbor:"13,keyasint,omitempty"` // of a join, 0: Parts are not known; of commandSetFormat: the new one
	Commands      []command   `cbor:"14,keyasint,omitempty"` // of commandBatch
}

// baseOf returns the active number from which the author made the i-th document of a proposed change.
func (c *command) baseOf(i int) uint64 {
	switch {
	case i == 0:
		return c.Base
	case i <= len(c.Bases):
		return c.Bases[i-1]
	}
	return 0
}

// apply changes the state by a command. The result depends on nothing else, so that it is the same at all voters.
func (s *replicatedState) apply(c *command) {
	switch c.Kind {
	case commandJoin:
		s.applyJoin(c)
	case commandRemove:
		if i, ok := s.findMember(c.Name); ok && s.Roster[i].RunID == c.RunID {
			s.removeMember(i)
		}
	case commandPropose:
		s.applyProposal(c)
	case commandCommit:
		s.applyCommit(c)
	case commandAbort:
		s.applyAbort(c)
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
	joining := rosterEntry{Name: c.Name, RunID: c.RunID, Format: c.Format}
	for _, part := range c.Parts {
		number, ok := s.addPartNumber(part)
		if !ok {
			return
		}
		joining.PartNumbers = append(joining.PartNumbers, number)
	}
	slices.Sort(joining.PartNumbers)
	i, found := s.findMember(c.Name)
	switch {
	case c.Name == "":
		return
	case found && s.Roster[i].isCoveredBy(&joining):
		return
	case found:
		s.Roster[i] = joining
	case len(s.Roster) >= maxRosterSize:
		return
	default:
		s.Roster = slices.Insert(s.Roster, i, joining)
	}
	s.RosterVersion++
	for i := range s.PendingChanges {
		if s.affects(&s.PendingChanges[i].Document, &joining) {
			s.PendingChanges[i].MinRosterVersion = s.RosterVersion
		}
	}
}

// isCoveredBy reports whether a join changes nothing: the same run, with the same parts or with none known.
func (e *rosterEntry) isCoveredBy(joining *rosterEntry) bool {
	if e.RunID != joining.RunID {
		return false
	}
	return joining.Format == 0 || e.Format == joining.Format && slices.Equal(e.PartNumbers, joining.PartNumbers)
}

// removeMember takes the i-th member out of the roster.
func (s *replicatedState) removeMember(i int) {
	s.Roster = slices.Delete(s.Roster, i, i+1)
	s.RosterVersion++
}

// applyProposal makes a change one that is being prepared, or aborts it if it can't be.
func (s *replicatedState) applyProposal(c *command) {
	proposed := c.Document
	if proposed == nil || s.changeStatus(proposed.ID).State != ChangeUnknown { // proposed once more
		return
	}
	change := *proposed
	change.AdditionalParts = slices.Clone(proposed.AdditionalParts)
	unchanged := true
	growth := 0 // of the texts, in bytes
	for i, d := range proposed.Documents() {
		active := s.activeDocument(d.Part)
		isActive := active.Number > 0 && d.Digest == active.Digest
		unchanged = unchanged && isActive
		growth += len(d.Body) - len(active.Body)
		if pending := s.findPendingOfPart(d.Part); pending != nil {
			s.abort(proposed, pending.Author, fmt.Sprintf("another change%s is under way: %s (%s)", partPhrase(d.Part), pending.ID, pending.Reason))
			return
		}
		if base := c.baseOf(i); base != active.Number && !isActive {
			s.abort(proposed, active.Author, fmt.Sprintf("it was made of policy %d%s; in force since is %d, %s", base, partPhrase(d.Part), active.Number, active.ID))
			return
		}
		if i == 0 {
			change.Number = active.Number + 1
		} else {
			change.AdditionalParts[i-1].Number = active.Number + 1
		}
	}
	switch total := growth + s.partBytes(); {
	case unchanged:
		change.Number--
		for i := range change.AdditionalParts {
			change.AdditionalParts[i].Number--
		}
		s.recordEnd(EndedChange{Document: change, Committed: true, Reason: "it was in force already"})
	case !change.isGlobalOnly() && total > maxActiveBytes:
		s.abort(proposed, proposed.Author, fmt.Sprintf("all parts would have %d bytes: up to %d are allowed", total, maxActiveBytes))
	case len(s.PendingChanges) >= maxPendingChanges:
		s.abort(proposed, proposed.Author, fmt.Sprintf("%d changes are under way: no more are taken", len(s.PendingChanges)))
	default:
		s.PendingChanges = append(s.PendingChanges, pendingChange{Document: change, Excluded: c.Excluded, MinRosterVersion: s.RosterVersion})
	}
}

// findPendingOfPart returns the change being prepared that has a text for the part; nil: there is none.
func (s *replicatedState) findPendingOfPart(part string) *Document {
	for i := range s.PendingChanges {
		if change := &s.PendingChanges[i].Document; change.Includes(part) {
			return change
		}
	}
	return nil
}

// partBytes is the size of the texts of all parts but the global one, and of those being prepared.
func (s *replicatedState) partBytes() int {
	size := 0
	for i := range s.ActiveParts {
		size += len(s.ActiveParts[i].Body)
	}
	for i := range s.PendingChanges {
		size += s.PendingChanges[i].Document.bodyBytes()
	}
	return size
}

// partPhrase names a part in a reason for an abort.
func partPhrase(part string) string {
	if part == "" {
		return ""
	}
	return " of part " + part
}

// applyCommit commits a change being prepared, unless a member that may not have prepared it has joined the roster since
// the coordinator decided: then the coordinator decides anew. Members that joined and are not affected don't count, nor
// do members that left; voters of format 1 count them, so for a change that they know all have to.
func (s *replicatedState) applyCommit(c *command) {
	pending := s.findPending(c.ID)
	if pending == nil {
		return
	}
	sameRoster := c.RosterVersion == s.RosterVersion
	sameAffected := !pending.Document.isGlobalOnly() && c.RosterVersion >= pending.MinRosterVersion
	if sameRoster || sameAffected {
		s.commitChange(pending)
	}
}

// commitChange makes the documents of a change active, and removes the members from the roster that it excluded.
func (s *replicatedState) commitChange(pending *pendingChange) {
	change := pending.Document
	excluded := pending.Excluded
	for _, d := range change.Documents() {
		s.CommitCount++
		d.CommitIndex = s.CommitCount
		s.activate(d)
	}
	const maxRepeats = 4 // of a part in commitOrder, in the mean, before it is made anew
	const minParts = 16
	if len(s.commitOrder) > maxRepeats*(len(s.ActiveParts)+minParts) {
		s.commitOrder = nil
	}
	s.recordEnd(EndedChange{Document: change, Committed: true, Excluded: excluded})
	for _, name := range excluded {
		if i, ok := s.findMember(name); ok {
			s.removeMember(i)
		}
	}
	s.removePending(change.ID)
}

// activate makes a document the active one of its part.
func (s *replicatedState) activate(d Document) {
	if len(s.commitOrder) > 0 { // otherwise it is made from all when it is needed
		s.commitOrder = append(s.commitOrder, d.Part)
	}
	if d.Part == "" {
		s.Active = d
		s.retain(d, maxRetainedPolicies)
		return
	}
	i, ok := s.findActivePart(d.Part)
	if !ok {
		s.ActiveParts = slices.Insert(s.ActiveParts, i, d)
		return
	}
	s.retain(s.ActiveParts[i], maxRetainedPerPart)
	s.ActiveParts[i] = d
}

// retain keeps a committed document, and drops the oldest of its part above the limit.
func (s *replicatedState) retain(d Document, limit int) {
	d.CommitIndex = 0
	s.Retained = append(s.Retained, d)
	count := 0
	for i := len(s.Retained) - 1; i >= 0; i-- {
		if s.Retained[i].Part != d.Part {
			continue
		}
		count++
		if count > limit {
			s.Retained = slices.Delete(s.Retained, i, i+1)
		}
	}
}

// applyAbort ends a change without effect. One that is not known is recorded as aborted: should it arrive later it comes
// too late.
func (s *replicatedState) applyAbort(c *command) {
	if pending := s.findPending(c.ID); pending != nil {
		s.abort(&pending.Document, c.AbortedBy, c.Reason)
		s.removePending(c.ID)
		return
	}
	if c.ID != "" && s.changeStatus(c.ID).State == ChangeUnknown {
		s.abort(&Document{ID: c.ID}, c.AbortedBy, c.Reason)
	}
}

func (s *replicatedState) removePending(id string) {
	s.PendingChanges = slices.DeleteFunc(s.PendingChanges, func(p pendingChange) bool { return p.Document.ID == id })
}

// abort records that a change never takes effect. It does not remove it from PendingChanges.
func (s *replicatedState) abort(change *Document, by, reason string) {
	s.recordEnd(EndedChange{Document: *change, AbortedBy: by, Reason: reason})
}

// recordEnd appends an outcome, without the texts of the change, and drops the oldest one above maxEndedChanges.
func (s *replicatedState) recordEnd(ended EndedChange) {
	ended.Document.Body = nil
	ended.Document.AdditionalParts = slices.Clone(ended.Document.AdditionalParts)
	for i := range ended.Document.AdditionalParts {
		ended.Document.AdditionalParts[i].Body = nil
	}
	s.EndedChanges = append(s.EndedChanges, ended)
	if excess := len(s.EndedChanges) - maxEndedChanges; excess > 0 {
		s.EndedChanges = slices.Delete(s.EndedChanges, 0, excess)
	}
}
