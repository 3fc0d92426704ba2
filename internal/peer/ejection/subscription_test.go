package ejection

import (
	"fmt"
	"testing"
	"time"
)

func TestFilterIncludesItsListsAndFewOthers(t *testing.T) {
	for _, c := range []struct {
		lists  int
		others float64 // share of other lists that it takes in by mistake, at the most
	}{{0, 0}, {1, 0}, {12, 0}, {42, 0}, {43, 0.01}, {150, 0.08}, {1000, 1}} {
		var lists []string
		for n := range c.lists {
			lists = append(lists, fmt.Sprint("list-", n))
		}
		f := NewSubscriptionFilter(lists)
		if len(f) > maxFilterBytes {
			t.Errorf("%d lists take %d bytes", c.lists, len(f))
		}
		for _, l := range lists {
			if !f.MayInclude(l) {
				t.Errorf("of %d lists %s is not in it", c.lists, l)
			}
		}
		wrong := 0
		for n := range 2000 {
			if f.MayInclude(fmt.Sprint("other-", n)) {
				wrong++
			}
		}
		if float64(wrong)/2000 > c.others {
			t.Errorf("of %d lists: %d of 2000 others are in it", c.lists, wrong)
		}
	}
}

func TestUnknownFilterIncludesEveryList(t *testing.T) {
	for _, f := range []SubscriptionFilter{nil, {}, {9, 1, 2, 3}, {filterHashes, 1, 2}, {filterBloom, 0}} {
		if !f.MayInclude("main") {
			t.Errorf("%v has not", f)
		}
	}
}

