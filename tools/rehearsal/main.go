// Command rehearsal measures the simulator and compares the balancing policies in it. It prints Markdown.
//
//	go run ./tools/rehearsal table [-seeds 5] SCENARIO.toml...   service by policy, with its range over the seeds
//	go run ./tools/rehearsal fleet [-seeds 2] SCENARIO.toml...   compared with oracles that get the servers' exact state, late and at once
//	go run ./tools/rehearsal grow SCENARIO.toml                  time and memory at 1, 4 and 16 times the length
//	go run ./tools/rehearsal compare VIRTUAL.json SOCKETS.json   differences between two reports
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/scenario"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "rehearsal:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 2 {
		return errors.New("missing arguments: table, fleet, grow or compare, and files")
	}
	switch args[0] {
	case "table":
		f := flag.NewFlagSet("table", flag.ContinueOnError)
		seeds := f.Int("seeds", 5, "number of seeds to simulate, from 1")
		if err := f.Parse(args[1:]); err != nil {
			return err
		}
		return table(f.Args(), *seeds)
	case "fleet":
		f := flag.NewFlagSet("fleet", flag.ContinueOnError)
		seeds := f.Int("seeds", 2, "number of seeds to simulate, from 1")
		if err := f.Parse(args[1:]); err != nil {
			return err
		}
		return fleet(f.Args(), *seeds)
	case "grow":
		return grow(args[1])
	case "grow-one":
		n, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return growOne(args[1], n)
	case "compare":
		if len(args) != 3 {
			return errors.New("compare needs two reports")
		}
		return compare(args[1], args[2])
	}
	return fmt.Errorf("%q is not one of table, fleet, grow, compare", args[0])
}

func policyMaker(name string) func(decide.Settings, uint64) (virtual.Policy, error) {
	if name == "vetchhaven" {
		return virtual.Decide
	}
	newPolicy, err := baseline.Maker(name)
	if err != nil {
		panic(err) // all names come from package baseline
	}
	return func(s decide.Settings, seed uint64) (virtual.Policy, error) { return newPolicy(s, seed) }
}

// simulateAll simulates a scenario with each policy and seed, one run for each core at a time. It passes each result
// to played, one call at a time: the index of the policy, the seed minus one, the result, and how long the run took.
func simulateAll(s *model.Scenario, policies []string, seeds int, played func(policy, seed int, p *virtual.Played, took time.Duration)) error {
	slots := make(chan struct{}, runtime.NumCPU())
	var mu sync.Mutex
	var all sync.WaitGroup
	var fail error
	for i, name := range policies {
		for seed := range seeds {
			all.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				start := time.Now()
				p, err := virtual.Play(virtual.Options{Scenario: s, Seed: uint64(seed + 1), New: policyMaker(name)})
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					fail = err
					return
				}
				played(i, seed, p, time.Since(start))
			})
		}
	}
	all.Wait()
	return fail
}

// table simulates every scenario with every policy and seed, and prints the service of each policy.
func table(paths []string, seeds int) error {
	policies := append([]string{"vetchhaven"}, baseline.Names...)
	fmt.Printf("%d cores, seeds 1 to %d; service in %% of the worth asked for: mean (least to most); in brackets rules broken, over all seeds\n\n",
		runtime.NumCPU(), seeds)
	fmt.Println("| scenario | " + strings.Join(policies, " | ") + " |")
	fmt.Println("|" + strings.Repeat(" --- |", len(policies)+1))
	for _, path := range paths {
		s, err := scenario.Load(path)
		if err != nil {
			return err
		}
		service := make([][]float64, len(policies))
		broken := make([]int, len(policies))
		for i := range policies {
			service[i] = make([]float64, seeds)
		}
		if err := simulateAll(s, policies, seeds, func(i, seed int, p *virtual.Played, _ time.Duration) {
			service[i][seed] = 100 * p.Day.Total.Service()
			broken[i] += p.Judge.Total()
		}); err != nil {
			return err
		}
		row := []string{strings.TrimSuffix(filepath.Base(path), ".toml")}
		for i := range policies {
			least, most, sum := math.Inf(1), 0.0, 0.0
			for _, v := range service[i] {
				least, most, sum = min(least, v), max(most, v), sum+v
			}
			cell := fmt.Sprintf("%.1f (%.1f to %.1f)", sum/float64(seeds), least, most)
			if broken[i] > 0 {
				cell += fmt.Sprintf(" [%d]", broken[i])
			}
			row = append(row, cell)
		}
		fmt.Println("| " + strings.Join(row, " | ") + " |")
	}
	return nil
}

// grow simulates the scenario at several lengths, each in a process of its own on one core.
func grow(path string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	fmt.Println("| length | requests | time | time a request | peak memory |\n| --- | --- | --- | --- | --- |")
	for _, n := range []int{1, 4, 16} {
		cmd := exec.Command(self, "grow-one", path, strconv.Itoa(n))
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
		cmd.Stderr = os.Stderr
		out, err := cmd.Output()
		if err != nil {
			return err
		}
		var requests int
		var took float64
		if _, err := fmt.Sscan(string(out), &requests, &took); err != nil {
			return err
		}
		peak := cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss
		fmt.Printf("| x%d | %d | %.2f s | %.1f us | %.1f MB |\n", n, requests, took, took*1e6/float64(requests), float64(peak)/1024)
	}
	return nil
}

func growOne(path string, n int) error {
	s, err := scenario.Load(path)
	if err != nil {
		return err
	}
	s.Length *= time.Duration(n)
	start := time.Now()
	p, err := virtual.Play(virtual.Options{Scenario: s, Seed: 1, New: virtual.Decide})
	if err != nil {
		return err
	}
	fmt.Println(p.Day.Total.Offered, time.Since(start).Seconds())
	return nil
}

type report struct {
	Title   string
	Results []struct {
		Service float64
		Worst   float64 `json:"service_worst_window"`
		Total   struct {
			Offered, Attempts, Tries int
		}
		Servers []struct {
			Name  string
			Share float64
		}
		Broken map[string]int `json:"rules_broken"`
	}
}

func read(path string) (r report, err error) {
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err == nil && len(r.Results) == 0 {
		err = fmt.Errorf("report %s has no results", path)
	}
	return r, err
}

// compare prints the service of two reports, and how far their shares of attempts by server differ.
func compare(a, b string) error {
	x, err := read(a)
	if err != nil {
		return err
	}
	y, err := read(b)
	if err != nil {
		return err
	}
	p, q := x.Results[0], y.Results[0]
	other := map[string]float64{}
	for _, s := range q.Servers {
		other[s.Name] = s.Share
	}
	most, sum, who := 0.0, 0.0, ""
	for _, s := range p.Servers {
		d := math.Abs(s.Share - other[s.Name])
		if sum += d; d > most {
			most, who = d, s.Name
		}
	}
	fmt.Printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f%% (%s) | %.1f%% |\n", x.Title, p.Service, q.Service, math.Abs(p.Service-q.Service),
		p.Worst, q.Worst, 100*most, who, 50*sum)
	return nil
}
