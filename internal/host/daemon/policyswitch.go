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
	// replacedGrace is how long an agent that is replaced admits requests that come on connections of its own. Longer ones
	// have two policies in use for longer; shorter ones reject more requests at a switch.
	replacedGrace = 100 * time.Millisecond
	// switchRetryInterval is after which a switch is tried again that met a newer policy.
	switchRetryInterval = time.Second
	// announceInterval is how often the daemon looks whether the transport has the parts that it holds.
	announceInterval = 50 * time.Millisecond
	// noWindow is a deduplication window in which no retry fits: 0 would mean that nothing is narrowed.
	noWindow = 1
)

// appliedPolicy is by which policy the instances serve.
type appliedPolicy struct {
	number      uint64 // of the global document
	fingerprint string // of all documents, and of the changes that may be active besides
}

// switchPolicy has all instances serve by the present policy. Whatever is wrong with it leaves them admitting nothing, and
// is the reason that they give.
func (d *Daemon) switchPolicy() {
	s := d.serving.Load()
	if s == nil || s.Document == nil || d.cfg.Policy == nil || d.handingOver {
		return
	}
	next := appliedPolicy{s.Document.Number, s.Fingerprint()}
	if next == d.policy.applied || s.unservable != "" {
		return
	}
	cfg, err := d.cfg.Under(servedDocuments(&s.Serving), s.Preparing)
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
	for _, instance := range d.instances { // those that did not change serve by it as well
		if instance.agent != nil {
			d.markCurrent(instance)
		}
	}
	d.log.Info("instances serve by policy", "number", next.number, "texts", next.fingerprint)
}

// markUnservable records that this daemon can't serve by a policy. If there is a newer one already the switch is tried again.
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

// scheduleSwitch has Run's goroutine call switchPolicy. It does not block.
func (d *Daemon) scheduleSwitch() { signal(d.servingUpdated) }

// servedDocuments returns the documents by which a member serves, the global one first.
func servedDocuments(s *policy.Serving) []policy.Document {
	return append([]policy.Document{*s.Document}, s.Parts...)
}

// switchTo changes instances over to another configuration at once. What they have admitted is finished by the old agents,
// and retried by the shorter deduplication window of the two.
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

// shortenedWindows returns the deduplication windows to which retries of requests in flight are held besides their own, by
// class of the old configuration; 0: none.
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

// announceParts has the fleet know which parts this daemon holds from now on. It repeats that until the transport has them:
// the one that is asked first may be being replaced.
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
			if err != nil { // the next transport begins with what the daemon holds then
				return
			}
		}
	})
}

// applyBans has an instance use no server that the file or the policy bans, and use again those that they no longer ban. It
// reports false if the instance was too busy.
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
