package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

func TestRequestsAndResponsesPassUnchanged(t *testing.T) {
	ln := testkit.Listen(t)
	got := make(chan *http.Request, 1)
	body := make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got <- r
		body <- string(text)
		w.Header().Set("X-Store", "7")
		fmt.Fprint(w, "stored")
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	b := &standIn{addr: ln.Addr().String()}
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{b.member("s")}}))
	x := a.do("POST", "/put//x%2Fy?q=1;2&z", "form", "Idempotency-Key", "k1", "Cookie", "sid=1", "Connection", "X-Hop", "X-Hop", "1", "X-Expires-In", "40.5")
	if x.status != 200 || x.body != "stored" || x.header.Get("X-Store") != "7" {
		t.Fatalf("response %+v", x)
	}
	r := testkit.Receive(t, "request", got)
	if r.RequestURI != "/put//x%2Fy?q=1;2&z" || r.Method != "POST" || <-body != "form" {
		t.Errorf("%s %s", r.Method, r.RequestURI)
	}
	h := r.Header
	if h.Get("Idempotency-Key") != "k1" || h.Get("Cookie") != "sid=1" || h.Get("X-Trace-Id") == "" || h.Get("X-Hop") != "" {
		t.Errorf("header %v", h)
	}
	var left float64
	if _, err := fmt.Sscan(h.Get("X-Expires-In"), &left); err != nil || left <= 0 || left > 40.5 {
		t.Errorf("X-Expires-In %q", h.Get("X-Expires-In"))
	}
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	cfg := testConfig(t, testkit.ConfigOptions{})
	for _, row := range []struct {
		shown bool
		after time.Duration
		want  string
	}{{true, 250 * time.Millisecond, "0.250"}, {true, time.Minute, "1.500"}, {true, 0, ""}, {false, time.Second, ""}} {
		cfg.Settings.RetryAfter = row.shown
		text, _ := (&frontend{cfg: cfg}).appendAnswer(nil, core.Answer{Refused: true, RetryAfter: row.after}, false)
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") != row.want {
			t.Errorf("%+v: %+v, %v", row, resp, err)
		}
	}
}

// When a client disconnects, the balancer is notified that its request is abandoned, and the request ends. The
// attempt's outcome is still reported.
func TestDisconnectCancelsRequest(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := a.request(ctx, "GET", "/get/x", "")
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan error)
	go func() { _, err := http.DefaultClient.Do(req); gone <- err }()
	testkit.Receive(t, "request", s.seen)
	cancel()
	if err := testkit.Receive(t, "end of the client", gone); err == nil {
		t.Error("the client got a response")
	}
	testkit.WaitFor(t, "the end of the request", func() bool { return a.frontend.openRequests.Load() == 0 })
	close(hold)
	if x := a.do("GET", "/get/y", ""); x.status != 200 {
		t.Errorf("next request: %+v", x)
	}
}

