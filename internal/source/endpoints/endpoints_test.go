package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	hold   = time.Hour
	guard  = 30 * time.Second
	settle = 12 * time.Second
)

func module(names ...string) *Module {
	s := Settings{SuddenLossGuard: guard, Settle: settle}
	for i, n := range names {
		s.Sources = append(s.Sources, Source{Name: n, Exact: i == 0, Hold: hold})
	}
	return New(s)
}

func up(ids ...string) (all []Server) {
	for i, id := range ids {
		all = append(all, Server{ID: id, Addr: fmt.Sprintf("10.0.0.%d:80", i+1), State: Up})
	}
	return all
}

func find(t testing.TB, list []ListedServer, id string) ListedServer {
	t.Helper()
	for _, v := range list {
		if v.ID == id {
			return v
		}
	}
	return ListedServer{}
}

// serves reports whether new requests may be sent to a server.
func (v ListedServer) serves() bool { return v.In && v.State == Up }

// The merge rule holds for every pair and every triple of states that sources can report of one server. "silent" stands
// for a source that has failed for longer than its hold, "failing" for a source that has failed for a shorter time.
func TestMergeRuleForAllPairsAndTriples(t *testing.T) {
	states := []string{"absent", "up", "draining", "gone", "silent", "failing"}
	var combos [][]string
	for _, a := range states {
		for _, b := range states {
			combos = append(combos, []string{a, b})
			for _, c := range states {
				combos = append(combos, []string{a, b, c})
			}
		}
	}
	for _, combo := range combos {
		var names []string
		for i := range combo {
			names = append(names, fmt.Sprint("s", i))
		}
		names = append(names, "other")
		m := module(names...)
		x := Server{ID: "x", Addr: "10.0.0.9:80", State: Up}
		keep := Server{ID: "keep", Addr: "10.0.0.8:80", State: Up}
		now := time.Duration(0)
		m.Step(now, Snapshot{"other", []Server{keep}})
		for i, c := range combo {
			switch c {
			case "silent", "failing":
				m.Step(now, Snapshot{names[i], []Server{x}})
			}
		}
		for i, c := range combo {
			if c == "silent" {
				m.Step(now, Failed{names[i]})
			}
		}
		if slices.Contains(combo, "silent") {
			now += hold + time.Second
		}
		for i, c := range combo {
			reported := x
			switch c {
			case "absent":
				m.Step(now, Snapshot{names[i], nil})
			case "up":
				m.Step(now, Snapshot{names[i], []Server{x}})
			case "failing":
				m.Step(now, Failed{names[i]})
			case "draining":
				reported.State = Draining
				m.Step(now, Delta{names[i], []Server{reported}})
			case "gone":
				m.Step(now, Snapshot{names[i], []Server{x}})
				reported.State = Removed
				m.Step(now, Delta{names[i], []Server{reported}})
			}
		}
		list, _ := m.Step(now)
		got := find(t, list, "x")
		isRemoved := slices.Contains(combo, "draining") || slices.Contains(combo, "gone")
		isUp := slices.Contains(combo, "up") || slices.Contains(combo, "failing")
		if want := isUp && !isRemoved; got.serves() != want {
			t.Errorf("%v: serves %v (%s), want %v", combo, got.serves(), got.Why, want)
		}
		if !find(t, list, "keep").serves() {
			t.Errorf("%v: a server that only one source names is not in the list", combo)
		}
	}
}

