// Package ldap is LDAPv3 (RFC 4511) on the core: clients' connections (client.go), on which many
// operations run at once, and connections to directory servers (server.go), each of which serves the one
// identity that is bound on it. Which server gets an operation, whether it is tried again and what is
// turned away is decided by the decision module alone.
package ldap

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// protocol is LDAP as the core knows it.
type protocol struct {
	cfg            *core.Config
	options        Options
	log            *slog.Logger
	loop           *core.Loop
	limiter        *core.ConnLimiter
	classes        [kinds]int
	pool           *connPool
	tls            *tls.Config // towards clients; nil: none
	secret         [32]byte    // names of identities are made with it
	lastID         atomic.Uint64
	openOperations atomic.Int64
	maxOpen        atomic.Int64  // operations open at once
	startedAt      time.Time     // sessions count from then
	freshPeriod    time.Duration // for how long a connection that has asked nothing is served on while this copy ends

	mu        sync.Mutex
	sessions  map[*session]bool
	draining  bool
	loopEnded bool
	running   sync.WaitGroup
}

// kind is what an operation is for the purpose of classes. A class of the kind's name is taken where the
// file has one, else that of the kind named behind it.
type kind int

const (
	kindSearch kind = iota
	kindModify
	kindBind
	kindLookup // a search whose scope is its base
	kindCompare
	kindAdd
	kindDelete
	kindModDN
	kindPassword
	kindExtended
	kinds
)

var kindNames = [kinds]string{"search", "modify", "bind", "lookup", "compare", "add", "delete", "moddn", "password", "extended"}

var kindFallbacks = [kinds]kind{kindSearch, kindModify, kindSearch, kindSearch, kindSearch, kindModify, kindModify, kindModify, kindModify, kindModify}

// RequiredClasses are the classes that every instance has.
var RequiredClasses = []string{kindNames[kindSearch], kindNames[kindModify]}

// IsClass reports whether a name is that of a class of operations.
func IsClass(name string) bool {
	for _, n := range kindNames {
		if n == name {
			return true
		}
	}
	return false
}

// classesOf finds each kind's class.
func classesOf(names []string) (all [kinds]int) {
	find := func(k kind) int {
		for i, n := range names {
			if n == kindNames[k] {
				return i
			}
		}
		return -1
	}
	for k := range kinds {
		if all[k] = find(k); all[k] < 0 {
			all[k] = max(0, find(kindFallbacks[k]))
		}
	}
	return all
}

// New sets up an agent that speaks LDAP, with what it is given.
func New(cfg *core.Config, o Options, log *slog.Logger, parts core.Parts) (*core.Agent, error) {
	a, _, err := newAgent(cfg, o, log, parts)
	return a, err
}

func newAgent(cfg *core.Config, o Options, log *slog.Logger, parts core.Parts) (*core.Agent, *protocol, error) {
	clients, servers, err := o.tlsConfigs()
	if err != nil {
		return nil, nil, err
	}
	o.MaxMessage, o.MaxOpen = cmp.Or(o.MaxMessage, defaultMaxMessage), cmp.Or(o.MaxOpen, defaultMaxOpen)
	o.MaxShared, o.MaxIdle = cmp.Or(o.MaxShared, defaultMaxShared), cmp.Or(o.MaxIdle, defaultMaxIdle)
	p := &protocol{cfg: cfg, options: o, log: log, tls: clients, classes: classesOf(cfg.Site.Classes), sessions: map[*session]bool{}, freshPeriod: defaultFreshPeriod, startedAt: time.Now()}
	p.maxOpen.Store(4 * int64(core.ClientSockets(cfg.Sockets)))
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
			go s.abortAll() // what was taken, and the loop has not answered
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

// evictQuiet ends the connections on which nothing has been asked for longest: an eighth of all, and none
// that was heard of just now.
func (p *protocol) evictQuiet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.sessions)/8 + 1
	for range n {
		var oldest *session
		for s := range p.sessions {
			if s.quietFor() > minQuiet && (oldest == nil || s.quietFor() > oldest.quietFor()) && s.isIdle() {
				oldest = s
			}
		}
		if oldest == nil {
			return
		}
		delete(p.sessions, oldest)
		go oldest.closeWithNotice(ldapmsg.Unavailable, "too many connections: this one was quiet for longest")
	}
}

const (
	minQuiet           = 2 * time.Second
	defaultFreshPeriod = 250 * time.Millisecond
)

// SetDraining has each connection end once all that was taken on it is answered, or, with false, those that
// come from now on no more.
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

// Resize has it use no more than so many descriptors. What its messages take is bounded for each connection.
func (p *protocol) Resize(sockets, _ int) {
	if p.cfg.Site.MaxOpen == 0 {
		p.maxOpen.Store(4 * int64(core.ClientSockets(sockets)))
	}
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.maxConns = core.BackendSockets(sockets)
}

// Close ends what is left of clients' connections.
func (p *protocol) Close() error {
	p.mu.Lock()
	for s := range p.sessions {
		_ = s.raw.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
	return nil
}

// OpenRequests is how many operations are open.
func (p *protocol) OpenRequests() int64 { return p.openOperations.Load() }

// Probe examines a server: by a connection, as anybody, on which it is asked for nothing.
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
	return decide.ProbeResult{Backend: server, Result: result, Latency: time.Since(start), Load: decide.Load{Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}}
}

// Update takes a change of the list.
func (p *protocol) Update(l core.List) { p.pool.update(l) }

// ReapIdle closes connections to servers that have stood idle for too long.
func (p *protocol) ReapIdle(ctx context.Context) { p.pool.reapIdle(ctx) }

// Shutdown closes the connections to servers.
func (p *protocol) Shutdown() { p.pool.shutdown() }

// kindOf is what an operation is, and what it says of its time. An error is an answer to its client.
func kindOf(m *ldapmsg.Message) (k kind, limit time.Duration, err error) {
	switch m.Op {
	case ldapmsg.SearchRequest:
		s, err := ldapmsg.ParseSearch(m.Content)
		if err != nil {
			return 0, 0, err
		}
		if s.Base {
			return kindLookup, time.Duration(s.TimeLimit) * time.Second, nil
		}
		return kindSearch, time.Duration(s.TimeLimit) * time.Second, nil
	case ldapmsg.CompareRequest:
		return kindCompare, 0, nil
	case ldapmsg.AddRequest:
		return kindAdd, 0, nil
	case ldapmsg.DelRequest:
		return kindDelete, 0, nil
	case ldapmsg.ModDNRequest:
		return kindModDN, 0, nil
	case ldapmsg.ExtRequest:
		name, _, err := ldapmsg.ExtendedName(m.Content)
		switch {
		case err != nil:
			return 0, 0, err
		case name == ldapmsg.OIDWhoAmI:
			return kindLookup, 0, nil
		case name == ldapmsg.OIDPasswordModify:
			return kindPassword, 0, nil
		}
		return kindExtended, 0, nil
	}
	return kindModify, 0, nil
}
