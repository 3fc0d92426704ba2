package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/testkit"
)

func TestInstancesShareOneListWatch(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(fmt.Sprintf("[[template]]\nname = \"i{n}\"\nlisten = \"unix:%s/i{n}.sock\"\ncount = 40\n", tb.dir))
	r := tb.start(Options{})
	for i := range 40 {
		name := fmt.Sprint("i", i)
		eventually(t, name+" knows a server", func() bool {
			status, _, err := sendRequest(client(tb.socketPath(name), false), "get")
			return err == nil && status == 200
		})
	}
	if n := tb.list.Calls(); n != 1 {
		t.Errorf("%d watches of the list for 40 instances, want 1", n)
	}
	st, _ := r.Status()
	if st.Ready != 40 || st.Totals.Served < 40 || st.Lists[0].Readers != 40 {
		t.Errorf("status %+v", st)
	}
	if resp, err := client(tb.socketPath("admin"), false).Get("http://x/_health"); err != nil || resp.StatusCode != 200 {
		t.Errorf("health: %v %v", resp, err)
	} else {
		resp.Body.Close()
	}
	if err := r.end(); err != nil {
		t.Error(err)
	}
	tb.list.Close()
}

// A panic in one instance ends only that instance. The requests that it had admitted fail, and it is started again.
// The other instances lose no requests.
func TestPanicEndsOnlyItsInstance(t *testing.T) {
	s, received, release := newHoldingServer()
	defer s.Close()
	defer release()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("bad", "good"))
	var mustPanic atomic.Bool
	r := tb.start(Options{Fault: func(name string) func(core.Totals) {
		if name != "bad" {
			return nil
		}
		return func(core.Totals) {
			if mustPanic.CompareAndSwap(true, false) {
				panic("brought about")
			}
		}
	}})
	type answer struct {
		status int
		err    error
	}
	for _, n := range []string{"bad", "good"} {
		tb.expectServed(n)
	}
	answers := map[string]chan answer{"bad": make(chan answer, 5), "good": make(chan answer, 5)}
	for name, out := range answers {
		for range 5 {
			go func() {
				status, _, err := sendRequest(client(tb.socketPath(name), false), "pay")
				out <- answer{status, err}
			}()
		}
	}
	for range 10 {
		select {
		case <-received:
		case <-time.After(testTimeout):
			t.Fatal("requests did not arrive")
		}
	}
	mustPanic.Store(true)
	go func() { _, _, _ = sendRequest(client(tb.socketPath("bad"), false), "pay") }() // makes the agent's loop run a step
	for range 5 {
		select {
		case a := <-answers["bad"]:
			if a.err != nil || a.status != http.StatusBadGateway {
				t.Errorf("a request that the instance had admitted before its panic: %d %v, want 502", a.status, a.err)
			}
		case <-time.After(testTimeout):
			t.Fatal("a request that the instance had admitted was never answered")
		}
	}
	release()
	for range 5 {
		if a := <-answers["good"]; a.err != nil || a.status != 200 {
			t.Errorf("a request of the other instance: %d %v", a.status, a.err)
		}
	}
	eventually(t, "the instance serves again", func() bool {
		status, _, err := sendRequest(client(tb.socketPath("bad"), false), "get")
		return err == nil && status == 200
	})
	st, _ := r.Status()
	if st.Instances[0].Failures != 1 || !strings.Contains(st.Instances[0].Reason, "brought about") || st.Instances[1].Failures != 0 {
		t.Errorf("status of the instances: %+v", st.Instances)
	}
}

