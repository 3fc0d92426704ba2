// Command policy measures changes of the fleet's agreed policy. It prints Markdown; docs/measure/policy.md has its
// figures.
//
//	go run ./tools/policy schedules [-n 2000]   random faults, a change every few seconds: the checker's claims, tested and broken
//	go run ./tools/policy parts [-n 2000]       the same with a policy in parts: two changes a second, partitioned regions, new voters
//	go run ./tools/policy points [-pairs 2000]  the acting member is killed at each write and message of a change, once, then twice
//	go run ./tools/policy times                 time from a proposal until the change is in force at all members, in virtual time
//	go run ./tools/policy real                  the same with real processes, and the cost at rest
//	go run ./tools/policy ways                  policy distribution compared with a reload host by host, and with gossip of the newest file
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/harness"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/policymodel"
	"vetchhaven/tools/internal/bench"
)

func main() {
	f := flag.NewFlagSet("policy", flag.ExitOnError)
	sizes := f.String("daemons", "3,5,20", "real: sizes of the fleets")
	whole := f.Bool("all", false, "points: all pairs, with the smallest fleet only")
	n, pairs, program := f.Int("n", 2000, "number of schedules"), f.Int("pairs", 2000, "points: number of random pairs"), f.String("program", "bin/vetchhaven", "real: the built program")
	bench.Main(f,
		bench.Job{Name: "schedules", Run: func() error { return schedules(*n, policymodel.Draw) }},
		bench.Job{Name: "parts", Run: func() error { return schedules(*n, policymodel.DrawParts) }},
		bench.Job{Name: "points", Run: func() error { return points(*pairs, *whole) }},
		bench.Job{Name: "times", Run: times},
		bench.Job{Name: "real", Run: func() error { return realTimes(*program, *sizes) }},
		bench.Job{Name: "ways", Run: ways})
}

// each runs n jobs on all cores, and passes their results to take, one call at a time.
func each[T any](n int, job func(i int) (T, error), take func(i int, v T)) error {
	var mu sync.Mutex
	return bench.Each(n, runtime.NumCPU(), func(i int) error {
		v, err := job(i)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			take(i, v)
		}
		return err
	})
}

// sums adds up the results of the checker's claims over many runs.
type sums struct {
	tried, broken map[string]int
	breaks        []string
}

func newSums() *sums { return &sums{map[string]int{}, map[string]int{}, nil} }

func (s *sums) add(what string, r *checker.Report) {
	for _, c := range r.Claims {
		s.tried[c.Name] += c.Tried
		if c.Broken > 0 {
			s.broken[c.Name]++
			s.breaks = append(s.breaks, fmt.Sprintf("%s: %s: %s", what, c.Name, c.Breaks[0]))
		}
	}
}

func (s *sums) show() {
	bench.Head("claim", "tried", "runs in which it broke")
	for _, name := range checker.Names {
		if strings.HasPrefix(name, "policy-") {
			bench.Row(name, s.tried[name], s.broken[name])
		}
	}
	slices.Sort(s.breaks)
	for _, b := range s.breaks[:min(20, len(s.breaks))] {
		fmt.Fprintln(os.Stderr, b)
	}
}

