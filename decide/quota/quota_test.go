package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func all(name string, c Kind) Limit {
	return Limit{Name: name, Kind: c, Class: -1, Zone: -1, Cell: -1}
}

// Whatever is lent, used and given back in whatever order, no more is in use at once, or begins within a span, than the
// rights of that moment allow.
func TestNoMoreIsTakenThanLent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.SampledFrom([]Kind{InFlight, Requests, Attempts, SlowStart}).Draw(t, "counts")
		b := &Ledger{}
		b.SetLimits([]Limit{all("l", counts)})
		now, until := time.Hour, map[string]time.Duration{}
		amount := map[string]int{}
		var out [][]Reservation
		begun := map[string][]time.Duration{}
		flight := map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			in := func(k string) (n int) { // what is in use by the loans of one keeper
				if !counts.IsRate() {
					return flight[k]
				}
				for _, at := range begun[k] {
					if now-at < sec {
						n++
					}
				}
				return n
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				k := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "keeper")
				amount[k], until[k] = rapid.IntRange(0, 4).Draw(t, "amount"), now+3*sec
				b.SetLeases(now, []Lease{{Limit: "l", Grantor: k, Amount: amount[k], Expires: until[k], Span: sec}})
			case 1:
				if len(out) > 0 {
					flight[out[0][0].loan.keeper]--
					b.Release(now, out[0], true)
					out = out[1:]
				}
			default:
				u := &Demand{FirstAttempt: true, SlowStart: true, EndsBy: now + sec}
				free := b.RefusedBy(now, u, false) == nil
				taken, last, _, ok := b.Reserve(now, u)
				if ok != free {
					t.Fatalf("one says %v, the other %v", free, ok)
				}
				if !ok {
					continue
				}
				k := taken[0].loan.keeper
				if in(k) >= amount[k] || now >= until[k] || !counts.IsRate() && now+sec > until[k] || last <= now {
					t.Fatalf("%v: %d in use of %d by %s, until %v (now %v)", counts, in(k), amount[k], k, until[k], now)
				}
				out, begun[k] = append(out, taken), append(begun[k], now)
				flight[k]++
			}
		}
	})
}

func TestWhatFallsUnderALimit(t *testing.T) {
	for name, c := range map[string]struct {
		l    Limit
		u    Demand
		want bool
	}{
		"another class":    {Limit{Kind: Attempts, Class: 1, Zone: -1, Cell: -1}, Demand{Class: 0}, false},
		"its class":        {Limit{Kind: Attempts, Class: 1, Zone: -1, Cell: -1}, Demand{Class: 1}, true},
		"another zone":     {Limit{Kind: Attempts, Class: -1, Zone: 2, Cell: -1}, Demand{Zone: 1}, false},
		"another pod":      {Limit{Kind: Attempts, Class: -1, Zone: -1, Cell: 0}, Demand{Cell: 1}, false},
		"its server":       {Limit{Kind: Attempts, Class: -1, Zone: -1, Cell: -1, Server: "s"}, Demand{Server: "s"}, true},
		"a second attempt": {all("l", Requests), Demand{FirstAttempt: false}, false},
		"a first attempt":  {all("l", Retries), Demand{FirstAttempt: true}, false},
		"a warm server":    {all("l", SlowStart), Demand{SlowStart: false}, false},
		"a cold one":       {all("l", SlowStart), Demand{SlowStart: true}, true},
	} {
		if _, ok := c.l.key(&c.u); ok != c.want {
			t.Errorf("%s: %v", name, ok)
		}
	}
	l := all("l", SlowStart)
	l.Partition = PerServer
	if key, _ := l.key(&Demand{SlowStart: true, Server: "s7"}); key != "s7" {
		t.Errorf("%q", key)
	}
}

