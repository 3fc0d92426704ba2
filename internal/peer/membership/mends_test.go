package membership

import (
	"testing"
	"time"
)

// Each of these is a fault that drills found, told as a table of events.

func stateOf(v *View, name string) State { return v.members[name].State }

// receiveSuspicion has m0 tell that another is suspect.
func receiveSuspicion(v *View, n int, inc uint32) {
	r := testRecord(n)
	r.State, r.Reporter, r.Incarnation = Suspect, "m0", inc
	v.Step(v.now+ms, datagramFrom(testRecord(0), uint64(v.now), Message{Kind: Gossip, Updates: []Record{r}}))
}

func TestDeathFromAnExchangeBecomesASuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	r := testRecord(1)
	r.State = Dead
	v.Step(ms, ExchangeClosed{&Exchange{From: "m0", Records: []Record{r}}})
	if got := stateOf(v, "m1"); got != Suspect {
		t.Errorf("%v", got)
	}
}

func TestGossipedDeathOfARecentSenderBecomesASuspicion(t *testing.T) {
	for _, c := range []struct {
		ago  time.Duration
		want State
	}{{DefaultMinSuspicion / 2, Suspect}, {2 * DefaultMinSuspicion, Dead}} {
		v := newTestView(t)
		learnMembers(v, 3)
		v.Step(ms, datagramFrom(testRecord(1), 1, Message{Kind: Gossip}))
		v.now += c.ago
		r := testRecord(1)
		r.State = Dead
		v.Step(v.now, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{r}}))
		if got := stateOf(v, "m1"); got != c.want {
			t.Errorf("heard %v ago: %v", c.ago, got)
		}
	}
}

// runUntilProbed runs until the view has probed a member, and is the probe.
func runUntilProbed(t *testing.T, v *View, name string) Send {
	t.Helper()
	for range 200 {
		for _, s := range sentOfKind(v.Step(v.Next()), Ping) {
			if s.Message.Target == name {
				return s
			}
		}
	}
	t.Fatalf("%s is never probed", name)
	return Send{}
}

func TestIndirectProbeAsksTheLastSuccessfulHelperFirst(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 8)
	for round := range 5 {
		p := &probe{target: "m1", seq: v.nextSeq()}
		v.probes, v.actions = []*probe{p}, nil
		if !v.probeIndirectly(p) || len(p.helpers) < indirectHelpers {
			t.Fatalf("%d helpers", len(p.helpers))
		}
		if round > 0 && p.helpers[0].Name != "m5" {
			t.Errorf("round %d: %s is asked first", round, p.helpers[0].Name)
		}
		v.Step(v.now+ms, datagramFrom(testRecord(5), uint64(round+1), Message{Kind: Ack, Seq: p.seq, Target: "m1"}))
		if got := stateOf(v, "m1"); got != Alive || len(v.probes) > 0 && v.probes[0] == p {
			t.Fatalf("reached through another, and %v", got)
		}
	}
}

func TestProbeOfASuspectCarriesTheSuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	receiveSuspicion(v, 1, 0)
	v.updates = updateQueue{}
	p := runUntilProbed(t, v, "m1")
	if len(p.Message.Updates) == 0 || p.Message.Updates[0].Name != "m1" || p.Message.Updates[0].State != Suspect {
		t.Errorf("%+v", p.Message.Updates)
	}
}

func TestRefutedMemberIsNotSuspectedAgainAtOnce(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 4)
	v.suspect(v.members["m1"])
	r := testRecord(1)
	r.Incarnation = 1
	v.Step(v.now+ms, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{r}}))
	m := v.members["m1"]
	v.probeFailed(&probe{target: "m1"})
	if m.State != Alive {
		t.Errorf("accused again at once")
	}
	v.now = m.noSuspicionBefore + ms
	v.probeFailed(&probe{target: "m1"})
	if m.State != Suspect {
		t.Errorf("never accused again")
	}
}

func TestSenderOfARefutedSuspicionIsCorrected(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	r := testRecord(1)
	r.Incarnation = 5
	v.Step(ms, datagramFrom(testRecord(2), 1, Message{Kind: Gossip, Updates: []Record{r}}))
	v.updates = updateQueue{}
	r.Incarnation, r.State, r.Reporter = 4, Suspect, "m0"
	got := sentOfKind(v.Step(2*ms, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{r}})), Gossip)
	if len(got) == 0 || got[0].To != testRecord(0).Addr || got[0].Message.Updates[0].Incarnation != 5 {
		t.Errorf("%+v", got)
	}
	own := v.Local() // and of itself
	own.State, own.Reporter = Suspect, "m0"
	v.Step(3*ms, datagramFrom(testRecord(0), 2, Message{Kind: Gossip, Updates: []Record{own}}))
	v.updates = updateQueue{}
	if got := sentOfKind(v.Step(4*ms, datagramFrom(testRecord(0), 3, Message{Kind: Gossip, Updates: []Record{own}})), Gossip); len(got) == 0 {
		t.Error("nothing of itself")
	}
}

