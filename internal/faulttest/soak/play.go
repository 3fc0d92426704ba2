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

// Parameters of a run's servers and clients.
const (
	workers          = 4
	service          = 60 * time.Millisecond
	clientsEach      = 4
	clientPause      = 90 * time.Millisecond
	serverCells      = 2
	placedServers    = 2                     // so many servers are listed with their zone and cell, then as many without
	measurementError = 60 * time.Millisecond // error of recorded times besides the recorder's own lateness
)

// testbed holds the processes, servers and services of a run.
type testbed struct {
	plan    Plan
	rec     *Recorder
	dir     *catalog
	servers []*server
	agents  []*agentProcess
	files   string
	release []func()

	directories *directories // nil: the run has no daemons and no LDAP

	mu     sync.Mutex
	late   time.Duration // largest scheduling delay of this process
	failed error
	busy   map[int]bool // agents whose process is reserved by an incident
}

// Play runs a plan with the executable program and keeps the files of the run in the directory files. It returns the
// history and the rules for checking it.
func Play(ctx context.Context, p Plan, program, files string) (history []check.Event, rules check.Rules, err error) {
	// The successor of a daemon that hands over is the daemon's child. As a subreaper, this process becomes its
	// parent when the daemon exits.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return nil, rules, fmt.Errorf("soak: set child subreaper: %w", err)
	}
	s := &testbed{plan: p, rec: NewRecorder(), dir: newCatalog(), files: files, busy: map[int]bool{}}
	defer s.close()
	if err := s.build(program); err != nil {
		return nil, rules, err
	}
	if err := s.startAll(ctx); err != nil {
		return nil, rules, err
	}
	clientsCtx, stop := context.WithTimeout(ctx, p.Length)
	defer stop()
	var running sync.WaitGroup
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go s.watchLateness(watching)
	for _, a := range s.agents {
		go a.watchScheduling(watching)
		running.Go(func() { a.clients.run(clientsCtx, clientsEach, p.Seed<<8+uint64(a.n)) })
		if a.ldapClients != nil {
			running.Go(func() { a.ldapClients.run(clientsCtx, p.Seed<<8+uint64(a.n)) })
		}
	}
	begin := s.rec.Now()
	for _, t := range p.Incidents {
		running.Go(func() {
			select {
			case <-time.After(begin + t.At - s.rec.Now()):
				s.inject(ctx, t)
			case <-clientsCtx.Done():
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

func (s *testbed) rules() check.Rules {
	r := check.Rules{Slack: measurementError, MaxLateAnswer: 500 * time.Millisecond, MaxStartAfterDisconnect: 100 * time.Millisecond, MaxStallTime: 3 * time.Second, MaxStopTime: s.plan.deadline() + stopSlack,
		MinAcceptTime: connectsAfterTerm, MinStartTime: termBeforeReady,
		MaxReadyTime: maxReadyTime, DrainGrace: drainGrace, DeadlineOver: 150 * time.Millisecond, Zones: map[string]string{},
		Classes: map[string]check.ClassRules{"get": {}, "put": {Effect: check.Keyed, Window: keyedWindow}, "pin": {Effect: check.Keyed, Window: keyedWindow, Zone: true}, "pay": {Effect: check.Once},
			classSearch: {}, classModify: {Effect: check.Once}},
		ColdShare: coldShare, RampTime: rampTime, FallMultiple: fallMultiple, FallWindow: fallWindow, Capacity: workers / service.Seconds()}
	s.mu.Lock()
	r.Slack += s.late
	s.mu.Unlock()
	if s.plan.holdsWrites() {
		r.MaxPause = 150 * time.Millisecond
	}
	for _, x := range s.servers {
		r.Zones[x.id] = x.zone
	}
	return r
}

// watchLateness measures the largest scheduling delay of this process: recorded times are late by up to that much.
func (s *testbed) watchLateness(ctx context.Context) {
	const every = 5 * time.Millisecond
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(every)
		late := time.Since(before) - every
		s.mu.Lock()
		s.late = max(s.late, late)
		s.mu.Unlock()
	}
}

func (s *testbed) build(program string) error {
	for n := range s.plan.Servers {
		x, err := newServer(fmt.Sprintf("s%d", n), []string{"a", "b"}[n%2], n%serverCells, workers, service, s.rec, s.plan.Seed<<8+uint64(n))
		if err != nil {
			return err
		}
		x.unplaced = n%(2*placedServers) >= placedServers
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
		a.writeConfig = func() error { return a.configure(s.plan.Agents+s.plan.Daemons, s.dir.full()) }
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

// reservePort reserves a port until the end of the run.
func (s *testbed) reservePort() (addr string, err error) {
	addr, release, err := reservePort()
	if err == nil {
		s.release = append(s.release, release)
	}
	return addr, err
}

func (s *testbed) startAll(ctx context.Context) error {
	var all sync.WaitGroup
	for _, a := range s.agents {
		all.Go(func() { s.fail(a.start(ctx)) })
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

func (s *testbed) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.failed == nil {
		s.failed = err
	}
}

// list sets a server's state in the lists of all agents.
func (s *testbed) list(x *server, state string) {
	addr, process, started := x.member()
	e := entry{Server: discovery.Server{ID: x.id, Addr: addr, Kind: "k", State: state, Weight: 1}, process: process}
	if !x.unplaced {
		e.Zone, e.Cell = x.zone, new(x.cell)
	}
	if !started.IsZero() {
		e.Started, e.began = started.UnixMilli(), started.Sub(s.rec.base)
	} else {
		e.process = 0 // the process started long ago, so slow start does not apply
	}
	s.dir.set(e)
}

// acquireAgent reserves an agent's process for one incident.
func (s *testbed) acquireAgent(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[n] {
		return false
	}
	s.busy[n] = true
	return true
}

func (s *testbed) releaseAgent(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[n] = false
}

// inject injects an incident and returns when it is over.
func (s *testbed) inject(ctx context.Context, t Incident) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, n := range t.Picks {
		all.Go(func() {
			switch t.Kind {
			case Crowd:
				s.crowd(ctx, s.agents[n], t.For)
			case Quiet:
				s.agents[n].clients.quietUntil.Store(int64(s.rec.Now() + t.For))
			case DirectoriesFaulty:
				s.directories.servers[n].setFault(DirectoryFault(t.Way))
				time.Sleep(t.For)
				s.directories.servers[n].setFault(DirectoryServes)
			case AgentTerm, AgentKill, AgentReload, AgentHold, DaemonHandover, AgentSignals:
				if !s.acquireAgent(n) {
					return
				}
				defer s.releaseAgent(n)
				s.disturbAgent(ctx, t, s.agents[n])
			case ServersFaulty, ServersCrash, ServersDrain, ServersRejoin:
				s.disturbServer(t, s.servers[n])
			case ListFaulty:
				s.agents[n].list.setFault(ListFault(t.Way))
				time.Sleep(t.For)
				s.agents[n].list.setFault(ListServes)
			case ClientsFaulty:
				s.agents[n].clients.fault.Store(int32(t.Way))
				time.Sleep(t.For)
				s.agents[n].clients.fault.Store(int32(ClientsBehave))
			}
		})
	}
}

func (s *testbed) disturbAgent(ctx context.Context, t Incident, a *agentProcess) {
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
	case DaemonHandover:
		s.fail(a.handOver(ctx))
	case AgentSignals:
		s.playSeries(ctx, t, a)
	}
}

func (s *testbed) disturbServer(t Incident, x *server) {
	switch t.Kind {
	case ServersFaulty:
		x.setFault(ServerFault(t.Way))
		time.Sleep(t.For)
		x.setFault(ServerServes)
	case ServersCrash: // the list is updated only after the restart
		if !x.acquire() {
			return
		}
		defer x.release()
		x.crash()
		time.Sleep(t.For)
		s.fail(x.start(time.Now()))
		s.list(x, check.Ready)
	case ServersDrain:
		if !x.acquire() {
			return
		}
		defer x.release()
		s.list(x, check.Draining)
		time.Sleep(t.For)
		s.list(x, check.Ready)
	case ServersRejoin:
		if !x.acquire() {
			return
		}
		defer x.release()
		s.list(x, check.Gone)
		x.crash()
		time.Sleep(t.For)
		s.fail(x.start(time.Now()))
		s.list(x, check.Ready)
	}
}

func (s *testbed) close() {
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
