package daemon

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/supervise"
)

// ReloadResult says what a change did.
type ReloadResult struct {
	Added     int `json:"added"`
	Removed   int `json:"removed"`
	Replaced  int `json:"replaced"`
	Moved     int `json:"moved"` // follow another list, and go on
	Unchanged int `json:"unchanged"`
	Revived   int `json:"revived"` // were left down, and are tried again
}

// Reload reads the file again and changes what differs. If it makes no sense, or an address can't
// be had, nothing changes.
func (d *Daemon) Reload() (r ReloadResult, err error) {
	data, err := os.ReadFile(d.cfg.Path)
	if err != nil {
		return r, err
	}
	if !d.call(func() {
		var cfg *daemonconfig.Config
		if cfg, err = d.cfg.Reparse(data); err != nil {
			return
		}
		if r, err = d.apply(cfg); err == nil {
			d.ownFile.Store(&ownFile{cfg.Path, data})
		}
	}) {
		return r, errors.New("the daemon is stopping")
	}
	return r, err
}

func (d *Daemon) apply(cfg *daemonconfig.Config) (r ReloadResult, err error) {
	if d.handingOver {
		return r, errors.New("a successor is being started: it reads the file itself")
	}
	if cfg.Admin != d.cfg.Admin || cfg.StateDir != d.cfg.StateDir {
		return r, fmt.Errorf("%s: admin and state_dir can't change in a running daemon: hand over instead", cfg.Path)
	}
	if !reflect.DeepEqual(cfg.Policy, d.cfg.Policy) {
		return r, fmt.Errorf("%s: [policy] can't change in a running daemon: hand over instead", cfg.Path)
	}
	if _, err := d.listen(cfg); err != nil {
		return r, err
	}
	old := d.cfg
	d.cfg = cfg
	d.reloads++
	dropped := d.followSources(cfg)
	keep := map[string]bool{}
	for _, spec := range cfg.Instances {
		keep[spec.Name] = true
		p := d.instances[spec.Name]
		switch {
		case p == nil:
			r.Added++
			d.instances[spec.Name] = &hostedInstance{spec: spec}
			d.start(spec.Name)
		case !p.spec.EqualExceptSource(spec):
			// The new copy accepts before the old one ends: both have the socket, or each its own.
			r.Replaced++
			end, a := p.stop, p.agent
			p.spec = spec
			if a != nil {
				p.pastTotals = addTotals(p.pastTotals, a.Totals())
			}
			d.supervisor.Step(d.now(), supervise.Removed{Name: spec.Name})
			d.start(spec.Name)
			if end != nil {
				end()
			}
		default:
			moved := d.hubs[spec.Source].Hub != nil && (p.spec.Source != spec.Source || slices.ContainsFunc(dropped, func(h *hub) bool {
				return reflect.DeepEqual(old.Sources[p.spec.Source], h.source) && !reflect.DeepEqual(cfg.Sources[spec.Source], h.source)
			}))
			p.spec = spec
			switch st := d.supervisor.State(spec.Name); {
			case st.Phase == supervise.Down:
				r.Revived++
				d.execute(d.supervisor.Step(d.now(), supervise.Revived{Name: spec.Name}))
			case moved:
				r.Moved++
				if p.agent != nil {
					p.agent.Follow(d.hubs[spec.Source].Hub)
					d.hostInstance(p)
				}
			default:
				r.Unchanged++
			}
		}
	}
	for name, p := range d.instances {
		if keep[name] {
			continue
		}
		r.Removed++
		if p.stop != nil {
			p.stop() // everything taken is answered
		}
		d.supervisor.Step(d.now(), supervise.Removed{Name: name})
		delete(d.instances, name)
		delete(d.memories, name)
	}
	d.watchLists()
	if !slices.Equal(old.HeldParts(), cfg.HeldParts()) {
		d.announceParts()
	}
	for _, p := range d.instances {
		if heard := d.applyBans(p); !d.applyLimits(p) || !heard {
			time.AfterFunc(shareRetryInterval, d.scheduleUpdate)
		}
	}
	d.updatePeering(old.Peers, old.Limits)
	d.dropPackets()
	need := listenAddresses(cfg)
	for a := range d.listeners {
		if !slices.Contains(need, a) {
			d.closeSocket(a)
		}
	}
	for _, h := range dropped {
		h.stop()
	}
	d.log.Info("configuration applied", "added", r.Added, "removed", r.Removed, "replaced", r.Replaced, "moved", r.Moved,
		"unchanged", r.Unchanged, "revived", r.Revived)
	return r, nil
}