func schedules(n int, draw func(seed uint64, most int) (*plan.Plan, policymodel.Options)) error {
	s := newSums()
	var taken, changes int
	finalStates, faults := map[string]int{}, map[string]int{}
	began := time.Now()
	err := each(n, func(i int) (played, error) {
		p, o := draw(uint64(i), 10)
		r, err := policymodel.Play(p, o)
		if err != nil {
			return played{}, err
		}
		c := checker.Policy(p.Bounds, r.Lines)
		x := played{r: c, taken: r.Taken, finalStates: map[string]int{}, faults: map[string]int{}}
		for _, l := range r.Lines {
			switch l.What {
			case checker.Proposed:
				x.changes++
			case checker.AuthorNotified:
				x.finalStates[kindOf(l)]++
			}
		}
		for _, e := range p.Events {
			switch {
			case e.Do == "link" || e.Do == "kill" || e.Do == "term" || e.Do == "pause" || e.Do == "voters":
				x.faults[e.Do]++
			case e.Do == "start" && e.State != "kept":
				x.faults["disk "+e.State]++
			case e.Do == "disk" && e.Kind != "well":
				x.faults["disk "+e.Kind]++
			}
		}
		return x, nil
	}, func(i int, x played) {
		taken, changes = taken+x.taken, changes+x.changes
		for k, n := range x.finalStates {
			finalStates[k] += n
		}
		for k, n := range x.faults {
			faults[k] += n
		}
		s.add(fmt.Sprint("schedule ", i), x.r)
	})
	fmt.Printf("%d schedules of 90 s, %d changes asked for, %d requests taken, in %v\n\ntold: %v\n\nbefell: %v\n\n", n, changes, taken, time.Since(began).Round(time.Second), finalStates, faults)
	s.show()
	return err
}

// played is the result of one schedule.
type played struct {
	r                   *checker.Report
	taken, changes      int
	finalStates, faults map[string]int
}

// kindOf returns the final state of a change and, if the change was dropped, the kind of the reason.
func kindOf(l checker.Line) string {
	if l.State != "dropped" {
		return l.State
	}
	for _, kind := range []string{"another change", "it was made of", "not heard", "did not reach", "given up", "can't be put on the disk"} {
		if strings.Contains(l.Why, kind) {
			return l.State + ": " + kind
		}
	}
	return l.State
}

