package daemon

import (
	"slices"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/endpoints"
)

// rememberedSource is the state of a source that was followed, for sources that are followed later.
type rememberedSource struct {
	name     string // the source's name in the configuration; empty if unknown
	servers  *discovery.Update
	at       time.Duration // when the state was saved, as Daemon.now counts
	fromDisk bool          // saved by another process, maybe of an earlier build
	// list is the address of the list service of a source without records; empty: it has records.
	list string
	// removed are the servers that the list service of a source without records has removed.
	removed []discovery.RemovedServer
	// merge is the state of a source with records; nil: an earlier build saved it.
	merge *endpoints.SavedState
}

// mergeAt returns what each origin had reported, with ages at a time of Daemon.now.
func (r *rememberedSource) mergeAt(now time.Duration) *endpoints.SavedState {
	merge := r.merge
	switch {
	case r.list != "":
		merge = mergeOfList(r.list, r.servers, r.removed)
	case merge == nil:
		merge = &endpoints.SavedState{}
	}
	if r.fromDisk {
		merge = withoutZeroPods(merge)
	}
	return merge.Aged(now - r.at)
}

// hasAnyOf reports whether the source had one of these origins.
func (r *rememberedSource) hasAnyOf(origins []endpoints.Source) bool {
	for _, origin := range origins {
		if origin.Name == fromList && origin.Origin == r.list {
			return true
		}
		if r.merge != nil && slices.ContainsFunc(r.merge.Sources, func(s endpoints.SavedSource) bool { return isOrigin(s, origin) }) {
			return true
		}
	}
	return false
}

// rememberSources remembers the present state of all sources that are followed and have a list.
func (d *Daemon) rememberSources() {
	now := d.now()
	for key, r := range d.remembered {
		if now-r.at > d.cfg.MaxStateAge {
			delete(d.remembered, key)
		}
	}
	for name, h := range d.hubs {
		list := h.Snapshot()
		if list == nil {
			continue
		}
		r := &rememberedSource{name: name, servers: list, at: now}
		if h.merger != nil {
			r.merge = h.merger.Save()
		} else {
			r.list = h.source.List
			r.removed = h.Removed()
		}
		d.remembered[h.source.Key()] = r
	}
}

// rememberSnapshot remembers the sources of another process's snapshot.
func (d *Daemon) rememberSnapshot(s *snapshot.State) {
	at := d.now() - s.Elapsed(currentMoment())
	for key, list := range s.Sources {
		r := &rememberedSource{servers: list, at: at, fromDisk: true}
		if daemonconfig.IsListKey(key) {
			r.list = key
		}
		d.remembered[key] = r
	}
	for name, merge := range s.Merges {
		r := d.remembered[merge.Key]
		switch {
		case r == nil:
		case r.list != "": // the snapshot has the removals beside the list
			r.name = name
			r.removed = removedServers(merge.State)
		default:
			r.name = name
			r.merge = merge.State
		}
	}
}

// mergeOfList returns the state of a merger whose only origin is a list service, which has removed some servers and has
// this list now.
func mergeOfList(addr string, list *discovery.Update, removed []discovery.RemovedServer) *endpoints.SavedState {
	module := endpoints.New(endpoints.Settings{Sources: originsOf(daemonconfig.Source{List: addr})})
	var before []endpoints.Server
	ages := map[string]time.Duration{}
	for _, server := range removed {
		ages[server.ID] = server.Age
		before = append(before, endpoints.Server{
			ID:      server.ID,
			Addr:    server.Addr,
			State:   endpoints.Up,
			Started: server.Started,
		})
	}
	module.Step(0, endpoints.Snapshot{Source: fromList, Servers: before})
	module.Step(0, endpoints.Snapshot{Source: fromList, Servers: endpointsOf(list)})
	merge := module.Save()
	for i := range merge.Removals {
		removal := &merge.Removals[i]
		removal.AgeMS = ages[removal.ID].Milliseconds()
	}
	return merge
}

