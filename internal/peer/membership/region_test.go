package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// newRegionView is the view of one of region a, which knows so many others of a, b and c: a0, a1, ... b0, ...
func newRegionView(t testing.TB, a, b, c int) *View {
	t.Helper()
	v, err := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7, Balancers: 1, Region: "a"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	x := &Exchange{From: "a0", Boot: 5, RunID: 100}
	for i, n := range []int{a, b, c} {
		for k := range n {
			x.Records = append(x.Records, regionRecord(i, k))
		}
	}
	v.Step(0, ExchangeClosed{x})
	v.joined, v.updates = true, updateQueue{}
	return v
}

func regionRecord(region, n int) Record {
	name := string(rune('a' + region))
	return Record{Name: fmt.Sprint(name, n), Addr: fmt.Sprintf("127.0.%d.1:%d", region+2, n+1), Boot: 5, RunID: uint64(1000*region + n + 100), Balancers: 1, Region: name}
}

// told has a member tell of others.
func gossipFrom(v *View, r Record, all ...Record) []Action {
	return v.Step(v.now+ms, datagramFrom(r, uint64(v.now), Message{Kind: Gossip, Updates: all}))
}

// requireWatching makes this member one of the watchers of b, and the others of its region whoever they are.
func requireWatching(t testing.TB, v *View, watch bool) *region {
	t.Helper()
	r := v.regions["b"]
	v.Step(v.now + ms)
	if r.watched != watch {
		t.Fatal("the ranks of this table are others")
	}
	return r
}

// answered has the view run until a time: pings are answered by those of which it says so.
func runAnswering(v *View, until time.Duration, answers func(name string) bool) (all []Action) {
	numbers := map[string]uint64{}
	var due []DatagramReceived
	for v.now < until {
		at := v.Next()
		var events []Event
		if len(due) > 0 {
			at = min(at, v.now+2*ms)
			for _, d := range due {
				events = append(events, d)
			}
			due = nil
		}
		acts := v.Step(at, events...)
		all = append(all, acts...)
		for _, s := range sentOfKind(acts, Ping) {
			if m := v.members[s.Message.Target]; m != nil && answers(m.Name) {
				numbers[m.Name]++
				due = append(due, datagramFrom(m.Record, numbers[m.Name]+uint64(until), Message{Kind: Ack, Seq: s.Message.Seq, Target: m.Name, Digest: v.digest}))
			}
		}
	}
	return all
}

func onlyLocalRegion(name string) bool { return name[0] == 'a' }
func everybody(string) bool            { return true }

func TestSuspicionOfARemoteMemberIsIgnored(t *testing.T) {
	v := newRegionView(t, 4, 4, 0)
	r := regionRecord(1, 0)
	r.State, r.Reporter = Suspect, "b1"
	gossipFrom(v, regionRecord(1, 1), r)
	if stateOf(v, "b0") != Alive || len(v.suspects) != 0 || !v.updates.empty() {
		t.Errorf("%v, %d suspects", stateOf(v, "b0"), len(v.suspects))
	}
	n := regionRecord(0, 0)
	n.State, n.Reporter = Suspect, "a1"
	gossipFrom(v, regionRecord(0, 1), n)
	if stateOf(v, "a0") != Suspect {
		t.Error("one that is near is not suspected")
	}
}

func TestRemoteDeathIsAcceptedWithoutAProbe(t *testing.T) {
	dead := regionRecord(1, 0)
	dead.State = Dead
	for name, tell := range map[string]func(v *View){
		"news":     func(v *View) { gossipFrom(v, regionRecord(0, 0), dead) },
		"exchange": func(v *View) { v.Step(v.now+ms, ExchangeClosed{&Exchange{From: "b1", Records: []Record{dead}}}) },
	} {
		v := newRegionView(t, 4, 4, 0)
		if tell(v); stateOf(v, "b0") != Dead {
			t.Errorf("%s: %v", name, stateOf(v, "b0"))
		}
	}
	v := newRegionView(t, 4, 4, 0) // but one that this member hears is told
	gossipFrom(v, regionRecord(1, 0))
	acts := gossipFrom(v, regionRecord(0, 0), dead)
	if got := sentOfKind(acts, Gossip); stateOf(v, "b0") != Alive || len(got) == 0 || got[0].To != dead.Addr || got[0].Message.Updates[0].State != Dead {
		t.Errorf("heard, and %v: %+v", stateOf(v, "b0"), got)
	}
}

