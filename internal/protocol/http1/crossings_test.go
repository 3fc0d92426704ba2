package http1

import (
	"fmt"
	"io"
	"testing"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/catalog"
	"vetchhaven/internal/testkit"
)

// This file forces the crossings of docs/design/crossings.md: what holds a byte, a dial, an answer or the loop lets
// go when the test says so.

// loopHold stops an agent's loop at its next step, until it is let go.
type loopHold struct {
	arm  chan struct{} // of one: the next step stops
	held chan struct{} // it has
	free chan struct{}
}

func holdable(a *core.Agent) *loopHold {
	h := &loopHold{make(chan struct{}, 1), make(chan struct{}), make(chan struct{})}
	a.Inject(func(core.Totals) {
		select {
		case <-h.arm:
			h.held <- struct{}{}
			<-h.free
		default:
		}
	})
	return h
}

// stop has the loop stop, by a request of its own, and returns once it stands.
func (h *loopHold) stop(t *testing.T, r *running) {
	t.Helper()
	h.arm <- struct{}{}
	go r.do("GET", "/get/x", "")
	testkit.Receive(t, "stop of the loop", h.held)
}

func headOf(class, id string) string {
	return fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", class, id)
}

// write sends bytes as they are.
func (c *client) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readers is how many clients' connections have a reader.
func (r *running) readers() int {
	r.front.mu.Lock()
	defer r.front.mu.Unlock()
	return len(r.front.conns)
}

// A request whose id another one has is turned away by the loop; its client may have left by then.
func TestDuplicateMayLeaveBeforeItsAnswer(t *testing.T) {
	release := make(chan struct{})
	s := serveRaw(t, func(int) string { <-release; return ok200 })
	cfg := testConfig(t, testkit.Setup{Servers: []catalog.Member{s.member("s")}})
	var loop *loopHold
	a := startParts(t, cfg, core.Parts{}, func(a *core.Agent) { loop = holdable(a) })
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "", "X-Trace-Id", "same") }()
	testkit.Receive(t, "first request", s.seen)
	loop.stop(t, a)
	before := a.readers()
	again := a.connect(t)
	again.write(headOf("get", "same"))
	testkit.WaitFor(t, "the second request", func() bool { return a.Open() == 3 })
	reset(again.c)
	testkit.WaitFor(t, "the end of its reader", func() bool { return a.readers() == before })
	close(loop.free)
	close(release)
	if x := testkit.Receive(t, "first answer", first); x.status != 200 {
		t.Errorf("first: %+v", x)
	}
}
