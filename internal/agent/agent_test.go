package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brookferry"
	"brookferry/internal/wire"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const patience = 30 * time.Second

var quiet = slog.New(slog.DiscardHandler)

// settings has one class of each effect and deadlines long enough for a slow machine.
const settings = `{
 "Balancers": 1, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Kinds": ["m1", "m2"], "MembershipMode": "%s",
 "TickMs": 1, "CountedBy": "request",
 "Profiles": [
  {"Name": "get", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "repeatable"},
  {"Name": "put", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "by_key", "Group": "all", "WindowMs": 60000},
  {"Name": "pay", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "once"}],
 "PolicyLimits": {"TryLimit": 3, "ConnectTimeoutMs": 10000, "IdleCloseMs": 60000, "MaxOpen": 1000,
  "RetryAfter": true, "MaxRetryAfterMs": 1500, "MayProbe": true, "Cancel": true, "SecondCopies": true},
 "Contract": {"AskWithinMs": 1000, "DrainGraceMs": 1000, "GraceToAnswerMs": 20, "ColdFrom": 0.5, "RampTimeMs": 1000, "FallMultiple": 3, "FallMs": 1000},
 "Goal": {"Whole": 1}, "Report": {"Source": "inline"}}`

type setup struct {
	mode      string // of discovery; "" is automatic
	deadline  int    // of all classes, ms; 0: 60 s
	discovery string
	servers   []member
}

func testConfig(t *testing.T, s setup) *Config {
	t.Helper()
	if s.mode == "" {
		s.mode = "automatic"
	}
	if s.deadline == 0 {
		s.deadline = 60000
	}
	if s.discovery == "" {
		s.discovery = deadAddr(t)
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    members{Version: 41, Full: true, Servers: s.servers},
		"settings": json.RawMessage(fmt.Sprintf(settings, s.mode, s.deadline)),
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(raw, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// deadAddr is an address at which nothing listens.
func deadAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// running is an agent under test.
type running struct {
	*Agent
	base string
	stop context.CancelFunc
	done chan error
}

func start(t *testing.T, cfg *Config) *running {
	t.Helper()
	now := make(chan time.Time)
	close(now)
	return startUntil(t, cfg, now)
}

// startUntil runs an agent that, once stopped, takes connections until accept is closed.
func startUntil(t *testing.T, cfg *Config, accept <-chan time.Time) *running {
	t.Helper()
	a, err := New(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Agent: a, base: "http://" + a.Addr().String(), stop: cancel, done: make(chan error, 1)}
	a.discovery.silence = 2 * patience // a slow machine is no dead discovery
	a.accept = func() <-chan time.Time { return accept }
	go func() { r.done <- a.Run(ctx); close(r.done) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-r.done:
		case <-time.After(2 * patience):
			t.Error("the agent did not stop")
		}
	})
	return r
}

// exchange is one client request to the agent: what came back, with its whole body.
type exchange struct {
	status int
	header http.Header
	body   string
	err    error
}

var ids struct {
	sync.Mutex
	n int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", ids.n)
}

func (r *running) request(ctx context.Context, method, path, body string, headers ...string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", newID())
	for i := 0; i < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req, nil
}

func (r *running) do(method, path, body string, headers ...string) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := r.request(ctx, method, path, body, headers...)
	if err != nil {
		return exchange{err: err}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return exchange{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return exchange{resp.StatusCode, resp.Header, string(text), err}
}

// backend is a server that answers with handle and counts what reached it.
type backend struct {
	addr string
	seen chan string // the id of each request that came whole
}

// serveRaw runs a backend that reads each request whole and writes what answer says, byte for
// byte. An empty answer closes the connection.
func serveRaw(t *testing.T, answer func(n int) string) *backend {
	t.Helper()
	ln := listen(t)
	b := &backend{addr: ln.Addr().String(), seen: make(chan string, 100)}
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					mu.Lock()
					k := n
					n++
					mu.Unlock()
					b.seen <- req.Header.Get("X-Trace-Id")
					text := answer(k)
					if _, err := io.WriteString(c, text); err != nil || text == "" || strings.Contains(text, "TRUNCATED") {
						return
					}
				}
			}()
		}
	}()
	return b
}

