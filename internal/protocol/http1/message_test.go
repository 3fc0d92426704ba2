package http1

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// bufferWriter is a buffersWriter that counts its calls.
type bufferWriter struct {
	bytes.Buffer
	calls int
}

func (w *bufferWriter) writeBuffers(buffers net.Buffers) (int64, error) {
	w.calls++
	return buffers.WriteTo(&w.Buffer)
}

// Guards against a server that is told the remaining time of several delayed calls ago.
func TestMessageIsWrittenWithOneCall(t *testing.T) {
	const remaining = time.Minute
	for name, size := range map[string]struct{ fields, body int }{
		"small":     {10, 10},
		"long body": {10, 2 * maxJoinedMessage},
		"long head": {2 * maxJoinedMessage, 10},
		"both long": {2 * maxJoinedMessage, 2 * maxJoinedMessage},
	} {
		t.Run(name, func(t *testing.T) {
			fields := strings.Repeat("x", size.fields)
			body := bytes.Repeat([]byte("b"), size.body)
			m := (&requestHead{method: []byte("POST"), fieldLines: []byte("X: " + fields + "\r\n")}).message("/", "a", body, nil)
			w := &bufferWriter{}
			began := time.Now()
			if complete, err := m.writeTo(w, began.Add(remaining)); err != nil || !complete || w.calls != 1 {
				t.Fatalf("complete %v, %d calls, %v", complete, w.calls, err)
			}
			r, err := http.ReadRequest(bufio.NewReader(&w.Buffer))
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			if _, err := got.ReadFrom(r.Body); err != nil || !bytes.Equal(got.Bytes(), body) || r.Header.Get("X") != fields {
				t.Errorf("the message has changed: %d bytes of its body, %v", got.Len(), err)
			}
			told, err := time.ParseDuration(r.Header.Get("X-Expires-In") + "s")
			if err != nil || told > remaining || told < remaining-time.Since(began)-time.Millisecond {
				t.Errorf("told %v, %v", told, err)
			}
		})
	}
}

// The connections to servers are of the type for which net.Buffers makes one system call.
func TestServerConnectionWritesBuffersWithOneCall(t *testing.T) {
	server := testkit.Listen(t)
	p := poolFor(t, server.Addr().String())
	p.open++
	c, err := p.dial(context.Background(), "s", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, ok := c.Conn.(*net.TCPConn); !ok {
		t.Errorf("the connection is a %T", c.Conn)
	}
}
