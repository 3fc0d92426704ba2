package ldap

import (
	"bytes"
	"crypto/tls"
	"time"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// respond gives an answer that needs no server.
func (s *session) respond(id int32, op byte, code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text))
}

// forward gives the client a part of an answer, under its own id. It waits while the client reads
// slowly, and reports false where it is gone.
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
	if s.operations[o.id] != o { // it has its final answer, or none is wanted
		return false
	}
	s.enqueue(text)
	return true
}

// enqueue queues bytes for the client. The lock is held.
func (s *session) enqueue(text []byte) {
	if s.closed {
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
				s.writeQueue, s.queuedBytes = nil, 0
			}
			s.mu.Unlock()
			return
		}
		batch, conn, n := s.writeQueue, s.conn, s.queuedBytes
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

// drain ends the connection once all that was taken is answered. One that has asked nothing yet is
// served on for a moment: it was accepted just before the next copy would have.
func (s *session) drain() {
	if !s.hasRequested.Load() {
		wait := time.NewTimer(s.protocol.freshPeriod)
		defer wait.Stop()
		select {
		case <-s.done:
		case <-wait.C:
		}
	}
	s.closeWithNotice(ldapmsg.Unavailable, "this agent stops: ask again on a new connection")
}

// closeWithNotice has the connection end with a Notice of Disconnection, once all that was taken is answered, and
// takes nothing more.
func (s *session) closeWithNotice(code int, text string) {
	s.mu.Lock()
	if s.closing || s.closed {
		s.mu.Unlock()
		return
	}
	s.closing, s.notice = true, ldapmsg.Disconnection(code, text)
	_ = s.conn.SetReadDeadline(core.LongAgo) // the reader stops
	s.sendNoticeIfIdle()
	s.mu.Unlock()
	<-s.done
}

// sendNoticeIfIdle writes the notice of a connection that ends, when nothing is open on it. The lock is held.
func (s *session) sendNoticeIfIdle() {
	if !s.closing || len(s.operations) > 0 || s.notice == nil {
		return
	}
	s.enqueue(s.notice)
	s.notice = nil
	go s.linger()
}

// linger lets the client read the last word, and closes.
func (s *session) linger() {
	s.mu.Lock()
	for s.queuedBytes > 0 && !s.closed {
		s.writeSpace.Wait()
	}
	conn, raw := s.conn, s.raw
	s.mu.Unlock()
	switch c := conn.(type) {
	case *tls.Conn:
		_ = c.CloseWrite()
	case interface{ CloseWrite() error }:
		_ = c.CloseWrite()
	}
	buf := make([]byte, 1024)
	for end := time.Now().Add(lingerTime); raw.SetReadDeadline(end) == nil; {
		if _, err := raw.Read(buf); err != nil {
			break
		}
	}
	s.closeNow()
}

// abortAll answers what is open as failed: the loop has ended.
func (s *session) abortAll() {
	s.mu.Lock()
	var all []*operation
	for _, o := range s.operations {
		all = append(all, o)
	}
	s.mu.Unlock()
	for _, o := range all {
		o.request.Abort()
	}
}

// closeNow closes the connection and gives up what is open on it: nobody waits any more.
func (s *session) closeNow() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed, s.closing = true, true
	_ = s.raw.Close()
	var left []*operation
	for _, o := range s.operations {
		left = append(left, o)
	}
	s.setIdentity(nil, nil)
	s.writeSpace.Broadcast()
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.mu.Unlock()
	for _, o := range left {
		o.mu.Lock()
		o.abandoned = true
		c, on := o.attemptConn, o.attemptID
		o.mu.Unlock()
		if c != nil && o.message.Op == ldapmsg.SearchRequest {
			c.sendAbandon(on)
		}
		s.protocol.loop.ClientDisconnected(o.request)
	}
}
