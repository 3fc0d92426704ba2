package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// idleRowTimeout is how long an unused part of a partitioned limit is kept. A larger value needs more memory; a
	// smaller one drops leases that may be used again.
	idleRowTimeout = time.Minute
	// minSpan is the shortest time over which rates are counted, even if a lease has a shorter span.
	minSpan = time.Second
)

// Ledger holds an agent's leases. The zero value has no limits.
type Ledger struct {
	limits []Limit
	rows   map[rowKey]*Row
	order  []*Row           // in the order of first use
	floors map[string]Lease // by limit; each part of the limit has this floor
	active bool             // since the last report a demand was rejected, or a lease was nearly used up
}

type rowKey struct{ limit, part string }

// Row is the state of one limit, or of one part of it.
type Row struct {
	limit     Limit
	key       string
	leases    []*heldLease
	rejected  int           // demands that were rejected since the last report
	started   int           // demands that reserved a lease since the last report
	changedAt time.Duration // time of the last use or grant
}

// Name returns the limit's name.
func (r *Row) Name() string { return r.limit.Name }

// SlowStart reports whether the limit counts attempts at servers in slow start. Servers that are warm may serve a
// request instead.
func (r *Row) SlowStart() bool { return r.limit.Kind == SlowStart }

// heldLease is the lease of one grantor, with its current use.
type heldLease struct {
	grantor     string
	number      uint64
	amount      int
	expires     time.Duration
	span        time.Duration
	startWithin time.Duration
	used        int             // in flight
	started     []time.Duration // for rates: starts within the span
}

// Reservation is one use of a lease by an attempt.
type Reservation struct {
	lease *heldLease
	row   *Row
	at    time.Duration
}

// Reserved holds the reservations of an attempt under all limits that apply to it.
type Reserved struct {
	Reservations []Reservation
	// StartBy is the time by which the attempt must have started, because the leases may be granted to another agent
	// after that. math.MaxInt64: no bound.
	StartBy time.Duration
	// MayConnect is false if a limit on new connections applies and no lease allows the attempt to open one.
	MayConnect bool
}

// SetLimits replaces the limits. The leases of unchanged limits stay valid; use of the other limits is no longer
// counted.
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

// Empty reports whether there are no limits.
func (lg *Ledger) Empty() bool { return len(lg.limits) == 0 }

// rowFor returns the row of a part of a limit, and creates it if necessary.
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

// grant adopts a lease, which replaces the lease of the same grantor.
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

// SetLeases adopts leases. A lease of an unknown limit is ignored.
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

// setFloor adopts the floor of a limit for each part of it.
func (lg *Ledger) setFloor(now time.Duration, floor Lease) {
	lg.floors[floor.Limit] = floor
	for _, r := range lg.order {
		if r.limit.Name == floor.Limit {
			r.grant(&floor, now)
		}
	}
}

// RefusedBy returns the first limit that does not allow a demand now, or nil if all do. Limits on new connections are
// checked only by Reserve.
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

// CountRejection counts a demand that was rejected for lack of a lease. It is part of the next report, so that the
// agent requests more.
func (lg *Ledger) CountRejection(now time.Duration, r *Row) {
	r.rejected++
	r.changedAt = now
	lg.active = true
}

// bestLease returns the lease with the largest unused amount that a demand may use, or nil if there is no such lease.
func (r *Row) bestLease(now time.Duration, d *Demand) *heldLease {
	used := r.inUse(now)
	var largest *heldLease
	available, leased := 0, 0
	for _, l := range r.leases {
		if now >= l.expires || !r.limit.Kind.IsRate() && d.EndsBy > l.expires {
			continue
		}
		inUse := l.inUse(now, r.limit.Kind)
		if l.grantor == "" { // l is the floor, against which the use of all leases counts
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

// isReserved reports whether the unused amount is reserved for more important demands. Nothing is reserved under a
// limit for one class, because more important demands do not use it.
func (r *Row) isReserved(d *Demand, leased, used int) bool {
	return r.limit.Class < 0 && d.ReservedShare > 0 && float64(leased-used) <= d.ReservedShare*math.Sqrt(float64(leased))
}

// inUse returns the total use of all leases.
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

// Reserve uses one unit of a lease of each limit that applies to a demand. If there is no usable lease of one of the
// limits, it reports false and uses none. Limits on new connections are the exception: see Reserved.MayConnect.
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

// startBy returns the time by which an attempt that uses the lease now must have started.
func (l *heldLease) startBy(now time.Duration) time.Duration {
	if l.startWithin > 0 {
		return min(l.expires, now+l.startWithin)
	}
	return l.expires
}

// use takes one unit of a lease.
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

// undo returns a reservation that was not used.
func (r Reservation) undo() {
	if !r.row.limit.Kind.IsRate() {
		r.lease.used--
		return
	}
	if n := slices.Index(r.lease.started, r.at); n >= 0 {
		r.lease.started = slices.Delete(r.lease.started, n, n+1)
	}
}

// isLow reports whether the unused amount of the row's leases is so small that one of the next few demands may be
// rejected.
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

// Release returns the reservations of an attempt that has ended under limits on attempts in flight. If the attempt
// opened no connection (connected is false), its reservation of a new connection is returned too.
func (lg *Ledger) Release(reservations []Reservation, connected bool) {
	for _, r := range reservations {
		kind := r.row.limit.Kind
		if !kind.IsRate() || kind == NewConnections && !connected {
			r.undo()
		}
	}
}

// CountConnectionRejection returns the first limit on new connections that applies to a demand, or nil if none does, and
// counts a rejection under it. It is called for an attempt that was not allowed to open a connection.
func (lg *Ledger) CountConnectionRejection(now time.Duration, d *Demand) *Row {
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

// NeedsReport reports whether a demand was rejected, or a lease was nearly used up, since the last report.
func (lg *Ledger) NeedsReport() bool { return lg.active }

// Usages returns the state of all leases for a report, sorted by limit and key. It resets the counts since the last
// report, and drops parts of limits that are no longer used.
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

// isIdle reports whether a part of a limit has been neither used nor granted for more than idleRowTimeout and has no
// lease.
func (r *Row) isIdle(now time.Duration) bool {
	if now-r.changedAt <= idleRowTimeout || r.key == "" {
		return false
	}
	return !slices.ContainsFunc(r.leases, func(l *heldLease) bool {
		return l.inUse(now, r.limit.Kind) > 0 || now < l.expires && l.amount > 0
	})
}

// appendUsages appends the state of the row's leases to all. The counts since the last report are only in the first
// one.
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
