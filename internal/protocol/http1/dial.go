package http1

import (
	"context"
	"os"
	"time"
)

const (
	// dialWaitFactor is the number of usual dial times after which an attempt is abandoned while its dial continues. A
	// smaller value abandons more attempts, a larger one waits longer for a lost SYN.
	dialWaitFactor = 16
	// minDialWait is the minimum time before an attempt is abandoned: dials on a busy machine may take as long.
	minDialWait = 30 * time.Millisecond
	// abandonTokensPerResponse is how many attempts may be abandoned per response: each abandoned attempt costs a
	// retry, and the balancer allows few of these.
	abandonTokensPerResponse = 1.0 / 32
	// maxAbandonTokens is how many tokens for abandoned attempts may accumulate.
	maxAbandonTokens = 16
	// maxDialTimeouts is how many connect timeouts a dial may take in all if its attempt was abandoned.
	maxDialTimeouts = 8
	// dialTimeDivisor sets the step of learnDialTime: a sample changes the usual dial time by 1/dialTimeDivisor of it.
	// A larger value adapts more slowly, a smaller one makes the estimate fluctuate.
	dialTimeDivisor = 8
)

// dialResult is the outcome of a dial.
type dialResult struct {
	conn *serverConn // nil after an error
	err  error
}

// dial opens a connection within the connect timeout and ctx. The connection is already counted as open. If dials are
// usually fast, the attempt stops waiting for a late dial after a few usual dial times: nothing was sent, so the
// balancer may retry at another server. At most one late dial per server continues; a later attempt may use its
// connection, for which the server has already spent the cost of accepting it. This is a disadvantage for a server
// that accepts slowly and responds fast: its first requests cost retries until enough connections are open.
func (p *connPool) dial(ctx context.Context, id, addr string) (*serverConn, error) {
	dialCtx, stop := context.WithTimeout(p.lifetime, maxDialTimeouts*p.cfg.Settings.ConnectTimeout)
	done := make(chan dialResult)
	abandoned := make(chan bool, 1) // receives a value when the attempt stops waiting: whether the dial continues
	go func() {
		defer stop()
		startedAt := time.Now()
		c, err := p.dialer(dialCtx, "tcp", addr)
		result := dialResult{err: err}
		if err == nil {
			openedAt := time.Now()
			result.conn = &serverConn{Conn: c, addr: addr, openedAt: openedAt, dialTime: openedAt.Sub(startedAt)}
		}
		select {
		case done <- result:
		case goesOn := <-abandoned:
			p.lateDial(id, result.conn, goesOn)
		}
	}()
	wait := p.dialWait()
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	var result dialResult
	select {
	case result = <-done:
	case <-ctx.Done():
		stop()
		result = <-done
	case <-waitTimer.C:
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

// dialWait returns how long an attempt waits for its dial.
func (p *connPool) dialWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.cfg.Settings.ConnectTimeout
	if p.abandonTokens >= 1 {
		wait = min(wait, max(minDialWait, dialWaitFactor*p.usualDialTime))
	}
	return wait
}

// abandonDial records that an attempt has stopped waiting for its dial after wait. It reports whether the dial
// continues.
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

// lateDial handles the outcome of a dial that no attempt waits for. c is nil if the dial failed.
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

// learnDialTime moves usualDialTime towards the median of the samples; a mean would follow the few very late ones. The
// caller holds p.mu.
func (p *connPool) learnDialTime(dialTime time.Duration) {
	if dialTime < p.usualDialTime {
		p.usualDialTime -= p.usualDialTime / dialTimeDivisor
	} else {
		p.usualDialTime = min(p.usualDialTime+p.usualDialTime/dialTimeDivisor+1, p.cfg.Settings.ConnectTimeout)
	}
}
