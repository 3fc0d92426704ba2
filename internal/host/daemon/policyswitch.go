package daemon

import (
	"slices"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/policy"
)

const (
	// replacedGrace is how long an agent that is replaced goes on admitting requests on its connections. With a
	// longer time, two policies are in use for longer. With a shorter time, more requests are rejected at a switch.
	replacedGrace = 100 * time.Millisecond
	// switchRetryInterval is the time before a switch is tried again if the policy changed during it.
	switchRetryInterval = time.Second
	// announceInterval is how often the daemon checks whether the transport has been given the parts that the daemon
	// holds.
	announceInterval = 50 * time.Millisecond
	// noWindow is a deduplication window (1 ns) that is too short for any retry. 0 would mean that the window is not
	// shortened.
	noWindow = 1
)

// appliedPolicy identifies the policy by which the instances serve.
type appliedPolicy struct {
	number      uint64 // the number of the global document
	fingerprint string // covers all documents, and the changes that may also be active
}

// switchPolicy makes all instances serve by the current policy. If the daemon can't serve by it, the instances admit
// no requests and give the error as the reason.
func (d *Daemon) switchPolicy() {
	s := d.serving.Load()
	if s == nil || s.Document == nil || d.cfg.Policy == nil || d.handingOver {
		return
	}
	next := appliedPolicy{s.Document.Number, s.Fingerprint()}
	if next == d.policy.applied || s.unservable != "" {
		return
	}
	cfg, err := d.cfg.WithPolicy(servedDocuments(&s.Serving), s.Preparing)
	if err == nil {
		d.policy.fingerprint = next.fingerprint
		err = d.switchTo(cfg)
	}
	if err != nil {
		d.policy.fingerprint = d.policy.applied.fingerprint
		d.markUnservable(s, err)
		return
	}
	d.policy.applied = next
	for _, instance := range d.instances { // includes instances that the policy did not change
		if instance.agent != nil {
			d.markCurrent(instance)
		}
	}
	d.log.Info("instances serve by policy", "number", next.number, "texts", next.fingerprint)
}

// markUnservable records that this daemon can't serve by a policy. If there is a newer policy already, the switch is
// tried again.
func (d *Daemon) markUnservable(s *servingState, err error) {
	reason := "this daemon can't serve by policy " + s.Fingerprint()
	if len(s.Preparing) > 0 {
		reason = "this daemon does not know whether policy or changes are in force, and can't serve by all: " + s.Fingerprint()
	}
	d.log.Error(reason, "error", err)
	unservable := *s
	unservable.unservable = reason + ": " + err.Error()
	if !d.serving.CompareAndSwap(s, &unservable) {
		time.AfterFunc(switchRetryInterval, d.scheduleSwitch)
		return
	}
	d.rangeAgents(d.applyAdmission)
}

// scheduleSwitch makes Run's goroutine call switchPolicy. It does not block.
func (d *Daemon) scheduleSwitch() { signal(d.servingUpdated) }

// servedDocuments returns the documents by which a member serves. The global one is the first.
func servedDocuments(s *policy.Serving) []policy.Document {
	return append([]policy.Document{*s.Document}, s.Parts...)
}

// switchTo changes the instances to another configuration at once. The old agents finish the requests that they have
// admitted, and retry them only within the shorter of the two deduplication windows.
func (d *Daemon) switchTo(cfg *daemonconfig.Config) error {
	replaced := map[*core.Agent]daemonconfig.Instance{}
	for _, instance := range d.instances {
		if instance.agent != nil {
			replaced[instance.agent] = instance.spec
		}
	}
	if _, err := d.apply(cfg); err != nil {
		return err
	}
	until := time.Now().Add(replacedGrace)
	for _, instance := range d.instances {
		delete(replaced, instance.agent)
	}
	for agent, spec := range replaced {
		d.replaced.Store(agent, true)
		agent.ShortenAdmission(until, reasonPolicySwitched)
		i := slices.IndexFunc(cfg.Instances, func(n daemonconfig.Instance) bool { return n.Name == spec.Name })
		if i >= 0 {
			agent.NarrowDedupWindows(shortenedWindows(&spec.Agent, &cfg.Instances[i].Agent))
		}
	}
	return nil
}

// shortenedWindows returns the shorter deduplication windows that apply to retries of requests in flight, by class of
// the old configuration. 0 means that the class keeps its window.
func shortenedWindows(before, after *core.Config) []time.Duration {
	windows := make([]time.Duration, len(before.Settings.Classes))
	for i, class := range before.Settings.Classes {
		if class.Effect != decide.Keyed {
			continue
		}
		n := slices.Index(after.Site.Classes, before.Site.Classes[i])
		if n < 0 {
			windows[i] = noWindow
			continue
		}
		switch next := after.Settings.Classes[n]; {
		case next.Effect == decide.NonIdempotent:
			windows[i] = noWindow
		case next.Effect == decide.Keyed && next.DedupWindow < class.DedupWindow:
			windows[i] = next.DedupWindow
		}
	}
	return windows
}

// announceParts announces to the fleet which parts this daemon holds from now on. It retries until the transport has
// these parts, since the current transport may be about to be replaced.
func (d *Daemon) announceParts() {
	if d.cfg.Policy == nil {
		return
	}
	parts := d.cfg.HeldParts()
	d.heldParts.Store(&parts)
	d.background.Go(func() {
		for announced := false; !announced && d.ctx.Err() == nil; time.Sleep(announceInterval) {
			err := d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
				wanted := *d.heldParts.Load()
				announced = slices.Equal(n.Status().ConfiguredParts, wanted)
				if announced {
					return nil
				}
				return []policy.Event{policy.SetParts{Parts: wanted}}
			})
			if err != nil { // no transport runs: the next one starts with the parts that the daemon holds then
				return
			}
		}
	})
}

// applyBans makes an instance stop using the servers that the file or the policy bans, and use again those that are
// no longer banned. It reports false if the instance was too busy.
func (d *Daemon) applyBans(instance *hostedInstance) bool {
	if instance.agent == nil {
		return true
	}
	var banned []string
	for _, ban := range d.cfg.Bans {
		isForSource := ban.Source == "" || ban.Source == instance.spec.Source
		if isForSource && !slices.Contains(banned, ban.Server) {
			banned = append(banned, ban.Server)
		}
	}
	for _, server := range banned {
		if slices.Contains(instance.disabledServers, server) {
			continue
		}
		if !instance.agent.TryForceServerDisabled(server, true) {
			return false
		}
		instance.disabledServers = append(instance.disabledServers, server)
	}
	for _, server := range slices.Clone(instance.disabledServers) {
		if slices.Contains(banned, server) {
			continue
		}
		if !instance.agent.TryForceServerDisabled(server, false) {
			return false
		}
		instance.disabledServers = slices.DeleteFunc(instance.disabledServers, func(s string) bool { return s == server })
	}
	return true
}