// An invalid request gets an error response and reaches no server. The status is not 429 or 503, which would indicate
// that a retry is harmless.
func TestInvalidRequestIsRejected(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	for name, row := range map[string]struct {
		method, path, body string
		headers            []string
		want               int
	}{
		"unknown class":    {"GET", "/nothing", "", nil, 404},
		"no class":         {"GET", "/", "", nil, 404},
		"method":           {"POST", "/get/x", "", nil, 405},
		"no id":            {"GET", "/get/x", "", []string{"X-Trace-Id", ""}, 400},
		"no key":           {"POST", "/put/x", "", nil, 400},
		"time not number":  {"GET", "/get/x", "", []string{"X-Expires-In", "soon"}, 400},
		"time NaN":         {"GET", "/get/x", "", []string{"X-Expires-In", "NaN"}, 400},
		"time infinite":    {"GET", "/get/x", "", []string{"X-Expires-In", "Inf"}, 400},
		"time negative":    {"GET", "/get/x", "", []string{"X-Expires-In", "-1"}, 400},
		"time hexadecimal": {"GET", "/get/x", "", []string{"X-Expires-In", "0x2p1"}, 400},
		"long id":          {"GET", "/get/x", "", []string{"X-Trace-Id", strings.Repeat("x", maxID+1)}, 400},
		"long key":         {"POST", "/put/x", "", []string{"Idempotency-Key", strings.Repeat("x", maxID+1)}, 400},
		"hint":             {"GET", "/get/x", "", []string{"X-Size-Hint", "1e99"}, 400},
		"large header":     {"GET", "/get/x", "", []string{"X-Long", strings.Repeat("x", 2*maxHeader)}, 431},
	} {
		if x := a.do(row.method, row.path, row.body, row.headers...); x.status != row.want {
			t.Errorf("%s: %+v, want %d", name, x, row.want)
		}
	}
	for name, text := range map[string]string{
		"garbage":     "\x00\x01\x02\r\n\r\n",
		"bad length":  "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: -5\r\n\r\n",
		"bad version": "GET /get/x HTTP/9.9\r\nHost: a\r\n\r\n",
		"two ids":     "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 3\r\nX-Trace-Id: 4\r\n\r\n",
		// The body is only announced, and not sent: a client that keeps writing may detect the close before it reads
		// the response.
		"large body":  fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 6\r\nContent-Length: %d\r\n\r\n", maxBody+1),
		"60 MB":       "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 5\r\nContent-Length: 60000000\r\n\r\n",
		"huge length": "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 5\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"plus length": "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 5\r\nContent-Length: +5\r\n\r\nhello",
		"no host":     "GET /get/x HTTP/1.1\r\nX-Trace-Id: 2\r\n\r\n",
	} {
		resp, err := http.ReadResponse(a.raw(t, text), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
			t.Errorf("%s: %+v, %v", name, resp, err)
		} else if name == "large body" && resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if len(s.seen) != 0 {
		t.Errorf("%d requests reached the server", len(s.seen))
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("a valid request afterwards: %+v", x)
	}
}

// The balancer's decisions can't distinguish two open requests with the same ID.
func TestDuplicateRequestIDGetsConflict(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "", "X-Trace-Id", "same") }()
	testkit.Receive(t, "first request", s.seen)
	if x := a.do("GET", "/get/x", "", "X-Trace-Id", "same"); x.status != http.StatusConflict {
		t.Errorf("second: %+v", x)
	}
	close(hold)
	if x := testkit.Receive(t, "first response", first); x.status != 200 {
		t.Errorf("first: %+v", x)
	}
	// The end of the request does not free its ID at once: a copy must be neither sent nor served.
	if x := a.do("GET", "/get/x", "", "X-Trace-Id", "same"); x.status != http.StatusConflict {
		t.Errorf("after the end: %+v", x)
	}
}

// More clients than there are slots send nothing, or begin a request and stop. Other clients are still served, and the
// connection of each misbehaving client is closed.
func TestSilentAndSlowClientsDoNotBlockOthers(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}})
	cfg.Sockets = 64
	a := start(t, cfg)
	var bad []*bufio.Reader
	for n := range 2 * core.ClientSockets(cfg.Sockets) {
		bad = append(bad, a.raw(t, []string{
			"",
			"GET /get/x HTTP/1.1\r\nHost: a\r\nX-Tr",
			"POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: half" + fmt.Sprint(n) + "\r\nContent-Length: 100\r\n\r\nhalf",
		}[n%3]))
	}
	for range 5 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("usual client: %+v", x)
		}
	}
	for n, in := range bad {
		if text, err := io.ReadAll(in); errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(string(text), " 200 ") {
			t.Errorf("bad client %d: %q, %v", n, text, err)
		}
	}
	if len(s.seen) != 5 {
		t.Errorf("%d requests reached the server", len(s.seen))
	}
}

// The total of buffered bodies is limited: beyond the limit a request's body is streamed, and reserved bytes are
// released.
func TestBodiesAreBounded(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	total := a.frontend.bodyBudget.Free()
	a.frontend.bodyBudget.Acquire(int(total) - 1000)
	if x := a.do("POST", "/pay/x", strings.Repeat("x", 1001)); x.status != 200 {
		t.Errorf("beyond the limit: %+v", x)
	}
	if n := a.frontend.bodyBudget.Free(); n != 1000 {
		t.Errorf("%d bytes are free", n)
	}
	if x := a.do("POST", "/pay/x", strings.Repeat("x", 1000)); x.status != 200 {
		t.Errorf("within the limit: %+v", x)
	}
	testkit.WaitFor(t, "the release of the reserved bytes", func() bool { return a.frontend.bodyBudget.Free() == 1000 })
	a.frontend.bodyBudget.Release(int(total) - 1000)
}

