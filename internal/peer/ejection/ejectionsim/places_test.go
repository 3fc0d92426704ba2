package ejectionsim

import (
	"cmp"
	"fmt"
	"testing"
	"time"
)

// Members and servers stand in three regions of three zones each: n in region n modulo 3.
const (
	regions = 3
	zones   = 3
)

func region(n int) int { return n % regions }
func zone(n int) int   { return n%regions*zones + n/regions%zones }

func place(n int) (string, string) {
	return fmt.Sprint("r", region(n)), fmt.Sprint("r", region(n), "-z", zone(n)%zones)
}

// cutOff loses all between those that are in and those that are not, while servers and members alike are cut off.
func cutOff(in func(n int) bool) (link func(a, s int, now time.Duration) float64, peers func(f, to int, now time.Duration) (float64, time.Duration)) {
	lost := func(a, b int, now time.Duration) float64 {
		if now >= begins && now < ends && in(a) != in(b) {
			return 1
		}
		return 0
	}
	return lost, func(f, to int, now time.Duration) (float64, time.Duration) {
		return lost(f, to, now), 20 * time.Millisecond
	}
}

// placedSeeds is how many seeds the slow schedules of places take in CI: each is 4 to 6 s with -race.
const placedSeeds = uint64(1)

func placed(t *testing.T, o Options) *Result {
	t.Helper()
	o.Agents, o.Servers, o.Rate, o.Error, o.Own, o.Share, o.Length = 54, cmp.Or(o.Servers, 18), 10, 0.003, true, true, cmp.Or(o.Length, 26*time.Second)
	if o.Place == nil {
		o.Place = place
	}
	return played(t, o)
}

// While a region is cut off, it judges what it does not reach for itself, and nobody else's servers for others.
func TestRegionThatIsCutOffConvictsNobodyElsewhere(t *testing.T) {
	link, peers := cutOff(func(n int) bool { return region(n) == 0 })
	r := placed(t, Options{Seed: 20, Link: link, Peers: peers, Length: ends + 24*time.Second})
	if r.WrongElsewhere > 0 {
		t.Errorf("%d verdicts at members that reach the server", r.WrongElsewhere)
	}
	if r.Wrong == 0 {
		t.Error("nobody had a server out that it does not reach: nothing was tried")
	}
	for _, l := range r.Left {
		if l.At > ends+21*time.Second {
			t.Errorf("a verdict of the cut held until %v, it was over at %v", l.At, ends)
		}
	}
	if r.Verdicts != len(r.Left) {
		t.Errorf("%d verdicts began, %d ended", r.Verdicts, len(r.Left))
	}
}

// A server that fails in a region that is cut off is out inside it, and one of the others for the others.
func TestVerdictsHoldInsideARegionThatIsCutOff(t *testing.T) {
	for seed := range placedSeeds {
		link, peers := cutOff(func(n int) bool { return region(n) == 0 })
		fails := func(s int, now time.Duration) float64 {
			if s <= 1 && now >= begins+2*time.Second && now < ends {
				return 1
			}
			return 0
		}
		r := placed(t, Options{Seed: 30 + seed, Link: link, Peers: peers, Fails: fails, Mute: true})
		inside, outside := 0, 0
		for i, n := range r.OutAt {
			if r.Out[i] > 10*time.Second { // as long as the cut lasts
				continue
			}
			if region(n) == 0 {
				inside++
			} else {
				outside++
			}
		}
		// Of 18 members inside and 36 outside, each judges its own failing server, but for those that try it.
		if inside < 12 || outside < 26 || r.WrongElsewhere > 0 {
			t.Errorf("seed %d: out at %d inside and %d outside, %d wrong where the server is reached", seed, inside, outside, r.WrongElsewhere)
		}
	}
}

// A zone that lost its links is one voice, for itself as well: it can't tell its own lost link from servers that fail.
func TestZoneThatIsCutOffConvictsNobody(t *testing.T) {
	for seed := range placedSeeds {
		in := func(n int) bool { return n%2 == 0 } // half of all in one zone of three: twenty-seven voices
		link, peers := cutOff(in)
		at := func(n int) (string, string) {
			if in(n) {
				return "r", "z0"
			}
			return "r", fmt.Sprint("z", 1+n/2%2)
		}
		r := placed(t, Options{Seed: 40 + seed, Link: link, Peers: peers, Place: at})
		if n := countIn(r, in); n > 0 || r.WrongElsewhere > 0 {
			t.Errorf("seed %d: %d verdicts in the zone, %d where the server is reached", seed, n, r.WrongElsewhere)
		}
	}
}

func countIn(r *Result, in func(int) bool) (n int) {
	for _, a := range r.WrongAt {
		if in(a) {
			n++
		}
	}
	return n
}

// What one region says is lost on the way, and it hears the others.
func TestOneWayLossConvictsNobodyAndFindsWhatFails(t *testing.T) {
	for seed := range uint64(2) {
		peers := func(f, to int, _ time.Duration) (float64, time.Duration) {
			if region(f) == 0 && region(to) != 0 {
				return 1, 0
			}
			return 0.1, 40 * time.Millisecond
		}
		r := placed(t, Options{Seed: 50 + seed, Peers: peers, Fails: from(4, 1)})
		if r.Wrong > 0 || len(r.Out) < 40 {
			t.Errorf("seed %d: %d wrong, out at %d of 54", seed, r.Wrong, len(r.Out))
		}
	}
}

// Half of the members speak the first form of messages.
func TestMembersOfMixedVersionsFindWhatFails(t *testing.T) {
	for seed := range placedSeeds {
		first := func(n int) bool { return n/3%2 == 0 }
		r := placed(t, Options{Seed: 60 + seed, First: first, Fails: from(4, 1)})
		early := 0
		for _, d := range r.Out {
			if d < 3*time.Second {
				early++
			}
		}
		if r.Wrong > 0 || early < 40 {
			t.Errorf("seed %d: %d wrong, out at %d of 54 within 3 s: %v", seed, r.Wrong, early, r.Out)
		}
		link := func(a, s int, now time.Duration) float64 { // half of the members don't reach one server
			if now >= begins && now < ends && s == 3 && a%2 == 0 {
				return 1
			}
			return 0
		}
		if r := placed(t, Options{Seed: 60 + seed, First: first, Link: link}); r.Wrong > 0 {
			t.Errorf("seed %d: %d wrong by broken links", seed, r.Wrong)
		}
	}
}

// Members hear of the servers of the lists that they read, and find them as fast when they are few.
func TestFailingServerIsOutForItsSubscribers(t *testing.T) {
	for seed := range uint64(2) {
		o := Options{Seed: 70 + seed, Servers: 54, Fails: from(4, 1),
			List: func(s int) string { return fmt.Sprint("list-", s/18) },
			Calls: func(n int) (all []int) {
				for s := range 18 {
					all = append(all, n/18*18+s)
				}
				return all
			}}
		r := placed(t, o)
		early := 0
		for i, d := range r.Out {
			if d < 3*time.Second {
				early++
			}
			if r.OutAt[i] >= 18 {
				t.Errorf("seed %d: out at member %d, which does not read its list", seed, r.OutAt[i])
			}
		}
		if r.Wrong > 0 || early < 12 {
			t.Errorf("seed %d: %d wrong, out at %d of 18 within 3 s", seed, r.Wrong, early)
		}
	}
}
