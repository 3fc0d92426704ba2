package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// testStart is the clock reading at which tests start.
	testStart = time.Hour
	// never is a time after the end of every test.
	never = 100 * time.Hour
)

// newLedger returns a ledger with the given limits.
func newLedger(limits ...Limit) *Ledger {
	lg := &Ledger{}
	lg.SetLimits(limits)
	return lg
}

// ledgerModel is a simple model of the counts of a ledger with one limit.
type ledgerModel struct {
	kind         Kind
	amount       map[string]int           // by grantor
	expires      map[string]time.Duration // by grantor
	started      map[string][]time.Duration
	inFlight     map[string]int
	reservations [][]Reservation // not released yet
}

func (m *ledgerModel) inUse(now time.Duration, grantor string) int {
	if !m.kind.IsRate() {
		return m.inFlight[grantor]
	}
	count := 0
	for _, at := range m.started[grantor] {
		if now-at < time.Second {
			count++
		}
	}
	return count
}

// For any order of grants, reservations and releases, the number in flight, or started within a span, must not exceed
// the current leases.
func TestNoMoreIsReservedThanLeased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{InFlight, Requests, Attempts, SlowStart}).Draw(t, "kind")
		lg := newLedger(unrestricted("l", kind))
		now := testStart
		m := &ledgerModel{
			kind:     kind,
			amount:   map[string]int{},
			expires:  map[string]time.Duration{},
			started:  map[string][]time.Duration{},
			inFlight: map[string]int{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				m.grant(t, lg, now)
			case 1:
				m.release(lg)
			default:
				m.reserve(t, lg, now)
			}
		}
	})
}

func (m *ledgerModel) grant(t *rapid.T, lg *Ledger, now time.Duration) {
	grantor := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "grantor")
	m.amount[grantor] = rapid.IntRange(0, 4).Draw(t, "amount")
	m.expires[grantor] = now + 3*time.Second
	lg.SetLeases(now, []Lease{{Limit: "l", Grantor: grantor, Amount: m.amount[grantor], Expires: m.expires[grantor], Span: time.Second}})
}

func (m *ledgerModel) release(lg *Ledger) {
	if len(m.reservations) == 0 {
		return
	}
	oldest := m.reservations[0]
	m.inFlight[oldest[0].lease.grantor]--
	lg.Release(oldest, true)
	m.reservations = m.reservations[1:]
}

func (m *ledgerModel) reserve(t *rapid.T, lg *Ledger, now time.Duration) {
	demand := &Demand{FirstAttempt: true, SlowStart: true, EndsBy: now + time.Second}
	allowed := lg.RefusedBy(now, demand) == nil
	reserved, ok := lg.Reserve(now, demand)
	if ok != allowed {
		t.Fatalf("RefusedBy allows the demand: %v, Reserve allows it: %v", allowed, ok)
	}
	if !ok {
		return
	}
	grantor := reserved.Reservations[0].lease.grantor
	inUse := m.inUse(now, grantor)
	outlivesLease := !m.kind.IsRate() && demand.EndsBy > m.expires[grantor]
	if inUse >= m.amount[grantor] || now >= m.expires[grantor] || outlivesLease || reserved.StartBy <= now {
		t.Fatalf("%v: %d in use of %d by %s, until %v (now %v)", m.kind, inUse, m.amount[grantor], grantor, m.expires[grantor], now)
	}
	m.reservations = append(m.reservations, reserved.Reservations)
	m.started[grantor] = append(m.started[grantor], now)
	m.inFlight[grantor]++
}

