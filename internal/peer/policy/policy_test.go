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

func wholePolicyChange(id string) *Document {
	body := []byte("# " + id)
	return &Document{ID: id, Body: body, Digest: DigestOf(body), Author: "a", Reason: "test"}
}

func applyAll(s *replicatedState, all ...command) {
	for i := range all {
		s.apply(&all[i])
	}
}

func TestCommitRequiresCurrentRosterVersion(t *testing.T) {
	s := &replicatedState{}
	applyAll(s, command{Kind: commandJoin, Name: "a", RunID: 1}, command{Kind: commandPropose, Document: wholePolicyChange("x")})
	v := s.RosterVersion
	applyAll(s, command{Kind: commandJoin, Name: "b", RunID: 1}, command{Kind: commandCommit, ID: "x", RosterVersion: v})
	if s.Active.Number != 0 {
		t.Fatal("in force, though one came meanwhile who may not have it")
	}
	applyAll(s, command{Kind: commandCommit, ID: "x", RosterVersion: s.RosterVersion})
	if s.Active.Number != 1 || s.Active.ID != "x" || len(s.PendingChanges) != 0 {
		t.Errorf("%+v", s)
	}
}

func TestChangeOutcomesAreFinal(t *testing.T) {
	for name, c := range map[string]struct {
		all  []command
		id   string
		want ChangeStatus
	}{
		"asked for twice":             {[]command{{Kind: commandPropose, Document: wholePolicyChange("x")}, {Kind: commandPropose, Document: wholePolicyChange("x")}}, "x", ChangeStatus{ID: "x", State: ChangePreparing}},
		"another is under way":        {[]command{{Kind: commandPropose, Document: wholePolicyChange("x")}, {Kind: commandPropose, Document: wholePolicyChange("y")}}, "y", ChangeStatus{ID: "y", State: ChangeAborted, AbortedBy: "a"}},
		"made of an earlier one":      {[]command{{Kind: commandPropose, Document: wholePolicyChange("x")}, {Kind: commandCommit, ID: "x"}, {Kind: commandPropose, Document: wholePolicyChange("y"), Base: 0}}, "y", ChangeStatus{ID: "y", State: ChangeAborted, AbortedBy: "a"}},
		"dropped":                     {[]command{{Kind: commandPropose, Document: wholePolicyChange("x")}, {Kind: commandAbort, ID: "x", AbortedBy: "b"}, {Kind: commandCommit, ID: "x"}}, "x", ChangeStatus{ID: "x", State: ChangeAborted, AbortedBy: "b"}},
		"dropped after it came":       {[]command{{Kind: commandPropose, Document: wholePolicyChange("x")}, {Kind: commandCommit, ID: "x"}, {Kind: commandAbort, ID: "x", AbortedBy: "b"}}, "x", ChangeStatus{ID: "x", State: ChangeCommitted, Number: 1}},
		"dropped before it was known": {[]command{{Kind: commandAbort, ID: "x", AbortedBy: "b"}, {Kind: commandPropose, Document: wholePolicyChange("x")}}, "x", ChangeStatus{ID: "x", State: ChangeAborted, AbortedBy: "b"}},
		"the same text once more": {[]command{{Kind: commandPropose, Document: wholePolicyChange("x")}, {Kind: commandCommit, ID: "x"}, {Kind: commandPropose, Base: 1, Document: func() *Document {
			d := *wholePolicyChange("x")
			d.ID = "y"
			return &d
		}()}}, "y", ChangeStatus{ID: "y", State: ChangeCommitted, Number: 1}},
	} {
		s := &replicatedState{}
		applyAll(s, c.all...)
		got := s.changeStatus(c.id)
		got.Reason = ""
		if got.ID != c.want.ID || got.State != c.want.State || got.AbortedBy != c.want.AbortedBy || got.Number != c.want.Number {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// cluster is nodes whose messages go by hand.
type cluster struct {
	t             *testing.T
	now           time.Duration
	nodes         map[string]*Node
	stored        map[string]*StoredState
	blockedLinks  map[string]bool // "a>b"
	stalledDisks  map[string]bool // whose disk does not answer
	stalledWrites map[string][]Persist
	serving       map[string]Serving
	names         []string
	parts         map[string][]string // that they hold
	legacyMembers map[string]bool     // whose questions are as form 1 has them
}

func newCluster(t *testing.T, stops bool, names ...string) *cluster {
	b := &cluster{t: t, nodes: map[string]*Node{}, stored: map[string]*StoredState{}, blockedLinks: map[string]bool{}, stalledDisks: map[string]bool{}, stalledWrites: map[string][]Persist{}, serving: map[string]Serving{}, names: names, parts: map[string][]string{}, legacyMembers: map[string]bool{}}
	for i, n := range names {
		b.start(n, uint64(i+1), stops, StoredState{})
	}
	return b
}

func (b *cluster) start(name string, life uint64, stops bool, d StoredState) {
	b.t.Helper()
	n, err := New(Settings{Name: name, RunID: life, Voters: []string{"a", "b", "c"}, StopWhenIsolated: stops, Parts: b.parts[name]}, d, life)
	if err != nil {
		b.t.Fatal(err)
	}
	b.nodes[name], b.stored[name] = n, &d
	b.step(name, NameOwnership{Exclusive: true})
}

// step steps one, and all that comes of it: messages take no time.
func (b *cluster) step(name string, events ...Event) {
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
				if q := a.Message.LeaseRequest; q != nil && b.legacyMembers[q.Name] {
					q.Format, q.KnownUpTo, q.PreparedIDs, q.PartsHash, q.Parts = 0, 0, nil, 0, nil
				}
				if !b.blockedLinks[x.name+">"+a.To] {
					all = append(all, todo{a.To, []Event{Received{x.name, a.Message}}})
				}
			case Persist:
				if b.stalledDisks[x.name] {
					b.stalledWrites[x.name] = append(b.stalledWrites[x.name], a)
					continue
				}
				if a.Batch.Member != nil {
					b.stored[x.name].Member = a.Batch.Member
				}
				all = append(all, todo{x.name, []Event{Persisted{Seq: a.Seq}}})
			case ServingChanged:
				b.serving[x.name] = a.Serving
			}
		}
	}
}

