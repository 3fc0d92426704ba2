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
	// errMovedWhileDialling means that the server's address has changed since the dial began.
	errMovedWhileDialling = errors.New("the server's address changed while a connection to it was being opened")
)

const (
	// reapsPerMaxIdle is how many times idle connections are checked within maxIdle. With fewer checks, connections
	// stay open for longer than maxIdle.
	reapsPerMaxIdle = 8
	minReapInterval = time.Millisecond
)

// poolKey identifies the connections that may serve an operation: those to one server that are bound as one identity.
type poolKey struct {
	server      string
	identityKey string
}

// Keys of no identity. Identity keys are "" (anonymous) or 32 bytes long.
const (
	// noIdentity is the key with which no connection is found.
	noIdentity = "\x00none"
	// unknownIdentity is the key of connections on which a bind was sent and no identity has been set since. The server
	// may execute the bind at any time, so that such a connection serves only the client that it is reserved for.
	unknownIdentity = "\x00unknown"
)

// connPool holds the connections to all servers. Its methods may be called from any goroutine. The caller holds p.mu
// if the comment of a method requires it.
type connPool struct {
	cfg     *core.Config
	options *Options
	tls     *tls.Config
	log     *slog.Logger
	// notSentLog limits the lines about attempts without a connection.
	notSentLog core.LogThrottle
	maxConns   int
	// responseBudget bounds the bytes of servers' messages that are being read.
	responseBudget *core.ByteBudget
	maxIdle        time.Duration // how long a connection may be idle
	dialer         func(ctx context.Context, network, addr string) (net.Conn, error)

	mu        sync.Mutex
	addresses core.Addresses
	conns     map[poolKey][]*serverConn
	open      int // connections that are open or being opened
	closed    bool
}

func newConnPool(cfg *core.Config, o *Options, t *tls.Config, memoryShort func() bool, log *slog.Logger) *connPool {
	return &connPool{
		cfg:            cfg,
		options:        o,
		tls:            t,
		log:            log,
		maxConns:       core.BackendSockets(cfg.Sockets),
		responseBudget: core.NewByteBudget(cfg.BodyMemory(), memoryShort),
		// Servers may close an idle connection after IdleClose. The margin of a quarter of that time is far longer
		// than any network delay.
		maxIdle: cfg.Site.IdleClose * 3 / 4,
		dialer:  (&net.Dialer{KeepAlive: -1}).DialContext,
		conns:   map[poolKey][]*serverConn{},
	}
}

// update applies a change of the endpoint list. Connections to a server that was removed, or whose address has
// changed, take no further operation.
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

// closeIfUnused closes a connection if no operation uses it and it must not be used again. The caller holds p.mu.
func (p *connPool) closeIfUnused(c *serverConn) {
	if c.closed || c.users > 0 || c.isReusable() && !p.closed {
		return
	}
	p.closeLocked(c)
}

// closeLocked removes a connection from the pool and closes it. The caller holds p.mu.
func (p *connPool) closeLocked(c *serverConn) {
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	p.removeFromList(c)
	go c.unbindAndClose()
}

// removeFromList removes a connection from the list of its server and identity. The caller holds p.mu.
func (p *connPool) removeFromList(c *serverConn) {
	key := poolKey{c.server, c.identityKey}
	list := slices.DeleteFunc(p.conns[key], func(other *serverConn) bool { return other == c })
	if len(list) > 0 {
		p.conns[key] = list
	} else {
		delete(p.conns, key)
	}
}

// acquire returns an open connection to a server that is bound as the given identity. If there is none that the
// operation may use, it returns nil and the address at which to open one, and counts the new connection as open
// already. An exclusive operation does not share its connection.
func (p *connPool) acquire(server, identityKey string, exclusive bool) (*serverConn, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.addresses.Addr(server)
	if !ok {
		return nil, "", core.ErrNoAddress
	}
	var best *serverConn
	// The connection with the most users is chosen, so that the others become idle and can be closed.
	for _, c := range p.conns[poolKey{server, identityKey}] {
		if c.exclusive || c.reserved || c.suspect || c.users > 0 && (exclusive || c.users >= p.options.MaxShared) {
			continue
		}
		if best == nil || c.users > best.users {
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

// evictOldest closes the connection that has been idle longest. It returns false if no connection is idle. The caller
// holds p.mu.
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

// reserve reserves a connection for the client that gets a response.
func (p *connPool) reserve(c *serverConn, r *finalResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.conn = c
	r.reservedFirst = !c.reserved
	c.reserved = true
}

// markSuspect makes a connection take no further operation, and close once no operation uses it.
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

// shutdown closes the connections. From then on, no connection is kept after its use.
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

// setIdentity moves a connection to the list of the identity that it is bound as now; nil is anonymous.
func (p *connPool) setIdentity(c *serverConn, ident *identity) { p.setIdentityKey(c, ident.keyOf()) }

// forgetIdentity takes a connection out of the list of its identity, because a bind is about to be sent on it. Whatever
// ends the wait for the response, no other client gets the connection, and it is closed once it is neither in use nor
// reserved, unless setIdentity is called for it.
func (p *connPool) forgetIdentity(c *serverConn) { p.setIdentityKey(c, unknownIdentity) }

func (p *connPool) setIdentityKey(c *serverConn, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed || c.identityKey == key {
		return
	}
	p.removeFromList(c)
	c.identityKey = key
	p.conns[poolKey{c.server, key}] = append(p.conns[poolKey{c.server, key}], c)
}
