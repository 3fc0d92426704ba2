package policy

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// partsChange is a change of a part.
func partsChange(id string, parts ...string) *Document {
	d := wholePolicyChange(id)
	d.Part = parts[0]
	for _, p := range parts[1:] {
		body := []byte("# " + id + " " + p)
		d.AdditionalParts = append(d.AdditionalParts, Document{Part: p, Body: body, Digest: DigestOf(body)})
	}
	return d
}

// newPartsCluster are five members: a, b and c vote; a holds x, b x and y, d y, e none.
func newPartsCluster(t *testing.T, stops bool) *cluster {
	t.Helper()
	b := newCluster(t, stops)
	b.names = []string{"a", "b", "c", "d", "e"}
	b.parts = map[string][]string{"a": {"x"}, "b": {"x", "y"}, "d": {"y"}}
	for i, n := range b.names {
		b.start(n, uint64(i+1), stops, StoredState{})
	}
	b.run(6 * time.Second)
	b.proposeParts("a", partsChange("first", "x"), 0) // the log takes on this form
	b.run(3 * time.Second)
	for _, n := range b.names {
		if !b.admits(n) || !slices.Equal(b.serving[n].ServedParts, b.parts[n]) {
			t.Fatalf("%s: %+v", n, b.serving[n])
		}
	}
	if f := b.nodes["a"].ChangeStatus("first"); f.State != ChangeCommitted {
		t.Fatalf("%+v", f)
	}
	return b
}

func (b *cluster) proposeParts(at string, d *Document, bases ...uint64) {
	b.step(at, Propose{Proposal{Document: *d, Base: bases[0], Bases: bases[1:]}})
}

func (b *cluster) servedNumber(at, part string) uint64 {
	s := b.serving[at]
	d, ok := s.Lookup(part)
	if !ok {
		return 1 << 32
	}
	return d.Number
}

func TestChangeWaitsOnlyForMembersOfItsPart(t *testing.T) {
	for _, stops := range []bool{true, false} {
		b := newPartsCluster(t, stops)
		b.isolate("d", true)
		b.proposeParts("a", partsChange("one", "x"), 1)
		b.proposeParts("b", partsChange("two", "y"), 0)
		b.run(time.Second)
		if b.servedNumber("a", "x") != 2 || b.servedNumber("b", "x") != 2 || b.servedNumber("b", "y") != 0 {
			t.Errorf("stops %v: x is %d and %d, y is %d", stops, b.servedNumber("a", "x"), b.servedNumber("b", "x"), b.servedNumber("b", "y"))
		}
		if b.run(20 * time.Second); stops && b.servedNumber("b", "y") != 1 || !stops && b.nodes["b"].ChangeStatus("two").State != ChangeAborted {
			t.Errorf("stops %v: y is %d, its change %+v", stops, b.servedNumber("b", "y"), b.nodes["b"].ChangeStatus("two"))
		}
	}
}

func TestMultiPartChangeCommitsAtomically(t *testing.T) {
	b := newPartsCluster(t, false)
	b.stalledDisks["d"] = true
	b.proposeParts("b", partsChange("two", "x", "y"), 1, 0)
	b.run(time.Second)
	if b.servedNumber("a", "x") != 1 || b.servedNumber("b", "y") != 0 {
		t.Fatal("in force though one whom it concerns has it not on its disk")
	}
	for _, p := range b.stalledWrites["d"] {
		b.step("d", Persisted{Seq: p.Seq})
	}
	if b.run(time.Second); b.servedNumber("a", "x") != 2 || b.servedNumber("b", "x") != 2 || b.servedNumber("b", "y") != 1 || b.servedNumber("d", "y") != 1 {
		t.Errorf("%+v", b.serving)
	}
	if s := b.serving["a"]; len(s.Parts) != 1 {
		t.Errorf("a holds x alone, and has %+v", s.Parts)
	}
}

