package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxIdleRow is how long a part of a partitioned limit is kept that nobody uses. Larger costs memory; smaller forgets
	// leases that may be used again.
	maxIdleRow = time.Minute
	// minSpan is the shortest time over which rates are counted, whatever a lease says.
	minSpan = time.Second
)

// Ledger holds an agent's leases. The zero value limits nothing.
type Ledger struct {
	limits []Limit
	rows   map[rowKey]*Row
	order  []*Row           // in the order in which they were first used
	floors map[string]Lease // by limit; each part of it has one
	active bool             // something was rejected, or little is left, since the last report
}

type rowKey struct{ limit, part string }

// Row is one limit, or one part of it.
type Row struct {
	limit     Limit
	key       string
	leases    []*heldLease
	rejected  int           // demands since the last report
	started   int           // demands since the last report
	changedAt time.Duration // it was last used or granted
}

// Name returns the limit's name.
func (r *Row) Name() string { return r.limit.Name }

// SlowStart reports whether the limit is about servers in slow start: others may serve instead.
func (r *Row) SlowStart() bool { return r.limit.Kind == SlowStart }

// heldLease is the lease of one grantor, and what of it is in use.
type heldLease struct {
	grantor     string
	number      uint64
	amount      int
	expires     time.Duration
	span        time.Duration
	startWithin time.Duration
	used        int             // in flight
	started     []time.Duration // within the span, of rates
}

// Reservation is one use of a lease by an attempt.
type Reservation struct {
	lease *heldLease
	row   *Row
	at    time.Duration
}

// Reserved is what an attempt has reserved of all limits that apply to it.
type Reserved struct {
	Reservations []Reservation
	// StartBy is when the attempt has to have started: after that the leases may be another's. math.MaxInt64: at any time.
	StartBy time.Duration
	// MayConnect is false where no lease allows the attempt to open a connection.
	MayConnect bool
}

// SetLimits replaces the limits. Leases of unchanged ones go on; what is in use of the others does not count any more.
func (lg *Ledger) SetLimits(limits []Limit) {
	previous := lg.limits
	lg.limits = slices.Clone(limits)
	if lg.rows == nil {
		lg.rows = map[rowKey]*Row{}
		lg.floors = map[string]Lease{}
	}
	lg.order = slices.DeleteFunc(lg.order, func(r *Row) bool {
		unchanged := slices.Contains(previous, r.limit) && slices.Contains(lg.limits, r.limit)
		if !unchanged {
			delete(lg.rows, rowKey{r.limit.Name, r.key})
		}
		return !unchanged
	})
}

// Empty reports whether nothing is limited.
func (lg *Ledger) Empty() bool { return len(lg.limits) == 0 }

// rowFor returns the row of a part of a limit, new if there is none.
func (lg *Ledger) rowFor(l *Limit, part string, now time.Duration) *Row {
	key := rowKey{l.Name, part}
	r := lg.rows[key]
	if r != nil {
		return r
	}
	r = &Row{limit: *l, key: part, changedAt: now}
	lg.rows[key] = r
	lg.order = append(lg.order, r)
	if floor, ok := lg.floors[l.Name]; ok {
		r.grant(&floor, now)
	}
	return r
}

// grant replaces the lease of the same grantor.
func (r *Row) grant(lease *Lease, now time.Duration) {
	n := slices.IndexFunc(r.leases, func(l *heldLease) bool { return l.grantor == lease.Grantor })
	if n < 0 {
		n = len(r.leases)
		r.leases = append(r.leases, &heldLease{grantor: lease.Grantor})
	}
	l := r.leases[n]
	l.number = lease.Number
	l.amount = max(0, lease.Amount)
	l.expires = lease.Expires
	l.span = max(lease.Span, minSpan)
	l.startWithin = lease.StartWithin
	r.changedAt = now
}

