package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"

	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/sockets"
	"vetchhaven/internal/simulate/report"
)

// playSockets simulates a scenario around agent processes that run this program.
func playSockets(ctx context.Context, s *model.Scenario, f rehearseFlags, errs io.Writer) ([]report.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(errs, "simulating %v in real time around %d agents; Ctrl-C ends it with the report so far\n", s.Length,
		cmp.Or(len(f.agentsAt), s.Agents))
	log := &sockets.Tail{}
	p, err := sockets.Play(ctx, sockets.Options{Scenario: s, Seed: f.seed, Log: log, Progress: progress(s, f, errs),
		ListAt: f.listAt, AgentsAt: f.agentsAt,
		Agent: func() *exec.Cmd { return exec.Command(self, "run") }})
	if err != nil {
		return nil, fmt.Errorf("%w\nlast log lines of the agents:\n%s", err, log)
	}
	return []report.Result{{Policy: ownPolicy, Day: p.Day, Judge: p.Judge, CutShort: p.CutShort}}, nil
}
