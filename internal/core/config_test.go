package core

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"vetchhaven/internal/testkit"
)

// The error for an invalid configuration must name the invalid field.
func TestInvalidConfigIsRejectedWithItsField(t *testing.T) {
	base := map[string]string{
		"listen":    `"127.0.0.1:0"`,
		"discovery": `"127.0.0.1:1"`,
		"seed":      `"1f"`,
		"limits":    `{}`,
		"settings":  fmt.Sprintf(testkit.SettingsFormat, "automatic", 1000),
	}
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
	noEnv := func(string) string { return "" }
	if _, err := ParseConfig(build("", ""), noEnv); err != nil {
		t.Fatal(err)
	}
	change := func(from, to string) string {
		text := strings.Replace(base["settings"], from, to, 1)
		if text == base["settings"] {
			t.Fatalf("no %s in the settings", from)
		}
		return text
	}
	for _, row := range []struct {
		field string
		value string // empty: the field is missing
		names string // a part of the error
	}{
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
		t.Run(row.field+" without a valid "+row.names, func(t *testing.T) {
			_, err := ParseConfig(build(row.field, row.value), noEnv)
			if err == nil || !strings.Contains(err.Error(), row.names) {
				t.Errorf("error %v does not name %s", err, row.names)
			}
		})
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
	settings := fmt.Sprintf(testkit.SettingsFormat, "subscribe", 1000)
	raw := fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","settings":%s}`, settings)
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
