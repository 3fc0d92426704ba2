package decide_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"vetchhaven/decide"
)

// longestRejection simulates an agent that gets perSecond requests a second at random times, for 20 s. It returns the
// longest time in which the agent rejected fifteen or more requests in a row and sent no attempt. answer returns how
// its servers answer, and change modifies the requests of its clients; both get the time since the start.
func longestRejection(t *testing.T, s decide.Settings, seed uint64, perSecond float64,
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
	record := func(actions []decide.Action) {
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
	for n := 0; r.now < start+20*time.Second; record(r.advance(5 * ms)) {
		for i := len(out) - 1; i >= 0; i-- {
			if d := out[i]; d.at <= r.now {
				out = append(out[:i], out[i+1:]...)
				record(r.outcome(d.id, d.result, d.latency))
			}
		}
		for ; next <= r.now; n++ {
			q := decide.Request{ID: fmt.Sprint("q", n), Class: idempotent, Remaining: 2000 * ms}
			change(r.now-start, &q)
			record(r.step(q))
			next += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		}
	}
	return longest
}

// An agent must not reject fifteen or more requests in a row, for 4 s, without sending an attempt, because operators
// then count it as out of service. One of hundreds of agents sent no attempt for a minute, because the first request
// after its start was a client's retry. All other requests had another remaining time, counted as retries, and earned
// no credit. Without attempts the agent could not detect that its servers were idle.
func TestBalancerNeverRejectsEverythingForLong(t *testing.T) {
	objective := creditSettings().Classes[idempotent].Objective
	answerFast := func(time.Duration) (decide.Result, time.Duration) { return decide.OK, objective / 10 }
	answerLate := func(time.Duration) (decide.Result, time.Duration) { return decide.OK, 2 * objective }
	unchanged := func(time.Duration, *decide.Request) {}
	cases := map[string]struct {
		answer func(time.Duration) (decide.Result, time.Duration)
		change func(time.Duration, *decide.Request)
	}{
		"answers in time":                  {answerFast, unchanged},
		"answers long after the objective": {answerLate, unchanged},
		"servers hang, then recover": {func(at time.Duration) (decide.Result, time.Duration) {
			if at < 8*time.Second {
				return decide.TimedOut, 2000 * ms
			}
			return decide.OK, objective / 10
		}, unchanged},
		"clients mark all requests as retries": {answerFast, func(at time.Duration, q *decide.Request) { q.ClientRetry = at > 2*time.Second }},
		"the first request has less time": {answerFast, func(at time.Duration, q *decide.Request) {
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
						if long := longestRejection(t, s, seed+1, perSecond, c.answer, c.change); long >= 4*time.Second {
							t.Errorf("one of %d agents, with %v requests a second, rejected all requests for %v", agents, perSecond, long)
						}
					}
				}
			}
		})
	}
}
