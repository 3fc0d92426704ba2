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
	panics    chan error // buffers one: the first panic in any of the agent's goroutines

	hub         *discovery.Hub // delivers the endpoint list instead of the listWatcher; nil: the listWatcher does
	hubMu       sync.Mutex     // guards unsubscribe
	unsubscribe func()         // unsubscribes from the hub; nil: not subscribed

	stopAccepting func() <-chan time.Time // see stopAcceptingOf
	listWait      time.Duration           // see Options.ListWait
	firstListWait time.Duration           // firstPushedListWait, except in tests

	serving  atomic.Bool // clients' connections are accepted
	stopping atomic.Bool

	queueLeft atomic.Bool // see LeaveQueue

	drainMu sync.Mutex // guards idleCloser, stopAccepting and maxStopDeadline
	// maxStopDeadline is the longest deadline that a stop waits for; 0: the longest one of any class.
	maxStopDeadline time.Duration
	idleCloser      *time.Timer // closes idle connections while an operator drains the agent; nil: none is scheduled
}

// Options replace an agent's own listener, endpoint list and other defaults. The zero value is for an agent that runs
// in a process of its own.
type Options struct {
	// Listener is a TCP or Unix listener, which the agent will close; nil: the agent opens its own.
	Listener net.Listener
	// Hub reads the endpoint list once for many agents; nil: the agent watches the list itself.
	Hub *discovery.Hub
	// NoLateConnections makes a stopping agent accept no more connections at once, because another agent accepts
	// connections on the listener at that time.
	NoLateConnections bool
	// ListWait is the maximum time for which the agent waits for a list before it accepts connections. Until then,
	// connections wait in the kernel's queue; if they were accepted, their requests would be refused for lack of a
	// server.
	ListWait time.Duration
	// StopAccepting, if set, ends the time in which a stopping agent still accepts connections. Without it that time
	// is AcceptAfterStop.
	StopAccepting <-chan time.Time
	// IDs holds the IDs of requests that may have been executed, for all agents and processes that share it; nil: the
	// agent has a table of its own.
	IDs *IDTable
	// MemoryShort reports whether the process is short of memory; nil: it never is.
	MemoryShort func() bool
	// ReportUsage receives the usage of the agent's leases. The agent's loop calls it; it must not block.
	ReportUsage func([]quota.Usage)
	// ReportOutcomes receives the outcomes of attempts at each server since the last call. The agent's loop calls
	// it; it must not block.
	ReportOutcomes func([]OutcomeSample)
	// HeartbeatTimeout is the time without data after which a watch of the list has failed; 0:
	// discovery.HeartbeatTimeout.
	HeartbeatTimeout time.Duration
}

// firstPushedListWait is how long a starting agent waits for the first message of a pushed list. The stored list may
// be old, while changes in the current list count as notified from the agent's start on: no request may be sent to a
// server that drained long ago. The list service is on the agent's own machine and normally answers at once; while it
// is down the agent serves with the stored list. A watch that fails without a message does not end the wait, because
// another watch is opened within that time.
const firstPushedListWait = time.Second