// An instance that keeps failing is left down, and the status shows that. Connections to it are refused. A reload
// starts it again.
func TestInstanceThatKeepsFailingIsLeftDown(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("bad", "good"))
	var failing atomic.Bool
	failing.Store(true)
	r := tb.start(Options{Fault: func(name string) func(core.Totals) {
		return func(core.Totals) {
			if name == "bad" && failing.Load() {
				panic("every time")
			}
		}
	}})
	down := func() bool { st, _ := r.Status(); return st.Down == 1 }
	eventually(t, "the instance is left down", down)
	if _, _, err := sendRequest(client(tb.socketPath("bad"), false), "get"); err == nil {
		t.Error("an instance that is down accepts connections")
	}
	tb.expectServed("good")
	resp, err := client(tb.socketPath("admin"), false).Get("http://x/_health")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), "bad: down") {
		t.Errorf("health: %d %s", resp.StatusCode, body)
	}
	if n := tb.log.count("left down"); n != 1 {
		t.Errorf("%d log lines say that the instance is left down, want 1", n)
	}
	failing.Store(false)
	if res, err := r.Reload(); err != nil || res.Revived != 1 {
		t.Errorf("reload: %+v %v", res, err)
	}
	eventually(t, "the instance serves after a reload", func() bool {
		status, _, err := sendRequest(client(tb.socketPath("bad"), false), "get")
		return err == nil && status == 200
	})
}

// An instance whose clients use up all its sockets does not take sockets from other instances.
func TestInstanceOutOfSocketsDoesNotStarveOthers(t *testing.T) {
	s := standin.NewFormServer("s", nil)
	defer s.Close()
	tb := newTestbed(t, s.Member("ready"))
	path := tb.writeConfig(tb.instanceText("flooded", "quiet"))
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, tb.dir, strings.Replace(string(text), "sockets = 10000", fmt.Sprintf("sockets = %d", daemonconfig.ReservedSockets+6+2*daemonconfig.MinSocketShare), 1))
	tb.start(Options{})
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for range 4 * daemonconfig.MinSocketShare { // these connections send nothing, and most wait in the kernel's queue
		c, err := net.DialTimeout("unix", tb.socketPath("flooded"), time.Second)
		if err != nil {
			break
		}
		held = append(held, c)
	}
	for range 50 {
		tb.expectServed("quiet")
	}
}

func TestServerCountMayJump(t *testing.T) {
	var many []discovery.Server
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })}
	defer server.Close()
	for i := range 1000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(ln) }()
		many = append(many, discovery.Server{ID: fmt.Sprint("s-", i), Addr: ln.Addr().String(), Zone: "a", Kind: "k", State: "ready"})
	}
	tb := newTestbed(t, many[:10]...)
	tb.writeConfig(tb.instanceText("a"))
	r := tb.start(Options{})
	tb.expectServed("a")
	tb.list.Set(many...)
	eventually(t, "the daemon has the new list", func() bool { st, _ := r.Status(); return st.Lists[0].Servers == 1000 })
	for range 30 {
		tb.expectServed("a")
	}
}

// The end of a removed instance's agent is not mistaken for the end of the agent of a new instance with the same
// name. The fault: agents were identified by a counter that started again with each instance, so the first agent of
// the new instance had the same number as the first agent of the removed one. When the old agent ended, the daemon
// forgot the agent that served: no reload replaced it, and a stop never ended it. After 25 removals, a goroutine dump
// of a daemon that did not end showed eight agents in core.(*Agent).Run that waited for a stop.
func TestEndOfARemovedInstanceDoesNotAffectANewOneOfItsName(t *testing.T) {
	s, received, release := newHoldingServer()
	defer s.Close()
	defer release()
	tb := newTestbed(t, s.Member("ready"))
	tb.writeConfig(tb.instanceText("a", "b"))
	r := tb.start(Options{})
	answered := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(client(tb.socketPath("b"), false), "pay")
		answered <- err
	}()
	testkit.Receive(t, "the request", received)
	for _, names := range [][]string{{"a"}, {"a", "b"}} {
		tb.writeConfig(tb.instanceText(names...))
		if _, err := r.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	running := func() (agent *core.Agent) {
		r.call(func() { agent = r.instances["b"].agent })
		return agent
	}
	before := running()
	release()
	if err := testkit.Receive(t, "the answer", answered); err != nil {
		t.Error(err)
	}
	eventually(t, "the removed instance's agent ends", func() bool {
		agents := 0
		r.rangeAgents(func(agentHandle) { agents++ })
		return agents == 2
	})
	r.call(func() {}) // returns after the function that the agent's end posted
	if now := running(); now == nil || now != before {
		t.Errorf("the daemon has %p as b's agent, but %p serves", now, before)
	}
	tb.expectServed("b")
	if err := r.end(); err != nil {
		t.Error(err)
	}
}