// The floor of a soft limit is not added to the leases: it may be used if the leases allow less.
func TestFloorIsNotAddedToLeases(t *testing.T) {
	lg := newLedger(unrestricted("l", Requests))
	now := testStart
	expectReserved := func(want int, why string) {
		t.Helper()
		reserved := 0
		for {
			if _, ok := lg.Reserve(now, &Demand{FirstAttempt: true}); !ok {
				break
			}
			reserved++
		}
		if reserved != want {
			t.Errorf("reserved %d, want %d: %s", reserved, want, why)
		}
	}
	lg.SetLeases(now, []Lease{
		{Limit: "l", Amount: 2, Expires: never, Span: time.Second},
		{Limit: "l", Grantor: "a", Amount: 3, Expires: now + 3*time.Second, Span: time.Second},
	})
	expectReserved(3, "a lease of 3 and a floor of 2")
	now += 4 * time.Second
	expectReserved(2, "the lease has expired")
	lg.SetLeases(now, []Lease{{Limit: "l", Amount: 1, Expires: never, Span: 10 * time.Second}})
	now += 5 * time.Second
	expectReserved(0, "the floor of one in ten seconds is used up")
	now += 6 * time.Second
	expectReserved(1, "ten seconds have passed")
}

func TestConnectionCountsOnlyIfOneIsOpened(t *testing.T) {
	lg := newLedger(unrestricted("l", NewConnections))
	now := testStart
	lg.SetLeases(now, []Lease{{Limit: "l", Grantor: "a", Amount: 1, Expires: now + 3*time.Second, Span: time.Second}})
	first, ok := lg.Reserve(now, &Demand{})
	if !ok || !first.MayConnect {
		t.Fatal("the lease of one connection does not allow one")
	}
	if second, ok := lg.Reserve(now, &Demand{}); !ok || second.MayConnect {
		t.Errorf("second attempt: admitted %v, may connect %v", ok, second.MayConnect)
	}
	lg.Release(first.Reservations, false)
	if third, _ := lg.Reserve(now, &Demand{}); !third.MayConnect {
		t.Error("the lease was used though no connection was opened")
	}
	if limit := lg.CountConnectionRejection(now, &Demand{}); limit == nil || limit.Name() != "l" {
		t.Errorf("refused by %v, want l", limit)
	}
}

// Less important demands must leave a reserve for more important ones, unless the limit does not apply to the latter.
func TestLessImportantDemandLeavesAReserve(t *testing.T) {
	lg := newLedger(unrestricted("l", InFlight))
	now := testStart
	lg.SetLeases(now, []Lease{{Limit: "l", Grantor: "a", Amount: 25, Expires: now + 9*time.Second}})
	lessImportant := &Demand{ReservedShare: 0.6, EndsBy: now + time.Second}
	important := &Demand{EndsBy: now + time.Second}
	reserved := 0
	for lg.RefusedBy(now, lessImportant) == nil {
		lg.Reserve(now, lessImportant)
		reserved++
	}
	if reserved != 22 { // 25 minus 0.6 times its square root
		t.Errorf("%d of 25 reserved by less important demands, want 22", reserved)
	}
	if lg.RefusedBy(now, important) != nil {
		t.Error("nothing is left for important demands")
	}
}

func TestSetLimitsKeepsUseOfUnchangedLimits(t *testing.T) {
	x, y := unrestricted("x", InFlight), unrestricted("y", InFlight)
	lg := newLedger(x, y)
	now := testStart
	demand := &Demand{EndsBy: now + time.Second}
	lg.SetLeases(now, []Lease{
		{Limit: "x", Grantor: "a", Amount: 1, Expires: now + 9*time.Second},
		{Limit: "y", Grantor: "a", Amount: 9, Expires: now + 9*time.Second},
	})
	reserved, _ := lg.Reserve(now, demand)

	lg.SetLimits([]Limit{x})
	if lg.RefusedBy(now, demand) == nil {
		t.Error("the use of x was forgotten when y was removed")
	}
	lg.Release(reserved.Reservations, true)
	if lg.RefusedBy(now, demand) != nil {
		t.Error("the earlier reservation was not released")
	}
	x.Kind = Attempts
	lg.SetLimits([]Limit{x})
	if lg.RefusedBy(now, demand) == nil {
		t.Error("a lease of an in-flight limit is used for a limit of attempts")
	}
	lg.SetLimits(nil)
	if !lg.Empty() || lg.RefusedBy(now, &Demand{}) != nil {
		t.Error("refused without a limit")
	}
}
