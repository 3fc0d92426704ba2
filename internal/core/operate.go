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

// Counts are what clients of one class were told since the start, and what servers were sent for them.
// Whoever writes an answer, or an attempt's last byte, counts it.
type Counts struct{ Answered, Deferred, Errored, Sends atomic.Int64 }

// Told counts a final answer.
func (c *Counts) Told(a Answer) {
	switch {
	case a.Gone:
	case a.Served != nil:
		c.Answered.Add(1)
	case a.Refused:
		c.Deferred.Add(1)
	default:
		c.Errored.Add(1)
	}
}

// Counts are those of a class.
func (l *Loop) Counts(class int) *Counts { return &l.told[class] }

// Figures are how an agent stands.
type Figures struct {
	Classes []ClassFigures // in the order of the settings
	Open    int64          // requests taken and not yet ended
	Listed  int            // servers that the list has
	Avoided int            // of these, those that get nothing now, by hand or by choice
}

// ClassFigures are a class's Counts at one moment.
type ClassFigures struct {
	Name                               string
	Answered, Deferred, Errored, Sends int64
}

// Figures tells how the agent stands. Of the servers it tells what held when the loop last answered
// within wait; the rest is of now.
func (a *Agent) Figures(wait time.Duration) Figures {
	f := Figures{Open: a.protocol.Open()}
	for i, name := range a.cfg.Site.Classes {
		c := a.loop.Counts(i)
		f.Classes = append(f.Classes, ClassFigures{name, c.Answered.Load(), c.Deferred.Load(), c.Errored.Load(), c.Sends.Load()})
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	q := standingQuery{make(chan struct{})}
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
	f.Listed, f.Avoided = int(a.loop.standing.listed.Load()), int(a.loop.standing.avoided.Load())
	return f
}

// standing is how the module last saw its servers.
type standing struct{ listed, avoided atomic.Int64 }

func (l *Loop) stand() {
	listed, avoided := l.balancer.BackendCounts()
	l.standing.listed.Store(int64(listed))
	l.standing.avoided.Store(int64(avoided))
}

// What operators ask of the loop.
type (
	standingQuery struct{ done chan struct{} }
	banned        struct { // out of use by hand, or back
		server string
		out    bool
		known  chan bool // of one
	}
)

// ErrStopped is of an agent whose loop has ended.
var ErrStopped = errors.New("the agent has stopped")

// Ban takes a server out of use, or back in. Once it has returned, nothing more is sent to one that is
// out, not even what is on its way to a connection. known is false for one that neither the list
// names nor is out: then nothing has changed, unless force is set.
func (a *Agent) Ban(ctx context.Context, server string, out, force bool) (known bool, err error) {
	e := banned{server, out, make(chan bool, 1)}
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
	return a.tell(banned{server, out, known})
}

// ban is what the loop does with one.
func (l *Loop) ban(e banned) {
	known := l.balancer.Knows(e.server)
	if known || len(e.known) > 0 {
		barred := map[string]bool{}
		if old := l.barred.Load(); old != nil {
			maps.Copy(barred, *old)
		}
		if delete(barred, e.server); e.out {
			barred[e.server] = true
		}
		l.barred.Store(&barred) // at once: attempts that have not been written see it
		l.pending = append(l.pending, decide.BackendDisabled{Backend: e.server, Disabled: e.out})
		l.log.Info("server taken out or back by hand", "server", e.server, "out", e.out)
	}
	select {
	case e.known <- known:
	default:
	}
}

// barred reports whether an operator has taken the attempt's server out since it was decided, or the list says that
// it drains or is gone: then it must not be sent. A connection may take long to come up.
func (a *Attempt) barred() bool {
	if up := a.loop.up.Load(); up != nil && !(*up)[a.Server] {
		return true
	}
	out := a.loop.barred.Load()
	return out != nil && (*out)[a.Server]
}

// tell has attempts that have not been written see what the list says now.
func (l *Loop) tell(e List) {
	if e.Kind == decide.ListFailed {
		return
	}
	up := map[string]bool{}
	if old := l.up.Load(); old != nil && e.Kind == decide.ListDelta {
		maps.Copy(up, *old)
	}
	for _, s := range e.Backends {
		if delete(up, s.ID); s.State == decide.Up {
			up[s.ID] = true
		}
	}
	l.up.Store(&up)
}

// Sent counts the attempt: its last byte is written.
func (a *Attempt) Sent() { a.loop.Counts(a.Class).Sends.Add(1) }

// leaveWithin is how long clients may still use the connections that they have once an operator sends
// them away: each ends with its next answer, and those on which nothing more came then close. It is
// past the time in which a front hears of it and sends new ones elsewhere, and short of the time at
// which none may be held.
const leaveWithin = 1200 * time.Millisecond

// Drain sends clients away, or takes them again. The agent goes on; what it has taken is answered.
func (a *Agent) Drain(on bool) {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	if a.loop.away.Swap(on) == on {
		return
	}
	a.log.Info("sent away or taken again by hand", "drained", on)
	a.leaving()
	if a.emptying != nil {
		a.emptying.Stop()
		a.emptying = nil
	}
	if on {
		a.emptyLater(leaveWithin)
	}
}

// emptyLater closes what is quiet after a while, and again and again while clients are sent away. The lock
// is held.
func (a *Agent) emptyLater(wait time.Duration) {
	a.emptying = time.AfterFunc(wait, func() {
		a.gate.CloseIdle()
		a.gate.CloseSilent(silentLeast) // new ones still come, and are served
		a.drainMu.Lock()
		defer a.drainMu.Unlock()
		if a.loop.away.Load() {
			a.emptyLater(100 * time.Millisecond)
		}
	})
}

// leaving has connections end with their next answer, or not.
func (a *Agent) leaving() { a.protocol.Drain(a.loop.away.Load() || a.stopping.Load()) }

// Drained reports whether an operator has sent its clients away.
func (a *Agent) Drained() bool { return a.loop.away.Load() }

// Accepting reports whether it takes clients' connections, and is not about to end.
func (a *Agent) Accepting() bool { return a.serving.Load() && !a.stopping.Load() }

// Beside tells it how many other processes of the same agent are alive: together they have the descriptors
// and the memory of one.
func (a *Agent) Beside(others int) {
	parts := max(0, others) + 1
	sockets := cmp.Or(a.cfg.Sockets, defaultSockets) / parts
	a.log.Info("processes of this agent", "beside", others, "sockets", sockets)
	a.gate.Resize(ClientSockets(sockets))
	a.protocol.Resize(sockets, a.cfg.BodyMemory()/parts)
}
