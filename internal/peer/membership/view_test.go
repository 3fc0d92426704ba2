package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRecordsInAnyOrderGiveOneView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := testRecord(rapid.IntRange(0, 3).Draw(t, "name"))
			r.Boot = uint64(rapid.IntRange(1, 3).Draw(t, "boot"))
			r.RunID = r.RunID*10 + r.Boot
			r.Incarnation = uint32(rapid.IntRange(0, 2).Draw(t, "incarnation"))
			r.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
			r.Reporter = "x"
			all = append(all, r)
		}
		digests := map[uint64]bool{}
		for range 3 {
			v, err := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7}, 1)
			if err != nil {
				t.Fatal(err)
			}
			v.Step(0)
			for _, r := range rapid.Permutation(all).Draw(t, "order") {
				m := &Message{Kind: Gossip, From: "unknown", Boot: 1, RunID: 1, Number: 1, Updates: []Record{r}}
				v.Step(v.now, DatagramReceived{Message: m})
			}
			digests[v.Digest()] = true
		}
		if len(digests) != 1 {
			t.Errorf("%d different views of the same records", len(digests))
		}
	})
}

func TestViewStaysConsistentUnderArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, err := New(Settings{
			Name:      "me",
			Addr:      "127.0.0.1:1",
			Boot:      10,
			RunID:     7,
			Balancers: 1,
			Region:    drawRegion().Draw(t, "own region"),
			Seeds:     []string{"127.0.0.2:1"},
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			for _, a := range v.Step(now, drawEvent(t)) {
				if s, ok := a.(Send); ok && s.Size > maxDatagramBytes+maxRecordOverhead*4+400 {
					t.Errorf("a datagram of %d bytes", s.Size)
				}
			}
			if own := v.Local(); own.State != Alive || own.Name != "me" {
				t.Fatalf("the member's own record is %+v", own)
			}
			requireConsistentLists(t, v)
			requireConsistentRegions(t, v)
		}
	})
}

func drawRegion() *rapid.Generator[string] { return rapid.SampledFrom([]string{"", "r1", "r2"}) }

func drawName() *rapid.Generator[string] {
	return rapid.SampledFrom([]string{"me", "m0", "m1", "m2", "", "a b", "\x00"})
}

func drawRecord(t *rapid.T) Record {
	addrs := []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.2:2", "x", ""}
	regionHashes := []uint32{nameHash32("r1"), nameHash32("")}
	return Record{
		Name:               drawName().Draw(t, "name"),
		Addr:               rapid.SampledFrom(addrs).Draw(t, "addr"),
		Boot:               uint64(rapid.IntRange(0, 12).Draw(t, "boot")),
		RunID:              uint64(rapid.IntRange(0, 9).Draw(t, "run id")),
		Incarnation:        uint32(rapid.IntRange(0, 3).Draw(t, "incarnation")),
		State:              State(rapid.IntRange(0, 5).Draw(t, "state")),
		Reporter:           drawName().Draw(t, "reporter"),
		NameVerified:       rapid.Bool().Draw(t, "verified"),
		Balancers:          1,
		Region:             drawRegion().Draw(t, "region"),
		UnreachableRegions: rapid.SliceOfN(rapid.SampledFrom(regionHashes), 0, 2).Draw(t, "unreachable"),
	}
}

func drawEvent(t *rapid.T) Event {
	x := &Exchange{
		From:          drawName().Draw(t, "exchange from"),
		Records:       rapid.SliceOfN(rapid.Custom(drawRecord), 0, 5).Draw(t, "records"),
		BucketDigests: make([]uint64, rapid.IntRange(0, 4).Draw(t, "buckets")),
		WantedBuckets: []uint16{0, 3, 600},
		RetryAfterMS:  uint32(rapid.IntRange(0, 1).Draw(t, "busy")),
	}
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		return ExchangeRequest{Stream: 1, Message: x}
	case 1:
		return ExchangeResponse{ID: uint64(rapid.IntRange(0, 3).Draw(t, "id")), Message: x}
	case 2:
		return ExchangeFinished{x}
	case 3:
		return ForgetMember{drawName().Draw(t, "forget")}
	}
	return DatagramReceived{Message: &Message{
		Kind:         MessageKind(rapid.IntRange(0, 10).Draw(t, "kind")),
		From:         drawName().Draw(t, "from"),
		Boot:         uint64(rapid.IntRange(0, 12).Draw(t, "sender's boot")),
		RunID:        uint64(rapid.IntRange(0, 9).Draw(t, "sender's run id")),
		Number:       uint64(rapid.IntRange(0, 9000).Draw(t, "number")),
		Seq:          uint32(rapid.IntRange(0, 20).Draw(t, "seq")),
		Target:       drawName().Draw(t, "target"),
		Addr:         "127.0.0.2:1",
		Reply:        "127.0.0.2:2",
		SubjectRunID: 3,
		UptimeMS:     5,
		Updates:      x.Records,
	}}
}

