package core

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
	"vetchhaven/internal/source/discovery"
)

// Agent is one agent: a loop, a connection limiter, a protocol and a source of the endpoint list.
type Agent struct {
	cfg       *Config
	log       *slog.Logger
	loop      *Loop
	protocol  Protocol
	discovery *listWatcher
	limiter   *ConnLimiter
	panics    chan error // holds one: the first panic in any of the agent's goroutines

	hub      *discovery.Hub // the list's source in place of discovery; nil: discovery
	hubMu    sync.Mutex     // of leaveHub
	unfollow func()         // unsubscribes from the hub; nil: not subscribed

	stopAccepting func() <-chan time.Time // ends the time in which a stopping agent accepts connections; nil: no time
	listWait      time.Duration           // see Parts.ListWait
	firstListWait time.Duration           // firstPushedListWait but in tests

	serving  atomic.Bool // clients' connections are accepted
	stopping atomic.Bool

	queueLeft atomic.Bool // see LeaveQueue

	drainMu    sync.Mutex  // of idleCloser and stopAccepting
	idleCloser *time.Timer // closes idle connections while an operator drains the agent
}

// Parts are what an agent is given in place of its own; with none it is the platform's agent.
type Parts struct {
	// Listener is a TCP or unix listener, which the agent closes.
	Listener net.Listener
	// Hub is the endpoint list, read once for many agents.
	Hub *discovery.Hub
	// NoLateConnections ends accepting at once when the agent is to stop: another one has the listener by then.
	NoLateConnections bool
	// ListWait is how long the agent waits for a list before it accepts connections: until then they wait in the
	// kernel's queue, where they would otherwise be refused for want of servers.
	ListWait time.Duration
	// StopAccepting, if set, ends the time in which a stopping agent still accepts connections; else that is
	// AcceptAfterStop.
	StopAccepting <-chan time.Time
	// ReportUsage receives the use of the agent's leases. The agent's loop calls it; it must not wait.
	ReportUsage func([]quota.Usage)
	// ReportOutcomes receives the outcomes of attempts at each server since the last call. The agent's loop calls it;
	// it must not wait.
	ReportOutcomes func([]OutcomeSample)
	// HeartbeatTimeout is how long a watch of the list may bring nothing; 0: discovery.Silence.
	HeartbeatTimeout time.Duration
}

// firstPushedListWait is how long a starting agent waits for the first message of a pushed list. Its stored list may be
// old, and what the list has counts as known from the first moment on: nothing may go to a server that drained long ago.
// Such a list is on the agent's own machine and answers at once; while it is down the agent serves by what it has. A
// watch that fails is opened anew within that time: it has said nothing.
const firstPushedListWait = time.Second

