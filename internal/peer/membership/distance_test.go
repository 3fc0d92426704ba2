package membership

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// simulateAcks has each ping of a view answered by its target after a way there and back, until a time, and says what
// came of it: accusations by the view itself, and probes sent.
func simulateAcks(v *View, way func(name string) time.Duration, until time.Duration) (accused, probes int) {
	type answer struct {
		at time.Duration
		d  DatagramReceived
	}
	var due []answer
	numbers := map[string]uint64{}
	for v.now < until {
		next := v.Next()
		var events []Event
		for len(due) > 0 && due[0].at <= next {
			next = due[0].at
			events = append(events, due[0].d)
			due = due[1:]
			break
		}
		for _, a := range v.Step(next, events...) {
			switch a := a.(type) {
			case Send:
				m := v.members[a.Message.Target]
				if a.Message.Kind != Ping || m == nil {
					continue
				}
				probes++
				if w := way(m.Name); w > 0 {
					numbers[m.Name]++
					d := datagramFrom(m.Record, numbers[m.Name], Message{Kind: Ack, Seq: a.Message.Seq, Target: m.Name})
					at := 0
					for at < len(due) && due[at].at <= v.now+w {
						at++
					}
					due = append(due[:at], append([]answer{{v.now + w, d}}, due[at:]...)...)
				}
			case MemberChanged:
				if a.Record.State == Suspect && a.Record.Reporter == v.settings.Name { // it refutes
					accused++
					r := a.Record
					r.State, r.Reporter, r.Incarnation = Alive, "", r.Incarnation+1
					numbers[r.Name]++
					due = append(due, answer{v.now + 2*way(r.Name), datagramFrom(r, numbers[r.Name], Message{Kind: Gossip, Updates: []Record{r}})})
					slices.SortStableFunc(due, func(a, b answer) int { return cmp.Compare(a.at, b.at) })
				}
			}
		}
	}
	return accused, probes
}

func TestProbeTimeoutFollowsTheRoundTripTime(t *testing.T) {
	for _, way := range []time.Duration{2 * ms, 80 * ms, 120 * ms, 160 * ms, 250 * ms, 450 * ms} {
		v := newTestView(t)
		learnMembers(v, 6)
		accused, probes := simulateAcks(v, func(string) time.Duration { return way }, 60*time.Second)
		if accused > 0 || probes < 250 || probes > 310 {
			t.Errorf("%v there and back: %d accusations, %d probes", way, accused, probes)
		}
		if got := v.probeTimeout(v.members["m1"]); got < max(DefaultProbeTimeout, way) || got > max(DefaultProbeTimeout, way*5/4) {
			t.Errorf("%v there and back: a probe waits %v", way, got)
		}
	}
}

func TestProbeTimeoutIsBounded(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	m := v.members["m1"]
	if got := v.probeTimeout(m); got != unknownRoundTripTimeout {
		t.Errorf("nothing known: %v", got)
	}
	v.recordRoundTrip(m, 10*time.Microsecond)
	if got := v.probeTimeout(m); got != DefaultProbeTimeout {
		t.Errorf("very near: %v", got)
	}
	for range 50 {
		v.recordRoundTrip(m, 20*time.Second)
	}
	if got := v.probeTimeout(m); got != maxRoundTripTimeout {
		t.Errorf("very far: %v", got)
	}
	if got := v.indirectTimeout(m, []*member{m}); got != 2*maxRoundTripTimeout {
		t.Errorf("very far through another: %v", got)
	}
}

func TestNewMemberStartsWithTheRoundTripOfItsZone(t *testing.T) {
	v := newTestView(t)
	x := &Exchange{From: "m0", Boot: 5, RunID: 100}
	for i := range 4 {
		r := testRecord(i)
		r.Zone = []string{"near", "far"}[i%2]
		x.Records = append(x.Records, r)
	}
	v.Step(0, ExchangeClosed{x})
	for range 60 {
		v.recordRoundTrip(v.members["m0"], 2*ms)
		v.recordRoundTrip(v.members["m1"], 160*ms)
	}
	if near, far := v.probeTimeout(v.members["m2"]), v.probeTimeout(v.members["m3"]); near != DefaultProbeTimeout || far < 160*ms || far > 200*ms {
		t.Errorf("near %v, far %v", near, far)
	}
}

