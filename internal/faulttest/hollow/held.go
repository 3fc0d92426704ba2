package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/harness"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/faulttest/virtual"
	"vetchhaven/internal/peer/transport"
)

// Comparison runs the same plan with real daemons, with lightweight members on sockets, and in virtual time, so that the
// three can be compared.
type Comparison struct {
	Program string // path of the daemons' executable
	Dir     string // directory for the stored views of lightweight members
	Members int
	Crashes int
	Seed    uint64
	// Rest is the span before the first crash in which no event happens.
	Rest [2]time.Duration
	// Peers are the members' settings. A longer ProbeTimeout keeps the delays of a busy machine out of the comparison.
	Peers plan.Peers
}

// Side is the result of one run of Comparison.Play: of real daemons, of lightweight members on sockets, or in virtual time.
type Side struct {
	Name             string
	Datagrams, Bytes float64 // sent by each member a second, at rest
	EachBytes        float64 // mean size of a datagram
	Processor        float64 // share of a core for each member, at rest; 0: unknown
	Crash, Join      time.Duration
	Crashes, Joins   int // events that all members observed
	Unknown          int
	// Per member, at rest: how often it detected that it had been paused, and how often it suspected another member.
	Doubts, Suspicions float64
}

const (
	crashDowntime = 4 * time.Second
	crashInterval = 6500 * time.Millisecond
)

// Plan returns the plan of the three runs: members are killed and restarted one after another.
func (h *Comparison) Plan() *plan.Plan {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(h.Members)))
	p := &plan.Plan{Name: "held", Daemons: h.Members, Zones: 1, Seeds: []int{0, 1}, Spread: 500 * time.Millisecond, Peers: h.Peers}
	at := h.Rest[1]
	for range h.Crashes {
		who := []int{2 + rng.IntN(h.Members-2)}
		t := at + time.Duration(rng.Float64()*float64(time.Second))
		p.Events = append(p.Events, plan.Event{At: t, Do: "kill", Who: who}, plan.Event{At: t + crashDowntime, Do: "start", Who: who, State: "kept"})
		at += crashInterval
	}
	p.Length = at + time.Second
	return p
}

// Play runs the real daemons and the lightweight members at the same time, then the run in virtual time.
func (h *Comparison) Play(ctx context.Context) ([]Side, error) {
	p := h.Plan()
	sides := make([]Side, 3)
	var wg sync.WaitGroup
	var errs [2]error
	wg.Go(func() {
		lines, err := harness.Play(ctx, p, harness.Options{Program: h.Program, Seed: h.Seed})
		if errs[0] = err; err == nil {
			sides[0] = h.side("real daemons", lines)
		}
	})
	wg.Go(func() {
		lines, err := (&Sockets{Plan: p, Seed: h.Seed, Dir: h.Dir}).Play(ctx)
		if errs[1] = err; err == nil {
			sides[1] = h.side("hollow, sockets", lines)
		}
	})
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("compare with real daemons, run over %s: %w", [...]string{"real", "sockets"}[i], err)
		}
	}
	l, err := topology.New(topology.Spec{Members: h.Members})
	if err != nil {
		return nil, err
	}
	r, err := virtual.Play(p, virtual.Options{Seed: h.Seed, Codec: transport.Wire{Fleet: "drill"}, Marks: h.Rest[:], Layout: l})
	if err != nil {
		return nil, err
	}
	sides[2] = h.side("hollow, virtual time", r.Lines)
	sides[2].Datagrams, sides[2].Bytes, sides[2].Processor = 0, 0, 0 // the lines contain the membership module's upper bounds of sizes
	for _, x := range r.Loads {
		span := (h.Rest[1] - h.Rest[0]).Seconds() * float64(h.Members)
		sides[2].Datagrams += float64(x[1].Out.Messages) / span
		sides[2].Bytes += float64(x[1].Out.Bytes) / span
	}
	g, err := DrawGraph(GraphSpec{Agents: h.Members, Seed: h.Seed})
	if err != nil {
		return nil, err
	}
	shared, _, err := (&Verdicts{Seed: h.Seed, Fleet: "drill", Graph: g, Rate: 0.001, Marks: h.Rest[:1], Length: h.Rest[1]}).Play() // no requests, as in the other runs
	if err != nil {
		return nil, err
	}
	sides[2].Datagrams += shared[1].Out.Messages
	sides[2].Bytes += shared[1].Out.Bytes
	sides[2].EachBytes = sides[2].Bytes / sides[2].Datagrams
	return sides, nil
}

// side computes the result of a run from its history lines. The CPU time of all processes that report it is divided
// by the number of members.
func (h *Comparison) side(name string, lines []checker.Line) Side {
	s := Side{Name: name}
	first := lines[0].T
	from, to := first+int64(h.Rest[0]), first+int64(h.Rest[1])
	seconds := 0
	type used struct{ from, to checker.Line }
	by := map[string]*used{}
	for _, l := range lines {
		if l.T <= from || l.T >= to {
			continue
		}
		switch {
		case l.What == checker.PauseDetected:
			s.Doubts += 1 / float64(h.Members)
		case l.What == checker.Member && l.State == "suspect":
			s.Suspicions += 1 / float64(h.Members)
		}
		if l.What != checker.Sent {
			continue
		}
		s.Datagrams += float64(l.Datagrams)
		s.Bytes += float64(l.Bytes)
		seconds++
		if l.CPUMS > 0 {
			if by[l.Of] == nil {
				by[l.Of] = &used{from: l}
			}
			by[l.Of].to = l
		}
	}
	s.EachBytes = s.Bytes / max(1, s.Datagrams)
	s.Datagrams, s.Bytes = s.Datagrams/float64(max(1, seconds)), s.Bytes/float64(max(1, seconds))
	for _, u := range by {
		if span := u.to.T - u.from.T; span > 0 {
			s.Processor += float64(u.to.CPUMS-u.from.CPUMS) * 1e6 / float64(span) / float64(h.Members)
		}
	}
	times := checker.MeasurePropagation(lines, to, lines[len(lines)-1].T)
	s.Crash, s.Crashes = median(times.Crash), len(times.Crash)
	s.Join, s.Joins = median(times.Join), len(times.Join)
	s.Unknown = times.Unknown
	return s
}

// median returns the median, rounded to milliseconds.
func median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2].Round(time.Millisecond)
}
