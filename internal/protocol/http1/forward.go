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

// maxUploadStall is how long a server may accept no byte of an upload. A smaller value cuts off servers that pause, a
// larger one occupies the client's connection for longer when a server hangs.
const maxUploadStall = 10 * time.Second

const (
	// maxResponseStall is how long a server may send no byte of a streamed response, with the same trade-off as
	// maxUploadStall.
	maxResponseStall = 10 * time.Second
	// minServerRate is the minimum rate of a streamed response in bytes per second, beyond maxResponseStall.
	minServerRate = 4 << 10
)

// exchange writes m on a connection, and reads the response or streams it to the client. fullyWritten reports whether
// the last byte of m was written. After an error the connection must be closed, unless the error is a sendRefusedError
// that is marked reusable.
func (p *connPool) exchange(ctx context.Context, owner attemptOwner, c *serverConn, m *message) (a *response, fullyWritten bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(core.PastDeadline) })
	defer func() {
		if !stop() && err == nil {
			a.reusable = false // the connection's deadline is, or is being, set to the past
		}
	}()
	until, _ := ctx.Deadline()
	c.writeStartedAt = time.Now()
	if reason := owner.BeginWrite(c.interruptWrite); reason != core.SendAllowed {
		// The end of the request may have set a deadline for this write. It must not affect the connection's next
		// request.
		reusable := stop() && c.SetDeadline(time.Time{}) == nil
		return nil, false, &sendRefusedError{reason: reason, nothingWritten: true, reusable: reusable}
	}
	complete, err := m.writeTo(c, until)
	owner.EndWrite()
	if err != nil && !complete && hasEnded(owner) {
		err = errRequestEnded
	}
	if err != nil {
		return nil, complete && m.upload == nil, err
	}
	src := &serverReader{ctx: ctx, conn: c.Conn}
	if m.upload != nil {
		owner.MarkNotReplayable()
		if early, err := p.sendUpload(ctx, owner, c, m, src); early != nil || err != nil {
			return early, false, err
		}
		owner.UploadCompleted()
	}
	owner.Sent()
	in, putBack := p.reader(src)
	defer putBack()
	if a, err = readResponse(in, src, p.responseBudget); err == nil && a.remaining != nil {
		err = p.streamResponse(ctx, owner, m, a, src)
	}
	if err != nil && a != nil {
		a.Discard()
	}
	if err != nil && src.connEnded && !errors.Is(err, errClientFault) {
		err = fmt.Errorf("%w: %w", errConnectionEnded, err)
	}
	if err == nil && a.reusable && c.SetDeadline(time.Time{}) != nil {
		a.reusable = false
	}
	return a, true, err
}

// reader returns a buffered reader of a server's response, and the function that puts it back after its use.
func (p *connPool) reader(src *serverReader) (in *bufio.Reader, putBack func()) {
	in = p.readers.Get().(*bufio.Reader)
	in.Reset(src)
	return in, func() {
		in.Reset(nil)
		p.readers.Put(in)
	}
}

// interruptWrite ends a write that waits for its server. Once the client has its response, or has disconnected, the
// server must not get the request's last byte.
func (c *serverConn) interruptWrite() { _ = c.SetWriteDeadline(core.PastDeadline) }

// sendUpload streams the rest of m's body. A server may reject the request before the body's last byte (RFC 9110,
// 10.1.1, and RFC 9112, 9.5): early is that response.
func (p *connPool) sendUpload(ctx context.Context, owner attemptOwner, c *serverConn, m *message, src *serverReader) (early *response, err error) {
	clientFault, err := m.upload.sendTo(ctx, owner, func(text []byte) error {
		if err := c.SetWriteDeadline(time.Now().Add(maxUploadStall)); err != nil {
			return err
		}
		if ctx.Err() != nil { // the attempt has ended: the deadline set then must not be extended
			return context.Cause(ctx)
		}
		if reason := owner.ContinueWrite(c.interruptWrite); reason != core.SendAllowed {
			return &sendRefusedError{reason: reason}
		}
		_, err := c.Write(text)
		owner.EndWrite()
		if err != nil && hasEnded(owner) {
			err = errRequestEnded
		}
		return err
	})
	switch {
	case err == nil:
		return nil, nil
	case clientFault:
		return nil, fmt.Errorf("%w: %w", errClientFault, err)
	case ctx.Err() != nil:
		return nil, err
	}
	if deadlineErr := c.SetReadDeadline(time.Now().Add(reuseDelay)); deadlineErr != nil {
		return nil, err
	}
	in, putBack := p.reader(src)
	defer putBack()
	rejection, readErr := readResponse(in, src, p.responseBudget)
	if readErr == nil && rejection.neverRan && rejection.remaining == nil {
		rejection.reusable = false
		return rejection, nil
	}
	if readErr == nil {
		rejection.Discard()
	}
	return nil, err
}

// streamResponse passes a response to the client as it arrives. The server has executed the request.
func (p *connPool) streamResponse(ctx context.Context, owner attemptOwner, m *message, a *response, src *serverReader) error {
	if m.client == nil {
		return errTooLong
	}
	if !owner.StartResponse(core.ServerDone) {
		return errRequestEnded
	}
	// The client's deadline no longer ends the attempt. A pause longer than maxStall does, and so does a rate below
	// minServerRate: the total wait for the server is limited to maxStall plus the time that its bytes take at that
	// rate.
	out, err := m.client.startStream(a, m.http10)
	a.body = nil
	a.Discard()
	buf := newPiece(p.responseBudget)
	defer buf.release()
	var waited time.Duration
	received := 0
	for err == nil {
		src.maxGap = min(p.maxStall, p.maxStall+time.Duration(received)*time.Second/minServerRate-waited)
		if src.maxGap <= 0 {
			return errResponseTooSlow
		}
		readStartedAt := time.Now()
		n, readErr := a.remaining.Read(buf.space())
		waited += time.Since(readStartedAt)
		received += n
		if n > 0 {
			err = out.write(buf, n)
		}
		if errors.Is(readErr, io.EOF) && err == nil {
			if err = out.end(); err == nil {
				a.finish()
				return nil
			}
		} else if readErr != nil {
			return readErr
		}
		if ctx.Err() != nil && err == nil {
			return context.Cause(ctx)
		}
	}
	return fmt.Errorf("%w: %w", errClientFault, err)
}
