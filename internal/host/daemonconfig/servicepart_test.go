package daemonconfig

import (
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/peer/policy"
)

const twoServicesFile = `
admin = "127.0.0.1:7900"
state_dir = "state"
[[source]]
name = "beds"
list = "127.0.0.1:8500"
[[source]]
name = "labs"
list = "127.0.0.1:8501"
[site]
zones = ["north", "south"]
[[class]]
name = "close"
repeats = "keyed"
group = "pod"
window = "12s"
aim = "1s"
deadline = "20s"
[[class]]
name = "look"
repeats = "safe"
aim = "1s"
deadline = "5s"
[[instance]]
name = "beds"
listen = "127.0.0.1:7001"
source = "beds"
[[instance]]
name = "labs"
listen = "127.0.0.1:7002"
source = "labs"
[peers]
fleet = "census"
name = "host-1"
listen = "127.0.0.1:7946"
keepers = ["host-1"]
[policy]
voters = ["host-1"]
cut_off = "vetoes"
`

// underParts returns the configuration of a host with two services under texts of parts. If the argument both is not
// empty, it holds changed texts, and the configuration allows only what the texts allow before and after the change.
func underParts(t *testing.T, texts, both map[string]string) (*Config, error) {
	t.Helper()
	cfg := loadText(t, twoServicesFile)
	if got := strings.Join(cfg.HeldParts(), " "); got != "beds labs" {
		t.Fatalf("the daemon holds the parts %s", got)
	}
	var docs []policy.Document
	var changes []*policy.Document
	for part, text := range texts {
		docs = append(docs, policy.Document{Part: part, Number: 4, Body: []byte(text)})
	}
	for part, text := range both {
		changes = append(changes, &policy.Document{Part: part, Number: 5, Body: []byte(text)})
	}
	return cfg.WithPolicy(docs, changes)
}

func (c *Config) one(name string) *Instance {
	for i := range c.Instances {
		if c.Instances[i].Name == name {
			return &c.Instances[i]
		}
	}
	return nil
}

