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
	for _, r := range m.removals {
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

// Restore continues from the state of an earlier module. The module must have had no Step yet. elapsed is the time since
// the state was saved, as far as it is known.
//
// Each source continues as one that fails, until it reports: its last reports are used for Source.Hold, and its next
// snapshot shows what was removed or withdrawn in the meantime. If the source's Origin has changed, its next snapshot
// replaces them instead, since another list that lacks a server does not report its removal. Restore returns the servers
// of sources that the module does not have.
func (m *Module) Restore(saved *SavedState, elapsed time.Duration) (others []Server) {
	r := restorer{elapsed: elapsed}
	for _, savedSource := range saved.Sources {
		if s := m.source(savedSource.Name); s != nil {
			r.restoreSource(s, savedSource)
			continue
		}
		for _, server := range savedSource.Servers {
			others = append(others, r.entry(server).Server)
		}
	}
	for _, removal := range saved.Removals {
		m.removals = append(m.removals, r.removal(removal))
	}
	return others
}

// restorer converts a saved state for a module whose time begins now.
type restorer struct{ elapsed time.Duration }

// at returns the time of a saved age.
func (r restorer) at(ageMS int64) time.Duration {
	age := time.Duration(min(max(ageMS, 0), maxSavedAge.Milliseconds())) * time.Millisecond
	return -age - min(max(r.elapsed, 0), maxSavedAge)
}

func (r restorer) restoreSource(s *source, saved SavedSource) {
	s.known = true
	s.failing = true
	s.failingSince = 0
	if saved.FailingMS != nil {
		s.failingSince = r.at(*saved.FailingMS)
	}
	s.replaced = s.Origin != saved.Origin
	s.lastReceived = r.at(saved.LastReceivedMS)
	s.withdrawnSince = r.at(saved.WithdrawnSinceMS)
	s.withdrawn = map[string]time.Duration{}
	for id, ageMS := range saved.Withdrawn {
		s.withdrawn[id] = r.at(ageMS)
	}
	for _, server := range saved.Servers {
		s.entries[server.ID] = r.entry(server)
	}
}

func (r restorer) entry(saved SavedServer) *entry {
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
		announced:    r.at(saved.AnnouncedMS),
		lastMissing:  r.at(saved.LastMissingMS),
		missingSince: r.at(saved.MissingSinceMS),
	}
	if saved.Draining {
		e.State = Draining
	}
	if saved.Pod != nil {
		e.Pod = PodNumber(*saved.Pod)
	}
	if saved.LostMS != nil {
		e.lost = true
		e.lostAt = r.at(*saved.LostMS)
	}
	return e
}

func (r restorer) removal(saved SavedRemoval) *removal {
	restored := &removal{
		id:      saved.ID,
		addr:    saved.Addr,
		state:   Removed,
		source:  saved.Source,
		at:      r.at(saved.AgeMS),
		started: saved.Started,
	}
	if saved.Draining {
		restored.state = Draining
	}
	return restored
}
