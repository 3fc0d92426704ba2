package http1

import (
	"net/http"
	"time"
)

// responseStream writes a response to a client as it arrives. One attempt owns it from startStream on: no other
// goroutine writes on the connection until the request's final answer, which ends the stream.
type responseStream struct {
	client  *clientConn
	chunked bool   // otherwise its length, or the end of the connection, delimits the body
	chunk   []byte // reused for framing
}

// startStream writes a response's head and the part of its body that was read already. http10 is set if the client
// speaks HTTP/1.0, which has no chunked bodies.
func (c *clientConn) startStream(a *response, http10 bool) (*responseStream, error) {
	s := &responseStream{client: c, chunked: a.length < 0 && !http10}
	c.mu.Lock()
	c.streaming = true
	// Without a length and without chunks, the response ends with the connection (RFC 9112, 6.3).
	c.closing = c.closing || a.length < 0 && http10
	last := c.closesAfterResponseLocked()
	c.mu.Unlock()
	text := c.frontend.appendStatus(nil, http.StatusOK, last)
	if !a.hasDate {
		text = appendDate(text)
	}
	text = append(text, a.fieldLines...)
	switch {
	case s.chunked:
		text = append(text, "Transfer-Encoding: chunked\r\n"...)
	case a.length >= 0:
		text = append(text, "Content-Length: "...)
		text = appendInt(text, int(a.length))
		text = append(text, "\r\n"...)
	}
	text = append(text, "\r\n"...)
	if s.chunked {
		text = appendChunk(text, a.body)
	} else {
		text = append(text, a.body...)
	}
	return s, s.writeAll(text)
}

// write sends a piece of the body to the client.
func (s *responseStream) write(piece []byte) error {
	if !s.chunked {
		return s.writeAll(piece)
	}
	s.chunk = appendChunk(s.chunk[:0], piece)
	return s.writeAll(s.chunk)
}

// end marks the end of a chunked body.
func (s *responseStream) end() error {
	if !s.chunked {
		return nil
	}
	return s.writeAll([]byte(lastChunk))
}

// writeAll writes bytes. Each piece has the same write timeout as a complete response.
func (s *responseStream) writeAll(text []byte) error {
	if err := s.client.conn.SetWriteDeadline(time.Now().Add(s.client.frontend.writeTimeout)); err != nil {
		return err
	}
	_, err := s.client.conn.Write(text)
	return err
}
