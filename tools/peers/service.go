package main

import (
	"fmt"
	"slices"
	"sort"
	"time"
	"vetchhaven/tools/internal/bench"

	"vetchhaven/decide"
	"vetchhaven/internal/faulttest/plan"
	drill "vetchhaven/internal/faulttest/virtual"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/scenario"
)

// counts holds, for each agent, the numbers of agents that its view reported, in order of time.
type counts [][]agentCount

type agentCount struct {
	at          time.Duration
	most, least int
}

func (c counts) at(agent int, now time.Duration) (most, least int) {
	all := c[agent]
	i := sort.Search(len(all), func(i int) bool { return all[i].at > now })
	if i == 0 {
		return 0, 0
	}
	return all[i-1].most, all[i-1].least
}

// simulateViews simulates the membership views of a scenario and returns the numbers of agents that they reported. All
// members start at the beginning of the scenario with the number file in their settings, and the given events happen to
// members and links.
func simulateViews(s *model.Scenario, file int, seed uint64, events []plan.Event) (counts, error) {
	p := &plan.Plan{Name: "day", Daemons: s.Agents, Zones: 1, Seeds: []int{0, 1, 2}, Length: s.Length, Events: events}
	c := make(counts, s.Agents)
	_, err := drill.Play(p, drill.Options{Seed: seed, FileCount: file, Each: func(at time.Duration, daemon int, a membership.Action) {
		if n, ok := a.(membership.BalancerCountChanged); ok {
			c[daemon] = append(c[daemon], agentCount{at, n.Size.MaxBalancers, min(n.Size.MinBalancers, n.Size.MaxBalancers)})
		}
	}})
	return c, err
}

// service simulates scenarios with the number of agents configured correctly, configured wrongly, or taken from the
// membership view.
func service(_ []int, seeds int, seed uint64) error {
	bench.Head("day", "agents' number", "service", "worst 5 s", "refused", "rules broken", "most load on a cold server", "count told at the end")
	for _, path := range []string{"scenarios/fleet-herd.toml", "scenarios/fleet-roll.toml", "scenarios/cold-start.toml", "scenarios/fleet-join.toml"} {
		s, err := scenario.Load(path)
		if err != nil {
			return err
		}
		n := s.Agents
		var roll []plan.Event
		if path == "scenarios/fleet-roll.toml" { // like the scenario's incident agents-restart: one after another from 5 s on, over 12 s
			for i := range n {
				at := 5*time.Second + 12*time.Second*time.Duration(i)/time.Duration(n)
				roll = append(roll, plan.Event{At: at, Do: "term", Who: []int{i}}, plan.Event{At: at + 300*time.Millisecond, Do: "start", Who: []int{i}, State: "kept"})
			}
		}
		var left, right []int
		for i := range n {
			if i%2 == 0 {
				left = append(left, i)
			} else {
				right = append(right, i)
			}
		}
		cut := []plan.Event{{At: 3 * time.Second, Do: "link", Who: left, To: right, Both: true, Link: plan.Link{Drop: 1}}}
		for _, way := range []struct {
			name       string
			configured int
			follow     bool
			events     []plan.Event
		}{{"fixed, right", n, false, nil}, {"fixed, half", max(1, n/2), false, nil}, {"fixed, double", 2 * n, false, nil},
			{"followed, file says half", max(1, n/2), true, roll}, {"followed, file says double", 2 * n, true, roll},
			{"followed, halves from 3 s on", n, true, append(slices.Clone(roll), cut...)}} {
			service, worst, refused, broken, cold, last := 0.0, 0.0, 0.0, 0, 0.0, 0
			for i := range seeds {
				o := virtual.Options{Scenario: s, Seed: seed + uint64(i), Balancers: way.configured,
					New: func(s decide.Settings, seed uint64) (virtual.Policy, error) { return decide.New(s, seed) }}
				if way.follow {
					c, err := simulateViews(s, way.configured, seed+uint64(i), way.events)
					if err != nil {
						return err
					}
					o.Count = c.at
					last, _ = c.at(0, s.Length)
				} else {
					last = way.configured
				}
				p, err := virtual.Play(o)
				if err != nil {
					return err
				}
				w, _ := p.Day.Worst()
				service += p.Day.Total.Service() / float64(seeds)
				worst += w / float64(seeds)
				refused += float64(p.Day.Total.Refusals) / float64(max(1, p.Day.Total.Offered)) / float64(seeds)
				broken += p.Judge.Total()
				for _, v := range p.Day.Servers {
					cold = max(cold, v.Pressure)
				}
			}
			bench.Row(s.Title, way.name, fmt.Sprintf("%.1f%%", 100*service), fmt.Sprintf("%.1f%%", 100*worst), fmt.Sprintf("%.2f", refused), broken, cold, last)
		}
	}
	return nil
}
