package main

import (
	"testing"
	"time"
)

func simulated(t *testing.T, c policyRun) *policyResult {
	t.Helper()
	c.voters, c.stops, c.text, c.from, c.streams, c.seed = 3, true, 512, 4*time.Second, 16, 1
	r, err := c.simulate()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// With four times the members, the cost of a member stays the same and the cost of the leader grows no more than in
// proportion, at rest and during changes. The test compares counts and bytes in virtual time, which are the same on
// each machine.
func TestFourTimesTheMembersCostAMemberNoMore(t *testing.T) {
	for name, c := range map[string]policyRun{
		"at rest":           {length: 16 * time.Second},
		"a change each 3 s": {length: 24 * time.Second, every: 3 * time.Second},
	} {
		c.members = 20
		a := simulated(t, c)
		c.members = 80
		b := simulated(t, c)
		for _, x := range []struct {
			what  string
			a, b  float64
			times float64
		}{
			{"a member's bytes in", a.member.bytesIn, b.member.bytesIn, 1.3},
			{"a member's bytes out", a.member.bytesOut, b.member.bytesOut, 1.5},
			{"the leader's bytes out", a.leader.bytesOut, b.leader.bytesOut, 5},
			{"the leader's messages out", a.leader.messagesOut, b.leader.messagesOut, 5.5},
			{"the leader's state", a.leader.disk, b.leader.disk, 4},
		} {
			if x.a <= 0 || x.b > x.times*x.a {
				t.Errorf("%s: %s: %.0f with 20 members, %.0f with 80: want at most %.1f times", name, x.what, x.a, x.b, x.times)
			}
		}
		if c.every > 0 && (a.inForce != a.asked || b.inForce != b.asked || a.asked < 4) {
			t.Errorf("%s: of %d and %d changes %d and %d came into force", name, a.asked, b.asked, a.inForce, b.inForce)
		}
	}
}

func TestTheSameSeedMeasuresTheSame(t *testing.T) {
	c := policyRun{members: 8, length: 24 * time.Second, every: time.Second, randomTimes: true}
	a, b := simulated(t, c), simulated(t, c)
	if a.member.bytesIn != b.member.bytesIn || a.leader.messagesOut != b.leader.messagesOut || len(a.everywhere) < 5 || a.everywhere[0] != b.everywhere[0] || a.dropped != b.dropped {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// Each change comes into force at all members or is dropped; a change that is proposed while another is in progress is
// dropped.
func TestEachChangeComesIntoForceOrIsDropped(t *testing.T) {
	r := simulated(t, policyRun{members: 20, length: 24 * time.Second, every: 200 * time.Millisecond, randomTimes: true})
	if r.asked != r.inForce+r.dropped || len(r.everywhere) != r.inForce || r.why["another change is under way"] == 0 {
		t.Errorf("asked %d, in force %d (everywhere %d), dropped %d: %v", r.asked, r.inForce, len(r.everywhere), r.dropped, r.why)
	}
}

// At a rate at which a fleet with one policy for all drops many changes, changes to parts of services are not
// dropped. With ten times the members, a member's bytes stay the same and changes take no longer.
func TestPartsOfServicesCostAMemberNoMore(t *testing.T) {
	c := policyRun{members: 100, length: 22 * time.Second, every: 300 * time.Millisecond, randomTimes: true}
	whole := simulated(t, c)
	c.parts = true
	b := simulated(t, c)
	c.members = 10
	a := simulated(t, c)
	if whole.dropped < whole.asked/3 || a.dropped+b.dropped > 0 || a.asked < 20 || b.asked < 20 || len(b.everywhere) != b.asked {
		t.Errorf("one text: %d of %d dropped; parts: %d of %d and %d of %d dropped, in force at all members concerned: %d", whole.dropped, whole.asked, a.dropped, a.asked, b.dropped, b.asked, len(b.everywhere))
	}
	if b.member.bytesIn > 1.3*a.member.bytesIn || b.member.bytesIn > whole.member.bytesIn/2 {
		t.Errorf("a member receives %.0f bytes a second among 10, %.0f among 100, and %.0f among 100 with one text", a.member.bytesIn, b.member.bytesIn, whole.member.bytesIn)
	}
	if p50 := quantile(b.everywhere, 0.5); p50 > quantile(whole.everywhere, 0.5)/2 {
		t.Errorf("half of the changes take %.2f s", p50)
	}
}

// The size of the list is in proportion to the number of its servers.
func TestTheListGrowsInProportion(t *testing.T) {
	a, err := encodedList(100)
	if err != nil {
		t.Fatal(err)
	}
	b, err := encodedList(1000)
	if err != nil {
		t.Fatal(err)
	}
	if r := float64(len(b)) / float64(len(a)); r < 9.5 || r > 10.5 {
		t.Errorf("ten times the servers take %.1f times the bytes", r)
	}
	read, err := readList(b, 100)
	if err != nil || read.memory <= float64(len(b))/10 {
		t.Errorf("%+v, %v", read, err)
	}
}
