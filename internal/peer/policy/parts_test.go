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

// of is a change of a part.
func of(id string, parts ...string) *Document {
	d := doc(id)
	d.Part = parts[0]
	for _, p := range parts[1:] {
		body := []byte("# " + id + " " + p)
		d.OtherParts = append(d.OtherParts, Document{Part: p, Body: body, Digest: DigestOf(body)})
	}
	return d
}

// held are five members: a, b and c vote; a holds x, b x and y, d y, e none.
func held(t *testing.T, stops bool) *bench {
	t.Helper()
	b := newBench(t, stops)
	b.names = []string{"a", "b", "c", "d", "e"}
	b.parts = map[string][]string{"a": {"x"}, "b": {"x", "y"}, "d": {"y"}}
	for i, n := range b.names {
		b.start(n, uint64(i+1), stops, StoredState{})
	}
	b.wait(6 * time.Second)
	b.ask("a", of("first", "x"), 0) // the log takes on this form
	b.wait(3 * time.Second)
	for _, n := range b.names {
		if !b.takes(n) || !slices.Equal(b.serve[n].ServedParts, b.parts[n]) {
			t.Fatalf("%s: %+v", n, b.serve[n])
		}
	}
	if f := b.nodes["a"].ChangeStatus("first"); f.State != Committed {
		t.Fatalf("%+v", f)
	}
	return b
}

func (b *bench) ask(at string, d *Document, bases ...uint64) {
	b.step(at, Propose{Proposal{Document: *d, Base: bases[0], Bases: bases[1:]}})
}

func (b *bench) number(at, part string) uint64 {
	s := b.serve[at]
	d, ok := s.Lookup(part)
	if !ok {
		return 1 << 32
	}
	return d.Number
}

func TestAChangeWaitsOnlyForWhomItConcerns(t *testing.T) {
	for _, stops := range []bool{true, false} {
		b := held(t, stops)
		b.isolate("d", true)
		b.ask("a", of("one", "x"), 1)
		b.ask("b", of("two", "y"), 0)
		b.wait(time.Second)
		if b.number("a", "x") != 2 || b.number("b", "x") != 2 || b.number("b", "y") != 0 {
			t.Errorf("stops %v: x is %d and %d, y is %d", stops, b.number("a", "x"), b.number("b", "x"), b.number("b", "y"))
		}
		if b.wait(20 * time.Second); stops && b.number("b", "y") != 1 || !stops && b.nodes["b"].ChangeStatus("two").State != Dropped {
			t.Errorf("stops %v: y is %d, its change %+v", stops, b.number("b", "y"), b.nodes["b"].ChangeStatus("two"))
		}
	}
}

func TestAChangeOfSeveralPartsIsInForceInAllOrNone(t *testing.T) {
	b := held(t, false)
	b.slow["d"] = true
	b.ask("b", of("two", "x", "y"), 1, 0)
	b.wait(time.Second)
	if b.number("a", "x") != 1 || b.number("b", "y") != 0 {
		t.Fatal("in force though one whom it concerns has it not on its disk")
	}
	for _, p := range b.held["d"] {
		b.step("d", Persisted{Seq: p.Seq})
	}
	if b.wait(time.Second); b.number("a", "x") != 2 || b.number("b", "x") != 2 || b.number("b", "y") != 1 || b.number("d", "y") != 1 {
		t.Errorf("%+v", b.serve)
	}
	if s := b.serve["a"]; len(s.Parts) != 1 {
		t.Errorf("a holds x alone, and has %+v", s.Parts)
	}
}

