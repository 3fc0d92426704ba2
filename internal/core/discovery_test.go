package core

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// runListWatcher runs a listWatcher at version 41 and returns it, with the channel of the lists that it posts.
func runListWatcher(t *testing.T, cfg *Config, tune func(*listWatcher)) (*listWatcher, chan List) {
	t.Helper()
	events := make(chan List, 100)
	d := newListWatcher(cfg, newClock(), func(e any) { events <- e.(List) }, testkit.DiscardLogger)
	d.version = 41
	d.heartbeatTimeout = 2 * testkit.EventTimeout
	if tune != nil {
		tune(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		testkit.Receive(t, "end of discovery", done)
	})
	return d, events
}

func listLine(version int, full bool, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s","addr":"127.0.0.1:9","zone":"b","kind":"m2","cell":3,"state":%q,"weight":1.5,"started_ms":0}]}`, version, full, state)
}

// A zone that the settings do not have is still a zone: the servers of two such zones must not be taken for servers of
// one, and those of one such zone are known to share it.
func TestZonesThatAreNotConfiguredAreToldApart(t *testing.T) {
	zones := []string{"a", "b"}
	number := func(name string) int { return zoneNumber(zones, name) }
	if number("a") != 0 || number("b") != 1 || number("") != decide.Unknown {
		t.Errorf("a is %d, b is %d, no zone is %d", number("a"), number("b"), number(""))
	}
	if number("c") >= decide.Unknown || number("d") >= decide.Unknown {
		t.Errorf("c is %d, d is %d: neither is configured, and both are known", number("c"), number("d"))
	}
	if number("c") == number("d") || number("c") != zoneNumber(nil, "c") {
		t.Errorf("c is %d and %d, d is %d", number("c"), zoneNumber(nil, "c"), number("d"))
	}
}

// Servers whose cells the list does not tell must not be taken for servers of one cell.
func TestListEntryWithoutACellHasAnUnknownCell(t *testing.T) {
	c := testkit.NewScriptedList(t)
	_, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Discovery: c.Addr}), nil)
	w := testkit.Receive(t, "watch", c.Watch)
	w.Lines <- `{"version":42,"full":true,"servers":[` +
		`{"id":"s","addr":"127.0.0.1:9","zone":"b","state":"ready"},` +
		`{"id":"t","addr":"127.0.0.1:8","zone":"b","cell":null,"state":"ready"},` +
		`{"id":"u","addr":"127.0.0.1:7","zone":"b","cell":0,"state":"ready"}]}`
	e := testkit.Receive(t, "list", events)
	want := []int{decide.Unknown, decide.Unknown, 0}
	for i, b := range e.Backends {
		if b.Cell != want[i] {
			t.Errorf("%s: cell %d, want %d", b.ID, b.Cell, want[i])
		}
	}
	if len(e.Backends) != len(want) {
		t.Errorf("%+v", e)
	}
	close(w.Lines)
}

// After a failure the next watch must continue from the last version, and each failure must be posted.
func TestWatchReconnects(t *testing.T) {
	c := testkit.NewScriptedList(t)
	_, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Discovery: c.Addr}), nil)
	w := testkit.Receive(t, "watch", c.Watch)
	if w.Since != "41" {
		t.Errorf("since %q", w.Since)
	}
	w.Lines <- listLine(42, true, "ready")
	e := testkit.Receive(t, "list", events)
	want := decide.Backend{ID: "s", Addr: "127.0.0.1:9", Zone: 1, Kind: 1, Cell: 3, Weight: 1.5}
	if e.Kind != decide.ListFull || len(e.Backends) != 1 || e.Backends[0] != want || e.Addrs["s"] != "127.0.0.1:9" {
		t.Errorf("%+v", e)
	}
	w.Lines <- "" // a heartbeat
	w.Lines <- listLine(43, false, "draining")
	if e := testkit.Receive(t, "change", events); e.Kind != decide.ListDelta || e.Backends[0].State != decide.Draining {
		t.Errorf("%+v", e)
	}
	w.Lines <- listLine(44, false, "gone")
	if e := testkit.Receive(t, "change", events); e.Backends[0].State != decide.Removed || len(e.Addrs) != 0 {
		t.Errorf("%+v", e)
	}
	close(w.Lines)
	if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
		t.Errorf("%+v", e)
	}
	w = testkit.Receive(t, "second watch", c.Watch)
	if w.Since != "44" {
		t.Errorf("since %q", w.Since)
	}
	close(w.Fail)
	if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
		t.Errorf("%+v", e)
	}
	w = testkit.Receive(t, "third watch", c.Watch)
	w.Lines <- "{no list"
	if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
		t.Errorf("%+v", e)
	}
	testkit.Receive(t, "fourth watch", c.Watch)
}