// When the agent is stopped with a request in flight, that request is answered, idle connections are closed, and Run
// returns no error.
func TestStopCompletesAdmittedRequests(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(n int) string {
		if n > 0 {
			<-hold
		}
		return ok200
	})
	accept := make(chan time.Time)
	a := startUntil(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}), accept)
	idle, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	in := bufio.NewReader(idle)
	ask := func(c net.Conn) {
		if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
			t.Error(err)
		}
	}
	ask(idle)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	<-s.seen
	inFlight := make(chan exchange, 1)
	go func() { inFlight <- a.do("GET", "/get/x", "") }()
	testkit.Receive(t, "request in flight", s.seen)
	a.stop()
	if err := idle.SetReadDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection was not closed: %v", err)
	}
	afterStop := make(chan exchange, 1)
	go func() { afterStop <- a.do("GET", "/get/x", "") }()
	testkit.Receive(t, "request after the stop", s.seen)
	close(accept)
	close(hold)
	for _, ch := range []chan exchange{inFlight, afterStop} {
		if x := testkit.Receive(t, "answer", ch); x.status != 200 {
			t.Errorf("%+v", x)
		}
	}
	if err := testkit.Receive(t, "end of the agent", a.done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A client connection that never sends anything must not delay a planned restart: such connections are closed after a
// while. Connections that have sent a request stay open.
func TestSilentConnectionsAreClosedAtStop(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	busy := make(chan exchange, 1)
	go func() { busy <- a.do("GET", "/get/x", "") }()
	testkit.Receive(t, "request", s.seen)
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	testkit.WaitFor(t, "one silent connection", func() bool {
		counts := a.Limiter().Counts()
		return counts.Open == 2 && counts.Fresh+counts.Idle == 1
	})
	a.Limiter().EvictSilent(0)
	if err := c.SetReadDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection was not closed: %v", err)
	}
	close(hold)
	if x := testkit.Receive(t, "answer", busy); x.status != 200 {
		t.Errorf("%+v", x)
	}
}

// Beyond its share of the file descriptors the agent admits no further requests and keeps no further connections. It
// refuses such a request, which is right, since the request was not executed.
func TestRequestBeyondOpenLimitIsRefused(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}})
	cfg.Site.MaxOpen = 1
	a := start(t, cfg)
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "") }()
	testkit.Receive(t, "first request", s.seen)
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "GET /get/y HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("%+v, %v", resp, err)
	}
	close(hold)
	if x := testkit.Receive(t, "first response", first); x.status != 200 {
		t.Errorf("%+v", x)
	}
	if len(s.seen) != 0 {
		t.Error("the refused request was sent")
	}
}

// Clients may make one request per connection and keep the connection open; their number may be limited far below the
// limiter's bound. Once many idle connections are open, responses close their connections, so that there are always
// slots for new requests; connections that stay open are closed once they have been idle for long.
func TestIdleClientConnectionsAreBounded(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}})
	cfg.Sockets = 64
	a := start(t, cfg)
	most := core.ClientSockets(cfg.Sockets)
	kept := func() int { return a.Limiter().Counts().Idle }
	closed := 0
	for range most {
		in := a.raw(t, fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v, %v", resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close {
			closed++
			if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("not closed after its response: %v", err)
			}
			continue
		}
		testkit.WaitFor(t, "the connection to be idle", func() bool {
			counts := a.Limiter().Counts()
			return counts.Fresh+counts.Idle == counts.Open
		})
	}
	if n := kept(); n > most/3 || closed == 0 {
		t.Errorf("%d of %d are kept, %d were closed after their responses", n, most, closed)
	}
}

// If a message states the end of its body twice, one side may read bytes as a body that the other side reads as a
// further request (request smuggling). No part of such a message reaches a server, and the connection is closed.
func TestSmuggledRequestIsRejected(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	hidden := "GET /get/hidden HTTP/1.1\r\nHost: a\r\nX-Trace-Id: hidden\r\n\r\n"
	chunk := "0\r\n\r\n" + hidden
	for name, text := range map[string]string{
		"length and chunks": fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(chunk), chunk),
		"chunks and length": fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", len(chunk), chunk),
		"codings":           "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunk,
		"coding twice":      "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"coding, old":       "POST /pay/x HTTP/1.0\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"no chunks":         "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"chunks on a GET":   "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"two lengths":       fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"error before body": fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"body on a GET":     fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"coding, odd":       fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nTransfer-Encoding: xchunked\r\nContent-Length: %d\r\n\r\n%s", len(chunk), chunk),
	} {
		t.Run(name, func(t *testing.T) {
			in := a.raw(t, text)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
				t.Fatalf("%+v, %v", resp, err)
			}
			// The close may reach the client as a reset, since the agent did not read everything that the client sent.
			if rest, err := io.ReadAll(in); strings.Contains(string(rest), "HTTP/1.1") || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("not closed after the error: %q, %v", rest, err)
			}
		})
	}
	if len(s.seen) != 0 {
		t.Errorf("%d requests reached the server", len(s.seen))
	}
}