func openedExchanges(actions []Action) (all []OpenExchange) {
	for _, a := range actions {
		if o, ok := a.(OpenExchange); ok {
			all = append(all, o)
		}
	}
	return all
}

func TestPersistentDigestMismatchLeadsToAnExchange(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	v.exchange = exchangeState{periodicAt: time.Hour}
	var got []OpenExchange
	for i := uint64(1); len(got) == 0 && v.now < 5*time.Second; i++ {
		v.updates = updateQueue{}
		got = openedExchanges(v.Step(v.now+100*ms, datagramFrom(testRecord(0), i, Message{Kind: Gossip, Digest: 99})))
	}
	if len(got) == 0 || got[0].To != testRecord(0).Addr {
		t.Errorf("%v by %v", got, v.now)
	}
}

func TestSeedsWithoutAKnownMemberAreRetried(t *testing.T) {
	door := "127.0.0.9:9"
	v := newTestView(t, "127.0.0.2:1", door)
	tried := map[string]int{}
	for i := 0; v.now < 8*time.Second && i < 5000; i++ {
		for _, o := range openedExchanges(v.Step(max(v.Next(), v.now))) {
			tried[o.To]++
			if o.To == door {
				v.Step(v.now+ms, ExchangeFailed{o.ID})
			} else { // m0 is there, and the search has succeeded
				v.Step(v.now+ms, ExchangeResponse{o.ID, &Exchange{From: "m0", Boot: 5, RunID: 100, Records: []Record{testRecord(0)}}})
			}
		}
	}
	if tried[door] < 2 {
		t.Errorf("%v", tried)
	}
}

func TestIncomingExchangeDoesNotEndTheJoin(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	v.Step(0, ExchangeRequest{1, &Exchange{From: "m3", BucketDigests: []uint64{0}, Records: []Record{testRecord(3)}}})
	tries := 0 // the first may have been on its way
	for i := 0; i < 100 && tries < 2; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			tries++
			v.Step(v.now+ms, ExchangeFailed{o.ID})
		}
	}
	if tries < 2 {
		t.Errorf("%d tries: it no longer looks for its seed", tries)
	}
}

func TestStaleFailureDoesNotEndAnotherExchange(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	var first OpenExchange
	for i := 0; first.ID == 0 && i < 100; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			first = o
		}
	}
	v.Step(v.now+ms, ExchangeFailed{first.ID + 7})
	v.Step(v.now+ms, ExchangeResponse{first.ID, &Exchange{From: "m0", Boot: 5, RunID: 100, Records: []Record{testRecord(0)}}})
	if !v.Joined() {
		t.Error("the answer was not taken")
	}
}

func TestIndependentReportersShortenASuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	receiveSuspicion(v, 1, 0)
	m := v.members["m1"]
	was := v.suspicionTimeout(m)
	if least := v.minSuspicion(); was != maxSuspicionFactor*least+unknownRoundTripTimeout {
		t.Fatalf("one accuser: %v", was)
	}
	for _, by := range []string{"m2", "m3", "m4"} {
		r := m.Record
		r.Reporter = by
		v.merge(r, "news")
		if now := v.suspicionTimeout(m); now >= was {
			t.Errorf("after %s: %v, before %v", by, now, was)
		} else {
			was = now
		}
		v.merge(r, "news") // said twice is said once
	}
	if was != v.minSuspicion()+unknownRoundTripTimeout || len(m.suspicion.reporters) != 4 {
		t.Errorf("%v with %v", was, m.suspicion.reporters)
	}
}

func TestDatagramFromASuspectExtendsItsSuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	v.suspect(v.members["m1"])
	for range 100 { // it answers, though its refutation never comes
		v.Step(v.now+100*ms, datagramFrom(testRecord(1), uint64(v.now), Message{Kind: Gossip}))
	}
	if got := stateOf(v, "m1"); got == Dead {
		t.Error("dead, though it was heard all the time")
	}
}

func TestProcessWithLongerUptimeKeepsTheName(t *testing.T) {
	for _, c := range []struct {
		up    uint64 // of the other, in ms
		stand bool
	}{{100_000, true}, {1, false}} {
		v := newTestView(t)
		learnMembers(v, 2)
		v.now += 10 * time.Second
		twin := v.Local()
		twin.Addr, twin.RunID, twin.Boot = "127.0.0.3:1", 99, 50
		asked := sentOfKind(v.Step(v.now, ExchangeClosed{&Exchange{From: "m0", Records: []Record{twin}}}), IdentityRequest)
		if len(asked) != 1 || asked[0].To != twin.Addr {
			t.Fatalf("%+v", asked)
		}
		v.Step(v.now+ms, DatagramReceived{Message: &Message{Kind: IdentityResponse, From: "me", RunID: 99, SubjectRunID: 99, Seq: asked[0].Message.Seq, UptimeMS: c.up}})
		if v.Yields() != c.stand {
			t.Errorf("the other has run for %d ms: stands back: %v", c.up, v.Yields())
		}
		if !c.stand && (v.Local().Boot <= 50 || !v.Local().NameVerified) {
			t.Errorf("it keeps the name, and does not say so: %+v", v.Local())
		}
	}
}

