package ldap

import (
	"time"
	"vetchhaven/internal/protocol/ldapmsg"
)

// handleAbandon gives an operation up for its client: it has no answer, and counts as running until its end
// is seen or its time is over. Binds can't be abandoned.
func (s *session) handleAbandon(id int32) {
	s.mu.Lock()
	o := s.operations[id]
	s.mu.Unlock()
	if o == nil || o.message.Op == ldapmsg.BindRequest {
		return
	}
	o.mu.Lock()
	o.abandoned = true
	c, on := o.attemptConn, o.attemptID
	o.mu.Unlock()
	if c != nil {
		c.sendAbandon(on)
	}
	s.protocol.loop.ClientDisconnected(o.request)
}

// handleCancel carries out a Cancel (RFC 3909). One that is on a server is the server's to cancel: both
// answers are its. One that was not sent is given up here.
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
	c, on := o.attemptConn, o.attemptID
	underWay := c == nil && o.attemptStarted // it is being written: nobody can say yet whether it runs
	if c == nil && !underWay {
		o.cancelled = true
	}
	o.mu.Unlock()
	if underWay {
		s.respond(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	if c == nil {
		s.protocol.loop.ClientDisconnected(o.request)
		s.respond(m.ID, m.Op, ldapmsg.Success, "")
		return
	}
	own := ldapmsg.Message{ID: m.ID, Op: m.Op}
	go s.protocol.loop.ContainPanic(func() {
		code := c.sendCancel(on, time.Until(o.request.Deadline))
		s.respond(own.ID, own.Op, code, "")
	})
}
