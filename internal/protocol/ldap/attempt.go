package ldap

import (
	"context"
	"errors"
	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// attempt makes one attempt of an operation. The result follows the table in docs/design/ldap.md.
func (p *connPool) attempt(a *core.Attempt, o *operation) (decide.Result, *finalResponse) {
	if !o.retain() {
		return decide.NotSent, nil
	}
	defer o.release()
	c, result := p.acquireBound(a, o)
	if c == nil && o.identity != nil && o.identity.rejected.Load() {
		return decide.OK, rebindResponse(o.message.Op) // a final answer: no other server is to be tried with it
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
	// The one entry of a lookup waits for its end: until then it can be asked for elsewhere.
	s := responseStream{attempt: a, operation: o, buffering: o.kind == kindLookup}
	for {
		select {
		case got := <-k.parts:
			if got.last {
				return p.finish(c, &s, got)
			}
			if !s.add(got) {
				c.sendAbandon(k.id)
				return decide.Cancelled, nil
			}
			if s.unwanted && !o.isAbandoned() {
				c.sendAbandon(k.id)
				o.abandon()
			}
		case <-k.connEnded:
			p.markSuspect(c)
			for more := true; more; { // its last message may have come just before the end
				select {
				case got := <-k.parts:
					if got.last {
						return p.finish(c, &s, got)
					}
					s.add(got)
				default:
					more = false
				}
			}
			c.mu.Lock()
			spoilt := errors.Is(c.endErr, ldapmsg.ErrMalformed)
			c.mu.Unlock()
			if spoilt {
				return decide.Errored, nil // there is a process, and it answers amiss
			}
			return decide.Reset, nil
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

// responseStream is what of an attempt's answer has come before its last message.
type responseStream struct {
	attempt       *core.Attempt
	operation     *operation
	buffering     bool // nothing goes to the client before the last message
	buffered      []part
	bufferedBytes int
	started       bool // the client has a part of it
	unwanted      bool // the client is gone, or wants it no more
}

const maxBufferedBytes = 64 << 10 // bytes that wait for the last message

// add takes a part. It reports false where the attempt's answer must not reach the client.
func (s *responseStream) add(p part) bool {
	if s.buffering && s.bufferedBytes+len(p.raw) <= maxBufferedBytes {
		s.buffered = append(s.buffered, p)
		s.bufferedBytes += len(p.raw)
		return true
	}
	s.buffered = append(s.buffered, p)
	s.buffering = false
	return s.flush()
}

// flush passes on what is kept.
func (s *responseStream) flush() bool {
	for _, p := range s.buffered {
		if !s.attempt.StartResponse(core.ServerWorking) {
			return false
		}
		s.started = true
		if !s.unwanted && !s.operation.session.forward(s.operation, p.Rest) {
			s.unwanted = true
		}
	}
	s.buffered = nil
	return true
}

// finish takes the last message of an answer.
func (p *connPool) finish(c *serverConn, s *responseStream, got part) (decide.Result, *finalResponse) {
	o := s.operation
	code, _ := got.Code()
	if !s.started {
		switch code {
		case ldapmsg.Busy: // too busy to service it: it was not begun
			return decide.Rejected, nil
		case ldapmsg.Unavailable: // a part that is needed to complete it is away: it may have been begun
			return decide.Errored, nil
		}
	}
	if !s.flush() {
		return decide.Cancelled, nil
	}
	r := &finalResponse{rest: got.Rest, code: code}
	switch {
	case o.message.Op == ldapmsg.BindRequest && o.sasl && (code == ldapmsg.Success || code == ldapmsg.SASLBindInProgress):
		p.mu.Lock()
		c.reserved = true
		p.mu.Unlock()
		r.conn = c
	case o.message.Op == ldapmsg.BindRequest && code == ldapmsg.Success:
		p.setIdentity(c, o.newIdentity)
	case o.message.Op == ldapmsg.BindRequest:
		p.markSuspect(c)
	case o.paged:
		if r.cookie, _ = ldapmsg.PagedCookie(got.Controls); len(r.cookie) > 0 {
			p.mu.Lock()
			c.reserved = true
			p.mu.Unlock()
			r.conn = c
		}
	}
	return decide.OK, r
}

// acquireBound finds or opens a connection for an operation, and binds it as the operation's client is. No
// connection: the result, of which all say that nothing ran.
func (p *connPool) acquireBound(a *core.Attempt, o *operation) (*serverConn, decide.Result) {
	if o.requiredConn != nil { // pinned
		p.mu.Lock()
		defer p.mu.Unlock()
		if o.requiredConn.closed || o.requiredConn.suspect || o.requiredConn.server != a.Server {
			return nil, decide.NotSent
		}
		o.requiredConn.users++
		o.requiredConn.exclusive = true
		return o.requiredConn, 0
	}
	bind := o.message.Op == ldapmsg.BindRequest
	who := o.identity.keyOf()
	if bind {
		who = "\x00none" // on a connection of its own
	}
	c, addr, err := p.acquire(a.Server, who, bind || o.kind == kindSearch)
	if err == nil && c != nil {
		return c, 0
	}
	if err == nil && !a.MayDial() {
		p.mu.Lock()
		p.open-- // its place is booked
		p.mu.Unlock()
		return nil, decide.NotSent
	}
	if err == nil {
		a.MarkDialed()
		c, err = p.connect(a.Context, a.Server, addr)
	}
	if err != nil {
		if errors.Is(err, core.ErrNoSocket) || errors.Is(err, errServerTLS) {
			p.log.Warn("attempt not sent", "error", err, "server", a.Server)
		}
		if errors.Is(err, errMovedWhileDialling) {
			return nil, decide.Incomplete // never ran, and another server may have it
		}
		if errors.Is(err, errServerTLS) && !errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return nil, decide.Incomplete // somebody was there
		}
		return nil, core.NotConnected(a.Context, err)
	}
	if bind || o.identity == nil {
		p.mu.Lock()
		c.exclusive = bind || o.kind == kindSearch
		p.mu.Unlock()
		return c, 0
	}
	if result := p.bindAs(a, c, o.identity); result != decide.OK {
		p.markSuspect(c)
		p.release(c)
		return nil, result
	}
	p.mu.Lock()
	c.exclusive = o.kind == kindSearch
	p.mu.Unlock()
	return c, 0
}

const rebindText = "the bind of this connection is not accepted any more: bind again"

// rebindResponse is the answer to an operation of a client whose bind is not accepted any more.
func rebindResponse(op byte) *finalResponse {
	m, err := ldapmsg.Parse(ldapmsg.Response(1, ldapmsg.ResponseTo(op), ldapmsg.StrongerAuthRequired, rebindText))
	if err != nil {
		return &finalResponse{code: ldapmsg.Other}
	}
	return &finalResponse{rest: m.Rest, code: ldapmsg.StrongerAuthRequired}
}

// bindAs binds a new connection as a client was bound by another. Nothing of the operation has been sent
// whatever comes of it.
func (p *connPool) bindAs(a *core.Attempt, c *serverConn, who *identity) decide.Result {
	text := ldapmsg.SimpleBind(1, who.name, who.password)
	defer clear(text)
	m, err := ldapmsg.Parse(text)
	if err != nil {
		return decide.Incomplete
	}
	k, err := c.startCall(a.Context, a, m.Op, m.Rest)
	var refused *sendRefusedError
	if errors.As(err, &refused) {
		return refused.reason.Result(a.Context)
	}
	if err != nil {
		return decide.Incomplete
	}
	defer close(k.abandoned)
	select {
	case got := <-k.parts:
		switch code, _ := got.Code(); code {
		case ldapmsg.Success:
			p.setIdentity(c, who)
			return decide.OK
		case ldapmsg.InvalidCredentials:
			// Tried over and over, at one server after the other, it might lock its owner out.
			who.rejected.Store(true)
			p.log.Warn("a server does not take a bind that another took", "server", c.server)
		}
		return decide.Rejected // turned away, unseen
	case <-k.connEnded:
		return decide.Incomplete
	case <-a.Context.Done():
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled
		}
		return decide.Incomplete
	}
}
