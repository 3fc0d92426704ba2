package daemon

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"testing"

	"vetchhaven/internal/standin"
	"vetchhaven/internal/standin/dns"
)

// recordsService is the name of the SRV records in these tests.
const recordsService = "_form._tcp.example.org"

// publishRecords publishes SRV records of the servers, and the addresses of their targets, with a TTL in seconds.
func publishRecords(t *testing.T, names *dns.Server, ttl int, servers ...*standin.FormServer) {
	t.Helper()
	var records []string
	for i, server := range servers {
		host, port, err := net.SplitHostPort(server.Member("ready").Addr)
		if err != nil {
			t.Fatal(err)
		}
		target := fmt.Sprintf("h%d.example.org", i)
		records = append(records, fmt.Sprintf("%s. %d IN SRV 0 0 %s %s.", recordsService, ttl, port, target))
		if err := names.Set(target, "A", fmt.Sprintf("%s. %d IN A %s", target, ttl, host)); err != nil {
			t.Fatal(err)
		}
	}
	if err := names.Set(recordsService, "SRV", records...); err != nil {
		t.Fatal(err)
	}
}

// writeRecordsConfig writes the settings file of writeConfig, whose source has SRV records in addition to its list.
func (tb *testbed) writeRecordsConfig(resolver, rest string) {
	tb.t.Helper()
	source := fmt.Sprintf("name = \"main\"\nsrv = [%q]\nresolvers = [%q]\n", recordsService, resolver)
	text := readFile(tb.t, tb.writeConfig(rest))
	writeFile(tb.t, tb.dir, strings.Replace(text, "name = \"main\"\n", source, 1))
}

// A list service and SRV records, which the daemon reads over sockets, contradict each other. No new request goes to a
// server that either of them reports as draining or gone. A failing resolver and truncated answers remove no server. A
// server that only the records have is used.
func TestMergerServesFromListAndRecords(t *testing.T) {
	both, listed, recorded := standin.NewFormServer("both", nil), standin.NewFormServer("listed", nil), standin.NewFormServer("recorded", nil)
	for _, f := range []*standin.FormServer{both, listed, recorded} {
		defer f.Close()
	}
	names, err := dns.New()
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	publishRecords(t, names, 1, both, recorded)
	tb := newTestbed(t, both.Member("ready"), listed.Member("ready"))
	tb.writeRecordsConfig(names.Addr(), tb.instanceText("a"))
	r := tb.start(Options{})
	// seen are the servers that have answered since it was last cleared. Which server gets a request depends on how
	// fast each has been: on a busy machine a server may get none of sixty requests.
	seen := map[string]bool{}
	sendOne := func() {
		t.Helper()
		status, body, err := sendRequest(client(tb.socketPath("a"), false), "get")
		if err != nil || status != 200 {
			t.Fatalf("request: %d %q %v", status, body, err)
		}
		seen[body] = true
	}
	// served sends requests until all the named servers have answered.
	served := func(what string, names ...string) {
		t.Helper()
		clear(seen)
		eventually(t, what, func() bool {
			sendOne()
			return !slices.ContainsFunc(names, func(n string) bool { return !seen[n] })
		})
	}
	listedNow := func() (n int) {
		r.agents.Range(func(_, a any) bool { n = a.(agentHandle).agent.Status(testTimeout).Listed; return true })
		return n
	}
	served("all three servers answer", "both", "listed", "recorded")
	tb.list.Set(both.Member("gone")) // the records still contain it
	eventually(t, "the server that is gone leaves the list", func() bool { return listedNow() == 2 })
	n := both.Requests()
	names.Script(func(string, string, string) dns.Fault { return dns.Fault{Rcode: 2} })
	lookups := names.Asked()
	eventually(t, "a lookup fails", func() bool { sendOne(); return names.Asked() > lookups })
	names.Script(func(string, string, string) dns.Fault { return dns.Fault{Truncate: true, CutTCP: true} })
	lookups = names.Asked()
	eventually(t, "answers are truncated over UDP and over TCP", func() bool { sendOne(); return names.Asked() > lookups+1 })
	served("the other two servers answer while records are truncated", "listed", "recorded")
	tb.list.SetDown(true)
	for range 60 {
		sendOne()
	}
	served("the other two servers answer while the list and the records fail", "listed", "recorded")
	if got := both.Requests(); got != n {
		t.Errorf("the server that is gone got %d more requests", got-n)
	}
}

