package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newTestView(t testing.TB, seeds ...string) *View {
	t.Helper()
	v, err := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7, Instances: 1, Balancers: 1, Seeds: seeds}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func testRecord(n int) Record {
	return Record{Name: fmt.Sprint("m", n), Addr: fmt.Sprintf("127.0.0.2:%d", n+1), Boot: 5, RunID: uint64(n + 100), Balancers: 1}
}

// learnMembers has a view know so many others, by an exchange.
func learnMembers(v *View, n int) {
	x := &Exchange{From: "m0", Boot: 5, RunID: 100}
	for i := range n {
		x.Records = append(x.Records, testRecord(i))
	}
	v.Step(0, ExchangeClosed{x})
}

func datagramFrom(r Record, number uint64, m Message) DatagramReceived {
	m.From, m.Boot, m.RunID, m.Number = r.Name, r.Boot, r.RunID, number
	return DatagramReceived{Message: &m}
}

func sentOfKind(actions []Action, kind Kind) (all []Send) {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Message.Kind == kind {
			all = append(all, s)
		}
	}
	return all
}

// runUntil steps a view whenever it wants to be, until a time.
func runUntil(v *View, until time.Duration) (all []Action) {
	for v.Next() <= until {
		all = append(all, v.Step(v.Next())...)
	}
	return all
}

func TestRecordsInAnyOrderGiveOneView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			r := testRecord(rapid.IntRange(0, 3).Draw(t, "name"))
			r.Boot = uint64(rapid.IntRange(1, 3).Draw(t, "boot"))
			r.RunID = r.RunID*10 + r.Boot
			r.Incarnation = uint32(rapid.IntRange(0, 2).Draw(t, "inc"))
			r.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
			r.Reporter = "x"
			all = append(all, r)
		}
		digests := map[uint64]bool{}
		for range 3 {
			v, _ := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7}, 1)
			v.Step(0)
			for _, r := range rapid.Permutation(all).Draw(t, "order") {
				m := &Message{Kind: Gossip, From: "stranger", Boot: 1, RunID: 1, Number: 1, Updates: []Record{r}}
				v.Step(v.now, DatagramReceived{Message: m})
			}
			digests[v.Digest()] = true
		}
		if len(digests) != 1 {
			t.Errorf("%d views of the same records", len(digests))
		}
	})
}

func TestViewStaysConsistentUnderArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SampledFrom([]string{"", "r1", "r2"})
		v, _ := New(Settings{Name: "me", Addr: "127.0.0.1:1", Boot: 10, RunID: 7, Balancers: 1, Region: regions.Draw(t, "own region"), Seeds: []string{"127.0.0.2:1"}}, 1)
		names := rapid.SampledFrom([]string{"me", "m0", "m1", "m2", "", "a b", "\x00"})
		record := rapid.Custom(func(t *rapid.T) Record {
			return Record{Name: names.Draw(t, "n"), Addr: rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.2:2", "x", ""}).Draw(t, "a"),
				Boot: uint64(rapid.IntRange(0, 12).Draw(t, "b")), RunID: uint64(rapid.IntRange(0, 9).Draw(t, "l")), Incarnation: uint32(rapid.IntRange(0, 3).Draw(t, "i")),
				State: State(rapid.IntRange(0, 5).Draw(t, "s")), Reporter: names.Draw(t, "by"), NameVerified: rapid.Bool().Draw(t, "c"), Balancers: 1,
				Region: regions.Draw(t, "region"), UnreachableRegions: rapid.SliceOfN(rapid.SampledFrom([]uint32{v.regionNamed("r1").hash, v.regionNamed("").hash}), 0, 2).Draw(t, "mute")}
		})
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			x := &Exchange{From: names.Draw(t, "f"), Records: rapid.SliceOfN(record, 0, 5).Draw(t, "r"), BucketDigests: make([]uint64, rapid.IntRange(0, 4).Draw(t, "k")),
				WantedBuckets: []uint16{0, 3, 600}, RetryAfterMS: uint32(rapid.IntRange(0, 1).Draw(t, "busy"))}
			var e Event = DatagramReceived{Message: &Message{Kind: Kind(rapid.IntRange(0, 10).Draw(t, "kind")), From: names.Draw(t, "from"), Boot: uint64(rapid.IntRange(0, 12).Draw(t, "boot")),
				RunID: uint64(rapid.IntRange(0, 9).Draw(t, "life")), Number: uint64(rapid.IntRange(0, 9000).Draw(t, "number")), Seq: uint32(rapid.IntRange(0, 20).Draw(t, "seq")),
				Target: names.Draw(t, "target"), Addr: "127.0.0.2:1", Reply: "127.0.0.2:2", SubjectRunID: 3, UptimeMS: 5, Updates: x.Records}}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				e = ExchangeRequest{Stream: 1, Message: x}
			case 1:
				e = ExchangeResponse{ID: uint64(rapid.IntRange(0, 3).Draw(t, "id")), Message: x}
			case 2:
				e = ExchangeClosed{x}
			case 3:
				e = ForgetMember{names.Draw(t, "forget")}
			}
			for _, a := range v.Step(now, e) {
				if s, ok := a.(Send); ok && s.Size > maxDatagramBytes+maxRecordOverhead*4+400 {
					t.Errorf("a datagram of %d bytes", s.Size)
				}
			}
			own := v.Local()
			if own.State != Alive || own.Name != "me" {
				t.Fatalf("it holds itself for %v", own)
			}
			live, silent, left, most := 0, 0, 0, 0
			for _, r := range v.Records() {
				switch {
				case r.Name == "me":
				case r.State <= Suspect:
					live++
				case r.State == Dead:
					silent++
				default:
					left++
				}
				if r.State != Left {
					most += int(r.Balancers)
				}
			}
			if live != len(v.live) || silent != len(v.dead) || most != v.sizes.maxBalancers {
				t.Fatalf("lists hold %d and %d, counts %d: %d, %d and %d are there", len(v.live), len(v.dead), v.sizes.maxBalancers, live, silent, most)
			}
			least, hidden := 0, 0
			for _, r := range v.Members() { // as others are to see it
				if r.State == Alive {
					least += int(r.Balancers)
				}
				if m := v.members[r.Name]; m.State != r.State {
					hidden++
				}
			}
			for _, r := range v.sortedRegions {
				for _, m := range r.live {
					if m.region != r || m.Region != r.name || r.live[m.regionIndex] != m {
						t.Fatalf("%s of %q is in the list of %q", m.Name, m.Region, r.name)
					}
				}
				live -= len(r.live)
				silent -= len(r.dead)
			}
			if least != v.sizes.minBalancers || hidden != v.sizes.unreachable || live != 0 || silent != 0 {
				t.Fatalf("least %d, %d hidden, counts %d and %d; regions' lists miss %d and %d", least, hidden, v.sizes.minBalancers, v.sizes.unreachable, live, silent)
			}
		}
	})
}

func TestAcksOnlyProbesForOwnName(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 1)
	if got := sentOfKind(v.Step(ms, datagramFrom(testRecord(0), 1, Message{Kind: Ping, Seq: 9, Target: "me", Addr: "127.0.0.2:1"})), Ack); len(got) != 1 || got[0].Message.Seq != 9 {
		t.Error(got)
	}
	if got := sentOfKind(v.Step(2*ms, datagramFrom(testRecord(0), 2, Message{Kind: Ping, Seq: 9, Target: "you"})), Ack); len(got) != 0 {
		t.Error("it answered for another")
	}
}

func TestRefutesSuspicionDeathAndLeaveOfItself(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 1)
	for _, state := range []State{Suspect, Dead, Left} {
		said := v.Local()
		said.State, said.Reporter = state, "m0"
		v.Step(v.now+ms, datagramFrom(testRecord(0), 1, Message{Kind: Gossip, Updates: []Record{said}}))
		if own := v.Local(); own.State != Alive || own.Incarnation != said.Incarnation+1 {
			t.Errorf("told that it is %v: %+v", state, own)
		}
	}
}

