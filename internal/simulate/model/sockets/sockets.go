// Package sockets plays a scenario in real time on loopback: stand-in servers, list and clients,
// driven by the same model as in virtual time, round real agent processes, by the protocol as
// published. It is bounded in time, in connections and in requests at once, and ends by itself.
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

// Bounds on what is played on one machine.
const (
	mostListeners = 2400 // servers times agents: each agent reaches each server at an address of its own
	mostRate      = 3000.0
	mostLength    = 30 * time.Minute
	mostOpen      = 4000 // clients' requests at once
)

// slack is by how much the times seen here may be off from an agent's, on a busy machine.
const slack = 50 * time.Millisecond

// Options say what to play.
type Options struct {
	Scenario *model.Scenario
	Seed     uint64
	Agent    func() *exec.Cmd // runs one agent, told its configuration by PROXY_CONFIG
	// Daemon, if set, runs a fleet daemon of one instance in each agent's place, told its file. Naive ones
	// spread nothing over time and know no warming up of servers.
	Daemon func(config string) *exec.Cmd
	Naive  bool
	Log    io.Writer // what agents write; may be nil
	// ListAt and AgentsAt put the stand-ins round agents that run already, such as a fleet daemon's
	// instances: the list listens at ListAt, clients ask at AgentsAt, one address for each agent in
	// place of the scenario's count. All agents then reach servers at the same addresses, by the ways
	// of the first one's zone.
	ListAt   string
	AgentsAt []string
	Progress func(now time.Duration, d *statistics.Day)
	// Trace, if set, is told what each server has every 100 ms: what it holds and, while it is cold, its
	// load as a multiple of what it can do.
	Trace func(now time.Duration, server string, held int, pressure float64)
}

// Played is how it went.
type Played struct {
	Day      *statistics.Day
	Judge    *checker.Judge
	CutShort bool
}

// stage is where it is played. Its lock guards the model, the judge and the books; who holds it
// never waits for anything.
type stage struct {
	o     Options
	s     *model.Scenario
	base  time.Time
	begun atomic.Int64    // when the scenario's time began, after base; it stands at 0 until then
	quit  context.Context // everything ends with it

	mu      sync.Mutex
	world   *model.World
	judge   *checker.Judge
	day     *statistics.Day
	places  map[int]*place
	conns   map[int]*conn
	lastID  int
	wakes   map[*model.Proc]*time.Timer
	listAt  *time.Timer
	tries   map[string]*try // by request id
	watches map[int]*watch  // by agent
	fault   error

	agents  []*agent
	running sync.WaitGroup
}

// now is the scenario's time.
func (g *stage) now() time.Duration { return max(0, time.Since(g.base)-time.Duration(g.begun.Load())) }

// started reports whether the scenario's time runs.
func (g *stage) started() bool { return g.begun.Load() != math.MaxInt64/2 }

// wall is the real time of a scenario's time.
func (g *stage) wall(t time.Duration) time.Time { return g.base.Add(time.Duration(g.begun.Load()) + t) }

// fail ends the play with an error. The lock is held.
func (g *stage) fail(err error) {
	if g.fault == nil {
		g.fault = err
	}
}

// Play plays a scenario. It ends early, marked as cut short, when ctx ends.
func Play(ctx context.Context, o Options) (*Played, error) {
	s := o.Scenario
	if len(o.AgentsAt) > 0 {
		own := *s
		own.Agents = len(o.AgentsAt)
		// They hear their first list from here, before the scenario's time runs, and read it for all:
		// neither waiting in turn nor a spread among agents is this stand-in's to play.
		own.List.Calls, own.List.Spread = 0, 0
		s = &own
		for _, c := range s.Timeline {
			if _, ok := c.What.(model.Agents); ok {
				return nil, errors.New("agents-restart: agents that run already are not this rehearsal's to restart")
			}
		}
	}
	if s.Records.Every > 0 {
		return nil, errors.New("records beside the list are played in virtual time only")
	}
	for _, c := range s.Timeline {
		if op, ok := c.What.(model.Agents); ok && op.Drain {
			return nil, errors.New("agents-restart with drain is played in virtual time only")
		}
	}
	g := &stage{o: o, s: s, base: time.Now(), judge: checker.New(virtual.JudgeConfig(s, slack)), day: statistics.New(s), places: map[int]*place{},
		conns: map[int]*conn{}, wakes: map[*model.Proc]*time.Timer{}, tries: map[string]*try{}, watches: map[int]*watch{}}
	g.begun.Store(math.MaxInt64 / 2)
	most := 0
	for _, v := range g.specs() {
		most = max(most, v.Place+1)
	}
	switch {
	case most*g.doors() > mostListeners:
		return nil, fmt.Errorf("%d servers and %d agents are too many for sockets: their product may be %d", most, s.Agents, mostListeners)
	case s.Peak() > mostRate:
		return nil, fmt.Errorf("%g requests a second are too many for sockets: %g may be", s.Peak(), mostRate)
	case s.Length > mostLength:
		return nil, fmt.Errorf("%v are too long for sockets: %v may be", s.Length, mostLength)
	case s.Tick <= 0:
		return nil, errors.New("agents.tick: agents on sockets need one above 0")
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
			for _, d := range p.doors {
				d.free()
			}
		}
	}()
	defer g.running.Wait()
	defer g.close()
	defer end()
	chance := model.Chance(o.Seed).Sub(model.Name("rehearsal")) // the same world as in virtual time
	g.world = model.NewWorld(s, chance)
	for _, v := range g.specs() {
		if err := g.open(v.Place); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	g.settle()
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
				g.day.Finish(0)
				return &Played{g.day, g.judge, true}, nil
			}
			return nil, err
		}
	}
	g.begun.Store(int64(time.Since(g.base)))
	cut := g.play(ctx, chance)
	g.mu.Lock()
	defer g.mu.Unlock()
	length := min(g.now(), s.Length)
	g.judge.End(g.now())
	g.day.Reads = g.world.List.Reads()
	g.day.Finish(length)
	if g.fault != nil {
		return nil, g.fault
	}
	return &Played{g.day, g.judge, cut}, nil
}