// SetLeases adopts leases. One of an unknown limit is ignored.
func (lg *Ledger) SetLeases(now time.Duration, leases []Lease) {
	for _, lease := range leases {
		at := slices.IndexFunc(lg.limits, func(l Limit) bool { return l.Name == lease.Limit })
		switch {
		case at < 0:
		case lease.Grantor == "":
			lg.setFloor(now, lease)
		default:
			lg.rowFor(&lg.limits[at], lease.Key, now).grant(&lease, now)
		}
	}
}

// setFloor adopts a floor for each part of its limit.
func (lg *Ledger) setFloor(now time.Duration, floor Lease) {
	lg.floors[floor.Limit] = floor
	for _, r := range lg.order {
		if r.limit.Name == floor.Limit {
			r.grant(&floor, now)
		}
	}
}

// RefusedBy returns the first limit that does not allow a demand now; nil: all do. Limits on new connections are left to
// Reserve.
func (lg *Ledger) RefusedBy(now time.Duration, d *Demand) *Row {
	for i := range lg.limits {
		l := &lg.limits[i]
		part, applies := l.partKey(d)
		if !applies || l.Kind == NewConnections {
			continue
		}
		if r := lg.rowFor(l, part, now); r.bestLease(now, d) == nil {
			return r
		}
	}
	return nil
}

// CountRejection counts a demand that was rejected for want of a lease, so that more of it is requested.
func (lg *Ledger) CountRejection(now time.Duration, r *Row) {
	r.rejected++
	r.changedAt = now
	lg.active = true
}

// bestLease returns the lease with the largest amount available for a demand; nil: none has anything.
func (r *Row) bestLease(now time.Duration, d *Demand) *heldLease {
	used := r.inUse(now)
	var largest *heldLease
	available, leased := 0, 0
	for _, l := range r.leases {
		if now >= l.expires || !r.limit.Kind.IsRate() && d.EndsBy > l.expires {
			continue
		}
		inUse := l.inUse(now, r.limit.Kind)
		if l.grantor == "" { // the floor counts what is used by all leases
			inUse = max(used, inUse)
		} else {
			leased += l.amount
		}
		if l.amount-inUse > available {
			largest = l
			available = l.amount - inUse
		}
	}
	if largest != nil && largest.grantor != "" && r.isReserved(d, leased, used) {
		return nil
	}
	return largest
}

// isReserved reports whether the little that is left is reserved for more important demands, where these may come under
// the same limit.
func (r *Row) isReserved(d *Demand, leased, used int) bool {
	return r.limit.Class < 0 && d.ReservedShare > 0 && float64(leased-used) <= d.ReservedShare*math.Sqrt(float64(leased))
}

// inUse returns what is in use of all leases.
func (r *Row) inUse(now time.Duration) int {
	used := 0
	for _, l := range r.leases {
		used += l.inUse(now, r.limit.Kind)
	}
	return used
}

func (l *heldLease) inUse(now time.Duration, kind Kind) int {
	if !kind.IsRate() {
		return l.used
	}
	expired := 0
	for expired < len(l.started) && now-l.started[expired] > l.span {
		expired++
	}
	l.started = l.started[expired:]
	return len(l.started)
}

// Reserve uses a lease of each limit that applies to a demand. It reports false, and uses none, where one has nothing
// left; but for limits on new connections, see Reserved.MayConnect.
func (lg *Ledger) Reserve(now time.Duration, d *Demand) (Reserved, bool) {
	reservations := make([]Reservation, 0, len(lg.limits))
	startBy := time.Duration(math.MaxInt64)
	mayConnect := true
	for i := range lg.limits {
		l := &lg.limits[i]
		part, applies := l.partKey(d)
		if !applies {
			continue
		}
		r := lg.rowFor(l, part, now)
		lease := r.bestLease(now, d)
		switch {
		case lease != nil:
			reservations = append(reservations, r.use(now, lease))
			startBy = min(startBy, lease.startBy(now))
			lg.active = lg.active || r.isLow(now)
		case l.Kind == NewConnections:
			mayConnect = false
		default:
			for _, reservation := range reservations {
				reservation.undo()
			}
			return Reserved{}, false
		}
	}
	return Reserved{reservations, startBy, mayConnect}, true
}

