package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/harness"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/policymodel"
	"vetchhaven/internal/faulttest/virtual"
)

type drillFlags struct {
	seed    uint64
	asJSON  bool
	keep    string
	virtual bool
	daemons int
	quiet   bool
	alone   bool
}

func drillCommand() *cobra.Command {
	var f drillFlags
	c := &cobra.Command{
		Use:   "drill FILE",
		Short: "Run a fault test of real daemons on loopback, or in virtual time, and check the result",
		Long: "drill starts daemons, stand-in servers, a list and clients on loopback, with a relay on every link, and\n" +
			"injects the faults of the file: kills, pauses, restarts with old or no disks, broken links. A checker reads only\n" +
			"the recorded events, and reports for each claim how often it was tested. The exit status is 0, 1 if a claim is\n" +
			"broken or a claim that the file names was not tested, 2 if the file or the test setup is at fault.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return playDrill(args[0], &f, os.Stdout, os.Stderr) },
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random numbers")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the report as JSON")
	c.Flags().StringVar(&f.keep, "keep", "", "a directory for the daemons' files, logs and lines.jsonl, which is kept")
	c.Flags().BoolVar(&f.virtual, "virtual", false, "run the same schedule in virtual time")
	c.Flags().IntVar(&f.daemons, "daemons", 0, "number of daemons, if larger than the file's (groups keep their members)")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print nothing while the test runs")
	c.Flags().BoolVar(&f.alone, "alone", false, "without [peers]: each daemon works alone, to compare the service")
	return c
}

func playDrill(path string, f *drillFlags, out, errs io.Writer) error {
	p, err := plan.Load(path)
	if err != nil {
		return exitError{2, err}
	}
	if f.daemons > 0 {
		p.Daemons = max(f.daemons, p.Daemons)
	}
	var lines []checker.Line
	if f.virtual && p.Policy != nil {
		r, err := policymodel.Play(p, policymodel.Options{Seed: f.seed, Witness: p.Policy.Witness})
		if err != nil {
			return exitError{2, err}
		}
		lines = r.Lines
	} else if f.virtual {
		r, err := virtual.Play(p, virtual.Options{Seed: f.seed})
		if err != nil {
			return exitError{2, err}
		}
		lines = r.Lines
	} else {
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		self, err := os.Executable()
		if err != nil {
			return exitError{2, err}
		}
		o := harness.Options{Program: self, Seed: f.seed, Progress: errs, Bare: f.alone}
		if f.quiet {
			o.Progress = nil
		}
		if f.keep != "" {
			if o.Keep, err = filepath.Abs(f.keep); err != nil {
				return exitError{2, err}
			}
		}
		if lines, err = harness.Play(ctx, p, o); err != nil {
			return exitError{2, err}
		}
	}
	if f.keep != "" {
		if err := writeLines(f.keep, lines); err != nil {
			return exitError{2, err}
		}
	}
	report := checker.Check(p.Bounds, lines)
	if f.virtual && p.Policy != nil { // only the policy is simulated in this case
		report = checker.Policy(p.Bounds, lines)
	}
	notTried := report.NotTried(p.RequiredClaims)
	if f.asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		if err := e.Encode(struct {
			Drill  string   `json:"drill"`
			Seed   uint64   `json:"seed"`
			Missed []string `json:"not_tried,omitempty"`
			*checker.Report
		}{p.Name, f.seed, notTried, report}); err != nil {
			return exitError{2, err}
		}
	} else {
		showReport(p, report, out)
		if len(notTried) > 0 {
			fmt.Fprintln(out, "claims that this drill should test but did not:", strings.Join(notTried, ", "))
		}
	}
	if report.Broken() > 0 || len(notTried) > 0 && !f.virtual && !f.alone {
		return exitError{status: 1}
	}
	return nil
}

func writeLines(dir string, lines []checker.Line) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "lines.jsonl"))
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	e := json.NewEncoder(w)
	for i := range lines {
		if err := e.Encode(&lines[i]); err != nil {
			f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func showReport(p *plan.Plan, r *checker.Report, out io.Writer) {
	fmt.Fprintf(out, "%s: %s\n%d lines", p.Name, p.Why, r.Lines)
	if r.Gaps > 0 {
		fmt.Fprintf(out, ", %d more that daemons could not write", r.Gaps)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "claim\tverdict\ttried\tbroken\tnearest\twhat is claimed")
	for _, c := range r.Claims {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", c.Name, c.Outcome(), c.Tried, c.Broken, c.Nearest, c.Text)
	}
	_ = w.Flush()
	for _, c := range r.Claims {
		for _, b := range c.Breaks {
			fmt.Fprintf(out, "%s: %s\n", c.Name, b)
		}
		if c.Broken > len(c.Breaks) {
			fmt.Fprintf(out, "%s: and %d more\n", c.Name, c.Broken-len(c.Breaks))
		}
	}
}
