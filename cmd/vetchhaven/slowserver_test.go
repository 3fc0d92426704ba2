package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const lateSlack = 500 * time.Millisecond // how much later than its deadline an answer may come and not count as lost

// pausing answers each request in parts, with a pause between them that is longer than the connect timeout.
func pausing(parts ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		for n, part := range parts {
			if n > 0 {
				time.Sleep(3 * limitedConnect)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

// A response that its server still writes must not be cut off, however long after its head the body begins.
func TestPausingResponseIsNotCutOff(t *testing.T) {
	const size = 150 << 10
	body := strings.Repeat("r", size)
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
	for name, parts := range map[string][]string{
		"length":           {length, body},
		"short":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "hello"},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)},
		"close":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body},
		"within the head":  {"HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n\r\nhello"},
		"within the body":  {length + body[:100], body[100:]},
		"within a chunk":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhello", "hello\r\n0\r\n\r\n"},
		"after the 100":    {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
		"before the close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", ""},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			server := serveEach(t, pausing(parts...))
			eachCommand(t, 2500*time.Millisecond, server, func(t *testing.T, p *limitedProcess) {
				for class, method := range map[string]string{"get": "GET", "pay": "POST"} {
					c := p.dial()
					send(c, requestHead(method, class, "pause-"+class, ""))
					if status, err := readResponse(c, testTimeout); status != 200 || err != nil {
						t.Errorf("%s: %d, %v; log %s", class, status, err, p.log)
					}
				}
			})
		})
	}
}

// upload writes a request of a framing and returns when its last byte was written.
func upload(c net.Conn, chunked bool, size int) time.Time {
	body := strings.Repeat("u", size)
	id := fmt.Sprintf("up-%d-%t", size, chunked)
	head := requestHead("POST", "pay", id, fmt.Sprintf("Content-Length: %d\r\nX-Expires-In: 1.000\r\n", size))
	if chunked {
		head = requestHead("POST", "pay", id, "Transfer-Encoding: chunked\r\nX-Expires-In: 1.000\r\n")
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	send(c, head+body)
	return time.Now()
}

// listenSmall listens with a small receive buffer, which connections inherit, so that their peers' buffers stay small too.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	const size, segment = 4 << 10, 536
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size),
				unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment))
		})
		return errors.Join(err, controlErr)
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// slowReader reads a request at a rate, in bytes per second, and then answers; 0: it stops reading after the head.
func slowReader(rate int) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, _ *bufio.Reader) {
		const interval = 50 * time.Millisecond
		in := bufio.NewReaderSize(c, 2<<10)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if rate == 0 {
			time.Sleep(testTimeout)
			return
		}
		for err == nil {
			_, err = io.CopyN(io.Discard, r.Body, int64(rate)*int64(interval)/int64(time.Second))
			time.Sleep(interval)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against a deadline that starts only when the server has read what the sockets buffer.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	for _, rate := range []int{75_000, 0} {
		for _, size := range []int{200 << 10, 300 << 10, 900 << 10} {
			t.Run(fmt.Sprintf("%d_bytes_at_%d", size, rate), func(t *testing.T) {
				t.Parallel()
				server := serveOn(t, listenSmall(t), slowReader(rate))
				eachCommand(t, time.Second, server, func(t *testing.T, p *limitedProcess) {
					for _, chunked := range []bool{false, true} {
						c := p.dial()
						written := upload(c, chunked, size)
						status, err := readResponse(c, testTimeout)
						late := time.Since(written) - time.Second
						t.Logf("chunked %t: %d, %v, %v after its deadline", chunked, status, err, late)
						if err != nil || late > lateSlack {
							t.Errorf("chunked %t: %d, %v, %v after its deadline", chunked, status, err, late)
						}
						c.Close()
					}
				})
			})
		}
	}
}

// Guards against a deadline that cuts off a client which is still writing.
func TestSlowlyWrittenRequestIsServed(t *testing.T) {
	server := serveEach(t, answerAll(0, "ok"))
	eachCommand(t, time.Second, server, func(t *testing.T, p *limitedProcess) {
		var clients sync.WaitGroup
		defer clients.Wait()
		for n, form := range []string{"Content-Length: 400000\r\n", "Transfer-Encoding: chunked\r\n"} {
			c := p.dial()
			clients.Go(func() {
				send(c, requestHead("POST", "pay", fmt.Sprintf("slow-%d", n), form))
				for range 40 {
					piece := strings.Repeat("s", 10_000)
					if n == 1 {
						piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
					}
					send(c, piece)
					time.Sleep(100 * time.Millisecond)
				}
				if n == 1 {
					send(c, "0\r\n\r\n")
				}
				if status, err := readResponse(c, testTimeout); status != 200 {
					t.Errorf("%s: %d, %v; log %s", form, status, err, p.log)
				}
			})
		}
	})
}
