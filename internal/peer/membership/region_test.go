package membership

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestSuspicionOfARemoteMemberIsIgnored(t *testing.T) {
	v := newRegionView(t, 4, 4, 0)
	remote := regionRecord(1, 0)
	remote.State = Suspect
	remote.Reporter = "b1"
	gossipFrom(v, regionRecord(1, 1), remote)
	if stateOf(v, "b0") != Alive || len(v.suspects) != 0 || !v.updates.empty() {
		t.Errorf("the remote member is %v, %d suspects", stateOf(v, "b0"), len(v.suspects))
	}
	local := regionRecord(0, 0)
	local.State = Suspect
	local.Reporter = "a1"
	gossipFrom(v, regionRecord(0, 1), local)
	requireState(t, v, "a0", Suspect)
}

func TestRemoteDeathIsAcceptedWithoutAProbe(t *testing.T) {
	dead := regionRecord(1, 0)
	dead.State = Dead
	t.Run("by gossip", func(t *testing.T) {
		v := newRegionView(t, 4, 4, 0)
		gossipFrom(v, regionRecord(0, 0), dead)
		requireState(t, v, "b0", Dead)
	})
	t.Run("by an exchange", func(t *testing.T) {
		v := newRegionView(t, 4, 4, 0)
		v.Step(v.now+ms, ExchangeFinished{&Exchange{From: "b1", Records: []Record{dead}}})
		requireState(t, v, "b0", Dead)
	})
	t.Run("not of a recent sender", func(t *testing.T) {
		v := newRegionView(t, 4, 4, 0)
		gossipFrom(v, regionRecord(1, 0))
		got := sentOfKind(gossipFrom(v, regionRecord(0, 0), dead), Gossip)
		requireState(t, v, "b0", Alive)
		if len(got) == 0 || got[0].To != dead.Addr || got[0].Message.Updates[0].State != Dead {
			t.Errorf("gossip sent to the member: %+v", got)
		}
	})
}

func TestProbesStayInTheRegionAndAreEvenlyShared(t *testing.T) {
	v := newRegionView(t, 9, 9, 9)
	for i := range 9 { // three members in this member's zone, three in another zone, and three that are the only ones of theirs
		r := regionRecord(0, i)
		r.Incarnation = 1
		r.Zone = []string{"z1", "z2", fmt.Sprint("alone", i)}[i%3]
		gossipFrom(v, regionRecord(0, 8), r)
	}
	v.self.Zone = "z1"
	v.zoneProbeOrder = nil
	probes := map[string]int{}
	remote := 0
	for _, s := range sentOfKind(runAnswering(v, v.now+120*time.Second, everybody), Ping) {
		target := s.Message.Target
		probes[target]++
		if !onlyLocalRegion(target) {
			remote++
		}
	}
	for name, n := range probes {
		least, most := 70, 95 // of 600: half of them go to the three members of the zone and the three single members
		switch {
		case !onlyLocalRegion(name):
			least, most = 0, 2*120
		case (name[1]-'0')%3 == 1: // members of the other zone
			least, most = 25, 42
		}
		if n < least || n > most {
			t.Errorf("%s is probed %d times: %v", name, n, probes)
		}
	}
	if remote > 2*120 {
		t.Errorf("%d remote probes in 120 s", remote)
	}
}

// All other members of the region together probe each member once in an interval, whatever the sizes of the zones.
func TestProbesOfEachMemberSumUpToOneAnInterval(t *testing.T) {
	zones := []string{"z1", "z1", "z1", "z1", "z2", "z2", "alone"}
	received := make([]float64, len(zones)) // mean number of probes of each member in an interval
	for prober := range zones {
		v := newRegionView(t, len(zones)-1, 0, 0)
		v.self.Zone = zones[prober]
		names := make([]string, len(zones))
		next := 0
		for i := range zones {
			if i != prober {
				m := v.members[fmt.Sprint("a", next)]
				m.Zone = zones[i]
				names[i] = m.Name
				next++
			}
		}
		const intervals = 6000
		probes := map[string]float64{}
		for range intervals {
			probes[v.nextTarget().Name]++
		}
		for i, name := range names {
			if i != prober {
				received[i] += probes[name] / intervals
			}
		}
	}
	for i, probes := range received {
		if math.Abs(probes-1) > 0.08 {
			t.Errorf("member %d, of zone %s, is probed %.2f times an interval", i, zones[i], probes)
		}
	}
}

func TestUnreachableRegionIsShownDeadWithoutChangingRecords(t *testing.T) {
	v := newRegionView(t, 2, 5, 0) // a0, a1 and this member are the watchers
	r := requireWatching(t, v, true)
	v.settled = true
	runAnswering(v, v.now+15*time.Second, everybody)
	before := v.BalancerCount()
	digest := v.Digest()
	health := v.Health()
	receiveRegionReport(v, r, "a0", reportUnreachable)
	receiveRegionReport(v, r, "a1", reportUnreachable)
	if r.unreachable {
		t.Fatal("the region is unreachable, although this watcher has not reported that")
	}

	cutAt := v.now
	actions := runAnswering(v, cutAt+8*time.Second, onlyLocalRegion)
	if !r.unreachable || !reportsUnreachable(v.self, r) {
		t.Fatal("the region is still reachable")
	}
	if took := r.changedAt - cutAt; took < DefaultMinSuspicion-remoteProbeInterval*3/2 || took > 8*time.Second {
		t.Errorf("the region is unreachable after %v", took)
	}
	if shown := requireOnlyRegionShownDead(t, actions); shown != 5 {
		t.Errorf("%d members are shown as dead", shown)
	}
	runAnswering(v, v.now+10*time.Second, onlyLocalRegion) // the size changes in steps
	after := v.BalancerCount()
	if after.MaxBalancers != before.MaxBalancers || after.MinBalancers != before.MinBalancers-5 || after.Live != before.Live-5 {
		t.Errorf("size %+v, before %+v", after, before)
	}
	if v.Health() != health {
		t.Errorf("health %d, before %d", v.Health(), health)
	}
	requireRegionDeadOnlyForOthers(t, v)

	incarnation := v.self.Incarnation
	actions = runAnswering(v, v.now+4*time.Second, everybody) // the first ack makes the region reachable again
	if r.unreachable || reportsUnreachable(v.self, r) || v.self.Incarnation != incarnation+1 {
		t.Fatal("the region is still unreachable")
	}
	back := 0
	for _, a := range actions {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Alive && c.Reason == ReasonRegionReachable {
			back++
		}
	}
	if back != 5 || len(openedExchanges(actions)) == 0 || digest == v.Digest() {
		t.Errorf("%d members are back, %d exchanges", back, len(openedExchanges(actions)))
	}
}

