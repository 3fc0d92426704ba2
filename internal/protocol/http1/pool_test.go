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
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit"
	"vetchhaven/internal/wire"
)

// newMessage puts a request into the form in which it is sent.
func newMessage(method, host string, u *url.URL, header http.Header, body []byte) *message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, u.RequestURI(), host)
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_ = header.Write(&head) // a bytes.Buffer takes everything
	return &message{head: head.Bytes(), body: body}
}

// attemptAt makes one attempt at a backend, with no agent around it.
func attemptAt(t *testing.T, ctx context.Context, b *connPool, body string) (decide.Result, *response, decide.Load) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/put/x?q=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return b.attempt(ctx, probeOwner{}, "s", newMessage(http.MethodPost, "a", req.URL,
		http.Header{"X-Trace-Id": {newID()}, "Idempotency-Key": {"k"}}, []byte(body)))
}

// rested lets the idle connections have rested long enough to be used again.
func rested(b *connPool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.idle {
		for _, c := range list {
			c.idleSince = c.idleSince.Add(-minRest)
		}
	}
}

func poolFor(t *testing.T, addr string) *connPool {
	t.Helper()
	b := newConnPool(testConfig(t, testkit.Setup{}), testkit.Quiet)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": addr}})
	return b
}

// Each row of the protocol's table of outcomes. What is taken for 'never ran' may be sent again
// or refused, so a wrong row can do an effect twice.
func TestOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		answer string
		want   decide.Result
	}{
		"served":               {ok200, decide.OK},
		"served in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", decide.OK},
		"error":                {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"full":                 {"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", decide.Rejected},
		"already over":         {"HTTP/1.1 504 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", decide.Rejected},
		"503 without proof":    {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"504 without proof":    {"HTTP/1.1 504 X\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"500 is no proof":      {"HTTP/1.1 500 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"redirect":             {"HTTP/1.1 302 X\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"closed unanswered":    {"", decide.Reset},
		"broken in the header": {"HTTP/1.1 200 OK\r\nTRUNCATED", decide.Reset},
		"truncated length":     {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED", decide.Reset},
		"truncated chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nTRUNCATED\r\n", decide.Reset},
		// There is a process, and it may have run what it answers amiss.
		"no HTTP":               {"TRUNCATED\r\n\r\n", decide.Errored},
		"noise":                 {"\x00\xff\r\n\r\n", decide.Errored},
		"noise without an end":  {"\x00\xff TRUNCATED", decide.Reset},
		"status behind words":   {"HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello", decide.Errored},
		"status with a letter":  {"HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello", decide.Errored},
		"status with a sign":    {"HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\nhello", decide.Errored},
		"other protocol":        {"ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello", decide.Errored},
		"header without colon":  {"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhello", decide.Errored},
		"endless header":        {"HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", 1<<20), decide.Errored},
		"endless headers":       {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 1<<17), decide.Errored},
		"endless 1xx":           {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<16), decide.Errored},
		"two lengths":           {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello", decide.Errored},
		"one length twice":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", decide.Errored},
		"lengths in a list":     {"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nhello", decide.Errored},
		"negative length":       {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello", decide.Errored},
		"huge length":           {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello", decide.Errored},
		"length and chunks":     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", decide.Errored},
		"no length":             {"HTTP/1.1 200 OK\r\n\r\nhello", decide.Errored},
		"chunk of no number":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nabcxyz\r\nhello\r\n0\r\n\r\n", decide.Errored},
		"endless chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1<<18), decide.Errored},
		"3 GB that keep coming": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), decide.Errored},
		// What belongs to an answer is good, whatever comes with it.
		"1xx ahead":            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok200, decide.OK},
		"unreadable report":    {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: \xff queue==, eps=NaN\r\nContent-Length: 5\r\n\r\nhello", decide.OK},
		"a second copy behind": {ok200 + ok200, decide.OK},
		"noise behind":         {ok200 + "\x00\xff\r\n", decide.OK},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveRaw(t, func(int) string { return row.answer })
			ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
			defer cancel()
			b := poolFor(t, s.addr)
			result, a, _ := attemptAt(t, ctx, b, "body")
			if result != row.want || (a != nil) != (row.want == decide.OK) {
				t.Errorf("result %v, answer %v; want %v", result, a, row.want)
			}
			if a != nil && string(a.body) != "hello" {
				t.Errorf("body %q", a.body)
			}
			if result == decide.Errored && a == nil && strings.HasPrefix(row.answer, "HTTP/1.1 200") && b.open != 0 {
				t.Error("a connection that brought a spoilt answer was kept")
			}
			if b.responseBudget.Free() != int64(b.cfg.BodyMemory()) {
				t.Error("bytes of the answer stay booked")
			}
		})
	}
}

