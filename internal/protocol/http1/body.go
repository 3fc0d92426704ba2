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
	maxBody  = 32 << 20  // bytes of a body, both ways
	maxWhole = 256 << 10 // of a request's body that is read whole before the request counts; more is an upload
	piece    = 32 << 10  // of a body that streams is held at once
	// slowest is the least rate of a client, in bytes a second, while it is waited for. Half of what slow clients
	// are known to send at.
	slowest = 32 << 10
)

var (
	errSlow = errors.New("the client sends too slowly")
	errLeft = errors.New("the client has left")
)

// body reads a request's body as it comes on its client's connection, and no further.
type body struct {
	c      *clientConn
	length int64 // as told; -1: in chunks
	left   int64
	chunks *chunks // of a length that was not told
	goOn   bool    // the client waits to be told so (RFC 9110, 10.1.1)
	got    int64
	waited time.Duration // for the client
}

func newBody(c *clientConn, h *head) *body {
	b := &body{c: c, length: h.length, left: h.length, goOn: h.wantsContinue}
	if h.coded {
		b.length = -1
		b.chunks = &chunks{in: bufio.NewReaderSize(onWire{b}, 4<<10)}
	}
	return b
}

// Read gives what has come. io.EOF: all of it has.
func (b *body) Read(p []byte) (int, error) {
	if b.chunks != nil {
		n, err := b.chunks.Read(p)
		switch {
		case b.chunks.size > maxBody:
			err = errTooLong
		case errors.Is(err, io.EOF):
			b.giveBack()
		}
		return n, err
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := onWire{b}.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, unexpected(err)
}

// giveBack leaves what was read past the end to the next request.
func (b *body) giveBack() {
	if n := b.chunks.in.Buffered(); n > 0 {
		rest, _ := b.chunks.in.Peek(n)
		c := b.c
		c.buf, c.start = append(append([]byte(nil), rest...), c.buf[c.start:c.end]...), 0
		c.end = len(c.buf)
	}
}

// onWire reads bytes of the connection, framing included.
type onWire struct{ *body }

func (b onWire) Read(p []byte) (int, error) {
	c := b.c
	if c.start < c.end {
		n := copy(p, c.buf[c.start:c.end])
		c.start += n
		b.got += int64(n)
		return n, nil
	}
	if b.goOn {
		b.goOn = false
		if !c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return 0, io.ErrUnexpectedEOF
		}
	}
	// A gap in what comes is bounded, and all of them together: one that stops coming must not hold its
	// connection for ever, nor one that drips.
	limit := min(core.HeadTimeout, core.HeadTimeout+time.Duration(b.got)*time.Second/slowest-b.waited)
	if limit <= 0 {
		return 0, errSlow
	}
	now := time.Now()
	if err := c.nc.SetReadDeadline(now.Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.nc.Read(p)
	c.came = time.Now()
	b.waited += c.came.Sub(now)
	b.got += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSlow
	}
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// whole reads a body to its end, as long as it is small and there is room for it. all is false where it is
// an upload, of which text is the beginning. What is read is booked.
func (b *body) whole(room *core.ByteBudget) (text []byte, booked int, all bool, err error) {
	size := 4 << 10 // to begin with
	if b.length >= 0 {
		if size = int(b.length); b.length > maxWhole {
			return nil, 0, false, nil
		}
	}
	if !room.Acquire(size) {
		return nil, 0, false, nil
	}
	text, booked = make([]byte, 0, size), size
	for {
		if len(text) == cap(text) && b.length < 0 {
			more := cap(text)
			if booked+more > maxWhole || !room.Acquire(more) {
				return text, booked, false, nil
			}
			booked += more
			text = append(make([]byte, 0, booked), text...)
		}
		if int64(len(text)) == b.length {
			return text, booked, true, nil
		}
		n, err := b.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if errors.Is(err, io.EOF) {
			return text, booked, true, nil
		}
		if err != nil {
			return text, booked, false, err
		}
	}
}

// faultOf is the answer to a client whose body can't be taken.
func faultOf(err error) *inputError {
	switch {
	case errors.Is(err, errTooLong):
		return &inputError{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", maxBody)}
	case errors.Is(err, errSlow):
		return &inputError{status: http.StatusRequestTimeout, text: "the body does not come"}
	}
	return bad("the body can't be read")
}

// upload is a request's body that streams from its client to one server.
type upload struct {
	body *body
	// whole is closed when its last byte has been read: the connection may go on to its next request.
	whole chan struct{}
	state atomic.Int32               // coming, came or left
	fault atomic.Pointer[inputError] // of its client

	mu    sync.Mutex // held by an attempt that reads
	begun bool       // what is read from now on is read for the last time
}

// An upload's state changes once.
const (
	coming = iota
	came   // its last byte was read
	left   // its request has its answer
)

// lookEvery is how often a client is looked for whose upload waits for a server: nobody reads its connection then.
const lookEvery = 100 * time.Millisecond

// wait returns once the connection may go on to its next request, or false where its request has its answer before
// all of it was read.
func (u *upload) wait(r *core.Request, l *core.Loop, client net.Conn) bool {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for waiting := true; waiting; {
		select {
		case <-u.whole:
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
	u.begun = true // none begins any more
	return u.state.Load() == came
}

// pump writes what is left of the body to w, in pieces as they come. It reports whether a failure is the client's.
func (u *upload) pump(ctx context.Context, by purpose, w func([]byte) error) (clients bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.begun {
		return false, errors.New("the body was sent once already")
	}
	u.begun = true
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	var framed []byte
	for {
		n, err := u.body.Read(*buf)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			u.fault.Store(faultOf(err))
			return true, err
		}
		select {
		case <-by.Ended(): // nothing is sent any more for a request that has its answer
			return false, errOver
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
		} else if u.body.left == 0 {
			last = true
		}
		if last {
			// What the system held of it unread may have hidden its client's end, which comes with the last byte or right
			// behind it: the last piece waits for this look, and without it nothing runs.
			if by.Disconnected() {
				return true, errLeft
			}
			// While its answer is awaited a client may be silent. Before the connection goes on: by then the answer may
			// have set its next limit.
			if err := u.body.c.nc.SetReadDeadline(time.Time{}); err != nil {
				return true, err
			}
			if !u.state.CompareAndSwap(coming, came) {
				return false, errOver
			}
			u.body.c.f.uploads.Add(-1)
			close(u.whole)
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

var pieces = sync.Pool{New: func() any { b := make([]byte, piece); return &b }}
