package http1

import (
	"bufio"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"vetchhaven/internal/core"
)

const (
	maxBody         = 32 << 20  // bytes of a body, both ways
	maxBufferedBody = 256 << 10 // of a request's body that is read whole before the request counts; more is an upload
	streamPieceSize = 32 << 10  // of a body that streams is held at once
	// minClientRate is the least rate of a client, in bytes a second, while it is waited for. Half of what slow clients
	// are known to send at.
	minClientRate = 32 << 10
)

var (
	errClientTooSlow      = errors.New("the client sends too slowly")
	errClientDisconnected = errors.New("the client has left")
)

// requestBody reads a request's body as it comes on its client's connection, and no further.
type requestBody struct {
	client          *clientConn
	length          int64 // as told; -1: in chunks
	remaining       int64
	chunks          *chunkedBody // of a length that was not told
	expectsContinue bool         // the client waits to be told so (RFC 9110, 10.1.1)
	wireBytes       int64
	waitedForClient time.Duration // for the client
}

func newRequestBody(c *clientConn, h *requestHead) *requestBody {
	b := &requestBody{client: c, length: h.length, remaining: h.length, expectsContinue: h.expectsContinue}
	if h.hasTransferCoding {
		b.length = -1
		b.chunks = &chunkedBody{in: bufio.NewReaderSize(wireReader{b}, 4<<10)}
	}
	return b
}

// Read gives what has come. io.EOF: all of it has.
func (b *requestBody) Read(p []byte) (int, error) {
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
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := wireReader{b}.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, unexpected(err)
}

// returnUnread leaves what was read past the end to the next request.
func (b *requestBody) returnUnread() {
	if n := b.chunks.in.Buffered(); n > 0 {
		rest, _ := b.chunks.in.Peek(n)
		c := b.client
		c.buf, c.start = append(append([]byte(nil), rest...), c.buf[c.start:c.end]...), 0
		c.end = len(c.buf)
	}
}

// wireReader reads bytes of the connection, framing included.
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
	// A gap in what comes is bounded, and all of them together: one that stops coming must not hold its
	// connection for ever, nor one that drips.
	limit := min(core.HeadTimeout, core.HeadTimeout+time.Duration(b.wireBytes)*time.Second/minClientRate-b.waitedForClient)
	if limit <= 0 {
		return 0, errClientTooSlow
	}
	now := time.Now()
	if err := c.conn.SetReadDeadline(now.Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.conn.Read(p)
	c.lastReadAt = time.Now()
	b.waitedForClient += c.lastReadAt.Sub(now)
	b.wireBytes += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errClientTooSlow
	}
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// readBuffered reads a body to its end, as long as it is small and there is room for it. all is false where it is
// an upload, of which text is the beginning. What is read is booked.
func (b *requestBody) readBuffered(budget *core.ByteBudget) (text []byte, reserved int, complete bool, err error) {
	size := 4 << 10 // to begin with
	if b.length >= 0 {
		if size = int(b.length); b.length > maxBufferedBody {
			return nil, 0, false, nil
		}
	}
	if !budget.Acquire(size) {
		return nil, 0, false, nil
	}
	text, reserved = make([]byte, 0, size), size
	for {
		if len(text) == cap(text) && b.length < 0 {
			more := cap(text)
			if reserved+more > maxBufferedBody || !budget.Acquire(more) {
				return text, reserved, false, nil
			}
			reserved += more
			text = append(make([]byte, 0, reserved), text...)
		}
		if int64(len(text)) == b.length {
			return text, reserved, true, nil
		}
		n, err := b.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			return text, reserved, true, nil
		}
		if err != nil {
			return text, reserved, false, err
		}
	}
}

var pieceBuffers = sync.Pool{New: func() any { b := make([]byte, streamPieceSize); return &b }}
