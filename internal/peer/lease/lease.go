// Package lease enforces limits that apply to a whole fleet, by dividing them into leases (Gray & Cheriton 1989). A
// limit bounds the attempts of all agents together: those in flight at once, or those that begin in a second. It
// counts the attempts of one class, at one server, in one zone, or all attempts.
//
// A limit is divided among a few lease servers, which are members that the configuration names. A Server (server.go)
// leases its share for a term to clients, which are all members; a Client (client.go) requests leases for the agents
// of its daemon. A client counts the term by its own clock from the moment at which it requested the lease, and uses
// the lease until the term ends. The server counts the term by its own clock from the later moment at which it granted
// the lease, and adds the difference that the rates of two clocks may cause. It counts the amount as leased until
// then. So no amount is leased twice, whatever failures of links, crashes, pauses and restarts occur; the only
// assumption is Settings.ClockDrift. A server that starts, or was paused, has no record of the leases that another
// process may have granted in its place: it grants none until all of these have expired. The other servers do not take
// over the share of a server that fails: the limit is smaller by this share until that server has restarted and has
// waited. No state is kept on disk.
//
// Each Client and each Server holds its state in memory, and one goroutine owns it (the transport's loop, or a
// simulation). The package uses no clock, socket, goroutine, global variable or randomness: its inputs are messages,
// the time and the agents' reports, its outputs are messages and leases. The ledger that an agent keeps of its leases
// is in package decide/quota.
//
// docs/design/shared-limits.md compares this with leases from one leader, escrow, quorums and static shares.
package lease

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"time"

	"vetchhaven/decide/quota"
)

// Limit is one limit, as the configuration of every member has it.
type Limit struct {
	quota.Limit        // which attempts it counts, as indexes in this daemon's settings
	Scope       string // which attempts it counts, in names that all daemons share
	Total       int    // number of attempts in flight at once, or begun in any second; at least 1
	// Hard limits are never exceeded. For a soft limit, each agent has a floor, its part of FloorShare, which it may
	// use without a lease. The floor counts everything that the agent uses. The sum of all floors is added to Total,
	// see Bounds.MaxUsed.
	Hard bool
	// FloorShare is the share of a soft limit that is divided evenly among all agents, 0 to 1; 0 means
	// DefaultFloorShare.
	FloorShare float64
}

// Settings do not change during the lifetime of a Server, or of a Client except by ApplySettings. Zero values are
// replaced by the defaults below.
type Settings struct {
	Limits []Limit
	// Servers lists the names of the lease servers (keepers, in the configuration), in the same order at all members.
	// There is at least one.
	Servers []string
	// Term is the duration of a lease of a rate.
	Term time.Duration
	// MaxAttemptTime is the longest duration of an attempt. A lease of attempts in flight lasts this much longer than
	// Term.
	MaxAttemptTime time.Duration
	// RenewInterval is the time between two requests of a busy client to a server; a quarter of Term at most.
	RenewInterval time.Duration
	// ClockDrift is the largest relative deviation of the rate of any clock from the true rate, 0 to 0.5.
	ClockDrift float64
}

const (
	// DefaultTerm is longer than a pause that is not a crash, and shorter than an operator notices. A longer term covers
	// longer pauses, but the leases of failed clients become available later.
	DefaultTerm = 3 * time.Second
	// DefaultRenewInterval lets leases follow a shift of demand within a few intervals and a second. A shorter
	// interval follows faster and costs proportionally more messages.
	DefaultRenewInterval = 250 * time.Millisecond
	// DefaultClockDrift is far above the drift of quartz clocks (0.0002), and covers clocks that are being slewed. A
	// larger value wastes more of a limit between the end of a lease at the client and its end at the server.
	DefaultClockDrift = 0.01
	// DefaultFloorShare is the share that remains usable for agents that reach no server. With a larger share, a soft
	// limit is exceeded by more in the worst case.
	DefaultFloorShare = 0.25
	// MaxOvercommit is the largest fraction of its share by which a server leases a soft limit beyond that share. Each
	// client thereby has a little more than it uses, since the clients do not all need it at once.
	MaxOvercommit = 0.25

	// rateWindow is the window in which the attempts of a rate limit are counted. The need of an agent is estimated over
	// the same window.
	rateWindow = time.Second
	// startWithin is the time within which an attempt has to be sent after it was counted towards a hard limit of a rate.
	// Without this bound, a process that is paused in between would send an attempt after the second for which it was
	// counted. It is a little longer than an open connection takes to send the attempt. A larger value wastes more of the
	// limit, a smaller one refuses attempts on busy machines.
	startWithin = 50 * time.Millisecond

	// maxClockDrift keeps the conversion of times between two clocks finite.
	maxClockDrift = 0.5
	// minRenewalsPerTerm is the number of renewals that have to fit into a term, so that a lease survives the loss of
	// a few of them.
	minRenewalsPerTerm = 4
)

