package core

import (
	"fmt"
	"strings"
	"time"

	"vetchhaven/decide"
)

// Ejection is an ejection of a process of a server by the fleet.
type Ejection struct {
	Server    string
	StartedMS int64 // of the process by the list, Unix milliseconds; 0: long ago
	Draining  bool  // it gets no new requests since it drains, not since it is an outlier
	ExpiresAt time.Time
}

// ejectionsUpdated are the ejections that hold from now on.
type ejectionsUpdated struct{ ejections []Ejection }

// SetEjections tells the balancer the fleet's ejections, in place of the last ones. It does not wait: false says that
// the agent is too busy to take them now.
func (a *Agent) SetEjections(ejections []Ejection) bool {
	return a.loop.tryPost(ejectionsUpdated{ejections})
}

// ejectedServers are the servers that get no requests by the present ejections.
type ejectedServers struct {
	lastExpiry time.Duration // of the last of them
	names      string
	refusals   int // requests for which there was no server meanwhile, since the last summary
}

// maxNamedServers is how many servers a refusal names.
const maxNamedServers = 5

// ejectedServers names them where a request is refused for want of a server.
func (l *Loop) ejectedServers(reason decide.Reason, now time.Duration) string {
	if reason != decide.NoBackend || now >= l.ejected.lastExpiry {
		return ""
	}
	l.ejected.refusals++
	return l.ejected.names
}

// onEjections passes ejections on that are of processes which this agent knows.
func (l *Loop) onEjections(e ejectionsUpdated) {
	var ejections []decide.Ejection
	var names []string
	l.ejected.lastExpiry = 0
	for _, ejection := range e.ejections {
		translated, known := l.translateEjection(ejection)
		if !known {
			continue
		}
		ejections = append(ejections, translated)
		l.ejected.lastExpiry = max(l.ejected.lastExpiry, translated.Until)
		names = append(names, ejection.name())
	}
	l.ejected.names = joinNames(names)
	l.pending = append(l.pending, decide.Ejections{Ejections: ejections})
}

// translateEjection puts an ejection into the balancer's terms. It reports false for one of a process that this agent
// does not know, or of an earlier one.
func (l *Loop) translateEjection(e Ejection) (decide.Ejection, bool) {
	translated := decide.Ejection{Backend: e.Server, Draining: e.Draining, Until: l.clock.at(e.ExpiresAt)}
	if e.StartedMS <= 0 {
		return translated, true
	}
	var known bool
	translated.Started, known = l.starts.startedAt(e.Server, e.StartedMS)
	return translated, known
}

// name is the server with what happens to it, as answers to clients show it.
func (e Ejection) name() string {
	if e.Draining {
		return e.Server + " (drains)"
	}
	return e.Server + " (out)"
}

// joinNames lists the first names, and how many more there are.
func joinNames(names []string) string {
	if more := len(names) - maxNamedServers; more > 0 {
		names = append(names[:maxNamedServers], fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}
