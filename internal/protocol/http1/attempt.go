package http1

import (
	"context"
	"errors"
	"net/http"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/wire"
)

// attemptOwner is the owner of an attempt: a request (core.Attempt) or a probe. It admits each write and each dial.
type attemptOwner interface {
	BeginWrite(interrupt func()) core.SendRefusal    // admits the first write; interrupt ends a write that was admitted
	ContinueWrite(interrupt func()) core.SendRefusal // admits the write of a further piece of the body
	EndWrite()                                       // ends a write that was admitted
	SettleClient()                                   // waits while unread bytes may hide the client's disconnect
	Ended() <-chan struct{}                          // closed once the request has its final answer; no further byte is sent
	Disconnected() bool                              // whether the client has disconnected, even if its reader has not detected it yet
	NoteServerClosed(at time.Time)                   // records that the server has closed idle connections early
	MayDial() bool                                   // whether the attempt may open a connection
	MarkDialed()                                     // records that the attempt opens a connection
	Sent()                                           // records that the request's last byte was written
	UploadCompleted()                                // records that the last byte of an upload was written
	MarkNotReplayable()                              // records that the request's body can't be sent again
	StartResponse(core.ServerProgress) bool          // whether the response may begin to be sent to the client
	NoteFailure(error)                               // records why the attempt failed, for the debug log
}

// attempt sends m to a server once, and waits for the response until ctx ends at the latest. The result follows the
// protocol's table of outcomes: it indicates that the server did not execute the request only if that is certain. The
// response is nil unless the result is decide.OK.
func (p *connPool) attempt(ctx context.Context, owner attemptOwner, id string, m *message) (decide.Result, *response, decide.Load) {
	noLoad := wire.Load(nil)
	c, err := p.connect(ctx, owner, id)
	if errors.Is(err, errMayNotDial) {
		return decide.NotSent, nil, noLoad
	}
	if err != nil {
		owner.NoteFailure(err)
		result := core.ResultOfConnectError(ctx, err)
		if result == decide.NotSent {
			if skipped, ok := p.notSentLog.Allow(); ok {
				p.log.Warn("attempt not sent", "error", err, "backend", id, "not_logged", skipped)
			}
		}
		return result, nil, noLoad
	}
	if !p.isCurrentAddress(id, c.addr) {
		p.release(id, c, true)
		return decide.Incomplete, nil, noLoad // the request never ran, and another server may get it
	}
	owner.SettleClient()
	a, fullyWritten, err := p.exchange(ctx, owner, c, m)
	if err != nil {
		owner.NoteFailure(err)
	}
	var refused *sendRefusedError
	if errors.As(err, &refused) && refused.nothingWritten {
		p.release(id, c, refused.reusable)
		return refused.reason.Result(ctx), nil, noLoad
	}
	if err != nil {
		result := failureResult(context.Cause(ctx), err, fullyWritten)
		p.closeAfterFailure(id, c, result)
		return result, nil, noLoad
	}
	p.releaseAfterResponse(id, c, a)
	load := noLoad
	if a.loadReport != "" && p.cfg.Site.LoadInline {
		load = parseLoad(a.loadReport)
	}
	if a.status == http.StatusOK {
		return decide.OK, a, load
	}
	a.Discard()
	switch {
	case (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout) &&
		a.neverRan:
		return decide.Rejected, nil, load
	}
	return decide.Errored, nil, load
}

// errMayNotDial is returned for an attempt that needs a new connection and may not open one.
var errMayNotDial = errors.New("the attempt may only use an open connection")

// connect returns a connection to a server: an idle one, or a new one.
func (p *connPool) connect(ctx context.Context, owner attemptOwner, id string) (*serverConn, error) {
	got, err := p.acquire(id)
	if !got.closedAt.IsZero() {
		owner.NoteServerClosed(got.closedAt)
	}
	if err != nil || got.conn != nil {
		return got.conn, err
	}
	if !owner.MayDial() {
		p.mu.Lock()
		p.open-- // acquire counted the connection that was to be dialled
		p.mu.Unlock()
		return nil, errMayNotDial
	}
	owner.MarkDialed()
	return p.dial(ctx, id, got.addr)
}

// failureResult returns the result of an attempt that received no valid response. cause is the cause with which the
// attempt's context ended, or nil if it has not ended. fullyWritten reports whether the request's last byte was
// written, so that the server may have executed it.
func failureResult(cause, err error, fullyWritten bool) decide.Result {
	switch {
	case errors.Is(err, errClientFault) && !fullyWritten:
		return decide.NotSent // not the server's fault, and no client waits for a retry
	case errors.Is(err, errClientFault):
		return decide.Cancelled
	case errors.Is(err, errRequestEnded) && cause == nil, isSendRefused(err, core.RequestAnswered) && cause == nil:
		return decide.Cancelled
	case errors.Is(cause, core.ErrCancelled):
		return decide.Cancelled
	case cause != nil:
		return decide.TimedOut
	case !fullyWritten: // the server can't get the rest, since the connection is closed
		return decide.Incomplete
	case errors.Is(err, errConnectionEnded):
		return decide.Reset
	}
	return decide.Errored // a process responds, but its response is invalid
}

// hasEnded reports whether an attempt's request has its final answer.
func hasEnded(owner attemptOwner) bool {
	select {
	case <-owner.Ended():
		return true
	default:
		return false
	}
}
