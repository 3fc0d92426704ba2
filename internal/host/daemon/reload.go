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

// ReloadResult counts the instances by what a change of the configuration did to them.
type ReloadResult struct {
	Added     int `json:"added"`
	Removed   int `json:"removed"`
	Replaced  int `json:"replaced"`
	Moved     int `json:"moved"` // the running agent follows another list from now on
	Unchanged int `json:"unchanged"`
	Revived   int `json:"revived"` // the instance was left down, and is started again
}

// ErrReloadPassedOn means that this daemon has handed over, and that its successor was notified to read the file
// again.
var ErrReloadPassedOn = errors.New("a successor serves by now: it was told to apply the file, and logs what becomes of that")

// Reload reads the file again and changes what differs. If the file has an error, or an address can't be opened,
// nothing changes. A reload during a handover waits until the handover has ended, at most 30 s. The process that
// serves then applies the file, since the successor may have read the file before it changed. If that is the
// successor, the error is ErrReloadPassedOn.
func (d *Daemon) Reload() (result ReloadResult, err error) {
	d.reloadMu.Lock() // ensures that the file that is read last is applied last
	defer d.reloadMu.Unlock()
	for {
		if d.successorServes.Load() {
			return result, d.passReloadOn()
		}
		text, err := os.ReadFile(d.options.Config.Path)
		if err != nil {
			return result, err
		}
		var handoverEnded <-chan struct{}
		running := d.call(func() {
			if handoverEnded = d.handoverEnded; handoverEnded == nil {
				result, err = d.reload(text)
			}
		})
		switch {
		case !running && !d.successorServes.Load():
			return result, errStopping
		case running && handoverEnded == nil:
			return result, err
		case running:
			select {
			case <-handoverEnded:
			case <-d.done:
			}
		}
	}
}

// passReloadOn makes the successor read the file again.
func (d *Daemon) passReloadOn() error {
	if d.options.ReloadSuccessor == nil {
		return errors.New("a successor serves by now: ask that one")
	}
	if err := d.options.ReloadSuccessor(); err != nil {
		return fmt.Errorf("a successor serves by now, and could not be told to apply the file: %w", err)
	}
	d.log.Info("a reload was passed on to the successor")
	return ErrReloadPassedOn
}

func (d *Daemon) reload(text []byte) (ReloadResult, error) {
	cfg, err := d.cfg.Reparse(text)
	if err != nil {
		return ReloadResult{}, err
	}
	result, err := d.apply(cfg)
	if err == nil {
		d.warnOfUnusedKeys(cfg)
		d.ownFile.Store(&ownFile{cfg.Path, text})
	}
	return result, err
}

// apply changes the running daemon to a configuration. If it returns an error, nothing has changed.
func (d *Daemon) apply(cfg *daemonconfig.Config) (ReloadResult, error) {
	var result ReloadResult
	if err := d.checkChangeable(cfg); err != nil {
		return result, err
	}
	if err := d.listen(cfg); err != nil {
		return result, err
	}
	old := d.cfg
	d.cfg = cfg
	d.reloads++
	dropped := d.followSources(cfg)
	isMoved := movedSources(old, cfg, dropped)
	for _, spec := range cfg.Instances {
		d.applyInstance(spec, isMoved, &result)
	}
	socketsClosed := make(chan time.Time)
	defer close(socketsClosed)
	d.removeInstances(cfg, socketsClosed, &result)
	d.watchLists()
	if !slices.Equal(old.HeldParts(), cfg.HeldParts()) {
		d.announceParts()
	}
	for _, instance := range d.instances {
		bansApplied := d.applyBans(instance)
		if !d.applyLimits(instance) || !bansApplied {
			time.AfterFunc(busyRetryInterval, d.scheduleUpdate)
		}
	}
	d.updatePeering(old.Peers, old.Limits)
	d.closeUnused(cfg)
	for _, h := range dropped {
		h.stop()
	}
	d.log.Info("configuration applied", "added", result.Added, "removed", result.Removed, "replaced", result.Replaced,
		"moved", result.Moved, "unchanged", result.Unchanged, "revived", result.Revived)
	return result, nil
}

