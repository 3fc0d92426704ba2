package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/faulttest/soak/check"
	"vetchhaven/internal/source/discovery"
)

// Of a play's servers and clients.
const (
	workers         = 4
	service         = 60 * time.Millisecond
	clientsEach     = 4
	clientPause     = 90 * time.Millisecond
	cellsOfServers  = 2
	measurementSlip = 60 * time.Millisecond // by which recorded times may be off, besides what the recorder itself was late
)

// stage is what a play runs on.
type stage struct {
	plan    Plan
	rec     *Recorder
	dir     *catalog
	servers []*server
	agents  []*agentProcess
	files   string
	release []func()

	directories *directories // nil: no daemon, no LDAP

	mu     sync.Mutex
	late   time.Duration // the most that this process was run late
	failed error
	busy   map[int]bool // agents of which one fault has the process
}

// Play runs a plan's processes under its troubles, with the built program and files in a directory of the play's own. It
// returns the history and the rules to check it by.
func Play(ctx context.Context, p Plan, program, files string) (history []check.Event, rules check.Rules, err error) {
	// A successor of a daemon that hands over is its child: it comes to this process when that one ends.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return nil, rules, fmt.Errorf("soak: %w", err)
	}
	s := &stage{plan: p, rec: NewRecorder(), dir: newCatalog(), files: files, busy: map[int]bool{}}
	defer s.close()
	if err := s.build(program); err != nil {
		return nil, rules, err
	}
	if err := s.startAll(ctx); err != nil {
		return nil, rules, err
	}
	asking, stop := context.WithTimeout(ctx, p.Length)
	defer stop()
	var running sync.WaitGroup
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go s.watchLateness(watching)
	for _, a := range s.agents {
		go a.watchScheduling(watching)
		running.Go(func() { a.clients.run(asking, clientsEach, p.Seed<<8+uint64(a.n)) })
		if a.ldapClients != nil {
			running.Go(func() { a.ldapClients.run(asking, p.Seed<<8+uint64(a.n)) })
		}
	}
	begin := s.rec.Now()
	for _, t := range p.Incidents {
		running.Go(func() {
			select {
			case <-time.After(begin + t.At - s.rec.Now()):
				s.inject(ctx, t)
			case <-asking.Done():
			}
		})
	}
	running.Wait()
	for _, a := range s.agents {
		running.Go(func() { a.terminate() })
	}
	running.Wait()
	for _, a := range s.agents {
		if err := a.readLog(); err != nil {
			return nil, rules, err
		}
	}
	return s.rec.History(), s.rules(), s.failed
}

func (s *stage) rules() check.Rules {
	r := check.Rules{Slack: measurementSlip, MaxLateAnswer: 500 * time.Millisecond, MaxStartAfterDisconnect: 100 * time.Millisecond, MaxStallTime: 3 * time.Second, MaxStopTime: s.plan.deadline() + stopSlack,
		MinAcceptTime: lateConnections, MinStartTime: termBeforeReady,
		MaxReadyTime: maxReadyTime, DrainGrace: drainGrace, DeadlineOver: 150 * time.Millisecond, Zones: map[string]string{},
		Classes: map[string]check.ClassRules{"get": {}, "put": {Effect: check.Keyed, Window: keyedWindow}, "pin": {Effect: check.Keyed, Window: keyedWindow, Zone: true}, "pay": {Effect: check.Once},
			classSearch: {}, classModify: {Effect: check.Once}},
		ColdShare: coldShare, RampTime: rampTime, FallMultiple: fallMultiple, FallWindow: fallWindow, Capacity: workers / service.Seconds()}
	s.mu.Lock()
	r.Slack += s.late
	s.mu.Unlock()
	if s.plan.holdsWrites() {
		r.HoldUp = 150 * time.Millisecond
	}
	for _, x := range s.servers {
		r.Zones[x.id] = x.zone
	}
	return r
}

// watchLateness measures by how much this process runs late: what it records is off by as much.
func (s *stage) watchLateness(ctx context.Context) {
	const every = 5 * time.Millisecond
	for ctx.Err() == nil {
		asked := time.Now()
		time.Sleep(every)
		late := time.Since(asked) - every
		s.mu.Lock()
		s.late = max(s.late, late)
		s.mu.Unlock()
	}
}

func (s *stage) build(program string) error {
	for n := range s.plan.Servers {
		x, err := newServer(fmt.Sprintf("s%d", n), []string{"a", "b"}[n%2], n%cellsOfServers, workers, service, s.rec, s.plan.Seed<<8+uint64(n))
		if err != nil {
			return err
		}
		s.servers = append(s.servers, x)
		s.list(x, check.Ready)
	}
	if s.plan.Daemons > 0 {
		var err error
		if s.directories, err = newDirectories(s.rec, s.plan.Seed); err != nil {
			return err
		}
	}
	for n := range s.plan.Agents + s.plan.Daemons {
		addr, err := s.reservePort()
		if err != nil {
			return err
		}
		l, err := newList(n, s.dir, s.rec)
		if err != nil {
			return err
		}
		a := &agentProcess{n: n, serve: n >= s.plan.Agents, pushed: n%2 == 1, program: program, dir: filepath.Join(s.files, fmt.Sprintf("n%d", n)),
			listen: addr, env: s.plan.Faults, rec: s.rec, list: l, deadline: s.plan.deadline(),
			clients: &clients{agent: n, addr: addr, rec: s.rec, pause: clientPause, deadline: s.plan.deadline()}}
		a.writeConfig = func() error { return a.configure(s.plan.Agents+s.plan.Daemons, s.dir.known()) }
		if a.serve {
			if a.ldapListen, err = s.reservePort(); err != nil {
				return err
			}
			a.directories = s.directories.list.Addr()
			a.ldapClients = &ldapClients{clients: a.clients, addr: a.ldapListen, deadline: s.plan.deadline()}
		}
		s.agents = append(s.agents, a)
		if err := os.MkdirAll(a.dir, 0o700); err != nil {
			return err
		}
		if err := a.writeConfig(); err != nil {
			return err
		}
	}
	return nil
}