func (b *cluster) run(d time.Duration) {
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

func (b *cluster) leader() string {
	for _, name := range b.names {
		if n := b.nodes[name]; n != nil && n.raftNode != nil && n.raftNode.isLeader() && n.raftNode.coordinator.term > 0 {
			return name
		}
	}
	b.t.Fatal("nobody leads")
	return ""
}

func (b *cluster) propose(at, id string) {
	b.step(at, Propose{Proposal{Base: b.nodes[at].ActivePolicy().Number, Document: *wholePolicyChange(id)}})
}

func (b *cluster) isolate(name string, on bool) {
	for _, o := range b.names {
		b.blockedLinks[name+">"+o], b.blockedLinks[o+">"+name] = on && o != name, on && o != name
	}
}

func (b *cluster) admits(name string) bool {
	s := b.serving[name]
	return s.Blocked == "" && b.now < s.Until
}

func newSettledCluster(t *testing.T, stops bool) *cluster {
	b := newCluster(t, stops, "a", "b", "c", "d", "e")
	b.run(6 * time.Second)
	for _, n := range b.names {
		if !b.admits(n) {
			t.Fatalf("%s takes nothing: %+v", n, b.serving[n])
		}
	}
	return b
}

func TestCommittedChangeIsServedEverywhere(t *testing.T) {
	b := newSettledCluster(t, true)
	b.propose("d", "x")
	b.run(time.Second)
	for _, n := range b.names {
		if got := b.serving[n]; got.Document.Number != 1 || got.Document.ID != "x" || !b.admits(n) {
			t.Errorf("%s: %+v", n, got)
		}
	}
	if f := b.nodes["d"].ChangeStatus("x"); f.State != ChangeCommitted || f.Number != 1 {
		t.Errorf("%+v", f)
	}
}

func TestMemberIsPreparedOnlyAfterPersisting(t *testing.T) {
	b := newSettledCluster(t, false)
	b.stalledDisks["d"] = true
	b.propose("a", "x")
	b.run(2 * time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != ChangePreparing {
		t.Fatalf("%+v while the disk of d has not taken it", f)
	}
	held := b.stalledWrites["d"]
	b.stalledDisks["d"], b.stalledWrites["d"] = false, nil
	for _, p := range held {
		b.step("d", Persisted{Seq: p.Seq})
	}
	if b.run(time.Second); b.nodes["a"].ChangeStatus("x").State != ChangeCommitted {
		t.Errorf("%+v", b.nodes["a"].ChangeStatus("x"))
	}
}

func TestFullDiskAbortsTheChange(t *testing.T) {
	b := newSettledCluster(t, false)
	b.stalledDisks["d"] = true
	b.propose("a", "x")
	b.run(time.Second)
	for _, p := range b.stalledWrites["d"] {
		b.step("d", Persisted{Seq: p.Seq, Err: errors.New("no space left on device")})
	}
	b.stalledDisks["d"] = false
	b.run(time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != ChangeAborted || f.AbortedBy != "d" || !strings.Contains(f.Reason, "no space left") {
		t.Errorf("%+v", f)
	}
	for _, n := range b.names {
		if !b.admits(n) || b.serving[n].Document.Number != 0 || b.nodes[n].Status().Pending != "" {
			t.Errorf("%s: %+v, in doubt of %q", n, b.serving[n], b.nodes[n].Status().Pending)
		}
	}
}

func TestFailedCheckAbortsTheChange(t *testing.T) {
	b := newSettledCluster(t, false)
	b.nodes["c"].settings.Check = func([]Document) error { return errors.New("zone north is none of this daemon's") }
	b.propose("a", "x")
	b.run(2 * time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != ChangeAborted || f.AbortedBy != "c" || !strings.Contains(f.Reason, "zone north") {
		t.Errorf("%+v", f)
	}
}

func TestIsolatedMemberStopsAtLeaseExpiryBeforeCommit(t *testing.T) {
	b := newSettledCluster(t, true)
	b.isolate("d", true)
	began := b.now
	b.propose("a", "x")
	for b.nodes["a"].ChangeStatus("x").State != ChangeCommitted {
		if b.run(50 * time.Millisecond); b.now-began > 20*time.Second {
			t.Fatalf("%+v", b.nodes["a"].ChangeStatus("x"))
		}
		if b.nodes["a"].ActivePolicy().Number == 1 && b.admits("d") {
			t.Fatalf("%v after the cut d takes by policy 0, and 1 is in force", b.now-began)
		}
	}
	b.isolate("d", false)
	if b.run(2 * time.Second); !b.admits("d") || b.serving["d"].Document.Number != 1 {
		t.Errorf("back again: %+v", b.serving["d"])
	}
}

func TestIsolatedMemberServesOnAndBlocksTheChange(t *testing.T) {
	b := newSettledCluster(t, false)
	b.isolate("d", true)
	b.propose("a", "x")
	b.run(30 * time.Second)
	if f := b.nodes["a"].ChangeStatus("x"); f.State != ChangeAborted || f.AbortedBy != "d" {
		t.Errorf("%+v", f)
	}
	if !b.admits("d") || len(b.serving["d"].Preparing) > 0 {
		t.Errorf("%+v", b.serving["d"])
	}
}

// It has the change on its disk, and does not know what became of it: by its lease it serves on, then by what both allow.
func TestUncertainMemberServesIntersection(t *testing.T) {
	b := newSettledCluster(t, false)
	b.stalledDisks["e"] = true // the change waits for it
	b.propose("a", "x")
	b.run(time.Second)
	b.isolate("d", true)
	cut := b.now
	b.stalledDisks["e"] = false
	for _, p := range b.stalledWrites["e"] {
		b.step("e", Persisted{Seq: p.Seq})
	}
	b.run(time.Second)
	if b.nodes["a"].ActivePolicy().Number != 1 {
		t.Fatalf("all had it on their disks: %+v", b.nodes["a"].ChangeStatus("x"))
	}
	b.run(DefaultLease)
	if got := b.serving["d"]; len(got.Preparing) != 1 || got.Preparing[0].ID != "x" || got.Document.Number != 0 || !b.admits("d") {
		t.Errorf("%v after the cut: %+v", b.now-cut, got)
	}
	b.isolate("d", false)
	if b.run(2 * time.Second); b.serving["d"].Document.Number != 1 || len(b.serving["d"].Preparing) > 0 {
		t.Errorf("%+v", b.serving["d"])
	}
}

// A leader that is being replaced answers nobody: it may not know what the next one has decided.
func TestIsolatedLeaderGrantsNoLease(t *testing.T) {
	b := newSettledCluster(t, true)
	old := b.leader()
	var others []string
	for _, o := range []string{"a", "b", "c"} {
		if o != old {
			others = append(others, o)
		}
	}
	for _, o := range others { // d hears only the old one
		b.blockedLinks[old+">"+o], b.blockedLinks[o+">"+old], b.blockedLinks["d>"+o], b.blockedLinks[o+">d"] = true, true, true, true
	}
	b.run(DefaultLease + 2*time.Second)
	if b.admits("d") || b.admits(old) {
		t.Errorf("d: %+v, %s: %+v", b.serving["d"], old, b.serving[old])
	}
	if !b.admits(others[0]) || !b.admits(others[1]) {
		t.Error("the others have found no leader")
	}
}

// While a member is being taken out of the roster it is told nothing: the word could outlast the decision.
func TestMemberBeingRemovedGetsNoLease(t *testing.T) {
	b := newSettledCluster(t, true)
	lead := b.leader()
	v := b.nodes[lead].raftNode
	v.coordinator.members["d"].removing = true
	v.coordinator.rosterChanges["d"] = rosterChange{v.coordinator.members["d"].runID, 0, b.now + time.Hour} // and that is under way
	before := b.serving["d"].Until
	b.run(DefaultLease / 2)
	if b.serving["d"].Until > before {
		t.Error("its lease goes on")
	}
}

func TestLeaseCountsFromTheRequest(t *testing.T) {
	b := newSettledCluster(t, true)
	m := &b.nodes["d"].member
	m.outstanding[900] = b.now - 2*time.Second
	m.seq, m.leaseExpiry = 900, 0
	want := b.now - 2*time.Second + DefaultLease
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: 900, Leader: "a", InRoster: true}}})
	if m.leaseExpiry != want {
		t.Errorf("a lease until %v by an answer to a question of 2 s ago, not %v", m.leaseExpiry, want)
	}
	last := m.leaseExpiry
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: 900, Leader: "a", InRoster: true}}}) // doubled
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: 5, Leader: "a", InRoster: true, Pending: "z"}}})
	if m.leaseExpiry != last || len(m.fetching) > 0 {
		t.Error("an answer to nothing was taken")
	}
}