// After a restart while the list service is down and no resolver answers, the daemon serves from the saved list.
func TestMergerStartsFromTheSavedList(t *testing.T) {
	f := standin.NewFormServer("s", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	tb.head = `state_dir = "state"`
	tb.writeRecordsConfig(unusedUDPAddr(t), tb.instanceText("a"))
	r := tb.start(Options{})
	tb.expectServed("a")
	r.call(r.saveSnapshot)
	if err := r.end(); err != nil {
		t.Fatal(err)
	}
	tb.list.SetDown(true)
	tb.start(Options{})
	tb.expectServed("a")
}

// Earlier builds saved servers of unknown cells as servers of cell 0. While neither the list nor the records can be read
// after a restart, they must not count as servers of one cell.
func TestSavedCellZeroOfASourceWithRecordsIsUnknown(t *testing.T) {
	f := standin.NewFormServer("s", nil)
	defer f.Close()
	other := standin.NewFormServer("t", nil)
	defer other.Close()
	placed := other.Member("ready")
	placed.Cell = new(3)
	tb := newTestbed(t, f.Member("ready"), placed)
	tb.head = `state_dir = "state"`
	tb.writeRecordsConfig(unusedUDPAddr(t), tb.instanceText("a"))
	r := tb.start(Options{})
	tb.expectServed("a")
	cells := func() map[string]*int {
		all := map[string]*int{}
		r.call(func() {
			for _, server := range r.hubs["main"].Snapshot().Servers {
				all[server.ID] = server.Cell
			}
		})
		return all
	}
	if all := cells(); all["s"] == nil || *all["s"] != 0 || all["t"] == nil {
		t.Errorf("the list tells cells 0 and 3: %v", all)
	}
	r.call(r.saveSnapshot)
	if err := r.end(); err != nil {
		t.Fatal(err)
	}
	tb.list.SetDown(true)
	r = tb.start(Options{})
	if all := cells(); all["s"] != nil || all["t"] == nil || *all["t"] != 3 {
		t.Errorf("restored cells %v, want an unknown one and 3", all)
	}
	tb.list.SetDown(false)
	eventually(t, "the list's cell is used again", func() bool { cell := cells()["s"]; return cell != nil && *cell == 0 })
}

func unusedUDPAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.LocalAddr().String()
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A server that only a multicast responder announces is used, and no longer after its goodbye (an announcement with
// TTL 0).
func TestMulticastEndpointIsServedUntilItsGoodbye(t *testing.T) {
	listed, nearby := standin.NewFormServer("listed", nil), standin.NewFormServer("nearby", nil)
	defer listed.Close()
	defer nearby.Close()
	r, err := dns.NewResponder()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	host, port, _ := net.SplitHostPort(nearby.Member("ready").Addr)
	announce := func(ttl int) {
		t.Helper()
		if err := r.Announce(false, fmt.Sprintf("_form._tcp.local. %d IN PTR i._form._tcp.local.", ttl), fmt.Sprintf("i._form._tcp.local. %d IN SRV 0 0 %s h.local.", ttl, port),
			fmt.Sprintf(`i._form._tcp.local. %d IN TXT "zone=a" "kind=k"`, ttl), fmt.Sprintf("h.local. %d IN A %s", ttl, host)); err != nil {
			t.Fatal(err)
		}
	}
	announce(3600)
	tb := newTestbed(t, listed.Member("ready"))
	data := strings.Replace(readFile(t, tb.writeConfig(tb.instanceText("a"))), "name = \"main\"\n", fmt.Sprintf("name = \"main\"\nmulticast = \"_form._tcp.local\"\ngroup = %q\n", r.Addr()), 1)
	writeFile(t, tb.dir, data)
	tb.start(Options{})
	got := func(want string) bool {
		for range 40 {
			if _, body, _ := sendRequest(client(tb.socketPath("a"), false), "get"); body == want {
				return true
			}
		}
		return false
	}
	eventually(t, "the announced server answers", func() bool { return got("nearby") })
	announce(0)
	eventually(t, "the announced server is no longer used", func() bool { return !got("nearby") })
	n := nearby.Requests()
	if !got("listed") || nearby.Requests() != n {
		t.Error("a request was sent to a server after its goodbye")
	}
}
