package policymodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/internal/faulttest/plan"
)

// DrawParts draws a random plan as Draw does, with a policy in parts. Members are in two or three regions, and services
// are held by some members of one region or of several. On average there are two changes per second, of one part, of
// several, or of the global part. Once or twice a region is partitioned from the others. If no disk is lost, a voter
// may be replaced as well.
func DrawParts(seed uint64, most int) (*plan.Plan, Options) {
	p, o := Draw(seed, most)
	rng := rand.New(rand.NewPCG(seed, 79))
	p.Name = "drawn parts"
	n := p.Daemons
	regions := 2 + rng.IntN(2)
	p.Policy.Holds = map[string][]int{}
	for k := range 3 + rng.IntN(6) {
		name, one, span := fmt.Sprint("s", k), rng.IntN(regions), rng.IntN(2) == 0
		var who []int
		for m := range n {
			if rng.IntN(3) > 0 && (span || m%regions == one) {
				who = append(who, m)
			}
		}
		if len(who) > 0 {
			p.Policy.Holds[name] = who
		}
	}
	p.Events = slices.DeleteFunc(p.Events, func(e plan.Event) bool { return e.Do == "apply" })
	end := p.Length - 25*time.Second
	for t := 2 * time.Second; t < end; t += time.Duration(float64(time.Second) * rng.ExpFloat64() / 2) {
		author := rng.IntN(n)
		parts := p.Policy.Of(author)
		e := plan.Event{At: t, Do: "apply", Who: []int{author}}
		switch k := rng.IntN(10); {
		case k == 0 || len(parts) == 0:
			if rng.IntN(2) == 0 {
				continue
			}
		case k < 3 && len(parts) > 1:
			rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
			e.Parts = parts[:2]
			if rng.IntN(4) == 0 {
				e.Parts = append([]string{""}, e.Parts...)
			}
		case k == 3: // a part that the author may or may not hold
			e.Parts = []string{fmt.Sprint("s", rng.IntN(8))}
			if p.Policy.Holds[e.Parts[0]] == nil {
				continue
			}
		default:
			e.Parts = []string{parts[rng.IntN(len(parts))]}
		}
		p.Events = append(p.Events, e)
	}
	for range 1 + rng.IntN(2) { // partition of a region
		off := rng.IntN(regions)
		var in, rest []int
		for m := range n {
			if m%regions == off {
				in = append(in, m)
			} else {
				rest = append(rest, m)
			}
		}
		at := 5*time.Second + time.Duration(rng.Float64()*float64(p.Length-55*time.Second))
		p.Events = append(p.Events, plan.Event{At: at, Do: "link", Who: in, To: rest, Both: true, Link: plan.Link{Drop: 1}},
			plan.Event{At: at + time.Duration(3+rng.IntN(15))*time.Second, Do: "heal", Who: in, To: rest, Both: true})
	}
	lost := slices.ContainsFunc(p.Events, func(e plan.Event) bool { return e.Do == "start" && e.State != "kept" })
	if v := len(p.Policy.Voters); !lost && n > v && v > 1 && rng.IntN(2) == 0 {
		p.Events = append(p.Events, plan.Event{At: 10*time.Second + time.Duration(rng.IntN(20))*time.Second, Do: "voters", Who: []int{rng.IntN(n)}, To: []int{v}, Remove: plan.Name(rng.IntN(v))})
	}
	slices.SortStableFunc(p.Events, func(a, b plan.Event) int { return int(a.At - b.At) })
	return p, o
}
