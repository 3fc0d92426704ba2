package http1

import (
	"net/http"
	"strconv"
	"time"
)

// message is a client's request as it is forwarded: the same at each attempt, but for its X-Expires-In.
type message struct {
	head      []byte // the request line and headers, without X-Expires-In and the empty line
	body      []byte
	upload    *upload       // the rest of the body; nil: body is complete
	client    *clientConn   // may get a streamed response; nil: none may (a probe)
	http10    bool          // the client speaks HTTP/1.0
	remaining time.Duration // of an upload's request, counted from its last byte
}

// withClient sets the request's client, and how long it waits.
func (m *message) withClient(c *clientConn, http10 bool, remaining time.Duration) *message {
	m.client = c
	m.http10 = http10
	m.remaining = remaining
	return m
}

// expiresInSize is room for the X-Expires-In line, in bytes.
const expiresInSize = 40

// encode returns the message as it is written by an attempt with a deadline; none if it is zero.
func (m *message) encode(deadline time.Time) []byte {
	text := make([]byte, 0, len(m.head)+len(m.body)+expiresInSize)
	text = append(text, m.head...)
	if !deadline.IsZero() {
		remaining := time.Until(deadline)
		if m.upload != nil { // counted from its last byte
			remaining = m.remaining
		}
		text = append(text, "X-Expires-In: "...)
		text = strconv.AppendFloat(text, max(0, remaining.Seconds()), 'f', 3, 64)
		text = append(text, "\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, m.body...)
}

// message returns the request as it is forwarded, with its body, or with the beginning of an upload's. HTTP/1.1 is written,
// whatever the client speaks (RFC 9110, 2.5), with the framing anew.
func (h *requestHead) message(target, host string, body []byte, rest *upload) *message {
	text := make([]byte, 0, len(h.method)+len(target)+len(host)+64+h.size())
	text = append(text, h.method...)
	text = append(text, ' ')
	text = append(text, target...)
	text = append(text, " HTTP/1.1\r\nHost: "...)
	text = append(text, host...)
	text = append(text, "\r\n"...)
	switch {
	case string(h.method) == http.MethodGet:
	case rest != nil && rest.body.length < 0:
		text = append(text, "Transfer-Encoding: chunked\r\n"...)
		body = appendChunk(nil, body)
	default:
		n := len(body)
		if rest != nil {
			n = int(rest.body.length)
		}
		text = append(text, "Content-Length: "...)
		text = appendInt(text, n)
		text = append(text, "\r\n"...)
	}
	for i := range h.fields {
		f := &h.fields[i]
		if f.notForwarded || h.isConnectionOption(f) {
			continue
		}
		text = append(text, f.line...)
		text = append(text, "\r\n"...)
	}
	return &message{head: text, body: body, upload: rest}
}
