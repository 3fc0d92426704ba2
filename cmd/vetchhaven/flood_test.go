package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	floodTime     = 3 * time.Second
	maxFloodDelay = 500 * time.Millisecond // how long another client's request may take meanwhile
)

// flood is what one client sends on one connection, as fast as it is taken, and again on a new connection when that ends.
type flood struct {
	name string
	text func(n int) string
}

// Guards against one client that takes the processor or the memory from others.
func TestFloodOfOneClientDoesNotDelayOthers(t *testing.T) {
	server := serveEach(t, answerAll(0, "ok"))
	for _, kind := range []flood{
		{"health checks", func(int) string { return "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n" }},
		{"one ID", func(int) string { return payHead("same") }},
		{"new IDs", func(n int) string { return payHead(fmt.Sprint("new-", n)) }},
		{"new classes", func(n int) string { return requestHead("GET", fmt.Sprint("class-", n), fmt.Sprint("c-", n), "") }},
		{"noise", func(n int) string { return fmt.Sprintf("\x00\xff %d\r\n\r\n", n) }},
		{"expired requests", func(n int) string { return requestHead("GET", "get", fmt.Sprint("e-", n), "X-Expires-In: 0.0001\r\n") }},
	} {
		t.Run(strings.ReplaceAll(kind.name, " ", "_"), func(t *testing.T) {
			eachCommand(t, 2*time.Second, server, func(t *testing.T, p *limitedProcess) {
				end := time.Now().Add(floodTime)
				go floodUntil(p.addr, end, kind.text)
				var slowest time.Duration
				for n := 0; time.Now().Before(end); n++ {
					c := p.dial()
					startedAt := time.Now()
					send(c, requestHead("GET", "get", fmt.Sprint("usual-", n), ""))
					if status, err := readResponse(c, testTimeout); err != nil || status != 200 && status != 503 {
						t.Errorf("a usual client got %d, %v", status, err)
					}
					slowest = max(slowest, time.Since(startedAt))
					c.Close()
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("the slowest answer took %v", slowest)
				if slowest > maxFloodDelay {
					t.Errorf("an answer took %v", slowest)
				}
				p.checkMemory()
			})
		})
	}
}

func floodUntil(addr string, end time.Time, text func(n int) string) {
	for n := 0; time.Now().Before(end); {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		_ = c.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for err == nil {
			_, err = io.WriteString(c, text(n)+text(n+1)+text(n+2)+text(n+3))
			n += 4
		}
		c.Close()
	}
}
