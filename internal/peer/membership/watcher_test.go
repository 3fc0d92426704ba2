package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// watcherNames returns the names of the current watchers of region b.
func watcherNames(v *View) []string {
	v.regionsCheckAt = 0
	v.updateRegions()
	var names []string
	for _, w := range v.regions["b"].watchers {
		names = append(names, w.member.Name)
	}
	return names
}

func TestAllMembersSelectTheSameThreeWatchersAndReplaceDeadOnes(t *testing.T) {
	v := newRegionView(t, 9, 4, 0)
	first := watcherNames(v)
	if len(first) != maxWatchers {
		t.Fatalf("watchers %v", first)
	}
	other := mustNew(t, Settings{Name: "a0", Addr: regionRecord(0, 0).Addr, Boot: 5, RunID: 100, Region: "a"})
	x := &Exchange{From: "me", Records: []Record{v.Local(), regionRecord(1, 0)}}
	for i := 8; i > 0; i-- {
		x.Records = append(x.Records, regionRecord(0, i))
	}
	other.Step(0, ExchangeFinished{x})
	if got := watcherNames(other); !slices.Equal(first, got) {
		t.Errorf("one member selects %v, another %v", first, got)
	}
	dead := slices.DeleteFunc(slices.Clone(first), func(name string) bool { return name == "me" })[0]
	v.declareDead(v.members[dead], "test")
	if got := watcherNames(v); slices.Contains(got, dead) || len(got) != maxWatchers {
		t.Errorf("%s is dead, but the watchers are %v", dead, got)
	}
}

func TestOnlyWatchersGossipAcrossRegionsAFewTimes(t *testing.T) {
	for _, c := range regionSizeCases {
		t.Run(c.name, func(t *testing.T) {
			v := newRegionView(t, c.size, 5, 0)
			r := requireWatching(t, v, c.watched)
			dead := regionRecord(0, 0)
			dead.State = Dead
			suspect := regionRecord(0, 1)
			suspect.State = Suspect
			suspect.Reporter = "a2"
			actions := gossipFrom(v, regionRecord(0, 1), dead)
			actions = append(actions, gossipFrom(v, regionRecord(0, 0), suspect)...)
			actions = append(actions, runAnswering(v, v.now+2*remoteProbeInterval, everybody)...)
			deaths, suspicions := 0, 0
			for _, a := range actions {
				s, ok := a.(Send)
				if !ok || v.remoteAddrs[s.To] != r {
					continue
				}
				for _, u := range s.Message.Updates {
					switch {
					case u.Name == "a0" && u.State == Dead:
						deaths++
					case u.State == Suspect:
						suspicions++
					}
				}
			}
			want := 0
			if c.watched {
				want = remoteTransmissions
			}
			if deaths != want || suspicions > 0 {
				t.Errorf("the death is sent %d times, want %d; suspicions %d times", deaths, want, suspicions)
			}
		})
	}
	t.Run("updates about another region are not forwarded", func(t *testing.T) { // the watchers of b send them to c
		v := newRegionView(t, 2, 5, 5)
		r := regionRecord(1, 0)
		r.State = Dead
		gossipFrom(v, regionRecord(1, 1), r)
		if !v.regions["c"].updates.empty() || v.updates.empty() {
			t.Error("the update is queued for another region, or not for this one")
		}
	})
}

func TestOneWatcherThatReachesARegionKeepsItReachable(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	runAnswering(v, v.now+watcherSettleTime, everybody)
	receiveRegionReport(v, r, "a0", reportUnreachable)
	runAnswering(v, v.now+8*time.Second, onlyLocalRegion)
	if !reportsUnreachable(v.self, r) || r.unreachable {
		t.Errorf("reported unreachable %v, unreachable %v", reportsUnreachable(v.self, r), r.unreachable)
	}
}

func TestNewWatcherDoesNotMakeARegionReachableBeforeItSettles(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	runAnswering(v, v.now+watcherSettleTime, everybody)
	receiveRegionReport(v, r, "a0", reportUnreachable)
	receiveRegionReport(v, r, "a1", reportUnreachable)
	runAnswering(v, v.now+8*time.Second, onlyLocalRegion)
	if !r.unreachable {
		t.Fatal("the region is still reachable")
	}
	joinNewWatcher(t, v, r)
	if !r.unreachable {
		t.Fatal("the region is reachable because a new watcher has not reported yet")
	}
	runAnswering(v, v.now+watcherSettleTime+ms, onlyLocalRegion)
	if r.unreachable {
		t.Error("the region is unreachable, although a watcher that has settled does not report that")
	}
}

