package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/report"
	"vetchhaven/internal/simulate/scenario"
	"vetchhaven/internal/simulate/statistics"
)

// ownPolicy is the name of this project's decision module among the policies.
const ownPolicy = "vetchhaven"

type rehearseFlags struct {
	sockets    bool
	seed       uint64
	policy     string
	against    []string
	json, html string
	listAt     string
	agentsAt   []string
	quiet      bool
}

func rehearseCommand() *cobra.Command {
	var f rehearseFlags
	c := &cobra.Command{
		Use:   "rehearse SCENARIO.toml",
		Short: "Simulate an incident with the real decision module, and report the results",
		Long: "rehearse simulates a scenario (see scenarios/) with emulated form servers, server list, network and\n" +
			"clients around the decision module: in virtual time, where the same seed gives the same report, or\n" +
			"with --sockets in real time on loopback, around real agent processes.\n\n" +
			"Exit status: 0; 1 a rule was broken; 2 the scenario or a flag is invalid. Ctrl-C ends it with\n" +
			"the report so far.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return rehearse(args[0], f, os.Stdout, os.Stderr) },
	}
	c.Flags().BoolVar(&f.sockets, "sockets", false, "run on loopback sockets and in real time")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random numbers")
	c.Flags().StringVar(&f.policy, "policy", ownPolicy, "the policy that decides: "+ownPolicy+", "+strings.Join(baseline.Names, ", "))
	c.Flags().StringSliceVar(&f.against, "against", nil, "further policies to simulate with the same arrivals and faults")
	c.Flags().StringVar(&f.json, "json", "", "also write the report to this file as JSON")
	c.Flags().StringVar(&f.html, "html", "", "also write the report to this file as a page with plots")
	c.Flags().StringVar(&f.listAt, "list-at", "", "with --sockets: address of the list for agents that already run")
	c.Flags().StringSliceVar(&f.agentsAt, "agents-at", nil, "with --sockets: addresses of agents that already run, such as a fleet's instances")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress on a terminal")
	return c
}

// policyMaker returns the function that creates the named policy for one agent.
func policyMaker(name string) (func(decide.Settings, uint64) (virtual.Policy, error), error) {
	if name == ownPolicy {
		return virtual.Decide, nil
	}
	newPolicy, err := baseline.Maker(name)
	if err != nil {
		return nil, err
	}
	return func(s decide.Settings, seed uint64) (virtual.Policy, error) { return newPolicy(s, seed) }, nil
}

func rehearse(path string, f rehearseFlags, out, errs io.Writer) error {
	s, err := scenario.Load(path)
	if err != nil {
		return exitError{2, err}
	}
	names := append([]string{f.policy}, f.against...)
	for _, n := range names {
		if _, err := policyMaker(n); err != nil {
			return exitError{2, err}
		}
	}
	if (f.listAt == "") != (len(f.agentsAt) == 0) || f.listAt != "" && !f.sockets {
		return exitError{2, errors.New("--list-at and --agents-at must be given together, and only with --sockets")}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	summary := &report.Report{Scenario: s, Seed: f.seed, Driver: "virtual time"}
	if f.sockets {
		if len(f.against) > 0 || f.policy != ownPolicy {
			return exitError{2, errors.New("--sockets runs the real agents: --policy and --against need virtual time")}
		}
		summary.Driver = "sockets"
		summary.Results, err = playSockets(ctx, s, f, errs)
	} else {
		summary.Results, err = playVirtual(ctx, s, f, names, errs)
	}
	if err != nil {
		return exitError{1, err}
	}
	if err := summary.Text(out); err != nil {
		return exitError{1, err}
	}
	for _, o := range []struct {
		path  string
		write func(io.Writer) error
	}{{f.json, summary.JSON}, {f.html, summary.HTML}} {
		if o.path != "" {
			if err := writeFile(o.path, o.write); err != nil {
				return exitError{1, err}
			}
		}
	}
	if summary.Broken() > 0 {
		return exitError{status: 1}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// playVirtual simulates all policies concurrently, each one independent of the others.
func playVirtual(ctx context.Context, s *model.Scenario, f rehearseFlags, names []string, errs io.Writer) ([]report.Result, error) {
	results := make([]report.Result, len(names))
	failures := make([]error, len(names))
	var running sync.WaitGroup
	for i, name := range names {
		running.Go(func() {
			newPolicy, err := policyMaker(name)
			if err != nil {
				failures[i] = err
				return
			}
			o := virtual.Options{Scenario: s, Seed: f.seed, New: newPolicy, Stop: func() bool { return ctx.Err() != nil }}
			if i == 0 {
				o.Progress = progress(s, f, errs)
			}
			p, err := virtual.Play(o)
			if err != nil {
				failures[i] = err
				return
			}
			results[i] = report.Result{Policy: name, Day: p.Day, Judge: p.Judge, CutShort: p.CutShort}
		})
	}
	running.Wait()
	return results, errors.Join(failures...)
}

// progress returns a function that repeatedly overwrites one line, or nil if errs is not a terminal.
func progress(s *model.Scenario, f rehearseFlags, errs io.Writer) func(time.Duration, *statistics.Day) {
	file, ok := errs.(*os.File)
	if !ok || f.quiet {
		return nil
	}
	if info, err := file.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var last atomic.Int64
	return func(now time.Duration, d *statistics.Day) {
		t := time.Now().UnixMilli()
		if t-last.Load() < 200 && now < s.Length {
			return
		}
		last.Store(t)
		if len(d.Windows) > 0 {
			w := d.Windows[max(0, len(d.Windows)-2)]
			fmt.Fprintf(errs, "\r%v of %v, %d asked in 5 s, %d in time \033[K", now, s.Length, w.Offered, w.InTime)
		}
		if now >= s.Length {
			fmt.Fprint(errs, "\r\033[K")
		}
	}
}
