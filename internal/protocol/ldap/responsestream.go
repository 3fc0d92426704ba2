package ldap

import (
	"vetchhaven/internal/core"
)

// responseStream forwards the messages of an attempt's response that precede the last one to the client.
type responseStream struct {
	attempt       *core.Attempt
	operation     *operation
	buffering     bool // messages are held back until the last one, or until more than maxBufferedBytes have been received
	buffered      []responseMessage
	bufferedBytes int
	started       bool // a message was forwarded, so no retry is possible any more
	unwanted      bool // the client has disconnected, or the operation has had its final answer
}

// maxBufferedBytes is how many bytes of a lookup's response are held back until the last message. A larger value
// takes more memory; a smaller one excludes lookups of longer entries from retries.
const maxBufferedBytes = 64 << 10

// add handles a message. It returns false if the attempt's response must not reach the client.
func (s *responseStream) add(m responseMessage) bool {
	if s.buffering && s.bufferedBytes+len(m.raw) <= maxBufferedBytes {
		s.buffered = append(s.buffered, m)
		s.bufferedBytes += len(m.raw)
		return true
	}
	s.buffered = append(s.buffered, m)
	s.buffering = false
	return s.flush()
}

// flush forwards the buffered messages. It returns false if the attempt's response must not reach the client.
func (s *responseStream) flush() bool {
	for _, m := range s.buffered {
		if !s.attempt.StartResponse(core.ServerWorking) {
			return false
		}
		s.started = true
		if !s.unwanted && !s.operation.session.forward(s.attempt, s.operation, m.Rest) {
			s.unwanted = true
		}
	}
	s.buffered = nil
	return true
}
