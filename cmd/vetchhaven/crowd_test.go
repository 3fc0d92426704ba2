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

const (
	crowdSize = 500             // clients at once
	crowdTime = 4 * time.Second // longer than a client may take for a head
	largeBody = 600 << 10       // bytes; more than is buffered of a request
)

// crowd is what each client of a crowd does on its connection.
type crowd struct {
	name string
	act  func(c net.Conn, n int)
}

func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// trickle writes a text in small pieces.
func trickle(c net.Conn, text string) {
	for len(text) > 0 {
		n := min(len(text), 1200)
		if !send(c, text[:n]) {
			return
		}
		text = text[n:]
		time.Sleep(100 * time.Millisecond)
	}
}

func crowds() []crowd {
	shortFields := strings.Repeat("a:\r\n", 4000)
	id := func(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n) }
	length := fmt.Sprintf("Content-Length: %d\r\n", largeBody)
	half := strings.Repeat("x", largeBody/2)
	return []crowd{
		{"heads of short fields", func(c net.Conn, n int) {
			for i := 0; send(c, requestHead("GET", "get", id("fields", n*1000+i), shortFields)); i++ {
				if _, err := readResponse(c, crowdTime); err != nil {
					return
				}
			}
		}},
		{"connection options", func(c net.Conn, n int) {
			options := "Connection: " + strings.Repeat("a,", 4000) + "\r\n"
			send(c, requestHead("GET", "get", id("options", n), options+strings.Repeat("b:\r\n", 1500)))
			_, _ = readResponse(c, crowdTime)
		}},
		{"heads that stop", func(c net.Conn, n int) {
			send(c, strings.TrimSuffix(requestHead("GET", "get", id("stop", n), shortFields), "\r\n"))
			_, _ = readResponse(c, crowdTime)
		}},
		{"heads written slowly", func(c net.Conn, n int) {
			trickle(c, requestHead("GET", "get", id("slow", n), shortFields))
			_, _ = readResponse(c, crowdTime)
		}},
		{"bodies that stop half way", func(c net.Conn, n int) {
			send(c, requestHead("POST", "pay", id("half", n), length)+half)
			_, _ = readResponse(c, crowdTime)
		}},
		{"chunked bodies that stop half way", func(c net.Conn, n int) {
			send(c, requestHead("POST", "pay", id("chunked", n), "Transfer-Encoding: chunked\r\n")+
				fmt.Sprintf("%x\r\n%s", largeBody, half))
			_, _ = readResponse(c, crowdTime)
		}},
		{"small bodies that stop half way", func(c net.Conn, n int) {
			send(c, requestHead("POST", "pay", id("small", n), "Content-Length: 60000\r\n")+half[:40000])
			_, _ = readResponse(c, crowdTime)
		}},
		{"long responses read slowly", func(c net.Conn, n int) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			send(c, requestHead("GET", "get", id("read", n), "X-Long: 1\r\n"))
			buf := make([]byte, 4<<10)
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if _, err := c.Read(buf); err != nil {
					return
				}
			}
		}},
	}
}

// mixedCrowd returns a crowd whose clients do what those of the others do, in turn.
func mixedCrowd(of []crowd) crowd {
	return crowd{"all of them", func(c net.Conn, n int) { of[n%len(of)].act(c, n) }}
}

// Guards against memory that hundreds of slow clients make the process hold beside its budgets.
func TestCrowdOfSlowClientsStaysWithinTheLeastMemory(t *testing.T) {
	long := strings.Repeat("r", 8<<20)
	kinds := crowds()
	for _, kind := range append(kinds, mixedCrowd(kinds)) {
		t.Run(strings.ReplaceAll(kind.name, " ", "_"), func(t *testing.T) {
			server := serveEach(t, func(c net.Conn, in *bufio.Reader) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body := "ok"
					if r.Header.Get("X-Long") != "" {
						body = long
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
					if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
						return
					}
				}
			})
			eachCommand(t, 1200*time.Millisecond, server, func(t *testing.T, p *limitedProcess) {
				var clients sync.WaitGroup
				for n := range crowdSize {
					c, err := net.Dial("tcp", p.addr)
					if err != nil {
						t.Fatal(err)
					}
					clients.Go(func() {
						defer c.Close()
						end := time.AfterFunc(crowdTime, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
						defer end.Stop()
						kind.act(c, n)
					})
				}
				clients.Wait()
				p.checkMemory()
				c := p.dial()
				send(c, requestHead("GET", "get", "usual", ""))
				if status, err := readResponse(c, testTimeout); status != 200 {
					t.Errorf("a usual client got %d, %v; log %s", status, err, p.log)
				}
			})
		})
	}
}
