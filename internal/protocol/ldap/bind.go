package ldap

import (
	"slices"
	"vetchhaven/internal/protocol/ldapmsg"
)

// handleBind handles a BindRequest. It waits for the operations that are open, and no other request is read until the bind
// has its response (RFC 4511, 4.2.1).
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
	secured := s.secured
	stickyConn := s.stickyConn
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
		<-o.done // closed by its deadline
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
		o.requiredConn = stickyConn // a further step, or a new exchange: the server knows
	}
	s.submit(o, 0)
	<-o.done
	return true, nil
}
