package http1

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// frontend accepts clients' connections, and holds the state that they share.
type frontend struct {
	cfg          *core.Config
	loop         *core.Loop
	limiter      *core.ConnLimiter
	log          *slog.Logger
	maxOpen      atomic.Int64 // how many requests may be open at once
	maxUploads   atomic.Int64 // how many of these may be uploads
	openRequests atomic.Int64
	openUploads  atomic.Int64 // those of openRequests whose last byte has not been received
	bodyBudget   *core.ByteBudget
	classes      map[string]int
	writeTimeout time.Duration // how long a client may take to read a response, or a piece of a streamed one
	loopEnded    atomic.Bool   // the loop has ended and answers no further request
	// If draining is set, each connection is closed after its next response.
	draining atomic.Bool
	// overflowHook is set only by tests. A reader calls it when a client has sent more of its next requests than the
	// agent buffers, and with pause set at each floodPause.
	overflowHook func(pause bool)

	mu      sync.Mutex
	conns   map[*clientConn]bool
	running sync.WaitGroup
}

const (
	// idleTimeout is how long a client's connection may be idle. Few clients reuse a connection after a longer time,
	// and each idle connection costs memory.
	idleTimeout = 15 * time.Second
	// maxHeader is how many bytes a request's header section may have; it corresponds to net/http's
	// Server.MaxHeaderBytes.
	maxHeader = 16 << 10
	// maxID is how many bytes the value of X-Trace-Id or Idempotency-Key may have.
	maxID = 256
	// finalAnswersSize is the buffer size of a connection's channel of final answers: it holds the pending request's
	// answer, the answer of abortPending, and the message that the reader has ended.
	finalAnswersSize = 3
)

func newFrontend(cfg *core.Config, l *core.Loop, log *slog.Logger) *frontend {
	f := &frontend{
		cfg:          cfg,
		loop:         l,
		log:          log,
		bodyBudget:   core.NewByteBudget(0, l.MemoryShort),
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

// resize changes the limits on open requests and on buffered body bytes.
func (f *frontend) resize(sockets, bytes int) {
	maxOpen := min(core.ClientSockets(sockets), core.OpenRequests(bytes))
	if f.cfg.Site.MaxOpen > 0 {
		maxOpen = min(maxOpen, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(maxOpen))
	f.maxUploads.Store(int64(core.OpenUploads(bytes)))
	f.bodyBudget.Resize(bytes)
}

// admit counts a request among the open ones. It reports false if there are too many, or too many uploads.
func (f *frontend) admit(upload bool) bool {
	if upload && f.openUploads.Add(1) > f.maxUploads.Load() {
		f.openUploads.Add(-1)
		return false
	}
	if f.loop.MayOpen(f.openRequests.Add(1), f.maxOpen.Load()) {
		return true
	}
	f.uncount(upload)
	return false
}

// uncount removes a request that was admitted, and has not been submitted, from the open ones.
func (f *frontend) uncount(upload bool) {
	f.openRequests.Add(-1)
	if upload {
		f.openUploads.Add(-1)
	}
}

// serve accepts connections until the limiter is closed, and then returns the error of Accept.
func (f *frontend) serve(limiter *core.ConnLimiter) error {
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
			frontend:     f,
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

// closeConnections closes the remaining connections, and waits for their readers.
func (f *frontend) closeConnections() error {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.conn.Close()
	}
	f.mu.Unlock()
	f.running.Wait()
	return nil
}
