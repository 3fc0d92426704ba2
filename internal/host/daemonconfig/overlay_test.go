package daemonconfig

import (
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/peer/policy"
)

const policyMemberFile = `
admin = "127.0.0.1:7900"
state_dir = "state"
[[source]]
name = "main"
list = "127.0.0.1:8500"
[site]
zones = ["north", "south"]
[rules]
max_attempts = 3
second_copies = true
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
zone = "south"
[peers]
fleet = "census"
name = "host-1"
listen = "127.0.0.1:7946"
keepers = ["host-1"]
[policy]
voters = ["host-1"]
cut_off = "vetoes"
`

// under returns the configuration of policyMemberFile with the policy in text laid over it. If the argument both is
// not empty, it is a second policy, and the configuration allows only what the two policies allow.
func under(t *testing.T, text, both string) (*Config, error) {
	t.Helper()
	var other []*policy.Document
	if both != "" {
		other = []*policy.Document{{Number: 2, Body: []byte(both)}}
	}
	return loadText(t, policyMemberFile).WithPolicy([]policy.Document{{Number: 1, Body: []byte(text)}}, other)
}

func TestPolicyTablesReplaceTheFiles(t *testing.T) {
	cfg, err := under(t, "[[class]]\nname = \"close\"\nrepeats = \"keyed\"\nwindow = \"6s\"\naim = \"1s\"\ndeadline = \"20s\"\n[[ban]]\nserver = \"s3\"\n[[limit]]\nname = \"all\"\ncounts = \"requests\"\nkind = \"soft\"\nfigure = 9\n", "")
	if err != nil {
		t.Fatal(err)
	}
	c := cfg.Instances[0].Agent.Settings
	if c.Classes[0].DedupWindow != 6*time.Second || c.MaxAttempts != 3 || len(cfg.Bans) != 1 || cfg.Limits == nil || cfg.Instances[0].Listen.Addr != "127.0.0.1:7001" {
		t.Errorf("settings %+v, bans %v, limits %v", c, cfg.Bans, cfg.Limits)
	}
}

func TestInvalidPolicyIsRejectedWithItsLine(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"an unknown key":                {"[rules]\nspeed = 3\n", "policy 1:2: rules.speed"},
		"a table of the host's own":     {"admin = \"127.0.0.1:1\"\n", "policy 1:1: admin"},
		"a zone that is not this one's": {"[site]\nzones = [\"east\"]\n", "zone"},
		"a value out of bounds":         {"[rules]\nmax_attempts = -1\n", "policy 1:2: rules.max_attempts"},
		"a window without a key":        {"[[class]]\nname = \"close\"\naim = \"1s\"\ndeadline = \"2s\"\nwindow = \"1s\"\n", "policy 1:5: class[0].window"},
		"no TOML":                       {"[[", "policy 1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := under(t, test.text, ""); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}

func TestIntersectionIsTheStricterOfBoth(t *testing.T) {
	class := func(repeats, rest string) string {
		return "[[class]]\nname = \"close\"\nrepeats = \"" + repeats + "\"\naim = \"1s\"\ndeadline = \"20s\"\n" + rest
	}
	limit := func(figure string) string {
		return "[[limit]]\nname = \"all\"\ncounts = \"requests\"\nkind = \"soft\"\nfigure = " + figure + "\n"
	}
	cfg, err := under(t, class("keyed", "group = \"pod\"\nwindow = \"12s\"\n")+limit("9")+"[[ban]]\nserver = \"s1\"\n[rules]\nmax_attempts = 2\nsecond_copies = true\n",
		class("keyed", "group = \"all\"\nwindow = \"6s\"\n")+limit("5")+"[[ban]]\nserver = \"s2\"\n")
	if err != nil {
		t.Fatal(err)
	}
	s := cfg.Instances[0].Agent.Settings
	if k := s.Classes[0]; k.DedupWindow != 6*time.Second || k.Scope != decide.DedupScope(2) || s.MaxAttempts != 2 || !s.Hedging || len(cfg.Bans) != 2 || cfg.Limits.Settings.Limits[0].Total != 5 {
		t.Errorf("class %+v, attempts %d, bans %v", k, s.MaxAttempts, cfg.Bans)
	}
	if cfg, err = under(t, class("safe", ""), class("keyed", "window = \"6s\"\n")); err != nil || cfg.Instances[0].Agent.Settings.Classes[0].Effect != decide.NonIdempotent {
		t.Errorf("an idempotent and a keyed class are not intersected to a non-idempotent one: %v", err)
	}
	for _, other := range []string{"[rules]\nramp_time = \"9s\"\n", "[site]\nzones = [\"south\"]\n", strings.Replace(class("safe", ""), "close", "other", 1)} {
		if _, err := under(t, class("safe", ""), other); err == nil {
			t.Errorf("no error, although a policy differs in %q", other)
		}
	}
}