func TestProbesStayInTheRegionAndAreEvenlyShared(t *testing.T) {
	v := newRegionView(t, 9, 9, 9)
	for i := range 9 { // three of its own zone, three of another, and three that are alone in theirs
		r := regionRecord(0, i)
		r.Incarnation, r.Zone = 1, []string{"z1", "z2", fmt.Sprint("alone", i)}[i%3]
		gossipFrom(v, regionRecord(0, 8), r)
	}
	v.self.Zone, v.zoneProbeOrder = "z1", nil
	count, far := map[string]int{}, 0
	for _, s := range sentOfKind(runAnswering(v, v.now+120*time.Second, everybody), Ping) {
		if count[s.Message.Target]++; s.Message.Target[0] != 'a' {
			far++
		}
	}
	for name, n := range count {
		least, most := 70, 95 // of 600: half of them go to the three of its zone and the three that are alone
		switch name[0] {
		case 'b', 'c':
			least, most = 0, 2*120
		default:
			if i := name[1] - '0'; i%3 == 1 { // of another zone
				least, most = 25, 42
			}
		}
		if n < least || n > most {
			t.Errorf("%s is probed %d times: %v", name, n, count)
		}
	}
	if far > 2*120 {
		t.Errorf("%d far probes in 120 s", far)
	}
	// All members' shares of one of them sum up to one a period, whatever the sizes of zones.
	zones := []string{"z1", "z1", "z1", "z1", "z2", "z2", "alone"}
	got := make([]float64, len(zones))
	for i := range zones {
		w := newRegionView(t, len(zones)-1, 0, 0)
		w.self.Zone = zones[i]
		at := 0
		names := make([]string, len(zones))
		for k := range zones {
			if k != i {
				m := w.members[fmt.Sprint("a", at)]
				m.Zone, names[k] = zones[k], m.Name
				at++
			}
		}
		sum := map[string]float64{}
		const probes = 6000
		for range probes {
			sum[w.nextTarget().Name]++
		}
		for k, name := range names {
			if k != i {
				got[k] += sum[name] / probes
			}
		}
	}
	for k, share := range got {
		if math.Abs(share-1) > 0.08 {
			t.Errorf("%s, of zone %s, is probed %.2f times a period", fmt.Sprint(k), zones[k], share)
		}
	}
}

func TestAllMembersSelectTheSameThreeWatchersAndReplaceDeadOnes(t *testing.T) {
	names := func(v *View) (all []string) {
		v.regionsCheckAt = 0
		v.regionsDue()
		for _, w := range v.regions["b"].watchers {
			all = append(all, w.member.Name)
		}
		return all
	}
	v := newRegionView(t, 9, 4, 0)
	first := names(v)
	if len(first) != maxWatchers {
		t.Fatal(first)
	}
	other, _ := New(Settings{Name: "a0", Addr: regionRecord(0, 0).Addr, Boot: 5, RunID: 100, Region: "a"}, 2)
	x := &Exchange{From: "me", Records: []Record{v.Local(), regionRecord(1, 0)}}
	for i := 8; i > 0; i-- {
		x.Records = append(x.Records, regionRecord(0, i))
	}
	other.Step(0, ExchangeClosed{x})
	if got := names(other); !slices.Equal(first, got) {
		t.Errorf("one finds %v, another %v", first, got)
	}
	gone := slices.DeleteFunc(slices.Clone(first), func(n string) bool { return n == "me" })[0]
	v.declareDead(v.members[gone], "test")
	if got := names(v); slices.Contains(got, gone) || len(got) != maxWatchers {
		t.Errorf("%s is dead, and watches: %v", gone, got)
	}
}

