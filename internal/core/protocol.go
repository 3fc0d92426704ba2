package core

import (
	"context"

	"vetchhaven/decide"
)

// Protocol reads clients' requests, makes attempts at servers and writes answers. It gives each request to the loop
// (Loop.Submit), and the request's final answer to the client.
type Protocol interface {
	// Serve serves clients' connections until the limiter is closed.
	Serve(l *ConnLimiter) error
	// SetDraining has each connection end once all requests on it are answered, or, with false, no longer.
	SetDraining(draining bool)
	// Resize bounds the descriptors of clients and servers together, and the bytes of bodies of clients and again of
	// servers. It may be called at any time; see Agent.SetOtherProcesses.
	Resize(sockets, bytes int)
	// Close ends what is left of clients' connections.
	Close() error
	// OpenRequests is how many requests are open.
	OpenRequests() int64

	// Attempt sends a request to a server, once, and returns the outcome. It returns soon after the attempt's context has
	// ended, and sends nothing once the request has ended. A result other than OK follows decide's table of outcomes:
	// where it is not certain that nothing was executed, it says so. The response, of an OK, becomes Answer.Served.
	Attempt(a *Attempt) (result decide.Result, response any, load decide.Load)
	// Probe checks a server's health outside any request.
	Probe(server string) decide.ProbeResult
	// Update takes a change of the endpoint list. It is called by the loop, and must not wait.
	Update(l List)
	// ReapIdle closes connections to servers that have been idle for too long, until ctx ends.
	ReapIdle(ctx context.Context)
	// Shutdown closes the connections to servers, and keeps none from now on.
	Shutdown()
}

// List is an endpoint list, or a change of it, in the balancer's terms, with the addresses that go with it.
type List struct {
	decide.ListUpdate
	Addrs  map[string]string // by server; removed servers have none
	Starts map[string]int64  // of the servers' processes, Unix milliseconds; 0: long ago
	Saved  bool              // it was read from a disk, so its age is not known
}
