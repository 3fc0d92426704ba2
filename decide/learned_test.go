package decide_test

import (
	"math"
	"testing"
	"time"

	"vetchhaven/decide"
)

// The learned state must be restored for the processes at which it was observed. Invalid values must not be restored.
func TestLearnedStateIsRestored(t *testing.T) {
	s := testSettings()
	list := []decide.Backend{{ID: "fast"}, {ID: "slow"}, {ID: "new", Started: time.Minute}}
	a := newHarness(t, s, 1, list)
	for i := range 300 {
		id := string(rune('A'+i%26)) + time.Duration(i).String()
		a.request(id, idempotent)
		wait := 10 * ms
		if a.sent[id][0] == "slow" {
			wait = 60 * ms
		}
		a.now += wait
		a.outcome(id, decide.OK, wait)
	}
	learned := a.b.Learned()
	shareOfSlow := func(l *decide.Learned, list []decide.Backend) int {
		b, err := decide.New(s, 2)
		if err != nil {
			t.Fatal(err)
		}
		if l != nil {
			b.Restore(*l)
		}
		n := 0
		// The first choice of balancers with the same seed is always the same. Therefore one balancer chooses many
		// times, and all attempts are cancelled, so that their latencies do not change the learned state.
		h := &harness{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
		h.step(decide.ListUpdate{Kind: decide.ListCached, Backends: list})
		for i := range 100 {
			id := time.Duration(i).String()
			h.request(id, idempotent)
			if h.sent[id][0] == "slow" {
				n++
			}
			h.step(decide.Outcome{Request: id, Backend: h.sent[id][0], Result: decide.Cancelled, Latency: ms, Answered: true})
		}
		return n
	}
	if with, without := shareOfSlow(&learned, list), shareOfSlow(nil, list); with > 10 || without < 15 {
		t.Errorf("the slow backend gets %d of 100 with the learned state, %d without", with, without)
	}
	restarted := []decide.Backend{list[0], {ID: "slow", Started: time.Second}, list[2]}
	if n := shareOfSlow(&learned, restarted); n < 15 {
		t.Errorf("a new process of the slow backend gets %d of 100, as its predecessor did", n)
	}
	invalid := decide.Learned{Classes: []decide.LearnedClass{{Latency: math.NaN()}, {Latency: -1}, {Latency: 1e300}, {Latency: 5, Work: math.Inf(-1)},
		{Latency: 5}, {Latency: 5}, {Latency: 5}}, Backends: []decide.LearnedBackend{{ID: "slow", Slowness: math.NaN()}, {ID: "fast", Slowness: -3}, {ID: "x", Slowness: 1e9}}}
	if n := shareOfSlow(&invalid, list); n < 15 {
		t.Errorf("with invalid values the slow backend gets %d of 100", n)
	}
}

// A restored balancer must limit the load on a server in slow start as a new one does.
func TestRestoredBalancerSparesABackendInSlowStart(t *testing.T) {
	s := testSettings()
	now := time.Hour
	list := []decide.Backend{{ID: "a"}, {ID: "b"}, {ID: "c", Started: now - 100*ms}}
	for _, restore := range []bool{false, true} {
		b, err := decide.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if restore {
			b.Restore(decide.Learned{Limit: 50, Classes: []decide.LearnedClass{{Latency: 1e6}}, Backends: []decide.LearnedBackend{{ID: "c", Started: now - 100*ms, Slowness: 0.01}}})
		}
		h := &harness{t: t, b: b, now: now, sent: map[string][]string{}}
		h.step(decide.ListUpdate{Kind: decide.ListCached, Backends: list})
		toSlowStart := 0
		for i := range 20 {
			id := time.Duration(i).String()
			h.request(id, idempotent)
			for _, x := range h.sent[id] {
				if x == "c" {
					toSlowStart++
				}
			}
		}
		if toSlowStart > 1 {
			t.Errorf("restored %v: a server in slow start gets %d of the first 20", restore, toSlowStart)
		}
	}
}