func TestOnlyWatchersGossipAcrossRegionsAFewTimes(t *testing.T) {
	for _, c := range []struct {
		near int
		want int // times that a watcher tells another region
	}{{2, remoteTransmissions}, {40, 0}} { // of three it is a watcher, of 41 it is none with this name
		v := newRegionView(t, c.near, 5, 0)
		r := requireWatching(t, v, c.want > 0)
		dead, suspect := regionRecord(0, 0), regionRecord(0, 1)
		dead.State, suspect.State, suspect.Reporter = Dead, Suspect, "a2"
		acts := append(gossipFrom(v, regionRecord(0, 1), dead), gossipFrom(v, regionRecord(0, 0), suspect)...)
		crossed, others := 0, 0
		for _, a := range append(acts, runAnswering(v, v.now+2*remoteProbeInterval, everybody)...) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			for _, u := range s.Message.Updates {
				if v.remoteAddrs[s.To] == r && u.Name == "a0" && u.State == Dead {
					crossed++
				} else if v.remoteAddrs[s.To] == r && u.State == Suspect {
					others++
				}
			}
		}
		if crossed != c.want || others > 0 {
			t.Errorf("with %d near: told %d times, suspicions %d", c.near, crossed, others)
		}
	}
	v := newRegionView(t, 2, 5, 5) // news of b is for b's watchers to tell c
	r := regionRecord(1, 0)
	r.State = Dead
	gossipFrom(v, regionRecord(1, 1), r)
	if !v.regions["c"].updates.empty() || v.updates.empty() {
		t.Error("news from afar is told on to other regions, or not at home")
	}
}

// muteAll has the watchers of its region say that they don't reach another one, or that they do.
func setReportedUnreachable(v *View, r *region, name string, mute bool) {
	m := v.members[name].Record
	if m.Incarnation++; mute {
		m.UnreachableRegions = []uint32{r.hash}
	} else {
		m.UnreachableRegions = nil
	}
	gossipFrom(v, m, m)
}

func TestUnreachableRegionIsShownDeadWithoutChangingRecords(t *testing.T) {
	v := newRegionView(t, 2, 5, 0) // a0, a1 and it are the watchers
	r := requireWatching(t, v, true)
	v.settled = true
	runAnswering(v, v.now+15*time.Second, everybody)
	before, digest, health := v.Size(), v.Digest(), v.Health()
	setReportedUnreachable(v, r, "a0", true)
	setReportedUnreachable(v, r, "a1", true)
	if r.unreachable {
		t.Fatal("away, though this one has not said so")
	}
	cut := v.now
	acts := runAnswering(v, cut+8*time.Second, onlyLocalRegion)
	if !r.unreachable || !reportsUnreachable(v.self, r) {
		t.Fatal("not away")
	}
	if took := r.changedAt - cut; took < DefaultMinSuspicion-remoteProbeInterval*3/2 || took > 8*time.Second {
		t.Errorf("after %v", took)
	}
	shown := 0
	for _, a := range acts {
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
					t.Errorf("%s is told to be %v", u.Name, u.State)
				}
			}
		}
	}
	runAnswering(v, v.now+10*time.Second, onlyLocalRegion) // the count eases
	after := v.Size()
	if shown != 5 || after.MaxBalancers != before.MaxBalancers || after.MinBalancers != before.MinBalancers-5 || after.Live != before.Live-5 || v.Health() != health {
		t.Errorf("%d shown, count %+v, before %+v, health %d", shown, after, before, v.Health())
	}
	for _, m := range v.Members() {
		if m.Region == "b" && (m.State != Dead || m.AgeSeconds == 0) {
			t.Errorf("%s: %v for %d s", m.Name, m.State, m.AgeSeconds)
		}
	}
	for _, m := range v.Records() {
		if m.Region == "b" && m.State != Alive {
			t.Errorf("%s is recorded as %v", m.Name, m.State)
		}
	}
	mute := v.self.Incarnation
	acts = runAnswering(v, v.now+4*time.Second, everybody) // the first answer ends it
	if r.unreachable || reportsUnreachable(v.self, r) || v.self.Incarnation != mute+1 {
		t.Fatal("still away")
	}
	back := 0
	for _, a := range acts {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Alive && c.Reason == ReasonRegionReachable {
			back++
		}
	}
	if back != 5 || len(openedExchanges(acts)) == 0 || digest == v.Digest() {
		t.Errorf("%d back, %d exchanges", back, len(openedExchanges(acts)))
	}
}