// A server that DNS records still name after the list reported its removal stays out of the list until there is newer
// evidence.
func TestRemovalHoldsUntilNewerEvidence(t *testing.T) {
	fresh := func() *Module {
		m := module("list", "records")
		m.Step(0, Snapshot{"list", up("a", "x")}, Snapshot{"records", up("a", "x")})
		m.Step(time.Second, Snapshot{"list", up("a")})
		return m
	}
	serves := func(m *Module, at time.Duration, r ...Report) bool {
		t.Helper()
		list, _ := m.Step(at, r...)
		return find(t, list, "x").serves()
	}
	m := fresh()
	if serves(m, 2*time.Second, Snapshot{"records", up("a", "x")}) || serves(m, time.Hour, Snapshot{"records", up("a", "x")}) {
		t.Error("the unchanged record brought the server back")
	}
	if serves(m, time.Hour+time.Second, Snapshot{"records", up("a")}) {
		t.Error("the withdrawn server serves again")
	}
	if serves(m, time.Hour+2*time.Second, Snapshot{"records", up("a", "x")}) {
		t.Error("one reading without the server brought it back later: a reading may lack records by mistake")
	}
	if serves(m, time.Hour+3*time.Second, Snapshot{"records", up("a")}) || serves(m, time.Hour+guard+3*time.Second, Snapshot{"records", up("a")}) {
		t.Error("the withdrawn server serves again")
	}
	if !serves(m, time.Hour+guard+4*time.Second, Snapshot{"records", up("a", "x")}) {
		t.Error("withdrawn for as long as the guard and announced again after the list's report, but not back")
	}
	m = fresh()
	if !serves(m, 3*time.Second, Snapshot{"list", up("a", "x")}) {
		t.Error("the server is not back although the list that reported its removal names it again")
	}
	m = module("list", "records")
	old := up("a", "x")
	old[1].Started = 1000
	m.Step(0, Snapshot{"list", old}, Snapshot{"records", old})
	m.Step(time.Second, Snapshot{"list", old[:1]})
	next := slices.Clone(old)
	if next[1].Started = 1000; serves(m, 2*time.Second, Snapshot{"records", next[:1]}, Snapshot{"records", next}) {
		t.Error("the server is back although it was announced with the start that was reported as removed")
	}
	next = slices.Clone(next)
	if next[1].Started = 2000; !serves(m, 3*time.Second, Snapshot{"records", next}) {
		t.Error("the server is not back although a later start is newer evidence")
	}
}

// Failures do not shorten the list before the hold is over, and do not empty it afterwards. A sudden empty snapshot is
// not accepted at once, but a draining server is.
func TestFailuresAndSuddenLossDoNotEmptyTheList(t *testing.T) {
	m := module("list", "records")
	m.Step(0, Snapshot{"records", up("a", "b", "c", "d")})
	count := func(at time.Duration, r ...Report) (n int) {
		list, _ := m.Step(at, r...)
		for _, v := range list {
			if v.serves() {
				n++
			}
		}
		return n
	}
	if n := count(time.Minute, Failed{"records"}, Failed{"list"}); n != 4 {
		t.Errorf("%d servers after a failure", n)
	}
	if n := count(3 * hold); n != 4 {
		t.Errorf("%d servers long after the failures: they shortened the list", n)
	}
	at := 3*hold + time.Second
	if n := count(at, Snapshot{"records", nil}); n != 4 {
		t.Errorf("%d servers after a sudden empty snapshot", n)
	}
	b := up("a", "b")[1]
	b.State = Draining
	if n := count(at+time.Second, Delta{"list", []Server{b}}); n != 3 {
		t.Errorf("%d servers: the guard overruled a draining server", n)
	}
	if n := count(at+guard/2, Snapshot{"records", nil}); n != 3 {
		t.Errorf("%d servers: the second empty snapshot was accepted too early", n)
	}
	if n := count(at+guard+time.Second, Snapshot{"records", nil}); n != 0 {
		t.Errorf("%d servers: the second empty snapshot is not accepted after the guard", n)
	}
	m = module("list", "records")
	m.Step(0, Snapshot{"records", up("a", "b", "c", "d")})
	if n := count(time.Second, Snapshot{"records", up("a", "b", "c")}); n != 3 {
		t.Errorf("%d servers: a single withdrawn server does not leave the list at once", n)
	}
}

