package membership

import (
	"testing"
	"time"
)

func TestAcksOnlyProbesForOwnName(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 1)
	ping := Message{Kind: Ping, Seq: 9, Target: "me", Addr: "127.0.0.2:1"}
	if got := sentOfKind(v.Step(ms, datagramFrom(testRecord(0), 1, ping)), Ack); len(got) != 1 || got[0].Message.Seq != 9 {
		t.Errorf("acks %+v", got)
	}
	ping = Message{Kind: Ping, Seq: 9, Target: "you"}
	if got := sentOfKind(v.Step(2*ms, datagramFrom(testRecord(0), 2, ping)), Ack); len(got) != 0 {
		t.Error("the member acked a probe of another member")
	}
}

func TestIndirectProbeAsksTheLastSuccessfulHelperFirst(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 8)
	for round := range 5 {
		p := &probe{target: "m1", seq: v.nextSeq()}
		setProbes(v, p)
		if !v.probeIndirectly(p) || len(p.helpers) < indirectHelpers {
			t.Fatalf("%d helpers", len(p.helpers))
		}
		if round > 0 && p.helpers[0].Name != "m5" {
			t.Errorf("round %d: %s is asked first", round, p.helpers[0].Name)
		}
		ack := Message{Kind: Ack, Seq: p.seq, Target: "m1"}
		v.Step(v.now+ms, datagramFrom(testRecord(5), uint64(round+1), ack))
		requireState(t, v, "m1", Alive)
		if len(v.probes) > 0 && v.probes[0] == p {
			t.Fatal("the probe continues although a helper reached its target")
		}
	}
}

func TestProbeOfASuspectCarriesTheSuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	receiveSuspicion(v, 1, 0)
	v.updates = updateQueue{}
	updates := runUntilProbed(t, v, "m1").Message.Updates
	if len(updates) == 0 || updates[0].Name != "m1" || updates[0].State != Suspect {
		t.Errorf("updates %+v", updates)
	}
}

func TestAckOfARetryIsMeasuredFromTheRetry(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	m := v.members["m1"]
	v.now = time.Second
	v.wakeAt = time.Second
	p := &probe{target: "m1", seq: v.nextSeq(), sentAt: v.now - 300*ms}
	setProbes(v, p)
	v.probeIndirectly(p)
	retry := sentOfKind(v.actions, Ping)[0].Message.Seq
	v.Step(v.now+4*ms, datagramFrom(testRecord(1), 1, Message{Kind: Ack, Seq: retry, Target: "m1"}))
	if mean := m.roundTrip.mean; mean < 0.003 || mean > 0.005 {
		t.Errorf("a mean of %v s", mean)
	}
}

func TestLateAckIsMeasured(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	m := v.members["m1"]
	v.now = time.Second
	v.wakeAt = time.Second
	v.probeFailed(&probe{target: "m1", seq: 70, sentAt: v.now - 400*ms, retrySeq: 71, retrySentAt: v.now - 300*ms})
	late := Message{Kind: Ack, Seq: 70, Target: "m1"}
	v.Step(v.now+ms, datagramFrom(testRecord(0), 1, late))
	if m.roundTrip.mean != 0 {
		t.Fatalf("mean %v s after a helper's ack, which took another path", m.roundTrip.mean)
	}
	v.Step(v.now, datagramFrom(testRecord(1), 1, late))
	if mean := m.roundTrip.mean; mean < 0.4 || mean > 0.41 {
		t.Errorf("a mean of %v s", mean)
	}
}

func TestHelperTimeoutFollowsTheTargetsRoundTrip(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	for range 50 {
		v.recordRoundTrip(v.members["m1"], 200*ms)
	}
	v.Step(v.now+ms, datagramFrom(testRecord(0), 1, Message{
		Kind:   IndirectPing,
		Seq:    9,
		Target: "m1",
		Addr:   testRecord(1).Addr,
		Reply:  testRecord(0).Addr,
	}))
	relayed := v.relayed[0]
	if timeout := relayed.until - relayed.sentAt; timeout < 200*ms || timeout > 260*ms {
		t.Errorf("the helper waits %v", timeout)
	}
}
