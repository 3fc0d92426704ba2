package core

import (
	"context"
	"errors"
	"syscall"

	"vetchhaven/decide"
)

// Why no connection to a server was even tried.
var (
	ErrNoSocket = errors.New("no file descriptor left for another connection")
	ErrMoved    = errors.New("the server has no address")
)

// Addresses are where servers are, as the list tells it. Whoever holds it sees to its lock.
type Addresses struct {
	byID  map[string]string
	owner map[string]string // the server by address
}

// Addr is a server's address.
func (a *Addresses) Addr(id string) (addr string, known bool) {
	addr, known = a.byID[id]
	return addr, known
}

// Server is the server whose address it is; empty: nobody's.
func (a *Addresses) Server(addr string) string { return a.owner[addr] }

// Len is how many servers and how many addresses are known.
func (a *Addresses) Len() (servers, addresses int) { return len(a.byID), len(a.owner) }

// Update takes a change of the list. forget is called for each server that is gone or has moved:
// under its old address another process may answer.
func (a *Addresses) Update(l List, forget func(id string)) {
	if a.byID == nil {
		a.byID, a.owner = map[string]string{}, map[string]string{}
	}
	drop := func(id string) {
		if addr, ok := a.byID[id]; ok {
			delete(a.owner, addr)
			delete(a.byID, id)
		}
		forget(id)
	}
	if l.Kind != decide.ListDelta && l.Kind != decide.ListFailed {
		for id := range a.byID {
			if _, listed := l.Addrs[id]; !listed {
				drop(id)
			}
		}
	}
	for _, s := range l.Backends {
		addr, ok := l.Addrs[s.ID]
		if !ok || a.byID[s.ID] != addr {
			drop(s.ID)
		}
		if ok {
			// Another that was there before is gone, though its own entry may still be on the way:
			// what is meant for it must not reach this one.
			if old, taken := a.owner[addr]; taken && old != s.ID {
				drop(old)
			}
			a.byID[s.ID], a.owner[addr] = addr, s.ID
		}
	}
}

// NotConnected is the result of an attempt for which there is no connection, by the error that says why.
func NotConnected(ctx context.Context, err error) decide.Result {
	switch {
	case errors.Is(err, ErrNoSocket), outOfDescriptors(err), errors.Is(err, syscall.EADDRNOTAVAIL):
		return decide.NotSent // no fault of the server: this machine had no descriptor, memory or port for it
	case errors.Is(context.Cause(ctx), ErrCancelled):
		return decide.Cancelled
	// ConnectFailed tells the module that the process has ended: its next answer counts as that
	// of a cold one, for the whole ramp. Only a refusal says so, or that the list has no address for it.
	case errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil, errors.Is(err, ErrMoved):
		return decide.ConnectFailed
	}
	// A connection that is reset, even before dial has returned, had somebody at its other end; and that an
	// attempt's own time is up says nothing of a process, nor does what this machine's network says of itself.
	// Covers also proxies, full accept queues and firewalls that answer with resets.
	// It could hurt where something in front of a process takes its connections while it
	// restarts: the restart then shows only in the list. A connection that has not come up in time says as little:
	// it may be late, and a machine that is cut off, or that nothing leads to, comes back as it was. Servers that
	// all others reach are ejected for it all the same; one that vanished, and starts anew before the list says so,
	// counts as warm until it does.
	return decide.Incomplete
}
