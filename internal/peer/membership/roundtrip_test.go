package membership

import (
	"slices"
	"testing"
	"time"
)

// ackSimulator delivers scheduled events to a view.
type ackSimulator struct {
	view    *View
	events  []timedEvent // by time
	numbers map[string]uint64
}

type timedEvent struct {
	at    time.Duration
	event DatagramReceived
}

// simulated holds the numbers of a view's actions during a simulation.
type simulated struct {
	suspicions int // number of suspicions that the view itself started
	probes     int
}

// simulateAcks runs a view until a time. The target of each ping acks it after a round trip, and suspects refute each
// suspicion. A round trip of 0 means that the member does not answer.
func simulateAcks(v *View, roundTrip func(name string) time.Duration, until time.Duration) simulated {
	s := &ackSimulator{view: v, numbers: map[string]uint64{}}
	var result simulated
	for v.now < until {
		for _, a := range s.step() {
			switch a := a.(type) {
			case Send:
				if target := v.members[a.Message.Target]; a.Message.Kind == Ping && target != nil {
					result.probes++
					if way := roundTrip(target.Name); way > 0 {
						s.schedule(way, target.Record, Message{Kind: Ack, Seq: a.Message.Seq, Target: target.Name})
					}
				}
			case MemberChanged:
				if a.Record.State == Suspect && a.Record.Reporter == v.settings.Name {
					result.suspicions++
					refutation := a.Record
					refutation.State = Alive
					refutation.Reporter = ""
					refutation.Incarnation++
					way := 2 * roundTrip(refutation.Name)
					s.schedule(way, refutation, Message{Kind: Gossip, Updates: []Record{refutation}})
				}
			}
		}
	}
	return result
}

// step steps the view with the next event, or at its next timer if the timer is due earlier.
func (s *ackSimulator) step() []Action {
	if len(s.events) > 0 && s.events[0].at <= s.view.Next() {
		next := s.events[0]
		s.events = s.events[1:]
		return s.view.Step(next.at, next.event)
	}
	return s.view.Step(s.view.Next())
}

// schedule schedules the arrival of a member's datagram after a delay, following those that arrive at the same time.
func (s *ackSimulator) schedule(delay time.Duration, sender Record, m Message) {
	s.numbers[sender.Name]++
	at := s.view.now + delay
	i := len(s.events)
	for i > 0 && s.events[i-1].at > at {
		i--
	}
	s.events = slices.Insert(s.events, i, timedEvent{at, datagramFrom(sender, s.numbers[sender.Name], m)})
}

func TestProbeTimeoutFollowsTheRoundTripTime(t *testing.T) {
	for _, roundTrip := range []time.Duration{2 * ms, 80 * ms, 120 * ms, 160 * ms, 250 * ms, 450 * ms} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			v := newTestView(t)
			learnMembers(v, 6)
			got := simulateAcks(v, func(string) time.Duration { return roundTrip }, 60*time.Second)
			if got.suspicions > 0 || got.probes < 250 || got.probes > 310 {
				t.Errorf("%d suspicions, %d probes", got.suspicions, got.probes)
			}
			shortest := max(DefaultProbeTimeout, roundTrip)
			longest := max(DefaultProbeTimeout, roundTrip*5/4)
			if timeout := v.probeTimeout(v.members["m1"]); timeout < shortest || timeout > longest {
				t.Errorf("the probe timeout is %v", timeout)
			}
		})
	}
}

func TestProbeTimeoutIsBounded(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	m := v.members["m1"]
	if got := v.probeTimeout(m); got != unknownRoundTripTimeout {
		t.Errorf("without an estimate: %v", got)
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
		t.Errorf("very far through a helper: %v", got)
	}
}

func TestNewMemberStartsWithTheRoundTripOfItsZone(t *testing.T) {
	v := newTestView(t)
	x := exchangeFrom()
	for i, zone := range []string{"near", "far", "near", "far"} {
		r := testRecord(i)
		r.Zone = zone
		x.Records = append(x.Records, r)
	}
	v.Step(0, ExchangeFinished{x})
	for range 60 {
		v.recordRoundTrip(v.members["m0"], 2*ms)
		v.recordRoundTrip(v.members["m1"], 160*ms)
	}
	if near := v.probeTimeout(v.members["m2"]); near != DefaultProbeTimeout {
		t.Errorf("near: %v", near)
	}
	if far := v.probeTimeout(v.members["m3"]); far < 160*ms || far > 200*ms {
		t.Errorf("far: %v", far)
	}
}

// If the round trip becomes longer than the timeout, the estimate adapts by late acks. The second ping has its own
// sequence number, so that a late ack of the first ping is not mistaken for a quick ack of the second.
func TestLongerRoundTripIsLearnedFromLateAcks(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 6)
	simulateAcks(v, func(string) time.Duration { return 4 * ms }, 20*time.Second)
	longer := func(string) time.Duration { return 300 * ms }
	atFirst := simulateAcks(v, longer, 30*time.Second)
	later := simulateAcks(v, longer, 60*time.Second)
	if atFirst.suspicions > 6 || later.suspicions > 0 || len(v.live) != 6 {
		t.Errorf("%d suspicions at first, %d later, %d alive", atFirst.suspicions, later.suspicions, len(v.live))
	}
	for _, m := range v.live {
		if mean := m.roundTrip.mean; mean < 0.25 || mean > 0.35 {
			t.Errorf("%s: a mean of %v s", m.Name, mean)
		}
	}
}
