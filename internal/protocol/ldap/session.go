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
	// maxQueuedBytes is how many bytes are queued for a client before attempts wait for the client to read. A larger
	// value takes more memory; a smaller one slows down server connections.
	maxQueuedBytes = 256 << 10
	// writeTimeout is how long a write to a server may take that has no deadline of its own.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a client has to read the last message before its connection is closed. Closing a socket
	// that has unread received bytes resets the connection, and the client could lose the message.
	lingerTime       = 500 * time.Millisecond
	maxPagedSearches = 8 // paged searches whose server connections are reserved for one client
)

// session is one client's connection.
type session struct {
	protocol     *protocol
	number       uint64   // unique among the sessions of the protocol
	raw          net.Conn // as the connection limiter accepted it
	client       *clientReader
	in           *ldapmsg.Reader
	queuedFor    time.Duration // the first message's time in the accept queue, later 0; used by the reader only
	lastReceived atomic.Int64  // when the last message was received, in ns since protocol.startedAt
	hasRequested atomic.Bool   // at least one message was received

	mu          sync.Mutex
	conn        net.Conn   // client, or the TLS connection on top of it
	secured     bool       // TLS is in use
	handshaking bool       // a TLS handshake is under way
	phase       readPhase  // what the reader does now
	readerEnded bool       // the reader handles no further message
	writeSpace  *sync.Cond // signalled when queuedBytes decreases, or the session is closed
	operations  map[int32]*operation
	cancels     int // Cancel requests that were sent to a server, and have no response yet
	writeQueue  [][]byte
	queuedBytes int
	// queueReserved is how many bytes of the queue budget writeQueue occupies.
	queueReserved int
	writing       bool
	identity      *identity
	stickyConn    *serverConn            // the connection of a SASL bind, to which all operations go; nil: none
	pagedConns    map[string]*serverConn // the connections that are reserved for paged searches, by cookie
	closing       bool                   // requests that have arrived are served, later ones are rejected
	notice        []byte                 // the Notice of Disconnection that a closing session has yet to send
	noticeSent    bool                   // no response can follow, so no further operation may be executed
	closed        bool
	done          chan struct{} // closed when the session is closed
}

// serve runs the session of a client's connection: it reads the client's messages until the connection ends.
func (p *protocol) serve(nc net.Conn) {
	s := &session{
		protocol:   p,
		number:     p.lastSession.Add(1),
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
	defer func() { s.in.Close() }()
	if draining {
		go s.drain()
	}
	if err := s.readMessages(); err != nil {
		s.readFailed(err)
	}
}

// markReceived records that a message was received now.
func (s *session) markReceived() { s.lastReceived.Store(int64(time.Since(s.protocol.startedAt))) }

// quietFor returns the time since the last message was received.
func (s *session) quietFor() time.Duration {
	return time.Since(s.protocol.startedAt) - time.Duration(s.lastReceived.Load())
}

// hasOpenRequests reports whether a request has no response yet. The caller holds s.mu.
func (s *session) hasOpenRequests() bool { return len(s.operations) > 0 || s.cancels > 0 }

func (s *session) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// drain ends the session once all its admitted operations are answered. A session that has sent no request is given
// firstRequestGrace to send one, because it was accepted just before the successor would have accepted it.
func (s *session) drain() {
	if !s.hasRequested.Load() {
		wait := time.NewTimer(s.protocol.firstRequestGrace)
		defer wait.Stop()
		select {
		case <-s.done:
		case <-wait.C:
		}
	}
	s.closeWithNotice(ldapmsg.Unavailable, "this agent is draining: retry on a new connection")
}

// closeWithNotice ends the session with a Notice of Disconnection (RFC 4511, 4.4.1), once all requests that were read
// are answered. The reader serves the requests that have already arrived, rejects later ones, and ends.
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

// evict closes the session, and reports whether it did, if no request is open and no message was received for
// minQuiet. The check and the close are one step under the lock, so that no operation can be entered between them.
func (s *session) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isQuiet() {
		return false
	}
	s.beginClosing(ldapmsg.Unavailable, "too many connections: this one was idle for longest")
	s.interruptRead()
	return true
}

// isQuiet reports whether the session may be evicted. The caller holds s.mu.
func (s *session) isQuiet() bool {
	return !s.closing && !s.closed && !s.hasOpenRequests() && s.quietFor() > minQuiet
}

// beginClosing starts closing the session, and prepares its Notice of Disconnection. The caller holds s.mu.
func (s *session) beginClosing(code int, text string) {
	s.closing = true
	s.notice = ldapmsg.NoticeOfDisconnection(code, text)
}

// sendNoticeIfIdle queues the Notice of Disconnection of a closing session, if no request is open and the reader has
// ended. If no request is open and the reader still reads, it wakes the reader, which then handles the requests that
// have arrived and ends. The caller holds s.mu.
func (s *session) sendNoticeIfIdle() {
	switch {
	case !s.closing || s.noticeSent || s.hasOpenRequests():
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

// linger closes the connection after the queued messages are written and the client has had lingerTime to read them.
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
	deadline := time.Now().Add(lingerTime)
	for raw.SetReadDeadline(deadline) == nil {
		if _, err := raw.Read(buf); err != nil {
			break
		}
	}
	s.closeNow()
}

// abortAll answers all open operations as failed, after the loop has ended.
func (s *session) abortAll() {
	s.mu.Lock()
	var open []*operation
	for _, o := range s.operations {
		open = append(open, o)
	}
	s.mu.Unlock()
	for _, o := range open {
		o.request.Abort()
	}
}

// closeNow closes the connection at once, and abandons the operations that are open on it.
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