// A voter whose disk was lost votes for nobody who has less than the others told it.
func TestVoterWithLostDiskRejectsCandidatesBehind(t *testing.T) {
	b := newSettledCluster(t, true)
	b.propose("a", "x")
	b.run(time.Second)
	lead := b.leader()
	lost := "a"
	if lost == lead {
		lost = "b"
	}
	b.nodes[lost] = nil
	b.isolate(lost, true)
	b.start(lost, 77, true, StoredState{})
	v := b.nodes[lost].raftNode
	if v.rawNode != nil {
		t.Fatal("it takes part before it has asked")
	}
	top := b.nodes[lead].raftNode.lastPosition()
	for _, o := range []string{"a", "b", "c"} {
		if o != lost {
			b.step(lost, Received{o, &Message{PositionResponse: &PositionResponse{Number: v.startNumber, ProvenCurrent: true, Term: 9, LastTerm: top.term, LastIndex: top.index, Voters: []string{"a", "b", "c"}}}})
		}
	}
	if v.rawNode == nil || v.voteFloor != top {
		t.Fatalf("floor %+v, and %+v is known", v.voteFloor, top)
	}
	var got []*raftpb.Message
	ask := func(term, index uint64) {
		m := &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: new(raftID(lead)), To: new(v.id), Term: new(uint64(20)), LogTerm: new(term), Index: new(index)}
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

func TestRecoveringVoterNeedsAQuorumOfPositions(t *testing.T) {
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
				n.Step(time.Second, Received{o, &Message{PositionResponse: &PositionResponse{Number: n.raftNode.startNumber, ProvenCurrent: i < c.proved, LastTerm: 1, LastIndex: 1}}})
			}
		}
		if got := n.raftNode.rawNode != nil; got != c.part {
			t.Errorf("%+v: takes part %v", c, got)
		}
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
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

