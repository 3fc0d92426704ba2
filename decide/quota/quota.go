// Package quota implements an agent's side of the limits that a whole fleet shares. It keeps a ledger of the leases
// that were granted to the agent, with their expiry and use, and decides whether a lease allows a demand. Package
// decide determines whether a request without a lease waits or is refused, and which request is started first. Package
// internal/peer/lease grants the leases (Gray & Cheriton 1989).
//
// Ownership: a Ledger is kept in memory only and must be used by one goroutine, that of the agent. It has no clock;
// times are durations on the agent's own monotonic clock.
package quota

import (
	"fmt"
	"strconv"
	"time"
)

// Kind is what a limit counts.
type Kind uint8

const (
	// InFlight counts attempts in flight at once.
	InFlight Kind = iota
	// Requests counts requests whose first attempt starts, per second.
	Requests
	// Attempts counts attempts that start, per second.
	Attempts
	// Retries counts attempts after a request's first one that start, per second.
	Retries
	// NewConnections counts attempts that open a connection, per second.
	NewConnections
	// SlowStart counts attempts that start at a server in slow start, per second.
	SlowStart
	kindCount
)

// KindNames are the names of the kinds in configurations.
var KindNames = []string{"in-flight", "requests", "attempts", "retries", "connections", "cold"}

// String returns the name of the kind in configurations.
func (k Kind) String() string {
	if k < kindCount {
		return KindNames[k]
	}
	return fmt.Sprintf("unknown kind %d", uint8(k))
}

// IsRate reports whether the limit counts starts per second instead of attempts in flight.
func (k Kind) IsRate() bool { return k != InFlight }

// Partition specifies whether a limit applies as a whole or separately to each server, zone or cell.
type Partition uint8

const (
	// NotPartitioned is one limit for all.
	NotPartitioned Partition = iota
	// PerServer is a separate limit for each server.
	PerServer
	// PerZone is a separate limit for each zone.
	PerZone
	// PerCell is a separate limit for each cell.
	PerCell
)

// Limit is one limit, in terms of the agent's settings.
type Limit struct {
	Name              string
	Kind              Kind
	Class, Zone, Cell int    // the class, zone and cell to which the limit applies; -1: all
	Server            string // the server to which the limit applies; empty: all
	Partition         Partition
}

// Demand describes an attempt that needs leases.
type Demand struct {
	Class        int
	Server       string
	Zone         int           // negative: not one of the settings' zones
	Cell         int           // negative: unknown
	SlowStart    bool          // the server is in slow start
	FirstAttempt bool          // this is the first attempt of its request
	EndsBy       time.Duration // time by which the attempt has ended
	// ReservedShare is the share of all demand that is more important than this one. An amount of this share, times the
	// square root of the leased amount, stays reserved for the more important demand.
	ReservedShare float64
}

// partKey returns the part of the limit that a demand uses; ok is false if the limit does not apply to the demand.
func (l *Limit) partKey(d *Demand) (key string, ok bool) {
	if !l.appliesTo(d) {
		return "", false
	}
	switch l.Partition {
	case PerServer:
		return d.Server, true
	case PerZone:
		return strconv.Itoa(d.Zone), true
	case PerCell:
		return strconv.Itoa(d.Cell), true
	}
	return "", true
}

func (l *Limit) appliesTo(d *Demand) bool {
	switch {
	case l.Class >= 0 && l.Class != d.Class,
		l.Zone >= 0 && l.Zone != d.Zone,
		l.Cell >= 0 && l.Cell != d.Cell,
		l.Server != "" && l.Server != d.Server:
		return false
	}
	switch l.Kind {
	case Requests:
		return d.FirstAttempt
	case Retries:
		return !d.FirstAttempt
	case SlowStart:
		return d.SlowStart
	}
	return true
}

// Lease is the amount of a limit that one lease server has granted to an agent. A later lease of the same grantor
// replaces it.
type Lease struct {
	Limit string
	// Key names the part of a partitioned limit.
	Key string
	// Grantor is the lease server. If it is empty, the Lease is the floor of a soft limit: an amount that may be used
	// even without a lease, and against which the use of all leases counts.
	Grantor string
	// Number identifies the grant.
	Number uint64
	Amount int
	// Expires is the time by which attempts must have ended if the limit counts attempts in flight, and by which they
	// must have started if it counts attempts per second.
	Expires time.Duration
	// Span is the time over which Amount counts, for rates.
	Span time.Duration
	// StartWithin is the time within which an attempt must be sent after it has reserved the lease; Span allows for
	// this delay. 0: no bound.
	StartWithin time.Duration
}

// Usage is the state of one lease, or of a part of a limit that has no lease.
type Usage struct {
	Limit   string
	Key     string
	Grantor string // empty: the floor, or demand that was rejected because there is no lease
	Number  uint64 // Lease.Number of the last lease that was adopted
	Used    int    // attempts in flight, or started within the span
	// Rejected and Started count the demands since the last report that found no lease, and those that found one.
	// They are reported once per limit and key.
	Rejected int
	Started  int
}
