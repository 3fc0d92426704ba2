package http1

import (
	"context"
	"net"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit"
)

// If dials are usually fast, an attempt does not wait for a late dial: nothing was sent, so another server may get the
// request. At most one late dial per server continues, and its connection serves the next attempt.
func TestLateDialOutlivesItsAttempt(t *testing.T) {
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
	poolHas := func(open, idle int) func() bool {
		return func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.open == open && len(b.idle["s"]) == idle
		}
	}
	b.cfg.Settings.ConnectTimeout = time.Hour
	ctx, cancel := context.WithTimeoutCause(context.Background(), testkit.EventTimeout, core.ErrTimedOut)
	defer cancel()
	for range 2 {
		if result, _, _ := attemptAt(t, ctx, b, ""); result != decide.Incomplete || ctx.Err() != nil {
			t.Fatalf("result %v while no dial succeeds, %v", result, ctx.Err())
		}
	}
	testkit.WaitFor(t, "the end of the second dial", poolHas(1, 0))
	close(up)
	testkit.WaitFor(t, "the first one's connection", poolHas(1, 1))
	passReuseDelay(b)
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.OK || len(dials) != 2 {
		t.Errorf("result %v after %d dials: the late connection was not used", result, len(dials))
	}
}

// If many dials are late, a retry for each of them would exceed the retries that the balancer allows: attempts then
// wait for the connect timeout, until responses have added tokens.
func TestLateDialsAreAwaitedOnceTokensAreSpent(t *testing.T) {
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
		t.Errorf("%v attempts may be abandoned after many responses", b.abandonTokens)
	}
}

// No dial outlives the agent.
func TestLateDialEndsWithAgent(t *testing.T) {
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

// The wait for a dial follows the median dial time. Late dials do not change it while they are the minority.
func TestUsualDialTimeIsLearnt(t *testing.T) {
	b := poolFor(t, "127.0.0.1:9")
	late := b.cfg.Settings.ConnectTimeout
	if b.usualDialTime != late {
		t.Errorf("the usual dial time is %v before the first sample", b.usualDialTime)
	}
	for i := range 300 {
		b.learnDialTime([]time.Duration{time.Millisecond, time.Millisecond, late}[i%3])
	}
	if b.usualDialTime > 3*time.Millisecond {
		t.Errorf("a third of the dials are late, and the usual dial time is %v", b.usualDialTime)
	}
	for range 200 {
		b.learnDialTime(late)
	}
	if b.usualDialTime != late {
		t.Errorf("all dials are late, and the usual dial time is %v", b.usualDialTime)
	}
}
