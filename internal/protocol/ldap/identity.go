package ldap

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync/atomic"

	"vetchhaven/internal/protocol/ldapmsg"
)

// identity is the name and password that a client is bound with; nil is anonymous. The password is kept in memory
// only, and is wiped when the last reference is released.
type identity struct {
	key            string // equal for equal credentials
	name, password []byte
	refs           atomic.Int32
	rejected       atomic.Bool // a server has rejected the credentials, which another had accepted
}

// retain adds a reference.
func (i *identity) retain() *identity {
	if i != nil {
		i.refs.Add(1)
	}
	return i
}

// release ends a reference. The last release wipes the password.
func (i *identity) release() {
	if i != nil && i.refs.Add(-1) == 0 {
		clear(i.password)
	}
}

// keyOf returns the identity's key; "" is anonymous.
func (i *identity) keyOf() string {
	if i == nil {
		return ""
	}
	return i.key
}

// identity returns the identity for a client's credentials. The key is an HMAC of the credentials: it is equal only
// for equal credentials, and does not reveal them.
func (p *protocol) identity(name, password []byte) *identity {
	if len(name) == 0 && len(password) == 0 {
		return nil // anonymous
	}
	h := hmac.New(sha256.New, p.secret[:])
	_, _ = fmt.Fprintf(h, "%d ", len(name))
	_, _ = h.Write(name)
	_, _ = h.Write(password)
	return &identity{key: string(h.Sum(nil)), name: slices.Clone(name), password: slices.Clone(password)}
}

// applyResult applies the changes that a response makes to the session: the identity after a bind, and the connection
// of a paged search. The caller holds s.mu.
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

// keepPagedConn keeps a reserved server connection for the next page of a paged search, or unreserves it if the
// session has too many such searches or is closed. The connection of a SASL bind stays reserved in any case. The caller
// holds s.mu.
func (s *session) keepPagedConn(cookie string, c *serverConn) {
	if s.pagedConns == nil {
		s.pagedConns = map[string]*serverConn{}
	}
	switch {
	case len(s.pagedConns) < maxPagedSearches && !s.closed:
		s.pagedConns[cookie] = c
	case c != s.stickyConn:
		go c.unreserve()
	}
}

// setIdentity sets the identity that the client is bound as, and the server connection of a SASL bind. The caller
// holds s.mu, and has retained ident for the session.
func (s *session) setIdentity(ident *identity, stickyConn *serverConn) {
	s.identity.release()
	if s.closed { // nothing releases the identity of a closed session later
		ident.release()
		ident = nil
	}
	s.identity = ident
	if s.stickyConn != nil && s.stickyConn != stickyConn {
		go s.stickyConn.retire()
	}
	s.stickyConn = stickyConn
	if stickyConn != nil && s.closed {
		go stickyConn.retire()
	}
	for cookie, c := range s.pagedConns { // paged searches of the previous identity
		go c.unreserve()
		delete(s.pagedConns, cookie)
	}
}
