package http1

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

func testConfig(t *testing.T, s testkit.ConfigOptions) *core.Config {
	t.Helper()
	cfg, err := core.ParseConfig(testkit.Config(t, s), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// runningAgent is an agent under test.
type runningAgent struct {
	*core.Agent
	*protocol
	base string
	stop context.CancelFunc
	done chan error
}

func start(t *testing.T, cfg *core.Config) *runningAgent {
	t.Helper()
	now := make(chan time.Time)
	close(now)
	return startUntil(t, cfg, now)
}

// startUntil runs an agent that, once stopped, accepts connections until accept is closed.
func startUntil(t *testing.T, cfg *core.Config, accept <-chan time.Time) *runningAgent {
	t.Helper()
	return startParts(t, cfg, core.Options{StopAccepting: accept}, nil)
}

// startParts runs an agent with these parts. It first calls ready with the agent, if ready is not nil.
func startParts(t *testing.T, cfg *core.Config, p core.Options, ready func(*core.Agent)) *runningAgent {
	t.Helper()
	p.HeartbeatTimeout = cmp.Or(p.HeartbeatTimeout, 2*testkit.EventTimeout) // a slow machine is no failure of discovery
	a, proto, err := newAgent(cfg, testkit.DiscardLogger, p)
	if err != nil {
		t.Fatal(err)
	}
	if ready != nil {
		ready(a)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningAgent{Agent: a, protocol: proto, base: "http://" + a.Addr().String(), stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- a.Run(ctx); close(r.done) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-r.done:
		case <-time.After(2 * testkit.EventTimeout):
			t.Error("the agent did not stop")
		}
	})
	return r
}

// waitListed returns once a change of the endpoint list that adds the server has been applied.
func (r *runningAgent) waitListed(t *testing.T, server string) {
	t.Helper()
	testkit.WaitFor(t, "the change of the endpoint list", func() bool {
		r.connPool.mu.Lock()
		defer r.connPool.mu.Unlock()
		_, known := r.connPool.addresses.Addr(server)
		return known
	})
}

// exchange is the response to one client request to the agent, with its complete body.
type exchange struct {
	status int
	header http.Header
	body   string
	err    error
}

var ids struct {
	sync.Mutex
	n int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", ids.n)
}

func (r *runningAgent) request(ctx context.Context, method, path, body string, headers ...string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", newID())
	for i := 0; i < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req, nil
}

func (r *runningAgent) do(method, path, body string, headers ...string) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), testkit.EventTimeout)
	defer cancel()
	req, err := r.request(ctx, method, path, body, headers...)
	if err != nil {
		return exchange{err: err}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return exchange{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return exchange{resp.StatusCode, resp.Header, string(text), err}
}

// raw writes text to the agent on a new connection, and returns a reader of the bytes that come back.
func (r *runningAgent) raw(t *testing.T, text string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(c)
}

// standIn is a test server that records the requests that reach it.
type standIn struct {
	addr string
	seen chan string // the ID of each request that arrived completely
}

// serveRaw runs a stand-in that reads each request completely and writes the bytes that answer returns for it; n
// counts the requests from 0. The connection is closed if the answer is empty, and after an answer that contains
// TRUNCATED.
func serveRaw(t *testing.T, answer func(n int) string) *standIn {
	t.Helper()
	ln := testkit.Listen(t)
	b := &standIn{addr: ln.Addr().String(), seen: make(chan string, 100)}
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					mu.Lock()
					k := n
					n++
					mu.Unlock()
					b.seen <- req.Header.Get("X-Trace-Id")
					text := answer(k)
					if _, err := io.WriteString(c, text); err != nil || text == "" || strings.Contains(text, "TRUNCATED") {
						return
					}
				}
			}()
		}
	}()
	return b
}

// serveConns runs a stand-in whose connections are handled by f.
func serveConns(t *testing.T, f func(c net.Conn, in *bufio.Reader)) discovery.Server {
	t.Helper()
	ln := testkit.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return (&standIn{addr: ln.Addr().String()}).member("s")
}

// resetting is a listener that resets each connection at once.
func resetting(t *testing.T) net.Listener {
	t.Helper()
	ln := testkit.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			reset(c)
		}
	}()
	return ln
}

// reset closes a connection by a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// dialUntilReset dials, waits until the other side has reset the connection, and returns that error.
func dialUntilReset(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	return nil, err
}

func (b *standIn) member(id string) discovery.Server {
	return discovery.Server{ID: id, Addr: b.addr, Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