func TestOneWatcherThatReachesARegionKeepsItReachable(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	runAnswering(v, v.now+watcherSettleTime, everybody)
	setReportedUnreachable(v, r, "a0", true)
	runAnswering(v, v.now+8*time.Second, onlyLocalRegion)
	if !reportsUnreachable(v.self, r) || r.unreachable {
		t.Errorf("mute %v, away %v", reportsUnreachable(v.self, r), r.unreachable)
	}
}

func TestNewWatcherDoesNotMakeARegionReachableBeforeItSettles(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	runAnswering(v, v.now+watcherSettleTime, everybody)
	setReportedUnreachable(v, r, "a0", true)
	setReportedUnreachable(v, r, "a1", true)
	runAnswering(v, v.now+8*time.Second, onlyLocalRegion)
	if !r.unreachable {
		t.Fatal("not away")
	}
	// One joins that ranks before another: it has not said anything yet.
	for i := 2; i < 30; i++ {
		gossipFrom(v, regionRecord(0, 0), regionRecord(0, i))
		v.Step(v.now + ms)
		if w := r.watchers; !slices.ContainsFunc(w, func(w watcher) bool { return w.member.Name == fmt.Sprint("a", i) }) {
			continue
		}
		if !r.unreachable {
			t.Fatal("a newcomer's silence ended it")
		}
		runAnswering(v, v.now+watcherSettleTime+ms, onlyLocalRegion)
		if r.unreachable {
			t.Error("a watcher that had its time and does not say that it does not reach it counts for nothing")
		}
		return
	}
	t.Fatal("no newcomer watches")
}

func TestShortPauseDoesNotMakeARegionOfOneUnreachable(t *testing.T) {
	v := newRegionView(t, 0, 1, 0)
	r := requireWatching(t, v, true)
	runAnswering(v, v.now+10*time.Second, everybody)
	paused := v.now
	runAnswering(v, paused+1500*ms, func(string) bool { return false })
	if r.reportedUnreachable || r.unreachable {
		t.Error("silent after a pause of 1.5 s")
	}
	runAnswering(v, paused+8*time.Second, func(string) bool { return false })
	if !r.unreachable {
		t.Error("and never silent")
	}
}

func TestRemoteProbeUsesHelpersOfAThirdRegion(t *testing.T) {
	v := newRegionView(t, 2, 4, 4)
	r := requireWatching(t, v, true)
	v.actions = nil
	p := &probe{target: "b0", seq: v.nextSeq(), remoteRegion: r, sentAt: v.now}
	v.probes = []*probe{p}
	v.probeIndirectly(p)
	for _, s := range sentOfKind(v.actions, IndirectPing) {
		if v.remoteAddrs[s.To] != v.regions["c"] {
			t.Errorf("%s is asked", s.To)
		}
	}
	if len(p.helpers) != maxRemoteHelpers {
		t.Errorf("%d helpers", len(p.helpers))
	}
	v.Step(v.now+ms, datagramFrom(regionRecord(2, 1), 1, Message{Kind: Ack, Seq: p.seq, Target: "b0"}))
	if r.missedProbes != 0 || r.lastHelper != "c1" || r.lastAckAt != v.now {
		t.Errorf("missed %d, via %q", r.missedProbes, r.lastHelper)
	}
}

