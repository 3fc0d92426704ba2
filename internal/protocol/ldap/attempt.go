package ldap

import (
	"context"
	"errors"
	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// attempt makes one attempt of an operation. The result follows the table in docs/design/ldap.md.
func (v *servers) attempt(a *core.Attempt, o *operation) (decide.Result, *reply) {
	if !o.hold() {
		return decide.NotSent, nil
	}
	defer o.release()
	c, result := v.ready(a, o)
	if c == nil && o.who != nil && o.who.rejected.Load() {
		return decide.OK, rejection(o.m.Op) // a final answer: no other server is to be tried with it
	}
	if c == nil {
		return result, nil
	}
	defer v.give(c)
	k, err := c.start(a.Context, operationGuard{a, o}, o.m.Op, o.m.Rest)
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.why.Result(a.Context), nil
	}
	if err != nil {
		o.put(nil, 0)
		v.doubt(c)
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled, nil
		}
		return decide.Incomplete, nil
	}
	o.put(c, k.id)
	defer o.put(nil, 0)
	defer close(k.left)
	// The one entry of a lookup waits for its end: until then it can be asked for elsewhere.
	s := stream{a: a, o: o, waits: o.kind == kindLookup}
	for {
		select {
		case got := <-k.parts:
			if got.last {
				return v.judge(c, &s, got)
			}
			if !s.add(got) {
				c.sendAbandon(k.id)
				return decide.Cancelled, nil
			}
			if s.unread && !o.unwanted() {
				c.sendAbandon(k.id)
				o.giveUp()
			}
		case <-k.lost:
			v.doubt(c)
			for more := true; more; { // its last message may have come just before the end
				select {
				case got := <-k.parts:
					if got.last {
						return v.judge(c, &s, got)
					}
					s.add(got)
				default:
					more = false
				}
			}
			c.mu.Lock()
			spoilt := errors.Is(c.broken, ldapmsg.ErrMalformed)
			c.mu.Unlock()
			if spoilt {
				return decide.Errored, nil // there is a process, and it answers amiss
			}
			return decide.Reset, nil
		case <-a.Context.Done():
			if o.m.Op == ldapmsg.SearchRequest {
				c.sendAbandon(k.id)
			}
			if o.unwanted() || errors.Is(context.Cause(a.Context), core.ErrCancelled) {
				return decide.Cancelled, nil
			}
			v.doubt(c)
			return decide.TimedOut, nil
		}
	}
}

// stream is what of an attempt's answer has come before its last message.
type stream struct {
	a      *core.Attempt
	o      *operation
	waits  bool // nothing goes to the client before the last message
	kept   []part
	bytes  int
	begun  bool // the client has a part of it
	unread bool // the client is gone, or wants it no more
}

const keptMost = 64 << 10 // bytes that wait for the last message

// add takes a part. It reports false where the attempt's answer must not reach the client.
func (s *stream) add(p part) bool {
	if s.waits && s.bytes+len(p.raw) <= keptMost {
		s.kept = append(s.kept, p)
		s.bytes += len(p.raw)
		return true
	}
	s.kept = append(s.kept, p)
	s.waits = false
	return s.flush()
}

// flush passes on what is kept.
func (s *stream) flush() bool {
	for _, p := range s.kept {
		if !s.a.StartResponse(core.ServerWorking) {
			return false
		}
		s.begun = true
		if !s.unread && !s.o.s.forward(s.o, p.Rest) {
			s.unread = true
		}
	}
	s.kept = nil
	return true
}