func TestOutcomeConnectionRefused(t *testing.T) {
	b := poolFor(t, testkit.DeadAddr(t))
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.ConnectFailed {
		t.Errorf("result %v", result)
	}
	if b.open != 0 {
		t.Errorf("%d connections counted as open", b.open)
	}
}

// A new connection that the backend resets before dial has returned, and a dial that the attempt's
// own end cuts short, prove that nothing ran, and not that a process has ended. Whether a reset is
// found by the dial or by the first write is chance, so the dialer here waits for it.
func TestOutcomeBrokenWhileDialling(t *testing.T) {
	ln := resetting(t)
	b := poolFor(t, ln.Addr().String())
	b.dialer = dialUntilReset
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.Incomplete {
		t.Errorf("reset: result %v", result)
	}
	b.dialer = func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(core.ErrTimedOut)
	if result, _, _ := attemptAt(t, ctx, b, ""); result != decide.Incomplete {
		t.Errorf("out of time: result %v", result)
	}
	b.cfg.Settings.ConnectTimeout = time.Millisecond // not up in time: it may be late, or cut off
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.Incomplete {
		t.Errorf("not up in time: result %v", result)
	}
	testkit.WaitFor(t, "the end of the dial that went on", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0
	})
	b.cfg.Settings.ConnectTimeout = testkit.Patience
	b.dialer = new(net.Dialer).DialContext // refused: nobody is there
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "s"}}}, Addrs: map[string]string{"s": testkit.DeadAddr(t)}})
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.ConnectFailed {
		t.Errorf("refused: result %v", result)
	}
	if b.open != 0 {
		t.Errorf("%d connections counted as open", b.open)
	}
}

