package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"vetchhaven/internal/standin/dns"
)

// The command prints the merged view, and why each server is in or out.
func TestMembers(t *testing.T) {
	_, list := startFormAndList(t) // lists "s"
	names, err := dns.New()
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	const service = "_form._tcp.example.org"
	for _, err := range []error{names.Set(service, "SRV", service+". 60 IN SRV 0 7 8001 one.example.org."),
		names.Set("one.example.org", "A", "one.example.org. 60 IN A 127.0.0.77")} {
		if err != nil {
			t.Fatal(err)
		}
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.toml")
	text := fmt.Sprintf(fleetFile, dir, list.Addr())
	write(t, path, strings.Replace(text, "name = \"main\"\n", fmt.Sprintf("name = \"main\"\nsrv = [%q]\nresolvers = [%q]\n", service, names.Addr()), 1))
	status, out, errs := runProgram(t, "members", "--config", path, "--wait", "20s")
	for _, want := range []string{"source main: 2 servers", "up by the list", "one.example.org:8001", "127.0.0.77:8001", "up by records"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in %s", want, out)
		}
	}
	if status != 0 {
		t.Errorf("status %d: %s", status, errs)
	}
	if status, _, errs = runProgram(t, "members", "--config", path, "--source", "other"); status != 2 || !strings.Contains(errs, "no source") {
		t.Errorf("status %d, want 2: %s", status, errs)
	}
}
