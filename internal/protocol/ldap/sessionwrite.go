package ldap

import (
	"bytes"
	"net"
	"slices"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// respond queues a response that the agent makes itself, without a server. Only the reader calls it: it waits while too
// many bytes are queued, so that a client that reads no responses gets no more requests read.
func (s *session) respond(id int32, op byte, code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitSpace()
	s.enqueue(ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text))
}

// forward queues a message of a server's response for the client, under the client's message ID. It waits while too
// many bytes are queued for the client. It returns false if the client has disconnected, or if the operation has had
// its final answer.
func (s *session) forward(a *core.Attempt, o *operation, rest []byte) bool {
	encoded := ldapmsg.WithID(o.id, rest)
	if s.isQueueFull() {
		a.WaitForClient()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitSpace()
	if s.closed {
		return false
	}
	if s.operations[o.id] != o { // the operation has had its final answer
		return false
	}
	s.enqueue(encoded)
	return true
}

func (s *session) isQueueFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedBytes > maxQueuedBytes
}

// awaitSpace waits while too many bytes are queued for the client, until the session is closed at the latest: a client
// that reads nothing for maxWriteStall is closed. The caller holds s.mu.
func (s *session) awaitSpace() {
	for s.queuedBytes > maxQueuedBytes && !s.closed {
		s.writeSpace.Wait()
	}
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

const (
	// writePieceSize is how many bytes of a client's queue are written at once, and maxWriteStall how long a client may
	// take for them: one that does not read holds messages of servers.
	writePieceSize = 16 << 10
	maxWriteStall  = core.HeadTimeout
)

// writePieces writes bytes to a client.
func writePieces(conn net.Conn, encoded []byte) error {
	for piece := range slices.Chunk(encoded, writePieceSize) {
		if err := conn.SetWriteDeadline(time.Now().Add(maxWriteStall)); err != nil {
			return err
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
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
		err := writePieces(conn, encoded)
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
