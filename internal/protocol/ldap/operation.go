package ldap

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// operation is one request of a client.
type operation struct {
	s       *session
	id      int32
	m       ldapmsg.Message
	raw     []byte
	kind    kind
	request *core.Request
	who     *identity   // as whom it runs; held
	bind    *identity   // of a bind: as whom the client will be; held
	sasl    bool        // a bind of more than one step
	conn    *serverConn // the only one on which it may run
	paged   bool
	cookie  string // by which conn was found
	done    chan struct{}
	uses    atomic.Int32 // the session's, and attempts'

	mu        sync.Mutex
	on        *serverConn // where its present attempt is
	onID      int32
	begun     bool // an attempt writes it, or has: it may run
	abandoned bool // its client wants no answer
	cancelled bool // by a Cancel, before it was sent
}

// begin admits the first byte of an attempt, unless the client has abandoned or cancelled the operation: the two exclude
// each other.
func (o *operation) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun = !o.abandoned && !o.cancelled
	return o.begun
}

// operationGuard is the guard of an operation's attempt: the request's own, and its client's word.
type operationGuard struct {
	*core.Attempt
	o *operation
}

// BeginWrite admits the attempt's first byte.
func (g operationGuard) BeginWrite(interrupt func()) core.SendRefusal {
	if why := g.Attempt.BeginWrite(interrupt); why != core.SendAllowed {
		return why
	}
	if !g.o.begin() {
		g.EndWrite()
		return core.ClientDisconnected
	}
	return core.SendAllowed
}

// hold keeps what an operation needs, for an attempt; false: it is wiped already.
func (o *operation) hold() bool {
	for n := o.uses.Load(); n > 0; n = o.uses.Load() {
		if o.uses.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// release ends a hold. With the last one a password is wiped.
func (o *operation) release() {
	if o.uses.Add(-1) > 0 {
		return
	}
	if o.m.Op == ldapmsg.BindRequest {
		clear(o.raw)
	}
	o.who.drop()
	o.bind.drop()
}

// put notes where the present attempt is; an abandon that came just before is passed on.
func (o *operation) put(c *serverConn, id int32) {
	o.mu.Lock()
	o.on, o.onID, o.begun = c, id, c != nil
	late := c != nil && o.abandoned
	o.mu.Unlock()
	if late {
		c.sendAbandon(id)
	}
}

// unwanted reports whether the client wants no answer any more.
func (o *operation) unwanted() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// giveUp takes the operation for one whose client is gone.
func (o *operation) giveUp() {
	o.mu.Lock()
	o.abandoned = true
	o.mu.Unlock()
	o.s.p.loop.ClientDisconnected(o.request)
}

// begin gives an operation to the loop.
func (s *session) begin(o *operation, limit time.Duration) {
	p := s.p
	o.uses.Store(1)
	class := p.classes[o.kind]
	wait := p.cfg.Settings.Classes[class].Deadline
	if limit > 0 {
		wait = min(wait, limit)
	}
	o.request = core.NewRequest(strconv.FormatUint(p.lastID.Add(1), 36), class, o.finish)
	o.request.Message, o.request.Client = o, s.raw
	o.request.Deadline, o.request.Remaining = time.Now().Add(wait), wait
	if o.conn != nil {
		o.request.OnlyServer = o.conn.server
	}
	s.mu.Lock()
	s.ops[o.id] = o
	s.mu.Unlock()
	if p.open.Add(1) > p.most.Load() {
		o.finish(core.Answer{Refused: true})
		return
	}
	p.loop.Submit(o.request)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended { // the loop may have ended before it saw this one
		o.request.Abort()
	}
}

// finish gives an operation its final answer, once. It never waits.
func (o *operation) finish(a core.Answer) {
	s := o.s
	s.mu.Lock()
	if s.ops[o.id] != o {
		s.mu.Unlock()
		return
	}
	delete(s.ops, o.id)
	s.p.open.Add(-1)
	o.mu.Lock()
	abandoned, cancelled := o.abandoned, o.cancelled
	o.mu.Unlock()
	var text []byte
	op := ldapmsg.ResponseTo(o.m.Op)
	got, served := a.Served.(*reply)
	switch {
	case abandoned:
	case cancelled:
		text = ldapmsg.Response(o.id, op, ldapmsg.Canceled, "")
	case served:
		text = ldapmsg.WithID(o.id, got.rest)
		s.settle(o, got)
	case a.Refused:
		text = ldapmsg.Response(o.id, op, ldapmsg.Busy, s.p.comeBack(a))
	case a.TimedOut && o.m.Op == ldapmsg.SearchRequest:
		text = ldapmsg.Response(o.id, op, ldapmsg.TimeLimitExceeded, "no answer in time")
	case a.TimedOut:
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "no answer in time: it may have been done, or may be yet")
	case a.Limit != "":
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done; no further try, for the fleet's limit "+a.Limit)
	default:
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done")
	}
	if o.m.Op == ldapmsg.BindRequest && !served {
		s.become(nil, nil) // RFC 4511, 4.2.1: after a failed bind, anybody
	}
	if text != nil {
		s.push(text)
	}
	if o.paged && o.conn != nil && o.conn != s.pinned {
		switch {
		case a.Refused && !s.closed: // it may be asked for again
			s.page(o.cookie, o.conn)
		case got == nil || got.conn != o.conn:
			go o.conn.unreserve()
		}
	}
	s.lastWord()
	s.mu.Unlock()
	o.release()
	if o.done != nil {
		close(o.done)
	}
}

// comeBack says when to try again.
func (p *protocol) comeBack(a core.Answer) string {
	text := "refused: nothing was done, and trying again is harmless"
	if a.RetryAfter > 0 && p.cfg.Settings.RetryAfter {
		text += fmt.Sprintf(", in %.3f s", min(a.RetryAfter, p.cfg.Settings.MaxRetryAfter).Seconds())
	}
	if a.Limit != "" {
		text += "; the fleet's limit " + a.Limit
	}
	if a.Policy != "" {
		text += "; " + a.Policy
	}
	if a.Ejected != "" {
		text += "; the fleet's verdicts keep from it " + a.Ejected
	}
	return text
}

// Attempt sends an operation to a server, once.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, got := p.servers.attempt(a, a.Message.(*operation))
	load := decide.Load{Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}
	if got == nil {
		return result, nil, load
	}
	return result, got, load
}