// joinNewWatcher adds members to a view until one of them becomes a watcher of a region.
func joinNewWatcher(t *testing.T, v *View, r *region) {
	t.Helper()
	for i := 2; i < 30; i++ {
		gossipFrom(v, regionRecord(0, 0), regionRecord(0, i))
		v.Step(v.now + ms)
		name := fmt.Sprint("a", i)
		if slices.ContainsFunc(r.watchers, func(w watcher) bool { return w.member.Name == name }) {
			return
		}
	}
	t.Fatal("no new member becomes a watcher")
}

func TestRemoteProbeUsesHelpersOfAThirdRegion(t *testing.T) {
	v := newRegionView(t, 2, 4, 4)
	r := requireWatching(t, v, true)
	p := &probe{target: "b0", seq: v.nextSeq(), remoteRegion: r, sentAt: v.now}
	setProbes(v, p)
	v.probeIndirectly(p)
	for _, s := range sentOfKind(v.actions, IndirectPing) {
		if v.remoteAddrs[s.To] != v.regions["c"] {
			t.Errorf("%s is asked, which is not in the third region", s.To)
		}
	}
	if len(p.helpers) != maxRemoteHelpers {
		t.Errorf("%d helpers", len(p.helpers))
	}
	v.Step(v.now+ms, datagramFrom(regionRecord(2, 1), 1, Message{Kind: Ack, Seq: p.seq, Target: "b0"}))
	if r.missedProbes != 0 || r.lastHelper != "c1" || r.lastAckAt != v.now {
		t.Errorf("%d missed probes, last helper %q", r.missedProbes, r.lastHelper)
	}
}

func TestRemoteBytesStayWithinTheirBudget(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	v.settings.RemoteBytesPerSecond = 4096
	v.remoteBudget = newTokenBucket(4096)
	r := requireWatching(t, v, true)
	for i := range 3000 {
		m := v.members["a0"]
		m.Record = regionRecord(0, 0)
		m.Incarnation = uint32(i + 1)
		r.updates.put(m, "")
		if i%10 == 0 {
			v.Step(max(v.Next(), v.now+10*ms))
		}
		for n := range uint64(3) { // members of the region also probe this member
			ping := Message{Kind: Ping, Seq: 1, Target: "me"}
			v.Step(v.now, datagramFrom(regionRecord(1, i%5), uint64(3*i)+n+1, ping))
		}
	}
	limit := 4096*(v.now.Seconds()+1) + maxDatagramBytes
	if sent := float64(v.Traffic().RemoteBytes); sent > limit || sent < limit/2 {
		t.Errorf("%v bytes sent, the limit is %v", sent, limit)
	}
}

func TestWatcherOpensARemoteExchangeAfterItsRank(t *testing.T) {
	for _, c := range regionSizeCases {
		t.Run(c.name, func(t *testing.T) {
			v := newRegionView(t, c.size, 3, 0)
			r := requireWatching(t, v, c.watched)
			v.exchange = exchangeState{periodicAt: time.Hour}
			start := v.now
			openedAfter := time.Duration(0)
			for number := uint64(1); openedAfter == 0 && v.now < start+6*time.Second; number++ {
				v.updates = updateQueue{}
				r.updates = updateQueue{}
				datagram := datagramFrom(regionRecord(1, 0), number, Message{Kind: Gossip, Digest: 99})
				if len(openedExchanges(v.Step(v.now+100*ms, datagram))) > 0 {
					openedAfter = v.now - start
				}
			}
			if c.watched != (openedAfter > 0) {
				t.Errorf("opened after %v", openedAfter)
			}
			grace := time.Duration(1+r.rank) * time.Second
			if c.watched && (openedAfter < grace || openedAfter > grace+time.Second) {
				t.Errorf("opened after %v by the watcher of rank %d", openedAfter, r.rank)
			}
		})
	}
}

