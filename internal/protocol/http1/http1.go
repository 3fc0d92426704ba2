// Package http1 serves HTTP/1.1 (RFC 9110 and RFC 9112) on the core's event loop: it reads clients' requests, makes
// the attempts that the balancer decides on, and writes the responses. Only package decide determines which server
// gets a request and whether the request is retried. The head of a message is its start line and its header section.
//
// The package owns the state of clients' connections and of the pool of connections to servers. This state does not
// outlive the agent. Three kinds of goroutines run in the package. Each client connection has a reader
// (clientConn.serve) and, from its first request on, a writer (runWriter). The loop calls Attempt and Probe from
// goroutines of their own. The agent's goroutine calls Serve, Update, Resize, Shutdown and the like.
//
//	frontend.go                                accepts clients' connections
//	conn.go, requestreader.go                  a client's connection and its reader
//	requesthead.go, field.go                   parses a request's head strictly
//	requestbody.go, upload.go, chunks.go       a request's body: buffered, or streamed to one server
//	request.go                                 checks and admits a request
//	responsewriter.go, render.go, stream.go    writes responses
//	attempt.go, forward.go, message.go         makes one attempt of a request
//	pool.go, serverconn.go, dial.go            the pool of connections to servers
//	responsereader.go, responsebody.go         parses a server's response strictly
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
	*frontend
	*connPool
}

// New returns an agent that speaks HTTP/1.1. Its errors are those of core.New.
func New(cfg *core.Config, log *slog.Logger, p core.Options) (*core.Agent, error) {
	a, _, err := newAgent(cfg, log, p)
	return a, err
}

func newAgent(cfg *core.Config, log *slog.Logger, p core.Options) (*core.Agent, *protocol, error) {
	var proto *protocol
	a, err := core.New(cfg, log, p, func(l *core.Loop) core.Protocol {
		proto = &protocol{newFrontend(cfg, l, log), newConnPool(cfg, l.MemoryShort, log)}
		return proto
	})
	return a, proto, err
}

// Serve accepts clients' connections until the limiter is closed.
func (p *protocol) Serve(limiter *core.ConnLimiter) error {
	return p.frontend.serve(limiter)
}

// SetDraining sets whether each client connection is closed after its next response.
func (p *protocol) SetDraining(on bool) { p.draining.Store(on) }

// Resize sets how many sockets may be open, and how many bytes of bodies may be buffered in each direction.
func (p *protocol) Resize(sockets, bytes int) {
	p.frontend.resize(sockets, bytes)
	p.connPool.resize(sockets, bytes)
}

// Close closes the remaining client connections, and waits for their readers.
func (p *protocol) Close() error { return p.frontend.closeConnections() }

// OpenRequests returns how many requests were received completely and have no final answer yet.
func (p *protocol) OpenRequests() int64 {
	return p.frontend.openRequests.Load() - p.frontend.openUploads.Load()
}

// HeldBytes returns the bytes of requests' and of responses' bodies that are buffered. It implements core.Holder.
func (p *protocol) HeldBytes() (requests, responses int64) {
	return p.bodyBudget.Used(), p.responseBudget.Used()
}

// Attempt sends a request to a server once. The second result is the response; it is nil unless the first is
// decide.OK.
func (p *protocol) Attempt(a *core.Attempt) (decide.Result, any, decide.Load) {
	result, r, load := p.attempt(a.Context, a, a.Server, a.Message.(*message))
	if r == nil {
		return result, nil, load // a nil interface, not a nil *response
	}
	return result, r, load
}

// Probe checks a server's health, and reads its load report where the site's probes return one.
func (p *protocol) Probe(server string) decide.ProbeResult { return p.probe(server) }

// Update applies a change of the endpoint list.
func (p *protocol) Update(l core.List) { p.update(l) }

// ReapIdle closes connections to servers that have been idle for too long, until ctx ends.
func (p *protocol) ReapIdle(ctx context.Context) {
	core.RunPeriodically(ctx, p.maxIdle/reapsPerMaxIdle, p.reapIdle)
}

// Shutdown closes the idle connections to servers. From then on no connection is kept.
func (p *protocol) Shutdown() { p.shutdown() }
