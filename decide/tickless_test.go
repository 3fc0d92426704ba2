package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// Requests whose remaining times hardly differ must count as first attempts, with a tick and without, and wait for
// capacity. They used to count as retries, which are refused at once if there is no capacity.
func TestFirstAttemptsWithoutATick(t *testing.T) {
	for _, tick := range []time.Duration{0, 5 * ms} {
		s := testSettings()
		s.Tick = tick
		b, err := decide.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, refused := time.Hour, 0
		step := func(e decide.Event) {
			for _, a := range b.Step(now, []decide.Event{e}) {
				if _, ok := a.(decide.Refuse); ok {
					refused++
				}
			}
		}
		step(decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "a"}}})
		for i := range 100 { // far more than may be in flight at once, all within 2 ms
			now += 20 * time.Microsecond
			step(decide.Request{ID: fmt.Sprint(i), Class: idempotent, Remaining: s.Classes[idempotent].Deadline - time.Duration(i*37%200)*time.Microsecond})
		}
		if refused > 0 {
			t.Errorf("tick %v: %d of 100 first tries were refused at once", tick, refused)
		}
	}
}
