// Package sockets simulates a scenario in real time on loopback: stand-in servers, list and clients,
// driven by the same model as in virtual time, around real agent processes that use the published
// protocol. Its duration, connections and concurrent requests are limited.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/statistics"
)

// Limits of a simulation on one machine.
const (
	maxListeners = 2400   // servers times agents: each agent reaches each server at a separate address
	maxRate      = 3000.0 // requests per second
	maxLength    = 30 * time.Minute
	maxOpen      = 4000 // concurrent requests of clients
)

// slack is the maximum difference between a time that the driver measures and the agent's time of the same event, on a
// busy machine.
const slack = 50 * time.Millisecond

// Options describe a simulation.
type Options struct {
	Scenario *model.Scenario
	Seed     uint64
	Agent    func() *exec.Cmd // runs one agent, which gets its configuration by PROXY_CONFIG
	// Daemon, if set, runs a fleet daemon with one instance in place of each agent, with the given configuration
	// file. Naive daemons spread no calls over time and have no slow start of servers.
	Daemon func(config string) *exec.Cmd
	Naive  bool
	Log    io.Writer // receives the agents' standard error; may be nil
	// ListAt and AgentsAt make the simulation use agents that run already, such as a fleet daemon's
	// instances: the list listens at ListAt, and clients send to AgentsAt, one address for each agent,
	// which replaces the scenario's count. All agents then reach servers at the same addresses, with the
	// network delays of the first agent's zone.
	ListAt   string
	AgentsAt []string
	Progress func(now time.Duration, d *statistics.Day)
	// Trace, if set, is called for each server every 100 ms, with its held requests and, while it is cold,
	// its load as a multiple of the work that it can do.
	Trace func(now time.Duration, server string, held int, pressure float64)
}

// Played is the result of a simulation.
type Played struct {
	Day      *statistics.Day
	Judge    *checker.Checker
	CutShort bool
}

// driver runs a simulation. Its lock guards the model, the checker and the statistics; no goroutine
// blocks while it holds the lock.
type driver struct {
	o     Options
	s     *model.Scenario
	base  time.Time
	begun atomic.Int64    // start of the scenario's time, after base; the scenario's time is 0 until then
	quit  context.Context // ends all goroutines

	mu        sync.Mutex
	world     *model.World
	checker   *checker.Checker
	stats     *statistics.Day
	places    map[int]*place
	conns     map[int]*conn
	lastID    int
	wakes     map[*model.Proc]*time.Timer
	listTimer *time.Timer
	tries     map[string]*try // by request id
	watches   map[int]*watch  // by agent
	err       error

	agents  []*agent
	running sync.WaitGroup
}

// now returns the scenario's time.
func (g *driver) now() time.Duration { return max(0, time.Since(g.base)-time.Duration(g.begun.Load())) }

// started reports whether the scenario's time has begun.
func (g *driver) started() bool { return g.begun.Load() != math.MaxInt64/2 }

// wall converts a scenario's time into real time.
func (g *driver) wall(t time.Duration) time.Time {
	return g.base.Add(time.Duration(g.begun.Load()) + t)
}

// fail ends the simulation with an error. The lock is held.
func (g *driver) fail(err error) {
	if g.err == nil {
		g.err = err
	}
}

