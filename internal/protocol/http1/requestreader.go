package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"vetchhaven/internal/core"
)

const (
	// maxHead is how many bytes a request's head may have, and how many of the next request are kept while a response is
	// pending. It is what net/http allows for the same MaxHeaderBytes. A larger head is answered with 431.
	maxHead = maxHeader + 4<<10
	// initialReadSize is the first size of a connection's buffer, in bytes; it doubles as needed.
	initialReadSize = 2 << 10
	// A client that sends more than maxHead behind its request is read on, so that its disconnect shows; what it sends is
	// dropped. Once it has disconnected there can be no more of its bytes than two systems hold for a connection (Linux's
	// defaults: 6 MB received, 4 MB to be sent). These are dropped at once, or its end would be seen late. A client that
	// sends on past maxDropped bytes is still connected: it is read by floodReadSize bytes each floodPause.
	maxDropped    = 16 << 20
	floodReadSize = 4 << 10
	floodPause    = 10 * time.Millisecond
)

// awaitResponse waits until the response before is written. It reports false if that was the last one, or the client has
// disconnected.
func (c *clientConn) awaitResponse() bool {
	c.mu.Lock()
	c.watchingDisconnect = c.pending != nil
	watching := c.watchingDisconnect
	c.mu.Unlock()
	if watching && !c.watchForDisconnect() {
		return false
	}
	<-c.responseDone
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchingDisconnect = false
	return !c.closing
}

// watchForDisconnect reads on while a response is pending, since only a read shows that the client has disconnected. It
// reports true once the response is written: prepareNext then ends the read by its deadline.
func (c *clientConn) watchForDisconnect() bool {
	var scratch []byte // for what is dropped
	for dropped := 0; ; {
		var into []byte
		if c.end-c.start < maxHead {
			into = c.freeBuffer()
		} else {
			if scratch == nil {
				buf := pieceBuffers.Get().(*[]byte)
				defer pieceBuffers.Put(buf)
				scratch = (*buf)[:floodReadSize]
			}
			into = scratch
		}
		n, err := c.conn.Read(into)
		switch {
		case n == 0 && err != nil:
			return errors.Is(err, os.ErrDeadlineExceeded)
		case c.end-c.start < maxHead:
			c.received(n)
			continue
		case dropped == 0 && !c.closeOnOverflow():
			c.buf = append(c.buf[:c.end], scratch[:n]...)
			c.received(n)
			return true
		}
		scratch = scratch[:cap(scratch)]
		dropped += n
		if dropped > maxDropped {
			scratch = scratch[:floodReadSize]
			if c.pauseFlood() {
				return true
			}
		}
	}
}

// pauseFlood waits for floodPause, or for the pending response: then it reports true.
func (c *clientConn) pauseFlood() bool {
	if c.front.overflowHook != nil {
		c.front.overflowHook(true)
	}
	select {
	case <-c.responseDone:
		c.responseDone <- struct{}{}
		return true
	case <-time.After(floodPause):
		return false
	}
}

// closeOnOverflow reports whether the client has sent more than is kept before any of its response: what is dropped can't
// be answered, so the connection ends after this response. A client that has a part of its response, even if only the
// last byte is still to be recorded, may have sent its next request, which is read when it is due.
func (c *clientConn) closeOnOverflow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.front.overflowHook != nil {
		defer c.front.overflowHook(false)
	}
	if c.pending == nil || c.streaming {
		return false
	}
	c.closing = true
	return true
}

// received takes note of n bytes that were read to the end of the buffer's content.
func (c *clientConn) received(n int) {
	c.end += n
	c.noteArrival(time.Now())
}

// noteArrival takes note of when the bytes came that were just read. Those of the first request, its body's included, may
// have come while the connection waited to be accepted.
func (c *clientConn) noteArrival(readAt time.Time) {
	c.lastReadAt = readAt
	if !c.firstDone {
		c.lastReadAt = readAt.Add(-core.SinceArrival(c.conn))
	}
}

// freeBuffer is where the next bytes are read to.
func (c *clientConn) freeBuffer() []byte {
	if c.end == len(c.buf) {
		grown := make([]byte, max(initialReadSize, 2*len(c.buf)))
		copy(grown, c.buf[:c.end])
		c.buf = grown
	}
	return c.buf[c.end:]
}

// readHead reads until a head is complete, and returns its length behind c.start. errHead: it is too large.
func (c *clientConn) readHead(first bool) (int, error) {
	if c.start == c.end {
		c.start = 0
		c.end = 0
		if len(c.buf) > 2*initialReadSize {
			c.buf = nil // an idle connection keeps little memory
		}
	}
	started := false
	if first {
		// The first head's time runs from the connection's start, whether anything comes or not.
		c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(core.HeadTimeout))
		started = true
	}
	for {
		// Empty lines ahead of a request line are ignored (RFC 9112, 2.2).
		for c.start < c.end && (c.buf[c.start] == '\r' || c.buf[c.start] == '\n') {
			c.start++
		}
		if n := headEnd(c.buf[c.start:c.end]); n > 0 {
			if n > maxHead {
				return 0, errHead
			}
			return n, nil
		}
		if c.end-c.start >= maxHead {
			return 0, errHead
		}
		if c.start > 0 {
			copy(c.buf, c.buf[c.start:c.end])
			c.end -= c.start
			c.start = 0
		}
		if c.end > 0 && !started {
			started = true
			if err := c.startNextRequest(); err != nil {
				return 0, err
			}
		}
		n, err := c.conn.Read(c.freeBuffer())
		if n == 0 && err != nil {
			return 0, err
		}
		c.received(n)
	}
}

// startNextRequest bounds the time of a request whose first bytes have come. It runs from when the response before is
// written.
func (c *clientConn) startNextRequest() error {
	c.mu.Lock()
	if c.pending != nil {
		c.nextStarted = true // prepareNext sets its time
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	<-c.responseDone // the response may still be being written
	c.responseDone <- struct{}{}
	if c.isClosing() {
		return errConnClosing
	}
	if !c.front.limiter.MarkBusy(c.conn) {
		return net.ErrClosed
	}
	return c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
}
