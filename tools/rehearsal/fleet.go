package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"time"

	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/scenario"
)

// fleet simulates each scenario with this project's balancer and with the two oracle policies, which use the exact
// state of all servers. It prints the service, and the load that all agents together put on servers and on the list
// service, as means over the seeds.
func fleet(paths []string, seeds int) error {
	policies := []string{"vetchhaven", baseline.SeesLate, baseline.SeesNow}
	fmt.Printf("%d cores, mean of seeds 1 to %d\n\n", runtime.NumCPU(), seeds)
	fmt.Println("| scenario | policy | service | worst 5 s | refusals a request | attempts a request | connections opened a request | list calls an agent | servers in view | rules broken | play |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, path := range paths {
		s, err := scenario.Load(path)
		if err != nil {
			return err
		}
		type sum struct {
			service, worst, refusals, attempts, dials, calls, view float64
			broken                                                 int
			took                                                   time.Duration
		}
		sums := make([]sum, len(policies))
		if err := simulateAll(s, policies, seeds, func(i, _ int, p *virtual.Played, took time.Duration) {
			t, n, part := p.Day.Total, float64(max(1, p.Day.Total.Offered)), 1/float64(seeds)
			worst, _ := p.Day.Worst()
			x := &sums[i]
			x.service += part * t.Service()
			x.worst += part * worst
			x.refusals += part * float64(t.Refusals) / n
			x.attempts += part * float64(t.Attempts) / n
			x.dials += part * float64(t.Dials) / n
			x.calls += part * float64(t.Calls) / float64(s.Agents)
			x.view += part * t.View
			x.broken += p.Judge.Total()
			x.took = max(x.took, took)
		}); err != nil {
			return err
		}
		for i, name := range policies {
			x := sums[i]
			fmt.Printf("| %s | %s | %.1f%% | %.1f%% | %.2f | %.2f | %.3f | %.2f | %.1f | %d | %.1f s |\n", filepath.Base(path), name,
				100*x.service, 100*x.worst, x.refusals, x.attempts, x.dials, x.calls, x.view, x.broken, x.took.Seconds())
		}
	}
	return nil
}