// checkChangeable returns an error if a running daemon can't change to a configuration now.
func (d *Daemon) checkChangeable(cfg *daemonconfig.Config) error {
	switch {
	case d.stopping:
		return errStopping
	case d.handingOver:
		return errors.New("a successor is being started")
	case cfg.Admin != d.cfg.Admin || cfg.StateDir != d.cfg.StateDir:
		return fmt.Errorf("%s: admin and state_dir can't change in a running daemon: hand over instead", cfg.Path)
	case !reflect.DeepEqual(cfg.Policy, d.cfg.Policy):
		return fmt.Errorf("%s: [policy] can't change in a running daemon: hand over instead", cfg.Path)
	}
	return nil
}

// movedSources returns a function that reports whether an instance whose source changes from one name to another gets
// another hub: either the names differ, or the source's hub was dropped and replaced by one of the same name.
func movedSources(old, cfg *daemonconfig.Config, dropped []*hub) func(from, to string) bool {
	return func(from, to string) bool {
		return from != to || slices.ContainsFunc(dropped, func(h *hub) bool {
			return reflect.DeepEqual(old.Sources[from], h.source) && !reflect.DeepEqual(cfg.Sources[to], h.source)
		})
	}
}

// applyInstance starts, replaces or moves an instance as its settings require. The settings include its shares of
// descriptors and memory: if the number of instances or a weight changes, all instances are replaced.
func (d *Daemon) applyInstance(spec daemonconfig.Instance, isMoved func(from, to string) bool, result *ReloadResult) {
	instance := d.instances[spec.Name]
	if instance == nil {
		result.Added++
		d.instances[spec.Name] = &hostedInstance{spec: spec}
		d.start(spec.Name)
		return
	}
	if !instance.spec.EqualExceptSource(spec) {
		result.Replaced++
		d.replaceInstance(instance, spec)
		return
	}
	moved := d.hubs[spec.Source].Hub != nil && isMoved(instance.spec.Source, spec.Source)
	instance.spec = spec
	switch {
	case d.supervisor.State(spec.Name).Phase == supervise.Down:
		result.Revived++
		d.execute(d.supervisor.Step(d.now(), supervise.Revived{Name: spec.Name}))
	case moved:
		result.Moved++
		if instance.agent != nil {
			instance.agent.FollowHub(d.hubs[spec.Source].Hub)
			d.markCurrent(instance)
		}
	default:
		result.Unchanged++
	}
}

// replaceInstance starts an agent with other settings. The new agent accepts connections before the old one ends:
// both have a copy of the socket or, if the address changed, each has its own. The old agent answers its open
// requests, for at most the longest deadline and 0.6 s. It ends even if the new agent fails to start; the supervisor
// then starts the new one again.
func (d *Daemon) replaceInstance(instance *hostedInstance, spec daemonconfig.Instance) {
	stop := instance.stop
	previous := instance.agent
	instance.spec = spec
	if previous != nil {
		instance.pastTotals = addTotals(instance.pastTotals, previous.Totals())
	}
	d.supervisor.Step(d.now(), supervise.Removed{Name: spec.Name})
	d.start(spec.Name)
	if stop != nil {
		stop()
	}
}

// removeInstances stops the instances that a configuration does not have. They answer what they have admitted. If no
// other instance uses an instance's socket, its agent accepts connections until socketsClosed is closed, and then
// those left in the socket's queue.
func (d *Daemon) removeInstances(cfg *daemonconfig.Config, socketsClosed <-chan time.Time, result *ReloadResult) {
	addresses := listenAddresses(cfg)
	configured := map[string]bool{}
	for _, spec := range cfg.Instances {
		configured[spec.Name] = true
	}
	for name, instance := range d.instances {
		if configured[name] {
			continue
		}
		result.Removed++
		if instance.stop != nil {
			if !slices.Contains(addresses, instance.spec.Listen) {
				instance.agent.AcceptUntil(socketsClosed)
			}
			instance.stop()
		}
		d.supervisor.Step(d.now(), supervise.Removed{Name: name})
		delete(d.instances, name)
		delete(d.memories, name)
	}
}

// closeUnused closes the sockets that a configuration does not name.
func (d *Daemon) closeUnused(cfg *daemonconfig.Config) {
	d.closeUnusedPackets()
	addresses := listenAddresses(cfg)
	for address := range d.listeners {
		if !slices.Contains(addresses, address) {
			d.closeSocket(address)
		}
	}
}