// removedServers returns the servers that the list service has removed. merge may be nil.
func removedServers(merge *endpoints.SavedState) (servers []discovery.RemovedServer) {
	if merge == nil {
		return nil
	}
	for _, removal := range merge.Removals {
		if removal.Source == fromList && !removal.Draining {
			servers = append(servers, discovery.RemovedServer{
				Server: discovery.Server{ID: removal.ID, Addr: removal.Addr, Started: removal.Started},
				Age:    time.Duration(removal.AgeMS) * time.Millisecond,
			})
		}
	}
	return servers
}

// EarlierSource is what an earlier process, or an earlier configuration of this one, knew of a source. The zero value
// is that of a source that was never followed.
type EarlierSource struct {
	List    *discovery.Update         // the list that the instances followed, used until the source has been read
	Merge   *endpoints.SavedState     // what each origin had reported; nil: unknown, or the source has no records
	Removed []discovery.RemovedServer // the servers that the list service had removed
}

// earlierSource returns what is remembered of a source. It may have had another name, or have the same name and read
// other lists or records now; replaces reports whether a source of this name was followed until now.
func (d *Daemon) earlierSource(name string, source daemonconfig.Source, replaces bool) EarlierSource {
	now := d.now()
	same := d.remembered[source.Key()]
	if !source.HasRecords() {
		if same == nil && replaces {
			same = d.lastNamed(name)
		}
		if same == nil {
			return EarlierSource{}
		}
		return EarlierSource{List: same.servers, Removed: same.removedByList(now)}
	}
	if same != nil && same.merge == nil { // of an earlier build
		return EarlierSource{List: withoutZeroCells(same.servers)}
	}
	origins := originsOf(source)
	var candidates []mergeCandidate
	for _, r := range d.remembered {
		hasName := r.name == name
		if hasName || r.hasAnyOf(origins) {
			candidates = append(candidates, mergeCandidate{r.mergeAt(now), hasName, r == same, r.at})
		}
	}
	return EarlierSource{Merge: mergeFor(origins, candidates)}
}

// lastNamed returns the source with a name that was saved last; nil if there is none.
func (d *Daemon) lastNamed(name string) (last *rememberedSource) {
	for _, r := range d.remembered {
		if r.name == name && (last == nil || r.at > last.at) {
			last = r
		}
	}
	return last
}

// removedByList returns the servers that the source's list service has removed, with ages at a time of Daemon.now.
func (r *rememberedSource) removedByList(now time.Duration) []discovery.RemovedServer {
	removed := slices.Clone(r.removed)
	if r.list == "" {
		removed = removedServers(r.merge)
	}
	for i := range removed {
		removed[i].Age += now - r.at
	}
	return removed
}

// withoutZeroCells returns a copy of a saved list in which the cells of servers of cell 0 are unknown: earlier builds
// saved an unknown cell as 0. A server that is in cell 0 has it again once its source is read.
func withoutZeroCells(saved *discovery.Update) *discovery.Update {
	list := *saved
	list.Servers = slices.Clone(saved.Servers)
	for i := range list.Servers {
		if cell := list.Servers[i].Cell; cell != nil && *cell == 0 {
			list.Servers[i].Cell = nil
		}
	}
	return &list
}

// withoutZeroPods does for the state of a merge what withoutZeroCells does for its list.
func withoutZeroPods(saved *endpoints.SavedState) *endpoints.SavedState {
	merge := *saved
	merge.Sources = slices.Clone(saved.Sources)
	for i := range merge.Sources {
		servers := slices.Clone(merge.Sources[i].Servers)
		for j := range servers {
			if pod := servers[j].Pod; pod != nil && *pod == 0 {
				servers[j].Pod = nil
			}
		}
		merge.Sources[i].Servers = servers
	}
	return &merge
}
