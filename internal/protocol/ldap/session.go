package ldap

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

const (
	// maxQueuedBytes is how many bytes are queued for a client before attempts wait for it to read. A larger value takes more
	// memory, a smaller one slows down servers' connections.
	maxQueuedBytes = 256 << 10
	// writeTimeout is how long a write to a client, or of a message that belongs to no request to a server, may take.
	writeTimeout = 10 * time.Second
	// lingerTime is what a client has to read the last message before its connection is closed: a close with unread bytes is
	// a reset, and the message would be lost.
	lingerTime       = 500 * time.Millisecond
	maxPagedSearches = 8 // paged searches whose server connections are reserved for one client
)

// session is one client's connection.
type session struct {
	protocol     *protocol
	raw          net.Conn // as the connection limiter accepted it
	in           *ldapmsg.Reader
	lastReceived atomic.Int64 // when a message came, in ns since protocol.startedAt
	hasRequested atomic.Bool  // a message was received

	mu          sync.Mutex
	conn        net.Conn // raw, or TLS on it
	secured     bool
	writeSpace  *sync.Cond // signalled when queuedBytes falls, or the session is closed
	operations  map[int32]*operation
	writeQueue  [][]byte
	queuedBytes int
	writing     bool
	identity    *identity
	stickyConn  *serverConn // of a SASL bind: all operations go there; nil: none
	pagedConns  map[string]*serverConn
	closing     bool // takes no further request; closes when all are answered
	notice      []byte
	closed      bool
	done        chan struct{} // closed when the session is closed
}

// serve reads a client's messages until its connection ends.
func (p *protocol) serve(nc net.Conn) {
	s := &session{
		protocol:   p,
		raw:        nc,
		conn:       nc,
		operations: map[int32]*operation{},
		done:       make(chan struct{}),
	}
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
		more, err := s.handleMessage(raw, m)
		if err != nil {
			s.readFailed(err)
			return
		}
		if !more {
			return
		}
	}
}

// startReader reads from the present connection. A client has core.HeadTimeout for its first message, and for each message
// from its first byte on; between messages it may be quiet for Options.MaxIdle.
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

// setReadDeadline bounds the next read, unless the session is closing: then reading has ended.
func (s *session) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		_ = s.conn.SetReadDeadline(t) // a dead connection shows by its read
	}
}

// markReceived takes note that a message came.
func (s *session) markReceived() { s.lastReceived.Store(int64(time.Since(s.protocol.startedAt))) }

// quietFor is how long ago the last message came.
func (s *session) quietFor() time.Duration {
	return time.Since(s.protocol.startedAt) - time.Duration(s.lastReceived.Load())
}

// isIdle reports whether no operation is open.
func (s *session) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.operations) == 0
}

// readFailed ends a session after an error of its reader: after malformed bytes or a timeout with a Notice of Disconnection,
// once what was admitted is answered; after the connection's end at once, since nobody is there to get a response.
func (s *session) readFailed(err error) {
	var netErr net.Error
	switch {
	case errors.Is(err, ldapmsg.ErrMalformed):
		s.protocol.log.Warn("client connection ended", "client", s.raw.RemoteAddr().String(), "error", err)
		s.closeWithNotice(ldapmsg.ProtocolErrorCode, err.Error())
	case errors.As(err, &netErr) && netErr.Timeout():
		if s.isClosing() { // reading was ended: responses are still to be written
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

// drain ends the session once all that was admitted is answered. One without a request is served for freshPeriod: it was
// accepted just before the next copy would have accepted it.
func (s *session) drain() {
	if !s.hasRequested.Load() {
		wait := time.NewTimer(s.protocol.freshPeriod)
		defer wait.Stop()
		select {
		case <-s.done:
		case <-wait.C:
		}
	}
	s.closeWithNotice(ldapmsg.Unavailable, "this agent stops: ask again on a new connection")
}

// closeWithNotice ends the session with a Notice of Disconnection (RFC 4511, 4.4.1), once all that was admitted is answered.
// It takes no further request, and returns when the session is closed.
func (s *session) closeWithNotice(code int, text string) {
	s.mu.Lock()
	if s.closing || s.closed {
		s.mu.Unlock()
		return
	}
	s.closing = true
	s.notice = ldapmsg.Disconnection(code, text)
	_ = s.conn.SetReadDeadline(core.LongAgo) // the reader ends
	s.sendNoticeIfIdle()
	s.mu.Unlock()
	<-s.done
}

// sendNoticeIfIdle sends the notice of a session that is closing, once no operation is open. The lock is held.
func (s *session) sendNoticeIfIdle() {
	if !s.closing || len(s.operations) > 0 || s.notice == nil {
		return
	}
	s.enqueue(s.notice)
	s.notice = nil
	go s.linger()
}

// linger lets the client read what is queued, and closes the connection.
func (s *session) linger() {
	s.mu.Lock()
	for s.queuedBytes > 0 && !s.closed {
		s.writeSpace.Wait()
	}
	conn := s.conn
	raw := s.raw
	s.mu.Unlock()
	switch c := conn.(type) {
	case *tls.Conn:
		_ = c.CloseWrite()
	case interface{ CloseWrite() error }:
		_ = c.CloseWrite()
	}
	buf := make([]byte, 1024)
	end := time.Now().Add(lingerTime)
	for raw.SetReadDeadline(end) == nil {
		if _, err := raw.Read(buf); err != nil {
			break
		}
	}
	s.closeNow()
}

// abortAll answers the open operations as failed: the loop has ended.
func (s *session) abortAll() {
	s.mu.Lock()
	var all []*operation
	for _, o := range s.operations {
		all = append(all, o)
	}
	s.mu.Unlock()
	for _, o := range all {
		o.request.Abort()
	}
}

// closeNow closes the connection and cancels the operations that are open on it.
func (s *session) closeNow() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.closing = true
	_ = s.raw.Close()
	var open []*operation
	for _, o := range s.operations {
		open = append(open, o)
	}
	s.setIdentity(nil, nil)
	s.writeSpace.Broadcast()
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.mu.Unlock()
	for _, o := range open {
		o.mu.Lock()
		o.abandoned = true
		c := o.attemptConn
		attemptID := o.attemptID
		o.mu.Unlock()
		if c != nil && o.message.Op == ldapmsg.SearchRequest {
			c.sendAbandon(attemptID)
		}
		s.protocol.loop.ClientDisconnected(o.request)
	}
}
