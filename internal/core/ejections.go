package core

import (
	"fmt"
	"strings"
	"time"

	"vetchhaven/decide"
)

// Ejection is the ejection of a server's process by the fleet.
type Ejection struct {
	Server    string
	StartedMS int64 // listed start of the process, Unix milliseconds; 0: long ago
	Draining  bool  // the process gets no new requests because it is draining, not because it is an outlier
	ExpiresAt time.Time
}

// ejectionsUpdated is posted with the ejections that are in force from now on.
type ejectionsUpdated struct{ ejections []Ejection }

// SetEjections passes the fleet's ejections to the balancer; they replace the previous ones. It does not block: it
// reports false if the loop's queue is full.
func (a *Agent) SetEjections(ejections []Ejection) bool {
	return a.loop.tryPost(ejectionsUpdated{ejections})
}

// ejectedServers describes the servers that get no requests because of the present ejections.
type ejectedServers struct {
	lastExpiry time.Duration // when the last of the ejections expires
	names      string
	refusals   int // requests refused for lack of a server while ejections were in force, since the last summary
}

// maxNamedServers is the maximum number of servers that a refusal names.
const maxNamedServers = 5

// ejectedServers returns the names of the ejected servers for a request that is refused for lack of a server, and
// counts that refusal. It returns an empty string if the reason is another one or no ejection is in force.
func (l *Loop) ejectedServers(reason decide.Reason, now time.Duration) string {
	if reason != decide.NoBackend || now >= l.ejected.lastExpiry {
		return ""
	}
	l.ejected.refusals++
	return l.ejected.names
}

// onEjections passes the ejections to the balancer, except those of processes that this agent's lists have not had.
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

// translateEjection converts an ejection to the balancer's terms. It reports false if the ejected process is not the
// latest one of its server in this agent's lists.
func (l *Loop) translateEjection(e Ejection) (decide.Ejection, bool) {
	translated := decide.Ejection{Backend: e.Server, Draining: e.Draining, Until: l.clock.at(e.ExpiresAt)}
	if e.StartedMS <= 0 {
		return translated, true
	}
	var known bool
	translated.Started, known = l.starts.startedAt(e.Server, e.StartedMS)
	return translated, known
}

// name returns the server and why it is ejected, as answers to clients show it.
func (e Ejection) name() string {
	if e.Draining {
		return e.Server + " (drains)"
	}
	return e.Server + " (out)"
}

// joinNames lists the first maxNamedServers names, and how many more there are.
func joinNames(names []string) string {
	if more := len(names) - maxNamedServers; more > 0 {
		names = append(names[:maxNamedServers], fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}
