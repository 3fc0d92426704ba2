package http1

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"vetchhaven/internal/core"
)

// lingerTime is how long a client may take to read its last response before its connection is closed. Closing a
// connection with unread bytes resets it (RFC 9112, 9.6), and the response would be lost. A larger value occupies a
// slot for longer.
const lingerTime = 500 * time.Millisecond

// clientConn is a client's connection. Two goroutines serve it: serve reads requests, one at a time, and runWriter
// writes their responses. So a client's disconnect is detected while its response is pending, and no goroutine is
// started per request. clientConn replaces net/http's server at half the cost, and is as strict.
type clientConn struct {
	frontend   *frontend
	conn       net.Conn
	buf        []byte // the bytes that were read; buf[start:end] is not consumed yet
	start, end int
	// bufReserved is how many bytes of the body budget buf occupies: those beyond initialReadSize.
	bufReserved int
	lastReadAt  time.Time // when the last bytes arrived
	// firstDone is set once the first request, including its body, has been read.
	firstDone bool
	pace      pacer
	writeBuf  []byte // reused by the goroutine that writes the next response
	// responseDone holds one token while no response is pending.
	responseDone chan struct{}
	finalAnswers chan finalAnswer // buffered, so that posting never blocks

	mu                 sync.Mutex
	pending            *core.Request // the request whose response is pending; nil: none
	upload             *upload       // pending's body if it is an upload
	reservedBytes      int           // bytes of the body budget that pending's body occupies
	streaming          bool          // pending's response has begun to be sent to the client
	nextStarted        bool          // a part of the next request arrived while pending's response was awaited
	watchingDisconnect bool          // the reader has the next request's head, and reads only to detect a disconnect
	closing            bool          // no further request is accepted
	readerEnded        bool
}

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	defer func() {
		p := recover()
		if p != nil { // the panic ends the agent, but the client still gets a response
			if c.hasPending() {
				c.abortPending()
			} else {
				c.send(c.frontend.appendError(nil, http.StatusBadGateway, "failed", "", true))
			}
		}
		c.endReader(p == nil || c.hasPending())
		c.frontend.bodyBudget.Release(c.bufReserved)
		_ = c.conn.Close() // an error of Close can't be handled
		if p != nil {
			panic(p)
		}
	}()
	c.responseDone <- struct{}{}
	for first := true; ; first = false {
		c.pace.wait()
		headLen, err := c.readHead(first)
		if err != nil {
			c.logEnd(err)
		}
		if fail := headFault(err); fail != nil {
			if c.awaitResponse() {
				c.respondAndClose(fail)
			} else {
				c.linger()
			}
			return
		}
		if err != nil || !c.awaitResponse() {
			if c.isClosing() {
				c.linger()
			}
			return
		}
		if first {
			go c.frontend.loop.ContainPanic(c.runWriter)
		}
		fail := c.handleRequest(c.buf[c.start : c.start+headLen])
		if fail != nil {
			c.logEnd(fail)
		}
		c.firstDone = true
		switch fail {
		case nil:
		case errBodyUnread:
			c.awaitResponse()
			c.linger()
			return
		default:
			c.respondAndClose(fail)
			return
		}
	}
}

// logEnd logs why the reader of the connection ends, for the debug log.
func (c *clientConn) logEnd(reason error) {
	log := c.frontend.log
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	log.Debug("client connection ends", "client", c.conn.RemoteAddr().String(), "reason", reason,
		"closing", c.isClosing(), "pending", c.hasPending(), "unread", c.end-c.start)
}

// hasPending reports whether a request waits for its response.
func (c *clientConn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != nil
}

// isClosing reports whether the connection accepts no further request.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// setClosing makes the connection accept no further request.
func (c *clientConn) setClosing() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
}

// closesAfterResponse reports whether the response that is written now is the connection's last. If so, the connection
// accepts no further request.
func (c *clientConn) closesAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesAfterResponseLocked()
}

func (c *clientConn) closesAfterResponseLocked() bool {
	c.closing = c.closing || c.frontend.draining.Load() || c.frontend.limiter.NearCapacity()
	return c.closing
}

// prepareNext makes the connection wait for its next request, or end, after a response was written.
func (c *clientConn) prepareNext() {
	c.mu.Lock()
	switch {
	case c.closing:
		// The reader's pending read fails; the reader then gives the client time to read this response (see linger).
		c.closeWrite()
		_ = c.conn.SetReadDeadline(core.PastDeadline)
	case c.watchingDisconnect: // the reader continues with the request whose head it has
		_ = c.conn.SetReadDeadline(core.PastDeadline)
	case c.nextStarted:
		_ = c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
	default:
		c.frontend.limiter.SetReadDeadline(c.conn, time.Now().Add(idleTimeout)) // on a dead connection the next read fails anyway
		c.frontend.limiter.MarkIdle(c.conn)
	}
	c.mu.Unlock()
	c.responseDone <- struct{}{}
}

// respondAndClose writes an error response, and ends the connection: the rest of the request's body is not read, and
// must not be parsed as the next request (RFC 9112, 9.6).
func (c *clientConn) respondAndClose(e *requestError) {
	if e.status == 0 {
		return
	}
	c.setClosing()
	if c.send(c.frontend.appendError(c.writeBuf[:0], e.status, e.text, e.allow, true)) {
		c.closeWrite()
		c.linger()
	}
}

func (c *clientConn) closeWrite() {
	if w, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
}

// linger reads and drops the bytes that the client still sends, until the client closes its side or lingerTime has
// passed, so that the close that follows does not reset the connection. A client that sends more than the two systems
// buffer does not read either, and is read slowly.
func (c *clientConn) linger() {
	buf := make([]byte, floodReadSize)
	c.frontend.limiter.SetReadDeadline(c.conn, time.Now().Add(lingerTime))
	for dropped := 0; ; {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		if dropped += n; dropped > maxDropped {
			time.Sleep(floodPause)
		}
	}
}

// send writes bytes within the write timeout. It returns false after an error.
func (c *clientConn) send(text []byte) bool {
	if c.conn.SetWriteDeadline(time.Now().Add(c.frontend.writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(text)
	return err == nil
}

// endReader reports the client's disconnect to the loop if a request is pending, and makes the writer end after that
// request's response. If awaitLastResponse is set, it waits up to lingerTime for the response: a client that has
// closed only its sending side still reads.
func (c *clientConn) endReader(awaitLastResponse bool) {
	c.mu.Lock()
	r := c.pending
	c.readerEnded = true
	c.mu.Unlock()
	if r == nil {
		c.postAnswer(finalAnswer{last: true})
		return
	}
	c.frontend.loop.ClientDisconnected(r)
	if awaitLastResponse {
		limit := time.NewTimer(lingerTime) // a client that does not read must not delay the end of the reader
		defer limit.Stop()
		select {
		case <-c.responseDone: // the writer is done
		case <-limit.C:
		}
	}
}
