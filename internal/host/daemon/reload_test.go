package daemon

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/standin"
)

func TestReloadAppliesDifferences(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	path := tb.writeConfig(tb.instanceText("a", "b", "c"))
	r := tb.start(Options{})
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	// A file with an error changes nothing.
	writeFile(t, tb.dir, string(before)+"[[instance]]\nname = \"a\"\nlisten = \"unix:/x\"\n")
	if _, err := r.Reload(); err == nil || !strings.Contains(err.Error(), `"a" is used twice`) {
		t.Error(err)
	}
	// A file with an address that can't be opened changes nothing either.
	writeFile(t, tb.dir, string(before)+"[[instance]]\nname = \"z\"\nlisten = \"unix:/no/such/place/z.sock\"\n"+tb.instanceText("y"))
	if _, err := r.Reload(); err == nil || !strings.Contains(err.Error(), "/no/such/place") {
		t.Error(err)
	}
	if _, err := os.Stat(tb.socketPath("y")); err == nil {
		t.Error("an address of a configuration that was not applied is open")
	}
	for _, n := range []string{"a", "b", "c"} {
		tb.expectServed(n)
	}
	// One instance is removed, one added, one replaced, and one stays unchanged.
	tb.writeConfig(tb.instanceText("a") + strings.Replace(tb.instanceText("b"), "\nlisten", "\nmax_open = 7\nlisten", 1) + tb.instanceText("d"))
	res, err := r.Reload()
	if err != nil || res != (ReloadResult{Added: 1, Removed: 1, Replaced: 1, Unchanged: 1}) {
		// The shares of sockets do not change, since the number of instances is the same.
		t.Errorf("reload: %+v %v", res, err)
	}
	for _, n := range []string{"a", "b", "d"} {
		eventually(t, n+" serves", func() bool {
			status, _, err := sendRequest(client(tb.socketPath(n), false), "get")
			return err == nil && status == 200
		})
	}
	if _, _, err := sendRequest(client(tb.socketPath("c"), false), "get"); err == nil {
		t.Error("a removed instance accepts connections")
	}
}

// Many reloads under load, each of which moves an address from one instance to another, lose no request and no
// connection attempt.
func TestReloadsLoseNoRequests(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	named := func(i int) string {
		return tb.instanceText("steady") + fmt.Sprintf("[[instance]]\nname = \"turn-%d\"\nlisten = \"unix:%s\"\n", i, tb.socketPath("turn"))
	}
	tb.writeConfig(named(0))
	r := tb.start(Options{})
	for _, n := range []string{"steady", "turn"} {
		eventually(t, n, func() bool {
			status, _, err := sendRequest(client(tb.socketPath(n), false), "get")
			return err == nil && status == 200
		})
	}
	stop := make(chan struct{})
	var asked, bad atomic.Int64
	var requesters sync.WaitGroup
	for _, n := range []string{"steady", "turn"} {
		for i := range 4 {
			c := client(tb.socketPath(n), i%2 == 0)
			requesters.Go(func() {
				defer c.CloseIdleConnections()
				for {
					select {
					case <-stop:
						return
					default:
					}
					asked.Add(1)
					// A kept connection may be closed between requests. net/http then sends the request again on
					// another one, as the protocol specifies for clients. A 503 is allowed: a new agent may have no
					// list of servers yet.
					if status, body, err := sendRequest(c, "get"); err != nil || status != 200 && status != 503 {
						bad.Add(1)
						t.Errorf("%s: %d %q %v", n, status, body, err)
					}
				}
			})
		}
	}
	for i := range 100 {
		tb.writeConfig(named(i + 1))
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	requesters.Wait()
	if asked.Load() < 100 {
		t.Errorf("only %d requests were sent", asked.Load())
	}
	if st, _ := r.Status(); st.Reloads != 100 || len(st.Instances) != 2 {
		t.Errorf("status %+v", st)
	}
}

// An instance that is removed answers everything that it has admitted.
func TestRemovedInstanceAnswersAdmittedRequests(t *testing.T) {
	s, received, release := newHoldingServer()
	defer s.Close()
	defer release()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a", "b"))
	r := tb.start(Options{})
	out := make(chan string, 1)
	go func() {
		status, body, err := sendRequest(client(tb.socketPath("b"), false), "pay")
		out <- fmt.Sprint(status, body, err)
	}()
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Fatal("the request did not arrive")
	}
	tb.writeConfig(tb.instanceText("a"))
	if res, err := r.Reload(); err != nil || res.Removed != 1 {
		t.Fatalf("reload: %+v %v", res, err)
	}
	release()
	if got := <-out; got != "200done<nil>" {
		t.Error(got)
	}
}

// If the address of a list changes, the running agent follows the new list and nothing drains. The old list, including
// the servers that it reports as draining, is used until the new one is received.
func TestSourceChangeKeepsConnections(t *testing.T) {
	one, two := standin.NewFormServer("one", nil), standin.NewFormServer("two", nil)
	defer one.Close()
	defer two.Close()
	tb := newTestbed(t, one.Member("ready"), two.Member("draining"))
	path := tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	tb.expectServed("a")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	other, err := standin.NewList("", two.Member("ready"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.SetDown(true)
	writeFile(t, tb.dir, strings.Replace(string(text), tb.list.Addr(), other.Addr(), 1))
	if res, err := r.Reload(); err != nil || res.Moved != 1 {
		t.Fatalf("reload: %+v %v", res, err)
	}
	for range 20 {
		tb.expectServed("a")
	}
	if two.Requests() > 0 {
		t.Error("a draining server got a request after the list's address changed")
	}
	other.SetDown(false)
	eventually(t, "the new list is followed", func() bool {
		_, body, _ := sendRequest(client(tb.socketPath("a"), false), "get")
		return body == "two"
	})
}

// Once a daemon has received that a server is draining, it sends no new request to it, even if the list service is
// down and reloads replace the agent.
func TestDrainingServerStaysOutAcrossReload(t *testing.T) {
	one, two := standin.NewFormServer("one", nil), standin.NewFormServer("two", nil)
	defer one.Close()
	defer two.Close()
	tb := newTestbed(t, one.Member("ready"), two.Member("ready"))
	tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	tb.expectServed("a")
	tb.list.Set(two.Member("draining"))
	eventually(t, "the agent knows that the server is draining", func() bool {
		n := two.Requests()
		for range 10 {
			tb.expectServed("a")
		}
		return two.Requests() == n
	})
	n := two.Requests()
	tb.list.SetDown(true)
	for i := range 5 {
		tb.writeConfig(strings.Replace(tb.instanceText("a"), "\nlisten", fmt.Sprintf("\nmax_open = %d\nlisten", 100+i), 1))
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			tb.expectServed("a")
		}
	}
	if two.Requests() != n {
		t.Errorf("%d requests were sent to a draining server after reloads", two.Requests()-n)
	}
}

// The daemon warns an operator who sets a key that has no effect. The fault: the key drain was accepted silently, and
// had no effect.
func TestKeyWithoutEffectIsNamed(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.head = `drain = "5s"`
	tb.writeConfig(tb.instanceText("a"))
	tb.start(Options{})
	if n := tb.log.count("the key drain has no effect"); n != 1 {
		t.Errorf("%d warnings, want 1", n)
	}
}
