package http1

import (
	"context"
	"os"
	"time"
)

const (
	dialPatienceFactor       = 16                    // usual trips after which an attempt goes elsewhere, while its dial goes on
	minDialWait              = 30 * time.Millisecond // and the least: a busy machine may be as late as that
	abandonTokensPerResponse = 1.0 / 32              // of such attempts for each answer: each costs a retry, of which the module has few
	maxAbandonTokens         = 16                    // that may be saved up
	maxDialTimeouts          = 8                     // connect time-outs after which nobody expects a connection any more
)

// dial opens a connection within the connect time-out and ctx. Its place is already counted. Where connections come up
// soon as a rule, it waits no longer for a late one than that makes likely: nothing has been sent, and the module may
// have the attempt made elsewhere. The dial goes on, one at a time to a backend, for whoever comes next: what it costs
// the backend is paid by then. It could hurt where a backend that is slow to accept answers fast: its first requests
// cost retries then, until enough connections are open.
func (b *connPool) dial(ctx context.Context, id, addr string) (*serverConn, error) {
	dialCtx, stop := context.WithTimeout(b.lifetime, maxDialTimeouts*b.cfg.Settings.ConnectTimeout)
	type dialed struct {
		c   *serverConn
		err error
	}
	done := make(chan dialed)
	abandoned := make(chan bool, 1) // nobody waits for it any more; whether it goes on
	go func() {
		defer stop()
		began := time.Now()
		c, err := b.dialer(dialCtx, "tcp", addr)
		d := dialed{err: err}
		if err == nil {
			d.c = &serverConn{Conn: c, addr: addr, dialTime: time.Since(began)}
		}
		select {
		case done <- d:
		case goesOn := <-abandoned:
			b.lateDial(id, d.c, goesOn)
		}
	}()
	b.mu.Lock()
	wait := b.cfg.Settings.ConnectTimeout
	if b.abandonTokens >= 1 {
		wait = min(wait, max(minDialWait, dialPatienceFactor*b.usualDialTime))
	}
	b.mu.Unlock()
	patience := time.NewTimer(wait)
	defer patience.Stop()
	var d dialed
	select {
	case d = <-done:
	case <-ctx.Done():
		stop()
		d = <-done
	case <-patience.C:
		b.mu.Lock()
		defer b.mu.Unlock()
		if wait < b.cfg.Settings.ConnectTimeout {
			b.abandonTokens = max(0, b.abandonTokens-1)
		}
		goesOn := !b.lateDials[id] && !b.closed
		if goesOn {
			b.lateDials[id] = true
		} else {
			stop()
		}
		abandoned <- goesOn
		return nil, os.ErrDeadlineExceeded
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.err != nil {
		b.open--
		return nil, d.err
	}
	b.learnDialTime(d.c.dialTime)
	return d.c, nil
}

// lateDial takes what has become of a dial that no attempt waits for; c: nil if nothing.
func (b *connPool) lateDial(id string, c *serverConn, goesOn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if goesOn {
		delete(b.lateDials, id)
	}
	if c == nil {
		b.open--
		return
	}
	b.learnDialTime(c.dialTime)
	b.putLocked(id, c, true)
}

// learnDialTime moves the usual trip towards the median of what was seen: late ones are late by any length. The lock is held.
func (b *connPool) learnDialTime(trip time.Duration) {
	if trip < b.usualDialTime {
		b.usualDialTime -= b.usualDialTime / 8
	} else {
		b.usualDialTime = min(b.usualDialTime+b.usualDialTime/8+1, b.cfg.Settings.ConnectTimeout)
	}
}
