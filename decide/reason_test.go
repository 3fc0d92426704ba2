package decide_test

import (
	"testing"

	"vetchhaven/decide"
)

// A request whose backend starts to drain just before its attempt must end for lack of a server, and not for lack of
// time: because of the wrong reason in the metric, operators searched for a problem with deadlines.
func TestDrainingBackendIsReportedAsNoBackend(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testBackends(4))
	h.request("q", idempotent)
	if got := h.b.StartAttemptAtDrainingBackend("q", h.sent["q"][0]); got != decide.NoBackend {
		t.Errorf("reason %s", got)
	}
}