// A connection that this machine could not begin is no fault of its backend, and one to a machine that is not reached says
// nothing of a process: only one that is refused does.
func TestOutcomeOfConnectErrors(t *testing.T) {
	for err, want := range map[syscall.Errno]decide.Result{
		syscall.ECONNREFUSED: decide.ConnectFailed,
		syscall.EMFILE:       decide.NotSent, syscall.ENFILE: decide.NotSent, syscall.ENOBUFS: decide.NotSent,
		syscall.ENOMEM: decide.NotSent, syscall.EADDRNOTAVAIL: decide.NotSent,
		syscall.EHOSTUNREACH: decide.Incomplete, syscall.ENETUNREACH: decide.Incomplete, syscall.ETIMEDOUT: decide.Incomplete,
		syscall.ECONNRESET: decide.Incomplete, syscall.ECONNABORTED: decide.Incomplete,
		// None of these says that a process has ended: only a refusal does.
		syscall.ENETDOWN: decide.Incomplete, syscall.EPERM: decide.Incomplete, syscall.EACCES: decide.Incomplete, syscall.EIO: decide.Incomplete,
		syscall.EHOSTDOWN: decide.Incomplete, syscall.EINVAL: decide.Incomplete,
	} {
		b := poolFor(t, testkit.DeadAddr(t))
		b.dialer = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		if result, _, _ := attemptAt(t, context.Background(), b, ""); result != want {
			t.Errorf("%v: result %v, want %v", err, result, want)
		}
		if b.open != 0 {
			t.Errorf("%v: %d connections counted as open", err, b.open)
		}
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
	go func() { <-s.seen; cancel(core.ErrTimedOut) }()
	if result, _, _ := attemptAt(t, ctx, b, ""); result != decide.TimedOut {
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
	go func() { <-s.seen; cancel(core.ErrCancelled) }()
	if result, _, _ := attemptAt(t, ctx, poolFor(t, s.addr), ""); result != decide.Cancelled {
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
	ln := testkit.Listen(t)
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
		dial := b.dialer
		b.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err == nil {
				c = &shortConn{c, room}
			}
			return c, err
		}
		if result, _, _ := attemptAt(t, context.Background(), b, strings.Repeat("x", 20000)); result != decide.Incomplete {
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
	if result, _, _ := attemptAt(t, context.Background(), b, "one"); result != decide.OK {
		t.Fatalf("first: %v", result)
	}
	if len(b.idle["s"]) != 1 {
		t.Fatalf("%d idle connections after the first", len(b.idle["s"]))
	}
	rested(b)
	if result, _, _ := attemptAt(t, context.Background(), b, "two"); result != decide.Reset {
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
	attemptAt(t, context.Background(), b, "")
	old := b.idle["s"][0]
	old.idleSince = time.Now().Add(-b.learnedMaxIdle)
	attemptAt(t, context.Background(), b, "")
	if b.idle["s"][0] == old || b.open != 1 {
		t.Error("the old connection was used")
	}
	if b.learnedMaxIdle >= b.cfg.Site.IdleClose {
		t.Errorf("idle connections are kept for %v, backends close at %v", b.learnedMaxIdle, b.cfg.Site.IdleClose)
	}
}

// Under the descriptor limit the connection idle longest makes room; with none idle the attempt
// fails unsent.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { return ok200 })
	other := serveRaw(t, func(int) string { <-hold; return ok200 })
	b := poolFor(t, s.addr)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "t"}}},
		Addrs: map[string]string{"t": other.addr}})
	b.maxConns = 1
	attemptAt(t, context.Background(), b, "")
	done := make(chan decide.Result)
	go func() {
		r, _, _ := b.attempt(context.Background(), probeOwner{}, "t", newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil))
		done <- r
	}()
	testkit.Receive(t, "request to t", other.seen)
	if len(b.idle["s"]) != 0 {
		t.Error("no idle connection made room")
	}
	if r, _, _ := attemptAt(t, context.Background(), b, ""); r != decide.NotSent {
		t.Errorf("past the limit: %v", r)
	}
	close(hold)
	if r := testkit.Receive(t, "result", done); r != decide.OK {
		t.Errorf("held attempt: %v", r)
	}
}

// A new address under an old id is another process: the old connections go.
func TestMovedBackend(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, one.addr)
	attemptAt(t, context.Background(), b, "")
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": two.addr}})
	if b.open != 0 {
		t.Errorf("%d connections to the old address are open", b.open)
	}
	if attemptAt(t, context.Background(), b, ""); len(one.seen) != 1 || len(two.seen) != 1 {
		t.Errorf("%d requests to the old address, %d to the new", len(one.seen), len(two.seen))
	}
}

// A connection that was in use while its backend moved leads to the old process: it is not kept.
func TestMovedWhileInUse(t *testing.T) {
	hold := make(chan struct{})
	one := serveRaw(t, func(int) string { <-hold; return ok200 })
	b := poolFor(t, one.addr)
	done := make(chan decide.Result, 1)
	go func() {
		r, _, _ := b.attempt(context.Background(), probeOwner{}, "s", newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil))
		done <- r
	}()
	testkit.Receive(t, "request", one.seen)
	b.update(core.List{ListUpdate: decide.ListUpdate{Kind: decide.ListDelta, Backends: []decide.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": testkit.DeadAddr(t)}})
	close(hold)
	if r := testkit.Receive(t, "result", done); r != decide.OK || b.open != 0 {
		t.Errorf("result %v, %d connections kept", r, b.open)
	}
}

func TestLoadReport(t *testing.T) {
	s := serveRaw(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=2, inflight=7, eps=0.5, util=0.61\r\nContent-Length: 5\r\n\r\nhello"
	})
	_, _, load := attemptAt(t, context.Background(), poolFor(t, s.addr), "")
	if want := wire.Load(map[string]float64{"backlog": 2, "outstanding": 7, "errors_per_s": 0.5}); load != want {
		t.Errorf("load %+v, want %+v", load, want)
	}
}

func TestProbe(t *testing.T) {
	for status, want := range map[string]decide.Result{"200 OK": decide.OK, "503 X": decide.Errored} {
		s := serveRaw(t, func(int) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 12\r\n\r\nTEXT queue=3" })
		b := poolFor(t, s.addr)
		b.cfg.Site.LoadProbed = true
		if p := b.probe("s"); p.Result != want || p.Result == decide.OK && p.Load.Queue != 3 {
			t.Errorf("%s: %+v", status, p)
		}
	}
}

// A request may end while a connection is being opened for it, as when its client hangs up.
// Nothing is sent for it then; the connection serves the next one.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	over := make(chan struct{})
	dial := b.dialer
	b.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		close(over)
		return c, err
	}
	m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil)
	if r, _, _ := b.attempt(context.Background(), ended{over: over}, "s", m); r != decide.NotSent {
		t.Errorf("result %v", r)
	}
	rested(b)
	if r, _, _ := b.attempt(context.Background(), probeOwner{}, "s", m); r != decide.OK || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
}

