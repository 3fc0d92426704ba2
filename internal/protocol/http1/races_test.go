package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// The tests of this file force the races that docs/design/crossings.md lists: they block a byte, a dial, a response or
// the loop, and release it at the critical moment.

// loopBlocker blocks an agent's loop at the step in which a request of its own arrives, until it is released.
type loopBlocker struct {
	blockAt atomic.Int64  // the loop blocks once it has received this many requests; 0: it does not block
	blocked chan struct{} // receives a value when the loop blocks
	resume  chan struct{} // lets the loop go on when closed
}

func blockableLoop(a *core.Agent) *loopBlocker {
	h := &loopBlocker{blocked: make(chan struct{}), resume: make(chan struct{})}
	a.SetStepHook(func(sum core.Totals) {
		if n := h.blockAt.Load(); n > 0 && sum.Requests >= n {
			h.blockAt.Store(0)
			h.blocked <- struct{}{}
			<-h.resume
		}
	})
	return h
}

// stop returns once the loop is blocked.
func (h *loopBlocker) stop(t *testing.T, r *runningAgent) {
	t.Helper()
	h.blockAt.Store(r.Totals().Requests + 1)
	go r.do("GET", "/get/x", "")
	testkit.Receive(t, "block of the loop", h.blocked)
}

func headOf(class, id string, more ...string) string {
	lines := append([]string{"GET /" + class + "/x HTTP/1.1", "Host: a", "X-Trace-Id: " + id}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// write sends text unchanged.
func (c *client) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readers returns how many client connections have a reader.
func (r *runningAgent) readers() int {
	r.frontend.mu.Lock()
	defer r.frontend.mu.Unlock()
	return len(r.frontend.conns)
}

// watchOverflow sends on end when a client's reader has more bytes of the next requests than are buffered, and counts
// the reader's pauses in pauses.
func watchOverflow(a *runningAgent) (end chan struct{}, pauses *atomic.Int64) {
	end, pauses = make(chan struct{}, 100), &atomic.Int64{}
	a.frontend.overflowHook = func(pause bool) {
		if pause {
			pauses.Add(1)
		} else {
			end <- struct{}{}
		}
	}
	return end, pauses
}

// The loop rejects a request whose ID another request has. Its client may have disconnected by then.
func TestDuplicateMayDisconnectBeforeItsResponse(t *testing.T) {
	release := make(chan struct{})
	s := serveRaw(t, func(int) string { <-release; return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}})
	var loop *loopBlocker
	a := startParts(t, cfg, core.Options{}, func(a *core.Agent) { loop = blockableLoop(a) })
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "", "X-Trace-Id", "same") }()
	testkit.Receive(t, "first request", s.seen)
	loop.stop(t, a)
	before := a.readers()
	again := a.connect(t)
	again.write(headOf("get", "same"))
	testkit.WaitFor(t, "the second request", func() bool { return a.OpenRequests() == 3 })
	reset(again.c)
	testkit.WaitFor(t, "the end of its reader", func() bool { return a.readers() == before })
	close(loop.resume)
	close(release)
	if x := testkit.Receive(t, "first response", first); x.status != 200 {
		t.Errorf("first: %+v", x)
	}
}

// The disconnect of a client that has sent more bytes after its waiting request is detected: the request reaches no
// server.
func TestPipeliningClientThatDisconnectsIsNotServed(t *testing.T) {
	junk := strings.Repeat("x", 4<<10)
	for name, more := range map[string]string{
		"nothing": "", "part of a head": "GET /get/y HTTP/1.1\r\nHo", "a request": headOf("get", "behind"),
		"a request and a part": headOf("get", "behind") + "POST", "a head too long": "GET /" + strings.Repeat(junk, 6),
		"a request and a body that has not come": "POST /put/y HTTP/1.1\r\nHost: a\r\nX-Trace-Id: b\r\nIdempotency-Key: k\r\nContent-Length: 60000\r\n\r\n" + junk,
		"a flood":                                headOf("get", "behind") + strings.Repeat(junk, maxDropped/len(junk)+20),
	} {
		for how, disconnect := range map[string]func(net.Conn){"close": func(c net.Conn) { c.Close() }, "reset": reset} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				s := serveRaw(t, func(int) string { return ok200 })
				var loop *loopBlocker
				a := startParts(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}), core.Options{},
					func(a *core.Agent) { loop = blockableLoop(a) })
				loop.stop(t, a)
				before := a.readers()
				c := a.connect(t)
				c.write(headOf("get", "waits"))
				testkit.WaitFor(t, "the request", func() bool { return a.OpenRequests() == 2 })
				c.write(more)
				disconnect(c.c)
				testkit.WaitFor(t, "the end of its reader", func() bool { return a.readers() == before })
				close(loop.resume)
				testkit.WaitFor(t, "the other request's response", func() bool { return a.Totals().Served == 1 })
				if id := testkit.Receive(t, "request at the server", s.seen); id == "waits" || len(s.seen) != 0 {
					t.Errorf("request %q and %d more reached the server", id, len(s.seen))
				}
				if got := a.Totals(); got.ClientDisconnects != 1 || got.Requests != 2 {
					t.Errorf("%+v", got)
				}
			})
		}
	}
}

