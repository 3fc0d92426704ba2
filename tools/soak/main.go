// Command soak runs random fault tests, one for each seed, against real processes of the program, and checks the
// recorded histories; see docs/operate/soak.md.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/faulttest/faultbuild"
	"vetchhaven/internal/faulttest/soak"
	"vetchhaven/internal/faulttest/soak/check"
)

// options are the command's flags.
type options struct {
	seeds     string
	most      time.Duration
	size      soak.Size
	program   string
	buildOnly string
	keep      string
	shrink    int
	plan      string
	faults    []string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := options{}
	c := &cobra.Command{Use: "soak", Short: "Run random fault tests against real processes, and check the recorded histories", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return run(ctx, o, c.OutOrStdout()) }}
	f := c.Flags()
	f.StringVar(&o.seeds, "seeds", "1-10", "a seed, or the first and the last seed of a range")
	f.DurationVar(&o.most, "for", 30*time.Minute, "start no further run after this time")
	f.IntVar(&o.size.Agents, "agents", 16, "processes of run, up to 60")
	f.IntVar(&o.size.Daemons, "daemons", 4, "processes of serve, up to 20")
	f.IntVar(&o.size.Servers, "servers", 10, "stand-in servers, up to 100")
	f.DurationVar(&o.size.Length, "length", 12*time.Second, "length of a run, up to 10m")
	f.StringVar(&o.program, "program", "", "a program built with --build-only; default: build it first")
	f.StringVar(&o.buildOnly, "build-only", "", "build the program with faults as this file, and run nothing")
	f.StringVar(&o.keep, "keep", "", "a directory for plans, histories and logs of runs that fail")
	f.IntVar(&o.shrink, "shrink", 0, "most runs that search for a smaller plan that fails too")
	f.StringArrayVar(&o.faults, "fault", nil, "a fault in all processes, NAME=VALUE as in internal/faulttest/faultbuild, instead of those that seeds draw")
	f.StringVar(&o.plan, "plan", "", "run this plan, as --keep wrote it, instead of seeds")
	if err := c.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// check returns an error if a flag is out of bounds.
func (o *options) check() error {
	for _, b := range []struct {
		name        string
		value, most int
	}{{"agents", o.size.Agents, 60}, {"daemons", o.size.Daemons, 20}, {"servers", o.size.Servers, 100}, {"shrink", o.shrink, 200}} {
		if b.value < 0 || b.value > b.most {
			return fmt.Errorf("--%s: %d is not within 0 to %d", b.name, b.value, b.most)
		}
	}
	if o.size.Servers == 0 || o.size.Agents+o.size.Daemons == 0 {
		return errors.New("--servers, --agents, --daemons: at least one server and one process are needed")
	}
	if o.size.Length < 2*time.Second || o.size.Length > 10*time.Minute {
		return fmt.Errorf("--length: %v is not within 2s to 10m", o.size.Length)
	}
	return nil
}

func (o *options) plans() ([]soak.Plan, error) {
	if o.plan != "" {
		raw, err := os.ReadFile(o.plan)
		if err != nil {
			return nil, fmt.Errorf("--plan: %w", err)
		}
		var p soak.Plan
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, fmt.Errorf("--plan %s: %w", o.plan, err)
		}
		return []soak.Plan{p}, nil
	}
	first, last, many := strings.Cut(o.seeds, "-")
	from, err := strconv.ParseUint(first, 10, 32)
	to := from
	if err == nil && many {
		to, err = strconv.ParseUint(last, 10, 32)
	}
	if err != nil || to < from || to-from >= 100_000 {
		return nil, fmt.Errorf("--seeds: %q is not a seed or a range such as 1-200", o.seeds)
	}
	var all []soak.Plan
	for seed := from; seed <= to; seed++ {
		p := soak.Draw(seed, o.size)
		if len(o.faults) > 0 {
			p = p.WithFaults(o.faults)
		}
		all = append(all, p)
	}
	return all, nil
}

