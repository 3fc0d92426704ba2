package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/drill/hollow"
	"vetchhaven/internal/drill/plan"
	"vetchhaven/internal/drill/topology"
	"vetchhaven/tools/capacity/slopes"
	"vetchhaven/tools/internal/bench"
)

// rounds are the round-trip times between regions that the view is measured at, in ms. 0: all in one place.
var rounds = []float64{0, 20, 80, 120, 160, 250}

func viewCommand() *cobra.Command {
	f := flags{sizes: "100,300,1000"}
	var at string
	c := &cobra.Command{Use: "view", Short: "The view of the fleet: bytes, messages, processor time and memory of an agent, with regions", Args: cobra.NoArgs,
		Long: `At rest over sizes (one place, and five regions 80 ms apart), over round-trip times at one size; the ordinary day; a zone and a
region that come back; the memory of one member. --part plays one of these.`}
	c.RunE = func(*cobra.Command, []string) error {
		sizes, err := f.numbers()
		if err != nil {
			return err
		}
		parts := map[string]func([]int, *flags) ([]slopes.Slope, error){"issue": viewIssue, "rest": viewRest, "rounds": viewRounds, "day": viewDay, "worst": viewWorst, "memory": viewMemory}
		names := []string{"issue", "rest", "rounds", "day", "worst", "memory"}
		if at != "" {
			if parts[at] == nil {
				return fmt.Errorf("--part %q: %v are there", at, names)
			}
			names = []string{at}
		}
		for _, name := range names {
			all, err := parts[name](sizes, &f)
			if err != nil {
				return fmt.Errorf("view, %s: %w", name, err)
			}
			if f.toml {
				if err := slopes.Write(os.Stdout, all...); err != nil {
					return err
				}
			}
		}
		return nil
	}
	c.Flags().StringVar(&at, "part", "", "issue, rest, rounds, day, worst or memory; empty: all")
	f.add(c)
	return c
}

const (
	regions = 5
	zones   = 3 // of each region
	settle  = 20 * time.Second
	measure = 40 * time.Second
)

// layout is five regions, or one place where rtt is 0.
func layout(members int, rtt float64, seed uint64) (*topology.Layout, error) {
	s := topology.Spec{Members: members, Regions: regions, Zones: zones, RTT: time.Duration(rtt * float64(time.Millisecond)), Seed: seed}
	return topology.New(s)
}

// atRest plays a fleet that nothing befalls, and is the phase after it has settled.
func atRest(members int, rtt float64, f *flags) (hollow.Phase, error) {
	l, err := layout(members, rtt, f.seed)
	if err != nil {
		return hollow.Phase{}, err
	}
	v := hollow.View{Seed: f.seed, Layout: l, Members: members, Marks: []time.Duration{settle}, Length: settle + measure, Workers: f.workers}
	phases, _, err := v.Play()
	if err != nil {
		return hollow.Phase{}, err
	}
	return phases[1], nil
}

func (f *flags) row(size any, what string, p hollow.Phase, began time.Time) {
	if !f.toml {
		bench.Row(size, what, p.Out.Bytes, p.Out.P99, p.Out.Most, p.Out.Messages, p.In.Bytes, p.In.Most, p.In.Messages, fmt.Sprintf("%.3f%%", 100*p.Processor), time.Since(began).Round(100*time.Millisecond))
	}
}

func (f *flags) head() {
	if !f.toml {
		bench.Head("agents", "what", "bytes/s out", "99 in 100 agents", "most in a second", "messages/s out", "bytes/s in", "most in a second", "messages/s in", "core", "took")
	}
}

