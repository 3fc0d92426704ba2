package ldap

import (
	"time"
	"vetchhaven/internal/protocol/ldapmsg"
)

// abandon gives an operation up for its client: it has no answer, and counts as running until its end
// is seen or its time is over. Binds can't be abandoned.
func (s *session) abandon(id int32) {
	s.mu.Lock()
	o := s.ops[id]
	s.mu.Unlock()
	if o == nil || o.m.Op == ldapmsg.BindRequest {
		return
	}
	o.mu.Lock()
	o.abandoned = true
	c, on := o.on, o.onID
	o.mu.Unlock()
	if c != nil {
		c.sendAbandon(on)
	}
	s.p.loop.ClientDisconnected(o.request)
}

// cancel carries out a Cancel (RFC 3909). One that is on a server is the server's to cancel: both
// answers are its. One that was not sent is given up here.
func (s *session) cancel(m ldapmsg.Message, value []byte) {
	id, err := ldapmsg.ParseCancel(value)
	if err != nil {
		s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return
	}
	s.mu.Lock()
	o := s.ops[id]
	s.mu.Unlock()
	switch {
	case o == nil:
		s.answer(m.ID, m.Op, ldapmsg.NoSuchOperation, "")
		return
	case o.m.Op == ldapmsg.BindRequest:
		s.answer(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	o.mu.Lock()
	c, on := o.on, o.onID
	underWay := c == nil && o.begun // it is being written: nobody can say yet whether it runs
	if c == nil && !underWay {
		o.cancelled = true
	}
	o.mu.Unlock()
	if underWay {
		s.answer(m.ID, m.Op, ldapmsg.CannotCancel, "")
		return
	}
	if c == nil {
		s.p.loop.ClientDisconnected(o.request)
		s.answer(m.ID, m.Op, ldapmsg.Success, "")
		return
	}
	own := ldapmsg.Message{ID: m.ID, Op: m.Op}
	go s.p.loop.ContainPanic(func() {
		code := c.sendCancel(on, time.Until(o.request.Deadline))
		s.answer(own.ID, own.Op, code, "")
	})
}