// An old datagram, of an earlier life or far behind, changes nothing.
func TestStaleDatagramsChangeNothing(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	dead := testRecord(1)
	dead.State = Dead
	v.Step(ms, datagramFrom(testRecord(0), 10_000, Message{Kind: Gossip}))
	v.Step(2*ms, datagramFrom(testRecord(0), 10, Message{Kind: Gossip, Updates: []Record{dead}}))
	earlier := testRecord(0)
	earlier.Boot = 4
	v.Step(3*ms, datagramFrom(earlier, 20_000, Message{Kind: Gossip, Updates: []Record{dead}}))
	if len(v.live) != 2 || v.Traffic().Stale != 2 {
		t.Errorf("%d alive, %d stale", len(v.live), v.Traffic().Stale)
	}
}

func TestPausedMemberDeclaresNobodyDead(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	runUntil(v, 1200*ms) // nobody answers: it suspects some. Of none it knows how far away they are
	if len(v.suspects) == 0 {
		t.Fatal("it suspects nobody")
	}
	for _, a := range v.Step(v.Next() + 10*time.Second) {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Dead {
			t.Errorf("%s is dead to it: %s", c.Record.Name, c.Reason)
		}
	}
	if v.Health() == 0 {
		t.Error("it does not doubt itself")
	}
}

// Silence never lets a share grow; an orderly leave and an operator's word do, by parts.
func TestMaxBalancersFallsOnlyByLeaveOrForget(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 20)
	v.settled = true
	runUntil(v, 60*time.Second)
	if v.Size().Live != 1 || v.Size().MaxBalancers != 21 || v.Size().MinBalancers != 1 {
		t.Fatalf("count %+v", v.Size())
	}
	was := v.Size().MaxBalancers
	for n := range 20 {
		v.Step(v.now+ms, ForgetMember{Name: testRecord(n).Name})
	}
	for i := 0; v.Size().MaxBalancers > 1; i++ {
		if v.Step(v.Next()); i > 5000 {
			t.Fatalf("it stays at %d", v.Size().MaxBalancers)
		}
		if now := v.Size().MaxBalancers; was-now > max(1, was/sizeSteps) {
			t.Fatalf("from %d to %d at once", was, now)
		}
		was = v.Size().MaxBalancers
	}
}

func TestSentBytesStayWithinBudgetInAStorm(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 400)
	sentBytes := 0
	start := v.now
	for range 3000 { // all die, and are news
		at := v.Next()
		for _, a := range v.Step(at) {
			if s, ok := a.(Send); ok {
				sentBytes += s.Size
			}
		}
	}
	span := (v.now - start).Seconds()
	if most := float64(DefaultBytesPerSecond) * (span + 1); float64(sentBytes) > most {
		t.Errorf("%d bytes in %.1f s: at most %.0f", sentBytes, span, most)
	}
	if sentBytes < DefaultBytesPerSecond {
		t.Errorf("%d bytes in %.1f s: this is no storm", sentBytes, span)
	}
}

func TestBootNumberGrowsWithoutDiskOrClock(t *testing.T) {
	for _, c := range []struct {
		saved uint64
		wall  int64
		want  uint64
	}{{0, 100, 100}, {100, 100, 101}, {200, 100, 201}, {50, -5, 51}, {0, -5, 1}} {
		if got := NextBootNumber(c.saved, c.wall); got != c.want {
			t.Errorf("%d saved at %d: %d, not %d", c.saved, c.wall, got, c.want)
		}
	}
	v := newTestView(t) // what even that leaves, others tell
	learnMembers(v, 1)
	earlier := v.Local()
	earlier.Boot, earlier.RunID = 900, 3
	v.Step(ms, ExchangeClosed{&Exchange{From: "m0", Records: []Record{earlier}}})
	if v.Local().Boot <= 900 {
		t.Errorf("boot %d", v.Local().Boot)
	}
}
