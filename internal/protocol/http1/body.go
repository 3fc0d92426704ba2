package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
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

// bodyFault is the answer to a client whose body can't be taken.
func bodyFault(err error) *requestError {
	switch {
	case errors.Is(err, errTooLong):
		return &requestError{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", maxBody)}
	case errors.Is(err, errClientTooSlow):
		return &requestError{status: http.StatusRequestTimeout, text: "the body does not come"}
	}
	return badRequest("the body can't be read")
}

// upload is a request's body that streams from its client to one server.
type upload struct {
	body *requestBody
	// complete is closed when its last byte has been read: the connection may go on to its next request.
	complete chan struct{}
	state    atomic.Int32                 // coming, came or left
	fault    atomic.Pointer[requestError] // of its client

	mu       sync.Mutex // held by an attempt that reads
	consumed bool       // what is read from now on is read for the last time
}

// An upload's state changes once.
const (
	uploadReceiving = iota
	uploadReceived  // its last byte was read
	uploadAbandoned // its request has its answer
)

// disconnectCheckInterval is how often a client is looked for whose upload waits for a server: nobody reads its connection then.
const disconnectCheckInterval = 100 * time.Millisecond

// wait returns once the connection may go on to its next request, or false where its request has its answer before
// all of it was read.
func (u *upload) wait(r *core.Request, l *core.Loop, client net.Conn) bool {
	look := time.NewTicker(disconnectCheckInterval)
	defer look.Stop()
	for waiting := true; waiting; {
		select {
		case <-u.complete:
			return true // nobody reads it any more, though the server may still be to take its last piece
		case <-look.C:
			if core.Disconnected(client) {
				l.ClientDisconnected(r)
			}
			continue
		case <-r.Ended():
		case <-l.Stopped():
		}
		waiting = false
	}
	u.mu.Lock() // an attempt that still reads is about to end
	defer u.mu.Unlock()
	u.consumed = true // none begins any more
	return u.state.Load() == uploadReceived
}

// sendTo writes what is left of the body to w, in pieces as they come. It reports whether a failure is the client's.
func (u *upload) sendTo(ctx context.Context, by attemptOwner, w func([]byte) error) (clients bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.consumed {
		return false, errors.New("the body was sent once already")
	}
	u.consumed = true
	buf := pieceBuffers.Get().(*[]byte)
	defer pieceBuffers.Put(buf)
	var framed []byte
	for {
		n, err := u.body.Read(*buf)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			u.fault.Store(bodyFault(err))
			return true, err
		}
		select {
		case <-by.Ended(): // nothing is sent any more for a request that has its answer
			return false, errRequestEnded
		case <-ctx.Done():
			return false, context.Cause(ctx)
		default:
		}
		text := (*buf)[:n]
		if u.body.chunks != nil {
			framed = appendChunk(framed[:0], text)
			if last {
				framed = append(framed, lastChunk...)
			}
			text = framed
		} else if u.body.remaining == 0 {
			last = true
		}
		if last {
			// What the system held of it unread may have hidden its client's end, which comes with the last byte or right
			// behind it: the last piece waits for this look, and without it nothing runs.
			if by.Disconnected() {
				return true, errClientDisconnected
			}
			// While its answer is awaited a client may be silent. Before the connection goes on: by then the answer may
			// have set its next limit.
			if err := u.body.client.conn.SetReadDeadline(time.Time{}); err != nil {
				return true, err
			}
			if !u.state.CompareAndSwap(uploadReceiving, uploadReceived) {
				return false, errRequestEnded
			}
			u.body.client.front.openUploads.Add(-1)
			close(u.complete)
		}
		if len(text) > 0 {
			if err := w(text); err != nil {
				return false, err
			}
		}
		if last {
			return false, nil
		}
	}
}

var pieceBuffers = sync.Pool{New: func() any { b := make([]byte, streamPieceSize); return &b }}
