package http1

import (
	"net/http"
	"time"
)

// responseStream writes a response to a client as it comes. One attempt owns it from startStream on: nobody else writes on
// the connection until the request's final answer, which ends the stream.
type responseStream struct {
	client  *clientConn
	chunked bool   // else the length, or the connection's end, delimits the body
	chunk   []byte // reused for framing
}

// startStream writes a response's head and the part of its body that was read. http10 says that the client speaks HTTP/1.0,
// which has no chunks.
func (c *clientConn) startStream(a *response, http10 bool) (*responseStream, error) {
	s := &responseStream{client: c, chunked: a.length < 0 && !http10}
	c.mu.Lock()
	c.streaming = true
	// Without a length or chunks, the connection's end is the response's (RFC 9112, 6.3).
	c.closing = c.closing || a.length < 0 && http10
	last := c.closesAfterResponseLocked()
	c.mu.Unlock()
	text := c.front.appendStatus(nil, http.StatusOK, last)
	if !a.hasDate {
		text = appendDate(text)
	}
	text = append(text, a.headerLines...)
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

// write passes on a piece of the body.
func (s *responseStream) write(piece []byte) error {
	if !s.chunked {
		return s.writeAll(piece)
	}
	s.chunk = appendChunk(s.chunk[:0], piece)
	return s.writeAll(s.chunk)
}

// end marks the end of the body, where it is chunked.
func (s *responseStream) end() error {
	if !s.chunked {
		return nil
	}
	return s.writeAll([]byte(lastChunk))
}

// writeAll writes bytes. A client has as long for each piece as for a complete response.
func (s *responseStream) writeAll(text []byte) error {
	if err := s.client.conn.SetWriteDeadline(time.Now().Add(s.client.front.writeTimeout)); err != nil {
		return err
	}
	_, err := s.client.conn.Write(text)
	return err
}
