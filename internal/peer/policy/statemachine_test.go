package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func applyAll(s *replicatedState, commands ...command) {
	for i := range commands {
		s.apply(&commands[i])
	}
}

func proposal(change *Document) command {
	return command{Kind: commandPropose, Document: change}
}

func joinWithParts(name string, parts ...string) command {
	return command{Kind: commandJoin, Name: name, RunID: 1, Format: FormatVersion, Parts: parts}
}

func TestCommitRequiresCurrentRosterVersion(t *testing.T) {
	s := &replicatedState{}
	applyAll(s, command{Kind: commandJoin, Name: "a", RunID: 1}, proposal(globalChange("x")))
	counted := s.RosterVersion
	applyAll(s,
		command{Kind: commandJoin, Name: "b", RunID: 1},
		command{Kind: commandCommit, ID: "x", RosterVersion: counted})
	if s.Active.Number != 0 {
		t.Fatal("the change was committed although a member has joined that may not have prepared it")
	}
	applyAll(s, command{Kind: commandCommit, ID: "x", RosterVersion: s.RosterVersion})
	if s.Active.Number != 1 || s.Active.ID != "x" || len(s.PendingChanges) != 0 {
		t.Errorf("%+v", s)
	}
}

func TestChangeOutcomesAreFinal(t *testing.T) {
	commit := command{Kind: commandCommit, ID: "x"}
	abort := command{Kind: commandAbort, ID: "x", AbortedBy: "b"}
	sameText := globalChange("x")
	sameText.ID = "y"
	for name, test := range map[string]struct {
		commands []command
		want     ChangeStatus
	}{
		"proposed twice": {
			commands: []command{proposal(globalChange("x")), proposal(globalChange("x"))},
			want:     ChangeStatus{ID: "x", State: ChangePreparing},
		},
		"another is being prepared": {
			commands: []command{proposal(globalChange("x")), proposal(globalChange("y"))},
			want:     ChangeStatus{ID: "y", State: ChangeAborted, AbortedBy: "a"},
		},
		"based on an earlier one": {
			commands: []command{proposal(globalChange("x")), commit, proposal(globalChange("y"))},
			want:     ChangeStatus{ID: "y", State: ChangeAborted, AbortedBy: "a"},
		},
		"aborted": {
			commands: []command{proposal(globalChange("x")), abort, commit},
			want:     ChangeStatus{ID: "x", State: ChangeAborted, AbortedBy: "b"},
		},
		"aborted after the commit": {
			commands: []command{proposal(globalChange("x")), commit, abort},
			want:     ChangeStatus{ID: "x", State: ChangeCommitted, Number: 1},
		},
		"aborted before it was proposed": {
			commands: []command{abort, proposal(globalChange("x"))},
			want:     ChangeStatus{ID: "x", State: ChangeAborted, AbortedBy: "b"},
		},
		"the active text again": {
			commands: []command{proposal(globalChange("x")), commit, {Kind: commandPropose, Base: 1, Document: sameText}},
			want:     ChangeStatus{ID: "y", State: ChangeCommitted, Number: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &replicatedState{}
			applyAll(s, test.commands...)
			got := s.changeStatus(test.want.ID)
			if got.ID != test.want.ID || got.State != test.want.State || got.AbortedBy != test.want.AbortedBy || got.Number != test.want.Number {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

func TestOnePendingChangePerPart(t *testing.T) {
	s := &replicatedState{}
	applyAll(s,
		command{Kind: commandPropose, Document: partsChange("one", "x", "y"), Bases: []uint64{0}},
		proposal(partsChange("two", "y")),
		proposal(partsChange("three", "z")),
		proposal(partsChange("four", "")))
	second := s.changeStatus("two")
	if len(s.PendingChanges) != 3 || second.State != ChangeAborted || !strings.Contains(second.Reason, "another change of part y is under way: one") {
		t.Errorf("%+v, %+v", s.PendingChanges, second)
	}
	applyAll(s,
		command{Kind: commandCommit, ID: "one", RosterVersion: s.RosterVersion},
		command{Kind: commandPropose, Document: partsChange("five", "z", "y"), Bases: []uint64{1}},
		command{Kind: commandPropose, Document: partsChange("six", "w", "y"), Bases: []uint64{0}})
	sixth := s.changeStatus("six")
	if sixth.State != ChangeAborted || !strings.Contains(sixth.Reason, "it was made of policy 0 of part y; in force since is 1, one") {
		t.Errorf("%+v", sixth)
	}
	x, y := s.activeDocument("x"), s.activeDocument("y")
	if x.Number != 1 || y.Number != 1 || y.CommitIndex <= x.CommitIndex {
		t.Errorf("%+v", s.ActiveParts)
	}
}

// A commit is decided for one version of the roster. A member that has joined since then and holds the part may not
// have prepared the change. A member that holds other parts does not matter.
func TestMemberJoiningAPartVoidsStaleCommit(t *testing.T) {
	s := &replicatedState{Format: FormatVersion}
	applyAll(s, joinWithParts("a", "x"), joinWithParts("b", "y"), proposal(partsChange("one", "x")))
	counted := s.RosterVersion
	applyAll(s, joinWithParts("b", "x", "y"), command{Kind: commandCommit, ID: "one", RosterVersion: counted})
	if s.activeDocument("x").Number != 0 {
		t.Fatal("the change was committed although a member that may not have prepared it holds its part now")
	}
	counted = s.RosterVersion
	applyAll(s,
		joinWithParts("c", "y"),
		command{Kind: commandRemove, Name: "a", RunID: 1},
		command{Kind: commandCommit, ID: "one", RosterVersion: counted})
	if s.activeDocument("x").Number != 1 {
		t.Error("the change was not committed although no further member holds its part")
	}
	// A member that joined in format 1 counts for every part.
	applyAll(s, command{Kind: commandPropose, Document: partsChange("two", "x"), Base: 1})
	counted = s.RosterVersion
	applyAll(s, command{Kind: commandJoin, Name: "d", RunID: 1}, command{Kind: commandCommit, ID: "two", RosterVersion: counted})
	if s.activeDocument("x").Number != 1 {
		t.Error("the change was committed without a member whose parts are not known")
	}
}

func TestEndedChangesAndRetainedDocumentsAreBounded(t *testing.T) {
	const excess = 20
	s := &replicatedState{}
	for i := range maxEndedChanges + excess {
		id := fmt.Sprint("x", i)
		applyAll(s,
			command{Kind: commandPropose, Document: globalChange(id), Base: s.Active.Number},
			command{Kind: commandCommit, ID: id})
	}
	if len(s.EndedChanges) != maxEndedChanges || len(s.Retained) != maxRetainedPolicies || s.Active.Number != maxEndedChanges+excess {
		t.Errorf("%d ended changes, %d retained documents, active number %d",
			len(s.EndedChanges), len(s.Retained), s.Active.Number)
	}
	h := s.history("", s.Active.Number-3)
	if h.Document == nil || h.Document.ID != fmt.Sprint("x", maxEndedChanges+16) {
		t.Errorf("%+v", h.Document)
	}
	if slices.ContainsFunc(h.Changes, func(e EndedChange) bool { return e.Document.Body != nil }) {
		t.Error("ended changes have texts")
	}
}

// committedSince also returns the documents that were committed before a snapshot was restored. Otherwise a member
// without documents would not receive them (found by the 873rd random schedule).
func TestCommittedSinceIsComplete(t *testing.T) {
	s := &replicatedState{}
	commit := func(change *Document) {
		applyAll(s,
			command{Kind: commandPropose, Document: change, Base: s.activeDocument(change.Part).Number},
			command{Kind: commandCommit, ID: change.ID, RosterVersion: s.RosterVersion})
	}
	holdsAll := func(string) bool { return true }
	holdsThird := func(part string) bool { return part == "part3" }
	for i := range 200 {
		commit(partsChange(fmt.Sprint("n", i), fmt.Sprint("part", i%7)))
		if i == 50 {
			commit(partsChange("all", ""))
		}
		for _, index := range []uint64{0, s.CommitCount / 2, s.CommitCount - 1, s.CommitCount} {
			want := 0
			for _, d := range append([]Document{s.Active}, s.ActiveParts...) {
				if d.CommitIndex > index {
					want++
				}
			}
			if got := s.committedSince(index, holdsAll); len(got) != want {
				t.Fatalf("after %d changes, since index %d: %d documents, want %d", i+1, index, len(got), want)
			}
		}
		if got := s.committedSince(0, holdsThird); i >= 3 && (len(got) != 1 || got[0].Number != s.activeDocument("part3").Number) {
			t.Fatalf("%+v", got)
		}
		if i%60 == 59 { // continue with the state as restored from a snapshot
			restored, err := decodeState(encodeState(s))
			if err != nil {
				t.Fatal(err)
			}
			s = restored
		}
	}
}

// The status of a change that proposes the active texts again has the numbers of the active documents. The numbers of
// the change's additional parts must not be one too high: with x 1 and y 1 active, the status had y 2, because only
// the number of the first part was decremented.
func TestActiveTextsProposedAgainKeepTheirNumbers(t *testing.T) {
	s := &replicatedState{}
	again := partsChange("one", "x", "y")
	again.ID = "two"
	applyAll(s,
		command{Kind: commandPropose, Document: partsChange("one", "x", "y"), Bases: []uint64{0}},
		command{Kind: commandCommit, ID: "one", RosterVersion: s.RosterVersion},
		command{Kind: commandPropose, Document: again, Base: 1, Bases: []uint64{1}})
	status := s.changeStatus("two")
	if status.State != ChangeCommitted || len(status.Parts) != 2 {
		t.Fatalf("%+v", status)
	}
	for _, part := range status.Parts {
		if part.Number != 1 {
			t.Errorf("part %s has number 1, and its status is %+v", part.Part, part)
		}
	}
}

// The texts of all parts except the global one must stay within maxActiveBytes, whatever a change does to the global
// part. This test is known to fail: the computed growth includes the growth of the global part, although the active
// global text is not in the sum. So a global text that shrinks by 64 KB lets the other parts exceed the bound by as
// much. Voters of builds with and without a correction would decide differently, so the correction needs a new format
// of the log.
func TestShrinkingGlobalPartDoesNotRaiseTheBoundOfAllParts(t *testing.T) {
	s := &replicatedState{}
	commit := func(change *Document, bases ...uint64) ChangeState {
		applyAll(s, command{Kind: commandPropose, Document: change, Base: bases[0], Bases: bases[1:]},
			command{Kind: commandCommit, ID: change.ID, RosterVersion: s.RosterVersion})
		return s.changeStatus(change.ID).State
	}
	sized := func(id, part string, size int) *Document {
		body := []byte(strings.Repeat("x", size))
		return &Document{ID: id, Author: "a", Part: part, Body: body, Digest: DigestOf(body)}
	}
	if commit(sized("global", "", MaxBodyBytes), 0) != ChangeCommitted {
		t.Fatal("the change of the global part was not committed")
	}
	const parts = maxActiveBytes / MaxBodyBytes
	for n := range parts {
		if commit(sized(fmt.Sprint("p", n), fmt.Sprint("part", n), MaxBodyBytes), 0) != ChangeCommitted {
			t.Fatalf("the change of part %d was not committed", n)
		}
	}
	both := sized("both", "", 1)
	both.AdditionalParts = []Document{*sized("both", "further", MaxBodyBytes-1)}
	state := commit(both, 1, 0)
	if total := s.partBytes(); state != ChangeAborted || total > maxActiveBytes {
		t.Errorf("the change is %v; all parts have %d bytes, and %d are allowed", state, total, maxActiveBytes)
	}
}
