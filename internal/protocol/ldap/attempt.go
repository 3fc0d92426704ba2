package ldap

import (
	"context"
	"errors"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// attempt makes one attempt of an operation. The table in docs/design/ldap.md specifies which result follows from
// which outcome. The response is nil unless the result is decide.OK.
func (p *connPool) attempt(a *core.Attempt, o *operation) (decide.Result, *finalResponse) {
	if !o.retain() {
		return decide.NotSent, nil
	}
	defer o.release()
	c, result := p.acquireBound(a, o)
	if c == nil && o.identity != nil && o.identity.rejected.Load() {
		// OK makes this the final answer: the rejected credentials must not be tried on another server.
		return decide.OK, rebindResponse(o.message.Op)
	}
	if c == nil {
		return result, nil
	}
	defer p.release(c)
	k, err := c.startCall(a.Context, operationGuard{a, o}, o.message.Op, o.message.Rest)
	var refused *sendRefusedError
	if errors.As(err, &refused) {
		return refused.reason.Result(a.Context), nil
	}
	if err != nil {
		o.setAttempt(nil, 0)
		p.markSuspect(c)
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled, nil
		}
		return decide.Incomplete, nil
	}
	o.setAttempt(c, k.id)
	defer o.setAttempt(nil, 0)
	defer close(k.abandoned)
	return p.awaitResponse(a, o, c, k)
}

// awaitResponse handles the messages of an attempt's response, until the last message, the end of the connection, or
// the end of the attempt.
func (p *connPool) awaitResponse(a *core.Attempt, o *operation, c *serverConn, k *call) (decide.Result, *finalResponse) {
	// The entry of a lookup is held back until the last message: until then a retry on another server is possible.
	s := responseStream{attempt: a, operation: o, buffering: o.kind == kindLookup}
	for {
		select {
		case got := <-k.messages:
			if got.last {
				return p.finish(c, &s, got)
			}
			if !s.add(got) {
				o.abandonAt(c, k.id)
				return decide.Cancelled, nil
			}
			if s.unwanted && !o.isAbandoned() {
				o.abandonAt(c, k.id)
				o.abandon()
			}
		case <-k.connEnded:
			return p.connectionEnded(c, k, &s)
		case <-a.Context.Done():
			if o.message.Op == ldapmsg.SearchRequest {
				c.sendAbandon(k.id)
			}
			if o.isAbandoned() || errors.Is(context.Cause(a.Context), core.ErrCancelled) {
				return decide.Cancelled, nil
			}
			p.markSuspect(c)
			return decide.TimedOut, nil
		}
	}
}

// connectionEnded returns the outcome of an attempt whose connection has ended. The last message of the response may
// have been received just before the end.
func (p *connPool) connectionEnded(c *serverConn, k *call, s *responseStream) (decide.Result, *finalResponse) {
	p.markSuspect(c)
	for more := true; more; {
		select {
		case got := <-k.messages:
			if got.last {
				return p.finish(c, s, got)
			}
			s.add(got)
		default:
			more = false
		}
	}
	c.mu.Lock()
	malformed := errors.Is(c.endErr, ldapmsg.ErrMalformed)
	c.mu.Unlock()
	if malformed {
		return decide.Errored, nil // the server process runs, but does not send valid LDAP
	}
	return decide.Reset, nil
}

// finish handles the last message of a response, and returns the outcome of the attempt.
func (p *connPool) finish(c *serverConn, s *responseStream, got responseMessage) (decide.Result, *finalResponse) {
	o := s.operation
	code, _ := got.Code()
	if !s.started {
		switch code {
		case ldapmsg.Busy: // the server was too busy to begin the operation (RFC 4511, A.2)
			return decide.Rejected, nil
		case ldapmsg.Unavailable: // a subsystem of the server is unavailable; the operation may have begun
			return decide.Errored, nil
		}
	}
	if !s.flush() {
		return decide.Cancelled, nil
	}
	r := &finalResponse{rest: got.Rest, code: code}
	switch {
	case o.message.Op == ldapmsg.BindRequest && o.sasl && (code == ldapmsg.Success || code == ldapmsg.SASLBindInProgress):
		p.reserve(c, r)
	case o.message.Op == ldapmsg.BindRequest && code == ldapmsg.Success:
		p.setIdentity(c, o.newIdentity)
	case o.message.Op == ldapmsg.BindRequest:
		p.markSuspect(c)
	case o.paged:
		if r.cookie, _ = ldapmsg.PagedCookie(got.Controls); len(r.cookie) > 0 {
			p.reserve(c, r)
		}
	}
	return decide.OK, r
}

// rebindText is the diagnostic message for a client whose credentials a server has rejected after its bind.
const rebindText = "the credentials of this connection are no longer accepted: bind again"

// rebindResponse returns the response to an operation of a client whose credentials a server has rejected after its
// bind.
func rebindResponse(op byte) *finalResponse {
	m, err := ldapmsg.Parse(ldapmsg.Response(1, ldapmsg.ResponseTo(op), ldapmsg.StrongerAuthRequired, rebindText))
	if err != nil {
		return &finalResponse{code: ldapmsg.Other}
	}
	return &finalResponse{rest: m.Rest, code: ldapmsg.StrongerAuthRequired}
}