func (b *backend) member(id string) member {
	return member{ID: id, Addr: b.addr, Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// attemptAt makes one attempt at a backend, with no agent around it.
func attemptAt(t *testing.T, b *backends, ctx context.Context, body string) (brookferry.Result, *answer, brookferry.Load) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/put/x?q=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return b.attempt(ctx, nil, "s", &message{method: http.MethodPost, url: req.URL, body: []byte(body),
		header: http.Header{"X-Trace-Id": {newID()}, "Idempotency-Key": {"k"}}})
}

func poolFor(t *testing.T, addr string) *backends {
	t.Helper()
	b := newBackends(testConfig(t, setup{}), quiet)
	b.update(listEvent{list: brookferry.List{Kind: brookferry.ListFull, Backends: []brookferry.Backend{{ID: "s"}}},
		addrs: map[string]string{"s": addr}})
	return b
}

// Each row of the protocol's table of outcomes. What is taken for 'never ran' may be sent again
// or refused, so a wrong row can do an effect twice.
func TestOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		answer string
		want   brookferry.Result
	}{
		"served":               {ok200, brookferry.OK},
		"served in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", brookferry.OK},
		"error":                {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", brookferry.Errored},
		"full":                 {"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", brookferry.Full},
		"already over":         {"HTTP/1.1 504 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", brookferry.Full},
		"503 without proof":    {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", brookferry.Errored},
		"504 without proof":    {"HTTP/1.1 504 X\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", brookferry.Errored},
		"500 is no proof":      {"HTTP/1.1 500 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", brookferry.Errored},
		"redirect":             {"HTTP/1.1 302 X\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n", brookferry.Errored},
		"closed unanswered":    {"", brookferry.Reset},
		"broken in the header": {"HTTP/1.1 200 OK\r\nTRUNCATED", brookferry.Reset},
		"truncated length":     {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED", brookferry.Reset},
		"truncated chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nTRUNCATED\r\n", brookferry.Reset},
		"no HTTP":              {"TRUNCATED\r\n\r\n", brookferry.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveRaw(t, func(int) string { return row.answer })
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			result, a, _ := attemptAt(t, poolFor(t, s.addr), ctx, "body")
			if result != row.want || (a != nil) != (row.want == brookferry.OK) {
				t.Errorf("result %v, answer %v; want %v", result, a, row.want)
			}
			if a != nil && string(a.body) != "hello" {
				t.Errorf("body %q", a.body)
			}
		})
	}
}

func TestOutcomeConnectionRefused(t *testing.T) {
	b := poolFor(t, deadAddr(t))
	if result, _, _ := attemptAt(t, b, context.Background(), ""); result != brookferry.ConnectFailed {
		t.Errorf("result %v", result)
	}
	if b.open != 0 {
		t.Errorf("%d connections counted as open", b.open)
	}
}

// A backend that takes the request and says nothing: the attempt ends when the agent stops
// waiting, may have run, and its connection is not used again.
func TestOutcomeTimedOut(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := serveRaw(t, func(int) string { <-hold; return "" })
	b := poolFor(t, s.addr)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-s.seen; cancel(errTimedOut) }()
	if result, _, _ := attemptAt(t, b, ctx, ""); result != brookferry.TimedOut {
		t.Errorf("result %v", result)
	}
	if b.open != 0 || len(b.idle["s"]) != 0 {
		t.Errorf("%d open, %d idle: the connection of a timed-out attempt was kept", b.open, len(b.idle["s"]))
	}
}

func TestOutcomeCancelled(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := serveRaw(t, func(int) string { <-hold; return "" })
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-s.seen; cancel(errCancelled) }()
	if result, _, _ := attemptAt(t, poolFor(t, s.addr), ctx, ""); result != brookferry.Cancelled {
		t.Errorf("result %v", result)
	}
}

// shortConn breaks after so many bytes of the request.
type shortConn struct {
	net.Conn
	room int
}

func (c *shortConn) Write(p []byte) (int, error) {
	if len(p) <= c.room {
		c.room -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.room])
	c.room = 0
	return n, errors.New("broken pipe")
}

