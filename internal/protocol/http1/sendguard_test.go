package http1

import (
	"context"
	"net"
	"net/url"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// writeDelay is how long a write is blocked beyond the moment at which its request should get its final answer.
const writeDelay = 400 * time.Millisecond

// A process may be delayed between its last check and the write. Whatever causes the request's final answer meanwhile,
// the answer waits for that write: no byte is sent for a request after its final answer.
func TestNothingIsWrittenAfterTheFinalAnswer(t *testing.T) {
	for name, end := range map[string]struct {
		expires string
		finish  func(r *runningAgent, panicNow *atomic.Bool)
	}{
		"deadline":    {"0.100", func(*runningAgent, *atomic.Bool) {}},
		"agent's end": {"30", func(r *runningAgent, panicNow *atomic.Bool) { panicNow.Store(true); go r.do("GET", "/get/other", "") }},
		"drain":       {"0.100", func(r *runningAgent, _ *atomic.Bool) { r.stop() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := serveRaw(t, func(int) string { return ok200 })
			cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{server.member("s")}, Deadline: 31000})
			var panicNow atomic.Bool
			held := make(chan *testkit.HeldWrite, 1)
			r := startParts(t, cfg, core.Options{NoLateConnections: true}, func(a *core.Agent) {
				a.SetStepHook(func(core.Totals) {
					if panicNow.Load() {
						panic("injected panic")
					}
				})
			})
			r.connPool.dialer = testkit.HoldWrites(held)
			answered := make(chan exchange, 1)
			go func() { answered <- r.do("GET", "/get/x", "", "X-Expires-In", end.expires) }()
			h := testkit.Receive(t, "dial", held)
			testkit.Receive(t, "write", h.Entered)
			end.finish(r, &panicNow)
			hold := time.NewTimer(writeDelay)
			defer hold.Stop()
			select {
			case x := <-answered:
				t.Errorf("the final answer came (%+v) while a write for its request was still to follow", x)
				answered <- x
			case <-hold.C:
			}
			close(h.Release)
			if x := testkit.Receive(t, "final answer", answered); x.err != nil {
				t.Errorf("%+v", x)
			}
		})
	}
}

// breakableListener fails permanently once broken is closed.
type breakableListener struct {
	net.Listener
	broken chan struct{}
	err    error
}

func (l *breakableListener) Accept() (net.Conn, error) {
	select {
	case <-l.broken:
		return nil, l.err
	default:
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, l.err
	}
	return c, nil
}

// A permanent failure of the listener makes the agent drain as SIGTERM does: admitted requests are answered, and then
// the agent ends with the error.
func TestBrokenListenerDrains(t *testing.T) {
	for name, err := range map[string]error{"closed": net.ErrClosed, "bad descriptor": syscall.EBADF} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server := serveRaw(t, func(int) string { <-release; return ok200 })
			cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{server.member("s")}})
			l := &breakableListener{Listener: testkit.Listen(t), broken: make(chan struct{}), err: err}
			now := make(chan time.Time)
			close(now)
			a, _, e := newAgent(cfg, testkit.DiscardLogger, core.Options{Listener: l, StopAccepting: now})
			if e != nil {
				t.Fatal(e)
			}
			ended := make(chan error, 1)
			go func() { ended <- a.Run(context.Background()) }()
			r := &runningAgent{Agent: a, base: "http://" + a.Addr().String()}
			answered := make(chan exchange, 1)
			go func() { answered <- r.do("GET", "/get/x", "") }()
			testkit.Receive(t, "request at the server", server.seen)
			close(l.broken)
			l.Listener.Close()
			testkit.WaitFor(t, "the end of accepting clients", func() bool { return !a.Accepting() || len(ended) > 0 })
			close(release)
			if x := testkit.Receive(t, "answer", answered); x.status != 200 {
				t.Errorf("the admitted request: %+v", x)
			}
			if e := testkit.Receive(t, "end", ended); e == nil {
				t.Error("an agent whose listener broke ended without an error")
			}
		})
	}
}

// slowWriter accepts connections on which each write is delayed.
type slowWriter struct {
	net.Listener
	hold time.Duration
}

func (l slowWriter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowWriterConn{c.(*net.TCPConn), l.hold}, nil
}

