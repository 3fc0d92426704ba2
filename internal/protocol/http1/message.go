package http1

import (
	"net/http"
	"strconv"
	"time"
)

// message is a client's request as it goes on to backends: the same for every attempt, but for
// how long the agent will wait.
type message struct {
	head      []byte // the request line and headers, without X-Expires-In and the empty line
	body      []byte
	upload    *upload     // what is to come of the body; nil: nothing
	client    *clientConn // whose client may get an answer as it comes; nil: none may
	http10    bool        // that client speaks HTTP/1.0
	remaining time.Duration
}

// withClient says whose request it is, and for how long its client waits.
func (m *message) withClient(c *clientConn, old bool, wait time.Duration) *message {
	m.client, m.http10, m.remaining = c, old, wait
	return m
}

// encode is the whole message as written at an attempt that waits until then.
func (m *message) encode(until time.Time) []byte {
	text := make([]byte, 0, len(m.head)+len(m.body)+40)
	text = append(text, m.head...)
	if !until.IsZero() {
		wait := time.Until(until)
		if m.upload != nil { // counted from its last byte
			wait = m.remaining
		}
		text = append(text, "X-Expires-In: "...)
		text = strconv.AppendFloat(text, max(0, wait.Seconds()), 'f', 3, 64)
		text = append(text, "\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, m.body...)
}

// message is the request as it goes on, with its body, or with the beginning of one that is an upload.
func (h *requestHead) message(target, host string, body []byte, up *upload) *message {
	text := make([]byte, 0, len(h.method)+len(target)+len(host)+64+h.size())
	text = append(append(append(text, h.method...), ' '), target...)
	text = append(append(append(text, " HTTP/1.1\r\nHost: "...), host...), "\r\n"...)
	switch {
	case string(h.method) == http.MethodGet:
	case up != nil && up.body.length < 0:
		text = append(text, "Transfer-Encoding: chunked\r\n"...)
		body = appendChunk(nil, body)
	default:
		n := len(body)
		if up != nil {
			n = int(up.body.length)
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
		text = append(append(text, f.line...), "\r\n"...)
	}
	return &message{head: text, body: body, upload: up}
}
