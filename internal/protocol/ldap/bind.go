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
	uses           atomic.Int32
	rejected       atomic.Bool // a server that was to take its bind again did not
}

func (w *identity) hold() *identity {
	if w != nil {
		w.uses.Add(1)
	}
	return w
}

func (w *identity) drop() {
	if w != nil && w.uses.Add(-1) == 0 {
		clear(w.password)
	}
}

func (w *identity) keyOf() string {
	if w == nil {
		return ""
	}
	return w.key
}

// settle takes over what an answer changes about its client. The session's lock is held.
func (s *session) settle(o *operation, got *reply) {
	switch {
	case o.m.Op == ldapmsg.BindRequest && got.code == ldapmsg.Success && o.sasl:
		s.become(nil, got.conn)
	case o.m.Op == ldapmsg.BindRequest && got.code == ldapmsg.Success:
		s.become(o.bind.hold(), nil)
	case o.m.Op == ldapmsg.BindRequest && got.code == ldapmsg.SASLBindInProgress && o.sasl:
		s.become(nil, got.conn)
	case o.m.Op == ldapmsg.BindRequest:
		s.become(nil, nil)
	case o.paged && len(got.cookie) > 0 && got.conn != nil:
		s.page(string(got.cookie), got.conn)
	}
}

// page keeps a connection for a paged search's next page. The session's lock is held.
func (s *session) page(cookie string, c *serverConn) {
	if s.paged == nil {
		s.paged = map[string]*serverConn{}
	}
	if len(s.paged) < pagedMost && !s.closed {
		s.paged[cookie] = c
	} else {
		go c.unreserve()
	}
}

// become changes as whom the client is bound. The session's lock is held; who is held for it.
func (s *session) become(who *identity, pinned *serverConn) {
	s.who.drop()
	s.who = who
	if s.pinned != nil && s.pinned != pinned {
		go s.pinned.retire()
	}
	if s.pinned = pinned; pinned != nil && s.closed {
		go pinned.retire()
	}
	for cookie, c := range s.paged { // of another identity
		go c.unreserve()
		delete(s.paged, cookie)
	}
}

// takeBind takes a bind. Nothing else is taken until it has its answer (RFC 4511, 4.2.1), and it waits
// for what is open.
func (s *session) takeBind(raw []byte, m ldapmsg.Message) (more bool, err error) {
	b, err := ldapmsg.ParseBind(m.Content)
	defer s.in.Forget()
	if err != nil {
		return false, err
	}
	refuse := func(code int, text string) (bool, error) {
		s.answer(m.ID, m.Op, code, text)
		return true, nil
	}
	s.mu.Lock()
	open := make([]*operation, 0, len(s.ops))
	for _, o := range s.ops {
		if o.done == nil {
			o.done = make(chan struct{})
		}
		open = append(open, o)
	}
	secured, pinned := s.secured, s.pinned
	s.mu.Unlock()
	switch {
	case b.Version != 3:
		return refuse(ldapmsg.ProtocolErrorCode, "LDAPv3 is served")
	case b.Simple && len(b.Password) > 0 && s.p.tls != nil && !secured:
		return refuse(ldapmsg.ConfidentialityRequired, "a password is taken under TLS only")
	case !b.Simple && b.Mechanism == "EXTERNAL":
		// The server would take this agent's own certificate or socket for the client's.
		return refuse(ldapmsg.AuthMethodNotSupported, "EXTERNAL can't be passed on")
	case !b.Simple && b.Mechanism == "?":
		return refuse(ldapmsg.AuthMethodNotSupported, "an authentication choice that is not known")
	}
	for _, o := range open {
		<-o.done // by its deadline
	}
	own := append([]byte(nil), raw...)
	m, _ = ldapmsg.Parse(own)
	o := &operation{s: s, id: m.ID, m: m, raw: own, kind: kindBind, sasl: !b.Simple, done: make(chan struct{})}
	if b.Simple {
		b, _ = ldapmsg.ParseBind(m.Content)
		o.bind = s.p.identity(b.Name, b.Password).hold()
	} else if pinned != nil && !pinned.dead() {
		o.conn = pinned // a further step; a first one of a new exchange is the server's to tell
	}
	s.begin(o, 0)
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
	open, secured := len(s.ops), s.secured
	s.mu.Unlock()
	switch {
	case secured || open > 0:
		s.answer(m.ID, m.Op, ldapmsg.OperationsError, "TLS is there already, or operations are open")
		return true, nil
	case s.p.tls == nil:
		s.answer(m.ID, m.Op, ldapmsg.ProtocolErrorCode, "StartTLS is not served here")
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
	if err := s.secure(); err != nil {
		return false, nil
	}
	s.mu.Lock()
	s.become(nil, nil)
	s.mu.Unlock()
	s.reader()
	return true, nil
}

// secure makes the handshake of TLS, within the time that a first message has.
func (s *session) secure() error {
	c := tls.Server(s.raw, s.p.tls)
	if err := s.raw.SetDeadline(time.Now().Add(core.HeadTimeout)); err != nil {
		return err
	}
	if err := c.Handshake(); err != nil {
		s.p.log.Warn("TLS with a client failed", "client", s.raw.RemoteAddr().String(), "error", err)
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
