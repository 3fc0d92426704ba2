package hollow

import (
	"reflect"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
)

func rest(t *testing.T, members int, rtt time.Duration, seed uint64, workers int) []Phase {
	t.Helper()
	l, err := topology.New(topology.Spec{Members: members, Regions: 5, Zones: 3, RTT: rtt, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	v := View{Seed: seed, Layout: l, Members: members, Marks: []time.Duration{2 * time.Second}, Length: 8 * time.Second, Workers: workers}
	phases, _, err := v.Play()
	if err != nil {
		t.Fatal(err)
	}
	return phases
}

func TestSameSeedSameBytes(t *testing.T) {
	var first []Phase
	for _, workers := range []int{1, 3} {
		phases := rest(t, 10, 120*time.Millisecond, 7, workers)
		for i := range phases {
			phases[i].Processor = 0 // depends on the machine
		}
		if first == nil {
			first = phases
		} else if !reflect.DeepEqual(first, phases) {
			t.Errorf("with %d workers %+v, with one %+v", workers, phases, first)
		}
	}
	if other := rest(t, 10, 120*time.Millisecond, 8, 1); other[1].Out == first[1].Out {
		t.Error("another seed sent the same bytes")
	}
}

// At rest the view costs each member the same at any fleet size; a fleet of twice the size may cost a tenth more.
func TestTheViewAtRestIsFlatInTheFleet(t *testing.T) {
	small, large := rest(t, 30, 20*time.Millisecond, 1, 2)[1], rest(t, 60, 20*time.Millisecond, 1, 2)[1]
	if r := large.Out.Bytes / small.Out.Bytes; r > 1.1 {
		t.Errorf("60 members send %.0f bytes a second each, 30 send %.0f: %.2f times as much", large.Out.Bytes, small.Out.Bytes, r)
	}
	if r := large.Out.Messages / small.Out.Messages; r > 1.1 {
		t.Errorf("60 members send %.1f messages a second each, 30 send %.1f", large.Out.Messages, small.Out.Messages)
	}
}

// A member's memory grows linearly with the number of members in its view. Both sizes fill the same share of a map's
// tables, which grow in steps.
func TestAViewsMemoryIsLinear(t *testing.T) {
	small, err := Memory(800)
	if err != nil {
		t.Fatal(err)
	}
	large, err := Memory(3200)
	if err != nil {
		t.Fatal(err)
	}
	if r := float64(large) / float64(small); r > 5.5 || r < 2 {
		t.Errorf("3,200 members take %d bytes, 800 take %d", large, small)
	}
}

// The cost of a complete member is the same in a modelled fleet as in a fleet of complete members.
func TestAFewCompleteMembersCostWhatTheyCostInACompleteFleet(t *testing.T) {
	whole := rest(t, 60, 20*time.Millisecond, 1, 2)[1]
	l, err := topology.New(topology.Spec{Members: 60, Regions: 5, Zones: 3, RTT: 20 * time.Millisecond, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	few, err := (&Few{Seed: 1, Layout: l, Members: 60, Whole: 4, Marks: []time.Duration{5 * time.Second}, Length: 65 * time.Second}).Play()
	if err != nil {
		t.Fatal(err)
	}
	for name, r := range map[string]float64{"bytes out": few[1].Out.Bytes / whole.Out.Bytes, "messages out": few[1].Out.Messages / whole.Out.Messages,
		"bytes in": few[1].In.Bytes / whole.In.Bytes} {
		if r < 0.85 || r > 1.15 {
			t.Errorf("%s: %.2f of the value in a complete fleet", name, r)
		}
	}
}

// The distance between regions adds no cost at rest: probes of remote members wait for as long as their answers take.
func TestFarRegionsCostNoMoreAtRest(t *testing.T) {
	near, far := rest(t, 30, 20*time.Millisecond, 1, 2)[1], rest(t, 30, 250*time.Millisecond, 1, 2)[1]
	if r := far.Out.Bytes / near.Out.Bytes; r > 1.15 {
		t.Errorf("with a round trip of 250 ms each member sends %.0f bytes a second, with 20 ms %.0f: %.2f times as much", far.Out.Bytes, near.Out.Bytes, r)
	}
	if r := far.Out.Messages / near.Out.Messages; r > 1.15 {
		t.Errorf("with a round trip of 250 ms each member sends %.1f messages a second, with 20 ms %.1f", far.Out.Messages, near.Out.Messages)
	}
}

// Agreed is the time at which the last member has the same view as the others, and is negative if views differ at the
// end.
func TestAgreedIsWhenTheLastHasTheSameView(t *testing.T) {
	for _, c := range []struct {
		name        string
		at, length  time.Duration
		least, most time.Duration
	}{
		{"nothing befalls them", time.Hour, 6 * time.Second, 0, time.Second},
		{"one dies, and time is enough", 2 * time.Second, 20 * time.Second, 3 * time.Second, 12 * time.Second},
		{"one dies, and they do not know it yet", 2 * time.Second, 2500 * time.Millisecond, 0, time.Second}, // a suspected member is not yet considered dead
	} {
		l, err := topology.New(topology.Spec{Members: 12, Regions: 2, Zones: 1, RTT: 20 * time.Millisecond, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		v := View{Seed: 1, Layout: l, Members: 12, Length: c.length, Events: []plan.Event{{At: c.at, Do: "kill", Who: []int{5}}}}
		if _, _, err := v.Play(); err != nil {
			t.Fatal(err)
		}
		if v.Agreed < c.least || v.Agreed > c.most {
			t.Errorf("%s: all members have the same view from %v on, want %v to %v", c.name, v.Agreed, c.least, c.most)
		}
	}
	l, err := topology.New(topology.Spec{Members: 12, Regions: 2, Zones: 1, RTT: 20 * time.Millisecond, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	l.CutOff(1, 0, time.Hour)
	v := View{Seed: 1, Layout: l, Members: 12, Length: 25 * time.Second, Events: []plan.Event{{At: 2 * time.Second, Do: "kill", Who: []int{5}}, {At: 2 * time.Second, Do: "kill", Who: []int{6}}}}
	if _, r, err := v.Play(); err != nil || v.Agreed >= 0 || Differ(r) < 2 {
		t.Errorf("with a cut between the regions all members have the same view from %v on; %d views, error %v", v.Agreed, Differ(r), err)
	}
}
