package harness

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
)

// clientTimeout is how long a client waits for an answer; the deadline of the classes (plan.Deadline) is shorter.
const clientTimeout = 2500 * time.Millisecond

// upstream is a daemon's access to the servers and its list. All daemons use the same servers, each over relays of
// its own.
type upstream struct {
	list   *standin.List
	relays []*serverRelay
}

// serverRelay is a relay to one server that can be blocked: while it is blocked, open connections stall and new ones
// are not forwarded.
type serverRelay struct {
	ln      net.Listener
	to      string
	mu      sync.Mutex
	blocked chan struct{} // nil: forwards; otherwise closed when the relay forwards again
	conns   map[net.Conn]bool
	closed  bool
}

func newServerRelay(to string) (*serverRelay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &serverRelay{ln: ln, to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			if !g.track(in) {
				return
			}
			go g.forward(in)
		}
	}()
	return g, nil
}

// track registers a connection, unless the relay is closed.
func (g *serverRelay) track(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = c.Close()
		return false
	}
	g.conns[c] = true
	return true
}

func (g *serverRelay) untrack(c net.Conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	_ = c.Close()
}

func (g *serverRelay) forward(in net.Conn) {
	defer g.untrack(in)
	g.awaitUnblocked()
	out, err := net.Dial("tcp", g.to)
	if err != nil || !g.track(out) {
		return
	}
	defer g.untrack(out)
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
		both.Go(func() {
			buf := make([]byte, 8192)
			for {
				n, err := way[0].Read(buf)
				g.awaitUnblocked()
				if n > 0 {
					if _, werr := way[1].Write(buf[:n]); werr != nil {
						err = werr
					}
				}
				if err != nil {
					_, _ = way[0].Close(), way[1].Close()
					return
				}
			}
		})
	}
	both.Wait()
}

// awaitUnblocked waits while the relay is blocked.
func (g *serverRelay) awaitUnblocked() {
	g.mu.Lock()
	unblocked := g.blocked
	g.mu.Unlock()
	if unblocked != nil {
		<-unblocked
	}
}

func (g *serverRelay) setBlocked(blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case blocked && g.blocked == nil && !g.closed:
		g.blocked = make(chan struct{})
	case !blocked && g.blocked != nil:
		close(g.blocked)
		g.blocked = nil
	}
}

func (g *serverRelay) close() {
	g.setBlocked(false)
	g.mu.Lock()
	g.closed = true
	for c := range g.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	_ = g.ln.Close()
}

// newUpstream returns a daemon's own relays to the servers and a list that names the relays' addresses.
func newUpstream(servers []*standin.FormServer) (*upstream, error) {
	s := &upstream{}
	var members []discovery.Server
	for _, f := range servers {
		m := f.Member("ready")
		g, err := newServerRelay(m.Addr)
		if err != nil {
			s.close()
			return nil, err
		}
		s.relays = append(s.relays, g)
		m.Addr = g.ln.Addr().String()
		members = append(members, m)
	}
	var err error
	s.list, err = standin.NewList("", members...)
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// serverStarted makes the list report that a server has just started.
func (s *upstream) serverStarted(n int, f *standin.FormServer) {
	m := f.Member("ready")
	m.Addr = s.relays[n].ln.Addr().String()
	m.Started = time.Now().UnixMilli()
	s.list.Set(m)
}

func (s *upstream) close() {
	for _, g := range s.relays {
		g.close()
	}
	if s.list != nil {
		s.list.Close()
	}
}

// counts are the outcomes of the requests that began in one second.
type counts struct{ asked, served, refused, failed int }

// clients send requests to one daemon.
type clients struct {
	mu       sync.Mutex
	seconds  map[int]counts
	http     *http.Client
	inFlight sync.WaitGroup
	rate     atomic.Uint64 // requests a second, as the bits of a float64
}

func newClients(socket string) *clients {
	return &clients{seconds: map[int]counts{}, http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}}}}
}

// run sends requests at random times at the current rate until ctx ends.
func (c *clients) run(ctx context.Context, name string, seed uint64, begin time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.http.CloseIdleConnections()
	defer c.inFlight.Wait()
	next := time.Now()
	for i := 0; ; i++ {
		// The rate may change at any time, so no wait is longer than a tenth of a second.
		rate := math.Float64frombits(c.rate.Load())
		gap := rng.ExpFloat64() / max(rate, 1e-9)
		next = next.Add(time.Duration(min(gap, 0.1) * float64(time.Second)))
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if gap > 0.1 {
			continue
		}
		second := int(time.Since(begin) / time.Second)
		c.inFlight.Go(func() {
			status := c.get(fmt.Sprintf("%s-%d", name, i))
			c.mu.Lock()
			defer c.mu.Unlock()
			n := c.seconds[second]
			n.asked++
			switch status {
			case http.StatusOK:
				n.served++
			case http.StatusServiceUnavailable:
				n.refused++
			default:
				n.failed++
			}
			c.seconds[second] = n
		})
	}
}

func (c *clients) get(id string) (status int) {
	req, err := http.NewRequest(http.MethodGet, "http://daemon/get/"+id, nil)
	if err != nil {
		return 0
	}
	req.Header["X-Trace-Id"] = []string{id}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// of returns the outcomes of the requests that began in a second.
func (c *clients) of(second int) counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seconds[second]
}
