package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func doc(id string) *Document {
	body := []byte("# " + id)
	return &Document{ID: id, Body: body, Digest: DigestOf(body), Author: "a", Reason: "test"}
}

func apply(s *state, all ...command) {
	for i := range all {
		s.apply(&all[i])
	}
}

func TestCommitNeedsTheRosterOfWhichAllHaveIt(t *testing.T) {
	s := &state{}
	apply(s, command{Do: doJoin, Name: "a", Life: 1}, command{Do: doPropose, Doc: doc("x")})
	v := s.Version
	apply(s, command{Do: doJoin, Name: "b", Life: 1}, command{Do: doCommit, ID: "x", Version: v})
	if s.Force.Number != 0 {
		t.Fatal("in force, though one came meanwhile who may not have it")
	}
	apply(s, command{Do: doCommit, ID: "x", Version: s.Version})
	if s.Force.Number != 1 || s.Force.ID != "x" || len(s.Under) != 0 {
		t.Errorf("%+v", s)
	}
}

func TestChangesAreOneByOne(t *testing.T) {
	for name, c := range map[string]struct {
		all  []command
		id   string
		want ChangeStatus
	}{
		"asked for twice":             {[]command{{Do: doPropose, Doc: doc("x")}, {Do: doPropose, Doc: doc("x")}}, "x", ChangeStatus{ID: "x", State: Preparing}},
		"another is under way":        {[]command{{Do: doPropose, Doc: doc("x")}, {Do: doPropose, Doc: doc("y")}}, "y", ChangeStatus{ID: "y", State: Dropped, DroppedBy: "a"}},
		"made of an earlier one":      {[]command{{Do: doPropose, Doc: doc("x")}, {Do: doCommit, ID: "x"}, {Do: doPropose, Doc: doc("y"), Base: 0}}, "y", ChangeStatus{ID: "y", State: Dropped, DroppedBy: "a"}},
		"dropped":                     {[]command{{Do: doPropose, Doc: doc("x")}, {Do: doDrop, ID: "x", By: "b"}, {Do: doCommit, ID: "x"}}, "x", ChangeStatus{ID: "x", State: Dropped, DroppedBy: "b"}},
		"dropped after it came":       {[]command{{Do: doPropose, Doc: doc("x")}, {Do: doCommit, ID: "x"}, {Do: doDrop, ID: "x", By: "b"}}, "x", ChangeStatus{ID: "x", State: Committed, Number: 1}},
		"dropped before it was known": {[]command{{Do: doDrop, ID: "x", By: "b"}, {Do: doPropose, Doc: doc("x")}}, "x", ChangeStatus{ID: "x", State: Dropped, DroppedBy: "b"}},
		"the same text once more": {[]command{{Do: doPropose, Doc: doc("x")}, {Do: doCommit, ID: "x"}, {Do: doPropose, Base: 1, Doc: func() *Document {
			d := *doc("x")
			d.ID = "y"
			return &d
		}()}}, "y", ChangeStatus{ID: "y", State: Committed, Number: 1}},
	} {
		s := &state{}
		apply(s, c.all...)
		got := s.fate(c.id)
		got.Reason = ""
		if got.ID != c.want.ID || got.State != c.want.State || got.DroppedBy != c.want.DroppedBy || got.Number != c.want.Number {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// bench is nodes whose messages go by hand.
type bench struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*Node
	disks map[string]*StoredState
	cut   map[string]bool // "a>b"
	slow  map[string]bool // whose disk does not answer
	held  map[string][]Persist
	serve map[string]Serving
	names []string
	parts map[string][]string // that they hold
	form1 map[string]bool     // whose questions are as form 1 has them
}

func newBench(t *testing.T, stops bool, names ...string) *bench {
	b := &bench{t: t, nodes: map[string]*Node{}, disks: map[string]*StoredState{}, cut: map[string]bool{}, slow: map[string]bool{}, held: map[string][]Persist{}, serve: map[string]Serving{}, names: names, parts: map[string][]string{}, form1: map[string]bool{}}
	for i, n := range names {
		b.start(n, uint64(i+1), stops, StoredState{})
	}
	return b
}

func (b *bench) start(name string, life uint64, stops bool, d StoredState) {
	b.t.Helper()
	n, err := New(Settings{Name: name, RunID: life, Voters: []string{"a", "b", "c"}, StopWhenIsolated: stops, Parts: b.parts[name]}, d, life)
	if err != nil {
		b.t.Fatal(err)
	}
	b.nodes[name], b.disks[name] = n, &d
	b.step(name, NameOwnership{Exclusive: true})
}

// step steps one, and all that comes of it: messages take no time.
func (b *bench) step(name string, events ...Event) {
	type todo struct {
		name   string
		events []Event
	}
	for all := []todo{{name, events}}; len(all) > 0; {
		x := all[0]
		all = all[1:]
		n := b.nodes[x.name]
		if n == nil {
			continue
		}
		for _, a := range n.Step(b.now, x.events...) {
			switch a := a.(type) {
			case Send:
				if q := a.Message.LeaseRequest; q != nil && b.form1[q.Name] {
					q.Format, q.KnownUpTo, q.PreparedIDs, q.PartsHash, q.Parts = 0, 0, nil, 0, nil
				}
				if !b.cut[x.name+">"+a.To] {
					all = append(all, todo{a.To, []Event{Received{x.name, a.Message}}})
				}
			case Persist:
				if b.slow[x.name] {
					b.held[x.name] = append(b.held[x.name], a)
					continue
				}
				if a.Batch.Member != nil {
					b.disks[x.name].Member = a.Batch.Member
				}
				all = append(all, todo{x.name, []Event{Persisted{Seq: a.Seq}}})
			case ServingChanged:
				b.serve[x.name] = a.Serving
			}
		}
	}
}

func (b *bench) wait(d time.Duration) {
	for end := b.now + d; b.now < end; {
		next := end
		for _, name := range b.names {
			if n := b.nodes[name]; n != nil {
				next = min(next, n.Next())
			}
		}
		b.now = max(b.now+time.Millisecond, next)
		for _, name := range b.names {
			if n := b.nodes[name]; n != nil && n.Next() <= b.now {
				b.step(name)
			}
		}
	}
}

func (b *bench) leader() string {
	for _, name := range b.names {
		if n := b.nodes[name]; n != nil && n.v != nil && n.v.leads() && n.v.lead.term > 0 {
			return name
		}
	}
	b.t.Fatal("nobody leads")
	return ""
}

func (b *bench) propose(at, id string) {
	b.step(at, Propose{Proposal{Base: b.nodes[at].ActivePolicy().Number, Document: *doc(id)}})
}

func (b *bench) isolate(name string, on bool) {
	for _, o := range b.names {
		b.cut[name+">"+o], b.cut[o+">"+name] = on && o != name, on && o != name
	}
}

func (b *bench) takes(name string) bool {
	s := b.serve[name]
	return s.Blocked == "" && b.now < s.Until
}

func settled(t *testing.T, stops bool) *bench {
	b := newBench(t, stops, "a", "b", "c", "d", "e")
	b.wait(6 * time.Second)
	for _, n := range b.names {
		if !b.takes(n) {
			t.Fatalf("%s takes nothing: %+v", n, b.serve[n])
		}
	}
	return b
}

func TestAChangeComesIntoForceEverywhere(t *testing.T) {
	b := settled(t, true)
	b.propose("d", "x")
	b.wait(time.Second)
	for _, n := range b.names {
		if got := b.serve[n]; got.Document.Number != 1 || got.Document.ID != "x" || !b.takes(n) {
			t.Errorf("%s: %+v", n, got)
		}
	}
	if f := b.nodes["d"].ChangeStatus("x"); f.State != Committed || f.Number != 1 {
		t.Errorf("%+v", f)
	}
}

func TestNobodyAgreesBeforeItIsOnItsDisk(t *testing.T) {
	b := settled(t, false)
	b.slow["d"] = true
	b.propose("a", "x")
	b.wait(2 * time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != Preparing {
		t.Fatalf("%+v while the disk of d has not taken it", f)
	}
	held := b.held["d"]
	b.slow["d"], b.held["d"] = false, nil
	for _, p := range held {
		b.step("d", Persisted{Seq: p.Seq})
	}
	if b.wait(time.Second); b.nodes["a"].ChangeStatus("x").State != Committed {
		t.Errorf("%+v", b.nodes["a"].ChangeStatus("x"))
	}
}

func TestADiskThatIsFullDropsTheChangeAndSaysWhy(t *testing.T) {
	b := settled(t, false)
	b.slow["d"] = true
	b.propose("a", "x")
	b.wait(time.Second)
	for _, p := range b.held["d"] {
		b.step("d", Persisted{Seq: p.Seq, Err: errors.New("no space left on device")})
	}
	b.slow["d"] = false
	b.wait(time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != Dropped || f.DroppedBy != "d" || !strings.Contains(f.Reason, "no space left") {
		t.Errorf("%+v", f)
	}
	for _, n := range b.names {
		if !b.takes(n) || b.serve[n].Document.Number != 0 || b.nodes[n].Status().Pending != "" {
			t.Errorf("%s: %+v, in doubt of %q", n, b.serve[n], b.nodes[n].Status().Pending)
		}
	}
}

func TestWhoCantServeByItDropsTheChange(t *testing.T) {
	b := settled(t, false)
	b.nodes["c"].s.Check = func([]Document) error { return errors.New("zone north is none of this daemon's") }
	b.propose("a", "x")
	b.wait(2 * time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != Dropped || f.DroppedBy != "c" || !strings.Contains(f.Reason, "zone north") {
		t.Errorf("%+v", f)
	}
}

func TestCutOffItStopsWithItsLeaseAndTheChangeWaitsForThat(t *testing.T) {
	b := settled(t, true)
	b.isolate("d", true)
	began := b.now
	b.propose("a", "x")
	for b.nodes["a"].ChangeStatus("x").State != Committed {
		if b.wait(50 * time.Millisecond); b.now-began > 20*time.Second {
			t.Fatalf("%+v", b.nodes["a"].ChangeStatus("x"))
		}
		if b.nodes["a"].ActivePolicy().Number == 1 && b.takes("d") {
			t.Fatalf("%v after the cut d takes by policy 0, and 1 is in force", b.now-began)
		}
	}
	b.isolate("d", false)
	if b.wait(2 * time.Second); !b.takes("d") || b.serve["d"].Document.Number != 1 {
		t.Errorf("back again: %+v", b.serve["d"])
	}
}

func TestCutOffItServesOnAndVetoes(t *testing.T) {
	b := settled(t, false)
	b.isolate("d", true)
	b.propose("a", "x")
	b.wait(30 * time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != Dropped || f.DroppedBy != "d" {
		t.Errorf("%+v", f)
	}
	if !b.takes("d") || len(b.serve["d"].Preparing) > 0 {
		t.Errorf("%+v", b.serve["d"])
	}
}

// It has the change on its disk, and does not know what became of it: by its lease it serves on, then by what both allow.
func TestInDoubtItServesByWhatBothAllow(t *testing.T) {
	b := settled(t, false)
	b.slow["e"] = true // the change waits for it
	b.propose("a", "x")
	b.wait(time.Second)
	b.isolate("d", true)
	cut := b.now
	b.slow["e"] = false
	for _, p := range b.held["e"] {
		b.step("e", Persisted{Seq: p.Seq})
	}
	b.wait(time.Second)
	if b.nodes["a"].ActivePolicy().Number != 1 {
		t.Fatalf("all had it on their disks: %+v", b.nodes["a"].ChangeStatus("x"))
	}
	b.wait(DefaultLease)
	if got := b.serve["d"]; len(got.Preparing) != 1 || got.Preparing[0].ID != "x" || got.Document.Number != 0 || !b.takes("d") {
		t.Errorf("%v after the cut: %+v", b.now-cut, got)
	}
	b.isolate("d", false)
	if b.wait(2 * time.Second); b.serve["d"].Document.Number != 1 || len(b.serve["d"].Preparing) > 0 {
		t.Errorf("%+v", b.serve["d"])
	}
}

// A leader that is being replaced answers nobody: it may not know what the next one has decided.
func TestALeaderThatIsCutOffGrantsNothing(t *testing.T) {
	b := settled(t, true)
	old := b.leader()
	var others []string
	for _, o := range []string{"a", "b", "c"} {
		if o != old {
			others = append(others, o)
		}
	}
	for _, o := range others { // d hears only the old one
		b.cut[old+">"+o], b.cut[o+">"+old], b.cut["d>"+o], b.cut[o+">d"] = true, true, true, true
	}
	b.wait(DefaultLease + 2*time.Second)
	if b.takes("d") || b.takes(old) {
		t.Errorf("d: %+v, %s: %+v", b.serve["d"], old, b.serve[old])
	}
	if !b.takes(others[0]) || !b.takes(others[1]) {
		t.Error("the others have found no leader")
	}
}

// While a member is being taken out of the roster it is told nothing: the word could outlast the decision.
func TestWhoIsBeingTakenOutIsToldNothing(t *testing.T) {
	b := settled(t, true)
	lead := b.leader()
	v := b.nodes[lead].v
	v.lead.members["d"].out = true
	v.lead.joins["d"] = joining{v.lead.members["d"].life, 0, b.now + time.Hour} // and that is under way
	before := b.serve["d"].Until
	b.wait(DefaultLease / 2)
	if b.serve["d"].Until > before {
		t.Error("its lease goes on")
	}
}

func TestAnAnswerCountsFromItsQuestion(t *testing.T) {
	b := settled(t, true)
	m := &b.nodes["d"].m
	m.asked[900] = b.now - 2*time.Second
	m.seq, m.lease = 900, 0
	want := b.now - 2*time.Second + DefaultLease
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: 900, Leader: "a", InRoster: true}}})
	if m.lease != want {
		t.Errorf("a lease until %v by an answer to a question of 2 s ago, not %v", m.lease, want)
	}
	last := m.lease
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: 900, Leader: "a", InRoster: true}}}) // doubled
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: 5, Leader: "a", InRoster: true, Pending: "z"}}})
	if m.lease != last || len(m.fetching) > 0 {
		t.Error("an answer to nothing was taken")
	}
}

