// Package ldap serves LDAPv3 (RFC 4511) on the core's event loop. Clients' connections are sessions, on which many operations
// run at once; connections to directory servers each serve the one identity that is bound on them. Which server gets an
// operation, whether it is retried and what is rejected is decided by package decide alone.
//
// It owns the sessions, the clients' credentials while they are in use, and the pool of connections to servers; nothing of it
// outlives the agent. Each session has a reader (protocol.serve), and a writer while something is queued. Each server
// connection has a reader. The loop's attempts call Attempt and Probe from goroutines of their own, and the agent's goroutine
// calls Serve, Update, Resize, Shutdown and the like.
//
//	ldap.go, kind.go, options.go               the protocol, its classes of operations, its settings
//	session.go, clienttls.go                   a client's connection
//	sessionread.go, clientreader.go            its reader, and how that ends
//	sessionwrite.go                            its writer
//	request.go, bind.go, cancel.go             checks and submits a client's requests
//	operation.go, identity.go                  an operation, and as whom it runs
//	attempt.go, responsestream.go              makes one attempt of an operation
//	serverpool.go, dial.go, bindserver.go      the pool of connections to servers
//	serverconn.go, call.go                     a connection to a server, and the requests on it
package ldap

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// protocol implements core.Protocol.
type protocol struct {
	cfg            *core.Config
	options        Options
	log            *slog.Logger
	loop           *core.Loop
	limiter        *core.ConnLimiter
	classes        [kinds]int
	pool           *connPool
	tls            *tls.Config // towards clients; nil: plain alone
	secret         [32]byte    // the key of identities' keys; random, and in memory only
	lastID         atomic.Uint64
	openOperations atomic.Int64
	maxOpen        atomic.Int64  // operations open at once, on all connections
	startedAt      time.Time     // sessions' times count from here
	freshPeriod    time.Duration // how long a connection without a request is served while the agent drains; tests change it

	mu        sync.Mutex
	sessions  map[*session]bool
	draining  bool
	loopEnded bool
	running   sync.WaitGroup
}

const (
	// minQuiet is how long a session must have been quiet before it is evicted for a new one. A smaller value closes sessions
	// that are about to be used, a larger one refuses more new ones.
	minQuiet = 2 * time.Second
	// defaultFreshPeriod is how long a session without a request is served while the agent drains: it was accepted just
	// before the next copy would have. A larger value delays the drain.
	defaultFreshPeriod = 250 * time.Millisecond
)

// operationsPerSocket is how many operations may be open for each client socket, where the site has no max_open. A larger
// value takes more memory, a smaller one rejects clients that pipeline.
const operationsPerSocket = 4

// New returns an agent that speaks LDAP. It fails if the TLS files can't be read, or as core.New does.
func New(cfg *core.Config, o Options, log *slog.Logger, parts core.Parts) (*core.Agent, error) {
	a, _, err := newAgent(cfg, o, log, parts)
	return a, err
}

func newAgent(cfg *core.Config, o Options, log *slog.Logger, parts core.Parts) (*core.Agent, *protocol, error) {
	clients, servers, err := o.tlsConfigs()
	if err != nil {
		return nil, nil, err
	}
	o.MaxMessage = cmp.Or(o.MaxMessage, defaultMaxMessage)
	o.MaxOpen = cmp.Or(o.MaxOpen, defaultMaxOpen)
	o.MaxShared = cmp.Or(o.MaxShared, defaultMaxShared)
	o.MaxIdle = cmp.Or(o.MaxIdle, defaultMaxIdle)
	p := &protocol{
		cfg:         cfg,
		options:     o,
		log:         log,
		tls:         clients,
		classes:     classesOf(cfg.Site.Classes),
		sessions:    map[*session]bool{},
		freshPeriod: defaultFreshPeriod,
		startedAt:   time.Now(),
	}
	p.maxOpen.Store(operationsPerSocket * int64(core.ClientSockets(cfg.Sockets)))
	if cfg.Site.MaxOpen > 0 {
		p.maxOpen.Store(int64(cfg.Site.MaxOpen))
	}
	if _, err := rand.Read(p.secret[:]); err != nil {
		return nil, nil, err
	}
	p.pool = newConnPool(cfg, &p.options, servers, log)
	a, err := core.New(cfg, log, parts, func(l *core.Loop) core.Protocol {
		p.loop = l
		return p
	})
	return a, p, err
}

