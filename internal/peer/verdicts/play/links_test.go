package play

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Days of tools/verdicts links, as far as they had a wrong verdict in builds that heard too few who are not cut off:
// half of the members lose a server, and much of what is told is lost as well.
func TestWitnessesOfASilentServerAreNotAllCutOff(t *testing.T) {
	for day, length := range map[uint64]time.Duration{0: 7 * time.Second, 45: 20 * time.Second} {
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
		tried := 0
		r, err := Play(Options{Seed: day, Agents: agents, Servers: servers, Rate: 10, Length: length, Share: true, Own: true, Error: 0.003,
			Fails: func(int, time.Duration) float64 { return 0 },
			Link: func(a, s int, now time.Duration) float64 {
				p := 0.0
				for i := range all {
					if b := &all[i]; now >= b.from && now < b.to && b.agents[a] && b.servers[s] {
						p = max(p, b.share)
					}
				}
				if p > 0 {
					tried++
				}
				return p
			},
			Peers: func(int, int, time.Duration) (float64, time.Duration) { return lost, late }})
		if err != nil {
			t.Fatal(err)
		}
		if r.Wrong > 0 || tried == 0 {
			t.Errorf("day %d: %d wrong verdicts, %d requests over broken links", day, r.Wrong, tried)
		}
	}
}
