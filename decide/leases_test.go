package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

func grantOf(name string, amount int, now time.Duration) decide.LeasesGranted {
	return decide.LeasesGranted{Leases: []quota.Lease{{Limit: name, Grantor: "k", Number: 1, Amount: amount, Expires: now + time.Minute, Span: time.Second}}}
}

func limit(name string, c quota.Kind) quota.Limit {
	return quota.Limit{Name: name, Kind: c, Class: -1, Zone: -1, Cell: -1}
}

func findAction[T decide.Action](all []decide.Action) (found T, ok bool) {
	for _, a := range all {
		if x, is := a.(T); is {
			found, ok = x, true
		}
	}
	return found, ok
}

func TestRequestWithoutLeaseIsRefusedAtOnceWithItsLimit(t *testing.T) {
	s := testSettings()
	s.RetryAfter, s.MaxRetryAfter = true, time.Minute
	h := newHarness(t, s, 1, testBackends(4))
	h.step(decide.SharedLimits{Limits: []quota.Limit{limit("total", quota.Requests)}})
	h.step(grantOf("total", 2, h.now))
	for _, id := range []string{"a", "b"} {
		send, ok := findAction[decide.Send](h.request(id, idempotent))
		if !ok || send.StartBy == 0 {
			t.Fatalf("%s: got %+v, want an attempt with a start bound", id, send)
		}
	}
	all := h.request("c", idempotent)
	if no, ok := findAction[decide.Refuse](all); !ok || no.Limit != "total" || no.Reason != decide.NoLease || no.RetryAfter < time.Second {
		t.Errorf("got %+v, want a refusal that names the limit", all)
	}
	if held, ok := findAction[decide.LeaseUsage](all); ok && held.Usages[0].Rejected != 1 {
		t.Errorf("got %+v, want one rejection", held)
	}
	h.advance(1100 * ms)
	if _, ok := findAction[decide.Send](h.request("d", idempotent)); !ok {
		t.Error("no attempt was sent a second later")
	}
}

// A request that may have run must not be refused as one that has not, whichever limit prevents another attempt.
func TestRetryWithoutLeaseFails(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.step(decide.SharedLimits{Limits: []quota.Limit{limit("again", quota.Retries)}})
	if _, ok := findAction[decide.Send](h.request("a", idempotent)); !ok {
		t.Fatal("the first attempt was not sent: it must not count as a retry")
	}
	h.outcome("a", decide.Reset, ms)
	all := h.advance(3 * time.Second)
	if no, ok := findAction[decide.Fail](all); !ok || no.Limit != "again" {
		t.Errorf("after a reset: %+v", all)
	}
	h.request("b", idempotent)
	h.outcome("b", decide.Rejected, ms) // this attempt never ran
	all = h.advance(3 * time.Second)
	if no, ok := findAction[decide.Refuse](all); !ok || no.Limit != "again" {
		t.Errorf("after a refusal: %+v", all)
	}
}

// Members of a fleet must name the part of a limit alike. All zones that the settings do not have are one part, and so
// are all unknown cells, which must not be counted with cell 0.
func TestUnknownZonesAndCellsArePartsOfALimit(t *testing.T) {
	zone, cell := limit("zone", quota.InFlight), limit("cell", quota.InFlight)
	zone.Partition, cell.Partition = quota.PerZone, quota.PerCell
	for _, listedZone := range []int{decide.Unknown, -7} { // -7: a zone that the settings do not have
		list := testBackends(1)
		list[0].Zone, list[0].Cell = listedZone, decide.Unknown
		h := newHarness(t, testSettings(), 1, list)
		h.step(decide.SharedLimits{Limits: []quota.Limit{zone, cell}})
		if _, ok := findAction[decide.Send](h.request("a", idempotent)); ok {
			t.Errorf("zone %d: a request was sent without a lease", listedZone)
		}
		for _, name := range []string{"zone", "cell"} {
			h.step(decide.LeasesGranted{Leases: []quota.Lease{
				{Limit: name, Key: "-1", Grantor: "k", Number: 1, Amount: 2, Expires: h.now + time.Minute, Span: time.Second}}})
		}
		if _, ok := findAction[decide.Send](h.request("b", idempotent)); !ok {
			t.Errorf("zone %d: a request was not sent with the leases of the unknown zones and cells", listedZone)
		}
	}
}

func TestLimitOfOneBackendDoesNotAffectOthers(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(3))
	l := limit("one", quota.InFlight)
	l.Server = testBackends(3)[0].ID
	h.step(decide.SharedLimits{Limits: []quota.Limit{l}})
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		send, ok := findAction[decide.Send](h.request(id, idempotent))
		if !ok || send.Backend == l.Server {
			t.Errorf("%s: got %+v, want an attempt at another server", id, send)
		}
	}
}

func TestInFlightLeaseIsReleasedByTheOutcome(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(3))
	h.step(decide.SharedLimits{Limits: []quota.Limit{limit("at-once", quota.InFlight)}})
	h.step(grantOf("at-once", 1, h.now))
	h.request("a", idempotent)
	if _, ok := findAction[decide.Refuse](h.request("b", idempotent)); !ok {
		t.Error("two attempts are in flight with a lease for one")
	}
	h.outcome("a", decide.OK, ms)
	if _, ok := findAction[decide.Send](h.request("c", idempotent)); !ok {
		t.Error("no attempt was sent after the first one had ended")
	}
	// An attempt that may still be in flight when the lease expires must not start.
	h.outcome("c", decide.OK, ms)
	h.step(decide.LeasesGranted{Leases: []quota.Lease{{Limit: "at-once", Grantor: "k", Number: 2, Amount: 1, Expires: h.now + ms}}})
	if _, ok := findAction[decide.Refuse](h.request("d", idempotent)); !ok {
		t.Error("an attempt was sent that may outlive its lease")
	}
}

func TestNoConnectionIsOpenedWithoutLease(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(3))
	h.step(decide.SharedLimits{Limits: []quota.Limit{limit("dials", quota.NewConnections)}})
	send, ok := findAction[decide.Send](h.request("a", idempotent))
	if !ok || !send.ReuseOnly {
		t.Fatalf("got %+v, want an attempt on an open connection only", send)
	}
	if no, ok := findAction[decide.Refuse](h.outcome("a", decide.NotSent, ms)); !ok || no.Limit != "dials" {
		t.Errorf("got %+v, want a refusal that names the limit", no)
	}
}
