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

// Agent is one agent, ready to run.
type Agent struct {
	cfg           *Config
	log           *slog.Logger
	loop          *Loop
	protocol      Protocol
	discovery     *listWatcher
	limiter       *ConnLimiter
	hub           *discovery.Hub
	hubMu         sync.Mutex
	leaveHub      func()                  // the hub that it follows; nil: none
	stopAccepting func() <-chan time.Time // ends the time in which a stopping agent takes connections; nil: none
	listWait      time.Duration
	firstListWait time.Duration // see pushedWait
	panics        chan error    // of one: the first panic in any of its goroutines

	serving, stopping atomic.Bool
	drainMu           sync.Mutex
	idleCloser        *time.Timer // closes clients' quiet connections while it is drained
}

// Parts are what an agent is given in place of its own; with none it is the platform's agent.
type Parts struct {
	Listener net.Listener   // TCP or unix, listening already; the agent closes it
	Hub      *discovery.Hub // the list, read once for many agents
	// NoLateConnections ends accepting at once when the agent is to stop: another one has the
	// listener by then.
	NoLateConnections bool
	// ListWait is how long the agent waits for a list before it takes connections: until then they
	// wait in the kernel's queue, where they would be refused for want of servers.
	ListWait time.Duration
	// StopAccepting, where it is set, ends the time in which a stopping agent still takes connections;
	// else that is 450 ms.
	StopAccepting <-chan time.Time
	// ReportUsage is told how the agent's rights to limits of the fleet stand. It is called by the agent's loop, and must
	// not wait.
	ReportUsage func([]quota.Usage)
	// ReportOutcomes is told what became of attempts at each server since the last time. It is called by the agent's loop, and
	// must not wait.
	ReportOutcomes   func([]OutcomeSample)
	HeartbeatTimeout time.Duration // a watch of the list that brings nothing for so long is dead; 0: catalog.Silence
}

// acceptAfterStop is how long new connections are taken after a SIGTERM: clients are told of a
// planned restart up to 0.4 s late.
const acceptAfterStop = 450 * time.Millisecond

// closeSilentAfterStop is how long after that a connection may still come up with its first request.
const closeSilentAfterStop = 250 * time.Millisecond

// drainSlack is what a drain may take past the time that the last clients wait. The platform
// kills 0.7 s after the longest deadline.
const drainSlack = 600 * time.Millisecond

// finalAnswersReserve is kept free before a drain's end, for answers to be written and read: 0.1 s, and the 0.15 s for which an
// agent may be held up before the write. A request that comes late in the drain, on a connection whose client writes
// slowly, has until then and not its own time: it would be lost.
const finalAnswersReserve = 250 * time.Millisecond

// New sets up an agent with what it is given, or listens by itself. Clients are served once Run is
// called. The protocol is made with the loop to which it gives requests.
func New(cfg *Config, log *slog.Logger, p Parts, protocol func(*Loop) Protocol) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, hub: p.Hub, listWait: p.ListWait, firstListWait: firstPushedListWait, panics: make(chan error, 1),
		stopAccepting: func() <-chan time.Time { return time.After(acceptAfterStop) }}
	if p.StopAccepting != nil {
		a.stopAccepting = func() <-chan time.Time { return p.StopAccepting }
	}
	if p.NoLateConnections {
		a.stopAccepting = nil
	}
	ck := newClock()
	var err error
	if a.loop, err = newLoop(cfg, ck, nil, log); err != nil {
		return nil, err
	}
	a.loop.containPanic, a.loop.reportUsage, a.loop.outcomes.report = a.containPanic, p.ReportUsage, p.ReportOutcomes
	a.protocol = protocol(a.loop)
	a.loop.protocol = a.protocol
	a.discovery = newListWatcher(cfg, ck, a.loop.post, log)
	a.discovery.heartbeatTimeout = cmp.Or(p.HeartbeatTimeout, a.discovery.heartbeatTimeout)
	if p.Hub == nil {
		a.loop.requestWatch = a.discovery.subscribe
	}
	if cfg.Settings.Peers {
		if a.loop.peers, err = newPeers(cfg, log); err != nil {
			return nil, err
		}
	}
	ln := p.Listener
	if ln == nil {
		if ln, err = listen(cfg); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	a.limiter = NewConnLimiter(ln, ClientSockets(cfg.Sockets))
	return a, nil
}

