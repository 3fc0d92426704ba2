// Package endpoints merges the reports of several sources of servers, such as a list service, DNS records and a
// saved list, into one endpoint list. It is a state machine without I/O, clock and randomness: Module.Step takes
// reports and the time, and returns the list and the reason for each entry. The merge rule is the table in
// docs/design/membership.md, which TestMergeRuleForAllPairsAndTriples checks.
//
// A Module holds the sources' last reports, the removals in effect, and the state that damps pod changes. It must
// be used by one goroutine only: internal/host/daemon runs one Module for each list with several sources, the
// simulator one per agent.
package endpoints

import (
	"time"
)

// State is a server's state, either as one source reports it or after the merge.
type State uint8

// States of a server. If removals contradict each other, the state with the larger value applies.
const (
	// Absent is the state of a server that a source does not name.
	Absent State = iota
	Up
	// Draining is the state of a server that finishes its requests and gets no new ones.
	Draining
	Removed
)

// String returns the state's name as the admin endpoint and the logs show it.
func (s State) String() string { return [...]string{"absent", "up", "draining", "gone"}[s] }

// Server is one server as a source describes it. A zero value of Zone, Kind, Pod, Weight or Started means unknown.
// Whoever uses the list must not treat two servers whose pods are unknown as servers of one pod.
type Server struct {
	ID       string
	Addr     string // IP and port
	Zone     string
	Kind     string
	Pod      Pod
	Weight   float64
	Priority int // as in SRV records (RFC 2782): of the servers that are up, those with the lowest value are used
	State    State
	Started  int64 // Unix time of the process's start in ms; compared only with other starts, never with a clock
}

// Source describes a source and how far its reports are trusted.
type Source struct {
	Name string
	// Origin identifies what the source reads, such as the address of a list service. Two sources of one name and
	// one origin report the same list.
	Origin string
	// Transient means that the source stands for what is known from before: no module continues its reports.
	Transient bool
	// Exact means that a server missing from a snapshot has been removed. A server missing from the snapshot of
	// a source that is not exact, such as DNS, has only been withdrawn: another source may still have it.
	Exact bool
	// Hold is for how long the last snapshot of a failing source is still used. Smaller values remove servers
	// during an outage of the source, larger values keep stale servers longer.
	Hold time.Duration
}

// Settings configure a Module.
type Settings struct {
	Sources []Source // by precedence: the first source that specifies an attribute of a server determines it
	// SuddenLossGuard is for how long servers are kept that suddenly disappear from the snapshots of a source that is not
	// exact. A loss counts as sudden if more than half of the servers, and more than two, are missing. A snapshot
	// that arrives SuddenLossGuard or more after the loss is accepted. SuddenLossGuard is also how long a server must have been
	// missing for a new announcement to overrule a removal. With smaller values truncated answers are accepted,
	// larger values delay real changes.
	SuddenLossGuard time.Duration
	// Settle is the minimum interval between two effective changes of a server's pod. While a change is delayed, the
	// pod is unknown.
	Settle time.Duration
}

// Reports of a source.
type (
	// Snapshot is the complete list of a source's servers.
	Snapshot struct {
		Source  string
		Servers []Server
	}
	// Delta holds the servers that were added, changed or removed.
	Delta struct {
		Source  string
		Servers []Server
	}
	// Reset discards all reports of a source.
	Reset struct{ Source string }
	// Failed reports that a source could not be read, or that its response was invalid.
	Failed struct{ Source string }
)

// Report is a Snapshot, Delta, Reset or Failed.
type Report interface{ report() }

func (Snapshot) report() {}
func (Delta) report()    {}
func (Failed) report()   {}
func (Reset) report()    {}

// ListedServer is a server that at least one source names, after the merge.
type ListedServer struct {
	Server
	In  bool   // whether it is part of the endpoint list
	Why string // the reason for In, for operators
}

// Module merges the reports of its sources. See the package comment.
type Module struct {
	settings Settings
	sources  []*source // in the order of Settings.Sources
	// removals are the reports of draining and removed servers. Each applies until there is newer evidence.
	removals *removalSet
	pods     map[string]*podHistory  // by server ID
	lastList map[string]ListedServer // as returned by the last Step, by server ID
	latest   time.Duration           // the latest time of a Step
	logs     []string                // log lines not yet returned by Logs
}

// New returns a Module that has no reports.
func New(s Settings) *Module {
	m := &Module{
		settings: s,
		removals: newRemovalSet(),
		pods:     map[string]*podHistory{},
		lastList: map[string]ListedServer{},
	}
	for _, o := range s.Sources {
		m.sources = append(m.sources, &source{Source: o, entries: map[string]*entry{}})
	}
	return m
}

// Step applies reports, advances the time to now, and returns every server that any source names, sorted by ID,
// whether it is in the list or not. now counts from any fixed base; a time before the latest one is taken as the
// latest. Reports of unknown sources are ignored. changed reports whether the list differs from the one that the
// last Step returned.
func (m *Module) Step(now time.Duration, reports ...Report) (list []ListedServer, changed bool) {
	m.latest = max(now, m.latest)
	for _, report := range reports {
		m.apply(report)
	}
	list = m.merge()
	next := map[string]ListedServer{}
	for _, member := range list {
		next[member.ID] = member
		old, known := m.lastList[member.ID]
		changed = changed || !known || old.In != member.In || old.Server != member.Server
	}
	changed = changed || len(next) != len(m.lastList)
	m.lastList = next
	return list, changed
}

// apply applies one report.
func (m *Module) apply(report Report) {
	switch r := report.(type) {
	case Snapshot:
		if s := m.source(r.Source); s != nil {
			m.applySnapshot(s, r.Servers)
		}
	case Delta:
		if s := m.source(r.Source); s != nil {
			for _, server := range r.Servers {
				m.applyServer(s, server)
			}
			s.markReceived(m.latest)
		}
	case Reset:
		if s := m.source(r.Source); s != nil {
			s.forgetReports(m.latest)
			m.removals.removeOf(s.Name)
		}
	case Failed:
		if s := m.source(r.Source); s != nil && !s.failing {
			s.failing = true
			s.failingSince = m.latest
		}
	}
}

// Logs returns the log lines for operators since the last call.
func (m *Module) Logs() []string {
	logs := m.logs
	m.logs = nil
	return logs
}

// source returns the source with a name; nil if there is none.
func (m *Module) source(name string) *source {
	for _, s := range m.sources {
		if s.Name == name {
			return s
		}
	}
	return nil
}