// A connection that breaks before the request's last byte is written proves that nothing ran;
// one byte later it proves nothing.
func TestOutcomeBrokenWrite(t *testing.T) {
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	for _, room := range []int{0, 10, 6000} {
		b := poolFor(t, ln.Addr().String())
		dial := b.transport.DialContext
		b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err == nil {
				counted := c.(*countedConn)
				counted.Conn = &shortConn{counted.Conn, room}
			}
			return c, err
		}
		if result, _, _ := attemptAt(t, b, context.Background(), strings.Repeat("x", 20000)); result != brookferry.ConnectFailed {
			t.Errorf("broken after %d bytes: result %v", room, result)
		}
	}
}

// net/http's Transport sends a request again by itself when a reused connection turns out to be
// dead, also a POST that carries Idempotency-Key. That would be an attempt the module never
// asked for. Here the first request leaves a connection, which the backend closes without an
// answer to the second.
func TestNothingIsResentOnAStaleConnection(t *testing.T) {
	s := serveRaw(t, func(n int) string { return []string{ok200, "", ok200}[n] })
	b := poolFor(t, s.addr)
	if result, _, _ := attemptAt(t, b, context.Background(), "one"); result != brookferry.OK {
		t.Fatalf("first: %v", result)
	}
	if len(b.idle["s"]) != 1 {
		t.Fatalf("%d idle connections after the first", len(b.idle["s"]))
	}
	if result, _, _ := attemptAt(t, b, context.Background(), "two"); result != brookferry.Reset {
		t.Fatalf("second: %v", result)
	}
	if n := len(s.seen); n != 2 {
		t.Errorf("%d requests reached the backend, 2 were asked for", n)
	}
}

// A connection that has stood idle for nearly as long as backends allow is not used again: the
// request would cross the close.
func TestIdleConnectionIsDropped(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	attemptAt(t, b, context.Background(), "")
	old := b.idle["s"][0]
	old.since = time.Now().Add(-b.keepIdle)
	attemptAt(t, b, context.Background(), "")
	if b.idle["s"][0] == old || b.open != 1 {
		t.Error("the old connection was used")
	}
	if b.keepIdle >= b.cfg.Site.IdleClose {
		t.Errorf("idle connections are kept for %v, backends close at %v", b.keepIdle, b.cfg.Site.IdleClose)
	}
}

// Under the descriptor limit the connection idle longest makes room; with none idle the attempt
// fails unsent.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(n int) string {
		if n == 1 {
			<-hold
		}
		return ok200
	})
	b := poolFor(t, s.addr)
	b.update(listEvent{list: brookferry.List{Kind: brookferry.ListDelta, Backends: []brookferry.Backend{{ID: "t"}}},
		addrs: map[string]string{"t": s.addr}})
	b.most = 1
	attemptAt(t, b, context.Background(), "")
	<-s.seen
	done := make(chan brookferry.Result)
	go func() {
		r, _, _ := b.attempt(context.Background(), nil, "t", &message{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}})
		done <- r
	}()
	receive(t, "request to t", s.seen)
	if len(b.idle["s"]) != 0 {
		t.Error("no idle connection made room")
	}
	if r, _, _ := attemptAt(t, b, context.Background(), ""); r != brookferry.ConnectFailed {
		t.Errorf("past the limit: %v", r)
	}
	close(hold)
	if r := receive(t, "result", done); r != brookferry.OK {
		t.Errorf("held attempt: %v", r)
	}
}

// A new address under an old id is another process: the old connections go.
func TestMovedBackend(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, one.addr)
	attemptAt(t, b, context.Background(), "")
	b.update(listEvent{list: brookferry.List{Kind: brookferry.ListDelta, Backends: []brookferry.Backend{{ID: "s"}}},
		addrs: map[string]string{"s": two.addr}})
	if b.open != 0 {
		t.Errorf("%d connections to the old address are open", b.open)
	}
	if attemptAt(t, b, context.Background(), ""); len(one.seen) != 1 || len(two.seen) != 1 {
		t.Errorf("%d requests to the old address, %d to the new", len(one.seen), len(two.seen))
	}
}

// A connection that was in use while its backend moved leads to the old process: it is not kept.
func TestMovedWhileInUse(t *testing.T) {
	hold := make(chan struct{})
	one := serveRaw(t, func(int) string { <-hold; return ok200 })
	b := poolFor(t, one.addr)
	done := make(chan brookferry.Result, 1)
	go func() {
		r, _, _ := b.attempt(context.Background(), nil, "s", &message{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}})
		done <- r
	}()
	receive(t, "request", one.seen)
	b.update(listEvent{list: brookferry.List{Kind: brookferry.ListDelta, Backends: []brookferry.Backend{{ID: "s"}}},
		addrs: map[string]string{"s": deadAddr(t)}})
	close(hold)
	if r := receive(t, "result", done); r != brookferry.OK || b.open != 0 {
		t.Errorf("result %v, %d connections kept", r, b.open)
	}
}

