package endpoints

import (
	"maps"
	"slices"
	"time"
)

// SavedState is the state of a Module in the form in which it is stored, for a Module that continues in another
// process or after a change of the configuration. All times are ages in ms at the moment of saving.
type SavedState struct {
	Sources  []SavedSource  `json:"sources,omitempty"`
	Removals []SavedRemoval `json:"removals,omitempty"` // oldest first
}

// SavedSource is a source from which at least one report has been received.
type SavedSource struct {
	Name             string           `json:"name"`
	Origin           string           `json:"origin,omitempty"`     // as in Source.Origin
	FailingMS        *int64           `json:"failing_ms,omitempty"` // nil: the source was not failing
	LastReceivedMS   int64            `json:"last_received_ms"`
	WithdrawnSinceMS int64            `json:"withdrawn_since_ms"`
	Withdrawn        map[string]int64 `json:"withdrawn,omitempty"` // ages by server ID
	Servers          []SavedServer    `json:"servers,omitempty"`   // sorted by ID
}

// SavedServer is a server that a source names.
type SavedServer struct {
	ID             string  `json:"id"`
	Addr           string  `json:"addr"`
	Zone           string  `json:"zone,omitempty"`
	Kind           string  `json:"kind,omitempty"`
	Pod            *int    `json:"pod,omitempty"` // nil: unknown
	Weight         float64 `json:"weight,omitempty"`
	Priority       int     `json:"priority,omitempty"`
	Draining       bool    `json:"draining,omitempty"`
	Started        int64   `json:"started_ms,omitempty"` // Unix time, as in Server.Started
	AnnouncedMS    int64   `json:"announced_ms"`
	LastMissingMS  int64   `json:"last_missing_ms"`
	MissingSinceMS int64   `json:"missing_since_ms"`
	LostMS         *int64  `json:"lost_ms,omitempty"` // nil: the server was in the last snapshot
}

// SavedRemoval is a source's report that a server is draining or was removed.
type SavedRemoval struct {
	ID       string `json:"id"`
	Addr     string `json:"addr,omitempty"`
	Source   string `json:"source"`
	Draining bool   `json:"draining,omitempty"` // false: removed
	AgeMS    int64  `json:"age_ms"`
	Started  int64  `json:"started_ms,omitempty"` // Unix time, as in Server.Started
}

// maxSavedAge bounds the ages that are restored, so that no time overflows.
const maxSavedAge = 100 * 365 * 24 * time.Hour

// Save returns the state at the time of the last Step.
func (m *Module) Save() *SavedState {
	saved := &SavedState{}
	for _, s := range m.sources {
		if s.known {
			saved.Sources = append(saved.Sources, m.saveSource(s))
		}
	}
	for _, r := range m.removals.all {
		saved.Removals = append(saved.Removals, SavedRemoval{
			ID:       r.id,
			Addr:     r.addr,
			Source:   r.source,
			Draining: r.state == Draining,
			AgeMS:    m.ageMS(r.at),
			Started:  r.started,
		})
	}
	return saved
}

func (m *Module) saveSource(s *source) SavedSource {
	saved := SavedSource{
		Name:             s.Name,
		Origin:           s.Origin,
		LastReceivedMS:   m.ageMS(s.lastReceived),
		WithdrawnSinceMS: m.ageMS(s.withdrawnSince),
		Withdrawn:        map[string]int64{},
	}
	if s.failing {
		saved.FailingMS = new(m.ageMS(s.failingSince))
	}
	for id, since := range s.withdrawn {
		saved.Withdrawn[id] = m.ageMS(since)
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		saved.Servers = append(saved.Servers, m.saveEntry(s.entries[id]))
	}
	return saved
}

func (m *Module) saveEntry(e *entry) SavedServer {
	saved := SavedServer{
		ID:             e.ID,
		Addr:           e.Addr,
		Zone:           e.Zone,
		Kind:           e.Kind,
		Weight:         e.Weight,
		Priority:       e.Priority,
		Draining:       e.State == Draining,
		Started:        e.Started,
		AnnouncedMS:    m.ageMS(e.announced),
		LastMissingMS:  m.ageMS(e.lastMissing),
		MissingSinceMS: m.ageMS(e.missingSince),
	}
	if number, known := e.Pod.Number(); known {
		saved.Pod = &number
	}
	if e.lost {
		saved.LostMS = new(m.ageMS(e.lostAt))
	}
	return saved
}