func TestOnePendingChangePerPart(t *testing.T) {
	s := &replicatedState{}
	applyAll(s, command{Kind: commandPropose, Document: partsChange("one", "x", "y"), Bases: []uint64{0}}, command{Kind: commandPropose, Document: partsChange("two", "y")}, command{Kind: commandPropose, Document: partsChange("three", "z")}, command{Kind: commandPropose, Document: partsChange("four", "")})
	if len(s.PendingChanges) != 3 || s.changeStatus("two").State != ChangeAborted || !strings.Contains(s.changeStatus("two").Reason, "another change of part y is under way: one") {
		t.Errorf("%+v, %+v", s.PendingChanges, s.changeStatus("two"))
	}
	applyAll(s, command{Kind: commandCommit, ID: "one", RosterVersion: s.RosterVersion}, command{Kind: commandPropose, Document: partsChange("five", "z", "y"), Bases: []uint64{1}}, command{Kind: commandPropose, Document: partsChange("six", "w", "y"), Bases: []uint64{0}})
	if s.changeStatus("six").State != ChangeAborted || !strings.Contains(s.changeStatus("six").Reason, "it was made of policy 0 of part y; in force since is 1, one") {
		t.Errorf("%+v", s.changeStatus("six"))
	}
	if s.activeDocument("x").Number != 1 || s.activeDocument("y").Number != 1 || s.activeDocument("y").CommitIndex <= s.activeDocument("x").CommitIndex {
		t.Errorf("%+v", s.ActiveParts)
	}
}

// A commit counts a roster. Who has come since and holds the part may not have the change; who holds others has nothing to do
// with it.
func TestMemberJoiningAPartVoidsStaleCommit(t *testing.T) {
	s := &replicatedState{Format: FormatVersion}
	applyAll(s, command{Kind: commandJoin, Name: "a", RunID: 1, Format: FormatVersion, Parts: []string{"x"}}, command{Kind: commandJoin, Name: "b", RunID: 1, Format: FormatVersion, Parts: []string{"y"}},
		command{Kind: commandPropose, Document: partsChange("one", "x")})
	v := s.RosterVersion
	applyAll(s, command{Kind: commandJoin, Name: "b", RunID: 1, Format: FormatVersion, Parts: []string{"x", "y"}}, command{Kind: commandCommit, ID: "one", RosterVersion: v})
	if s.activeDocument("x").Number != 0 {
		t.Fatal("in force, though one came to hold it who may not have it")
	}
	v = s.RosterVersion
	applyAll(s, command{Kind: commandJoin, Name: "c", RunID: 1, Format: FormatVersion, Parts: []string{"y"}}, command{Kind: commandRemove, Name: "a", RunID: 1}, command{Kind: commandCommit, ID: "one", RosterVersion: v})
	if s.activeDocument("x").Number != 1 {
		t.Error("not in force, though nobody came to hold it")
	}
	// Who came in by a command of form 1 counts for every part.
	applyAll(s, command{Kind: commandPropose, Document: partsChange("two", "x"), Base: 1})
	v = s.RosterVersion
	applyAll(s, command{Kind: commandJoin, Name: "d", RunID: 1}, command{Kind: commandCommit, ID: "two", RosterVersion: v})
	if s.activeDocument("x").Number != 1 {
		t.Error("in force without one of whom nobody knows what it holds")
	}
}

// A member that comes to hold a part serves by it only once the roster says so and the text in force is here; one that holds it
// no more is not waited for.
func TestPartServedOnlyOnceRosterHasIt(t *testing.T) {
	b := newPartsCluster(t, false)
	b.blockedLinks["e>a"], b.blockedLinks["e>b"], b.blockedLinks["e>c"] = true, true, true
	b.step("e", SetParts{Parts: []string{"x", "z"}})
	b.run(time.Second)
	if _, ok := func() (*Document, bool) { s := b.serving["e"]; return s.Lookup("x") }(); ok || !b.admits("e") {
		t.Fatal("it serves by a part of which nobody knows that it holds it, or takes nothing at all")
	}
	b.proposeParts("a", partsChange("two", "x"), 1)
	b.run(time.Second)
	b.blockedLinks["e>a"], b.blockedLinks["e>b"], b.blockedLinks["e>c"] = false, false, false
	if b.run(2 * time.Second); b.servedNumber("e", "x") != 2 || b.servedNumber("e", "z") != 0 {
		t.Errorf("%+v", b.serving["e"])
	}
	b.step("e", SetParts{Parts: []string{"z"}})
	if b.servedNumber("e", "x") != 1<<32 {
		t.Error("it serves by a part that it holds no more")
	}
	b.run(time.Second)
	b.isolate("e", true)
	b.proposeParts("a", partsChange("three", "x"), 2)
	if b.run(time.Second); b.servedNumber("a", "x") != 3 {
		t.Errorf("%+v: it waits for one that holds it no more", b.nodes["a"].ChangeStatus("three"))
	}
}

