// Package http1 is HTTP/1.1 on the core: the front (front.go, conn.go, head.go) serves clients, backends.go makes attempts
// on connections that it keeps, answer.go reads what servers say.
package http1

import (
	"context"
	"log/slog"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// protocol is HTTP/1.1 as the core knows it.
type protocol struct {
	*front
	*connPool
}

// New sets up an agent that speaks HTTP/1.1, with what it is given.
func New(cfg *core.Config, log *slog.Logger, p core.Parts) (*core.Agent, error) {
	a, _, err := newAgent(cfg, log, p)
	return a, err
}

func newAgent(cfg *core.Config, log *slog.Logger, p core.Parts) (*core.Agent, *protocol, error) {
	var own *protocol
	a, err := core.New(cfg, log, p, func(l *core.Loop) core.Protocol {
		own = &protocol{newFront(cfg, l, log), newConnPool(cfg, log)}
		return own
	})
	return a, own, err
}

// Serve takes clients' connections until the limiter is closed.
func (p *protocol) Serve(limiter *core.ConnLimiter) error {
	return p.front.serve(limiter)
}

// SetDraining has each connection end with its next answer, or not.
func (p *protocol) SetDraining(on bool) { p.draining.Store(on) }

// Resize has it use no more than so many descriptors and bytes.
func (p *protocol) Resize(sockets, bytes int) {
	p.front.resize(sockets, bytes)
	p.connPool.resize(sockets, bytes)
}

// Close ends what is left of clients' connections.
func (p *protocol) Close() error { return p.front.closeConnections() }

// OpenRequests is how many requests have come whole and are open.
func (p *protocol) OpenRequests() int64 {
	return p.front.openRequests.Load() - p.front.openUploads.Load()
}

// Attempt sends a request to a server, once.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, got, load := p.attempt(a.Context, a, a.Server, a.Message.(*message))
	if got == nil {
		return result, nil, load
	}
	return result, got, load
}

// Probe examines a server, with its load report where probes bring one.
func (p *protocol) Probe(server string) decide.ProbeResult { return p.probe(server) }

// Update takes a change of the list.
func (p *protocol) Update(l core.List) { p.update(l) }

// ReapIdle closes connections that have stood idle for too long.
func (p *protocol) ReapIdle(ctx context.Context) { p.reapIdle(ctx) }

// Shutdown closes the connections to servers.
func (p *protocol) Shutdown() { p.shutdown() }
