// Package lease divides limits that hold for a whole fleet by leases (Gray & Cheriton 1989): the sum over all agents of
// what they have in flight, or begin in a second, of a class, at a server, in a zone or in all.
//
// A limit is divided among a few lease servers, members that the configuration names. A Server (server.go) leases its
// share, for a term, to clients, which are all members; a Client (client.go) requests leases for the agents of its
// daemon. A client uses a lease until its term is over by its own clock, from the moment at which it requested it; the
// server counts it as leased until the term is over by the server's clock, from the later moment at which it granted it,
// and longer by the difference that the rates of two clocks may have. So nothing is leased twice, whatever links,
// crashes, pauses and restarts do; the one assumption is Settings.ClockDrift. A server that starts, or was paused, does
// not know what another process in its place may have granted: it grants nothing until all of that has expired. The share
// of a server that fails is not taken over by the others: the limit shrinks by it until that server is back and has waited.
// Nothing is kept on disk.
//
// Ownership: each Client and each Server holds its state in memory, and one goroutine calls it (the transport's loop, or
// a simulation). The package has no clock, socket, goroutine, global or randomness: messages, the time and the agents'
// reports go in, messages and leases come out. The agents' side of a lease, the ledger, is package decide/quota.
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

// Limit is one limit, as all members' configurations have it.
type Limit struct {
	quota.Limit        // what it counts, in terms of this daemon's settings
	Scope       string // the same in words that all daemons share
	Total       int    // at least 1: in flight at once, or begun in any second
	// Hard limits are never exceeded. Of a soft limit each agent may use its part of FloorShare without a lease; that part
	// counts all that the agent uses, and the sum of all parts comes on top of Total, see Bounds.Max.
	Hard bool
	// FloorShare is the share of a soft limit that is divided by head count, 0 to 1; 0 takes DefaultFloorShare.
	FloorShare float64
}

// Settings are fixed for the life of a Server or Client. Zero values take the defaults below.
type Settings struct {
	Limits  []Limit
	Servers []string // names of the lease servers (keepers, in the configuration), in the same order everywhere; at least one
	// Term is how long a lease of a rate lasts.
	Term time.Duration
	// MaxAttemptTime is the longest time of an attempt. What counts in flight is leased for so much longer.
	MaxAttemptTime time.Duration
	// RenewInterval is the time between two requests of a busy client to a server; a quarter of Term at most.
	RenewInterval time.Duration
	// ClockDrift is how far the rate of any clock may be from the true one, 0 to 0.5.
	ClockDrift float64
}

const (
	// DefaultTerm is longer than a pause that is no crash, and shorter than an operator notices. Larger rides out longer
	// pauses, and returns the leases of failed clients later.
	DefaultTerm = 3 * time.Second
	// DefaultRenewInterval lets a shift of demand be followed in a few of these and a second. Smaller follows faster and
	// costs messages in proportion.
	DefaultRenewInterval = 250 * time.Millisecond
	// DefaultClockDrift is far beyond crystals (0.0002), and covers clocks that are being slewed. Larger wastes more of a
	// limit between a lease's end at the client and at the server.
	DefaultClockDrift = 0.01
	// DefaultFloorShare is what agents keep that reach no server. Larger lets more pass a soft limit at worst.
	DefaultFloorShare = 0.25
	// MaxOvercommit is how much of its share of a soft limit a server leases beyond it at most, so that each client may
	// have a little more than it uses: they do not all need it at once.
	MaxOvercommit = 0.25

	// rateWindow is the time over which rates are counted.
	rateWindow = time.Second
	// startWithin is how late an attempt that counts towards a hard limit of a rate may be sent after it was counted: a
	// process that is stopped in between would send then what counted before. It is the time that an open connection
	// takes, and a little. Larger wastes more of the limit, smaller refuses attempts on busy machines.
	startWithin = 50 * time.Millisecond

	// maxClockDrift keeps the conversion of times between two clocks finite.
	maxClockDrift = 0.5
	// minRenewalsPerTerm is how many renewals have to fit into a term, so that losing a few does not end a lease.
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
			return s, fmt.Errorf("limits: %q is empty or there twice", l.Name)
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
		return s, fmt.Errorf("limits: %d keepers, drift %v, longest %v: at least one keeper, and a term (%v) of four renewals (%v) or more are needed",
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
		return fmt.Errorf("limits: %q is empty or there twice", l.Name)
	case l.Total < 1:
		return fmt.Errorf("limits: %s: %d: at least 1 is needed", l.Name, l.Total)
	case l.FloorShare < 0 || l.FloorShare > 1 || l.Hard && l.FloorShare > 0:
		return fmt.Errorf("limits: %s: a floor of %v: a share, and of a soft limit", l.Name, l.FloorShare)
	}
	return nil
}

// Fingerprint identifies the settings that all members have to have alike: a server grants leases only to clients with
// the same.
func (s Settings) Fingerprint() uint64 {
	return fingerprint(fmt.Sprintf("%q", s.Servers), s.Term, s.MaxAttemptTime, s.ClockDrift)
}

// fingerprint identifies a limit. Its total may differ while configurations are being changed: each server goes by its
// own.
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

// ServerShare returns the share of a total that the server of a position has to lease. All shares together are the total.
func ServerShare(total, position, servers int) int {
	share := total / servers
	if position < total%servers {
		share++
	}
	return share
}