func TestLoadReport(t *testing.T) {
	s := serveRaw(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=2, eps=0.5, util=0.61\r\nContent-Length: 5\r\n\r\nhello"
	})
	_, _, load := attemptAt(t, poolFor(t, s.addr), context.Background(), "")
	if want := wire.Load(map[string]float64{"backlog": 2, "errors_per_s": 0.5}); load != want {
		t.Errorf("load %+v, want %+v", load, want)
	}
}

func TestProbe(t *testing.T) {
	for status, want := range map[string]brookferry.Result{"200 OK": brookferry.OK, "503 X": brookferry.Errored} {
		s := serveRaw(t, func(int) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 12\r\n\r\nTEXT queue=3" })
		b := poolFor(t, s.addr)
		b.cfg.Site.LoadProbed = true
		if p := b.probe("s"); p.Result != want || p.Result == brookferry.OK && p.Load.Queue != 3 {
			t.Errorf("%s: %+v", status, p)
		}
	}
}

// ---- The whole agent ----

func TestServesUnchanged(t *testing.T) {
	ln := listen(t)
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
	b := &backend{addr: ln.Addr().String()}
	a := start(t, testConfig(t, setup{servers: []member{b.member("s")}}))
	x := a.do("POST", "/put//x%2Fy?q=1;2&z", "form", "Idempotency-Key", "k1", "Cookie", "sid=1", "Connection", "X-Hop", "X-Hop", "1", "X-Expires-In", "40.5")
	if x.status != 200 || x.body != "stored" || x.header.Get("X-Store") != "7" {
		t.Fatalf("answer %+v", x)
	}
	r := receive(t, "request", got)
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

// A truncated 200 of a backend is never passed on as a whole one. A request that may not be
// repeated fails; a safe one is tried again by the module.
func TestTruncatedAnswer(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED"
	s := serveRaw(t, func(n int) string { return []string{cut, cut, ok200}[n] })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway || strings.Contains(x.body, "TRUNCATED") {
		t.Errorf("unsafe: %+v", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || x.body != "hello" {
		t.Errorf("safe: %+v", x)
	}
}

// An unsafe request that may have run is neither sent again nor refused.
func TestUnsafeRequestIsNotRepeated(t *testing.T) {
	s := serveRaw(t, func(int) string { return "" })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway {
		t.Errorf("%+v", x)
	}
	if len(s.seen) != 1 {
		t.Errorf("%d attempts", len(s.seen))
	}
}

// What never ran may be refused.
func TestRefusal(t *testing.T) {
	cfg := testConfig(t, setup{servers: []member{{ID: "s", Addr: deadAddr(t), Zone: "a", Kind: "m1", State: "ready"}}})
	a := start(t, cfg)
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", x)
	}
}

func TestRetryAfter(t *testing.T) {
	cfg := testConfig(t, setup{})
	for _, row := range []struct {
		shown bool
		after time.Duration
		want  string
	}{{true, 250 * time.Millisecond, "0.250"}, {true, time.Minute, "1.500"}, {true, 0, ""}, {false, time.Second, ""}} {
		cfg.Settings.RetryAfter = row.shown
		w := newRecorder()
		(&front{cfg: cfg}).answer(w, reply{refused: true, retryAfter: row.after})
		if w.status != 503 || w.header.Get("Retry-After") != row.want {
			t.Errorf("%+v: %d %q", row, w.status, w.header.Get("Retry-After"))
		}
	}
}

// A request whose backend is silent is answered before its client stops waiting, and says that
// it failed.
func TestDeadline(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := serveRaw(t, func(int) string { <-hold; return "" })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	if x := a.do("GET", "/get/x", "", "X-Expires-In", "2"); x.status != http.StatusGatewayTimeout {
		t.Errorf("%+v", x)
	}
}

// Where the module says nothing, the loop itself keeps the promise of one final answer.
func TestSilentModule(t *testing.T) {
	cfg := testConfig(t, setup{})
	l, err := newLoop(cfg, newClock(), newBackends(cfg, quiet), quiet)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.deadline = time.Now()
	l.take(arrived{r})
	l.take(overdue{r})
	l.take(overdue{r}) // once only
	l.take(left{r})
	if a := receive(t, "final answer", r.reply); !a.timedOut {
		t.Errorf("%+v", a)
	}
	if len(l.requests) != 0 || len(r.reply) != 0 {
		t.Errorf("%d requests, %d more answers", len(l.requests), len(r.reply))
	}
	if want := (brookferry.Abandoned{Request: "1"}); !slices.Contains(l.pending, brookferry.Event(want)) {
		t.Error("the module was not told")
	}
}

// A client's last try may have less time left than a step is away. The module answers it all the
// same, with a refusal, since nothing ran; the loop once failed it first, at the deadline itself.
func TestTryWithHardlyAnyTimeLeft(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	cfg := testConfig(t, setup{servers: []member{s.member("s")}})
	cfg.Settings.Tick, cfg.Settings.AnswerGrace = 100*time.Millisecond, 2*patience
	a := start(t, cfg)
	for range 3 { // the first may meet a step that is due
		if x := a.do("GET", "/get/x", "", "X-Expires-In", "0.000001"); x.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", x)
		}
	}
}

// A request may be gone before the step that would have told the module how long it has left.
func TestGoneBeforeItsFirstStep(t *testing.T) {
	cfg := testConfig(t, setup{})
	l, err := newLoop(cfg, newClock(), newBackends(cfg, quiet), quiet)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.deadline = time.Now().Add(time.Minute)
	l.take(arrived{r})
	l.take(left{r})
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { l.run(ctx); close(done) }()
	next := newRequest("2", 0)
	next.deadline = time.Now().Add(time.Second)
	l.post(arrived{next})
	receive(t, "answer to the next request", next.reply)
	cancel()
	receive(t, "end of the loop", done)
}

// A request may end while a connection is being opened for it, as when its client hangs up.
// Nothing is sent for it then; the connection serves the next one.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	over := make(chan struct{})
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		close(over)
		return c, err
	}
	m := &message{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}}
	if r, _, _ := b.attempt(context.Background(), over, "s", m); r != brookferry.NotSent {
		t.Errorf("result %v", r)
	}
	if r, _, _ := b.attempt(context.Background(), nil, "s", m); r != brookferry.OK || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
}

