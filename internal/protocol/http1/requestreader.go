package http1

import (
	"errors"
	"net"
	"os"
	"time"

	"vetchhaven/internal/core"
)

const (
	// maxHead is how many bytes a request's head may have, and how many bytes of the next requests are buffered while
	// a response is pending. net/http allows the same for the same MaxHeaderBytes. A larger head is answered with 431.
	maxHead = maxHeader + 4<<10
	// initialReadSize is the initial size of a connection's read buffer, in bytes; the size doubles as needed.
	initialReadSize = 2 << 10
	// maxReadBuffer is the largest size of a connection's read buffer. It exceeds maxHead, so that a head that is too
	// large is recognized as such while a response is pending.
	maxReadBuffer = 32 << 10
	// If a client sends more than maxHead bytes after its request, the reader keeps reading and drops the excess, so
	// that it detects a disconnect. After a disconnect no more bytes can follow than the two systems buffer for a
	// connection (Linux's defaults: 6 MB received, 4 MB to be sent). These are dropped without pauses, since the
	// disconnect can be detected only after them. A client that has sent more than maxDropped bytes is still
	// connected: from then on, floodReadSize bytes are read per floodPause.
	maxDropped    = 16 << 20
	floodReadSize = 4 << 10
	floodPause    = 10 * time.Millisecond
)

// awaitResponse waits until the previous response is written. It reports false if that was the connection's last
// response, or if the client has disconnected.
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

// watchForDisconnect keeps reading while a response is pending, since only a read shows that the client has
// disconnected. It reports true once the response is written: prepareNext then ends the read by a deadline in the
// past.
func (c *clientConn) watchForDisconnect() bool {
	var scratch []byte // receives the bytes that are dropped
	for dropped := 0; ; {
		into := c.freeBuffer()
		buffers := into != nil
		if !buffers {
			if scratch == nil {
				scratch = make([]byte, floodReadSize)
			}
			into = scratch
		}
		n, err := c.conn.Read(into)
		switch {
		case n == 0 && err != nil:
			return errors.Is(err, os.ErrDeadlineExceeded)
		case buffers:
			c.received(n)
			continue
		case dropped == 0 && !c.closeOnOverflow():
			c.buf = append(c.buf[:c.end], scratch[:n]...)
			c.received(n)
			return true
		}
		dropped += n
		if dropped > maxDropped {
			if c.pauseFlood() {
				return true
			}
		}
	}
}

// pauseFlood waits for floodPause or for the pending response. It reports true if the response is written.
func (c *clientConn) pauseFlood() bool {
	if c.frontend.overflowHook != nil {
		c.frontend.overflowHook(true)
	}
	select {
	case <-c.responseDone:
		c.responseDone <- struct{}{}
		return true
	case <-time.After(floodPause):
		return false
	}
}

// closeOnOverflow reports whether the client has sent more than is buffered before any part of its response was sent.
// Requests in dropped bytes can't be answered, so the connection then ends after this response. A client that has
// received a part of its response may have received all of it, though that is not recorded yet, and may have sent its
// next request; that is read when its turn comes.
func (c *clientConn) closeOnOverflow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frontend.overflowHook != nil {
		defer c.frontend.overflowHook(false)
	}
	if c.pending == nil || c.streaming {
		return false
	}
	c.closing = true
	return true
}

// received records that n bytes were read into the buffer, after its content.
func (c *clientConn) received(n int) {
	c.end += n
	c.noteArrival(time.Now())
}

// noteArrival records when the bytes that were just read had arrived. The bytes of the first request, including its
// body, may have arrived while the connection waited to be accepted.
func (c *clientConn) noteArrival(readAt time.Time) {
	c.lastReadAt = readAt
	if !c.firstDone {
		c.lastReadAt = readAt.Add(-core.SinceArrival(c.conn))
	}
}

// freeBuffer returns the free part of the buffer, for the next bytes. It grows a full buffer. If
// the buffer is full and may not grow, it returns nil.
func (c *clientConn) freeBuffer() []byte {
	if c.start > 0 {
		copy(c.buf, c.buf[c.start:c.end])
		c.end -= c.start
		c.start = 0
	}
	if c.end == len(c.buf) && !c.growBuffer() {
		return nil
	}
	return c.buf[c.end:]
}

// growBuffer doubles the buffer. It reports false if the buffer has reached maxReadBuffer, or if the budget does not
// allow it to grow beyond initialReadSize.
func (c *clientConn) growBuffer() bool {
	size := min(max(initialReadSize, 2*len(c.buf)), maxReadBuffer)
	more := max(0, size-initialReadSize) - c.bufReserved
	if size <= len(c.buf) || more > 0 && !c.frontend.bodyBudget.Acquire(more) {
		return false
	}
	c.bufReserved += max(0, more)
	grown := make([]byte, size)
	copy(grown, c.buf[:c.end])
	c.buf = grown
	return true
}

// dropBuffer releases an empty buffer that has grown: an idle connection should occupy little memory.
func (c *clientConn) dropBuffer() {
	c.start = 0
	c.end = 0
	if len(c.buf) > initialReadSize {
		c.buf = nil
	}
	c.frontend.bodyBudget.Release(c.bufReserved)
	c.bufReserved = 0
}

// readHead reads until a head is complete, and returns the head's length. The head begins at c.start. The error is
// errHead if the head is too large, and errNoMemory if there is no memory for it now.
func (c *clientConn) readHead(first bool) (int, error) {
	if c.start == c.end {
		c.dropBuffer()
	}
	started := false
	searched := 0 // bytes from c.start on that don't contain the head's end
	if first {
		// The time limit of the first head counts from the start of the connection, whether or not any byte arrives.
		c.frontend.limiter.SetReadDeadline(c.conn, time.Now().Add(core.HeadTimeout))
		started = true
	}
	for {
		// Empty lines before a request line are ignored (RFC 9112, 2.2).
		for c.start < c.end && (c.buf[c.start] == '\r' || c.buf[c.start] == '\n') {
			c.start++
			searched = 0
		}
		if n := headEnd(c.buf[c.start:c.end], searched); n > 0 {
			if n > maxHead {
				return 0, errHead
			}
			return n, nil
		}
		searched = c.end - c.start
		if searched >= maxHead {
			return 0, errHead
		}
		if c.end > c.start && !started {
			started = true
			if err := c.startNextRequest(); err != nil {
				return 0, err
			}
		}
		free := c.freeBuffer()
		if free == nil {
			return 0, errNoMemory
		}
		n, err := c.conn.Read(free)
		if n == 0 && err != nil {
			return 0, err
		}
		c.received(n)
	}
}

// startNextRequest limits the time for a request whose first bytes have arrived. The time counts from when the
// previous response is written.
func (c *clientConn) startNextRequest() error {
	c.mu.Lock()
	if c.pending != nil {
		c.nextStarted = true // prepareNext sets its deadline
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	<-c.responseDone // the writer may still be writing the response
	c.responseDone <- struct{}{}
	if c.isClosing() {
		return errConnClosing
	}
	if !c.frontend.limiter.MarkBusy(c.conn) {
		return net.ErrClosed
	}
	return c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
}
