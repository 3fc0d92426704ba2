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

// Backends that reset new connections, all alike, and then take them again: the agent sends to them
// again at once, as before. It once took each reset for the end of a process, so that all were cold
// to it; a cold one gets work by what warm ones serve, and with none warm nobody got any.
func TestServesAfterNewConnectionsWereReset(t *testing.T) {
	bad := resetting(t).Addr().String()
	a, broken := withBrokenDials(t, func(ctx context.Context) (net.Conn, error) { return dialUntilReset(ctx, "tcp", bad) })
	const resets = 6
	for round := range 3 {
		broken.Store(resets)
		for n := range 10 * resets {
			a.dropIdle()
			if x := a.do("GET", "/get/x", ""); x.status != 200 && n >= resets { // each of the first has met one at least
				t.Fatalf("round %d, request %d: %+v", round, n, x)
			}
		}
	}
}

// A fleet whose processes have all ended and come back is cold as a whole. The agent then serves
// at a cold fleet's pace; it once sent nothing until the whole ramp was over, since what a cold one
// may get followed from what warm ones serve.
func TestServesAfterAllServersRefusedConnections(t *testing.T) {
	dead := testkit.DeadAddr(t)
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
	for end := time.Now().Add(testkit.Patience); served < 20 && time.Now().Before(end); {
		a.dropIdle()
		if x := a.do("GET", "/get/x", ""); x.status == 200 {
			served++
		}
	}
	if served < 20 {
		t.Errorf("served %d requests since all were back", served)
	}
}

// Backends of which each spoils an answer now and then, all alike: one error says little then, and
// its backend is not left out. It once was, and so at nearly any time some backend stood idle.
func TestMalformedResponsesOfAllServersEjectNone(t *testing.T) {
	var mu sync.Mutex
	total, spoilt, again := 0, []string{}, 0
	var servers []discovery.Member
	for _, id := range []string{"s", "t", "u", "v"} {
		b := serveRaw(t, func(int) string {
			mu.Lock()
			defer mu.Unlock()
			if total++; total > 10 && len(spoilt) < 2 && !slices.Contains(spoilt, id) {
				spoilt = append(spoilt, id)
				return "\x00\xff\r\n\r\n"
			}
			if len(spoilt) == 2 && spoilt[1] == id {
				again++
			}
			return ok200
		})
		go func() {
			for range b.seen { // nobody else takes them
			}
		}()
		servers = append(servers, b.member(id))
	}
	cfg := testConfig(t, testkit.Setup{Servers: servers})
	cfg.Settings.Classes[2].Objective = time.Hour // about for so long a backend is left out
	a := start(t, cfg)
	for range 400 {
		a.do("POST", "/pay/x", "") // which is not tried again
		mu.Lock()
		served := again > 0
		mu.Unlock()
		if served {
			return
		}
	}
	t.Errorf("the second of two that spoilt an answer each (%q) gets nothing any more", spoilt)
}

// withBrokenDials runs an agent with three backends. The counter tells how many of the next
// dials end as broken says. What is cold does not become warm in a test's time.
func withBrokenDials(t *testing.T, broken func(context.Context) (net.Conn, error)) (*runningAgent, *atomic.Int64) {
	t.Helper()
	var servers []discovery.Member
	for _, id := range []string{"s", "t", "u"} {
		b := serveRaw(t, func(int) string { return ok200 })
		go func() {
			for range b.seen { // nobody else takes them
			}
		}()
		servers = append(servers, b.member(id))
	}
	cfg := testConfig(t, testkit.Setup{Servers: servers})
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