// Limiter is through where its clients' connections come.
func (a *Agent) Limiter() *ConnLimiter { return a.limiter }

// Addr is where clients connect.
func (a *Agent) Addr() net.Addr { return a.limiter.Addr() }

// Reload takes over what a running agent can change: where discovery is. The rest of a new
// configuration holds from the next start.
func (a *Agent) Reload(cfg *Config) {
	a.log.Info("configuration reloaded", "discovery", cfg.Discovery)
	a.discovery.moveTo(cfg.Discovery)
}

// Run serves until stop ends, then finishes what was taken and returns.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background()) // everything goes on through the drain
	var running sync.WaitGroup
	defer a.protocol.Shutdown()
	defer running.Wait()
	defer cancel()
	if a.cfg.Known != nil && len(a.cfg.Known.Servers) > 0 {
		a.discovery.version = a.cfg.Known.Version
		a.loop.handle(a.discovery.translate(a.cfg.Known, decide.ListCached))
	} else {
		a.loop.handle(List{ListUpdate: decide.ListUpdate{Kind: decide.ListCached}}) // the module asks after it
	}
	known := 0
	if a.cfg.Known != nil {
		known = len(a.cfg.Known.Servers)
	}
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
	if a.listWait > 0 {
		a.waitFor(stop, a.loop.listed, a.listWait)
	}
	if a.hub == nil && !a.cfg.Settings.Subscribe {
		a.waitFor(stop, a.discovery.attempted, a.firstListWait)
	}
	served := make(chan error, 1)
	go func() { served <- a.protocol.Serve(a.limiter); close(served) }()
	a.serving.Store(true)
	a.log.Info("serving", "listen", a.limiter.Addr().String(), "backends", known)
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
	return nil // a stop that was asked for is no failure
}

// firstPushedListWait is how long a starting agent waits for its first word of a pushed list. Its stored list may be old, and what
// the list has counts as told from the first moment on: nothing may go to a server that drained long ago. Such a list is
// on the agent's own machine and answers at once; while it is down the agent serves by what it has. A call that fails is made
// anew within that time: it has said nothing.
const firstPushedListWait = time.Second

// waitFor waits for what, for so long at the most, or until the agent is to stop.
func (a *Agent) waitFor(stop context.Context, what <-chan struct{}, most time.Duration) {
	limit := time.NewTimer(most)
	defer limit.Stop()
	select {
	case <-what:
	case <-limit.C:
	case <-stop.Done():
	case <-a.loop.stopped: // it panicked: what follows finds out
	}
}

// ErrPanic is in the error of an agent that ended by a panic in its own code.
var ErrPanic = errors.New("panic")

// containPanic runs f and keeps a panic in it to this agent, which ends by it.
func (a *Agent) containPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			err := fmt.Errorf("%w: %v", ErrPanic, p)
			a.log.Error("panic", "error", err, "stack", string(debug.Stack()))
			select {
			case a.panics <- err:
			default: // the first one tells
			}
		}
	}()
	f()
}

// closeConnections takes no more connections, and returns when those that were accepted have had their answers
// and are closed, or with an error when ctx ends. A connection whose request has been read, and not yet
// handed on, is not closed under it: what was taken would be lost.
func (a *Agent) closeConnections(ctx context.Context, served <-chan error) error {
	_ = a.limiter.Close()
	a.stopping.Store(true)
	a.updateDraining()
	select {
	case <-served: // every accepted connection is in the gate's books now
	case <-ctx.Done():
	}
	// A connection that has sent nothing by now most likely never will.
	silent := time.AfterFunc(closeSilentAfterStop, func() { a.limiter.CloseSilent(0) })
	defer silent.Stop()
	err := a.limiter.waitUntilEmpty(ctx)
	if e := a.protocol.Close(); e != nil && !errors.Is(e, net.ErrClosed) {
		a.log.Warn("closing", "error", e)
	}
	return err
}

