// Package quota keeps an agent's book of what it may use of limits that hold for a whole fleet: how many of which
// rights it was lent, until when, and what of them is in use. It says whether there is a right; whether a request goes
// without one, and which goes first, is the decision module's.
//
// A Book belongs to one goroutine. Times are durations on the agent's own monotonic clock.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Kind says what a limit counts.
type Kind uint8

const (
	InFlight       Kind = iota // attempts that are out at once
	Requests                   // requests whose first attempt begins, in any second
	Attempts                   // attempts that begin in any second
	Retries                    // of these, those after a request's first
	NewConnections             // attempts that open a connection, in any second
	SlowStart                  // attempts that begin on a cold server, in any second
	countsEnd
)

// KindNames of what is counted, as in files.
var KindNames = []string{"in-flight", "requests", "attempts", "retries", "connections", "cold"}

func (c Kind) String() string {
	if c < countsEnd {
		return KindNames[c]
	}
	return fmt.Sprintf("counts %d", uint8(c))
}

// IsRate reports whether it counts what begins in a second, not what is out at once.
func (c Kind) IsRate() bool { return c != InFlight }

// Partition says whether a limit is one, or one for each of something.
type Partition uint8

const (
	NotPartitioned Partition = iota
	PerServer
	PerZone
	PerCell
)

// Limit is one of them, in the terms of the agent's settings.
type Limit struct {
	Name              string
	Kind              Kind
	Class, Zone, Cell int    // -1: all
	Server            string // empty: all
	Partition         Partition
}

// Demand is what an attempt would use rights for.
type Demand struct {
	Class         int
	Server        string
	Zone          int
	Cell          int
	SlowStart     bool
	FirstAttempt  bool          // its request's first attempt
	EndsBy        time.Duration // by then it is over
	ReservedShare float64       // share of what is asked for by what is worth more: so much of a right's root stays for it
}

// key is which of a limit's parts a use falls under; ok is false where it falls under none.
func (l *Limit) key(u *Demand) (key string, ok bool) {
	if l.Class >= 0 && l.Class != u.Class || l.Zone >= 0 && l.Zone != u.Zone || l.Cell >= 0 && l.Cell != u.Cell || l.Server != "" && l.Server != u.Server {
		return "", false
	}
	switch {
	case l.Kind == Requests && !u.FirstAttempt, l.Kind == Retries && u.FirstAttempt, l.Kind == SlowStart && !u.SlowStart:
		return "", false
	}
	switch l.Partition {
	case PerServer:
		return u.Server, true
	case PerZone:
		return strconv.Itoa(u.Zone), true
	case PerCell:
		return strconv.Itoa(u.Cell), true
	}
	return "", true
}

// Lease is what an agent may use of a limit by one keeper's loan. A later one of the same keeper takes its place.
type Lease struct {
	Limit       string
	Key         string // of which part, where there is one for each
	Grantor     string // who lent it; empty: the floor of a soft limit, which counts what is used by all rights
	Number      uint64 // of the loan
	Amount      int
	Expires     time.Duration // what counts in flight has to end by then, what counts by the second to begin
	Span        time.Duration // over which Amount counts, where it counts by the second
	StartWithin time.Duration // what is taken has to go out within it: Span allows for that; 0: any time
}

// Usage is how a right stands.
type Usage struct {
	Limit    string
	Key      string
	Grantor  string // empty: the floor, or what was turned away without any right
	Number   uint64 // of the last loan that was taken over
	Used     int    // in flight, or begun within the span
	Rejected int    // uses since the last report that found no right; told once for a limit and key
	Started  int    // uses since the last report that found one; told once as well
}

// Ledger is an agent's rights. The zero value limits nothing.
type Ledger struct {
	limits []Limit
	rows   map[rowKey]*Row
	order  []*Row           // in the order in which they came up
	floors map[string]Lease // by limit: of each of its parts
	asked  bool             // something was turned away, or little is left, since the last report
}

type rowKey struct{ limit, key string }

// Row is one limit, or one of its parts.
type Row struct {
	limit  Limit
	key    string
	loans  []*loan
	turned int
	begun  int
	moved  time.Duration // when it was last used or changed
}

// Name is the limit's, for people.
func (r *Row) Name() string { return r.limit.Name }

// SlowStart reports whether it is about cold servers: others may serve instead.
func (r *Row) SlowStart() bool { return r.limit.Kind == SlowStart }

