package daemon

import (
	"context"
	"reflect"
	"slices"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
)

// hub follows one source for the instances.
type hub struct {
	*discovery.Hub
	source  daemonconfig.Source
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

// followSources makes d.hubs match the sources of a configuration: one hub for each. It returns the hubs that it
// dropped. The caller moves the instances that follow a dropped hub, and then stops the hub.
func (d *Daemon) followSources(cfg *daemonconfig.Config) (dropped []*hub) {
	for name, source := range cfg.Sources {
		previous := d.hubs[name]
		if previous != nil && reflect.DeepEqual(previous.source, source) {
			continue
		}
		saved := d.savedLists[source.Key()]
		if saved != nil && source.HasRecords() {
			saved = withoutZeroCells(saved)
		}
		if previous != nil {
			dropped = append(dropped, previous)
			saved = previous.Snapshot() // used until the new list is received
		}
		d.hubs[name] = d.newHub(cfg, source, saved)
	}
	for name, h := range d.hubs {
		if _, ok := cfg.Sources[name]; !ok {
			dropped = append(dropped, h)
			delete(d.hubs, name)
		}
	}
	return dropped
}

// withoutZeroCells returns a copy of a saved list of a source with records, in which the cells of servers of cell 0 are
// unknown: earlier builds saved an unknown cell as 0. A server that is in cell 0 has it again once the list is read.
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

// newHub returns a hub that follows a source, and starts it from a saved list, which may be nil.
func (d *Daemon) newHub(cfg *daemonconfig.Config, source daemonconfig.Source, saved *discovery.Update) *hub {
	options := discovery.HubOptions{
		Addr:            source.List,
		Spread:          source.Spread,
		MaxInitialDelay: source.MaxInitialDelay,
		ConnectTimeout:  cfg.Instances[0].Agent.Settings.ConnectTimeout,
		Log:             d.log,
		OnUrgent:        func() { go d.post(d.saveSnapshot) },
	}
	h := &hub{source: source, Hub: discovery.NewHub(options)}
	if saved != nil {
		h.Restore(saved)
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
	merger := NewMerger(source, h.Hub, saved, d.log, nil)
	d.background.Go(func() { merger.Run(ctx, list) })
	return h
}
