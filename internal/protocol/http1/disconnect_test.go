package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// The tests of this file cover each way in which an attempt may begin for a client that has disconnected: the
// disconnect reaches the agent's system before the slot, dial, response or body for which the attempt waits becomes
// available.

// lateListener accepts connections whose reader gets no bytes after its first read until release is closed, like a
// reader that the machine does not schedule in time or that is busy. Close, and a read deadline in the past, end the
// wait.
type lateListener struct {
	net.Listener
	late    bool
	notLate atomic.Int32 // how many of the next connections have readers that are not late
	release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || !l.late || l.notLate.Add(-1) >= 0 {
		return c, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), release: l.release, woken: make(chan struct{}, 1)}, nil
}

type lateConn struct {
	*net.TCPConn
	release, woken chan struct{}
	hasRead        bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.hasRead {
		select {
		case <-c.release:
		case <-c.woken:
			return 0, os.ErrDeadlineExceeded
		}
	}
	c.hasRead = true
	return c.TCPConn.Read(p)
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.wake()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *lateConn) Close() error {
	c.wake()
	return c.TCPConn.Close()
}

func (c *lateConn) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// waysToDisconnect has the ways in which a client disconnects, by name. Each function returns once the disconnect has
// reached the agent's system, unless unread data is ahead of it.
var waysToDisconnect = map[string]func(t *testing.T, c net.Conn){
	"close": func(t *testing.T, c net.Conn) { testkit.HalfClose(t, c); c.Close() },
	// Until a response is written, a half close can't be distinguished from a close. It counts as one: see
	// docs/design/crossings.md.
	"half close": func(t *testing.T, c net.Conn) { testkit.HalfClose(t, c) },
	"reset":      func(_ *testing.T, c net.Conn) { reset(c) },
}

// disconnectSetup is an agent with one server. The test sets the server's responses, and delays them.
type disconnectSetup struct {
	*runningAgent
	server   *standIn
	answer   chan string // the response to each request that arrives
	listener *lateListener
}

func startDisconnectSetup(t *testing.T, late bool, change func(*core.Config)) *disconnectSetup {
	t.Helper()
	l := &disconnectSetup{answer: make(chan string), listener: &lateListener{Listener: testkit.Listen(t), late: late, release: make(chan struct{})}}
	l.server = serveRaw(t, func(int) string { return <-l.answer })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{l.server.member("s")}})
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Objective = cfg.Settings.Classes[i].Deadline // lets requests wait for long
	}
	if change != nil {
		change(cfg)
	}
	now := make(chan time.Time)
	close(now)
	l.runningAgent = startParts(t, cfg, core.Options{Listener: l.listener, StopAccepting: now}, nil)
	t.Cleanup(sync.OnceFunc(func() { close(l.listener.release) }))
	return l
}

// occupyServer sends as many requests as the server may have in flight, so that the next one is queued in the
// balancer.
func (l *disconnectSetup) occupyServer(t *testing.T) (answers chan exchange) {
	t.Helper()
	const maxInFlight = 6 // the balancer's initial limit for one server
	answers = make(chan exchange, maxInFlight)
	for range maxInFlight {
		go func() { answers <- l.do("GET", "/get/x", "") }()
	}
	for range maxInFlight {
		testkit.Receive(t, "request at the server", l.server.seen)
	}
	return answers
}

// expectNotServed waits until the client's disconnect is detected, and fails the test if its request reached the
// server.
func (l *disconnectSetup) expectNotServed(t *testing.T) {
	t.Helper()
	testkit.WaitFor(t, "the disconnect, or an attempt", func() bool { return l.Totals().ClientDisconnects >= 1 || len(l.server.seen) > 0 })
	if n := len(l.server.seen); n > 0 {
		t.Fatalf("%d requests of a disconnected client reached the server (%+v)", n, l.Totals())
	}
}

