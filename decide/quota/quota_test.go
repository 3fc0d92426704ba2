package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

func all(name string, c Counts) Limit {
	return Limit{Name: name, Counts: c, Class: -1, Zone: -1, Cell: -1}
}

// Whatever is lent, used and given back in whatever order, no more is in use at once, or begins within a span, than the
// rights of that moment allow.
func TestNoMoreIsTakenThanLent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.SampledFrom([]Counts{InFlight, PerSecond, Attempts, Cold}).Draw(t, "counts")
		b := &Book{}
		b.Set([]Limit{all("l", counts)})
		now, until := time.Hour, map[string]time.Duration{}
		amount := map[string]int{}
		var out [][]Taken
		begun := map[string][]time.Duration{}
		flight := map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			in := func(k string) (n int) { // what is in use by the loans of one keeper
				if !counts.Rate() {
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
				b.Grant(now, []Right{{Limit: "l", Keeper: k, Amount: amount[k], Until: until[k], Span: sec}})
			case 1:
				if len(out) > 0 {
					flight[out[0][0].loan.keeper]--
					b.Give(now, out[0], true)
					out = out[1:]
				}
			default:
				u := &Use{First: true, Cold: true, Ends: now + sec}
				free := b.Short(now, u, false) == nil
				taken, last, _, ok := b.Take(now, u)
				if ok != free {
					t.Fatalf("one says %v, the other %v", free, ok)
				}
				if !ok {
					continue
				}
				k := taken[0].loan.keeper
				if in(k) >= amount[k] || now >= until[k] || !counts.Rate() && now+sec > until[k] || last <= now {
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
		u    Use
		want bool
	}{
		"another class":    {Limit{Counts: Attempts, Class: 1, Zone: -1, Cell: -1}, Use{Class: 0}, false},
		"its class":        {Limit{Counts: Attempts, Class: 1, Zone: -1, Cell: -1}, Use{Class: 1}, true},
		"another zone":     {Limit{Counts: Attempts, Class: -1, Zone: 2, Cell: -1}, Use{Zone: 1}, false},
		"another pod":      {Limit{Counts: Attempts, Class: -1, Zone: -1, Cell: 0}, Use{Cell: 1}, false},
		"its server":       {Limit{Counts: Attempts, Class: -1, Zone: -1, Cell: -1, Server: "s"}, Use{Server: "s"}, true},
		"a second attempt": {all("l", PerSecond), Use{First: false}, false},
		"a first attempt":  {all("l", Retries), Use{First: true}, false},
		"a warm server":    {all("l", Cold), Use{Cold: false}, false},
		"a cold one":       {all("l", Cold), Use{Cold: true}, true},
	} {
		if _, ok := c.l.key(&c.u); ok != c.want {
			t.Errorf("%s: %v", name, ok)
		}
	}
	l := all("l", Cold)
	l.Each = EachServer
	if key, _ := l.key(&Use{Cold: true, Server: "s7"}); key != "s7" {
		t.Errorf("%q", key)
	}
}

// The floor of a soft limit is not added to rights: it is what may be used where they are fewer.
func TestFloorIsNoMoreThanItself(t *testing.T) {
	b := &Book{}
	b.Set([]Limit{all("l", PerSecond)})
	now := time.Hour
	b.Grant(now, []Right{{Limit: "l", Amount: 2, Until: 100 * time.Hour, Span: sec}, {Limit: "l", Keeper: "a", Amount: 3, Until: now + 3*sec, Span: sec}})
	take := func() (n int) {
		for {
			if _, _, _, ok := b.Take(now, &Use{First: true}); !ok {
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
	b.Grant(now, []Right{{Limit: "l", Amount: 1, Until: 100 * time.Hour, Span: 10 * sec}})
	if now += 5 * sec; take() != 0 {
		t.Error("a floor of one in ten seconds was used twice in them")
	}
	if now += 6 * sec; take() != 1 {
		t.Error("no floor after ten seconds")
	}
}

func TestConnectionsAreCountedOnlyWhereOneIsOpened(t *testing.T) {
	b := &Book{}
	b.Set([]Limit{all("l", Dials)})
	now := time.Hour
	b.Grant(now, []Right{{Limit: "l", Keeper: "a", Amount: 1, Until: now + 3*sec, Span: sec}})
	taken, _, dial, ok := b.Take(now, &Use{})
	if !ok || !dial {
		t.Fatal("no right to open one")
	}
	if _, _, dial, ok := b.Take(now, &Use{}); !ok || dial {
		t.Error("a second one may be opened, or nothing may go out")
	}
	b.Give(now, taken, false)
	if _, _, dial, _ := b.Take(now, &Use{}); !dial {
		t.Error("the right was used though none was opened")
	}
	if r := b.NoDial(now, &Use{}); r == nil || r.Name() != "l" {
		t.Error(r)
	}
}

// What is worth less leaves some for what is worth more, unless only it falls under the limit.
func TestWorthIsHeeded(t *testing.T) {
	b := &Book{}
	b.Set([]Limit{all("l", InFlight)})
	now := time.Hour
	b.Grant(now, []Right{{Limit: "l", Keeper: "a", Amount: 25, Until: now + 9*sec}})
	low, high := &Use{Spare: 0.6, Ends: now + sec}, &Use{Ends: now + sec}
	n := 0
	for b.Short(now, low, false) == nil {
		b.Take(now, low)
		n++
	}
	if n != 22 { // 25 less 0.6 times its root
		t.Errorf("%d of 25 for what is worth less", n)
	}
	if b.Short(now, high, false) != nil {
		t.Error("nothing is left for what is worth more")
	}
}

func TestLimitsChange(t *testing.T) {
	b := &Book{}
	x, y := all("x", InFlight), all("y", InFlight)
	b.Set([]Limit{x, y})
	now := time.Hour
	b.Grant(now, []Right{{Limit: "x", Keeper: "a", Amount: 1, Until: now + 9*sec}, {Limit: "y", Keeper: "a", Amount: 9, Until: now + 9*sec}})
	taken, _, _, _ := b.Take(now, &Use{Ends: now + sec})
	b.Set([]Limit{x}) // y goes, x stays with what is in use of it
	if b.Short(now, &Use{Ends: now + sec}, false) == nil {
		t.Error("what is in use of x was forgotten")
	}
	b.Give(now, taken, true)
	if b.Short(now, &Use{Ends: now + sec}, false) != nil {
		t.Error("its end was not seen")
	}
	x.Counts = Attempts
	b.Set([]Limit{x})
	if b.Short(now, &Use{Ends: now + sec}, false) == nil {
		t.Error("a right to one thing was taken for another")
	}
	b.Set(nil)
	if !b.Empty() || b.Short(now, &Use{}, false) != nil {
		t.Error("no limit, and something is limited")
	}
}