// startBusyAgent starts a server that responds only after release is closed, and an agent that has sent it as many
// requests as the server may have in flight.
func startBusyAgent(t *testing.T) (a *runningAgent, s *standIn, release chan struct{}, answers chan exchange) {
	t.Helper()
	release = make(chan struct{})
	s = serveRaw(t, func(int) string { <-release; return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}})
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Objective = cfg.Settings.Classes[i].Deadline // lets requests wait for long
	}
	a = start(t, cfg)
	answers = make(chan exchange, 100)
	const maxInFlight = 6 // the balancer's initial limit for one server
	for range maxInFlight {
		go func() { answers <- a.do("GET", "/get/x", "") }()
	}
	for range maxInFlight {
		testkit.Receive(t, "request at the server", s.seen)
	}
	return a, s, release, answers
}

// The disconnect of a client is also detected while its upload waits for a server and its reader does not read.
func TestClientThatDisconnectsDuringUploadIsNotServed(t *testing.T) {
	for how, disconnect := range map[string]func(net.Conn){"close": func(c net.Conn) { c.Close() }, "reset": reset} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			a, s, release, answers := startBusyAgent(t)
			c := a.connect(t)
			c.write(fmt.Sprintf("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: up\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s",
				maxBufferedBody+1, strings.Repeat("x", 10<<10)))
			testkit.WaitFor(t, "the upload", func() bool { return a.frontend.openUploads.Load() == 1 })
			disconnect(c.c)
			testkit.WaitFor(t, "the disconnect", func() bool { return a.Totals().ClientDisconnects == 1 })
			close(release)
			for range 6 {
				if x := testkit.Receive(t, "answer", answers); x.status != 200 {
					t.Errorf("%+v", x)
				}
			}
			if got := a.Totals(); got.Attempts != 6 || len(s.seen) != 0 {
				t.Errorf("%+v, %d more requests reached the server", got, len(s.seen))
			}
		})
	}
}

// The bytes of a disconnected client are no more than the systems buffer, and its reader reads them without a pause.
func TestFloodOfDisconnectedClientIsDrainedAtOnce(t *testing.T) {
	t.Parallel()
	a, s, release, answers := startBusyAgent(t)
	_, pauses := watchOverflow(a)
	c := a.connect(t)
	c.write(headOf("get", "left"))
	testkit.WaitFor(t, "the request", func() bool { return a.OpenRequests() == 7 })
	c.write(strings.Repeat("x", 10<<20)) // the sizes of Linux's receive and send buffers together
	c.c.Close()
	testkit.WaitFor(t, "the disconnect", func() bool { return a.Totals().ClientDisconnects == 1 })
	close(release)
	for range 6 {
		testkit.Receive(t, "answer", answers)
	}
	if got := a.Totals(); pauses.Load() != 0 || got.Attempts != 6 || len(s.seen) != 0 {
		t.Errorf("%d pauses; %+v, %d more requests reached the server", pauses.Load(), got, len(s.seen))
	}
}

// A client that sends more bytes after its request and stays connected gets its complete response. If the further
// bytes can't be buffered, the connection is then closed; otherwise its next request is served, too.
func TestPipeliningClientThatStaysConnectedIsServed(t *testing.T) {
	for name, more := range map[string]struct {
		text   string
		status []int // the statuses of the responses that arrive
	}{
		"a request":           {headOf("get", "behind"), []int{200, 200}},
		"a request in pieces": {"GET /get/y HTTP/1.1\r\nHost: a\r\nX-Trace-Id: pie", []int{200, 200}},
		"a head too long":     {"GET /" + strings.Repeat("x", 24<<10), []int{200, 431}},
		"a flood":             {headOf("get", "behind") + strings.Repeat("x", maxDropped+100<<10), []int{200}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, release, answers := startBusyAgent(t)
			end, _ := watchOverflow(a)
			c := a.connect(t)
			c.write(headOf("get", "first"))
			testkit.WaitFor(t, "the request", func() bool { return a.OpenRequests() == 7 })
			c.write(more.text)
			if len(more.status) == 1 {
				testkit.Receive(t, "a reader with more bytes than are buffered", end)
			}
			close(release)
			for range 6 {
				testkit.Receive(t, "answer", answers)
			}
			for n, want := range more.status {
				if status, last := c.readResponse(); status != want || last != (len(more.status) == 1 || want == 431) {
					t.Errorf("response %d: %d, last %v", n, status, last)
				}
				if n == 0 && name == "a request in pieces" {
					c.write("ces\r\n\r\n")
				}
			}
			if last := more.status[len(more.status)-1]; last == 431 || len(more.status) == 1 {
				c.expectEnd()
				more.status = more.status[:1]
			}
			if n := len(s.seen); n != len(more.status) {
				t.Errorf("%d requests reached the server", n)
			}
		})
	}
}

