package ldap

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	client       *clientReader
	in           *ldapmsg.Reader
	queuedFor    time.Duration // what the present message, if it is the first, waited for the connection to be accepted; the reader's
	lastReceived atomic.Int64  // when a message came, in ns since protocol.startedAt
	hasRequested atomic.Bool   // a message was received

	mu          sync.Mutex
	conn        net.Conn // client, or TLS on it
	secured     bool
	handshaking bool       // a TLS handshake is under way
	phase       readPhase  // what the reader does
	readerEnded bool       // no message is handled any more
	writeSpace  *sync.Cond // signalled when queuedBytes falls, or the session is closed
	operations  map[int32]*operation
	cancels     int // Cancels that are with a server
	writeQueue  [][]byte
	queuedBytes int
	writing     bool
	identity    *identity
	stickyConn  *serverConn // of a SASL bind: all operations go there; nil: none
	pagedConns  map[string]*serverConn
	closing     bool // what has arrived is served, further requests are rejected; closes when all are answered
	notice      []byte
	noticeSent  bool // nothing follows it, and nothing may be executed any more
	closed      bool
	done        chan struct{} // closed when the session is closed
}

// serve reads a client's messages until its connection ends.
func (p *protocol) serve(nc net.Conn) {
	s := &session{
		protocol:   p,
		raw:        nc,
		client:     &clientReader{Conn: nc},
		operations: map[int32]*operation{},
		done:       make(chan struct{}),
	}
	s.conn = s.client
	s.handshaking = p.options.LDAPS
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
	if err := s.readMessages(); err != nil {
		s.readFailed(err)
	}
}

// markReceived takes note that a message came.
func (s *session) markReceived() { s.lastReceived.Store(int64(time.Since(s.protocol.startedAt))) }

// quietFor is how long ago the last message came.
func (s *session) quietFor() time.Duration {
	return time.Since(s.protocol.startedAt) - time.Duration(s.lastReceived.Load())
}

// hasOpen reports whether a request has yet to get its response. The lock is held.
func (s *session) hasOpen() bool { return len(s.operations) > 0 || s.cancels > 0 }

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

// closeWithNotice ends the session with a Notice of Disconnection (RFC 4511, 4.4.1), once all that was read is answered. The
// reader serves what has arrived, rejects what comes later, and ends.
func (s *session) closeWithNotice(code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.closed {
		return
	}
	s.beginClosing(code, text)
	s.interruptRead()
	s.sendNoticeIfIdle()
}

// evict closes the session if no request is open and none has come for minQuiet: the look and the close are one step.
func (s *session) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isQuiet() {
		return false
	}
	s.beginClosing(ldapmsg.Unavailable, "too many connections: this one was quiet for longest")
	s.interruptRead()
	return true
}

// isQuiet reports whether the session may be evicted. The lock is held.
func (s *session) isQuiet() bool {
	return !s.closing && !s.closed && !s.hasOpen() && s.quietFor() > minQuiet
}

// beginClosing has the session end with a notice. The lock is held.
func (s *session) beginClosing(code int, text string) {
	s.closing = true
	s.notice = ldapmsg.Disconnection(code, text)
}

// sendNoticeIfIdle sends the notice of a session that is closing, once no request is open and the reader has ended. Where it
// still reads, it is woken for its last look. The lock is held.
func (s *session) sendNoticeIfIdle() {
	switch {
	case !s.closing || s.noticeSent || s.hasOpen():
		return
	case !s.readerEnded:
		s.interruptRead()
		return
	}
	s.enqueue(s.notice)
	s.notice = nil
	s.noticeSent = true
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
