package core

import (
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

// SetFleetSize sets the bounds of the number of agents that share the servers from now on: see decide.FleetSize. It
// does not block: it reports false if the loop's queue is full.
func (a *Agent) SetFleetSize(maxAgents, minAgents int) bool {
	return a.loop.tryPost(decide.FleetSize{Max: maxAgents, Min: minAgents})
}

// Lease is a lease of a share of a limit. It expires at a time by the process's own clock.
type Lease struct {
	quota.Lease // Expires is not set
	ExpiresAt   time.Time
}

// leasesGranted is posted with leases that were granted to the agent.
type leasesGranted struct{ leases []Lease }

// SetSharedLimits sets the limits that the fleet shares: see decide.SharedLimits. It does not block: it reports false
// if the loop's queue is full.
func (a *Agent) SetSharedLimits(limits []quota.Limit) bool {
	return a.loop.tryPost(decide.SharedLimits{Limits: limits})
}

// GrantLeases passes leases of the fleet's limits to the balancer: see decide.LeasesGranted. It does not block: it
// reports false if the loop's queue is full.
func (a *Agent) GrantLeases(leases []Lease) bool { return a.loop.tryPost(leasesGranted{leases}) }

// onLeasesGranted passes leases to the balancer, with their expiry converted to the loop's clock.
func (l *Loop) onLeasesGranted(e leasesGranted) {
	leases := make([]quota.Lease, len(e.leases))
	for i, lease := range e.leases {
		leases[i] = lease.Lease
		leases[i].Expires = l.clock.at(lease.ExpiresAt)
	}
	l.pending = append(l.pending, decide.LeasesGranted{Leases: leases})
}
