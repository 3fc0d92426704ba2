package ldap

import (
	"time"
	"vetchhaven/internal/protocol/ldapmsg"
)

// handleAbandon abandons an operation (RFC 4511, 4.11). The operation gets no response, and counts as in flight until
// its end is observed or its deadline is exceeded. Binds can't be abandoned.
func (s *session) handleAbandon(id int32) {
	s.mu.Lock()
	o := s.operations[id]
	s.mu.Unlock()
	if o == nil || o.message.Op == ldapmsg.BindRequest {
		return
	}
	o.mu.Lock()
	repeated := o.abandoned
	o.abandoned = true
	c := o.attemptConn
	attemptID := o.attemptID
	o.mu.Unlock()
	if repeated {
		return
	}
	if c != nil {
		c.sendAbandon(attemptID)
	}
	s.protocol.loop.ClientDisconnected(o.request)
}

// handleCancel executes a Cancel request (RFC 3909). An operation that was sent to a server is cancelled by that
// server, which sends the response to the operation and the result of the Cancel. An operation that was not sent is
// cancelled by the agent.
func (s *session) handleCancel(m ldapmsg.Message, value []byte) {
	id, err := ldapmsg.ParseCancel(value)
	if err != nil {
		s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return
	}
	s.mu.Lock()
	o := s.operations[id]
	s.mu.Unlock()
	switch {
	case o == nil:
		s.respond(m.ID, m.Op, ldapmsg.NoSuchOperation, "")
		return
	case o.message.Op == ldapmsg.BindRequest:
		s.respond(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	o.mu.Lock()
	c := o.attemptConn
	attemptID := o.attemptID
	beingWritten := c == nil && o.attemptStarted // it is not known yet whether the operation will be executed
	if c == nil && !beingWritten {
		o.cancelled = true
	}
	o.mu.Unlock()
	if beingWritten {
		s.respond(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	if c == nil {
		s.protocol.loop.ClientDisconnected(o.request)
		s.respond(m.ID, m.Op, ldapmsg.Success, "")
		return
	}
	s.mu.Lock()
	s.cancels++
	s.mu.Unlock()
	own := ldapmsg.Message{ID: m.ID, Op: m.Op}
	go s.protocol.loop.ContainPanic(func() {
		code := c.sendCancel(attemptID, time.Until(o.request.Deadline))
		s.finishCancel(own, code)
	})
}

// finishCancel queues the response to a Cancel request that was sent to a server.
func (s *session) finishCancel(m ldapmsg.Message, code int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels--
	s.enqueue(ldapmsg.Response(m.ID, ldapmsg.ResponseTo(m.Op), code, ""))
	s.sendNoticeIfIdle()
}
