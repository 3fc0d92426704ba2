package ldap

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"
	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

var (
	errServerTLS = errors.New("TLS with a server failed")
	// errMovedWhileDialling is of a connection to where a server was as it was dialled.
	errMovedWhileDialling = errors.New("the server has moved while a connection to it came up")
)

// poolKey names the connections that may serve an operation: those to a server that are bound alike.
type poolKey struct{ server, identityKey string }

// connPool holds the connections to all servers.
type connPool struct {
	cfg      *core.Config
	options  *Options
	tls      *tls.Config
	log      *slog.Logger
	maxConns int
	maxIdle  time.Duration // a connection that has stood idle for so long is closed
	dialer   func(ctx context.Context, network, addr string) (net.Conn, error)

	mu        sync.Mutex
	addresses core.Addresses
	conns     map[poolKey][]*serverConn
	open      int
	closed    bool
}

func newConnPool(cfg *core.Config, o *Options, t *tls.Config, log *slog.Logger) *connPool {
	return &connPool{cfg: cfg, options: o, tls: t, log: log, maxConns: core.BackendSockets(cfg.Sockets), maxIdle: cfg.Site.IdleClose * 3 / 4,
		dialer: (&net.Dialer{KeepAlive: -1}).DialContext, conns: map[poolKey][]*serverConn{}}
}

// update takes a change of the list. Connections to a server that is gone or has moved take nothing
// more.
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

// closeIfUnused closes a connection that is of no more use. The lock is held.
func (p *connPool) closeIfUnused(c *serverConn) {
	if c.closed || c.users > 0 || !c.suspect && !p.closed {
		return
	}
	p.closeLocked(c)
}

// closeLocked takes a connection out of the books and closes it. The lock is held.
func (p *connPool) closeLocked(c *serverConn) {
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	key := poolKey{c.server, c.identityKey}
	if list := slices.DeleteFunc(p.conns[key], func(o *serverConn) bool { return o == c }); len(list) > 0 {
		p.conns[key] = list
	} else {
		delete(p.conns, key)
	}
	go c.unbindAndClose()
}

// acquire finds a connection on which an operation may run, bound already, or books a place for a new
// one: then it returns the address.
func (p *connPool) acquire(server, who string, alone bool) (*serverConn, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.addresses.Addr(server)
	if !ok {
		return nil, "", core.ErrMoved
	}
	var best *serverConn
	for _, c := range p.conns[poolKey{server, who}] {
		if c.exclusive || c.reserved || c.suspect || c.users > 0 && (alone || c.users >= p.options.MaxShared) {
			continue
		}
		if best == nil || c.users > best.users { // few busy ones rather than many: the others may go
			best = c
		}
	}
	if best != nil {
		best.users++
		best.exclusive = alone
		return best, addr, nil
	}
	if p.open >= p.maxConns && !p.evictOldest() {
		return nil, "", core.ErrNoSocket
	}
	p.open++
	return nil, addr, nil
}

// evictOldest closes the connection that has been idle longest. The lock is held.
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

// release puts a connection back after an operation.
func (p *connPool) release(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.users--
	c.exclusive = false
	c.idleSince = time.Now()
	p.closeIfUnused(c)
}

// markSuspect has nothing new go on a connection; it closes once nothing is on it.
func (p *connPool) markSuspect(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.suspect = true
	p.closeIfUnused(c)
}

func (p *connPool) reapIdle(ctx context.Context) {
	tick := time.NewTicker(max(p.maxIdle/8, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		for _, list := range p.conns {
			for _, c := range slices.Clone(list) {
				if c.users == 0 && !c.reserved && time.Since(c.idleSince) >= p.maxIdle {
					p.closeLocked(c)
				}
			}
		}
		p.mu.Unlock()
	}
}

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

// dial opens a connection as anybody for a probe.
func (p *connPool) dial(ctx context.Context, server string) (*serverConn, error) {
	p.mu.Lock()
	addr, ok := p.addresses.Addr(server)
	full := p.open >= p.maxConns && !p.evictOldest()
	if ok && !full {
		p.open++
	}
	p.mu.Unlock()
	switch {
	case !ok:
		return nil, core.ErrMoved
	case full:
		return nil, core.ErrNoSocket
	}
	return p.connect(ctx, server, addr)
}

// connect opens a connection, of which nobody is bound, within the connect time-out. Its place is
// booked. After an error of errSecure there was a process.
func (p *connPool) connect(ctx context.Context, server, addr string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Settings.ConnectTimeout)
	defer cancel()
	nc, err := p.dialer(ctx, "tcp", addr)
	if err == nil && p.tls != nil {
		plain := nc
		if nc, err = p.connectTLS(ctx, plain, addr); err != nil {
			_ = plain.Close()
			err = fmt.Errorf("%w: %w", errServerTLS, err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		return nil, err
	}
	if now, known := p.addresses.Addr(server); !known || now != addr { // meanwhile: what has its address by now may be another
		p.open--
		_ = nc.Close()
		return nil, errMovedWhileDialling
	}
	c := &serverConn{pool: p, server: server, conn: nc, users: 1, exclusive: true, idleSince: time.Now(), calls: map[int32]*call{}}
	p.conns[poolKey{server, ""}] = append(p.conns[poolKey{server, ""}], c)
	go c.read()
	return c, nil
}

// connectTLS takes a connection into TLS, by StartTLS where that is set. There is no way back to plain.
func (p *connPool) connectTLS(ctx context.Context, nc net.Conn, addr string) (net.Conn, error) {
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if p.options.ServerTLS == "starttls" {
		if _, err := nc.Write(ldapmsg.Extended(1, ldapmsg.OIDStartTLS, nil)); err != nil {
			return nil, err
		}
		in := ldapmsg.NewReader(nc, p.options.MaxMessage)
		raw, err := in.Next()
		if err != nil {
			return nil, err
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			return nil, err
		}
		if code, ok := m.Code(); m.ID != 1 || m.Op != ldapmsg.ExtResponse || !ok || code != ldapmsg.Success || in.Buffered() > 0 {
			return nil, fmt.Errorf("StartTLS was answered with %d", code)
		}
	}
	cfg := p.tls
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	c := tls.Client(nc, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return c, nc.SetDeadline(time.Time{})
}

// setIdentity books a connection as one that is bound.
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
	old := poolKey{c.server, c.identityKey}
	if list := slices.DeleteFunc(p.conns[old], func(x *serverConn) bool { return x == c }); len(list) > 0 {
		p.conns[old] = list
	} else {
		delete(p.conns, old)
	}
	c.identityKey = key
	p.conns[poolKey{c.server, key}] = append(p.conns[poolKey{c.server, key}], c)
}
