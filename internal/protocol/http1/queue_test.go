package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// Connections in the kernel's accept queue are accepted before a stopping agent closes its listener. The agent used to
// close the listener without checking the queue, and the last close of a listening socket resets the connections in
// its queue: a client that had connected and sent its request saw "connection reset by peer" or a broken pipe (8 of
// 1,312 connections over 20 stops).
func TestQueuedConnectionIsServedBeforeTheListenerCloses(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	held := make(chan struct{})
	l := testkit.HeldListener{TCPListener: testkit.Listen(t).(*net.TCPListener), Release: held}
	accept := make(chan time.Time)
	r := startParts(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}),
		core.Options{Listener: l, StopAccepting: accept}, nil)
	const queued = 5
	answers := make(chan exchange, queued)
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() { answers <- askOn(c) }()
	}
	r.stop()
	close(accept)
	time.Sleep(50 * time.Millisecond) // the agent has closed its listener, or has begun to
	close(held)
	for range queued {
		if got := testkit.Receive(t, "answer", answers); got.err != nil || got.status != 200 {
			t.Errorf("%+v", got)
		}
	}
	if err := testkit.Receive(t, "end of the agent", r.done); err != nil {
		t.Error(err)
	}
}

// askOn sends a request on a connection, and reads the response.
func askOn(c net.Conn) exchange {
	if err := c.SetDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		return exchange{err: err}
	}
	if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
		return exchange{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return exchange{err: err}
	}
	return exchange{status: resp.StatusCode}
}

// The time that a request has waited in the kernel's accept queue counts towards its deadline. With idle clients in
// all slots, a new connection is accepted 0.25 s late (minSilent), and the deadline of the request on it used to count
// from then: its server was given 532 ms when the client had 236 ms left (soak test, seeds 3, 4 and 12 with a crowd;
// 0.15 s is allowed), and the answer could be late by the same time.
func TestAcceptQueueTimeCountsTowardsDeadline(t *testing.T) {
	const largeBody = 30 << 10 // more than is read with the head
	for name, row := range map[string]struct{ readSize, bodySize int }{
		"in one read":        {1 << 20, 0},
		"in short reads":     {20, 0},
		"with a body behind": {1 << 20, largeBody},
	} {
		t.Run(name, func(t *testing.T) { requestFromTheAcceptQueue(t, row.readSize, row.bodySize) })
	}
}

// requestFromTheAcceptQueue lets a request with a body wait in the queue; the agent reads at most readSize bytes at a
// time.
func requestFromTheAcceptQueue(t *testing.T, readSize, bodySize int) {
	const (
		wait  = 400 * time.Millisecond
		left  = 20.0 // seconds
		slack = 0.05
	)
	expiresIn := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { expiresIn <- r.Header.Get("X-Expires-In") }))
	t.Cleanup(server.Close)
	member := discovery.Server{ID: "s", Addr: server.Listener.Addr().String(), Zone: "a", Kind: "m1", State: "ready", Weight: 1}
	held := make(chan struct{})
	l := shortReads{testkit.HeldListener{TCPListener: testkit.Listen(t).(*net.TCPListener), Release: held}, readSize}
	startParts(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{member}}), core.Options{Listener: l, NoLateConnections: true}, nil)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := headOf("get", "queued", fmt.Sprintf("X-Expires-In: %g", left))
	if bodySize > 0 {
		head := headOf("get", "queued", fmt.Sprintf("X-Expires-In: %g", left), fmt.Sprintf("Content-Length: %d", bodySize))
		text = strings.Replace(head, "GET /get", "POST /pay", 1) + strings.Repeat("b", bodySize)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	time.Sleep(wait)
	close(held)
	got, err := strconv.ParseFloat(testkit.Receive(t, "the request", expiresIn), 64)
	if most := left - wait.Seconds() + slack; err != nil || got > most {
		t.Errorf("the server was told %v s (%v), at most %v s were left", got, err, most)
	}
}

// shortReads accepts connections on which a read returns at most the given number of bytes.
type shortReads struct {
	testkit.HeldListener
	most int
}

// Accept implements net.Listener.
func (l shortReads) Accept() (net.Conn, error) {
	c, err := l.HeldListener.Accept()
	if err != nil {
		return nil, err
	}
	return shortReadConn{c.(*net.TCPConn), l.most}, nil
}

// shortReadConn is a connection on which a read returns at most the given number of bytes.
type shortReadConn struct {
	*net.TCPConn
	most int
}

// Read implements net.Conn.
func (c shortReadConn) Read(p []byte) (int, error) { return c.TCPConn.Read(p[:min(len(p), c.most)]) }