// Two entries with one address and different IDs are one server. Two processes that use an address one after the other
// are two servers.
func TestEntriesAreMatchedByIDAddressAndStart(t *testing.T) {
	m := module("list", "records")
	named := Server{ID: "formserver-7", Addr: "10.0.0.7:80", State: Up, Zone: "a", Pod: PodNumber(3)}
	record := Server{ID: "formserver-7.example.org:80", Addr: "10.0.0.7:80", State: Up, Weight: 5}
	list, _ := m.Step(0, Snapshot{"list", []Server{named}}, Snapshot{"records", []Server{record}})
	if len(list) != 1 || list[0].ID != "formserver-7" || list[0].Weight != 5 || list[0].Pod != PodNumber(3) {
		t.Errorf("%+v", list)
	}
	gone := named
	gone.State = Removed
	if list, _ = m.Step(time.Second, Delta{"list", []Server{gone}}); find(t, list, record.ID).serves() {
		t.Errorf("the removed server still serves under its other ID: %+v", list)
	}
	m = module("list", "records")
	first, second := named, Server{ID: "other", Addr: named.Addr, State: Up}
	first.Started, second.Started = 1000, 2000
	list, _ = m.Step(0, Snapshot{"list", []Server{first}}, Snapshot{"records", []Server{second}})
	if len(list) != 2 || find(t, list, "formserver-7").serves() || !find(t, list, "other").serves() {
		t.Errorf("%+v", list)
	}
}

// The first change of a server's pod takes effect at once, further changes at most once in each settle interval, and
// each change is logged once. While a change is delayed, the server must not count as one of the pod that it has left: a
// request that runs there would be repeated in that pod, which does not have its key.
func TestPodChangesAreDamped(t *testing.T) {
	m := module("list")
	at := func(now time.Duration, reported Pod) Pod {
		x := Server{ID: "x", Addr: "10.0.0.1:80", State: Up, Pod: reported}
		list, _ := m.Step(now, Snapshot{"list", []Server{x}})
		effective := find(t, list, "x").Pod
		if effective != reported && effective != (Pod{}) {
			t.Fatalf("at %v: the server counts as one of pod %s, and is reported in pod %s", now, effective, reported)
		}
		return effective
	}
	if at(0, PodNumber(1)) != PodNumber(1) || at(time.Minute, PodNumber(2)) != PodNumber(2) {
		t.Error("the first change of the pod does not take effect at once")
	}
	m.Logs()
	moves := 0
	last := PodNumber(2)
	for i := range 120 { // the pod changes every second
		p := at(time.Minute+time.Duration(i+1)*time.Second, PodNumber(1+i%2))
		if p != last && p != (Pod{}) {
			moves++
			last = p
		}
	}
	if moves > 10 || moves == 0 {
		t.Errorf("%d moves in two minutes", moves)
	}
	if n := len(m.Logs()); n > 80 {
		t.Errorf("%d log lines", n)
	}
}

// An unknown pod is no pod: it does not hide the pod that another source tells, and pod 0 of the list is not replaced by
// another source's pod. That a pod becomes known is not a move, so that a move right after it is not delayed.
func TestUnknownPodIsNoPod(t *testing.T) {
	m := module("list", "records")
	pod := func(now time.Duration, reports ...Report) Pod {
		list, _ := m.Step(now, reports...)
		return find(t, list, "x").Pod
	}
	x := func(pod Pod) []Server { return []Server{{ID: "x", Addr: "10.0.0.1:80", State: Up, Pod: pod}} }
	if got := pod(0, Snapshot{"records", x(Pod{})}); got != (Pod{}) {
		t.Errorf("pod %s, though no source tells it", got)
	}
	if got := pod(time.Second, Snapshot{"list", x(PodNumber(0))}); got != PodNumber(0) {
		t.Errorf("pod %s, want 0", got)
	}
	if got := pod(2*time.Second, Snapshot{"records", x(PodNumber(3))}); got != PodNumber(0) {
		t.Errorf("pod %s, though the list has 0", got)
	}
	if got := pod(3*time.Second, Snapshot{"list", x(PodNumber(2))}); got != PodNumber(2) {
		t.Errorf("pod %s: a move after the pod became known is delayed", got)
	}
	if got := pod(time.Minute, Snapshot{"list", x(Pod{})}, Snapshot{"records", x(Pod{})}); got != (Pod{}) {
		t.Errorf("pod %s, though no source tells it any more", got)
	}
}