func run(ctx context.Context, o options, out io.Writer) error {
	if err := o.check(); err != nil {
		return err
	}
	flags := []string{"-ldflags=-linkmode=external"}
	if o.buildOnly != "" {
		return faultbuild.Build(ctx, "vetchhaven/cmd/vetchhaven", o.buildOnly, flags...)
	}
	plans, err := o.plans()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "vetchhaven-soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if o.program == "" {
		o.program = filepath.Join(dir, "vetchhaven")
		if err := faultbuild.Build(ctx, "vetchhaven/cmd/vetchhaven", o.program, flags...); err != nil {
			return err
		}
	}
	total, failed, played := map[check.Invariant]int{}, 0, 0
	for began := time.Now(); len(plans) > 0 && time.Since(began) < o.most && ctx.Err() == nil; plans = plans[1:] {
		report, err := o.play(ctx, plans[0], dir)
		if ctx.Err() != nil {
			break
		}
		played++
		if err == nil && len(report.Violations) == 0 {
			fmt.Fprintf(out, "seed %d: kept, %d requests\n", plans[0].Seed, report.Exercised[check.OneAnswer])
		} else {
			failed++
			o.printFailure(ctx, out, plans[0], dir, report, err)
		}
		for i, n := range report.Exercised {
			total[i] += n
		}
	}
	fmt.Fprintf(out, "\n%d plays, %d failed, %d not played\n", played, failed, len(plans))
	for _, i := range check.Invariants {
		fmt.Fprintf(out, "%-22s at stake %d times\n", i, total[i])
	}
	for _, i := range check.Counts {
		fmt.Fprintf(out, "%-22s %d\n", i, total[i])
	}
	if failed > 0 || ctx.Err() != nil {
		return fmt.Errorf("%d of %d runs failed", failed, played)
	}
	return nil
}

// play runs a plan in a directory of its own. If the run fails, it copies the plan, history, report and logs to the
// directory of --keep.
func (o *options) play(ctx context.Context, p soak.Plan, dir string) (check.Report, error) {
	files, err := os.MkdirTemp(dir, "play")
	if err != nil {
		return check.Report{}, err
	}
	defer os.RemoveAll(files)
	history, rules, err := soak.Play(ctx, p, o.program, files)
	report := check.Check(rules, history)
	if o.keep != "" && (err != nil || len(report.Violations) > 0) {
		if e := keep(filepath.Join(o.keep, fmt.Sprintf("seed-%d", p.Seed)), files, p, history, report); e != nil {
			return report, errors.Join(err, e)
		}
	}
	return report, err
}

const maxPrinted = 12 // maximum number of violations printed for one run

// printFailure prints the violations of a failed run and, with --shrink, a smaller plan that violates the same
// invariant.
func (o *options) printFailure(ctx context.Context, out io.Writer, p soak.Plan, dir string, report check.Report, err error) {
	fmt.Fprintf(out, "seed %d: FAILED, %d violations, error %v\n%s\n", p.Seed, len(report.Violations), err, p)
	for i, v := range report.Violations {
		if i == maxPrinted {
			fmt.Fprintf(out, "  and %d more\n", len(report.Violations)-maxPrinted)
			break
		}
		fmt.Fprintf(out, "  %s\n", v)
	}
	if o.shrink == 0 || len(report.Violations) == 0 {
		return
	}
	wanted := report.Violations[0].Invariant
	quiet := *o
	quiet.keep = ""
	smaller := soak.Shrink(p, o.shrink, func(p soak.Plan) bool {
		r, _ := quiet.play(ctx, p, dir)
		for _, v := range r.Violations {
			if v.Invariant == wanted {
				return true
			}
		}
		return false
	})
	fmt.Fprintf(out, "a smaller plan that breaks %s:\n%s\n", wanted, smaller)
}

// keep writes the plan, history and report of a failed run, and copies the logs of its processes.
func keep(to, files string, p soak.Plan, history []check.Event, report check.Report) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	for name, what := range map[string]any{"plan.json": p, "history.json": history, "report.json": report} {
		raw, err := json.Marshal(what)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), raw, 0o600); err != nil {
			return err
		}
	}
	logs, err := filepath.Glob(filepath.Join(files, "*", "log"))
	if err != nil {
		return err
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(log))+".log"), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
