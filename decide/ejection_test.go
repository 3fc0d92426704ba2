package decide_test

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/decide"
)

// A backend that fails fast is always idle. It must not attract the traffic.
func TestFastFailureIsEjected(t *testing.T) {
	h := newHarness(t, testSettings(), 4, testBackends(6))
	bad := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		h.request(id, nonIdempotent)
		res, lat := decide.OK, 30*ms
		if h.sent[id][0] == "a" {
			res, lat = decide.Errored, ms
			bad++
		}
		h.now += lat
		h.outcome(id, res, lat)
	}
	if bad > 6 {
		t.Errorf("the failing backend got %d of 300", bad)
	}
	// Once it works again it gets requests again, at first only requests that may be repeated.
	h.advance(20 * time.Second)
	if counts := h.serve(400, idempotent, 30*ms); counts["a"] < 20 {
		t.Errorf("after its recovery it got %d of 400", counts["a"])
	}
}

// An ejected backend must get requests again even if all classes are non-idempotent.
func TestEjectionEndsWithNonIdempotentRequestsAlone(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[nonIdempotent : nonIdempotent+1]
	h := newHarness(t, s, 4, testBackends(3))
	for i := 0; ; i++ {
		id := fmt.Sprint("q", i)
		h.request(id, 0)
		h.now += 20 * ms
		if h.sent[id][0] == "a" {
			h.outcome(id, decide.Errored, 20*ms)
			break
		}
		h.outcome(id, decide.OK, 20*ms)
	}
	h.advance(5 * time.Second)
	if counts := h.serve(200, 0, 30*ms); counts["a"] == 0 {
		t.Error("the ejected backend got no request after its ejection")
	}
}

// First attempts must be sent even if every backend is ejected.
func TestFirstAttemptIsSentWhenAllAreEjected(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 1
	h := newHarness(t, s, 4, testBackends(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		h.request(id, idempotent)
		if len(h.sent[id]) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		h.now += ms
		h.outcome(id, decide.Errored, ms)
	}
}
