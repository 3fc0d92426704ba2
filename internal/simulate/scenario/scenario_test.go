package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/simulate/model"
)

const good = `title = "t"
length = "30s"
[agents]
count = 2
[load]
rate = 10.0
[network]
zones = ["a", "b"]
[[kind]]
name = "k"
cores = 2
speed = 1.0
queue = 10
[[class]]
name = "fetch"
share = 1.0
work = "50ms"
aim = "500ms"
deadline = "2s"
worth = 1.0
[[servers]]
name = "s"
kind = "k"
count = 2
[[incident]]
what = "fast-errors"
at = "5s"
for = "5s"
servers = ["s-1"]
share = 0.5
`

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestGood(t *testing.T) {
	s, err := Load(write(t, t.TempDir(), "s.toml", good))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Servers) != 2 || s.Servers[1].Name != "s-2" || len(s.Timeline) != 2 || s.Timeline[1].At != 10*time.Second || len(s.Marks) != 1 {
		t.Errorf("%+v", s)
	}
}

// Each mistake is reported with its line and its field.
func TestMistakesAreNamed(t *testing.T) {
	for _, tt := range []struct{ old, new, want string }{
		{`rate = 10.0`, `rate = -1.0`, "s.toml:6: load.rate: -1 is not above 0"},
		{`rate = 10.0`, `rate = nan`, "s.toml:6: load.rate: NaN is not above 0"},
		{`rate = 10.0`, `rats = 10.0`, "s.toml:6: load.rats: there is no such key"},
		{`length = "30s"`, `length = "0s"`, "s.toml:2: length: 0s: a time above 0"},
		{`length = "30s"`, `length = 30`, "s.toml:2: length"},
		{`length = "30s"`, `length = "30x"`, `s.toml:2: length: "30x" is no time`},
		{`length = "30s"`, `length = "8s"`, "s.toml:28: incident[0].for: 5s from 5s is past the 8s"},
		{`at = "5s"`, `at = "30s"`, "s.toml:27: incident[0].at: 30s is not within the 30s"},
		{`at = "5s"`, `at = "-1s"`, "s.toml:27: incident[0].at: -1s is not within"},
		{`servers = ["s-1"]`, `servers = ["s-1", "s-9"]`, `s.toml:29: incident[0].servers: "s-9" is not in the fleet`},
		{`servers = ["s-1"]`, `servers = []`, "s.toml:29: incident[0].servers: no server is named"},
		{`servers = ["s-1"]`, ``, "s.toml:25: incident[0].servers: is required by fast-errors"},
		{`share = 0.5`, `share = 1.5`, "s.toml:30: incident[0].share: 1.5 is not a share"},
		{`share = 0.5`, "share = 0.5\nfactor = 2.0", "s.toml:31: incident[0].factor: fast-errors does not take this field"},
		{`what = "fast-errors"`, `what = "fast-error"`, `s.toml:26: incident[0].what: "fast-error" is none of`},
		{`count = 2` + "\n[load]", `count = 0` + "\n[load]", "s.toml:4: agents.count: 0: 1 to 5000"},
		{`zones = ["a", "b"]`, `zones = ["a", "a"]`, `s.toml:8: network.zones: "a" is empty or named twice`},
		{`kind = "k"`, `kind = "j"`, `s.toml:23: servers[0].kind: "j" is none of k`},
		{`kind = "k"` + "\ncount = 2", `kind = "k"` + "\ncount = -2", "s.toml:24: servers[0].count: -2: at least 1"},
		{`cores = 2`, `cores = 0`, "s.toml:11: kind[0]."},
		{`speed = 1.0`, `speed = 0.0`, "s.toml:12: kind[0].speed: 0 is not above 0"},
		{`aim = "500ms"`, `aim = "3s"`, "s.toml:18: class[0].aim: 3s is past the deadline"},
		{`worth = 1.0`, "worth = 1.0\nrepeats = \"keyed\"", "s.toml:14: class[0].window: 0s: a keyed class has a window"},
		{`worth = 1.0`, "worth = 1.0\nrepeats = \"maybe\"", `s.toml:21: class[0].repeats: "maybe" is none of safe, keyed, unsafe`},
		{`title = "t"`, `title = "t` + "\n", "s.toml:1: "},
		{`[[servers]]`, `[[server]]`, "s.toml:21: server: there is no such key"},
	} {
		if !strings.Contains(good, tt.old) {
			t.Fatalf("%q is not in the valid scenario", tt.old)
		}
		_, err := Load(write(t, t.TempDir(), "s.toml", strings.Replace(good, tt.old, tt.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v\nwant %s", tt.new, tt.old, err, tt.want)
		}
	}
}

// Errors in a site file name the site file, and a scenario's settings override the site's.
func TestSite(t *testing.T) {
	dir := t.TempDir()
	cut := strings.Index(good, "[[incident]]")
	site := strings.Replace(strings.Replace(good[:cut], "title = \"t\"\n", "", 1), "length = \"30s\"\n", "", 1)
	write(t, dir, "site.toml", site)
	own := "title = \"u\"\nsite = \"site.toml\"\nlength = \"30s\"\n[load]\nrate = 99.0\n" + good[cut:]
	s, err := Load(write(t, dir, "s.toml", own))
	if err != nil {
		t.Fatal(err)
	}
	if s.Rate != 99 || s.Agents != 2 || len(s.Servers) != 2 {
		t.Errorf("%+v", s)
	}
	s, err = Load(write(t, dir, "s.toml", own+"[[servers]]\nname = \"s\"\nkind = \"k\"\ncount = 1\n"))
	if err != nil || len(s.Servers) != 1 {
		t.Errorf("%v: a scenario's own servers replace the site's", err)
	}
	write(t, dir, "site.toml", strings.Replace(site, "speed = 1.0", "speed = -1.0", 1))
	if _, err = Load(write(t, dir, "s.toml", own)); err == nil || !strings.Contains(err.Error(), "site.toml:10: kind[0].speed: -1") {
		t.Errorf("%v", err)
	}
	write(t, dir, "site.toml", site+"[[incident]]\nwhat = \"load\"\n")
	if _, err = Load(write(t, dir, "s.toml", own)); err == nil || !strings.Contains(err.Error(), "belongs in a scenario") {
		t.Errorf("%v", err)
	}
	if _, err = Load(write(t, dir, "s.toml", strings.Replace(own, "site.toml", "none.toml", 1))); err == nil {
		t.Error("a site file that does not exist gives no error")
	}
}

// All shipped scenarios load, and each of their incidents is one that the model implements.
func TestShippedScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(paths) < 10 {
		t.Fatal(paths, err)
	}
	for _, p := range paths {
		if strings.HasSuffix(p, "site.toml") {
			continue
		}
		if s, err := Load(p); err != nil {
			t.Error(err)
		} else if s.Title == "" {
			t.Errorf("%s has no title", p)
		}
	}
}

// A server that joins has its own address; a server that replaces another has the same address.
func TestPlaces(t *testing.T) {
	s, err := Load(write(t, t.TempDir(), "s.toml", good+`[[incident]]
what = "replace"
at = "6s"
servers = ["s-2"]
[[incident]]
what = "join"
at = "7s"
name = "n"
kind = "k"
count = 2
[[incident]]
what = "kill"
at = "20s"
servers = ["n-2", "s-2-new"]
`))
	if err != nil {
		t.Fatal(err)
	}
	places := map[string]int{}
	for _, c := range s.Timeline {
		if op, ok := c.What.(model.Start); ok {
			places[op.Server.Name] = op.Server.Place
		}
	}
	if places["s-2-new"] != 1 || places["n-1"] != 2 || places["n-2"] != 3 {
		t.Error(places)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(good)
	site, err := os.ReadFile("../../../scenarios/season.toml")
	if err == nil {
		f.Add(strings.Replace(string(site), "site = \"site.toml\"\n", "", 1))
	}
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "site") {
			return // the fuzzer must not read other files
		}
		path := filepath.Join(dir, "f.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err != nil && !strings.HasPrefix(err.Error(), path+":") {
			t.Errorf("an error without its file: %v", err)
		}
	})
}
