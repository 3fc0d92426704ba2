package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// inRegions is the view of one of region a, which knows so many others of a, b and c: a0, a1, ... b0, ...
func inRegions(t testing.TB, a, b, c int) *View {
	t.Helper()
	v, err := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7, Balancers: 1, Region: "a"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	x := &Exchange{From: "a0", Boot: 5, RunID: 100}
	for i, n := range []int{a, b, c} {
		for k := range n {
			x.Records = append(x.Records, of(i, k))
		}
	}
	v.Step(0, ExchangeClosed{x})
	v.joined, v.news = true, news{}
	return v
}

func of(region, n int) Record {
	name := string(rune('a' + region))
	return Record{Name: fmt.Sprint(name, n), Addr: fmt.Sprintf("127.0.%d.1:%d", region+2, n+1), Boot: 5, RunID: uint64(1000*region + n + 100), Balancers: 1, Region: name}
}

// told has a member tell of others.
func tells(v *View, r Record, all ...Record) []Action {
	return v.Step(v.now+ms, from(r, uint64(v.now), Message{Kind: Gossip, Updates: all}))
}

// watching makes this member one of the watchers of b, and the others of its region whoever they are.
func watching(t testing.TB, v *View, watch bool) *region {
	t.Helper()
	r := v.regions["b"]
	v.Step(v.now + ms)
	if r.watch != watch {
		t.Fatal("the ranks of this table are others")
	}
	return r
}

// answered has the view run until a time: pings are answered by those of which it says so.
func livesOn(v *View, until time.Duration, answers func(name string) bool) (all []Action) {
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
		for _, s := range sent(acts, Ping) {
			if m := v.members[s.Message.Target]; m != nil && answers(m.Name) {
				numbers[m.Name]++
				due = append(due, from(m.Record, numbers[m.Name]+uint64(until), Message{Kind: Ack, Seq: s.Message.Seq, Target: m.Name, Digest: v.digest}))
			}
		}
	}
	return all
}

func onlyNear(name string) bool { return name[0] == 'a' }
func everybody(string) bool     { return true }

func TestSuspicionOfAFarMemberIsForThoseNearIt(t *testing.T) {
	v := inRegions(t, 4, 4, 0)
	r := of(1, 0)
	r.State, r.Reporter = Suspect, "b1"
	tells(v, of(1, 1), r)
	if state(v, "b0") != Alive || len(v.suspects) != 0 || !v.news.empty() {
		t.Errorf("%v, %d suspects", state(v, "b0"), len(v.suspects))
	}
	n := of(0, 0)
	n.State, n.Reporter = Suspect, "a1"
	tells(v, of(0, 1), n)
	if state(v, "a0") != Suspect {
		t.Error("one that is near is not suspected")
	}
}

func TestFarDeathIsTakenByWord(t *testing.T) {
	dead := of(1, 0)
	dead.State = Dead
	for name, tell := range map[string]func(v *View){
		"news":     func(v *View) { tells(v, of(0, 0), dead) },
		"exchange": func(v *View) { v.Step(v.now+ms, ExchangeClosed{&Exchange{From: "b1", Records: []Record{dead}}}) },
	} {
		v := inRegions(t, 4, 4, 0)
		if tell(v); state(v, "b0") != Dead {
			t.Errorf("%s: %v", name, state(v, "b0"))
		}
	}
	v := inRegions(t, 4, 4, 0) // but one that this member hears is told
	tells(v, of(1, 0))
	acts := tells(v, of(0, 0), dead)
	if got := sent(acts, Gossip); state(v, "b0") != Alive || len(got) == 0 || got[0].To != dead.Addr || got[0].Message.Updates[0].State != Dead {
		t.Errorf("heard, and %v: %+v", state(v, "b0"), got)
	}
}