// stopAfterPanic ends an agent whose state can't be trusted any more. What it had taken is answered
// failed, which promises nothing, before its connections close.
func (a *Agent) stopAfterPanic(cancel func(), served <-chan error) {
	cancel() // the loop ends, and with it every wait for an answer
	limit, stop := context.WithTimeout(context.Background(), HeadTimeout)
	defer stop()
	if err := a.closeConnections(limit, served); err != nil {
		a.log.Error("ending with connections open", "error", err)
	}
}

// Follow has a hub's list told to the loop, in place of the one followed so far. The first thing told
// is the new one's whole list.
func (a *Agent) Follow(hub *discovery.Hub) {
	a.hubMu.Lock()
	defer a.hubMu.Unlock()
	if a.leaveHub != nil {
		a.leaveHub()
		a.leaveHub = nil
	}
	if hub == nil {
		return
	}
	ck := a.loop.clock
	a.leaveHub = hub.Join(func(m *discovery.Members) {
		kind := decide.ListDelta
		if m.Full {
			kind = decide.ListFull
		}
		a.loop.post(translate(a.cfg, ck, a.log, m, kind))
	})
}

// Totals are what an agent did since its start.
type Totals struct {
	Requests          int64
	Served            int64
	Refused           int64
	Failed            int64
	ClientDisconnects int64 `json:"Gone"` // the key of earlier builds
	Attempts          int64
	Late              int64
	Open              int64
}

// Name is by which it is known.
func (a *Agent) Name() string { return a.cfg.Name }

// Totals tells what the agent did. It may be called at any time.
func (a *Agent) Totals() Totals {
	t := &a.loop.totals
	return Totals{t.requests.Load(), t.served.Load(), t.refused.Load(), t.failed.Load(), t.clientDisconnects.Load(), t.attempts.Load(),
		t.late.Load(), a.protocol.OpenRequests()}
}

// SetStepHook has f called with the agent's totals at each of its loop's steps: a test's way to make it
// panic. Call it before Run.
func (a *Agent) SetStepHook(f func(Totals)) { a.loop.stepHook = func() { f(a.Totals()) } }

// Ready reports whether it knows any server.
func (a *Agent) Ready() bool { return a.loop.ready.Load() }

// Memory is what an agent may leave to the next one under its name: how long things take, by the
// names and the real times that both know. Budgets and tokens are not among it.
type Memory struct {
	// Limit is on what is in flight, for one that takes over at once; see decide.Learnt. 0: none.
	Limit   float64                `json:"limit,omitempty"`
	Classes map[string]ClassMemory `json:"classes"`
	Servers []ServerMemory         `json:"servers"`
}

// ClassMemory is a class's mean latency and told work, in nanoseconds.
type ClassMemory struct {
	Latency float64 `json:"latency_ns"`
	Work    float64 `json:"work_ns"`
}

// ServerMemory is how slow a server process was, against the mean of all.
type ServerMemory struct {
	ID      string  `json:"id"`
	Started int64   `json:"started_ms"` // Unix time; 0: long ago
	Slow    float64 `json:"slow"`
}