// A voter whose disk was lost votes for nobody who has less than the others told it.
func TestAVoterThatLostItsDiskVotesForNobodyBehind(t *testing.T) {
	b := settled(t, true)
	b.propose("a", "x")
	b.wait(time.Second)
	lead := b.leader()
	lost := "a"
	if lost == lead {
		lost = "b"
	}
	b.nodes[lost] = nil
	b.isolate(lost, true)
	b.start(lost, 77, true, StoredState{})
	v := b.nodes[lost].v
	if v.rn != nil {
		t.Fatal("it takes part before it has asked")
	}
	top := b.nodes[lead].v.last()
	for _, o := range []string{"a", "b", "c"} {
		if o != lost {
			b.step(lost, Received{o, &Message{PositionResponse: &PositionResponse{Number: v.call, ProvenCurrent: true, Term: 9, LastTerm: top.term, LastIndex: top.index, Voters: []string{"a", "b", "c"}}}})
		}
	}
	if v.rn == nil || v.floor != top {
		t.Fatalf("floor %+v, and %+v is known", v.floor, top)
	}
	var got []*raftpb.Message
	ask := func(term, index uint64) {
		m := &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: new(idOf(lead)), To: new(v.id), Term: new(uint64(20)), LogTerm: new(term), Index: new(index)}
		for _, x := range b.nodes[lost].Step(b.now, Received{lead, &Message{Raft: must(proto.Marshal(m))}}) {
			if p, ok := x.(Persist); ok {
				for _, y := range b.nodes[lost].Step(b.now, Persisted{Seq: p.Seq}) {
					if s, ok := y.(Send); ok && s.Message.Raft != nil {
						r := &raftpb.Message{}
						if proto.Unmarshal(s.Message.Raft, r) == nil && r.GetType() == raftpb.MsgVoteResp && !r.GetReject() {
							got = append(got, r)
						}
					}
				}
			}
		}
	}
	if ask(top.term, top.index-1); len(got) != 0 {
		t.Error("it votes for one that has less")
	}
	if ask(top.term, top.index); len(got) != 1 {
		t.Error("it does not vote for one that has all")
	}
}

