package agent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Backends that reset new connections, all alike, and then take them again: the agent sends to them
// again at once, as before. It once took each reset for the end of a process, so that all were cold
// to it; a cold one gets work by what warm ones serve, and with none warm nobody got any.
func TestServesAfterNewConnectionsWereReset(t *testing.T) {
	var servers []member
	for _, id := range []string{"s", "t", "u"} {
		b := serveRaw(t, func(int) string { return ok200 })
		go func() {
			for range b.seen { // nobody else takes them
			}
		}()
		servers = append(servers, b.member(id))
	}
	cfg := testConfig(t, setup{servers: servers})
	cfg.Settings.RampTime = time.Hour // a cold one would not become warm in this test
	cfg.Settings.ColdShare = 0.1
	a := start(t, cfg)
	bad := resetting(t).Addr().String()
	var broken atomic.Int64 // new connections that are still to be reset
	dial := a.backends.dialer
	a.backends.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if broken.Add(-1) >= 0 {
			return dialUntilReset(ctx, network, bad)
		}
		return dial(ctx, network, addr)
	}
	const resets = 6
	for round := range 3 {
		broken.Store(resets)
		for n := range 10 * resets {
			a.backends.mu.Lock() // each request on a new connection
			for id := range a.backends.idle {
				for _, c := range a.backends.idle[id] {
					a.backends.drop(c)
				}
				delete(a.backends.idle, id)
			}
			a.backends.mu.Unlock()
			if x := a.do("GET", "/get/x", ""); x.status != 200 && n >= resets { // each of the first has met one at least
				t.Fatalf("round %d, request %d: %+v", round, n, x)
			}
		}
	}
}
