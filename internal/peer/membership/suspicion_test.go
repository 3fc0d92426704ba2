package membership

import (
	"testing"
	"time"
)

func TestRefutesSuspicionDeathAndLeaveOfItself(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 1)
	for _, state := range []State{Suspect, Dead, Left} {
		t.Run(state.String(), func(t *testing.T) {
			received := withState(v.Local(), state)
			gossipFrom(v, testRecord(0), received)
			if own := v.Local(); own.State != Alive || own.Incarnation != received.Incarnation+1 {
				t.Errorf("the member's own record is %+v", own)
			}
		})
	}
}

func TestReporterReceivesTheRefutationDirectly(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 50)
	v.updates = updateQueue{}
	own := v.Local()
	own.State = Suspect
	own.Reporter = "m7"
	for _, s := range sentOfKind(gossipFrom(v, testRecord(0), own), Gossip) {
		updates := s.Message.Updates
		if s.To == testRecord(7).Addr && len(updates) > 0 && updates[0].Incarnation == own.Incarnation+1 {
			return
		}
	}
	t.Error("the reporter does not receive the refutation")
}

func TestGossipedDeathOfARecentSenderBecomesASuspicion(t *testing.T) {
	for _, c := range []struct {
		name string
		ago  time.Duration
		want State
	}{
		{"recent", DefaultMinSuspicion / 2, Suspect},
		{"long ago", 2 * DefaultMinSuspicion, Dead},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTestView(t)
			learnMembers(v, 3)
			v.Step(ms, datagramFrom(testRecord(1), 1, Message{Kind: Gossip}))
			v.now += c.ago
			dead := testRecord(1)
			dead.State = Dead
			v.Step(v.now, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{dead}}))
			requireState(t, v, "m1", c.want)
		})
	}
}

func TestRefutedMemberIsNotSuspectedAgainAtOnce(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 4)
	m := v.members["m1"]
	v.suspect(m)
	refutation := testRecord(1)
	refutation.Incarnation = 1
	v.Step(v.now+ms, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{refutation}}))
	v.probeFailed(&probe{target: "m1"})
	if m.State != Alive {
		t.Error("the member is suspected again at once")
	}
	v.now = m.noSuspicionBefore + ms
	v.probeFailed(&probe{target: "m1"})
	if m.State != Suspect {
		t.Error("the member is never suspected again")
	}
}

func TestSenderOfARefutedSuspicionIsCorrected(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	r := testRecord(1)
	r.Incarnation = 5
	v.Step(ms, datagramFrom(testRecord(2), 1, Message{Kind: Gossip, Updates: []Record{r}}))
	v.updates = updateQueue{}
	r = withState(r, Suspect)
	r.Incarnation = 4
	actions := v.Step(2*ms, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{r}}))
	got := sentOfKind(actions, Gossip)
	if len(got) == 0 || got[0].To != testRecord(0).Addr || got[0].Message.Updates[0].Incarnation != 5 {
		t.Errorf("gossip about another member: %+v", got)
	}

	own := withState(v.Local(), Suspect)
	v.Step(3*ms, datagramFrom(testRecord(0), 2, Message{Kind: Gossip, Updates: []Record{own}}))
	v.updates = updateQueue{}
	actions = v.Step(4*ms, datagramFrom(testRecord(0), 3, Message{Kind: Gossip, Updates: []Record{own}}))
	if len(sentOfKind(actions, Gossip)) == 0 {
		t.Error("the member does not gossip about itself")
	}
}

func TestIndependentReportersShortenASuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	receiveSuspicion(v, 1, 0)
	m := v.members["m1"]
	shortest := v.minSuspicion() + unknownRoundTripTimeout
	previous := v.suspicionTimeout(m)
	if want := maxSuspicionFactor*v.minSuspicion() + unknownRoundTripTimeout; previous != want {
		t.Fatalf("timeout with one reporter %v, want %v", previous, want)
	}
	for _, reporter := range []string{"m2", "m3", "m4"} {
		r := m.Record
		r.Reporter = reporter
		v.merge(r, reasonGossip)
		timeout := v.suspicionTimeout(m)
		if timeout >= previous {
			t.Errorf("timeout after the report of %s %v, before %v", reporter, timeout, previous)
		}
		previous = timeout
		v.merge(r, reasonGossip) // a reporter counts once
	}
	if previous != shortest || len(m.suspicion.reporters) != 4 {
		t.Errorf("timeout %v with reporters %v, want %v", previous, m.suspicion.reporters, shortest)
	}
}

func TestDatagramFromASuspectExtendsItsSuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	v.suspect(v.members["m1"])
	for range 100 { // the refutation never arrives
		v.Step(v.now+100*ms, datagramFrom(testRecord(1), uint64(v.now), Message{Kind: Gossip}))
	}
	if got := stateOf(v, "m1"); got == Dead {
		t.Error("the member is dead, although its datagrams kept arriving")
	}
}

func TestSuspicionTimeoutIncludesTheRoundTrip(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	m := v.members["m1"]
	v.suspect(m)
	timeoutAt := func(roundTrip time.Duration) time.Duration {
		for range 50 {
			v.recordRoundTrip(m, roundTrip)
		}
		return v.suspicionTimeout(m)
	}
	near := timeoutAt(2 * ms)
	far := timeoutAt(250 * ms)
	if far-near < 240*ms || far-near > 400*ms {
		t.Errorf("timeout of a near member %v, of a far one %v", near, far)
	}
}
