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
	errBroke = errors.New("the connection ended before its answer")
)

// purpose is what an attempt is made for: a request, or a probe.
type purpose interface {
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

// probing is the purpose of a probe, which ends by its context alone.
type probing struct{}

func (probing) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }

func (probing) ContinueWrite(func()) core.SendRefusal { return core.SendAllowed }

func (probing) EndWrite() {}

func (probing) Ended() <-chan struct{} { return nil }

func (probing) Disconnected() bool { return false }

func (probing) MayDial() bool { return true }

func (probing) MarkDialed() {}

func (probing) Sent() {}

func (probing) UploadCompleted() {}

func (probing) MarkNotReplayable() {}

func (probing) StartResponse(core.ServerProgress) bool { return false }

// attempt sends m to a backend once and waits until ctx ends at the latest. The result follows
// the protocol's table of outcomes; where it is not certain that nothing ran, it says so.
func (b *backends) attempt(ctx context.Context, by purpose, id string, m *message) (decide.Result, *answer, decide.Load) {
	none := wire.Load(nil)
	c, addr, err := b.take(id)
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
	if !b.at(id, c.addr) {
		b.give(id, c, true)
		return decide.Incomplete, nil, none // never ran, and another backend may have it
	}
	a, whole, err := b.exchange(ctx, by, c, m)
	var refused *refusedError
	if errors.As(err, &refused) && refused.first {
		b.give(id, c, refused.reusable)
		return refused.why.Result(ctx), nil, none
	}
	if err != nil {
		result := failure(context.Cause(ctx), err, whole)
		b.failed(id, c, result)
		return result, nil, none
	}
	b.answered(id, c, a)
	load := none
	if a.load != "" && b.cfg.Site.LoadInline {
		load = parseLoad(a.load)
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

// failure is the result of an attempt that brought no answer, by its error and by what ended its context; whole:
// its last byte was written.
func failure(cause, err error, whole bool) decide.Result {
	switch {
	case errors.Is(err, errClient) && !whole:
		return decide.NotSent // no fault of the backend, and nobody is left to try for
	case errors.Is(err, errClient):
		return decide.Cancelled
	case errors.Is(err, errOver) && cause == nil, isRefused(err, core.RequestAnswered) && cause == nil:
		return decide.Cancelled
	case errors.Is(cause, core.ErrCancelled):
		return decide.Cancelled
	case cause != nil:
		return decide.TimedOut
	case !whole: // the rest can't follow: the connection is closed
		return decide.Incomplete
	case errors.Is(err, errBroke):
		return decide.Reset
	}
	return decide.Errored // there is a process, and it answers amiss
}

// exchange writes m on a connection and reads its answer. It reports whether the last byte of m
// was written. After an error the connection is of no further use.
func (b *backends) exchange(ctx context.Context, by purpose, c *conn, m *message) (a *answer, whole bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(core.LongAgo) })
	defer func() {
		if !stop() && err == nil {
			a.reusable = false // its deadline has passed, or is about to
		}
	}()
	until, _ := ctx.Deadline()
	text := m.on(until)
	c.wrote = time.Now()
	if why := by.BeginWrite(c.interruptWrite); why != core.SendAllowed {
		// The request's end may have interrupted what was not begun: its deadline must not meet the next one.
		return nil, false, &refusedError{why: why, first: true, reusable: stop() && c.SetDeadline(time.Time{}) == nil}
	}
	n, err := c.Write(text)
	by.EndWrite()
	if err != nil && n < len(text) && over(by) {
		err = errOver
	}
	if err != nil || n < len(text) {
		return nil, n == len(text) && m.up == nil, err
	}
	in := b.readers.Get().(*bufio.Reader)
	defer func() {
		in.Reset(nil)
		b.readers.Put(in)
	}()
	// What comes of an answer comes at once: one that stops in its midst goes no further.
	src := &source{ctx: ctx, conn: c.Conn, stall: b.cfg.Settings.ConnectTimeout}
	in.Reset(src)
	if m.up != nil {
		by.MarkNotReplayable()
		if early, err := b.upload(ctx, by, c, m, in, src); early != nil || err != nil {
			return early, false, err
		}
		by.UploadCompleted()
	}
	by.Sent()
	if a, err = readAnswer(in, src, b.answers); err == nil && a.rest != nil {
		err = b.passOn(ctx, by, m, a, src)
	}
	if err != nil && src.broke && !errors.Is(err, errClient) {
		err = fmt.Errorf("%w: %w", errBroke, err)
	}
	if err == nil && a.reusable {
		err = c.SetDeadline(time.Time{})
	}
	return a, true, err
}

