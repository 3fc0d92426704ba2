package http1

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"vetchhaven/internal/core"
)

// lingerTime is what a client has to read its last response before its connection is closed. A close with unread bytes on
// the connection is a reset (RFC 9112, 9.6), and the response would be lost. A larger value keeps a slot longer.
const lingerTime = 500 * time.Millisecond

// clientConn is one client's connection. Two goroutines serve it: serve reads requests, one at a time, and runWriter
// writes their responses, so that a client's disconnect shows while its response is pending, and no goroutine is started
// for a single request. It takes the place of net/http's server, at half of its cost, and is as strict.
type clientConn struct {
	front      *front
	conn       net.Conn
	buf        []byte // what was read; buf[start:end] is not consumed yet
	start, end int
	lastReadAt time.Time // when the last bytes came
	// firstDone says that the first request was read, and its body unless that streams.
	firstDone bool
	fields    []field // of the present head; reused
	writeBuf  []byte  // reused by whoever writes the next response
	// responseDone holds one token while no response is pending.
	responseDone chan struct{}
	finalAnswers chan finalAnswer // buffered: who posts never waits

	mu                 sync.Mutex
	pending            *core.Request // waits for its response; nil: none does
	upload             *upload       // pending's body, where that streams
	reservedBytes      int           // of the body budget, for pending's body
	streaming          bool          // pending's response has begun to reach the client
	nextStarted        bool          // a part of the next request came while pending's response was awaited
	watchingDisconnect bool          // the reader has the next request's head, and reads only to see a disconnect
	closing            bool          // takes no further request
	readerEnded        bool
}

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	defer func() {
		p := recover()
		if p != nil { // the panic ends the agent; the client gets its response nevertheless
			if c.hasPending() {
				c.abortPending()
			} else {
				c.send(c.front.appendError(nil, http.StatusBadGateway, "failed", "", true))
			}
		}
		c.endReader(p == nil || c.hasPending())
		_ = c.conn.Close() // nothing can be done about a socket that does not close
		if p != nil {
			panic(p)
		}
	}()
	c.responseDone <- struct{}{}
	for first := true; ; first = false {
		headLen, err := c.readHead(first)
		if errors.Is(err, errHead) {
			if c.awaitResponse() {
				c.respondAndClose(&requestError{
					status: http.StatusRequestHeaderFieldsTooLarge,
					text:   "the head is too large",
				})
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
			go c.front.loop.ContainPanic(c.runWriter)
		}
		fail := c.handleRequest(c.buf[c.start : c.start+headLen])
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

// hasPending reports whether a request waits for its response.
func (c *clientConn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != nil
}

// isClosing reports whether no further request is taken.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// setClosing takes no further request.
func (c *clientConn) setClosing() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
}

// closesAfterResponse reports whether the response that is written now is the connection's last, and then takes no
// further request.
func (c *clientConn) closesAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesAfterResponseLocked()
}

func (c *clientConn) closesAfterResponseLocked() bool {
	c.closing = c.closing || c.front.draining.Load() || c.front.limiter.NearCapacity()
	return c.closing
}

// prepareNext has the connection wait for its next request, or end, after a response.
func (c *clientConn) prepareNext() {
	c.mu.Lock()
	switch {
	case c.closing:
		// The reader's read fails, and it lets the client read this response.
		c.closeWrite()
		_ = c.conn.SetReadDeadline(core.LongAgo)
	case c.watchingDisconnect: // the reader goes on with the request that it has
		_ = c.conn.SetReadDeadline(core.LongAgo)
	case c.nextStarted:
		_ = c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
	default:
		c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(idleTimeout)) // a dead connection shows by its read
		c.front.limiter.MarkIdle(c.conn)
	}
	c.mu.Unlock()
	c.responseDone <- struct{}{}
}

// respondAndClose writes an error response, and ends the connection: what is left of the body is not read, and must not
// be taken for the next request (RFC 9112, 9.6).
func (c *clientConn) respondAndClose(e *requestError) {
	if e.status == 0 {
		return
	}
	c.setClosing()
	if c.send(c.front.appendError(c.writeBuf[:0], e.status, e.text, e.allow, true)) {
		c.closeWrite()
		c.linger()
	}
}

func (c *clientConn) closeWrite() {
	if w, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
}

// linger reads and drops what the client still sends, until it closes too or lingerTime is over, so that the close that
// follows is no reset.
func (c *clientConn) linger() {
	buf := make([]byte, 1024)
	c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(lingerTime))
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

// send writes bytes within the write timeout. It reports false after an error.
func (c *clientConn) send(text []byte) bool {
	if c.conn.SetWriteDeadline(time.Now().Add(c.front.writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(text)
	return err == nil
}

// endReader reports the client's disconnect to the loop if a request is pending, and ends the writer after its response.
// With awaitLastResponse it waits for that: a client that has closed only its sending side still reads.
func (c *clientConn) endReader(awaitLastResponse bool) {
	c.mu.Lock()
	r := c.pending
	c.readerEnded = true
	c.mu.Unlock()
	if r == nil {
		c.postAnswer(finalAnswer{last: true})
		return
	}
	c.front.loop.ClientDisconnected(r)
	if awaitLastResponse {
		limit := time.NewTimer(lingerTime) // a client that does not read delays nothing else
		defer limit.Stop()
		select {
		case <-c.responseDone: // the writer is done
		case <-limit.C:
		}
	}
}
