package ldap

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync/atomic"

	"vetchhaven/internal/protocol/ldapmsg"
)

// identity is as whom a client is bound; nil is anonymous. Its password is in memory only, and wiped with the last reference.
type identity struct {
	key            string // equal for equal credentials
	name, password []byte
	refs           atomic.Int32
	rejected       atomic.Bool // a server did not accept the bind that another had accepted
}

// retain adds a reference.
func (w *identity) retain() *identity {
	if w != nil {
		w.refs.Add(1)
	}
	return w
}

// release ends a reference. The last one wipes the password.
func (w *identity) release() {
	if w != nil && w.refs.Add(-1) == 0 {
		clear(w.password)
	}
}

// keyOf is the identity's key; "" is anonymous.
func (w *identity) keyOf() string {
	if w == nil {
		return ""
	}
	return w.key
}

// identity returns the identity of a client's credentials. Its key is an HMAC: equal for the same credentials alone, and
// nothing can be learnt from it.
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

// applyResult takes over what a response changes about its session: the bind, and the pages of a search. The session's lock
// is held.
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

// keepPagedConn reserves a server connection for a paged search's next page. The session's lock is held.
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

// setIdentity changes as whom the client is bound, and to which server connection. The session's lock is held; who is
// retained for it.
func (s *session) setIdentity(who *identity, stickyConn *serverConn) {
	s.identity.release()
	s.identity = who
	if s.stickyConn != nil && s.stickyConn != stickyConn {
		go s.stickyConn.retire()
	}
	s.stickyConn = stickyConn
	if stickyConn != nil && s.closed {
		go stickyConn.retire()
	}
	for cookie, c := range s.pagedConns { // of the identity before
		go c.unreserve()
		delete(s.pagedConns, cookie)
	}
}
