package ldap

import (
	"bytes"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
)

// respond queues a response that the agent makes itself, without a server.
func (s *session) respond(id int32, op byte, code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text))
}

// forward queues a message of a server's response for the client, under the client's message ID. It waits while too
// many bytes are queued for the client. It returns false if the client has disconnected, or if the operation has had
// its final answer.
func (s *session) forward(o *operation, rest []byte) bool {
	encoded := ldapmsg.WithID(o.id, rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queuedBytes > maxQueuedBytes && !s.closed {
		s.writeSpace.Wait()
	}
	if s.closed {
		return false
	}
	if s.operations[o.id] != o { // the operation has had its final answer
		return false
	}
	s.enqueue(encoded)
	return true
}

// enqueue queues an encoded message for the client, and starts the writer if none is running. Messages after the
// Notice of Disconnection are dropped. The caller holds s.mu.
func (s *session) enqueue(encoded []byte) {
	if s.closed || s.noticeSent {
		return
	}
	s.writeQueue = append(s.writeQueue, encoded)
	s.queuedBytes += len(encoded)
	if !s.writing {
		s.writing = true
		go s.runWriter()
	}
}

// runWriter writes the queued messages, until the queue is empty or the session is closed.
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
		encoded := batch[0]
		if len(batch) > 1 {
			encoded = bytes.Join(batch, nil) // one write instead of many, and fewer TLS records
		}
		err := conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = conn.Write(encoded)
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
