package main

import (
	"fmt"

	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/scenario"
)

// agents simulates a scenario with DNS records in addition to the list: once with agents that merge both sources, and
// once with agents that use only the latest answer of the resolver. The checker applies the entries that the list had
// announced to both.
func agents(path string, seeds int) error {
	s, err := scenario.Load(path)
	if err != nil {
		return err
	}
	if s.Records.Every == 0 {
		return fmt.Errorf("scenario %s has no [records]", path)
	}
	fmt.Printf("seeds 1 to %d, %v each\n\n", seeds, s.Length)
	fmt.Println("| way | requests | service | worst 5 s | attempts | sent over 2 s after a drain was told | ward-closes doubled | rules broken | left with no server |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, believe := range []bool{false, true} {
		offered, attempts, late, doubled, broken, emptied := 0, 0, 0, 0, 0, 0
		service, least := 0.0, 1.0
		for seed := range seeds {
			p, err := virtual.Play(virtual.Options{Scenario: s, Seed: uint64(seed + 1), New: virtual.Decide, Believe: believe})
			if err != nil {
				return err
			}
			twice, _ := p.Judge.Doubled()
			worst, _ := p.Day.Worst()
			offered += p.Day.Total.Offered
			attempts += p.Day.Total.Attempts
			service += p.Day.Total.Service() / float64(seeds)
			least = min(least, worst)
			late += p.Judge.Count(3)
			doubled += twice
			broken += p.Judge.Total()
			emptied += p.Emptied
		}
		way := "membership"
		if believe {
			way = "a resolver that believes all"
		}
		fmt.Printf("| %s | %d | %.1f%% | %.1f%% | %d | %d | %d | %d | %d |\n", way, offered, 100*service, 100*least, attempts, late, doubled, broken, emptied)
	}
	return nil
}
