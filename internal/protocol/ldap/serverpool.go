package ldap

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"vetchhaven/internal/core"
)

// Errors of connecting to a server.
var (
	errServerTLS = errors.New("TLS with a server failed")
	// errMovedWhileDialling: the server has another address since the dial began.
	errMovedWhileDialling = errors.New("the server has moved while a connection to it came up")
)

const (
	// reapsPerMaxIdle is how often idle connections are checked within maxIdle. Fewer checks keep them for longer.
	reapsPerMaxIdle = 8
	minReapInterval = time.Millisecond
)

// poolKey names the connections that may serve an operation: those to one server that are bound as one identity.
type poolKey struct {
	server      string
	identityKey string
}

// connPool holds the connections to all servers. Its methods may be called from any goroutine; those that say so need the
// lock.
type connPool struct {
	cfg      *core.Config
	options  *Options
	tls      *tls.Config
	log      *slog.Logger
	maxConns int
	maxIdle  time.Duration // how long a connection may be idle
	dialer   func(ctx context.Context, network, addr string) (net.Conn, error)

	mu        sync.Mutex
	addresses core.Addresses
	conns     map[poolKey][]*serverConn
	open      int
	closed    bool
}

func newConnPool(cfg *core.Config, o *Options, t *tls.Config, log *slog.Logger) *connPool {
	return &connPool{
		cfg:      cfg,
		options:  o,
		tls:      t,
		log:      log,
		maxConns: core.BackendSockets(cfg.Sockets),
		// Servers may close an idle connection at IdleClose; a quarter of the time is far more than any network takes.
		maxIdle: cfg.Site.IdleClose * 3 / 4,
		dialer:  (&net.Dialer{KeepAlive: -1}).DialContext,
		conns:   map[poolKey][]*serverConn{},
	}
}

// update takes a change of the endpoint list. Connections to a server that was removed, or has another address, take no
// further operation.
func (p *connPool) update(l core.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses.Update(l, func(id string) {
		for key, list := range p.conns {
			if key.server != id {
				continue
			}
			for _, c := range slices.Clone(list) {
				c.suspect = true
				p.closeIfUnused(c)
			}
		}
	})
}

// closeIfUnused closes a connection that must not be used any more, once no operation has it. The lock is held.
func (p *connPool) closeIfUnused(c *serverConn) {
	if c.closed || c.users > 0 || !c.suspect && !p.closed {
		return
	}
	p.closeLocked(c)
}

// closeLocked removes a connection from the pool and closes it. The lock is held.
func (p *connPool) closeLocked(c *serverConn) {
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	p.unfile(c)
	go c.unbindAndClose()
}

// unfile removes a connection from the list of its server and identity. The lock is held.
func (p *connPool) unfile(c *serverConn) {
	key := poolKey{c.server, c.identityKey}
	list := slices.DeleteFunc(p.conns[key], func(other *serverConn) bool { return other == c })
	if len(list) > 0 {
		p.conns[key] = list
	} else {
		delete(p.conns, key)
	}
}

// acquire returns a connection on which an operation may run, bound already; or nil and the address at which to open a new
// one, which is counted as open. An operation that is exclusive shares the connection with no other.
func (p *connPool) acquire(server, identityKey string, exclusive bool) (*serverConn, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.addresses.Addr(server)
	if !ok {
		return nil, "", core.ErrMoved
	}
	var best *serverConn
	for _, c := range p.conns[poolKey{server, identityKey}] {
		if c.exclusive || c.reserved || c.suspect || c.users > 0 && (exclusive || c.users >= p.options.MaxShared) {
			continue
		}
		if best == nil || c.users > best.users { // few busy connections rather than many: the others may be closed
			best = c
		}
	}
	if best != nil {
		best.users++
		best.exclusive = exclusive
		return best, addr, nil
	}
	if p.open >= p.maxConns && !p.evictOldest() {
		return nil, "", core.ErrNoSocket
	}
	p.open++
	return nil, addr, nil
}

// evictOldest closes the connection that has been idle longest. It reports false if none is idle. The lock is held.
func (p *connPool) evictOldest() bool {
	var oldest *serverConn
	for _, list := range p.conns {
		for _, c := range list {
			if c.users == 0 && !c.reserved && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest)
	return true
}

// release ends an operation's use of a connection.
func (p *connPool) release(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.users--
	c.exclusive = false
	c.idleSince = time.Now()
	p.closeIfUnused(c)
}

// markSuspect has a connection take no further operation, and close once no operation has it.
func (p *connPool) markSuspect(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.suspect = true
	p.closeIfUnused(c)
}

// reapIdle closes connections that have been idle for too long.
func (p *connPool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.conns {
		for _, c := range slices.Clone(list) {
			if c.users == 0 && !c.reserved && time.Since(c.idleSince) >= p.maxIdle {
				p.closeLocked(c)
			}
		}
	}
}

// shutdown closes the connections, and keeps none from now on.
func (p *connPool) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.conns {
		for _, c := range slices.Clone(list) {
			p.closeLocked(c)
		}
	}
}

// setIdentity files a connection under the identity that it is bound as now.
func (p *connPool) setIdentity(c *serverConn, who *identity) {
	key := ""
	if who != nil {
		key = who.key
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed || c.identityKey == key {
		return
	}
	p.unfile(c)
	c.identityKey = key
	p.conns[poolKey{c.server, key}] = append(p.conns[poolKey{c.server, key}], c)
}
