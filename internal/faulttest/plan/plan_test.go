package plan

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func load(t *testing.T, text string) (*Plan, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestMistakesAreNamedWithLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"daemons = 0":                                                                    "x.toml:1: daemons",
		"daemons = 3\nrate = 5":                                                          "x.toml:2: rate",
		"daemons = 3\nwhat = 5":                                                          "x.toml:2: what",
		"daemons = 3\ntries = [\"settled\", \"x\"]":                                      "tries[1]",
		"daemons = 3\nseeds = [\"d4\"]":                                                  "seeds",
		"daemons = 3\n[groups]\nd1 = [\"d2\"]":                                           "groups.d1",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"x\"":                                "x.toml:4: event[0].do",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"kill\"":                             "event[0].who",
		"daemons = 3\n[[event]]\nat = \"99s\"\ndo = \"kill\"\nwho = [\"d1\"]":            "past the end",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"kill\"\nwho = [\"d1\"]\ndrop = 0.5": "event[0].drop",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"link\"\nwho = [\"d1\"]\nto = [\"d2\"]\ndrop = 1.5": "event[0].drop",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"start\"\nwho = [\"d1\"]\nstate = \"x\"":            "event[0].state",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"starve\"\nwho = [\"d1\"]":                          "event[0].share",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"stray\"\nwho = [\"d1\"]\nkind = \"x\"":             "event[0].kind",
		"daemons = 3\n[[event]]\nat = \"1s\"\ndo = \"kill\"\nwho = [\"d1\"]\ntimes = 3":                 "event[0].times",
	} {
		if _, err := load(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

func TestEventsRepeatAndEndByThemselves(t *testing.T) {
	p, err := load(t, `daemons = 4
[groups]
two = ["d2-d3"]
[[event]]
at = "1s"
do = "link"
who = ["d1"]
to = ["two"]
drop = 1.0
for = "200ms"
every = "1s"
times = 2
[[event]]
at = "500ms"
do = "start"
who = ["d4"]
`)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range p.Events {
		got = append(got, e.At.String()+" "+e.Do)
	}
	if s := strings.Join(got, ", "); s != "500ms start, 1s link, 1.2s heal, 2s link, 2.2s heal" {
		t.Error(s)
	}
	if p.RunsFromStart(3) || !p.RunsFromStart(0) {
		t.Error("First: d4 must start with its event and d1 at the beginning")
	}
	if p.Bounds.Settle != 10*time.Second || len(p.Events[1].To) != 2 {
		t.Error(p.Bounds, p.Events[1])
	}
}