// outside reports whether the agents run already.
func (g *stage) outside() bool { return len(g.o.AgentsAt) > 0 }

// doors is how many addresses each server has.
func (g *stage) doors() int {
	if g.outside() {
		return 1
	}
	return g.s.Agents
}

// specs is every server that ever runs.
func (g *stage) specs() []model.ServerSpec {
	all := g.s.Servers
	for _, c := range g.s.Timeline {
		if op, ok := c.What.(model.Start); ok {
			all = append(all[:len(all):len(all)], op.Server)
		}
	}
	return all
}

// play runs the script and the load, then waits for what is open.
func (g *stage) play(ctx context.Context, chance model.Chance) (cut bool) {
	var clients sync.WaitGroup
	load := model.NewLoad(g.s, chance)
	task, more := load.Next()
	script := g.s.Timeline
	sample := time.Duration(0)
	open := make(chan struct{}, mostOpen)
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
		faulty := g.fault != nil
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
			c.Task.At = now // asked now: what the driver is late by is not the agent's
			select {
			case open <- struct{}{}:
				clients.Go(func() {
					g.client(ctx, &c, chance)
					<-open
				})
			default:
				g.mu.Lock()
				g.fail(fmt.Errorf("%d requests are open at once: too many for sockets", mostOpen))
				g.mu.Unlock()
			}
		}
		if now >= sample {
			g.sample(now)
			sample = now + g.every()
		}
	}
	clients.Wait() // each ends by its deadline, and at once when ctx ends
	return cut
}

// every is how long it is from one sample to the next.
func (g *stage) every() time.Duration {
	if g.o.Trace != nil {
		return 100 * time.Millisecond
	}
	return 250 * time.Millisecond
}

func (g *stage) sample(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.world.Procs {
		if !p.Dead {
			g.day.Sample(now, p.Spec, p.Held(), p.Pressure(now))
			if g.o.Trace != nil {
				g.o.Trace(now, p.Name, p.Held(), p.Pressure(now))
			}
		}
	}
	g.judge.Advance(now)
	if g.o.Progress != nil {
		g.o.Progress(now.Truncate(time.Millisecond), g.day)
	}
}

// apply does one change of the script.
func (g *stage) apply(what any) {
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
	for _, did := range r.Did {
		g.did(did.Proc, did.Effects)
	}
	for _, p := range r.Died {
		g.died(p)
	}
	g.tells(r.Tells)
	g.settle()
}

// did carries out what a server does. The lock is held.
func (g *stage) did(p *model.Proc, effects []model.Effect) {
	now := g.now()
	for _, e := range effects {
		switch e.Kind {
		case model.Accepted, model.Rejected:
			if c := g.conns[e.Conn]; c != nil {
				c.accepted = e.Kind == model.Accepted
			}
		case model.Replied:
			row := g.day.Server(p.Spec)
			switch e.Result {
			case decide.OK:
				row.Served++
			case decide.Rejected:
				row.Full++
				g.judge.TurnedAway(now, e.Job.ID, p.Name)
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
			g.judge.Ran(now, e.Job.ID, p.Name)
		case model.Fell:
			informed := p.Blame(func(agent int) bool { return g.judge.Knows(agent, p.Name, p.Born()) })
			row := g.day.Server(p.Spec)
			row.Fell = true
			row.Pressure = max(row.Pressure, p.Pressure(now))
			g.judge.Fell(now, p.Name, informed)
			tells := g.world.Fallen(now, p)
			g.died(p)
			g.tells(tells)
			g.settle()
		}
	}
	g.wake(p)
}

// wake sees to it that a process is stepped when something is due. The lock is held.
func (g *stage) wake(p *model.Proc) {
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
			g.did(p, p.Step(g.now(), model.Wake{}))
		}
	})
}

// died resets the connections to a process. The lock is held.
func (g *stage) died(p *model.Proc) {
	if t := g.wakes[p]; t != nil {
		t.Stop()
		delete(g.wakes, p)
	}
	for _, c := range g.conns {
		if c.proc == p {
			c.abort()
		}
	}
	g.settle()
}

// close ends what is left. Connections' and listeners' goroutines end with them.
func (g *stage) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.abort()
	}
	for _, t := range g.wakes {
		t.Stop()
	}
	if g.listAt != nil {
		g.listAt.Stop()
	}
	for _, p := range g.places {
		p.close(&g.running)
	}
}
