package lease

import (
	"math"
	"time"

	"vetchhaven/decide/quota"
)

// clientTerm is how long a lease lasts at its client, from when it was requested. What counts in flight has to end by
// then.
func (s Settings) clientTerm(kind quota.Kind) time.Duration {
	if kind.IsRate() {
		return s.Term
	}
	return s.MaxAttemptTime + s.Term
}

// serverTerm is how long a lease counts as leased at its server, from when it was granted.
func (s Settings) serverTerm(kind quota.Kind) time.Duration {
	term := s.clientTerm(kind)
	if kind.IsRate() { // what began at its end counts for another window
		term += rateWindow + startWithin
	}
	return s.elapsedOnAnyClock(term)
}

// rateSpan is the time over which an agent counts what it begins, so that no true second has more than the limit, and
// within which an attempt has to be sent after that; 0: at any time.
func (s Settings) rateSpan(l *Limit) (span, sendWithin time.Duration) {
	if l.Hard {
		return s.elapsedOnAnyClock(rateWindow + startWithin), startWithin
	}
	return s.elapsedOnAnyClock(rateWindow), 0
}

// elapsedOnAnyClock returns a time by this clock within which d has elapsed by any other. The rate of each is between
// 1-ClockDrift and 1+ClockDrift of the true one.
func (s Settings) elapsedOnAnyClock(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}

// floor is what each of so many agents may use of a soft limit without a lease: amount within each span. Less than one a
// second becomes one within a longer span; less than one in flight becomes none.
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

// noExpiry is past the end of any process, and far from an overflow.
const noExpiry = 100 * 365 * 24 * time.Hour

// Floors returns what each agent may use of soft limits without leases, in a fleet of so many agents at most. They hold
// until others replace them.
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

// Bounds is what holds for a limit by its settings and the number of agents alone.
type Bounds struct {
	Total int
	// MaxLeased is the most that is leased at once, and MaxFloors the most that all agents use without leases; Max is the
	// most that is ever used: in flight at once, or begun in any second.
	MaxLeased int
	MaxFloors int
	Max       int
	// Term is the time within which a lease expires whose client cannot reach its server.
	Term time.Duration
	// Reclaim is the time after which a lease of a failed client is granted to others, at most.
	Reclaim time.Duration
	// StartupWait is how long a server grants nothing that starts, or was paused.
	StartupWait time.Duration
	// Shares are the servers' shares. One side of a partition may use those of its servers, and its floors.
	Shares []int
	// IsolatedAmount is what an agent that reaches no server may use within each IsolatedSpan.
	IsolatedAmount int
	IsolatedSpan   time.Duration
}

// Bounds returns those of a limit, with so many agents.
func (s Settings) Bounds(l Limit, agents int) Bounds {
	s, _ = s.withDefaults()
	l = l.withDefaults()
	b := Bounds{
		Total:       l.Total,
		Term:        s.clientTerm(l.Kind),
		Reclaim:     s.serverTerm(l.Kind),
		StartupWait: s.serverTerm(l.Kind),
	}
	for position := range s.Servers {
		share := ServerShare(l.Total, position, len(s.Servers))
		b.Shares = append(b.Shares, share)
		b.MaxLeased += share + l.maxOvercommit(share)
	}
	b.IsolatedAmount, b.IsolatedSpan = s.floor(&l, agents)
	b.MaxFloors = b.IsolatedAmount * agents
	b.Max = b.MaxLeased + b.MaxFloors
	return b
}

// maxOvercommit is how much more than its share of a limit a server may lease.
func (l *Limit) maxOvercommit(share int) int {
	if l.Hard {
		return 0
	}
	return int(MaxOvercommit * float64(share))
}