func TestRemoteBytesStayWithinTheirBudget(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	v.settings.RemoteBytesPerSecond, v.remoteBudget = 4096, tokenBucket{rate: 4096, capacity: 4096}
	r := requireWatching(t, v, true)
	for i := range 3000 {
		m := regionRecord(0, 0)
		m.Incarnation = uint32(i + 1)
		x := v.members["a0"]
		x.Record = m
		r.updates.put(x, "")
		if i%10 == 0 {
			v.Step(max(v.Next(), v.now+10*ms))
		}
		for n := range uint64(3) { // and each of them asks
			v.Step(v.now, datagramFrom(regionRecord(1, i%5), uint64(3*i)+n+1, Message{Kind: Ping, Seq: 1, Target: "me"}))
		}
	}
	if most := 4096*(v.now.Seconds()+1) + maxDatagramBytes; float64(v.Traffic().RemoteBytes) > most || float64(v.Traffic().RemoteBytes) < most/2 {
		t.Errorf("%d bytes, %v are allowed", v.Traffic().RemoteBytes, most)
	}
}

func TestWatcherOpensARemoteExchangeAfterItsRank(t *testing.T) {
	for near, want := range map[int]bool{2: true, 40: false} {
		v := newRegionView(t, near, 3, 0)
		r := requireWatching(t, v, want)
		v.exchange = exchangeState{periodicAt: time.Hour}
		began, opened := v.now, time.Duration(0)
		for i := uint64(1); opened == 0 && v.now < began+6*time.Second; i++ {
			v.updates, r.updates = updateQueue{}, updateQueue{}
			if len(openedExchanges(v.Step(v.now+100*ms, datagramFrom(regionRecord(1, 0), i, Message{Kind: Gossip, Digest: 99})))) > 0 {
				opened = v.now - began
			}
		}
		if least := time.Duration(1+r.rank) * time.Second; want != (opened > 0) || want && (opened < least || opened > least+time.Second) {
			t.Errorf("watcher %v, of rank %d: after %v", want, r.rank, opened)
		}
	}
}

// One that knows no regions passes records on without them.
func TestRegionSurvivesRelaysThatOmitIt(t *testing.T) {
	v := newRegionView(t, 3, 3, 0)
	bare := regionRecord(1, 0)
	bare.Region = ""
	bare.Incarnation = 1
	gossipFrom(v, regionRecord(0, 0), bare)
	if m := v.members["b0"]; m.Region != "b" || m.region != v.regions["b"] || m.Incarnation != 1 {
		t.Errorf("region %q, %+v", m.Region, m.Record)
	}
	stranger := regionRecord(1, 9) // learned without, then with
	stranger.Region = ""
	gossipFrom(v, regionRecord(0, 0), stranger)
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
	if stateOf(v, "b0") != Alive {
		t.Fatal("one that is reached was forgotten")
	}
	v.regions["b"].unreachable = true
	v.updateReachability(v.regions["b"].live, ReasonRegionUnreachable)
	v.Step(v.now+ms, ForgetMember{"b0"})
	if stateOf(v, "b0") != Left {
		t.Errorf("%v", stateOf(v, "b0"))
	}
}