func firstMembers(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

func fleet(n, voters int, stops bool, length time.Duration, events ...plan.Event) *plan.Plan {
	return &plan.Plan{Name: "measure", Daemons: n, Zones: 1, Length: length, Events: events, Policy: &plan.Policy{Voters: firstMembers(voters), StopWhenIsolated: stops, Lease: 2 * time.Second, PrepareTimeout: 3 * time.Second},
		Bounds: checker.Bounds{Crash: 8 * time.Second, Leave: 2 * time.Second, Join: 5 * time.Second, Settle: 8 * time.Second, Pause: 1500 * time.Millisecond, PolicySpread: 500 * time.Millisecond}}
}

func apply(at time.Duration, who int) plan.Event {
	return plan.Event{At: at, Do: "apply", Who: []int{who}, State: "kept"}
}

// points kills the acting member at each point of a change.
func points(pairs int, whole bool) error {
	const asked = 5 * time.Second
	bench.Head("fleet", "cut off", "kills", "points", "runs", "broke", "told in force", "told dropped", "nobody told")
	total := newSums()
	for _, c := range []struct {
		members, voters, author int
		stops                   bool
	}{{3, 3, 0, true}, {3, 3, 0, false}, {4, 3, 3, true}, {4, 3, 3, false}, {5, 5, 4, true}} {
		p := fleet(c.members, c.voters, c.stops, 35*time.Second, apply(asked, c.author))
		o := policymodel.Options{Seed: 1, Take: 50 * time.Millisecond, From: asked, Witness: true, Back: 1200 * time.Millisecond}
		var ends int
		o.Point = func(n int, at time.Duration, _, _ string) {
			if at < asked+400*time.Millisecond {
				ends = n
			}
		}
		if _, err := policymodel.Play(p, o); err != nil {
			return err
		}
		o.Point = nil
		play := func(kill, lose []int) (*checker.Report, string, error) {
			o := o
			o.Kill, o.Lose = kill, lose
			r, err := policymodel.Play(p, o)
			if err != nil {
				return nil, "", err
			}
			told := ""
			for _, l := range r.Lines {
				if l.What == checker.AuthorNotified {
					told = l.State
				}
			}
			return checker.Policy(p.Bounds, r.Lines), told, nil
		}
		type got struct {
			r    *checker.Report
			told string
			kill []int
		}
		run := func(name string, n int, kill, lose func(i int) []int) error {
			s, told := newSums(), map[string]int{}
			err := each(n, func(i int) (got, error) {
				k, l := kill(i), lose(i)
				r, t, err := play(k, l)
				return got{r, t, append(k, l...)}, err
			}, func(i int, g got) {
				s.add(fmt.Sprint("kill ", g.kill), g.r)
				total.add(fmt.Sprint(c, " kill ", g.kill), g.r)
				told[g.told]++
			})
			broken := 0
			for _, n := range s.broken {
				broken += n
			}
			bench.Row(fmt.Sprintf("%d members, %d vote", c.members, c.voters), map[bool]string{true: "stops", false: "vetoes"}[c.stops], name, ends, n, broken, told["in force"], told["dropped"], told[""])
			return err
		}
		none := func(int) []int { return nil }
		if err := run("one killed", ends, func(i int) []int { return []int{i + 1} }, none); err != nil {
			return err
		}
		if err := run("one message lost", ends, none, func(i int) []int { return []int{i + 1} }); err != nil {
			return err
		}
		all := ends * (ends - 1) / 2
		rng := rand.New(rand.NewPCG(1, uint64(c.members)))
		var mu sync.Mutex
		if whole {
			var two [][]int
			for a := 1; a <= ends; a++ {
				for b := a + 1; b <= ends; b++ {
					two = append(two, []int{a, b})
				}
			}
			if err := run("two killed, all pairs", len(two), func(i int) []int { return two[i] }, none); err != nil {
				return err
			}
			if err := run("one killed, then a message lost: all pairs", len(two), func(i int) []int { return two[i][:1:1] }, func(i int) []int { return two[i][1:] }); err != nil {
				return err
			}
			break
		}
		if err := run("two killed, by chance", min(pairs, all), func(i int) []int {
			mu.Lock()
			defer mu.Unlock()
			a, b := 1+rng.IntN(ends), 1+rng.IntN(ends)
			return []int{min(a, b), max(a, b)}
		}, none); err != nil {
			return err
		}
	}
	fmt.Println()
	total.show()
	return nil
}

// changeTimes returns the sorted times from the proposal of a change until the last member first serves by it, and
// how many changes were dropped.
func changeTimes(p *plan.Plan, lines []checker.Line) (all []time.Duration, dropped int) {
	asked, number := map[string]int64{}, map[string]uint64{}
	last := map[uint64]int64{}
	at := map[string]uint64{}
	for _, l := range lines {
		switch l.What {
		case checker.Proposed:
			asked[l.ID] = l.T
		case checker.AuthorNotified:
			if l.State == "in force" {
				number[l.ID] = l.Number
			} else {
				dropped++
			}
		case checker.RequestAdmitted:
			if at[l.Of] != l.Number && !l.Standalone {
				at[l.Of] = l.Number
				last[l.Number] = l.T
			}
		}
	}
	for id, n := range number {
		if last[n] > 0 {
			all = append(all, time.Duration(last[n]-asked[id]))
		}
	}
	slices.Sort(all)
	return all, dropped
}

func at(all []time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	return all[min(len(all)-1, int(share*float64(len(all))))].Round(time.Millisecond)
}

func times() error {
	bench.Head("members", "voters", "state", "changes in force", "dropped", "until all serve by it: p50", "p99", "most", "first to last use: p50", "most", "requests turned away", "of", "bytes a second of each")
	type row struct {
		members, voters int
		state           string
		events          func() []plan.Event
		drop            float64
	}
	var rows []row
	for _, n := range []int{3, 5, 20, 300} {
		v := 3
		rows = append(rows, row{n, v, "whole links", func() []plan.Event { return nil }, 0},
			row{n, v, "5% lost", func() []plan.Event { return nil }, 0.05})
		if n > 3 {
			rows = append(rows, row{n, v, "one member down", func() []plan.Event {
				return []plan.Event{{At: 4 * time.Second, Do: "kill", Who: []int{n - 1}}}
			}, 0})
		}
		rows = append(rows, row{n, v, "a voter killed each 10 s", func() (all []plan.Event) {
			for i := range 6 {
				x := i % 3
				all = append(all, plan.Event{At: time.Duration(8+10*i) * time.Second, Do: "kill", Who: []int{x}}, plan.Event{At: time.Duration(13+10*i) * time.Second, Do: "start", Who: []int{x}, State: "kept"})
			}
			return all
		}, 0})
	}
	type got struct {
		r *policymodel.Result
		p *plan.Plan
	}
	results := make([]got, len(rows))
	err := each(len(rows), func(i int) (got, error) {
		x := rows[i]
		events := x.events()
		for t := 6 * time.Second; t < 60*time.Second; t += 2 * time.Second {
			events = append(events, apply(t, min(1, x.members-1)))
		}
		slices.SortStableFunc(events, func(a, b plan.Event) int { return int(a.At - b.At) })
		p := fleet(x.members, x.voters, true, 70*time.Second, events...)
		p.Policy.Lease, p.Policy.PrepareTimeout = 5*time.Second, 10*time.Second
		p.Link.Drop = x.drop
		r, err := policymodel.Play(p, policymodel.Options{Seed: 1, Witness: true, Take: 20 * time.Millisecond})
		return got{r, p}, err
	}, func(i int, g got) { results[i] = g })
	if err != nil {
		return err
	}
	for i, x := range rows {
		g := results[i]
		all, dropped := changeTimes(g.p, g.r.Lines)
		var spread []time.Duration
		for _, d := range checker.Switches(g.r.Lines) {
			spread = append(spread, d)
		}
		slices.Sort(spread)
		turned, starting := 0, map[string]bool{}
		began := map[string]bool{}
		for _, l := range g.r.Lines { // rejections before a process first serves are not counted
			switch key := fmt.Sprint(l.Of, l.PID); l.What {
			case checker.RequestAdmitted:
				began[key] = true
			case checker.PolicyRejected:
				if began[key] {
					turned++
				} else {
					starting[key] = true
				}
			}
		}
		bench.Row(x.members, x.voters, x.state, len(all), dropped, at(all, 0.5), at(all, 0.99), at(all, 1), at(spread, 0.5), at(spread, 1), turned, g.r.Taken, int(float64(g.r.Bytes)/70/float64(x.members)))
	}
	return nil
}

func realTimes(program, sizes string) error {
	bench.Head("daemons", "voters", "state", "changes in force", "dropped", "until all serve by it: p50", "p99", "most", "first to last use: p50", "most", "looks turned away", "of", "datagrams' bytes a second of each at rest", "CPU of a core of each")
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < 3 {
			return fmt.Errorf("%q is not a number of at least 3", size)
		}
		for _, state := range []string{"at rest, no [policy]", "at rest", "whole links", "5% lost", "leader killed"} {
			var events []plan.Event
			if state == "leader killed" {
				for i := range 3 {
					events = append(events, plan.Event{At: time.Duration(10+10*i) * time.Second, Do: "kill", Who: []int{i}, State: "kept"}, plan.Event{At: time.Duration(14+10*i) * time.Second, Do: "start", Who: []int{i}, State: "kept"})
				}
			}
			if !strings.HasPrefix(state, "at rest") {
				for t := 8 * time.Second; t < 40*time.Second; t += 2 * time.Second {
					events = append(events, apply(t, min(1, n-1)))
				}
			}
			slices.SortStableFunc(events, func(a, b plan.Event) int { return int(a.At - b.At) })
			p := fleet(n, 3, true, 46*time.Second, events...)
			p.Seeds, p.Servers, p.ServiceTime = []int{0, 1}, 2, time.Millisecond
			p.Policy.Lease, p.Policy.PrepareTimeout, p.Policy.Witness = 5*time.Second, 10*time.Second, true
			if state == "5% lost" {
				p.Link.Drop = 0.05
			}
			if state == "at rest, no [policy]" {
				p.Policy = nil
			}
			lines, err := harness.Play(context.Background(), p, harness.Options{Program: program, Seed: 1, SkipPolicyPolling: strings.HasPrefix(state, "at rest")})
			if err != nil {
				return err
			}
			all, dropped := changeTimes(p, lines)
			var spread []time.Duration
			for _, d := range checker.Switches(lines) {
				spread = append(spread, d)
			}
			slices.Sort(spread)
			turned, looks, began := 0, 0, map[string]bool{}
			bytes, seconds, cpu := 0, 0, map[string][2]int{}
			for _, l := range lines {
				switch key := fmt.Sprint(l.Of, l.PID); l.What {
				case checker.RequestAdmitted:
					began[key] = true
					looks++
				case checker.PolicyRejected:
					if began[key] {
						turned++
					}
				case checker.Sent:
					if l.T-lines[0].T > int64(20*time.Second) {
						bytes += l.Bytes
						seconds++
						c := cpu[l.Of]
						if c[0] == 0 {
							c[0] = l.CPUMS
						}
						c[1] = l.CPUMS
						cpu[l.Of] = c
					}
				}
			}
			used := 0
			for _, c := range cpu {
				used += c[1] - c[0]
			}
			bench.Row(n, 3, state, len(all), dropped, at(all, 0.5), at(all, 0.99), at(all, 1), at(spread, 0.5), at(spread, 1), turned, looks, bytes/max(1, seconds), fmt.Sprintf("%.2f%%", float64(used)/10/float64(max(1, seconds))))
		}
	}
	return nil
}