// Without a right that still holds nothing is sent, and without one to open a connection none is opened: of what is there
// already the next one makes use.
func TestNothingIsSentOrOpenedWithoutARight(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil)
	if r, _, _ := b.attempt(context.Background(), ended{noDial: true}, "s", m); r != decide.NotSent || b.open != 0 {
		t.Errorf("result %v, %d connections", r, b.open)
	}
	if r, _, _ := b.attempt(context.Background(), ended{lapsed: true}, "s", m); r != decide.NotSent || len(s.seen) != 0 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
	rested(b)
	if r, _, _ := b.attempt(context.Background(), ended{noDial: true}, "s", m); r != decide.OK || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
}

// What comes behind an answer, with it or later while its connection is idle, is never read as
// the answer to the next request: a connection with anything unread is not used again, and each
// rests a while, if there is another.
func TestMoreThanTheAnswer(t *testing.T) {
	more := make(chan string)
	ln := testkit.Listen(t)
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
					id := req.Header.Get("X-Trace-Id")
					if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id), id, <-more); err != nil {
						return
					}
					if _, err := io.WriteString(c, <-more); err != nil {
						return
					}
				}
			}()
		}
	}()
	b := poolFor(t, ln.Addr().String())
	ask := func(with string) {
		t.Helper()
		id := newID()
		go func() { more <- with }()
		result, a, _ := b.attempt(context.Background(), probeOwner{}, "s",
			newMessage("GET", "a", &url.URL{Path: "/get/x"}, http.Header{"X-Trace-Id": {id}}, nil))
		if result != decide.OK || string(a.body) != id {
			t.Fatalf("%v: answered with %q", result, a.body)
		}
	}
	ask(ok200)
	more <- ""
	if len(b.idle) != 0 || b.open != 0 {
		t.Fatal("a connection with a second copy unread was kept")
	}
	ask("")
	if len(b.idle["s"]) != 1 {
		t.Fatal("no connection was kept")
	}
	first := b.idle["s"][0]
	more <- ok200 // while it is idle
	testkit.WaitFor(t, "the second copy", func() bool { return !first.isQuiet() })
	rested(b)
	ask("")
	more <- ""
	second := b.idle["s"][0]
	if second == first || b.open != 1 {
		t.Fatal("a connection with bytes unread was used again")
	}
	second.idleSince = time.Now().Add(time.Hour) // it has not rested
	ask("")
	more <- ""
	if len(b.idle["s"]) != 2 {
		t.Error("a connection was used again at once")
	}
}

// However often a backend's answers were followed by nothing, its connections rest in full: a second answer that comes
// after ten thousand clean ones, 15 ms late, is nobody's.
func TestASecondAnswerAfterManyCleanOnesIsNobodys(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	go func() {
		for range s.seen {
		}
	}()
	b := poolFor(t, s.addr)
	ask := func() {
		t.Helper()
		m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, http.Header{"X-Trace-Id": {newID()}}, nil)
		if result, _, _ := b.attempt(context.Background(), probeOwner{}, "s", m); result != decide.OK {
			t.Fatalf("%v", result)
		}
	}
	const many = 10_000
	for range many {
		ask()
		if b.idle["s"][0].idleSince = time.Now().Add(-minRest); b.open != 1 {
			t.Fatal("not used again")
		}
	}
	b.idle["s"][0].idleSince = time.Now().Add(-15 * time.Millisecond)
	c, _, err := b.acquire("s")
	if err != nil || c != nil {
		t.Errorf("%v %v: used again within its rest", c, err)
	}
}