type slowWriterConn struct {
	*net.TCPConn
	hold time.Duration
}

func (c slowWriterConn) Write(p []byte) (int, error) {
	time.Sleep(c.hold) // the fault: the process is not scheduled between reading the clock and the write
	return c.TCPConn.Write(p)
}

// A request that arrives late in a drain is answered early enough for an agent whose write is delayed by 0.15 s.
func TestDelayedLastResponseIsWrittenBeforeStop(t *testing.T) {
	// The agent's further margin of 0.1 s may be used up by a machine that does not schedule it: then the test tries
	// again.
	var x exchange
	for range 3 {
		if x = requestLateInDrain(t); x.err == nil && x.status != 0 {
			return
		}
	}
	t.Errorf("%+v", x)
}

// requestLateInDrain returns the answer to a request to a silent server, made half a second after its agent was
// stopped.
func requestLateInDrain(t *testing.T) exchange {
	t.Helper()
	silent := make(chan struct{})
	defer close(silent)
	server := serveRaw(t, func(int) string { <-silent; return "" })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{server.member("s")}, Deadline: 300})
	accept := make(chan time.Time)
	r := startParts(t, cfg, core.Options{Listener: slowWriter{testkit.Listen(t), 150 * time.Millisecond}, StopAccepting: accept}, nil)
	testkit.WaitFor(t, "clients", r.Accepting)
	r.stop()
	time.Sleep(500 * time.Millisecond) // the request's deadline is then after the drain's end
	answered := make(chan exchange, 1)
	go func() { answered <- r.do("GET", "/get/x", "") }()
	testkit.Receive(t, "request at the server", server.seen)
	close(accept)
	return testkit.Receive(t, "answer", answered)
}

// answeredDuringBeginWrite is an attemptOwner whose request gets its final answer while its first write is being
// admitted.
type answeredDuringBeginWrite struct{ probeOwner }

func (answeredDuringBeginWrite) BeginWrite(interrupt func()) core.SendRefusal {
	interrupt()
	return core.RequestAnswered
}

// If the first write is refused, the connection is unchanged and serves the next request.
func TestConnectionIsReusedAfterRefusedWrite(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil)
	if r, _, _ := b.attempt(context.Background(), answeredDuringBeginWrite{}, "s", m); r != decide.NotSent {
		t.Fatalf("result %v", r)
	}
	passReuseDelay(b)
	if r, _, _ := b.attempt(context.Background(), probeOwner{}, "s", m); r != decide.OK || b.open != 1 {
		t.Errorf("result %v, %d connections", r, b.open)
	}
}

// The agent's own answer at a deadline arrives in time even if its write is delayed by 0.15 s (BENCH, "What production
// adds"). Known to fail: the agent waits for attempts until one tick before the deadline, so the answer that follows
// is 0.15 s late. In a build that delays one write in twenty, seed 630002 of the short days breaks the rule `lost` on
// the roll day. If the agent answers 0.15 s before the deadline, the seed passes; with 0.05 s it still breaks the
// rule. Without the fault, answering earlier lowers the result (mean of five panels: 710001, 13, 25, 37, 49): 0.835
// with no margin, 0.831 with 0.05 s, 0.818 with 0.1 s, 0.818 with 0.15 s. The standard deviation over these seeds is
// 0.017, and the result falls for each seed.
func TestOwnAnswerAllowsForAHeldWrite(t *testing.T) {
	const (
		deadline = 600 * time.Millisecond
		slack    = 100 * time.Millisecond // the allowed 0.1 s
	)
	silent := make(chan struct{})
	defer close(silent)
	server := serveRaw(t, func(int) string { <-silent; return "" })
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{server.member("s")}, Deadline: int(deadline.Milliseconds())})
	r := startParts(t, cfg, core.Options{Listener: slowWriter{testkit.Listen(t), 150 * time.Millisecond}, NoLateConnections: true}, nil)
	testkit.WaitFor(t, "clients", r.Accepting)
	began := time.Now()
	if got := r.do("GET", "/get/x", ""); got.err != nil || got.status == 200 {
		t.Errorf("%+v", got)
	}
	if took := time.Since(began); took > deadline+slack {
		t.Errorf("answered after %v, the deadline is %v", took, deadline)
	}
}