// newHarnessWithPeers is a bench whose members stand in places and read lists: "a" reads one and two.
func newHarnessWithPeers(t *testing.T, peers ...Peer) *harness {
	t.Helper()
	m, err := New(Settings{Name: "a", RunID: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, m: m, now: time.Hour}
	var one, two []Server
	for i := range 8 {
		one = append(one, Server{ID: fmt.Sprint("s", i), StartedMS: 7, Zone: "z", Pod: i % 2})
		two = append(two, Server{ID: fmt.Sprint("t", i), StartedMS: 7, Zone: "z", Pod: i % 2})
	}
	var names []string
	for n := range peers {
		names = append(names, string(rune('a'+n)))
	}
	b.step(ListUpdated{"one", one}, ListUpdated{"two", two}, MembersChanged{Names: names, Peers: peers})
	return b
}

var (
	readsOne, readsTwo, readsBoth = NewSubscriptionFilter([]string{"one"}), NewSubscriptionFilter([]string{"two"}), NewSubscriptionFilter([]string{"one", "two"})
)

func TestOnlySubscribersAreNotified(t *testing.T) {
	var peers []Peer
	for n := range 20 {
		p := Peer{Subscriptions: readsTwo}
		if n%4 == 0 {
			p.Subscriptions = readsBoth
		}
		if n%4 == 1 {
			p.Subscriptions = NewSubscriptionFilter([]string{"three"})
		}
		peers = append(peers, p)
	}
	b := newHarnessWithPeers(t, peers...)
	heard := 0
	for range 200 {
		b.now += 100 * time.Millisecond
		for _, s := range stepAndCollectSends(b.m, b.now, oneFailure(1)) {
			n := int(s.To[0] - 'a')
			about := s.Message.Notify || len(s.Message.About) > 0
			if n%4 == 1 || about && n%4 != 0 {
				t.Fatalf("to %s, which reads other lists: %+v", s.To, s.Message)
			}
			heard++
		}
	}
	if heard < 20 {
		t.Errorf("%d messages in 20 s of failures", heard)
	}
	// Who asks hears of what it reads alone.
	for from, want := range map[string]int{"c": 0, "e": 1} {
		for _, s := range stepAndCollectSends(b.m, b.now, Received{from, &Message{PollNumber: 1, FormatVersion: currentFormat}}) {
			if s.Message.ResponseTo == 1 && len(s.Message.Evidence) != want {
				t.Errorf("%s hears %d items, want %d", from, len(s.Message.Evidence), want)
			}
		}
	}
}

func TestQuorumIsOfSubscribers(t *testing.T) {
	var peers []Peer
	for n := range 20 { // four read one
		p := Peer{Subscriptions: readsTwo}
		if n < 4 {
			p.Subscriptions = readsOne
		}
		peers = append(peers, p)
	}
	b := newHarnessWithPeers(t, peers...)
	s := b.m.servers["s0"]
	if n := len(b.m.subscriberNames(s)); n != 4 {
		t.Fatalf("%d read it", n)
	}
	if need, mute := b.m.requiredReporters(s), b.m.requiredUnresponsiveReporters(s); need != 3 || mute != 3 {
		t.Errorf("%d voices, %d without a word", need, mute)
	}
}

// unresponsiveReports is those members' word that s0 says nothing to them.
func unresponsiveReports(names string) []Evidence {
	var all []Evidence
	for _, n := range names {
		i := failureReport(string(n), 1)
		i.ErrorResponses = 0
		all = append(all, i)
	}
	return all
}

func TestReportersOfOneFailureDomainCountOnce(t *testing.T) {
	// a to l in zone x, m to x in zones y and z; or a to l in region x with three zones, and the others in two more regions.
	zones := func(n int) Peer {
		return Peer{Zone: []string{"x", "y", "z"}[max(0, (n-6)/6)], Subscriptions: readsBoth}
	}
	regions := func(n int) Peer {
		return Peer{Region: []string{"x", "y", "z"}[max(0, (n-6)/6)], Zone: fmt.Sprint(n % 3), Subscriptions: readsBoth}
	}
	for _, c := range []struct {
		name  string
		place func(int) Peer
		who   string
		out   bool
	}{
		{"all of one zone", zones, "bcdefghijkl", false},
		{"of two zones of three", zones, "bcdefghmnopq", true},
		{"all of the own region, cut off", regions, "bcdefghijkl", true},
		{"of one zone of it", regions, "bdehkn", false},
		{"of another region, cut off", regions, "mnopqr", false},
		{"of two regions of three", regions, "cfimnopqrnb", true},
	} {
		var peers []Peer
		for n := range 24 {
			peers = append(peers, c.place(n))
		}
		b := newHarnessWithPeers(t, peers...)
		b.receives(unresponsiveReports(c.who))
		if b.wait(7 * time.Second); b.ejected("s0") != c.out {
			t.Errorf("%s: out is %v", c.name, !c.out)
		}
	}
	// A judge in another region is not moved by eleven of one that is cut off.
	var peers []Peer
	for n := range 24 {
		p := regions(n)
		if n == 0 {
			p.Region = "z"
		}
		peers = append(peers, p)
	}
	b := newHarnessWithPeers(t, peers...)
	b.receives(unresponsiveReports("bcdefghijkl"))
	if b.wait(7 * time.Second); b.ejected("s0") {
		t.Error("out by a region that is cut off")
	}
	b.receives([]Evidence{failureReport("m", 1), failureReport("n", 1), failureReport("o", 1)})
	if b.wait(7 * time.Second); !b.ejected("s0") {
		t.Error("not out by its own word to three")
	}
}

// A region that is cut off hears nobody else, and is not a fleet of its own for that: it knows that there are others.
func TestLocalitiesOfUnreachableMembersCount(t *testing.T) {
	var names []string
	var peers, lost []Peer
	for n := range 9 {
		p := Peer{Region: fmt.Sprint("r", n/3), Zone: "z", Subscriptions: readsBoth}
		if n < 3 {
			names, peers = append(names, string(rune('a'+n))), append(peers, p)
		} else {
			lost = append(lost, p)
		}
	}
	for _, c := range []struct {
		lost []Peer
		out  bool
	}{{lost, false}, {nil, true}} {
		b := newHarnessWithPeers(t, peers...)
		b.step(MembersChanged{Names: names, Peers: peers, Unreachable: c.lost})
		b.receives(unresponsiveReports("bc"))
		if b.wait(7 * time.Second); b.ejected("s0") != c.out {
			t.Errorf("%d others known: out is %v", len(c.lost), !c.out)
		}
	}
}

// A member of the first form asks in general and passes over what it does not know: it is told this member's own, and
// what it pokes of is asked for; it is counted among those that read all lists.
func TestFirstFormatMembersAreServedAsBefore(t *testing.T) {
	b := newHarnessWithPeers(t, Peer{Subscriptions: readsOne}, Peer{Subscriptions: readsOne}, Peer{Subscriptions: readsOne}, Peer{Subscriptions: readsTwo}, Peer{})
	s := b.m.servers["s0"]
	if n := len(b.m.subscriberNames(s)); n != 4 { // a, b, c, and e of the first form
		t.Errorf("%d are taken to read it", n)
	}
	stepAndCollectSends(b.m, b.now, oneFailure(1))
	b.now += time.Millisecond
	for f, want := range map[uint8]int{0: 1, currentFormat: 0} {
		for _, s := range stepAndCollectSends(b.m, b.now, Received{"e", &Message{PollNumber: 3, FormatVersion: f}}) {
			if s.Message.ResponseTo == 3 && len(s.Message.Evidence) != want {
				t.Errorf("who speaks form %d hears %d items, want %d", f, len(s.Message.Evidence), want)
			}
		}
	}
	b.now += time.Second
	asked := false
	for _, s := range stepAndCollectSends(b.m, b.now, Received{"e", &Message{Notify: true}}) {
		asked = asked || s.To == "e" && s.Message.PollNumber > 0
	}
	if !asked {
		t.Error("its news is not asked for")
	}
	// And one of the first form asks who pokes it about a server, as it asks any.
	old, err := New(Settings{Name: "e", RunID: 1, FormatVersion: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	stepAndCollectSends(old, time.Hour, MembersChanged{Names: []string{"a", "e"}}, ListUpdated{"one", []Server{{ID: "s0", StartedMS: 7}}})
	asked = false
	for _, s := range stepAndCollectSends(old, time.Hour+time.Second, Received{"a", &Message{FormatVersion: currentFormat, Notify: true, About: []Incarnation{{"s0", 7}}}}) {
		asked = asked || s.To == "a" && s.Message.PollNumber > 0 && s.Message.FormatVersion == 0 && !s.Message.OwnOnly
	}
	if !asked {
		t.Error("one of the first form does not ask")
	}
}
