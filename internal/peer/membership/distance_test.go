package membership

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// answers has each ping of a view answered by its target after a way there and back, until a time, and says what
// came of it: accusations by the view itself, and probes sent.
func answers(v *View, way func(name string) time.Duration, until time.Duration) (accused, probes int) {
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
					d := from(m.Record, numbers[m.Name], Message{Kind: Ack, Seq: a.Message.Seq, Target: m.Name})
					at := 0
					for at < len(due) && due[at].at <= v.now+w {
						at++
					}
					due = append(due[:at], append([]answer{{v.now + w, d}}, due[at:]...)...)
				}
			case MemberChanged:
				if a.Record.State == Suspect && a.Record.Reporter == v.s.Name { // it refutes
					accused++
					r := a.Record
					r.State, r.Reporter, r.Incarnation = Alive, "", r.Incarnation+1
					numbers[r.Name]++
					due = append(due, answer{v.now + 2*way(r.Name), from(r, numbers[r.Name], Message{Kind: Gossip, Updates: []Record{r}})})
					slices.SortStableFunc(due, func(a, b answer) int { return cmp.Compare(a.at, b.at) })
				}
			}
		}
	}
	return accused, probes
}

func TestWhoIsFarAwayIsGivenTheTimeThatItsAnswersTake(t *testing.T) {
	for _, way := range []time.Duration{2 * ms, 80 * ms, 120 * ms, 160 * ms, 250 * ms, 450 * ms} {
		v := alone(t)
		meet(v, 6)
		accused, probes := answers(v, func(string) time.Duration { return way }, 60*time.Second)
		if accused > 0 || probes < 250 || probes > 310 {
			t.Errorf("%v there and back: %d accusations, %d probes", way, accused, probes)
		}
		if got := v.direct(v.members["m1"]); got < max(DefaultProbeTimeout, way) || got > max(DefaultProbeTimeout, way*5/4) {
			t.Errorf("%v there and back: a probe waits %v", way, got)
		}
	}
}

func TestWaitsHaveAFloorAndACeiling(t *testing.T) {
	v := alone(t)
	meet(v, 2)
	m := v.members["m1"]
	if got := v.direct(m); got != firstWait {
		t.Errorf("nothing known: %v", got)
	}
	v.measured(m, 10*time.Microsecond)
	if got := v.direct(m); got != DefaultProbeTimeout {
		t.Errorf("very near: %v", got)
	}
	for range 50 {
		v.measured(m, 20*time.Second)
	}
	if got := v.direct(m); got != waitMost {
		t.Errorf("very far: %v", got)
	}
	if got := v.indirect(m, []*member{m}); got != 2*waitMost {
		t.Errorf("very far through another: %v", got)
	}
}

func TestNewcomerHasTheDistanceOfItsZone(t *testing.T) {
	v := alone(t)
	x := &Exchange{From: "m0", Boot: 5, RunID: 100}
	for i := range 4 {
		r := other(i)
		r.Zone = []string{"near", "far"}[i%2]
		x.Records = append(x.Records, r)
	}
	v.Step(0, ExchangeClosed{x})
	for range 60 {
		v.measured(v.members["m0"], 2*ms)
		v.measured(v.members["m1"], 160*ms)
	}
	if near, far := v.direct(v.members["m2"]), v.direct(v.members["m3"]); near != DefaultProbeTimeout || far < 160*ms || far > 200*ms {
		t.Errorf("near %v, far %v", near, far)
	}
}

// A way that has become longer: the answers to what was given up say so, and the second question has its own number,
// so that the answer to the first is not taken for a quick one to the second.
func TestLongerWayIsLearnedFromLateAnswers(t *testing.T) {
	v := alone(t)
	meet(v, 6)
	answers(v, func(string) time.Duration { return 4 * ms }, 20*time.Second)
	long := func(string) time.Duration { return 300 * ms }
	first, _ := answers(v, long, 30*time.Second)
	later, _ := answers(v, long, 60*time.Second)
	if first > 6 || later > 0 || len(v.live) != 6 {
		t.Errorf("%d accusations at first, %d later, %d alive", first, later, len(v.live))
	}
	for _, m := range v.live {
		if mean := m.distance.mean; mean < 0.25 || mean > 0.35 {
			t.Errorf("%s: %v s", m.Name, mean)
		}
	}
}

func TestAnswerToTheSecondQuestionIsMeasuredFromIt(t *testing.T) {
	v := alone(t)
	meet(v, 3)
	m := v.members["m1"]
	v.now, v.due = time.Second, time.Second
	p := &probe{target: "m1", seq: v.nextSeq(), at: v.now - 300*ms}
	v.probes, v.actions = []*probe{p}, nil
	v.askOthers(p)
	again := sent(v.actions, Ping)[0].Message.Seq
	v.Step(v.now+4*ms, from(other(1), 1, Message{Kind: Ack, Seq: again, Target: "m1"}))
	if mean := m.distance.mean; mean < 0.003 || mean > 0.005 {
		t.Errorf("%v s", mean)
	}
}

func TestSuspectFromAfarHasTheTimeOfItsWay(t *testing.T) {
	v := alone(t)
	meet(v, 6)
	m := v.members["m1"]
	v.accuse(m)
	for range 50 {
		v.measured(m, 2*ms)
	}
	near := v.lasts(m)
	for range 50 {
		v.measured(m, 250*ms)
	}
	if far := v.lasts(m); far-near < 240*ms || far-near > 400*ms {
		t.Errorf("near %v, far %v", near, far)
	}
}

func TestHelperWaitsForAFarTargetAsLongAsItTakes(t *testing.T) {
	v := alone(t)
	meet(v, 3)
	for range 50 {
		v.measured(v.members["m1"], 200*ms)
	}
	v.Step(v.now+ms, from(other(0), 1, Message{Kind: IndirectPing, Seq: 9, Target: "m1", Addr: other(1).Addr, Reply: other(0).Addr}))
	if e := v.errands[0]; e.until-e.at < 200*ms || e.until-e.at > 260*ms {
		t.Errorf("%v", e.until-e.at)
	}
}

func TestAnswerToWhatWasGivenUpIsMeasured(t *testing.T) {
	v := alone(t)
	meet(v, 3)
	m := v.members["m1"]
	v.now, v.due = time.Second, time.Second
	v.missed(&probe{target: "m1", seq: 70, at: v.now - 400*ms, again: 71, againAt: v.now - 300*ms})
	v.Step(v.now+ms, from(other(0), 1, Message{Kind: Ack, Seq: 70, Target: "m1"})) // another's word: its way is not m1's
	if m.distance.mean != 0 {
		t.Fatalf("%v s by another's answer", m.distance.mean)
	}
	v.Step(v.now, from(other(1), 1, Message{Kind: Ack, Seq: 70, Target: "m1"}))
	if mean := m.distance.mean; mean < 0.4 || mean > 0.41 {
		t.Errorf("%v s", mean)
	}
}
