package daemon

import (
	"slices"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/transport"
)

// applyLimits passes an instance the shared limits and its floors, which are the amounts that it may use when it
// reaches no lease server. It reports false if the instance was too busy to take them.
func (d *Daemon) applyLimits(instance *hostedInstance) bool {
	if instance.agent == nil {
		return true
	}
	var limits []quota.Limit
	if d.cfg.Limits != nil {
		limits = d.cfg.Limits.ForInstance(&instance.spec)
	}
	if !slices.Equal(limits, instance.limits) {
		if !instance.agent.SetSharedLimits(limits) {
			return false
		}
		instance.limits = limits
		instance.floorAgents = 0
	}
	if d.cfg.Limits == nil {
		return true
	}
	agents := d.maxBalancers()
	if agents != instance.floorAgents {
		if !instance.agent.GrantLeases(limitLeases(d.cfg.Limits.Floors(agents), time.Now())) {
			return false
		}
		instance.floorAgents = agents
	}
	return true
}

// maxBalancers returns how many agents the fleet may have: the number that the peers have counted or, if there is none
// yet, the number in the file.
func (d *Daemon) maxBalancers() int {
	if size := d.size.Load(); size != nil {
		return size.MaxBalancers
	}
	return max(1, d.cfg.Balancers)
}

// leasesGranted passes an agent the leases that a lease server granted. The transport's goroutine calls it, and it
// does not block: an agent that is too busy keeps its current leases, which expire without further messages.
func (d *Daemon) leasesGranted(agent uint32, leases []quota.Lease, base time.Time) {
	if h, ok := d.agents.Load(agent); ok {
		h.(agentHandle).agent.GrantLeases(limitLeases(leases, base))
	}
}

// limitLeases translates leases whose times count from base into leases with absolute times.
func limitLeases(leases []quota.Lease, base time.Time) []core.Lease {
	expiring := make([]core.Lease, len(leases))
	for i, lease := range leases {
		expiring[i] = core.Lease{Lease: lease, ExpiresAt: base.Add(lease.Expires)}
	}
	return expiring
}

// LimitsStatus is the state of the shared limits: what the file sets, and what is leased now.
type LimitsStatus struct {
	Agents   int                         `json:"agents"` // the number of agents among which the limits are split
	Limits   []daemonconfig.LimitSummary `json:"limits"`
	Status   transport.LimitsStatus      `json:"now"`
	Isolated bool                        `json:"alone,omitempty"` // the transport does not run or respond
}

// LimitsStatus returns the state of the shared limits. ok is false if the file has none.
func (d *Daemon) LimitsStatus() (status LimitsStatus, ok bool) {
	var limits *daemonconfig.Limits
	var p *peering
	d.call(func() {
		limits = d.cfg.Limits
		p = d.peering
	})
	if limits == nil {
		return status, false
	}
	status.Agents = d.maxBalancers()
	status.Limits = limits.Summary(status.Agents)
	status.Isolated = true
	if p != nil {
		current, responded := p.transport.LimitsStatus()
		status.Status = current
		status.Isolated = !responded
	}
	return status, true
}