// requireConsistentLists fails the test unless the lists and sums of a view agree with its records.
func requireConsistentLists(t *rapid.T, v *View) {
	live, dead, maxBalancers := 0, 0, 0
	for _, r := range v.Records() {
		switch {
		case r.Name == "me":
		case r.State <= Suspect:
			live++
		case r.State == Dead:
			dead++
		}
		if r.State != Left {
			maxBalancers += int(r.Balancers)
		}
	}
	if live != len(v.live) || dead != len(v.dead) || maxBalancers != v.sizes.maxBalancers {
		t.Fatalf("lists hold %d live and %d dead, and %d balancers: records say %d, %d and %d",
			len(v.live), len(v.dead), v.sizes.maxBalancers, live, dead, maxBalancers)
	}
	minBalancers, unreachable := 0, 0
	for _, r := range v.Members() {
		if r.State == Alive {
			minBalancers += int(r.Balancers)
		}
		if v.members[r.Name].State != r.State {
			unreachable++
		}
	}
	if minBalancers != v.sizes.minBalancers || unreachable != v.sizes.unreachable {
		t.Fatalf("at least %d balancers, %d unreachable: records say %d and %d",
			v.sizes.minBalancers, v.sizes.unreachable, minBalancers, unreachable)
	}
}

// requireConsistentRegions fails the test unless the lists of the regions agree with those of the view.
func requireConsistentRegions(t *rapid.T, v *View) {
	live, dead := 0, 0
	for _, r := range v.sortedRegions {
		for _, m := range r.live {
			if m.region != r || m.Region != r.name || r.live[m.regionIndex] != m {
				t.Fatalf("%s of region %q is in the list of %q", m.Name, m.Region, r.name)
			}
		}
		live += len(r.live)
		dead += len(r.dead)
	}
	if live != len(v.live) || dead != len(v.dead) {
		t.Fatalf("regions hold %d live and %d dead, the view %d and %d", live, dead, len(v.live), len(v.dead))
	}
}

func TestNextBootNumberGrowsWithoutDiskOrClock(t *testing.T) {
	for _, c := range []struct {
		name  string
		saved uint64
		wall  int64
		want  uint64
	}{
		{"nothing saved", 0, 100, 100},
		{"clock has not moved", 100, 100, 101},
		{"clock set back", 200, 100, 201},
		{"clock before 1970", 50, -5, 51},
		{"nothing saved and clock before 1970", 0, -5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := NextBootNumber(c.saved, c.wall); got != c.want {
				t.Errorf("%d saved at %d s: %d, want %d", c.saved, c.wall, got, c.want)
			}
		})
	}
	t.Run("other members know a higher number", func(t *testing.T) {
		v := newTestView(t)
		learnMembers(v, 1)
		earlier := v.Local()
		earlier.Boot = 900
		earlier.RunID = 3
		learn(v, earlier)
		if got := v.Local().Boot; got <= 900 {
			t.Errorf("boot number %d", got)
		}
	})
}

// Datagrams from an earlier process, or with a number far behind, are ignored.
func TestStaleDatagramsChangeNothing(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	dead := testRecord(1)
	dead.State = Dead
	earlier := testRecord(0)
	earlier.Boot = 4
	v.Step(ms, datagramFrom(testRecord(0), 10_000, Message{Kind: Gossip}))
	v.Step(2*ms, datagramFrom(testRecord(0), 10, Message{Kind: Gossip, Updates: []Record{dead}}))
	v.Step(3*ms, datagramFrom(earlier, 20_000, Message{Kind: Gossip, Updates: []Record{dead}}))
	if len(v.live) != 2 || v.Traffic().Stale != 2 {
		t.Errorf("%d alive, %d stale datagrams", len(v.live), v.Traffic().Stale)
	}
}

// The default limit allows the fleet size expected in two years; members beyond the limit are not added.
func TestDefaultMaxMembersHoldsTwelveThousand(t *testing.T) {
	var all []Record
	for n := range DefaultMaxMembers + 10 {
		all = append(all, testRecord(n))
	}
	for _, c := range []struct {
		name            string
		received, known int
	}{
		{"twelve thousand with itself", 11_999, 12_000},
		{"more than the bound", len(all), DefaultMaxMembers},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTestView(t)
			learn(v, all[:c.received]...)
			if got := len(v.Members()); got != c.known {
				t.Errorf("received %d members, knows %d including itself, want %d", c.received, got, c.known)
			}
		})
	}
}