func TestIsolatedMemberShowsAllAsDeadAndSuspectsNobody(t *testing.T) {
	for _, n := range []int{3, 60, 1500} {
		v := newTestView(t)
		learnMembers(v, n)
		v.joined = true
		runAnswering(v, 5*time.Second, everybody)
		cut := v.now
		nobody := func(string) bool { return false }
		runAnswering(v, cut+v.isolationTimeout()+200*ms, nobody)
		if !v.Isolated() || v.Size().Live != 1 || v.Size().MaxBalancers != n+1 || v.isolationTimeout() > 7*time.Second {
			t.Fatalf("%d others: alone %v after %v, %+v", n, v.Isolated(), v.isolationTimeout(), v.Size())
		}
		recorded := 0
		for _, s := range sentOfKind(runAnswering(v, v.now+60*time.Second, nobody), Gossip) {
			for _, u := range s.Message.Updates {
				if u.State == Suspect || u.State == Dead {
					recorded++
				}
			}
		}
		if len(v.suspects) > 0 || recorded > 0 {
			t.Errorf("%d others: %d are suspect, %d accusations told", n, len(v.suspects), recorded)
		}
		acts := v.Step(v.now+ms, datagramFrom(testRecord(n-1), 1<<40, Message{Kind: Gossip}))
		if v.Isolated() || len(v.live) == 0 || v.Size().Live != len(v.live)+1 || len(openedExchanges(append(acts, runUntil(v, v.now+1500*ms)...))) == 0 {
			t.Errorf("%d others: alone %v, %d alive", n, v.Isolated(), v.Size().Live)
		}
		if n > 3 && len(v.live) < n*9/10 {
			t.Errorf("%d others: %d alive by their records", n, len(v.live))
		}
	}
}

func TestPauseDoesNotIsolateAMember(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 8)
	v.joined = true
	runAnswering(v, 5*time.Second, everybody)
	v.Step(v.Next() + 20*time.Second)
	runAnswering(v, v.now+2*time.Second, everybody)
	if v.Isolated() {
		t.Error("it was paused, and holds all for silent")
	}
}

func TestPartitionedMinoritySweepsWithoutHealthScaling(t *testing.T) {
	for _, late := range []bool{false, true} {
		v := newTestView(t)
		learnMembers(v, 100)
		v.joined = true
		runAnswering(v, 5*time.Second, everybody)
		cut := v.now
		fellows := func(name string) bool { return name == "m1" || name == "m2" || name == "m3" }
		probed := map[string]bool{}
		for v.now < cut+6*time.Second {
			if late { // it is slow itself: then it doubts as ever
				v.lateStepAt = v.now
			}
			for _, s := range sentOfKind(runAnswering(v, v.now+50*ms, fellows), Ping) {
				probed[s.Message.Target] = true
			}
		}
		if all := len(probed) >= 95; all == late || !late && v.scaledByHealth(time.Second) != time.Second {
			t.Errorf("late %v: %d of 100 probed in 6 s, patience %v", late, len(probed), v.scaledByHealth(time.Second))
		}
	}
}

func TestNewWatcherInheritsItsRegionsUnreachableReport(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	r.watched, r.reportedUnreachable, r.unreachable = false, false, true // it was none a moment ago
	v.selectWatchers(r)
	if !r.watched || !reportsUnreachable(v.self, r) {
		t.Errorf("watch %v, mute %v", r.watched, r.reportedUnreachable)
	}
}

func TestRegionIsNotReportedUnreachableWithinAShortPause(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	for range 2 * minRemoteMisses {
		v.regionProbeFailed(r)
	}
	if r.reportedUnreachable {
		t.Fatal("silent at once")
	}
	v.now += DefaultMinSuspicion + DefaultProbeTimeout + DefaultIndirectTimeout
	if v.regionProbeFailed(r); !r.reportedUnreachable {
		t.Error("not silent")
	}
	w := newRegionView(t, 2, 5, 0) // and a pause of its own is no silence of theirs
	o := requireWatching(t, w, true)
	o.missedProbes = minRemoteMisses - 1
	w.Step(w.Next() + 10*time.Second)
	w.regionProbeFailed(o)
	if o.reportedUnreachable {
		t.Error("silent after a pause of this member's own")
	}
}

