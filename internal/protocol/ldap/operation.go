package ldap

import (
	"fmt"
	"sync"
	"sync/atomic"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// operation is one request of a client that is to be sent to a server.
type operation struct {
	session      *session
	id           int32
	message      ldapmsg.Message
	raw          []byte
	kind         kind
	request      *core.Request
	identity     *identity     // the identity that the operation runs as; retained
	newIdentity  *identity     // the identity of the session after a simple bind has succeeded; retained
	sasl         bool          // a SASL bind, which may have several steps
	requiredConn *serverConn   // the only server connection on which the operation may run; nil: any
	paged        bool          // a search with a paged results control
	cookie       string        // the cookie of a request for a further page, by which requiredConn was found
	done         chan struct{} // closed when the operation has ended; nil if no goroutine waits for that
	reserved     int           // bytes of the request budget that raw occupies
	refs         atomic.Int32  // references of the session and of attempts; passwords are wiped at 0

	mu             sync.Mutex
	attemptConn    *serverConn // the connection of the current attempt; nil: no attempt is at a server
	attemptID      int32       // the message ID of the current attempt on attemptConn
	attemptStarted bool        // an attempt has been admitted for writing, so the operation may be executed
	abandoned      bool        // the client has abandoned the operation or disconnected
	cancelled      bool        // a Cancel request came before the operation was sent
}

// admitWrite admits the first byte of an attempt, unless the client has abandoned or cancelled the operation. The
// lock makes admitWrite and handleCancel exclude each other.
func (o *operation) admitWrite() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attemptStarted = !o.abandoned && !o.cancelled
	return o.attemptStarted
}

// operationGuard is the writeGuard of an operation's attempt: it consults the core's guard of the attempt, and then
// admitWrite.
type operationGuard struct {
	*core.Attempt
	operation *operation
}

// BeginWrite admits the attempt's first byte, or returns the reason why it must not be written.
func (g operationGuard) BeginWrite(interrupt func()) core.SendRefusal {
	if reason := g.Attempt.BeginWrite(interrupt); reason != core.SendAllowed {
		return reason
	}
	if !g.operation.admitWrite() {
		g.EndWrite()
		return core.ClientDisconnected
	}
	return core.SendAllowed
}

// retain keeps an operation's credentials in memory for an attempt. It returns false if they were already wiped.
func (o *operation) retain() bool {
	for n := o.refs.Load(); n > 0; n = o.refs.Load() {
		if o.refs.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// release ends the effect of one retain. The last release wipes the passwords.
func (o *operation) release() {
	if o.refs.Add(-1) > 0 {
		return
	}
	if o.message.Op == ldapmsg.BindRequest {
		clear(o.raw)
	}
	o.identity.release()
	o.newIdentity.release()
	o.session.protocol.requestBudget.Release(o.reserved)
}

// discard ends an operation that was not submitted to the loop, and that gets no response.
func (o *operation) discard() {
	s := o.session
	s.mu.Lock()
	reserved := o.paged && o.requiredConn != nil && o.requiredConn != s.stickyConn
	s.mu.Unlock()
	if reserved {
		o.requiredConn.unreserve()
	}
	o.release()
	if o.done != nil {
		close(o.done)
	}
}

// setAttempt sets the server connection and message ID of the current attempt. If the client has already abandoned the
// operation, an AbandonRequest is sent to the server.
func (o *operation) setAttempt(c *serverConn, id int32) {
	o.mu.Lock()
	o.attemptConn = c
	o.attemptID = id
	o.attemptStarted = c != nil
	abandonedBefore := c != nil && o.abandoned
	o.mu.Unlock()
	if abandonedBefore {
		o.abandonAt(c, id)
	}
}

// abandonAt sends an AbandonRequest for an attempt. A bind can't be abandoned, and a server reads no request on the
// connection until it has answered the bind (RFC 4511, 4.2.1 and 4.11).
func (o *operation) abandonAt(c *serverConn, id int32) {
	if o.message.Op != ldapmsg.BindRequest {
		c.sendAbandon(id)
	}
}

// isAbandoned reports whether the client has abandoned the operation or disconnected.
func (o *operation) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// abandon ends the operation in the same way as when its client disconnects.
func (o *operation) abandon() {
	o.mu.Lock()
	o.abandoned = true
	o.mu.Unlock()
	o.session.protocol.loop.ClientDisconnected(o.request)
}

// finish takes an operation's final answer, and queues the response to the client. Only its first call has an effect.
// It never waits.
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
	abandoned := o.abandoned
	cancelled := o.cancelled
	o.mu.Unlock()
	var response []byte
	op := ldapmsg.ResponseTo(o.message.Op)
	got, served := a.Response.(*finalResponse)
	if abandoned || cancelled {
		if served {
			go got.Discard()
		}
		got, served = nil, false
	}
	switch {
	case abandoned:
	case cancelled:
		response = ldapmsg.Response(o.id, op, ldapmsg.Canceled, "")
	case served:
		response = ldapmsg.WithID(o.id, got.rest)
		s.applyResult(o, got)
	case a.Refused:
		response = ldapmsg.Response(o.id, op, ldapmsg.Busy, s.protocol.refusalText(a))
	case a.TimedOut && o.message.Op == ldapmsg.SearchRequest:
		response = ldapmsg.Response(o.id, op, ldapmsg.TimeLimitExceeded, "no answer in time")
	case a.TimedOut:
		response = ldapmsg.Response(o.id, op, ldapmsg.Other, "no answer in time: it may have been done, or may be yet")
	case a.Limit != "":
		response = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done; no further try, for the fleet's limit "+a.Limit)
	default:
		response = ldapmsg.Response(o.id, op, ldapmsg.Other, "failed: it may have been done")
	}
	if o.message.Op == ldapmsg.BindRequest && !served {
		s.setIdentity(nil, nil) // after a failed bind the client is anonymous (RFC 4511, 4.2.1)
	}
	if response != nil {
		s.enqueue(response)
	}
	if o.paged && o.requiredConn != nil && o.requiredConn != s.stickyConn {
		switch {
		case a.Refused && !s.closed: // the client may request the same page again
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

// refusalText returns the diagnostic message of a refused operation: that a retry is harmless, when to retry, and why
// the operation was refused.
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