func TestTwoChangesOfOnePartAreNotUnderWayAtOnce(t *testing.T) {
	s := &state{}
	apply(s, command{Do: doPropose, Doc: of("one", "x", "y"), Bases: []uint64{0}}, command{Do: doPropose, Doc: of("two", "y")}, command{Do: doPropose, Doc: of("three", "z")}, command{Do: doPropose, Doc: of("four", "")})
	if len(s.Under) != 3 || s.fate("two").State != Dropped || !strings.Contains(s.fate("two").Reason, "another change of part y is under way: one") {
		t.Errorf("%+v, %+v", s.Under, s.fate("two"))
	}
	apply(s, command{Do: doCommit, ID: "one", Version: s.Version}, command{Do: doPropose, Doc: of("five", "z", "y"), Bases: []uint64{1}}, command{Do: doPropose, Doc: of("six", "w", "y"), Bases: []uint64{0}})
	if s.fate("six").State != Dropped || !strings.Contains(s.fate("six").Reason, "it was made of policy 0 of part y; in force since is 1, one") {
		t.Errorf("%+v", s.fate("six"))
	}
	if s.part("x").Number != 1 || s.part("y").Number != 1 || s.part("y").CommitIndex <= s.part("x").CommitIndex {
		t.Errorf("%+v", s.Parts)
	}
}

// A commit counts a roster. Who has come since and holds the part may not have the change; who holds others has nothing to do
// with it.
func TestWhoComesToHoldAPartVoidsACommitOfIt(t *testing.T) {
	s := &state{Form: FormatVersion}
	apply(s, command{Do: doJoin, Name: "a", Life: 1, Form: FormatVersion, Parts: []string{"x"}}, command{Do: doJoin, Name: "b", Life: 1, Form: FormatVersion, Parts: []string{"y"}},
		command{Do: doPropose, Doc: of("one", "x")})
	v := s.Version
	apply(s, command{Do: doJoin, Name: "b", Life: 1, Form: FormatVersion, Parts: []string{"x", "y"}}, command{Do: doCommit, ID: "one", Version: v})
	if s.part("x").Number != 0 {
		t.Fatal("in force, though one came to hold it who may not have it")
	}
	v = s.Version
	apply(s, command{Do: doJoin, Name: "c", Life: 1, Form: FormatVersion, Parts: []string{"y"}}, command{Do: doOut, Name: "a", Life: 1}, command{Do: doCommit, ID: "one", Version: v})
	if s.part("x").Number != 1 {
		t.Error("not in force, though nobody came to hold it")
	}
	// Who came in by a command of form 1 counts for every part.
	apply(s, command{Do: doPropose, Doc: of("two", "x"), Base: 1})
	v = s.Version
	apply(s, command{Do: doJoin, Name: "d", Life: 1}, command{Do: doCommit, ID: "two", Version: v})
	if s.part("x").Number != 1 {
		t.Error("in force without one of whom nobody knows what it holds")
	}
}

// A member that comes to hold a part serves by it only once the roster says so and the text in force is here; one that holds it
// no more is not waited for.
func TestAPartIsServedByOnceTheRosterHasIt(t *testing.T) {
	b := held(t, false)
	b.cut["e>a"], b.cut["e>b"], b.cut["e>c"] = true, true, true
	b.step("e", SetParts{Parts: []string{"x", "z"}})
	b.wait(time.Second)
	if _, ok := func() (*Document, bool) { s := b.serve["e"]; return s.Lookup("x") }(); ok || !b.takes("e") {
		t.Fatal("it serves by a part of which nobody knows that it holds it, or takes nothing at all")
	}
	b.ask("a", of("two", "x"), 1)
	b.wait(time.Second)
	b.cut["e>a"], b.cut["e>b"], b.cut["e>c"] = false, false, false
	if b.wait(2 * time.Second); b.number("e", "x") != 2 || b.number("e", "z") != 0 {
		t.Errorf("%+v", b.serve["e"])
	}
	b.step("e", SetParts{Parts: []string{"z"}})
	if b.number("e", "x") != 1<<32 {
		t.Error("it serves by a part that it holds no more")
	}
	b.wait(time.Second)
	b.isolate("e", true)
	b.ask("a", of("three", "x"), 2)
	if b.wait(time.Second); b.number("a", "x") != 3 {
		t.Errorf("%+v: it waits for one that holds it no more", b.nodes["a"].ChangeStatus("three"))
	}
}

