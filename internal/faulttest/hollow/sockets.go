package hollow

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
)

// Sockets is members on loopback sockets, all in this process: the daemons' own carrier, with no daemon round it. It
// plays starts, kills (a member that stops without a word) and ends of a plan, in real time.
type Sockets struct {
	Plan *plan.Plan
	Seed uint64
	Dir  string // where their last views are kept; it must be there
}

// socketsMost is the most that one process plays: each has two sockets, and a few goroutines.
const socketsMost = 300

type hollowMember struct {
	n       int
	tcp     *net.TCPAddr
	udp     *net.UDPConn
	ln      *net.TCPListener
	c       *transport.Transport
	end     context.CancelFunc
	ended   chan struct{}
	pid     int
	said    *said
	before  sent // of lives that have ended
	told    sent
	running bool
}

type sent struct{ datagrams, bytes uint64 }

// said is what a member writes of its own changes; one goroutine writes, another reads after its end.
type said struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *said) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

type sockets struct {
	s       *Sockets
	members []*hollowMember
	lines   []checker.Line
	pids    int
	seeds   []string
}

// Play plays it to its end, and is what happened, as a drill's lines: each life of a member has a number as its process.
// CPUMS of Sent lines is this whole process's, of the first member alone.
func (s *Sockets) Play(ctx context.Context) ([]checker.Line, error) {
	if s.Plan.Daemons > socketsMost {
		return nil, fmt.Errorf("%d members over sockets: up to %d in one process are allowed", s.Plan.Daemons, socketsMost)
	}
	w := &sockets{s: s}
	defer w.close()
	block := byte(124 + rand.IntN(3))
	for n := range s.Plan.Daemons {
		m := &hollowMember{n: n, tcp: &net.TCPAddr{IP: net.IPv4(127, block, byte(1+n/250), byte(n%250+1))}}
		w.members = append(w.members, m)
		if err := m.listen(); err != nil {
			return nil, fmt.Errorf("sockets of member %d: %w", n, err)
		}
	}
	for _, n := range s.Plan.Seeds {
		w.seeds = append(w.seeds, w.members[n].tcp.String())
	}
	return w.play(ctx)
}

// listen opens a member's sockets, at the port that it had before, if it had one.
func (m *hollowMember) listen() (err error) {
	for range 20 { // a port that is free for TCP may not be for UDP
		if m.ln, err = net.ListenTCP("tcp", m.tcp); err != nil {
			continue
		}
		at := m.ln.Addr().(*net.TCPAddr)
		if m.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			m.tcp = at
			return nil
		}
		_ = m.ln.Close()
	}
	return err
}

func (w *sockets) play(ctx context.Context) ([]checker.Line, error) {
	p := w.s.Plan
	chance := rand.New(rand.NewPCG(w.s.Seed, 5))
	var todo []plan.Event
	for n := range p.Daemons {
		if p.First(n) {
			todo = append(todo, plan.Event{At: time.Duration(chance.Float64() * float64(p.Spread)), Do: "start", Who: []int{n}})
		}
	}
	todo = append(todo, p.Events...)
	slices.SortStableFunc(todo, func(a, b plan.Event) int { return cmp.Compare(a.At, b.At) })
	begin := time.Now()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	end := time.NewTimer(p.Length)
	defer end.Stop()
	for {
		next := p.Length
		if len(todo) > 0 {
			next = todo[0].At
		}
		due := time.NewTimer(time.Until(begin.Add(next)))
		select {
		case <-ctx.Done():
			due.Stop()
			return nil, ctx.Err()
		case <-second.C:
			w.tellSent()
		case <-end.C:
			due.Stop()
			return w.collect()
		case <-due.C:
			if len(todo) == 0 {
				continue
			}
			e := todo[0]
			todo = todo[1:]
			for _, n := range e.Who {
				if err := w.befall(ctx, e.Do, w.members[n]); err != nil {
					return nil, fmt.Errorf("at %v: %s of member %d: %w", e.At, e.Do, n, err)
				}
			}
		}
		due.Stop()
	}
}

