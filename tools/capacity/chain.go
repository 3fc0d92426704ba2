package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/simulate/chain"
	"vetchhaven/tools/capacity/slopes"
	"vetchhaven/tools/internal/bench"
)

// chainCommand measures calls through a chain of tiers: how many attempts reach the last tier if each tier retries.
func chainCommand() *cobra.Command {
	var sizes string
	var seed uint64
	var cores int
	var asTOML bool
	c := &cobra.Command{Use: "chain", Short: "Chains of tiers: attempts at the last tier, share served, work for clients that have left", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			tiers, err := chainSizes(sizes)
			if err != nil {
				return err
			}
			return chains(tiers, seed, cores, asTOML)
		}}
	c.Flags().StringVar(&sizes, "sizes", "1,4,8,16", "numbers of tiers, one run after another")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of all random numbers")
	c.Flags().IntVar(&cores, "cores", 2, "number of concurrent simulations")
	c.Flags().BoolVar(&asTOML, "toml", false, "print entries for docs/capacity/slopes.toml, and the tables on standard error")
	return c
}

// chainSizes parses a list of numbers of at least 1.
func chainSizes(text string) (all []int, err error) {
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a number of at least 1", s)
		}
		all = append(all, n)
	}
	return all, nil
}

// chainCase is one incident: a share of errors at the last tier, or a slow tier.
type chainCase struct {
	name         string
	errors, slow float64
}

var chainCases = []chainCase{{"10% errors", 0.1, 0}, {"50% errors", 0.5, 0}, {"75% errors", 0.75, 0}, {"100% errors", 1, 0}, {"a slow tier", 0, 0.15}}

// chainRun is one simulation and its result.
type chainRun struct {
	of     chainCase
	config chain.Config
	result chain.Result
}

const chainEvents = 20_000_000 // maximum number of events of one simulation, which bounds it to a minute and some GB of memory

func chains(tiers []int, seed uint64, cores int, asTOML bool) error {
	var plays []*chainRun
	add := func(of chainCase, n int, policy string, change func(*chain.Config)) {
		c := chain.Default(n)
		c.Errors, c.Slow, c.Policy, c.Seed, c.Events = of.errors, of.slow, policy, seed, chainEvents
		change(&c)
		plays = append(plays, &chainRun{of: of, config: c})
	}
	for _, of := range chainCases {
		for _, n := range tiers {
			for _, policy := range []string{chain.Agent, chain.Threes, chain.None} {
				add(of, n, policy, func(*chain.Config) {})
			}
		}
	}
	main := len(plays)
	deepest := tiers[len(tiers)-1]
	for _, of := range chainCases[len(chainCases)-2:] {
		for _, policy := range []string{chain.Agent, chain.Threes} {
			for _, down := range [][2]bool{{false, false}, {true, false}, {true, true}} {
				add(of, deepest, policy, func(c *chain.Config) { c.Deadlines, c.Cancels = down[0], down[1] })
			}
		}
	}
	down := len(plays)
	for _, n := range tiers {
		for _, deadlines := range []bool{true, false} {
			add(chainCase{name: "start"}, n, chain.Agent, func(c *chain.Config) { c.Deadlines, c.Incident = deadlines, 0 })
		}
	}
	if err := bench.Each(len(plays), cores, func(i int) (err error) {
		plays[i].result, err = chain.Play(plays[i].config)
		return err
	}); err != nil {
		return err
	}
	if asTOML {
		bench.Out = os.Stderr
	}
	printChains(plays[:main], plays[main:down], plays[down:])
	if asTOML {
		return slopes.Write(os.Stdout, chainSlopes(tiers, seed, plays[:main], plays[down:])...)
	}
	return nil
}

func printChains(main, down, start []*chainRun) {
	bench.Head("tiers", "incident", "policy", "attempts at the last tier for a call: first second", "then", "worked out",
		"served: first second", "then", "worked out", "of the last tier's attempts, for clients that had left", "well again after", "most retries of an agent")
	for _, p := range main {
		c, r := p.config, p.result
		attempts, served := "", ""
		if p.of.slow == 0 {
			a, s := chain.Worked(c.Policy, c.Tiers, p.of.errors)
			attempts, served = strconv.FormatFloat(a, 'g', 3, 64), chainPercent(s)
		}
		bench.Row(c.Tiers, p.of.name, c.Policy, chainAtLeast(r, r.First.PerCall()), chainAtLeast(r, r.Later.PerCall()), attempts,
			chainPercent(r.First.Share()), chainPercent(r.Later.Share()), served, chainPercent(r.First.Sum(r.Later).VoidShare()), chainDuration(r.Recovered), r.Most)
	}
	fmt.Fprintln(bench.Out)
	bench.Head("tiers", "incident", "policy", "deadlines handed down", "clients' leaving handed down", "attempts at the last tier for a call",
		"served", "of its attempts, for clients that had left", "well again after")
	for _, p := range down {
		c, r := p.config, p.result
		all := r.First.Sum(r.Later)
		bench.Row(c.Tiers, p.of.name, c.Policy, chainYesNo(c.Deadlines), chainYesNo(c.Cancels), chainAtLeast(r, all.PerCall()), chainPercent(all.Share()),
			chainPercent(all.VoidShare()), chainDuration(r.Recovered))
	}
	fmt.Fprintln(bench.Out)
	bench.Head("tiers", "worked out: most attempts for a call, full buckets apart", "at errors", "full buckets bring besides, of each agent")
	for _, p := range start {
		if p.config.Deadlines {
			attempts, errors := chain.Worst(chain.Agent, p.config.Tiers)
			bench.Row(p.config.Tiers, attempts, chainPercent(errors), chain.Burst(p.config.Tiers, 1))
		}
	}
	fmt.Fprintln(bench.Out)
	bench.Head("tiers", "deadlines handed down", "all started at once: 99 in 100 served after")
	for _, p := range start {
		bench.Row(p.config.Tiers, chainYesNo(p.config.Deadlines), chainDuration(p.result.Settled))
	}
}

func chainYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func chainPercent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }

func chainDuration(d time.Duration) string {
	if d < 0 {
		return "not in the play"
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 1, 64) + " s"
}

// chainAtLeast formats a figure, marked as a lower bound if the simulation was cut short.
func chainAtLeast(r chain.Result, v float64) string {
	text := strconv.FormatFloat(v, 'f', 2, 64)
	if r.CutShort {
		return "at least " + text
	}
	return text
}

// chainSlopes returns the entries of the agent and, for comparison, of clients that retry up to three attempts.
func chainSlopes(tiers []int, seed uint64, main, start []*chainRun) []slopes.Slope {
	command := fmt.Sprintf("go run ./tools/capacity chain --seed %d --toml", seed)
	var all []slopes.Slope
	entry := func(name, load, quantity, unit, form, note string, plays []*chainRun, pick func(p *chainRun) (float64, bool)) {
		s := slopes.Slope{Name: "chain." + name, Role: "chain", Load: load, Quantity: quantity, Unit: unit, Mechanism: "chain", Variable: "tiers",
			Form: form, Command: command, Date: time.Now().Format(time.DateOnly), Machine: "virtual time: any", Note: note}
		for _, p := range plays {
			if v, ok := pick(p); ok {
				s.Points = append(s.Points, [2]float64{float64(p.config.Tiers), v})
			}
		}
		if len(s.Points) > 0 {
			all = append(all, s)
		}
	}
	of := func(name, policy string, value func(chain.Result) float64) func(p *chainRun) (float64, bool) {
		return func(p *chainRun) (float64, bool) {
			return value(p.result), p.of.name == name && p.config.Policy == policy && !p.result.CutShort
		}
	}
	first := func(r chain.Result) float64 { return toDigits(r.First.PerCall(), 4) }
	later := func(r chain.Result) float64 { return toDigits(r.Later.PerCall(), 4) }
	served := func(r chain.Result) float64 { return toDigits(r.Later.Share(), 4) }
	void := func(r chain.Result) float64 { return toDigits(r.First.Sum(r.Later).VoidShare(), 4) }
	note := func(c chainCase) string {
		if c.slow > 0 {
			return fmt.Sprintf("the middle tier at %g of its speed: less than what is asked", c.slow)
		}
		return fmt.Sprintf("%s at the last tier, %d processes a tier, 408 calls a second each", c.name, chain.Default(1).Processes)
	}
	for _, c := range chainCases {
		key, load, after := strings.NewReplacer("% ", "_", " ", "_").Replace(c.name), "worst", note(c)+"; after the first second"
		if c.errors > 0 {
			entry(key+".attempts", load, "attempts", "1/call", "table", after, main, of(c.name, chain.Agent, later))
		}
		if c.errors < 1 {
			entry(key+".share_served", load, "share_served", "share", "table", after, main, of(c.name, chain.Agent, served))
		}
		if c.errors == 1 {
			entry(key+".attempts_first_second", load, "attempts", "1/call", "table", note(c)+"; its first second: each agent's bucket of 20 retries",
				main, of(c.name, chain.Agent, first))
			entry(key+".attempts_threes", load, "attempts", "1/call", "table", after+"; plain retries of three, to compare", main, of(c.name, chain.Threes, later))
		}
		if c.errors == 1 || c.slow > 0 {
			entry(key+".work_lost", load, "work_lost", "share", "table", note(c)+"; share of the last tier's attempts that ended for clients that had left",
				main, of(c.name, chain.Agent, void))
		}
	}
	entry("worst_errors.attempts", "worst", "attempts", "1/call", "table", "worked out: at the share of errors where they are most, full buckets apart", start,
		func(p *chainRun) (float64, bool) {
			attempts, _ := chain.Worst(chain.Agent, p.config.Tiers)
			return toDigits(attempts, 4), p.config.Deadlines
		})
	for _, deadlines := range []bool{true, false} {
		name, note := "start.settled", "all agents start at once; until 99 in 100 calls are served; deadlines handed down"
		if !deadlines {
			name, note = "start.settled_without_deadlines", "the same, each tier waits for the whole deadline anew"
		}
		entry(name, "worst", "time", "s", "table", note, start, func(p *chainRun) (float64, bool) {
			return p.result.Settled.Seconds(), p.config.Deadlines == deadlines && p.result.Settled >= 0
		})
	}
	return all
}

// measuredOn describes the machine and its load.
func measuredOn() string {
	load := "unknown"
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		load = strings.Join(strings.Fields(string(b))[:3], " ")
	}
	return fmt.Sprintf("shared virtual machine, %d cores, GOMAXPROCS %d, load %s", runtime.NumCPU(), runtime.GOMAXPROCS(0), load)
}
