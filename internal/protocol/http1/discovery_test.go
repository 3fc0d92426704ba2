package http1

import (
	"bufio"
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

// An agent that starts while discovery is down uses its stored endpoint list. Once discovery is back, the agent
// follows it, and sends no new requests to a server that then drains.
func TestAgentServesWhileDiscoveryIsDown(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	c := testkit.NewScriptedList(t)
	a := start(t, testConfig(t, testkit.ConfigOptions{Mode: "subscribe", Discovery: c.Addr, Servers: []discovery.Server{one.member("one")}}))
	close(testkit.Receive(t, "watch", c.Watch).Fail)
	if x := a.do("GET", "/_health", ""); x.status != 200 {
		t.Errorf("health %+v", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || len(one.seen) != 1 {
		t.Errorf("%+v", x)
	}
	w := testkit.Receive(t, "second watch", c.Watch)
	drained := one.member("one")
	drained.State = "draining"
	w.Lines <- testkit.EncodeWatchLine(t, 42, drained, two.member("two"))
	a.waitListed(t, "two")
	expectNoRequests(t, a, one)
}

// expectNoRequests makes requests, and fails the test if any of them reaches server s.
func expectNoRequests(t *testing.T, a *runningAgent, s *standIn) {
	t.Helper()
	before := len(s.seen)
	for range 20 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("%+v", x)
		}
	}
	// A request may be on its way to the loop while a change is applied, but none was here.
	if n := len(s.seen) - before; n != 0 {
		t.Errorf("%d requests went to a server that drains or is not in the list", n)
	}
}

// An agent without an endpoint list is not ready. It becomes ready with the first list.
func TestNotReadyWithoutServers(t *testing.T) {
	c := testkit.NewScriptedList(t)
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Mode: "subscribe", Discovery: c.Addr}))
	w := testkit.Receive(t, "watch", c.Watch)
	if x := a.do("GET", "/_health", ""); x.status != 503 {
		t.Errorf("health %+v", x)
	}
	w.Lines <- testkit.EncodeWatchLine(t, 1, s.member("s"))
	testkit.WaitFor(t, "health", func() bool { return a.do("GET", "/_health", "").status == 200 })
}

// Several calls to discovery fail, each in the same way. The next call returns the full list, indented and in pieces;
// the list leaves out a server that drains and still responds. The agent applies the list soon, however long the
// settings allow between calls, and sends nothing more to that server. A call that hangs is abandoned.
func TestListAfterFailedCalls(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	faults := map[string]func(c net.Conn){
		"503":                  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"reset":                func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"ended without a list": func(c net.Conn) { io.WriteString(c, head) },
		"cut in an object":     func(c net.Conn) { io.WriteString(c, head+`{"version":42,"full":true,"servers":[`) },
		"hangs":                func(c net.Conn) { io.Copy(io.Discard, c) },
		"hangs in its head":    func(c net.Conn) { io.WriteString(c, head[:9]); io.Copy(io.Discard, c) },
		"stops sending":        func(c net.Conn) { io.WriteString(c, head+"\n\n"); io.Copy(io.Discard, c) },
	}
	for name, fault := range faults {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				one := serveRaw(t, func(int) string { return ok200 })
				two := serveRaw(t, func(int) string { return ok200 })
				ln := testkit.Listen(t)
				go func() {
					for n := 0; ; n++ {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						go func() {
							defer c.Close()
							if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
								return
							}
							if n < 4 {
								fault(c)
								return
							}
							_, _ = io.WriteString(c, head)
							list := fmt.Sprintf("{\n \"version\": 43,\n\n \"full\": true,\n \"servers\": [\n  {\n   \"id\": \"two\",\n"+
								"   \"addr\": %q,\n   \"state\": \"ready\"\n  }\n ]\n}\n", two.member("two").Addr)
							for _, line := range strings.SplitAfter(list, "\n") {
								_, _ = io.WriteString(c, line)
							}
							_, _ = io.Copy(io.Discard, c)
						}()
					}
				}()
				cfg := testConfig(t, testkit.ConfigOptions{Mode: mode, Discovery: ln.Addr().String(), Servers: []discovery.Server{one.member("one")}})
				cfg.Settings.SubscribeWithin = 1000 * time.Hour
				a := startParts(t, cfg, core.Options{HeartbeatTimeout: 200 * time.Millisecond}, nil)
				a.waitListed(t, "two")
				expectNoRequests(t, a, one)
			})
		}
	}
}