// The floor of a soft limit is not added to rights: it is what may be used where they are fewer.
func TestFloorIsNoMoreThanItself(t *testing.T) {
	b := &Ledger{}
	b.SetLimits([]Limit{all("l", Requests)})
	now := time.Hour
	b.SetLeases(now, []Lease{{Limit: "l", Amount: 2, Expires: 100 * time.Hour, Span: sec}, {Limit: "l", Grantor: "a", Amount: 3, Expires: now + 3*sec, Span: sec}})
	take := func() (n int) {
		for {
			if _, _, _, ok := b.Reserve(now, &Demand{FirstAttempt: true}); !ok {
				return n
			}
			n++
		}
	}
	if n := take(); n != 3 {
		t.Errorf("%d with rights to 3 and a floor of 2", n)
	}
	if now += 4 * sec; take() != 2 {
		t.Error("not the floor once the rights have lapsed")
	}
	b.SetLeases(now, []Lease{{Limit: "l", Amount: 1, Expires: 100 * time.Hour, Span: 10 * sec}})
	if now += 5 * sec; take() != 0 {
		t.Error("a floor of one in ten seconds was used twice in them")
	}
	if now += 6 * sec; take() != 1 {
		t.Error("no floor after ten seconds")
	}
}

func TestConnectionsAreCountedOnlyWhereOneIsOpened(t *testing.T) {
	b := &Ledger{}
	b.SetLimits([]Limit{all("l", NewConnections)})
	now := time.Hour
	b.SetLeases(now, []Lease{{Limit: "l", Grantor: "a", Amount: 1, Expires: now + 3*sec, Span: sec}})
	taken, _, dial, ok := b.Reserve(now, &Demand{})
	if !ok || !dial {
		t.Fatal("no right to open one")
	}
	if _, _, dial, ok := b.Reserve(now, &Demand{}); !ok || dial {
		t.Error("a second one may be opened, or nothing may go out")
	}
	b.Release(now, taken, false)
	if _, _, dial, _ := b.Reserve(now, &Demand{}); !dial {
		t.Error("the right was used though none was opened")
	}
	if r := b.ConnectionRefusedBy(now, &Demand{}); r == nil || r.Name() != "l" {
		t.Error(r)
	}
}

// What is worth less leaves some for what is worth more, unless only it falls under the limit.
func TestWorthIsHeeded(t *testing.T) {
	b := &Ledger{}
	b.SetLimits([]Limit{all("l", InFlight)})
	now := time.Hour
	b.SetLeases(now, []Lease{{Limit: "l", Grantor: "a", Amount: 25, Expires: now + 9*sec}})
	low, high := &Demand{ReservedShare: 0.6, EndsBy: now + sec}, &Demand{EndsBy: now + sec}
	n := 0
	for b.RefusedBy(now, low, false) == nil {
		b.Reserve(now, low)
		n++
	}
	if n != 22 { // 25 less 0.6 times its root
		t.Errorf("%d of 25 for what is worth less", n)
	}
	if b.RefusedBy(now, high, false) != nil {
		t.Error("nothing is left for what is worth more")
	}
}

func TestLimitsChange(t *testing.T) {
	b := &Ledger{}
	x, y := all("x", InFlight), all("y", InFlight)
	b.SetLimits([]Limit{x, y})
	now := time.Hour
	b.SetLeases(now, []Lease{{Limit: "x", Grantor: "a", Amount: 1, Expires: now + 9*sec}, {Limit: "y", Grantor: "a", Amount: 9, Expires: now + 9*sec}})
	taken, _, _, _ := b.Reserve(now, &Demand{EndsBy: now + sec})
	b.SetLimits([]Limit{x}) // y goes, x stays with what is in use of it
	if b.RefusedBy(now, &Demand{EndsBy: now + sec}, false) == nil {
		t.Error("what is in use of x was forgotten")
	}
	b.Release(now, taken, true)
	if b.RefusedBy(now, &Demand{EndsBy: now + sec}, false) != nil {
		t.Error("its end was not seen")
	}
	x.Kind = Attempts
	b.SetLimits([]Limit{x})
	if b.RefusedBy(now, &Demand{EndsBy: now + sec}, false) == nil {
		t.Error("a right to one thing was taken for another")
	}
	b.SetLimits(nil)
	if !b.Empty() || b.RefusedBy(now, &Demand{}, false) != nil {
		t.Error("no limit, and something is limited")
	}
}