// withDefaults returns the settings with defaults in place of zero values, or an error that names the value at fault.
func (s Settings) withDefaults() (Settings, error) {
	s.Term = cmp.Or(s.Term, DefaultTerm)
	s.ClockDrift = cmp.Or(s.ClockDrift, DefaultClockDrift)
	s.RenewInterval = cmp.Or(s.RenewInterval, DefaultRenewInterval)
	names := map[string]bool{}
	limits := make([]Limit, len(s.Limits))
	for i, l := range s.Limits {
		limits[i] = l.withDefaults()
		if names[l.Name] {
			return s, fmt.Errorf("limits: the name %q is empty or listed twice", l.Name)
		}
		if err := limits[i].validate(); err != nil {
			return s, err
		}
		names[l.Name] = true
	}
	s.Limits = limits
	invalid := len(s.Servers) == 0 ||
		s.ClockDrift < 0 || s.ClockDrift > maxClockDrift ||
		s.MaxAttemptTime < 0 ||
		s.RenewInterval <= 0 ||
		s.Term < minRenewalsPerTerm*s.RenewInterval
	if invalid {
		return s, fmt.Errorf("limits: %d keepers, drift %v, longest attempt %v: at least one keeper, and a term (%v) of four renewals (%v) or more are needed",
			len(s.Servers), s.ClockDrift, s.MaxAttemptTime, s.Term, s.RenewInterval)
	}
	return s, nil
}

func (l Limit) withDefaults() Limit {
	if !l.Hard {
		l.FloorShare = cmp.Or(l.FloorShare, DefaultFloorShare)
	}
	return l
}

func (l *Limit) validate() error {
	switch {
	case l.Name == "":
		return fmt.Errorf("limits: the name %q is empty or listed twice", l.Name)
	case l.Total < 1:
		return fmt.Errorf("limits: %s: total %d: at least 1 is needed", l.Name, l.Total)
	case l.FloorShare < 0 || l.FloorShare > 1 || l.Hard && l.FloorShare > 0:
		return fmt.Errorf("limits: %s: floor share %v: 0 to 1 is allowed, 0 for a hard limit", l.Name, l.FloorShare)
	}
	return nil
}

// Fingerprint identifies the settings that have to be equal at all members: a server grants leases only to clients
// with the same fingerprint.
func (s Settings) Fingerprint() uint64 {
	return fingerprint(fmt.Sprintf("%q", s.Servers), s.Term, s.MaxAttemptTime, s.ClockDrift)
}

// fingerprint identifies a limit. It leaves out the total, which may differ between members while configurations are
// being changed: each server uses its own total.
func (l *Limit) fingerprint() uint64 { return fingerprint(l.Name, l.Kind, l.Scope, l.Hard) }

func (s Settings) limitFingerprints() []uint64 {
	var all []uint64
	for i := range s.Limits {
		all = append(all, s.Limits[i].fingerprint())
	}
	return all
}

func fingerprint(values ...any) uint64 {
	h := fnv.New64a()
	for _, v := range values {
		_, _ = fmt.Fprintf(h, "%v\xff", v) // writing to a hash does not fail
	}
	return h.Sum64()
}

// ServerShare returns the share of a total that the server at a position may lease. The sum of all shares is the
// total.
func ServerShare(total, position, servers int) int {
	share := total / servers
	if position < total%servers {
		share++
	}
	return share
}
