package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

const (
	crowdSize  = 560                    // more connections than the descriptors that an agent may open (agentSockets)
	crowdRetry = 100 * time.Millisecond // until an idle client whose connection was closed reconnects
)

// crowd uses up an agent's file descriptors with idle clients for a while; clients whose connection is closed
// reconnect.
func (s *testbed) crowd(ctx context.Context, a *agentProcess, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	s.rec.Put(check.Event{Kind: check.CrowdBegan, Agent: a.n})
	var all sync.WaitGroup
	for range crowdSize {
		all.Go(func() { idleClient(ctx, a.listen) })
	}
	all.Wait()
	s.rec.Put(check.Event{Kind: check.CrowdEnded, Agent: a.n})
}

// idleClient connects repeatedly and sends nothing.
func idleClient(ctx context.Context, addr string) {
	var dialer net.Dialer
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			_, _ = c.Read(make([]byte, 1))
			stop()
			_ = c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(crowdRetry):
		}
	}
}
