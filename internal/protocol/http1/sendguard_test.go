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

// heldFor is how long a write is held past the moment in which its request should have its final answer.
const heldFor = 400 * time.Millisecond

// A process may be held up between its last check and the write. Whatever gives the request its final answer meanwhile,
// the answer waits for that write: nothing is sent for a request behind its final answer.
func TestNothingIsWrittenAfterTheFinalAnswer(t *testing.T) {
	for name, end := range map[string]struct {
		expires string
		finish  func(r *runningAgent, blow *atomic.Bool)
	}{
		"deadline":    {"0.100", func(*runningAgent, *atomic.Bool) {}},
		"agent's end": {"30", func(r *runningAgent, blow *atomic.Bool) { blow.Store(true); go r.do("GET", "/get/other", "") }},
		"drain":       {"0.100", func(r *runningAgent, _ *atomic.Bool) { r.stop() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := serveRaw(t, func(int) string { return ok200 })
			cfg := testConfig(t, testkit.Setup{Servers: []discovery.Member{server.member("s")}, Deadline: 31000})
			var blow atomic.Bool
			held := make(chan *testkit.HeldWrite, 1)
			r := startParts(t, cfg, core.Parts{NoLateConnections: true}, func(a *core.Agent) {
				a.SetStepHook(func(core.Totals) {
					if blow.Load() {
						panic("brought about")
					}
				})
			})
			r.connPool.dialer = testkit.HoldWrites(held)
			answered := make(chan exchange, 1)
			go func() { answered <- r.do("GET", "/get/x", "", "X-Expires-In", end.expires) }()
			h := testkit.Receive(t, "dial", held)
			testkit.Receive(t, "write", h.Entered)
			end.finish(r, &blow)
			hold := time.NewTimer(heldFor)
			defer hold.Stop()
			select {
			case x := <-answered:
				t.Errorf("the final answer came (%+v) while a write for its request was under way, which follows it", x)
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

// breakableListener fails for good once broken is closed.
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

// A listener that can't go on has the agent drain as a SIGTERM does: what was taken is answered, and then it ends with
// the error.
func TestBrokenListenerDrains(t *testing.T) {
	for name, err := range map[string]error{"closed": net.ErrClosed, "bad descriptor": syscall.EBADF} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server := serveRaw(t, func(int) string { <-release; return ok200 })
			cfg := testConfig(t, testkit.Setup{Servers: []discovery.Member{server.member("s")}})
			l := &breakableListener{Listener: testkit.Listen(t), broken: make(chan struct{}), err: err}
			now := make(chan time.Time)
			close(now)
			a, _, e := newAgent(cfg, testkit.Quiet, core.Parts{Listener: l, StopAccepting: now})
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
			testkit.WaitFor(t, "the end of taking clients", func() bool { return !a.Accepting() || len(ended) > 0 })
			close(release)
			if x := testkit.Receive(t, "answer", answered); x.status != 200 {
				t.Errorf("what was taken: %+v", x)
			}
			if e := testkit.Receive(t, "end", ended); e == nil {
				t.Error("an agent whose listener broke ended without an error")
			}
		})
	}
}

// slowWriter has a listener's connections held up for a while at each write.
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
	time.Sleep(c.hold) // the fault itself: a process that is not run between its look at the clock and the write
	return c.TCPConn.Write(p)
}

// A request that comes late in a drain has its last answer in time to be written by an agent that is held up for 0.15 s.
func TestDelayedLastResponseIsWrittenBeforeStop(t *testing.T) {
	// The 0.1 s that the agent keeps besides may go to a machine that does not run it: then it is tried again.
	var x exchange
	for range 3 {
		if x = lateRequestOfADrain(t); x.err == nil && x.status != 0 {
			return
		}
	}
	t.Errorf("%+v", x)
}

// lateRequestOfADrain is what becomes of a request to a silent server, half a second after its agent was told to end.
func lateRequestOfADrain(t *testing.T) exchange {
	t.Helper()
	silent := make(chan struct{})
	defer close(silent)
	server := serveRaw(t, func(int) string { <-silent; return "" })
	cfg := testConfig(t, testkit.Setup{Servers: []discovery.Member{server.member("s")}, Deadline: 300})
	accept := make(chan time.Time)
	r := startParts(t, cfg, core.Parts{Listener: slowWriter{testkit.Listen(t), 150 * time.Millisecond}, StopAccepting: accept}, nil)
	testkit.WaitFor(t, "clients", r.Accepting)
	r.stop()
	time.Sleep(500 * time.Millisecond) // so late in the drain that the request's own time reaches past its end
	answered := make(chan exchange, 1)
	go func() { answered <- r.do("GET", "/get/x", "") }()
	testkit.Receive(t, "request at the server", server.seen)
	close(accept)
	return testkit.Receive(t, "answer", answered)
}

// answeredMeanwhile is a purpose whose request has its answer while its first byte is being admitted.
type answeredMeanwhile struct{ probeOwner }

func (answeredMeanwhile) BeginWrite(interrupt func()) core.SendRefusal {
	interrupt()
	return core.RequestAnswered
}

// A connection on which nothing was written after all serves the next request as if nothing had been.
func TestConnectionIsReusedAfterRefusedWrite(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	m := newMessage("GET", "a", &url.URL{Path: "/get/x"}, nil, nil)
	if r, _, _ := b.attempt(context.Background(), answeredMeanwhile{}, "s", m); r != decide.NotSent {
		t.Fatalf("result %v", r)
	}
	endRest(b)
	if r, _, _ := b.attempt(context.Background(), probeOwner{}, "s", m); r != decide.OK || b.open != 1 {
		t.Errorf("result %v, %d connections", r, b.open)
	}
}

// The agent's own answer at a deadline is there in time also where its write is held up by 0.15 s (BENCH, "What production adds").
// Known to fail: attempts are waited for up to the deadline, less a tick, and the answer that follows is 0.15 s late. Of a build
// with one write in twenty held up, seed 630002 of the short days breaks `lost` on roll; with own answers 0.15 s before the
// deadline it passes, 0.05 s before it breaks too. What that costs without the fault, mean of five panels (710001, 13, 25, 37,
// 49): 0.835 with none, 0.831 with 0.05 s, 0.818 with 0.1 s, 0.818 with 0.15 s; the spread over these seeds is 0.017 (standard
// deviation), and each seed falls.
func TestOwnAnswerAllowsForAHeldWrite(t *testing.T) {
	const (
		deadline = 600 * time.Millisecond
		slack    = 100 * time.Millisecond // 0.1 s of the pages
	)
	silent := make(chan struct{})
	defer close(silent)
	server := serveRaw(t, func(int) string { <-silent; return "" })
	cfg := testConfig(t, testkit.Setup{Servers: []discovery.Member{server.member("s")}, Deadline: int(deadline.Milliseconds())})
	r := startParts(t, cfg, core.Parts{Listener: slowWriter{testkit.Listen(t), 150 * time.Millisecond}, NoLateConnections: true}, nil)
	testkit.WaitFor(t, "clients", r.Accepting)
	began := time.Now()
	if got := r.do("GET", "/get/x", ""); got.err != nil || got.status == 200 {
		t.Errorf("%+v", got)
	}
	if took := time.Since(began); took > deadline+slack {
		t.Errorf("answered after %v, the deadline is %v", took, deadline)
	}
}
