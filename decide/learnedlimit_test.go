package decide_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A balancer that takes over must start with the limit that its predecessor had found, unless that limit is invalid.
func TestLimitIsHandedToASuccessor(t *testing.T) {
	for _, c := range []struct {
		limit float64
		same  bool // the balancer behaves as without a restored limit
	}{{0, true}, {20, false}, {1, true}, {1e9, true}, {math.NaN(), true}, {math.Inf(1), true}} {
		sent := func(limit float64) int {
			b, err := decide.New(testSettings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			b.Restore(decide.Learned{Limit: limit})
			h := &harness{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
			h.step(decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
			for i := range 200 {
				h.request(fmt.Sprint(i), idempotent)
			}
			return len(h.sent)
		}
		fresh, got := sent(0), sent(c.limit)
		if c.same && got != fresh || !c.same && got < 2*fresh {
			t.Errorf("limit %v: %d requests were sent at once, %d by a balancer without restored state", c.limit, got, fresh)
		}
	}
}
