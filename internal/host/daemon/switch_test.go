package daemon

import (
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/policy"
)

// keyedClassFile is a daemon's file with one class whose requests have an idempotency key.
const keyedClassFile = `
admin = "127.0.0.1:7900"
[[source]]
name = "main"
list = "127.0.0.1:8500"
[[class]]
name = "close"
repeats = "keyed"
group = "pod"
window = "12s"
aim = "1s"
deadline = "20s"
[[instance]]
name = "one"
listen = "127.0.0.1:7001"
`

// under returns the configuration of keyedClassFile under a policy.
func under(t *testing.T, body string) *daemonconfig.Config {
	t.Helper()
	cfg, err := daemonconfig.Load(writeFile(t, t.TempDir(), keyedClassFile))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err = cfg.WithPolicy([]policy.Document{{Number: 1, Body: []byte(body)}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestSwitchShortensDedupWindows(t *testing.T) {
	before := under(t, "[rules]\nmax_attempts = 3\n")
	for name, test := range map[string]struct {
		class string
		want  time.Duration
	}{
		"a shorter window":     {"window = \"6s\"\nrepeats = \"keyed\"\n", 6 * time.Second},
		"a longer window":      {"window = \"20s\"\nrepeats = \"keyed\"\n", 0},
		"not idempotent":       {"", 1},
		"idempotent by itself": {"repeats = \"safe\"\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			after := under(t, "[[class]]\nname = \"close\"\naim = \"1s\"\ndeadline = \"20s\"\n"+test.class)
			got := shortenedWindows(&before.Instances[0].Agent, &after.Instances[0].Agent)
			if got[0] != test.want {
				t.Errorf("window %v, want %v", got[0], test.want)
			}
		})
	}
}

// While a part of the policy is not known, requests of its instances are rejected, and requests of other instances
// are admitted.
func TestUnknownPartStopsOnlyItsInstances(t *testing.T) {
	s := &servingState{Serving: policy.Serving{Document: &policy.Document{}, ServedParts: []string{"labs"}, Until: policy.Never}}
	if s.servesSource("beds") || !s.servesSource("labs") || !s.servesSource("") || !s.servesSource(strings.Repeat("n", policy.MaxPartNameBytes+1)) {
		t.Errorf("served parts %v", s.ServedParts)
	}
}
