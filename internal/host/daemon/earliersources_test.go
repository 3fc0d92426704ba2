package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/source/endpoints"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/standin/dns"
)

// transition replaces a daemon by another one, or its source by another one.
type transition struct {
	name string
	// apply is called with the daemon and returns the one that runs from then on. meanwhile is called while no
	// process follows the sources, or just before the transition if there is no such time.
	apply func(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon
}

// transitions are the ways in which a daemon comes to follow a source anew.
var transitions = []transition{
	{"stop", restartAfterStop},
	{"kill", restartAfterKill},
	{"handover", handOver},
	{"failed handover", failToHandOver},
	{"reload that renames the source", reloadWith(`name = "main"`, `name = "other"`)},
	{"reload that replaces the source", reloadWith(`name = "main"`, "name = \"main\"\nhold = \"30m\"")},
	{"reload that adds multicast", reloadWith(`name = "main"`, "name = \"main\"\nmulticast = \"_form._tcp.local\"\ngroup = \"127.0.0.1:9\"")},
	{"reload that removes the source for a while", removeSourceForAWhile},
	{"reload to another list and back", replaceListForAWhile},
}

func restartAfterStop(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
	if err := r.end(); err != nil {
		tb.t.Fatal(err)
	}
	meanwhile()
	return tb.start(Options{})
}

// restartAfterKill starts a daemon with the file that was saved before the stop, as a kill leaves it.
func restartAfterKill(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
	r.call(r.saveSnapshot)
	r.snapshots.Flush()
	saved := filepath.Join(tb.dir, "state", snapshotFile)
	data := readFile(tb.t, saved)
	if err := r.end(); err != nil {
		tb.t.Fatal(err)
	}
	if err := os.WriteFile(saved, []byte(data), 0o600); err != nil {
		tb.t.Fatal(err)
	}
	meanwhile()
	return tb.start(Options{})
}

// handOver lets a daemon hand over to a successor in this process, which gets copies of its sockets.
func handOver(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
	var successor *testDaemon
	r.options.StartSuccessor = func(_ context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error {
		meanwhile()
		copies, err := copySockets(sockets)
		if err == nil {
			successor = tb.start(Options{Inherit: copies, Snapshot: state})
		}
		return err
	}
	if err := r.Handover(context.Background()); err != nil {
		tb.t.Fatal(err)
	}
	return successor
}

func failToHandOver(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
	injected := errors.New("injected failure")
	r.options.StartSuccessor = func(context.Context, map[daemonconfig.Address]*os.File, []byte) error {
		meanwhile()
		return injected
	}
	if err := r.Handover(context.Background()); !errors.Is(err, injected) {
		tb.t.Fatalf("the handover: %v, want the injected failure", err)
	}
	return r
}

// reloadWith returns a transition that replaces a text in the settings file.
func reloadWith(old, text string) func(*testbed, *testDaemon, func()) *testDaemon {
	return func(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
		meanwhile()
		tb.reload(r, strings.Replace(readFile(tb.t, r.options.Config.Path), old, text, 1))
		return r
	}
}

// newEmptyList starts another list service, which has no servers.
func (tb *testbed) newEmptyList() *standin.List {
	tb.t.Helper()
	list, err := standin.NewList("")
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(list.Close)
	return list
}

// removeSourceForAWhile lets the instances follow another source, and then the first one again.
func removeSourceForAWhile(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
	elsewhere := tb.newEmptyList()
	text := readFile(tb.t, r.options.Config.Path)
	before, rest, _ := strings.Cut(text, "[[source]]\n")
	_, after, _ := strings.Cut(rest, "[site]\n")
	tb.reload(r, before+"[[source]]\nname = \"elsewhere\"\nlist = \""+elsewhere.Addr()+"\"\n[site]\n"+after)
	meanwhile()
	tb.reload(r, text)
	return r
}

// replaceListForAWhile lets the source read another list, which has no servers, and then the first one again.
func replaceListForAWhile(tb *testbed, r *testDaemon, meanwhile func()) *testDaemon {
	elsewhere := tb.newEmptyList()
	text := readFile(tb.t, r.options.Config.Path)
	tb.reload(r, strings.Replace(text, tb.list.Addr(), elsewhere.Addr(), 1))
	eventually(tb.t, "the other list is read", func() bool { return elsewhere.Calls() > 0 })
	meanwhile()
	tb.reload(r, text)
	return r
}

// reload applies a settings file.
func (tb *testbed) reload(r *testDaemon, text string) {
	tb.t.Helper()
	writeFile(tb.t, tb.dir, text)
	if _, err := r.Reload(); err != nil {
		tb.t.Fatal(err)
	}
}

// copySockets returns copies of sockets, as a successor in another process inherits them.
func copySockets(sockets map[daemonconfig.Address]*os.File) (map[daemonconfig.Address]*os.File, error) {
	copies := map[daemonconfig.Address]*os.File{}
	for address, file := range sockets {
		ln, err := net.FileListener(file)
		if err != nil {
			return nil, err
		}
		if copies[address], err = fileOf(ln, address.String()); err != nil {
			return nil, err
		}
		_ = ln.Close()
	}
	return copies, nil
}

// mergedServer returns a server as the daemon's only merged source has it, and whether all origins have reported.
func (d *testDaemon) mergedServer(server *standin.FormServer) (merged endpoints.ListedServer, complete bool) {
	d.call(func() {
		for _, h := range d.hubs {
			if h.merger == nil {
				continue
			}
			var list []endpoints.ListedServer
			list, complete = h.merger.Members()
			for _, listed := range list {
				if listed.Addr == server.Member("").Addr {
					merged = listed
				}
			}
		}
	})
	return merged, complete
}

// A daemon forgot a removal by the list when it, or its source, was replaced, and used the server's old record.
func TestRemovalHoldsAgainstOldRecordsAfterRestartAndReload(t *testing.T) {
	for _, tt := range transitions {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			kept, removed := standin.NewFormServer("kept", nil), standin.NewFormServer("removed", nil)
			defer kept.Close()
			defer removed.Close()
			names, err := dns.New()
			if err != nil {
				t.Fatal(err)
			}
			defer names.Close()
			publishRecords(t, names, 1, kept, removed)
			tb := newTestbed(t, kept.Member("ready"), removed.Member("ready"))
			tb.head = `state_dir = "state"`
			tb.writeRecordsConfig(names.Addr(), tb.instanceText("a"))
			r := tb.start(Options{})
			eventually(t, "list and records are read", func() bool { _, complete := r.mergedServer(kept); return complete })
			tb.list.Set(removed.Member("gone"))
			isRemoved := func() bool {
				merged, _ := r.mergedServer(removed)
				return !merged.In && merged.State == endpoints.Removed
			}
			eventually(t, "the server is removed", isRemoved)
			lookups := 0
			r = tt.apply(tb, r, func() { lookups = names.Asked() })
			eventually(t, "the records are read again", func() bool { return names.Asked() >= lookups+3 })
			eventually(t, "the list is read again", func() bool { merged, _ := r.mergedServer(kept); return merged.In })
			for range 50 {
				tb.expectServed("a")
			}
			if !isRemoved() || removed.Requests() > 0 {
				merged, _ := r.mergedServer(removed)
				t.Errorf("the removed server is %s (%s) after the transition, and got %d requests",
					merged.State, merged.Why, removed.Requests())
			}
			tb.list.Set(removed.Member("ready"))
			eventually(t, "a server that the list names again is used", func() bool {
				merged, _ := r.mergedServer(removed)
				return merged.In && merged.State == endpoints.Up
			})
		})
	}
}

