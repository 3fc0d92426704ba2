package daemon

import (
	"context"
	"reflect"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
)

// hub is a source that the daemon follows.
type hub struct {
	*discovery.Hub
	source  daemonconfig.Source
	stop    func()
	unwatch func() // ends the transport's watch of the list; nil: there is none
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

// followSources has a hub for each source of a configuration, and for no others. It returns those that are dropped:
// instances that follow them are moved, and then they are stopped.
func (d *Daemon) followSources(cfg *daemonconfig.Config) (dropped []*hub) {
	for name, source := range cfg.Sources {
		previous := d.hubs[name]
		if previous != nil && reflect.DeepEqual(previous.source, source) {
			continue
		}
		saved := d.savedLists[source.Key()]
		if previous != nil {
			dropped = append(dropped, previous)
			saved = previous.Snapshot() // holds until the new list is received
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

// newHub starts to follow a source, from a saved list, which may be nil.
func (d *Daemon) newHub(cfg *daemonconfig.Config, source daemonconfig.Source, saved *discovery.Members) *hub {
	options := discovery.HubOptions{
		Addr:            source.List,
		Spread:          source.Spread,
		MaxInitialDelay: source.First,
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
	if !source.Records() {
		d.background.Go(func() { h.Run(ctx) })
		return h
	}
	var list *discovery.Hub
	if source.List != "" {
		options.Spread = 0 // the merged list is spread, not its parts
		options.OnUrgent = nil
		list = discovery.NewHub(options)
	}
	merger := NewMerger(source, h.Hub, saved, d.log, nil)
	d.background.Go(func() { merger.Run(ctx, list) })
	return h
}