func TestServicePartChangesItsInstancesOnly(t *testing.T) {
	cfg, err := underParts(t, map[string]string{
		"beds": "[[source]]\nlist = \"127.0.0.1:9999\"\n[[class]]\nname = \"close\"\nrepeats = \"keyed\"\nwindow = \"6s\"\naim = \"1s\"\ndeadline = \"20s\"\n[[class]]\nname = \"move\"\naim = \"1s\"\ndeadline = \"2s\"\n[[ban]]\nserver = \"s3\"\n",
		"labs": "[[ban]]\nserver = \"s4\"\nsource = \"labs\"\n"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	beds, labs := cfg.one("beds").Agent, cfg.one("labs").Agent
	if got := strings.Join(beds.Site.Classes, " "); got != "close look move" || beds.Settings.Classes[0].DedupWindow != 6*time.Second || beds.Settings.Classes[2].Deadline != 2*time.Second {
		t.Errorf("beds has %s: %+v", got, beds.Settings.Classes)
	}
	if got := strings.Join(labs.Site.Classes, " "); got != "close look" || labs.Settings.Classes[0].DedupWindow != 12*time.Second {
		t.Errorf("labs has %s: %+v", got, labs.Settings.Classes)
	}
	if cfg.Sources["beds"].List != "127.0.0.1:9999" || cfg.Sources["labs"].List != "127.0.0.1:8501" || len(cfg.Bans) != 2 || cfg.Bans[0] != (Ban{"s3", "beds", ""}) || cfg.Bans[1].Source != "labs" {
		t.Errorf("sources %+v, bans %+v", cfg.Sources, cfg.Bans)
	}
	was, err := underParts(t, nil, nil)
	if err != nil || !was.one("labs").EqualExceptSource(*cfg.one("labs")) {
		t.Errorf("%v: an instance of labs is replaced because of a change of beds", err)
	}
}

func TestInvalidServicePartIsRejectedWithItsLine(t *testing.T) {
	class := func(name, rest string) string {
		return "[[class]]\nname = \"" + name + "\"\naim = \"1s\"\ndeadline = \"2s\"\n" + rest
	}
	for name, test := range map[string]struct {
		texts map[string]string
		want  string
	}{
		"an unknown key":              {map[string]string{"beds": class("x", "speed = 3\n")}, "policy 4 of beds:5: class.speed"},
		"a table of the global part":  {map[string]string{"beds": "\n[rules]\nmax_attempts = 1\n"}, "policy 4 of beds:2: rules"},
		"a limit":                     {map[string]string{"beds": "[[limit]]\nname = \"x\"\n"}, "policy 4 of beds:1: limit"},
		"another service's source":    {map[string]string{"beds": "[[source]]\nname = \"labs\"\nlist = \"a:1\"\n"}, "policy 4 of beds:2: source[0].name"},
		"another service's ban":       {map[string]string{"beds": "[[ban]]\nserver = \"s\"\nsource = \"labs\"\n"}, "policy 4 of beds:3: ban[0].source"},
		"a ban without a server":      {map[string]string{"labs": "[[ban]]\nserver = \"s\"\n", "beds": "[[ban]]\nserver = \"s\"\n[[ban]]\nreason = \"none\"\n"}, "policy 4 of beds:3: ban[1].server"},
		"a list that is none":         {map[string]string{"labs": "[[source]]\nlist = \"nowhere\"\n"}, "policy 4 of labs:2: source[0].list"},
		"a window without a key":      {map[string]string{"beds": class("look", "") + class("y", "window = \"1s\"\n")}, "policy 4 of beds:9: class[1].window"},
		"a class of the part for all": {map[string]string{"": class("x", ""), "beds": class("x", "")}, "policy 4 of beds:2: class[0].name"},
		"a source of the part for all": {map[string]string{"": "[[source]]\nname = \"beds\"\nlist = \"127.0.0.1:1\"\n[[source]]\nname = \"labs\"\nlist = \"127.0.0.1:1\"\n",
			"beds": "[[source]]\nlist = \"127.0.0.1:1\"\n"}, "policy 4 of beds:1: source[0].name"},
		"a deadline past what limits are leased for": {map[string]string{"": "[[limit]]\nname = \"all\"\ncounts = \"requests\"\nkind = \"soft\"\nfigure = 9\n", "beds": "[[class]]\nname = \"slow\"\naim = \"1s\"\ndeadline = \"90s\"\n"}, "policy 4 of beds:4: class[0].deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := underParts(t, test.texts, nil); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}

func TestServiceIntersectionIsTheStricterOfBoth(t *testing.T) {
	class := func(repeats, rest string) string {
		return "[[class]]\nname = \"close\"\nrepeats = \"" + repeats + "\"\naim = \"1s\"\ndeadline = \"20s\"\n" + rest
	}
	cfg, err := underParts(t, map[string]string{"beds": class("keyed", "window = \"6s\"\n") + "[[ban]]\nserver = \"s1\"\n"}, map[string]string{"beds": class("keyed", "window = \"9s\"\n") + "[[ban]]\nserver = \"s2\"\n", "": "[[ban]]\nserver = \"s3\"\n"})
	if err != nil {
		t.Fatal(err)
	}
	if k := cfg.one("beds").Agent.Settings.Classes[0]; k.DedupWindow != 6*time.Second || len(cfg.Bans) != 3 {
		t.Errorf("class %+v, bans %v", k, cfg.Bans)
	}
	// If a part is added, the classes are the intersection of the file's classes and the part's classes.
	if cfg, err = underParts(t, nil, map[string]string{"beds": class("safe", "")}); err != nil || cfg.one("beds").Agent.Settings.Classes[0].Effect != decide.NonIdempotent || cfg.one("labs").Agent.Settings.Classes[0].Effect != decide.Keyed {
		t.Errorf("the added part is not intersected with the file's classes: %v", err)
	}
	if _, err := underParts(t, nil, map[string]string{"beds": "[[source]]\nlist = \"127.0.0.1:9\"\n"}); err == nil || !strings.Contains(err.Error(), "differ in [source]") {
		t.Errorf("a part with another list for beds: %v", err)
	}
}