type loan struct {
	keeper string
	number uint64
	amount int
	until  time.Duration
	span   time.Duration
	within time.Duration
	used   int
	recent []time.Duration // when what counts by the second began
}

// Reservation is what an attempt has of a right.
type Reservation struct {
	loan *loan
	row  *Row
	at   time.Duration
}

// SetLimits gives the limits that hold from now on. Rights of those that are as they were go on; what is in use of the
// others counts no more.
func (b *Ledger) SetLimits(limits []Limit) {
	was := b.limits
	b.limits = slices.Clone(limits)
	if b.rows == nil {
		b.rows, b.floors = map[rowKey]*Row{}, map[string]Lease{}
	}
	gone := func(r *Row) bool { return !slices.Contains(was, r.limit) || !slices.Contains(b.limits, r.limit) }
	b.order = slices.DeleteFunc(b.order, func(r *Row) bool {
		if !gone(r) {
			return false
		}
		delete(b.rows, rowKey{r.limit.Name, r.key})
		return true
	})
}

// Empty reports whether nothing is limited.
func (b *Ledger) Empty() bool { return len(b.limits) == 0 }

func (b *Ledger) row(l *Limit, key string, now time.Duration) *Row {
	k := rowKey{l.Name, key}
	r := b.rows[k]
	if r == nil {
		r = &Row{limit: *l, key: key, moved: now}
		b.rows[k] = r
		b.order = append(b.order, r)
		if f, ok := b.floors[l.Name]; ok {
			r.grant(&f, now)
		}
	}
	return r
}

func (r *Row) grant(x *Lease, now time.Duration) {
	n := slices.IndexFunc(r.loans, func(l *loan) bool { return l.keeper == x.Grantor })
	if n < 0 {
		n = len(r.loans)
		r.loans = append(r.loans, &loan{keeper: x.Grantor})
	}
	l := r.loans[n]
	l.number, l.amount, l.until, l.span, l.within, r.moved = x.Number, max(0, x.Amount), x.Expires, max(x.Span, time.Second), x.StartWithin, now
}

// SetLeases takes rights over. One for a limit that the book does not have is left out.
func (b *Ledger) SetLeases(now time.Duration, all []Lease) {
	for _, x := range all {
		at := slices.IndexFunc(b.limits, func(l Limit) bool { return l.Name == x.Limit })
		if at < 0 {
			continue
		}
		if x.Grantor == "" { // a floor is for each part
			b.floors[x.Limit] = x
			for _, r := range b.order {
				if r.limit.Name == x.Limit {
					r.grant(&x, now)
				}
			}
			continue
		}
		b.row(&b.limits[at], x.Key, now).grant(&x, now)
	}
}

// RefusedBy is the limit that stands in the way of a use now; nil: none does. What falls under no row yet has no right.
// With count set it is noted as turned away.
func (b *Ledger) RefusedBy(now time.Duration, u *Demand, count bool) *Row {
	for i := range b.limits {
		l := &b.limits[i]
		key, ok := l.key(u)
		if !ok || l.Kind == NewConnections { // that one is taken or not: see Take
			continue
		}
		r := b.row(l, key, now)
		if r.best(now, u) == nil {
			if count {
				r.turn(now)
				b.asked = true
			}
			return r
		}
	}
	return nil
}

func (r *Row) turn(now time.Duration) {
	r.turned++
	r.moved = now
}

// best is the loan with the most left, or nil.
func (r *Row) best(now time.Duration, u *Demand) *loan {
	var best *loan
	room, all, used := 0, 0, 0
	for _, l := range r.loans {
		used += l.inUse(now, r.limit.Kind)
	}
	for _, l := range r.loans {
		if now >= l.until || !r.limit.Kind.IsRate() && u.EndsBy > l.until {
			continue
		}
		free := l.amount - l.inUse(now, r.limit.Kind)
		if l.keeper == "" { // the floor: whatever is in use counts
			free = l.amount - max(used, l.inUse(now, r.limit.Kind))
		} else {
			all += l.amount
		}
		if free > room {
			best, room = l, free
		}
	}
	// What is worth less leaves a little for what is worth more, where both may come under one limit.
	if best != nil && r.limit.Class < 0 && u.ReservedShare > 0 && float64(all-used) <= u.ReservedShare*math.Sqrt(float64(all)) && best.keeper != "" {
		return nil
	}
	return best
}

