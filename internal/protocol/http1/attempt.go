package http1

import (
	"context"
	"errors"
	"net/http"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/wire"
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

// hasEnded reports whether a request has ended.
func hasEnded(by attemptOwner) bool {
	select {
	case <-by.Ended():
		return true
	default:
		return false
	}
}