// reservePort holds a port until the play's end.
func (s *stage) reservePort() (addr string, err error) {
	addr, release, err := reservePort()
	if err == nil {
		s.release = append(s.release, release)
	}
	return addr, err
}

func (s *stage) startAll(ctx context.Context) error {
	var all sync.WaitGroup
	for _, a := range s.agents {
		all.Go(func() { s.fail(a.start(ctx)) })
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

func (s *stage) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.failed == nil {
		s.failed = err
	}
}

// list tells all agents a server's state.
func (s *stage) list(x *server, state string) {
	addr, process, started := x.member()
	e := entry{Member: discovery.Member{ID: x.id, Addr: addr, Zone: x.zone, Kind: "k", Cell: x.cell, State: state, Weight: 1}, process: process}
	if !started.IsZero() {
		e.Started, e.began = started.UnixMilli(), started.Sub(s.rec.base)
	} else {
		e.process = 0 // long ago: warm
	}
	s.dir.set(e)
}

// take books an agent's process for one fault.
func (s *stage) take(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[n] {
		return false
	}
	s.busy[n] = true
	return true
}

func (s *stage) give(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[n] = false
}

// inject brings one about, and returns when it is over.
func (s *stage) inject(ctx context.Context, t Incident) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, n := range t.Picks {
		all.Go(func() {
			switch t.Kind {
			case Crowd:
				s.crowd(ctx, s.agents[n], t.For)
			case Quiet:
				s.agents[n].clients.quietUntil.Store(int64(s.rec.Now() + t.For))
			case DirectoriesTroubled:
				s.directories.servers[n].setFault(DirectoryFault(t.Way))
				time.Sleep(t.For)
				s.directories.servers[n].setFault(DirectoryServes)
			case AgentTerm, AgentKill, AgentReload, AgentHold, DaemonHand, AgentSignals:
				if !s.take(n) {
					return
				}
				defer s.give(n)
				s.disturbAgent(ctx, t, s.agents[n])
			case ServersMisbehave, ServersCrash, ServersDrain, ServersRejoin:
				s.disturbServer(t, s.servers[n])
			case ListTroubled:
				s.agents[n].list.behave(ListFault(t.Way))
				time.Sleep(t.For)
				s.agents[n].list.behave(ListServes)
			case ClientsTroubled:
				s.agents[n].clients.fault.Store(int32(t.Way))
				time.Sleep(t.For)
				s.agents[n].clients.fault.Store(int32(ClientsBehave))
			}
		})
	}
}

func (s *stage) disturbAgent(ctx context.Context, t Incident, a *agentProcess) {
	switch t.Kind {
	case AgentTerm:
		a.terminate()
		time.Sleep(t.For)
		s.fail(a.start(ctx))
	case AgentKill:
		a.kill()
		time.Sleep(t.For)
		s.fail(a.start(ctx))
	case AgentReload:
		for end := s.rec.Now() + t.For; s.rec.Now() < end; time.Sleep(100 * time.Millisecond) {
			a.reconfigure()
			a.signal(syscall.SIGHUP)
		}
	case AgentHold:
		for end := s.rec.Now() + t.For; s.rec.Now() < end; time.Sleep(200 * time.Millisecond) {
			a.hold(150 * time.Millisecond)
		}
	case DaemonHand:
		s.fail(a.handOver(ctx))
	case AgentSignals:
		s.playSeries(ctx, t, a)
	}
}

func (s *stage) disturbServer(t Incident, x *server) {
	switch t.Kind {
	case ServersMisbehave:
		x.behave(Misbehaviour(t.Way))
		time.Sleep(t.For)
		x.behave(Behaves)
	case ServersCrash: // the list hears of it when it is back
		if !x.take() {
			return
		}
		defer x.give()
		x.crash()
		time.Sleep(t.For)
		s.fail(x.start(time.Now()))
		s.list(x, check.Ready)
	case ServersDrain:
		if !x.take() {
			return
		}
		defer x.give()
		s.list(x, check.Draining)
		time.Sleep(t.For)
		s.list(x, check.Ready)
	case ServersRejoin:
		if !x.take() {
			return
		}
		defer x.give()
		s.list(x, check.Gone)
		x.crash()
		time.Sleep(t.For)
		s.fail(x.start(time.Now()))
		s.list(x, check.Ready)
	}
}

func (s *stage) close() {
	for _, a := range s.agents {
		a.signal(syscall.SIGKILL)
		a.list.close()
	}
	for _, x := range s.servers {
		x.close()
	}
	if s.directories != nil {
		s.directories.close()
	}
	for _, f := range s.release {
		f()
	}
}