func TestEndedChangesAndRetainedDocumentsAreBounded(t *testing.T) {
	s := &replicatedState{}
	for i := range maxEndedChanges + 20 {
		id := fmt.Sprint("x", i)
		applyAll(s, command{Kind: commandPropose, Document: wholePolicyChange(id), Base: s.Active.Number}, command{Kind: commandCommit, ID: id})
	}
	if len(s.EndedChanges) != maxEndedChanges || len(s.Retained) != maxRetainedPolicies || s.Active.Number != maxEndedChanges+20 {
		t.Errorf("%d ended, %d kept, number %d", len(s.EndedChanges), len(s.Retained), s.Active.Number)
	}
	if p := s.history("", s.Active.Number-3); p.Document == nil || p.Document.ID != fmt.Sprint("x", maxEndedChanges+16) || slices.ContainsFunc(p.Changes, func(e EndedChange) bool { return e.Document.Body != nil }) {
		t.Errorf("%+v", p.Document)
	}
}

// Where the disk takes nothing, what is in force is served by all the same; it is a change that is under way that waits.
func TestFullDiskDoesNotBlockActivePolicy(t *testing.T) {
	b := newSettledCluster(t, false)
	b.propose("a", "x")
	b.run(time.Second)
	b.nodes["d"] = nil
	b.stalledDisks["d"] = true
	b.start("d", 88, false, StoredState{})
	for range 20 {
		b.run(100 * time.Millisecond)
		held := b.stalledWrites["d"]
		b.stalledWrites["d"] = nil
		for _, p := range held {
			b.step("d", Persisted{Seq: p.Seq, Err: errors.New("no space left on device")})
		}
	}
	if s := b.serving["d"]; s.Document.Number != 1 || !b.admits("d") {
		t.Errorf("%+v", s)
	}
	if asked := b.nodes["d"].member.seq; asked > 100 {
		t.Errorf("%d questions in 2 s", asked)
	}
}

