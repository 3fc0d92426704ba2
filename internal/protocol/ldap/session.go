package ldap

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

const (
	// outMost is how many bytes wait for a client to read them before attempts wait for it too.
	outMost = 256 << 10
	// writeTime is what a client has to take what is written to it.
	writeTime = 10 * time.Second
	// lingerTime is what a client has to read a last word before its connection closes: closed with
	// something unread on it, it would be reset, and the word lost.
	lingerTime = 500 * time.Millisecond
	pagedMost  = 8 // paged searches that are kept for one client
)

// session is one client connection.
type session struct {
	p     *protocol
	raw   net.Conn // as the connection limiter accepted it
	in    *ldapmsg.Reader
	last  atomic.Int64 // when something came, ns since the protocol was made
	asked atomic.Bool  // a message has come

	mu       sync.Mutex
	conn     net.Conn // raw, or TLS on it
	secured  bool
	space    *sync.Cond // there is room in out, or none will come
	ops      map[int32]*operation
	out      [][]byte
	outBytes int
	writing  bool
	who      *identity
	pinned   *serverConn // of a SASL bind: all goes there
	paged    map[string]*serverConn
	stopping bool // takes nothing more; ends when all is answered
	notice   []byte
	closed   bool
	quiet    chan struct{} // closed when stopping and the last word is out
}

func (p *protocol) serve(nc net.Conn) {
	s := &session{p: p, raw: nc, conn: nc, ops: map[int32]*operation{}, quiet: make(chan struct{})}
	s.space = sync.NewCond(&s.mu)
	s.heard()
	p.mu.Lock()
	p.sessions[s] = true
	draining := p.draining
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.sessions, s)
		p.mu.Unlock()
		s.shut()
	}()
	if p.o.LDAPS {
		if err := s.secure(); err != nil {
			return
		}
	}
	s.reader()
	if draining {
		go s.drain()
	}
	for {
		raw, err := s.in.Next()
		if err != nil {
			s.lost(err)
			return
		}
		s.heard()
		s.asked.Store(true)
		m, err := ldapmsg.Parse(raw)
		if err == nil && m.Op != ldapmsg.BindRequest {
			err = ldapmsg.CheckDepth(raw)
		}
		if err != nil {
			s.lost(err)
			return
		}
		if more, err := s.take(raw, m); err != nil {
			s.lost(err)
			return
		} else if !more {
			return
		}
	}
}

// reader reads from the present connection. A client has a while for its first message, and for each
// message from its first byte on; between messages it may be quiet for longer.
func (s *session) reader() {
	first := s.in == nil
	s.in = ldapmsg.NewReader(s.conn, s.p.o.MostMessage)
	s.in.Waiting = func() {
		wait := s.p.o.Idle
		if first {
			wait, first = core.HeadTimeout, false
		}
		s.deadline(time.Now().Add(wait))
	}
	s.in.Partial = func() { s.deadline(time.Now().Add(core.HeadTimeout)) }
}

func (s *session) deadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		_ = s.conn.SetReadDeadline(t) // a dead connection shows by its read
	}
}

func (s *session) heard() { s.last.Store(int64(time.Since(s.p.began))) }

func (s *session) quietFor() time.Duration {
	return time.Since(s.p.began) - time.Duration(s.last.Load())
}

func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ops) == 0
}

// lost ends the reading of a connection: after bytes that make no sense with a notice, once what was
// taken is answered; after its end at once, since nobody is there to be answered.
func (s *session) lost(err error) {
	var late net.Error
	switch {
	case errors.Is(err, ldapmsg.ErrMalformed):
		s.p.log.Warn("client connection ended", "client", s.raw.RemoteAddr().String(), "error", err)
		s.end(ldapmsg.ProtocolErrorCode, err.Error())
	case errors.As(err, &late) && late.Timeout():
		if s.isStopping() { // reading was stopped: answers are on their way
			<-s.quiet
			return
		}
		s.end(ldapmsg.Unavailable, "nothing, or no whole message, has come for long")
	}
}

func (s *session) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// take handles one message. It reports false where the connection has come to its end.
func (s *session) take(raw []byte, m ldapmsg.Message) (more bool, err error) {
	switch m.Op {
	case ldapmsg.UnbindRequest:
		return false, nil
	case ldapmsg.AbandonRequest:
		if what, err := ldapmsg.ParseAbandon(m.Content); err == nil {
			s.abandon(what)
		}
		return true, nil // it has no answer, and if it makes no sense no effect (RFC 4511, 4.11)
	}
	if ldapmsg.ResponseTo(m.Op) == 0 {
		return false, fmt.Errorf("%w: a client sends no message of tag %#x", ldapmsg.ErrMalformed, m.Op)
	}
	if m.ID == 0 {
		return false, fmt.Errorf("%w: messageID 0", ldapmsg.ErrMalformed)
	}
	s.mu.Lock()
	_, used := s.ops[m.ID]
	n := len(s.ops)
	stopping, pinned := s.stopping, s.pinned
	s.mu.Unlock()
	if used {
		return false, fmt.Errorf("%w: messageID %d is in use", ldapmsg.ErrMalformed, m.ID)
	}
	if stopping {
		return true, nil // it comes behind the last word
	}
	if n >= s.p.o.MostOpen {
		s.answer(m.ID, m.Op, ldapmsg.Busy, "too many operations at once on this connection: nothing was done")
		return true, nil
	}
	if m.Op == ldapmsg.BindRequest {
		return s.takeBind(raw, m)
	}
	if pinned != nil && pinned.dead() {
		s.end(ldapmsg.Unavailable, "the server connection of this SASL bind has ended")
		return false, nil
	}
	if m.Op == ldapmsg.ExtRequest {
		name, value, err := ldapmsg.ExtendedName(m.Content)
		if err != nil {
			s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
			return true, nil
		}
		switch name {
		case ldapmsg.OIDStartTLS:
			return s.startTLS(m)
		case ldapmsg.OIDCancel:
			s.cancel(m, value)
			return true, nil
		case ldapmsg.OIDStartTxn, ldapmsg.OIDEndTxn:
			// A transaction belongs to a server connection, and these are shared.
			s.answer(m.ID, m.Op, ldapmsg.UnwillingToPerform, "transactions are not served here")
			return true, nil
		}
	}
	k, limit, err := kindOf(&m)
	if err != nil {
		s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return true, nil
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own) // it was parsed before
	o := &operation{s: s, id: m.ID, m: m, raw: own, kind: k}
	if cookie, paged := ldapmsg.PagedCookie(m.Controls); paged && m.Op == ldapmsg.SearchRequest {
		o.paged = true
		if len(cookie) > 0 {
			s.mu.Lock()
			o.conn, o.cookie = s.paged[string(cookie)], string(cookie)
			delete(s.paged, string(cookie))
			s.mu.Unlock()
			if o.conn == nil || o.conn.dead() {
				s.answer(m.ID, m.Op, ldapmsg.UnwillingToPerform, "this cookie's server connection is gone: begin the search anew")
				return true, nil
			}
		}
	}
	s.mu.Lock()
	if s.who != nil && s.who.rejected.Load() {
		s.push(ldapmsg.Response(m.ID, ldapmsg.ResponseTo(m.Op), ldapmsg.StrongerAuthRequired, rejected))
		s.mu.Unlock()
		return true, nil
	}
	o.who = s.who.hold()
	if s.pinned != nil {
		o.conn = s.pinned
	}
	s.mu.Unlock()
	s.begin(o, limit)
	return true, nil
}
