package harness

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/plan"
)

// relays forward all traffic between daemons. A daemon advertises its relay's address, so that everything sent to it
// passes its relay; the source address identifies the sender. Each direction of each pair is a link of its own.
type relays struct {
	mu        sync.Mutex
	rng       *rand.Rand
	byIP      map[netip.Addr]int
	endpoints map[int]*relayEndpoint
	links     map[[2]int]plan.Link
	usual     func(from, to int) plan.Link
	region    func(n int) string
	sent      map[int]sent // since the last take
	closed    chan struct{}
	running   sync.WaitGroup
}

// sent counts what a daemon sent to peers.
type sent struct{ datagrams, bytes, streamed, far int }

// relayEndpoint receives the traffic for one daemon.
type relayEndpoint struct {
	n      int
	to     netip.AddrPort
	udp    *net.UDPConn
	tcp    *net.TCPListener
	recent [][]byte // last recentKept datagrams, for stray events; first has the first ones
	first  [][]byte
}

const (
	recentKept      = 64
	reorderMax      = 50 * time.Millisecond
	retransmitDelay = 200 * time.Millisecond // until a lost segment of a stream is sent again
	breakAfter      = 300                    // bytes after which a stream breaks on a link with Break
)

func newRelays(seed uint64, p *plan.Plan) *relays {
	return &relays{rng: rand.New(rand.NewPCG(seed, 9)), byIP: map[netip.Addr]int{}, endpoints: map[int]*relayEndpoint{}, links: map[[2]int]plan.Link{}, usual: p.Usual, region: p.Region,
		sent: map[int]sent{}, closed: make(chan struct{})}
}

// open opens a daemon's relay at the IP address at, in place of an earlier one, and returns the relay's address. The
// daemon sends from the IP address from and receives at to.
func (r *relays) open(n int, at, from netip.Addr, to netip.AddrPort) (netip.AddrPort, error) {
	e := &relayEndpoint{n: n, to: to}
	var err error
	for range 20 { // TCP and UDP need the same port
		if e.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(at, 0))); err != nil {
			return netip.AddrPort{}, fmt.Errorf("relay: %w", err)
		}
		port := uint16(e.tcp.Addr().(*net.TCPAddr).Port)
		if e.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, port))); err == nil {
			break
		}
		_ = e.tcp.Close()
	}
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("relay: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byIP[from] = n
	if old := r.endpoints[n]; old != nil {
		_ = old.udp.Close()
		_ = old.tcp.Close()
	}
	r.endpoints[n] = e
	r.running.Go(func() { r.datagrams(e) })
	r.running.Go(func() { r.streams(e) })
	return netip.AddrPortFrom(at, uint16(e.tcp.Addr().(*net.TCPAddr).Port)), nil
}

func (r *relays) close() {
	close(r.closed)
	r.mu.Lock()
	for _, e := range r.endpoints {
		_ = e.udp.Close()
		_ = e.tcp.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

func (r *relays) link(from, to int) plan.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.links[[2]int{from, to}]; ok {
		return l
	}
	return r.usual(from, to)
}

// set changes one direction of one pair.
func (r *relays) set(from, to int, l plan.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[[2]int{from, to}] = l
}

func (r *relays) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < share
}

func (r *relays) random(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Float64() * float64(d))
}

// take returns what a daemon has sent since the last call.
func (r *relays) take(n int) sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sent[n]
	delete(r.sent, n)
	return s
}

// datagrams forwards the datagrams for a daemon with the faults of their links.
func (r *relays) datagrams(e *relayEndpoint) {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := e.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-r.closed:
				return
			default:
			}
			if _, again := err.(net.Error); again && err.(net.Error).Timeout() {
				continue
			}
			if r.replaced(e) {
				return
			}
			continue // for example because ICMP reported that a datagram was sent to a daemon that is down
		}
		data := append([]byte(nil), buf[:n]...)
		r.mu.Lock()
		from, known := r.byIP[src.Addr().Unmap()]
		if known {
			s := r.sent[from]
			far := 0
			if r.region(from) != r.region(e.n) {
				far = n
			}
			r.sent[from] = sent{s.datagrams + 1, s.bytes + n, s.streamed, s.far + far}
			if len(e.first) < recentKept {
				e.first = append(e.first, data)
			}
			if e.recent = append(e.recent, data); len(e.recent) > recentKept {
				e.recent = e.recent[1:]
			}
		}
		r.mu.Unlock()
		if !known {
			continue
		}
		l := r.link(from, e.n)
		if r.chance(l.Drop) {
			continue
		}
		if r.chance(l.Damage) {
			data = append([]byte(nil), data...)
			data[int(r.random(time.Duration(len(data))))] ^= 1 << r.random(8)
		}
		wait := l.Delay + r.random(l.Jitter)
		if r.chance(l.Reorder) {
			wait += r.random(reorderMax)
		}
		if l.Slow > 0 {
			wait += time.Duration(float64(n) / float64(l.Slow) * float64(time.Second))
		}
		copies := 1
		if r.chance(l.Duplicate) {
			copies = 2
		}
		for range copies {
			if wait > 0 {
				time.AfterFunc(wait, func() { r.deliver(e, data) })
			} else {
				r.deliver(e, data)
			}
		}
	}
}

