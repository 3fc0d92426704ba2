package ldap

import (
	"slices"
	"vetchhaven/internal/protocol/ldapmsg"
)

// handleBind handles a BindRequest. It waits until the open operations have ended, and no other request is read until
// the response to the bind is queued (RFC 4511, 4.2.1).
func (s *session) handleBind(raw []byte, m ldapmsg.Message) (more bool, err error) {
	b, err := ldapmsg.ParseBind(m.Content)
	defer s.in.Wipe()
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
	secured := s.secured
	stickyConn := s.stickyConn
	s.mu.Unlock()
	switch {
	case b.Version != 3:
		return refuse(ldapmsg.ProtocolErrorCode, "only LDAPv3 is supported")
	case b.Simple && len(b.Password) > 0 && s.protocol.tls != nil && !secured:
		return refuse(ldapmsg.ConfidentialityRequired, "passwords are accepted under TLS only")
	case !b.Simple && b.Mechanism == "EXTERNAL":
		// The server would authenticate the agent's own certificate or socket in place of the client's.
		return refuse(ldapmsg.AuthMethodNotSupported, "SASL EXTERNAL can't be forwarded to a server")
	case !b.Simple && b.Mechanism == ldapmsg.UnknownMechanism:
		return refuse(ldapmsg.AuthMethodNotSupported, "unknown authentication choice")
	}
	for _, o := range open {
		<-o.done // closed at the operation's deadline at the latest
	}
	own := slices.Clone(raw)
	m, _ = ldapmsg.Parse(own)
	o := &operation{
		session: s,
		id:      m.ID,
		message: m,
		raw:     own,
		kind:    kindBind,
		sasl:    !b.Simple,
		done:    make(chan struct{}),
	}
	if b.Simple {
		b, _ = ldapmsg.ParseBind(m.Content)
		o.newIdentity = s.protocol.identity(b.Name, b.Password).retain()
	} else if stickyConn != nil && !stickyConn.isUnusable() {
		o.requiredConn = stickyConn // only the server can distinguish a further step from a new SASL exchange
	}
	s.submit(o, 0)
	<-o.done
	return true, nil
}
