// Command peers measures the fleet's membership view, in virtual time and with real processes: how soon crashes, joins
// and leaves are in the views of all members, the cost of the view, and how often it is wrong. docs/measure/view.md has
// its figures.
package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "peers", SilenceUsage: true}
	var sizes string
	var crashes int
	var seed uint64
	var minutes, bytes int
	add := func(use, short, many string, n int, run func([]int, int, uint64) error) {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			all, err := numbers(sizes)
			if err != nil {
				return err
			}
			return run(all, crashes, seed)
		}}
		c.Flags().StringVarP(&sizes, "daemons", "n", many, "numbers of daemons, one run after another")
		c.Flags().IntVar(&crashes, "crashes", n, "number of crashes, joins and leaves")
		c.Flags().Uint64Var(&seed, "seed", 1, "seed of all random numbers")
		c.Flags().IntVar(&minutes, "minutes", 60, "hour: length in minutes")
		c.Flags().IntVar(&bytes, "bytes", 0, "hour: bytes_per_s; 0: the default")
		c.PreRun = func(c *cobra.Command, _ []string) { // the commands share the variables of their flags, so each sets its own defaults
			if !c.Flags().Changed("daemons") {
				sizes = many
			}
			if !c.Flags().Changed("crashes") {
				crashes = n
			}
		}
		root.AddCommand(c)
	}
	add("virtual", "Times from a crash, leave or join until all members know of it, compared with the formulas, in virtual time", "10,30,100,300,1000,5000", 30, virtualSizes)
	add("partition", "A partition into halves for 60 s, and the time until all views agree again, in virtual time", "10,50,300,1000", 1, virtualPartition)
	add("hour", "An hour with 5 and 25% loss, a tenth paused 1.5 s at a time: false confirmations, compared with baselines", "100", 0, func(sizes []int, _ int, seed uint64) error {
		return virtualHour(sizes, time.Duration(minutes)*time.Minute, bytes, seed)
	})
	add("storm", "200 members that crash and restart together: bytes, and time until all know", "300", 200, virtualStorm)
	add("service", "Service of 300 agents that take their number from the view, compared with a fixed number: right, half, double", "300", 3, service)
	add("real", "The same with real processes: crashes, joins, leaves, CPU and bytes", "5,20,50", 30, realSizes)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func numbers(text string) ([]int, error) {
	var all []int
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			return nil, fmt.Errorf("-n: %q is not a number of at least 2", s)
		}
		all = append(all, n)
	}
	return all, nil
}

// at returns the quantile of durations, which it sorts; 0 for an empty list.
func at(all []time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))].Round(time.Millisecond)
}
