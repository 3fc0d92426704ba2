package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"brookferry"
	"brookferry/internal/wire"
)

const maxBody = 64 << 10 // the protocol's limit on bodies, both ways

var (
	errTimedOut  = errors.New("timed out")
	errCancelled = errors.New("cancelled")
	errNoSocket  = errors.New("no file descriptor left for another connection")
	errMoved     = errors.New("the backend has no address")
)

// message is a client's request as it goes on to backends: the same for every attempt.
type message struct {
	method string
	host   string
	url    *url.URL // path and query only
	header http.Header
	body   []byte
}

// answer is a backend's whole 200 answer.
type answer struct {
	header http.Header
	body   []byte
}

// backends holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type backends struct {
	cfg       *Config
	log       *slog.Logger
	transport *http.Transport
	keepIdle  time.Duration
	most      int // connections at once

	mu    sync.Mutex
	addrs map[string]string  // by backend id
	idle  map[string][]*conn // by backend id, the latest used last
	open  int                // idle, in use or being dialled
}

// conn is one connection. It carries one request at a time.
type conn struct {
	*http.ClientConn
	net   *countedConn
	addr  string
	since time.Time // idle since then
}

func newBackends(cfg *Config, log *slog.Logger) *backends {
	b := &backends{cfg: cfg, log: log, most: backendSockets(cfg.Sockets),
		// Backends may close an idle connection at IdleClose; a request that crosses that is lost
		// as a reset that may have run. A quarter of the time is far more than any network takes.
		keepIdle: cfg.Site.IdleClose * 3 / 4,
		addrs:    map[string]string{}, idle: map[string][]*conn{}}
	b.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		// The dialled connection goes into the context's slot, which tells what was written on it.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			counted := &countedConn{Conn: c}
			if slot, ok := ctx.Value(slotKey{}).(*countedSlot); ok {
				slot.conn = counted
			}
			return counted, nil
		},
	}
	return b
}

type (
	slotKey     struct{}
	countedSlot struct{ conn *countedConn }
)

// countedConn knows what was written of the request it carries. net/http's own word for this
// can come after RoundTrip has returned; a count under a lock is exact once the connection
// is closed, since nothing can be written after that.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	wrote  int  // bytes of the present request
	failed bool // a write ended short: the request's last byte was not written
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.wrote += n
	c.failed = c.failed || err != nil
	return n, err
}

func (c *countedConn) begin() {
	c.mu.Lock()
	c.wrote, c.failed = 0, false
	c.mu.Unlock()
}

// neverWhole closes the connection and reports whether the request is known not to have been
// written to its last byte. Writes of one request are in order and end with the first failure.
func (c *countedConn) neverWhole() bool {
	c.Conn.Close() // frees a Write that holds the lock
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote == 0 || c.failed
}

// update takes a change of the list. Connections to a backend that is gone or has moved are
// closed: under its new address another process answers.
func (b *backends) update(e listEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.list.Kind != brookferry.ListDelta && e.list.Kind != brookferry.ListFailed {
		for id := range b.addrs {
			if _, listed := e.addrs[id]; !listed {
				b.forget(id)
			}
		}
	}
	for _, m := range e.list.Backends {
		addr, ok := e.addrs[m.ID]
		if !ok || b.addrs[m.ID] != addr {
			b.forget(m.ID)
		}
		if ok {
			b.addrs[m.ID] = addr
		}
	}
}

// forget drops a backend's address and its idle connections. The lock is held.
func (b *backends) forget(id string) {
	delete(b.addrs, id)
	for _, c := range b.idle[id] {
		b.drop(c)
	}
	delete(b.idle, id)
}

// drop closes a connection. The lock is held; closing a socket does not block.
func (b *backends) drop(c *conn) {
	b.open--
	c.Close()
}

// take returns an idle connection to a backend, or the address at which to dial one.
func (b *backends) take(id string) (*conn, string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addrs[id]
	if !ok {
		return nil, "", errMoved
	}
	for n := len(b.idle[id]); n > 0; n = len(b.idle[id]) {
		c := b.idle[id][n-1]
		b.idle[id] = b.idle[id][:n-1]
		if c.Err() == nil && time.Since(c.since) < b.keepIdle {
			return c, addr, nil
		}
		b.drop(c)
	}
	if b.open >= b.most && !b.evict() {
		return nil, "", errNoSocket
	}
	b.open++
	return nil, addr, nil
}

// evict closes the connection that has been idle longest, whosever it is.
func (b *backends) evict() bool {
	var oldest string
	for id, list := range b.idle {
		if len(list) > 0 && (oldest == "" || list[0].since.Before(b.idle[oldest][0].since)) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	b.drop(b.idle[oldest][0])
	b.idle[oldest] = b.idle[oldest][1:]
	return true
}

// give puts a connection back, or closes it where it is no longer of use.
func (b *backends) give(id string, c *conn, reusable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !reusable || c.Err() != nil || b.addrs[id] != c.addr {
		b.drop(c)
		return
	}
	c.since = time.Now()
	b.idle[id] = append(b.idle[id], c)
}

// reap closes what has been idle for too long, until ctx ends.
func (b *backends) reap(ctx context.Context) {
	tick := time.NewTicker(b.keepIdle / 8)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		for id, list := range b.idle {
			kept := list[:0]
			for _, c := range list {
				if c.Err() == nil && time.Since(c.since) < b.keepIdle {
					kept = append(kept, c)
				} else {
					b.drop(c)
				}
			}
			clear(list[len(kept):])
			b.idle[id] = kept
		}
		b.mu.Unlock()
	}
}

