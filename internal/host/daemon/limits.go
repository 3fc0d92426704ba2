package daemon

import (
	"slices"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/transport"
)

// applyLimits tells an instance which limits there are, and its floors. It reports whether it heard.
func (d *Daemon) applyLimits(p *hostedInstance) bool {
	if p.agent == nil {
		return true
	}
	var all []quota.Limit
	if d.cfg.Limits != nil {
		all = d.cfg.Limits.ForInstance(&p.spec)
	}
	if !slices.Equal(all, p.limits) {
		if !p.agent.SetSharedLimits(all) {
			return false
		}
		p.limits, p.floorAgents = all, 0
	}
	if d.cfg.Limits == nil {
		return true
	}
	agents := max(1, d.cfg.Balancers)
	if c := d.size.Load(); c != nil {
		agents = c.MaxBalancers
	}
	if agents != p.floorAgents {
		if !p.agent.GrantLeases(expiringLeases(d.cfg.Limits.Floors(agents), time.Now())) {
			return false
		}
		p.floorAgents = agents
	}
	return true
}

// leasesGranted passes on what a keeper lent. The carrier's loop calls it; it does not wait: an agent that is too busy to hear goes
// by what it had, which ends by itself.
func (d *Daemon) leasesGranted(agent uint32, all []quota.Lease, base time.Time) {
	if a, ok := d.agents.Load(agent); ok {
		a.(agentHandle).agent.GrantLeases(expiringLeases(all, base))
	}
}

func expiringLeases(all []quota.Lease, base time.Time) []core.Lease {
	out := make([]core.Lease, len(all))
	for i, r := range all {
		out[i] = core.Lease{Lease: r, ExpiresAt: base.Add(r.Expires)}
	}
	return out
}

// LimitsStatus is how the limits stand: what the file says, and what is held and lent now.
type LimitsStatus struct {
	Agents   int                         `json:"agents"`
	Limits   []daemonconfig.LimitSummary `json:"limits"`
	Status   transport.LimitsStatus      `json:"now"`
	Isolated bool                        `json:"alone,omitempty"` // the part that talks to peers does not run
}

// Limits is how the limits stand; ok is false where the file has none.
func (d *Daemon) Limits() (now LimitsStatus, ok bool) {
	var l *daemonconfig.Limits
	var p *peering
	d.call(func() { l, p = d.cfg.Limits, d.peering })
	if l == nil {
		return now, false
	}
	now.Agents = max(1, d.cfg.Balancers)
	if c := d.size.Load(); c != nil {
		now.Agents = c.MaxBalancers
	}
	now.Limits, now.Isolated = l.Summary(now.Agents), true
	if p != nil {
		var answered bool
		now.Status, answered = p.transport.LimitsStatus()
		now.Isolated = !answered
	}
	return now, true
}
