package endpoints

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A restored removal counted as none, so that a record from before it brought the server back.
func TestRestoredRemovalHoldsUntilNewerEvidence(t *testing.T) {
	servers := up("a", "x")
	servers[1].Started = 1000
	before := module("list", "records")
	before.Step(0, Snapshot{"list", servers}, Snapshot{"records", servers})
	before.Step(time.Second, Snapshot{"list", servers[:1]})
	restored := func() *Module {
		m := module("list", "records")
		m.Restore(before.Save().Aged(time.Minute))
		return m
	}
	serves := func(m *Module, at time.Duration, r ...Report) bool {
		list, _ := m.Step(at, r...)
		return find(t, list, "x").serves()
	}
	m := restored()
	if serves(m, 0, Snapshot{"records", servers}) || serves(m, time.Hour, Snapshot{"list", servers[:1]}, Snapshot{"records", servers}) {
		t.Error("the unchanged record brought the server back")
	}
	if !serves(m, 2*time.Hour, Snapshot{"list", servers}) {
		t.Error("the server is not back although the list names it again")
	}
	m = restored()
	next := up("a", "x")
	if next[1].Started = 2000; !serves(m, 0, Snapshot{"records", next}) {
		t.Error("the server is not back although a later start is newer evidence")
	}
	m = restored()
	draining := up("a", "x")
	draining[1].State = Draining
	m.Step(0, Snapshot{"list", draining}, Snapshot{"records", servers})
	again := module("list", "records")
	again.Restore(m.Save())
	if list, _ := again.Step(0, Snapshot{"records", servers}); find(t, list, "x").State != Draining {
		t.Errorf("the draining server is %s after the second restart", find(t, list, "x").State)
	}
}

// A restart, at any point between any reports, makes no difference to the list: a module that is restored from another
// one returns the same as that one, whose sources have failed at that moment.
func TestRestoredModuleContinuesLikeTheSavedOne(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	names := []string{"list", "records", "multicast"}
	rapid.Check(t, func(t *rapid.T) {
		drawServer := func(states ...State) Server {
			n := rapid.IntRange(0, len(ids)-1).Draw(t, "id")
			return Server{
				ID:       ids[n],
				Addr:     fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(n, n+1).Draw(t, "addr")),
				Zone:     rapid.SampledFrom([]string{"", "z"}).Draw(t, "zone"),
				Weight:   float64(rapid.IntRange(0, 1).Draw(t, "weight")),
				Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
				State:    rapid.SampledFrom(states).Draw(t, "state"),
				Started:  int64(rapid.IntRange(0, 2).Draw(t, "started")),
			}
		}
		drawReport := func() Report {
			name := rapid.SampledFrom(names).Draw(t, "source")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				return Failed{name}
			case 1:
				return Delta{name, []Server{drawServer(Up, Draining, Removed)}}
			}
			var servers []Server
			seen := map[string]bool{}
			for range rapid.IntRange(0, 5).Draw(t, "servers") {
				if server := drawServer(Up, Up, Up, Draining); !seen[server.ID] {
					seen[server.ID] = true
					servers = append(servers, server)
				}
			}
			return Snapshot{name, servers}
		}
		running := module(names...)
		now := time.Duration(0)
		step := func() (time.Duration, Report) {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 3, 10, 29, 31, 40, 3601}).Draw(t, "wait")) * time.Second
			return now, drawReport()
		}
		for range rapid.IntRange(0, 12).Draw(t, "reports before") {
			running.Step(step())
		}
		for _, s := range running.sources {
			if s.known {
				running.Step(now, Failed{s.Name})
			}
		}
		restarted := now
		data, err := json.Marshal(running.Save())
		if err != nil {
			t.Fatal(err)
		}
		saved := &SavedState{}
		if err := json.Unmarshal(data, saved); err != nil {
			t.Fatal(err)
		}
		restored := module(names...)
		restored.Restore(saved)
		for range rapid.IntRange(1, 12).Draw(t, "reports after") {
			at, report := step()
			want, _ := running.Step(at, report)
			got, _ := restored.Step(at-restarted, report)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%v after %+v:\ngot  %+v\nwant %+v", at, report, got, want)
			}
		}
	})
}

// A source that reads another list than before does not report the removal of servers that only the earlier list named.
func TestSourceOfAnotherOriginReplacesWhatWasSaved(t *testing.T) {
	build := func(list string) *Module {
		return New(Settings{SuddenLossGuard: guard, Settle: settle, Sources: []Source{
			{Name: "list", Origin: list, Exact: true, Hold: hold},
			{Name: "records", Origin: "srv", Hold: hold},
		}})
	}
	before := build("one")
	before.Step(0, Snapshot{"list", up("a", "b", "x")}, Snapshot{"records", up("a", "b", "x")})
	before.Step(time.Minute, Snapshot{"list", up("a", "b")})
	after := build("two")
	after.Restore(before.Save().Aged(time.Minute))
	serves := func(at time.Duration, id string, reports ...Report) bool {
		list, _ := after.Step(at, reports...)
		return find(t, list, id).serves()
	}
	if !serves(0, "a") || !serves(0, "b") || serves(0, "x") {
		t.Error("what was saved is not used until the other list is read")
	}
	if serves(time.Second, "x", Snapshot{"records", up("a", "b", "x")}) {
		t.Error("a removal by the earlier list is forgotten")
	}
	if !serves(2*time.Second, "b", Snapshot{"list", up("a")}) {
		t.Error("a server that the records name is removed, although only the earlier list named it")
	}
	if serves(3*time.Second, "b", Snapshot{"records", up("a", "x")}) {
		t.Error("a server of the earlier list alone is used after the other list was read")
	}
}

// The indexes of a set find the same removals as a look at all of them.
func TestRemovalSetFindsWhatMatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newRemovalSet()
		drawServer := func() Server {
			return Server{
				ID:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Addr: rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "addr"),
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			server := drawServer()
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				set.remove(slices.Clone(set.matching(server)))
			case 1:
				set.removeOf(rapid.SampledFrom([]string{"s", "t"}).Draw(t, "removed source"))
			default:
				set.add(&removal{id: server.ID, addr: server.Addr, source: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "source")})
			}
			wanted := drawServer()
			var want []*removal
			for _, r := range set.all {
				if r.id == wanted.ID || r.addr != "" && r.addr == wanted.Addr {
					want = append(want, r)
				}
			}
			if got := set.matching(wanted); !slices.Equal(got, want) {
				t.Fatalf("%+v: %v, want %v", wanted, got, want)
			}
		}
	})
}

func BenchmarkStepOfAThousandWithRemovals(b *testing.B) {
	for _, removed := range []int{200, 2000, maxRemovals} {
		b.Run(fmt.Sprint(removed), func(b *testing.B) {
			m := module("list", "records")
			var servers, old []Server
			for i := range 1000 {
				servers = append(servers, Server{ID: fmt.Sprint("s-", i), Addr: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), State: Up})
			}
			for i := range removed {
				old = append(old, Server{ID: fmt.Sprint("old-", i), Addr: fmt.Sprintf("10.2.%d.%d:80", i/250, i%250), State: Up})
			}
			m.Step(0, Snapshot{"list", old})
			for n := 1; b.Loop(); n++ {
				m.Step(time.Duration(n)*time.Second, Snapshot{"list", servers}, Snapshot{"records", servers})
			}
		})
	}
}
