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

// Restore sets the removals of an earlier module in a module that has had no Step yet. elapsed is the time since the
// state was saved, as far as it is known.
func (m *Module) Restore(saved *SavedState, elapsed time.Duration) {
	at := func(ageMS int64) time.Duration { return restoredTime(ageMS, elapsed) }
	for _, r := range saved.Removals {
		state := Removed
		if r.Draining {
			state = Draining
		}
		m.removals = append(m.removals, &removal{
			id:      r.ID,
			addr:    r.Addr,
			state:   state,
			source:  r.Source,
			at:      at(r.AgeMS),
			started: r.Started,
		})
	}
}

// restoredTime returns the time of a saved age in a module whose time begins now.
func restoredTime(ageMS int64, elapsed time.Duration) time.Duration {
	age := time.Duration(min(max(ageMS, 0), maxSavedAge.Milliseconds())) * time.Millisecond
	return -age - min(max(elapsed, 0), maxSavedAge)
}
