package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/faulttest/hollow"
	verdicts "vetchhaven/internal/peer/ejection/ejectionsim"
	"vetchhaven/internal/peer/lease/leasesim"
	"vetchhaven/tools/capacity/slopes"
	"vetchhaven/tools/internal/bench"
)

// part is one measurement of a command, with a table and entries of its own.
type part struct {
	name string
	run  func(sizes []int, f *flags) ([]slopes.Slope, error)
}

// multiPartCommand returns a command with several parts.
func multiPartCommand(use, short, long, sizes string, parts ...part) *cobra.Command {
	f := flags{sizes: sizes}
	var at string
	c := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs}
	names := ""
	for _, p := range parts {
		names += " " + p.name
	}
	c.RunE = func(*cobra.Command, []string) error {
		sizes, err := f.numbers()
		if err != nil {
			return err
		}
		found := false
		for _, p := range parts {
			if at != "" && p.name != at {
				continue
			}
			found = true
			all, err := p.run(sizes, &f)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", use, p.name, err)
			}
			if f.toml {
				if err := slopes.Write(os.Stdout, all...); err != nil {
					return err
				}
			}
		}
		if !found {
			return fmt.Errorf("--part %q is not one of%s", at, names)
		}
		return nil
	}
	c.Flags().StringVar(&at, "part", "", "the part to run, one of:"+names+"; empty: all")
	f.add(c)
	return c
}

func verdictsCommand() *cobra.Command {
	return multiPartCommand("verdicts", "Shared ejections of servers: bytes, messages and CPU time of an agent",
		"At rest over sizes and over requests a second; on the ordinary day; when all servers of one of fifteen zones fail for a minute. Each\n"+
			"agent is a server too, and sends to the services that its own service calls, by a graph drawn from the seed.",
		"100,300,1000", part{"rest", verdictsRest}, part{"rate", verdictsRate}, part{"day", verdictsDay}, part{"worst", verdictsWorst})
}

// Requests on an ordinary day.
const (
	requestRate = 408.0 // requests per second of each agent
	errorShare  = 0.001 // share of requests that fail at random, as in tools/verdicts
)

func verdictsRun(n int, rate float64, f *flags, change func(*hollow.Verdicts)) (hollow.Phase, error) {
	l, err := regions80ms.layout(n, f.seed)
	if err != nil {
		return hollow.Phase{}, err
	}
	g, err := hollow.DrawGraph(hollow.GraphSpec{Agents: n, Seed: f.seed})
	if err != nil {
		return hollow.Phase{}, err
	}
	v := hollow.Verdicts{Seed: f.seed, Layout: l, Graph: g, Rate: rate, Error: errorShare, Marks: []time.Duration{5 * time.Second}, Length: 15 * time.Second}
	if change != nil {
		change(&v)
	}
	phases, _, err := v.Play()
	if err != nil {
		return hollow.Phase{}, err
	}
	return phases[1], nil
}

// measureAfterWarmup makes a run measure only after 20 s, when agents have counted random failures for long enough.
func measureAfterWarmup(v *hollow.Verdicts) {
	v.Marks, v.Length = []time.Duration{20 * time.Second}, 25*time.Second
}

func verdictsRest(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var all []slopes.Slope
	for _, rate := range []float64{1, requestRate} {
		s := f.series("verdicts", "rest", "agents", fmt.Sprintf("%v requests a second of each, 0.1%% fail by chance, from 20 s on, %s", rate, regions80ms.name))
		for _, n := range sizes {
			began := time.Now()
			p, err := verdictsRun(n, rate, f, measureAfterWarmup)
			if err != nil {
				return nil, err
			}
			f.row(n, fmt.Sprintf("at rest, %v requests a second", rate), p, began)
			s.add(float64(n), p)
		}
		all = append(all, s.entries(fmt.Sprintf("rest_%vps", rate), "verdicts --part rest", "log")...)
	}
	return all, nil
}

func verdictsRate(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	n := sizes[max(0, len(sizes)-2)]
	s := f.series("verdicts", "rest", "calls_per_s", fmt.Sprintf("%d agents, 0.1%% fail by chance, from 20 s on, %s", n, regions80ms.name))
	for _, rate := range []float64{1, 10, 40, requestRate} {
		began := time.Now()
		p, err := verdictsRun(n, rate, f, measureAfterWarmup)
		if err != nil {
			return nil, err
		}
		f.row(n, fmt.Sprintf("at rest, %v requests a second", rate), p, began)
		s.add(rate, p)
	}
	return s.entries(fmt.Sprintf("rate_%d", n), "verdicts --part rate", "power"), nil
}

// verdictsDay measures the ordinary day: the cost at rest, and the additional cost of a failed server and of a drained
// one, multiplied by their daily rates.
func verdictsDay(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	s := f.series("verdicts", "day", "agents", fmt.Sprintf("%v requests a second; rest, and what a failure and a drain cost beyond it times their rates of a day", requestRate))
	const gap = 10 * time.Second
	for _, n := range sizes {
		began := time.Now()
		rest, err := verdictsRun(n, requestRate, f, nil)
		if err != nil {
			return nil, err
		}
		failed, err := verdictsRun(n, requestRate, f, func(v *hollow.Verdicts) {
			v.Failing = []hollow.Failing{{Servers: []int{n / 2}, Share: 1, Start: 5 * time.Second, End: time.Hour}}
		})
		if err != nil {
			return nil, err
		}
		drained, err := verdictsRun(n, requestRate, f, func(v *hollow.Verdicts) { v.Drains = []verdicts.Drain{{Server: n / 2, At: 5 * time.Second}} })
		if err != nil {
			return nil, err
		}
		f.row(n, "one fails, 10 s", failed, began)
		f.row(n, "one drains, 10 s", drained, began)
		share := float64(n) / dayAgents / (24 * 3600) * gap.Seconds()
		p := rest.Plus(rest, failed, dayFailures*share).Plus(rest, drained, dayRestarts*share)
		f.row(n, "the day", p, began)
		s.add(float64(n), p)
	}
	return s.entries("day", "verdicts --part day", "log"), nil
}