// With Settings.Subscribe the agent must open a watch only if the balancer requests it.
func TestWatchIsOpenedOnlyOnRequest(t *testing.T) {
	c := testkit.NewScriptedList(t)
	d, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Mode: "subscribe", Discovery: c.Addr}), nil)
	d.subscribe()
	close(testkit.Receive(t, "watch", c.Watch).Fail)
	testkit.Receive(t, "failure", events)
	if len(c.Watch) != 0 {
		t.Error("a watch was opened without a request")
	}
	d.subscribe()
	testkit.Receive(t, "second watch", c.Watch)
}

// If the balancer requests a watch during one that was opened because of a new address, the request must be dropped
// when that watch ends: the balancer is notified of the end, and makes another request after its backoff.
func TestRequestDuringAWatchIsVoidAtItsEnd(t *testing.T) {
	one, two := testkit.NewScriptedList(t), testkit.NewScriptedList(t)
	waiting := make(chan int, 1)
	d, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Mode: "subscribe", Discovery: one.Addr}), func(d *listWatcher) {
		post := d.post
		d.post = func(e any) {
			waiting <- len(d.watchRequests)
			post(e)
		}
	})
	d.moveTo(two.Addr)
	w := testkit.Receive(t, "watch at the new address", two.Watch)
	d.subscribe() // as the balancer does at the end of the backoff after its last failure
	close(w.Fail)
	if n := testkit.Receive(t, "requests that wait", waiting); n != 0 {
		t.Error("a request is left that opens a watch without a backoff")
	}
	testkit.Receive(t, "failure", events)
	d.subscribe()
	testkit.Receive(t, "requested watch", two.Watch)
}

// Discovery is down, then available just long enough to send one list, down again, and then available permanently: the
// list of the short recovery must be used, and the next watch must continue from its version. The agent makes calls
// during all of this time.
func TestListOfABriefRecoveryCounts(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			addr := testkit.ReservedAddr(t)
			d, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Mode: mode, Discovery: addr}), nil)
			failed := func(times int) {
				t.Helper()
				for range times {
					if d.cfg.Settings.Subscribe {
						d.subscribe()
					}
					if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
						t.Errorf("%+v", e)
					}
				}
			}
			// back makes discovery serve one call completely; after that discovery is down again.
			back := func(since string, version int, state string) {
				t.Helper()
				ln, err := net.Listen("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				if d.cfg.Settings.Subscribe {
					d.subscribe()
				}
				c, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				ln.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil || req.URL.Query().Get("since") != since {
					t.Errorf("%v, %v", req, err)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s\n", listLine(version, true, state))
				c.Close()
				if e := testkit.Receive(t, "list", events); e.Kind != decide.ListFull || len(e.Backends) != 1 || (e.Backends[0].State == decide.Up) != (state == "ready") {
					t.Errorf("%+v", e)
				}
				if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
					t.Errorf("%+v", e)
				}
			}
			failed(3)
			back("41", 42, "ready")
			failed(3)
			back("42", 43, "draining")
		})
	}
}