func TestUnansweredRegionIsProbedMoreOften(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	v.probes, v.actions = nil, nil
	r.probeAt = v.now + remoteProbeInterval
	if v.hastenRegionProbe(r); r.probeAt > v.now+remoteRetryInterval {
		t.Errorf("the next in %v", r.probeAt-v.now)
	}
	for range 20 {
		r.probeAt = v.now
		if v.watchedRegionsDue(); r.probeAt > v.now+remoteRetryInterval*3/2 {
			t.Fatalf("the one after in %v", r.probeAt-v.now)
		}
	}
	r.reportedUnreachable = true // it goes on as at rest
	r.probeAt = v.now
	if v.watchedRegionsDue(); r.probeAt < v.now+remoteProbeInterval/2 {
		t.Errorf("silent, and the next in %v", r.probeAt-v.now)
	}
}

func TestRegionOfDeadMembersIsStillProbed(t *testing.T) {
	v := newRegionView(t, 2, 1, 0)
	r := requireWatching(t, v, true)
	dead := regionRecord(1, 0)
	dead.State = Dead
	gossipFrom(v, regionRecord(0, 0), dead)
	v.actions, v.probes, r.probeAt = nil, nil, v.now
	v.watchedRegionsDue()
	if got := sentOfKind(v.actions, Ping); len(got) != 1 || got[0].Message.Target != "b0" || got[0].Message.Updates[0].State != Dead {
		t.Errorf("%+v", got)
	}
}

func TestSuspectWatcherIsReplacedDuringAPartition(t *testing.T) {
	v := newRegionView(t, 9, 4, 0)
	v.Step(v.now + ms)
	r := v.regions["b"]
	first := r.watchers[slices.IndexFunc(r.watchers, func(w watcher) bool { return w.member != v.self })].member
	for _, cut := range []bool{false, true} {
		first.State = Suspect
		if v.partitionedUntil = 0; cut {
			v.partitionedUntil = v.now + time.Second
		}
		v.selectWatchers(r)
		if still := slices.ContainsFunc(r.watchers, func(w watcher) bool { return w.member == first }); still == cut {
			t.Errorf("cut %v: it watches %v", cut, still)
		}
	}
}

func TestThirdWatcherWaitsLongerThanTheFirst(t *testing.T) {
	v := newRegionView(t, 2, 3, 0)
	r := requireWatching(t, v, true)
	v.updates = updateQueue{}
	r.rank, r.differsSince = 2, v.now-2500*ms
	v.exchange = exchangeState{periodicAt: time.Hour}
	if v.compareRemoteDigest(v.members["b0"], 99); v.exchange.scheduledAt != 0 {
		t.Error("the third is not the first")
	}
	r.differsSince = v.now - 3*time.Second
	if v.compareRemoteDigest(v.members["b0"], 99); v.exchange.scheduledAt == 0 {
		t.Error("and it never comes to it")
	}
}

func TestPartitionedRegionUsesRemoteHelpers(t *testing.T) {
	for _, cut := range []bool{false, true} {
		v := newRegionView(t, 6, 4, 0)
		if v.recentMisses = 0; cut {
			v.recentMisses = 7
		}
		v.now += minOnTimePeriod
		v.actions = nil
		p := &probe{target: "a1", seq: v.nextSeq(), sentAt: v.now}
		v.probeIndirectly(p)
		far := slices.ContainsFunc(p.helpers, func(h *member) bool { return h.Region == "b" })
		if far != cut || len(p.helpers) != indirectHelpers {
			t.Errorf("cut %v: a far helper %v, %d helpers", cut, far, len(p.helpers))
		}
	}
	// The far helper does not suspect; the suspect hears of it all the same.
	v := newRegionView(t, 2, 2, 0)
	accused := regionRecord(1, 0)
	accused.State, accused.Reporter = Suspect, "b1"
	acts := v.Step(v.now+ms, datagramFrom(regionRecord(1, 1), 9, Message{Kind: IndirectPing, Seq: 3, Target: "b0", Addr: accused.Addr, Reply: regionRecord(1, 1).Addr, Updates: []Record{accused}}))
	if got := sentOfKind(acts, Ping); len(got) == 0 || len(got[0].Message.Updates) == 0 || got[0].Message.Updates[0].State != Suspect {
		t.Errorf("%+v", got)
	}
}

