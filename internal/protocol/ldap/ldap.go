// Package ldap implements the LDAPv3 (RFC 4511) side of the agent, on the core's event loop. Each client connection is
// a session, on which many operations can run at once. Each connection to a directory server is bound as one identity
// and serves only that identity. Only package decide chooses the server of an operation, and decides on retries and
// rejections.
//
// The package owns the sessions, the clients' credentials while they are in use, and the pool of connections to
// servers. Its state does not outlive the agent. Each session has a reader goroutine (protocol.serve), and a writer
// goroutine while messages are queued. Each server connection has a reader goroutine. Attempt and Probe are called
// from goroutines of their own, started by the core's loop; Serve, Update, Resize, Shutdown and the like are called by
// the agent's goroutine.
//
//	ldap.go, kind.go, options.go               the protocol, its classes of operations, its settings
//	session.go, clienttls.go                   a client's connection
//	sessionread.go, clientreader.go            the reader of a client's connection, and how reading ends
//	sessionwrite.go                            the writer of a client's connection
//	request.go, bind.go, cancel.go             checking and submitting a client's requests
//	operation.go, identity.go                  an operation, and the identity that it runs as
//	attempt.go, responsestream.go              one attempt of an operation
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
	cfg               *core.Config
	options           Options
	log               *slog.Logger
	loop              *core.Loop
	limiter           *core.ConnLimiter
	classOfKind       [kindCount]int
	pool              *connPool
	tls               *tls.Config // the TLS configuration of client connections; nil: TLS is not offered
	secret            [32]byte    // HMAC key for identity.key; random, and kept in memory only
	lastID            atomic.Uint64
	lastSession       atomic.Uint64 // number of the session that began last
	openOperations    atomic.Int64
	requestBudget     *core.ByteBudget // bytes of clients' messages: those that are being read, and those of open operations
	queueBudget       *core.ByteBudget // bytes that are queued for clients
	maxOpen           atomic.Int64     // limit on open operations, on all client connections together
	startedAt         time.Time        // the zero point of session.lastReceived
	firstRequestGrace time.Duration    // see defaultFirstRequestGrace; tests change it

	mu        sync.Mutex
	sessions  map[*session]bool
	draining  bool
	loopEnded bool
	running   sync.WaitGroup
}

const (
	// minQuiet is how long a session must have received no message before it may be evicted to make room for a new
	// one. A smaller value closes sessions that are about to be used; a larger one refuses more new connections.
	minQuiet = 2 * time.Second
	// defaultFirstRequestGrace is how long a draining agent waits for the first request of a session that has sent
	// none. Such a session was accepted just before the successor would have accepted it. A larger value delays the
	// drain.
	defaultFirstRequestGrace = 250 * time.Millisecond
)

// operationsPerSocket is how many operations may be open per client socket if the site does not set max_open. A larger
// value takes more memory; a smaller one rejects operations of clients that pipeline.
const operationsPerSocket = 4

// New returns an agent that serves LDAP. It returns an error if the TLS files can't be read, or if core.New returns
// one.
func New(cfg *core.Config, o Options, log *slog.Logger, parts core.Options) (*core.Agent, error) {
	a, _, err := newAgent(cfg, o, log, parts)
	return a, err
}