// Serve takes clients' connections until the limiter is closed.
func (p *protocol) Serve(limiter *core.ConnLimiter) error {
	p.limiter = limiter
	go func() {
		<-p.loop.Stopped()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.loopEnded = true
		for s := range p.sessions {
			go s.abortAll() // answers what was admitted, and the loop has not answered
		}
	}()
	for {
		nc, err := limiter.Accept()
		if err != nil {
			return err
		}
		if limiter.NearCapacity() {
			p.evictQuiet()
		}
		// The session gives its slot up itself, after a notice to the client: the limiter does not evict it.
		limiter.MarkBusy(nc)
		p.running.Go(func() { p.loop.ContainPanic(func() { p.serve(nc) }) })
	}
}

// evictQuiet closes the sessions that have been idle longest: an eighth of all, and none that was quiet for less than
// minQuiet.
func (p *protocol) evictQuiet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	sessions := slices.Collect(maps.Keys(p.sessions))
	slices.SortFunc(sessions, func(a, b *session) int { return cmp.Compare(a.lastReceived.Load(), b.lastReceived.Load()) })
	remaining := len(sessions)/8 + 1
	for _, s := range sessions {
		if remaining == 0 || s.quietFor() <= minQuiet {
			return
		}
		if s.evict() {
			remaining--
		}
	}
}

// SetDraining has each session end once all that was admitted on it is answered; with false, new sessions are served again.
func (p *protocol) SetDraining(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = on
	if !on {
		return
	}
	for s := range p.sessions {
		go s.drain()
	}
}

// Resize bounds the sockets. Bytes are bounded for each connection, by its messages and operations.
func (p *protocol) Resize(sockets, _ int) {
	if p.cfg.Site.MaxOpen == 0 {
		p.maxOpen.Store(operationsPerSocket * int64(core.ClientSockets(sockets)))
	}
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.maxConns = core.BackendSockets(sockets)
}

// Close closes the clients' connections that are left, and waits for their readers.
func (p *protocol) Close() error {
	p.mu.Lock()
	for s := range p.sessions {
		_ = s.raw.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
	return nil
}

// OpenRequests is how many operations have no final answer yet.
func (p *protocol) OpenRequests() int64 { return p.openOperations.Load() }

// Attempt sends an operation to a server once. The second result is the last message of the response, nil unless the first
// is decide.OK.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, final := p.pool.attempt(a, a.Message.(*operation))
	if final == nil {
		return result, nil, unknownLoad // an untyped nil
	}
	return result, final, unknownLoad
}

// unknownLoad is a load report without values: directory servers send none.
var unknownLoad = decide.Load{Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}

// Probe checks a server's health: it opens an anonymous connection, and sends nothing on it.
func (p *protocol) Probe(server string) decide.ProbeResult {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Settings.ConnectTimeout)
	defer cancel()
	result := decide.OK
	if c, err := p.pool.dial(ctx, server); err != nil {
		result = decide.ConnectFailed
	} else {
		p.pool.markSuspect(c)
		p.pool.release(c)
	}
	return decide.ProbeResult{Backend: server, Result: result, Latency: time.Since(start), Load: unknownLoad}
}

// Update takes a change of the endpoint list.
func (p *protocol) Update(l core.List) { p.pool.update(l) }

// ReapIdle closes connections to servers that have been idle for too long, until ctx ends.
func (p *protocol) ReapIdle(ctx context.Context) {
	core.RunPeriodically(ctx, max(p.pool.maxIdle/reapsPerMaxIdle, minReapInterval), p.pool.reapIdle)
}

// Shutdown closes the connections to servers, and keeps none from now on.
func (p *protocol) Shutdown() { p.pool.shutdown() }
