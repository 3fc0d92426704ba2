package soak

import (
	"context"
	"os"
	"strconv"
	"syscall"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

// SignalSeries is a sequence of signals to one process.
type SignalSeries int

// The series of signals.
const (
	TermTwice         SignalSeries = 1 + iota
	TermThrice                     // SIGTERM and two more
	HangupThenTerm                 // SIGHUP, and SIGTERM without a pause
	TermThenHangup                 // SIGTERM, and SIGHUP without a pause
	HangupsInDrain                 // SIGHUPs after SIGTERM, each with a changed configuration, until the process ends
	TermBeforeReady                // to a process that has just been started
	TermInHandover                 // to the old process, while a successor starts
	TermAfterHandover              // to the new process, as soon as it is ready
	ReloadsInARow                  // SIGHUPs at intervals of betweenReloads, each with a changed configuration
	afterLastSeries
)

// Times in a series of signals.
const (
	betweenSignals  = 120 * time.Millisecond
	betweenReloads  = 20 * time.Millisecond
	hangupsInDrain  = 8
	termBeforeReady = 250 * time.Millisecond // after the start, at most
)

// playSeries sends a series of signals to an agent's process and starts a new process if that one ends.
func (s *testbed) playSeries(ctx context.Context, t Incident, a *agentProcess) {
	var after []timedSignal
	switch SignalSeries(t.Way) {
	case TermTwice:
		after = []timedSignal{{betweenSignals, syscall.SIGTERM, false}}
	case TermThrice:
		after = []timedSignal{{betweenSignals, syscall.SIGTERM, false}, {betweenSignals, syscall.SIGTERM, false}}
	case HangupThenTerm:
		a.reconfigure()
		a.signal(syscall.SIGHUP)
	case TermThenHangup:
		after = []timedSignal{{0, syscall.SIGHUP, true}}
	case HangupsInDrain:
		for range hangupsInDrain {
			after = append(after, timedSignal{betweenSignals, syscall.SIGHUP, true})
		}
	case TermBeforeReady:
		a.terminate()
		s.fail(a.launch())
		time.Sleep(min(t.For, termBeforeReady))
	case TermInHandover:
		a.rec.Put(check.Event{Kind: check.ProcessHandedOver, Agent: a.n, Process: a.current()})
		a.signal(syscall.SIGUSR2)
		time.Sleep(min(t.For, termBeforeReady))
		a.terminate()
		if a.adoptSuccessor() { // the successor was ready before the old process handled its signal
			a.terminate()
		}
		s.fail(a.start(ctx))
		return
	case TermAfterHandover:
		s.fail(a.handOver(ctx))
	case ReloadsInARow:
		for end := s.rec.Now() + t.For; s.rec.Now() < end; time.Sleep(betweenReloads) {
			a.reconfigure()
			a.signal(syscall.SIGHUP)
		}
		return
	}
	a.terminate(after...)
	s.fail(a.start(ctx))
}

// timedSignal is a signal that is sent some time after the previous one.
type timedSignal struct {
	wait        time.Duration
	signal      syscall.Signal
	reconfigure bool // change the configuration before the signal
}

// reconfigure changes the agent's configuration: the address of its list, or a limit of its instances.
func (a *agentProcess) reconfigure() {
	a.mu.Lock()
	a.at++
	a.mu.Unlock()
	if err := a.writeConfig(); err != nil {
		a.rec.Put(check.Event{Kind: check.InvariantLogged, Agent: a.n, Note: "the soak test could not write a configuration: " + err.Error()})
	}
}

// adoptSuccessor makes a ready successor the current process. It reports false if no successor is ready.
func (a *agentProcess) adoptSuccessor() bool {
	text, err := os.ReadFile(a.logPath())
	if err != nil {
		return false
	}
	all := readyLine.FindAllSubmatch(text, -1)
	if len(all) == 0 {
		return false
	}
	pid, err := strconv.Atoi(string(all[len(all)-1][1]))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil || pid == a.pid || syscall.Kill(pid, 0) != nil {
		return false
	}
	a.begin(pid)
	return true
}
