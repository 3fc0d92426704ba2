package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

const (
	crowdSize  = 560                    // more than an agent's descriptors (agentSockets)
	crowdRetry = 100 * time.Millisecond // after which an idle client that was closed comes again
)

// crowd has idle clients fill an agent's descriptors for a while, and come again as often as they are closed.
func (s *stage) crowd(ctx context.Context, a *agentProcess, length time.Duration) {
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

// idleClient connects and says nothing, again and again.
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
