package hollow

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Graph is which services there are, how many agents (one a backend) each has, and whom it calls. Services stand in
// tiers, and call none of their own tier or above: calls end after as many as there are tiers.
type Graph struct {
	Services [][]int // agents of each
	Of       []int   // service of each agent
	Tier     []int   // of each service, from 0
	Calls    [][]int // services that each calls, ascending
}

// GraphSpec says what to draw.
type GraphSpec struct {
	Agents   int
	Services int     // 0: as many for each agent as 990 for 12,000, and 2 at the least
	Tiers    int     // 0: 16
	Calls    float64 // services that one calls in the mean; 0: 12. Fewer where few lie below it
	Seed     uint64
}

// Of the size aimed at.
const (
	sizeAgents   = 12000
	sizeServices = 990
	sizeTiers    = 16
	meanCalls    = 12
)

// DrawGraph draws one. Sizes of services are skewed: the largest of 990 has a tenth of all agents, most have a few. So is
// who calls how many: most few, some fifty.
func DrawGraph(s GraphSpec) (*Graph, error) {
	s.Services = cmp.Or(s.Services, max(2, s.Agents*sizeServices/sizeAgents))
	s.Tiers, s.Calls = min(cmp.Or(s.Tiers, sizeTiers), s.Services), cmp.Or(s.Calls, meanCalls)
	if s.Agents < s.Services || s.Services < 2 || s.Tiers < 2 || s.Calls <= 0 {
		return nil, fmt.Errorf("graph: %d agents, %d services, %d tiers, %v calls make no sense", s.Agents, s.Services, s.Tiers, s.Calls)
	}
	rng := rand.New(rand.NewPCG(s.Seed, 61))
	g := &Graph{Services: make([][]int, s.Services), Of: make([]int, s.Agents), Tier: make([]int, s.Services), Calls: make([][]int, s.Services)}
	// Zipf's law: the weight of the k-th largest is 1/k^0.8, and each has one agent at the least.
	weight := make([]float64, s.Services)
	sum := 0.0
	for k, place := range rng.Perm(s.Services) {
		weight[place] = math.Pow(float64(k+1), -0.8)
		sum += weight[place]
	}
	next := 0
	rest := float64(s.Agents - s.Services)
	carried := 0.0
	for k := range g.Services {
		carried += weight[k] / sum * rest
		n := 1 + int(carried)
		if carried -= float64(n - 1); k == s.Services-1 {
			n = s.Agents - next
		}
		for range n {
			g.Services[k] = append(g.Services[k], next)
			g.Of[next] = k
			next++
		}
		g.Tier[k] = min(s.Tiers-1, k*s.Tiers/s.Services)
	}
	for k := range g.Calls {
		below := make([]int, 0, s.Services) // those of lower tiers; the next tier for certain, so that chains are as long as can be
		first := -1
		for o := k + 1; o < s.Services; o++ {
			if g.Tier[o] > g.Tier[k] {
				if first < 0 && g.Tier[o] == g.Tier[k]+1 {
					first = o
				}
				below = append(below, o)
			}
		}
		if len(below) == 0 {
			continue
		}
		many := min(len(below), 1+int(rng.ExpFloat64()*(s.Calls-1)))
		calls := map[int]bool{first: first >= 0}
		for tries := 0; len(calls) < many && tries < 20*many; tries++ {
			o := below[rng.IntN(len(below))]
			if rng.IntN(2) == 0 { // half of them go to what is large: shared stores, sign-in
				for range 2 {
					if p := below[rng.IntN(len(below))]; len(g.Services[p]) > len(g.Services[o]) {
						o = p
					}
				}
			}
			calls[o] = true
		}
		for o, is := range calls {
			if is {
				g.Calls[k] = append(g.Calls[k], o)
			}
		}
		slices.Sort(g.Calls[k])
	}
	return g, nil
}

// Servers are those that an agent's requests go to: all of the services that its own calls.
func (g *Graph) Servers(agent int) (all []int) {
	for _, o := range g.Calls[g.Of[agent]] {
		all = append(all, g.Services[o]...)
	}
	return all
}

// Callers is how many agents call each service.
func (g *Graph) Callers() []int {
	all := make([]int, len(g.Services))
	for k, calls := range g.Calls {
		for _, o := range calls {
			all[o] += len(g.Services[k])
		}
	}
	return all
}

// Deepest is the length of the longest chain of calls, in services.
func (g *Graph) Deepest() int {
	depth := make([]int, len(g.Services))
	most := 0
	for k := len(g.Services) - 1; k >= 0; k-- { // what is called has a higher number
		depth[k] = 1
		for _, o := range g.Calls[k] {
			depth[k] = max(depth[k], depth[o]+1)
		}
		most = max(most, depth[k])
	}
	return most
}
