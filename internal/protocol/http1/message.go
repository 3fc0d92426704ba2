package http1

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// message is a client's request as it is forwarded. It is the same at each attempt, except for its X-Expires-In.
type message struct {
	head      []byte // the request line and the field lines, without X-Expires-In and the empty line
	body      []byte
	upload    *upload       // the rest of the body; nil: body is complete
	client    *clientConn   // gets a streamed response; nil: the response is not streamed (a probe)
	http10    bool          // the client speaks HTTP/1.0
	remaining time.Duration // how long the client of an upload waits, counted from the upload's last byte
}

// withClient sets the request's client, and how long that client waits.
func (m *message) withClient(c *clientConn, http10 bool, remaining time.Duration) *message {
	m.client = c
	m.http10 = http10
	m.remaining = remaining
	return m
}

// expiresInSize is the space for the X-Expires-In line, in bytes.
const expiresInSize = 40

// maxJoinedMessage is up to how many bytes a message is copied into one buffer, to be written with one call.
const maxJoinedMessage = 8 << 10

// buffersWriter writes several buffers with one call.
type buffersWriter interface {
	writeBuffers(buffers net.Buffers) (int64, error)
}

// writeTo writes the message as an attempt with this deadline sends it; if the deadline is zero, X-Expires-In is left
// out. complete reports whether the last byte was written. A long head or body is not copied: it may have to wait for its
// server. It is one call all the same, because each call may be delayed, and the remaining time that it tells with it.
func (m *message) writeTo(w buffersWriter, deadline time.Time) (complete bool, err error) {
	end := m.appendHeadEnd(make([]byte, 0, expiresInSize), deadline)
	length := len(m.head) + len(end) + len(m.body)
	buffers := net.Buffers{m.head, end, m.body}
	if length <= maxJoinedMessage {
		buffers = net.Buffers{slices.Concat(m.head, end, m.body)}
	}
	n, err := w.writeBuffers(buffers)
	return n == int64(length), err
}

// appendHeadEnd appends X-Expires-In and the empty line.
func (m *message) appendHeadEnd(text []byte, deadline time.Time) []byte {
	if !deadline.IsZero() {
		remaining := time.Until(deadline)
		if m.upload != nil { // the time of an upload counts from its last byte
			remaining = m.remaining
		}
		text = append(text, "X-Expires-In: "...)
		text = strconv.AppendFloat(text, max(0, remaining.Seconds()), 'f', 3, 64)
		text = append(text, "\r\n"...)
	}
	return append(text, "\r\n"...)
}

// message returns the request as it is forwarded, with its body or the beginning of an upload's body. Its version is
// HTTP/1.1, whatever version the client speaks (RFC 9110, 2.5), and its framing fields are written anew.
func (h *requestHead) message(target, host string, body []byte, rest *upload) *message {
	text := make([]byte, 0, len(h.method)+len(target)+len(host)+64+len(h.fieldLines))
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
	for line, rest, more := cutLine(h.fieldLines); more; line, rest, more = cutLine(rest) {
		f, _ := parseField(line) // parseHead has checked it
		if !f.isForwarded() || h.isConnectionOption(&f) {
			continue
		}
		text = append(text, line...)
		text = append(text, "\r\n"...)
	}
	return &message{head: text, body: body, upload: rest}
}