// A renamed source began with the list of before the last restart, in which a server that drains was ready.
func TestRenamedSourceKeepsItsDrains(t *testing.T) {
	ready, drained := standin.NewFormServer("ready", nil), standin.NewFormServer("drained", nil)
	defer ready.Close()
	defer drained.Close()
	tb := newTestbed(t, ready.Member("ready"), drained.Member("ready"))
	tb.head = `state_dir = "state"`
	tb.writeConfig(tb.instanceText("a"))
	r := restartAfterStop(tb, tb.start(Options{}), func() {})
	tb.list.Set(drained.Member("draining"))
	stateOf := func(source string) (state string) {
		r.call(func() {
			for _, server := range r.hubs[source].Snapshot().Servers {
				if server.ID == "drained" {
					state = server.State
				}
			}
		})
		return state
	}
	eventually(t, "the server drains", func() bool { return stateOf("main") == "draining" })
	tb.list.SetDown(true)
	reloadWith(`name = "main"`, `name = "other"`)(tb, r, func() {})
	if got := stateOf("other"); got != "draining" {
		t.Errorf("the draining server is %q in the renamed source, whose list is not read yet", got)
	}
}

// A server that the complete list no longer names was used for as long as no resolver answered.
func TestCompleteListOverrulesWhatWasSavedOfIt(t *testing.T) {
	for _, tt := range transitions {
		for _, resolver := range []string{"answers", "fails"} {
			t.Run(tt.name+", the resolver "+resolver, func(t *testing.T) {
				t.Parallel()
				kept, removed, recorded, added := standin.NewFormServer("kept", nil), standin.NewFormServer("removed", nil),
					standin.NewFormServer("recorded", nil), standin.NewFormServer("added", nil)
				removedWithRecord := standin.NewFormServer("removed-with-record", nil)
				for _, f := range []*standin.FormServer{kept, removed, recorded, added, removedWithRecord} {
					defer f.Close()
				}
				names, err := dns.New()
				if err != nil {
					t.Fatal(err)
				}
				defer names.Close()
				publishRecords(t, names, 1, kept, recorded, removedWithRecord)
				tb := newTestbed(t, kept.Member("ready"), removed.Member("ready"), removedWithRecord.Member("ready"))
				tb.head = `state_dir = "state"`
				tb.writeRecordsConfig(names.Addr(), tb.instanceText("a"))
				r := tb.start(Options{})
				eventually(t, "list and records are read", func() bool { _, complete := r.mergedServer(kept); return complete })
				lookups := 0
				r = tt.apply(tb, r, func() {
					if resolver == "fails" {
						names.Script(func(string, string, string) dns.Fault { return dns.Fault{Rcode: 2} })
					}
					lookups = names.Asked()
					tb.list.Set(removed.Member("gone"), removedWithRecord.Member("gone"), added.Member("ready"))
				})
				isIn := func(server *standin.FormServer) bool {
					merged, _ := r.mergedServer(server)
					return merged.In && merged.State == endpoints.Up
				}
				if !isIn(recorded) {
					t.Error("a server that only the records name is out before they are read again")
				}
				eventually(t, "the list is read again", func() bool { return isIn(added) })
				eventually(t, "the resolver is asked", func() bool { return names.Asked() > lookups })
				for _, server := range []*standin.FormServer{removed, removedWithRecord} {
					merged, _ := r.mergedServer(server)
					if merged.In {
						t.Errorf("%s, which the complete list does not name, is in: %s", server.ID, merged.Why)
					}
				}
				if !isIn(kept) || !isIn(recorded) {
					t.Errorf("kept is in: %v; recorded, which only the records name, is in: %v", isIn(kept), isIn(recorded))
				}
			})
		}
	}
}

