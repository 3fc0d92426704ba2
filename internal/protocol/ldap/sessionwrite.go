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
	encoded := ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.dropUnusedSpace()
	s.awaitSpace(len(encoded))
	s.enqueue(encoded)
}

// forward queues a message of a server's response for the client, under the client's message ID. It waits while too
// many bytes are queued. It returns false if the client has disconnected, or if the operation has had its final answer.
func (s *session) forward(a *core.Attempt, o *operation, rest []byte) bool {
	encoded := ldapmsg.WithID(o.id, rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.dropUnusedSpace()
	if !s.reserveSpace(len(encoded)) {
		s.mu.Unlock()
		a.WaitForClient()
		s.mu.Lock()
		s.awaitSpace(len(encoded))
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

// reserveSpace reserves n bytes of the queue for a message, until the queue is written. It reports false if too many are
// queued for the client, or for all clients together; one message may always be queued. The caller holds s.mu.
func (s *session) reserveSpace(n int) bool {
	if s.queuedBytes > maxQueuedBytes {
		return false
	}
	if s.protocol.queueBudget.Acquire(n) {
		s.queueReserved += n
		return true
	}
	return s.queuedBytes == 0
}

// releaseSpace returns what is reserved for the queue. The caller holds s.mu.
func (s *session) releaseSpace() {
	s.protocol.queueBudget.Release(s.queueReserved)
	s.queueReserved = 0
}

// dropUnusedSpace returns what is reserved for a message that was not queued after all, unless a writer will. The caller
// holds s.mu.
func (s *session) dropUnusedSpace() {
	if s.closed || !s.writing {
		s.releaseSpace()
	}
}

// awaitSpace waits until n bytes of the queue are reserved, or the session is closed: a client that reads nothing for
// maxWriteStall is closed. The caller holds s.mu.
func (s *session) awaitSpace(n int) {
	for !s.closed && !s.reserveSpace(n) {
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
			s.releaseSpace()
			s.mu.Unlock()
			return
		}
		batch := s.writeQueue
		conn := s.conn
		n := s.queuedBytes
		reserved := s.queueReserved
		s.writeQueue = nil
		s.queueReserved = 0
		s.mu.Unlock()
		encoded := batch[0]
		if len(batch) > 1 {
			encoded = bytes.Join(batch, nil) // one write instead of many, and fewer TLS records
		}
		err := writePieces(conn, encoded)
		s.protocol.queueBudget.Release(reserved)
		s.mu.Lock()
		s.queuedBytes -= n
		s.writeSpace.Broadcast()
		s.mu.Unlock()
		if err != nil {
			s.closeNow()
			s.mu.Lock()
			s.releaseSpace()
			s.mu.Unlock()
			return
		}
	}
}
