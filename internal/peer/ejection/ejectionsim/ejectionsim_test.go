package ejectionsim

import (
	"slices"
	"testing"
	"time"
)

func none(int, int, time.Duration) float64 { return 0 }

func whole(int, int, time.Duration) (float64, time.Duration) { return 0, 0 }

const (
	begins = 10 * time.Second
	ends   = 22 * time.Second
)

// from has a server fail a share of its requests for a while.
func from(server int, share float64) func(int, time.Duration) float64 {
	return func(s int, now time.Duration) float64 {
		if s == server && now >= begins && now < ends {
			return share
		}
		return 0
	}
}

// played plays options in which what is not given is whole: no server fails, no link breaks.
func played(t *testing.T, o Options) *Result {
	t.Helper()
	if o.Fails == nil {
		o.Fails = from(-1, 0)
	}
	if o.Link == nil {
		o.Link = none
	}
	if o.Peers == nil {
		o.Peers = whole
	}
	r, err := Play(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func run(t *testing.T, o Options) *Result {
	t.Helper()
	o.Agents, o.Servers, o.Error, o.Own, o.Share, o.Length = 24, 8, 0.005, true, true, 40*time.Second
	r := played(t, o)
	slices.Sort(r.Out)
	slices.Sort(r.Back)
	return r
}

func TestFailingServerIsOutForAllAndComesBack(t *testing.T) {
	for name, c := range map[string]struct {
		rate, share float64
		peers       func(int, int, time.Duration) (float64, time.Duration)
		within      time.Duration
	}{
		"outright":             {10, 1, whole, 2 * time.Second},
		"a third":              {10, 0.33, whole, 12 * time.Second},
		"half of news is lost": {10, 1, func(int, int, time.Duration) (float64, time.Duration) { return 0.5, 20 * time.Millisecond }, 8 * time.Second},
	} {
		r := run(t, Options{Seed: 3, Rate: c.rate, Fails: from(3, c.share), Peers: c.peers})
		if len(r.Out) < 18 || r.Out[16] > c.within {
			t.Errorf("%s: out at %d members, %v", name, len(r.Out), r.Out)
		}
		if len(r.Back) < 5 {
			t.Errorf("%s: back at %d members, %v", name, len(r.Back), r.Back)
		}
		if r.Wrong > 0 {
			t.Errorf("%s: %d wrongly out", name, r.Wrong)
		}
	}
}

func TestBrokenLinksConvictNobody(t *testing.T) {
	during := func(broken func(agent, server int) float64) func(int, int, time.Duration) float64 {
		return func(a, s int, now time.Duration) float64 {
			if now >= begins && now < ends {
				return broken(a, s)
			}
			return 0
		}
	}
	for name, link := range map[string]func(int, int, time.Duration) float64{
		"one member's": during(func(a, _ int) float64 {
			if a == 5 {
				return 1
			}
			return 0
		}),
		"three of ten members'": during(func(a, _ int) float64 {
			if a%10 < 3 {
				return 1
			}
			return 0
		}),
		"half of three of ten": during(func(a, _ int) float64 {
			if a%10 < 3 {
				return 0.5
			}
			return 0
		}),
		"of half the members to one server": during(func(a, s int) float64 {
			if a%2 == 0 && s == 3 {
				return 1
			}
			return 0
		}),
	} {
		if r := run(t, Options{Seed: 4, Rate: 10, Link: link}); r.Wrong > 0 {
			t.Errorf("%s: %d verdicts, %v in all", name, r.Wrong, r.WrongFor)
		}
	}
}

// News that is older than evidence lasts acts nowhere: each goes by its own.
func TestLateNewsActsNowhere(t *testing.T) {
	r := run(t, Options{Seed: 5, Rate: 10, Fails: from(3, 1), Peers: func(int, int, time.Duration) (float64, time.Duration) { return 0, 21 * time.Second }})
	if r.Verdicts > 0 {
		t.Errorf("%d verdicts", r.Verdicts)
	}
}

func TestCutOffMembersGoByTheirOwnEvidence(t *testing.T) {
	cut := func(f, to int, now time.Duration) (float64, time.Duration) {
		if (f < 2) != (to < 2) && now >= begins+4*time.Second {
			return 1, 0
		}
		return 0, 0
	}
	r := run(t, Options{Seed: 6, Rate: 10, Fails: from(3, 1), Peers: cut})
	n := 0
	for _, l := range r.Left {
		if l.Agent < 2 && l.At > begins+4*time.Second {
			if n++; l.At > begins+4*time.Second+21*time.Second {
				t.Errorf("a verdict stood until %v with nobody to hear", l.At)
			}
		}
	}
	if n == 0 {
		t.Error("nobody who is cut off had one")
	}
}

// Whichever voices come first: a server that fails a third is out for most, with each seed.
func TestFailingInPartIsFoundInAnyOrder(t *testing.T) {
	for seed := range uint64(4) {
		if r := run(t, Options{Seed: 10 + seed, Rate: 10, Fails: from(3, 0.33)}); len(r.Out) < 18 || r.Wrong > 0 {
			t.Errorf("seed %d: out at %d of 24 members, %d wrongly out", seed, len(r.Out), r.Wrong)
		}
	}
}

// A server that says nothing at all is found as well, by more of them.
func TestSilentServerIsOutForAll(t *testing.T) {
	r := run(t, Options{Seed: 7, Rate: 10, Fails: from(3, 1), Mute: true})
	if len(r.Out) < 18 || r.Out[16] > 4*time.Second || r.Wrong > 0 {
		t.Errorf("out at %d members, %d wrongly: %v", len(r.Out), r.Wrong, r.Out)
	}
}
