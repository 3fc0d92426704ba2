// Command limits measures limits that all agents of a fleet share. It prints Markdown.
//
//	go run ./tools/limits ways                     strategies for sharing a limit, side by side
//	go run ./tools/limits schedules [-n 1000]      random faults: use beyond the limit, compared with the bound
//	go run ./tools/limits real [-n 50] [-at 6]     the same with 8 real processes for each fault test
//	go run ./tools/limits cost                     messages and CPU time of an agent, by size of the fleet
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/harness"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/lease/leasesim"
	"vetchhaven/tools/internal/bench"
)

func main() {
	f := flag.NewFlagSet("limits", flag.ExitOnError)
	n, at := f.Int("n", 0, "number of runs; 0: 1000 schedules, 50 with real processes"), f.Int("at", 6, "real: concurrent runs")
	bench.Main(f,
		bench.Job{Name: "ways", Run: ways},
		bench.Job{Name: "schedules", Run: func() error { return schedules(cmp.Or(*n, 1000)) }},
		bench.Job{Name: "real", Run: func() error { return playRealProcesses(cmp.Or(*n, 50), *at) }},
		bench.Job{Name: "cost", Run: cost})
}

func even(rate float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return rate }
}

func uneven(n int, _ time.Duration) float64 {
	if n == 0 {
		return 120
	}
	return 12
}

// ways simulates each strategy for sharing 120 requests a second among ten agents.
func ways() error {
	cases := []struct {
		name string
		o    leasesim.Options
	}{
		{"whole, twice the figure wanted", leasesim.Options{Demand: even(24)}},
		{"whole, four fifths wanted", leasesim.Options{Demand: even(9.6)}},
		{"whole, one wants ten times the rest", leasesim.Options{Demand: uneven}},
		{"one agent cut off", leasesim.Options{Demand: even(24), Partitioned: []int{9}, PartitionStart: 15 * time.Second, PartitionEnd: time.Hour}},
		{"halves", leasesim.Options{Demand: even(24), Partitioned: []int{5, 6, 7, 8, 9}, PartitionStart: 15 * time.Second, PartitionEnd: time.Hour}},
		{"the first member dead", leasesim.Options{Demand: func(n int, _ time.Duration) float64 {
			if n == 0 {
				return 0
			}
			return 26
		}, Partitioned: []int{0}, PartitionStart: 5 * time.Second, PartitionEnd: time.Hour}},
		{"crashes, pauses, lost and late messages", leasesim.Options{Demand: even(24), Faults: true, ClockDrift: lease.DefaultClockDrift}},
	}
	bench.Head("of 120 a second", "way", "used", "most in any second", "over in so many begins")
	type key struct{ c, w int }
	got := map[key]*leasesim.Result{}
	var mu sync.Mutex
	err := bench.Each(len(cases)*(int(leasesim.StrategyCount)+1), runtime.NumCPU(), func(i int) error {
		c, w := i/(int(leasesim.StrategyCount)+1), i%(int(leasesim.StrategyCount)+1)
		o := cases[c].o
		o.Seed, o.Clients, o.Servers, o.Total, o.Kind, o.Duration, o.CountFrom = 1, 10, 3, 120, quota.Requests, 60*time.Second, 20*time.Second
		if o.Strategy = leasesim.Strategy(w); w == int(leasesim.StrategyCount) {
			o.Strategy, o.Soft = leasesim.PartitionedServers, true
		}
		r, err := leasesim.Run(o)
		mu.Lock()
		got[key{c, w}] = r
		mu.Unlock()
		return err
	})
	if err != nil {
		return err
	}
	for c := range cases {
		for w := range int(leasesim.StrategyCount) + 1 {
			r, name := got[key{c, w}], leasesim.Strategy(min(w, int(leasesim.StrategyCount)-1)).String()
			if w == int(leasesim.StrategyCount) {
				name = fmt.Sprintf("keepers, soft (bound %d)", r.Bound)
			}
			bench.Row(cases[c].name, name, fmt.Sprintf("%.2f", r.UsedShare), r.MaxUsed, r.Exceeded)
		}
	}
	return nil
}

