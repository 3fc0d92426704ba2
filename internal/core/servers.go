package core

import (
	"context"
	"errors"
	"syscall"

	"vetchhaven/decide"
)

// These errors prevent an attempt from opening a connection to its server.
var (
	ErrNoSocket  = errors.New("no file descriptor left for another connection")
	ErrNoAddress = errors.New("the server has no address")
)

// Addresses are the listed addresses of servers. They are not safe for concurrent use.
type Addresses struct {
	byID  map[string]string
	owner map[string]string // server by address
}

// Addr returns a server's address.
func (a *Addresses) Addr(id string) (addr string, known bool) {
	addr, known = a.byID[id]
	return addr, known
}

// Server returns the server that has an address, or an empty string if there is none.
func (a *Addresses) Server(addr string) string { return a.owner[addr] }

// Len returns the number of servers that have an address, and the number of addresses.
func (a *Addresses) Len() (servers, addresses int) { return len(a.byID), len(a.owner) }

// Update applies a change of the list. It calls forget for each server that is removed or whose address changes,
// because another process may answer at its old address.
func (a *Addresses) Update(l List, forget func(id string)) {
	if a.byID == nil {
		a.byID = map[string]string{}
		a.owner = map[string]string{}
	}
	if l.Kind != decide.ListDelta && l.Kind != decide.ListFailed {
		for id := range a.byID {
			if _, listed := l.Addrs[id]; !listed {
				a.remove(id, forget)
			}
		}
	}
	for _, s := range l.Backends {
		addr, ok := l.Addrs[s.ID]
		if !ok || a.byID[s.ID] != addr {
			a.remove(s.ID, forget)
		}
		if ok {
			a.set(s.ID, addr, forget)
		}
	}
}

// set sets the address of a server. Another server that had the address before is removed, even if its own new entry
// follows later in the list, because requests for that server must not reach this one.
func (a *Addresses) set(id, addr string, forget func(id string)) {
	if previous, taken := a.owner[addr]; taken && previous != id {
		a.remove(previous, forget)
	}
	a.byID[id] = addr
	a.owner[addr] = id
}

func (a *Addresses) remove(id string, forget func(id string)) {
	if addr, ok := a.byID[id]; ok {
		delete(a.owner, addr)
		delete(a.byID, id)
	}
	forget(id)
}

// ResultOfConnectError returns the result of an attempt that got no connection, for the error that prevented it.
//
// With ConnectFailed the balancer assumes that the server's process has ended, and begins a complete slow start with
// its next answer. Only a refused connection proves that the process has ended, or a list that has no address for the
// server. A reset, even before dial has returned, proves nothing about the process: it may come from a proxy, a full
// accept queue or a firewall. If something else accepts connections while a server restarts, only the list shows the
// restart.
//
// A timeout of the attempt is no evidence about the process. Neither are errors of this machine's own network: after a
// loss of the network or of a route, the server's process is the same. Servers that no member can reach are ejected in
// these cases too. If a server became unreachable without refusing a connection and was restarted, it counts as warm
// until the list reports the start.
func ResultOfConnectError(ctx context.Context, err error) decide.Result {
	switch {
	case errors.Is(err, ErrNoSocket), outOfDescriptors(err), errors.Is(err, syscall.EADDRNOTAVAIL):
		return decide.NotSent // this machine had no descriptor, memory or port for it
	case errors.Is(context.Cause(ctx), ErrCancelled):
		return decide.Cancelled
	case errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil, errors.Is(err, ErrNoAddress):
		return decide.ConnectFailed
	}
	return decide.Incomplete
}