func TestItWaitsForAllOthersWhereNobodyProvesMore(t *testing.T) {
	for _, c := range []struct {
		proved, unproved int
		part             bool
	}{{0, 0, false}, {1, 0, false}, {0, 1, false}, {2, 0, true}, {0, 2, true}, {1, 1, true}} {
		n, err := New(Settings{Name: "a", RunID: 1, Voters: []string{"a", "b", "c"}}, StoredState{}, 1)
		if err != nil {
			t.Fatal(err)
		}
		n.Step(time.Second)
		for i, o := range []string{"b", "c"} {
			if i < c.proved+c.unproved {
				n.Step(time.Second, Received{o, &Message{PositionResponse: &PositionResponse{Number: n.v.call, ProvenCurrent: i < c.proved, LastTerm: 1, LastIndex: 1}}})
			}
		}
		if got := n.v.rn != nil; got != c.part {
			t.Errorf("%+v: takes part %v", c, got)
		}
	}
}

func TestSettingsThatMakeNoSenseAreRefused(t *testing.T) {
	for _, s := range []Settings{{}, {Name: "a", RunID: 1}, {Name: "a", RunID: 1, Voters: []string{"a", "b"}}, {Name: "a", RunID: 1, Voters: []string{"a", "a", "b"}},
		{Name: "a", RunID: 1, Voters: []string{"a"}, Lease: time.Millisecond}} {
		if _, err := New(s, StoredState{}, 1); err == nil {
			t.Errorf("%+v is taken", s)
		}
	}
	if _, err := New(Settings{Name: "a", RunID: 1, Voters: []string{"a"}}, StoredState{Member: []byte("?")}, 1); err == nil {
		t.Error("a member's part that is none is taken")
	}
}

