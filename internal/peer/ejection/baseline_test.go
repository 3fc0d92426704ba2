package ejection

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// stepAndCollectSends steps a member and returns what it sends.
func stepAndCollectSends(m *Member, now time.Duration, events ...Event) (sent []Send) {
	for _, a := range m.Step(now, events...) {
		if s, ok := a.(Send); ok {
			sent = append(sent, s)
		}
	}
	return sent
}

// serveRequests has the bench's agents send so many requests to each server, all answered, over a minute.
func (b *harness) serveRequests(each int) {
	for range 60 {
		var all []OutcomeSample
		for s := range 8 {
			all = append(all, OutcomeSample{Server: fmt.Sprint("s", s), StartedMS: 7, Succeeded: each / 60})
		}
		b.step(OutcomesObserved{all})
		b.now += time.Second
	}
}

func oneFailure(said int) OutcomesObserved {
	return OutcomesObserved{[]OutcomeSample{{Server: "s0", StartedMS: 7, Failed: 1, ErrorResponses: said}}}
}

func TestIsolatedFailureIsReportedToCollectorsOnly(t *testing.T) {
	b := newHarness(t)
	b.serveRequests(600)
	sent := stepAndCollectSends(b.m, b.now, oneFailure(1))
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
	if len(to) < collectorsPerServer-1 || len(to) > collectorsPerServer {
		t.Errorf("told to %v", to)
	}
	for name := range to {
		if !slices.Contains(b.m.collectorsOf(b.m.servers["s0"]), name) {
			t.Errorf("%s holds nothing of s0", name)
		}
	}
	var all []Evidence
	for _, a := range stepAndCollectSends(b.m, b.now+time.Millisecond, Received{"b", &Message{PollNumber: 1, FormatVersion: currentFormat}}) {
		all = append(all, a.Message.Evidence...)
	}
	if len(all) > 0 {
		t.Errorf("told to who asks in general: %+v", all)
	}
	for _, a := range stepAndCollectSends(b.m, b.now+time.Millisecond, Received{"b", &Message{PollNumber: 2, FormatVersion: currentFormat, OwnOnly: true, About: []Incarnation{{"s0", 7}}}}) {
		all = append(all, a.Message.Evidence...)
	}
	b.receives([]Evidence{failureReport("c", 1)})
	for _, a := range stepAndCollectSends(b.m, b.now+2*time.Millisecond, Received{"b", &Message{PollNumber: 2, FormatVersion: currentFormat, OwnOnly: true, About: []Incarnation{{"s0", 7}}}}) {
		if a.Message.ResponseTo == 2 && len(a.Message.Evidence) != 1 {
			t.Errorf("asked for its own it tells %d items", len(a.Message.Evidence))
		}
	}
	if len(all) != 1 || all[0].Server != "s0" || all[0].Origin != "a" || all[0].ConsecutiveFailures != 1 {
		t.Errorf("told to who asks about it: %+v", all)
	}
}

func TestUnlikelyFailuresTriggerPolls(t *testing.T) {
	b := newHarness(t)
	b.serveRequests(600)
	stepAndCollectSends(b.m, b.now, oneFailure(1))
	b.now += 300 * time.Millisecond
	asked, poked := 0, 0
	for _, s := range stepAndCollectSends(b.m, b.now, oneFailure(1)) {
		if s.Message.PollNumber > 0 && len(s.Message.About) == 1 {
			asked++
		}
		if s.Message.Notify && len(s.Message.About) == 0 {
			poked++
		}
	}
	if asked != notifyFanout || poked != notifyFanout {
		t.Errorf("two on end at a server that never fails: %d asked, %d told", asked, poked)
	}
}

