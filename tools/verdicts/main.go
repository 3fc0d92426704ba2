// Command verdicts measures the benefit of agents sharing evidence about servers and ejecting them together. It prints
// Markdown.
//
//	go run ./tools/verdicts worth [-seeds 1] [-agents 300] [-only verdicts] [-rate 10] [-fault silent]   attempts lost until all agents avoid the server, compared with other methods
//	go run ./tools/verdicts links [-days 100]                 wrong ejections under random link faults
//	go run ./tools/verdicts found [-seeds 12]                 how soon a failing server is ejected
//	go run ./tools/verdicts bytes                             messages and CPU time of an agent, by size of the fleet
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/peer/ejection/ejectionsim"
	"vetchhaven/internal/simulate/baseline"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/model/virtual"
	"vetchhaven/internal/simulate/scenario"
	"vetchhaven/tools/internal/bench"
)

func main() {
	f := flag.NewFlagSet("verdicts", flag.ExitOnError)
	seeds, agents, days := f.Int("seeds", 1, "seeds of each case"), f.Int("agents", 300, "number of agents"), f.Int("days", 100, "links: number of days, of a minute each")
	faultFilter := f.String("fault", "", "worth: only faults whose name contains this; empty: all")
	only, rate := f.String("only", "", "worth: only ways whose name contains this; empty: all"), f.Float64("rate", 0, "worth: requests a second of each agent, 1 or 10; 0: both")
	bench.Main(f,
		bench.Job{Name: "worth", Run: func() error { return worth(*seeds, *agents, *only, *faultFilter, *rate) }},
		bench.Job{Name: "links", Run: func() error {
			if os.Getenv("WHY") != "" {
				reportEjection = func(s string) { fmt.Fprintln(os.Stderr, s) }
			}
			return links(*days)
		}},
		bench.Job{Name: "found", Run: func() error { return found(*seeds) }},
		bench.Job{Name: "bytes", Run: bytes})
}

const (
	faultAt   = 15 * time.Second
	faultFor  = 20 * time.Second
	dayLength = 40 * time.Second
)

// fault is a fault of one or more servers: hit selects them, and on and off return the changes that start and end it.
type fault struct {
	name    string
	hit     func(s *model.Scenario) []string
	on, off func(server string) any
}

func one(s *model.Scenario) []string { return []string{s.Servers[7].Name} }

func every(n int) func(s *model.Scenario) []string {
	return func(s *model.Scenario) (hit []string) {
		for i, v := range s.Servers {
			if i%n == 0 {
				hit = append(hit, v.Name)
			}
		}
		return hit
	}
}

func zone(s *model.Scenario) (hit []string) {
	for _, v := range s.Servers {
		if v.Zone == 1 {
			hit = append(hit, v.Name)
		}
	}
	return hit
}

func errorsOf(rate float64) (on, off func(string) any) {
	return func(v string) any { return model.ServerErrors{Server: v, Rate: rate} }, func(v string) any { return model.ServerErrors{Server: v} }
}

func silent() (on, off func(string) any) {
	return func(v string) any { return model.Silence{Server: v, On: true} }, func(v string) any { return model.Silence{Server: v} }
}

func slow() (on, off func(string) any) {
	return func(v string) any { return model.ServerSpeed{Server: v, Factor: 0.02} }, func(v string) any { return model.ServerSpeed{Server: v, Factor: 1} }
}

type outcome struct {
	lostAttempts, after5 int
	service              float64
	broken               int
	bytes                float64
}

