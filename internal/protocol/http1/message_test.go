package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"
)

// heldWriter holds each write for a time, and records when the write that completes the head may have begun.
type heldWriter struct {
	hold     time.Duration
	wire     bytes.Buffer
	complete bool
	after    time.Time // the end of the write before that one
}

func (w *heldWriter) Write(p []byte) (int, error) {
	time.Sleep(w.hold)
	w.wire.Write(p)
	w.complete = w.complete || bytes.Contains(w.wire.Bytes(), []byte("\r\n\r\n"))
	if !w.complete {
		w.after = time.Now()
	}
	return len(p), nil
}

// Guards against a server that is told a remaining time of several held writes ago.
func TestRemainingTimeIsToldOfOneHeldWriteAtMost(t *testing.T) {
	const (
		hold      = 100 * time.Millisecond
		remaining = time.Minute
		rounding  = time.Millisecond
	)
	for name, size := range map[string]struct{ fields, body int }{
		"small":     {10, 10},
		"long body": {10, 2 * maxJoinedMessage},
		"long head": {2 * maxJoinedMessage, 10},
		"both long": {2 * maxJoinedMessage, 2 * maxJoinedMessage},
	} {
		t.Run(name, func(t *testing.T) {
			m := &message{
				head: []byte("POST / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", size.fields) + "\r\n"),
				body: make([]byte, size.body),
			}
			deadline := time.Now().Add(remaining)
			w := &heldWriter{hold: hold, after: time.Now()}
			if complete, err := m.writeTo(w, deadline); err != nil || !complete {
				t.Fatalf("complete %v, %v", complete, err)
			}
			r, err := http.ReadRequest(bufio.NewReader(&w.wire))
			if err != nil {
				t.Fatal(err)
			}
			told, err := time.ParseDuration(r.Header.Get("X-Expires-In") + "s")
			if err != nil {
				t.Fatal(err)
			}
			if early := w.after.Sub(deadline.Add(-told)); early > rounding {
				t.Errorf("the remaining time is of %v before the write that tells it", early)
			}
		})
	}
}
