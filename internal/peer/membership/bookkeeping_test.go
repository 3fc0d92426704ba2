package membership

import (
	"testing"
	"time"
)

// The zone's probe order is refilled from the zone. The fault: the pool was computed only if the order was empty from
// the start, so that an order whose last members could not be probed was refilled with the whole region for one round.
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
	v.probes = []*probe{{target: "a0", until: never}} // a0 is being probed already, so the order must be refilled
	if m := v.nextTarget(); m == nil || m.Zone != "near" {
		t.Errorf("the target for the zone is %+v", m)
	}
	for _, name := range v.zoneProbeOrder {
		if zone := v.members[name].Zone; zone != "near" {
			t.Errorf("%s of zone %s is in the zone's probe order", name, zone)
		}
	}
}

// An address counts as remote as long as a member of another region has it. The fault: the removal of a member that
// left long ago, or a late record of that member, removed the address from the index although another remote member had
// it by then. Traffic to the address was then not charged to the budget for other regions.
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
		t.Error("the address is not indexed after a record of the member that left")
	}
	v.cleanupAt = 0
	for v.members[left.Name] != nil {
		v.Step(v.now + leftRetention)
	}
	if v.members[next.Name] == nil || v.remoteAddrs[next.Addr] == nil {
		t.Error("the address is not indexed after the removal of the member that left")
	}
}

// If a local member left and a member of another region has its address now, the address counts as remote.
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
		t.Error("the address counts as local")
	}
}

// A name conflict that is detected at time 0 is resolved. The fault: the conflict's next step was due at 0, which means
// that there is no conflict, so that both processes kept the name.
func TestNameConflictAtTimeZeroIsResolved(t *testing.T) {
	v := newTestView(t)
	other := v.Local()
	other.Addr = "127.0.0.3:1"
	other.RunID = 99
	other.Boot = 50
	requests := sentOfKind(v.Step(0, ExchangeFinished{&Exchange{From: "m0", Records: []Record{other}}}), IdentityRequest)
	for v.now < time.Second {
		requests = append(requests, sentOfKind(v.Step(v.Next()), IdentityRequest)...)
	}
	if len(requests) == 0 {
		t.Error("the other process is never asked to identify itself")
	}
}

// Exchange IDs are not reused after the member yielded its name. The fault: IDs began at 0 again, so that the late end
// of an earlier exchange was mistaken for the end of the current one.
func TestExchangeIDsContinueAfterYielding(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	var before OpenExchange
	for i := 0; before.ID == 0 && i < 100; i++ {
		for _, o := range openedExchanges(v.Step(v.Next())) {
			before = o
		}
	}
	if before.ID == 0 {
		t.Fatal("no exchange is opened")
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

// The view requests a step when a seed is to be contacted again. The fault: Next did not include that timer, so that
// the attempt was delayed until the next step for another reason.
func TestNextStepIsNoLaterThanTheNextSeed(t *testing.T) {
	v := newTestView(t, "127.0.0.2:1")
	v.Step(0)
	for range 1000 {
		if v.seedRetryAt > v.now && v.Next() > max(v.seedRetryAt, v.now+minStepInterval) {
			t.Fatalf("at %v: the next step is at %v, the next seed retry is due at %v", v.now, v.Next(), v.seedRetryAt)
		}
		v.Step(v.Next())
	}
}

// If members are shown as dead because this member is isolated, the reason is the isolation and not an unreachable
// region.
func TestIsolationIsGivenAsTheReason(t *testing.T) {
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
