package soak

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/faultbuild"
	"vetchhaven/internal/faulttest/soak/check"
)

// shortPlay is a run for CI: a seed, and the process faults where they differ from those that the seed draws.
type shortPlay struct {
	seed   uint64
	faults []string // nil: those that the seed draws
}

// shortPlays are the runs of CI: one with delayed writes, one with a wall clock that is off, and three that cover the
// other incidents. The last one has a quiet time of half a minute.
var shortPlays = []shortPlay{
	{1, []string{"VETCHHAVEN_FAULT_WRITE_HOLD=20", "VETCHHAVEN_FAULT_WRITE_HOLD_MS=150"}},
	{2, []string{"VETCHHAVEN_FAULT_CLOCK_S=-3600", "VETCHHAVEN_FAULT_ACCEPT=10", "VETCHHAVEN_FAULT_SHORT=4"}},
	{17, nil},
	{286, nil},
	{28, nil},
}

var shortSize = Size{Agents: 4, Daemons: 1, Servers: 5, Length: 6 * time.Second}

// plan returns the run's plan.
func (p shortPlay) plan() Plan {
	plan := Draw(p.seed, shortSize)
	if p.faults != nil {
		plan = plan.WithFaults(p.faults)
	}
	return plan
}

// Runs with real processes and fixed seeds violate no invariant.
func TestShortPlays(t *testing.T) {
	program := filepath.Join(t.TempDir(), "vetchhaven")
	if err := faultbuild.Build(t.Context(), "vetchhaven/cmd/vetchhaven", program); err != nil {
		t.Fatal(err)
	}
	for _, row := range shortPlays {
		t.Run(fmt.Sprint("seed ", row.seed), func(t *testing.T) {
			p := row.plan()
			history, rules, err := Play(t.Context(), p, program, t.TempDir())
			if err != nil {
				t.Errorf("%v\n%s", err, p)
			}
			report := check.Check(rules, history)
			for _, v := range report.Violations {
				t.Errorf("%s\n%s", v, p)
			}
			if report.Exercised[check.OneAnswer] < 100 || report.Exercised[check.CleanStop] < 5 {
				t.Errorf("invariants were exercised too rarely: %v", report.Exercised)
			}
		})
	}
}

// The runs of CI cover all extra incidents: each series of signals, each fault of directory servers, a crowd, a quiet
// time and the documented deadline.
func TestShortPlaysCoverAllExtraIncidents(t *testing.T) {
	var plans []Plan
	for _, p := range shortPlays {
		plans = append(plans, p.plan())
	}
	have := coverage(plans)
	wanted := []string{"crowd", "quiet", "the documented deadline"}
	for series := range int(afterLastSeries) - 1 {
		wanted = append(wanted, fmt.Sprint("series ", 1+series))
	}
	for fault := range int(directoryFaults) - 1 {
		wanted = append(wanted, fmt.Sprint("directory fault ", 1+fault))
	}
	for _, name := range wanted {
		if !have[name] {
			t.Errorf("no run has: %s", name)
		}
	}
}