func (w *sockets) befall(ctx context.Context, do string, m *hollowMember) error {
	switch do {
	case "start":
		return w.start(ctx, m)
	case "kill":
		w.stop(m, "kill")
	default:
		return errors.New("no such thing befalls a hollow member")
	}
	return nil
}

func (w *sockets) line(l checker.Line) {
	l.T, l.Wall, l.By = cmp.Or(l.T, transport.MonotonicNanos()), time.Now().UnixMilli(), checker.FaultTest
	w.lines = append(w.lines, l)
}

func (w *sockets) start(ctx context.Context, m *hollowMember) error {
	if m.running {
		return nil
	}
	if m.udp == nil {
		if err := m.listen(); err != nil {
			return err
		}
	}
	dir := filepath.Join(w.s.Dir, plan.Name(m.n))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	p := w.s.Plan.Peers
	m.said = &said{}
	c, err := transport.New(transport.Options{Fleet: "drill", UDP: m.udp, TCP: m.ln, Dir: dir, Log: slog.New(slog.DiscardHandler), Events: m.said,
		Ejection: &ejection.Settings{}, EjectionsChanged: func([]ejection.Ejection, time.Time) {}, // as daemons have them, with no requests to judge by
		Membership: membership.Settings{Name: plan.Name(m.n), Addr: m.tcp.String(), Zone: fmt.Sprint("z", m.n%max(1, w.s.Plan.Zones)+1), Program: "virtual", Instances: 1, Balancers: 1, Seeds: w.seeds,
			ProbeInterval: p.Every, ProbeTimeout: p.Direct, IndirectTimeout: p.Indirect, MinSuspicion: p.SuspectLeast, BytesPerSecond: p.Bytes, ConfiguredBalancers: 1}})
	if err != nil {
		return err
	}
	w.pids++
	m.c, m.pid, m.running, m.ended = c, w.pids, true, make(chan struct{})
	w.line(checker.Line{What: checker.Up, Of: plan.Name(m.n), PID: m.pid, Balancers: 1})
	run, cancel := context.WithCancel(ctx)
	m.end = cancel
	go func() {
		defer close(m.ended)
		_ = c.Run(run) // its end is this play's doing, or shows as silence
	}()
	return nil
}

// stop ends a member without a word.
func (w *sockets) stop(m *hollowMember, why string) {
	if !m.running {
		return
	}
	w.line(checker.Line{What: checker.Down, Of: plan.Name(m.n), PID: m.pid, Why: why})
	m.end()
	<-m.ended
	d, b := m.c.Sent()
	m.before.datagrams, m.before.bytes = m.before.datagrams+d, m.before.bytes+b
	m.running, m.udp, m.ln = false, nil, nil // the carrier has closed them
	w.take(m)
}

// take reads what a life of a member has written.
func (w *sockets) take(m *hollowMember) {
	m.said.mu.Lock()
	defer m.said.mu.Unlock()
	all, _ := checker.Read(&m.said.buf) // a half line at the end of one that was stopped is not missed
	for _, l := range all {
		l.PID = m.pid
		w.lines = append(w.lines, l)
	}
}

func (w *sockets) tellSent() {
	for _, m := range w.members {
		now := m.before
		if m.running {
			d, b := m.c.Sent()
			now.datagrams, now.bytes = now.datagrams+d, now.bytes+b
		}
		l := checker.Line{What: checker.Sent, Of: plan.Name(m.n), PID: m.pid, Datagrams: int(now.datagrams - m.told.datagrams), Bytes: int(now.bytes - m.told.bytes)}
		if m.n == 0 {
			l.CPUMS = int(processor().Milliseconds())
		}
		w.line(l)
		m.told = now
	}
}

func (w *sockets) collect() ([]checker.Line, error) {
	w.close()
	w.line(checker.Line{What: checker.End})
	slices.SortStableFunc(w.lines, func(a, b checker.Line) int { return cmp.Compare(a.T, b.T) })
	return w.lines, nil
}

func (w *sockets) close() {
	for _, m := range w.members {
		if m.running {
			w.stop(m, "end")
		} else if m.udp != nil {
			_, _ = m.udp.Close(), m.ln.Close()
			m.udp, m.ln = nil, nil
		}
	}
}