// What was saved of a list that is away serves until the list is back, and no longer.
func TestSavedListServesUntilTheListServiceIsBack(t *testing.T) {
	kept, removed, recorded := standin.NewFormServer("kept", nil), standin.NewFormServer("removed", nil), standin.NewFormServer("recorded", nil)
	for _, f := range []*standin.FormServer{kept, removed, recorded} {
		defer f.Close()
	}
	names, err := dns.New()
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	publishRecords(t, names, 1, recorded)
	for _, saved := range []string{"by this build", "by an earlier build", "by an earlier build, and again"} {
		t.Run(saved, func(t *testing.T) {
			tb := newTestbed(t, kept.Member("ready"), removed.Member("ready"))
			tb.head = `state_dir = "state"`
			tb.writeRecordsConfig(names.Addr(), tb.instanceText("a"))
			r := tb.start(Options{})
			eventually(t, "list and records are read", func() bool { _, complete := r.mergedServer(kept); return complete })
			if err := r.end(); err != nil {
				t.Fatal(err)
			}
			if saved != "by this build" {
				tb.forgetMerges()
			}
			tb.list.SetDown(true)
			r = tb.start(Options{})
			if saved == "by an earlier build, and again" {
				r = restartAfterStop(tb, r, func() {})
				names.Script(func(string, string, string) dns.Fault { return dns.Fault{Rcode: 2} })
			}
			isIn := func(server *standin.FormServer) bool { merged, _ := r.mergedServer(server); return merged.In }
			if !isIn(kept) || !isIn(removed) || !isIn(recorded) {
				t.Errorf("kept is in: %v; removed: %v; recorded: %v", isIn(kept), isIn(removed), isIn(recorded))
			}
			tb.list.Set(removed.Member("gone"))
			tb.list.SetDown(false)
			eventually(t, "the list that lacks the server is read", func() bool { return !isIn(removed) })
			eventually(t, "the other servers are in", func() bool { return isIn(kept) && isIn(recorded) })
		})
	}
}

// forgetMerges takes what earlier builds did not write out of the saved snapshot.
func (tb *testbed) forgetMerges() {
	tb.t.Helper()
	path := filepath.Join(tb.dir, "state", snapshotFile)
	state, err := snapshot.Decode([]byte(readFile(tb.t, path)), currentMoment(), time.Hour)
	if err != nil {
		tb.t.Fatal(err)
	}
	state.Merges = nil
	data, err := snapshot.Encode(state)
	if err != nil {
		tb.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		tb.t.Fatal(err)
	}
}

