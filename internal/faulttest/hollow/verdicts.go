package hollow

import (
	"cmp"
	"fmt"
	"time"

	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/ejection/ejectionsim"
	"vetchhaven/internal/peer/transport"
)

// Verdicts configures a simulation of the ejection evidence that members share about servers. Each agent is a server
// as well, and sends requests to the servers of the services that its own service calls.
type Verdicts struct {
	Seed    uint64
	Fleet   string // name of the fleet; empty: Fleet
	Layout  *topology.Layout
	Graph   *Graph
	Rate    float64 // requests a second of each agent
	Error   float64 // share of all requests that fail by chance while no server is faulty
	Marks   []time.Duration
	Length  time.Duration
	Failing []Failing
	Drains  []ejectionsim.Drain
}

// Failing describes servers that fail a share of their requests for a while.
type Failing struct {
	Servers    []int
	Share      float64
	Start, End time.Duration
}

// sampleInterval is how often the daemon's agents report their outcome samples (internal/core).
const sampleInterval = 50 * time.Millisecond

// Play runs the simulation.
func (v *Verdicts) Play() ([]Phase, *ejectionsim.Result, error) {
	n := len(v.Graph.Of)
	m := newMeter(n, v.Marks)
	wire := transport.Wire{Fleet: cmp.Or(v.Fleet, Fleet)}
	failing := make([][]Failing, n)
	for _, f := range v.Failing {
		for _, s := range f.Servers {
			failing[s] = append(failing[s], f)
		}
	}
	servers := make([][]int, len(v.Graph.Services)) // by service; the agents of a service share one list
	o := ejectionsim.Options{Seed: v.Seed, Agents: n, Servers: n, Rate: v.Rate, Duration: v.Length, ShareEvidence: true, LocalEjection: true, ErrorRate: v.Error, SampleInterval: sampleInterval,
		OnSent: m.sent, OnReceived: m.received, MessageSize: func(from string, x *ejection.Message) int { return size(wire, from, x) },
		ServersOf: func(agent int) []int {
			k := v.Graph.Of[agent]
			if servers[k] == nil {
				servers[k] = append([]int{}, v.Graph.Servers(agent)...)
			}
			return servers[k]
		},
		ListOf: func(server int) string { return fmt.Sprint("svc", v.Graph.Of[server]) },
		FailureShare: func(server int, now time.Duration) float64 {
			for _, f := range failing[server] {
				if now >= f.Start && now < f.End {
					return f.Share
				}
			}
			return 0
		},
		LinkLoss: func(int, int, time.Duration) float64 { return 0 },
		PeerPath: peerPath(v.Layout),
		Drains:   v.Drains}
	if l := v.Layout; l != nil {
		o.LocalityOf = func(n int) (string, string) { return l.RegionName(n), l.ZoneName(n) }
	}
	r, err := ejectionsim.Run(o)
	if err != nil {
		return nil, nil, fmt.Errorf("simulate the ejections of %d members: %w", n, err)
	}
	return m.phases(v.Length, nil), r, nil
}

// peerPath returns the loss and delay that a layout adds to a message between two members.
func peerPath(l *topology.Layout) func(from, to int, now time.Duration) (float64, time.Duration) {
	return func(from, to int, now time.Duration) (float64, time.Duration) {
		if l == nil {
			return 0, 0
		}
		p := l.Between(from, to, now)
		return p.Loss, p.Delay
	}
}

func size(wire transport.Wire, from string, x any) int {
	data, err := wire.Marshal(from, x)
	if err != nil {
		panic(fmt.Sprintf("hollow: encode %T: %v", x, err)) // the message comes from a member
	}
	return len(data)
}
