package soak

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/internal/faulttest/faultbuild"
	"vetchhaven/internal/faulttest/soak/check"
)

// shortPlay is a play of CI: a seed, and the faults of its processes where they are not its own.
type shortPlay struct {
	seed   uint64
	faults []string // nil: those that the seed draws
}

// shortPlays are what CI plays: one with writes that are held up, one with a wall clock that is off, and three that have the
// rest of what is drawn. The last one is quiet for half a minute.
var shortPlays = []shortPlay{
	{1, []string{"VETCHHAVEN_FAULT_WRITE_HOLD=20", "VETCHHAVEN_FAULT_WRITE_HOLD_MS=150"}},
	{2, []string{"VETCHHAVEN_FAULT_CLOCK_S=-3600", "VETCHHAVEN_FAULT_ACCEPT=10", "VETCHHAVEN_FAULT_SHORT=4"}},
	{17, nil},
	{286, nil},
	{28, nil},
}

var shortSize = Size{Agents: 4, Daemons: 1, Servers: 5, Length: 6 * time.Second}

// plan is the play's plan.
func (p shortPlay) plan() Plan {
	plan := Draw(p.seed, shortSize)
	if p.faults != nil {
		plan = plan.WithFaults(p.faults)
	}
	return plan
}

// A few fixed seeds with real processes keep to all invariants.
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
				t.Errorf("too little happened: %v", report.Exercised)
			}
		})
	}
}

// What CI plays has each of the troubles that are drawn apart: series of signals, faults of directory servers, a crowd, a quiet
// time, the pages' deadline.
func TestShortPlaysHaveAllCrossings(t *testing.T) {
	var plans []Plan
	for _, p := range shortPlays {
		plans = append(plans, p.plan())
	}
	have := coverage(plans)
	wanted := []string{"crowd", "quiet", "the pages' deadline"}
	for series := range int(afterLastSeries) - 1 {
		wanted = append(wanted, fmt.Sprint("series ", 1+series))
	}
	for fault := range int(directoryFaults) - 1 {
		wanted = append(wanted, fmt.Sprint("directory fault ", 1+fault))
	}
	for _, name := range wanted {
		if !have[name] {
			t.Errorf("no play has: %s", name)
		}
	}
}