func newAgent(cfg *core.Config, o Options, log *slog.Logger, parts core.Options) (*core.Agent, *protocol, error) {
	clients, servers, err := o.tlsConfigs()
	if err != nil {
		return nil, nil, err
	}
	o.MaxMessage = cmp.Or(o.MaxMessage, defaultMaxMessage)
	o.MaxOpen = cmp.Or(o.MaxOpen, defaultMaxOpen)
	o.MaxShared = cmp.Or(o.MaxShared, defaultMaxShared)
	o.MaxIdle = cmp.Or(o.MaxIdle, defaultMaxIdle)
	p := &protocol{
		cfg:               cfg,
		options:           o,
		log:               log,
		tls:               clients,
		classOfKind:       classesOf(cfg.Site.Classes),
		sessions:          map[*session]bool{},
		firstRequestGrace: defaultFirstRequestGrace,
		startedAt:         time.Now(),
		requestBudget:     core.NewByteBudget(cfg.BodyMemory(), parts.MemoryShort),
		queueBudget:       core.NewByteBudget(cfg.BodyMemory(), parts.MemoryShort),
	}
	p.maxOpen.Store(operationsPerSocket * int64(core.ClientSockets(cfg.Sockets)))
	if cfg.Site.MaxOpen > 0 {
		p.maxOpen.Store(int64(cfg.Site.MaxOpen))
	}
	if _, err := rand.Read(p.secret[:]); err != nil {
		return nil, nil, err
	}
	p.pool = newConnPool(cfg, &p.options, servers, parts.MemoryShort, log)
	a, err := core.New(cfg, log, parts, func(l *core.Loop) core.Protocol {
		p.loop = l
		return p
	})
	return a, p, err
}

// Serve accepts clients' connections until the limiter is closed.
func (p *protocol) Serve(limiter *core.ConnLimiter) error {
	p.limiter = limiter
	go func() {
		<-p.loop.Stopped()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.loopEnded = true
		for s := range p.sessions {
			go s.abortAll() // answers the admitted operations that the loop left unanswered
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
		// Marked busy, the connection is never evicted by the limiter: evictQuiet closes it instead, after a Notice of
		// Disconnection to the client.
		limiter.MarkBusy(nc)
		p.running.Go(func() { p.loop.ContainPanic(func() { p.serve(nc) }) })
	}
}

// evictQuiet closes the sessions that have received no message for longest: about an eighth of all sessions, and none
// that received a message within the last minQuiet.
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

// SetDraining starts or stops draining. While draining, each session ends once all its admitted operations are
// answered. After a call with false, new sessions are served normally again.
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

// Resize sets the limit on sockets, and on the bytes of clients' messages, and separately of servers' messages.
func (p *protocol) Resize(sockets, bytes int) {
	p.requestBudget.Resize(bytes)
	p.queueBudget.Resize(bytes)
	p.pool.responseBudget.Resize(bytes)
	if p.cfg.Site.MaxOpen == 0 {
		p.maxOpen.Store(operationsPerSocket * int64(core.ClientSockets(sockets)))
	}
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.maxConns = core.BackendSockets(sockets)
}

// Close closes the remaining client connections, and waits for their readers.
func (p *protocol) Close() error {
	p.mu.Lock()
	for s := range p.sessions {
		_ = s.raw.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
	return nil
}

// OpenRequests returns the number of operations that have no final answer yet.
func (p *protocol) OpenRequests() int64 { return p.openOperations.Load() }

// Attempt sends an operation to a server once. The second result is the last message of the response; it is nil
// unless the first result is decide.OK.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, final := p.pool.attempt(a, a.Message.(*operation))
	if final == nil {
		return result, nil, unknownLoad // an untyped nil: a nil *finalResponse in an any would not equal nil
	}
	return result, final, unknownLoad
}

// unknownLoad is a load report without values: directory servers send none.
var unknownLoad = decide.Load{Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}

// Probe checks a server's health by opening an anonymous connection, with TLS where that is set. It sends no request on
// the connection.
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

// Update applies a change of the endpoint list.
func (p *protocol) Update(l core.List) { p.pool.update(l) }

// ReapIdle closes connections to servers that have been idle for too long, until ctx ends.
func (p *protocol) ReapIdle(ctx context.Context) {
	core.RunPeriodically(ctx, max(p.pool.maxIdle/reapsPerMaxIdle, minReapInterval), p.pool.reapIdle)
}

// Shutdown closes the connections to servers. From then on, no connection is kept after its use.
func (p *protocol) Shutdown() { p.pool.shutdown() }
