package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// executions counts, for each idempotency key, at how many processes its request was executed.
type executions struct {
	mu    sync.Mutex
	count map[string]int
}

// serve returns the handler of one process. It answers requests; keyed ones are executed once, and their connections are
// reset if loseAnswers is set.
func (e *executions) serve(loseAnswers bool) func(net.Conn, *bufio.Reader) {
	executed := map[string]bool{}
	return func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if key := r.Header.Get("Idempotency-Key"); key != "" {
				e.mu.Lock()
				if !executed[key] {
					executed[key] = true
					e.count[key]++
				}
				e.mu.Unlock()
				if loseAnswers {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
			}
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}
}

// endingProcess is the listener and the connections of a process that ends before the test does.
type endingProcess struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (p *endingProcess) add(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *endingProcess) hasClient() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

func (p *endingProcess) end() {
	p.Listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

// Guards against a keyed repeat at a new process, of another zone, at the address of one that has ended.
func TestKeyedRepeatDoesNotGoToAProcessThatTookOverAnAddress(t *testing.T) {
	const (
		requests    = 40
		maxRequests = 10000
		unlisted    = 5 * time.Second // a list may take 6 s to show the new process
	)
	for n, row := range []struct {
		command string
		refused bool // connections are refused between the two processes
	}{{"run", true}, {"serve", true}, {"run", false}, {"serve", false}} {
		t.Run(fmt.Sprintf("%s/refused=%v", row.command, row.refused), func(t *testing.T) {
			t.Parallel()
			executed := executions{count: map[string]int{}}
			losing := serveEach(t, executed.serve(true))
			// The host is the process's own: no connection of another test takes the port between the two processes.
			listener, err := net.Listen("tcp", fmt.Sprintf("127.77.0.%d:0", n+1))
			if err != nil {
				t.Fatal(err)
			}
			addr := listener.Addr().String()
			old := &endingProcess{Listener: listener}
			serveOld := executed.serve(false)
			serveOn(t, old, func(c net.Conn, in *bufio.Reader) {
				old.add(c)
				serveOld(c, in)
			})
			p := startLimited(t, row.command, 2*time.Second, losing.Addr().String(), addr)
			c := p.dial()
			get := func(id string) {
				send(c, requestHead("GET", "get", id, ""))
				if _, err := readResponse(c, testTimeout); err != nil {
					t.Fatalf("%v; log %s", err, p.log)
				}
			}
			for n := 0; n < requests || !old.hasClient(); n++ {
				if n > maxRequests {
					t.Fatal("the agent uses one server only")
				}
				get(fmt.Sprint("before-", n))
			}
			old.end()
			endedAt := time.Now()
			for n := 0; row.refused && n < requests; n++ { // one of them finds that connections are refused
				get(fmt.Sprint("refused-", n))
			}
			taken, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			serveOn(t, taken, executed.serve(false))
			t.Cleanup(func() { taken.Close() })
			for n := 0; n < requests && time.Since(endedAt) < unlisted; n++ {
				get(fmt.Sprint("after-", n))
				put := p.dial()
				id := fmt.Sprint("put-", n)
				send(put, requestHead("POST", "put", id, "Idempotency-Key: "+id+"\r\nContent-Length: 2\r\n")+"ok")
				if _, err := readResponse(put, testTimeout); err != nil {
					t.Errorf("%s: %v", id, err)
				}
			}
			executed.mu.Lock()
			defer executed.mu.Unlock()
			twice := 0
			for id, n := range executed.count {
				if n > 1 {
					twice++
					t.Logf("%s was executed %d times", id, n)
				}
			}
			if twice > 0 {
				t.Errorf("%d of %d keyed requests were executed more than once", twice, len(executed.count))
			}
			if len(executed.count) == 0 {
				t.Error("no keyed request was executed")
			}
		})
	}
}