// Two changes of different parts, each fine by itself, and not together: the second is dropped while the first is under way.
func TestChangeIsCheckedTogetherWithPendingOnes(t *testing.T) {
	b := newPartsCluster(t, false)
	b.nodes["b"].settings.Check = func(all []Document) error {
		if slices.ContainsFunc(all, func(d Document) bool { return d.ID == "two" }) && slices.ContainsFunc(all, func(d Document) bool { return d.ID == "three" }) {
			return errors.New("they don't go together")
		}
		return nil
	}
	b.stalledDisks["a"] = true
	b.proposeParts("e", partsChange("two", ""), 0)
	b.run(500 * time.Millisecond)
	b.proposeParts("d", partsChange("three", "y"), 0)
	b.run(time.Second)
	if f := b.nodes["d"].ChangeStatus("three"); f.State != ChangeAborted || f.AbortedBy != "b" || !strings.Contains(f.Reason, "with two, which is under way: they don't go together") {
		t.Errorf("%+v", f)
	}
	if f := b.nodes["e"].ChangeStatus("two"); f.State != ChangePreparing {
		t.Errorf("%+v", f)
	}
}

func TestConcurrentChangesShareLogEntries(t *testing.T) {
	b := newPartsCluster(t, false)
	v := b.nodes[b.leader()].raftNode
	before, at := v.lastPosition().index, b.now
	for i := range 30 { // within groupFor, and of parts that nobody holds
		b.proposeParts("e", partsChange(fmt.Sprint("n", i), fmt.Sprint("part", i)), 0)
	}
	b.run(time.Second)
	for i := range 30 {
		if f := b.nodes["e"].ChangeStatus(fmt.Sprint("n", i)); f.State != ChangeCommitted {
			t.Fatalf("%+v", f)
		}
	}
	if got := v.lastPosition().index - before; got > 12 {
		t.Errorf("%d entries for 30 changes since %v", got, at)
	}
}

// In doubt of one part a member goes by what both allow there, and by the other part as it is.
func TestUncertainPartServesIntersectionOnly(t *testing.T) {
	b := newPartsCluster(t, false)
	b.stalledDisks["d"] = true // the change waits for it
	b.proposeParts("b", partsChange("two", "y"), 0)
	b.run(time.Second)
	b.isolate("b", true)
	b.run(2 * DefaultLease)
	s := b.serving["b"]
	if x, y := s.PreparingChange("x"), s.PreparingChange("y"); !b.admits("b") || x != nil || y == nil || y.ID != "two" {
		t.Errorf("%+v", s)
	}
}

// The structures of form 1, as its builds wrote them.
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

func TestFormatOneDisksAreRead(t *testing.T) {
	x, y := legacyDocument{Number: 3, ID: "x", Body: []byte("# x"), Digest: DigestOf([]byte("# x"))}, legacyDocument{Number: 4, ID: "y", Body: []byte("# y"), Digest: DigestOf([]byte("# y"))}
	s, err := decodeState(encode(&legacyState{Voters: []string{"a"}, Active: x, Pending: &y, Excluded: []string{"d"}, Roster: []legacyRosterEntry{{"a", 1}, {"b", 2}}, RosterVersion: 7, EndedChanges: []legacyEndedChange{{Document: x, Committed: true}}, Retained: []legacyDocument{x}}))
	if err != nil || s.activeDocument("").ID != "x" || s.findPending("y") == nil || !slices.Equal(s.findPending("y").Excluded, []string{"d"}) || s.CommitCount != 3 || s.Active.CommitIndex != 3 || !s.holdsPart(&s.Roster[1], "any") {
		t.Fatalf("%v: %+v", err, s)
	}
	applyAll(s, command{Kind: commandCommit, ID: "y", RosterVersion: 7})
	if s.Active.ID != "y" || s.Active.Number != 4 || s.CommitCount != 4 {
		t.Errorf("%+v", s)
	}
	n, err := New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}, Parts: []string{"p"}}, StoredState{Member: encode(&legacyMember{Active: x, Prepared: &y, Voters: []string{"a", "b", "c"}, Epoch: 0})}, 1)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(time.Second)
	if n.ActivePolicy().ID != "x" || !slices.Equal(changeIDs(n.member.prepared), []string{"y"}) || n.member.knownUpTo != 0 {
		t.Errorf("%+v", n.Status())
	}
	if _, err := New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{Member: encode(&savedMember{Format: FormatVersion + 1})}, 1); err == nil || !strings.Contains(err.Error(), "this build knows 1 to 2") {
		t.Errorf("a later form: %v", err)
	}
}

