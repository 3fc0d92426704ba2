package core

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

// A start-up error names the field that is wrong.
func TestInvalidConfigIsRejectedWithItsField(t *testing.T) {
	base := map[string]string{"listen": `"127.0.0.1:0"`, "discovery": `"127.0.0.1:1"`, "seed": `"1f"`,
		"limits": `{}`, "settings": fmt.Sprintf(testkit.Settings, "automatic", 1000)}
	build := func(field, value string) []byte {
		var parts []string
		for k, v := range base {
			if k == field {
				v = value
			}
			if v != "" {
				parts = append(parts, fmt.Sprintf("%q:%s", k, v))
			}
		}
		return []byte("{" + strings.Join(parts, ",") + "}")
	}
	none := func(string) string { return "" }
	if _, err := ParseConfig(build("", ""), none); err != nil {
		t.Fatal(err)
	}
	change := func(old, new string) string {
		text := strings.Replace(base["settings"], old, new, 1)
		if text == base["settings"] {
			t.Fatalf("no %s in the settings", old)
		}
		return text
	}
	for _, row := range []struct{ field, value, names string }{
		{"listen", "", "listen"},
		{"listen", `"here:80"`, "listen"},
		{"discovery", `"127.0.0.1"`, "discovery"},
		{"seed", `"xyz"`, "seed"},
		{"seed", `7`, "Seed"},
		{"limits", `{"sockets":3}`, "limits.sockets"},
		{"limits", `{"cores":-1}`, "limits.cores"},
		{"limits", `{"memory_mb":-1}`, "limits.memory_mb"},
		{"settings", "", "settings"},
		{"settings", change(`"once"`, `"twice"`), "Semantics"},
		{"settings", change(`"Name": "put"`, `"Name": ""`), "Profiles[1].Name"},
		{"settings", change(`"ConnectTimeoutMs": 10000`, `"ConnectTimeoutMs": 0`), "ConnectTimeoutMs"},
		{"settings", change(`"IdleCloseMs": 60000`, `"IdleCloseMs": 0`), "IdleCloseMs"},
		{"settings", change(`"Goal"`, `"PolicyLimits": {"Peers": true}, "Goal"`), "peer_listen"},
	} {
		_, err := ParseConfig(build(row.field, row.value), none)
		if err == nil || !strings.Contains(err.Error(), row.names) {
			t.Errorf("%s = %s: error %v does not name %s", row.field, row.value, err, row.names)
		}
	}
}

func TestLoadConfig(t *testing.T) {
	env := map[string]string{}
	getenv := func(name string) string { return env[name] }
	if _, err := LoadConfig(getenv); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("no file named: %v", err)
	}
	env["PROXY_CONFIG"] = filepath.Join(t.TempDir(), "config.json")
	if _, err := LoadConfig(getenv); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Errorf("no file: %v", err)
	}
	raw := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","settings":%s}`, fmt.Sprintf(testkit.Settings, "subscribe", 1000))
	if err := os.WriteFile(env["PROXY_CONFIG"], []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	env["PROXY_LISTEN"] = "127.0.0.1:3"
	cfg, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Listen != "127.0.0.1:3" || cfg.Discovery != "127.0.0.1:2" || cfg.Seed != 255 || !cfg.Settings.Subscribe {
		t.Errorf("%+v", cfg)
	}
}

// The module's peer messages travel as datagrams, with the sender known by its address.
func TestPeerMessagesAreExchangedByAddress(t *testing.T) {
	cfg := testConfig(t, testkit.Setup{})
	cfg.PeerListen = "127.0.0.1:0"
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	cfg.Peers = []string{"127.0.0.1:9", other.LocalAddr().String()}
	p, err := newPeers(cfg, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan any, 1)
	go p.run(t.Context(), func(e any) { got <- e })
	p.send(1, []byte("hi"))
	p.send(5, []byte("nobody"))
	p.send(1, make([]byte, maxDatagram+1))
	buf := make([]byte, 512)
	n, _, err := other.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "hi" {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	if _, err := other.WriteTo([]byte("yes"), p.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	if m, ok := testkit.Receive(t, "message", got).(decide.PeerMessage); !ok || m.From != 1 || string(m.Data) != "yes" {
		t.Errorf("%+v", m)
	}
}
