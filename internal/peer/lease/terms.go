package lease

import (
	"math"
	"time"

	"vetchhaven/decide/quota"
)

// clientTerm returns the duration of a lease at its client, counted from the request. Attempts that count in flight
// have to end by then.
func (s Settings) clientTerm(kind quota.Kind) time.Duration {
	if kind.IsRate() {
		return s.Term
	}
	return s.MaxAttemptTime + s.Term
}

// serverTerm returns the duration for which an amount counts as leased at its server, counted from the grant.
func (s Settings) serverTerm(kind quota.Kind) time.Duration {
	term := s.clientTerm(kind)
	if kind.IsRate() { // attempts that begin at the end of the lease count for another window
		term += rateWindow + startWithin
	}
	return s.elapsedOnAnyClock(term)
}

// rateSpan returns the time over which an agent counts the attempts that it begins, such that no true second has more
// of them than the limit. It also returns the time within which an attempt has to be sent after it was counted; 0
// means that there is no such bound.
func (s Settings) rateSpan(l *Limit) (span, sendWithin time.Duration) {
	if l.Hard {
		return s.elapsedOnAnyClock(rateWindow + startWithin), startWithin
	}
	return s.elapsedOnAnyClock(rateWindow), 0
}

// elapsedOnAnyClock returns a duration by this clock during which at least d elapses by any other clock. The rate of
// each clock is between 1-ClockDrift and 1+ClockDrift times the true rate.
func (s Settings) elapsedOnAnyClock(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}

// floor returns the amount of a soft limit that each of a number of agents may use within each span without a lease.
// For a rate, an amount below one is returned as one within a proportionally longer span. For attempts in flight, an
// amount below one is returned as 0.
func (s Settings) floor(l *Limit, agents int) (amount int, span time.Duration) {
	perAgent := l.FloorShare * float64(l.Total) / float64(max(1, agents))
	span, _ = s.rateSpan(l)
	if l.Hard || perAgent <= 0 {
		return 0, span
	}
	if perAgent < 1 && l.Kind.IsRate() {
		return 1, time.Duration(float64(span) / perAgent)
	}
	return int(perAgent), span
}

// noExpiry is later than the end of any process, and far from an overflow.
const noExpiry = 100 * 365 * 24 * time.Hour

// Floors returns the amounts of soft limits that each agent may use without leases, in a fleet of at most this many
// agents. They are valid until other floors replace them.
func (s Settings) Floors(agents int) []quota.Lease {
	s, _ = s.withDefaults()
	var all []quota.Lease
	for i := range s.Limits {
		l := &s.Limits[i]
		if l.Hard {
			continue
		}
		amount, span := s.floor(l, agents)
		all = append(all, quota.Lease{Limit: l.Name, Amount: amount, Expires: noExpiry, Span: span})
	}
	return all
}

// Bounds contains the bounds of a limit, which depend only on the settings and the number of agents.
type Bounds struct {
	Total int
	// MaxLeased is the largest amount that is leased at once, and MaxFloors the largest amount that all agents use
	// without leases. MaxUsed is the largest amount that is ever used: in flight at once, or begun in any second.
	MaxLeased int
	MaxFloors int
	MaxUsed   int
	// Term is the time within which a lease expires if its client can't reach its server.
	Term time.Duration
	// ReclaimTime is the longest time until the lease of a failed client can be granted to others.
	ReclaimTime time.Duration
	// StartupWait is the time for which a server that starts, or was paused, grants no leases.
	StartupWait time.Duration
	// Shares are the servers' shares. One side of a network partition may use the shares of the servers on that side, and
	// the floors of its agents.
	Shares []int
	// IsolatedAmount is the amount that an agent that reaches no server may use within each IsolatedSpan.
	IsolatedAmount int
	IsolatedSpan   time.Duration
}

// Bounds returns the bounds of a limit in a fleet with this many agents.
func (s Settings) Bounds(l Limit, agents int) Bounds {
	s, _ = s.withDefaults()
	l = l.withDefaults()
	b := Bounds{
		Total:       l.Total,
		Term:        s.clientTerm(l.Kind),
		ReclaimTime: s.serverTerm(l.Kind),
		StartupWait: s.serverTerm(l.Kind),
	}
	for position := range s.Servers {
		share := ServerShare(l.Total, position, len(s.Servers))
		b.Shares = append(b.Shares, share)
		b.MaxLeased += share + l.maxOvercommit(share)
	}
	b.IsolatedAmount, b.IsolatedSpan = s.floor(&l, agents)
	b.MaxFloors = b.IsolatedAmount * agents
	b.MaxUsed = b.MaxLeased + b.MaxFloors
	return b
}

// maxOvercommit returns the largest amount that a server may lease beyond its share of a limit.
func (l *Limit) maxOvercommit(share int) int {
	if l.Hard {
		return 0
	}
	return int(MaxOvercommit * float64(share))
}