// Memory is what its module has learnt, or false where the loop has stopped or does not answer.
func (a *Agent) Memory(wait time.Duration) (*Memory, bool) {
	q := learnedQuery{make(chan learnedState, 1)}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	select {
	case a.loop.events <- q:
	case <-a.loop.stopped:
		return nil, false
	case <-limit.C:
		return nil, false
	}
	var l learnedState
	select {
	case l = <-q.reply:
	case <-a.loop.stopped:
		return nil, false
	case <-limit.C:
		return nil, false
	}
	m := &Memory{Limit: l.Limit, Classes: map[string]ClassMemory{}, Servers: []ServerMemory{}}
	for i, c := range l.Classes {
		m.Classes[a.cfg.Site.Classes[i]] = ClassMemory{c.Latency, c.Work}
	}
	for _, b := range l.Backends {
		s := ServerMemory{ID: b.ID, Slow: b.Slowness}
		if b.Started > 0 {
			s.Started = l.starts[b.ID]
		}
		m.Servers = append(m.Servers, s)
	}
	return m, true
}

// toLearned puts a memory into the module's terms.
func (m *Memory) toLearned(cfg *Config, ck clock, starts *startTimes) decide.Learned {
	l := decide.Learned{Limit: m.Limit}
	for _, name := range cfg.Site.Classes {
		c := m.Classes[name]
		l.Classes = append(l.Classes, decide.LearnedClass{Latency: c.Latency, Work: c.Work})
	}
	for _, s := range m.Servers {
		b := decide.LearnedBackend{ID: s.ID, Slowness: s.Slow}
		if s.Started > 0 {
			b.Started = starts.restore(s.ID, s.Started, ck.hint(s.Started), ck.now())
		}
		l.Backends = append(l.Backends, b)
	}
	return l
}

// drain keeps taking connections for a while, closes each once it has its answer, and returns
// when nothing is open, or when the platform is about to kill.
func (a *Agent) drain(served <-chan error) {
	a.log.Info("stopping")
	end := time.Now().Add(a.maxDrain())
	limit, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	last := end.Add(-finalAnswersReserve)
	a.loop.drainDeadline.Store(&last)
	// Closes idle connections at once: a client whose request crosses that opens a new connection,
	// which is still accepted.
	a.stopping.Store(true)
	if a.stopAccepting != nil {
		a.updateDraining()
		a.limiter.CloseIdle()
		select {
		case <-served: // the listener is broken: what was taken is answered all the same
		case <-a.stopAccepting():
		}
	}
	err := a.closeConnections(limit, served)
	if open := a.protocol.OpenRequests(); err != nil && open > 0 {
		a.log.Error("stopping with requests unanswered", "open", open, "error", err)
	}
	a.log.Info("stopped")
}

// maxDrain is what a drain may take: the longest deadline, however long, and a little more. The platform kills after that deadline
// and 0.7 s; ending sooner, by the page's "3 s at most", lost requests on its days.
func (a *Agent) maxDrain() time.Duration { return a.cfg.MaxDeadline() + drainSlack }

// SetFleetSize tells the module how many agents share the servers from now on: no more than most, and no fewer than least.
// It does not wait: false says that the agent has too much to do to hear of it now.
func (a *Agent) SetFleetSize(maxBalancers, minBalancers int) bool {
	return a.tryPost(decide.FleetSize{Max: maxBalancers, Min: minBalancers})
}

// Lease is one that the agent may use until a moment by the process's own clock.
type Lease struct {
	quota.Lease // but for Until
	ExpiresAt   time.Time
}

// leasesGranted are rights.
type leasesGranted struct{ leases []Lease }

// SetSharedLimits tells the module which limits the fleet shares, and Lend what it may use of them: see decide.Limits and
// decide.Rights. Neither waits: false says that the agent has too much to do to hear of it now.
func (a *Agent) SetSharedLimits(all []quota.Limit) bool {
	return a.tryPost(decide.SharedLimits{Limits: all})
}

// GrantLeases tells the module of rights.
func (a *Agent) GrantLeases(all []Lease) bool { return a.tryPost(leasesGranted{all}) }

func (a *Agent) tryPost(e any) bool {
	select {
	case a.loop.events <- e:
		return true
	case <-a.loop.stopped:
		return true
	default:
		return false
	}
}
