package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"time"

	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/sockets"
	"vetchhaven/internal/simulate/scenario"
)

// buildDaemon builds the daemon into dir.
func buildDaemon(dir string) (string, error) {
	path := filepath.Join(dir, "vetchhaven")
	out, err := exec.Command("go", "build", "-o", path, "./cmd/vetchhaven").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the daemon: %w\n%s", err, out)
	}
	return path, nil
}

// serverLoad is the load of one server at one time: the requests that it holds, and its load relative to its capacity.
type serverLoad struct {
	held     int
	pressure float64
}

// herd runs a scenario with real daemons, first with their own slow start and then with a naive start. It prints the
// load of the server that joins, every 100 ms.
func herd(path string) error {
	s, err := scenario.Load(path)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := buildDaemon(dir)
	if err != nil {
		return err
	}
	cold, joins := "", time.Duration(0)
	for _, c := range s.Timeline {
		if op, ok := c.What.(model.Start); ok {
			cold, joins = op.Server.Name, c.At
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	ways := []string{"vetchhaven", "naive"}
	breaches := make([][]checker.Breach, len(ways))
	traces := make([]map[time.Duration]serverLoad, len(ways))
	fmt.Println("| start | asked | in time | late | refused | failed | refusals | service | worst 5 s | rules broken | cold: most held | cold: most load | fell |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, way := range ways {
		trace := map[time.Duration]serverLoad{}
		traces[i] = trace
		log := &sockets.Tail{}
		p, err := sockets.Play(ctx, sockets.Options{Scenario: s, Seed: 1, Log: log, Naive: way == "naive",
			Daemon: func(config string) *exec.Cmd { return exec.Command(bin, "serve", "--config", config) },
			Trace: func(now time.Duration, server string, held int, pressure float64) {
				if server == cold {
					at := now.Truncate(100 * time.Millisecond)
					trace[at] = serverLoad{max(held, trace[at].held), max(pressure, trace[at].pressure)}
				}
			}})
		if err != nil {
			return fmt.Errorf("%w\n%s", err, log)
		}
		if p.CutShort {
			return context.Canceled
		}
		most := serverLoad{}
		for _, v := range trace {
			most = serverLoad{max(most.held, v.held), max(most.pressure, v.pressure)}
		}
		fell := "no"
		for _, v := range p.Day.Servers {
			if v.Name == cold && v.Fell {
				fell = "yes"
				most.pressure = max(most.pressure, v.Pressure)
			}
		}
		breaches[i] = p.Judge.Breaches()
		t := p.Day.Total
		worst, _ := p.Day.Worst()
		fmt.Printf("| %s | %d | %d | %d | %d | %d | %d | %.1f%% | %.1f%% | %d | %d | %.2f | %s |\n", way, t.Offered, t.InTime, t.Late,
			t.Refused, t.Failed, t.Refusals, 100*t.Service(), 100*worst, len(p.Judge.Breaches()), most.held, most.pressure, fell)
	}
	for i, way := range ways {
		for _, b := range breaches[i][:min(5, len(breaches[i]))] {
			fmt.Printf("\n%s: %v\n", way, b)
		}
	}
	fmt.Printf("\n%s joins at %v. What it held, and its load over what it could do while cold, by 100 ms (rows where all is 0 left out):\n\n", cold, joins)
	fmt.Println("| after | held | load | naive: held | load |\n| --- | --- | --- | --- | --- |")
	var all []time.Duration
	for _, t := range traces {
		for at := range t {
			if !slices.Contains(all, at) && at < joins+12*time.Second {
				all = append(all, at)
			}
		}
	}
	slices.Sort(all)
	for _, at := range all {
		a, b := traces[0][at], traces[1][at]
		if a != (serverLoad{}) || b != (serverLoad{}) {
			fmt.Printf("| %.1f s | %d | %.2f | %d | %.2f |\n", (at - joins).Seconds(), a.held, a.pressure, b.held, b.pressure)
		}
	}
	return nil
}
