package main

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
)

// The latency of a call counts from its scheduled time, so that calls scheduled during a stall include their waiting
// time (no coordinated omission). On a single connection that stalls for the first 300 ms, calls scheduled in the
// first 200 ms take at least 100 ms.
func TestLatencyCountsFromTheScheduledTime(t *testing.T) {
	const stall = 300 * time.Millisecond
	var first atomic.Bool
	began := time.Now()
	form := standin.NewFormServer("s", func(w http.ResponseWriter, _ *http.Request) {
		if first.CompareAndSwap(false, true) {
			time.Sleep(time.Until(began.Add(stall))) // this sleep is the stall under test; it does not synchronize goroutines
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), pathAnswerBytes))
	})
	defer form.Close()
	c := newPathCaller(pathOptions{rate: 100, seed: 1}, []discovery.Server{form.Member("ready")}, []string{strings.TrimPrefix(form.Member("ready").Addr, "http://")})
	transport := c.client.Transport.(*http.Transport)
	transport.MaxConnsPerHost = 1
	defer transport.CloseIdleConnections()
	began = time.Now()
	r, err := c.round(t.Context(), stall)
	if err != nil {
		t.Fatal(err)
	}
	all := int64(0)
	for _, h := range []int64{r.direct.TotalCount(), r.agent.TotalCount()} {
		all += h
	}
	quick := 0
	for _, b := range append(r.direct.Distribution(), r.agent.Distribution()...) {
		if time.Duration(b.To)*time.Microsecond < 100*time.Millisecond {
			quick += int(b.Count)
		}
	}
	if all < 20 {
		t.Fatalf("%d calls in %v: too few for the test", all, stall)
	}
	if share := float64(quick) / float64(all); share > 0.6 { // a third is expected
		t.Errorf("%d of %d calls were quick during a stall of %v", quick, all, stall)
	}
}
