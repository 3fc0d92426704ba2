package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const patience = 30 * time.Second

var quiet = slog.New(slog.DiscardHandler)

// settings has one class of each effect and deadlines long enough for a slow machine.
const settings = `{
 "Balancers": 1, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Kinds": ["m1", "m2"], "MembershipMode": "%s",
 "TickMs": 1, "CountedBy": "request",
 "Profiles": [
  {"Name": "get", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "repeatable"},
  {"Name": "put", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "by_key", "Group": "all", "WindowMs": 60000},
  {"Name": "pay", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "once"}],
 "PolicyLimits": {"TryLimit": 3, "ConnectTimeoutMs": 10000, "IdleCloseMs": 60000, "MaxOpen": 1000,
  "RetryAfter": true, "MaxRetryAfterMs": 1500, "MayProbe": true, "Cancel": true, "SecondCopies": true},
 "Contract": {"AskWithinMs": 1000, "DrainGraceMs": 1000, "GraceToAnswerMs": 20, "ColdFrom": 0.5, "RampTimeMs": 1000, "FallMultiple": 3, "FallMs": 1000},
 "Goal": {"Whole": 1}, "Report": {"Source": "inline"}}`

type setup struct {
	mode      string // of discovery; "" is automatic
	deadline  int    // of all classes, ms; 0: 60 s
	discovery string
	servers   []member
}

func testConfig(t *testing.T, s setup) *Config {
	t.Helper()
	if s.mode == "" {
		s.mode = "automatic"
	}
	if s.deadline == 0 {
		s.deadline = 60000
	}
	if s.discovery == "" {
		s.discovery = deadAddr(t)
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    members{Version: 41, Full: true, Servers: s.servers},
		"settings": json.RawMessage(fmt.Sprintf(settings, s.mode, s.deadline)),
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(raw, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// deadAddr is an address at which nothing listens.
func deadAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// running is an agent under test.
type running struct {
	*Agent
	base string
	stop context.CancelFunc
	done chan error
}

func start(t *testing.T, cfg *Config) *running {
	t.Helper()
	now := make(chan time.Time)
	close(now)
	return startUntil(t, cfg, now)
}

// startUntil runs an agent that, once stopped, takes connections until accept is closed.
func startUntil(t *testing.T, cfg *Config, accept <-chan time.Time) *running {
	t.Helper()
	a, err := New(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Agent: a, base: "http://" + a.Addr().String(), stop: cancel, done: make(chan error, 1)}
	a.discovery.silence = 2 * patience // a slow machine is no dead discovery
	a.accept = func() <-chan time.Time { return accept }
	go func() { r.done <- a.Run(ctx); close(r.done) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-r.done:
		case <-time.After(2 * patience):
			t.Error("the agent did not stop")
		}
	})
	return r
}

// exchange is one client request to the agent: what came back, with its whole body.
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

func (r *running) request(ctx context.Context, method, path, body string, headers ...string) (*http.Request, error) {
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

func (r *running) do(method, path, body string, headers ...string) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// raw writes text to the agent on a connection of its own and returns what comes back.
func (r *running) raw(t *testing.T, text string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(c)
}

// backend is a server that answers with handle and counts what reached it.
type backend struct {
	addr string
	seen chan string // the id of each request that came whole
}

// serveRaw runs a backend that reads each request whole and writes what answer says, byte for
// byte. An empty answer closes the connection.
func serveRaw(t *testing.T, answer func(n int) string) *backend {
	t.Helper()
	ln := listen(t)
	b := &backend{addr: ln.Addr().String(), seen: make(chan string, 100)}
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

// resetting is a listener that resets each connection at once.
func resetting(t *testing.T) net.Listener {
	t.Helper()
	ln := listen(t)
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

// reset closes a connection with a reset in place of an end.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// dialUntilReset dials, and returns once the other side has reset the connection: with that error.
func dialUntilReset(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	return nil, err
}

func (b *backend) member(id string) member {
	return member{ID: id, Addr: b.addr, Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// waitFor polls what has no channel to wait on.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