// schedules simulates random fleets with random faults, and compares the use of each with its bound.
func schedules(n int) error {
	type sum struct {
		n, begun, near, over, crashes, pauses int
		ratio                                 float64
		served                                []float64
	}
	sums := map[string]*sum{}
	var mu sync.Mutex
	err := bench.Each(n, runtime.NumCPU(), func(i int) error {
		rng := rand.New(rand.NewPCG(uint64(i), 71))
		o := leasesim.Options{Seed: uint64(i), Clients: 10 + int(290*rng.Float64()*rng.Float64()), Servers: 1 + rng.IntN(5), Kind: []quota.Kind{quota.InFlight, quota.Requests}[i%2], Soft: i%4 >= 2,
			MeanAttemptTime: time.Duration(20+rng.IntN(300)) * time.Millisecond, Duration: 40 * time.Second, Faults: true, ClockDrift: lease.DefaultClockDrift, CountFrom: 10 * time.Second,
			FaultInterval: []time.Duration{700 * time.Millisecond, 3 * time.Second, 10 * time.Second}[rng.IntN(3)]}
		o.Total = 10 + rng.IntN(300)
		wanted := float64(o.Total) * (0.7 + 2*rng.Float64())
		if !o.Kind.IsRate() {
			wanted /= o.MeanAttemptTime.Seconds()
		}
		wanted = min(wanted, 3000)
		// The share of the traffic that each agent has changes every few seconds.
		weight := make([]float64, 64)
		for j := range weight {
			weight[j] = rng.ExpFloat64() * rng.ExpFloat64()
		}
		o.Demand = func(n int, now time.Duration) float64 {
			return wanted / float64(o.Clients) * weight[(n*7+int(now/(4*time.Second))*13)%64]
		}
		if rng.IntN(3) == 0 {
			part := 1 + rng.IntN(o.Clients/2)
			for h := range part {
				o.Partitioned = append(o.Partitioned, h)
			}
			o.PartitionStart = time.Duration(10+rng.IntN(10)) * time.Second
			o.PartitionEnd = o.PartitionStart + time.Duration(rng.IntN(20))*time.Second
		}
		r, err := leasesim.Run(o)
		if err != nil {
			return err
		}
		bound := r.Bound
		kind := "soft"
		if !o.Soft {
			kind, bound = "hard", o.Total
		}
		mu.Lock()
		defer mu.Unlock()
		k := kind + ", " + o.Kind.String()
		s := sums[k]
		if s == nil {
			s = &sum{}
			sums[k] = s
		}
		s.n++
		s.begun += r.Started
		s.near += r.NearTotal
		s.crashes += r.Crashes
		s.pauses += r.Pauses
		if r.MaxUsed > bound {
			s.over++
		}
		s.ratio = max(s.ratio, float64(r.MaxUsed)/float64(bound))
		s.served = append(s.served, r.UsedShare)
		return nil
	})
	if err != nil {
		return err
	}
	bench.Head("limit", "schedules", "begins", "near the figure or over it", "crashes", "pauses", "schedules over the bound", "worst, of the bound", "used of what was wanted or allowed, median and least")
	for _, k := range []string{"hard, in-flight", "hard, requests", "soft, in-flight", "soft, requests"} {
		if s := sums[k]; s != nil {
			slices.Sort(s.served)
			bench.Row(k, s.n, s.begun, s.near, s.crashes, s.pauses, s.over, fmt.Sprintf("%.3f", s.ratio), fmt.Sprintf("%.2f, %.2f", s.served[len(s.served)/2], s.served[0]))
		}
	}
	return nil
}

// cost prints the messages and bytes that an agent sends, and its share of a core.
func cost() error {
	bench.Head("agents", "wanted of the figure", "messages a second of each", "bytes a second of each", "time of a core of each")
	for _, n := range []int{10, 100, 300, 1000, 5000} {
		for _, of := range []float64{0.01, 0.5, 2} {
			figure := 10 * n
			begin := time.Now()
			length := 20 * time.Second
			r, err := leasesim.Run(leasesim.Options{Seed: 1, Clients: n, Servers: 3, Total: figure, Kind: quota.Requests, Duration: length, Demand: even(10 * of)})
			if err != nil {
				return err
			}
			per := float64(n) * length.Seconds()
			bench.Row(n, fmt.Sprint(of), fmt.Sprintf("%.1f", float64(r.Messages)/per), fmt.Sprintf("%.0f", float64(r.Bytes)/per), fmt.Sprintf("%.3f%%", 100*time.Since(begin).Seconds()/per))
		}
	}
	return nil
}