// What a leader before it told members, the next one can't know: it waits one lease before it holds any for over.
func TestNewLeaderWaitsForLeasesOfItsPredecessor(t *testing.T) {
	b := newSettledCluster(t, true)
	old := b.leader()
	for _, x := range []string{old, "d"} {
		for _, y := range b.names {
			if y != old && y != "d" {
				b.blockedLinks[x+">"+y], b.blockedLinks[y+">"+x] = true, true
			}
		}
	}
	began := b.now
	b.propose("e", "x")
	for b.nodes["e"].ActivePolicy().Number == 0 {
		if b.run(20 * time.Millisecond); b.now-began > 30*time.Second {
			t.Fatalf("%+v", b.nodes["e"].ChangeStatus("x"))
		}
	}
	if b.admits("d") || b.admits(old) {
		t.Errorf("%v after the cut policy 1 is in force, and one that is cut off takes by 0", b.now-began)
	}
}

func TestLeaderRespondsOnlyAfterReadIndex(t *testing.T) {
	b := newSettledCluster(t, true)
	lead := b.leader()
	for _, o := range []string{"a", "b", "c"} {
		b.blockedLinks[lead+">"+o], b.blockedLinks[o+">"+lead] = o != lead, o != lead
	}
	before := b.serving["d"].Until
	b.step("d", RenewNow{})
	if b.run(100 * time.Millisecond); b.serving["d"].Until > before {
		t.Error("a leader that nobody confirms has answered")
	}
}

func TestStandaloneStartServesOnlyIfConfigured(t *testing.T) {
	for _, last := range []bool{false, true} {
		n, err := New(Settings{Name: "d", RunID: 1, Voters: []string{"a", "b", "c"}, ServeLastKnown: last}, StoredState{Member: encode(&savedMember{Active: *wholePolicyChange("x")})}, 1)
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

func TestMemberNeverRevertsToAnOlderPolicy(t *testing.T) {
	b := newSettledCluster(t, true)
	b.propose("a", "x")
	b.run(time.Second)
	m := &b.nodes["d"].member
	m.seq += 100
	m.outstanding[m.seq] = b.now
	b.step("d", Received{"a", &Message{LeaseResponse: &LeaseResponse{Seq: m.seq, Leader: "a", InRoster: true, ActiveNumber: 0}}})
	if s := b.serving["d"]; s.Document.Number != 1 || !b.admits("d") {
		t.Errorf("%+v", s)
	}
}

// A leader looks through the roster when the last member may have said that it has a change, and each 100 ms: not at each
// answer, which costs the square of the members for each change.
func TestRosterReviewsPerChangeAreBounded(t *testing.T) {
	names := []string{"a", "b", "c"}
	for i := range 57 {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	b := newCluster(t, true, names...)
	b.run(6 * time.Second)
	lead := b.nodes[b.leader()].raftNode
	looks := lead.coordinator.reviews
	b.propose("m00", "x")
	asked := b.now
	for lead.state.Active.ID != "x" && b.now < asked+time.Second {
		b.run(time.Millisecond)
	}
	if took := b.now - asked; took >= reviewInterval {
		t.Errorf("the last one has it, and it is in force only after %v", took)
	}
	b.run(time.Second)
	for name, n := range b.nodes {
		if n.ActivePolicy().ID != "x" {
			t.Errorf("%s goes by %q", name, n.ActivePolicy().ID)
		}
	}
	if got := lead.coordinator.reviews - looks; got > 15 {
		t.Errorf("the leader looked through the roster %d times for one change", got)
	}
}
