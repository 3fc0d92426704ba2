package ejectionsim

import (
	"math/rand/v2"
	"time"
)

// brokenLinksStream makes these random numbers independent of those of other packages with the same seed.
const brokenLinksStream = 61

// linkFault is a fault in which a group of agents loses a share of its requests to a group of servers for some time.
type linkFault struct {
	agents, servers map[int]bool
	start, end      time.Duration
	share           float64
}

// BrokenLinks returns the options of a simulation in which members lose their links to servers, and messages between
// members are lost and delayed. No server fails, so that any ejection is wrong. There are 10 to 99 members and 5 to 49
// servers. day is the seed, and also selects one of three request rates in turn.
func BrokenLinks(day uint64) Options {
	rng := rand.New(rand.NewPCG(day, brokenLinksStream))
	agents := 10 + rng.IntN(90)
	servers := 5 + rng.IntN(45)
	var faults []linkFault
	for range 3 + rng.IntN(4) {
		faults = append(faults, randomLinkFault(rng, agents, servers))
	}
	lost := 0.4 * rng.Float64()
	delay := time.Duration(rng.IntN(200)) * time.Millisecond
	return Options{
		Seed:          day,
		Agents:        agents,
		Servers:       servers,
		Rate:          []float64{10, 1, 0.1}[day%3],
		Duration:      time.Minute,
		ErrorRate:     0.003,
		ShareEvidence: true,
		LocalEjection: true,
		FailureShare:  func(int, time.Duration) float64 { return 0 },
		LinkLoss: func(agent, server int, now time.Duration) float64 {
			loss := 0.0
			for i := range faults {
				if f := &faults[i]; now >= f.start && now < f.end && f.agents[agent] && f.servers[server] {
					loss = max(loss, f.share)
				}
			}
			return loss
		},
		PeerPath: func(int, int, time.Duration) (float64, time.Duration) { return lost, delay },
	}
}

func randomLinkFault(rng *rand.Rand, agents, servers int) linkFault {
	f := linkFault{agents: map[int]bool{}, servers: map[int]bool{}}
	f.start = time.Duration(rng.Float64() * float64(50*time.Second))
	f.share = 0.2 + 0.8*rng.Float64()
	f.end = f.start + time.Duration(1+rng.IntN(20))*time.Second
	agentShare := []float64{0.02, 0.1, 0.3, 0.5}[rng.IntN(4)]
	serverShare := []float64{0.05, 0.3, 1}[rng.IntN(3)]
	for a := range agents {
		f.agents[a] = rng.Float64() < agentShare
	}
	for s := range servers {
		f.servers[s] = rng.Float64() < serverShare
	}
	return f
}
