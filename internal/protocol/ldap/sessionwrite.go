package ldap

import (
	"bytes"
	"crypto/tls"
	"time"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// answer gives an answer that needs no server.
func (s *session) answer(id int32, op byte, code int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(ldapmsg.Response(id, ldapmsg.ResponseTo(op), code, text))
}

// forward gives the client a part of an answer, under its own id. It waits while the client reads
// slowly, and reports false where it is gone.
func (s *session) forward(o *operation, rest []byte) bool {
	text := ldapmsg.WithID(o.id, rest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.outBytes > outMost && !s.closed {
		s.space.Wait()
	}
	if s.closed {
		return false
	}
	if s.ops[o.id] != o { // it has its final answer, or none is wanted
		return false
	}
	s.push(text)
	return true
}

// push queues bytes for the client. The lock is held.
func (s *session) push(text []byte) {
	if s.closed {
		return
	}
	s.out = append(s.out, text)
	s.outBytes += len(text)
	if !s.writing {
		s.writing = true
		go s.write()
	}
}

// write writes what is queued, until nothing is.
func (s *session) write() {
	for {
		s.mu.Lock()
		if len(s.out) == 0 || s.closed {
			s.writing = false
			if s.closed {
				s.out, s.outBytes = nil, 0
			}
			s.mu.Unlock()
			return
		}
		batch, conn, n := s.out, s.conn, s.outBytes
		s.out = nil
		s.mu.Unlock()
		text := batch[0]
		if len(batch) > 1 {
			text = bytes.Join(batch, nil) // one write, under TLS one record
		}
		err := conn.SetWriteDeadline(time.Now().Add(writeTime))
		if err == nil {
			_, err = conn.Write(text)
		}
		s.mu.Lock()
		s.outBytes -= n
		s.space.Broadcast()
		s.mu.Unlock()
		if err != nil {
			s.shut()
			return
		}
	}
}

// drain ends the connection once all that was taken is answered. One that has asked nothing yet is
// served on for a moment: it was accepted just before the next copy would have.
func (s *session) drain() {
	if !s.asked.Load() {
		wait := time.NewTimer(s.p.fresh)
		defer wait.Stop()
		select {
		case <-s.quiet:
		case <-wait.C:
		}
	}
	s.end(ldapmsg.Unavailable, "this agent stops: ask again on a new connection")
}

// end has the connection end with a Notice of Disconnection, once all that was taken is answered, and
// takes nothing more.
func (s *session) end(code int, text string) {
	s.mu.Lock()
	if s.stopping || s.closed {
		s.mu.Unlock()
		return
	}
	s.stopping, s.notice = true, ldapmsg.Disconnection(code, text)
	_ = s.conn.SetReadDeadline(core.LongAgo) // the reader stops
	s.lastWord()
	s.mu.Unlock()
	<-s.quiet
}

// lastWord writes the notice of a connection that ends, when nothing is open on it. The lock is held.
func (s *session) lastWord() {
	if !s.stopping || len(s.ops) > 0 || s.notice == nil {
		return
	}
	s.push(s.notice)
	s.notice = nil
	go s.linger()
}

// linger lets the client read the last word, and closes.
func (s *session) linger() {
	s.mu.Lock()
	for s.outBytes > 0 && !s.closed {
		s.space.Wait()
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
	s.shut()
}

// failAll answers what is open as failed: the loop has ended.
func (s *session) failAll() {
	s.mu.Lock()
	var all []*operation
	for _, o := range s.ops {
		all = append(all, o)
	}
	s.mu.Unlock()
	for _, o := range all {
		o.request.Abort()
	}
}

// shut closes the connection and gives up what is open on it: nobody waits any more.
func (s *session) shut() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed, s.stopping = true, true
	_ = s.raw.Close()
	var left []*operation
	for _, o := range s.ops {
		left = append(left, o)
	}
	s.become(nil, nil)
	s.space.Broadcast()
	select {
	case <-s.quiet:
	default:
		close(s.quiet)
	}
	s.mu.Unlock()
	for _, o := range left {
		o.mu.Lock()
		o.abandoned = true
		c, on := o.on, o.onID
		o.mu.Unlock()
		if c != nil && o.m.Op == ldapmsg.SearchRequest {
			c.sendAbandon(on)
		}
		s.p.loop.ClientDisconnected(o.request)
	}
}
