package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/faulttest/hollow"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/tools/capacity/slopes"
	"vetchhaven/tools/internal/bench"
)

func heldCommand() *cobra.Command {
	sizes, crashes, seed, direct, toml := "20,50", 10, uint64(1), time.Duration(0), false
	c := &cobra.Command{Use: "held", Short: "Compare hollow members with as many real daemons: bytes, messages and times", Args: cobra.NoArgs,
		Long: "held runs the same plan with real daemons (relays on their links) and with hollow members on sockets, side by side, and\n" +
			"then in virtual time: rest, and one member after another killed and started. It exits with status 1 if a rate of\n" +
			"the hollow members is off by more than 15% from the real daemons', and reports a time that is."}
	c.RunE = func(*cobra.Command, []string) error {
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		dir, err := os.MkdirTemp("", "held")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		bin := filepath.Join(dir, "vetchhaven")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", bin, "./cmd/vetchhaven").CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w\n%s", err, out)
		}
		bench.Head("members", "what", "datagrams/s", "bytes/s", "bytes of a datagram", "core", "crashes", "known by all, median", "joins", "known by all, median", "not known by all", "suspicions of each at rest", "pauses of a second and more")
		off := 0
		var used [][2]float64
		for _, text := range strings.Split(sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil || n < 4 {
				return fmt.Errorf("--sizes: %q is not a number of at least 4", text)
			}
			h := hollow.Comparison{Program: bin, Dir: filepath.Join(dir, text), Members: n, Crashes: crashes, Seed: seed, Rest: [2]time.Duration{20 * time.Second, 45 * time.Second},
				Peers: plan.Peers{ProbeTimeout: direct, IndirectTimeout: direct + direct/2}}
			sides, err := h.Play(ctx)
			if err != nil {
				return err
			}
			for _, s := range sides {
				bench.Row(n, s.Name, s.Datagrams, s.Bytes, s.EachBytes, fmt.Sprintf("%.3f%%", 100*s.Processor), s.Crashes, s.Crash, s.Joins, s.Join, s.Unknown, s.Suspicions, s.Doubts)
			}
			used = append(used, [2]float64{float64(n), fourDigits(sides[0].Processor)})
			for _, s := range sides[1:] {
				for _, q := range []struct {
					name       string
					real, mine float64
					binds      bool
				}{{"datagrams a second", sides[0].Datagrams, s.Datagrams, true}, {"bytes a second", sides[0].Bytes, s.Bytes, true},
					{"a crash known", sides[0].Crash.Seconds(), s.Crash.Seconds(), false}, {"a join known", sides[0].Join.Seconds(), s.Join.Seconds(), false}} {
					if ratio := q.mine / q.real; q.mine > 0 && q.real > 0 && (ratio < 0.85 || ratio > 1.15) {
						fmt.Printf("\n%d members, %s: %s is %.2f of the real one's\n", n, s.Name, q.name, ratio)
						if q.binds {
							off++
						}
					}
				}
			}
		}
		if toml {
			f := flags{sizes: sizes, seed: seed, workers: runtime.NumCPU()}
			e := f.entry(slopes.Slope{Name: "view.cpu.real", Role: "agent", Load: "rest", Quantity: "cpu", Unit: "core", Mechanism: "view", Variable: "agents", Form: "constant", Points: used,
				Note: "whole daemons with peers and no requests, system calls included; the other entries of processor time are of virtual time"}, fmt.Sprintf("held --crashes %d --direct %v", crashes, direct))
			if err := slopes.Write(os.Stdout, e); err != nil {
				return err
			}
		}
		if off > 0 {
			return fmt.Errorf("%d rates of hollow members are off by more than 15%%", off)
		}
		return nil
	}
	c.Flags().StringVar(&sizes, "sizes", sizes, "numbers of members, one run after another")
	c.Flags().IntVar(&crashes, "crashes", crashes, "number of crashes and joins")
	c.Flags().DurationVar(&direct, "direct", 0, "time that a direct probe waits for its answer; an indirect one waits 1.5 times as long; 0: the default. With 1s, delays of a busy machine cause no failures")
	c.Flags().BoolVar(&toml, "toml", false, "after the table, print the entry for docs/capacity/slopes.toml: CPU time of real daemons")
	c.Flags().Uint64Var(&seed, "seed", seed, "seed of all random numbers")
	return c
}