func TestThirdWatcherWaitsLongerThanTheFirst(t *testing.T) {
	v := newRegionView(t, 2, 3, 0)
	r := requireWatching(t, v, true)
	v.updates = updateQueue{}
	v.exchange = exchangeState{periodicAt: time.Hour}
	r.rank = 2
	r.differsSince = v.now - 2500*ms
	v.compareDigest(v.members["b0"], 99)
	if v.exchange.scheduledAt != 0 {
		t.Error("the watcher opens an exchange before the watchers of ranks 0 and 1 had time to do so")
	}
	r.differsSince = v.now - 3*time.Second
	v.compareDigest(v.members["b0"], 99)
	if v.exchange.scheduledAt == 0 {
		t.Error("the watcher never opens an exchange")
	}
}

func TestNewWatcherInheritsItsRegionsUnreachableReport(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	r.watched = false // this member has not been a watcher before
	r.reportedUnreachable = false
	r.unreachable = true
	v.selectWatchers(r)
	if !r.watched || !reportsUnreachable(v.self, r) {
		t.Errorf("watched %v, reported unreachable %v", r.watched, r.reportedUnreachable)
	}
}

func TestRegionIsNotReportedUnreachableWithinAShortPause(t *testing.T) {
	t.Run("of the region", func(t *testing.T) {
		v := newRegionView(t, 2, 5, 0)
		r := requireWatching(t, v, true)
		for range 2 * minRemoteMisses {
			v.regionProbeFailed(r)
		}
		if r.reportedUnreachable {
			t.Fatal("the region is reported as unreachable at once")
		}
		v.now += DefaultMinSuspicion + DefaultProbeTimeout + DefaultIndirectTimeout
		v.regionProbeFailed(r)
		if !r.reportedUnreachable {
			t.Error("the region is never reported as unreachable")
		}
	})
	t.Run("of this member", func(t *testing.T) {
		v := newRegionView(t, 2, 5, 0)
		r := requireWatching(t, v, true)
		r.missedProbes = minRemoteMisses - 1
		v.Step(v.Next() + 10*time.Second)
		v.regionProbeFailed(r)
		if r.reportedUnreachable {
			t.Error("the region is reported as unreachable after a pause of this process")
		}
	})
}

func TestUnansweredRegionIsProbedMoreOften(t *testing.T) {
	v := newRegionView(t, 2, 5, 0)
	r := requireWatching(t, v, true)
	setProbes(v)
	r.probeAt = v.now + remoteProbeInterval
	v.hastenRegionProbe(r)
	if r.probeAt > v.now+remoteRetryInterval {
		t.Errorf("the next probe is due in %v", r.probeAt-v.now)
	}
	for range 20 {
		r.probeAt = v.now
		v.runWatchedRegions()
		if r.probeAt > v.now+remoteRetryInterval*3/2 {
			t.Fatalf("the probe after that is due in %v", r.probeAt-v.now)
		}
	}
	r.reportedUnreachable = true // probes continue at the normal rate
	r.probeAt = v.now
	v.runWatchedRegions()
	if r.probeAt < v.now+remoteProbeInterval/2 {
		t.Errorf("the region is unreachable, and the next probe is due in %v", r.probeAt-v.now)
	}
}

func TestRegionOfDeadMembersIsStillProbed(t *testing.T) {
	v := newRegionView(t, 2, 1, 0)
	r := requireWatching(t, v, true)
	dead := regionRecord(1, 0)
	dead.State = Dead
	gossipFrom(v, regionRecord(0, 0), dead)
	setProbes(v)
	r.probeAt = v.now
	v.runWatchedRegions()
	pings := sentOfKind(v.actions, Ping)
	if len(pings) != 1 || pings[0].Message.Target != "b0" || pings[0].Message.Updates[0].State != Dead {
		t.Errorf("pings %+v", pings)
	}
}

func TestSuspectWatcherIsReplacedDuringAPartition(t *testing.T) {
	v := newRegionView(t, 9, 4, 0)
	v.Step(v.now + ms)
	r := v.regions["b"]
	i := slices.IndexFunc(r.watchers, func(w watcher) bool { return w.member != v.self })
	suspect := r.watchers[i].member
	suspect.State = Suspect
	for _, c := range []struct {
		name             string
		partitionedUntil time.Duration
		watches          bool
	}{
		{"no partition", 0, true},
		{"a partition", v.now + time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v.partitionedUntil = c.partitionedUntil
			v.selectWatchers(r)
			watches := slices.ContainsFunc(r.watchers, func(w watcher) bool { return w.member == suspect })
			if watches != c.watches {
				t.Errorf("the suspect watches: %v", watches)
			}
		})
	}
}