// startBy is when an attempt that uses the lease now has to have started.
func (l *heldLease) startBy(now time.Duration) time.Duration {
	if l.startWithin > 0 {
		return min(l.expires, now+l.startWithin)
	}
	return l.expires
}

// use uses one of a lease.
func (r *Row) use(now time.Duration, lease *heldLease) Reservation {
	r.changedAt = now
	r.started++
	if r.limit.Kind.IsRate() {
		lease.started = append(lease.started, now)
	} else {
		lease.used++
	}
	return Reservation{lease, r, now}
}

// undo returns what was never used.
func (r Reservation) undo() {
	if !r.row.limit.Kind.IsRate() {
		r.lease.used--
		return
	}
	if n := slices.Index(r.lease.started, r.at); n >= 0 {
		r.lease.started = slices.Delete(r.lease.started, n, n+1)
	}
}

// isLow reports whether so little is left that the next few demands may find nothing.
func (r *Row) isLow(now time.Duration) bool {
	leased := 0
	for _, l := range r.leases {
		if l.grantor != "" && now < l.expires {
			leased += l.amount
		}
	}
	used := r.inUse(now)
	return leased-used <= 1+int(math.Sqrt(float64(used))/2)
}

// Release returns what an attempt had in flight, now that it is over. connected is false where it opened no connection:
// it did not use its lease to do so.
func (lg *Ledger) Release(reservations []Reservation, connected bool) {
	for _, r := range reservations {
		kind := r.row.limit.Kind
		if !kind.IsRate() || kind == NewConnections && !connected {
			r.undo()
		}
	}
}

// ConnectionRefusedBy returns the limit for want of which an attempt with this demand could open no connection, and
// counts the rejection; nil: there is none.
func (lg *Ledger) ConnectionRefusedBy(now time.Duration, d *Demand) *Row {
	for i := range lg.limits {
		l := &lg.limits[i]
		if part, applies := l.partKey(d); applies && l.Kind == NewConnections {
			r := lg.rowFor(l, part, now)
			lg.CountRejection(now, r)
			return r
		}
	}
	return nil
}

// Active reports whether something was rejected, or little was left, since the last report.
func (lg *Ledger) Active() bool { return lg.active }

// Usages returns the state of all leases, by limit and key, for a report. It resets what was counted since the last one,
// and forgets parts that nobody uses.
func (lg *Ledger) Usages(now time.Duration) []Usage {
	lg.active = false
	lg.order = slices.DeleteFunc(lg.order, func(r *Row) bool {
		idle := r.isIdle(now)
		if idle {
			delete(lg.rows, rowKey{r.limit.Name, r.key})
		}
		return idle
	})
	var all []Usage
	for _, r := range lg.order {
		all = r.appendUsages(all, now)
	}
	slices.SortStableFunc(all, func(a, b Usage) int { return cmp.Or(cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Key, b.Key)) })
	return all
}

// isIdle reports whether a part of a limit has neither been used nor granted for long, and has no lease.
func (r *Row) isIdle(now time.Duration) bool {
	if now-r.changedAt <= maxIdleRow || r.key == "" {
		return false
	}
	return !slices.ContainsFunc(r.leases, func(l *heldLease) bool {
		return l.inUse(now, r.limit.Kind) > 0 || now < l.expires && l.amount > 0
	})
}

// appendUsages appends the state of the row's leases. What was counted since the last report goes with the first of them.
func (r *Row) appendUsages(all []Usage, now time.Duration) []Usage {
	counted := Usage{Limit: r.limit.Name, Key: r.key, Rejected: r.rejected, Started: r.started}
	r.rejected = 0
	r.started = 0
	if len(r.leases) == 0 && counted.Rejected > 0 {
		counted.Started = 0
		return append(all, counted)
	}
	for _, l := range r.leases {
		u := counted
		u.Grantor = l.grantor
		u.Number = l.number
		u.Used = l.inUse(now, r.limit.Kind)
		all = append(all, u)
		counted.Rejected = 0
		counted.Started = 0
	}
	return all
}
