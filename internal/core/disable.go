package core

import (
	"context"
	"errors"
	"maps"

	"vetchhaven/decide"
)

// ErrStopped is the error of a call to an agent whose loop has ended.
var ErrStopped = errors.New("the agent has stopped")

// disableServer is posted to make the loop disable a server, or enable it again.
type disableServer struct {
	server        string
	disabled      bool
	evenIfUnknown bool
	known         chan bool // receives whether the server is known; buffers one value; nil: the caller does not wait
}

// SetServerDisabled disables a server, or enables it again. Once it has returned, no further request is sent to a
// disabled server, not even by attempts that are waiting for a connection. It reports whether the server is known: it
// is listed, or was disabled before. If it is not known, the call has no effect. The error is ErrStopped or that of
// ctx.
func (a *Agent) SetServerDisabled(ctx context.Context, server string, disabled bool) (known bool, err error) {
	e := disableServer{server: server, disabled: disabled, known: make(chan bool, 1)}
	if err := a.postDisable(ctx, e); err != nil {
		return false, err
	}
	select {
	case known = <-e.known:
		return known, nil
	case <-a.loop.stopped:
		return false, ErrStopped
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// ForceServerDisabled disables a server, or enables it again, whether or not it is known. It waits until the loop's
// queue has accepted the change, but not until the change is made, so it may be called before Run. The error is
// ErrStopped or that of ctx.
func (a *Agent) ForceServerDisabled(ctx context.Context, server string, disabled bool) error {
	return a.postDisable(ctx, disableServer{server: server, disabled: disabled, evenIfUnknown: true})
}

func (a *Agent) postDisable(ctx context.Context, e disableServer) error {
	select {
	case a.loop.events <- e:
		return nil
	case <-a.loop.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryForceServerDisabled is ForceServerDisabled without waiting: it reports false if the loop's queue is full.
func (a *Agent) TryForceServerDisabled(server string, disabled bool) bool {
	return a.loop.tryPost(disableServer{server: server, disabled: disabled, evenIfUnknown: true})
}

func (l *Loop) onDisableServer(e disableServer) {
	known := l.balancer.HasBackend(e.server)
	if known || e.evenIfUnknown {
		l.setDisabled(e.server, e.disabled)
	}
	if e.known != nil {
		e.known <- known
	}
}

// setDisabled changes the set of disabled servers. The change applies at once to attempts whose first byte has not been
// written yet.
func (l *Loop) setDisabled(server string, disabled bool) {
	all := map[string]bool{}
	if previous := l.disabled.Load(); previous != nil {
		maps.Copy(all, *previous)
	}
	delete(all, server)
	if disabled {
		all[server] = true
	}
	l.disabled.Store(&all)
	l.pending = append(l.pending, decide.BackendDisabled{Backend: server, Disabled: disabled})
	l.log.Info("server disabled or enabled by an operator", "server", server, "out", disabled)
}

// noteServerStates records which servers the list has as ready. The change applies at once to attempts whose first byte
// has not been written yet.
func (l *Loop) noteServerStates(list List) {
	if list.Kind == decide.ListFailed {
		return
	}
	ready := map[string]bool{}
	if previous := l.readyServers.Load(); previous != nil && list.Kind == decide.ListDelta {
		maps.Copy(ready, *previous)
	}
	for _, s := range list.Backends {
		delete(ready, s.ID)
		if s.State == decide.Up {
			ready[s.ID] = true
		}
	}
	l.readyServers.Store(&ready)
}