// viewIssue plays the figures of the issue again: one of them is killed at 24 s, and the regions are delayed.
func viewIssue(_ []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var points [][2]float64
	for _, c := range []struct {
		members int
		rtt     float64
	}{{50, 10}, {50, 80}, {50, 160}, {50, 240}, {200, 160}} {
		began := time.Now()
		l, err := topology.New(topology.Spec{Members: c.members, Regions: regions, RTT: time.Duration(c.rtt * float64(time.Millisecond))})
		if err != nil {
			return nil, err
		}
		v := hollow.View{Seed: f.seed, Layout: l, Members: c.members, Marks: []time.Duration{settle}, Length: settle + measure, Workers: f.workers,
			Events: []plan.Event{{At: 24 * time.Second, Do: "kill", Who: []int{7}}}}
		phases, _, err := v.Play()
		if err != nil {
			return nil, err
		}
		f.row(c.members, fmt.Sprintf("%v ms there and back, one killed", c.rtt), phases[1], began)
		if c.members == 50 {
			points = append(points, [2]float64{c.rtt, math.Round(phases[1].Out.Bytes)})
		}
	}
	return []slopes.Slope{f.entry(slopes.Slope{Name: "view.bytes_out.issue", Role: "agent", Load: "rest", Quantity: "bytes_out", Unit: "B/s", Mechanism: "view", Variable: "rtt_ms",
		Form: "table", Points: points, Note: "50 agents in five regions, one killed at 24 s; bytes encoded, no heads of UDP and IP"}, "view --part issue")}, nil
}

// viewRest is the cost at rest over sizes, in one place and with regions 80 ms apart.
func viewRest(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var all []slopes.Slope
	for _, rtt := range []float64{0, 80} {
		s := f.series("view", "rest", "agents", fmt.Sprintf("%s, seed %d", name(rtt), f.seed))
		for _, n := range sizes {
			began := time.Now()
			p, err := atRest(n, rtt, f)
			if err != nil {
				return nil, err
			}
			f.row(n, "at rest, "+name(rtt), p, began)
			s.add(float64(n), p)
		}
		all = append(all, s.entries(fmt.Sprintf("rest_%dms", int(rtt)), "view --part rest", "log")...)
	}
	return all, nil
}

func name(rtt float64) string {
	if rtt == 0 {
		return "in one place"
	}
	return fmt.Sprintf("five regions, %v ms there and back", rtt)
}

// viewRounds is the cost at rest over round-trip times, for the largest size but one.
func viewRounds(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	n := sizes[max(0, len(sizes)-2)]
	s := f.series("view", "rest", "rtt_ms", fmt.Sprintf("%d agents in five regions, seed %d", n, f.seed))
	for _, rtt := range rounds {
		began := time.Now()
		p, err := atRest(n, rtt, f)
		if err != nil {
			return nil, err
		}
		f.row(n, "at rest, "+name(rtt), p, began)
		s.add(rtt, p)
	}
	return s.entries(fmt.Sprintf("rounds_%d", n), "view --part rounds", "table"), nil
}

// Of 12,000 agents, on an ordinary day.
const (
	dayAgents   = 12000
	dayFailures = 20.0
	dayRestarts = 710.0
)

// viewDay is the ordinary day: what one failure and one restart cost each agent beyond rest, times as many as befall so
// many agents in a day. They come far oftener here than on that day, each after the last is over.
func viewDay(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	var all []slopes.Slope
	for _, rtt := range []float64{0, 80} {
		s := f.series("view", "day", "agents", name(rtt)+"; rest, and what a failure and a restart cost beyond it times their rates of a day")
		for _, n := range sizes {
			began := time.Now()
			rest, err := atRest(n, rtt, f)
			if err != nil {
				return nil, err
			}
			l, err := layout(n, rtt, f.seed)
			if err != nil {
				return nil, err
			}
			const each, gap = 4, 15 * time.Second
			rng := rand.New(rand.NewPCG(f.seed, 7))
			var events []plan.Event
			for i := range each {
				at := settle + time.Duration(i)*gap
				who := []int{10 + rng.IntN(n-10)}
				events = append(events, plan.Event{At: at, Do: "kill", Who: who}, plan.Event{At: at + each*gap, Do: "term", Who: []int{10 + (who[0]-9)%(n-10)}},
					plan.Event{At: at + each*gap + 4*time.Second, Do: "start", Who: []int{10 + (who[0]-9)%(n-10)}, State: "kept"})
			}
			v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{settle, settle + each*gap}, Length: settle + 2*each*gap, Workers: f.workers, Events: events}
			phases, _, err := v.Play()
			if err != nil {
				return nil, err
			}
			f.row(n, "a failure each 15 s, "+name(rtt), phases[1], began)
			f.row(n, "a restart each 15 s, "+name(rtt), phases[2], began)
			p := rest
			share := float64(n) / dayAgents / (24 * 3600) * gap.Seconds()
			for i, times := range []float64{dayFailures, dayRestarts} {
				p = p.Plus(rest, phases[i+1], times*share)
			}
			f.row(n, "the day, "+name(rtt), p, began)
			s.add(float64(n), p)
		}
		all = append(all, s.entries(fmt.Sprintf("day_%dms", int(rtt)), "view --part day", "linear")...)
	}
	return all, nil
}

