package membership

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// newTestView returns the view of a member named me, without a region.
func newTestView(t testing.TB, seeds ...string) *View {
	t.Helper()
	return mustNew(t, Settings{Seeds: seeds})
}

// mustNew returns a view with the given settings. Without a name in them, the member is named me.
func mustNew(t testing.TB, settings Settings) *View {
	t.Helper()
	if settings.Name == "" {
		settings.Name = "me"
		settings.Addr = "127.0.0.1:1"
		settings.Boot = 10
		settings.RunID = 7
		settings.Instances = 1
		settings.Balancers = 1
	}
	v, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// testRecord returns the record of member n (m0, m1, ...), without a region.
func testRecord(n int) Record {
	return Record{
		Name:      fmt.Sprint("m", n),
		Addr:      fmt.Sprintf("127.0.0.2:%d", n+1),
		Boot:      5,
		RunID:     uint64(n + 100),
		Balancers: 1,
	}
}

// withState returns a record with another state, reported by m0.
func withState(r Record, state State) Record {
	r.State = state
	r.Reporter = "m0"
	return r
}

// exchangeFrom returns an exchange message from m0.
func exchangeFrom(records ...Record) *Exchange {
	return &Exchange{From: "m0", Boot: 5, RunID: 100, Records: records}
}

// learnMembers adds n members (m0, m1, ...) to a view by an exchange.
func learnMembers(v *View, n int) {
	x := exchangeFrom()
	for i := range n {
		x.Records = append(x.Records, testRecord(i))
	}
	v.Step(0, ExchangeFinished{x})
}

// learn passes records to a view by an exchange.
func learn(v *View, records ...Record) []Action {
	return v.Step(v.now+ms, ExchangeFinished{exchangeFrom(records...)})
}

// datagramFrom returns a datagram from a member.
func datagramFrom(r Record, number uint64, m Message) DatagramReceived {
	m.From = r.Name
	m.Boot = r.Boot
	m.RunID = r.RunID
	m.Number = number
	return DatagramReceived{Message: &m}
}

// gossipFrom passes updates from a member to a view.
func gossipFrom(v *View, r Record, updates ...Record) []Action {
	return v.Step(v.now+ms, datagramFrom(r, uint64(v.now), Message{Kind: Gossip, Updates: updates}))
}

// receiveSuspicion passes a datagram from m0 to a view in which another member is suspect.
func receiveSuspicion(v *View, n int, incarnation uint32) {
	r := withState(testRecord(n), Suspect)
	r.Incarnation = incarnation
	gossipFrom(v, testRecord(0), r)
}

func stateOf(v *View, name string) State { return v.members[name].State }

func requireState(t testing.TB, v *View, name string, want State) {
	t.Helper()
	if got := stateOf(v, name); got != want {
		t.Fatalf("%s is %v, want %v", name, got, want)
	}
}

func sentOfKind(actions []Action, kind MessageKind) []Send {
	var all []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Message.Kind == kind {
			all = append(all, s)
		}
	}
	return all
}

func openedExchanges(actions []Action) []OpenExchange {
	var all []OpenExchange
	for _, a := range actions {
		if o, ok := a.(OpenExchange); ok {
			all = append(all, o)
		}
	}
	return all
}

// runUntil steps a view at each of its timers until a time.
func runUntil(v *View, until time.Duration) []Action {
	var all []Action
	for v.Next() <= until {
		all = append(all, v.Step(v.Next())...)
	}
	return all
}

// runUntilProbed steps a view until it probes a member, and returns the ping.
func runUntilProbed(t testing.TB, v *View, name string) Send {
	t.Helper()
	for range 200 {
		for _, s := range sentOfKind(v.Step(v.Next()), Ping) {
			if s.Message.Target == name {
				return s
			}
		}
	}
	t.Fatalf("%s is never probed", name)
	return Send{}
}

// runAnswering steps a view until a time. Its pings are acked after 2 ms by the members for which answers returns true.
func runAnswering(v *View, until time.Duration, answers func(name string) bool) []Action {
	numbers := map[string]uint64{}
	var acks []DatagramReceived
	var all []Action
	for v.now < until {
		at := v.Next()
		var events []Event
		if len(acks) > 0 {
			at = min(at, v.now+2*ms)
			for _, ack := range acks {
				events = append(events, ack)
			}
			acks = nil
		}
		actions := v.Step(at, events...)
		all = append(all, actions...)
		for _, s := range sentOfKind(actions, Ping) {
			m := v.members[s.Message.Target]
			if m == nil || !answers(m.Name) {
				continue
			}
			numbers[m.Name]++
			ack := Message{Kind: Ack, Seq: s.Message.Seq, Target: m.Name, Digest: v.digest}
			acks = append(acks, datagramFrom(m.Record, numbers[m.Name]+uint64(until), ack))
		}
	}
	return all
}

func everybody(string) bool { return true }
func nobody(string) bool    { return false }

// newRegionView returns the view of a member of region a. The view has a, b and c other members of the regions of
// these names. The members are named a0, a1, ..., b0, ...
func newRegionView(t testing.TB, a, b, c int) *View {
	t.Helper()
	v := mustNew(t, Settings{Region: "a"})
	x := &Exchange{From: "a0", Boot: 5, RunID: 100}
	for region, n := range []int{a, b, c} {
		for i := range n {
			x.Records = append(x.Records, regionRecord(region, i))
		}
	}
	v.Step(0, ExchangeFinished{x})
	v.joined = true
	v.updates = updateQueue{}
	return v
}

// regionRecord returns the record of member n of region 0 (a), 1 (b) or 2 (c).
func regionRecord(region, n int) Record {
	name := string(rune('a' + region))
	return Record{
		Name:      fmt.Sprint(name, n),
		Addr:      fmt.Sprintf("127.0.%d.1:%d", region+2, n+1),
		Boot:      5,
		RunID:     uint64(1000*region + n + 100),
		Balancers: 1,
		Region:    name,
	}
}

func onlyLocalRegion(name string) bool { return name[0] == 'a' }

// requireWatching returns region b, and fails the test unless this member watches it as expected.
func requireWatching(t testing.TB, v *View, watched bool) *region {
	t.Helper()
	r := v.regions["b"]
	v.Step(v.now + ms)
	if r.watched != watched {
		t.Fatalf("watched %v: the watcher ranks that this test depends on have changed", r.watched)
	}
	return r
}

// receiveRegionReport passes a report of a member on whether it reaches a region to a view.
func receiveRegionReport(v *View, r *region, name string, report regionReport) {
	m := v.members[name].Record
	m.Incarnation++
	m.UnreachableRegions = nil
	if report == reportUnreachable {
		m.UnreachableRegions = []uint32{r.hash}
	}
	gossipFrom(v, m, m)
}

// setProbes replaces a view's probes, and clears its actions.
func setProbes(v *View, probes ...*probe) {
	v.probes = probes
	v.actions = nil
}
