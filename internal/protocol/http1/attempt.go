package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/wire"
)

var (
	errConnectionEnded = errors.New("the connection ended before its answer")
)

// attemptOwner is what an attempt is made for: a request, or a probe.
type attemptOwner interface {
	BeginWrite(interrupt func()) core.SendRefusal    // admits the first byte
	ContinueWrite(interrupt func()) core.SendRefusal // admits what comes behind it
	EndWrite()                                       // what was admitted is written
	Ended() <-chan struct{}                          // closed when the request has ended: nothing more is sent for it
	Disconnected() bool                              // its client has left, seen or unseen by who reads it
	MayDial() bool                                   // it may open a connection
	MarkDialed()                                     // it opens one
	Sent()                                           // its last byte is written
	UploadCompleted()                                // that was the last byte of an upload
	MarkNotReplayable()                              // what was sent can't be sent again
	StartResponse(core.ServerProgress) bool          // whether its answer may begin to reach the client
}

// probeOwner is the purpose of a probe, which ends by its context alone.
type probeOwner struct{}

func (probeOwner) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }

func (probeOwner) ContinueWrite(func()) core.SendRefusal { return core.SendAllowed }

func (probeOwner) EndWrite() {}

func (probeOwner) Ended() <-chan struct{} { return nil }

func (probeOwner) Disconnected() bool { return false }

func (probeOwner) MayDial() bool { return true }

func (probeOwner) MarkDialed() {}

func (probeOwner) Sent() {}

func (probeOwner) UploadCompleted() {}

func (probeOwner) MarkNotReplayable() {}

func (probeOwner) StartResponse(core.ServerProgress) bool { return false }

// attempt sends m to a backend once and waits until ctx ends at the latest. The result follows
// the protocol's table of outcomes; where it is not certain that nothing ran, it says so.
func (b *connPool) attempt(ctx context.Context, by attemptOwner, id string, m *message) (decide.Result, *response, decide.Load) {
	none := wire.Load(nil)
	c, addr, err := b.acquire(id)
	if err == nil && c == nil && !by.MayDial() {
		b.mu.Lock()
		b.open-- // its place is booked
		b.mu.Unlock()
		return decide.NotSent, nil, none
	}
	if err == nil && c == nil {
		by.MarkDialed()
		c, err = b.dial(ctx, id, addr)
	}
	if err != nil {
		result := core.NotConnected(ctx, err)
		if result == decide.NotSent {
			b.log.Warn("attempt not sent", "error", err, "backend", id)
		}
		return result, nil, none
	}
	if !b.isCurrentAddress(id, c.addr) {
		b.release(id, c, true)
		return decide.Incomplete, nil, none // never ran, and another backend may have it
	}
	a, fullyWritten, err := b.exchange(ctx, by, c, m)
	var refused *sendRefusedError
	if errors.As(err, &refused) && refused.nothingWritten {
		b.release(id, c, refused.reusable)
		return refused.reason.Result(ctx), nil, none
	}
	if err != nil {
		result := failureResult(context.Cause(ctx), err, fullyWritten)
		b.closeAfterFailure(id, c, result)
		return result, nil, none
	}
	b.releaseAfterResponse(id, c, a)
	load := none
	if a.loadReport != "" && b.cfg.Site.LoadInline {
		load = parseLoad(a.loadReport)
	}
	switch {
	case a.status == http.StatusOK:
		return decide.OK, a, load
	case (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout) &&
		a.neverRan:
		return decide.Rejected, nil, load
	}
	return decide.Errored, nil, load
}

// failureResult is the result of an attempt that brought no answer, by its error and by what ended its context; whole:
// its last byte was written.
func failureResult(cause, err error, fullyWritten bool) decide.Result {
	switch {
	case errors.Is(err, errClientFault) && !fullyWritten:
		return decide.NotSent // no fault of the backend, and nobody is left to try for
	case errors.Is(err, errClientFault):
		return decide.Cancelled
	case errors.Is(err, errRequestEnded) && cause == nil, isSendRefused(err, core.RequestAnswered) && cause == nil:
		return decide.Cancelled
	case errors.Is(cause, core.ErrCancelled):
		return decide.Cancelled
	case cause != nil:
		return decide.TimedOut
	case !fullyWritten: // the rest can't follow: the connection is closed
		return decide.Incomplete
	case errors.Is(err, errConnectionEnded):
		return decide.Reset
	}
	return decide.Errored // there is a process, and it answers amiss
}

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

// hasEnded reports whether a request has ended.
func hasEnded(by attemptOwner) bool {
	select {
	case <-by.Ended():
		return true
	default:
		return false
	}
}

// sendRefusedError is of a write that the request's guard did not admit.
type sendRefusedError struct {
	reason         core.SendRefusal
	nothingWritten bool // nothing of the request was written
	reusable       bool // the connection is as it was
}

func isSendRefused(err error, why core.SendRefusal) bool {
	var refused *sendRefusedError
	return errors.As(err, &refused) && refused.reason == why
}

func (e *sendRefusedError) Error() string { return "not sent: " + e.reason.String() }

// errRequestEnded is of an attempt whose request has its answer, or another one's.
var errRequestEnded = errors.New("the request is over")

// errClientFault is of an attempt that its own client has ended.
var errClientFault = errors.New("the client is gone, or can't be understood")

// maxUploadStall is how long a backend may take no byte of an upload.
const maxUploadStall = 10 * time.Second

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

// maxResponseStall is how long an answer that streams may bring nothing.
const maxResponseStall = 10 * time.Second

// errResponseTooSlow is of an answer that streams and does not end: it drips.
var errResponseTooSlow = errors.New("the answer comes too slowly")
