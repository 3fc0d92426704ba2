package http1

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// randomBytes returns a body of n pseudorandom bytes, so that no two parts of it are alike.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(b)
	return b
}

// serveHTTP runs a stand-in with a handler.
func serveHTTP(t *testing.T, f http.HandlerFunc) discovery.Server {
	t.Helper()
	ln := testkit.Listen(t)
	server := &http.Server{Handler: f}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return (&standIn{addr: ln.Addr().String()}).member("s")
}

func startWith(t *testing.T, members ...discovery.Server) *runningAgent {
	t.Helper()
	return start(t, testConfig(t, testkit.ConfigOptions{Servers: members}))
}

// Bodies of any size and framing reach the server unchanged, and its responses the client: with a length, in chunks,
// and delimited by the connection's end.
func TestLargeBodiesPassUnchanged(t *testing.T) {
	s := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		switch r.Header.Get("X-Form") {
		case "length":
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		case "close":
			c, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			_, _ = rw.Write(body)
			_ = rw.Flush()
			return
		}
		for len(body) > 0 { // in chunks, if there is no Content-Length
			n := min(len(body), 3000)
			if _, err := w.Write(body[:n]); err != nil {
				return
			}
			body = body[n:]
		}
	})
	a := startWith(t, s)
	for _, size := range []int{0, 1, maxBufferedResponse, maxBufferedResponse + 1, maxBufferedBody, maxBufferedBody + 1, 3 << 20} {
		body := randomBytes(size)
		for _, up := range []string{"length", "chunks", "pieces"} {
			for _, down := range []string{"length", "chunks", "close"} {
				var in io.Reader = bytes.NewReader(body)
				switch up {
				case "chunks":
					in = io.MultiReader(in) // hides the length
				case "pieces":
					if size > maxBufferedBody+1 {
						continue
					}
					in = iotest.HalfReader(in)
				}
				req, err := http.NewRequest("POST", a.base+"/pay/x", in)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Trace-Id", newID())
				req.Header.Set("X-Form", down)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatalf("%d, %s, %s: %v", size, up, down, err)
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || sha256.Sum256(got) != sha256.Sum256(body) {
					t.Errorf("%d, %s, %s: %d, %d bytes, %v", size, up, down, resp.StatusCode, len(got), err)
				}
			}
		}
	}
	testkit.WaitFor(t, "the end of all requests", func() bool { return a.OpenRequests() == 0 && a.bodyBudget.Free() == int64(a.frontend.cfg.BodyMemory()) })
	if n := a.connPool.responseBudget.Free(); n != int64(a.frontend.cfg.BodyMemory()) {
		t.Errorf("%d bytes of responses stay reserved", int64(a.frontend.cfg.BodyMemory())-n)
	}
}

// The bytes of a large body are forwarded as they arrive, in both directions: neither side waits for the end of the
// body.
func TestBodiesStream(t *testing.T) {
	half := make(chan struct{})
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, req.Body, maxBufferedBody); err != nil {
			return
		}
		half <- struct{}{} // it has arrived, though the client has not sent the rest
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedResponse, strings.Repeat("a", 10))
		<-half
		_, _ = io.WriteString(c, strings.Repeat("b", 2*maxBufferedResponse-10))
	})
	a := startWith(t, s)
	for _, form := range []string{"Content-Length: " + fmt.Sprint(2*maxBufferedBody), "Transfer-Encoding: chunked"} {
		c := a.connect(t)
		write := func(text string) {
			t.Helper()
			if _, err := io.WriteString(c.c, text); err != nil {
				t.Fatal(err)
			}
		}
		chunked := strings.HasPrefix(form, "Transfer")
		part := strings.Repeat("x", maxBufferedBody)
		if chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", maxBufferedBody, part)
		}
		write("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + newID() + "\r\n" + form + "\r\n\r\n" + part)
		if chunked {
			write("1\r\nx\r\n") // one more byte than is buffered
		}
		testkit.Receive(t, "the first half at the server", half)
		if n := a.OpenRequests(); n != 0 {
			t.Errorf("%d requests count as received before their last byte", n)
		}
		if chunked {
			write("0\r\n\r\n")
		} else {
			write(part)
		}
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil || resp.ContentLength != 2*maxBufferedResponse {
			t.Fatalf("%+v %v", resp, err)
		}
		first := make([]byte, 10)
		if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "aaaaaaaaaa" {
			t.Fatalf("%q %v", first, err)
		}
		half <- struct{}{}
		if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) != 2*maxBufferedResponse-10 {
			t.Errorf("%d bytes, %v", len(rest), err)
		}
	}
}