func (l *loan) inUse(now time.Duration, c Kind) int {
	if !c.IsRate() {
		return l.used
	}
	n := 0
	for n < len(l.recent) && now-l.recent[n] > l.span {
		n++
	}
	l.recent = l.recent[n:]
	return len(l.recent)
}

// Reserve uses a right of each limit that a use falls under, and says until when it may begin: after that the rights are
// another's. ok is false where one is missing: then none is taken. dial is false where it may not open a connection.
func (b *Ledger) Reserve(now time.Duration, u *Demand) (all []Reservation, until time.Duration, dial, ok bool) {
	until, dial = math.MaxInt64, true
	for i := range b.limits {
		l := &b.limits[i]
		key, applies := l.key(u)
		if !applies {
			continue
		}
		r := b.row(l, key, now)
		x := r.best(now, u)
		if x == nil && l.Kind == NewConnections {
			dial = false
			continue
		}
		if x == nil {
			for _, t := range all {
				b.undo(t)
			}
			return nil, 0, false, false
		}
		r.moved = now
		if r.begun++; l.Kind.IsRate() {
			x.recent = append(x.recent, now)
		} else {
			x.used++
		}
		all, until = append(all, Reservation{x, r, now}), min(until, x.until)
		if x.within > 0 {
			until = min(until, now+x.within)
		}
		b.asked = b.asked || r.low(now)
	}
	return all, until, dial, true
}

// low reports whether so little is left that the next few uses may find none.
func (r *Row) low(now time.Duration) bool {
	all, used := 0, 0
	for _, l := range r.loans {
		if l.keeper != "" && now < l.until {
			all += l.amount
		}
		used += l.inUse(now, r.limit.Kind)
	}
	return all-used <= 1+int(math.Sqrt(float64(used))/2)
}

// undo takes back what was never used.
func (b *Ledger) undo(t Reservation) {
	if !t.row.limit.Kind.IsRate() {
		t.loan.used--
	} else if n := slices.Index(t.loan.recent, t.at); n >= 0 {
		t.loan.recent = slices.Delete(t.loan.recent, n, n+1)
	}
}

// Release gives back what an attempt had in flight, now that it is over. dialed is false where it opened no connection:
// then its right to do so was not used. noDial counts one that found none to use, and went nowhere for it.
func (b *Ledger) Release(now time.Duration, all []Reservation, dialed bool) {
	for _, t := range all {
		if !t.row.limit.Kind.IsRate() || t.row.limit.Kind == NewConnections && !dialed {
			b.undo(t)
		}
	}
}

// ConnectionRefusedBy is the limit for want of which an attempt with this use could open no connection; nil: none has one.
func (b *Ledger) ConnectionRefusedBy(now time.Duration, u *Demand) *Row {
	for i := range b.limits {
		if key, ok := b.limits[i].key(u); ok && b.limits[i].Kind == NewConnections {
			r := b.row(&b.limits[i], key, now)
			r.turn(now)
			b.asked = true
			return r
		}
	}
	return nil
}

// Active reports whether, since the last report, something was turned away, or little was left.
func (b *Ledger) Active() bool { return b.asked }

// rowAge is how long a row is kept that nobody uses.
const rowAge = time.Minute

// Usages is how all rights stand. What was turned away is told once.
func (b *Ledger) Usages(now time.Duration) []Usage {
	b.asked = false
	b.order = slices.DeleteFunc(b.order, func(r *Row) bool {
		old := now-r.moved > rowAge && r.key != "" && !slices.ContainsFunc(r.loans, func(l *loan) bool { return l.inUse(now, r.limit.Kind) > 0 || now < l.until && l.amount > 0 })
		if old {
			delete(b.rows, rowKey{r.limit.Name, r.key})
		}
		return old
	})
	var all []Usage
	for _, r := range b.order {
		turned, begun := r.turned, r.begun
		r.turned, r.begun = 0, 0
		for _, l := range r.loans {
			all = append(all, Usage{r.limit.Name, r.key, l.keeper, l.number, l.inUse(now, r.limit.Kind), turned, begun})
			turned, begun = 0, 0
		}
		if turned > 0 {
			all = append(all, Usage{Limit: r.limit.Name, Key: r.key, Rejected: turned})
		}
	}
	slices.SortStableFunc(all, func(a, b Usage) int { return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Key, b.Key)) })
	return all
}
