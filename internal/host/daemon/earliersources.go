package daemon

import (
	"slices"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/endpoints"
)

// EarlierSource is what an earlier process, or an earlier configuration of this one, knew of a source. The zero value
// is that of a source that was never followed.
type EarlierSource struct {
	List  *discovery.Update     // the list that the instances followed, used until the source has been read
	Merge *endpoints.SavedState // what each origin had reported; nil: an earlier build saved the list
	// Elapsed is the time since Merge was saved.
	Elapsed time.Duration
}

// rememberedSource is the state of a source that was followed, for sources that are followed later.
type rememberedSource struct {
	name     string // the source's name in the configuration; empty if unknown
	list     string // address of its list service; empty if it has none, or unknown
	servers  *discovery.Update
	merge    *endpoints.SavedState // nil: an earlier build saved the list of a source with records
	at       time.Duration         // when it was saved, as Daemon.now counts
	fromDisk bool                  // saved by another process, maybe of an earlier build
}

// rememberSources remembers the present state of all sources that are followed and have a list.
func (d *Daemon) rememberSources() {
	for key, r := range d.remembered {
		if d.now()-r.at > d.cfg.MaxStateAge {
			delete(d.remembered, key)
		}
	}
	for name, h := range d.hubs {
		list := h.Snapshot()
		if list == nil {
			continue
		}
		r := &rememberedSource{name: name, list: h.source.List, servers: list, at: d.now()}
		if h.merger != nil {
			r.merge = h.merger.Save()
		} else {
			r.merge = mergeOfList(h.source.List, list, h.Removed())
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
			r.merge = mergeOfList(key, list, nil)
		}
		d.remembered[key] = r
	}
	for name, merge := range s.Merges {
		r := d.remembered[merge.Key]
		if r == nil {
			continue
		}
		r.name = name
		r.list = merge.List
		if daemonconfig.IsListKey(merge.Key) { // the snapshot has the removals beside the list
			r.merge = mergeOfList(merge.Key, r.servers, removedServers(merge.State))
		} else {
			r.merge = merge.State
		}
	}
}

// mergeOfList returns the state of a merger whose only origin is a list service, which has removed some servers and has
// this list now.
func mergeOfList(addr string, list *discovery.Update, removed []discovery.Server) *endpoints.SavedState {
	module := endpoints.New(endpoints.Settings{Sources: originsOf(daemonconfig.Source{List: addr})})
	var before []endpoints.Server
	for _, server := range removed {
		before = append(before, endpoints.Server{
			ID:      server.ID,
			Addr:    server.Addr,
			State:   endpoints.Up,
			Started: server.Started,
		})
	}
	module.Step(0, endpoints.Snapshot{Source: fromList, Servers: before})
	module.Step(0, endpoints.Snapshot{Source: fromList, Servers: endpointsOf(list)})
	return module.Save()
}

// removedServers returns the servers that the list service has removed. merge may be nil.
func removedServers(merge *endpoints.SavedState) (servers []discovery.Server) {
	if merge == nil {
		return nil
	}
	for _, removal := range merge.Removals {
		if removal.Source == fromList && !removal.Draining {
			servers = append(servers, discovery.Server{ID: removal.ID, Addr: removal.Addr, Started: removal.Started})
		}
	}
	return servers
}

// earlierSource returns what is remembered of a source. It may have had another name, or have the same name and read
// other lists or records now; replaces reports whether a source of this name was followed until now.
func (d *Daemon) earlierSource(name string, source daemonconfig.Source, replaces bool) EarlierSource {
	r := d.remembered[source.Key()]
	if r == nil {
		r = d.similarSource(name, source, replaces)
	}
	if r == nil {
		return EarlierSource{}
	}
	earlier := EarlierSource{List: r.servers, Merge: r.merge, Elapsed: d.now() - r.at}
	if r.fromDisk && source.HasRecords() {
		earlier = earlier.withoutZeroPods()
	}
	return earlier
}

// similarSource returns the source that was saved last of those that had the same name or the same list service; nil
// if there is none. A source without records starts only from the list of the one that it replaces.
func (d *Daemon) similarSource(name string, source daemonconfig.Source, replaces bool) *rememberedSource {
	var similar *rememberedSource
	for _, r := range d.remembered {
		isSimilar := r.name == name && replaces
		if source.HasRecords() {
			isSimilar = isSimilar || r.name == name || source.List != "" && r.list == source.List
		}
		if isSimilar && (similar == nil || r.at > similar.at) {
			similar = r
		}
	}
	return similar
}

// withoutZeroPods returns a copy in which the pods of servers of pod 0 are unknown: earlier builds saved an unknown
// pod as 0. A server that is in pod 0 has it again once its source is read.
func (e EarlierSource) withoutZeroPods() EarlierSource {
	if e.List != nil {
		list := *e.List
		list.Servers = slices.Clone(e.List.Servers)
		for i := range list.Servers {
			if cell := list.Servers[i].Cell; cell != nil && *cell == 0 {
				list.Servers[i].Cell = nil
			}
		}
		e.List = &list
	}
	if e.Merge != nil {
		merge := *e.Merge
		merge.Sources = slices.Clone(e.Merge.Sources)
		for i := range merge.Sources {
			servers := slices.Clone(merge.Sources[i].Servers)
			for j := range servers {
				if pod := servers[j].Pod; pod != nil && *pod == 0 {
					servers[j].Pod = nil
				}
			}
			merge.Sources[i].Servers = servers
		}
		e.Merge = &merge
	}
	return e
}
