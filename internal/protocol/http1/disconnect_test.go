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

// This file plays each way to an attempt against a client that disconnects: its end is with the agent's system before the
// slot, the dial, the answer or the body that the attempt waits for is let go.

// lateListener has connections whose reader gets nothing after its first bytes until release is closed, as one that the
// machine does not run in time, or that is busy otherwise. A close and a read deadline that has passed wake it.
type lateListener struct {
	net.Listener
	late    bool
	prompt  atomic.Int32 // of the connections to come, those whose readers are not late
	release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || !l.late || l.prompt.Add(-1) >= 0 {
		return c, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), release: l.release, woken: make(chan struct{}, 1)}, nil
}

type lateConn struct {
	*net.TCPConn
	release, woken chan struct{}
	began          bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.began {
		select {
		case <-c.release:
		case <-c.woken:
			return 0, os.ErrDeadlineExceeded
		}
	}
	c.began = true
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

// leave is how clients leave, by name. Each returns once their end is with the agent's system, where nothing that it
// does not take stands before it.
var leave = map[string]func(t *testing.T, c net.Conn){
	"close": func(t *testing.T, c net.Conn) { testkit.HalfClose(t, c); c.Close() },
	// Nobody can tell it from a close until an answer is written. It counts as one: see docs/design/crossings.md.
	"half close": func(t *testing.T, c net.Conn) { testkit.HalfClose(t, c) },
	"reset":      func(_ *testing.T, c net.Conn) { reset(c) },
}

// disconnectSetup is an agent with one server that answers as its test says, and holds its first connections' dial and answers.
type disconnectSetup struct {
	*runningAgent
	server *backend
	answer chan string // of each request that comes
	lates  *lateListener
}

func startDisconnectSetup(t *testing.T, late bool, change func(*core.Config)) *disconnectSetup {
	t.Helper()
	l := &disconnectSetup{answer: make(chan string), lates: &lateListener{Listener: testkit.Listen(t), late: late, release: make(chan struct{})}}
	l.server = serveRaw(t, func(int) string { return <-l.answer })
	cfg := testConfig(t, testkit.Setup{Servers: []discovery.Member{l.server.member("s")}})
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Objective = cfg.Settings.Classes[i].Deadline // what waits, waits long
	}
	if change != nil {
		change(cfg)
	}
	now := make(chan time.Time)
	close(now)
	l.runningAgent = startParts(t, cfg, core.Parts{Listener: l.lates, StopAccepting: now}, nil)
	t.Cleanup(sync.OnceFunc(func() { close(l.lates.release) }))
	return l
}

// occupyServer has the server hold as many requests as it may have, so that the next one waits in the module.
func (l *disconnectSetup) occupyServer(t *testing.T) (answers chan exchange) {
	t.Helper()
	const most = 6 // as the module has it at its start, for one server
	answers = make(chan exchange, most)
	for range most {
		go func() { answers <- l.do("GET", "/get/x", "") }()
	}
	for range most {
		testkit.Receive(t, "request at the server", l.server.seen)
	}
	return answers
}

// expectNotServed fails the test if a request of a client that has left reaches the server, once it is known to have left.
func (l *disconnectSetup) expectNotServed(t *testing.T) {
	t.Helper()
	testkit.WaitFor(t, "its leaving, or an attempt", func() bool { return l.Totals().ClientDisconnects >= 1 || len(l.server.seen) > 0 })
	if n := len(l.server.seen); n > 0 {
		t.Fatalf("%d reached the server whose client had left (%+v)", n, l.Totals())
	}
}

