package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// All servers reset new connections, and later accept them again: the agent then sends requests to them at once, as
// before. It used to take each reset for the end of a server's process, so that it treated all servers as cold. A cold
// server gets requests in proportion to what warm servers serve, so with no warm server none got any.
func TestServesAfterNewConnectionsWereReset(t *testing.T) {
	bad := resetting(t).Addr().String()
	a, broken := withBrokenDials(t, func(ctx context.Context) (net.Conn, error) { return dialUntilReset(ctx, "tcp", bad) })
	const resets = 6
	for round := range 3 {
		broken.Store(resets)
		for n := range 10 * resets {
			a.dropIdle()
			if x := a.do("GET", "/get/x", ""); x.status != 200 && n >= resets { // each of the first requests has met a reset
				t.Fatalf("round %d, request %d: %+v", round, n, x)
			}
		}
	}
}

// If all servers' processes have ended and come back, all servers are cold. The agent then serves at the rate of cold
// servers. It used to send nothing until the whole slow start was over, since a cold server's share followed from what
// warm servers serve.
func TestServesAfterAllServersRefusedConnections(t *testing.T) {
	dead := testkit.RefusingAddr(t)
	a, broken := withBrokenDials(t, func(ctx context.Context) (net.Conn, error) { return new(net.Dialer).DialContext(ctx, "tcp", dead) })
	for range 20 {
		a.do("GET", "/get/x", "")
	}
	broken.Store(30)
	for broken.Load() > 0 {
		a.dropIdle()
		a.do("GET", "/get/x", "")
	}
	served := 0
	for end := time.Now().Add(testkit.EventTimeout); served < 20 && time.Now().Before(end); {
		a.dropIdle()
		if x := a.do("GET", "/get/x", ""); x.status == 200 {
			served++
		}
	}
	if served < 20 {
		t.Errorf("served %d requests since all servers were back", served)
	}
}

// Every server sends an invalid response now and then. A single such error is then weak evidence, and its server is
// not ejected. It used to be ejected, so that at nearly any time some server got no requests.
func TestMalformedResponsesOfAllServersEjectNone(t *testing.T) {
	var mu sync.Mutex
	total, malformedBy, servedAfterwards := 0, []string{}, 0
	var servers []discovery.Server
	for _, id := range []string{"s", "t", "u", "v"} {
		b := serveRaw(t, func(int) string {
			mu.Lock()
			defer mu.Unlock()
			if total++; total > 10 && len(malformedBy) < 2 && !slices.Contains(malformedBy, id) {
				malformedBy = append(malformedBy, id)
				return "\x00\xff\r\n\r\n"
			}
			if len(malformedBy) == 2 && malformedBy[1] == id {
				servedAfterwards++
			}
			return ok200
		})
		go func() {
			for range b.seen { // drains the channel, which nothing else reads
			}
		}()
		servers = append(servers, b.member(id))
	}
	cfg := testConfig(t, testkit.ConfigOptions{Servers: servers})
	cfg.Settings.Classes[2].Objective = time.Hour // about how long an ejection lasts
	a := start(t, cfg)
	for range 400 {
		a.do("POST", "/pay/x", "") // which is not retried
		mu.Lock()
		served := servedAfterwards > 0
		mu.Unlock()
		if served {
			return
		}
	}
	t.Errorf("the second of two servers that sent an invalid response each (%q) gets no requests any more", malformedBy)
}

// withBrokenDials runs an agent with three servers. The counter is the number of the next dials that are replaced by
// calls of broken. A cold server does not become warm during a test.
func withBrokenDials(t *testing.T, broken func(context.Context) (net.Conn, error)) (*runningAgent, *atomic.Int64) {
	t.Helper()
	var servers []discovery.Server
	for _, id := range []string{"s", "t", "u"} {
		b := serveRaw(t, func(int) string { return ok200 })
		go func() {
			for range b.seen { // drains the channel, which nothing else reads
			}
		}()
		servers = append(servers, b.member(id))
	}
	cfg := testConfig(t, testkit.ConfigOptions{Servers: servers})
	cfg.Settings.SlowStartTime, cfg.Settings.SlowStartShare = time.Hour, 0.1
	a := start(t, cfg)
	left, dial := new(atomic.Int64), a.connPool.dialer
	a.connPool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if left.Add(-1) >= 0 {
			return broken(ctx)
		}
		return dial(ctx, network, addr)
	}
	return a, left
}

// dropIdle makes the next request need a new connection.
func (r *runningAgent) dropIdle() {
	r.connPool.mu.Lock()
	defer r.connPool.mu.Unlock()
	for id, list := range r.connPool.idle {
		for _, c := range list {
			r.connPool.closeLocked(c)
		}
		delete(r.connPool.idle, id)
	}
}
