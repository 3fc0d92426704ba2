package http1

import (
	"net/http"
	"time"
)

// responseStream writes a response to a client as it arrives. One attempt owns it from startStream on: no other
// goroutine writes on the connection until the request's final answer, which ends the stream.
type responseStream struct {
	client  *clientConn
	chunked bool // otherwise its length, or the end of the connection, delimits the body
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
	if !s.chunked || len(a.body) == 0 {
		return s, s.writeAll(text, a.body)
	}
	text = append(appendHex(text, len(a.body)), "\r\n"...)
	return s, s.writeAll(text, a.body, []byte("\r\n"))
}

// write sends the first n bytes of a piece of the body to the client.
func (s *responseStream) write(p *piece, n int) error {
	if s.chunked {
		return s.writeAll(p.chunk(n, false))
	}
	return s.writeAll(p.space()[:n])
}

// end marks the end of a chunked body.
func (s *responseStream) end() error {
	if !s.chunked {
		return nil
	}
	return s.writeAll([]byte(lastChunk))
}

// writeAll writes parts one after the other. Each has the same write timeout as a complete response.
func (s *responseStream) writeAll(parts ...[]byte) error {
	for _, part := range parts {
		if len(part) == 0 {
			continue
		}
		if err := s.client.conn.SetWriteDeadline(time.Now().Add(s.client.frontend.writeTimeout)); err != nil {
			return err
		}
		if _, err := s.client.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}
