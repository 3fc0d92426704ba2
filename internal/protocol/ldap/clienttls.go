package ldap

import (
	"crypto/tls"
	"fmt"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// startTLS handles a StartTLS request (RFC 4511, 4.14).
func (s *session) startTLS(m ldapmsg.Message) (more bool, err error) {
	s.mu.Lock()
	open := s.hasOpenRequests()
	secured := s.secured
	s.mu.Unlock()
	switch {
	case secured || open:
		s.respond(m.ID, m.Op, ldapmsg.OperationsError, "TLS is already in use, or operations are open")
		return true, nil
	case s.protocol.tls == nil:
		s.respond(m.ID, m.Op, ldapmsg.ProtocolErrorCode, "StartTLS is not supported")
		return true, nil
	case s.in.Buffered() > 0:
		// Bytes that were sent in plain text must not be handled as if they had come over TLS.
		return false, fmt.Errorf("%w: bytes in plain text after the StartTLS request", ldapmsg.ErrMalformed)
	}
	if !s.beginHandshake() {
		s.respond(m.ID, m.Op, ldapmsg.Unavailable, closingText)
		return true, nil
	}
	success := ldapmsg.Response(m.ID, ldapmsg.ExtResponse, ldapmsg.Success, "")
	if err := s.conn.SetWriteDeadline(time.Now().Add(core.HeadTimeout)); err != nil {
		return false, nil
	}
	if _, err := s.conn.Write(success); err != nil {
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

// beginHandshake records that a TLS handshake follows, so that interruptRead does not interrupt it. It returns false
// if the session is closing.
func (s *session) beginHandshake() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshaking = !s.closing
	return s.handshaking
}

// acceptTLS performs the server side of the TLS handshake, within core.HeadTimeout.
func (s *session) acceptTLS() error {
	c := tls.Server(s.client, s.protocol.tls)
	if err := s.raw.SetDeadline(time.Now().Add(core.HeadTimeout)); err != nil {
		return err
	}
	if err := c.Handshake(); err != nil {
		s.protocol.log.Warn("TLS handshake with a client failed; closing its connection",
			"client", s.raw.RemoteAddr().String(), "error", err)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.raw.SetDeadline(time.Time{}); err != nil {
		return err
	}
	s.conn = c
	s.secured = true
	s.handshaking = false
	if s.closing { // the session began to close during the handshake
		s.interruptRead()
	}
	return nil
}
