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

// clientWaits is how long a client waits; the classes' deadline is a little shorter.
const clientWaits = 2500 * time.Millisecond

// site is a daemon's own way to the servers and the list: the same servers for all, each over relays of its own.
type site struct {
	list  *standin.List
	gates []*gate
}

// gate is a relay to one server that can be shut: what is on it stands still, and what comes new does not come
// through.
type gate struct {
	ln    net.Listener
	to    string
	mu    sync.Mutex
	shut  chan struct{} // nil: it is open; else closed when it opens again
	conns map[net.Conn]bool
	ended bool
}

func newGate(to string) (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{ln: ln, to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			if !g.keep(in) {
				return
			}
			go g.pass(in)
		}
	}()
	return g, nil
}

// keep books a connection, unless the gate has ended.
func (g *gate) keep(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		_ = c.Close()
		return false
	}
	g.conns[c] = true
	return true
}

func (g *gate) drop(c net.Conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	_ = c.Close()
}

func (g *gate) pass(in net.Conn) {
	defer g.drop(in)
	g.await()
	out, err := net.Dial("tcp", g.to)
	if err != nil || !g.keep(out) {
		return
	}
	defer g.drop(out)
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
		both.Go(func() {
			buf := make([]byte, 8192)
			for {
				n, err := way[0].Read(buf)
				g.await()
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

// await waits while the gate is shut.
func (g *gate) await() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil && !g.ended:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) close() {
	g.set(false)
	g.mu.Lock()
	g.ended = true
	for c := range g.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	_ = g.ln.Close()
}

// newSite gives a daemon its own list of the servers, at addresses of its own.
func newSite(servers []*standin.Form) (*site, error) {
	s := &site{}
	var members []discovery.Member
	for _, f := range servers {
		m := f.Member("ready")
		g, err := newGate(m.Addr)
		if err != nil {
			s.close()
			return nil, err
		}
		s.gates = append(s.gates, g)
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

// fresh has the list say that a server has just started.
func (s *site) fresh(n int, f *standin.Form) {
	m := f.Member("ready")
	m.Addr = s.gates[n].ln.Addr().String()
	m.Started = time.Now().UnixMilli()
	s.list.Set(m)
}

func (s *site) close() {
	for _, g := range s.gates {
		g.close()
	}
	if s.list != nil {
		s.list.Close()
	}
}

// counts are of the requests that were begun in one second.
type counts struct{ asked, served, refused, failed int }

// clients ask one daemon.
type clients struct {
	mu      sync.Mutex
	seconds map[int]counts
	http    *http.Client
	asking  sync.WaitGroup
	rate    atomic.Uint64 // requests a second, as the bits of a float64
}

func newClients(socket string) *clients {
	return &clients{seconds: map[int]counts{}, http: &http.Client{Timeout: clientWaits, Transport: &http.Transport{MaxIdleConnsPerHost: 16,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}}}}
}

// run asks at a rate, by chance, until ctx ends.
func (c *clients) run(ctx context.Context, name string, seed uint64, begin time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.http.CloseIdleConnections()
	defer c.asking.Wait()
	next := time.Now()
	for i := 0; ; i++ {
		// With a rate that may change at any time: no gap is longer than a tenth of a second.
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
		c.asking.Go(func() {
			status := c.ask(fmt.Sprintf("%s-%d", name, i))
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

func (c *clients) ask(id string) (status int) {
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

// of is what became of the requests of a second.
func (c *clients) of(second int) counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seconds[second]
}
