// Package lease shares out limits that hold for a whole fleet: the sum over all agents of what they have in flight,
// or begin in a second, of a class, at a server, in a zone or in all. It decides only: messages, time and what the
// daemon's agents use come in; messages and rights go out. No clock, socket, goroutine or chance.
//
// A limit is parted among a few keepers, members that the file names. A keeper (keeper.go) lends its part to holders
// (holder.go), which are all members, for a term; a holder uses a right until its term is over, by its own clock from
// the moment at which it asked. The keeper counts it as lent until the term is over by its own clock, from the later
// moment at which it answered, and a little more, by which rates of clocks may differ. So a right is never held
// twice, whatever links, crashes, pauses and restarts do; the one assumption is that rates of clocks differ by at
// most Settings.Drift. A keeper that starts, or was paused, knows nothing of what another life may have lent: it
// lends nothing until all of that has lapsed. Nothing is kept on disk, so that no disk can be lost or restored.
//
// docs/design/shared-limits.md weighs this against leases from one leader, escrow, quorums and static shares.
package lease

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"vetchhaven/decide/quota"
)

// Limit is one of them, as all members' files have it.
type Limit struct {
	quota.Limit         // what it counts, in the terms of this daemon's settings
	Scope       string  // the same in words that all daemons share
	Total       int     // at least 1
	Hard        bool    // else each agent may use its part of Floor besides, whatever becomes of rights
	FloorShare  float64 // of a soft limit: the share that is divided by head count besides; default Floor
}

// Settings are fixed for the life of a Keeper or Holder.
type Settings struct {
	Limits         []Limit
	Servers        []string      // names, in the same order in all files
	Term           time.Duration // of a right; default Term
	MaxAttemptTime time.Duration // of an attempt, from its begin: what counts in flight is lent for so much longer
	RenewInterval  time.Duration // a busy holder asks each keeper so often; default Renew
	ClockDrift     float64       // by which rates of clocks may differ; default Drift
}

// Defaults, each with where it comes from.
const (
	DefaultTerm          = 3 * time.Second        // longer than a pause that is no crash; shorter than an operator notices
	DefaultRenewInterval = 250 * time.Millisecond // a shift of demand is followed in a few of these and a second
	DefaultClockDrift    = 0.01                   // crystals differ by under 0.0002; the rest is for clocks that are being slewed
	DefaultFloorShare    = 0.25
	// MaxOvercommit is how much of a soft limit is lent beyond its figure at the most, so that each holder has a little more
	// than it uses: they do not all need it at once.
	MaxOvercommit = 0.25

	span = time.Second // over which rates are counted

	// within is how late what counts towards a hard limit by the second may go out after it was decided: a process
	// that is stopped in between would else send then what counted before. It is an open connection's time, and a bit.
	within = 50 * time.Millisecond
)

func (s Settings) withDefaults() (Settings, error) {
	s.Term, s.ClockDrift, s.RenewInterval = cmp.Or(s.Term, DefaultTerm), cmp.Or(s.ClockDrift, DefaultClockDrift), cmp.Or(s.RenewInterval, DefaultRenewInterval)
	names := map[string]bool{}
	all := make([]Limit, len(s.Limits))
	for i, l := range s.Limits {
		if !l.Hard {
			l.FloorShare = cmp.Or(l.FloorShare, DefaultFloorShare)
		}
		all[i] = l
		switch {
		case l.Name == "" || names[l.Name]:
			return s, fmt.Errorf("limits: %q is empty or there twice", l.Name)
		case l.Total < 1:
			return s, fmt.Errorf("limits: %s: %d: at least 1 is needed", l.Name, l.Total)
		case l.FloorShare < 0 || l.FloorShare > 1 || l.Hard && l.FloorShare > 0:
			return s, fmt.Errorf("limits: %s: a floor of %v: a share, and of a soft limit", l.Name, l.FloorShare)
		}
		names[l.Name] = true
	}
	s.Limits = all
	if len(s.Servers) == 0 || s.ClockDrift < 0 || s.ClockDrift > 0.5 || s.MaxAttemptTime < 0 || s.RenewInterval <= 0 || s.Term < 4*s.RenewInterval {
		return s, fmt.Errorf("limits: %d keepers, drift %v, longest %v: at least one keeper, and a term (%v) of four renewals (%v) or more are needed",
			len(s.Servers), s.ClockDrift, s.MaxAttemptTime, s.Term, s.RenewInterval)
	}
	return s, nil
}

// Fingerprint is of what all must have alike: a keeper lends only to holders with the same.
func (s Settings) Fingerprint() uint64 {
	return sumOf(fmt.Sprintf("%q", s.Servers), s.Term, s.MaxAttemptTime, s.ClockDrift)
}