func TestOldOutcomesAndTextsAreForgotten(t *testing.T) {
	s := &state{}
	for i := range endedMost + 20 {
		id := fmt.Sprint("x", i)
		apply(s, command{Do: doPropose, Doc: doc(id), Base: s.Force.Number}, command{Do: doCommit, ID: id})
	}
	if len(s.Ended) != endedMost || len(s.Kept) != keptMost || s.Force.Number != endedMost+20 {
		t.Errorf("%d ended, %d kept, number %d", len(s.Ended), len(s.Kept), s.Force.Number)
	}
	if p := s.past("", s.Force.Number-3); p.Document == nil || p.Document.ID != fmt.Sprint("x", endedMost+16) || slices.ContainsFunc(p.Changes, func(e EndedChange) bool { return e.Document.Body != nil }) {
		t.Errorf("%+v", p.Document)
	}
}

// Where the disk takes nothing, what is in force is served by all the same; it is a change that is under way that waits.
func TestWhoComesWithAFullDiskServesByWhatIsInForce(t *testing.T) {
	b := settled(t, false)
	b.propose("a", "x")
	b.wait(time.Second)
	b.nodes["d"] = nil
	b.slow["d"] = true
	b.start("d", 88, false, StoredState{})
	for range 20 {
		b.wait(100 * time.Millisecond)
		held := b.held["d"]
		b.held["d"] = nil
		for _, p := range held {
			b.step("d", Persisted{Seq: p.Seq, Err: errors.New("no space left on device")})
		}
	}
	if s := b.serve["d"]; s.Document.Number != 1 || !b.takes("d") {
		t.Errorf("%+v", s)
	}
	if asked := b.nodes["d"].m.seq; asked > 100 {
		t.Errorf("%d questions in 2 s", asked)
	}
}