// Play simulates a scenario. When ctx ends, it ends early and the result is marked as cut short.
func Play(ctx context.Context, o Options) (*Played, error) {
	s := o.Scenario
	if len(o.AgentsAt) > 0 {
		own := *s
		own.Agents = len(o.AgentsAt)
		// These agents get their first list before the scenario's time begins, and one reader may read it
		// for all of them, so the list simulates neither limited calls nor a spread among agents.
		own.List.Calls, own.List.Spread = 0, 0
		s = &own
		for _, c := range s.Timeline {
			if _, ok := c.What.(model.Agents); ok {
				return nil, errors.New("agents-restart: agents that run already can't be restarted by the simulation")
			}
		}
	}
	if s.Records.Every > 0 {
		return nil, errors.New("records beside the list are simulated in virtual time only")
	}
	for _, c := range s.Timeline {
		if op, ok := c.What.(model.Agents); ok && op.Drain {
			return nil, errors.New("agents-restart with drain is simulated in virtual time only")
		}
	}
	g := &driver{o: o, s: s, base: time.Now(), checker: checker.New(virtual.CheckerConfig(s, slack)), stats: statistics.New(s), places: map[int]*place{},
		conns: map[int]*conn{}, wakes: map[*model.Proc]*time.Timer{}, tries: map[string]*try{}, watches: map[int]*watch{}}
	g.begun.Store(math.MaxInt64 / 2)
	most := 0
	for _, v := range g.specs() {
		most = max(most, v.Place+1)
	}
	switch {
	case most*g.listenersPerPlace() > maxListeners:
		return nil, fmt.Errorf("%d servers and %d agents are too many for sockets: their product must not exceed %d", most, s.Agents, maxListeners)
	case s.PeakRate() > maxRate:
		return nil, fmt.Errorf("%g requests a second are too many for sockets: the maximum is %g", s.PeakRate(), maxRate)
	case s.Length > maxLength:
		return nil, fmt.Errorf("a length of %v is too long for sockets: the maximum is %v", s.Length, maxLength)
	case s.Tick <= 0:
		return nil, errors.New("agents.tick: agents on sockets need a tick above 0")
	}
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return nil, err
	}
	quit, end := context.WithCancel(context.Background())
	g.quit = quit
	defer os.RemoveAll(dir)
	defer func() {
		for _, p := range g.places {
			for _, d := range p.listeners {
				d.free()
			}
		}
	}()
	defer g.running.Wait()
	defer g.close()
	defer end()
	seed := model.Seed(o.Seed).Derive(model.HashName("rehearsal")) // the same seed as in virtual time
	g.world = model.NewWorld(s, seed)
	for _, v := range g.specs() {
		if err := g.openPlace(v.Place); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	g.updateListeners()
	g.mu.Unlock()
	for n := range s.Agents {
		a, err := newAgent(g, n, dir)
		if err != nil {
			return nil, err
		}
		g.agents = append(g.agents, a)
	}
	defer g.stopAgents()
	for _, a := range g.agents {
		if err := a.start(); err != nil {
			return nil, err
		}
	}
	for _, a := range g.agents {
		if err := a.ready(ctx); err != nil {
			if ctx.Err() != nil {
				g.stats.Finish(0)
				return &Played{g.stats, g.checker, true}, nil
			}
			return nil, err
		}
	}
	g.begun.Store(int64(time.Since(g.base)))
	cut := g.play(ctx, seed)
	g.mu.Lock()
	defer g.mu.Unlock()
	length := min(g.now(), s.Length)
	g.checker.End(g.now())
	g.stats.Reads = g.world.List.Reads()
	g.stats.Finish(length)
	if g.err != nil {
		return nil, g.err
	}
	return &Played{g.stats, g.checker, cut}, nil
}

// external reports whether the agents run already and are not started here.
func (g *driver) external() bool { return len(g.o.AgentsAt) > 0 }

// listenersPerPlace returns the number of addresses of each server.
func (g *driver) listenersPerPlace() int {
	if g.external() {
		return 1
	}
	return g.s.Agents
}

// specs returns all servers that ever run.
func (g *driver) specs() []model.ServerSpec {
	all := g.s.Servers
	for _, c := range g.s.Timeline {
		if op, ok := c.What.(model.Start); ok {
			all = append(all[:len(all):len(all)], op.Server)
		}
	}
	return all
}

// play runs the script and the load, then waits for open requests.
func (g *driver) play(ctx context.Context, seed model.Seed) (cut bool) {
	var clients sync.WaitGroup
	load := model.NewLoad(g.s, seed)
	task, more := load.Next()
	script := g.s.Timeline
	sample := time.Duration(0)
	openRequests := make(chan struct{}, maxOpen)
	for {
		next := g.s.Length
		if more {
			next = min(next, task.At)
		}
		if len(script) > 0 {
			next = min(next, script[0].At)
		}
		next = min(next, sample)
		if wait := next - g.now(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				cut = true
			}
		}
		now := g.now()
		g.mu.Lock()
		faulty := g.err != nil
		g.mu.Unlock()
		if cut || faulty || now >= g.s.Length {
			break
		}
		for len(script) > 0 && script[0].At <= now {
			g.apply(script[0].What)
			script = script[1:]
		}
		for ; more && task.At <= now; task, more = load.Next() {
			c := model.NewClient(g.s, task)
			c.Task.At = now // the driver's delay must not count as latency of the agent
			select {
			case openRequests <- struct{}{}:
				clients.Go(func() {
					g.client(ctx, &c, seed)
					<-openRequests
				})
			default:
				g.mu.Lock()
				g.fail(fmt.Errorf("%d requests are open at once: too many for sockets", maxOpen))
				g.mu.Unlock()
			}
		}
		if now >= sample {
			g.sample(now)
			sample = now + g.every()
		}
	}
	clients.Wait() // each client ends by its deadline, or at once when ctx ends
	return cut
}

