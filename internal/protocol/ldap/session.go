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
	// maxQueuedBytes is how many bytes wait for a client to read them before attempts wait for it too.
	maxQueuedBytes = 256 << 10
	// writeTimeout is what a client has to take what is written to it.
	writeTimeout = 10 * time.Second
	// lingerTime is what a client has to read a last word before its connection closes: closed with
	// something unread on it, it would be reset, and the word lost.
	lingerTime       = 500 * time.Millisecond
	maxPagedSearches = 8 // paged searches that are kept for one client
)

// session is one client connection.
type session struct {
	protocol     *protocol
	raw          net.Conn // as the connection limiter accepted it
	in           *ldapmsg.Reader
	lastReceived atomic.Int64 // when something came, ns since the protocol was made
	hasRequested atomic.Bool  // a message has come

	mu          sync.Mutex
	conn        net.Conn // raw, or TLS on it
	secured     bool
	writeSpace  *sync.Cond // there is room in out, or none will come
	operations  map[int32]*operation
	writeQueue  [][]byte
	queuedBytes int
	writing     bool
	identity    *identity
	stickyConn  *serverConn // of a SASL bind: all goes there
	pagedConns  map[string]*serverConn
	closing     bool // takes nothing more; ends when all is answered
	notice      []byte
	closed      bool
	done        chan struct{} // closed when stopping and the last word is out
}

func (p *protocol) serve(nc net.Conn) {
	s := &session{protocol: p, raw: nc, conn: nc, operations: map[int32]*operation{}, done: make(chan struct{})}
	s.writeSpace = sync.NewCond(&s.mu)
	s.markReceived()
	p.mu.Lock()
	p.sessions[s] = true
	draining := p.draining
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.sessions, s)
		p.mu.Unlock()
		s.closeNow()
	}()
	if p.options.LDAPS {
		if err := s.acceptTLS(); err != nil {
			return
		}
	}
	s.startReader()
	if draining {
		go s.drain()
	}
	for {
		raw, err := s.in.Next()
		if err != nil {
			s.readFailed(err)
			return
		}
		s.markReceived()
		s.hasRequested.Store(true)
		m, err := ldapmsg.Parse(raw)
		if err == nil && m.Op != ldapmsg.BindRequest {
			err = ldapmsg.CheckDepth(raw)
		}
		if err != nil {
			s.readFailed(err)
			return
		}
		if more, err := s.handleMessage(raw, m); err != nil {
			s.readFailed(err)
			return
		} else if !more {
			return
		}
	}
}

// startReader reads from the present connection. A client has a while for its first message, and for each
// message from its first byte on; between messages it may be quiet for longer.
func (s *session) startReader() {
	first := s.in == nil
	s.in = ldapmsg.NewReader(s.conn, s.protocol.options.MaxMessage)
	s.in.OnWait = func() {
		wait := s.protocol.options.MaxIdle
		if first {
			wait, first = core.HeadTimeout, false
		}
		s.setReadDeadline(time.Now().Add(wait))
	}
	s.in.OnPartial = func() { s.setReadDeadline(time.Now().Add(core.HeadTimeout)) }
}

func (s *session) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		_ = s.conn.SetReadDeadline(t) // a dead connection shows by its read
	}
}

func (s *session) markReceived() { s.lastReceived.Store(int64(time.Since(s.protocol.startedAt))) }

func (s *session) quietFor() time.Duration {
	return time.Since(s.protocol.startedAt) - time.Duration(s.lastReceived.Load())
}

func (s *session) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.operations) == 0
}

// readFailed ends the reading of a connection: after bytes that make no sense with a notice, once what was
// taken is answered; after its end at once, since nobody is there to be answered.
func (s *session) readFailed(err error) {
	var late net.Error
	switch {
	case errors.Is(err, ldapmsg.ErrMalformed):
		s.protocol.log.Warn("client connection ended", "client", s.raw.RemoteAddr().String(), "error", err)
		s.closeWithNotice(ldapmsg.ProtocolErrorCode, err.Error())
	case errors.As(err, &late) && late.Timeout():
		if s.isClosing() { // reading was stopped: answers are on their way
			<-s.done
			return
		}
		s.closeWithNotice(ldapmsg.Unavailable, "nothing, or no whole message, has come for long")
	}
}

func (s *session) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// handleMessage handles one message. It reports false where the connection has come to its end.
func (s *session) handleMessage(raw []byte, m ldapmsg.Message) (more bool, err error) {
	switch m.Op {
	case ldapmsg.UnbindRequest:
		return false, nil
	case ldapmsg.AbandonRequest:
		if what, err := ldapmsg.ParseAbandon(m.Content); err == nil {
			s.handleAbandon(what)
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
	_, used := s.operations[m.ID]
	n := len(s.operations)
	stopping, pinned := s.closing, s.stickyConn
	s.mu.Unlock()
	if used {
		return false, fmt.Errorf("%w: messageID %d is in use", ldapmsg.ErrMalformed, m.ID)
	}
	if stopping {
		return true, nil // it comes behind the last word
	}
	if n >= s.protocol.options.MaxOpen {
		s.respond(m.ID, m.Op, ldapmsg.Busy, "too many operations at once on this connection: nothing was done")
		return true, nil
	}
	if m.Op == ldapmsg.BindRequest {
		return s.handleBind(raw, m)
	}
	if pinned != nil && pinned.isUnusable() {
		s.closeWithNotice(ldapmsg.Unavailable, "the server connection of this SASL bind has ended")
		return false, nil
	}
	if m.Op == ldapmsg.ExtRequest {
		name, value, err := ldapmsg.ExtendedName(m.Content)
		if err != nil {
			s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
			return true, nil
		}
		switch name {
		case ldapmsg.OIDStartTLS:
			return s.startTLS(m)
		case ldapmsg.OIDCancel:
			s.handleCancel(m, value)
			return true, nil
		case ldapmsg.OIDStartTxn, ldapmsg.OIDEndTxn:
			// A transaction belongs to a server connection, and these are shared.
			s.respond(m.ID, m.Op, ldapmsg.UnwillingToPerform, "transactions are not served here")
			return true, nil
		}
	}
	k, limit, err := kindOf(&m)
	if err != nil {
		s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, err.Error())
		return true, nil
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own) // it was parsed before
	o := &operation{session: s, id: m.ID, message: m, raw: own, kind: k}
	if cookie, paged := ldapmsg.PagedCookie(m.Controls); paged && m.Op == ldapmsg.SearchRequest {
		o.paged = true
		if len(cookie) > 0 {
			s.mu.Lock()
			o.requiredConn, o.cookie = s.pagedConns[string(cookie)], string(cookie)
			delete(s.pagedConns, string(cookie))
			s.mu.Unlock()
			if o.requiredConn == nil || o.requiredConn.isUnusable() {
				s.respond(m.ID, m.Op, ldapmsg.UnwillingToPerform, "this cookie's server connection is gone: begin the search anew")
				return true, nil
			}
		}
	}
	s.mu.Lock()
	if s.identity != nil && s.identity.rejected.Load() {
		s.enqueue(ldapmsg.Response(m.ID, ldapmsg.ResponseTo(m.Op), ldapmsg.StrongerAuthRequired, rebindText))
		s.mu.Unlock()
		return true, nil
	}
	o.identity = s.identity.retain()
	if s.stickyConn != nil {
		o.requiredConn = s.stickyConn
	}
	s.mu.Unlock()
	s.submit(o, limit)
	return true, nil
}