// verdictsWorst measures all servers of a zone failing together.
func verdictsWorst(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	s := f.series("verdicts", "worst", "agents", fmt.Sprintf("%v requests a second, %s; all servers of a zone of 15 fail at once; the 10 s from then", requestRate, regions80ms.name))
	for _, n := range sizes {
		began := time.Now()
		p, err := verdictsRun(n, requestRate, f, func(v *hollow.Verdicts) {
			v.Failing = []hollow.Failing{{Servers: v.Layout.InZone(zones), Share: 1, Start: 5 * time.Second, End: time.Hour}}
		})
		if err != nil {
			return nil, err
		}
		f.row(n, "a zone fails", p, began)
		s.add(float64(n), p)
	}
	return s.entries("zone", "verdicts --part worst", "log"), nil
}

func limitsCommand() *cobra.Command {
	return multiPartCommand("limits", "Limits for the whole fleet: bytes, messages and CPU time of a lease client and of a lease server",
		"One limit of requests a second, leased by three lease servers to clients that all use it: at rest, and when one of fifteen zones starts.",
		"120,1200,12000", part{"rest", limitsRest}, part{"worst", limitsWorst}, part{"keeper", limitsLeaseServer})
}

// limitsRequestRate is the number of requests per second of each lease client. It is high enough for the client to
// query its lease servers at the highest rate that occurs at rest.
const limitsRequestRate = 8

func limitsRun(n int, f *flags, change func(*hollow.Limits)) (leaseClient, leaseServer hollow.Phase, err error) {
	l, err := regions80ms.layout(n, f.seed)
	if err != nil {
		return leaseClient, leaseServer, err
	}
	v := hollow.Limits{Seed: f.seed, Layout: l, Members: n, Rate: limitsRequestRate, Marks: []time.Duration{8 * time.Second}, Length: 14 * time.Second}
	if change != nil {
		change(&v)
	}
	h, k, _, err := v.Play()
	if err != nil {
		return leaseClient, leaseServer, err
	}
	return h[1], k[1], nil
}

func limitsTable(sizes []int, f *flags, load, which, note, command string, change func(*hollow.Limits)) ([]slopes.Slope, error) {
	f.head()
	leaseClients, leaseServers := f.series("limits", load, "agents", note), f.series("limits", load, "agents", note+"; one keeper of three")
	for _, n := range sizes {
		began := time.Now()
		h, k, err := limitsRun(n, f, change)
		if err != nil {
			return nil, err
		}
		f.row(n, which+", a holder", h, began)
		f.row(n, which+", a keeper", k, began)
		leaseClients.add(float64(n), h)
		leaseServers.add(float64(n), k)
	}
	all := leaseClients.entries(which, command, "constant")
	for _, s := range leaseServers.entries(which+"_keeper", command, "linear") {
		if s.Quantity == "cpu" {
			continue // this is the CPU time of all members together; that of a lease server is limits.cpu.keeper
		}
		s.Role = "keeper"
		all = append(all, s)
	}
	return all, nil
}

func limitsRest(sizes []int, f *flags) ([]slopes.Slope, error) {
	return limitsTable(sizes, f, "rest", "rest", "one limit by the second, three keepers, every agent busy, "+regions80ms.name, "limits --part rest", nil)
}

func limitsWorst(sizes []int, f *flags) ([]slopes.Slope, error) {
	return limitsTable(sizes, f, "worst", "zone_back", "a zone of 15 starts at once; the 6 s from then", "limits --part worst", func(l *hollow.Limits) {
		l.Down = []leasesim.Outage{{Members: l.Layout.InZone(zones), Start: 3 * time.Second, End: 8 * time.Second}}
	})
}

// limitsLeaseServer measures the CPU time of one lease server for one message, by the number of lease clients.
func limitsLeaseServer(sizes []int, f *flags) ([]slopes.Slope, error) {
	if !f.toml {
		bench.Head("holders", "a question, with its encoding")
	}
	var points [][2]float64
	for _, n := range sizes {
		each, err := hollow.KeeperTime(n)
		if err != nil {
			return nil, err
		}
		if !f.toml {
			bench.Row(n, each)
		}
		points = append(points, [2]float64{float64(n), fourDigits(float64(each) / 1000)})
	}
	return []slopes.Slope{f.entry(slopes.Slope{Name: "limits.cpu.keeper", Role: "keeper", Load: "rest", Quantity: "time", Unit: "us", Mechanism: "limits", Variable: "agents", Form: "linear", Points: points,
		Note: "processor time of one question at a keeper, encoding and decoding included, no system calls; a busy holder asks each keeper four times a second"}, "limits --part keeper")}, nil
}