// While nothing but whole policies was agreed on an earlier build can be gone back to: what a voter and a member write is
// what it knows, and what it does not know it can leave out.
func TestWithoutPartsFormatOneBuildsReadWhatIsWritten(t *testing.T) {
	b := newSettledCluster(t, false)
	b.propose("a", "x")
	b.run(time.Second)
	b.stalledDisks["e"] = true
	b.propose("a", "y")
	b.run(time.Second)
	v := b.nodes["a"].raftNode.state
	if v.Format != 0 {
		t.Fatalf("the log has form %d, and nobody asked for a part", v.Format)
	}
	var s legacyState
	if err := decoding.Unmarshal(encodeState(v), &s); err != nil || s.Active.ID != "x" || s.Pending == nil || s.Pending.ID != "y" || len(s.Roster) != 5 || len(s.Retained) != 1 {
		t.Fatalf("%v: %+v", err, s)
	}
	back, err := decodeState(encode(&s))
	if err != nil || !bytes.Equal(encodeState(back), encodeState(v)) {
		t.Errorf("%v: what an earlier build hands on differs:\n%+v\n%+v", err, back, v)
	}
	var m legacyMember
	if err := decoding.Unmarshal(b.stored["d"].Member, &m); err != nil || m.Active.ID != "x" || m.Prepared == nil || m.Prepared.ID != "y" {
		t.Errorf("%v: %+v", err, m)
	}
}

// A member of form 1 takes part in whole policies, and counts for every part: a change of one is dropped, and says why.
func TestFormatOneMembersTakePartInWholePolicies(t *testing.T) {
	for _, old := range []string{"c", "d"} { // a voter, and one that does not vote
		b := newCluster(t, false)
		b.names, b.legacyMembers[old] = []string{"a", "b", "c", "d"}, true
		b.parts = map[string][]string{"a": {"x"}}
		for i, n := range b.names {
			b.start(n, uint64(i+1), false, StoredState{})
		}
		b.run(6 * time.Second)
		b.propose("a", "one")
		b.run(time.Second)
		for _, n := range b.names {
			if b.serving[n].Document.ID != "one" || !b.admits(n) {
				t.Errorf("%s old: %s serves by %+v", old, n, b.serving[n])
			}
		}
		b.proposeParts("a", partsChange("two", "x"), 0)
		b.run(4 * time.Second)
		if f := b.nodes["a"].ChangeStatus("two"); f.State != ChangeAborted || !strings.Contains(f.Reason, "parts") {
			t.Errorf("%s old: %+v", old, f)
		}
		b.legacyMembers[old] = false // it is upgraded
		b.run(3 * time.Second)
		b.proposeParts("a", partsChange("three", "x"), 0)
		b.run(4 * time.Second)
		if f := b.nodes["a"].ChangeStatus("three"); f.State != ChangeCommitted {
			t.Errorf("%s old: %+v", old, f)
		}
	}
}

// Answers of a voter that say less than it once said may be late, or doubled: a leader is put down by them only if they go on.
func TestLeaderStepsDownOnlyAfterPersistentRegression(t *testing.T) {
	b := newPartsCluster(t, false)
	lead := b.leader()
	v := b.nodes[lead].raftNode
	from := "a"
	if from == lead {
		from = "b"
	}
	less := func() {
		m := &raftpb.Message{Type: raftpb.MsgAppResp.Enum(), From: new(raftID(from)), To: new(v.id), Term: new(v.coordinator.term), Index: new(uint64(2)), Reject: new(true), RejectHint: new(uint64(1))}
		b.nodes[lead].Step(b.now, Received{from, &Message{Raft: must(proto.Marshal(m))}})
	}
	for range 5 {
		less()
		b.now += 20 * time.Millisecond
	}
	if !v.isLeader() {
		t.Fatal("it leads no more after answers of a tenth of a second")
	}
	for range 30 {
		less()
		b.now += 20 * time.Millisecond
	}
	if v.isLeader() {
		t.Error("it leads on, and counts on what another has lost")
	}
}

