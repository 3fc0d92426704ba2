package http1

import (
	"context"
	"os"
	"time"
)

const (
	dialPatience = 16                    // usual trips after which an attempt goes elsewhere, while its dial goes on
	dialLeast    = 30 * time.Millisecond // and the least: a busy machine may be as late as that
	leavesEach   = 1.0 / 32              // of such attempts for each answer: each costs a retry, of which the module has few
	leavesMost   = 16                    // that may be saved up
	dialWaits    = 8                     // connect time-outs after which nobody expects a connection any more
)

// dial opens a connection within the connect time-out and ctx. Its place is already counted. Where connections come up
// soon as a rule, it waits no longer for a late one than that makes likely: nothing has been sent, and the module may
// have the attempt made elsewhere. The dial goes on, one at a time to a backend, for whoever comes next: what it costs
// the backend is paid by then. It could hurt where a backend that is slow to accept answers fast: its first requests
// cost retries then, until enough connections are open.
func (b *backends) dial(ctx context.Context, id, addr string) (*conn, error) {
	on, stop := context.WithTimeout(b.lasting, dialWaits*b.cfg.Settings.ConnectTimeout)
	type dialed struct {
		c   *conn
		err error
	}
	done := make(chan dialed)
	left := make(chan bool, 1) // nobody waits for it any more; whether it goes on
	go func() {
		defer stop()
		began := time.Now()
		c, err := b.dialer(on, "tcp", addr)
		d := dialed{err: err}
		if err == nil {
			d.c = &conn{Conn: c, addr: addr, trip: time.Since(began)}
		}
		select {
		case done <- d:
		case goesOn := <-left:
			b.lateDial(id, d.c, goesOn)
		}
	}()
	b.mu.Lock()
	wait := b.cfg.Settings.ConnectTimeout
	if b.leaves >= 1 {
		wait = min(wait, max(dialLeast, dialPatience*b.trip))
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
			b.leaves = max(0, b.leaves-1)
		}
		goesOn := !b.late[id] && !b.closed
		if goesOn {
			b.late[id] = true
		} else {
			stop()
		}
		left <- goesOn
		return nil, os.ErrDeadlineExceeded
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.err != nil {
		b.open--
		return nil, d.err
	}
	b.learnTrip(d.c.trip)
	return d.c, nil
}

// lateDial takes what has become of a dial that no attempt waits for; c: nil if nothing.
func (b *backends) lateDial(id string, c *conn, goesOn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if goesOn {
		delete(b.late, id)
	}
	if c == nil {
		b.open--
		return
	}
	b.learnTrip(c.trip)
	b.put(id, c, true)
}

// learnTrip moves the usual trip towards the median of what was seen: late ones are late by any length. The lock is held.
func (b *backends) learnTrip(trip time.Duration) {
	if trip < b.trip {
		b.trip -= b.trip / 8
	} else {
		b.trip = min(b.trip+b.trip/8+1, b.cfg.Settings.ConnectTimeout)
	}
}
