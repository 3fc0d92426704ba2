package core

import (
	"context"
	"errors"
	"syscall"

	"vetchhaven/decide"
)

// Reasons for which no connection to a server was even tried.
var (
	ErrNoSocket = errors.New("no file descriptor left for another connection")
	ErrMoved    = errors.New("the server has no address")
)

// Addresses are the addresses of servers by the list. Its user locks it.
type Addresses struct {
	byID  map[string]string
	owner map[string]string // server by address
}

// Addr is a server's address.
func (a *Addresses) Addr(id string) (addr string, known bool) {
	addr, known = a.byID[id]
	return addr, known
}

// Server is the server that has an address; empty: none has.
func (a *Addresses) Server(addr string) string { return a.owner[addr] }

// Len is how many servers and how many addresses are known.
func (a *Addresses) Len() (servers, addresses int) { return len(a.byID), len(a.owner) }

// Update takes a change of the list. It calls forget for each server that is removed or has another address: under its
// old one another process may answer.
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

// set gives a server an address. Another one that had it before is gone, though its own entry may still be to come:
// what is meant for that must not reach this one.
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

// NotConnected is the result of an attempt for which there is no connection, by the error that says why.
//
// ConnectFailed tells the balancer that the process has ended: its next answer counts as that of a cold one, for all of
// the slow start. Only a refused connection says so, or that the list has no address for the server. A connection that
// is reset, even before dial has returned, had a process at its other end: it may be a proxy, a full accept queue or a
// firewall that answers with resets. A restart behind something that accepts connections meanwhile shows only in the
// list.
//
// A timeout of the attempt says nothing about a process, nor does what this machine's network says about itself: a
// machine that is cut off, or that no route leads to, comes back as it was. Servers that no member reaches are ejected
// for it all the same; one that vanished, and starts anew before the list says so, counts as warm until it does.
func NotConnected(ctx context.Context, err error) decide.Result {
	switch {
	case errors.Is(err, ErrNoSocket), outOfDescriptors(err), errors.Is(err, syscall.EADDRNOTAVAIL):
		return decide.NotSent // this machine had no descriptor, memory or port for it
	case errors.Is(context.Cause(ctx), ErrCancelled):
		return decide.Cancelled
	case errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil, errors.Is(err, ErrMoved):
		return decide.ConnectFailed
	}
	return decide.Incomplete
}