// A way that has become longer: the answers to what was given up say so, and the second question has its own number,
// so that the answer to the first is not taken for a quick one to the second.
func TestLongerRoundTripIsLearnedFromLateAcks(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	simulateAcks(v, func(string) time.Duration { return 4 * ms }, 20*time.Second)
	long := func(string) time.Duration { return 300 * ms }
	first, _ := simulateAcks(v, long, 30*time.Second)
	later, _ := simulateAcks(v, long, 60*time.Second)
	if first > 6 || later > 0 || len(v.live) != 6 {
		t.Errorf("%d accusations at first, %d later, %d alive", first, later, len(v.live))
	}
	for _, m := range v.live {
		if mean := m.roundTrip.mean; mean < 0.25 || mean > 0.35 {
			t.Errorf("%s: %v s", m.Name, mean)
		}
	}
}

func TestAckOfARetryIsMeasuredFromTheRetry(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	m := v.members["m1"]
	v.now, v.wakeAt = time.Second, time.Second
	p := &probe{target: "m1", seq: v.nextSeq(), sentAt: v.now - 300*ms}
	v.probes, v.actions = []*probe{p}, nil
	v.probeIndirectly(p)
	again := sentOfKind(v.actions, Ping)[0].Message.Seq
	v.Step(v.now+4*ms, datagramFrom(testRecord(1), 1, Message{Kind: Ack, Seq: again, Target: "m1"}))
	if mean := m.roundTrip.mean; mean < 0.003 || mean > 0.005 {
		t.Errorf("%v s", mean)
	}
}

func TestSuspicionTimeoutIncludesTheRoundTrip(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	m := v.members["m1"]
	v.suspect(m)
	for range 50 {
		v.recordRoundTrip(m, 2*ms)
	}
	near := v.suspicionTimeout(m)
	for range 50 {
		v.recordRoundTrip(m, 250*ms)
	}
	if far := v.suspicionTimeout(m); far-near < 240*ms || far-near > 400*ms {
		t.Errorf("near %v, far %v", near, far)
	}
}

func TestHelperTimeoutFollowsTheTargetsRoundTrip(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	for range 50 {
		v.recordRoundTrip(v.members["m1"], 200*ms)
	}
	v.Step(v.now+ms, datagramFrom(testRecord(0), 1, Message{Kind: IndirectPing, Seq: 9, Target: "m1", Addr: testRecord(1).Addr, Reply: testRecord(0).Addr}))
	if e := v.relayed[0]; e.until-e.sentAt < 200*ms || e.until-e.sentAt > 260*ms {
		t.Errorf("%v", e.until-e.sentAt)
	}
}

func TestLateAckIsMeasured(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 3)
	m := v.members["m1"]
	v.now, v.wakeAt = time.Second, time.Second
	v.probeFailed(&probe{target: "m1", seq: 70, sentAt: v.now - 400*ms, retrySeq: 71, retrySentAt: v.now - 300*ms})
	v.Step(v.now+ms, datagramFrom(testRecord(0), 1, Message{Kind: Ack, Seq: 70, Target: "m1"})) // another's word: its way is not m1's
	if m.roundTrip.mean != 0 {
		t.Fatalf("%v s by another's answer", m.roundTrip.mean)
	}
	v.Step(v.now, datagramFrom(testRecord(1), 1, Message{Kind: Ack, Seq: 70, Target: "m1"}))
	if mean := m.roundTrip.mean; mean < 0.4 || mean > 0.41 {
		t.Errorf("%v s", mean)
	}
}
