package daemon

import (
	"context"
	"reflect"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
)

// hub is one list that is followed.
type hub struct {
	*discovery.Hub
	source  daemonconfig.Source
	stop    context.CancelFunc
	unwatch func() // peers' part in it; nil: they have none
}

// followSources sees to a hub for each source of a configuration, and to none besides. Instances move by
// themselves afterwards.
func (d *Daemon) followSources(cfg *daemonconfig.Config) (dropped []*hub) {
	for name, s := range cfg.Sources {
		old := d.hubs[name]
		if old != nil && reflect.DeepEqual(old.source, s) {
			continue
		}
		h := &hub{source: s}
		options := discovery.HubOptions{Addr: s.List, Spread: s.Spread, First: s.First,
			ConnectTimeout: cfg.Instances[0].Agent.Settings.ConnectTimeout, Log: d.log,
			Urgent: func() { go d.post(d.save) }}
		h.Hub = discovery.NewHub(options)
		saved := d.savedLists[s.Key()]
		if old != nil {
			dropped = append(dropped, old)
			// What the old list said goes on to hold until the new one is heard.
			saved = old.Snapshot()
		}
		if saved != nil {
			h.Give(saved)
		}
		ctx, end := context.WithCancel(context.Background())
		h.stop = func() {
			if h.unwatch != nil {
				h.unwatch()
			}
			end()
		}
		if s.Records() {
			var list *discovery.Hub
			if s.List != "" {
				options.Spread, options.Urgent = 0, nil // the merged list is spread, not its parts
				list = discovery.NewHub(options)
			}
			m := NewMerger(s, h.Hub, saved, d.log, nil)
			d.background.Go(func() { m.Run(ctx, list) })
		} else {
			d.background.Go(func() { h.Run(ctx) })
		}
		d.hubs[name] = h
	}
	for name, h := range d.hubs {
		if _, ok := cfg.Sources[name]; !ok {
			dropped = append(dropped, h)
			delete(d.hubs, name)
		}
	}
	return dropped
}
