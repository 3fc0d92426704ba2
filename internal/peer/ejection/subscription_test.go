package ejection

import (
	"fmt"
	"testing"
	"time"
)

var (
	readsOne  = NewSubscriptionFilter([]string{"one"})
	readsTwo  = NewSubscriptionFilter([]string{"two"})
	readsBoth = NewSubscriptionFilter([]string{"one", "two"})
)

// newHarnessWithPeers returns a harness whose peers have localities and subscriptions. Its member reads the lists one
// and two.
func newHarnessWithPeers(t *testing.T, peers ...Peer) *harness {
	t.Helper()
	h := &harness{t: t, m: newMember(t, Settings{Name: "a"}), now: testStart}
	var names []string
	for n := range peers {
		names = append(names, memberName(n))
	}
	h.step(ListUpdated{"one", testServers("s")}, ListUpdated{"two", testServers("t")}, MembersChanged{Names: names, Peers: peers})
	return h
}

// memberName returns the name of member n: a, b, c ...
func memberName(n int) string { return string(rune('a' + n)) }

// peersOf returns a number of peers, each made by peer.
func peersOf(count int, peer func(n int) Peer) []Peer {
	var all []Peer
	for n := range count {
		all = append(all, peer(n))
	}
	return all
}

func TestFilterIncludesItsListsAndFewOthers(t *testing.T) {
	const otherLists = 2000
	for _, c := range []struct {
		lists             int
		maxFalsePositives float64 // share of other lists
	}{{0, 0}, {1, 0}, {12, 0}, {42, 0}, {43, 0.01}, {150, 0.08}, {1000, 1}} {
		t.Run(fmt.Sprint(c.lists, " lists"), func(t *testing.T) {
			var lists []string
			for n := range c.lists {
				lists = append(lists, fmt.Sprint("list-", n))
			}
			filter := NewSubscriptionFilter(lists)
			if len(filter) > maxFilterBytes {
				t.Errorf("the filter has %d bytes", len(filter))
			}
			for _, l := range lists {
				if !filter.MayInclude(l) {
					t.Errorf("%s is not included", l)
				}
			}
			falsePositives := 0
			for n := range otherLists {
				if filter.MayInclude(fmt.Sprint("other-", n)) {
					falsePositives++
				}
			}
			if float64(falsePositives)/otherLists > c.maxFalsePositives {
				t.Errorf("%d of %d other lists are included", falsePositives, otherLists)
			}
		})
	}
}

func TestUnknownFilterIncludesEveryList(t *testing.T) {
	for _, c := range []struct {
		name   string
		filter SubscriptionFilter
	}{
		{"none", nil},
		{"empty", SubscriptionFilter{}},
		{"unknown encoding", SubscriptionFilter{9, 1, 2, 3}},
		{"hashes of a wrong length", SubscriptionFilter{filterHashes, 1, 2}},
		{"Bloom filter of a wrong length", SubscriptionFilter{filterBloom, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.filter.MayInclude("main") {
				t.Error("main is not included")
			}
		})
	}
}

func TestOnlySubscribersAreNotified(t *testing.T) {
	const (
		subscriberOfBoth = 0
		subscriberOfNone = 1
		period           = 4
	)
	peers := peersOf(20, func(n int) Peer {
		switch n % period {
		case subscriberOfBoth:
			return Peer{Subscriptions: readsBoth}
		case subscriberOfNone:
			return Peer{Subscriptions: NewSubscriptionFilter([]string{"three"})}
		}
		return Peer{Subscriptions: readsTwo}
	})
	h := newHarnessWithPeers(t, peers...)
	messages := 0
	for range 200 {
		h.now += 100 * time.Millisecond
		for _, s := range stepAndCollectSends(h.m, h.now, oneFailure(1)) {
			to := int(s.To[0]-'a') % period
			aboutListOne := s.Message.Notify || len(s.Message.About) > 0
			if to == subscriberOfNone || aboutListOne && to != subscriberOfBoth {
				t.Fatalf("to %s, which reads other lists: %+v", s.To, s.Message)
			}
			messages++
		}
	}
	if messages < 20 {
		t.Errorf("%d messages in 20 s of failures", messages)
	}
	for poller, want := range map[string]int{"c": 0, "e": 1} { // c reads only list two
		for _, s := range stepAndCollectSends(h.m, h.now, Received{poller, &Message{PollNumber: 1, FormatVersion: currentFormat}}) {
			if s.Message.ResponseTo == 1 && len(s.Message.Evidence) != want {
				t.Errorf("%s receives %d reports, want %d", poller, len(s.Message.Evidence), want)
			}
		}
	}
}

func TestQuorumIsOfSubscribers(t *testing.T) {
	h := newHarnessWithPeers(t, peersOf(20, func(n int) Peer {
		if n < 4 {
			return Peer{Subscriptions: readsOne}
		}
		return Peer{Subscriptions: readsTwo}
	})...)
	s := h.m.servers["s0"]
	if n := len(h.m.subscriberNames(s)); n != 4 {
		t.Fatalf("%d subscribers, want 4", n)
	}
	if required, unresponsive := h.m.requiredReporters(s), h.m.requiredUnresponsiveReporters(s); required != 3 || unresponsive != 3 {
		t.Errorf("%d reporters required, %d of an unresponsive server, want 3 and 3", required, unresponsive)
	}
}

