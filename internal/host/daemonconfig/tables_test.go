package daemonconfig

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// ldapClassTables defines the classes that an instance needs to speak LDAP.
const ldapClassTables = `[[class]]
name = "search"
repeats = "safe"
aim = "5s"
deadline = "60s"
worth = 1.0
[[class]]
name = "modify"
aim = "5s"
deadline = "60s"
worth = 1.0
`

func peersText(name, listen string, seeds ...string) string {
	return fmt.Sprintf("[peers]\nfleet = \"f\"\nname = %q\nlisten = %q\nseeds = [\"%s\"]\nevery = \"50ms\"\n", name, listen, strings.Join(seeds, `", "`))
}

func limitText(name, counts, kind string, figure int, more string) string {
	return fmt.Sprintf("[[limit]]\nname = %q\ncounts = %q\nkind = %q\nfigure = %d\n%s", name, counts, kind, figure, more)
}

func TestLimitTablesAreCheckedStrictly(t *testing.T) {
	const addr = "127.0.0.1:7946"
	dir := t.TempDir()
	peers := peersText("a", addr) + "keepers = [\"a\"]\n"
	for text, want := range map[string]string{
		limitText("x", "requests", "hard", 1, ""):                                                       "limit[0]: shared limits need [peers]",
		peersText("a", addr) + limitText("x", "requests", "hard", 1, ""):                                "peers.keepers: 0 keepers",
		peersText("a", addr) + "keepers = [\"a\", \"a\"]\n" + limitText("x", "requests", "hard", 1, ""): "peers.keepers[1]",
		peers + "term = \"1ms\"\n" + limitText("x", "requests", "hard", 1, ""):                          "peers.term",
		peers + "drift = 0.9\n" + limitText("x", "requests", "hard", 1, ""):                             "peers.drift",
		peers + limitText("x y", "requests", "hard", 1, ""):                                             "limit[0].name",
		peers + limitText("x", "requests", "hard", 1, "") + limitText("x", "requests", "hard", 1, ""):   "limit[1].name",
		peers + limitText("x", "forms", "hard", 1, ""):                                                  "limit[0].counts",
		peers + limitText("x", "requests", "firm", 1, ""):                                               "limit[0].kind",
		peers + limitText("x", "requests", "hard", 0, ""):                                               "limit[0].figure",
		peers + limitText("x", "requests", "hard", 1, "floor = 0.5\n"):                                  "limit[0].floor",
		peers + limitText("x", "requests", "soft", 1, "floor = 1.5\n"):                                  "limit[0].floor",
		peers + limitText("x", "requests", "hard", 1, "class = \"put\"\n"):                              "limit[0].class",
		peers + limitText("x", "requests", "hard", 1, "zone = \"c\"\n"):                                 "limit[0].zone",
		peers + limitText("x", "requests", "hard", 1, "pod = -1\n"):                                     "limit[0].pod",
		peers + limitText("x", "requests", "hard", 1, "each = \"class\"\n"):                             "limit[0].each",
	} {
		_, err := Load(writeFile(t, dir, validFile+strings.Replace(text, `seeds = [""]`, `seeds = []`, 1)))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "fleet.toml:") {
			t.Errorf("%s\nerror %v, want %s", text, err, want)
		}
	}
}

