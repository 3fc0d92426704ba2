package core

import (
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

// SetFleetSize tells the balancer how many agents share the servers from now on: between minAgents and maxAgents. It
// does not block: false says that the agent is too busy to take it now.
func (a *Agent) SetFleetSize(maxAgents, minAgents int) bool {
	return a.loop.tryPost(decide.FleetSize{Max: maxAgents, Min: minAgents})
}

// Lease is a lease of a share of a limit, until a time by the process's own clock.
type Lease struct {
	quota.Lease // without Expires
	ExpiresAt   time.Time
}

// leasesGranted is posted with the leases that the agent holds from now on.
type leasesGranted struct{ leases []Lease }

// SetSharedLimits tells the balancer which limits the fleet shares: see decide.SharedLimits. It does not block:
// false says that the agent is too busy to take it now.
func (a *Agent) SetSharedLimits(limits []quota.Limit) bool {
	return a.loop.tryPost(decide.SharedLimits{Limits: limits})
}

// GrantLeases tells the balancer which shares of the fleet's limits it may use: see decide.LeasesGranted. It does
// not block: false says that the agent is too busy to take it now.
func (a *Agent) GrantLeases(leases []Lease) bool { return a.loop.tryPost(leasesGranted{leases}) }

// onLeasesGranted passes leases on, with their expiry by the loop's clock.
func (l *Loop) onLeasesGranted(e leasesGranted) {
	leases := make([]quota.Lease, len(e.leases))
	for i, lease := range e.leases {
		leases[i] = lease.Lease
		leases[i].Expires = l.clock.at(lease.ExpiresAt)
	}
	l.pending = append(l.pending, decide.LeasesGranted{Leases: leases})
}
