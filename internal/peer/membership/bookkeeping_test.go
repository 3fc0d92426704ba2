package membership

import (
	"testing"
	"time"
)

// The zone's probe order is refilled from the zone. The pool was computed only while the order was empty, so that an order whose
// last members could not be probed was refilled with the whole region, for one round.
func TestZoneProbeOrderIsRefilledFromItsZone(t *testing.T) {
	v := newRegionView(t, 20, 0, 0)
	v.self.Zone = "near"
	for _, m := range v.localRegion.live {
		m.Zone = "far"
	}
	for _, name := range []string{"a0", "a1", "a2"} {
		v.members[name].Zone = "near"
	}
	v.zoneProbeOrder = []string{"a0"}
	v.lastProbeInZone = false
	v.probes = []*probe{{target: "a0", until: never}} // it can't be probed: the order has to be refilled
	if m := v.nextTarget(); m == nil || m.Zone != "near" {
		t.Errorf("the zone's turn went to %+v", m)
	}
	for _, name := range v.zoneProbeOrder {
		if zone := v.members[name].Zone; zone != "near" {
			t.Errorf("%s of zone %s is in the zone's order", name, zone)
		}
	}
}

// An address is of another region as long as a member there has it. The removal of a member that left long ago, or a late record
// of it, took the address out although another member of another region had it by then: what went there was not charged to the
// budget of other regions.
func TestAddressStaysWithTheMemberThatHasItNow(t *testing.T) {
	v := newRegionView(t, 3, 3, 0)
	left := regionRecord(1, 0)
	left.State = Left
	left.Incarnation = 1
	learn(v, left)
	next := regionRecord(1, 9)
	next.Addr = left.Addr
	learn(v, next)
	again := left
	again.Incarnation = 2
	learn(v, again)
	if v.remoteAddrs[next.Addr] == nil {
		t.Error("gone after a record of the one that left")
	}
	v.cleanupAt = 0
	for v.members[left.Name] != nil {
		v.Step(v.now + leftRetention)
	}
	if v.members[next.Name] == nil || v.remoteAddrs[next.Addr] == nil {
		t.Error("gone with the one that left")
	}
}

// A member of this region that left is no reason to take another region's member at its address for one near.
func TestLocalMemberThatLeftDoesNotClaimARemoteAddress(t *testing.T) {
	v := newRegionView(t, 3, 3, 0)
	left := regionRecord(0, 0)
	left.State = Left
	left.Incarnation = 1
	learn(v, left)
	next := regionRecord(1, 9)
	next.Addr = left.Addr
	learn(v, next)
	again := left
	again.Incarnation = 2
	learn(v, again)
	if v.remoteAddrs[next.Addr] == nil {
		t.Error("the address counts as near")
	}
}

// A conflict about this member's name that shows in the first instant is settled. Its next step was due at 0, which stood for
// no conflict: both processes kept the name.
func TestNameConflictInTheFirstInstantIsSettled(t *testing.T) {
	v := newTestView(t)
	twin := v.Local()
	twin.Addr = "127.0.0.3:1"
	twin.RunID = 99
	twin.Boot = 50
	requests := sentOfKind(v.Step(0, ExchangeClosed{&Exchange{From: "m0", Records: []Record{twin}}}), IdentityRequest)
	for v.now < time.Second {
		requests = append(requests, sentOfKind(v.Step(v.Next()), IdentityRequest)...)
	}
	if len(requests) == 0 {
		t.Error("the other process is never asked")
	}
}

// Exchanges after a time of yielding have IDs of their own. They began at 0 again, so that the late end of an exchange from
// before was taken for the end of the present one.
func TestExchangeIDsGoOnAfterYielding(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	var before OpenExchange
	for i := 0; before.ID == 0 && i < 100; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			before = o
		}
	}
	if before.ID == 0 {
		t.Fatal("no exchange")
	}
	v.nameClaim.other = testRecord(1)
	v.yieldName()
	var after OpenExchange
	for i := 0; after.ID == 0 && i < 1000; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			after = o
		}
	}
	if after.ID == 0 || after.ID == before.ID {
		t.Errorf("exchange %d before, %d after", before.ID, after.ID)
	}
}

// The view asks to be stepped when a seed is to be contacted again. It left that timer out: the attempt came with the next other
// step, late by as much as that.
func TestNextStepIsNoLaterThanTheNextSeed(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	v.Step(0)
	for range 1000 {
		if v.seedRetryAt > v.now && v.Next() > max(v.seedRetryAt, v.now+minStepInterval) {
			t.Fatalf("at %v: the next step is at %v, the next seed is due at %v", v.now, v.Next(), v.seedRetryAt)
		}
		v.Step(v.Next())
	}
}

// Whoever reads why members are shown as dead learns that this member is cut off, and not that nobody near them reaches them
// either.
func TestIsolationIsTheReasonThatIsGiven(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 100)
	reasons := map[string]int{}
	for _, a := range runUntil(v, time.Minute) {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Dead && v.Isolated() {
			reasons[c.Reason]++
		}
	}
	if !v.Isolated() || reasons[ReasonRegionUnreachable] > 0 {
		t.Errorf("isolated %v, reasons %v", v.Isolated(), reasons)
	}
}