// playRealProcesses runs random fault tests with 8 real processes each.
func playRealProcesses(n, at int) error {
	bin := filepath.Join(os.TempDir(), fmt.Sprint("limits-", os.Getpid()))
	defer os.Remove(bin)
	if out, err := exec.Command("go", "build", "-o", bin, "./cmd/vetchhaven").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	var mu sync.Mutex
	sums := map[string]*checker.Claim{}
	kept, events := 0, 0
	err := bench.Each(n, at, func(i int) error {
		p := randomPlan(uint64(i))
		lines, err := harness.Play(context.Background(), p, harness.Options{Program: bin, Seed: uint64(i)})
		if err != nil {
			return err
		}
		report := checker.Check(p.Bounds, lines)
		mu.Lock()
		defer mu.Unlock()
		events += len(p.Events)
		whole := true
		for _, c := range report.Claims {
			if c.Name != checker.LimitHard && c.Name != checker.LimitSoft && c.Name != checker.LimitUsed {
				continue
			}
			s := sums[c.Name]
			if s == nil {
				s = &checker.Claim{Name: c.Name}
				sums[c.Name] = s
			}
			s.Tried += c.Tried
			s.Broken += c.Broken
			s.Nearest = c.Nearest
			if c.Broken > 0 {
				whole = false
				fmt.Fprintf(os.Stderr, "drill %d: %s: %v\n", i, c.Name, c.Breaks)
			}
		}
		if whole {
			kept++
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d drills of 8 processes, %d things that befell them; nothing broken in %d\n\n", n, events, kept)
	bench.Head("claim", "tried", "broken")
	for _, name := range []string{checker.LimitHard, checker.LimitSoft, checker.LimitUsed} {
		if s := sums[name]; s != nil {
			bench.Row(name, s.Tried, s.Broken)
		}
	}
	return nil
}

// randomPlan returns the plan of a fault test of 40 s in which daemons are killed, paused, handed over and
// partitioned, and the request rate changes.
func randomPlan(seed uint64) *plan.Plan {
	rng := rand.New(rand.NewPCG(seed, 81))
	p := &plan.Plan{Name: fmt.Sprint("random-", seed), Daemons: 8, Servers: 3, Rate: 20, Zones: 1, Seeds: []int{0, 1}, Length: 40 * time.Second, ServiceTime: 60 * time.Millisecond,
		LeaseServers: []int{0, 1, 2}[:1+2*rng.IntN(2)], Term: 2 * time.Second, NeedsRealProcesses: true,
		Limits: []plan.Limit{{Name: "at-once", Counts: quota.InFlight, Total: 6 + rng.IntN(6), Hard: true}, {Name: "all", Counts: quota.Requests, Total: 60 + rng.IntN(60), Hard: rng.IntN(2) == 0}},
		Bounds: checker.Bounds{Crash: 20 * time.Second, Leave: 20 * time.Second, Join: 20 * time.Second, Settle: 15 * time.Second, Pause: 3 * time.Second, MaxIdleBytes: 1 << 20, MaxBytes: 1 << 20, MinLimitUse: 0.01}}
	at := 8 * time.Second
	for at < 34*time.Second {
		who := rng.IntN(8)
		if rng.IntN(2) == 0 {
			who = rng.IntN(3)
		}
		e := plan.Event{At: at, Who: []int{who}, State: "kept"}
		long := time.Duration(1+rng.IntN(5)) * time.Second
		undo := e
		undo.At = min(at+long, 39*time.Second)
		switch rng.IntN(6) {
		case 0:
			e.Do, undo.Do = "kill", "start"
			undo.State = []string{"kept", "none", "torn"}[rng.IntN(3)]
		case 1:
			e.Do, undo.Do = "pause", "resume"
		case 2, 3:
			for o := range 8 {
				if rng.IntN(2) == 0 {
					e.To = append(e.To, o)
				}
			}
			e.Do, undo.Do, e.Both, undo.Both = "link", "heal", rng.IntN(2) == 0, true
			e.Link = plan.Link{Drop: []float64{1, 0.5}[rng.IntN(2)], Duplicate: 0.1, Reorder: 0.1, Jitter: 100 * time.Millisecond}
			undo.To = e.To
		case 4:
			e.Do = "handover"
			undo.Do = ""
		case 5:
			e.Do, e.Rate = "rate", []float64{1, 20, 100}[rng.IntN(3)]
			undo.Do = ""
		}
		p.Events = append(p.Events, e)
		if undo.Do != "" {
			p.Events = append(p.Events, undo)
		}
		at += time.Duration(500+rng.IntN(3000)) * time.Millisecond
	}
	slices.SortStableFunc(p.Events, func(a, b plan.Event) int { return int(a.At - b.At) })
	// Drops events that do not apply to the daemon's state: it is not running, or the event has already happened.
	state := map[int]string{}
	p.Events = slices.DeleteFunc(p.Events, func(e plan.Event) bool {
		w := e.Who[0]
		switch e.Do {
		case "kill", "handover":
			if state[w] != "" {
				return true
			}
			if e.Do == "kill" {
				state[w] = "down"
			}
		case "start":
			if state[w] != "down" {
				return true
			}
			state[w] = ""
		case "pause":
			if state[w] != "" {
				return true
			}
			state[w] = "paused"
		case "resume":
			if state[w] != "paused" {
				return true
			}
			state[w] = ""
		}
		return false
	})
	return p
}