// What a leader before it told members, the next one can't know: it waits one lease before it holds any for over.
func TestTheNextLeaderWaitsForLeasesOfTheLast(t *testing.T) {
	b := settled(t, true)
	old := b.leader()
	for _, x := range []string{old, "d"} {
		for _, y := range b.names {
			if y != old && y != "d" {
				b.cut[x+">"+y], b.cut[y+">"+x] = true, true
			}
		}
	}
	began := b.now
	b.propose("e", "x")
	for b.nodes["e"].ActivePolicy().Number == 0 {
		if b.wait(20 * time.Millisecond); b.now-began > 30*time.Second {
			t.Fatalf("%+v", b.nodes["e"].ChangeStatus("x"))
		}
	}
	if b.takes("d") || b.takes(old) {
		t.Errorf("%v after the cut policy 1 is in force, and one that is cut off takes by 0", b.now-began)
	}
}

func TestNoAnswerBeforeAQuorumConfirmsTheLeader(t *testing.T) {
	b := settled(t, true)
	lead := b.leader()
	for _, o := range []string{"a", "b", "c"} {
		b.cut[lead+">"+o], b.cut[o+">"+lead] = o != lead, o != lead
	}
	before := b.serve["d"].Until
	b.step("d", RenewNow{})
	if b.wait(100 * time.Millisecond); b.serve["d"].Until > before {
		t.Error("a leader that nobody confirms has answered")
	}
}

