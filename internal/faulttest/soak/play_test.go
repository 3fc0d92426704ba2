package soak

import (
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/faultbuild"
	"vetchhaven/internal/faulttest/soak/check"
)

// A few fixed seeds with real processes, one of them with writes that are held up, one with a wall clock that is off.
func TestShortPlays(t *testing.T) {
	program := filepath.Join(t.TempDir(), "vetchhaven")
	if err := faultbuild.Build(t.Context(), "vetchhaven/cmd/vetchhaven", program); err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		seed  uint64
		fault []string
	}{
		{1, []string{"VETCHHAVEN_FAULT_WRITE_HOLD=20", "VETCHHAVEN_FAULT_WRITE_HOLD_MS=150"}},
		{2, []string{"VETCHHAVEN_FAULT_CLOCK_S=-3600", "VETCHHAVEN_FAULT_ACCEPT=10", "VETCHHAVEN_FAULT_SHORT=4"}},
	} {
		p := Draw(row.seed, Size{Agents: 4, Daemons: 1, Servers: 5, Length: 6 * time.Second}).WithFaults(row.fault)
		history, rules, err := Play(t.Context(), p, program, t.TempDir())
		if err != nil {
			t.Errorf("%v\n%s", err, p)
		}
		report := check.Check(rules, history)
		for _, v := range report.Violations {
			t.Errorf("%s\n%s", v, p)
		}
		if report.Exercised[check.OneAnswer] < 100 || report.Exercised[check.CleanStop] < 5 {
			t.Errorf("seed %d: too little happened: %v", row.seed, report.Exercised)
		}
	}
}
