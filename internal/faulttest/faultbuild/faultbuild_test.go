package faultbuild

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A patch that does not match the toolchain's sources must be an error, not a build without the fault.
func TestAPatchThatDoesNotFitFails(t *testing.T) {
	p := patch{"f.go", "a", "b"}
	for _, text := range []string{"", "x", "aa"} {
		if got, err := p.apply(text); err == nil || !strings.Contains(err.Error(), "f.go") {
			t.Errorf("%q: %q, %v", text, got, err)
		}
	}
	if got, err := p.apply("xay"); err != nil || got != "xby" {
		t.Errorf("%q, %v", got, err)
	}
	root := t.TempDir()
	if _, err := Overlay(root, t.TempDir()); err == nil {
		t.Error("Overlay succeeded without the toolchain's sources")
	}
}

// Each fault occurs in a program when the environment enables it, and does not occur otherwise.
func TestFaultsAreInjected(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "probe")
	if err := Build(t.Context(), "./testdata/probe", program); err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct{ env, want string }{
		{"", "accept=<nil> connect=<nil> disk=<nil> reset=connection reset by peer"},
		{"", "clock=0 "},
		{"VETCHHAVEN_FAULT_CLOCK_S=-3600", "clock=-3600"},
		{"VETCHHAVEN_FAULT_CLOCK_STEP_S=3600", "clock=3600"},
		{"VETCHHAVEN_FAULT_WRITE_HOLD=1 VETCHHAVEN_FAULT_WRITE_HOLD_MS=150", "hold=true"},
		{"VETCHHAVEN_FAULT_ACCEPT=1", "accept=accept"},
		{"VETCHHAVEN_FAULT_CONNECT=1", "connect=dial"},
		{"VETCHHAVEN_FAULT_CONNECT_LATE=1 VETCHHAVEN_FAULT_CONNECT_LATE_MS=2000 VETCHHAVEN_FAULT_SEED=3", "late=true"},
		{"VETCHHAVEN_FAULT_DISK_TO_MS=60000", "disk=write"},
		{"VETCHHAVEN_FAULT_RESET_ERRNO=113", "reset=no route to host"},
		{"VETCHHAVEN_FAULT_SHORT=1", "reset=connection reset by peer"},
	} {
		cmd := exec.Command(program, dir)
		cmd.Env = append(os.Environ(), strings.Fields(row.env)...)
		out, err := cmd.CombinedOutput()
		if err != nil || !strings.Contains(string(out), row.want) {
			t.Errorf("%q: %s, %v; want %s", row.env, out, err, row.want)
		}
	}
}
