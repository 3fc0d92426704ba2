package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxServers is of how many servers evidence is kept. Further ones are never ejected; larger costs memory.
const maxServers = 4096

// server is a listed server with all that is known about its current process.
type server struct {
	Server
	ejectionState
	source  string
	own     ownOutcomes
	reports []*report // at most one of each origin, this member's own included, by rank

	// Evaluation.
	needsEvaluation bool
	evaluateAt      time.Duration // by then at the latest; 0: no need
	active          bool          // it is in Member.active
	anomalous       bool          // isAnomalous, when it was last evaluated
	ownReportAt     time.Duration // this member's own report was last refreshed
	failureDomains  [2]int        // numbers of its zone and its pod

	// Isolated failures.
	lastCollectorNotice time.Duration
	lastBroadcast       time.Duration
	collectors          []string // without this member
	isCollector         bool
	collectorsEpoch     int             // Member.membershipEpoch of these
	baseline            baselineCounter // as a collector
	receivedBaseline    float64         // failures a second, as a collector stated it
	receivedBaselineAt  time.Duration

	// Drains, as other members or the own list announced them.
	drainState ListedState
	drainedAt  time.Duration // any member learnt it first, at the earliest; 0: never
}

func (s *server) incarnation() Incarnation { return Incarnation{s.ID, s.StartedMS} }

// isDraining reports whether a drain was announced that is not too old.
func (s *server) isDraining(m *Member) bool {
	return s.drainedAt > 0 && m.now-s.drainedAt <= m.settings.MaxDrainAge
}

// onListUpdated takes a list. Drains and removals of running processes are forwarded to other members, but not those of
// the first list of a source: they may be old.
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

// updateServer takes one entry of a list.
func (m *Member) updateServer(source string, l Server, sourceKnown bool) {
	s := m.servers[l.ID]
	if s == nil {
		if len(m.servers) >= maxServers {
			return
		}
		m.servers[l.ID] = &server{Server: l, source: source}
		at, _ := slices.BinarySearch(m.order, l.ID)
		m.order = slices.Insert(m.order, at, l.ID)
		return
	}
	previous := s.Server
	if l.StartedMS != previous.StartedMS { // what was known of another process says nothing about this one
		*s = server{Server: l, source: source, active: s.active}
	}
	s.Server = l
	s.source = source
	if l.StartedMS == previous.StartedMS && previous.State == Up && l.State != Up && sourceKnown {
		m.noteDrain(s, l.State)
	}
}

// dropRemovedServers forgets removed servers, once other members need not learn of the removal any more.
func (m *Member) dropRemovedServers(listed map[string]bool) {
	for id, s := range m.servers {
		if s.State != Removed || listed[id] || s.isDraining(m) {
			continue
		}
		delete(m.servers, id)
		if at, ok := slices.BinarySearch(m.order, id); ok {
			m.order = slices.Delete(m.order, at, at+1)
		}
	}
}

// noteDrain notes that this member's own list announced a drain or a removal.
func (m *Member) noteDrain(s *server, state ListedState) {
	if s.drainedAt == 0 {
		s.drainedAt = m.now
	}
	s.drainState = max(s.drainState, state)
	m.activate(s)
	m.noteUpdate()
}

// assignFailureDomains numbers the zones and pods of each source, counts the servers that are Up in each, and has all
// servers evaluated.
func (m *Member) assignFailureDomains() {
	numbers := map[string]int{}
	m.upServers = m.upServers[:0]
	m.active = m.active[:0]
	for _, id := range m.order {
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

// requestEvaluation has a server evaluated soon.
func (m *Member) requestEvaluation(s *server) {
	m.evaluationDue = true
	s.needsEvaluation = true
	m.activate(s)
}

// activate puts a server among the active ones, from which evaluate removes it.
func (m *Member) activate(s *server) {
	if s.active {
		return
	}
	s.active = true
	at, _ := slices.BinarySearchFunc(m.active, s.ID, func(o *server, id string) int { return cmp.Compare(o.ID, id) })
	m.active = slices.Insert(m.active, at, s)
}
