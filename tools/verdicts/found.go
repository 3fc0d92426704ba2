package main

import (
	"fmt"
	"slices"
	"time"

	"vetchhaven/internal/peer/ejection/ejectionsim"
	"vetchhaven/tools/internal/bench"
)

// found prints how soon members eject a failing server, over the given number of seeds. The fleet has 24 agents that
// send 10 requests per second each, and 8 servers; 0.5% of all requests fail at random.
func found(seeds int) error {
	const agents, servers, begins, ends, length = 24, 8, 10 * time.Second, 22 * time.Second, 40 * time.Second
	bench.Head("a server", "seeds", "out at, of 24, mean", "the first, mean", "the thirteenth, mean", "the seventeenth, worst", "wrong verdicts", "requests spoilt", "bytes a second of each")
	for _, c := range []struct {
		name  string
		share float64
		lost  float64
		mute  bool
	}{{"fails outright", 1, 0, false}, {"fails a third", 0.33, 0, false}, {"fails outright, half of news is lost", 1, 0.5, false}, {"says nothing", 1, 0, true}} {
		n, first, middle, worst, wrong, lostAttempts, bytes := 0, time.Duration(0), time.Duration(0), time.Duration(0), 0, 0, 0
		for seed := range seeds {
			late := time.Duration(0)
			if c.lost > 0 {
				late = 20 * time.Millisecond
			}
			r, err := ejectionsim.Run(ejectionsim.Options{Seed: 100 + uint64(seed), Agents: agents, Servers: servers, Rate: 10, ErrorRate: 0.005, LocalEjection: true, ShareEvidence: true, Duration: length, Unresponsive: c.mute,
				FailureShare: func(s int, now time.Duration) float64 {
					if s == 3 && now >= begins && now < ends {
						return c.share
					}
					return 0
				},
				LinkLoss: func(int, int, time.Duration) float64 { return 0 },
				PeerPath: func(int, int, time.Duration) (float64, time.Duration) { return c.lost, late }})
			if err != nil {
				return err
			}
			slices.Sort(r.EjectionDelays)
			n, wrong, lostAttempts, bytes = n+len(r.EjectionDelays), wrong+r.WrongEjections, lostAttempts+r.FailedByServer, bytes+r.Bytes
			if len(r.EjectionDelays) > 16 {
				first, middle, worst = first+r.EjectionDelays[0], middle+r.EjectionDelays[12], max(worst, r.EjectionDelays[16])
			} else {
				worst = length
			}
		}
		k := time.Duration(seeds)
		bench.Row(c.name, seeds, fmt.Sprintf("%.1f", float64(n)/float64(seeds)), (first / k).Round(10*time.Millisecond), (middle / k).Round(10*time.Millisecond), worst.Round(10*time.Millisecond), wrong, lostAttempts,
			fmt.Sprintf("%.0f", float64(bytes)/float64(seeds)/agents/length.Seconds()))
	}
	return nil
}
