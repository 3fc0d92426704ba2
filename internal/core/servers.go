package core

import (
	"context"
	"errors"
	"syscall"

	"vetchhaven/decide"
)

// Errors for which no connection to a server is even tried.
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

// Server returns the server that has an address; empty: none has.
func (a *Addresses) Server(addr string) string { return a.owner[addr] }

// Len returns how many servers and how many addresses are known.
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

// set gives a server an address. Another server that had the address before is removed, though its own entry may
// still be to come: what is meant for that server must not reach this one.
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

// NotConnected returns the result of an attempt that has no connection, by the error that prevented it.
//
// ConnectFailed tells the balancer that the server's process has ended: its next answer counts as the answer of a
// cold process, for all of the slow start. Only a refused connection shows this, or a list that has no address for
// the server. A connection that is reset, even before dial has returned, had a process at its other end: it may be a
// proxy, a full accept queue or a firewall that answers with resets. If something else accepts connections while a
// server restarts, the restart shows only in the list.
//
// A timeout of the attempt says nothing about a process, and neither do errors that this machine's network reports
// about itself: a machine that was cut off, or had no route, comes back as it was. Servers that no member reaches
// are ejected for it all the same. A server that vanished, and starts anew before the list says so, counts as warm
// until it does.
func NotConnected(ctx context.Context, err error) decide.Result {
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
