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
	merge    *endpoints.SavedState
	at       time.Duration // when it was saved, as Daemon.now counts
	fromDisk bool          // saved by another process, maybe of an earlier build
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
			r.merge = mergeOfList(h.source.List, list)
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
			r.merge = mergeOfList(key, list)
		}
		d.remembered[key] = r
	}
	for name, merge := range s.Merges {
		if r := d.remembered[merge.Key]; r != nil {
			r.name = name
			r.list = merge.List
			r.merge = merge.State
		}
	}
}

// mergeOfList returns the state of a merger whose only origin is a list service with this list.
func mergeOfList(addr string, list *discovery.Update) *endpoints.SavedState {
	module := endpoints.New(endpoints.Settings{Sources: originsOf(daemonconfig.Source{List: addr})})
	module.Step(0, endpoints.Snapshot{Source: fromList, Servers: endpointsOf(list)})
	return module.Save()
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
