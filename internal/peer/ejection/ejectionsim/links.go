package ejectionsim

import (
	"math/rand/v2"
	"time"
)

// BrokenLinks is a day of its number in which members lose servers, what is told among them is lost and late, and no server
// fails: any verdict is a wrong one. 10 to 99 members, 5 to 49 servers; days take turns in their requests a second.
func BrokenLinks(day uint64) Options {
	rng := rand.New(rand.NewPCG(day, 61))
	agents, servers := 10+rng.IntN(90), 5+rng.IntN(45)
	type broken struct {
		agents, servers map[int]bool
		from, to        time.Duration
		share           float64
	}
	var all []broken
	for range 3 + rng.IntN(4) {
		b := broken{map[int]bool{}, map[int]bool{}, time.Duration(rng.Float64() * float64(50*time.Second)), 0, 0.2 + 0.8*rng.Float64()}
		b.to = b.from + time.Duration(1+rng.IntN(20))*time.Second
		part, some := []float64{0.02, 0.1, 0.3, 0.5}[rng.IntN(4)], []float64{0.05, 0.3, 1}[rng.IntN(3)]
		for a := range agents {
			b.agents[a] = rng.Float64() < part
		}
		for s := range servers {
			b.servers[s] = rng.Float64() < some
		}
		all = append(all, b)
	}
	lost, late := 0.4*rng.Float64(), time.Duration(rng.IntN(200))*time.Millisecond
	return Options{Seed: day, Agents: agents, Servers: servers, Rate: []float64{10, 1, 0.1}[day%3], Length: time.Minute, Share: true, Own: true, Error: 0.003,
		Fails: func(int, time.Duration) float64 { return 0 },
		Link: func(a, s int, now time.Duration) float64 {
			p := 0.0
			for i := range all {
				if b := &all[i]; now >= b.from && now < b.to && b.agents[a] && b.servers[s] {
					p = max(p, b.share)
				}
			}
			return p
		},
		Peers: func(int, int, time.Duration) (float64, time.Duration) { return lost, late }}
}
