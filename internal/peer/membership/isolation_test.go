package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestIsolatedMemberShowsAllAsDeadAndSuspectsNobody(t *testing.T) {
	for _, n := range []int{3, 60, 1500} {
		t.Run(fmt.Sprintf("%d others", n), func(t *testing.T) {
			v := newTestView(t)
			learnMembers(v, n)
			v.joined = true
			runAnswering(v, 5*time.Second, everybody)
			timeout := v.isolationTimeout()
			runAnswering(v, v.now+timeout+200*ms, nobody)
			if !v.Isolated() || v.BalancerCount().Live != 1 || v.BalancerCount().MaxBalancers != n+1 || v.isolationTimeout() > 7*time.Second {
				t.Fatalf("isolated %v after %v, size %+v", v.Isolated(), v.isolationTimeout(), v.BalancerCount())
			}
			if got := countSuspectOrDead(runAnswering(v, v.now+60*time.Second, nobody)); len(v.suspects) > 0 || got > 0 {
				t.Errorf("%d suspects, %d suspicions and deaths gossiped", len(v.suspects), got)
			}
			actions := v.Step(v.now+ms, datagramFrom(testRecord(n-1), 1<<40, Message{Kind: Gossip}))
			if v.Isolated() || len(v.live) == 0 || v.BalancerCount().Live != len(v.live)+1 {
				t.Errorf("after a datagram: isolated %v, %d alive", v.Isolated(), v.BalancerCount().Live)
			}
			actions = append(actions, runUntil(v, v.now+1500*ms)...)
			if len(openedExchanges(actions)) == 0 {
				t.Error("no exchange is opened after a datagram")
			}
			if n > 3 && len(v.live) < n*9/10 {
				t.Errorf("%d alive by their records", len(v.live))
			}
		})
	}
}

// countSuspectOrDead counts the gossiped updates in which a member is suspect or dead.
func countSuspectOrDead(actions []Action) int {
	count := 0
	for _, s := range sentOfKind(actions, Gossip) {
		for _, u := range s.Message.Updates {
			if u.State == Suspect || u.State == Dead {
				count++
			}
		}
	}
	return count
}

func TestPauseDoesNotIsolateAMember(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 8)
	v.joined = true
	runAnswering(v, 5*time.Second, everybody)
	v.Step(v.Next() + 20*time.Second)
	runAnswering(v, v.now+2*time.Second, everybody)
	if v.Isolated() {
		t.Error("the member is isolated after a pause of its own process")
	}
}

func TestPartitionedMinoritySweepsWithoutHealthScaling(t *testing.T) {
	for _, c := range []struct {
		name      string
		lateSteps bool // the process itself is slow: local health applies as usual
	}{
		{"steps on time", false},
		{"steps late", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTestView(t)
			learnMembers(v, 100)
			v.joined = true
			runAnswering(v, 5*time.Second, everybody)
			partitionedAt := v.now
			minority := func(name string) bool { return name == "m1" || name == "m2" || name == "m3" }
			probed := map[string]bool{}
			for v.now < partitionedAt+6*time.Second {
				if c.lateSteps {
					v.lateStepAt = v.now
				}
				for _, s := range sentOfKind(runAnswering(v, v.now+50*ms, minority), Ping) {
					probed[s.Message.Target] = true
				}
			}
			if swept := len(probed) >= 95; swept == c.lateSteps {
				t.Errorf("%d of 100 probed in 6 s", len(probed))
			}
			if scaled := v.scaledByHealth(time.Second); !c.lateSteps && scaled != time.Second {
				t.Errorf("1 s is scaled to %v", scaled)
			}
		})
	}
}

func TestPartitionedRegionUsesRemoteHelpers(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprintf("partitioned %v", partitioned), func(t *testing.T) {
			v := newRegionView(t, 6, 4, 0)
			v.recentMisses = 0
			if partitioned {
				v.recentMisses = 7
			}
			v.now += minOnTimePeriod
			v.actions = nil
			p := &probe{target: "a1", seq: v.nextSeq(), sentAt: v.now}
			v.probeIndirectly(p)
			remote := slices.ContainsFunc(p.helpers, func(h *member) bool { return h.Region == "b" })
			if remote != partitioned || len(p.helpers) != indirectHelpers {
				t.Errorf("a remote helper %v, %d helpers", remote, len(p.helpers))
			}
		})
	}
	t.Run("the suspect learns of the suspicion", func(t *testing.T) { // though the remote helper ignores it
		v := newRegionView(t, 2, 2, 0)
		suspect := regionRecord(1, 0)
		suspect.State = Suspect
		suspect.Reporter = "b1"
		actions := v.Step(v.now+ms, datagramFrom(regionRecord(1, 1), 9, Message{
			Kind:    IndirectPing,
			Seq:     3,
			Target:  "b0",
			Addr:    suspect.Addr,
			Reply:   regionRecord(1, 1).Addr,
			Updates: []Record{suspect},
		}))
		pings := sentOfKind(actions, Ping)
		if len(pings) == 0 || len(pings[0].Message.Updates) == 0 || pings[0].Message.Updates[0].State != Suspect {
			t.Errorf("pings %+v", pings)
		}
	})
}

func TestIsolationTimeoutFollowsProbeIntervalAndMinSuspicion(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	v.isolated = true
	v.probeFailed(&probe{target: "m1"})
	if stateOf(v, "m1") != Alive {
		t.Error("an isolated member suspects another one")
	}
	v.settings.ProbeInterval = 20 * ms
	if got := v.isolationTimeout(); got < 2*DefaultMinSuspicion {
		t.Errorf("timeout %v at an interval of 20 ms", got)
	}
	v.settings.ProbeInterval = time.Second
	if got := v.isolationTimeout(); got < 20*time.Second {
		t.Errorf("timeout %v at an interval of 1 s", got)
	}
}

// A member that has not joined yet, but has received records of other members, is not isolated. Its timers must not
// include the isolation timeout, which would make it step continuously.
func TestJoiningMemberIsNotSteppedForIsolation(t *testing.T) {
	v := newTestView(t, "127.0.0.9:1")
	learnMembers(v, 5)
	v.joined = false
	v.contacted = false
	steps := 0
	for v.now < 30*time.Second {
		v.Step(v.Next())
		v.joined = false
		v.contacted = false
		steps++
	}
	if steps > 5000 || v.Isolated() {
		t.Errorf("%d steps in 30 s, isolated %v", steps, v.Isolated())
	}
}