// Servers with a higher priority number are on standby (RFC 2782).
func TestHigherPriorityNumbersStandBy(t *testing.T) {
	m := module("list", "records")
	all := up("a", "b", "c")
	all[2].Priority = 10
	list, _ := m.Step(0, Snapshot{"records", all})
	if find(t, list, "c").serves() || !find(t, list, "a").serves() {
		t.Errorf("%+v", list)
	}
	for i := range 2 {
		all[i].State = Draining
	}
	if list, _ = m.Step(time.Second, Delta{"list", all[:2]}); !find(t, list, "c").serves() {
		t.Errorf("%+v", list)
	}
}

// Whatever the order of reports, a server that a source reported as draining or removed gets no requests until there is
// newer evidence, and failures alone do not change the list before the hold is over.
func TestRemovedServersStayOutInAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"list", "srv", "sd"}
		m := module(names...)
		ids := []string{"a", "b", "c", "d", "e"}
		removedAt := map[string]map[string]int{} // by server, by source: when it was last reported as draining or removed
		lastUp := map[string]map[string]bool{}   // by source: the servers that it reports as up
		reportedAt := map[string]int{}           // by source: the step of its last report
		renewed := map[string]int{}              // by server: the last step at which a source that reports it as up now did not
		for _, n := range names {
			lastUp[n] = map[string]bool{}
		}
		now := time.Duration(0)
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		for step := 1; step <= steps; step++ {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			by := rapid.SampledFrom(names).Draw(t, "by")
			before, _ := m.Step(now)
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				after, _ := m.Step(now, Failed{by})
				if fmt.Sprint(serving(before)) != fmt.Sprint(serving(after)) {
					t.Fatalf("a failure of %s changed the list to %v from %v", by, serving(after), serving(before))
				}
				continue
			}
			var reported []Server
			for i, id := range ids {
				s := rapid.SampledFrom([]State{Absent, Up, Up, Draining, Removed}).Draw(t, id)
				v := Server{ID: id, Addr: fmt.Sprintf("10.0.0.%d:80", i+1), State: s}
				if s != Absent {
					reported = append(reported, v)
				}
				switch {
				case s == Up:
					if removedAt[id] != nil {
						delete(removedAt[id], by)
					}
					if !lastUp[by][id] {
						renewed[id] = max(renewed[id], reportedAt[by])
					}
				case s == Draining || s == Removed || s == Absent && by == "list" && lastUp[by][id]:
					if removedAt[id] == nil {
						removedAt[id] = map[string]int{}
					}
					removedAt[id][by] = step
				}
				lastUp[by][id] = s == Up
			}
			reportedAt[by] = step
			list, _ := m.Step(now, Snapshot{by, reported})
			for _, v := range list {
				for source, at := range removedAt[v.ID] {
					if v.serves() && renewed[v.ID] <= at {
						t.Fatalf("step %d: %s serves (%s), although %s reported it as draining or removed at step %d",
							step, v.ID, v.Why, source, at)
					}
				}
			}
		}
	})
}

func serving(list []ListedServer) (ids []string) {
	for _, v := range list {
		if v.serves() {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

func BenchmarkMergeThreeOfAThousand(b *testing.B) {
	m := module("list", "srv", "sd")
	var all []Server
	for i := range 1000 {
		all = append(all, Server{ID: fmt.Sprint("s-", i), Addr: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), State: Up, Pod: PodNumber(i % 7)})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.Step(time.Duration(n)*time.Second, Snapshot{"list", all}, Snapshot{"srv", all}, Snapshot{"sd", all})
	}
}
