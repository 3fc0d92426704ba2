package lease

import (
	"maps"
	"slices"
	"time"
)

// ServerState is the state that the process that replaces a server needs to continue without a gap.
type ServerState struct {
	RunID           uint64       `cbor:"1,keyasint,omitempty"`
	LastGrantNumber uint64       `cbor:"2,keyasint,omitempty"` // number of the last grant
	Fingerprint     uint64       `cbor:"3,keyasint,omitempty"` // fingerprint of the settings
	Limits          []LimitState `cbor:"4,keyasint,omitempty"`
}

// LimitState is the state of one limit.
type LimitState struct {
	Fingerprint   uint64        `cbor:"1,keyasint,omitempty"`
	WaitRemaining time.Duration `cbor:"2,keyasint,omitempty"` // remaining time during which the server grants no leases
	Rows          []RowState    `cbor:"3,keyasint,omitempty"`
}

// RowState is the state of a limit, or of one part of a partitioned limit.
type RowState struct {
	Key     string        `cbor:"1,keyasint,omitempty"`
	Holders []HolderState `cbor:"2,keyasint,omitempty"`
}

// HolderState is the state of one holder. Its Leases contain the remaining times instead of expiry times: the
// successor counts them from its own start, which is later.
type HolderState struct {
	Name   string         `cbor:"1,keyasint,omitempty"`
	RunID  uint64         `cbor:"2,keyasint,omitempty"`
	Agent  uint32         `cbor:"3,keyasint,omitempty"`
	Leases []grantedLease `cbor:"4,keyasint,omitempty"`
}

// TakeOver takes over from a server in this process that had other settings: its leases count as leased by this
// server.
func (s *Server) TakeOver(old *Server) {
	s.started = old.started
	s.lastTick = old.lastTick
	s.runID = old.runID
	s.grants = old.grants
	sameSettings := old.settings.Fingerprint() == s.settings.Fingerprint()
	for _, l := range s.limits {
		// Leases of a limit that the old server did not have, or that have another term, have to expire first.
		l.grantsFrom = s.lastTick + max(s.settings.serverTerm(l.Kind), old.settings.serverTerm(l.Kind))
		for _, o := range old.limits {
			if o.fingerprint == l.fingerprint && sameSettings {
				l.rows = o.rows
				l.grantsFrom = o.grantsFrom
			}
		}
	}
}

// State returns the state for the process that replaces this one. This server must not grant leases after that.
func (s *Server) State(now time.Duration) *ServerState {
	state := &ServerState{RunID: s.runID, LastGrantNumber: s.grants, Fingerprint: s.settings.Fingerprint()}
	for _, l := range s.limits {
		limit := l.state(now)
		if !s.started {
			limit.WaitRemaining = s.settings.serverTerm(l.Kind)
		}
		state.Limits = append(state.Limits, limit)
	}
	return state
}

func (l *serverLimit) state(now time.Duration) LimitState {
	state := LimitState{Fingerprint: l.fingerprint, WaitRemaining: max(0, l.grantsFrom-now)}
	for _, key := range slices.Sorted(maps.Keys(l.rows)) { // sorted, so that the encoded state is always the same
		r := l.rows[key]
		row := RowState{Key: key}
		for _, id := range r.order {
			row.Holders = append(row.Holders, r.holders[id].state(now, id))
		}
		state.Rows = append(state.Rows, row)
	}
	return state
}

func (h *holder) state(now time.Duration, id holderID) HolderState {
	state := HolderState{Name: id.name, RunID: id.runID, Agent: id.agent}
	for _, g := range h.grants {
		if g.Expires > now {
			state.Leases = append(state.Leases, grantedLease{g.Number, g.Amount, g.Expires - now})
		}
	}
	return state
}

// Resume takes over the leases that another process has granted. It reports whether the state matches the settings.
// If it does not, this server starts without it.
func (s *Server) Resume(now time.Duration, state *ServerState) bool {
	if state == nil || state.Fingerprint != s.settings.Fingerprint() || s.started {
		return false
	}
	s.runID = state.RunID
	s.grants = state.LastGrantNumber
	s.started = true
	s.lastTick = now
	for _, l := range s.limits {
		l.grantsFrom = now + s.settings.serverTerm(l.Kind)
		for i := range state.Limits {
			if state.Limits[i].Fingerprint == l.fingerprint {
				l.resume(now, &state.Limits[i])
			}
		}
	}
	return true
}

func (l *serverLimit) resume(now time.Duration, state *LimitState) {
	l.grantsFrom = now + state.WaitRemaining
	for _, row := range state.Rows {
		r := &serverRow{holders: map[holderID]*holder{}}
		for _, hs := range row.Holders {
			id := holderID{hs.Name, hs.RunID, hs.Agent}
			h := &holder{requestedAt: now}
			for _, g := range hs.Leases {
				h.grants = append(h.grants, grantedLease{g.Number, g.Amount, now + g.Expires})
			}
			r.holders[id] = h
			r.order = append(r.order, id)
		}
		slices.SortFunc(r.order, compareHolders)
		l.rows[row.Key] = r
	}
}
