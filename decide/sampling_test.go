package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// variedBalancer returns a balancer with many different backends: slow, fast, busy, ejected, draining, and in another
// zone.
func variedBalancer(t *testing.T, n int) *Balancer {
	t.Helper()
	b, err := New(Settings{Balancers: 1, MaxAttempts: 3, CrossZonePrice: 0.03, Classes: []Class{
		{Objective: 600 * time.Millisecond, Deadline: 3 * time.Second, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Backend
	for i := range n {
		list = append(list, Backend{ID: fmt.Sprint("s-", i), Zone: i % 2, Kind: i % 3})
	}
	b.Step(time.Hour, []Event{ListUpdate{Kind: ListFull, Backends: list}})
	for i, s := range b.backends {
		s.hasAnswered, s.slowness = true, 0.5+float64(i%7)/4
		switch {
		case i%11 == 0:
			s.inFlight = append(s.inFlight, &openAttempt{backend: s, sentAt: b.now, expectedLatency: 1, open: true})
		case i%13 == 0:
			s.failureScore, s.ejectedUntil = 1, b.now+time.Hour
		case i%17 == 0:
			s.State = Draining
		case i%19 == 0:
			s.rejectingUntil = b.now + time.Hour
		}
	}
	b.partitionValid = false
	b.updateCapacity()
	return b
}

// Sampling must give the same distribution of choices as scanning all backends.
func TestSampleIdleChoosesAsScanAll(t *testing.T) {
	const n, draws = 200, 100_000
	b := variedBalancer(t, n)
	r := &openRequest{class: 0, deadline: b.now + time.Second}
	scanned, sampled := map[string]float64{}, map[string]float64{}
	none := 0
	for range draws {
		scanned[b.scanAll(r).ID]++
		if s := b.sampleIdle(r, b.backends); s != nil {
			sampled[s.ID]++
		} else {
			none++
		}
	}
	if none > draws/20 {
		t.Errorf("%d of %d draws found no backend", none, draws)
	}
	got := float64(draws - none)
	for _, s := range b.backends {
		p, q := scanned[s.ID]/draws, sampled[s.ID]/got
		// The square root is the standard deviation of the difference of the two shares. All 200 differences must be
		// within five standard deviations.
		if d := math.Sqrt(p*(1-p)/draws + q*(1-q)/got); math.Abs(p-q) > 5*d+1e-5 {
			t.Errorf("%s: %.5f of the choices by scanning, %.5f by sampling", s.ID, p, q)
		}
	}
}

// The computed capacity is reused as long as no backend has changed: each of these changes must cause a recomputation.
func TestCapacityFollowsEachChange(t *testing.T) {
	plain := func() (*Balancer, *endpoint) {
		b, err := New(Settings{Balancers: 1, MaxAttempts: 3, SlowStartTime: time.Minute, SlowStartShare: 0.5, Classes: []Class{
			{Objective: 600 * time.Millisecond, Deadline: 3 * time.Second, Value: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Hour, []Event{ListUpdate{Kind: ListFull, Backends: []Backend{{ID: "a"}, {ID: "b"}}}})
		b.Step(time.Hour+1, nil)
		if !b.partitionValid || len(b.unsettled) > 0 || b.capacity != 2 {
			t.Fatalf("unsettled %v, capacity %v", b.unsettled, b.capacity)
		}
		return b, b.byID["a"]
	}
	for name, change := range map[string]func(b *Balancer, s *endpoint){
		"a drain": func(b *Balancer, _ *endpoint) {
			b.onListUpdate(ListUpdate{Backends: []Backend{{ID: "a", State: Draining}}})
		},
		"a new start": func(b *Balancer, s *endpoint) { b.beginSlowStart(s, b.now) },
		"an ejection": func(b *Balancer, s *endpoint) { b.eject(s, time.Minute) },
		"a refused connection": func(b *Balancer, s *endpoint) {
			r := &openRequest{id: "q", deadline: b.now + time.Second}
			b.requests["q"] = r
			b.startAttempt(r, s)
			b.onOutcome(Outcome{Request: "q", Backend: "a", Result: ConnectFailed})
		},
	} {
		b, s := plain()
		change(b, s)
		b.Step(b.now+1, nil)
		if len(b.unsettled) != 1 || b.capacity > 1.6 {
			t.Errorf("%s: unsettled %v, capacity %v", name, b.unsettled, b.capacity)
		}
	}
}