// every returns the interval between samples of the servers.
func (g *driver) every() time.Duration {
	if g.o.Trace != nil {
		return 100 * time.Millisecond
	}
	return 250 * time.Millisecond
}

func (g *driver) sample(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.world.Procs {
		if !p.Dead {
			g.stats.Sample(now, p.Spec, p.Held(), p.Pressure(now))
			if g.o.Trace != nil {
				g.o.Trace(now, p.Name, p.Held(), p.Pressure(now))
			}
		}
	}
	g.checker.Advance(now)
	if g.o.Progress != nil {
		g.o.Progress(now.Truncate(time.Millisecond), g.stats)
	}
}

// apply makes one change of the script.
func (g *driver) apply(what any) {
	if op, ok := what.(model.Agents); ok {
		for n := op.From; n < op.To; n++ {
			if a := g.agents[n]; !op.Up {
				a.kill()
			} else if err := a.start(); err != nil {
				g.mu.Lock()
				g.fail(err)
				g.mu.Unlock()
			}
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	r := g.world.Apply(now, what)
	for _, did := range r.Effects {
		g.applyEffects(did.Proc, did.Effects)
	}
	for _, p := range r.Died {
		g.resetConns(p)
	}
	g.deliver(r.Messages)
	g.updateListeners()
}

// applyEffects carries out the effects of a server. The lock is held.
func (g *driver) applyEffects(p *model.Proc, effects []model.Effect) {
	now := g.now()
	for _, e := range effects {
		switch e.Kind {
		case model.Accepted, model.Rejected:
			if c := g.conns[e.Conn]; c != nil {
				c.accepted = e.Kind == model.Accepted
			}
		case model.Replied:
			row := g.stats.Server(p.Spec)
			switch e.Result {
			case decide.OK:
				row.Served++
			case decide.Rejected:
				row.Full++
				g.checker.TurnedAway(now, e.Job.ID, p.Name)
			default:
				row.Errors++
			}
			if c := g.conns[e.Conn]; c != nil {
				c.reply(answer{e.Result, e.Load, e.Job.ID})
			}
		case model.Closed:
			if c := g.conns[e.Conn]; c != nil {
				c.idleClose()
			}
		case model.Ran:
			g.checker.Ran(now, e.Job.ID, p.Name)
		case model.Overloaded:
			informed := p.InformedShare(func(agent int) bool { return g.checker.KnowsStart(agent, p.Name, p.StartedAt()) })
			row := g.stats.Server(p.Spec)
			row.Fell = true
			row.Pressure = max(row.Pressure, p.Pressure(now))
			g.checker.Overloaded(now, p.Name, informed)
			messages := g.world.EndOverloaded(now, p)
			g.resetConns(p)
			g.deliver(messages)
			g.updateListeners()
		}
	}
	g.wake(p)
}

// wake schedules the next step of a process for the time of its next action. The lock is held.
func (g *driver) wake(p *model.Proc) {
	next := p.NextWake()
	if t := g.wakes[p]; t != nil {
		t.Stop()
	}
	if next == 0 || p.Dead || g.quit.Err() != nil {
		return
	}
	g.wakes[p] = time.AfterFunc(next-g.now(), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !p.Dead && g.quit.Err() == nil {
			g.applyEffects(p, p.Step(g.now(), model.Wake{}))
		}
	})
}

// resetConns resets the connections to a process. The lock is held.
func (g *driver) resetConns(p *model.Proc) {
	if t := g.wakes[p]; t != nil {
		t.Stop()
		delete(g.wakes, p)
	}
	for _, c := range g.conns {
		if c.proc == p {
			c.abort()
		}
	}
	g.updateListeners()
}

// close closes all connections and listeners and stops all timers. The goroutines of the connections and listeners
// end with them.
func (g *driver) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.abort()
	}
	for _, t := range g.wakes {
		t.Stop()
	}
	if g.listTimer != nil {
		g.listTimer.Stop()
	}
	for _, p := range g.places {
		p.close(&g.running)
	}
}