// A long response of unknown length begins to reach its client before its end has arrived.
func TestLongResponseOfUnknownLengthStreams(t *testing.T) {
	hold := make(chan struct{}, 1)
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		every := time.NewTicker(streamAfter / 2)
		defer every.Stop()
		for {
			select {
			case <-hold:
				fmt.Fprintf(c, "0\r\n\r\n")
				return
			case <-every.C:
				if _, err := fmt.Fprintf(c, "5\r\nhello\r\n"); err != nil {
					return
				}
			}
		}
	})
	a := startWith(t, s)
	for _, version := range []string{"1.1", "1.0"} {
		in := a.raw(t, "GET /get/x HTTP/"+version+"\r\nHost: a\r\nX-Trace-Id: "+newID()+"\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil || (len(resp.TransferEncoding) > 0) != (version == "1.1") {
			t.Fatalf("%s: %+v %v", version, resp, err)
		}
		got := make([]byte, 10)
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "hellohello" {
			t.Fatalf("%s: %q %v", version, got, err)
		}
		hold <- struct{}{}
		if rest, err := io.ReadAll(resp.Body); err != nil || strings.ReplaceAll(string(rest), "hello", "") != "" {
			t.Errorf("%s: %q %v", version, rest, err)
		}
	}
}

// A response that is being streamed may go on beyond its client's deadline, and arrives completely.
func TestStreamOutlivesTheDeadline(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\na", 2*maxBufferedResponse)
		time.Sleep(deadline + 200*time.Millisecond)
		_, _ = io.WriteString(c, strings.Repeat("b", 2*maxBufferedResponse-1))
	})
	a := start(t, testConfig(t, testkit.ConfigOptions{Deadline: int(deadline / time.Millisecond), Servers: []discovery.Server{s}}))
	if x := a.do("GET", "/get/x", ""); x.status != 200 || x.err != nil || len(x.body) != 2*maxBufferedResponse {
		t.Errorf("%d, %d bytes, %v", x.status, len(x.body), x.err)
	}
	if late := a.Totals().Late; late != 0 {
		t.Errorf("%d late", late)
	}
}

// If a server ends a streamed response early, the response ends for the client too, and the client can detect that.
// There is no other attempt.
func TestBrokenStreamResetsClient(t *testing.T) {
	for name, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d", 4*maxBufferedResponse), "chunks": "Transfer-Encoding: chunked",
		"chunks, to HTTP/1.0": "Transfer-Encoding: chunked"} { // delimited by the connection's end
		for _, resets := range []bool{false, true} {
			var asked atomic.Int64
			begun := make(chan struct{})
			s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				asked.Add(1)
				text := strings.Repeat("x", 2*maxBufferedResponse)
				if name != "length" {
					text = fmt.Sprintf("%x\r\n%s\r\n", 4*maxBufferedResponse, text)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", head, text)
				<-begun
				if resets {
					reset(c)
				}
			})
			a := startWith(t, s)
			version := "HTTP/1.1"
			if name == "chunks, to HTTP/1.0" {
				version = "HTTP/1.0"
			}
			resp, err := http.ReadResponse(a.raw(t, "GET /get/x "+version+"\r\nHost: a\r\nX-Trace-Id: 1\r\n\r\n"), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%+v %v", resp, err)
			}
			close(begun)
			if n, err := io.Copy(io.Discard, resp.Body); err == nil || asked.Load() != 1 {
				t.Errorf("%s, resets %v: %d bytes, %v, %d requests at the server", name, resets, n, err, asked.Load())
			}
			testkit.WaitFor(t, "the failed request to be counted", func() bool { return a.Status(testkit.EventTimeout).Classes[0].Errored == 1 })
		}
	}
}

// A response whose Content-Length exceeds the limit is invalid, and is not served.
func TestOversizedResponseIsAnError(t *testing.T) {
	s := serveRaw(t, func(int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nxxx", maxBody+1) })
	a := startWith(t, s.member("s"))
	if x := a.do("POST", "/pay/x", ""); x.status != 502 {
		t.Errorf("%+v", x)
	}
}

// upload begins an upload of 4 * maxBufferedBody bytes, and sends its first bytes.
func (r *runningAgent) upload(t *testing.T, sent int) *client {
	t.Helper()
	c := r.connect(t)
	if _, err := fmt.Fprintf(c.c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nContent-Length: %d\r\n\r\n%s", newID(), 4*maxBufferedBody,
		strings.Repeat("x", sent)); err != nil {
		t.Fatal(err)
	}
	return c
}

// A server that fails within an upload has not executed the request, though bytes of a non-idempotent request have
// reached it: the request is refused at once, and the client's connection ends.
func TestServerFailureWithinUpload(t *testing.T) {
	came := make(chan struct{})
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, maxBufferedBody)
		reset(c)
		close(came)
	})
	a := startWith(t, s)
	c := a.upload(t, 2*maxBufferedBody)
	testkit.Receive(t, "reset", came)
	go func() { _, _ = io.Copy(c.c, strings.NewReader(strings.Repeat("x", 2*maxBufferedBody))) }()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Fatalf("%+v %v", resp, err)
	}
	f := a.Status(testkit.EventTimeout).Classes[2]
	if f.Deferred != 1 || f.Sends != 0 {
		t.Errorf("%+v", f)
	}
	testkit.WaitFor(t, "the end of the request", func() bool { return a.OpenRequests() == 0 && a.frontend.openRequests.Load() == 0 })
}