// No attempt begins for a client that has disconnected, by a close, a half close or a reset, whatever the attempt
// waited for and whether or not the client's reader has detected the disconnect.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for reader, late := range map[string]bool{"reader on time": false, "reader late": true} {
		for how, disconnect := range waysToDisconnect {
			name := func(way string) string { return way + ", " + how + ", " + reader }
			// known returns once the disconnect has reached the agent: the reader has detected it, or the socket shows
			// it.
			known := func(t *testing.T, l *disconnectSetup) {
				if !late {
					testkit.WaitFor(t, "the disconnect", func() bool { return l.Totals().ClientDisconnects == 1 })
				}
			}
			t.Run(name("queued in the balancer"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				answers := l.occupyServer(t)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				testkit.WaitFor(t, "the request", func() bool { return l.Totals().Requests == 7 })
				disconnect(t, c.c)
				known(t, l)
				for range 6 {
					l.answer <- ok200
				}
				for range 6 {
					testkit.Receive(t, "answer", answers)
				}
				l.expectNotServed(t)
			})
			t.Run(name("waiting for a dial"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				dialled, release := l.blockDial(l.server.addr)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				testkit.Receive(t, "dial", dialled)
				disconnect(t, c.c)
				known(t, l)
				close(release)
				l.expectNotServed(t)
			})
			t.Run(name("before a retry"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				testkit.Receive(t, "first attempt", l.server.seen)
				disconnect(t, c.c)
				known(t, l)
				l.answer <- "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
				l.expectNotServed(t)
			})
			t.Run(name("behind another request"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				c := l.connect(t)
				c.write(headOf("get", "first") + headOf("get", "left"))
				testkit.Receive(t, "first request", l.server.seen)
				disconnect(t, c.c)
				known(t, l)
				l.answer <- ok200
				testkit.WaitFor(t, "the second request's end, or that of its reader, or an attempt", func() bool {
					return l.Totals().ClientDisconnects == 1 || l.readers() == 0 || len(l.server.seen) > 0
				})
				if len(l.server.seen) > 0 {
					t.Errorf("%d requests of a disconnected client reached the server", len(l.server.seen))
				}
			})
			t.Run(name("its connection waits to be accepted"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				l.listener.notLate.Store(1)
				l.Limiter().Resize(1)
				first := make(chan exchange, 1)
				go func() { first <- l.do("GET", "/get/x", "") }()
				testkit.Receive(t, "first request", l.server.seen)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				disconnect(t, c.c)
				l.answer <- ok200
				testkit.Receive(t, "first response", first)
				if how == "reset" { // the system may drop the connection before it is accepted
					go func() { first <- l.do("GET", "/get/x", "", "X-Trace-Id", "next") }()
					if id := testkit.Receive(t, "next request", l.server.seen); id != "next" {
						t.Errorf("%q reached the server", id)
					}
					l.answer <- ok200
					testkit.Receive(t, "its response", first)
					return
				}
				l.expectNotServed(t)
			})
			t.Run(name("its body waits for a server"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, func(cfg *core.Config) { cfg.BodyBytes = 1 }) // every body is an upload
				dialled, release := l.blockDial(l.server.addr)
				c := l.connect(t)
				c.write("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: left\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nwhole")
				testkit.Receive(t, "dial", dialled)
				disconnect(t, c.c)
				close(release)
				l.expectNotServed(t)
			})
		}
	}
}

// A request whose client disconnects while its body is being read is not admitted.
func TestClientThatDisconnectsWithinItsBodyIsNotAdmitted(t *testing.T) {
	for how, disconnect := range waysToDisconnect {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			l := startDisconnectSetup(t, false, nil)
			c := l.connect(t)
			c.write("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: left\r\nIdempotency-Key: k\r\nContent-Length: 50\r\n\r\na part")
			testkit.WaitFor(t, "its reader", func() bool { return l.readers() == 1 })
			disconnect(t, c.c)
			testkit.WaitFor(t, "the end of its reader", func() bool { return l.readers() == 0 })
			if got := l.Totals(); got.Requests != 0 || len(l.server.seen) != 0 {
				t.Errorf("%+v, %d requests reached the server", got, len(l.server.seen))
			}
		})
	}
}