// zonesOfOneRegion places members a to l in zone x, and the others in zones y and z, of one region.
func zonesOfOneRegion(n int) Peer {
	return Peer{Zone: []string{"x", "y", "z"}[max(0, (n-6)/6)], Subscriptions: readsBoth}
}

// threeRegions places members a to l in region x, and the others in regions y and z, of three zones each.
func threeRegions(n int) Peer {
	return Peer{Region: []string{"x", "y", "z"}[max(0, (n-6)/6)], Zone: fmt.Sprint(n % 3), Subscriptions: readsBoth}
}

func TestReportersOfOneFailureDomainCountOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		locality  func(int) Peer
		reporters string
		want      bool
	}{
		{"all of one zone", zonesOfOneRegion, "bcdefghijkl", false},
		{"two zones of three", zonesOfOneRegion, "bcdefghmnopq", true},
		{"all of the own region, partitioned", threeRegions, "bcdefghijkl", true},
		{"one zone of the own region", threeRegions, "bdehkn", false},
		{"another region, partitioned", threeRegions, "mnopqr", false},
		{"two regions of three", threeRegions, "cfimnopqrnb", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWithPeers(t, peersOf(24, c.locality)...)
			h.receives(unresponsiveReports(c.reporters))
			h.expectEjected(c.want, c.name)
		})
	}
	t.Run("a member of another region", func(t *testing.T) {
		peers := peersOf(24, threeRegions)
		peers[0].Region = "z"
		h := newHarnessWithPeers(t, peers...)
		h.receives(unresponsiveReports("bcdefghijkl"))
		h.expectEjected(false, "the reporters' region is partitioned")
		h.receives(failureReports("mno", 1))
		h.expectEjected(true, "three reporters had error responses")
	})
}

// A partitioned region can't reach the members of other regions, but still counts their localities: it does not apply
// the rules for a fleet of only its own members.
func TestLocalitiesOfUnreachableMembersCount(t *testing.T) {
	const reachable = 3
	peers := peersOf(9, func(n int) Peer {
		return Peer{Region: fmt.Sprint("r", n/reachable), Zone: "z", Subscriptions: readsBoth}
	})
	var names []string
	for n := range reachable {
		names = append(names, memberName(n))
	}
	for _, c := range []struct {
		name        string
		unreachable []Peer
		want        bool
	}{
		{"unreachable members are known", peers[reachable:], false},
		{"no other members are known", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWithPeers(t, peers[:reachable]...)
			h.step(MembersChanged{Names: names, Peers: peers[:reachable], Unreachable: c.unreachable})
			h.receives(unresponsiveReports("bc"))
			h.expectEjected(c.want, c.name)
		})
	}
}

// A member with format 1 sends only general polls and ignores unknown fields. It receives this member's own evidence,
// its notifications prompt a poll, and it counts as a subscriber of all lists.
func TestFirstFormatMembersAreServedAsBefore(t *testing.T) {
	h := newHarnessWithPeers(t,
		Peer{Subscriptions: readsOne},
		Peer{Subscriptions: readsOne},
		Peer{Subscriptions: readsOne},
		Peer{Subscriptions: readsTwo},
		Peer{}) // e, with format 1
	s := h.m.servers["s0"]
	if n := len(h.m.subscriberNames(s)); n != 4 {
		t.Errorf("%d subscribers, want a, b, c and e", n)
	}
	stepAndCollectSends(h.m, h.now, oneFailure(1))
	h.now += time.Millisecond
	for format, want := range map[uint8]int{0: 1, currentFormat: 0} {
		for _, s := range stepAndCollectSends(h.m, h.now, Received{"e", &Message{PollNumber: 3, FormatVersion: format}}) {
			if s.Message.ResponseTo == 3 && len(s.Message.Evidence) != want {
				t.Errorf("a member with format %d receives %d reports, want %d", format, len(s.Message.Evidence), want)
			}
		}
	}
	h.now += time.Second
	polled := false
	for _, s := range stepAndCollectSends(h.m, h.now, Received{"e", &Message{Notify: true}}) {
		polled = polled || s.To == "e" && s.Message.PollNumber > 0
	}
	if !polled {
		t.Error("the notification of a member with format 1 prompts no poll")
	}
}

// A member with format 1 handles a notice about a server like a notification, and sends a general poll.
func TestFirstFormatMemberPollsAfterANotice(t *testing.T) {
	m := newMember(t, Settings{Name: "e", FormatVersion: 1})
	list := ListUpdated{"one", []Server{{ID: "s0", StartedMS: testStartedMS}}}
	stepAndCollectSends(m, testStart, MembersChanged{Names: []string{"a", "e"}}, list)
	notice := &Message{FormatVersion: currentFormat, Notify: true, About: []ServerProcess{{"s0", testStartedMS}}}
	polled := false
	for _, s := range stepAndCollectSends(m, testStart+time.Second, Received{"a", notice}) {
		polled = polled || s.To == "a" && s.Message.PollNumber > 0 && s.Message.FormatVersion == 0 && !s.Message.OwnOnly
	}
	if !polled {
		t.Error("the member does not poll")
	}
}
