package core

import (
	"maps"
	"sync"
	"time"

	"vetchhaven/decide"
)

// ListDelay is how long after a change of the servers the list shows it, at the latest.
const ListDelay = 6 * time.Second

// endedProcess is a server's process that has ended, or may have: a connection to its address was refused, or it has
// closed its connections.
type endedProcess struct {
	at       time.Duration // when that was last seen
	listedMS int64         // its listed start, Unix milliseconds
}

// endedProcesses are the processes that have ended recently, by server. It may be used from any goroutine.
type endedProcesses struct {
	mu       sync.Mutex
	byServer map[string]endedProcess
}

// note records that at a time the process of a server with this listed start was seen to have ended.
func (e *endedProcesses) note(server string, listedMS int64, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.byServer, func(_ string, p endedProcess) bool { return at-p.at > ListDelay })
	if e.byServer == nil {
		e.byServer = map[string]endedProcess{}
	}
	if e.byServer[server].at < at {
		e.byServer[server] = endedProcess{at: at, listedMS: listedMS}
	}
}

// mayBeReplaced reports whether another process may have the address of a server whose listed start is listedMS: the
// listed one has ended, and the list need not show another one yet.
func (e *endedProcesses) mayBeReplaced(server string, listedMS int64, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, known := e.byServer[server]
	return known && now-ended.at < ListDelay && listedMS <= ended.listedMS
}

// noteRefusedConnection records that a server's listed process has ended, if an attempt's connection was refused.
func (l *Loop) noteRefusedConnection(a *Attempt, result decide.Result) {
	if result == decide.ConnectFailed {
		l.endedProcesses.note(a.Server, l.starts.listedMS(a.Server), l.clock.now())
	}
}

// NoteServerClosed records that at a time the attempt's server was seen to have closed an idle connection long before it
// usually does: its process may have ended.
func (a *Attempt) NoteServerClosed(at time.Time) {
	a.loop.endedProcesses.note(a.Server, a.listedMS, a.loop.clock.at(at))
}

// mayReachAnotherProcess reports whether a scoped repeat would go to an address at which another process may answer than
// the list says.
func (l *Loop) mayReachAnotherProcess(r *Request, send decide.Send) bool {
	return l.isScopedRepeat(r) && l.endedProcesses.mayBeReplaced(send.Backend, l.starts.listedMS(send.Backend), l.clock.now())
}

// mayReachAnotherProcess reports the same of the attempt, from any goroutine, by what has been seen since the balancer
// decided on it.
func (a *Attempt) mayReachAnotherProcess() bool {
	return a.scopedRepeat && a.loop.endedProcesses.mayBeReplaced(a.Server, a.listedMS, a.loop.clock.now())
}

// isScopedRepeat reports whether a further attempt of a request, which may have been executed, relies on the servers of
// its deduplication scope to drop it: a process of another scope would execute it again.
func (l *Loop) isScopedRepeat(r *Request) bool {
	class := &l.cfg.Settings.Classes[r.Class]
	return class.Effect == decide.Keyed && class.Scope != decide.ScopeAll && r.mayHaveRun()
}

// mayHaveRun reports whether an attempt of the request may have been executed.
func (r *Request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.hasResult || !a.result.NeverRan() {
			return true
		}
	}
	return false
}