// A client that hangs up is told to the module as Abandoned, and its request ends; the attempt's
// outcome still comes.
func TestHangUp(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := a.request(ctx, "GET", "/get/x", "")
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan error)
	go func() { _, err := http.DefaultClient.Do(req); gone <- err }()
	receive(t, "request", s.seen)
	cancel()
	if err := receive(t, "end of the client", gone); err == nil {
		t.Error("the client got an answer")
	}
	waitFor(t, "request to be given up", func() bool { return a.front.open.Load() == 0 })
	close(hold)
	if x := a.do("GET", "/get/y", ""); x.status != 200 {
		t.Errorf("next request: %+v", x)
	}
}

// waitFor polls what has no channel to wait on.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Bad input gets a plain answer that says 'failed', and reaches no backend. A 429 or 503 would
// say that another try is harmless.
func TestBadInput(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	for name, row := range map[string]struct {
		method, path, body string
		headers            []string
		want               int
	}{
		"unknown class":   {"GET", "/nothing", "", nil, 404},
		"no class":        {"GET", "/", "", nil, 404},
		"method":          {"POST", "/get/x", "", nil, 405},
		"no id":           {"GET", "/get/x", "", []string{"X-Trace-Id", ""}, 400},
		"no key":          {"POST", "/put/x", "", nil, 400},
		"time not number": {"GET", "/get/x", "", []string{"X-Expires-In", "soon"}, 400},
		"time NaN":        {"GET", "/get/x", "", []string{"X-Expires-In", "NaN"}, 400},
		"time infinite":   {"GET", "/get/x", "", []string{"X-Expires-In", "Inf"}, 400},
		"time negative":   {"GET", "/get/x", "", []string{"X-Expires-In", "-1"}, 400},
		"hint":            {"GET", "/get/x", "", []string{"X-Size-Hint", "1e99"}, 400},
		"large body":      {"POST", "/pay/x", strings.Repeat("x", maxBody+1), nil, 413},
		"large header":    {"GET", "/get/x", "", []string{"X-Long", strings.Repeat("x", 2*maxHeader)}, 431},
	} {
		if x := a.do(row.method, row.path, row.body, row.headers...); x.status != row.want {
			t.Errorf("%s: %+v, want %d", name, x, row.want)
		}
	}
	for name, text := range map[string]string{
		"garbage":     "\x00\x01\x02\r\n\r\n",
		"bad length":  "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: -5\r\n\r\n",
		"bad version": "GET /get/x HTTP/9.9\r\nHost: a\r\n\r\n",
		"no host":     "GET /get/x HTTP/1.1\r\nX-Trace-Id: 2\r\n\r\n",
	} {
		c, err := net.Dial("tcp", a.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
		c.Close()
	}
	if len(s.seen) != 0 {
		t.Errorf("%d requests reached the backend", len(s.seen))
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("after all that: %+v", x)
	}
}

// Two open requests with one id can't be told apart in the module's answers.
func TestDuplicateID(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "", "X-Trace-Id", "same") }()
	receive(t, "first request", s.seen)
	if x := a.do("GET", "/get/x", "", "X-Trace-Id", "same"); x.status != http.StatusConflict {
		t.Errorf("second: %+v", x)
	}
	close(hold)
	if x := receive(t, "first answer", first); x.status != 200 {
		t.Errorf("first: %+v", x)
	}
}

