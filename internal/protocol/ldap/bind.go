package ldap

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"sync/atomic"
	"time"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// identity is as whom a client is bound. Its password is in memory only, and wiped with the last user.
type identity struct {
	key            string // names it; "" is anybody
	name, password []byte
	refs           atomic.Int32
	rejected       atomic.Bool // a server that was to take its bind again did not
}

func (w *identity) retain() *identity {
	if w != nil {
		w.refs.Add(1)
	}
	return w
}

func (w *identity) release() {
	if w != nil && w.refs.Add(-1) == 0 {
		clear(w.password)
	}
}

func (w *identity) keyOf() string {
	if w == nil {
		return ""
	}
	return w.key
}

// applyResult takes over what an answer changes about its client. The session's lock is held.
func (s *session) applyResult(o *operation, got *finalResponse) {
	switch {
	case o.message.Op == ldapmsg.BindRequest && got.code == ldapmsg.Success && o.sasl:
		s.setIdentity(nil, got.conn)
	case o.message.Op == ldapmsg.BindRequest && got.code == ldapmsg.Success:
		s.setIdentity(o.newIdentity.retain(), nil)
	case o.message.Op == ldapmsg.BindRequest && got.code == ldapmsg.SASLBindInProgress && o.sasl:
		s.setIdentity(nil, got.conn)
	case o.message.Op == ldapmsg.BindRequest:
		s.setIdentity(nil, nil)
	case o.paged && len(got.cookie) > 0 && got.conn != nil:
		s.keepPagedConn(string(got.cookie), got.conn)
	}
}

// keepPagedConn keeps a connection for a paged search's next page. The session's lock is held.
func (s *session) keepPagedConn(cookie string, c *serverConn) {
	if s.pagedConns == nil {
		s.pagedConns = map[string]*serverConn{}
	}
	if len(s.pagedConns) < maxPagedSearches && !s.closed {
		s.pagedConns[cookie] = c
	} else {
		go c.unreserve()
	}
}

// setIdentity changes as whom the client is bound. The session's lock is held; who is held for it.
func (s *session) setIdentity(who *identity, pinned *serverConn) {
	s.identity.release()
	s.identity = who
	if s.stickyConn != nil && s.stickyConn != pinned {
		go s.stickyConn.retire()
	}
	if s.stickyConn = pinned; pinned != nil && s.closed {
		go pinned.retire()
	}
	for cookie, c := range s.pagedConns { // of another identity
		go c.unreserve()
		delete(s.pagedConns, cookie)
	}
}

// handleBind takes a bind. Nothing else is taken until it has its answer (RFC 4511, 4.2.1), and it waits
// for what is open.
func (s *session) handleBind(raw []byte, m ldapmsg.Message) (more bool, err error) {
	b, err := ldapmsg.ParseBind(m.Content)
	defer s.in.Forget()
	if err != nil {
		return false, err
	}
	refuse := func(code int, text string) (bool, error) {
		s.respond(m.ID, m.Op, code, text)
		return true, nil
	}
	s.mu.Lock()
	open := make([]*operation, 0, len(s.operations))
	for _, o := range s.operations {
		if o.done == nil {
			o.done = make(chan struct{})
		}
		open = append(open, o)
	}
	secured, pinned := s.secured, s.stickyConn
	s.mu.Unlock()
	switch {
	case b.Version != 3:
		return refuse(ldapmsg.ProtocolErrorCode, "LDAPv3 is served")
	case b.Simple && len(b.Password) > 0 && s.protocol.tls != nil && !secured:
		return refuse(ldapmsg.ConfidentialityRequired, "a password is taken under TLS only")
	case !b.Simple && b.Mechanism == "EXTERNAL":
		// The server would take this agent's own certificate or socket for the client's.
		return refuse(ldapmsg.AuthMethodNotSupported, "EXTERNAL can't be passed on")
	case !b.Simple && b.Mechanism == ldapmsg.UnknownMechanism:
		return refuse(ldapmsg.AuthMethodNotSupported, "an authentication choice that is not known")
	}
	for _, o := range open {
		<-o.done // by its deadline
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own)
	o := &operation{session: s, id: m.ID, message: m, raw: own, kind: kindBind, sasl: !b.Simple, done: make(chan struct{})}
	if b.Simple {
		b, _ = ldapmsg.ParseBind(m.Content)
		o.newIdentity = s.protocol.identity(b.Name, b.Password).retain()
	} else if pinned != nil && !pinned.isUnusable() {
		o.requiredConn = pinned // a further step; a first one of a new exchange is the server's to tell
	}
	s.submit(o, 0)
	<-o.done
	return true, nil
}

// identity names a client's credentials so that only the same ones have the same name, and nothing can
// be told from it.
func (p *protocol) identity(name, password []byte) *identity {
	if len(name) == 0 && len(password) == 0 {
		return nil // anybody
	}
	h := hmac.New(sha256.New, p.secret[:])
	_, _ = fmt.Fprintf(h, "%d ", len(name))
	_, _ = h.Write(name)
	_, _ = h.Write(password)
	return &identity{key: string(h.Sum(nil)), name: append([]byte(nil), name...), password: append([]byte(nil), password...)}
}

// startTLS takes the connection into TLS.
func (s *session) startTLS(m ldapmsg.Message) (more bool, err error) {
	s.mu.Lock()
	open, secured := len(s.operations), s.secured
	s.mu.Unlock()
	switch {
	case secured || open > 0:
		s.respond(m.ID, m.Op, ldapmsg.OperationsError, "TLS is there already, or operations are open")
		return true, nil
	case s.protocol.tls == nil:
		s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, "StartTLS is not served here")
		return true, nil
	case s.in.Buffered() > 0:
		// What came in plain must not be taken for what comes under TLS.
		return false, fmt.Errorf("%w: something came behind StartTLS", ldapmsg.ErrMalformed)
	}
	name := ldapmsg.Response(m.ID, ldapmsg.ExtResponse, ldapmsg.Success, "")
	if err := s.conn.SetWriteDeadline(time.Now().Add(core.HeadTimeout)); err != nil {
		return false, nil
	}
	if _, err := s.conn.Write(name); err != nil {
		return false, nil
	}
	if err := s.acceptTLS(); err != nil {
		return false, nil
	}
	s.mu.Lock()
	s.setIdentity(nil, nil)
	s.mu.Unlock()
	s.startReader()
	return true, nil
}

// acceptTLS makes the handshake of TLS, within the time that a first message has.
func (s *session) acceptTLS() error {
	c := tls.Server(s.raw, s.protocol.tls)
	if err := s.raw.SetDeadline(time.Now().Add(core.HeadTimeout)); err != nil {
		return err
	}
	if err := c.Handshake(); err != nil {
		s.protocol.log.Warn("TLS with a client failed", "client", s.raw.RemoteAddr().String(), "error", err)
		return err
	}
	if err := s.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.secured = c, true
	return nil
}