// ways simulates the same schedules with each method of distributing a policy.
func ways() error {
	bench.Head("way", "schedules", "changes asked for", "with two policies in use at once for over 0.5 s", "seconds of that", "schedules in which it was so at the end", "requests turned away of all")
	for _, w := range []struct {
		name string
		way  policymodel.Way
	}{{"agreed", policymodel.Agreed}, {"a reload on each host, one after the other", policymodel.OneByOne}, {"the newest file told round", policymodel.Gossip}} {
		const n = 200
		var changes, many, taken, refused, ended int
		var span time.Duration
		if err := each(n, func(i int) (*policymodel.Result, error) {
			p, o := policymodel.Draw(uint64(i), 10)
			o.Way = w.way
			return policymodel.Play(p, o)
		}, func(i int, r *policymodel.Result) {
			c, m, s, e := atOnce(r.Lines)
			changes, many, span, taken, refused = changes+c, many+m, span+s, taken+r.Taken, refused+r.Refused
			if e {
				ended++
			}
		}); err != nil {
			return err
		}
		bench.Row(w.name, n, changes, many, int(span.Seconds()), ended, fmt.Sprintf("%.1f%%", 100*float64(refused)/float64(max(1, taken+refused))))
	}
	return nil
}

// atOnce measures how long members use different policies. It returns the number of changes, the number of policies
// whose first use was more than 0.5 s before the last use of an earlier policy, the sum of these times, and whether
// members still differ at the end.
func atOnce(lines []checker.Line) (changes, many int, span time.Duration, end bool) {
	first, late := map[uint64]int64{}, map[uint64]int64{}
	var most uint64
	now := map[string]uint64{}
	for _, l := range lines {
		switch l.What {
		case checker.Proposed:
			changes++
		case checker.RequestAdmitted:
			if l.Standalone {
				continue
			}
			now[l.Of] = l.Number
			if first[l.Number] == 0 {
				first[l.Number] = l.T
				most = max(most, l.Number)
			}
			for m := l.Number + 1; m <= most; m++ {
				if first[m] > 0 {
					late[m] = l.T
				}
			}
		}
	}
	for m, t := range late {
		if d := time.Duration(t - first[m]); d > 500*time.Millisecond {
			many++
			span += d
		}
	}
	for _, n := range now {
		end = end || n != most
	}
	return changes, many, span, end
}