// Two changes of different parts, each fine by itself, and not together: the second is dropped while the first is under way.
func TestAChangeIsCheckedWithWhatIsUnderWay(t *testing.T) {
	b := held(t, false)
	b.nodes["b"].s.Check = func(all []Document) error {
		if slices.ContainsFunc(all, func(d Document) bool { return d.ID == "two" }) && slices.ContainsFunc(all, func(d Document) bool { return d.ID == "three" }) {
			return errors.New("they don't go together")
		}
		return nil
	}
	b.slow["a"] = true
	b.ask("e", of("two", ""), 0)
	b.wait(500 * time.Millisecond)
	b.ask("d", of("three", "y"), 0)
	b.wait(time.Second)
	if f := b.nodes["d"].ChangeStatus("three"); f.State != Dropped || f.DroppedBy != "b" || !strings.Contains(f.Reason, "with two, which is under way: they don't go together") {
		t.Errorf("%+v", f)
	}
	if f := b.nodes["e"].ChangeStatus("two"); f.State != Preparing {
		t.Errorf("%+v", f)
	}
}

func TestChangesThatComeTogetherAreOneEntryOfTheLog(t *testing.T) {
	b := held(t, false)
	v := b.nodes[b.leader()].v
	before, at := v.last().index, b.now
	for i := range 30 { // within groupFor, and of parts that nobody holds
		b.ask("e", of(fmt.Sprint("n", i), fmt.Sprint("part", i)), 0)
	}
	b.wait(time.Second)
	for i := range 30 {
		if f := b.nodes["e"].ChangeStatus(fmt.Sprint("n", i)); f.State != Committed {
			t.Fatalf("%+v", f)
		}
	}
	if got := v.last().index - before; got > 12 {
		t.Errorf("%d entries for 30 changes since %v", got, at)
	}
}

// In doubt of one part a member goes by what both allow there, and by the other part as it is.
func TestInDoubtOfOnePart(t *testing.T) {
	b := held(t, false)
	b.slow["d"] = true // the change waits for it
	b.ask("b", of("two", "y"), 0)
	b.wait(time.Second)
	b.isolate("b", true)
	b.wait(2 * DefaultLease)
	s := b.serve["b"]
	if x, y := s.PreparingChange("x"), s.PreparingChange("y"); !b.takes("b") || x != nil || y == nil || y.ID != "two" {
		t.Errorf("%+v", s)
	}
}

// The structures of form 1, as its builds wrote them.
type (
	doc1 struct {
		Number uint64 `cbor:"1,keyasint,omitempty"`
		ID     string `cbor:"2,keyasint,omitempty"`
		Digest string `cbor:"3,keyasint,omitempty"`
		Body   []byte `cbor:"4,keyasint,omitempty"`
		Author string `cbor:"5,keyasint,omitempty"`
		Reason string `cbor:"6,keyasint,omitempty"`
		At     int64  `cbor:"7,keyasint,omitempty"`
	}
	place1 struct {
		Name string `cbor:"1,keyasint,omitempty"`
		Life uint64 `cbor:"2,keyasint,omitempty"`
	}
	ended1 struct {
		Doc     doc1     `cbor:"1,keyasint,omitempty"`
		InForce bool     `cbor:"2,keyasint,omitempty"`
		By      string   `cbor:"3,keyasint,omitempty"`
		Why     string   `cbor:"4,keyasint,omitempty"`
		Without []string `cbor:"5,keyasint,omitempty"`
	}
	state1 struct {
		Voters  []string `cbor:"1,keyasint,omitempty"`
		Force   doc1     `cbor:"2,keyasint,omitempty"`
		Pending *doc1    `cbor:"3,keyasint,omitempty"`
		Without []string `cbor:"4,keyasint,omitempty"`
		Roster  []place1 `cbor:"5,keyasint,omitempty"`
		Version uint64   `cbor:"6,keyasint,omitempty"`
		Ended   []ended1 `cbor:"7,keyasint,omitempty"`
		Kept    []doc1   `cbor:"8,keyasint,omitempty"`
	}
	member1 struct {
		Force    doc1     `cbor:"1,keyasint,omitempty"`
		Prepared *doc1    `cbor:"2,keyasint,omitempty"`
		Voters   []string `cbor:"3,keyasint,omitempty"`
		Epoch    uint64   `cbor:"4,keyasint,omitempty"`
	}
)

