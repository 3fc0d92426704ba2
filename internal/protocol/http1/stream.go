package http1

import (
	"net/http"
	"time"
)

// responseStream writes an answer to a client as it comes. One attempt has it, from Begin on; nobody else writes on the
// connection until the request's final answer, which is the stream's end.
type responseStream struct {
	client  *clientConn
	chunked bool
	text    []byte
}

// startStream writes an answer's head, and what has come of its body.
func (c *clientConn) startStream(a *response, old bool) (*responseStream, error) {
	s := &responseStream{client: c, chunked: a.length < 0 && !old}
	c.mu.Lock()
	c.streaming = true
	// Without a length or chunks, the connection's end is the answer's.
	c.closing = c.closing || a.length < 0 && old
	last := c.closesAfterResponseLocked()
	c.mu.Unlock()
	text := c.front.appendStatus(nil, http.StatusOK, last)
	if !a.hasDate {
		text = append(append(append(text, "Date: "...), date()...), "\r\n"...)
	}
	text = append(text, a.headerLines...)
	switch {
	case s.chunked:
		text = append(text, "Transfer-Encoding: chunked\r\n"...)
	case a.length >= 0:
		text = append(text, "Content-Length: "...)
		text = append(appendInt(text, int(a.length)), "\r\n"...)
	}
	text = append(text, "\r\n"...)
	if s.chunked {
		text = appendChunk(text, a.body)
	} else {
		text = append(text, a.body...)
	}
	return s, s.writeAll(text)
}

func (s *responseStream) write(piece []byte) error {
	if !s.chunked {
		return s.writeAll(piece)
	}
	s.text = appendChunk(s.text[:0], piece)
	return s.writeAll(s.text)
}

func (s *responseStream) end() error {
	if !s.chunked {
		return nil
	}
	return s.writeAll([]byte(lastChunk))
}

// writeAll writes a piece. A client has as long for each as for a whole answer.
func (s *responseStream) writeAll(text []byte) error {
	if err := s.client.conn.SetWriteDeadline(time.Now().Add(s.client.front.writeTimeout)); err != nil {
		return err
	}
	_, err := s.client.conn.Write(text)
	return err
}
