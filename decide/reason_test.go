package decide_test

import (
	"testing"

	"vetchhaven/decide"
)

// A request whose backend drains as its attempt is to begin lacks a server, not time. Whoever read the metric's reason looked at
// deadlines.
func TestWithdrawnBackendIsNoWantOfTime(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.request("q", idempotent)
	if got := h.b.StartAttemptWithdrawn("q", h.sent["q"][0]); got != decide.NoBackend {
		t.Errorf("%s", got)
	}
}
