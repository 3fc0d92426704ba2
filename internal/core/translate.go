package core

import (
	"hash/fnv"
	"log/slog"
	"slices"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
)

// serverStates are the states of servers by their names in discovery.
var serverStates = map[string]decide.BackendState{
	"ready":    decide.Up,
	"draining": decide.Draining,
	"gone":     decide.Removed,
}

// translate converts a list to the balancer's terms. An invalid entry is left out and logged; the others are used.
func translate(cfg *Config, clk clock, log *slog.Logger, m *discovery.Update, kind decide.ListKind) List {
	list := List{
		ListUpdate: decide.ListUpdate{Kind: kind},
		Saved:      m.Saved,
		Addrs:      map[string]string{},
		Starts:     map[string]int64{},
	}
	for _, s := range m.Servers {
		state, ok := serverStates[s.State]
		if !ok || s.ID == "" {
			log.Warn("invalid list entry ignored", "id", s.ID, "state", s.State)
			continue
		}
		if state != decide.Removed {
			if err := checkAddr("addr", s.Addr); err != nil {
				log.Warn("invalid list entry ignored", "id", s.ID, "error", err)
				continue
			}
			list.Addrs[s.ID] = s.Addr
		}
		b := decide.Backend{
			ID:     s.ID,
			Addr:   s.Addr,
			State:  state,
			Zone:   zoneNumber(cfg.Site.Zones, s.Zone),
			Kind:   slices.Index(cfg.Site.Kinds, s.Kind),
			Cell:   cellNumber(s.Cell),
			Weight: s.Weight,
		}
		if s.Started > 0 {
			b.Started = clk.hint(s.Started)
		}
		list.Starts[s.ID] = s.Started
		list.Backends = append(list.Backends, b)
	}
	return list
}

// zoneNumber converts a zone's name to the balancer's terms: its index in the settings, or decide.Unknown without a
// name. A zone that the settings do not have gets another negative number, which depends on its name alone: its servers
// are known to be in one zone, and in another one than all other servers.
func zoneNumber(zones []string, name string) int {
	if i := slices.Index(zones, name); i >= 0 {
		return i
	}
	if name == "" {
		return decide.Unknown
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // writing to a hash never fails
	return decide.Unknown - 1 - int(hash.Sum64()>>2)
}

// cellNumber converts a server's cell to the balancer's terms.
func cellNumber(cell *int) int {
	if cell == nil || *cell < 0 {
		return decide.Unknown
	}
	return *cell
}