// An answer that stops in its midst does not hold its request until the client's time is over.
func TestStalledAnswer(t *testing.T) {
	s := serveRaw(t, func(int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello" })
	b := poolFor(t, s.addr)
	b.cfg.Settings.ConnectTimeout = time.Second // which is also the longest gap
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.Errored {
		t.Errorf("result %v", result)
	}
	if b.open != 0 {
		t.Error("its connection was kept")
	}
}

// Thousands of backends that come and go leave nothing behind, and an address that a new one has
// taken over is no longer the old one's, even before its end is told.
func TestGoneBackendsAreForgotten(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	for n := range 3000 {
		id, addr := fmt.Sprint("b", n), fmt.Sprintf("127.0.0.1:%d", 1+n%50)
		b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: id}}}, Addrs: map[string]string{id: addr}})
		b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: id, State: decide.Removed}}}})
	}
	if ids, owners := b.addresses.Len(); ids != 1 || owners != 1 || len(b.idle) != 0 {
		t.Errorf("%d addresses, %d owners, %d lists of connections", ids, owners, len(b.idle))
	}
	at := func(id string) string { addr, _ := b.addresses.Addr(id); return addr }
	attemptAt(t, context.Background(), b, "")
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "new"}}}, Addrs: map[string]string{"new": s.addr}})
	if at("s") != "" || at("new") != s.addr || b.open != 0 {
		t.Errorf("addresses %v, %d connections", b.addresses, b.open)
	}
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.ConnectFailed || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the new one", result, len(s.seen))
	}
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "s", State: decide.Removed}}}})
	if at("new") != s.addr || b.addresses.Server(s.addr) != "new" {
		t.Error("the old one's end took the new one's address")
	}
}

// Where connections that stood idle turn out to be dead, they are kept for a shorter time, and for
// longer again once those that stood for long serve. One that broke while young changes little.
func TestIdleTimeIsLearnt(t *testing.T) {
	b := poolFor(t, "127.0.0.1:9")
	for range 20 {
		b.learnIdle(b.maxIdle/10, false)
	}
	if b.learnedMaxIdle > b.maxIdle/8 || b.learnedMaxIdle < b.maxIdle/64 {
		t.Errorf("kept for %v of %v after many found dead", b.learnedMaxIdle, b.maxIdle)
	}
	for range 2000 {
		b.learnIdle(b.learnedMaxIdle*3/4, true)
	}
	if b.learnedMaxIdle != b.maxIdle {
		t.Errorf("kept for %v of %v after many that served", b.learnedMaxIdle, b.maxIdle)
	}
	b.learnIdle(0, false)
	if b.learnedMaxIdle != b.maxIdle {
		t.Error("a new connection that broke changed it")
	}
}

// Only what finds nobody at the other end is reset at once. A connection that breaks under a request that has begun says
// nothing of how long one may stand idle: where many do, each would shorten the time until none is kept.
func TestOnlyResetAtOnceSaysThatIdleConnectionWasDead(t *testing.T) {
	for name, row := range map[string]struct {
		after, trip time.Duration
		result      decide.Result
		learns      bool
	}{
		"reset after a trip":           {time.Second, time.Second, decide.Reset, true},
		"reset under a request":        {time.Second, time.Millisecond, decide.Reset, false},
		"broke while it was written":   {time.Second, time.Millisecond, decide.Incomplete, true},
		"an answer amiss says nothing": {0, time.Second, decide.Errored, false},
	} {
		b := poolFor(t, "127.0.0.1:9")
		near, far := net.Pipe()
		defer far.Close()
		c := &serverConn{Conn: near, addr: "127.0.0.1:9", dialTime: row.trip, idleBefore: b.maxIdle / 10, writeStartedAt: time.Now().Add(-row.after)}
		b.closeAfterFailure("s", c, row.result)
		if learned := b.learnedMaxIdle < b.maxIdle; learned != row.learns {
			t.Errorf("%s: kept for %v of %v", name, b.learnedMaxIdle, b.maxIdle)
		}
	}
}

