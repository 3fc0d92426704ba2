package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// arrivalTimes is a server that records when each request arrives, and answers it after answerTime.
type arrivalTimes struct {
	net.Listener
	mu       sync.Mutex
	arrivals []time.Time
}

func newArrivalTimes(t *testing.T, answerTime time.Duration) *arrivalTimes {
	t.Helper()
	s := &arrivalTimes{}
	s.Listener = serveEach(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			s.mu.Lock()
			s.arrivals = append(s.arrivals, time.Now())
			s.mu.Unlock()
			time.Sleep(answerTime)
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	return s
}

// takeAfter returns how many requests have arrived after a time, and forgets all.
func (s *arrivalTimes) takeAfter(limit time.Time) (late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrivals {
		if at.After(limit) {
			late++
		}
	}
	s.arrivals = nil
	return late
}

// Guards against attempts for a client whose close stands behind bytes that nobody has read.
func TestRequestsOfAClientThatHasClosedAreNotSent(t *testing.T) {
	const answerTime, slack = 30 * time.Millisecond, 150 * time.Millisecond
	pipelined := func(n int) string {
		var text strings.Builder
		for i := range n {
			text.WriteString(payHead(fmt.Sprintf("pipelined-%d-%d-%d", n, i, time.Now().UnixNano())))
		}
		return text.String()
	}
	for name, more := range map[string]func() string{
		"a few requests": func() string { return pipelined(20) },
		"many requests":  func() string { return pipelined(5000) },
		"a flood":        func() string { return strings.Repeat("x", 3<<20) },
		"health checks":  func() string { return strings.Repeat("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n", 500) + pipelined(50) },
		"a body in between": func() string {
			return requestHead("POST", "pay", fmt.Sprint("b", time.Now().UnixNano()), "Content-Length: 900000\r\n") + strings.Repeat("b", 900000) + pipelined(200)
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			for _, command := range []string{"run", "serve"} {
				t.Run(command, func(t *testing.T) {
					t.Parallel()
					server := newArrivalTimes(t, answerTime)
					p := startLimited(t, command, 2*time.Second, server.Addr().String())
					for round := range 3 {
						c, err := net.Dial("tcp", p.addr)
						if err != nil {
							t.Fatal(err)
						}
						text := payHead(fmt.Sprintf("first-%s-%s-%d", command, strings.ReplaceAll(name, " ", "-"), round)) + more()
						_ = c.SetWriteDeadline(time.Now().Add(time.Second))
						_, _ = io.WriteString(c, text)
						c.Close()
						closed := time.Now()
						time.Sleep(5 * slack)
						if late := server.takeAfter(closed.Add(slack)); late > 0 {
							t.Errorf("%d requests reached the server later than %v after the close", late, slack)
						}
					}
				})
			}
		})
	}
}
