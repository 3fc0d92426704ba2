package http1

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"vetchhaven/internal/core"
)

// clientConn is one client's connection. Its reader takes requests, one at a time, and its writer gives
// their answers: a client that hangs up shows while an answer is awaited, and nothing is started or
// set up for a request alone. net/http's server did this, at twice the price; what it is strict about,
// this is too.
type clientConn struct {
	front        *front
	conn         net.Conn
	buf          []byte
	start, end   int
	lastReadAt   time.Time // its last bytes were read
	fields       []field
	writeBuf     []byte
	responseDone chan struct{}    // of one: no answer is awaited
	finalAnswers chan finalAnswer // of a few, so that nobody who answers waits

	mu                 sync.Mutex
	pending            *core.Request // awaits its answer
	upload             *upload       // its body, where that streams
	reservedBytes      int           // bytes of its body
	streaming          bool          // its answer streams
	nextStarted        bool          // a part of the next request came while this one's answer was awaited
	watchingDisconnect bool          // all of the next request's head did, or too much: the reader looks for the client's leaving alone
	closing            bool          // takes no further request
	readerEnded        bool          // the reader has ended

}

// errBodyUnread is of a request that has its answer before all of it was read, errEnded of one behind the last answer.
var (
	errBodyUnread  = &requestError{}
	errConnClosing = errors.New("no further request is taken")
)

const (
	maxHead         = maxHeader + 4<<10 // as net/http counts it
	initialReadSize = 2 << 10
	// lingerTime is what a client has to read its last answer before its connection closes: closed with
	// something unread on it, it would be reset, and the answer lost.
	lingerTime = 500 * time.Millisecond
	// A client that sends more behind its request than a head may be long is read on, so that its leaving shows: what
	// it sends is dropped. Of one that has left there can be no more than two systems hold for a connection (Linux's
	// defaults: 6 MB to be read, 4 MB to be written), and that is dropped at once, or its end would be seen late. One that
	// sends on past floodMost bytes is there: it costs floodPiece bytes each floodPause.
	maxDropped    = 16 << 20
	floodReadSize = 4 << 10
	floodPause    = 10 * time.Millisecond
)

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	defer func() {
		p := recover()
		if p != nil { // it ends the agent, and is no reason to leave this client without an answer
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
		end, err := c.readHead(first)
		if errors.Is(err, errHead) {
			if c.awaitResponse() {
				c.respondAndClose(&requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is too large"})
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
		switch fail := c.handleRequest(c.buf[c.start : c.start+end]); fail {
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

// hasPending reports whether an answer is awaited.
func (c *clientConn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != nil
}

func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closesAfterResponse reports whether the answer that is written now is the last one.
func (c *clientConn) closesAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesAfterResponseLocked()
}

func (c *clientConn) closesAfterResponseLocked() bool {
	c.closing = c.closing || c.front.draining.Load() || c.front.limiter.NearCapacity()
	return c.closing
}

// prepareNext has the connection wait for its next request, or end, after an answer.
func (c *clientConn) prepareNext() {
	c.mu.Lock()
	switch {
	case c.closing:
		// The reader learns it from its read, and lets the client read this answer.
		c.closeWrite()
		_ = c.conn.SetReadDeadline(core.LongAgo)
	case c.watchingDisconnect: // it goes on with the request that it has
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

// respondAndClose writes a last answer to a request that can't be taken. What is left of a body is not read, and
// must not be taken for the next request. Nor does such a client keep a place that others wait for.
func (c *clientConn) respondAndClose(e *requestError) {
	if e.status == 0 {
		return
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
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

// linger reads what a client still sends, so that the close is no reset, until it closes too.
func (c *clientConn) linger() {
	buf := make([]byte, 1024)
	c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(lingerTime))
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

func (c *clientConn) send(text []byte) bool {
	if c.conn.SetWriteDeadline(time.Now().Add(c.front.writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(text)
	return err == nil
}

// endReader tells the loop that nobody waits for the open answer, and the writer that it is the last. With a last word that
// is waited for: a client that has ended its sending alone still reads, and is told that nothing more is done for it.
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
		limit := time.NewTimer(lingerTime) // one that does not read holds nothing up
		defer limit.Stop()
		select {
		case <-c.responseDone: // the writer is done
		case <-limit.C:
		}
	}
}
