package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxServers is the maximum number of servers for which evidence is kept. Further servers are never ejected. A larger
// number costs memory.
const maxServers = 4096

// server is a listed server with the state of its current process.
type server struct {
	Server
	ejectionState
	source  string
	own     ownOutcomes
	reports []*report // at most one report of each origin, by rank; this member's own report is included

	// Evaluation.
	needsEvaluation bool
	evaluateAt      time.Duration // latest time of the next evaluation; 0: none is scheduled
	active          bool          // the server is in Member.active
	anomalous       bool          // result of the last isAnomalous
	ownReportAt     time.Duration // when this member's own report was last refreshed
	failureDomains  [2]int        // numbers of the server's zone and pod

	// Isolated failures.
	lastCollectorNotice time.Duration
	lastBroadcast       time.Duration
	collectors          []string // names of the collectors other than this member
	isCollector         bool
	collectorsEpoch     int             // Member.membershipEpoch for which the collectors were selected
	baseline            baselineCounter // used if this member is a collector
	receivedBaseline    float64         // baseline failure rate received with evidence, in failures a second
	receivedBaselineAt  time.Duration

	// Drains that other members or this member's own list announced.
	drainState ListedState
	drainedAt  time.Duration // time of the earliest announcement of the drain received so far; 0: no drain
}

func (s *server) incarnation() ServerProcess { return ServerProcess{s.ID, s.StartedMS} }

// isDraining reports whether a drain was announced that is not older than Settings.MaxDrainAge.
func (s *server) isDraining(m *Member) bool {
	return s.drainedAt > 0 && m.now-s.drainedAt <= m.settings.MaxDrainAge
}

// onListUpdated applies a list. Drains and removals of servers that were Up are forwarded to other members, except
// those in the first list of a source, which may be old.
func (m *Member) onListUpdated(e ListUpdated) {
	_, known := m.sources[e.Source]
	listed := map[string]bool{}
	var ids []string
	for _, l := range e.Servers {
		listed[l.ID] = true
		ids = append(ids, l.ID)
		m.updateServer(e.Source, l, known)
	}
	for _, id := range m.sources[e.Source] {
		s := m.servers[id]
		if s == nil || listed[id] {
			continue
		}
		if s.State == Up {
			m.noteDrain(s, Removed)
		}
		s.State = Removed
	}
	m.dropRemovedServers(listed)
	if !known {
		at, _ := slices.BinarySearch(m.sourceNames, e.Source)
		m.sourceNames = slices.Insert(m.sourceNames, at, e.Source)
	}
	m.sources[e.Source] = ids
	m.assignFailureDomains()
}

// updateServer applies one entry of a list.
func (m *Member) updateServer(source string, l Server, sourceKnown bool) {
	s := m.servers[l.ID]
	if s == nil {
		if len(m.servers) >= maxServers {
			return
		}
		m.servers[l.ID] = &server{Server: l, source: source}
		at, _ := slices.BinarySearch(m.serverIDs, l.ID)
		m.serverIDs = slices.Insert(m.serverIDs, at, l.ID)
		return
	}
	previous := s.Server
	if l.StartedMS != previous.StartedMS { // the state of the previous process does not apply to the new one
		*s = server{Server: l, source: source, active: s.active}
	}
	s.Server = l
	s.source = source
	if l.StartedMS == previous.StartedMS && previous.State == Up && l.State != Up && sourceKnown {
		m.noteDrain(s, l.State)
	}
}

// dropRemovedServers deletes removed servers whose removal is no longer forwarded to other members.
func (m *Member) dropRemovedServers(listed map[string]bool) {
	for id, s := range m.servers {
		if s.State != Removed || listed[id] || s.isDraining(m) {
			continue
		}
		delete(m.servers, id)
		if at, ok := slices.BinarySearch(m.serverIDs, id); ok {
			m.serverIDs = slices.Delete(m.serverIDs, at, at+1)
		}
	}
}

// noteDrain records that this member's own list announced a drain or a removal.
func (m *Member) noteDrain(s *server, state ListedState) {
	if s.drainedAt == 0 {
		s.drainedAt = m.now
	}
	s.drainState = max(s.drainState, state)
	m.activate(s)
	m.noteUpdate()
}

// assignFailureDomains numbers the zones and pods of each source, counts the servers that are Up in each of them, and
// requests an evaluation of all servers.
func (m *Member) assignFailureDomains() {
	numbers := map[string]int{}
	m.upServers = m.upServers[:0]
	m.active = m.active[:0]
	for _, id := range m.serverIDs {
		s := m.servers[id]
		s.active = false
		m.requestEvaluation(s)
		zone := fmt.Sprint("zone ", s.source, "/", s.Zone)
		pod := fmt.Sprint("pod ", s.source, "/", s.Pod)
		for n, domain := range []string{zone, pod} {
			number, ok := numbers[domain]
			if !ok {
				number = len(numbers)
				numbers[domain] = number
				m.upServers = append(m.upServers, 0)
			}
			s.failureDomains[n] = number
			if s.State == Up {
				m.upServers[number]++
			}
		}
	}
}

// requestEvaluation requests that a server be evaluated soon.
func (m *Member) requestEvaluation(s *server) {
	m.evaluationDue = true
	s.needsEvaluation = true
	m.activate(s)
}

// activate adds a server to the active servers. evaluate removes it when it is no longer needed.
func (m *Member) activate(s *server) {
	if s.active {
		return
	}
	s.active = true
	at, _ := slices.BinarySearchFunc(m.active, s.ID, func(o *server, id string) int { return cmp.Compare(o.ID, id) })
	m.active = slices.Insert(m.active, at, s)
}
