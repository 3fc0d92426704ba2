package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// client is one connection to the agent.
type client struct {
	t  *testing.T
	c  net.Conn
	in *bufio.Reader
}

func (r *runningAgent) connect(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(path string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.c, "GET %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", path, newID()); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse returns the status of the next response, and whether it is the connection's last.
func (c *client) readResponse() (status int, last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, resp.Close
}

// expectEnd waits until the agent has closed the connection, and expects no further bytes on it.
func (c *client) expectEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Errorf("%q %v before the end", rest, err)
	}
}

// When an operator drains the agent, the health check fails at once, requests on open connections are served, and
// every connection is closed, including idle ones and those that never sent a request. When the operator ends the
// drain, everything is as before, and the process keeps running.
func TestManualDrainRunsToItsEnd(t *testing.T) {
	hold := make(chan struct{})
	came := make(chan struct{}, 10)
	ln := testkit.Listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			came <- struct{}{}
			<-hold
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	b := &standIn{addr: ln.Addr().String()}
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{b.member("s")}}))
	idle, busy, silent, late := a.connect(t), a.connect(t), a.connect(t), a.connect(t)
	for _, c := range []*client{idle, late} {
		c.send("/get/x")
		if status, last := c.readResponse(); status != 200 || last {
			t.Fatalf("before: %d, last %v", status, last)
		}
	}
	busy.send("/get/slow")
	testkit.Receive(t, "request", came)
	if x := a.do("GET", "/_health", ""); x.status != 200 {
		t.Fatalf("health before: %d", x.status)
	}
	a.Agent.SetDrained(true)
	a.Agent.SetDrained(true) // a second call has no effect
	if x := a.do("GET", "/_health", ""); x.status != 503 {
		t.Errorf("health while drained: %d", x.status)
	}
	late.send("/get/x")
	if status, last := late.readResponse(); status != 200 || !last {
		t.Errorf("on an open connection: %d, last %v", status, last)
	}
	late.expectEnd()
	idle.expectEnd()
	silent.expectEnd()
	close(hold)
	if status, last := busy.readResponse(); status != 200 || !last {
		t.Errorf("request in flight: %d, last %v", status, last)
	}
	busy.expectEnd()
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("a new connection while drained: %d", x.status)
	}
	a.Agent.SetDrained(false)
	if x := a.do("GET", "/_health", ""); x.status != 200 {
		t.Errorf("health afterwards: %d", x.status)
	}
	again := a.connect(t)
	again.send("/get/x")
	if status, last := again.readResponse(); status != 200 || last {
		t.Errorf("afterwards: %d, last %v", status, last)
	}
	select {
	case err := <-a.done:
		t.Errorf("the agent ended: %v", err)
	default:
	}
}

// A server that an operator has disabled does not even get a request that was assigned to it before and that still
// waits for a dial.
func TestDisablingServerWhileDiallingPreventsSend(t *testing.T) {
	b, other := serveRaw(t, func(int) string { return ok200 }), serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{b.member("s")}}))
	dialled, hold := make(chan struct{}, 1), make(chan struct{})
	plain := a.connPool.dialer
	a.connPool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == b.addr {
			dialled <- struct{}{}
			<-hold
		}
		return plain(ctx, network, addr)
	}
	got := make(chan exchange, 1)
	go func() { got <- a.do("POST", "/pay/x", "form") }()
	testkit.Receive(t, "dial", dialled)
	ctx, cancel := context.WithTimeout(context.Background(), testkit.EventTimeout)
	defer cancel()
	if known, err := a.SetServerDisabled(ctx, "s", true); !known || err != nil {
		t.Fatalf("%v %v", known, err)
	}
	close(hold)
	x := testkit.Receive(t, "answer", got)
	if x.status != 503 || len(b.seen) != 0 || len(other.seen) != 0 {
		t.Errorf("%d, %d requests sent to the disabled server", x.status, len(b.seen))
	}
	if known, err := a.SetServerDisabled(ctx, "nobody", true); known || err != nil {
		t.Errorf("an unknown server: %v %v", known, err)
	}
	if known, err := a.SetServerDisabled(ctx, "s", false); !known || err != nil {
		t.Errorf("enabled again: %v %v", known, err)
	}
	// The server is cold when it is enabled again. On a slow machine a request may have less time left than the one
	// before it, which makes it look like a client's retry; such a request is refused at once if only cold servers
	// could get it. Nothing was sent then, and a retry is harmless.
	refused := 0
	testkit.WaitFor(t, "the enabled server to serve", func() bool {
		x := a.do("POST", "/pay/x", "form")
		if x.status == 503 && len(b.seen) == 0 {
			refused++
			return false
		}
		if x.status != 200 || len(b.seen) != 1 {
			t.Fatalf("enabled again, after %d refusals: %d, %d sent", refused, x.status, len(b.seen))
		}
		return true
	})
}

// The status counts the answers that clients got and the requests that servers were sent.
func TestMetricsAreReported(t *testing.T) {
	n := 0
	b := serveRaw(t, func(k int) string {
		if n++; k == 2 {
			return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
		}
		return ok200
	})
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{b.member("s")}}))
	for range 2 {
		a.do("GET", "/get/x", "")
	}
	a.do("POST", "/pay/x", "form") // the server responds 500: the request fails, and is not retried
	a.do("POST", "/pay/x", "form")
	a.do("POST", "/pay/x", "form", "X-Trace-Id", "") // invalid: it does not count as a request
	f := a.Status(testkit.EventTimeout)
	want := map[string]core.ClassStatus{"get": {Name: "get", Answered: 2, Sends: 2}, "put": {Name: "put"},
		"pay": {Name: "pay", Answered: 1, Errored: 1, Sends: 2}}
	for _, c := range f.Classes {
		if c != want[c.Name] {
			t.Errorf("%+v, want %+v", c, want[c.Name])
		}
	}
	if f.Open != 0 || f.Listed != 1 {
		t.Errorf("%d open, %d listed", f.Open, f.Listed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testkit.EventTimeout)
	defer cancel()
	if _, err := a.SetServerDisabled(ctx, "s", true); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the server to be counted as avoided", func() bool { return a.Status(testkit.EventTimeout).Avoided == 1 })
	if x := a.do("GET", "/get/x", ""); x.status != 503 {
		t.Errorf("with no server left: %d", x.status)
	}
	if f := a.Status(testkit.EventTimeout); f.Classes[0].Deferred != 1 || f.Listed != 1 {
		t.Errorf("%+v", f)
	}
}

// Two processes share the file descriptors of one: each opens fewer connections while the other one runs.
func TestLimitsAreHalvedBesideAnotherProcess(t *testing.T) {
	b := serveRaw(t, func(int) string { return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{b.member("s")}})
	a := start(t, cfg)
	total := a.connPool.maxConns
	a.SetOtherProcesses(1)
	a.connPool.mu.Lock()
	shared := a.connPool.maxConns
	a.connPool.mu.Unlock()
	if shared > total/2 || a.frontend.maxOpen.Load() > int64(core.ClientSockets(cfg.Sockets/2)) || a.bodyBudget.Free() > int64(cfg.BodyMemory()/2) {
		t.Errorf("%d of %d connections, %d requests, %d bytes", shared, total, a.frontend.maxOpen.Load(), a.bodyBudget.Free())
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("beside another process: %d", x.status)
	}
	a.SetOtherProcesses(0)
	if a.connPool.maxConns != total || a.bodyBudget.Free() != int64(cfg.BodyMemory()) {
		t.Errorf("alone again: %d of %d connections, %d bytes", a.connPool.maxConns, total, a.bodyBudget.Free())
	}
}