// If the network to the discovery service fails, connections are not closed: a watch without heartbeats must count as
// failed.
func TestWatchWithoutHeartbeatEnds(t *testing.T) {
	c := testkit.NewScriptedList(t)
	_, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Discovery: c.Addr}), func(d *listWatcher) {
		d.heartbeatTimeout = 50 * time.Millisecond
	})
	testkit.Receive(t, "watch", c.Watch)
	if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
		t.Errorf("%+v", e)
	}
	testkit.Receive(t, "second watch", c.Watch)
}

func TestListIsTranslated(t *testing.T) {
	cfg := testConfig(t, testkit.ConfigOptions{})
	clk := newClock()
	d := newListWatcher(cfg, clk, nil, testkit.DiscardLogger)
	at := time.Now().Add(-3 * time.Second)
	e := d.translate(&discovery.Update{Servers: []discovery.Server{
		{ID: "new", Addr: "127.0.0.1:9", State: "ready", Started: at.UnixMilli()},
		{ID: "old", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "odd", Addr: "nowhere", State: "ready"},
		{ID: "", Addr: "127.0.0.1:9", State: "ready"},
		{ID: "what", Addr: "127.0.0.1:9", State: "asleep"},
	}}, decide.ListFull)
	if len(e.Backends) != 2 {
		t.Fatalf("%+v", e.Backends)
	}
	// This server started before the agent. It may still be in slow start, so that it must not count as started long
	// ago.
	age := clk.now() - e.Backends[0].Started
	if e.Backends[0].Started <= 0 || age < 3*time.Second || age > 3*time.Second+testkit.EventTimeout {
		t.Errorf("started %v ago", age)
	}
	if e.Backends[1].Started != 0 || e.Backends[1].Zone != -1 {
		t.Errorf("%+v", e.Backends[1])
	}
}

// A reload with a new address must move the watch at once, also during the balancer's backoff, and request the complete
// list; the balancer is not notified of a failure. A reload with the same address must have no effect.
func TestWatchFollowsTheAddress(t *testing.T) {
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			one, two, three := testkit.NewScriptedList(t), testkit.NewScriptedList(t), testkit.NewScriptedList(t)
			d, events := runListWatcher(t, testConfig(t, testkit.ConfigOptions{Mode: mode, Discovery: one.Addr}), nil)
			if mode == "subscribe" {
				d.subscribe()
			}
			w := testkit.Receive(t, "watch", one.Watch)
			w.Lines <- listLine(42, true, "ready")
			testkit.Receive(t, "list", events)
			d.moveTo(one.Addr)
			d.moveTo(two.Addr)
			w = testkit.Receive(t, "watch at the new address", two.Watch)
			if w.Since != "0" {
				t.Errorf("since %q: a version of another service", w.Since)
			}
			w.Lines <- listLine(7, true, "draining")
			if e := testkit.Receive(t, "list of the new address", events); e.Kind != decide.ListFull || e.Backends[0].State != decide.Draining {
				t.Errorf("%+v", e)
			}
			close(w.Lines)
			if e := testkit.Receive(t, "failure", events); e.Kind != decide.ListFailed {
				t.Errorf("%+v", e)
			}
			d.moveTo(three.Addr)
			testkit.Receive(t, "watch at the third address", three.Watch)
			if len(one.Watch) != 0 {
				t.Error("the first address was asked again")
			}
		})
	}
}

// However many watches of a pushed list have failed in a row, the agent must open the next one well within the drain
// grace, because a drain in the list counts as notified from discovery's recovery on. There must be a pause before each
// call.
func TestReconnectBackoffStaysWithinTheDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, time.Minute} {
		for failures := range 100 {
			switch wait := reconnectCeiling(failures, grace); {
			case wait <= 0 || wait > discovery.MaxReconnectBackoff:
				t.Errorf("grace %v, %d failures: %v", grace, failures, wait)
			case wait > max(discovery.MinReconnectBackoff, grace/4):
				t.Errorf("grace %v, %d failures: %v is too long for the grace", grace, failures, wait)
			case failures > 0 && wait < discovery.MinReconnectBackoff:
				t.Errorf("grace %v, %d failures: %v is too short", grace, failures, wait)
			}
		}
	}
}