func TestDisksOfFormOneAreUnderstood(t *testing.T) {
	x, y := doc1{Number: 3, ID: "x", Body: []byte("# x"), Digest: DigestOf([]byte("# x"))}, doc1{Number: 4, ID: "y", Body: []byte("# y"), Digest: DigestOf([]byte("# y"))}
	s, err := decodeState(encode(&state1{Voters: []string{"a"}, Force: x, Pending: &y, Without: []string{"d"}, Roster: []place1{{"a", 1}, {"b", 2}}, Version: 7, Ended: []ended1{{Doc: x, InForce: true}}, Kept: []doc1{x}}))
	if err != nil || s.part("").ID != "x" || s.under("y") == nil || !slices.Equal(s.under("y").Without, []string{"d"}) || s.Commits != 3 || s.Force.CommitIndex != 3 || !s.holds(&s.Roster[1], "any") {
		t.Fatalf("%v: %+v", err, s)
	}
	apply(s, command{Do: doCommit, ID: "y", Version: 7})
	if s.Force.ID != "y" || s.Force.Number != 4 || s.Commits != 4 {
		t.Errorf("%+v", s)
	}
	n, err := New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}, Parts: []string{"p"}}, StoredState{Member: encode(&member1{Force: x, Prepared: &y, Voters: []string{"a", "b", "c"}, Epoch: 0})}, 1)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(time.Second)
	if n.ActivePolicy().ID != "x" || !slices.Equal(idsOf(n.m.prepared), []string{"y"}) || n.m.upto != 0 {
		t.Errorf("%+v", n.Status())
	}
	if _, err := New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{Member: encode(&savedMember{Form: FormatVersion + 1})}, 1); err == nil || !strings.Contains(err.Error(), "this build knows 1 to 2") {
		t.Errorf("a later form: %v", err)
	}
}

// While nothing but whole policies was agreed on an earlier build can be gone back to: what a voter and a member write is
// what it knows, and what it does not know it can leave out.
func TestWhileThereAreNoPartsEarlierBuildsReadWhatIsWritten(t *testing.T) {
	b := settled(t, false)
	b.propose("a", "x")
	b.wait(time.Second)
	b.slow["e"] = true
	b.propose("a", "y")
	b.wait(time.Second)
	v := b.nodes["a"].v.state
	if v.Form != 0 {
		t.Fatalf("the log has form %d, and nobody asked for a part", v.Form)
	}
	var s state1
	if err := decoding.Unmarshal(encodeState(v), &s); err != nil || s.Force.ID != "x" || s.Pending == nil || s.Pending.ID != "y" || len(s.Roster) != 5 || len(s.Kept) != 1 {
		t.Fatalf("%v: %+v", err, s)
	}
	back, err := decodeState(encode(&s))
	if err != nil || !bytes.Equal(encodeState(back), encodeState(v)) {
		t.Errorf("%v: what an earlier build hands on differs:\n%+v\n%+v", err, back, v)
	}
	var m member1
	if err := decoding.Unmarshal(b.disks["d"].Member, &m); err != nil || m.Force.ID != "x" || m.Prepared == nil || m.Prepared.ID != "y" {
		t.Errorf("%v: %+v", err, m)
	}
}

// A member of form 1 takes part in whole policies, and counts for every part: a change of one is dropped, and says why.
func TestMembersOfFormOne(t *testing.T) {
	for _, old := range []string{"c", "d"} { // a voter, and one that does not vote
		b := newBench(t, false)
		b.names, b.form1[old] = []string{"a", "b", "c", "d"}, true
		b.parts = map[string][]string{"a": {"x"}}
		for i, n := range b.names {
			b.start(n, uint64(i+1), false, StoredState{})
		}
		b.wait(6 * time.Second)
		b.propose("a", "one")
		b.wait(time.Second)
		for _, n := range b.names {
			if b.serve[n].Document.ID != "one" || !b.takes(n) {
				t.Errorf("%s old: %s serves by %+v", old, n, b.serve[n])
			}
		}
		b.ask("a", of("two", "x"), 0)
		b.wait(4 * time.Second)
		if f := b.nodes["a"].ChangeStatus("two"); f.State != Dropped || !strings.Contains(f.Reason, "parts") {
			t.Errorf("%s old: %+v", old, f)
		}
		b.form1[old] = false // it is upgraded
		b.wait(3 * time.Second)
		b.ask("a", of("three", "x"), 0)
		b.wait(4 * time.Second)
		if f := b.nodes["a"].ChangeStatus("three"); f.State != Committed {
			t.Errorf("%s old: %+v", old, f)
		}
	}
}

