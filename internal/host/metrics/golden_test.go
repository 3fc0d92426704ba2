package metrics

import (
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"

	"vetchhaven/internal/core"
	"vetchhaven/internal/testkit/golden"
)

var sample = regexp.MustCompile(`(?m)^vetchhaven_[a-z_]+\{[^}]*\} .*$`)

// Names, labels and values must not change, since operators' dashboards use them. Help texts may change.
func TestMetricsKeepTheirNames(t *testing.T) {
	one := Agent{Name: "one"}
	golden.Fill(&one.Totals)
	golden.Fill(&one.Counters)
	for _, cases := range []*map[string]int64{&one.Counters.Results, &one.Counters.Endings, &one.Counters.SendRefusals, &one.Counters.Evictions, &one.Counters.Violations} {
		*cases = map[string]int64{"reason": int64(len(*cases))}
	}
	w := httptest.NewRecorder()
	Handler(func() []Agent { return []Agent{one, {"two", core.Totals{}, core.Counters{}}} }).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	lines := sample.FindAllString(w.Body.String(), -1)
	slices.Sort(lines)
	golden.Check(t, "names.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
