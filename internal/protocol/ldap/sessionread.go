package ldap

import (
	"errors"
	"net"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// readPhase is what the reader of a session does. It goes through the phases in their order, from phaseWaiting to phaseLast
// where no operation is open by then, and ends.
//
// The reader alone ends reading, and only then the Notice of Disconnection is sent: a message whose last byte was read is
// handled before. Whoever closes the session wakes the reader by a read deadline that has passed.
type readPhase int

const (
	phaseWaiting   readPhase = iota // waits for requests and serves them
	phaseArrived                    // the session closes: what had arrived by then is served
	phaseRejecting                  // operations are open: waits for requests, and rejects them
	phaseLast                       // the last operation has ended: what has arrived is rejected
)

// readMessages handles a client's messages until the connection, or the session, ends. It returns the error that ended it;
// nil: the client, by an UnbindRequest, or handleMessage.
func (s *session) readMessages() error {
	for {
		raw, err := s.in.Next()
		if isTimeout(err) && s.advancePhase() {
			continue
		}
		if err != nil {
			return err
		}
		s.queuedFor = 0
		if !s.hasRequested.Swap(true) {
			s.queuedFor = core.SinceArrival(s.raw)
		}
		s.markReceived()
		m, err := ldapmsg.Parse(raw)
		if err == nil && m.Op != ldapmsg.BindRequest {
			err = ldapmsg.CheckDepth(raw)
		}
		if err != nil {
			return err
		}
		more, err := s.handleMessage(raw, m)
		if err != nil || !more {
			return err
		}
	}
}

// advancePhase has the reader go on after a timeout, in the phase that follows. It reports false where reading is over.
func (s *session) advancePhase() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.phase == phaseWaiting:
		if !s.closing {
			s.beginClosing(ldapmsg.Unavailable, "nothing, or no whole message, has come for long")
		}
		s.setPhase(phaseArrived)
	case s.phase == phaseArrived && s.hasOpen():
		s.setPhase(phaseRejecting)
	case s.phase == phaseRejecting:
		s.setPhase(phaseLast)
	default:
		return false
	}
	return true
}

// setPhase sets the phase, and how it reads. The lock is held.
func (s *session) setPhase(phase readPhase) {
	s.phase = phase
	switch phase {
	case phaseArrived, phaseLast:
		s.client.setArrivedOnly(s.protocol.options.MaxMessage)
	case phaseRejecting:
		s.client.setArrivedOnly(0)
		_ = s.conn.SetReadDeadline(time.Time{}) // a dead connection shows by its read
	}
}

// rejects reports whether requests are rejected by now: the session closes, and those that had arrived by then were read.
func (s *session) rejects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase >= phaseRejecting
}

// interruptRead wakes the reader from its wait. A TLS handshake is left to end, within its own time. The lock is held.
func (s *session) interruptRead() {
	if !s.handshaking {
		_ = s.conn.SetReadDeadline(core.LongAgo) // fails only on a connection that is closed already
	}
}

// endReading takes note that no message is handled any more: the notice may be sent.
func (s *session) endReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerEnded = true
	s.sendNoticeIfIdle()
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

// setReadDeadline bounds the next read, unless the session is closing: its reader goes by its phase then.
func (s *session) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		_ = s.conn.SetReadDeadline(t) // a dead connection shows by its read
	}
}

// isTimeout reports whether a read ended by its deadline, or found that nothing had arrived.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readFailed ends a session after an error of its reader: after malformed bytes with a Notice of Disconnection, and where it
// is closing anyway, once what was admitted is answered; after the connection's end at once, since nobody is there to get a
// response.
func (s *session) readFailed(err error) {
	switch {
	case errors.Is(err, ldapmsg.ErrMalformed):
		s.protocol.log.Warn("client connection ended", "client", s.raw.RemoteAddr().String(), "error", err)
		s.endWithNotice(ldapmsg.ProtocolErrorCode, err.Error())
	case isTimeout(err):
		s.endReading()
		<-s.done
	}
}

// endWithNotice is closeWithNotice for the reader: it handles no further message, and waits for the session's end.
func (s *session) endWithNotice(code int, text string) {
	s.endReading()
	s.closeWithNotice(code, text)
	<-s.done
}