// dial opens a connection within the connect time-out and ctx. Its place is already counted.
func (b *backends) dial(ctx context.Context, addr string) (*conn, error) {
	slot := &countedSlot{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, slotKey{}, slot), b.cfg.Settings.ConnectTimeout)
	defer cancel()
	cc, err := b.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		return nil, err
	}
	return &conn{ClientConn: cc, net: slot.conn, addr: addr}, nil
}

// attempt sends m to a backend once and waits until ctx ends at the latest. The result follows
// the protocol's table of outcomes; where it is not certain that nothing ran, it says so. Once
// over is closed the request has ended, and nothing more is sent for it.
func (b *backends) attempt(ctx context.Context, over <-chan struct{}, id string, m *message) (brookferry.Result, *answer, brookferry.Load) {
	none := wire.Load(nil)
	c, addr, err := b.take(id)
	if err == nil && c == nil {
		c, err = b.dial(ctx, addr)
	}
	if err != nil {
		if errors.Is(err, errNoSocket) {
			b.log.Warn("attempt not sent", "error", err, "backend", id)
		}
		if errors.Is(context.Cause(ctx), errCancelled) {
			return brookferry.Cancelled, nil, none
		}
		return brookferry.ConnectFailed, nil, none
	}
	select {
	case <-over: // while the connection was being opened
		b.give(id, c, true)
		return brookferry.NotSent, nil, none
	default:
	}
	c.net.begin()
	u := *m.url
	u.Scheme, u.Host = "http", addr
	req := (&http.Request{Method: m.method, URL: &u, Header: m.header.Clone(), Host: m.host,
		ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}).WithContext(ctx)
	if len(m.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
	}
	if until, ok := ctx.Deadline(); ok {
		req.Header.Set("X-Expires-In", strconv.FormatFloat(max(0, time.Until(until).Seconds()), 'f', 3, 64))
	}
	// ClientConn has no pool behind it and sends a request only once; Transport.RoundTrip would
	// send it again by itself on a stale connection, unasked and uncounted.
	resp, err := c.RoundTrip(req)
	if err != nil {
		return b.broken(ctx, id, c), nil, none
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	resp.Body.Close()
	if err != nil {
		return b.broken(ctx, id, c), nil, none
	}
	b.give(id, c, !resp.Close && len(body) <= maxBody)
	load := none
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" && b.cfg.Site.LoadInline {
		load = parseLoad(text)
	}
	switch {
	case resp.StatusCode == http.StatusOK && len(body) <= maxBody:
		return brookferry.OK, &answer{header: resp.Header, body: body}, load
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return brookferry.Full, nil, load
	}
	return brookferry.Errored, nil, load
}

// broken tells how an attempt ended that brought no whole answer, and closes its connection.
func (b *backends) broken(ctx context.Context, id string, c *conn) brookferry.Result {
	cause := context.Cause(ctx)
	neverRan := c.net.neverWhole()
	b.give(id, c, false)
	switch {
	case errors.Is(cause, errCancelled):
		return brookferry.Cancelled
	case cause != nil:
		return brookferry.TimedOut
	case neverRan:
		return brookferry.ConnectFailed
	}
	return brookferry.Reset
}

// probe examines a backend: with its load report where probes bring one.
func (b *backends) probe(id string) brookferry.ProbeResult {
	start := time.Now()
	m := &message{method: http.MethodGet, url: &url.URL{Path: "/ping"}, header: http.Header{}}
	if b.cfg.Site.LoadProbed {
		m.url.Path = "/_load"
	}
	// The settings name no time-out for probes; one that takes longer than a connect may is no use.
	ctx, cancel := context.WithTimeoutCause(context.Background(), b.cfg.Settings.ConnectTimeout, errTimedOut)
	defer cancel()
	result, a, load := b.attempt(ctx, nil, id, m)
	if a != nil && b.cfg.Site.LoadProbed {
		load = parseLoad(string(a.body))
	}
	return brookferry.ProbeResult{Backend: id, Result: result, Latency: time.Since(start), Load: load}
}

// loadNames maps the names of load values on sockets to those of the settings.
var loadNames = map[string]string{"queue": "backlog", "eps": "errors_per_s", "latency_ms": "recent_ms"}

// parseLoad reads a load report such as "TEXT inflight=7, queue=2". What it can't read is left out.
func parseLoad(text string) brookferry.Load {
	usage := map[string]float64{}
	text = strings.TrimSpace(text)
	text = strings.TrimPrefix(strings.TrimPrefix(text, "Endpoint-Load-Metrics:"), " ")
	for _, pair := range strings.Split(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			if known, ok := loadNames[name]; ok {
				name = known
			}
			usage[name] = v
		}
	}
	return wire.Load(usage)
}
