package ejection

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// steps steps a member and returns what it sends.
func steps(m *Member, now time.Duration, events ...Event) (sent []Send) {
	for _, a := range m.Step(now, events...) {
		if s, ok := a.(Send); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

// used has the bench's agents send so many requests to each server, all answered, over a minute.
func (b *bench) used(each int) {
	for range 60 {
		var all []OutcomeSample
		for s := range 8 {
			all = append(all, OutcomeSample{Server: fmt.Sprint("s", s), StartedMS: 7, Succeeded: each / 60})
		}
		b.step(OutcomesObserved{all})
		b.now += time.Second
	}
}

func failure(said int) OutcomesObserved {
	return OutcomesObserved{[]OutcomeSample{{Server: "s0", StartedMS: 7, Failed: 1, ErrorResponses: said}}}
}

func TestLoneFailureIsToldToItsHoldersAlone(t *testing.T) {
	b := newBench(t)
	b.used(600)
	sent := steps(b.m, b.now, failure(1))
	to := map[string]bool{}
	for _, s := range sent {
		if !s.Message.Notify || len(s.Message.About) != 1 || s.Message.About[0].Server != "s0" {
			if s.Message.PollNumber > 0 && len(s.Message.About) == 0 {
				continue // the question of each second
			}
			t.Errorf("to %s: %+v", s.To, s.Message)
		}
		to[s.To] = true
	}
	if len(to) < holders-1 || len(to) > holders {
		t.Errorf("told to %v", to)
	}
	for name := range to {
		if !slices.Contains(b.m.holdersOf(b.m.servers["s0"]), name) {
			t.Errorf("%s holds nothing of s0", name)
		}
	}
	var all []Evidence
	for _, a := range steps(b.m, b.now+time.Millisecond, Received{"b", &Message{PollNumber: 1, FormatVersion: form}}) {
		all = append(all, a.Message.Evidence...)
	}
	if len(all) > 0 {
		t.Errorf("told to who asks in general: %+v", all)
	}
	for _, a := range steps(b.m, b.now+time.Millisecond, Received{"b", &Message{PollNumber: 2, FormatVersion: form, OwnOnly: true, About: []Incarnation{{"s0", 7}}}}) {
		all = append(all, a.Message.Evidence...)
	}
	b.hears([]Evidence{fails("c", 1)})
	for _, a := range steps(b.m, b.now+2*time.Millisecond, Received{"b", &Message{PollNumber: 2, FormatVersion: form, OwnOnly: true, About: []Incarnation{{"s0", 7}}}}) {
		if a.Message.ResponseTo == 2 && len(a.Message.Evidence) != 1 {
			t.Errorf("asked for its own it tells %d items", len(a.Message.Evidence))
		}
	}
	if len(all) != 1 || all[0].Server != "s0" || all[0].Origin != "a" || all[0].ConsecutiveFailures != 1 {
		t.Errorf("told to who asks about it: %+v", all)
	}
}

func TestFailuresThatStandOutAreAskedAbout(t *testing.T) {
	b := newBench(t)
	b.used(600)
	steps(b.m, b.now, failure(1))
	b.now += 300 * time.Millisecond
	asked, poked := 0, 0
	for _, s := range steps(b.m, b.now, failure(1)) {
		if s.Message.PollNumber > 0 && len(s.Message.About) == 1 {
			asked++
		}
		if s.Message.Notify && len(s.Message.About) == 0 {
			poked++
		}
	}
	if asked != pokes || poked != pokes {
		t.Errorf("two on end at a server that never fails: %d asked, %d told", asked, poked)
	}
}

// holderOf makes the bench's member a holder of a server, which has been told of lone failures so far apart.
func holderOf(t *testing.T, times int, apart time.Duration) (*bench, string, func()) {
	t.Helper()
	b := newBench(t)
	b.used(600)
	server := ""
	for s := range 8 {
		if id := fmt.Sprint("s", s); b.m.holds(b.m.servers[id]) {
			server = id
			break
		}
	}
	if server == "" {
		t.Fatal("it holds no server")
	}
	n := uint32(0)
	lone := func() {
		n++
		from := string(rune('b' + n%9))
		asked := uint64(0)
		for _, s := range steps(b.m, b.now, Received{from, &Message{FormatVersion: form, Notify: true, About: []Incarnation{{server, 7}}}}) {
			if s.To == from && s.Message.OwnOnly {
				asked = s.Message.PollNumber
			}
		}
		if asked == 0 {
			t.Fatalf("%s was not asked what it saw", from)
		}
		i := fails(from, n)
		i.Server, i.Succeeded, i.OtherSucceeded, i.BaselineFailureRate = server, 9, 90, 0
		b.step(Received{from, &Message{ResponseTo: asked, Evidence: []Evidence{i}}})
		b.now += time.Millisecond
		b.step(OutcomesObserved{[]OutcomeSample{{Server: server, StartedMS: 7, Succeeded: 1}}}) // it answers here
	}
	for range times {
		lone()
		b.wait(apart)
	}
	return b, server, lone
}

func TestHolderKnowsChanceFromABurst(t *testing.T) {
	b, server, lone := holderOf(t, 12, 4*time.Second)
	if b.m.servers[server].isHot {
		t.Error("a failure each four seconds stands out, though it has been so for long")
	}
	for range 5 {
		lone()
		b.wait(20 * time.Millisecond)
	}
	if !b.m.servers[server].isHot {
		t.Error("five members' failures in a tenth of a second are taken for chance")
	}
}

// Where some send far more to a server than this holder does, it knows by counting what is chance there: two failures a
// second, twenty times what it would take from its own rate.
func TestHolderCountsWhatIsChance(t *testing.T) {
	b, server, lone := holderOf(t, 100, 500*time.Millisecond)
	hot := 0
	for range 20 {
		lone()
		if b.m.servers[server].isHot {
			hot++
		}
		b.wait(500 * time.Millisecond)
	}
	if hot > 0 {
		t.Errorf("it stands out after %d of 20 failures, which come as they always do", hot)
	}
	rate, ok := b.m.servers[server].base.perSecond(b.now)
	if !ok || rate < 1.5 || rate > 3 {
		t.Errorf("counted %v a second, %v", rate, ok)
	}
}

func TestCountOfChanceLeavesOutTheLastSeconds(t *testing.T) {
	b := base{began: 0}
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		b.add(at)
	}
	before, ok := b.perSecond(time.Minute)
	for range 100 {
		b.add(time.Minute)
	}
	if after, _ := b.perSecond(time.Minute + baseSpan); !ok || after > 1.1*before {
		t.Errorf("%v a second, and %v right after a burst", before, after)
	}
	if later, _ := b.perSecond(time.Minute + 3*baseSpan); later < 2*before {
		t.Errorf("%v a second, and %v long after a burst", before, later)
	}
	b.add(2 * time.Minute)
	b.strike(2 * time.Minute)
	if b.n[0] != 0 {
		t.Error("what was struck out counts")
	}
}

func TestPoisson(t *testing.T) {
	for _, c := range []struct{ n, expected, want float64 }{{0, 3, 1}, {1, 0.01, 0.00995}, {2, 0.01, 4.97e-5}, {3, 1, 0.0803}, {2, 40, 1}, {30, 10, 1e-6}, {5, 0, 0}} {
		if got := poisson(c.n, c.expected); math.Abs(got-c.want) > 0.01*c.want+1e-6 {
			t.Errorf("%v or more of %v expected: %v, want %v", c.n, c.expected, got, c.want)
		}
	}
}

// Only servers about which something is said are gone through.
func TestQuietServersAreNotLookedAt(t *testing.T) {
	m, err := New(Settings{Name: "a", RunID: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Server
	for i := range 3000 {
		list = append(list, Server{ID: fmt.Sprintf("s%04d", i), StartedMS: 7, Zone: "z"})
	}
	now := time.Hour
	m.Step(now, ListUpdated{"main", list}, MembersChanged{Names: []string{"a", "b", "c", "d"}})
	now += time.Second
	m.Step(now, OutcomesObserved{[]OutcomeSample{{Server: "s0007", StartedMS: 7, Succeeded: 5}}})
	if len(m.live) != 0 {
		t.Errorf("%d servers at rest", len(m.live))
	}
	m.Step(now, OutcomesObserved{[]OutcomeSample{{Server: "s0007", StartedMS: 7, Failed: 1}}})
	if len(m.live) != 1 {
		t.Errorf("%d servers after one failure", len(m.live))
	}
	for end := now + 2*DefaultMaxEvidenceAge; now < end; now = max(now+time.Millisecond, m.Next()) {
		m.Step(now)
	}
	m.Step(now, OutcomesObserved{[]OutcomeSample{{Server: "s0008", StartedMS: 7, Failed: 1}}})
	m.Step(now + judgeGap)
	if len(m.live) != 1 || m.live[0].ID != "s0008" {
		t.Errorf("%d servers once the evidence is old", len(m.live))
	}
}