// requireOnlyRegionShownDead returns the number of members of region b that are shown as dead. It fails the test if a
// gossiped record has that state, or if other members are shown as not alive.
func requireOnlyRegionShownDead(t *testing.T, actions []Action) int {
	t.Helper()
	shown := 0
	for _, a := range actions {
		switch a := a.(type) {
		case MemberChanged:
			if a.Record.Name[0] == 'b' && a.Record.State == Dead && a.Reason == ReasonRegionUnreachable {
				shown++
			} else if a.Record.State != Alive {
				t.Errorf("%s is %v: %s", a.Record.Name, a.Record.State, a.Reason)
			}
		case Send:
			for _, u := range a.Message.Updates {
				if u.Name[0] == 'b' && u.State != Alive {
					t.Errorf("%s is gossiped as %v", u.Name, u.State)
				}
			}
		}
	}
	return shown
}

// requireRegionDeadOnlyForOthers fails the test unless the members of region b are dead by Members and alive by
// Records.
func requireRegionDeadOnlyForOthers(t *testing.T, v *View) {
	t.Helper()
	for _, r := range v.Members() {
		if r.Region == "b" && (r.State != Dead || r.AgeSeconds == 0) {
			t.Errorf("%s: %v for %d s", r.Name, r.State, r.AgeSeconds)
		}
	}
	for _, r := range v.Records() {
		if r.Region == "b" && r.State != Alive {
			t.Errorf("%s is recorded as %v", r.Name, r.State)
		}
	}
}

func TestShortPauseDoesNotMakeARegionOfOneUnreachable(t *testing.T) {
	v := newRegionView(t, 0, 1, 0)
	r := requireWatching(t, v, true)
	runAnswering(v, v.now+10*time.Second, everybody)
	pausedAt := v.now
	runAnswering(v, pausedAt+1500*ms, nobody)
	if r.reportedUnreachable || r.unreachable {
		t.Error("the region is unreachable after a pause of 1.5 s")
	}
	runAnswering(v, pausedAt+8*time.Second, nobody)
	if !r.unreachable {
		t.Error("the region never becomes unreachable")
	}
}

// A member of a version without regions forwards records without the region.
func TestRegionSurvivesRelaysThatOmitIt(t *testing.T) {
	v := newRegionView(t, 3, 3, 0)
	relayed := regionRecord(1, 0)
	relayed.Region = ""
	relayed.Incarnation = 1
	gossipFrom(v, regionRecord(0, 0), relayed)
	if m := v.members["b0"]; m.Region != "b" || m.region != v.regions["b"] || m.Incarnation != 1 {
		t.Errorf("region %q, %+v", m.Region, m.Record)
	}
	unknown := regionRecord(1, 9) // received first without the region, then with it
	unknown.Region = ""
	gossipFrom(v, regionRecord(0, 0), unknown)
	if m := v.members["b9"]; m.region != v.regions[""] {
		t.Errorf("region %q", m.Region)
	}
	gossipFrom(v, regionRecord(0, 0), regionRecord(1, 9))
	if m := v.members["b9"]; m.region != v.regions["b"] || m.State != Alive {
		t.Errorf("region %q", m.Region)
	}
}

func TestForgetWorksForAMemberOfAnUnreachableRegion(t *testing.T) {
	v := newRegionView(t, 2, 2, 0)
	v.Step(v.now+ms, ForgetMember{"b0"})
	requireState(t, v, "b0", Alive) // because the region is reachable
	v.regions["b"].unreachable = true
	v.updateReachability(v.regions["b"].live, ReasonRegionUnreachable)
	v.Step(v.now+ms, ForgetMember{"b0"})
	requireState(t, v, "b0", Left)
}

func TestOnlyWatchersContactARevivedRemoteMember(t *testing.T) {
	for _, c := range regionSizeCases {
		t.Run(c.name, func(t *testing.T) {
			v := newRegionView(t, c.size, 3, 0)
			requireWatching(t, v, c.watched)
			r := regionRecord(1, 0)
			r.State = Dead
			gossipFrom(v, regionRecord(0, 0), r)
			v.exchange = exchangeState{periodicAt: time.Hour}
			r.State = Alive
			r.Incarnation = 1
			gossipFrom(v, regionRecord(0, 0), r)
			contacted := v.exchange.preferredAddr == r.Addr || v.exchange.busy && v.exchange.to == r.Addr
			if contacted != c.watched {
				t.Errorf("exchange with %q", v.exchange.preferredAddr)
			}
		})
	}
}

// regionSizeCases are numbers of other members in this member's region, with which it is or is not a watcher of region
// b.
var regionSizeCases = []struct {
	name    string
	size    int
	watched bool
}{
	{"a watcher of three members", 2, true},
	{"no watcher of 41 members", 40, false},
}
