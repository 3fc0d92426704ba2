// Package http1 serves HTTP/1.1 (RFC 9110 and 9112) on the core's event loop: it reads clients' requests, makes the attempts
// that the balancer decides on, and writes the responses. Which server gets a request, and whether it is retried, is decided
// by package decide alone.
//
// It owns the state of clients' connections and of the pool of connections to servers, and nothing of it outlives the agent.
// Three kinds of goroutines run in it. Each client connection has a reader (clientConn.serve) and, from its first request on,
// a writer (runWriter). The loop's attempts call Attempt and Probe from goroutines of their own. The agent's goroutine calls
// Serve, Update, Resize, Shutdown and the like.
//
//	front.go                                   accepts clients' connections
//	conn.go, requestreader.go                  a client's connection, its reader
//	requesthead.go, field.go                   a request's head, checked strictly
//	requestbody.go, upload.go, chunks.go       a request's body: buffered, or streamed to one server
//	request.go                                 checks and admits a request
//	responsewriter.go, render.go, stream.go    writes responses
//	attempt.go, forward.go, message.go         makes one attempt of a request
//	pool.go, serverconn.go, dial.go            the idle pool of connections to servers
//	responsereader.go, responsebody.go         reads a server's response, checked strictly
//	probe.go                                   health checks and load reports
package http1

import (
	"context"
	"log/slog"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// protocol implements core.Protocol.
type protocol struct {
	*front
	*connPool
}

// New returns an agent that speaks HTTP/1.1. It fails as core.New does.
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

// SetDraining sets whether each connection ends with its next response.
func (p *protocol) SetDraining(on bool) { p.draining.Store(on) }

// Resize bounds the sockets, and the bytes of bodies in each direction.
func (p *protocol) Resize(sockets, bytes int) {
	p.front.resize(sockets, bytes)
	p.connPool.resize(sockets, bytes)
}

// Close closes the clients' connections that are left, and waits for their readers.
func (p *protocol) Close() error { return p.front.closeConnections() }

// OpenRequests is how many requests were received completely and have no final answer yet.
func (p *protocol) OpenRequests() int64 {
	return p.front.openRequests.Load() - p.front.openUploads.Load()
}

// Attempt sends a request to a server once. The second result is the response, nil unless the first is decide.OK.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, r, load := p.attempt(a.Context, a, a.Server, a.Message.(*message))
	if r == nil {
		return result, nil, load // an untyped nil
	}
	return result, r, load
}

// Probe checks a server's health, and reads its load report where the site's probes return one.
func (p *protocol) Probe(server string) decide.ProbeResult { return p.probe(server) }

// Update takes a change of the endpoint list.
func (p *protocol) Update(l core.List) { p.update(l) }

// ReapIdle closes connections to servers that have been idle for too long, until ctx ends.
func (p *protocol) ReapIdle(ctx context.Context) {
	core.RunPeriodically(ctx, p.maxIdle/reapsPerMaxIdle, p.reapIdle)
}

// Shutdown closes the idle connections to servers, and keeps none from now on.
func (p *protocol) Shutdown() { p.shutdown() }