// New returns an agent that serves once Run is called. It opens the listener itself unless options has one.
// newProtocol makes the protocol, which submits its requests to the given loop.
func New(cfg *Config, log *slog.Logger, options Options, newProtocol func(*Loop) Protocol) (*Agent, error) {
	a := &Agent{
		cfg:           cfg,
		log:           log,
		hub:           options.Hub,
		listWait:      options.ListWait,
		firstListWait: firstPushedListWait,
		panics:        make(chan error, 1),
		stopAccepting: stopAcceptingOf(options),
	}
	clk := newClock()
	var err error
	if a.loop, err = newLoop(cfg, clk, nil, log); err != nil {
		return nil, err
	}
	a.loop.containPanic = a.containPanic
	a.loop.ids = options.IDs
	a.loop.memoryShort = options.MemoryShort
	a.loop.reportUsage = options.ReportUsage
	a.loop.outcomes.report = options.ReportOutcomes
	a.protocol = newProtocol(a.loop)
	a.loop.protocol = a.protocol
	a.discovery = newListWatcher(cfg, clk, a.loop.post, log)
	a.discovery.heartbeatTimeout = cmp.Or(options.HeartbeatTimeout, a.discovery.heartbeatTimeout)
	if options.Hub == nil {
		a.loop.requestWatch = a.discovery.subscribe
	}
	if cfg.Settings.Peers {
		if a.loop.peers, err = newPeers(cfg, log); err != nil {
			return nil, err
		}
	}
	ln := options.Listener
	if ln == nil {
		if ln, err = listen(cfg); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	a.limiter = NewConnLimiter(ln, ClientSockets(cfg.Sockets))
	a.loop.logHeld = a.logHeld
	return a, nil
}

// stopAcceptingOf returns a function that a stopping agent calls. The agent accepts connections until the channel that
// the function returns delivers a value or is closed. If the function is nil, it accepts no more connections at once.
func stopAcceptingOf(options Options) func() <-chan time.Time {
	switch {
	case options.NoLateConnections:
		return nil
	case options.StopAccepting != nil:
		return func() <-chan time.Time { return options.StopAccepting }
	}
	return func() <-chan time.Time { return time.After(AcceptAfterStop) }
}

// Name returns the agent's configured name.
func (a *Agent) Name() string { return a.cfg.Name }

// Limiter returns the limiter that accepts the clients' connections.
func (a *Agent) Limiter() *ConnLimiter { return a.limiter }

// Addr returns the address at which clients connect.
func (a *Agent) Addr() net.Addr { return a.limiter.Addr() }

// Ready reports whether a list with servers has been received.
func (a *Agent) Ready() bool { return a.loop.ready.Load() }

// Accepting reports whether the agent accepts clients' connections and is not stopping.
func (a *Agent) Accepting() bool { return a.serving.Load() && !a.stopping.Load() }

// Reload applies the part of a new configuration that can change in a running agent: the address of discovery. The
// rest takes effect at the next start.
func (a *Agent) Reload(cfg *Config) {
	a.log.Info("configuration reloaded", "discovery", cfg.Discovery)
	a.discovery.moveTo(cfg.Discovery)
}

// Run serves until stop is cancelled, then drains and returns nil. It returns an error if the listener fails, and an
// error that wraps ErrPanic after a panic.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background()) // ends only after the drain
	var running sync.WaitGroup
	defer a.protocol.Shutdown()
	defer running.Wait()
	defer cancel()
	a.useStoredList()
	spawn := func(f func()) { running.Go(func() { a.containPanic(f) }) }
	spawn(func() { a.loop.run(ctx) })
	spawn(func() { a.protocol.ReapIdle(ctx) })
	if a.hub != nil {
		a.FollowHub(a.hub)
		defer a.FollowHub(nil)
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
		a.log.Error("accepting clients' connections failed; draining", "error", err)
		a.drain(served)
		return fmt.Errorf("listen: %w", err)
	case err := <-a.panics:
		a.stopAfterPanic(cancel, served)
		return err
	case <-stop.Done():
	}
	a.drain(served)
	return nil // a requested stop is not an error
}

// storedServers returns the servers of the stored list.
func (a *Agent) storedServers() []discovery.Server {
	if a.cfg.Known == nil {
		return nil
	}
	return a.cfg.Known.Servers
}

// useStoredList passes the stored list to the balancer. If there is none, it passes an empty list, after which the
// balancer requests a watch.
func (a *Agent) useStoredList() {
	if len(a.storedServers()) == 0 {
		a.loop.handle(List{ListUpdate: decide.ListUpdate{Kind: decide.ListCached}})
		return
	}
	a.discovery.version = a.cfg.Known.Version
	a.loop.handle(a.discovery.translate(a.cfg.Known, decide.ListCached))
}

// waitForList waits until the first list has been received, so that connections are accepted only then. A time limit,
// a refused connection to discovery, or a stop of the agent ends the wait too.
func (a *Agent) waitForList(stop context.Context) {
	if a.listWait > 0 {
		a.waitFor(stop, a.loop.listed, a.listWait)
	}
	if a.hub == nil && !a.cfg.Settings.Subscribe {
		a.waitFor(stop, a.discovery.attempted, a.firstListWait)
	}
}

// waitFor waits until a channel is closed, maxWait has passed, or the agent is to stop.
func (a *Agent) waitFor(stop context.Context, closed <-chan struct{}, maxWait time.Duration) {
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	select {
	case <-closed:
	case <-limit.C:
	case <-stop.Done():
	case <-a.loop.stopped: // the loop panicked; Run handles that
	}
}

// ErrPanic is wrapped by the error of an agent that ended because of a panic in its own code.
var ErrPanic = errors.New("panic")

// containPanic runs f and recovers a panic in it. The panic ends this agent but not the process.
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
		default: // only the first panic is kept
		}
	}()
	f()
}

// FollowHub subscribes the loop to the list of a hub, and cancels its subscription to the previous hub. With nil it only
// cancels the previous subscription. The hub sends its complete list first.
func (a *Agent) FollowHub(hub *discovery.Hub) {
	a.hubMu.Lock()
	defer a.hubMu.Unlock()
	if a.unsubscribe != nil {
		a.unsubscribe()
		a.unsubscribe = nil
	}
	if hub == nil {
		return
	}
	clk := a.loop.clock
	a.unsubscribe = hub.Subscribe(func(m *discovery.Update) {
		a.loop.post(translate(a.cfg, clk, a.log, m, listKindOf(m)))
	})
}
