package core

import (
	"maps"
	"time"

	"vetchhaven/decide"
)

// listDelay is how long after a change the list shows it, at the latest.
const listDelay = 6 * time.Second

// endedProcess is a server's process that has ended: a connection to its address was refused.
type endedProcess struct {
	at       time.Duration // of the last refusal
	listedMS int64         // its listed start, Unix milliseconds
}

// noteRefusedConnection records that a server's listed process has ended, if an attempt's connection was refused.
func (l *Loop) noteRefusedConnection(a *Attempt, result decide.Result) {
	if result != decide.ConnectFailed {
		return
	}
	now := l.clock.now()
	maps.DeleteFunc(l.endedProcesses, func(_ string, p endedProcess) bool { return now-p.at > listDelay })
	if l.endedProcesses == nil {
		l.endedProcesses = map[string]endedProcess{}
	}
	l.endedProcesses[a.Server] = endedProcess{at: now, listedMS: l.starts.listedMS(a.Server)}
}

// mayReachAnotherProcess reports whether a repeat of a keyed request, which may have been executed, would go to an
// address at which another process may answer than the list says: one that does not drop it, because it is in another
// deduplication scope. That is so from a refused connection on, until the list shows another process of the server or
// must have shown it.
func (l *Loop) mayReachAnotherProcess(r *Request, send decide.Send) bool {
	class := &l.cfg.Settings.Classes[r.Class]
	if class.Effect != decide.Keyed || class.Scope == decide.ScopeAll || !r.mayHaveRun() {
		return false
	}
	ended, refused := l.endedProcesses[send.Backend]
	return refused && l.clock.now()-ended.at < listDelay && l.starts.listedMS(send.Backend) <= ended.listedMS
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
