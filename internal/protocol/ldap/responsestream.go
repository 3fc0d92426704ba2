package ldap

import (
	"vetchhaven/internal/core"
)

// responseStream is the messages of an attempt's response before its last one.
type responseStream struct {
	attempt       *core.Attempt
	operation     *operation
	buffering     bool // nothing is forwarded before the last message, or maxBufferedBytes
	buffered      []part
	bufferedBytes int
	started       bool // a message was forwarded: no retry is possible
	unwanted      bool // the client has disconnected, or wants no response
}

// maxBufferedBytes is how many bytes of a lookup's response wait for the last message. A larger value takes more memory, a
// smaller one leaves longer entries without a retry.
const maxBufferedBytes = 64 << 10

// add takes a message. It reports false if the attempt's response must not reach the client.
func (s *responseStream) add(p part) bool {
	if s.buffering && s.bufferedBytes+len(p.raw) <= maxBufferedBytes {
		s.buffered = append(s.buffered, p)
		s.bufferedBytes += len(p.raw)
		return true
	}
	s.buffered = append(s.buffered, p)
	s.buffering = false
	return s.flush()
}

// flush forwards the buffered messages. It reports false as add does.
func (s *responseStream) flush() bool {
	for _, p := range s.buffered {
		if !s.attempt.StartResponse(core.ServerWorking) {
			return false
		}
		s.started = true
		if !s.unwanted && !s.operation.session.forward(s.operation, p.Rest) {
			s.unwanted = true
		}
	}
	s.buffered = nil
	return true
}
