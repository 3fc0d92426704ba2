package decide_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"vetchhaven/decide"
)

// longestRejecting plays an agent that gets so many requests a second, by chance, for 20 s, and returns the
// longest span in which it rejected all that came, fifteen or more, with no attempt in between. Its servers
// answer as answer says, and its clients ask as change says; both get the time since the start.
func longestRejecting(t *testing.T, s decide.Settings, seed uint64, perSecond float64,
	answer func(at time.Duration) (decide.Result, time.Duration), change func(at time.Duration, q *decide.Request)) (longest time.Duration) {
	t.Helper()
	type due struct {
		id      string
		at      time.Duration
		result  decide.Result
		latency time.Duration
	}
	r, rng := newHarness(t, s, seed, testBackends(20)), rand.New(rand.NewPCG(seed, 7))
	var out []due
	start, since, rejected := r.now, r.now, 0
	note := func(actions []decide.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case decide.Send:
				since, rejected = r.now, 0
				result, latency := answer(r.now - start)
				out = append(out, due{a.Request, r.now + latency, result, latency})
			case decide.Refuse, decide.Fail:
				if rejected++; rejected >= 15 {
					longest = max(longest, r.now-since)
				}
			}
		}
	}
	next := r.now
	for n := 0; r.now < start+20*time.Second; note(r.advance(5 * ms)) {
		for i := len(out) - 1; i >= 0; i-- {
			if d := out[i]; d.at <= r.now {
				out = append(out[:i], out[i+1:]...)
				note(r.outcome(d.id, d.result, d.latency))
			}
		}
		for ; next <= r.now; n++ {
			q := decide.Request{ID: fmt.Sprint("q", n), Class: idempotent, Remaining: 2000 * ms}
			change(r.now-start, &q)
			note(r.step(q))
			next += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		}
	}
	return longest
}

// Operators take an agent that rejects all of fifteen requests or more for 4 s on end, with no attempt in
// between, for one that is out of service. One of hundreds of agents sent nothing for a minute where the
// first request after its start was a client's further try: all others told another patience, were taken for
// further tries, and these bring no credit. Without its attempts it would never have heard that its servers
// were idle.
func TestBalancerNeverRejectsEverythingForLong(t *testing.T) {
	aim := creditSettings().Classes[idempotent].Objective
	soon := func(time.Duration) (decide.Result, time.Duration) { return decide.OK, aim / 10 }
	late := func(time.Duration) (decide.Result, time.Duration) { return decide.OK, 2 * aim }
	usual := func(time.Duration, *decide.Request) {}
	cases := map[string]struct {
		answer func(time.Duration) (decide.Result, time.Duration)
		change func(time.Duration, *decide.Request)
	}{
		"answers in time":    {soon, usual},
		"answers far behind": {late, usual},
		"servers hang, and are back": {func(at time.Duration) (decide.Result, time.Duration) {
			if at < 8*time.Second {
				return decide.TimedOut, 2000 * ms
			}
			return decide.OK, aim / 10
		}, usual},
		"clients mark all as further tries": {soon, func(at time.Duration, q *decide.Request) { q.ClientRetry = at > 2*time.Second }},
		"the first had less time": {soon, func(at time.Duration, q *decide.Request) {
			if at == 0 {
				q.Remaining = 900 * ms
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, agents := range []int{1, 10, 30, 300} {
				for _, perSecond := range []float64{4, 8, 60} {
					for seed := range uint64(2) {
						s := creditSettings()
						s.Peers, s.Balancers, s.MaxAttempts = false, agents, 3
						if long := longestRejecting(t, s, seed+1, perSecond, c.answer, c.change); long >= 4*time.Second {
							t.Errorf("one of %d agents, with %v requests a second, rejected all for %v on end", agents, perSecond, long)
						}
					}
				}
			}
		})
	}
}