// If a server rejects an upload before its last byte, that response is used.
func TestEarlyRejectionOfUploadIsPassedOn(t *testing.T) {
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, in, maxBufferedBody)
	})
	a := startWith(t, s)
	c := a.upload(t, 4*maxBufferedBody)
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("%+v %v", resp, err)
	}
}

// If a client disconnects within an upload, or sends invalid framing, the upload ends: its server never gets the last
// byte, and the failure does not count against the server.
func TestClientFailureWithinUpload(t *testing.T) {
	ends := make(chan error, 10)
	s := serveConns(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, req.Body)
			ends <- err
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, ok200)
		}
	})
	a := startWith(t, s)
	c := a.upload(t, 2*maxBufferedBody)
	testkit.WaitFor(t, "the upload to begin", func() bool { return a.frontend.openUploads.Load() == 1 })
	c.c.Close()
	if err := testkit.Receive(t, "the end at the server", ends); err == nil {
		t.Error("the server has the complete upload")
	}
	c = a.connect(t)
	if _, err := fmt.Fprintf(c.c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nxyz\r\n", newID(), 2*maxBufferedBody,
		strings.Repeat("x", 2*maxBufferedBody)); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 400 || !resp.Close {
		t.Errorf("%+v %v", resp, err)
	}
	if err := testkit.Receive(t, "the end at the server", ends); err == nil {
		t.Error("the server has the complete upload")
	}
	testkit.WaitFor(t, "the end of both uploads", func() bool { return a.frontend.openRequests.Load() == 0 && a.frontend.openUploads.Load() == 0 })
	f := a.Status(testkit.EventTimeout)
	if f.Avoided != 0 || f.Classes[2].Sends != 0 {
		t.Errorf("%+v", f)
	}
	if x := a.do("POST", "/pay/x", "small"); x.status != 200 {
		t.Errorf("afterwards: %+v", x)
	}
}

// An upload of which nothing was sent is retried at another server if the first one refuses connections.
func TestUploadIsRetriedBeforeItsFirstByte(t *testing.T) {
	got := make(chan int64, 10)
	s := serveHTTP(t, func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	})
	for range 10 {
		dead := (&standIn{addr: testkit.RefusingAddr(t)}).member("dead")
		a := startWith(t, s, dead)
		c := a.upload(t, 4*maxBufferedBody)
		if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v %v", resp, err)
		}
		if n := testkit.Receive(t, "upload", got); n != 4*maxBufferedBody {
			t.Errorf("%d bytes", n)
		}
	}
}

// If no server is available, an upload is refused at once, and the rest of its body is not read as a request.
func TestUploadIsRejectedAtOnce(t *testing.T) {
	a := startWith(t, (&standIn{addr: testkit.RefusingAddr(t)}).member("dead"))
	ctx, cancel := context.WithTimeout(context.Background(), testkit.EventTimeout)
	defer cancel()
	if _, err := a.SetServerDisabled(ctx, "dead", true); err != nil {
		t.Fatal(err)
	}
	c := a.upload(t, 10)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Fatalf("%+v %v", resp, err)
	}
	_, _ = io.WriteString(c.c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: hidden\r\n\r\n")
	if rest, _ := io.ReadAll(c.in); strings.Contains(string(rest), "HTTP/1.1") {
		t.Errorf("the rest of a body was answered: %q", rest)
	}
	if n := a.Totals().Requests; n != 1 {
		t.Errorf("%d requests", n)
	}
}

// A body may arrive at a slow client's rate. A body that arrives byte by byte below the minimum rate, or that stops,
// ends the request within a few seconds, whether the body is buffered or streamed.
func TestBodiesBelowMinimumRateAreCutOff(t *testing.T) {
	s := serveHTTP(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	a := startWith(t, s)
	for _, size := range []int{1000, 4 * maxBufferedBody} {
		c := a.connect(t)
		if _, err := fmt.Fprintf(c.c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nContent-Length: %d\r\n\r\nxxx", newID(), size); err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := c.c.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		start := time.Now()
		if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 408 {
			t.Errorf("%d: %+v %v after %v", size, resp, err, time.Since(start))
		}
	}
}