// Answers of a voter that say less than it once said may be late, or doubled: a leader is put down by them only if they go on.
func TestLateAnswersDoNotPutALeaderDown(t *testing.T) {
	b := held(t, false)
	lead := b.leader()
	v := b.nodes[lead].v
	from := "a"
	if from == lead {
		from = "b"
	}
	less := func() {
		m := &raftpb.Message{Type: raftpb.MsgAppResp.Enum(), From: new(idOf(from)), To: new(v.id), Term: new(v.lead.term), Index: new(uint64(2)), Reject: new(true), RejectHint: new(uint64(1))}
		b.nodes[lead].Step(b.now, Received{from, &Message{Raft: must(proto.Marshal(m))}})
	}
	for range 5 {
		less()
		b.now += 20 * time.Millisecond
	}
	if !v.leads() {
		t.Fatal("it leads no more after answers of a tenth of a second")
	}
	for range 30 {
		less()
		b.now += 20 * time.Millisecond
	}
	if v.leads() {
		t.Error("it leads on, and counts on what another has lost")
	}
}

func TestProposalsThatMakeNoSense(t *testing.T) {
	long, big := strings.Repeat("p", MaxPartNameBytes+1), bytes.Repeat([]byte("#"), MaxBodyBytes+1)
	many := of("many", strings.Split(strings.Repeat("p,", partsMost+1), ",")...)
	for name, p := range map[string]Proposal{
		"a long name":         {Document: *of("x", long)},
		"a part twice":        {Document: *of("x", "p", "p"), Bases: []uint64{0}},
		"bases that are less": {Document: *of("x", "p", "q")},
		"too many parts":      {Document: *many, Bases: make([]uint64, len(many.OtherParts))},
		"a part too large":    {Document: Document{ID: "x", Part: "p", Body: big, Digest: DigestOf(big)}},
		"a digest that differs": {Document: func() Document {
			d := *of("x", "p", "q")
			d.OtherParts[0].Body = []byte("other")
			return d
		}(), Bases: []uint64{0}},
	} {
		if p.Check() == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if err := (&Proposal{Document: *of("x", "p", "q"), Bases: []uint64{0}}).Check(); err != nil {
		t.Error(err)
	}
}

// Found by the 873rd schedule: what had come into force before a snapshot was not told to who knew nothing.
func TestWhatIsInForceIsToldWhole(t *testing.T) {
	s := &state{}
	commit := func(d *Document) {
		apply(s, command{Do: doPropose, Doc: d, Base: s.part(d.Part).Number}, command{Do: doCommit, ID: d.ID, Version: s.Version})
	}
	for i := range 200 {
		commit(of(fmt.Sprint("n", i), fmt.Sprint("part", i%7)))
		if i == 50 {
			commit(of("all", ""))
		}
		all := func(string) bool { return true }
		want := 0
		for _, order := range []uint64{0, s.Commits / 2, s.Commits - 1, s.Commits} {
			want = 0
			for _, p := range append([]Document{s.Force}, s.Parts...) {
				if p.CommitIndex > order {
					want++
				}
			}
			if got := s.since(order, all); len(got) != want {
				t.Fatalf("after %d changes, since %d: %d texts of %d", i+1, order, len(got), want)
			}
		}
		if got := s.since(0, func(p string) bool { return p == "part3" }); i >= 3 && (len(got) != 1 || got[0].Number != s.part("part3").Number) {
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
func TestAVoterDoesNotWaitForWhatWasLostSinceItHeardOfIt(t *testing.T) {
	n, err := New(Settings{Name: "a", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	n.Step(time.Second)
	said := func(from string, s PositionResponse) {
		s.Number = n.v.call
		n.Step(time.Second, Received{from, &Message{PositionResponse: &s}})
	}
	said("b", PositionResponse{ProvenCurrent: true, LastTerm: 3, LastIndex: 9, Start: 7})
	n.Step(time.Second, Received{"b", &Message{PositionRequest: &PositionRequest{Number: 7, LastTerm: 3, LastIndex: 9}}}) // the same start
	if n.v.said["b"] == nil {
		t.Fatal("what it said in this start is forgotten")
	}
	n.Step(time.Second, Received{"b", &Message{PositionRequest: &PositionRequest{Number: 8, LastTerm: 1, LastIndex: 1}}}) // it has begun anew, without its disk
	said("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if n.v.rn != nil {
		t.Fatal("it takes part, and has one answer")
	}
	if said("b", PositionResponse{LastTerm: 1, LastIndex: 1, Start: 8}); n.v.rn == nil || n.v.floor != (position{}) {
		t.Errorf("it votes for nobody behind %+v, which nobody has", n.v.floor)
	}
}

// The same where it takes part already: it asks all again, and lowers what it waits for by no less than all their answers.
func TestAVoterThatWaitsAsksAgainWhenWhoToldItBeginsAnew(t *testing.T) {
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
		s.Number = n.v.call
		step(Received{from, &Message{PositionResponse: &s}})
	}
	step()
	said("b", PositionResponse{ProvenCurrent: true, LastTerm: 3, LastIndex: 9, Start: 7})
	said("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if n.v.rn == nil || n.v.floor != (position{3, 9}) {
		t.Fatalf("floor %+v", n.v.floor)
	}
	step(Received{"b", &Message{PositionRequest: &PositionRequest{Number: 8, LastTerm: 1, LastIndex: 1}}})
	if n.v.rn != nil {
		t.Fatal("it takes part still, and what it waits for may be nowhere")
	}
	said("c", PositionResponse{ProvenCurrent: true, LastTerm: 1, LastIndex: 1, Start: 5})
	if n.v.rn != nil {
		t.Fatal("one answer is not enough: the entry may be confirmed, and on that one's disk that it has not heard")
	}
	said("b", PositionResponse{LastTerm: 1, LastIndex: 1, Start: 8})
	if n.v.rn == nil || n.v.floor != (position{}) {
		t.Errorf("floor %+v", n.v.floor)
	}
}

// A member gives up a part, and takes it back before the log has the former: the roster has it still, and will not in a moment.
func TestAPartIsNotServedByWhileTheRosterIsBeingChanged(t *testing.T) {
	b := held(t, false)
	lead := b.leader()
	for _, o := range []string{"a", "b", "c"} {
		b.slow[o] = o != lead // nothing more comes into the log
	}
	b.step("d", SetParts{})
	b.wait(300 * time.Millisecond)
	b.step("d", SetParts{Parts: []string{"y"}})
	b.wait(500 * time.Millisecond)
	if b.number("d", "y") != 1<<32 {
		t.Fatal("it serves by y, and the log is about to have it that it does not hold it")
	}
	b.isolate("d", true)
	for _, o := range []string{"a", "b", "c"} {
		b.slow[o] = false
		for all := b.held[o]; len(all) > 0; all = b.held[o] {
			b.held[o] = nil
			for _, p := range all {
				b.step(o, Persisted{Seq: p.Seq})
			}
		}
	}
	b.ask("b", of("two", "y"), 0)
	if b.wait(3 * time.Second); b.number("b", "y") != 1 || b.number("d", "y") != 1<<32 {
		t.Errorf("y is %d at b, %d at d: %+v", b.number("b", "y"), b.number("d", "y"), b.nodes["b"].ChangeStatus("two"))
	}
	b.isolate("d", false)
	if b.wait(3 * time.Second); b.number("d", "y") != 1 {
		t.Errorf("%+v", b.serve["d"])
	}
}

// Two parts that are in force and make sense together alone: who comes and has neither serves by both.
func TestWhoComesTakesWhatIsInForceTogether(t *testing.T) {
	b := held(t, false)
	b.ask("b", of("two", "", "x"), 0, 1)
	b.wait(time.Second)
	b.ask("b", of("three", "x"), 2)
	b.wait(time.Second)
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
	b.nodes["e"], b.disks["e"] = n, &StoredState{}
	b.step("e", NameOwnership{Exclusive: true})
	if b.wait(3 * time.Second); !b.takes("e") || b.number("e", "") != 1 || b.number("e", "x") != 3 {
		t.Errorf("%+v", b.serve["e"])
	}
}

// An answer to a question from before a Hold was made by the parts of then: a part that came back meanwhile may have changed.
func TestAnswersFromBeforeAHoldAreNotBelieved(t *testing.T) {
	b := held(t, false)
	b.ask("b", of("two", "y"), 0)
	b.wait(time.Second)
	m := &b.nodes["d"].m
	b.isolate("d", true)
	b.step("d", RenewNow{})
	seq, upto := m.seq, m.upto
	b.step("d", SetParts{})
	b.step("d", SetParts{Parts: []string{"y"}}) // its text is forgotten, and not known again
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: seq, Leader: "a", Format: FormatVersion, InRoster: true, CommittedUpTo: upto, PartsHash: sumOf([]string{"y"})}}})
	if b.number("d", "y") != 1<<32 {
		t.Errorf("it serves by y as if it had no text: %+v", b.serve["d"])
	}
}

// A word that a change is not under way, from before this member had it on its disk, is no word that it was dropped.
func TestAWordFromBeforeTheDiskHadItDropsNothing(t *testing.T) {
	b := held(t, false)
	b.slow["a"] = true // the change waits for it
	b.ask("b", of("two", "x"), 1)
	b.wait(time.Second)
	m := &b.nodes["b"].m
	if !m.isPrepared("two") {
		t.Fatal("b has it not")
	}
	b.isolate("b", true)
	answer := func(asked time.Duration) {
		m.seq++
		m.asked[m.seq] = asked
		b.step("b", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", Format: FormatVersion, InRoster: true, CommittedUpTo: m.upto, PartsHash: sumOf(m.want)}}})
	}
	if answer(m.sure["two"] - time.Millisecond); !m.isPrepared("two") {
		t.Fatal("it is forgotten by a word from before")
	}
	if answer(m.sure["two"] + time.Millisecond); m.isPrepared("two") {
		t.Error("it was dropped, and is kept")
	}
}

// In the roster, and without the text in force of a part that it holds: it takes nothing until that is here.
func TestWithoutTheTextInForceOfAPartItTakesNothing(t *testing.T) {
	b := held(t, false)
	m := &b.nodes["b"].m
	b.isolate("b", true)
	answer := func(r DocumentRef) {
		m.seq++
		m.asked[m.seq] = b.now
		b.step("b", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", Format: FormatVersion, InRoster: true, CommittedUpTo: m.upto + 1, PartsHash: sumOf(m.want), Changed: []DocumentRef{r}}}})
	}
	if answer(DocumentRef{"z", 4, "other"}); !b.takes("b") {
		t.Fatal("it stops for a part that it does not hold")
	}
	if answer(DocumentRef{"x", 2, "next"}); b.takes("b") {
		t.Errorf("%+v", b.serve["b"])
	}
}

// A daemon that starts with another file has other services: what was in force of them before it ended is told to it.
func TestAStartWithOtherServicesLearnsTheirTexts(t *testing.T) {
	b := held(t, false)
	b.ask("b", of("two", "y"), 0)
	b.wait(time.Second)
	disk := *b.disks["d"]
	var saved savedMember
	if err := decoding.Unmarshal(disk.Member, &saved); err != nil || saved.Upto == 0 {
		t.Fatalf("%v, %+v", err, saved)
	}
	b.nodes["d"], b.parts["d"] = nil, []string{"x", "y"}
	b.start("d", 55, false, disk)
	if b.wait(3 * time.Second); b.number("d", "x") != 1 || b.number("d", "y") != 1 || !b.takes("d") {
		t.Errorf("%+v", b.serve["d"])
	}
}
