package http1

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// blockDial blocks the agent's first dial to the server at addr until release is closed.
func (r *runningAgent) blockDial(addr string) (dialled, release chan struct{}) {
	dialled, release = make(chan struct{}, 1), make(chan struct{})
	plain, first := r.connPool.dialer, atomic.Bool{}
	r.connPool.dialer = func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == addr && first.CompareAndSwap(false, true) {
			dialled <- struct{}{}
			<-release
			ctx = context.WithoutCancel(ctx) // the dial succeeds however late it is
		}
		return plain(ctx, network, to)
	}
	return dialled, release
}

// Nothing is sent on a connection whose dial was late if by then the endpoint list shows that the server drains, is
// gone or has moved (another process may have its address). Another server gets the request, or the server at its new
// address.
func TestLateConnectionToDrainingServerIsNotUsed(t *testing.T) {
	for _, state := range []string{"draining", "gone", "not listed", "moved"} {
		t.Run(state, func(t *testing.T) {
			one, two := serveRaw(t, func(int) string { return ok200 }), serveRaw(t, func(int) string { return ok200 })
			moved := serveRaw(t, func(int) string { return ok200 })
			list := testkit.NewScriptedList(t)
			a := start(t, testConfig(t, testkit.ConfigOptions{Discovery: list.Addr, Servers: []discovery.Server{one.member("one")}}))
			w := testkit.Receive(t, "watch", list.Watch)
			dialled, release := a.blockDial(one.addr)
			got := make(chan exchange, 1)
			go func() { got <- a.do("POST", "/pay/x", "form") }()
			testkit.Receive(t, "dial", dialled)
			switch m := one.member("one"); state {
			case "not listed":
				w.Lines <- strings.Replace(testkit.EncodeWatchLine(t, 42, two.member("two")), `"full":false`, `"full":true`, 1)
			case "moved":
				m.Addr = moved.addr
				w.Lines <- testkit.EncodeWatchLine(t, 42, m, two.member("two"))
			default:
				m.State = state
				w.Lines <- testkit.EncodeWatchLine(t, 42, m, two.member("two"))
			}
			a.waitListed(t, "two")
			close(release)
			if x := testkit.Receive(t, "answer", got); x.status != 200 {
				t.Errorf("%+v", x)
			}
			if len(one.seen) != 0 || len(two.seen)+len(moved.seen) != 1 {
				t.Errorf("%d requests went to the server that leaves, %d elsewhere", len(one.seen), len(two.seen)+len(moved.seen))
			}
		})
	}
}

// Nothing is sent on a connection whose dial was late if the client has already disconnected.
func TestLateConnectionIsNotUsedForEndedRequest(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	dialled, release := a.blockDial(s.addr)
	c := a.connect(t)
	c.write(headOf("get", "late"))
	testkit.Receive(t, "dial", dialled)
	reset(c.c)
	testkit.WaitFor(t, "the disconnect", func() bool { return a.Totals().ClientDisconnects == 1 })
	close(release)
	if x := a.do("GET", "/get/x", "", "X-Trace-Id", "next"); x.status != 200 {
		t.Errorf("%+v", x)
	}
	if id := testkit.Receive(t, "request", s.seen); id != "next" || len(s.seen) != 0 {
		t.Errorf("request %q reached the server, and %d more", id, len(s.seen))
	}
}

// Nothing is sent on a connection whose dial was late if the attempt is a retry whose deduplication window has closed:
// the keyed request then fails. The window is long enough for a slow machine to begin the retry within it.
func TestLateConnectionIsNotUsedForRetryPastDedupWindow(t *testing.T) {
	t.Parallel()
	// The balancer begins no retry in the last connect timeout before the window's end, and the window counts as
	// closed 0.15 s early. So a retry that is decided in the last 0.15 s before that margin, and whose dial takes
	// nearly the connect timeout, is stopped by the check of the window.
	const window, connect = 2 * time.Second, time.Second
	for try := 1; ; try++ {
		hold := make(chan struct{})
		failing := serveRaw(t, func(int) string {
			<-hold
			return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
		})
		other := serveRaw(t, func(int) string { return ok200 })
		list := testkit.NewScriptedList(t)
		cfg := testConfig(t, testkit.ConfigOptions{Discovery: list.Addr, Servers: []discovery.Server{failing.member("failing")}})
		cfg.Settings.Classes[1].DedupWindow, cfg.Settings.Classes[1].Objective, cfg.Settings.ConnectTimeout = window, 200*time.Millisecond, connect
		a := start(t, cfg)
		w := testkit.Receive(t, "watch", list.Watch)
		dialled, release := a.blockDial(other.addr)
		got := make(chan exchange, 1)
		go func() { got <- a.do("POST", "/put/x", "form", "Idempotency-Key", "k") }()
		testkit.Receive(t, "request", failing.seen)
		sent := time.Now()
		w.Lines <- testkit.EncodeWatchLine(t, 42, other.member("other"))
		a.waitListed(t, "other")
		time.AfterFunc(time.Until(sent.Add(window-connect-100*time.Millisecond)), func() { close(hold) })
		select {
		case <-dialled:
			time.AfterFunc(time.Until(sent.Add(window-130*time.Millisecond)), func() { close(release) })
		case x := <-got: // the decision was too late: there was no retry
			got <- x
			close(release)
		}
		if x := testkit.Receive(t, "answer", got); x.status != http.StatusBadGateway || len(other.seen) != 0 {
			t.Errorf("%d, %d requests reached the other server", x.status, len(other.seen))
		}
		if a.Counters().SendRefusals["window_closed"] > 0 {
			return
		}
		if try == 10 {
			t.Fatal("no retry was so late that its window had closed")
		}
	}
}
