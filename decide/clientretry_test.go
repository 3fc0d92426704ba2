package decide_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"vetchhaven/decide"
)

// remainingHarness drives a balancer whose capacity is used up: a first attempt waits, a client's retry is refused at
// once.
type remainingHarness struct {
	t    *testing.T
	b    *decide.Balancer
	now  time.Duration
	next int
}

func newRemainingHarness(t *testing.T, tick time.Duration) *remainingHarness {
	t.Helper()
	s := testSettings()
	s.Tick = tick
	b, err := decide.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &remainingHarness{t: t, b: b, now: time.Hour}
	g.b.Step(g.now, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a"}}}})
	for range 50 { // two alternating remaining times, so that none becomes the usual one
		g.refused(1300*ms + time.Duration(g.next%2)*300*ms)
	}
	return g
}

// refused reports whether a request with this remaining time is refused at once.
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

// First attempts must not count as clients' retries if their remaining times differ because their callers pass on the
// rest of their own deadline.
func TestSpreadRemainingTimesAreNoClientRetries(t *testing.T) {
	const deadline = 2000 * ms
	uniform := func(rng *rand.Rand, share float64) time.Duration {
		return time.Duration(rng.Float64() * share * float64(deadline))
	}
	// Each tier takes 1 to 3 ms, and some requests are retried by the tier above.
	through := func(tiers int, late float64) func(*rand.Rand) time.Duration {
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
		// With even less time left, a first try would be refused at once too, because waiting would not help.
		{"over four fifths of it", func(rng *rand.Rand) time.Duration { return deadline - uniform(rng, 0.8) }},
		{"four equally frequent lengths", func(rng *rand.Rand) time.Duration { return deadline - time.Duration(rng.IntN(4))*400*ms }},
		{"through 4 tiers", through(4, 0)},
		{"through 16 tiers", through(16, 0)},
		{"through 8 tiers with retries", through(8, 0.1)},
		{"through 16 tiers with retries", through(16, 0.1)},
	} {
		for _, tick := range []time.Duration{0, 5 * ms} {
			g, rng := newRemainingHarness(t, tick), rand.New(rand.NewPCG(7, 7))
			refused := 0
			for range 1000 {
				if g.refused(row.left(rng)) {
					refused++
				}
			}
			if refused > 10 {
				t.Errorf("%s, tick %v: %d of 1000 first tries were refused at once as retries, want at most 10", row.name, tick, refused)
			}
		}
	}
}

// If clients give all their tries the same time, a request with a different remaining time must count as a last try,
// also in an overload in which half of the requests are last tries.
func TestOtherRemainingTimeIsAClientRetry(t *testing.T) {
	const usual = 1000 * ms
	for _, row := range []struct {
		name   string
		before []time.Duration // requests sent first: after a restart of the agent all clients may be retrying
		every  int             // first attempts per last try
	}{
		{"one in five", nil, 4},
		{"half", nil, 1},
		{"after retries only", []time.Duration{1700 * ms, 1690 * ms, 900 * ms, 1700 * ms}, 4},
		{"after another usual length", []time.Duration{500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms,
			500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms, 500 * ms}, 4},
	} {
		for _, tick := range []time.Duration{0, 5 * ms} {
			g, rng := newRemainingHarness(t, tick), rand.New(rand.NewPCG(7, 7))
			for _, left := range row.before {
				g.refused(left)
			}
			first, last, firstRefused, lastRefused := 0, 0, 0, 0
			for i := range 1000 {
				isRetry, left := i%(row.every+1) == row.every, usual-time.Duration(rng.Float64()*float64(tick))
				if isRetry { // a last try gets the rest of its client's time: here 1.1 to 1.9 times the usual one
					left = usual + time.Duration((0.1+0.8*rng.Float64())*float64(usual))
				}
				refused := g.refused(left)
				if i < 100 {
					continue
				}
				if isRetry {
					last++
				} else {
					first++
				}
				if refused && isRetry {
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