func (r *relays) replaced(e *relayEndpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[e.n] != e
}

func (r *relays) deliver(e *relayEndpoint, data []byte) { _, _ = e.udp.WriteToUDPAddrPort(data, e.to) }

// stray sends a daemon datagrams that it must ignore.
func (r *relays) stray(n int, kind string, count int) {
	r.mu.Lock()
	e := r.endpoints[n]
	var from [][]byte
	if e != nil {
		if from = e.recent; kind == "old" {
			from = e.first
		}
		from = append([][]byte(nil), from...)
	}
	r.mu.Unlock()
	for i := range count {
		if len(from) == 0 && kind != "huge" {
			return
		}
		var data []byte
		if len(from) > 0 {
			data = append([]byte(nil), from[i%len(from)]...)
		}
		switch kind {
		case "damaged":
			data[int(r.random(time.Duration(len(data))))] ^= 1 << r.random(8)
		case "foreign":
			if len(data) > 5 {
				data[4] ^= 1 // the first letter of the fleet name
			}
		case "future":
			data[2] = 200
		case "huge":
			data = make([]byte, 65000)
			copy(data, "vh\x01")
		}
		r.deliver(e, data)
	}
}

// streams forwards the streams to a daemon.
func (r *relays) streams(e *relayEndpoint) {
	for {
		in, err := e.tcp.AcceptTCP()
		if err != nil {
			return
		}
		r.mu.Lock()
		from, known := r.byIP[netip.MustParseAddrPort(in.RemoteAddr().String()).Addr().Unmap()]
		r.mu.Unlock()
		if !known {
			_ = in.Close()
			continue
		}
		r.running.Go(func() {
			defer in.Close()
			if r.holdIfCut(from, e.n, in) {
				return
			}
			conn, err := net.DialTimeout("tcp", e.to.String(), 2*time.Second)
			if err != nil {
				_ = in.SetLinger(0) // a reset, as of a refused connection, not an orderly close
				return
			}
			out := conn.(*net.TCPConn)
			defer out.Close()
			stop := r.onClose(func() { _, _ = in.Close(), out.Close() })
			defer stop()
			var both sync.WaitGroup
			both.Go(func() { r.pump(from, e.n, in, out) })
			both.Go(func() { r.pump(e.n, from, out, in) })
			both.Wait()
		})
	}
}

// onClose runs f when the relays are closed.
func (r *relays) onClose(f func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-r.closed:
			f()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// holdIfCut reports whether a link drops everything in either direction. If so, it first holds the new stream until the
// caller closes it, for up to 10 s.
func (r *relays) holdIfCut(from, to int, in *net.TCPConn) bool {
	if r.link(from, to).Drop < 1 && r.link(to, from).Drop < 1 {
		return false
	}
	_ = in.SetReadDeadline(time.Now().Add(10 * time.Second))
	stop := r.onClose(func() { _ = in.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, in)
	return true
}

// pump copies one direction of a stream with the faults of its link.
func (r *relays) pump(from, to int, in, out *net.TCPConn) {
	buf := make([]byte, 4096)
	passed := 0
	for {
		n, err := in.Read(buf)
		if n > 0 {
			r.mu.Lock()
			s := r.sent[from]
			r.sent[from] = sent{s.datagrams, s.bytes, s.streamed + n, s.far}
			r.mu.Unlock()
			l := r.link(from, to)
			for tries := 0; r.chance(l.Drop); tries++ { // a lost segment is sent again after retransmitDelay
				if l.Drop >= 1 && tries > 50 {
					_, _ = in.Close(), out.Close()
					return
				}
				time.Sleep(retransmitDelay)
				l = r.link(from, to)
			}
			wait := l.Delay + r.random(l.Jitter)
			if l.Slow > 0 {
				wait += time.Duration(float64(n) / float64(l.Slow) * float64(time.Second))
			}
			time.Sleep(wait)
			if passed += n; l.Break && passed > breakAfter {
				_, _ = in.SetLinger(0), out.SetLinger(0)
				_, _ = in.Close(), out.Close()
				return
			}
			if _, err := out.Write(buf[:n]); err != nil {
				_ = in.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = out.CloseWrite()
			} else {
				_ = out.Close()
			}
			return
		}
	}
}