// newCollectorHarness makes the bench's member a holder of a server, which has been told of lone failures so far apart.
func newCollectorHarness(t *testing.T, times int, apart time.Duration) (*harness, string, func()) {
	t.Helper()
	b := newHarness(t)
	b.serveRequests(600)
	server := ""
	for s := range 8 {
		if id := fmt.Sprint("s", s); b.m.collects(b.m.servers[id]) {
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
		for _, s := range stepAndCollectSends(b.m, b.now, Received{from, &Message{FormatVersion: currentFormat, Notify: true, About: []Incarnation{{server, 7}}}}) {
			if s.To == from && s.Message.OwnOnly {
				asked = s.Message.PollNumber
			}
		}
		if asked == 0 {
			t.Fatalf("%s was not asked what it saw", from)
		}
		i := failureReport(from, n)
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

func TestCollectorTellsBaselineFromABurst(t *testing.T) {
	b, server, lone := newCollectorHarness(t, 12, 4*time.Second)
	if b.m.servers[server].anomalous {
		t.Error("a failure each four seconds stands out, though it has been so for long")
	}
	for range 5 {
		lone()
		b.wait(20 * time.Millisecond)
	}
	if !b.m.servers[server].anomalous {
		t.Error("five members' failures in a tenth of a second are taken for chance")
	}
}

// Where some send far more to a server than this holder does, it knows by counting what is chance there: two failures a
// second, twenty times what it would take from its own rate.
func TestCollectorCountsTheBaselineFailureRate(t *testing.T) {
	b, server, lone := newCollectorHarness(t, 100, 500*time.Millisecond)
	hot := 0
	for range 20 {
		lone()
		if b.m.servers[server].anomalous {
			hot++
		}
		b.wait(500 * time.Millisecond)
	}
	if hot > 0 {
		t.Errorf("it stands out after %d of 20 failures, which come as they always do", hot)
	}
	rate, ok := b.m.servers[server].baseline.perSecond(b.now)
	if !ok || rate < 1.5 || rate > 3 {
		t.Errorf("counted %v a second, %v", rate, ok)
	}
}

func TestBaselineExcludesTheLastSpans(t *testing.T) {
	b := baselineCounter{since: 0}
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		b.add(at)
	}
	before, ok := b.perSecond(time.Minute)
	for range 100 {
		b.add(time.Minute)
	}
	if after, _ := b.perSecond(time.Minute + baselineSpan); !ok || after > 1.1*before {
		t.Errorf("%v a second, and %v right after a burst", before, after)
	}
	if later, _ := b.perSecond(time.Minute + 3*baselineSpan); later < 2*before {
		t.Errorf("%v a second, and %v long after a burst", before, later)
	}
	b.add(2 * time.Minute)
	b.discardRecent(2 * time.Minute)
	if b.failures[0] != 0 {
		t.Error("what was struck out counts")
	}
}

func TestPoissonTail(t *testing.T) {
	for _, c := range []struct{ n, expected, want float64 }{{0, 3, 1}, {1, 0.01, 0.00995}, {2, 0.01, 4.97e-5}, {3, 1, 0.0803}, {2, 40, 1}, {30, 10, 1e-6}, {5, 0, 0}} {
		if got := poissonTail(c.n, c.expected); math.Abs(got-c.want) > 0.01*c.want+1e-6 {
			t.Errorf("%v or more of %v expected: %v, want %v", c.n, c.expected, got, c.want)
		}
	}
}

// Only servers about which something is said are gone through.
func TestQuietServersAreNotEvaluated(t *testing.T) {
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
	if len(m.active) != 0 {
		t.Errorf("%d servers at rest", len(m.active))
	}
	m.Step(now, OutcomesObserved{[]OutcomeSample{{Server: "s0007", StartedMS: 7, Failed: 1}}})
	if len(m.active) != 1 {
		t.Errorf("%d servers after one failure", len(m.active))
	}
	for end := now + 2*DefaultMaxEvidenceAge; now < end; now = max(now+time.Millisecond, m.Next()) {
		m.Step(now)
	}
	m.Step(now, OutcomesObserved{[]OutcomeSample{{Server: "s0008", StartedMS: 7, Failed: 1}}})
	m.Step(now + minEvaluationInterval)
	if len(m.active) != 1 || m.active[0].ID != "s0008" {
		t.Errorf("%d servers once the evidence is old", len(m.active))
	}
}