// New returns an agent that serves once Run is called. It listens by itself unless it is given a listener. newProtocol
// makes the protocol, with the loop to which that gives requests.
func New(cfg *Config, log *slog.Logger, parts Parts, newProtocol func(*Loop) Protocol) (*Agent, error) {
	a := &Agent{
		cfg:           cfg,
		log:           log,
		hub:           parts.Hub,
		listWait:      parts.ListWait,
		firstListWait: firstPushedListWait,
		panics:        make(chan error, 1),
		stopAccepting: stopAcceptingOf(parts),
	}
	clk := newClock()
	var err error
	if a.loop, err = newLoop(cfg, clk, nil, log); err != nil {
		return nil, err
	}
	a.loop.containPanic = a.containPanic
	a.loop.reportUsage = parts.ReportUsage
	a.loop.outcomes.report = parts.ReportOutcomes
	a.protocol = newProtocol(a.loop)
	a.loop.protocol = a.protocol
	a.discovery = newListWatcher(cfg, clk, a.loop.post, log)
	a.discovery.heartbeatTimeout = cmp.Or(parts.HeartbeatTimeout, a.discovery.heartbeatTimeout)
	if parts.Hub == nil {
		a.loop.requestWatch = a.discovery.subscribe
	}
	if cfg.Settings.Peers {
		if a.loop.peers, err = newPeers(cfg, log); err != nil {
			return nil, err
		}
	}
	ln := parts.Listener
	if ln == nil {
		if ln, err = listen(cfg); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	a.limiter = NewConnLimiter(ln, ClientSockets(cfg.Sockets))
	return a, nil
}

// stopAcceptingOf is what ends accepting in a stopping agent; nil: it ends at once.
func stopAcceptingOf(parts Parts) func() <-chan time.Time {
	switch {
	case parts.NoLateConnections:
		return nil
	case parts.StopAccepting != nil:
		return func() <-chan time.Time { return parts.StopAccepting }
	}
	return func() <-chan time.Time { return time.After(AcceptAfterStop) }
}

// Name is the agent's name by its configuration.
func (a *Agent) Name() string { return a.cfg.Name }

// Limiter is what accepts the clients' connections.
func (a *Agent) Limiter() *ConnLimiter { return a.limiter }

// Addr is where clients connect.
func (a *Agent) Addr() net.Addr { return a.limiter.Addr() }

// Ready reports whether any server is known.
func (a *Agent) Ready() bool { return a.loop.ready.Load() }

// Accepting reports whether the agent accepts clients' connections, and is not about to stop.
func (a *Agent) Accepting() bool { return a.serving.Load() && !a.stopping.Load() }

// Reload applies the part of a new configuration that a running agent can change: the address of discovery. The rest
// holds from the next start.
func (a *Agent) Reload(cfg *Config) {
	a.log.Info("configuration reloaded", "discovery", cfg.Discovery)
	a.discovery.moveTo(cfg.Discovery)
}

// Run serves until stop ends, then drains and returns nil. It returns an error if the listener fails, or one with
// ErrPanic after a panic.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background()) // goes on through the drain
	var running sync.WaitGroup
	defer a.protocol.Shutdown()
	defer running.Wait()
	defer cancel()
	a.useStoredList()
	spawn := func(f func()) { running.Go(func() { a.containPanic(f) }) }
	spawn(func() { a.loop.run(ctx) })
	spawn(func() { a.protocol.ReapIdle(ctx) })
	if a.hub != nil {
		a.Follow(a.hub)
		defer a.Follow(nil)
	} else {
		spawn(func() { a.discovery.run(ctx) })
	}
	if a.loop.peers != nil {
		spawn(func() { a.loop.peers.run(ctx, a.loop.post) })
	}
	a.waitForList(stop)
	served := make(chan error, 1)
	go func() {
		served <- a.protocol.Serve(a.limiter)
		close(served)
	}()
	a.serving.Store(true)
	a.log.Info("serving", "listen", a.limiter.Addr().String(), "backends", len(a.storedServers()))
	select {
	case err := <-served:
		a.log.Error("no more clients can be accepted: draining", "error", err)
		a.drain(served)
		return fmt.Errorf("listen: %w", err)
	case err := <-a.panics:
		a.stopAfterPanic(cancel, served)
		return err
	case <-stop.Done():
	}
	a.drain(served)
	return nil // a requested stop is no failure
}

// storedServers are the servers of the stored list.
func (a *Agent) storedServers() []discovery.Member {
	if a.cfg.Known == nil {
		return nil
	}
	return a.cfg.Known.Servers
}

// useStoredList begins with the stored list. Without one the balancer gets an empty list, and asks for a watch.
func (a *Agent) useStoredList() {
	if len(a.storedServers()) == 0 {
		a.loop.handle(List{ListUpdate: decide.ListUpdate{Kind: decide.ListCached}})
		return
	}
	a.discovery.version = a.cfg.Known.Version
	a.loop.handle(a.discovery.translate(a.cfg.Known, decide.ListCached))
}

// waitForList waits for the first list as long as the agent should before it accepts connections.
func (a *Agent) waitForList(stop context.Context) {
	if a.listWait > 0 {
		a.waitFor(stop, a.loop.listed, a.listWait)
	}
	if a.hub == nil && !a.cfg.Settings.Subscribe {
		a.waitFor(stop, a.discovery.attempted, a.firstListWait)
	}
}

// waitFor waits until a channel is closed, for so long at most, or until the agent is to stop.
func (a *Agent) waitFor(stop context.Context, closed <-chan struct{}, maxWait time.Duration) {
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	select {
	case <-closed:
	case <-limit.C:
	case <-stop.Done():
	case <-a.loop.stopped: // it panicked, which Run notices
	}
}

// ErrPanic is in the error of an agent that ended by a panic in its own code.
var ErrPanic = errors.New("panic")

// containPanic runs f. A panic in it ends this agent, not the process.
func (a *Agent) containPanic(f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		err := fmt.Errorf("%w: %v", ErrPanic, p)
		a.log.Error("panic", "error", err, "stack", string(debug.Stack()))
		select {
		case a.panics <- err:
		default: // the first one counts
		}
	}()
	f()
}

// Follow has the loop follow a hub's list, in place of the one followed so far; nil: none. The hub sends its complete
// list first.
func (a *Agent) Follow(hub *discovery.Hub) {
	a.hubMu.Lock()
	defer a.hubMu.Unlock()
	if a.unfollow != nil {
		a.unfollow()
		a.unfollow = nil
	}
	if hub == nil {
		return
	}
	clk := a.loop.clock
	a.unfollow = hub.Subscribe(func(m *discovery.Members) {
		a.loop.post(translate(a.cfg, clk, a.log, m, listKindOf(m)))
	})
}
