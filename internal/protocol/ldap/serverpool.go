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
	errSecure = errors.New("TLS with a server failed")
	// errMovedMeanwhile is of a connection to where a server was as it was dialled.
	errMovedMeanwhile = errors.New("the server has moved while a connection to it came up")
)

// pool names the connections that may serve an operation: those to a server that are bound alike.
type pool struct{ server, who string }

// servers holds the connections to all servers.
type servers struct {
	cfg    *core.Config
	o      *Options
	tls    *tls.Config
	log    *slog.Logger
	most   int
	keep   time.Duration // a connection that has stood idle for so long is closed
	dialer func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	addrs  core.Addresses
	conns  map[pool][]*serverConn
	open   int
	closed bool
}

func newServers(cfg *core.Config, o *Options, t *tls.Config, log *slog.Logger) *servers {
	return &servers{cfg: cfg, o: o, tls: t, log: log, most: core.BackendSockets(cfg.Sockets), keep: cfg.Site.IdleClose * 3 / 4,
		dialer: (&net.Dialer{KeepAlive: -1}).DialContext, conns: map[pool][]*serverConn{}}
}

// update takes a change of the list. Connections to a server that is gone or has moved take nothing
// more.
func (v *servers) update(l core.List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addrs.Update(l, func(id string) {
		for key, list := range v.conns {
			if key.server != id {
				continue
			}
			for _, c := range slices.Clone(list) {
				c.suspect = true
				v.tidy(c)
			}
		}
	})
}

// tidy closes a connection that is of no more use. The lock is held.
func (v *servers) tidy(c *serverConn) {
	if c.gone || c.uses > 0 || !c.suspect && !v.closed {
		return
	}
	v.drop(c)
}

// drop takes a connection out of the books and closes it. The lock is held.
func (v *servers) drop(c *serverConn) {
	if c.gone {
		return
	}
	c.gone = true
	v.open--
	key := pool{c.server, c.who}
	if list := slices.DeleteFunc(v.conns[key], func(o *serverConn) bool { return o == c }); len(list) > 0 {
		v.conns[key] = list
	} else {
		delete(v.conns, key)
	}
	go c.goodbye()
}

// take finds a connection on which an operation may run, bound already, or books a place for a new
// one: then it returns the address.
func (v *servers) take(server, who string, alone bool) (*serverConn, string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addr, ok := v.addrs.Addr(server)
	if !ok {
		return nil, "", core.ErrMoved
	}
	var best *serverConn
	for _, c := range v.conns[pool{server, who}] {
		if c.alone || c.reserved || c.suspect || c.uses > 0 && (alone || c.uses >= v.o.Shared) {
			continue
		}
		if best == nil || c.uses > best.uses { // few busy ones rather than many: the others may go
			best = c
		}
	}
	if best != nil {
		best.uses++
		best.alone = alone
		return best, addr, nil
	}
	if v.open >= v.most && !v.evict() {
		return nil, "", core.ErrNoSocket
	}
	v.open++
	return nil, addr, nil
}

// evict closes the connection that has been idle longest. The lock is held.
func (v *servers) evict() bool {
	var oldest *serverConn
	for _, list := range v.conns {
		for _, c := range list {
			if c.uses == 0 && !c.reserved && (oldest == nil || c.since.Before(oldest.since)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	v.drop(oldest)
	return true
}

// give puts a connection back after an operation.
func (v *servers) give(c *serverConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.uses--
	c.alone = false
	c.since = time.Now()
	v.tidy(c)
}

// doubt has nothing new go on a connection; it closes once nothing is on it.
func (v *servers) doubt(c *serverConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.suspect = true
	v.tidy(c)
}

func (v *servers) reap(ctx context.Context) {
	tick := time.NewTicker(max(v.keep/8, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v.mu.Lock()
		for _, list := range v.conns {
			for _, c := range slices.Clone(list) {
				if c.uses == 0 && !c.reserved && time.Since(c.since) >= v.keep {
					v.drop(c)
				}
			}
		}
		v.mu.Unlock()
	}
}

func (v *servers) shut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	for _, list := range v.conns {
		for _, c := range slices.Clone(list) {
			v.drop(c)
		}
	}
}

// dial opens a connection as anybody for a probe.
func (v *servers) dial(ctx context.Context, server string) (*serverConn, error) {
	v.mu.Lock()
	addr, ok := v.addrs.Addr(server)
	full := v.open >= v.most && !v.evict()
	if ok && !full {
		v.open++
	}
	v.mu.Unlock()
	switch {
	case !ok:
		return nil, core.ErrMoved
	case full:
		return nil, core.ErrNoSocket
	}
	return v.connect(ctx, server, addr)
}

// connect opens a connection, of which nobody is bound, within the connect time-out. Its place is
// booked. After an error of errSecure there was a process.
func (v *servers) connect(ctx context.Context, server, addr string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, v.cfg.Settings.ConnectTimeout)
	defer cancel()
	nc, err := v.dialer(ctx, "tcp", addr)
	if err == nil && v.tls != nil {
		plain := nc
		if nc, err = v.secure(ctx, plain, addr); err != nil {
			_ = plain.Close()
			err = fmt.Errorf("%w: %w", errSecure, err)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.open--
		return nil, err
	}
	if now, known := v.addrs.Addr(server); !known || now != addr { // meanwhile: what has its address by now may be another
		v.open--
		_ = nc.Close()
		return nil, errMovedMeanwhile
	}
	c := &serverConn{v: v, server: server, conn: nc, uses: 1, alone: true, since: time.Now(), calls: map[int32]*call{}}
	v.conns[pool{server, ""}] = append(v.conns[pool{server, ""}], c)
	go c.read()
	return c, nil
}

// secure takes a connection into TLS, by StartTLS where that is set. There is no way back to plain.
func (v *servers) secure(ctx context.Context, nc net.Conn, addr string) (net.Conn, error) {
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if v.o.ServerTLS == "starttls" {
		if _, err := nc.Write(ldapmsg.Extended(1, ldapmsg.OIDStartTLS, nil)); err != nil {
			return nil, err
		}
		in := ldapmsg.NewReader(nc, v.o.MostMessage)
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
	cfg := v.tls
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

// rename books a connection as one that is bound.
func (v *servers) rename(c *serverConn, who *identity) {
	key := ""
	if who != nil {
		key = who.key
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.gone || c.who == key {
		return
	}
	old := pool{c.server, c.who}
	if list := slices.DeleteFunc(v.conns[old], func(x *serverConn) bool { return x == c }); len(list) > 0 {
		v.conns[old] = list
	} else {
		delete(v.conns, old)
	}
	c.who = key
	v.conns[pool{c.server, key}] = append(v.conns[pool{c.server, key}], c)
}