// SIGTERM with a request in flight: it is answered, connections between requests are closed,
// and Run ends without an error.
func TestStopFinishesWhatWasTaken(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(n int) string {
		if n > 0 {
			<-hold
		}
		return ok200
	})
	accept := make(chan time.Time)
	a := startUntil(t, testConfig(t, setup{servers: []member{s.member("s")}}), accept)
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
	receive(t, "request in flight", s.seen)
	a.stop()
	if err := idle.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection was not closed: %v", err)
	}
	lateOne := make(chan exchange, 1)
	go func() { lateOne <- a.do("GET", "/get/x", "") }()
	receive(t, "request after the stop", s.seen)
	close(accept)
	close(hold)
	for _, ch := range []chan exchange{inFlight, lateOne} {
		if x := receive(t, "answer", ch); x.status != 200 {
			t.Errorf("%+v", x)
		}
	}
	if err := receive(t, "end of the agent", a.done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A connection that never sends anything must not hold up a planned restart, which closes such
// ones after a while. Those that have sent a request are left alone.
func TestSilentConnectionsAreClosed(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, setup{servers: []member{s.member("s")}}))
	busy := make(chan exchange, 1)
	go func() { busy <- a.do("GET", "/get/x", "") }()
	receive(t, "request", s.seen)
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitFor(t, "one silent connection", func() bool {
		a.front.mu.Lock()
		defer a.front.mu.Unlock()
		return len(a.front.silent) == 1 && a.front.conns == 2
	})
	a.front.closeSilent()
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection was not closed: %v", err)
	}
	close(hold)
	if x := receive(t, "answer", busy); x.status != 200 {
		t.Errorf("%+v", x)
	}
}

// Past its part of the descriptors the agent holds no more requests and keeps no more
// connections; a refusal there is true, since nothing ran.
func TestCrowdedFront(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	cfg := testConfig(t, setup{servers: []member{s.member("s")}})
	cfg.Site.MaxOpen = 1
	a := start(t, cfg)
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "") }()
	receive(t, "first request", s.seen)
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "GET /get/y HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	close(hold)
	if x := receive(t, "first answer", first); x.status != 200 {
		t.Errorf("%+v", x)
	}
	if len(s.seen) != 0 {
		t.Error("the refused request was sent")
	}
}

// The listener takes no connection past its limit until another is closed.
func TestLimitListener(t *testing.T) {
	l := newLimitListener(listen(t).(*net.TCPListener), 1)
	got := make(chan net.Conn, 2)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			got <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	one := receive(t, "first connection", got)
	if len(l.slots) != 1 || len(got) != 0 {
		t.Errorf("%d connections past the limit", len(got))
	}
	one.Close()
	one.Close() // gives back its slot only once
	receive(t, "second connection", got)
	l.Close()
	if err := receive(t, "end", ended); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}