func TestIsolationTimeoutFollowsProbeIntervalAndMinSuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	v.isolated = true
	if v.probeFailed(&probe{target: "m1"}); stateOf(v, "m1") != Alive {
		t.Error("it accuses")
	}
	v.settings.ProbeInterval = 20 * ms
	if got := v.isolationTimeout(); got < 2*DefaultMinSuspicion {
		t.Errorf("%v at 20 ms", got)
	}
	v.settings.ProbeInterval = time.Second
	if got := v.isolationTimeout(); got < 20*time.Second {
		t.Errorf("%v at 1 s", got)
	}
}

func TestOnlyWatchersContactARevivedRemoteMember(t *testing.T) {
	for near, want := range map[int]bool{2: true, 40: false} {
		v := newRegionView(t, near, 3, 0)
		requireWatching(t, v, want)
		r := regionRecord(1, 0)
		r.State = Dead
		gossipFrom(v, regionRecord(0, 0), r)
		v.exchange = exchangeState{periodicAt: time.Hour}
		r.State, r.Incarnation = Alive, 1
		if gossipFrom(v, regionRecord(0, 0), r); (v.exchange.preferredAddr == r.Addr || v.exchange.busy && v.exchange.to == r.Addr) != want {
			t.Errorf("watcher %v: exchange with %q", want, v.exchange.preferredAddr)
		}
	}
}

func TestRemoteExchangesStayWithinTheirBudget(t *testing.T) {
	v := newRegionView(t, 2, 3, 0)
	v.now += ms
	v.remoteStreamBudget.fill(v.now)
	v.remoteStreamBudget.level = -5000
	ask := func(r Record) *Exchange {
		for _, a := range v.Step(v.now+ms, ExchangeRequest{Stream: 1, Message: &Exchange{From: r.Name, BucketDigests: []uint64{1}, Records: []Record{r}}}) {
			if a, ok := a.(ExchangeReply); ok {
				return a.Message
			}
		}
		return nil
	}
	if x := ask(regionRecord(1, 0)); x == nil || x.RetryAfterMS == 0 || x.Records[0].Region != "b" {
		t.Errorf("to one of another region: %+v", x)
	}
	if x := ask(regionRecord(0, 0)); x == nil || x.RetryAfterMS != 0 {
		t.Errorf("to one that is near: %+v", x)
	}
	v.remoteStreamBudget.level = -1e6
	v.exchange = exchangeState{periodicAt: time.Hour}
	v.exchange.requestWith(v, regionRecord(1, 0).Addr)
	if got := openedExchanges(runUntil(v, v.now+2*time.Second)); len(got) > 0 {
		t.Error("opened in debt")
	}
}

// One that looks for the fleet still, and knows of some by another's word, does nothing for hearing nobody: nor is it
// stepped for that.
func TestJoiningMemberIsNotSteppedForIsolation(t *testing.T) {
	v := newTestView(t, "127.0.0.9:1")
	learnMembers(v, 5)
	v.joined, v.contacted = false, false
	steps := 0
	for v.now < 30*time.Second {
		v.Step(v.Next())
		v.joined, v.contacted = false, false
		steps++
	}
	if steps > 5000 || v.Isolated() {
		t.Errorf("%d steps in 30 s, alone %v", steps, v.Isolated())
	}
}

func TestMemberThatStopsYieldingIsNotIsolated(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	v.joined, v.yielding = true, true
	v.nameClaim = nameClaim{dueAt: v.now + 30*time.Second, unanswered: maxUnansweredChecks, other: testRecord(9)}
	v.now = v.nameClaim.dueAt
	v.wakeAt = v.now
	if v.Step(v.now); v.yielding || v.Isolated() {
		t.Errorf("standby %v, alone %v", v.yielding, v.Isolated())
	}
}