// Records that were added to the source of a list alone brought back a server that the list had removed.
func TestRecordsThatAreAddedToAListBringNoRemovedServerBack(t *testing.T) {
	none := transition{"none", func(_ *testbed, r *testDaemon, _ func()) *testDaemon { return r }}
	type row struct {
		transition
		meanwhile bool // whether the file changes while no process runs
	}
	rows := []row{{none, false}}
	for _, tt := range transitions[:4] {
		rows = append(rows, row{tt, false}, row{tt, true})
	}
	for _, tt := range rows {
		t.Run(fmt.Sprintf("%s, meanwhile %v", tt.name, tt.meanwhile), func(t *testing.T) {
			t.Parallel()
			kept, removed := standin.NewFormServer("kept", nil), standin.NewFormServer("removed", nil)
			defer kept.Close()
			defer removed.Close()
			names, err := dns.New()
			if err != nil {
				t.Fatal(err)
			}
			defer names.Close()
			publishRecords(t, names, 1, kept, removed)
			tb := newTestbed(t, kept.Member("ready"), removed.Member("ready"))
			tb.head = `state_dir = "state"`
			path := tb.writeConfig(tb.instanceText("a"))
			r := tb.start(Options{})
			tb.list.Set(removed.Member("gone"))
			eventually(t, "the server is removed", func() (isRemoved bool) {
				r.call(func() { isRemoved = len(r.hubs["main"].Snapshot().Servers) == 1 })
				return isRemoved
			})
			addRecords := func() { tb.writeRecordsConfig(names.Addr(), tb.instanceText("a")) }
			if tt.meanwhile {
				r = tt.apply(tb, r, addRecords)
			} else {
				r = tt.apply(tb, r, func() {})
				addRecords()
			}
			tb.reload(r, readFile(t, path))
			eventually(t, "list and records are read", func() bool { _, complete := r.mergedServer(kept); return complete })
			if merged, _ := r.mergedServer(removed); merged.In || merged.State != endpoints.Removed {
				t.Errorf("the removed server is %s: %s", merged.State, merged.Why)
			}
			tb.list.Set(removed.Member("ready"))
			eventually(t, "a server that the list names again is used", func() bool {
				merged, _ := r.mergedServer(removed)
				return merged.In && merged.State == endpoints.Up
			})
		})
	}
}

// Each origin continues from the last state of an origin that read the same, with its removals, or else from that of the
// source with its name.
func TestOriginsContinueFromTheLastStateOfTheirIdentity(t *testing.T) {
	state := func(removed string, sources ...endpoints.SavedSource) *endpoints.SavedState {
		saved := &endpoints.SavedState{Sources: sources}
		for _, s := range sources {
			saved.Removals = append(saved.Removals, endpoints.SavedRemoval{ID: removed + " by " + s.Origin, Source: s.Name})
		}
		return saved
	}
	list := func(origin string) endpoints.SavedSource {
		return endpoints.SavedSource{Name: fromList, Origin: origin}
	}
	records := func(origin string) endpoints.SavedSource {
		return endpoints.SavedSource{Name: fromRecords, Origin: origin}
	}
	candidates := []mergeCandidate{
		{SavedState: state("old", list("l1"), records("r1")), hasKey: true, at: 1},
		{SavedState: state("other", list("l1"), records("r3")), at: 2},
		{SavedState: state("named", list("l2"), records("r2"), endpoints.SavedSource{Name: fromMulticast, Origin: "m"}), hasName: true, at: 3},
	}
	for _, tt := range []struct{ list, records, want string }{
		{"l1", "r1", "l1 r1 m: other by l1, old by r1, named by m"},
		{"l2", "r1", "l2 r1 m: named by l2, old by r1, named by m"},
		{"l3", "r3", "l2 r3 m: named by l2, other by r3, named by m"},
		{"l3", "r4", "l2 r2 m: named by l2, named by r2, named by m"},
	} {
		merge := mergeFor([]endpoints.Source{{Name: fromList, Origin: tt.list}, {Name: fromRecords, Origin: tt.records}}, slices.Clone(candidates))
		var origins, removals []string
		for _, s := range merge.Sources {
			origins = append(origins, s.Origin)
		}
		for _, removal := range merge.Removals {
			removals = append(removals, removal.ID)
		}
		if got := strings.Join(origins, " ") + ": " + strings.Join(removals, ", "); got != tt.want {
			t.Errorf("list %s, records %s: %s, want %s", tt.list, tt.records, got, tt.want)
		}
	}
	if merge := mergeFor([]endpoints.Source{{Name: fromList, Origin: "l1"}}, nil); merge != nil {
		t.Errorf("%+v without a candidate", merge)
	}
}
