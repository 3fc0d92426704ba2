package core

import (
	"context"

	"vetchhaven/decide"
)

// Protocol reads clients' requests, makes attempts at servers and writes answers. It submits each request to the
// loop (Loop.Submit), and passes the request's final answer to the client.
type Protocol interface {
	// Serve serves clients' connections until the limiter is closed.
	Serve(l *ConnLimiter) error
	// SetDraining sets whether each client connection is closed once all requests on it are answered.
	SetDraining(draining bool)
	// Resize sets the total number of descriptors for clients and servers, and the maximum number of bytes of buffered
	// bodies, separately for clients' and for servers' bodies. It may be called at any time; see
	// Agent.SetOtherProcesses.
	Resize(sockets, bytes int)
	// Close closes the remaining client connections.
	Close() error
	// OpenRequests returns how many requests are open.
	OpenRequests() int64

	// Attempt sends a request to a server, once, and returns the outcome. It returns soon after the attempt's context
	// has ended, and sends nothing once the request has ended. A result for which decide.Result.NeverRan reports true
	// may be returned only if it is certain that the request was not executed. If the result is OK, the response
	// becomes Answer.Response.
	Attempt(a *Attempt) (result decide.Result, response any, load decide.Load)
	// Probe checks a server's health outside any request.
	Probe(server string) decide.ProbeResult
	// Update applies a change of the endpoint list. The loop calls it; it must not block.
	Update(l List)
	// ReapIdle closes connections to servers that have been idle for too long, until ctx ends.
	ReapIdle(ctx context.Context)
	// Shutdown closes the connections to servers. Connections that are used later are not kept open either.
	Shutdown()
}

// Discarder is implemented by a response that has reserved memory until it was written or is not needed.
type Discarder interface{ Discard() }

// discard releases a response that is not used.
func discard(response any) {
	if d, ok := response.(Discarder); ok {
		d.Discard()
	}
}

// List is an endpoint list, or a change of it, as the balancer represents it, with the servers' addresses and start
// times.
type List struct {
	decide.ListUpdate
	Addrs  map[string]string // by server; removed servers have none
	Starts map[string]int64  // start times of the servers' processes, Unix milliseconds; 0: long ago
	Saved  bool              // the list was read from disk, so its age is unknown
}
