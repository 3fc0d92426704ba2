package http1

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// front takes clients' requests and gives them the loop's answers.
type front struct {
	cfg          *core.Config
	loop         *core.Loop
	limiter      *core.ConnLimiter
	log          *slog.Logger
	maxOpen      atomic.Int64 // requests open at once
	openRequests atomic.Int64
	openUploads  atomic.Int64 // of these, those whose last byte has not come
	bodyBudget   *core.ByteBudget
	classes      map[string]int
	writeTimeout time.Duration // what a client has to take an answer
	loopEnded    atomic.Bool   // the loop has
	// draining has connections end with their next answer.
	draining atomic.Bool
	// overflowHook is a test's; else nil. It is told that a reader has come to the end of what is kept ahead, and of each pause
	// that a flood has.
	overflowHook func(pause bool)

	mu      sync.Mutex
	conns   map[*clientConn]bool
	running sync.WaitGroup
}

const (
	// Few clients come back to a connection after so long; each one kept costs memory.
	idleTimeout = 15 * time.Second
	maxHeader   = 16 << 10
	maxID       = 256 // bytes of an id or a key
)

func newFront(cfg *core.Config, l *core.Loop, log *slog.Logger) *front {
	f := &front{cfg: cfg, loop: l, log: log, bodyBudget: core.NewByteBudget(0),
		classes: map[string]int{}, writeTimeout: 2*cfg.MaxDeadline() + core.HeadTimeout, conns: map[*clientConn]bool{}}
	f.resize(cfg.Sockets, cfg.BodyMemory())
	for i, name := range cfg.Site.Classes {
		f.classes[name] = i
	}
	return f
}

func (f *front) resize(sockets, bytes int) {
	maxOpen := core.ClientSockets(sockets)
	if f.cfg.Site.MaxOpen > 0 {
		maxOpen = min(maxOpen, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(maxOpen))
	f.bodyBudget.Resize(bytes)
}

// serve takes connections until the limiter is closed.
func (f *front) serve(limiter *core.ConnLimiter) error {
	f.limiter = limiter
	go func() {
		<-f.loop.Stopped()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.loopEnded.Store(true)
		for c := range f.conns {
			c.abortPending()
		}
	}()
	for {
		nc, err := limiter.Accept()
		if err != nil {
			return err
		}
		c := &clientConn{front: f, conn: nc, responseDone: make(chan struct{}, 1), finalAnswers: make(chan finalAnswer, 3)}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		f.running.Go(func() {
			defer func() {
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
			}()
			f.loop.ContainPanic(c.serve)
		})
	}
}

// closeConnections ends what is left of clients' connections.
func (f *front) closeConnections() error {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.conn.Close()
	}
	f.mu.Unlock()
	f.running.Wait()
	return nil
}
