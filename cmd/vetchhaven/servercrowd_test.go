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

// Guards against memory that servers make the process hold for hundreds of clients that read nothing.
func TestCrowdAtBadServersStaysWithinTheLeastMemory(t *testing.T) {
	fields := strings.Repeat("a:\r\n", 3500)
	body := strings.Repeat("b", 60<<10)
	for _, kind := range []struct {
		name    string
		respond func(c net.Conn)
	}{
		{"heads of many fields", func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", fields)
		}},
		{"bodies that stop half way", func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(body), body)
		}},
		{"bodies that never end", func(c net.Conn) {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 3<<30)
			for err == nil {
				_, err = io.WriteString(c, body)
			}
		}},
	} {
		t.Run(strings.ReplaceAll(kind.name, " ", "_"), func(t *testing.T) {
			server := serveEach(t, func(c net.Conn, in *bufio.Reader) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					kind.respond(c)
				}
			})
			eachCommand(t, 1200*time.Millisecond, server, func(t *testing.T, p *limitedProcess) {
				var clients sync.WaitGroup
				for n := range crowdSize {
					c := p.dial()
					_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
					clients.Go(func() {
						if send(c, requestHead("GET", "get", fmt.Sprint("crowd-", n), "")) {
							time.Sleep(crowdTime)
						}
					})
				}
				clients.Wait()
				p.checkMemory()
			})
		})
	}
}