// print is of one limit. Its figure may differ while files are being changed: each keeper goes by its own.
func (l *Limit) print() uint64 { return sumOf(l.Name, l.Kind, l.Scope, l.Hard) }

func sumOf(all ...any) uint64 {
	h := fnv.New64a()
	for _, x := range all {
		_, _ = fmt.Fprintf(h, "%v\xff", x) // a hash takes all
	}
	return h.Sum64()
}

// GrantorShare is what one keeper has to lend of a figure: whole, and all parts together are the figure.
func GrantorShare(figure, keeper, keepers int) int {
	part := figure / keepers
	if keeper < figure%keepers {
		part++
	}
	return part
}

// term is how long a right lasts, from when it was asked for. What counts in flight has to end by then.
func (s Settings) term(c quota.Kind) time.Duration {
	if c.IsRate() {
		return s.Term
	}
	return s.MaxAttemptTime + s.Term
}

// lent is how long a right counts as lent at its keeper, from when it answered.
func (s Settings) lent(c quota.Kind) time.Duration {
	d := s.term(c)
	if c.IsRate() { // what was begun at its end still counts for a second
		d += span + within
	}
	return s.surely(d)
}

// window is over which an agent counts what it begins, so that no second of it has more, and within how long after
// that it has to go out.
func (s Settings) window(l *Limit) (over, goes time.Duration) {
	if l.Hard {
		return s.surely(span + within), within
	}
	return s.surely(span), 0
}

// surely is a time by this clock in which a time d has passed by any other: each goes between 1-Drift and 1+Drift of
// the true rate.
func (s Settings) surely(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + s.ClockDrift) / (1 - s.ClockDrift)))
}

// floor is what each of so many agents may use of a soft limit whatever becomes of rights: amount in each span. An
// agent's part of less than one a second is one in a longer span; of less than one in flight it is none.
func (s Settings) floor(l *Limit, agents int) (amount int, over time.Duration) {
	each := l.FloorShare * float64(l.Total) / float64(max(1, agents))
	over, _ = s.window(l)
	if l.Hard || each <= 0 {
		return 0, over
	}
	if each < 1 && l.Kind.IsRate() {
		return 1, time.Duration(float64(over) / each)
	}
	return int(each), over
}

// Floors are the rights that an agent has of soft limits whatever becomes of keepers, in a fleet of so many agents at
// the most. They hold until the next ones.
func (s Settings) Floors(agents int) []quota.Lease {
	s, _ = s.withDefaults()
	var all []quota.Lease
	for i := range s.Limits {
		if l := &s.Limits[i]; !l.Hard {
			amount, over := s.floor(l, agents)
			all = append(all, quota.Lease{Limit: l.Name, Amount: amount, Expires: forEver, Span: over})
		}
	}
	return all
}

// forEver is past the end of any process, and no overflow away.
const forEver = 100 * 365 * 24 * time.Hour

// Bounds is what can be said of a limit, from its settings and the number of agents alone.
type Bounds struct {
	Total          int
	MaxLeased      int           // the most that is lent at once
	MaxFloors      int           // the most that agents use besides, if each is without rights: of a hard limit none
	Max            int           // ever used: in flight at once, or begun in any second
	Term           time.Duration // a right that is cut off from its keeper lapses within it
	Reclaim        time.Duration // what a holder had is lent to others after so long, at the most, once it is cut off or dead
	StartupWait    time.Duration // a keeper that starts, or was paused, lends nothing for so long
	Shares         []int         // by keeper: a side of a cut may use the parts of the keepers on it, and its floors
	IsolatedAmount int           // what an agent may use that no keeper reaches
	IsolatedSpan   time.Duration // in each such span
}

// Bounds is a limit's, with so many agents.
func (s Settings) Bounds(l Limit, agents int) Bounds {
	s, _ = s.withDefaults()
	if !l.Hard {
		l.FloorShare = cmp.Or(l.FloorShare, DefaultFloorShare)
	}
	b := Bounds{Total: l.Total, Term: s.term(l.Kind), Reclaim: s.lent(l.Kind), StartupWait: s.lent(l.Kind)}
	for k := range s.Servers {
		part := GrantorShare(l.Total, k, len(s.Servers))
		b.Shares = append(b.Shares, part)
		b.MaxLeased += part + l.slack(part)
	}
	b.IsolatedAmount, b.IsolatedSpan = s.floor(&l, agents)
	b.MaxFloors = b.IsolatedAmount * agents
	b.Max = b.MaxLeased + b.MaxFloors
	return b
}

// slack is what a keeper of so much of a soft limit lends besides.
func (l *Limit) slack(part int) int {
	if l.Hard {
		return 0
	}
	return int(MaxOvercommit * float64(part))
}
