package ldap

import (
	"errors"
	"net"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// readPhase is what the reader of a session does now. The reader goes through the phases in their order, and then
// ends. If no operation is open in phaseArrived, it ends after that phase.
//
// Only the reader itself ends reading, and the Notice of Disconnection is sent only after that, so every message that
// was read completely is handled before the notice. A goroutine that closes the session wakes the reader by setting a
// read deadline in the past.
type readPhase int

const (
	phaseWaiting   readPhase = iota // waits for requests and serves them
	phaseArrived                    // the session is closing: serves the requests that had arrived by then
	phaseRejecting                  // operations are still open: waits for further requests, and rejects them
	phaseLast                       // the last operation has ended: rejects the requests that have arrived
)

// readMessages handles a client's messages until the connection or the session ends. It returns the error that ended
// it. It returns nil if the client ended it by an UnbindRequest, or if handleMessage did.
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

// advancePhase moves the reader to the next phase after a read has timed out. It returns false if reading is over.
func (s *session) advancePhase() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.phase == phaseWaiting:
		if !s.closing {
			s.beginClosing(ldapmsg.Unavailable, "idle timeout: no complete message was received in time")
		}
		s.setPhase(phaseArrived)
	case s.phase == phaseArrived && s.hasOpenRequests():
		s.setPhase(phaseRejecting)
	case s.phase == phaseRejecting:
		s.setPhase(phaseLast)
	default:
		return false
	}
	return true
}

// setPhase sets the phase, and the way of reading in that phase. The caller holds s.mu.
func (s *session) setPhase(phase readPhase) {
	s.phase = phase
	switch phase {
	case phaseArrived, phaseLast:
		s.client.setArrivedOnly(s.protocol.options.MaxMessage)
	case phaseRejecting:
		s.client.setArrivedOnly(0)
		_ = s.conn.SetReadDeadline(time.Time{}) // on a dead connection the next read fails anyway
	}
}

// rejects reports whether requests are rejected now: the session is closing, and the requests that had arrived before
// were read.
func (s *session) rejects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase >= phaseRejecting
}

// interruptRead wakes the reader if it waits in a read. A TLS handshake is not interrupted; it has its own time
// limit. The caller holds s.mu.
func (s *session) interruptRead() {
	if !s.handshaking {
		_ = s.conn.SetReadDeadline(core.PastDeadline) // fails only if the connection is closed already
	}
}

// endReading records that the reader handles no further message, so that the Notice of Disconnection may be sent.
func (s *session) endReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerEnded = true
	s.sendNoticeIfIdle()
}

// startReader creates the message reader on the current connection. A client has core.HeadTimeout to begin its first
// message, and core.HeadTimeout to complete each message that it has begun. Between messages it may be idle for
// Options.MaxIdle.
func (s *session) startReader() {
	first := s.in == nil
	if s.in != nil {
		s.in.Close()
	}
	s.in = ldapmsg.NewReader(s.conn, s.protocol.options.MaxMessage)
	s.in.Reserve = s.protocol.requestBudget.Acquire
	s.in.Release = s.protocol.requestBudget.Release
	s.in.OnWait = func() {
		wait := s.protocol.options.MaxIdle
		if first {
			wait, first = core.HeadTimeout, false
		}
		s.setReadDeadline(time.Now().Add(wait))
	}
	s.in.OnPartial = func() { s.setReadDeadline(time.Now().Add(core.HeadTimeout)) }
}

// setReadDeadline sets the deadline of the next read, unless the session is closing: then the phase determines how the
// reader waits.
func (s *session) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		_ = s.conn.SetReadDeadline(t) // on a dead connection the next read fails anyway
	}
}

// isTimeout reports whether a read failed because its deadline had passed, or because no bytes had arrived (see
// clientReader.setArrivedOnly).
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readFailed ends a session after a read error. After malformed bytes, and when the session is closing, it ends once
// the admitted operations are answered, with a Notice of Disconnection. After the end of the connection it ends at
// once, since the client can't receive responses any more.
func (s *session) readFailed(err error) {
	switch {
	case errors.Is(err, ldapmsg.ErrMalformed):
		s.protocol.log.Warn("client sent a malformed message; closing its connection",
			"client", s.raw.RemoteAddr().String(), "error", err)
		s.endWithNotice(ldapmsg.ProtocolErrorCode, err.Error())
	case errors.Is(err, ldapmsg.ErrNoMemory):
		s.endWithNotice(ldapmsg.Busy, noMemoryText)
	case isTimeout(err):
		s.endReading()
		<-s.done
	}
}

// endWithNotice is closeWithNotice for use by the reader: no further message is handled, and it waits until the
// session is closed.
func (s *session) endWithNotice(code int, text string) {
	s.endReading()
	s.closeWithNotice(code, text)
	<-s.done
}