func TestPeersTableIsCheckedStrictly(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"[peers]\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\n":                                                              "peers.fleet",
		"[peers]\nfleet = \"f\"\nname = \"a b\"\nlisten = \"127.0.0.1:7946\"\n":                                             "peers.name",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"here:7946\"\n":                                                    "peers.listen",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"0.0.0.0:7946\"\n":                                                 "peers.advertise",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nseeds = [\"x\"]\n":                              "peers.seeds[0]",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nevery = \"1ms\"\n":                              "peers.every",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nbytes_per_s = 10\n":                             "peers.bytes_per_s",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nfar_bytes_per_s = 10\n":                         "peers.far_bytes_per_s",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nregion = \"" + strings.Repeat("r", 65) + "\"\n": "region",
		"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nsuspect_least = \"1h\"\nevery=\"1s\"":           "peers.suspect_least",
	} {
		_, err := Load(writeFile(t, dir, validFile+text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "fleet.toml:") {
			t.Errorf("%s\nerror %v, want %s", text, err, want)
		}
	}
}

func TestRegionAndItsBandwidthReachMembership(t *testing.T) {
	cfg, err := Load(writeFile(t, t.TempDir(), validFile+"[peers]\nfleet = \"f\"\nname = \"a\"\nlisten = \"127.0.0.1:7946\"\nregion = \"west\"\nfar_bytes_per_s = 5000\n"))
	if err != nil || cfg.Peers.Membership.Region != "west" || cfg.Peers.Membership.RemoteBytesPerSecond != 5000 {
		t.Errorf("error %v, configuration %+v", err, cfg)
	}
}

func TestRecordSourcesAreChecked(t *testing.T) {
	dir := t.TempDir()
	with := func(more string) string { return strings.Replace(validFile, "list = \"127.0.0.1:8500\"\n", more, 1) }
	for want, text := range map[string]string{
		"missing: srv and browse need resolvers": with("srv = [\"_form._tcp.example.org\"]\n"),
		"a name such as":                         with("srv = [\"example.org\"]\nresolvers = [\"127.0.0.1:53\"]\n"),
		"source[0].resolvers":                    with("browse = [\"_form._tcp.example.org\"]\nresolvers = [\"ns.example.org:53\"]\n"),
		"source[0].list":                         with(""),
		"source[0].group":                        with("multicast = \"_form._tcp.local\"\n"),
	} {
		if _, err := Load(writeFile(t, dir, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %s, got %v", want, err)
		}
	}
	cfg, err := Load(writeFile(t, dir, with("srv = [\"_form._tcp.example.org\"]\nresolvers = [\"127.0.0.1:53\"]\nhold = \"10m\"\n")))
	if err != nil || cfg.Sources["main"].Hold != 10*time.Minute || !cfg.Sources["main"].HasRecords() {
		t.Errorf("configuration %+v, error %v", cfg, err)
	}
}

// Errors in the settings of an instance that speaks LDAP are reported with their line.
func TestLDAPInstancesAreChecked(t *testing.T) {
	dir := t.TempDir()
	inst := "[[instance]]\nname = \"dir\"\nprotocol = \"ldap\"\nlisten = \"127.0.0.1:7055\"\n"
	for want, text := range map[string]string{
		"needs a class \"search\"":       validFile + inst,
		"none of http, ldap":             validFile + strings.Replace(inst, "\"ldap\"", "\"smtp\"", 1),
		"not a class of LDAP operations": validFile + ldapClassTables + inst + "classes = [\"search\", \"modify\", \"get\"]\n",
		"is keyed":                       validFile + strings.Replace(ldapClassTables, "\"modify\"", "\"modify\"\nrepeats = \"keyed\"\nwindow = \"1s\"", 1) + inst,
		"go together":                    validFile + ldapClassTables + inst + "[ldap]\ncertificate = \"x\"\n",
		"none of starttls, ldaps":        validFile + ldapClassTables + inst + "[ldap]\nserver_tls = \"some\"\n",
		"no such file":                   validFile + ldapClassTables + inst + "[ldap]\nserver_tls = \"ldaps\"\nserver_ca = \"none.pem\"\n",
		"ldap.max_message":               validFile + ldapClassTables + inst + "[ldap]\nmax_message = -1\n",
	} {
		if _, err := Load(writeFile(t, dir, text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), filepath.Join(dir, "")) {
			t.Errorf("want %s, got %v", want, err)
		}
	}
	cfg, err := Load(writeFile(t, dir, validFile+ldapClassTables+inst))
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range cfg.Instances {
		if i.Name == "dir" && (i.LDAP == nil || fmt.Sprint(i.Agent.Site.Classes) != "[search modify]") || i.Name == "one" && i.LDAP != nil {
			t.Errorf("instance %+v", i)
		}
	}
}