// Where connections come up soon as a rule, an attempt does not wait for a late one: nothing has been sent, and another
// server may have it. The dial goes on, one to a server, and what comes up serves the next attempt.
func TestLateDialGoesOnWithoutItsAttempt(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	b.usualDialTime = time.Millisecond
	up, dials := make(chan struct{}), make(chan struct{}, 9)
	b.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials <- struct{}{}
		select {
		case <-up:
			return new(net.Dialer).DialContext(ctx, network, addr)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	standing := func(open, idle int) func() bool {
		return func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.open == open && len(b.idle["s"]) == idle
		}
	}
	b.cfg.Settings.ConnectTimeout = time.Hour
	ctx, cancel := context.WithTimeoutCause(context.Background(), testkit.Patience, core.ErrTimedOut)
	defer cancel()
	for range 2 {
		if result, _, _ := attemptAt(t, ctx, b, ""); result != decide.Incomplete || ctx.Err() != nil {
			t.Fatalf("result %v while no connection comes up, %v", result, ctx.Err())
		}
	}
	testkit.WaitFor(t, "the end of the second dial", standing(1, 0))
	close(up)
	testkit.WaitFor(t, "the first one's connection", standing(1, 1))
	rested(b)
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.OK || len(dials) != 2 {
		t.Errorf("result %v after %d dials: what came up late was not used", result, len(dials))
	}
}

// Where many come up late, to go elsewhere for each would cost more retries than there are: they are waited for as long
// as the settings say, until answers have paid for it.
func TestManyLateDialsAreWaitedFor(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	b.usualDialTime, b.abandonTokens = time.Millisecond, 0
	b.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		select {
		case <-time.After(3 * minDialWait):
			return new(net.Dialer).DialContext(ctx, network, addr)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.OK {
		t.Errorf("result %v", result)
	}
	for range 32 {
		near, far := net.Pipe()
		far.Close()
		b.releaseAfterResponse("s", &serverConn{Conn: near, addr: s.addr}, &response{})
	}
	if b.abandonTokens < 1 {
		t.Errorf("%v may be left after many answers", b.abandonTokens)
	}
}

// No dial outlasts the agent.
func TestLateDialEndsWithItsAgent(t *testing.T) {
	b := poolFor(t, "127.0.0.1:9")
	b.usualDialTime = time.Millisecond
	b.dialer = func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	attemptAt(t, context.Background(), b, "")
	b.shutdown()
	testkit.WaitFor(t, "the end of the dial", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0
	})
}

// How long a dial is waited for follows what half of the connections take. Late ones say nothing while they are fewer.
func TestUsualTripIsLearnt(t *testing.T) {
	b := poolFor(t, "127.0.0.1:9")
	late := b.cfg.Settings.ConnectTimeout
	if b.usualDialTime != late {
		t.Errorf("a trip is taken for %v before any was seen", b.usualDialTime)
	}
	for i := range 300 {
		b.learnDialTime([]time.Duration{time.Millisecond, time.Millisecond, late}[i%3])
	}
	if b.usualDialTime > 3*time.Millisecond {
		t.Errorf("a third are late, and the usual trip is %v", b.usualDialTime)
	}
	for range 200 {
		b.learnDialTime(late)
	}
	if b.usualDialTime != late {
		t.Errorf("all are late, and the usual trip is %v", b.usualDialTime)
	}
}

// ended is a purpose of a test's.
type ended struct {
	probeOwner
	over                   chan struct{}
	barred, lapsed, noDial bool
}

func (e ended) Ended() <-chan struct{} { return e.over }
func (e ended) BeginWrite(func()) core.SendRefusal {
	switch {
	case hasEnded(e):
		return core.RequestAnswered
	case e.barred:
		return core.ServerWithdrawn
	case e.lapsed:
		return core.WindowClosed
	}
	return core.SendAllowed
}
func (e ended) MayDial() bool { return !e.noDial }