func TestNameOfALiveMemberNeedsVerificationToChangeHands(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	r := testRecord(1)
	r.Addr, r.RunID, r.Boot = "127.0.0.3:1", 77, 50
	v.Step(ms, ExchangeClosed{&Exchange{From: "m0", Records: []Record{r}}})
	if v.members["m1"].RunID == 77 {
		t.Error("taken over unchecked")
	}
	r.NameVerified = true
	v.Step(2*ms, ExchangeClosed{&Exchange{From: "m0", Records: []Record{r}}})
	if v.members["m1"].RunID != 77 {
		t.Error("not taken over though checked")
	}
}

func TestForgetIgnoresALiveMember(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	v.Step(ms, ForgetMember{"m1"})
	if got := stateOf(v, "m1"); got != Alive {
		t.Error(got)
	}
}

func TestJoinIsGossiped(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	v.updates = updateQueue{}
	v.Step(ms, ExchangeRequest{1, &Exchange{From: "m9", BucketDigests: []uint64{0}, Records: []Record{testRecord(9)}}})
	told := false
	for _, a := range runUntil(v, 500*ms) {
		if s, ok := a.(Send); ok {
			for _, u := range s.Message.Updates {
				told = told || u.Name == "m9"
			}
		}
	}
	if !told {
		t.Error("nobody is told")
	}
}

func TestSavedMembersAreContactedButNotTrusted(t *testing.T) {
	v, err := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7, Balancers: 1, KnownMembers: []Record{testRecord(0), testRecord(1)}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := openedExchanges(runUntil(v, time.Second)); len(v.live) != 0 || len(got) == 0 {
		t.Errorf("%d are alive, %d asked", len(v.live), len(got))
	}
	if v.Size().MaxBalancers != 3 { // they may be sending all the same
		t.Errorf("%+v", v.Size())
	}
}

// The fleet of two years is known without a setting, and what comes past the bound is not.
func TestDefaultMaxMembersHoldsTwelveThousand(t *testing.T) {
	var all []Record
	for n := range DefaultMaxMembers + 10 {
		all = append(all, testRecord(n))
	}
	for _, c := range []struct{ told, known int }{{11_999, 12_000}, {len(all), DefaultMaxMembers}} {
		v := newTestView(t)
		v.Step(v.now+ms, ExchangeClosed{Message: &Exchange{From: all[0].Name, Boot: all[0].Boot, RunID: all[0].RunID, Records: all[:c.told]}})
		if got := len(v.Members()); got != c.known {
			t.Errorf("told of %d it knows %d with itself, want %d", c.told, got, c.known)
		}
	}
}

func TestReporterReceivesTheRefutationDirectly(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 50)
	v.updates = updateQueue{}
	own := v.Local()
	own.State, own.Reporter = Suspect, "m7"
	for _, s := range sentOfKind(v.Step(ms, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{own}})), Gossip) {
		if s.To == testRecord(7).Addr && len(s.Message.Updates) > 0 && s.Message.Updates[0].Incarnation == own.Incarnation+1 {
			return
		}
	}
	t.Error("its accuser is not told")
}

func TestSizeChangesInSteps(t *testing.T) {
	v := newTestView(t)
	v.sizes.configured = 600
	learnMembers(v, 299)
	if c := v.Size(); c.MaxBalancers != 600 || !c.FromFile {
		t.Fatalf("%+v", c)
	}
	v.settled = true
	v.Step(v.now + ms)
	if c := v.Size(); c.MaxBalancers != 300 || c.FromFile { // at the start of its life: nothing rests on the file's figure
		t.Errorf("%+v", c)
	}
	r := testRecord(1) // later a leave is told a part at a time
	r.State, r.Balancers = Left, 1
	v.Step(v.now+ms, ExchangeClosed{&Exchange{From: "m0", Records: []Record{r}}})
	if c := v.Size(); c.MaxBalancers != 300 {
		t.Errorf("at once: %+v", c)
	}
	runUntil(v, v.now+3*sizeStepInterval)
	if c := v.Size(); c.MaxBalancers != 299 {
		t.Errorf("never: %+v", c)
	}
}

func TestLeaveIsGossipedWithAgeZero(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	v.now = 5 * time.Hour
	for _, s := range sentOfKind(v.Step(v.now, Leave{}), Gossip) {
		for _, u := range s.Message.Updates {
			if u.Name == "me" && (u.State != Left || u.AgeSeconds != 0) {
				t.Errorf("%+v", u)
			}
		}
	}
}

func TestJoinMovesOnFromASilentSeed(t *testing.T) {
	v := newTestView(t, "127.0.0.8:1", "127.0.0.9:1")
	tried := map[string]time.Duration{}
	for i := 0; i < 500 && len(tried) < 2; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) { // nobody answers, and nothing fails
			tried[o.To] = v.now
		}
	}
	if len(tried) < 2 || v.now > 2*joinTimeout {
		t.Errorf("%v by %v", tried, v.now)
	}
}
