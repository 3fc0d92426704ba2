package ldap

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/protocol/ldapmsg"
)

// dial opens an anonymous connection for a health check.
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
		return nil, core.ErrNoAddress
	case full:
		return nil, core.ErrNoSocket
	}
	return p.connect(ctx, server, addr)
}

// connect opens an anonymous connection within the connect timeout. The caller has already counted the connection as
// open. An error that wraps errServerTLS means that a process accepted the TCP connection, and TLS failed.
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
	// Another server may have taken over the address in the meantime.
	if current, known := p.addresses.Addr(server); !known || current != addr {
		p.open--
		_ = nc.Close()
		return nil, errMovedWhileDialling
	}
	c := &serverConn{
		pool:      p,
		server:    server,
		conn:      nc,
		users:     1,
		exclusive: true,
		idleSince: time.Now(),
		calls:     map[int32]*call{},
	}
	key := poolKey{server: server}
	p.conns[key] = append(p.conns[key], c)
	go c.read()
	return c, nil
}

// connectTLS begins TLS on a connection, after a StartTLS request (RFC 4511, 4.14) if ServerTLS is "starttls". It
// never falls back to a connection without TLS.
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
			return nil, fmt.Errorf("unexpected response to StartTLS: result code %d", code)
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