// judge takes the last message of an answer.
func (v *servers) judge(c *serverConn, s *stream, got part) (decide.Result, *reply) {
	o := s.o
	code, _ := got.Code()
	if !s.begun {
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
	r := &reply{rest: got.Rest, code: code}
	switch {
	case o.m.Op == ldapmsg.BindRequest && o.sasl && (code == ldapmsg.Success || code == ldapmsg.SASLBindInProgress):
		v.mu.Lock()
		c.reserved = true
		v.mu.Unlock()
		r.conn = c
	case o.m.Op == ldapmsg.BindRequest && code == ldapmsg.Success:
		v.rename(c, o.bind)
	case o.m.Op == ldapmsg.BindRequest:
		v.doubt(c)
	case o.paged:
		if r.cookie, _ = ldapmsg.PagedCookie(got.Controls); len(r.cookie) > 0 {
			v.mu.Lock()
			c.reserved = true
			v.mu.Unlock()
			r.conn = c
		}
	}
	return decide.OK, r
}

// ready finds or opens a connection for an operation, and binds it as the operation's client is. No
// connection: the result, of which all say that nothing ran.
func (v *servers) ready(a *core.Attempt, o *operation) (*serverConn, decide.Result) {
	if o.conn != nil { // pinned
		v.mu.Lock()
		defer v.mu.Unlock()
		if o.conn.gone || o.conn.suspect || o.conn.server != a.Server {
			return nil, decide.NotSent
		}
		o.conn.uses++
		o.conn.alone = true
		return o.conn, 0
	}
	bind := o.m.Op == ldapmsg.BindRequest
	who := o.who.keyOf()
	if bind {
		who = "\x00none" // on a connection of its own
	}
	c, addr, err := v.take(a.Server, who, bind || o.kind == kindSearch)
	if err == nil && c != nil {
		return c, 0
	}
	if err == nil && !a.MayDial() {
		v.mu.Lock()
		v.open-- // its place is booked
		v.mu.Unlock()
		return nil, decide.NotSent
	}
	if err == nil {
		a.MarkDialed()
		c, err = v.connect(a.Context, a.Server, addr)
	}
	if err != nil {
		if errors.Is(err, core.ErrNoSocket) || errors.Is(err, errSecure) {
			v.log.Warn("attempt not sent", "error", err, "server", a.Server)
		}
		if errors.Is(err, errMovedMeanwhile) {
			return nil, decide.Incomplete // never ran, and another server may have it
		}
		if errors.Is(err, errSecure) && !errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return nil, decide.Incomplete // somebody was there
		}
		return nil, core.NotConnected(a.Context, err)
	}
	if bind || o.who == nil {
		v.mu.Lock()
		c.alone = bind || o.kind == kindSearch
		v.mu.Unlock()
		return c, 0
	}
	if result := v.bindAs(a, c, o.who); result != decide.OK {
		v.doubt(c)
		v.give(c)
		return nil, result
	}
	v.mu.Lock()
	c.alone = o.kind == kindSearch
	v.mu.Unlock()
	return c, 0
}

const rejected = "the bind of this connection is not accepted any more: bind again"

// rejection is the answer to an operation of a client whose bind is not accepted any more.
func rejection(op byte) *reply {
	m, err := ldapmsg.Parse(ldapmsg.Response(1, ldapmsg.ResponseTo(op), ldapmsg.StrongerAuthRequired, rejected))
	if err != nil {
		return &reply{code: ldapmsg.Other}
	}
	return &reply{rest: m.Rest, code: ldapmsg.StrongerAuthRequired}
}

// bindAs binds a new connection as a client was bound by another. Nothing of the operation has been sent
// whatever comes of it.
func (v *servers) bindAs(a *core.Attempt, c *serverConn, who *identity) decide.Result {
	text := ldapmsg.SimpleBind(1, who.name, who.password)
	defer clear(text)
	m, err := ldapmsg.Parse(text)
	if err != nil {
		return decide.Incomplete
	}
	k, err := c.start(a.Context, a, m.Op, m.Rest)
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.why.Result(a.Context)
	}
	if err != nil {
		return decide.Incomplete
	}
	defer close(k.left)
	select {
	case got := <-k.parts:
		switch code, _ := got.Code(); code {
		case ldapmsg.Success:
			v.rename(c, who)
			return decide.OK
		case ldapmsg.InvalidCredentials:
			// Tried over and over, at one server after the other, it might lock its owner out.
			who.rejected.Store(true)
			v.log.Warn("a server does not take a bind that another took", "server", c.server)
		}
		return decide.Rejected // turned away, unseen
	case <-k.lost:
		return decide.Incomplete
	case <-a.Context.Done():
		if errors.Is(context.Cause(a.Context), core.ErrCancelled) {
			return decide.Cancelled
		}
		return decide.Incomplete
	}
}