func TestProbesStayNearAndEachMemberHasItsShare(t *testing.T) {
	v := inRegions(t, 9, 9, 9)
	for i := range 9 { // three of its own zone, three of another, and three that are alone in theirs
		r := of(0, i)
		r.Incarnation, r.Zone = 1, []string{"z1", "z2", fmt.Sprint("alone", i)}[i%3]
		tells(v, of(0, 8), r)
	}
	v.self.Zone, v.zoneTurn = "z1", nil
	count, far := map[string]int{}, 0
	for _, s := range sent(livesOn(v, v.now+120*time.Second, everybody), Ping) {
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
		w := inRegions(t, len(zones)-1, 0, 0)
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

func TestWatchersAreThreeByRankForAllAndReplacedWhenTheyDie(t *testing.T) {
	names := func(v *View) (all []string) {
		v.surveyAt = 0
		v.survey()
		for _, w := range v.regions["b"].top {
			all = append(all, w.m.Name)
		}
		return all
	}
	v := inRegions(t, 9, 4, 0)
	first := names(v)
	if len(first) != watchersMost {
		t.Fatal(first)
	}
	other, _ := New(Settings{Name: "a0", Addr: of(0, 0).Addr, Boot: 5, RunID: 100, Region: "a"}, 2)
	x := &Exchange{From: "me", Records: []Record{v.Local(), of(1, 0)}}
	for i := 8; i > 0; i-- {
		x.Records = append(x.Records, of(0, i))
	}
	other.Step(0, ExchangeClosed{x})
	if got := names(other); !slices.Equal(first, got) {
		t.Errorf("one finds %v, another %v", first, got)
	}
	gone := slices.DeleteFunc(slices.Clone(first), func(n string) bool { return n == "me" })[0]
	v.declare(v.members[gone], "test")
	if got := names(v); slices.Contains(got, gone) || len(got) != watchersMost {
		t.Errorf("%s is dead, and watches: %v", gone, got)
	}
}

func TestWhatIsNewCrossesByWatchersAFewTimes(t *testing.T) {
	for _, c := range []struct {
		near int
		want int // times that a watcher tells another region
	}{{2, farTimes}, {40, 0}} { // of three it is a watcher, of 41 it is none with this name
		v := inRegions(t, c.near, 5, 0)
		r := watching(t, v, c.want > 0)
		dead, suspect := of(0, 0), of(0, 1)
		dead.State, suspect.State, suspect.Reporter = Dead, Suspect, "a2"
		acts := append(tells(v, of(0, 1), dead), tells(v, of(0, 0), suspect)...)
		crossed, others := 0, 0
		for _, a := range append(acts, livesOn(v, v.now+2*farEvery, everybody)...) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			for _, u := range s.Message.Updates {
				if v.farAt[s.To] == r && u.Name == "a0" && u.State == Dead {
					crossed++
				} else if v.farAt[s.To] == r && u.State == Suspect {
					others++
				}
			}
		}
		if crossed != c.want || others > 0 {
			t.Errorf("with %d near: told %d times, suspicions %d", c.near, crossed, others)
		}
	}
	v := inRegions(t, 2, 5, 5) // news of b is for b's watchers to tell c
	r := of(1, 0)
	r.State = Dead
	tells(v, of(1, 1), r)
	if !v.regions["c"].news.empty() || v.news.empty() {
		t.Error("news from afar is told on to other regions, or not at home")
	}
}

// muteAll has the watchers of its region say that they don't reach another one, or that they do.
func says(v *View, r *region, name string, mute bool) {
	m := v.members[name].Record
	if m.Incarnation++; mute {
		m.UnreachableRegions = []uint32{r.hash}
	} else {
		m.UnreachableRegions = nil
	}
	tells(v, m, m)
}

func TestRegionThatNoWatcherReachesIsShownAsDeadWithoutAWordAboutItsMembers(t *testing.T) {
	v := inRegions(t, 2, 5, 0) // a0, a1 and it are the watchers
	r := watching(t, v, true)
	v.settled = true
	livesOn(v, v.now+15*time.Second, everybody)
	before, digest, health := v.Size(), v.Digest(), v.Health()
	says(v, r, "a0", true)
	says(v, r, "a1", true)
	if r.away {
		t.Fatal("away, though this one has not said so")
	}
	cut := v.now
	acts := livesOn(v, cut+8*time.Second, onlyNear)
	if !r.away || !muted(v.self, r) {
		t.Fatal("not away")
	}
	if took := r.since - cut; took < DefaultMinSuspicion-farEvery*3/2 || took > 8*time.Second {
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
	livesOn(v, v.now+10*time.Second, onlyNear) // the count eases
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
	acts = livesOn(v, v.now+4*time.Second, everybody) // the first answer ends it
	if r.away || muted(v.self, r) || v.self.Incarnation != mute+1 {
		t.Fatal("still away")
	}
	back := 0
	for _, a := range acts {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Alive && c.Reason == ReasonRegionReachable {
			back++
		}
	}
	if back != 5 || len(opens(acts)) == 0 || digest == v.Digest() {
		t.Errorf("%d back, %d exchanges", back, len(opens(acts)))
	}
}

func TestOneWatcherThatReachesARegionIsEnough(t *testing.T) {
	v := inRegions(t, 2, 5, 0)
	r := watching(t, v, true)
	livesOn(v, v.now+watchSettle, everybody)
	says(v, r, "a0", true)
	livesOn(v, v.now+8*time.Second, onlyNear)
	if !muted(v.self, r) || r.away {
		t.Errorf("mute %v, away %v", muted(v.self, r), r.away)
	}
}

func TestNewWatcherIsNoWordThatARegionIsReached(t *testing.T) {
	v := inRegions(t, 2, 5, 0)
	r := watching(t, v, true)
	livesOn(v, v.now+watchSettle, everybody)
	says(v, r, "a0", true)
	says(v, r, "a1", true)
	livesOn(v, v.now+8*time.Second, onlyNear)
	if !r.away {
		t.Fatal("not away")
	}
	// One joins that ranks before another: it has not said anything yet.
	for i := 2; i < 30; i++ {
		tells(v, of(0, 0), of(0, i))
		v.Step(v.now + ms)
		if w := r.top; !slices.ContainsFunc(w, func(w watcher) bool { return w.m.Name == fmt.Sprint("a", i) }) {
			continue
		}
		if !r.away {
			t.Fatal("a newcomer's silence ended it")
		}
		livesOn(v, v.now+watchSettle+ms, onlyNear)
		if r.away {
			t.Error("a watcher that had its time and does not say that it does not reach it counts for nothing")
		}
		return
	}
	t.Fatal("no newcomer watches")
}

func TestPauseThatIsBorneDoesNotSilenceARegionOfOne(t *testing.T) {
	v := inRegions(t, 0, 1, 0)
	r := watching(t, v, true)
	livesOn(v, v.now+10*time.Second, everybody)
	paused := v.now
	livesOn(v, paused+1500*ms, func(string) bool { return false })
	if r.mute || r.away {
		t.Error("silent after a pause of 1.5 s")
	}
	livesOn(v, paused+8*time.Second, func(string) bool { return false })
	if !r.away {
		t.Error("and never silent")
	}
}

func TestThirdRegionIsAskedWhereAFarOneDoesNotAnswer(t *testing.T) {
	v := inRegions(t, 2, 4, 4)
	r := watching(t, v, true)
	v.actions = nil
	p := &probe{target: "b0", seq: v.nextSeq(), far: r, at: v.now}
	v.probes = []*probe{p}
	v.askOthers(p)
	for _, s := range sent(v.actions, IndirectPing) {
		if v.farAt[s.To] != v.regions["c"] {
			t.Errorf("%s is asked", s.To)
		}
	}
	if len(p.helpers) != farHelpers {
		t.Errorf("%d helpers", len(p.helpers))
	}
	v.Step(v.now+ms, from(of(2, 1), 1, Message{Kind: Ack, Seq: p.seq, Target: "b0"}))
	if r.missed != 0 || r.via != "c1" || r.ackAt != v.now {
		t.Errorf("missed %d, via %q", r.missed, r.via)
	}
}

func TestBytesToOtherRegionsHaveTheirOwnBound(t *testing.T) {
	v := inRegions(t, 2, 5, 0)
	v.s.RemoteBytesPerSecond, v.farBudget = 4096, budget{rate: 4096, most: 4096}
	r := watching(t, v, true)
	for i := range 3000 {
		m := of(0, 0)
		m.Incarnation = uint32(i + 1)
		x := v.members["a0"]
		x.Record = m
		r.news.put(x, "")
		if i%10 == 0 {
			v.Step(max(v.Next(), v.now+10*ms))
		}
		for n := range uint64(3) { // and each of them asks
			v.Step(v.now, from(of(1, i%5), uint64(3*i)+n+1, Message{Kind: Ping, Seq: 1, Target: "me"}))
		}
	}
	if most := 4096*(v.now.Seconds()+1) + datagramMost; float64(v.Traffic().RemoteBytes) > most || float64(v.Traffic().RemoteBytes) < most/2 {
		t.Errorf("%d bytes, %v are allowed", v.Traffic().RemoteBytes, most)
	}
}

func TestWatchersOpenExchangesOneAfterTheOther(t *testing.T) {
	for near, want := range map[int]bool{2: true, 40: false} {
		v := inRegions(t, near, 3, 0)
		r := watching(t, v, want)
		v.exchange = exchange{quietAt: time.Hour}
		began, opened := v.now, time.Duration(0)
		for i := uint64(1); opened == 0 && v.now < began+6*time.Second; i++ {
			v.news, r.news = news{}, news{}
			if len(opens(v.Step(v.now+100*ms, from(of(1, 0), i, Message{Kind: Gossip, Digest: 99})))) > 0 {
				opened = v.now - began
			}
		}
		if least := time.Duration(1+r.rank) * time.Second; want != (opened > 0) || want && (opened < least || opened > least+time.Second) {
			t.Errorf("watcher %v, of rank %d: after %v", want, r.rank, opened)
		}
	}
}

// One that knows no regions passes records on without them.
func TestRegionOutlivesOnesThatDoNotKnowIt(t *testing.T) {
	v := inRegions(t, 3, 3, 0)
	bare := of(1, 0)
	bare.Region = ""
	bare.Incarnation = 1
	tells(v, of(0, 0), bare)
	if m := v.members["b0"]; m.Region != "b" || m.region != v.regions["b"] || m.Incarnation != 1 {
		t.Errorf("region %q, %+v", m.Region, m.Record)
	}
	stranger := of(1, 9) // learned without, then with
	stranger.Region = ""
	tells(v, of(0, 0), stranger)
	if m := v.members["b9"]; m.region != v.regions[""] {
		t.Errorf("region %q", m.Region)
	}
	tells(v, of(0, 0), of(1, 9))
	if m := v.members["b9"]; m.region != v.regions["b"] || m.State != Alive {
		t.Errorf("region %q", m.Region)
	}
}

func TestOperatorForgetsOneOfALostRegion(t *testing.T) {
	v := inRegions(t, 2, 2, 0)
	v.Step(v.now+ms, ForgetMember{"b0"})
	if state(v, "b0") != Alive {
		t.Fatal("one that is reached was forgotten")
	}
	v.regions["b"].away = true
	v.show(v.regions["b"].live, ReasonRegionUnreachable)
	v.Step(v.now+ms, ForgetMember{"b0"})
	if state(v, "b0") != Left {
		t.Errorf("%v", state(v, "b0"))
	}
}

func TestOneThatHearsNobodyShowsAllAsDeadAndAccusesNobody(t *testing.T) {
	for _, n := range []int{3, 60, 1500} {
		v := alone(t)
		meet(v, n)
		v.joined = true
		livesOn(v, 5*time.Second, everybody)
		cut := v.now
		nobody := func(string) bool { return false }
		livesOn(v, cut+v.loneAfter()+200*ms, nobody)
		if !v.Isolated() || v.Size().Live != 1 || v.Size().MaxBalancers != n+1 || v.loneAfter() > 7*time.Second {
			t.Fatalf("%d others: alone %v after %v, %+v", n, v.Isolated(), v.loneAfter(), v.Size())
		}
		recorded := 0
		for _, s := range sent(livesOn(v, v.now+60*time.Second, nobody), Gossip) {
			for _, u := range s.Message.Updates {
				if u.State == Suspect || u.State == Dead {
					recorded++
				}
			}
		}
		if len(v.suspects) > 0 || recorded > 0 {
			t.Errorf("%d others: %d are suspect, %d accusations told", n, len(v.suspects), recorded)
		}
		acts := v.Step(v.now+ms, from(other(n-1), 1<<40, Message{Kind: Gossip}))
		if v.Isolated() || len(v.live) == 0 || v.Size().Live != len(v.live)+1 || len(opens(append(acts, run(v, v.now+1500*ms)...))) == 0 {
			t.Errorf("%d others: alone %v, %d alive", n, v.Isolated(), v.Size().Live)
		}
		if n > 3 && len(v.live) < n*9/10 {
			t.Errorf("%d others: %d alive by their records", n, len(v.live))
		}
	}
}

func TestPauseIsNoSilenceOfOthers(t *testing.T) {
	v := alone(t)
	meet(v, 8)
	v.joined = true
	livesOn(v, 5*time.Second, everybody)
	v.Step(v.Next() + 20*time.Second)
	livesOn(v, v.now+2*time.Second, everybody)
	if v.Isolated() {
		t.Error("it was paused, and holds all for silent")
	}
}

func TestFewBehindACutSweepAndWaitNoLongerForTheirDoubts(t *testing.T) {
	for _, late := range []bool{false, true} {
		v := alone(t)
		meet(v, 100)
		v.joined = true
		livesOn(v, 5*time.Second, everybody)
		cut := v.now
		fellows := func(name string) bool { return name == "m1" || name == "m2" || name == "m3" }
		probed := map[string]bool{}
		for v.now < cut+6*time.Second {
			if late { // it is slow itself: then it doubts as ever
				v.lateAt = v.now
			}
			for _, s := range sent(livesOn(v, v.now+50*ms, fellows), Ping) {
				probed[s.Message.Target] = true
			}
		}
		if all := len(probed) >= 95; all == late || !late && v.patience(time.Second) != time.Second {
			t.Errorf("late %v: %d of 100 probed in 6 s, patience %v", late, len(probed), v.patience(time.Second))
		}
	}
}

func TestWatcherOfALostRegionBeginsWithWhatItsRegionHolds(t *testing.T) {
	v := inRegions(t, 2, 5, 0)
	r := watching(t, v, true)
	r.watch, r.mute, r.away = false, false, true // it was none a moment ago
	v.elect(r)
	if !r.watch || !muted(v.self, r) {
		t.Errorf("watch %v, mute %v", r.watch, r.mute)
	}
}

func TestRegionIsNotSilentSoonerThanAPauseThatIsBorne(t *testing.T) {
	v := inRegions(t, 2, 5, 0)
	r := watching(t, v, true)
	for range 2 * farMisses {
		v.missedFar(r)
	}
	if r.mute {
		t.Fatal("silent at once")
	}
	v.now += DefaultMinSuspicion + DefaultProbeTimeout + DefaultIndirectTimeout
	if v.missedFar(r); !r.mute {
		t.Error("not silent")
	}
	w := inRegions(t, 2, 5, 0) // and a pause of its own is no silence of theirs
	o := watching(t, w, true)
	o.missed = farMisses - 1
	w.Step(w.Next() + 10*time.Second)
	w.missedFar(o)
	if o.mute {
		t.Error("silent after a pause of this member's own")
	}
}

func TestDoubtedRegionIsProbedMoreOften(t *testing.T) {
	v := inRegions(t, 2, 5, 0)
	r := watching(t, v, true)
	v.probes, v.actions = nil, nil
	r.probeAt = v.now + farEvery
	if v.doubts(r); r.probeAt > v.now+farSoon {
		t.Errorf("the next in %v", r.probeAt-v.now)
	}
	for range 20 {
		r.probeAt = v.now
		if v.watchDue(); r.probeAt > v.now+farSoon*3/2 {
			t.Fatalf("the one after in %v", r.probeAt-v.now)
		}
	}
	r.mute = true // it goes on as at rest
	r.probeAt = v.now
	if v.watchDue(); r.probeAt < v.now+farEvery/2 {
		t.Errorf("silent, and the next in %v", r.probeAt-v.now)
	}
}

func TestRegionOfWhichAllAreDeadIsStillProbed(t *testing.T) {
	v := inRegions(t, 2, 1, 0)
	r := watching(t, v, true)
	dead := of(1, 0)
	dead.State = Dead
	tells(v, of(0, 0), dead)
	v.actions, v.probes, r.probeAt = nil, nil, v.now
	v.watchDue()
	if got := sent(v.actions, Ping); len(got) != 1 || got[0].Message.Target != "b0" || got[0].Message.Updates[0].State != Dead {
		t.Errorf("%+v", got)
	}
}

func TestWatcherBeyondACutIsReplacedWhileItIsSuspect(t *testing.T) {
	v := inRegions(t, 9, 4, 0)
	v.Step(v.now + ms)
	r := v.regions["b"]
	first := r.top[slices.IndexFunc(r.top, func(w watcher) bool { return w.m != v.self })].m
	for _, cut := range []bool{false, true} {
		first.State = Suspect
		if v.cutUntil = 0; cut {
			v.cutUntil = v.now + time.Second
		}
		v.elect(r)
		if still := slices.ContainsFunc(r.top, func(w watcher) bool { return w.m == first }); still == cut {
			t.Errorf("cut %v: it watches %v", cut, still)
		}
	}
}

func TestBySeveralWatchersExchangesComeByRank(t *testing.T) {
	v := inRegions(t, 2, 3, 0)
	r := watching(t, v, true)
	v.news = news{}
	r.rank, r.differs = 2, v.now-2500*ms
	v.exchange = exchange{quietAt: time.Hour}
	if v.compareFar(v.members["b0"], 99); v.exchange.at != 0 {
		t.Error("the third is not the first")
	}
	r.differs = v.now - 3*time.Second
	if v.compareFar(v.members["b0"], 99); v.exchange.at == 0 {
		t.Error("and it never comes to it")
	}
}

func TestRegionThatIsCutInTwoIsHelpedFromAfar(t *testing.T) {
	for _, cut := range []bool{false, true} {
		v := inRegions(t, 6, 4, 0)
		if v.last = 0; cut {
			v.last = 7
		}
		v.now += calmFor
		v.actions = nil
		p := &probe{target: "a1", seq: v.nextSeq(), at: v.now}
		v.askOthers(p)
		far := slices.ContainsFunc(p.helpers, func(h *member) bool { return h.Region == "b" })
		if far != cut || len(p.helpers) != helpers {
			t.Errorf("cut %v: a far helper %v, %d helpers", cut, far, len(p.helpers))
		}
	}
	// The far helper does not suspect; the suspect hears of it all the same.
	v := inRegions(t, 2, 2, 0)
	accused := of(1, 0)
	accused.State, accused.Reporter = Suspect, "b1"
	acts := v.Step(v.now+ms, from(of(1, 1), 9, Message{Kind: IndirectPing, Seq: 3, Target: "b0", Addr: accused.Addr, Reply: of(1, 1).Addr, Updates: []Record{accused}}))
	if got := sent(acts, Ping); len(got) == 0 || len(got[0].Message.Updates) == 0 || got[0].Message.Updates[0].State != Suspect {
		t.Errorf("%+v", got)
	}
}

func TestOneThatHearsNobodyAccusesNobodyAndWaitsByItsPeriodAndByPauses(t *testing.T) {
	v := alone(t)
	meet(v, 5)
	v.lone = true
	if v.missed(&probe{target: "m1"}); state(v, "m1") != Alive {
		t.Error("it accuses")
	}
	v.s.ProbeInterval = 20 * ms
	if got := v.loneAfter(); got < 2*DefaultMinSuspicion {
		t.Errorf("%v at 20 ms", got)
	}
	v.s.ProbeInterval = time.Second
	if got := v.loneAfter(); got < 20*time.Second {
		t.Errorf("%v at 1 s", got)
	}
}

func TestOneThatIsAliveAgainFarAwayIsForWatchersToAsk(t *testing.T) {
	for near, want := range map[int]bool{2: true, 40: false} {
		v := inRegions(t, near, 3, 0)
		watching(t, v, want)
		r := of(1, 0)
		r.State = Dead
		tells(v, of(0, 0), r)
		v.exchange = exchange{quietAt: time.Hour}
		r.State, r.Incarnation = Alive, 1
		if tells(v, of(0, 0), r); (v.exchange.whom == r.Addr || v.exchange.busy && v.exchange.to == r.Addr) != want {
			t.Errorf("watcher %v: exchange with %q", want, v.exchange.whom)
		}
	}
}

func TestExchangesWithOtherRegionsHaveTheirOwnBound(t *testing.T) {
	v := inRegions(t, 2, 3, 0)
	v.now += ms
	v.farStreams.fill(v.now)
	v.farStreams.level = -5000
	ask := func(r Record) *Exchange {
		for _, a := range v.Step(v.now+ms, ExchangeRequest{Stream: 1, Message: &Exchange{From: r.Name, BucketDigests: []uint64{1}, Records: []Record{r}}}) {
			if a, ok := a.(ExchangeReply); ok {
				return a.Message
			}
		}
		return nil
	}
	if x := ask(of(1, 0)); x == nil || x.RetryAfterMS == 0 || x.Records[0].Region != "b" {
		t.Errorf("to one of another region: %+v", x)
	}
	if x := ask(of(0, 0)); x == nil || x.RetryAfterMS != 0 {
		t.Errorf("to one that is near: %+v", x)
	}
	v.farStreams.level = -1e6
	v.exchange = exchange{quietAt: time.Hour}
	v.exchange.with(v, of(1, 0).Addr)
	if got := opens(run(v, v.now+2*time.Second)); len(got) > 0 {
		t.Error("opened in debt")
	}
}

// One that looks for the fleet still, and knows of some by another's word, does nothing for hearing nobody: nor is it
// stepped for that.
func TestOneThatLooksForTheFleetIsNotSteppedForHearingNobody(t *testing.T) {
	v := alone(t, "127.0.0.9:1")
	meet(v, 5)
	v.joined, v.met = false, false
	steps := 0
	for v.now < 30*time.Second {
		v.Step(v.Next())
		v.joined, v.met = false, false
		steps++
	}
	if steps > 5000 || v.Isolated() {
		t.Errorf("%d steps in 30 s, alone %v", steps, v.Isolated())
	}
}

func TestOneThatStoodBackHasHeardNobodyMeanwhile(t *testing.T) {
	v := alone(t)
	meet(v, 5)
	v.joined, v.standby = true, true
	v.claim = claim{at: v.now + 30*time.Second, misses: standTries, rec: other(9)}
	v.now = v.claim.at
	v.due = v.now
	if v.Step(v.now); v.standby || v.Isolated() {
		t.Errorf("standby %v, alone %v", v.standby, v.Isolated())
	}
}
