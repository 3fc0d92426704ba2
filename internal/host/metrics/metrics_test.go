package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	"vetchhaven/internal/core"
)

func TestCountersAreExposed(t *testing.T) {
	h := Handler(func() []Agent {
		return []Agent{{"one", core.Totals{Requests: 7, Served: 5, Open: 2}, core.Counters{Retries: 3, Violations: map[string]int64{"effect_once": 0, "answered_once": 1},
			SendRefusals: map[string]int64{"server_withdrawn": 4}}}, {Name: "two"}}
	})
	for range 2 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		for _, line := range []string{
			`vetchhaven_requests_total{agent="one"} 7`, `vetchhaven_answers_total{agent="one",kind="served"} 5`, `vetchhaven_open_requests{agent="one"} 2`,
			`vetchhaven_retries_total{agent="one"} 3`, `vetchhaven_send_refusals_total{agent="one",reason="server_withdrawn"} 4`,
			`vetchhaven_invariant_violations_total{agent="one",invariant="answered_once"} 1`,
			`vetchhaven_invariant_violations_total{agent="one",invariant="effect_once"} 0`, `vetchhaven_requests_total{agent="two"} 0`,
		} {
			if !strings.Contains(w.Body.String(), line+"\n") {
				t.Errorf("%s is missing in\n%s", line, w.Body.String())
			}
		}
	}
}