// The last byte of a streamed response reaches the client before the loop has recorded the response's end. By then the
// client may send its next request, which may be larger than the buffer: it is read when its turn comes, and no byte
// of it is dropped.
func TestRequestBehindLastByteOfStreamIsServed(t *testing.T) {
	last := make(chan struct{})
	ln := testkit.Listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("X-Trace-Id") == "first" {
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 99_999))
			_ = http.NewResponseController(w).Flush()
			<-last
			_, _ = w.Write([]byte("l"))
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	s := &standIn{addr: ln.Addr().String()}
	var loop *loopBlocker
	a := startParts(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}), core.Options{},
		func(a *core.Agent) { loop = blockableLoop(a) })
	end, _ := watchOverflow(a)
	c := a.connect(t)
	c.write(headOf("get", "first"))
	if _, err := c.in.Peek(1); err != nil { // the response is being streamed
		t.Fatal(err)
	}
	loop.stop(t, a)
	close(last)
	if status, last := c.readResponse(); status != 200 || last {
		t.Fatalf("%d, last %v", status, last)
	}
	c.write("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: next\r\nIdempotency-Key: k\r\nContent-Length: 90000\r\n\r\n")
	c.write(strings.Repeat("b", 90_000))
	testkit.Receive(t, "a reader with more bytes than are buffered", end)
	close(loop.resume)
	if status, last := c.readResponse(); status != 200 || last {
		t.Errorf("the next request: %d, last %v", status, last)
	}
}

// While an agent stops, the response to an admitted request arrives completely, even if the client keeps sending:
// further requests, which are not forwarded, or more bytes than the agent reads.
func TestLastResponseOfStoppingAgentIsComplete(t *testing.T) {
	for name, more := range map[string]string{
		"nothing": "", "a request": headOf("get", "behind"), "part of one": "GET /get", "much": strings.Repeat("x", 200<<10),
	} {
		for when, early := range map[string]bool{"before the stop": true, "after its answer": false} {
			t.Run(name+" "+when, func(t *testing.T) {
				t.Parallel()
				release := make(chan struct{})
				s := serveRaw(t, func(int) string { <-release; return ok200 })
				a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
				c := a.connect(t)
				c.write(headOf("get", "first"))
				testkit.Receive(t, "request", s.seen)
				if early {
					c.write(more)
				}
				a.stop()
				testkit.WaitFor(t, "the stop", func() bool { return a.draining.Load() })
				close(release)
				if status, last := c.readResponse(); status != 200 || !last {
					t.Errorf("%d, last %v", status, last)
				}
				if !early {
					_, _ = io.WriteString(c.c, more) // the connection may have ended by now
				}
				c.expectEnd()
				if err := testkit.Receive(t, "end of the agent", a.done); err != nil || len(s.seen) != 0 {
					t.Errorf("%v, %d more requests reached the server", err, len(s.seen))
				}
			})
		}
	}
}

// The deadline of a pipelined request counts while the response ahead of it is awaited: its server gets the client's
// remaining time, and a request whose deadline has passed when its turn comes reaches no server and is answered at
// once.
func TestDeadlineOfPipelinedRequestRunsWhileItWaits(t *testing.T) {
	var lastExpiresIn atomic.Value // the X-Expires-In of the last attempt
	read, release := make(chan time.Time, 1), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Trace-Id") == "ahead" {
			read <- time.Now() // by now the agent has read the bytes that arrived with this request
			<-release
			return
		}
		lastExpiresIn.Store(r.Header.Get("X-Expires-In"))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(sync.OnceFunc(func() { close(release) }))
	member := discovery.Server{ID: "s", Addr: server.Listener.Addr().String(), Zone: "a", Kind: "m1", State: "ready", Weight: 1}
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{member}}))
	c := a.connect(t)
	c.write(headOf("get", "ahead") + headOf("get", "late", "X-Expires-In: 0.05") + headOf("get", "behind", "X-Expires-In: 20"))
	from := testkit.Receive(t, "request ahead", read)
	wait := time.NewTimer(200 * time.Millisecond)
	<-wait.C
	waited := time.Since(from)
	release <- struct{}{}
	if got, _ := c.readResponse(); got != 200 {
		t.Fatalf("the request ahead: %d", got)
	}
	if got, _ := c.readResponse(); got != http.StatusServiceUnavailable {
		t.Errorf("the request whose deadline has passed: %d", got)
	}
	if got, _ := c.readResponse(); got != 200 {
		t.Errorf("the request with time left: %d", got)
	}
	left, err := strconv.ParseFloat(lastExpiresIn.Load().(string), 64)
	if most := 20 - waited.Seconds() + 0.0005; err != nil || left > most {
		t.Errorf("the server was told %v s (%v), at most %v s were left", left, err, most)
	}
}
