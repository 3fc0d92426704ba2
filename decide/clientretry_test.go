package decide_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"vetchhaven/decide"
)

// remainingHarness is a balancer whose room is taken: a first attempt waits there, a client's retry is
// refused at once.
type remainingHarness struct {
	t    *testing.T
	b    *decide.Balancer
	now  time.Duration
	next int
}

func newRemainingRig(t *testing.T, tick time.Duration) *remainingHarness {
	t.Helper()
	s := testSettings()
	s.Tick = tick
	b, err := decide.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &remainingHarness{t: t, b: b, now: time.Hour}
	g.b.Step(g.now, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a"}}}})
	for range 50 { // of more than one length: they teach nothing
		g.refused(1300*ms + time.Duration(g.next%2)*300*ms)
	}
	return g
}

// refused tells whether a try with this much time left is refused at once.
func (g *remainingHarness) refused(left time.Duration) bool {
	g.now += 20 * time.Microsecond
	g.next++
	id := fmt.Sprint("q", g.next)
	refused := false
	for _, a := range g.b.Step(g.now, []decide.Event{decide.Request{ID: id, Class: idempotent, Remaining: left}}) {
		if r, ok := a.(decide.Refuse); ok && r.Request == id {
			refused = true
		}
	}
	return refused
}

// First attempts whose remaining time differs, since their callers hand down what is left of their own time,
// are no clients' retries.
func TestSpreadRemainingTimesAreNoClientRetries(t *testing.T) {
	const deadline = 2000 * ms
	uniform := func(rng *rand.Rand, share float64) time.Duration {
		return time.Duration(rng.Float64() * share * float64(deadline))
	}
	through := func(tiers int, late float64) func(*rand.Rand) time.Duration { // 1 to 3 ms at each, some tried again above
		return func(rng *rand.Rand) time.Duration {
			left := deadline
			for range tiers {
				left -= ms + uniform(rng, 0.001)
				if rng.Float64() < late {
					left -= 5*ms + uniform(rng, 0.01)
				}
			}
			return left
		}
	}
	for _, row := range []struct {
		name string
		left func(*rand.Rand) time.Duration
	}{
		{"over a twentieth of the deadline", func(rng *rand.Rand) time.Duration { return deadline - uniform(rng, 0.05) }},
		{"over a fifth of the deadline", func(rng *rand.Rand) time.Duration { return deadline - uniform(rng, 0.2) }},
		{"over four fifths of it", func(rng *rand.Rand) time.Duration { return deadline - uniform(rng, 0.8) }}, // with less, no wait helps
		{"four lengths alike", func(rng *rand.Rand) time.Duration { return deadline - time.Duration(rng.IntN(4))*400*ms }},
		{"through 4 tiers", through(4, 0)},
		{"through 16 tiers", through(16, 0)},
		{"through 8 tiers with retries", through(8, 0.1)},
		{"through 16 tiers with retries", through(16, 0.1)},
	} {
		for _, tick := range []time.Duration{0, 5 * ms} {
			g, rng := newRemainingRig(t, tick), rand.New(rand.NewPCG(7, 7))
			refused := 0
			for range 1000 {
				if g.refused(row.left(rng)) {
					refused++
				}
			}
			if refused > 10 {
				t.Errorf("%s, tick %v: %d of 1000 first tries were refused at once as repeats, 10 at the most", row.name, tick, refused)
			}
		}
	}
}

// Where clients give their tries one length, one of another is the last: so also in a crisis, with as many of
// these as first attempts.
func TestOtherRemainingTimeIsAClientRetry(t *testing.T) {
	const usual = 1000 * ms
	for _, row := range []struct {
		name   string
		before []time.Duration // comes first: a restarted agent's clients may all be trying again
		every  int             // so many first attempts for each last one
	}{
		{"one in five", nil, 4},
		{"half", nil, 1},
		{"after repeats alone", []time.Duration{1700 * ms, 1690 * ms, 900 * ms, 1700 * ms}, 4},
		{"after another usual length", []time.Duration{500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms,
			500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms}, 4},
	} {
		for _, tick := range []time.Duration{0, 5 * ms} {
			g, rng := newRemainingRig(t, tick), rand.New(rand.NewPCG(7, 7))
			for _, left := range row.before {
				g.refused(left)
			}
			first, last, firstRefused, lastRefused := 0, 0, 0, 0
			for i := range 1000 {
				repeat, left := i%(row.every+1) == row.every, usual-time.Duration(rng.Float64()*float64(tick))
				if repeat { // once its client has waited, from at once to the whole of a try
					left = usual + time.Duration((0.1+0.8*rng.Float64())*float64(usual))
				}
				refused := g.refused(left)
				if i < 100 {
					continue
				}
				if repeat {
					last++
				} else {
					first++
				}
				if refused && repeat {
					lastRefused++
				} else if refused {
					firstRefused++
				}
			}
			if firstRefused > 0 || lastRefused < last*9/10 {
				t.Errorf("%s, tick %v: %d of %d first tries and %d of %d last tries were refused at once, want 0 and nearly all",
					row.name, tick, firstRefused, first, lastRefused, last)
			}
		}
	}
}
