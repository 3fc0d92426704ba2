package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// No head causes a panic. An accepted head is forwarded as exactly one request, which another parser reads alike, with
// no bytes after it.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET /get/x?a=1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\n\r\n"))
	f.Add([]byte("POST /put//x%2Fy HTTP/1.1\nHost: a\nX-Trace-Id: 1\nContent-Length: 4\nConnection: X-Hop, close\nX-Hop: 1\n\n"))
	f.Add([]byte("GET http://b/get/x HTTP/1.0\r\nX-Trace-Id: 1\r\nExpect: 100-continue\r\n\r\n"))
	f.Add([]byte("GET /get HTTP/1.1\r\nHost: a\r\n folded: x\r\n\r\n"))
	f.Add([]byte("GET /get HTTP/1.1\r\nHost: a\r\nX: a\rb\r\nTransfer-Encoding : chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n := headEnd(raw, 0)
		for searched := range raw { // the same end is found however the bytes arrive
			if headEnd(raw[:searched], 0) == 0 && headEnd(raw, searched) != n {
				t.Errorf("%q: end at %d, and at %d after %d bytes", raw, n, headEnd(raw, searched), searched)
			}
		}
		if n == 0 {
			return
		}
		h, err := parseHead(raw[:n])
		if err != nil || h.hasTransferCoding || h.length > 100 {
			return
		}
		first, target, host, err := h.route()
		if err != nil {
			return
		}
		body := bytes.Repeat([]byte("b"), int(h.length))
		if string(h.method) == http.MethodGet {
			body = nil
		}
		m := h.message(target, host, body, nil)
		var wire bufferWriter
		if complete, err := m.writeTo(&wire, time.Time{}); err != nil || !complete {
			t.Fatalf("complete %v, %v", complete, err)
		}
		in := bufio.NewReader(&wire.Buffer)
		got, err := http.ReadRequest(in)
		if err != nil {
			if string(h.method) == http.MethodGet || string(h.method) == http.MethodPost {
				t.Errorf("%q was forwarded as %q: %v", raw, m.head, err)
			}
			return
		}
		rest, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(rest, body) || len(got.TransferEncoding) > 0 {
			t.Errorf("%q was forwarded as %q: body %q, %v", raw, m.head, rest, err)
		}
		if _, err := in.ReadByte(); err == nil {
			t.Errorf("%q was forwarded as %q: bytes follow it", raw, m.head)
		}
		if h.idCount == 1 && !h.isConnectionOption(&field{name: []byte("X-Trace-Id")}) && got.Header.Get("X-Trace-Id") != string(h.id) {
			t.Errorf("%q: id %q became %q", raw, h.id, got.Header.Get("X-Trace-Id"))
		}
		part, _, _ := strings.Cut(strings.TrimPrefix(got.URL.Path, "/"), "/")
		if part != first {
			t.Errorf("%q: class from %q, the other parser reads %q", raw, first, part)
		}
	})
}

// roundTrip writes on a connection and reads one response.
func roundTrip(t *testing.T, c net.Conn, in *bufio.Reader, text string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp
}

// A client connection is kept open after a response, accepts requests in pieces and pipelined requests, and announces
// its close in the last response.
func TestConnectionIsReused(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	get := func() string { return fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()) }
	for range 3 {
		if resp := roundTrip(t, c, in, get()); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("%+v", resp)
		}
	}
	// The request arrives byte by byte, after empty lines.
	for _, b := range []byte("\r\n\r\n" + get()) {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	if resp := roundTrip(t, c, in, ""); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
	// Three pipelined requests get one response each, in their order.
	post := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nContent-Length: 3\r\n\r\nabc", newID())
	if resp := roundTrip(t, c, in, get()+post+get()); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
	for range 2 {
		if resp := roundTrip(t, c, in, ""); resp.StatusCode != 200 {
			t.Errorf("%+v", resp)
		}
	}
	// The client waits for a 100 (Continue) response before it sends the body.
	if _, err := fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n", newID()); err != nil {
		t.Fatal(err)
	}
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("%q, %v", line, err)
	}
	if line, err := in.ReadString('\n'); err != nil || line != "\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	if resp := roundTrip(t, c, in, "abc"); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
	last := strings.Replace(get(), "Host: a", "Host: a\r\nConnection: close", 1)
	if resp := roundTrip(t, c, in, last); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%+v", resp)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("not closed after its last response: %v", err)
	}
}

// A request with HTTP/1.0 is served, and its connection is closed.
func TestHTTP10ClientIsServed(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	in := a.raw(t, "GET /get/x HTTP/1.0\r\nX-Trace-Id: "+newID()+"\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	if rest, err := io.ReadAll(in); err != nil || string(rest) != "hello" {
		t.Errorf("%q, %v", rest, err)
	}
}

// A part of the next request that arrives early does not end the wait for the current response: the time limit for the
// next request's head counts from that response.
func TestPartialNextRequestIsAwaited(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	next := fmt.Sprintf("GET /get/y HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID())
	if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n%s", newID(), next[:20]); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the first", s.seen)
	time.Sleep(core.HeadTimeout + 200*time.Millisecond) // longer than a head may take
	close(hold)
	in := bufio.NewReader(c)
	if resp := roundTrip(t, c, in, ""); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
	if resp := roundTrip(t, c, in, next[20:]); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
}

// Some clients send an empty line after a body. It does not begin the next request: the connection is idle after the
// response, and occupies no slot for which others wait.
func TestEmptyLineAfterBodyIsIgnored(t *testing.T) {
	hold := make(chan struct{})
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	in := a.raw(t, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "+newID()+"\r\nContent-Length: 1\r\n\r\nx\r\n")
	testkit.Receive(t, "the request", s.seen)
	close(hold)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	testkit.WaitFor(t, "the connection to be idle", func() bool { return a.Limiter().Counts().Idle == 1 })
}

// A request with thousands of options in Connection would cost a comparison for each option and field line.
func TestTooManyConnectionOptionsAreRejected(t *testing.T) {
	a := start(t, testConfig(t, testkit.ConfigOptions{}))
	for n, status := range map[int]int{maxConnectionOptions: http.StatusServiceUnavailable, maxConnectionOptions + 1: http.StatusBadRequest} {
		options := strings.Repeat("x,", n)
		in := a.raw(t, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "+newID()+"\r\nConnection: "+options+"\r\n\r\n")
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != status {
			t.Errorf("%d options: %+v, %v", n, resp, err)
		}
	}
}