func worth(seeds, agents int, only, faultFilter string, onlyRate float64) error {
	base, err := scenario.Load("scenarios/fleet-calm.toml")
	if err != nil {
		return err
	}
	faults := []fault{}
	add := func(name string, hit func(*model.Scenario) []string, on, off func(string) any) {
		faults = append(faults, fault{name, hit, on, off})
	}
	on, off := errorsOf(1)
	add("one fails at once", one, on, off)
	add("half fail (a bad release)", every(2), on, off)
	on, off = errorsOf(0.3)
	add("one fails 30%", one, on, off)
	on, off = silent()
	add("one is silent", one, on, off)
	add("a zone is silent", zone, on, off)
	on, off = slow()
	add("one is 50 times slower", one, on, off)
	ways := []string{"each alone", "notes of decide", "verdicts", baseline.SeesNow}
	type cell struct {
		f    fault
		rate float64
		way  string
	}
	var cells []cell
	var jobs []func() (outcome, error)
	for _, rate := range []float64{1, 10} {
		if onlyRate != 0 && onlyRate != rate {
			continue
		}
		for _, f := range faults {
			for _, way := range ways {
				if !strings.Contains(way, only) || !strings.Contains(f.name, faultFilter) {
					continue
				}
				cells = append(cells, cell{f, rate, way})
				jobs = append(jobs, func() (outcome, error) {
					var sum outcome
					for seed := range seeds {
						o, err := day(*base, f, rate, way, agents, uint64(seed+1))
						if err != nil {
							return sum, err
						}
						sum.lostAttempts += o.lostAttempts
						sum.after5 += o.after5
						sum.service += o.service / float64(seeds)
						sum.broken += o.broken
						sum.bytes += o.bytes / float64(seeds)
					}
					return sum, nil
				})
			}
		}
	}
	bench.Head("fault", "requests a second of each", "way", "attempts spoilt", "of these later than 5 s", "service", "rules broken", "bytes a second of each")
	return inOrder(jobs, func(i int, o outcome) {
		c := cells[i]
		bench.Row(c.f.name, fmt.Sprint(c.rate), c.way, o.lostAttempts, o.after5, fmt.Sprintf("%.2f%%", 100*o.service), o.broken, fmt.Sprintf("%.0f", o.bytes))
	})
}

// inOrder runs jobs on all cores, and passes their results to take in the order of the jobs, each as soon as it and
// all earlier ones are available.
func inOrder[T any](jobs []func() (T, error), take func(int, T)) error {
	type one struct {
		got T
		err error
	}
	done := make([]chan one, len(jobs))
	places := make(chan struct{}, runtime.NumCPU())
	for i := range jobs {
		done[i] = make(chan one, 1)
	}
	go func() {
		for i, job := range jobs {
			places <- struct{}{}
			go func() {
				defer func() { <-places }()
				got, err := job()
				done[i] <- one{got, err}
			}()
		}
	}()
	for i := range jobs {
		o := <-done[i]
		if o.err != nil {
			return o.err
		}
		take(i, o.got)
	}
	return nil
}

func day(s model.Scenario, f fault, rate float64, way string, agents int, seed uint64) (outcome, error) {
	s.Agents, s.Rate, s.Length, s.Vary = agents, rate*float64(agents), dayLength, 0
	s.Timeline = nil
	hit := f.hit(&s)
	for _, v := range hit {
		s.Timeline = append(s.Timeline, model.Change{At: faultAt, What: f.on(v)})
	}
	for _, v := range hit {
		s.Timeline = append(s.Timeline, model.Change{At: faultAt + faultFor, What: f.off(v)})
	}
	var out outcome
	o := virtual.Options{Scenario: &s, Seed: seed, New: virtual.Decide,
		Ended: func(now time.Duration, _ int, server string, r decide.Result) {
			if now >= faultAt && now < faultAt+faultFor+2*time.Second && r != decide.OK && r != decide.Rejected && r != decide.Cancelled && r != decide.NotSent && slices.Contains(hit, server) {
				out.lostAttempts++
				if now > faultAt+5*time.Second {
					out.after5++
				}
			}
		}}
	switch way {
	case "notes of decide":
		o.Notes = true
	case "verdicts":
		o.Share = &virtual.Sharing{Late: time.Millisecond}
	case baseline.SeesNow:
		var err error
		if o.New, err = newOracle(); err != nil {
			return out, err
		}
	}
	p, err := virtual.Play(o)
	if err != nil {
		return out, err
	}
	out.service, out.broken = p.Day.Total.Service(), p.Judge.Total()
	out.bytes = float64(p.Bytes) / float64(agents) / s.Length.Seconds()
	return out, nil
}

