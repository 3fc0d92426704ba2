package daemon

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"time"

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
	if !d.do(func() {
		var cfg *Config
		if cfg, err = build(d.cfg.Path, data, d.cfg.over); err != nil { // under the policy in force
			return
		}
		if r, err = d.apply(cfg); err == nil {
			d.host.Store(&hostText{cfg.Path, data})
		}
	}) {
		return r, errors.New("the daemon is stopping")
	}
	return r, err
}

func (d *Daemon) apply(cfg *Config) (r ReloadResult, err error) {
	if d.handing {
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
	dropped := d.follow(cfg)
	keep := map[string]bool{}
	for _, spec := range cfg.Instances {
		keep[spec.Name] = true
		p := d.parts[spec.Name]
		switch {
		case p == nil:
			r.Added++
			d.parts[spec.Name] = &part{spec: spec}
			d.start(spec.Name)
		case !p.spec.same(spec):
			// The new copy accepts before the old one ends: both have the socket, or each its own.
			r.Replaced++
			end, a := p.end, p.agent
			p.spec = spec
			if a != nil {
				p.past = sum(p.past, a.Totals())
			}
			d.sup.Step(d.now(), supervise.Removed{Name: spec.Name})
			d.start(spec.Name)
			if end != nil {
				end()
			}
		default:
			moved := d.hubs[spec.Source].Hub != nil && (p.spec.Source != spec.Source || slices.ContainsFunc(dropped, func(h *hub) bool {
				return reflect.DeepEqual(old.Sources[p.spec.Source], h.source) && !reflect.DeepEqual(cfg.Sources[spec.Source], h.source)
			}))
			p.spec = spec
			switch st := d.sup.State(spec.Name); {
			case st.Phase == supervise.Down:
				r.Revived++
				d.execute(d.sup.Step(d.now(), supervise.Revived{Name: spec.Name}))
			case moved:
				r.Moved++
				if p.agent != nil {
					p.agent.Follow(d.hubs[spec.Source].Hub)
					d.hostCopy(p)
				}
			default:
				r.Unchanged++
			}
		}
	}
	for name, p := range d.parts {
		if keep[name] {
			continue
		}
		r.Removed++
		if p.end != nil {
			p.end() // everything taken is answered
		}
		d.sup.Step(d.now(), supervise.Removed{Name: name})
		delete(d.parts, name)
		delete(d.memory, name)
	}
	d.watchLists()
	if !slices.Equal(heldBy(old), heldBy(cfg)) {
		d.hold()
	}
	for _, p := range d.parts {
		if heard := d.ban(p); !d.limit(p) || !heard {
			time.AfterFunc(shareAgain, d.shareSoon)
		}
	}
	d.remeet(old.Peers, old.Limits)
	d.dropPackets()
	need := wanted(cfg)
	for a := range d.sockets {
		if !slices.Contains(need, a) {
			d.closeSocket(a)
		}
	}
	for _, h := range dropped {
		h.end()
	}
	d.log.Info("configuration applied", "added", r.Added, "removed", r.Removed, "replaced", r.Replaced, "moved", r.Moved,
		"unchanged", r.Unchanged, "revived", r.Revived)
	return r, nil
}
