package http1

import (
	"context"
	"os"
	"time"
)

const (
	// dialPatienceFactor is after how many usual dial times an attempt is abandoned, while its dial goes on. A smaller value
	// abandons more attempts, a larger one waits longer for a lost SYN.
	dialPatienceFactor = 16
	// minDialWait is the least time before an attempt is abandoned: dials on a busy machine may be as late as that.
	minDialWait = 30 * time.Millisecond
	// abandonTokensPerResponse is how many attempts may be abandoned for each response: each costs a retry, of which the
	// balancer has few.
	abandonTokensPerResponse = 1.0 / 32
	// maxAbandonTokens is how many abandoned attempts may be saved up.
	maxAbandonTokens = 16
	// maxDialTimeouts is how many connect timeouts a dial may take that its attempt has abandoned.
	maxDialTimeouts = 8
	// dialTimeDivisor: a sample moves the usual dial time by this part of it. A larger value follows more slowly, a smaller one
	// jitters.
	dialTimeDivisor = 8
)

// dialResult is the outcome of a dial.
type dialResult struct {
	conn *serverConn // nil after an error
	err  error
}

// dial opens a connection within the connect timeout and ctx. The connection is already counted as open. Where dials are
// usually fast, the attempt waits no longer for a late one than is likely to help: nothing was sent, and the balancer may
// make the attempt on another server. The dial goes on, one at a time for each server, for the next attempt to use: what it
// costs the server is paid by then. A server that is slow to accept and fast to respond pays for this: its first requests
// cost retries, until enough connections are open.
func (p *connPool) dial(ctx context.Context, id, addr string) (*serverConn, error) {
	dialCtx, stop := context.WithTimeout(p.lifetime, maxDialTimeouts*p.cfg.Settings.ConnectTimeout)
	done := make(chan dialResult)
	abandoned := make(chan bool, 1) // the attempt does not wait any more; the value: the dial goes on
	go func() {
		defer stop()
		startedAt := time.Now()
		c, err := p.dialer(dialCtx, "tcp", addr)
		result := dialResult{err: err}
		if err == nil {
			result.conn = &serverConn{Conn: c, addr: addr, dialTime: time.Since(startedAt)}
		}
		select {
		case done <- result:
		case goesOn := <-abandoned:
			p.lateDial(id, result.conn, goesOn)
		}
	}()
	wait := p.dialWait()
	patience := time.NewTimer(wait)
	defer patience.Stop()
	var result dialResult
	select {
	case result = <-done:
	case <-ctx.Done():
		stop()
		result = <-done
	case <-patience.C:
		goesOn := p.abandonDial(id, wait)
		if !goesOn {
			stop()
		}
		abandoned <- goesOn
		return nil, os.ErrDeadlineExceeded
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if result.err != nil {
		p.open--
		return nil, result.err
	}
	p.learnDialTime(result.conn.dialTime)
	return result.conn, nil
}

// dialWait is how long an attempt waits for its dial.
func (p *connPool) dialWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.cfg.Settings.ConnectTimeout
	if p.abandonTokens >= 1 {
		wait = min(wait, max(minDialWait, dialPatienceFactor*p.usualDialTime))
	}
	return wait
}

// abandonDial takes note of an attempt that waits no more for its dial after wait. It reports whether the dial goes on.
func (p *connPool) abandonDial(id string, wait time.Duration) (goesOn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait < p.cfg.Settings.ConnectTimeout {
		p.abandonTokens = max(0, p.abandonTokens-1)
	}
	if p.lateDials[id] || p.closed {
		return false
	}
	p.lateDials[id] = true
	return true
}

// lateDial takes the outcome of a dial that no attempt waits for; c is nil if it failed.
func (p *connPool) lateDial(id string, c *serverConn, goesOn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if goesOn {
		delete(p.lateDials, id)
	}
	if c == nil {
		p.open--
		return
	}
	p.learnDialTime(c.dialTime)
	p.putLocked(id, c, true)
}

// learnDialTime moves usualDialTime towards the median of the samples: a mean would follow the few very late ones. The lock
// is held.
func (p *connPool) learnDialTime(dialTime time.Duration) {
	if dialTime < p.usualDialTime {
		p.usualDialTime -= p.usualDialTime / dialTimeDivisor
	} else {
		p.usualDialTime = min(p.usualDialTime+p.usualDialTime/dialTimeDivisor+1, p.cfg.Settings.ConnectTimeout)
	}
}