// viewWorst is a zone of fifteen that is lost and comes back at once, and a region that comes back after five minutes.
func viewWorst(sizes []int, f *flags) ([]slopes.Slope, error) {
	f.head()
	const after = 15 * time.Second
	var all []slopes.Slope
	for _, rtt := range []float64{0, 80} {
		back, cut := f.series("view", "worst", "agents", name(rtt)+"; a zone of 15 starts at once after 60 s; the 15 s from then"), f.series("view", "worst", "agents", name(rtt)+"; a region of 5 after five minutes cut off; the 15 s from then")
		during := f.series("view", "worst", "agents", name(rtt)+"; a region of 5 cut off; the third minute of it")
		for _, n := range sizes {
			began := time.Now()
			l, err := layout(n, rtt, f.seed)
			if err != nil {
				return nil, err
			}
			zone := l.InZone(zones) // the first of the second region
			startAt := settle + time.Minute
			v := hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{settle, startAt, startAt + after}, Length: startAt + 2*after, Workers: f.workers,
				Events: []plan.Event{{At: settle, Do: "kill", Who: zone}, {At: startAt, Do: "start", Who: zone, State: "kept"}}}
			phases, r, err := v.Play()
			if err != nil {
				return nil, err
			}
			f.row(n, fmt.Sprintf("a zone back, %s; views at the end: %d", name(rtt), hollow.Differ(r)), phases[2], began)
			back.add(float64(n), phases[2])
			began = time.Now()
			if l, err = layout(n, rtt, f.seed); err != nil {
				return nil, err
			}
			cutAt := settle
			healAt := cutAt + 5*time.Minute
			l.CutOff(regions-1, cutAt, healAt)
			v = hollow.View{Seed: f.seed, Layout: l, Members: n, Marks: []time.Duration{cutAt + 2*time.Minute, cutAt + 3*time.Minute, healAt, healAt + after}, Length: healAt + 3*after, Workers: f.workers}
			if phases, r, err = v.Play(); err != nil {
				return nil, err
			}
			f.row(n, "a region cut off, "+name(rtt), phases[1], began)
			f.row(n, fmt.Sprintf("a region back, %s; views at the end: %d", name(rtt), hollow.Differ(r)), phases[3], began)
			during.add(float64(n), phases[1])
			cut.add(float64(n), phases[3])
		}
		all = append(all, back.entries(fmt.Sprintf("zone_back_%dms", int(rtt)), "view --part worst", "linear")...)
		all = append(all, during.entries(fmt.Sprintf("region_cut_%dms", int(rtt)), "view --part worst", "linear")...)
		all = append(all, cut.entries(fmt.Sprintf("region_back_%dms", int(rtt)), "view --part worst", "linear")...)
	}
	return all, nil
}

// viewMemory is what one member holds, by itself: any size fits.
func viewMemory(_ []int, f *flags) ([]slopes.Slope, error) {
	if !f.toml {
		bench.Head("members known", "heap of one view", "for each member")
	}
	var points [][2]float64
	for _, n := range []int{120, 1200, 12000} {
		bytes, err := hollow.Memory(n)
		if err != nil {
			return nil, err
		}
		if !f.toml {
			bench.Row(n, fmt.Sprintf("%.2f MB", float64(bytes)/1e6), fmt.Sprintf("%d B", int(bytes)/n))
		}
		points = append(points, [2]float64{float64(n), figures(float64(bytes))})
	}
	return []slopes.Slope{f.entry(slopes.Slope{Name: "view.memory.rest", Role: "agent", Load: "rest", Quantity: "memory", Unit: "B", Mechanism: "view", Variable: "agents",
		Form: "linear", Points: points, Note: "heap of one whole view of so many members, whose records came off the wire; the default most is 10,000 members"}, "view --part memory")}, nil
}
