package core

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
)

// ClassCounts are what clients of one class were told since the start, and what servers were sent for them.
// Whoever writes an answer, or an attempt's last byte, counts it.
type ClassCounts struct{ Answered, Deferred, Errored, Sends atomic.Int64 }

// CountAnswer counts a final answer.
func (c *ClassCounts) CountAnswer(a Answer) {
	switch {
	case a.ClientDisconnected:
	case a.Served != nil:
		c.Answered.Add(1)
	case a.Refused:
		c.Deferred.Add(1)
	default:
		c.Errored.Add(1)
	}
}

// ClassCounts are those of a class.
func (l *Loop) ClassCounts(class int) *ClassCounts { return &l.classCounts[class] }

// Status are how an agent stands.
type Status struct {
	Classes []ClassStatus // in the order of the settings
	Open    int64         // requests taken and not yet ended
	Listed  int           // servers that the list has
	Avoided int           // of these, those that get nothing now, by hand or by choice
}

// ClassStatus are a class's Counts at one moment.
type ClassStatus struct {
	Name                               string
	Answered, Deferred, Errored, Sends int64
}

// Status tells how the agent stands. Of the servers it tells what held when the loop last answered
// within wait; the rest is of now.
func (a *Agent) Status(wait time.Duration) Status {
	f := Status{Open: a.protocol.OpenRequests()}
	for i, name := range a.cfg.Site.Classes {
		c := a.loop.ClassCounts(i)
		f.Classes = append(f.Classes, ClassStatus{name, c.Answered.Load(), c.Deferred.Load(), c.Errored.Load(), c.Sends.Load()})
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	q := backendCountsQuery{make(chan struct{})}
	select {
	case a.loop.events <- q:
		select {
		case <-q.done:
		case <-a.loop.stopped:
		case <-limit.C:
		}
	case <-a.loop.stopped:
	case <-limit.C:
	}
	f.Listed, f.Avoided = int(a.loop.backendCounts.listed.Load()), int(a.loop.backendCounts.avoided.Load())
	return f
}

// backendCounts is how the module last saw its servers.
type backendCounts struct{ listed, avoided atomic.Int64 }

func (l *Loop) updateBackendCounts() {
	listed, avoided := l.balancer.BackendCounts()
	l.backendCounts.listed.Store(int64(listed))
	l.backendCounts.avoided.Store(int64(avoided))
}

// What operators ask of the loop.
type (
	backendCountsQuery struct{ done chan struct{} }
	disableServer      struct { // out of use by hand, or back
		server   string
		disabled bool
		known    chan bool // of one
	}
)

// ErrStopped is of an agent whose loop has ended.
var ErrStopped = errors.New("the agent has stopped")

// Ban takes a server out of use, or back in. Once it has returned, nothing more is sent to one that is
// out, not even what is on its way to a connection. known is false for one that neither the list
// names nor is out: then nothing has changed, unless force is set.
func (a *Agent) Ban(ctx context.Context, server string, out, force bool) (known bool, err error) {
	e := disableServer{server, out, make(chan bool, 1)}
	if force {
		e.known <- true
	}
	select {
	case a.loop.events <- e:
	case <-a.loop.stopped:
		return false, ErrStopped
	case <-ctx.Done():
		return false, ctx.Err()
	}
	if force {
		return true, nil
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

// Bar takes a server out of use, or back in, whether or not it is known. It does not wait, and reports whether the loop
// has room to hear of it.
func (a *Agent) Bar(server string, out bool) bool {
	known := make(chan bool, 1)
	known <- true
	return a.tryPost(disableServer{server, out, known})
}

// onDisableServer is what the loop does with one.
func (l *Loop) onDisableServer(e disableServer) {
	known := l.balancer.Knows(e.server)
	if known || len(e.known) > 0 {
		barred := map[string]bool{}
		if old := l.disabled.Load(); old != nil {
			maps.Copy(barred, *old)
		}
		if delete(barred, e.server); e.disabled {
			barred[e.server] = true
		}
		l.disabled.Store(&barred) // at once: attempts that have not been written see it
		l.pending = append(l.pending, decide.BackendDisabled{Backend: e.server, Disabled: e.disabled})
		l.log.Info("server taken out or back by hand", "server", e.server, "out", e.disabled)
	}
	select {
	case e.known <- known:
	default:
	}
}

// serverWithdrawn reports whether an operator has taken the attempt's server out since it was decided, or the list says that
// it drains or is gone: then it must not be sent. A connection may take long to come up.
func (a *Attempt) serverWithdrawn() bool {
	if up := a.loop.readyServers.Load(); up != nil && !(*up)[a.Server] {
		return true
	}
	out := a.loop.disabled.Load()
	return out != nil && (*out)[a.Server]
}

// noteServerStates has attempts that have not been written see what the list says now.
func (l *Loop) noteServerStates(e List) {
	if e.Kind == decide.ListFailed {
		return
	}
	up := map[string]bool{}
	if old := l.readyServers.Load(); old != nil && e.Kind == decide.ListDelta {
		maps.Copy(up, *old)
	}
	for _, s := range e.Backends {
		if delete(up, s.ID); s.State == decide.Up {
			up[s.ID] = true
		}
	}
	l.readyServers.Store(&up)
}

// Sent counts the attempt: its last byte is written.
func (a *Attempt) Sent() { a.loop.ClassCounts(a.Class).Sends.Add(1) }

// clientDrainPeriod is how long clients may still use the connections that they have once an operator sends
// them away: each ends with its next answer, and those on which nothing more came then close. It is
// past the time in which a front hears of it and sends new ones elsewhere, and short of the time at
// which none may be held.
const clientDrainPeriod = 1200 * time.Millisecond

// Drain sends clients away, or takes them again. The agent goes on; what it has taken is answered.
func (a *Agent) Drain(on bool) {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	if a.loop.drained.Swap(on) == on {
		return
	}
	a.log.Info("sent away or taken again by hand", "drained", on)
	a.updateDraining()
	if a.idleCloser != nil {
		a.idleCloser.Stop()
		a.idleCloser = nil
	}
	if on {
		a.scheduleIdleClose(clientDrainPeriod)
	}
}

// scheduleIdleClose closes what is quiet after a while, and again and again while clients are sent away. The lock
// is held.
func (a *Agent) scheduleIdleClose(wait time.Duration) {
	a.idleCloser = time.AfterFunc(wait, func() {
		a.limiter.CloseIdle()
		a.limiter.CloseSilent(minSilent) // new ones still come, and are served
		a.drainMu.Lock()
		defer a.drainMu.Unlock()
		if a.loop.drained.Load() {
			a.scheduleIdleClose(100 * time.Millisecond)
		}
	})
}

// updateDraining has connections end with their next answer, or not.
func (a *Agent) updateDraining() { a.protocol.SetDraining(a.loop.drained.Load() || a.stopping.Load()) }

// Drained reports whether an operator has sent its clients away.
func (a *Agent) Drained() bool { return a.loop.drained.Load() }

// Accepting reports whether it takes clients' connections, and is not about to end.
func (a *Agent) Accepting() bool { return a.serving.Load() && !a.stopping.Load() }

// SetOtherProcesses tells it how many other processes of the same agent are alive: together they have the descriptors
// and the memory of one.
func (a *Agent) SetOtherProcesses(others int) {
	parts := max(0, others) + 1
	sockets := cmp.Or(a.cfg.Sockets, defaultSockets) / parts
	a.log.Info("processes of this agent", "beside", others, "sockets", sockets)
	a.limiter.Resize(ClientSockets(sockets))
	a.protocol.Resize(sockets, a.cfg.BodyMemory()/parts)
}