// interruptWrite ends a write that waits for its server: once the client has its answer, or has left, the server must not
// have the last byte.
func (c *conn) interruptWrite() { _ = c.SetWriteDeadline(core.LongAgo) }

// over reports whether a request has ended.
func over(by purpose) bool {
	select {
	case <-by.Ended():
		return true
	default:
		return false
	}
}

// refusedError is of a write that the request's guard did not admit.
type refusedError struct {
	why      core.SendRefusal
	first    bool // nothing of the request was written
	reusable bool // the connection is as it was
}

func isRefused(err error, why core.SendRefusal) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.why == why
}

func (e *refusedError) Error() string { return "not sent: " + e.why.String() }

// errOver is of an attempt whose request has its answer, or another one's.
var errOver = errors.New("the request is over")

// errClient is of an attempt that its own client has ended.
var errClient = errors.New("the client is gone, or can't be understood")

// uploadStall is how long a backend may take no byte of an upload.
const uploadStall = 10 * time.Second

// upload streams what is left of m's body. A backend that turns it away before the last byte may say so: early
// is that answer.
func (b *backends) upload(ctx context.Context, by purpose, c *conn, m *message, in *bufio.Reader, src *source) (early *answer, err error) {
	clients, err := m.up.pump(ctx, by, func(text []byte) error {
		if err := c.SetWriteDeadline(time.Now().Add(uploadStall)); err != nil {
			return err
		}
		if ctx.Err() != nil { // ended meanwhile: its deadline must not be put off
			return context.Cause(ctx)
		}
		if why := by.ContinueWrite(c.interruptWrite); why != core.SendAllowed {
			return &refusedError{why: why}
		}
		_, err := c.Write(text)
		by.EndWrite()
		if err != nil && over(by) {
			err = errOver
		}
		return err
	})
	switch {
	case err == nil:
		return nil, nil
	case clients:
		return nil, fmt.Errorf("%w: %w", errClient, err)
	case ctx.Err() != nil:
		return nil, err
	}
	if e := c.SetReadDeadline(time.Now().Add(restTime)); e != nil {
		return nil, err
	}
	if a, e := readAnswer(in, src, b.answers); e == nil && a.neverRan && a.rest == nil {
		a.reusable = false
		return a, nil
	}
	return nil, err
}

// passOn gives the client an answer as it comes. Its server is done with it.
func (b *backends) passOn(ctx context.Context, by purpose, m *message, a *answer, src *source) error {
	if m.to == nil {
		return errTooLong
	}
	if !by.StartResponse(core.ServerDone) {
		return errOver
	}
	// The client's time no longer ends it; that nothing comes does, or too little: of all the time that the server is
	// waited for, answerStall and what its bytes take at the slowest rate.
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	out, err := m.to.begin(a, m.old)
	waited, got := time.Duration(0), 0
	for err == nil {
		src.stall = min(b.stall, b.stall+time.Duration(got)*time.Second/slowest-waited)
		if src.stall <= 0 {
			return errStalled
		}
		asked := time.Now()
		n, e := a.rest.Read(*buf)
		waited, got = waited+time.Since(asked), got+n
		if n > 0 {
			err = out.write((*buf)[:n])
		}
		if errors.Is(e, io.EOF) && err == nil {
			if err = out.end(); err == nil {
				a.settle()
				return nil
			}
		} else if e != nil {
			return e
		}
		if ctx.Err() != nil && err == nil {
			return context.Cause(ctx)
		}
	}
	return fmt.Errorf("%w: %w", errClient, err)
}

// answerStall is how long an answer that streams may bring nothing.
const answerStall = 10 * time.Second

// errStalled is of an answer that streams and does not end: it drips.
var errStalled = errors.New("the answer comes too slowly")
