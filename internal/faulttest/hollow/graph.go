package hollow

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Graph is a call graph of services, each with its agents (one for each backend) and the services that it calls.
// Services are arranged in tiers and call only services of lower tiers, so a chain of calls is at most as long as
// there are tiers.
type Graph struct {
	Services [][]int // agents of each service
	Of       []int   // service of each agent
	Tier     []int   // of each service, from 0
	Calls    [][]int // services that each service calls, ascending
}

// GraphSpec describes the graph to draw.
type GraphSpec struct {
	Agents   int
	Services int     // 0: in the proportion of 990 services to 12,000 agents, at least 2
	Tiers    int     // 0: 16
	Calls    float64 // mean number of services that a service calls; 0: 12. Fewer where few services are in lower tiers
	Seed     uint64
}

// The target size of a fleet.
const (
	sizeAgents   = 12000
	sizeServices = 990
	sizeTiers    = 16
	meanCalls    = 12
)

// DrawGraph draws a graph from the seed. The sizes of services are skewed: the largest of 990 has a tenth of all
// agents, and most have a few. So are the numbers of called services: most services call few others, some call fifty.
func DrawGraph(s GraphSpec) (*Graph, error) {
	s.Services = cmp.Or(s.Services, max(2, s.Agents*sizeServices/sizeAgents))
	s.Tiers, s.Calls = min(cmp.Or(s.Tiers, sizeTiers), s.Services), cmp.Or(s.Calls, meanCalls)
	if s.Agents < s.Services || s.Services < 2 || s.Tiers < 2 || s.Calls <= 0 {
		return nil, fmt.Errorf("draw graph: invalid specification: %d agents, %d services, %d tiers, %v calls", s.Agents, s.Services, s.Tiers, s.Calls)
	}
	rng := rand.New(rand.NewPCG(s.Seed, 61))
	g := &Graph{Services: make([][]int, s.Services), Of: make([]int, s.Agents), Tier: make([]int, s.Services), Calls: make([][]int, s.Services)}
	// Zipf's law: the weight of the k-th largest service is 1/k^0.8, and each service has at least one agent.
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
		// Only services of lower tiers are called. One of the next tier always is, so that chains reach their greatest
		// length.
		below := make([]int, 0, s.Services)
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
			if rng.IntN(2) == 0 { // half of the calls go to large services such as shared stores and sign-in
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

// Servers returns the servers that an agent's requests go to: all servers of the services that its own service calls.
func (g *Graph) Servers(agent int) (all []int) {
	for _, o := range g.Calls[g.Of[agent]] {
		all = append(all, g.Services[o]...)
	}
	return all
}

// Callers returns how many agents call each service.
func (g *Graph) Callers() []int {
	all := make([]int, len(g.Services))
	for k, calls := range g.Calls {
		for _, o := range calls {
			all[o] += len(g.Services[k])
		}
	}
	return all
}

// Deepest returns the length of the longest chain of calls, in services.
func (g *Graph) Deepest() int {
	depth := make([]int, len(g.Services))
	most := 0
	for k := len(g.Services) - 1; k >= 0; k-- { // called services have higher numbers
		depth[k] = 1
		for _, o := range g.Calls[k] {
			depth[k] = max(depth[k], depth[o]+1)
		}
		most = max(most, depth[k])
	}
	return most
}
