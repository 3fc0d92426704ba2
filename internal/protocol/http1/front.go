package http1

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// front accepts clients' connections, and holds what these share.
type front struct {
	cfg          *core.Config
	loop         *core.Loop
	limiter      *core.ConnLimiter
	log          *slog.Logger
	maxOpen      atomic.Int64 // requests open at once
	openRequests atomic.Int64
	openUploads  atomic.Int64 // of openRequests, those whose last byte has not come
	bodyBudget   *core.ByteBudget
	classes      map[string]int
	writeTimeout time.Duration // what a client has to read a response, or a piece of a streamed one
	loopEnded    atomic.Bool   // the loop ended and answers nothing more
	// draining has connections end with their next response.
	draining atomic.Bool
	// overflowHook is set by tests only. It is called when a reader has more of a client's next requests than are kept, and
	// with pause at each floodPause.
	overflowHook func(pause bool)

	mu      sync.Mutex
	conns   map[*clientConn]bool
	running sync.WaitGroup
}

const (
	// idleTimeout is how long a client's connection may be idle. Few clients come back to one after so long, and each costs
	// memory.
	idleTimeout = 15 * time.Second
	// maxHeader is how many bytes a request's header may have, as net/http's Server.MaxHeaderBytes.
	maxHeader = 16 << 10
	// maxID is how many bytes an X-Trace-Id or an Idempotency-Key may have.
	maxID = 256
	// finalAnswersSize is the buffer of a connection's final answers: one of the pending request, one by abortPending, and
	// the reader's end.
	finalAnswersSize = 3
)

func newFront(cfg *core.Config, l *core.Loop, log *slog.Logger) *front {
	f := &front{
		cfg:          cfg,
		loop:         l,
		log:          log,
		bodyBudget:   core.NewByteBudget(0),
		classes:      map[string]int{},
		writeTimeout: 2*cfg.MaxDeadline() + core.HeadTimeout,
		conns:        map[*clientConn]bool{},
	}
	f.resize(cfg.Sockets, cfg.BodyMemory())
	for i, name := range cfg.Site.Classes {
		f.classes[name] = i
	}
	return f
}

// resize changes the bounds of open requests and of body bytes.
func (f *front) resize(sockets, bytes int) {
	maxOpen := core.ClientSockets(sockets)
	if f.cfg.Site.MaxOpen > 0 {
		maxOpen = min(maxOpen, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(maxOpen))
	f.bodyBudget.Resize(bytes)
}

// serve accepts connections until the limiter is closed, and returns Accept's error then.
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
		c := &clientConn{
			front:        f,
			conn:         nc,
			responseDone: make(chan struct{}, 1),
			finalAnswers: make(chan finalAnswer, finalAnswersSize),
		}
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

// closeConnections closes the connections that are left, and waits for their readers.
func (f *front) closeConnections() error {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.conn.Close()
	}
	f.mu.Unlock()
	f.running.Wait()
	return nil
}
