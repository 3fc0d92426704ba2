package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"vetchhaven/internal/core"
)

// awaitResponse waits until the answer before is out. It reports false where that was the last, or its client has left.
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

// watchForDisconnect reads on while an answer is awaited, or it would not be seen that the client has left. It reports whether the
// answer is out: next ends its read then.
func (c *clientConn) watchForDisconnect() bool {
	var scrap []byte // what is dropped
	for dropped := 0; ; {
		var into []byte
		if c.end-c.start < maxHead {
			into = c.freeBuffer()
		} else {
			if scrap == nil {
				buf := pieceBuffers.Get().(*[]byte)
				defer pieceBuffers.Put(buf)
				scrap = (*buf)[:floodReadSize]
			}
			into = scrap
		}
		n, err := c.conn.Read(into)
		switch {
		case n == 0 && err != nil:
			return errors.Is(err, os.ErrDeadlineExceeded)
		case c.end-c.start < maxHead:
			c.end, c.lastReadAt = c.end+n, time.Now()
			continue
		case dropped == 0 && !c.closeOnOverflow():
			c.buf = append(c.buf[:c.end], scrap[:n]...)
			c.end, c.lastReadAt = c.end+n, time.Now()
			return true
		}
		scrap = scrap[:cap(scrap)]
		if dropped += n; dropped > maxDropped {
			scrap = scrap[:floodReadSize]
			if c.front.overflowHook != nil {
				c.front.overflowHook(true)
			}
			select {
			case <-c.responseDone:
				c.responseDone <- struct{}{}
				return true
			case <-time.After(floodPause):
			}
		}
	}
}

// closeOnOverflow reports whether a client has sent more than is kept before any of its answer: what is dropped can't be
// answered, and the connection ends. One that has a part of its answer, if only the last byte is not yet booked, may
// have sent its next request, which is read when its turn comes.
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

// freeBuffer is where the next bytes are read to.
func (c *clientConn) freeBuffer() []byte {
	if c.end == len(c.buf) {
		grown := make([]byte, max(initialReadSize, 2*len(c.buf)))
		copy(grown, c.buf[:c.end])
		c.buf = grown
	}
	return c.buf[c.end:]
}

// readHead reads until a head is whole, and returns its length behind c.start.
func (c *clientConn) readHead(first bool) (int, error) {
	if c.start == c.end {
		c.start, c.end = 0, 0
		if len(c.buf) > 2*initialReadSize {
			c.buf = nil // a connection that rests keeps little
		}
	}
	began := false
	if first {
		c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(core.HeadTimeout)) // from connecting on, whatever comes of it
		began = true
	}
	for {
		for c.start < c.end && (c.buf[c.start] == '\r' || c.buf[c.start] == '\n') {
			c.start++ // empty lines ahead of a request line are passed over (RFC 9112, 2.2)
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
			c.start, c.end = 0, c.end-c.start
		}
		if c.end > 0 && !began {
			began = true
			if err := c.startNextRequest(); err != nil {
				return 0, err
			}
		}
		n, err := c.conn.Read(c.freeBuffer())
		if n == 0 && err != nil {
			return 0, err
		}
		c.end, c.lastReadAt = c.end+n, time.Now()
	}
}

// startNextRequest bounds the time of a request that has begun to come: its time runs from when the answer before is out.
func (c *clientConn) startNextRequest() error {
	c.mu.Lock()
	if c.pending != nil {
		c.nextStarted = true // next sets its time
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	<-c.responseDone // the answer may still be on its way out
	c.responseDone <- struct{}{}
	if c.isClosing() {
		return errConnClosing
	}
	if !c.front.limiter.MarkBusy(c.conn) {
		return net.ErrClosed
	}
	return c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
}
