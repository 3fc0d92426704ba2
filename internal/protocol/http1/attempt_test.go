package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
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

// Each case is a row of the protocol's table of outcomes. A request that counts as never executed may be sent again or
// refused, so a wrong row can cause an effect twice.
func TestOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		answer string
		want   decide.Result
	}{
		"served":                    {ok200, decide.OK},
		"served in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", decide.OK},
		"error":                     {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"full":                      {"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", decide.Rejected},
		"deadline passed":           {"HTTP/1.1 504 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", decide.Rejected},
		"503 without proof":         {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"504 without proof":         {"HTTP/1.1 504 X\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"500 is no proof":           {"HTTP/1.1 500 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"redirect":                  {"HTTP/1.1 302 X\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n", decide.Errored},
		"closed without a response": {"", decide.Reset},
		"broken in the header":      {"HTTP/1.1 200 OK\r\nTRUNCATED", decide.Reset},
		"truncated length":          {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED", decide.Reset},
		"truncated chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nTRUNCATED\r\n", decide.Reset},
		// A process responds, and may have executed the request to which its response is invalid.
		"not HTTP":              {"TRUNCATED\r\n\r\n", decide.Errored},
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
		// The response itself is valid, despite the bytes before it or after it, or an unreadable field in it.
		"1xx ahead":                {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok200, decide.OK},
		"unreadable report":        {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: \xff queue==, eps=NaN\r\nContent-Length: 5\r\n\r\nhello", decide.OK},
		"a second response behind": {ok200 + ok200, decide.OK},
		"noise behind":             {ok200 + "\x00\xff\r\n", decide.OK},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveRaw(t, func(int) string { return row.answer })
			ctx, cancel := context.WithTimeout(context.Background(), testkit.EventTimeout)
			defer cancel()
			b := poolFor(t, s.addr)
			result, a, _ := attemptAt(t, ctx, b, "body")
			if result != row.want || (a != nil) != (row.want == decide.OK) {
				t.Errorf("result %v, response %v; want %v", result, a, row.want)
			}
			if a != nil && string(a.body) != "hello" {
				t.Errorf("body %q", a.body)
			}
			if result == decide.Errored && a == nil && strings.HasPrefix(row.answer, "HTTP/1.1 200") && b.open != 0 {
				t.Error("a connection that brought an invalid response was kept")
			}
			if a != nil {
				if used := b.responseBudget.Used(); used != int64(len(a.body)) && !strings.Contains(row.answer, "chunked") {
					t.Errorf("%d bytes are reserved for a body of %d that is still to be written", used, len(a.body))
				}
				a.Discard()
			}
			if b.responseBudget.Free() != int64(b.cfg.BodyMemory()) {
				t.Error("bytes of the response stay reserved")
			}
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	b := poolFor(t, testkit.RefusingAddr(t))
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.ConnectFailed {
		t.Errorf("result %v", result)
	}
	if b.open != 0 {
		t.Errorf("%d connections counted as open", b.open)
	}
}

// If the server resets a new connection before dial has returned, or if the end of the attempt ends the dial, then
// nothing was executed, but the server's process need not have ended. Whether the dial or the first write detects a
// reset is a matter of chance, so the dialer here waits for the reset.
func TestOutcomeOfConnectionBrokenWhileDialling(t *testing.T) {
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
		t.Errorf("timed out: result %v", result)
	}
	b.cfg.Settings.ConnectTimeout = time.Millisecond // not open in time: the server may be slow, or unreachable
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.Incomplete {
		t.Errorf("not open in time: result %v", result)
	}
	testkit.WaitFor(t, "the end of the dial that continued", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0
	})
	b.cfg.Settings.ConnectTimeout = testkit.EventTimeout
	b.dialer = new(net.Dialer).DialContext // refused: no process listens there
	b.update(core.List{ListUpdate: decide.ListUpdate{Backends: []decide.Backend{{ID: "s"}}}, Addrs: map[string]string{"s": testkit.RefusingAddr(t)}})
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.ConnectFailed {
		t.Errorf("refused: result %v", result)
	}
	if b.open != 0 {
		t.Errorf("%d connections counted as open", b.open)
	}
}

// If this machine has no resources for a connection, that is no fault of the server. If the server's machine is
// unreachable, that is no evidence about the server's process: only a refused connection shows that the process has
// ended.
func TestOutcomeOfConnectErrors(t *testing.T) {
	for err, want := range map[syscall.Errno]decide.Result{
		syscall.ECONNREFUSED: decide.ConnectFailed,
		syscall.EMFILE:       decide.NotSent, syscall.ENFILE: decide.NotSent, syscall.ENOBUFS: decide.NotSent,
		syscall.ENOMEM: decide.NotSent, syscall.EADDRNOTAVAIL: decide.NotSent,
		syscall.EHOSTUNREACH: decide.Incomplete, syscall.ENETUNREACH: decide.Incomplete, syscall.ETIMEDOUT: decide.Incomplete,
		syscall.ECONNRESET: decide.Incomplete, syscall.ECONNABORTED: decide.Incomplete,
		// None of these shows that the server's process has ended: only a refused connection does.
		syscall.ENETDOWN: decide.Incomplete, syscall.EPERM: decide.Incomplete, syscall.EACCES: decide.Incomplete, syscall.EIO: decide.Incomplete,
		syscall.EHOSTDOWN: decide.Incomplete, syscall.EINVAL: decide.Incomplete,
	} {
		b := poolFor(t, testkit.RefusingAddr(t))
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

// The server accepts the request and sends nothing. The attempt ends when the agent stops waiting, the request may
// have been executed, and the connection is not reused.
func TestOutcomeOfAttemptPastItsDeadline(t *testing.T) {
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

func TestOutcomeOfCancelledAttempt(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := serveRaw(t, func(int) string { <-hold; return "" })
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-s.seen; cancel(core.ErrCancelled) }()
	if result, _, _ := attemptAt(t, ctx, poolFor(t, s.addr), ""); result != decide.Cancelled {
		t.Errorf("result %v", result)
	}
}

// shortConn breaks once as many bytes as remaining holds have been written.
type shortConn struct {
	net.Conn
	remaining int
}

func (c *shortConn) Write(p []byte) (int, error) {
	if len(p) <= c.remaining {
		c.remaining -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.remaining])
	c.remaining = 0
	return n, errors.New("broken pipe")
}

// If a connection breaks before the request's last byte is written, the request was not executed; one byte later it
// may have been.
func TestOutcomeOfPartialWrite(t *testing.T) {
	s := serveConns(t, func(_ net.Conn, in *bufio.Reader) { _, _ = io.Copy(io.Discard, in) })
	for _, room := range []int{0, 10, 6000} {
		b := poolFor(t, s.Addr)
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

// net/http's Transport retries a request on its own when a reused connection turns out to be dead, even a POST with an
// Idempotency-Key. That would be an attempt that the balancer did not decide on. Here the first request leaves an idle
// connection, which the server closes without a response to the second request.
func TestNothingIsResentAfterStaleConnection(t *testing.T) {
	s := serveRaw(t, func(n int) string { return []string{ok200, "", ok200}[n] })
	b := poolFor(t, s.addr)
	if result, _, _ := attemptAt(t, context.Background(), b, "one"); result != decide.OK {
		t.Fatalf("first: %v", result)
	}
	if len(b.idle["s"]) != 1 {
		t.Fatalf("%d idle connections after the first", len(b.idle["s"]))
	}
	passReuseDelay(b)
	if result, _, _ := attemptAt(t, context.Background(), b, "two"); result != decide.Reset {
		t.Fatalf("second: %v", result)
	}
	if n := len(s.seen); n != 2 {
		t.Errorf("%d requests reached the server, want 2", n)
	}
}

func TestLoadReportIsRead(t *testing.T) {
	s := serveRaw(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=2, inflight=7, eps=0.5, util=0.61\r\nContent-Length: 5\r\n\r\nhello"
	})
	_, _, load := attemptAt(t, context.Background(), poolFor(t, s.addr), "")
	if want := wire.Load(map[string]float64{"backlog": 2, "outstanding": 7, "errors_per_s": 0.5}); load != want {
		t.Errorf("load %+v, want %+v", load, want)
	}
}

func TestProbeReadsLoad(t *testing.T) {
	for status, want := range map[string]decide.Result{"200 OK": decide.OK, "503 X": decide.Errored} {
		s := serveRaw(t, func(int) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 12\r\n\r\nTEXT queue=3" })
		b := poolFor(t, s.addr)
		b.cfg.Site.LoadProbed = true
		if p := b.probe("s"); p.Result != want || p.Result == decide.OK && p.Load.Queue != 3 {
			t.Errorf("%s: %+v", status, p)
		}
	}
}

// A request may end while a connection is being opened for it, for example because its client disconnects. Then
// nothing is sent for it, and the connection serves the next request.
func TestNothingIsSentAfterRequestEnded(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	ended := make(chan struct{})
	dial := b.dialer
	b.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		close(ended)
		return c, err
	}
	m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil)
	if r, _, _ := b.attempt(context.Background(), stubOwner{ended: ended}, "s", m); r != decide.NotSent {
		t.Errorf("result %v", r)
	}
	passReuseDelay(b)
	if r, _, _ := b.attempt(context.Background(), probeOwner{}, "s", m); r != decide.OK || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the server", r, len(s.seen))
	}
}

// An attempt whose deduplication window or lease is over sends nothing. An attempt that may not dial opens no
// connection, but uses an idle one.
func TestNothingIsSentOrDialledWithoutAdmission(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil)
	if r, _, _ := b.attempt(context.Background(), stubOwner{noDial: true}, "s", m); r != decide.NotSent || b.open != 0 {
		t.Errorf("result %v, %d connections", r, b.open)
	}
	if r, _, _ := b.attempt(context.Background(), stubOwner{windowClosed: true}, "s", m); r != decide.NotSent || len(s.seen) != 0 {
		t.Errorf("result %v, %d requests reached the server", r, len(s.seen))
	}
	passReuseDelay(b)
	if r, _, _ := b.attempt(context.Background(), stubOwner{noDial: true}, "s", m); r != decide.OK || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the server", r, len(s.seen))
	}
}
