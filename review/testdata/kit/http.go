package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that a backend has received completely.
type Arrival struct {
	ID      string // X-Trace-Id
	Class   string // the first part of the path
	Backend string
	At      time.Time
}

// Backend is a backend of the platform: it answers each request with 200 and a body of its own after its service time.
type Backend struct {
	Name string
	Addr string

	c       *Case
	server  *http.Server
	service atomic.Int64 // ns
	turning atomic.Bool  // turns requests away, as a backend that drains may

	Gauge func(change int64) // hears of each request that begins (1) and ends (-1); nil: nobody does

	mu       sync.Mutex
	arrivals []Arrival
}

// NewBackend starts a backend on a free port.
func (c *Case) NewBackend(name string, service time.Duration) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Addr: ln.Addr().String(), c: c}
	b.service.Store(int64(service))
	b.server = &http.Server{Handler: b, IdleTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(ln) }()
	return b, nil
}

// Member returns the backend as an entry of the list.
func (b *Backend) Member(state string) Server {
	return Server{ID: b.Name, Addr: b.Addr, Zone: "kathmandu", Kind: "old-2core", State: state, Weight: 1}
}

// TurnAway makes the backend turn requests away: 503 with X-Never-Ran.
func (b *Backend) TurnAway(on bool) { b.turning.Store(on) }

// Arrivals returns the requests that came so far.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a := Arrival{ID: r.Header.Get("X-Trace-Id"), Class: class, Backend: b.Name, At: time.Now()}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	if b.turning.Load() {
		b.c.Log("%s: %s: turned away", b.Name, a.ID)
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.c.Log("%s: %s: runs", b.Name, a.ID)
	if b.Gauge != nil {
		b.Gauge(1)
		defer b.Gauge(-1)
	}
	time.Sleep(time.Duration(b.service.Load()))
	_, _ = fmt.Fprintf(w, "%s by %s\n", a.ID, b.Name)
}

// Request is a client's request.
type Request struct {
	ID     string
	Class  string
	Method string
	Key    string // Idempotency-Key; empty: none
	Wait   time.Duration
	Close  bool // the connection ends with the answer
}

// Answer is what a client got.
type Answer struct {
	Status  int // 0: no whole answer
	Body    string
	Written bool // the request was written completely
	Closes  bool // the agent ends the connection
	Err     error
}

// Conn is a client's connection to an agent.
type Conn struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects to an agent.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Ask sends a request and waits for its answer.
func (c *Conn) Ask(r Request) Answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Expires-In: %.3f\r\n", r.Method, r.Class, r.ID, r.Wait.Seconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	if r.Method == http.MethodPost {
		b.WriteString("Content-Length: 4\r\n")
	}
	b.WriteString("\r\n")
	if r.Method == http.MethodPost {
		b.WriteString("form")
	}
	// An answer up to half a second late is late, not lost.
	if err := c.SetDeadline(time.Now().Add(r.Wait + 500*time.Millisecond)); err != nil {
		return Answer{Err: err}
	}
	if n, err := c.Write([]byte(b.String())); err != nil || n < b.Len() {
		return Answer{Err: err}
	}
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return Answer{Written: true, Err: err}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return Answer{Written: true, Err: err}
	}
	return Answer{Status: answer.StatusCode, Body: strings.TrimSpace(string(body)), Written: true, Closes: answer.Close}
}
