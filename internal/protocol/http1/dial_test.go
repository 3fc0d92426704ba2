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

// Where connections come up soon as a rule, an attempt does not wait for a late one: nothing has been sent, and another
// server may have it. The dial goes on, one to a server, and what comes up serves the next attempt.
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
	endRest(b)
	if result, _, _ := attemptAt(t, context.Background(), b, ""); result != decide.OK || len(dials) != 2 {
		t.Errorf("result %v after %d dials: what came up late was not used", result, len(dials))
	}
}

// Where many come up late, to go elsewhere for each would cost more retries than there are: they are waited for as long
// as the settings say, until answers have paid for it.
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
		t.Errorf("%v may be left after many answers", b.abandonTokens)
	}
}

// No dial outlasts the agent.
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

// How long a dial is waited for follows what half of the connections take. Late ones say nothing while they are fewer.
func TestUsualDialTimeIsLearnt(t *testing.T) {
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