// If a client has sent more of its body than the agent has read, its disconnect is behind the unread bytes and can't
// be detected before they are read. The beginning of its request may be sent to a server, but not its last byte.
func TestUploadOfDisconnectedClientReachesNoServer(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			l := startDisconnectSetup(t, false, nil)
			dialled, release := l.blockDial(l.server.addr)
			c := l.connect(t)
			const size = 2 * maxBufferedBody
			body, head := strings.Repeat("x", size), fmt.Sprintf("Content-Length: %d", size)
			if framing == "chunks" {
				body, head = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body), "Transfer-Encoding: chunked"
			}
			c.write("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: left\r\nIdempotency-Key: k\r\n" + head + "\r\n\r\n" + body)
			testkit.Receive(t, "dial", dialled)
			c.c.Close()
			close(release)
			l.expectNotServed(t)
		})
	}
}

// A client that has closed only its sending side, and still reads, gets its response at once: its request is refused
// if nothing was sent, and fails if it may have been executed. The client gets one response, and then the end of the
// connection.
func TestHalfClosedClientGetsResponseAtOnce(t *testing.T) {
	t.Run("queued", func(t *testing.T) {
		t.Parallel()
		l := startDisconnectSetup(t, false, nil)
		answers := l.occupyServer(t)
		c := l.connect(t)
		c.write(headOf("get", "half"))
		testkit.WaitFor(t, "the request", func() bool { return l.Totals().Requests == 7 })
		testkit.HalfClose(t, c.c)
		if status, _ := c.readResponse(); status != http.StatusServiceUnavailable {
			t.Errorf("%d", status)
		}
		c.expectEnd()
		for range 6 {
			l.answer <- ok200
		}
		for range 6 {
			testkit.Receive(t, "answer", answers)
		}
	})
	t.Run("sent", func(t *testing.T) {
		t.Parallel()
		l := startDisconnectSetup(t, false, nil)
		c := l.connect(t)
		c.write("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: half\r\nContent-Length: 0\r\n\r\n")
		testkit.Receive(t, "request", l.server.seen)
		testkit.HalfClose(t, c.c)
		if status, _ := c.readResponse(); status != http.StatusBadGateway {
			t.Errorf("%d", status)
		}
		c.expectEnd()
		close(l.answer)
	})
}

// stuckConn blocks the write of a request's last bytes, like a connection to a server that reads nothing, until the
// write deadline has passed.
type stuckConn struct {
	net.Conn
	written       atomic.Int64
	stuck, passed chan struct{}
	ended         chan error
}

func (c *stuckConn) Write(p []byte) (int, error) {
	if !strings.HasSuffix(string(p), "the last") {
		c.written.Add(int64(len(p)))
		return c.Conn.Write(p)
	}
	close(c.stuck)
	<-c.passed
	c.ended <- os.ErrDeadlineExceeded
	return 0, os.ErrDeadlineExceeded
}

func (c *stuckConn) SetWriteDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		close(c.passed)
	}
	return c.Conn.SetWriteDeadline(t)
}

// If a client disconnects while the write of its request's last bytes is blocked on the server, that write is ended.
// The last piece of an upload may be a few bytes, behind many that the server has not read yet.
func TestLastBytesBlockedOnServerEndWithClient(t *testing.T) {
	for name, size := range map[string]int{"a few bytes": len("the last"), "a buffered body": 8 << 10, "upload": 2 * maxBufferedBody, "upload, a small last piece": 2 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := startDisconnectSetup(t, false, nil)
			out := &stuckConn{stuck: make(chan struct{}), passed: make(chan struct{}), ended: make(chan error, 1)}
			plain := l.connPool.dialer
			l.connPool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := plain(ctx, network, addr)
				out.Conn = c
				return out, err
			}
			c := l.connect(t)
			text := fmt.Sprintf("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: left\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s",
				size, strings.Repeat("x", size-len("the last")))
			if strings.HasSuffix(name, "small last piece") {
				c.write(text)
				text = ""
				testkit.WaitFor(t, "all but the last bytes at the server", func() bool { return out.written.Load() >= int64(size-len("the last")) })
			}
			c.write(text + "the last")
			testkit.Receive(t, "last bytes", out.stuck)
			c.c.Close()
			testkit.Receive(t, "end of the write", out.ended)
			l.expectNotServed(t)
		})
	}
}
