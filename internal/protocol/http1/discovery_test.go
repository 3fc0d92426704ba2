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

// An agent that starts while discovery is down serves by its stored list, follows discovery once
// it is back, and sends nothing new to a backend that then drains.
func TestAgentServesWhileDiscoveryIsDown(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	c := testkit.NewCatalog(t)
	a := start(t, testConfig(t, testkit.Setup{Mode: "subscribe", Discovery: c.Addr, Servers: []discovery.Member{one.member("one")}}))
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
	w.Lines <- testkit.ToLine(t, 42, drained, two.member("two"))
	a.waitListed(t, "two")
	expectNoRequests(t, a, one)
}

// expectNoRequests has requests served by others than one server.
func expectNoRequests(t *testing.T, a *runningAgent, s *backend) {
	t.Helper()
	before := len(s.seen)
	for range 20 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("%+v", x)
		}
	}
	// One request may have been on its way to a step while the change was booked; none here was.
	if n := len(s.seen) - before; n != 0 {
		t.Errorf("%d requests went to a server that drains or is left out of the list", n)
	}
}

// With no list at all an agent is not ready, and becomes so with the first one.
func TestNotReadyWithoutServers(t *testing.T) {
	c := testkit.NewCatalog(t)
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.Setup{Mode: "subscribe", Discovery: c.Addr}))
	w := testkit.Receive(t, "watch", c.Watch)
	if x := a.do("GET", "/_health", ""); x.status != 503 {
		t.Errorf("health %+v", x)
	}
	w.Lines <- testkit.ToLine(t, 1, s.member("s"))
	testkit.WaitFor(t, "health", func() bool { return a.do("GET", "/_health", "").status == 200 })
}

// Calls to discovery fail again and again, each in the same way. The one after them brings the whole list, which leaves
// out a server that drains and still answers, indented and in pieces: it is soon there, however long the settings let an
// agent wait between calls, and nothing more goes to that server. A call that hangs is given up.
func TestListAfterFailedCalls(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
	fates := map[string]func(c net.Conn){
		"503":               func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"reset":             func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"ended untold":      func(c net.Conn) { io.WriteString(c, head) },
		"cut in an object":  func(c net.Conn) { io.WriteString(c, head+`{"version":42,"full":true,"servers":[`) },
		"hangs":             func(c net.Conn) { io.Copy(io.Discard, c) },
		"hangs in its head": func(c net.Conn) { io.WriteString(c, head[:9]); io.Copy(io.Discard, c) },
		"falls silent":      func(c net.Conn) { io.WriteString(c, head+"\n\n"); io.Copy(io.Discard, c) },
	}
	for name, fate := range fates {
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
								fate(c)
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
				cfg := testConfig(t, testkit.Setup{Mode: mode, Discovery: ln.Addr().String(), Servers: []discovery.Member{one.member("one")}})
				cfg.Settings.SubscribeWithin = 1000 * time.Hour
				a := startParts(t, cfg, core.Parts{HeartbeatTimeout: 200 * time.Millisecond}, nil)
				a.waitListed(t, "two")
				expectNoRequests(t, a, one)
			})
		}
	}
}
