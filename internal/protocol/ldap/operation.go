package ldap

import (
	"fmt"
	"sync"
	"sync/atomic"

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
	identity     *identity   // as whom it runs; retained
	newIdentity  *identity   // of a bind: whose the session will be; retained
	sasl         bool        // a bind of more than one step
	requiredConn *serverConn // the only one on which it may run; nil: any
	paged        bool
	cookie       string // of a further page: by which requiredConn was found
	done         chan struct{}
	refs         atomic.Int32 // the session's and the attempts'; at 0 passwords are wiped

	mu             sync.Mutex
	attemptConn    *serverConn // of its present attempt; nil: none is on a server
	attemptID      int32
	attemptStarted bool // an attempt has been admitted to write it: it may run
	abandoned      bool // its client wants no response
	cancelled      bool // by a Cancel, before it was sent
}

// admitWrite admits the first byte of an attempt, unless the client has abandoned or cancelled the operation. It and
// handleCancel exclude each other by the lock.
func (o *operation) admitWrite() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attemptStarted = !o.abandoned && !o.cancelled
	return o.attemptStarted
}

// operationGuard guards the writes of an operation's attempt: the request's own guard, and admitWrite.
type operationGuard struct {
	*core.Attempt
	operation *operation
}

// BeginWrite admits the attempt's first byte.
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

// retain keeps an operation's credentials for an attempt. It reports false if they are wiped already.
func (o *operation) retain() bool {
	for n := o.refs.Load(); n > 0; n = o.refs.Load() {
		if o.refs.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// release ends a retain. The last one wipes passwords.
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

// discard ends an operation that was not admitted: it has no response.
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

// setAttempt sets where the present attempt is. An abandon that came just before is sent to the server.
func (o *operation) setAttempt(c *serverConn, id int32) {
	o.mu.Lock()
	o.attemptConn = c
	o.attemptID = id
	o.attemptStarted = c != nil
	late := c != nil && o.abandoned
	o.mu.Unlock()
	if late {
		c.sendAbandon(id)
	}
}

// isAbandoned reports whether the client wants no response.
func (o *operation) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// abandon has the operation end as one whose client has disconnected.
func (o *operation) abandon() {
	o.mu.Lock()
	o.abandoned = true
	o.mu.Unlock()
	o.session.protocol.loop.ClientDisconnected(o.request)
}

// finish takes an operation's final answer, and queues its response. It takes effect once, and never waits.
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
		s.setIdentity(nil, nil) // after a failed bind the session is anonymous (RFC 4511, 4.2.1)
	}
	if text != nil {
		s.enqueue(text)
	}
	if o.paged && o.requiredConn != nil && o.requiredConn != s.stickyConn {
		switch {
		case a.Refused && !s.closed: // the client may ask for the page again
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

// refusalText is the diagnostic message of a rejected operation: that a retry is harmless, when, and why it was rejected.
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
