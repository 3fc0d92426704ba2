package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// A streamed response that never ends, though a byte arrives now and then, is cut off, and its client can detect that.
func TestResponseBelowMinimumRateIsCutOff(t *testing.T) {
	ln := testkit.Listen(t)
	ended := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		for flush := http.NewResponseController(w).Flush; ; {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
			if _, err := w.Write([]byte("x")); err != nil || flush() != nil {
				return
			}
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	s := &standIn{addr: ln.Addr().String()}
	a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
	a.connPool.maxStall = 200 * time.Millisecond
	x := a.do("GET", "/get/x", "")
	if x.err == nil || errors.Is(x.err, context.DeadlineExceeded) {
		t.Errorf("%d, %d bytes, %v: the response looks complete, or never ended", x.status, len(x.body), x.err)
	}
	testkit.Receive(t, "end at the server", ended)
}

// A streamed response whose server writes at 10 kB/s is slower than a slow client, and complete all the same.
func TestResponseOfASlowServerIsNotCutOff(t *testing.T) {
	const pieces, size = 15, 1 << 10
	s := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			_, _ = w.Write(make([]byte, size))
			_ = http.NewResponseController(w).Flush()
		}
	})
	a := startWith(t, s)
	a.connPool.maxStall = 200 * time.Millisecond
	if x := a.do("GET", "/get/x", ""); x.err != nil || len(x.body) != pieces*size {
		t.Errorf("%d, %d bytes, %v", x.status, len(x.body), x.err)
	}
}

// A reset is not the end of a response, not even of one without a length: the part that has arrived is not served as a
// complete response. If the response is not streamed yet, the attempt fails; if it is, its client can detect that it
// is incomplete.
func TestResetDoesNotEndCloseDelimitedResponse(t *testing.T) {
	for name, part := range map[string]string{"nothing": "", "short": "part", "long": strings.Repeat("p", maxBufferedResponse+1)} {
		t.Run(name, func(t *testing.T) {
			ln := testkit.Listen(t)
			began := make(chan struct{})
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+part)
				if name == "long" {
					<-began
				}
				reset(c)
			}()
			s := &standIn{addr: ln.Addr().String()}
			a := start(t, testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{s.member("s")}}))
			c := a.connect(t)
			c.write("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: 0\r\n\r\n")
			if _, err := c.in.Peek(1); err != nil {
				t.Fatal(err)
			}
			close(began)
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if name == "long" {
				if resp.StatusCode != 200 || err == nil {
					t.Errorf("%d, %d bytes, and its client can't detect the reset", resp.StatusCode, len(got))
				}
			} else if resp.StatusCode != http.StatusBadGateway || err != nil {
				t.Errorf("%d %q %v", resp.StatusCode, got, err)
			}
		})
	}
}
