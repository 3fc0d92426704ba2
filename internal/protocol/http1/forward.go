package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"vetchhaven/internal/core"
)

// maxUploadStall is how long a backend may take no byte of an upload.
const maxUploadStall = 10 * time.Second

// maxResponseStall is how long an answer that streams may bring nothing.
const maxResponseStall = 10 * time.Second

// errResponseTooSlow is of an answer that streams and does not end: it drips.
var errResponseTooSlow = errors.New("the answer comes too slowly")

// exchange writes m on a connection and reads its answer. It reports whether the last byte of m
// was written. After an error the connection is of no further use.
func (b *connPool) exchange(ctx context.Context, by attemptOwner, c *serverConn, m *message) (a *response, fullyWritten bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(core.LongAgo) })
	defer func() {
		if !stop() && err == nil {
			a.reusable = false // its deadline has passed, or is about to
		}
	}()
	until, _ := ctx.Deadline()
	text := m.encode(until)
	c.writeStartedAt = time.Now()
	if why := by.BeginWrite(c.interruptWrite); why != core.SendAllowed {
		// The request's end may have interrupted what was not begun: its deadline must not meet the next one.
		return nil, false, &sendRefusedError{reason: why, nothingWritten: true, reusable: stop() && c.SetDeadline(time.Time{}) == nil}
	}
	n, err := c.Write(text)
	by.EndWrite()
	if err != nil && n < len(text) && hasEnded(by) {
		err = errRequestEnded
	}
	if err != nil || n < len(text) {
		return nil, n == len(text) && m.upload == nil, err
	}
	in := b.readers.Get().(*bufio.Reader)
	defer func() {
		in.Reset(nil)
		b.readers.Put(in)
	}()
	// What comes of an answer comes at once: one that stops in its midst goes no further.
	src := &serverReader{ctx: ctx, conn: c.Conn, maxGap: b.cfg.Settings.ConnectTimeout}
	in.Reset(src)
	if m.upload != nil {
		by.MarkNotReplayable()
		if early, err := b.sendUpload(ctx, by, c, m, in, src); early != nil || err != nil {
			return early, false, err
		}
		by.UploadCompleted()
	}
	by.Sent()
	if a, err = readResponse(in, src, b.responseBudget); err == nil && a.remaining != nil {
		err = b.streamResponse(ctx, by, m, a, src)
	}
	if err != nil && src.connEnded && !errors.Is(err, errClientFault) {
		err = fmt.Errorf("%w: %w", errConnectionEnded, err)
	}
	if err == nil && a.reusable {
		err = c.SetDeadline(time.Time{})
	}
	return a, true, err
}

// interruptWrite ends a write that waits for its server: once the client has its answer, or has left, the server must not
// have the last byte.
func (c *serverConn) interruptWrite() { _ = c.SetWriteDeadline(core.LongAgo) }

// sendUpload streams what is left of m's body. A backend that turns it away before the last byte may say so: early
// is that answer.
func (b *connPool) sendUpload(ctx context.Context, by attemptOwner, c *serverConn, m *message, in *bufio.Reader, src *serverReader) (early *response, err error) {
	clients, err := m.upload.sendTo(ctx, by, func(text []byte) error {
		if err := c.SetWriteDeadline(time.Now().Add(maxUploadStall)); err != nil {
			return err
		}
		if ctx.Err() != nil { // ended meanwhile: its deadline must not be put off
			return context.Cause(ctx)
		}
		if why := by.ContinueWrite(c.interruptWrite); why != core.SendAllowed {
			return &sendRefusedError{reason: why}
		}
		_, err := c.Write(text)
		by.EndWrite()
		if err != nil && hasEnded(by) {
			err = errRequestEnded
		}
		return err
	})
	switch {
	case err == nil:
		return nil, nil
	case clients:
		return nil, fmt.Errorf("%w: %w", errClientFault, err)
	case ctx.Err() != nil:
		return nil, err
	}
	if e := c.SetReadDeadline(time.Now().Add(minRest)); e != nil {
		return nil, err
	}
	if a, e := readResponse(in, src, b.responseBudget); e == nil && a.neverRan && a.remaining == nil {
		a.reusable = false
		return a, nil
	}
	return nil, err
}

// streamResponse gives the client an answer as it comes. Its server is done with it.
func (b *connPool) streamResponse(ctx context.Context, by attemptOwner, m *message, a *response, src *serverReader) error {
	if m.client == nil {
		return errTooLong
	}
	if !by.StartResponse(core.ServerDone) {
		return errRequestEnded
	}
	// The client's time no longer ends it; that nothing comes does, or too little: of all the time that the server is
	// waited for, answerStall and what its bytes take at the slowest rate.
	buf := pieceBuffers.Get().(*[]byte)
	defer pieceBuffers.Put(buf)
	out, err := m.client.startStream(a, m.http10)
	waited, got := time.Duration(0), 0
	for err == nil {
		src.maxGap = min(b.maxStall, b.maxStall+time.Duration(got)*time.Second/minClientRate-waited)
		if src.maxGap <= 0 {
			return errResponseTooSlow
		}
		asked := time.Now()
		n, e := a.remaining.Read(*buf)
		waited, got = waited+time.Since(asked), got+n
		if n > 0 {
			err = out.write((*buf)[:n])
		}
		if errors.Is(e, io.EOF) && err == nil {
			if err = out.end(); err == nil {
				a.finish()
				return nil
			}
		} else if e != nil {
			return e
		}
		if ctx.Err() != nil && err == nil {
			return context.Cause(ctx)
		}
	}
	return fmt.Errorf("%w: %w", errClientFault, err)
}
