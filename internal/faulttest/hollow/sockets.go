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

// Sockets runs members on loopback sockets, all in this process: the daemons' own transport without the rest of a
// daemon. It applies the starts and kills (a member stops without notice) of a plan in real time, and stops all
// members at the end.
type Sockets struct {
	Plan *plan.Plan
	Seed uint64
	Dir  string // existing directory for the members' stored views
}

// maxSocketMembers is how many members one process runs: each has two sockets and a few goroutines.
const maxSocketMembers = 300

type socketMember struct {
	n        int
	tcp      *net.TCPAddr
	udp      *net.UDPConn
	ln       *net.TCPListener
	c        *transport.Transport
	end      context.CancelFunc
	done     chan struct{}
	pid      int
	events   *eventBuffer
	earlier  sent // total of earlier runs of this member
	reported sent
	running  bool
}

type sent struct{ datagrams, bytes uint64 }

// eventBuffer collects the event lines that a member writes. One goroutine writes, another reads after the member has
// ended.
type eventBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *eventBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

type sockets struct {
	s       *Sockets
	members []*socketMember
	lines   []checker.Line
	pids    int
	seeds   []string
}

// Play runs the plan to its end and returns the history lines of a fault test. Each run of a member has a number in
// place of a process ID. CPUMS is set only in the Sent lines of the first member, and is that of this entire process.
func (s *Sockets) Play(ctx context.Context) ([]checker.Line, error) {
	if s.Plan.Daemons > maxSocketMembers {
		return nil, fmt.Errorf("run %d members over sockets: at most %d are allowed in one process", s.Plan.Daemons, maxSocketMembers)
	}
	w := &sockets{s: s}
	defer w.close()
	block := byte(124 + rand.IntN(3))
	for n := range s.Plan.Daemons {
		m := &socketMember{n: n, tcp: &net.TCPAddr{IP: net.IPv4(127, block, byte(1+n/250), byte(n%250+1))}}
		w.members = append(w.members, m)
		if err := m.listen(); err != nil {
			return nil, fmt.Errorf("open sockets of member %d: %w", n, err)
		}
	}
	for _, n := range s.Plan.Seeds {
		w.seeds = append(w.seeds, w.members[n].tcp.String())
	}
	return w.play(ctx)
}

// listen opens a member's sockets, at its previous port if it had one.
func (m *socketMember) listen() (err error) {
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
	rng := rand.New(rand.NewPCG(w.s.Seed, 5))
	var todo []plan.Event
	for n := range p.Daemons {
		if p.RunsFromStart(n) {
			todo = append(todo, plan.Event{At: time.Duration(rng.Float64() * float64(p.Spread)), Do: "start", Who: []int{n}})
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
			w.recordSent()
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
				if err := w.applyEvent(ctx, e.Do, w.members[n]); err != nil {
					return nil, fmt.Errorf("at %v: %s of member %d: %w", e.At, e.Do, n, err)
				}
			}
		}
		due.Stop()
	}
}

func (w *sockets) applyEvent(ctx context.Context, do string, m *socketMember) error {
	switch do {
	case "start":
		return w.start(ctx, m)
	case "kill":
		w.stop(m, "kill")
	default:
		return errors.New("event is not supported for lightweight members")
	}
	return nil
}

func (w *sockets) record(l checker.Line) {
	l.T, l.Wall, l.By = cmp.Or(l.T, transport.MonotonicNanos()), time.Now().UnixMilli(), checker.FaultTest
	w.lines = append(w.lines, l)
}

func (w *sockets) start(ctx context.Context, m *socketMember) error {
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
	m.events = &eventBuffer{}
	c, err := transport.New(transport.Options{Fleet: "drill", UDP: m.udp, TCP: m.ln, Dir: dir, Log: slog.New(slog.DiscardHandler), Events: m.events,
		Ejection: &ejection.Settings{}, EjectionsChanged: func([]ejection.Ejection, time.Time) {}, // configured as in daemons, but without requests to observe
		Membership: membership.Settings{Name: plan.Name(m.n), Addr: m.tcp.String(), Zone: fmt.Sprint("z", m.n%max(1, w.s.Plan.Zones)+1), Version: "virtual", Instances: 1, Balancers: 1, Seeds: w.seeds,
			ProbeInterval: p.ProbeInterval, ProbeTimeout: p.ProbeTimeout, IndirectTimeout: p.IndirectTimeout, MinSuspicion: p.MinSuspicion, BytesPerSecond: p.Bytes, ConfiguredBalancers: 1}})
	if err != nil {
		return err
	}
	w.pids++
	m.c, m.pid, m.running, m.done = c, w.pids, true, make(chan struct{})
	w.record(checker.Line{What: checker.Up, Of: plan.Name(m.n), PID: m.pid, Balancers: 1})
	run, cancel := context.WithCancel(ctx)
	m.end = cancel
	go func() {
		defer close(m.done)
		_ = c.Run(run) // the member ends with its context; if it ends earlier, it appears in the history as a silent member
	}()
	return nil
}

// stop ends a member without notice to the others.
func (w *sockets) stop(m *socketMember, why string) {
	if !m.running {
		return
	}
	w.record(checker.Line{What: checker.Down, Of: plan.Name(m.n), PID: m.pid, Why: why})
	m.end()
	<-m.done
	d, b := m.c.Sent()
	m.earlier.datagrams, m.earlier.bytes = m.earlier.datagrams+d, m.earlier.bytes+b
	m.running, m.udp, m.ln = false, nil, nil // the transport has closed them
	w.collectEvents(m)
}

// collectEvents reads the event lines of a member's run.
func (w *sockets) collectEvents(m *socketMember) {
	m.events.mu.Lock()
	defer m.events.mu.Unlock()
	all, _ := checker.Read(&m.events.buf) // a partial last line of a stopped member is ignored
	for _, l := range all {
		l.PID = m.pid
		w.lines = append(w.lines, l)
	}
}

func (w *sockets) recordSent() {
	for _, m := range w.members {
		now := m.earlier
		if m.running {
			d, b := m.c.Sent()
			now.datagrams, now.bytes = now.datagrams+d, now.bytes+b
		}
		l := checker.Line{What: checker.Sent, Of: plan.Name(m.n), PID: m.pid, Datagrams: int(now.datagrams - m.reported.datagrams), Bytes: int(now.bytes - m.reported.bytes)}
		if m.n == 0 {
			l.CPUMS = int(processor().Milliseconds())
		}
		w.record(l)
		m.reported = now
	}
}

func (w *sockets) collect() ([]checker.Line, error) {
	w.close()
	w.record(checker.Line{What: checker.End})
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
