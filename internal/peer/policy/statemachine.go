package policy

import (
	"fmt"
	"slices"
)

// commandKind is the kind of a command of the log.
type commandKind uint8

const (
	// commandJoin adds a run of a member (one process: see Settings.RunID) to the roster, or changes the parts that its
	// roster entry lists.
	commandJoin commandKind = iota + 1
	// commandRemove removes a run of a member from the roster. It is proposed only once that run is fenced, that is
	// certainly admits no requests: its leases have expired, or the member has departed.
	commandRemove
	// commandPropose adds a change to the changes being prepared.
	commandPropose
	// commandCommit makes the documents of a change active.
	commandCommit
	// commandAbort ends a change without effect. It also applies to a change whose proposal has not arrived yet.
	commandAbort
	// commandSetFormat raises the format of the log, once all voters can read the new format.
	commandSetFormat
	// commandBatch applies several commands in order. It exists since format 2.
	commandBatch
)

// command is an entry of the log.
type command struct {
	Kind     commandKind `cbor:"1,keyasint,omitempty"`
	Name     string      `cbor:"2,keyasint,omitempty"` // name of the member that joins or is removed
	RunID    uint64      `cbor:"3,keyasint,omitempty"` // run ID of that member
	Document *Document   `cbor:"4,keyasint,omitempty"` // the proposed change
	Base     uint64      `cbor:"5,keyasint,omitempty"` // see Proposal
	Excluded []string    `cbor:"6,keyasint,omitempty"` // see Proposal
	ID       string      `cbor:"7,keyasint,omitempty"` // ID of the change to commit or abort
	// RosterVersion is set for a commit: all affected members of the roster of this version have prepared the change.
	RosterVersion uint64   `cbor:"8,keyasint,omitempty"`
	AbortedBy     string   `cbor:"9,keyasint,omitempty"`  // the members or the operator that caused an abort
	Reason        string   `cbor:"10,keyasint,omitempty"` // reason of an abort or a removal
	Bases         []uint64 `cbor:"11,keyasint,omitempty"` // see Proposal
	Parts         []string `cbor:"12,keyasint,omitempty"` // parts that a joining member holds
	// Format of a join is the format of the member; 0 means that the command does not list its parts. Format of
	// commandSetFormat is the new format of the log.
	Format   uint8     `cbor:"13,keyasint,omitempty"`
	Commands []command `cbor:"14,keyasint,omitempty"` // commands of a commandBatch
}

// baseOf returns the number of the active document on which the author based the i-th document of a proposed change.
func (c *command) baseOf(i int) uint64 {
	switch {
	case i == 0:
		return c.Base
	case i <= len(c.Bases):
		return c.Bases[i-1]
	}
	return 0
}

// apply applies a command to the state. The result depends only on the state and the command, so it is the same at all
// voters.
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

// isCoveredBy reports whether a join would not change the entry: it is of the same run, and it lists the same parts
// or, in format 1, none.
func (e *rosterEntry) isCoveredBy(joining *rosterEntry) bool {
	if e.RunID != joining.RunID {
		return false
	}
	return joining.Format == 0 || e.Format == joining.Format && slices.Equal(e.PartNumbers, joining.PartNumbers)
}

// removeMember removes the i-th member from the roster.
func (s *replicatedState) removeMember(i int) {
	s.Roster = slices.Delete(s.Roster, i, i+1)
	s.RosterVersion++
}

// applyProposal adds a change to the changes being prepared, or aborts it if that is not possible. A change whose
// texts are all active already is recorded as committed immediately.
func (s *replicatedState) applyProposal(c *command) {
	proposed := c.Document
	if proposed == nil || s.changeStatus(proposed.ID).State != ChangeUnknown { // the change was proposed before
		return
	}
	change := *proposed
	change.AdditionalParts = slices.Clone(proposed.AdditionalParts)
	unchanged := true
	growth := 0 // bytes by which the texts would grow
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

// findPendingOfPart returns the change being prepared that has a text for a part, or nil if no such change is being
// prepared.
func (s *replicatedState) findPendingOfPart(part string) *Document {
	for i := range s.PendingChanges {
		if change := &s.PendingChanges[i].Document; change.Includes(part) {
			return change
		}
	}
	return nil
}

// partBytes returns the size of the active texts of all parts except the global one, plus the texts of all changes
// being prepared.
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

// partPhrase returns the phrase that names a part in the reason for an abort. It is empty for the global part.
func partPhrase(part string) string {
	if part == "" {
		return ""
	}
	return " of part " + part
}

// applyCommit commits a change being prepared. It has no effect if a member that may not have prepared the change has
// joined the roster since the coordinator's decision: the coordinator then decides again. Members that joined but are
// not affected, and members that left, do not void the decision. Voters of format 1 void it for any change of the
// roster, so for a change of only the global part, which format 1 supports, all voters do the same.
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

// commitChange makes the documents of a change active, and removes the members that the change excluded from the
// roster.
func (s *replicatedState) commitChange(pending *pendingChange) {
	change := pending.Document
	excluded := pending.Excluded
	for _, d := range change.Documents() {
		s.CommitCount++
		d.CommitIndex = s.CommitCount
		s.activate(d)
	}
	const maxRepeats = 4 // average number of times that a part occurs in commitOrder before it is rebuilt
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
	if len(s.commitOrder) > 0 { // otherwise committedSince rebuilds it when it is needed
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

// retain keeps a committed document, and drops the oldest retained documents of its part above the limit.
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

// applyAbort ends a change without effect. An unknown change is recorded as aborted, so that its proposal has no
// effect if it arrives later.
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

// abort records that a change never takes effect. It does not remove the change from PendingChanges.
func (s *replicatedState) abort(change *Document, by, reason string) {
	s.recordEnd(EndedChange{Document: *change, AbortedBy: by, Reason: reason})
}

// recordEnd appends an outcome, without the texts of the change, and drops the oldest outcomes above maxEndedChanges.
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
