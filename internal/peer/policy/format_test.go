package policy

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"
)

// These are the structures that builds of format 1 write.
type (
	legacyDocument struct {
		Number    uint64 `cbor:"1,keyasint,omitempty"`
		ID        string `cbor:"2,keyasint,omitempty"`
		Digest    string `cbor:"3,keyasint,omitempty"`
		Body      []byte `cbor:"4,keyasint,omitempty"`
		Author    string `cbor:"5,keyasint,omitempty"`
		Reason    string `cbor:"6,keyasint,omitempty"`
		CreatedMS int64  `cbor:"7,keyasint,omitempty"`
	}
	legacyRosterEntry struct {
		Name  string `cbor:"1,keyasint,omitempty"`
		RunID uint64 `cbor:"2,keyasint,omitempty"`
	}
	legacyEndedChange struct {
		Document  legacyDocument `cbor:"1,keyasint,omitempty"`
		Committed bool           `cbor:"2,keyasint,omitempty"`
		AbortedBy string         `cbor:"3,keyasint,omitempty"`
		Reason    string         `cbor:"4,keyasint,omitempty"`
		Excluded  []string       `cbor:"5,keyasint,omitempty"`
	}
	legacyState struct {
		Voters        []string            `cbor:"1,keyasint,omitempty"`
		Active        legacyDocument      `cbor:"2,keyasint,omitempty"`
		Pending       *legacyDocument     `cbor:"3,keyasint,omitempty"`
		Excluded      []string            `cbor:"4,keyasint,omitempty"`
		Roster        []legacyRosterEntry `cbor:"5,keyasint,omitempty"`
		RosterVersion uint64              `cbor:"6,keyasint,omitempty"`
		EndedChanges  []legacyEndedChange `cbor:"7,keyasint,omitempty"`
		Retained      []legacyDocument    `cbor:"8,keyasint,omitempty"`
	}
	legacyMember struct {
		Active   legacyDocument  `cbor:"1,keyasint,omitempty"`
		Prepared *legacyDocument `cbor:"2,keyasint,omitempty"`
		Voters   []string        `cbor:"3,keyasint,omitempty"`
		Epoch    uint64          `cbor:"4,keyasint,omitempty"`
	}
)

func legacyDocumentOf(number uint64, id string) legacyDocument {
	body := []byte("# " + id)
	return legacyDocument{Number: number, ID: id, Body: body, Digest: DigestOf(body)}
}

func TestFormatOneDisksAreRead(t *testing.T) {
	x := legacyDocumentOf(3, "x")
	y := legacyDocumentOf(4, "y")
	s, err := decodeState(encode(&legacyState{
		Voters:        []string{"a"},
		Active:        x,
		Pending:       &y,
		Excluded:      []string{"d"},
		Roster:        []legacyRosterEntry{{"a", 1}, {"b", 2}},
		RosterVersion: 7,
		EndedChanges:  []legacyEndedChange{{Document: x, Committed: true}},
		Retained:      []legacyDocument{x},
	}))
	if err != nil {
		t.Fatal(err)
	}
	pending := s.findPending("y")
	if s.activeDocument("").ID != "x" || pending == nil || !slices.Equal(pending.Excluded, []string{"d"}) {
		t.Fatalf("%+v", s)
	}
	if s.CommitCount != 3 || s.Active.CommitIndex != 3 || !s.holdsPart(&s.Roster[1], "any") {
		t.Fatalf("%+v", s)
	}
	applyAll(s, command{Kind: commandCommit, ID: "y", RosterVersion: 7})
	if s.Active.ID != "y" || s.Active.Number != 4 || s.CommitCount != 4 {
		t.Errorf("%+v", s)
	}
	stored := encode(&legacyMember{Active: x, Prepared: &y, Voters: []string{"a", "b", "c"}})
	node := newTestNode(t, Settings{Name: "d", Parts: []string{"p"}}, StoredState{Member: stored})
	node.Step(time.Second)
	if node.ActivePolicy().ID != "x" || !slices.Equal(changeIDs(node.member.prepared), []string{"y"}) || node.member.knownUpTo != 0 {
		t.Errorf("%+v", node.Status())
	}
	later := encode(&savedMember{Format: FormatVersion + 1})
	_, err = New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{Member: later}, 1)
	if err == nil || !strings.Contains(err.Error(), "this build knows 1 to 2") {
		t.Errorf("a later format: %v", err)
	}
}

// As long as only the global part has been changed, operators can return to an earlier build: it can read the data
// that voters and members write, and dropping the fields that it does not have is safe.
func TestWithoutPartsFormatOneBuildsReadWhatIsWritten(t *testing.T) {
	c := newSettledCluster(t, servesWhenIsolated)
	c.propose("a", "x")
	c.run(time.Second)
	c.stalledDisks["e"] = true
	c.propose("a", "y")
	c.run(time.Second)
	written := c.nodes["a"].raftNode.state
	if written.Format != 0 {
		t.Fatalf("the log has format %d although no change of a service's part was proposed", written.Format)
	}
	var read legacyState
	if err := decoding.Unmarshal(encodeState(written), &read); err != nil {
		t.Fatal(err)
	}
	if read.Active.ID != "x" || read.Pending == nil || read.Pending.ID != "y" || len(read.Roster) != 5 || len(read.Retained) != 1 {
		t.Fatalf("%+v", read)
	}
	back, err := decodeState(encode(&read))
	if err != nil || !bytes.Equal(encodeState(back), encodeState(written)) {
		t.Errorf("%v: the state that an earlier build writes back differs:\n%+v\n%+v", err, back, written)
	}
	var member legacyMember
	if err := decoding.Unmarshal(c.stored["d"].Member, &member); err != nil {
		t.Fatal(err)
	}
	if member.Active.ID != "x" || member.Prepared == nil || member.Prepared.ID != "y" {
		t.Errorf("%+v", member)
	}
}

// A member of format 1 takes part in changes of the global part. It counts for every part, so a change of a service's
// part is aborted, with a reason that names parts, until the member is upgraded.
func TestFormatOneMembersTakePartInGlobalChanges(t *testing.T) {
	for name, legacy := range map[string]string{"a voter": "c", "a member that does not vote": "d"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, servesWhenIsolated)
			c.legacyMembers[legacy] = true
			c.parts = map[string][]string{"a": {"x"}}
			c.startAll(servesWhenIsolated, "a", "b", "c", "d")
			c.run(settlingTime)
			c.propose("a", "one")
			c.run(time.Second)
			for _, member := range c.names {
				if c.serving[member].Document.ID != "one" || !c.admits(member) {
					t.Errorf("%s: %+v", member, c.serving[member])
				}
			}
			c.proposeParts("a", partsChange("two", "x"), 0)
			c.run(4 * time.Second)
			if status := c.status("a", "two"); status.State != ChangeAborted || !strings.Contains(status.Reason, "parts") {
				t.Errorf("%+v", status)
			}
			c.legacyMembers[legacy] = false
			c.run(3 * time.Second)
			c.proposeParts("a", partsChange("three", "x"), 0)
			c.run(4 * time.Second)
			c.expectState("a", "three", ChangeCommitted)
		})
	}
}