func TestAloneItTakesNothingUnlessItsFileSaysSo(t *testing.T) {
	for _, last := range []bool{false, true} {
		n, err := New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}, ServeLastKnown: last}, StoredState{Member: encode(&savedMember{Force: *doc("x")})}, 1)
		if err != nil {
			t.Fatal(err)
		}
		n.Step(0, NameOwnership{Exclusive: true})
		for now := time.Duration(0); now < 20*time.Second; now = n.Next() {
			n.Step(now)
			if took := n.Serving().Until > now; took != (last && now >= DefaultStandaloneAfter) {
				t.Fatalf("last %v, after %v: %+v", last, now, n.Serving())
			}
		}
		if s := n.Serving(); last && (!s.Standalone || s.Document.ID != "x") {
			t.Errorf("%+v", s)
		}
	}
}

func TestNobodyGoesBackToAnEarlierPolicy(t *testing.T) {
	b := settled(t, true)
	b.propose("a", "x")
	b.wait(time.Second)
	m := &b.nodes["d"].m
	m.seq += 100
	m.asked[m.seq] = b.now
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", InRoster: true, ActiveNumber: 0}}})
	if s := b.serve["d"]; s.Document.Number != 1 || !b.takes("d") {
		t.Errorf("%+v", s)
	}
}

// A leader looks through the roster when the last member may have said that it has a change, and each 100 ms: not at each
// answer, which costs the square of the members for each change.
func TestTheLeaderLooksThroughTheRosterAFewTimesForAChange(t *testing.T) {
	names := []string{"a", "b", "c"}
	for i := range 57 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	b := newBench(t, true, names...)
	b.wait(6 * time.Second)
	lead := b.nodes[b.leader()].v
	looks := lead.lead.looks
	b.propose("m00", "x")
	asked := b.now
	for lead.state.Force.ID != "x" && b.now < asked+time.Second {
		b.wait(time.Millisecond)
	}
	if took := b.now - asked; took >= lookEvery {
		t.Errorf("the last one has it, and it is in force only after %v", took)
	}
	b.wait(time.Second)
	for name, n := range b.nodes {
		if n.ActivePolicy().ID != "x" {
			t.Errorf("%s goes by %q", name, n.ActivePolicy().ID)
		}
	}
	if got := lead.lead.looks - looks; got > 15 {
		t.Errorf("the leader looked through the roster %d times for one change", got)
	}
}