func newOracle() (func(decide.Settings, uint64) (virtual.Policy, error), error) {
	newPolicy, err := baseline.Maker(baseline.SeesNow)
	if err != nil {
		return nil, err
	}
	return func(s decide.Settings, seed uint64) (virtual.Policy, error) { return newPolicy(s, seed) }, nil
}

// reportEjection receives a line for each ejection; nil: none is reported.
var reportEjection func(string)

// links simulates days in which links fail and no server does, so that every ejection is wrong.
func links(days int) error {
	type got struct {
		r    *ejectionsim.Result
		name string
	}
	var jobs []func() (got, error)
	for d := range days {
		jobs = append(jobs, func() (got, error) {
			o := ejectionsim.BrokenLinks(uint64(d))
			o.OnLog = func(now time.Duration, a int, text string) {
				if reportEjection != nil && strings.Contains(text, " is ejected: ") {
					lost, late := o.PeerPath(0, a, now)
					reportEjection(fmt.Sprintf("day %d, %v, member %d of %d: %s (%.0f%% lost, %v late)", d, now.Round(time.Millisecond), a, o.Agents, text, 100*lost, late))
				}
			}
			r, err := ejectionsim.Run(o)
			return got{r, fmt.Sprintf("%v a second", o.Rate)}, err
		})
	}
	var out []got
	if err := inOrder(jobs, func(_ int, g got) { out = append(out, g) }); err != nil {
		return err
	}
	bench.Head("requests a second of each", "days", "requests", "days with a wrong verdict", "wrong verdicts at members", "member-seconds of them", "messages of an agent a second")
	for _, name := range []string{"10 a second", "1 a second", "0.1 a second"} {
		n, asked, with, wrong, messages := 0, 0, 0, 0, 0
		var span time.Duration
		for _, g := range out {
			if g.name != name {
				continue
			}
			n++
			asked += g.r.Requests
			wrong += g.r.WrongEjections
			span += g.r.WrongDuration
			messages += g.r.Messages
			if g.r.WrongEjections > 0 {
				with++
			}
		}
		bench.Row(name, n, asked, with, wrong, fmt.Sprintf("%.0f", span.Seconds()), fmt.Sprintf("%.1f", float64(messages)/float64(max(1, n))/60/55))
	}
	return nil
}

// bytes prints the messages and bytes that an agent sends and its share of a core, at rest and while a server fails.
func bytes() error {
	bench.Head("agents", "state", "messages a second of each", "bytes a second of each", "time of a core of each")
	for _, agents := range []int{10, 100, 300, 1000, 2000, 5000} {
		for _, failing := range []bool{false, true} {
			length := 30 * time.Second
			begin := time.Now()
			o := ejectionsim.Options{Seed: 1, Agents: agents, Servers: 50, Rate: 1, Duration: length, ShareEvidence: true, LocalEjection: true, ErrorRate: 0.001,
				FailureShare: func(s int, now time.Duration) float64 {
					if failing && s == 3 && now > 5*time.Second {
						return 1
					}
					return 0
				},
				LinkLoss: func(int, int, time.Duration) float64 { return 0 },
				PeerPath: func(int, int, time.Duration) (float64, time.Duration) { return 0, time.Millisecond }}
			r, err := ejectionsim.Run(o)
			if err != nil {
				return err
			}
			took := time.Since(begin)
			per := float64(agents) * length.Seconds()
			bench.Row(agents, map[bool]string{false: "at rest", true: "one of 50 fails from 5 s on"}[failing], fmt.Sprintf("%.1f", float64(r.Messages)/per), fmt.Sprintf("%.0f", float64(r.Bytes)/per),
				fmt.Sprintf("%.3f%%", 100*took.Seconds()/per))
		}
	}
	return nil
}
