package decide_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/decide/quota"
)

// BenchmarkStep measures a request and its outcome, with an occasional error and retry. The state must not grow with
// the number of requests: see the heap-growth metric.
func BenchmarkStep(b *testing.B) {
	lb, err := decide.New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(14)}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playOne(lb, &now, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-growth-B")
	runtime.KeepAlive(lb)
}

// BenchmarkStepWithLeases is BenchmarkStep with shared limits that never reject a request: twelve limits of all kinds,
// one of them per server, each with a large lease from each of three lease servers.
func BenchmarkStepWithLeases(b *testing.B) {
	lb, err := decide.New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(14)}})
	var limits []quota.Limit
	for i := range 12 {
		l := limit(fmt.Sprint("l", i), quota.Kind(i%6))
		if i == 0 {
			l.Partition = quota.PerServer
		}
		limits = append(limits, l)
	}
	var all []quota.Lease
	for _, l := range limits {
		for k := range 3 {
			one := quota.Lease{Limit: l.Name, Grantor: fmt.Sprint("k", k), Number: 1, Amount: 1 << 20, Expires: 1000 * time.Hour, Span: time.Second}
			if l.Partition == quota.NotPartitioned {
				all = append(all, one)
				continue
			}
			for _, t := range testBackends(14) {
				one.Key = t.ID
				all = append(all, one)
			}
		}
	}
	lb.Step(now, []decide.Event{decide.SharedLimits{Limits: limits}, decide.LeasesGranted{Leases: all}})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playOne(lb, &now, i)
	}
}

// playOne runs request i, with its outcome and possibly a retry, until it has ended.
func playOne(lb *decide.Balancer, now *time.Duration, i int) {
	id := fmt.Sprint("q", i)
	events := []decide.Event{decide.Request{ID: id, Class: idempotent, Remaining: time.Second}}
	for n := 0; len(events) > 0; {
		acts := lb.Step(*now, events)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case decide.Send:
				*now += 2 * ms
				o := decide.Outcome{Request: id, Attempt: n, Backend: a.Backend, Latency: 2 * ms, Answered: true}
				if n == 0 && i%50 == 0 {
					o.Result, o.Answered = decide.Errored, false
				}
				n++
				events = append(events, o)
			case decide.SetTimer:
				*now += a.After
				events = append(events, decide.TimerFired{Token: a.Token})
			}
		}
	}
}

// Memory and allocations per request must stay bounded over a long run.
func TestStateIsBounded(t *testing.T) {
	lb, err := decide.New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []decide.Event{decide.ListUpdate{Kind: decide.ListFull, Backends: testBackends(14)}})
	heap := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			playOne(lb, &now, i)
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	early := heap(0, 5000)
	late := heap(5000, 60000)
	runtime.KeepAlive(lb)
	if late > early+256<<10 {
		t.Errorf("the heap grew from %d to %d bytes over 55,000 requests", early, late)
	}
	i := 100000
	if n := testing.AllocsPerRun(2000, func() { playOne(lb, &now, i); i++ }); n > 25 {
		t.Errorf("%.1f allocations per request, want at most 25", n)
	}
}
