package daemonconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// validFile is the text of a valid settings file.
const validFile = `admin = "127.0.0.1:7900"
[limits]
sockets = 4000
memory_mb = 256
[[source]]
name = "main"
list = "127.0.0.1:8500"
[site]
zones = ["a", "b"]
kinds = ["k"]
[rules]
balancers = 3
[[class]]
name = "get"
repeats = "safe"
aim = "500ms"
deadline = "2s"
worth = 1.0
[[class]]
name = "pay"
aim = "500ms"
deadline = "2s"
worth = 1.0
[defaults]
zone = "b"
[[instance]]
name = "one"
listen = "127.0.0.1:7001"
zone = "a"
classes = ["get"]
[[template]]
name = "many-{n}"
listen = "127.0.0.1:{port}"
count = 3
first = 10
port = 7010
[[template]]
name = "sock-{n}"
listen = "unix:/tmp/v-{n}.sock"
count = 2
`

func writeFile(t testing.TB, dir, text string) string {
	t.Helper()
	path := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// loadText loads a settings file with the given text.
func loadText(t *testing.T, text string) *Config {
	t.Helper()
	cfg, err := Load(writeFile(t, t.TempDir(), text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestLoad(t *testing.T) {
	cfg, err := Load(writeFile(t, t.TempDir(), validFile))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, i := range cfg.Instances {
		names = append(names, i.Name+"@"+i.Listen.String())
	}
	want := "many-10@tcp:127.0.0.1:7010 many-11@tcp:127.0.0.1:7011 many-12@tcp:127.0.0.1:7012 one@tcp:127.0.0.1:7001 sock-0@unix:/tmp/v-0.sock sock-1@unix:/tmp/v-1.sock"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("instances %s\nwant %s", got, want)
	}
	one, many := cfg.Instances[3].Agent, cfg.Instances[0].Agent
	if one.Settings.Zone != 0 || many.Settings.Zone != 1 || len(one.Settings.Classes) != 1 || len(many.Settings.Classes) != 2 {
		t.Errorf("settings %+v", one.Settings)
	}
	if one.Settings.Tick != 0 || one.Margin != 5*time.Millisecond || one.Settings.Balancers != 3 {
		t.Errorf("tick %v, margin %v", one.Settings.Tick, one.Margin)
	}
	if one.Sockets < 500 || one.BodyBytes < 1<<20 {
		t.Errorf("instance one's share is too small: %d sockets, %d bytes", one.Sockets, one.BodyBytes)
	}
}

func TestShippedExampleLoads(t *testing.T) {
	if _, err := Load("../../../deploy/fleet.toml"); err != nil {
		t.Error(err)
	}
}

func TestMistakesAreReportedWithTheirKeys(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`admin = "127.0.0.1:7900"`, ``, "fleet.toml:1: admin: missing"},
		{`admin = "127.0.0.1:7900"`, `admin = "localhost:7900"`, `fleet.toml:1: admin: "localhost:7900": "localhost" is not an IP`},
		{`admin = "127.0.0.1:7900"`, `admin = "127.0.0.1:7001"`, "fleet.toml:1: admin: tcp:127.0.0.1:7001 is already used by instance one"},
		{`admin = "127.0.0.1:7900"`, `admin = "unix:"`, "fleet.toml:1: admin: "},
		{`list = "127.0.0.1:8500"`, `list = "127.0.0.1:0"`, `fleet.toml:7: source[0].list: "127.0.0.1:0"`},
		{`list = "127.0.0.1:8500"`, `lust = "127.0.0.1:0"`, "fleet.toml:7: source.lust: there is no such key"},
		{`balancers = 3`, `balancers = -3`, "fleet.toml:12: rules.balancers: -3"},
		{`balancers = 3`, `drain_grace = "-1s"`, "fleet.toml:12: rules.drain_grace: -1s"},
		{`balancers = 3`, `drain_grace = 2`, `fleet.toml:12: rules.drain_grace: "2" is no time`},
		{`repeats = "safe"`, `repeats = "maybe"`, `fleet.toml:15: class[0].repeats: "maybe" is none of`},
		{`repeats = "safe"`, `repeats = "keyed"`, "fleet.toml:13: class[0].window: 0s: a keyed class needs a window"},
		{`name = "pay"`, `name = "get"`, `fleet.toml:20: class[1].name: "get" is used twice`},
		{`zone = "a"`, `zone = "c"`, `fleet.toml:29: instance[0].zone: "c" is none of a, b`},
		{`classes = ["get"]`, `classes = ["put"]`, `fleet.toml:30: instance[0].classes: "put" is none of get, pay`},
		{`classes = ["get"]`, `classes = []`, `fleet.toml:30: instance[0].classes: at least one class is needed`},
		{`listen = "127.0.0.1:7001"`, `listen = "127.0.0.1:7011"`, "fleet.toml:33: template[0].listen: tcp:127.0.0.1:7011 is already used by instance one"},
		{`name = "one"`, `name = "many-11"`, `fleet.toml:32: template[0].name: "many-11" is used twice`},
		{`name = "many-{n}"`, `name = "many"`, `fleet.toml:32: template[0].name: "many" is used twice`},
		{`count = 3`, `count = 0`, "fleet.toml:34: template[0].count: 0"},
		{`count = 3`, "tick = \"5 apples\"\ncount = 3", `fleet.toml:34: template[0].tick: "5 apples" is no time`},
		{`port = 7010`, `port = 65534`, `fleet.toml:33: template[0].listen: "127.0.0.1:65536": "65536" is not a port number`},
		{`sockets = 4000`, `sockets = 100`, "fleet.toml:3: limits.sockets: 100 are too few for 6 instances"},
		{`memory_mb = 256`, `memory_mb = 1`, "fleet.toml:4: limits.memory_mb: 1 are too few"},
		{`memory_mb = 256`, `memory_mb = -1`, "fleet.toml:2: limits: "},
		{`name = "main"`, `name = ""`, "fleet.toml:6: source[0].name: "},
	} {
		t.Run(test.new+" for "+test.old, func(t *testing.T) {
			if !strings.Contains(validFile, test.old) {
				t.Fatal("the valid file does not contain the text to be replaced")
			}
			_, err := Load(writeFile(t, t.TempDir(), strings.Replace(validFile, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v\nwant %s", err, test.want)
			}
		})
	}
}

// The shares do not exceed the total, keep the floor, and are split by weight.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 50).Draw(t, "weights")
		floor := rapid.IntRange(1, 100).Draw(t, "floor")
		total := rapid.IntRange(0, 20000).Draw(t, "total")
		all, err := Shares(total, floor, weights)
		if err != nil {
			if total >= floor*len(weights) {
				t.Fatalf("the total covers the floors: %v", err)
			}
			return
		}
		sum := 0
		for i, n := range all {
			sum += n
			if n < floor {
				t.Fatalf("a share of %d is below the floor", n)
			}
			for j := range all {
				if weights[i] > weights[j] && n < all[j] {
					t.Fatalf("weight %v gets %d, and the lower weight %v gets %d", weights[i], n, weights[j], all[j])
				}
			}
		}
		if sum > total || total-sum > len(weights) {
			t.Fatalf("the shares add up to %d of %d", sum, total)
		}
	})
}

func FuzzLoad(f *testing.F) {
	f.Add(validFile)
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text string) {
		path := writeFile(t, dir, text)
		if _, err := Load(path); err != nil && !strings.HasPrefix(err.Error(), path+":") {
			t.Errorf("an error does not name the file: %v", err)
		}
	})
}
