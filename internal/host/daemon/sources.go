package daemon

import (
	"context"
	"reflect"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/endpoints"
)

// hub follows one source for the instances.
type hub struct {
	*discovery.Hub
	source  daemonconfig.Source
	merger  *Merger // nil: the source has no records
	stop    func()
	unwatch func() // ends the reports of list changes to the transport; nil: changes are not reported
}

// hasList reports whether the hub has a list.
func (h *hub) hasList() bool {
	select {
	case <-h.Ready():
		return true
	default:
		return false
	}
}

// savedMerge returns what a snapshot has to hold of the hub beside its list; nil if there is nothing.
func (h *hub) savedMerge() *endpoints.SavedState {
	if h.merger != nil {
		return h.merger.Save()
	}
	var removals []endpoints.SavedRemoval
	for _, server := range h.Removed() {
		removals = append(removals, endpoints.SavedRemoval{
			ID:      server.ID,
			Addr:    server.Addr,
			Source:  fromList,
			AgeMS:   server.Age.Milliseconds(),
			Started: server.Started,
		})
	}
	if len(removals) == 0 {
		return nil
	}
	return &endpoints.SavedState{Removals: removals}
}

// followSources makes d.hubs match the sources of a configuration: one hub for each. It returns the hubs that it
// dropped. The caller moves the instances that follow a dropped hub, and then stops the hub.
func (d *Daemon) followSources(cfg *daemonconfig.Config) (dropped []*hub) {
	if !d.sourcesChange(cfg) {
		return nil
	}
	d.rememberSources()
	for name, source := range cfg.Sources {
		previous := d.hubs[name]
		if previous != nil && reflect.DeepEqual(previous.source, source) {
			continue
		}
		if previous != nil {
			dropped = append(dropped, previous)
		}
		d.hubs[name] = d.newHub(cfg, source, d.earlierSource(name, source, previous != nil))
	}
	for name, h := range d.hubs {
		if _, ok := cfg.Sources[name]; !ok {
			dropped = append(dropped, h)
			delete(d.hubs, name)
		}
	}
	return dropped
}

// sourcesChange reports whether the sources of a configuration differ from those that are followed.
func (d *Daemon) sourcesChange(cfg *daemonconfig.Config) bool {
	for name, source := range cfg.Sources {
		if h := d.hubs[name]; h == nil || !reflect.DeepEqual(h.source, source) {
			return true
		}
	}
	return len(cfg.Sources) != len(d.hubs)
}

// newHub returns a hub that follows a source, and starts it from the source's earlier state, if there is one.
func (d *Daemon) newHub(cfg *daemonconfig.Config, source daemonconfig.Source, earlier EarlierSource) *hub {
	options := discovery.HubOptions{
		Addr:            source.List,
		Spread:          source.Spread,
		MaxInitialDelay: source.MaxInitialDelay,
		ConnectTimeout:  cfg.Instances[0].Agent.Settings.ConnectTimeout,
		Log:             d.log,
		OnUrgent:        func() { go d.post(d.saveSnapshot) },
	}
	h := &hub{source: source, Hub: discovery.NewHub(options)}
	if earlier.List != nil {
		h.RestoreRemoved(earlier.Removed)
		h.Restore(earlier.List)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = func() {
		if h.unwatch != nil {
			h.unwatch()
		}
		cancel()
	}
	if !source.HasRecords() {
		d.background.Go(func() { h.Run(ctx) })
		return h
	}
	var list *discovery.Hub
	if source.List != "" {
		options.Spread = 0 // only the merged list is spread over time
		options.OnUrgent = nil
		list = discovery.NewHub(options)
	}
	h.merger = NewMerger(source, h.Hub, earlier, d.log, nil)
	d.background.Go(func() { h.merger.Run(ctx, list) })
	return h
}
