package decide_test

import (
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

func lent(name string, amount int, now time.Duration) decide.LeasesGranted {
	return decide.LeasesGranted{Leases: []quota.Lease{{Limit: name, Grantor: "k", Number: 1, Amount: amount, Expires: now + time.Minute, Span: time.Second}}}
}

func limit(name string, c quota.Kind) quota.Limit {
	return quota.Limit{Name: name, Kind: c, Class: -1, Zone: -1, Cell: -1}
}

func find[T decide.Action](all []decide.Action) (found T, ok bool) {
	for _, a := range all {
		if x, is := a.(T); is {
			found, ok = x, true
		}
	}
	return found, ok
}

func TestWithoutARightIsRefusedAtOnceAndNamed(t *testing.T) {
	s := settings()
	s.RetryAfter, s.MaxRetryAfter = true, time.Minute
	r := newRig(t, s, 1, backends(4))
	r.step(decide.SharedLimits{Limits: []quota.Limit{limit("total", quota.Requests)}})
	r.step(lent("total", 2, r.now))
	for _, id := range []string{"a", "b"} {
		send, ok := find[decide.Send](r.request(id, safe))
		if !ok || send.StartBy == 0 {
			t.Fatalf("%s: %+v", id, send)
		}
	}
	all := r.request("c", safe)
	if no, ok := find[decide.Refuse](all); !ok || no.Limit != "total" || no.Reason != decide.NoLease || no.RetryAfter < time.Second {
		t.Errorf("%+v", all)
	}
	if held, ok := find[decide.LeaseUsage](all); ok && held.Usages[0].Rejected != 1 {
		t.Errorf("%+v", held)
	}
	r.advance(1100 * ms)
	if _, ok := find[decide.Send](r.request("d", safe)); !ok {
		t.Error("nothing is sent a second later")
	}
}

// What may have run is never answered as if it had not, whatever limit stands in the way of another try.
func TestLimitOnRetriesPromisesNothing(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.step(decide.SharedLimits{Limits: []quota.Limit{limit("again", quota.Retries)}})
	if _, ok := find[decide.Send](r.request("a", safe)); !ok {
		t.Fatal("a first try is none that is tried again")
	}
	r.outcome("a", decide.Reset, ms)
	all := r.advance(3 * time.Second)
	if no, ok := find[decide.Fail](all); !ok || no.Limit != "again" {
		t.Errorf("after a reset: %+v", all)
	}
	r.request("b", safe)
	r.outcome("b", decide.Rejected, ms) // never ran
	all = r.advance(3 * time.Second)
	if no, ok := find[decide.Refuse](all); !ok || no.Limit != "again" {
		t.Errorf("after a refusal: %+v", all)
	}
}

func TestLimitOfOneServerLeavesTheOthers(t *testing.T) {
	r := newRig(t, settings(), 1, backends(3))
	l := limit("one", quota.InFlight)
	l.Server = backends(3)[0].ID
	r.step(decide.SharedLimits{Limits: []quota.Limit{l}})
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		send, ok := find[decide.Send](r.request(id, safe))
		if !ok || send.Backend == l.Server {
			t.Errorf("%s: %+v", id, send)
		}
	}
}

func TestInFlightComesBackWithTheOutcome(t *testing.T) {
	r := newRig(t, settings(), 1, backends(3))
	r.step(decide.SharedLimits{Limits: []quota.Limit{limit("at-once", quota.InFlight)}})
	r.step(lent("at-once", 1, r.now))
	r.request("a", safe)
	if _, ok := find[decide.Refuse](r.request("b", safe)); !ok {
		t.Error("two at once")
	}
	r.outcome("a", decide.OK, ms)
	if _, ok := find[decide.Send](r.request("c", safe)); !ok {
		t.Error("none after the first has ended")
	}
	// One that can't be over before the right is, does not begin.
	r.outcome("c", decide.OK, ms)
	r.step(decide.LeasesGranted{Leases: []quota.Lease{{Limit: "at-once", Grantor: "k", Number: 2, Amount: 1, Expires: r.now + ms}}})
	if _, ok := find[decide.Refuse](r.request("d", safe)); !ok {
		t.Error("it may outlast its right")
	}
}

func TestWithoutARightToConnectNothingIsOpened(t *testing.T) {
	r := newRig(t, settings(), 1, backends(3))
	r.step(decide.SharedLimits{Limits: []quota.Limit{limit("dials", quota.NewConnections)}})
	send, ok := find[decide.Send](r.request("a", safe))
	if !ok || !send.ReuseOnly {
		t.Fatalf("%+v", send)
	}
	if no, ok := find[decide.Refuse](r.outcome("a", decide.NotSent, ms)); !ok || no.Limit != "dials" {
		t.Errorf("%+v", no)
	}
}
