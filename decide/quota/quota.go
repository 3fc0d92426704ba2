// Package quota is an agent's side of limits that hold for a whole fleet: a ledger of the leases that it was granted,
// until when, and what of them is in use. It says whether a lease allows a demand; whether a request goes without one,
// and which goes first, is decided by package decide. The leases come from package internal/peer/lease (Gray & Cheriton
// 1989).
//
// Ownership: a Ledger is in memory only, and belongs to one goroutine: the agent's. It has no clock; times are durations
// on the agent's own monotonic clock.
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
	// Requests counts requests whose first attempt starts, in any second.
	Requests
	// Attempts counts attempts that start in any second.
	Attempts
	// Retries counts attempts after a request's first that start in any second.
	Retries
	// NewConnections counts attempts that open a connection, in any second.
	NewConnections
	// SlowStart counts attempts that start at a server in slow start, in any second.
	SlowStart
	kindCount
)

// KindNames are the kinds as configurations name them.
var KindNames = []string{"in-flight", "requests", "attempts", "retries", "connections", "cold"}

// String returns the kind's name in configurations.
func (k Kind) String() string {
	if k < kindCount {
		return KindNames[k]
	}
	return fmt.Sprintf("counts %d", uint8(k))
}

// IsRate reports whether it counts starts in a second, not what is in flight at once.
func (k Kind) IsRate() bool { return k != InFlight }

// Partition is whether a limit is one, or one for each of something.
type Partition uint8

const (
	// NotPartitioned is one limit.
	NotPartitioned Partition = iota
	// PerServer is a limit for each server.
	PerServer
	// PerZone is a limit for each zone.
	PerZone
	// PerCell is a limit for each cell.
	PerCell
)

// Limit is one limit, in terms of the agent's settings.
type Limit struct {
	Name              string
	Kind              Kind
	Class, Zone, Cell int    // that it is limited to; -1: all
	Server            string // that it is limited to; empty: all
	Partition         Partition
}

// Demand is what an attempt would use leases for.
type Demand struct {
	Class        int
	Server       string
	Zone         int
	Cell         int
	SlowStart    bool          // of the server
	FirstAttempt bool          // of its request
	EndsBy       time.Duration // it is over by then
	// ReservedShare is the share of demand by what is more important: as much of the leases' square root remains for that.
	ReservedShare float64
}

// partKey returns which part of the limit a demand uses; ok is false where the limit does not apply to it.
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

// Lease is what an agent may use of a limit by the grant of one lease server. A later one of the same grantor replaces it.
type Lease struct {
	Limit string
	// Key is the part of a partitioned limit.
	Key string
	// Grantor is the lease server. Empty: the floor of a soft limit, which counts what is used by all leases.
	Grantor string
	// Number identifies the grant.
	Number uint64
	Amount int
	// Expires is when what counts in flight has to have ended, and what counts by the second to have started.
	Expires time.Duration
	// Span is the time over which Amount counts, for rates.
	Span time.Duration
	// StartWithin is the time within which a reserved attempt has to be sent: Span allows for that. 0: at any time.
	StartWithin time.Duration
}

// Usage is the state of one lease, or of a part of a limit without any.
type Usage struct {
	Limit   string
	Key     string
	Grantor string // empty: the floor, or demand that was rejected without any lease
	Number  uint64 // of the last grant that was adopted
	Used    int    // in flight, or started within the span
	// Rejected and Started count demands since the last report that found no lease, and that found one. Each is reported
	// once for a limit and key.
	Rejected int
	Started  int
}
