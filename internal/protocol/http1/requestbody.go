package http1

import (
	"bufio"
	"errors"
	"io"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

const (
	// maxBody is how many bytes a body may have, of a request or of a response. A request with a longer one is
	// answered with 413.
	maxBody = 32 << 20
	// maxBufferedBody is how many bytes of a request's body are read before the request is submitted. A longer body is
	// an upload, which can be sent only once. A larger value takes more memory per request, a smaller one makes more
	// requests impossible to retry.
	maxBufferedBody = 256 << 10
	// firstBufferSize is how many bytes are reserved at first for a body of unknown length; the number doubles as
	// needed.
	firstBufferSize = 4 << 10
	// chunkBufferSize is the size of the buffer for the framing of chunks, in bytes: more than maxChunkLine.
	chunkBufferSize = 2 << 10
	// minClientRate is the minimum rate of a client, in bytes per second, while the agent waits for its bytes: half of
	// the rate of known slow clients. A larger value cuts off slower clients, a smaller one lets them occupy their
	// slots for longer.
	minClientRate = 32 << 10
)

// requestBody reads a request's body from its client's connection as it arrives, and no byte after it.
type requestBody struct {
	client          *clientConn
	length          int64         // the value of Content-Length; -1: the body is chunked
	remaining       atomic.Int64  // bytes of length that are still to be read
	chunks          *chunkedBody  // nil: not chunked
	expectsContinue bool          // the client waits for a 100 (Continue) response (RFC 9110, 10.1.1)
	wireBytes       int64         // bytes read so far, including the framing
	waitedForClient time.Duration // the total of all waits
	undecoded       atomic.Int64  // bytes that were read from the connection, and not yet returned as a part of the body
	writingAt       time.Time     // the latest time at which the client is known not to have written the last byte
	request         *core.Request // the request whose upload this is; nil: none yet
}

const (
	// openWindow is how many unread bytes, at most, never make a receive buffer full.
	openWindow = 16 << 10
	// refillTime is how long a receive buffer may stay below openWindow although the client's system has more to send: the
	// two systems may be delayed on a busy machine. refillSamples is how often it is looked at in this time.
	refillTime    = 50 * time.Millisecond
	refillSamples = 10
)

// clientIsWriting reports whether the client has certainly not written the body's last byte yet: for refillTime, what it
// has written was read so soon that nothing waits in its system, and the end was not there. It may be called from any
// goroutine while the body is being read, and takes up to refillTime.
func (b *requestBody) clientIsWriting() bool {
	sawEnd := true
	for range refillSamples {
		unread, known := core.UnreadBytes(b.client.conn)
		if !known {
			return true
		}
		arrived := int64(unread) + b.undecoded.Load()
		remaining := b.remaining.Load()
		switch {
		case unread >= openWindow && (b.chunks != nil || remaining <= maxDropped):
			return false
		case b.chunks != nil: // any byte may belong to the end
			sawEnd = sawEnd && arrived > 0
		default:
			sawEnd = arrived >= remaining
		}
		time.Sleep(refillTime / refillSamples)
	}
	return !sawEnd
}

// noteWriting records a time at which the client is known not to have written the last byte.
func (b *requestBody) noteWriting(at time.Time) {
	b.writingAt = at
	if b.request != nil {
		b.request.StillWriting(at)
	}
}

// newRequestBody returns the body that follows a head. Transfer-Encoding overrides Content-Length (RFC 9112, 6.3).
func newRequestBody(c *clientConn, h *requestHead) *requestBody {
	b := &requestBody{client: c, length: h.length, expectsContinue: h.expectsContinue, writingAt: c.lastReadAt}
	b.remaining.Store(h.length)
	b.undecoded.Store(int64(c.end - c.start))
	if h.hasTransferCoding {
		b.length = -1
		b.chunks = &chunkedBody{in: bufio.NewReaderSize(wireReader{b}, chunkBufferSize)}
	}
	return b
}

// Read implements io.Reader. It returns the bytes that have arrived, and io.EOF once the body is complete.
func (b *requestBody) Read(p []byte) (int, error) {
	defer b.countUndecoded()
	if b.chunks != nil {
		n, err := b.chunks.Read(p)
		switch {
		case b.chunks.decoded > maxBody:
			err = errTooLong
		case errors.Is(err, io.EOF):
			b.returnUnread()
		}
		return n, err
	}
	remaining := b.remaining.Load()
	if remaining == 0 {
		return 0, io.EOF
	}
	n, err := wireReader{b}.Read(p[:min(int64(len(p)), remaining)])
	b.remaining.Add(-int64(n))
	return n, unexpectedEOF(err)
}

// countUndecoded updates undecoded after a read.
func (b *requestBody) countUndecoded() {
	n := b.client.end - b.client.start
	if b.chunks != nil {
		n += b.chunks.in.Buffered()
	}
	b.undecoded.Store(int64(n))
}

// returnUnread puts bytes that were read beyond the body's end back into the connection's buffer, for the next
// request.
func (b *requestBody) returnUnread() {
	if n := b.chunks.in.Buffered(); n > 0 {
		rest, _ := b.chunks.in.Peek(n)
		c := b.client
		c.buf = append(slices.Clone(rest), c.buf[c.start:c.end]...)
		c.start = 0
		c.end = len(c.buf)
	}
}

// wireReader reads a body's bytes from its connection, including the framing.
type wireReader struct{ *requestBody }

func (b wireReader) Read(p []byte) (int, error) {
	c := b.client
	if c.start < c.end {
		n := copy(p, c.buf[c.start:c.end])
		c.start += n
		b.wireBytes += int64(n)
		return n, nil
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if !c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return 0, io.ErrUnexpectedEOF
		}
	}
	// Each wait is limited, and so is the total of all waits: neither a client that stops sending nor a client that
	// sends a byte now and then may occupy its connection indefinitely.
	limit := min(core.HeadTimeout, core.HeadTimeout+time.Duration(b.wireBytes)*time.Second/minClientRate-b.waitedForClient)
	if limit <= 0 {
		return 0, errClientTooSlow
	}
	startedAt := time.Now()
	if err := c.conn.SetReadDeadline(startedAt.Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.conn.Read(p)
	readAt := time.Now()
	c.noteArrival(readAt)
	if readAt.Sub(startedAt) >= refillTime { // nothing waited in the client's system
		b.noteWriting(c.lastReadAt)
	}
	b.waitedForClient += readAt.Sub(startedAt)
	b.wireBytes += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errClientTooSlow
	}
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// receivedBody is a request's body: a complete one, or the beginning of an upload.
type receivedBody struct {
	text     []byte
	reserved int     // bytes of the body budget; the body's owner has to release them
	upload   *upload // nil: the body is complete
}

// readBuffered reads a body to its end if the body is short and fits into the budget; otherwise the body is an upload.
// The reserved bytes have to be released after an error, too.
func (b *requestBody) readBuffered(budget *core.ByteBudget) (received receivedBody, err error) {
	size := firstBufferSize
	if b.length > maxBufferedBody {
		return b.asUpload(nil, 0), nil
	}
	if b.length >= 0 {
		size = int(b.length)
	}
	if !budget.Acquire(size) {
		return b.asUpload(nil, 0), nil
	}
	reserved := size
	text := make([]byte, 0, size)
	for {
		if len(text) == cap(text) && b.length < 0 {
			more := cap(text)
			if reserved+more > maxBufferedBody || !budget.Acquire(more) {
				return b.asUpload(text, reserved), nil
			}
			reserved += more
			text = append(make([]byte, 0, reserved), text...)
		}
		if int64(len(text)) == b.length {
			return receivedBody{text: text, reserved: reserved}, nil
		}
		n, err := b.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			return receivedBody{text: text, reserved: reserved}, nil
		}
		if err != nil {
			return receivedBody{reserved: reserved}, err
		}
	}
}

// asUpload returns the body as an upload. text is the part of the body that has been read already, and reserved its
// bytes of the body budget.
func (b *requestBody) asUpload(text []byte, reserved int) receivedBody {
	return receivedBody{
		text:     text,
		reserved: reserved,
		upload:   &upload{body: b, complete: make(chan struct{})},
	}
}