// A client that has left, by a close, a half close or a reset, has no attempt begun for it, whatever that waited for and
// whether or not its reader has seen the end.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for reader, late := range map[string]bool{"read on": false, "reader late": true} {
		for how, goes := range leave {
			name := func(way string) string { return way + ", " + how + ", " + reader }
			// known returns once the end is with the agent, at the reader or at the socket.
			known := func(t *testing.T, l *disconnectSetup) {
				if !late {
					testkit.WaitFor(t, "its leaving", func() bool { return l.Totals().ClientDisconnects == 1 })
				}
			}
			t.Run(name("queued in the module"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				answers := l.occupyServer(t)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				testkit.WaitFor(t, "the request", func() bool { return l.Totals().Requests == 7 })
				goes(t, c.c)
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
				goes(t, c.c)
				known(t, l)
				close(release)
				l.expectNotServed(t)
			})
			t.Run(name("before a further attempt"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				testkit.Receive(t, "first attempt", l.server.seen)
				goes(t, c.c)
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
				goes(t, c.c)
				known(t, l)
				l.answer <- ok200
				testkit.WaitFor(t, "the second one's end, or that of its reader, or an attempt", func() bool {
					return l.Totals().ClientDisconnects == 1 || l.readers() == 0 || len(l.server.seen) > 0
				})
				if len(l.server.seen) > 0 {
					t.Errorf("%d reached the server whose client had left", len(l.server.seen))
				}
			})
			t.Run(name("its connection waits to be accepted"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, nil)
				l.lates.prompt.Store(1)
				l.Limiter().Resize(1)
				first := make(chan exchange, 1)
				go func() { first <- l.do("GET", "/get/x", "") }()
				testkit.Receive(t, "first request", l.server.seen)
				c := l.connect(t)
				c.write(headOf("get", "left"))
				goes(t, c.c)
				l.answer <- ok200
				testkit.Receive(t, "first answer", first)
				if how == "reset" { // the system may drop it unaccepted
					go func() { first <- l.do("GET", "/get/x", "", "X-Trace-Id", "next") }()
					if id := testkit.Receive(t, "next request", l.server.seen); id != "next" {
						t.Errorf("%q reached the server", id)
					}
					l.answer <- ok200
					testkit.Receive(t, "its answer", first)
					return
				}
				l.expectNotServed(t)
			})
			t.Run(name("its body waits for a server"), func(t *testing.T) {
				t.Parallel()
				l := startDisconnectSetup(t, late, func(cfg *core.Config) { cfg.BodyBytes = 1 }) // none is kept: each is an upload
				dialled, release := l.blockDial(l.server.addr)
				c := l.connect(t)
				c.write("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: left\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nwhole")
				testkit.Receive(t, "dial", dialled)
				goes(t, c.c)
				close(release)
				l.expectNotServed(t)
			})
		}
	}
}

// A client whose body is still being read, and that leaves, was never taken.
func TestClientThatDisconnectsWithinItsBodyIsNotAdmitted(t *testing.T) {
	for how, goes := range leave {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			l := startDisconnectSetup(t, false, nil)
			c := l.connect(t)
			c.write("POST /put/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: left\r\nIdempotency-Key: k\r\nContent-Length: 50\r\n\r\na part")
			testkit.WaitFor(t, "its reader", func() bool { return l.readers() == 1 })
			goes(t, c.c)
			testkit.WaitFor(t, "the end of its reader", func() bool { return l.readers() == 0 })
			if got := l.Totals(); got.Requests != 0 || len(l.server.seen) != 0 {
				t.Errorf("%+v, %d reached the server", got, len(l.server.seen))
			}
		})
	}
}

// A client that has sent more of its body than the systems hold unread, and has left, ends behind that: nobody can see it
// before its body is read. Its request may begin to go to a server, but its last byte does not.
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

// A client that has ended its sending alone, and reads on, is told at once that nothing more is done for it: refused
// where nothing was sent, failed where something may have run. It has one answer, and the end.
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

// stuckConn has the write that brings a request's last bytes wait, as one to a server that takes nothing, until its deadline
// has passed.
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

// A client leaves while the last bytes of its request wait for the server to take them: they are not left to it. The last
// piece of an upload may be a few bytes, behind many that the server has yet to take.
func TestLastBytesBlockedOnServerEndWithClient(t *testing.T) {
	for name, size := range map[string]int{"a few bytes": len("the last"), "kept whole": 8 << 10, "upload": 2 * maxBufferedBody, "upload, a small last piece": 2 * maxBufferedBody} {
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