func TestInvalidProposalsAreRejected(t *testing.T) {
	long, big := strings.Repeat("p", MaxPartNameBytes+1), bytes.Repeat([]byte("#"), MaxBodyBytes+1)
	many := partsChange("many", strings.Split(strings.Repeat("p,", maxPartsPerChange+1), ",")...)
	for name, p := range map[string]Proposal{
		"a long name":         {Document: *partsChange("x", long)},
		"a part twice":        {Document: *partsChange("x", "p", "p"), Bases: []uint64{0}},
		"bases that are less": {Document: *partsChange("x", "p", "q")},
		"too many parts":      {Document: *many, Bases: make([]uint64, len(many.AdditionalParts))},
		"a part too large":    {Document: Document{ID: "x", Part: "p", Body: big, Digest: DigestOf(big)}},
		"a digest that differs": {Document: func() Document {
			d := *partsChange("x", "p", "q")
			d.AdditionalParts[0].Body = []byte("other")
			return d
		}(), Bases: []uint64{0}},
	} {
		if p.Check() == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if err := (&Proposal{Document: *partsChange("x", "p", "q"), Bases: []uint64{0}}).Check(); err != nil {
		t.Error(err)
	}
}

// Found by the 873rd schedule: what had come into force before a snapshot was not told to who knew nothing.
func TestCommittedSinceIsComplete(t *testing.T) {
	s := &replicatedState{}
	commit := func(d *Document) {
		applyAll(s, command{Kind: commandPropose, Document: d, Base: s.activeDocument(d.Part).Number}, command{Kind: commandCommit, ID: d.ID, RosterVersion: s.RosterVersion})
	}
	for i := range 200 {
		commit(partsChange(fmt.Sprint("n", i), fmt.Sprint("part", i%7)))
		if i == 50 {
			commit(partsChange("all", ""))
		}
		all := func(string) bool { return true }
		want := 0
		for _, order := range []uint64{0, s.CommitCount / 2, s.CommitCount - 1, s.CommitCount} {
			want = 0
			for _, p := range append([]Document{s.Active}, s.ActiveParts...) {
				if p.CommitIndex > order {
					want++
				}
			}
			if got := s.committedSince(order, all); len(got) != want {
				t.Fatalf("after %d changes, since %d: %d texts of %d", i+1, order, len(got), want)
			}
		}
		if got := s.committedSince(0, func(p string) bool { return p == "part3" }); i >= 3 && (len(got) != 1 || got[0].Number != s.activeDocument("part3").Number) {
			t.Fatalf("%+v", got)
		}
		if i%60 == 59 { // as a snapshot has it
			var err error
			if s, err = decodeState(encodeState(s)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Found by the 348th schedule: a voter waited for ever for an entry of which it had heard from one that lost its disk since.
func TestRecoveringVoterForgetsPositionsOfRestartedVoters(t *testing.T) {
	n, err := New(Settings{Name: "a", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(time.Second)
	said := func(from string, s PositionResponse) {
		s.Number = n.raftNode.startNumber
		n.Step(time.Second, Received{from, &Message{PositionResponse: &s}})
	}
	said("b", PositionResponse{ProvenCurrent: true, LastTerm: 3, LastIndex: 9, Start: 7})
	n.Step(time.Second, Received{"b", &Message{PositionRequest: &PositionRequest{Number: 7, LastTerm: 3, LastIndex: 9}}}) // the same start
	if n.raftNode.positions["b"] == nil {
		t.Fatal("what it said in this start is forgotten")
	}
	n.Step(time.Second, Received{"b", &Message{PositionRequest: &PositionRequest{Number: 8, LastTerm: 1, LastIndex: 1}}}) // it has begun anew, without its disk
	said("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if n.raftNode.rawNode != nil {
		t.Fatal("it takes part, and has one answer")
	}
	if said("b", PositionResponse{LastTerm: 1, LastIndex: 1, Start: 8}); n.raftNode.rawNode == nil || n.raftNode.voteFloor != (position{}) {
		t.Errorf("it votes for nobody behind %+v, which nobody has", n.raftNode.voteFloor)
	}
}

// The same where it takes part already: it asks all again, and lowers what it waits for by no less than all their answers.
func TestVoterWithFloorQueriesAgainWhenItsSourceRestarts(t *testing.T) {
	n, err := New(Settings{Name: "a", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	step := func(events ...Event) {
		for _, a := range n.Step(time.Second, events...) {
			if p, ok := a.(Persist); ok {
				n.Step(time.Second, Persisted{Seq: p.Seq})
			}
		}
	}
	said := func(from string, s PositionResponse) {
		s.Number = n.raftNode.startNumber
		step(Received{from, &Message{PositionResponse: &s}})
	}
	step()
	said("b", PositionResponse{ProvenCurrent: true, LastTerm: 3, LastIndex: 9, Start: 7})
	said("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if n.raftNode.rawNode == nil || n.raftNode.voteFloor != (position{3, 9}) {
		t.Fatalf("floor %+v", n.raftNode.voteFloor)
	}
	step(Received{"b", &Message{PositionRequest: &PositionRequest{Number: 8, LastTerm: 1, LastIndex: 1}}})
	if n.raftNode.rawNode != nil {
		t.Fatal("it takes part still, and what it waits for may be nowhere")
	}
	said("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if n.raftNode.rawNode != nil {
		t.Fatal("one answer is not enough: the entry may be confirmed, and on that one's disk that it has not heard")
	}
	said("b", PositionResponse{LastTerm: 1, LastIndex: 1, Start: 8})
	if n.raftNode.rawNode == nil || n.raftNode.voteFloor != (position{}) {
		t.Errorf("floor %+v", n.raftNode.voteFloor)
	}
}

// A member gives up a part, and takes it back before the log has the former: the roster has it still, and will not in a moment.
func TestPartNotServedWhileRosterChangeIsPending(t *testing.T) {
	b := newPartsCluster(t, false)
	lead := b.leader()
	for _, o := range []string{"a", "b", "c"} {
		b.stalledDisks[o] = o != lead // nothing more comes into the log
	}
	b.step("d", SetParts{})
	b.run(300 * time.Millisecond)
	b.step("d", SetParts{Parts: []string{"y"}})
	b.run(500 * time.Millisecond)
	if b.servedNumber("d", "y") != 1<<32 {
		t.Fatal("it serves by y, and the log is about to have it that it does not hold it")
	}
	b.isolate("d", true)
	for _, o := range []string{"a", "b", "c"} {
		b.stalledDisks[o] = false
		for all := b.stalledWrites[o]; len(all) > 0; all = b.stalledWrites[o] {
			b.stalledWrites[o] = nil
			for _, p := range all {
				b.step(o, Persisted{Seq: p.Seq})
			}
		}
	}
	b.proposeParts("b", partsChange("two", "y"), 0)
	if b.run(3 * time.Second); b.servedNumber("b", "y") != 1 || b.servedNumber("d", "y") != 1<<32 {
		t.Errorf("y is %d at b, %d at d: %+v", b.servedNumber("b", "y"), b.servedNumber("d", "y"), b.nodes["b"].ChangeStatus("two"))
	}
	b.isolate("d", false)
	if b.run(3 * time.Second); b.servedNumber("d", "y") != 1 {
		t.Errorf("%+v", b.serving["d"])
	}
}

// Two parts that are in force and make sense together alone: who comes and has neither serves by both.
func TestJoiningMemberActivatesDependentPartsTogether(t *testing.T) {
	b := newPartsCluster(t, false)
	b.proposeParts("b", partsChange("two", "", "x"), 0, 1)
	b.run(time.Second)
	b.proposeParts("b", partsChange("three", "x"), 2)
	b.run(time.Second)
	n, err := New(Settings{Name: "e", RunID: 9, Voters: []string{"a", "b", "c"}, Parts: []string{"x"}, Check: func(all []Document) error {
		has := func(id string) bool { return slices.ContainsFunc(all, func(d Document) bool { return d.ID == id }) }
		if has("two") != has("three") {
			return errors.New("one without the other")
		}
		return nil
	}}, StoredState{}, 9)
	if err != nil {
		t.Fatal(err)
	}
	b.nodes["e"], b.stored["e"] = n, &StoredState{}
	b.step("e", NameOwnership{Exclusive: true})
	if b.run(3 * time.Second); !b.admits("e") || b.servedNumber("e", "") != 1 || b.servedNumber("e", "x") != 3 {
		t.Errorf("%+v", b.serving["e"])
	}
}

// An answer to a question from before a Hold was made by the parts of then: a part that came back meanwhile may have changed.
func TestResponsesFromBeforeSetPartsAreIgnored(t *testing.T) {
	b := newPartsCluster(t, false)
	b.proposeParts("b", partsChange("two", "y"), 0)
	b.run(time.Second)
	m := &b.nodes["d"].member
	b.isolate("d", true)
	b.step("d", RenewNow{})
	seq, upto := m.seq, m.knownUpTo
	b.step("d", SetParts{})
	b.step("d", SetParts{Parts: []string{"y"}}) // its text is forgotten, and not known again
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: seq, Leader: "a", Format: FormatVersion, InRoster: true, CommittedUpTo: upto, PartsHash: partsHash([]string{"y"})}}})
	if b.servedNumber("d", "y") != 1<<32 {
		t.Errorf("it serves by y as if it had no text: %+v", b.serving["d"])
	}
}

// A word that a change is not under way, from before this member had it on its disk, is no word that it was dropped.
func TestResponseFromBeforePrepareAbortsNothing(t *testing.T) {
	b := newPartsCluster(t, false)
	b.stalledDisks["a"] = true // the change waits for it
	b.proposeParts("b", partsChange("two", "x"), 1)
	b.run(time.Second)
	m := &b.nodes["b"].member
	if !m.isPrepared("two") {
		t.Fatal("b has it not")
	}
	b.isolate("b", true)
	answer := func(asked time.Duration) {
		m.seq++
		m.outstanding[m.seq] = asked
		b.step("b", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", Format: FormatVersion, InRoster: true, CommittedUpTo: m.knownUpTo, PartsHash: partsHash(m.configuredParts)}}})
	}
	if answer(m.preparedAt["two"] - time.Millisecond); !m.isPrepared("two") {
		t.Fatal("it is forgotten by a word from before")
	}
	if answer(m.preparedAt["two"] + time.Millisecond); m.isPrepared("two") {
		t.Error("it was dropped, and is kept")
	}
}

// In the roster, and without the text in force of a part that it holds: it takes nothing until that is here.
func TestMemberMissingAnActiveDocumentAdmitsNothing(t *testing.T) {
	b := newPartsCluster(t, false)
	m := &b.nodes["b"].member
	b.isolate("b", true)
	answer := func(r DocumentRef) {
		m.seq++
		m.outstanding[m.seq] = b.now
		b.step("b", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", Format: FormatVersion, InRoster: true, CommittedUpTo: m.knownUpTo + 1, PartsHash: partsHash(m.configuredParts), Changed: []DocumentRef{r}}}})
	}
	if answer(DocumentRef{"z", 4, "other"}); !b.admits("b") {
		t.Fatal("it stops for a part that it does not hold")
	}
	if answer(DocumentRef{"x", 2, "next"}); b.admits("b") {
		t.Errorf("%+v", b.serving["b"])
	}
}

// A daemon that starts with another file has other services: what was in force of them before it ended is told to it.
func TestRestartWithNewPartsFetchesTheirDocuments(t *testing.T) {
	b := newPartsCluster(t, false)
	b.proposeParts("b", partsChange("two", "y"), 0)
	b.run(time.Second)
	disk := *b.stored["d"]
	var saved savedMember
	if err := decoding.Unmarshal(disk.Member, &saved); err != nil || saved.KnownUpTo == 0 {
		t.Fatalf("%v, %+v", err, saved)
	}
	b.nodes["d"], b.parts["d"] = nil, []string{"x", "y"}
	b.start("d", 55, false, disk)
	if b.run(3 * time.Second); b.servedNumber("d", "x") != 1 || b.servedNumber("d", "y") != 1 || !b.admits("d") {
		t.Errorf("%+v", b.serving["d"])
	}
}
