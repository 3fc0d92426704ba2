package ldap

import (
	"bytes"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
)

// respond queues a response that no server took part in.
func (s *session) respond(id int32, op byte, code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text))
}

// forward queues a message of a response for the client, under the client's own message ID. It waits while the client reads
// slowly, and reports false if the client has disconnected or wants no response.
func (s *session) forward(o *operation, rest []byte) bool {
	text := ldapmsg.WithID(o.id, rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queuedBytes > maxQueuedBytes && !s.closed {
		s.writeSpace.Wait()
	}
	if s.closed {
		return false
	}
	if s.operations[o.id] != o { // it has its final answer
		return false
	}
	s.enqueue(text)
	return true
}

// enqueue queues bytes for the client, and starts the writer. Nothing follows the Notice of Disconnection. The lock is held.
func (s *session) enqueue(text []byte) {
	if s.closed || s.noticeSent {
		return
	}
	s.writeQueue = append(s.writeQueue, text)
	s.queuedBytes += len(text)
	if !s.writing {
		s.writing = true
		go s.runWriter()
	}
}

// runWriter writes what is queued, until nothing is.
func (s *session) runWriter() {
	for {
		s.mu.Lock()
		if len(s.writeQueue) == 0 || s.closed {
			s.writing = false
			if s.closed {
				s.writeQueue = nil
				s.queuedBytes = 0
			}
			s.mu.Unlock()
			return
		}
		batch := s.writeQueue
		conn := s.conn
		n := s.queuedBytes
		s.writeQueue = nil
		s.mu.Unlock()
		text := batch[0]
		if len(batch) > 1 {
			text = bytes.Join(batch, nil) // one write, under TLS one record
		}
		err := conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = conn.Write(text)
		}
		s.mu.Lock()
		s.queuedBytes -= n
		s.writeSpace.Broadcast()
		s.mu.Unlock()
		if err != nil {
			s.closeNow()
			return
		}
	}
}
