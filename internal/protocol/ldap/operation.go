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
	session      *session
	id           int32
	message      ldapmsg.Message
	raw          []byte
	kind         kind
	request      *core.Request
	identity     *identity   // as whom it runs; held
	newIdentity  *identity   // of a bind: as whom the client will be; held
	sasl         bool        // a bind of more than one step
	requiredConn *serverConn // the only one on which it may run
	paged        bool
	cookie       string // by which conn was found
	done         chan struct{}
	refs         atomic.Int32 // the session's, and attempts'

	mu             sync.Mutex
	attemptConn    *serverConn // where its present attempt is
	attemptID      int32
	attemptStarted bool // an attempt writes it, or has: it may run
	abandoned      bool // its client wants no answer
	cancelled      bool // by a Cancel, before it was sent
}

// admitWrite admits the first byte of an attempt, unless the client has abandoned or cancelled the operation: the two exclude
// each other.
func (o *operation) admitWrite() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attemptStarted = !o.abandoned && !o.cancelled
	return o.attemptStarted
}

// operationGuard is the guard of an operation's attempt: the request's own, and its client's word.
type operationGuard struct {
	*core.Attempt
	operation *operation
}

// BeginWrite admits the attempt's first byte.
func (g operationGuard) BeginWrite(interrupt func()) core.SendRefusal {
	if why := g.Attempt.BeginWrite(interrupt); why != core.SendAllowed {
		return why
	}
	if !g.operation.admitWrite() {
		g.EndWrite()
		return core.ClientDisconnected
	}
	return core.SendAllowed
}

// retain keeps what an operation needs, for an attempt; false: it is wiped already.
func (o *operation) retain() bool {
	for n := o.refs.Load(); n > 0; n = o.refs.Load() {
		if o.refs.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// release ends a hold. With the last one a password is wiped.
func (o *operation) release() {
	if o.refs.Add(-1) > 0 {
		return
	}
	if o.message.Op == ldapmsg.BindRequest {
		clear(o.raw)
	}
	o.identity.release()
	o.newIdentity.release()
}

// setAttempt notes where the present attempt is; an abandon that came just before is passed on.
func (o *operation) setAttempt(c *serverConn, id int32) {
	o.mu.Lock()
	o.attemptConn, o.attemptID, o.attemptStarted = c, id, c != nil
	late := c != nil && o.abandoned
	o.mu.Unlock()
	if late {
		c.sendAbandon(id)
	}
}

// isAbandoned reports whether the client wants no answer any more.
func (o *operation) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// abandon takes the operation for one whose client is gone.
func (o *operation) abandon() {
	o.mu.Lock()
	o.abandoned = true
	o.mu.Unlock()
	o.session.protocol.loop.ClientDisconnected(o.request)
}

// submit gives an operation to the loop.
func (s *session) submit(o *operation, limit time.Duration) {
	p := s.protocol
	o.refs.Store(1)
	class := p.classes[o.kind]
	wait := p.cfg.Settings.Classes[class].Deadline
	if limit > 0 {
		wait = min(wait, limit)
	}
	o.request = core.NewRequest(strconv.FormatUint(p.lastID.Add(1), 36), class, o.finish)
	o.request.Message, o.request.Client = o, s.raw
	o.request.Deadline, o.request.Remaining = time.Now().Add(wait), wait
	if o.requiredConn != nil {
		o.request.OnlyServer = o.requiredConn.server
	}
	s.mu.Lock()
	s.operations[o.id] = o
	s.mu.Unlock()
	if p.openOperations.Add(1) > p.maxOpen.Load() {
		o.finish(core.Answer{Refused: true})
		return
	}
	p.loop.Submit(o.request)
	p.mu.Lock()
	ended := p.loopEnded
	p.mu.Unlock()
	if ended { // the loop may have ended before it saw this one
		o.request.Abort()
	}
}

// finish gives an operation its final answer, once. It never waits.
func (o *operation) finish(a core.Answer) {
	s := o.session
	s.mu.Lock()
	if s.operations[o.id] != o {
		s.mu.Unlock()
		return
	}
	delete(s.operations, o.id)
	s.protocol.openOperations.Add(-1)
	o.mu.Lock()
	abandoned, cancelled := o.abandoned, o.cancelled
	o.mu.Unlock()
	var text []byte
	op := ldapmsg.ResponseTo(o.message.Op)
	got, served := a.Served.(*finalResponse)
	switch {
	case abandoned:
	case cancelled:
		text = ldapmsg.Response(o.id, op, ldapmsg.Canceled, "")
	case served:
		text = ldapmsg.WithID(o.id, got.rest)
		s.applyResult(o, got)
	case a.Refused:
		text = ldapmsg.Response(o.id, op, ldapmsg.Busy, s.protocol.refusalText(a))
	case a.TimedOut && o.message.Op == ldapmsg.SearchRequest:
		text = ldapmsg.Response(o.id, op, ldapmsg.TimeLimitExceeded, "no answer in time")
	case a.TimedOut:
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "no answer in time: it may have been done, or may be yet")
	case a.Limit != "":
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done; no further try, for the fleet's limit "+a.Limit)
	default:
		text = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done")
	}
	if o.message.Op == ldapmsg.BindRequest && !served {
		s.setIdentity(nil, nil) // RFC 4511, 4.2.1: after a failed bind, anybody
	}
	if text != nil {
		s.enqueue(text)
	}
	if o.paged && o.requiredConn != nil && o.requiredConn != s.stickyConn {
		switch {
		case a.Refused && !s.closed: // it may be asked for again
			s.keepPagedConn(o.cookie, o.requiredConn)
		case got == nil || got.conn != o.requiredConn:
			go o.requiredConn.unreserve()
		}
	}
	s.sendNoticeIfIdle()
	s.mu.Unlock()
	o.release()
	if o.done != nil {
		close(o.done)
	}
}

// refusalText says when to try again.
func (p *protocol) refusalText(a core.Answer) string {
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
	result, got := p.pool.attempt(a, a.Message.(*operation))
	load := decide.Load{Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}
	if got == nil {
		return result, nil, load
	}
	return result, got, load
}