func (m *Module) ageMS(at time.Duration) int64 { return (m.latest - at).Milliseconds() }

// Aged returns a copy of the state as it would have been saved a time later, without further reports.
func (saved *SavedState) Aged(elapsed time.Duration) *SavedState {
	ms := elapsed.Milliseconds()
	later := &SavedState{}
	for _, s := range saved.Sources {
		later.Sources = append(later.Sources, s.aged(ms))
	}
	for _, r := range saved.Removals {
		r.AgeMS += ms
		later.Removals = append(later.Removals, r)
	}
	return later
}

func (s SavedSource) aged(ms int64) SavedSource {
	s.FailingMS = addMS(s.FailingMS, ms)
	s.LastReceivedMS += ms
	s.WithdrawnSinceMS += ms
	withdrawn := map[string]int64{}
	for id, ageMS := range s.Withdrawn {
		withdrawn[id] = ageMS + ms
	}
	s.Withdrawn = withdrawn
	s.Servers = slices.Clone(s.Servers)
	for i := range s.Servers {
		server := &s.Servers[i]
		server.AnnouncedMS += ms
		server.LastMissingMS += ms
		server.MissingSinceMS += ms
		server.LostMS = addMS(server.LostMS, ms)
	}
	return s
}

// addMS adds to an optional age.
func addMS(ageMS *int64, ms int64) *int64 {
	if ageMS == nil {
		return nil
	}
	return new(*ageMS + ms)
}

// Restore continues from the state of an earlier module. The module must have had no Step yet.
//
// Each source continues as one that fails, until it reports: its last reports are used for Source.Hold, and its next
// snapshot shows what was removed or withdrawn in the meantime. If the source's Origin has changed, its next snapshot
// replaces them instead, since another list that lacks a server does not report its removal. Restore returns the servers
// of sources that the module does not have, or that are transient.
func (m *Module) Restore(saved *SavedState) (others []Server) {
	for _, savedSource := range saved.Sources {
		if s := m.source(savedSource.Name); s != nil && !s.Transient {
			s.restore(savedSource)
			continue
		}
		for _, server := range savedSource.Servers {
			others = append(others, restoredEntry(server).Server)
		}
	}
	for _, removal := range saved.Removals {
		m.removals.add(restoredRemoval(removal))
	}
	return others
}

// restoredTime returns the time of a saved age in a module whose time begins now.
func restoredTime(ageMS int64) time.Duration {
	return -time.Duration(min(max(ageMS, 0), maxSavedAge.Milliseconds())) * time.Millisecond
}

// restore sets a source's state to a saved one.
func (s *source) restore(saved SavedSource) {
	s.known = true
	s.failing = true
	s.failingSince = 0
	if saved.FailingMS != nil {
		s.failingSince = restoredTime(*saved.FailingMS)
	}
	s.replaced = s.Origin != saved.Origin
	s.lastReceived = restoredTime(saved.LastReceivedMS)
	s.withdrawnSince = restoredTime(saved.WithdrawnSinceMS)
	s.withdrawn = map[string]time.Duration{}
	for id, ageMS := range saved.Withdrawn {
		s.withdrawn[id] = restoredTime(ageMS)
	}
	for _, server := range saved.Servers {
		s.entries[server.ID] = restoredEntry(server)
	}
}

func restoredEntry(saved SavedServer) *entry {
	e := &entry{
		Server: Server{
			ID:       saved.ID,
			Addr:     saved.Addr,
			Zone:     saved.Zone,
			Kind:     saved.Kind,
			Weight:   saved.Weight,
			Priority: saved.Priority,
			State:    Up,
			Started:  saved.Started,
		},
		announced:    restoredTime(saved.AnnouncedMS),
		lastMissing:  restoredTime(saved.LastMissingMS),
		missingSince: restoredTime(saved.MissingSinceMS),
	}
	if saved.Draining {
		e.State = Draining
	}
	if saved.Pod != nil {
		e.Pod = PodNumber(*saved.Pod)
	}
	if saved.LostMS != nil {
		e.lost = true
		e.lostAt = restoredTime(*saved.LostMS)
	}
	return e
}

func restoredRemoval(saved SavedRemoval) *removal {
	restored := &removal{
		id:      saved.ID,
		addr:    saved.Addr,
		state:   Removed,
		source:  saved.Source,
		at:      restoredTime(saved.AgeMS),
		started: saved.Started,
	}
	if saved.Draining {
		restored.state = Draining
	}
	return restored
}
