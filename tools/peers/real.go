package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
	"vetchhaven/tools/internal/bench"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/harness"
	"vetchhaven/internal/faulttest/plan"
)

// Times of the plan for real daemons. They leave enough time between two events for all views to agree again.
const (
	realStart = 40 * time.Second // the fleet is at rest until this time
	realDown  = 5 * time.Second
	realGap   = 8 * time.Second
	realCut   = 60 * time.Second
	realRest  = 20 * time.Second // measurements at rest begin at this time and end at realStart
)

// realPlan returns a plan in which single daemons are killed and restarted, then some leave and restart, and then the
// fleet is partitioned into halves. cut is the time of the partition.
func realPlan(n, times int, seed uint64) (p *plan.Plan, cut time.Duration) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	p = &plan.Plan{Name: "measure", Daemons: n, Zones: 1, Seeds: []int{0, 1}, Spread: 500 * time.Millisecond}
	at := realStart
	addEvent := func(do string) {
		who := []int{2 + rng.IntN(n-2)}
		t := at + time.Duration(rng.Float64()*float64(time.Second))
		p.Events = append(p.Events, plan.Event{At: t, Do: do, Who: who}, plan.Event{At: t + realDown, Do: "start", Who: who, State: "kept"})
		at += realGap
	}
	for range times {
		addEvent("kill")
	}
	for range max(1, times/3) {
		addEvent("term")
	}
	var left, right []int
	for i := range n {
		if i%2 == 0 {
			left = append(left, i)
		} else {
			right = append(right, i)
		}
	}
	cut = at
	p.Events = append(p.Events, plan.Event{At: cut, Do: "link", Who: left, To: right, Both: true, Link: plan.Link{Drop: 1}},
		plan.Event{At: cut + realCut, Do: "heal", Who: left, To: right, Both: true})
	p.Length = cut + realCut + 30*time.Second
	return p, cut
}

func realSizes(sizes []int, times int, seed uint64) error {
	dir, err := os.MkdirTemp("", "peers")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin := filepath.Join(dir, "vetchhaven")
	if out, err := exec.Command("go", "build", "-o", bin, "./cmd/vetchhaven").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	ctx := context.Background()
	rows := make([][]any, len(sizes))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i, n := range sizes {
		wg.Go(func() {
			cells, err := realOne(ctx, bin, n, times, seed)
			mu.Lock()
			defer mu.Unlock()
			if rows[i] = cells; err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	bench.Head("daemons", "crashes", "known by all: p50", "p99", "most", "left, known by all: p50", "most", "joined, known by all: p50", "most", "not known by all in time",
		"settled after healing", "at rest: datagrams/s", "bytes/s", "CPU, % of a core", "the same without [peers]", "most bytes in a second")
	for _, r := range rows {
		bench.Row(r...)
	}
	return nil
}

func realOne(ctx context.Context, bin string, n, times int, seed uint64) ([]any, error) {
	p, cut := realPlan(n, times, seed)
	lines, err := harness.Play(ctx, p, harness.Options{Program: bin, Seed: seed})
	if err != nil {
		return nil, err
	}
	first := lines[0].T
	all := checker.MeasurePropagation(lines, first+int64(realStart), first+int64(cut))
	heal := first + int64(cut+realCut)
	settled := time.Duration(0)
	datagrams, bytes, most, seconds := 0, 0, 0, 0
	for _, l := range lines {
		switch l.What {
		case checker.Member:
			if l.T > heal && l.State != "suspect" && l.Previous != "suspect" {
				settled = time.Duration(l.T - heal)
			}
		case checker.Sent:
			most = max(most, l.Bytes)
			if t := time.Duration(l.T - first); t > realRest && t < realStart {
				datagrams, bytes, seconds = datagrams+l.Datagrams, bytes+l.Bytes, seconds+1
			}
		}
	}
	bare := &plan.Plan{Name: "bare", Daemons: n, Zones: 1, Seeds: []int{0}, Length: realStart}
	alone, err := harness.Play(ctx, bare, harness.Options{Program: bin, Seed: seed, Bare: true})
	if err != nil {
		return nil, err
	}
	return []any{n, len(all.Crash), at(all.Crash, 0.5), at(all.Crash, 0.99), at(all.Crash, 1), at(all.Leave, 0.5), at(all.Leave, 1), at(all.Join, 0.5), at(all.Join, 1),
		all.Unknown, settled.Round(time.Millisecond), float64(datagrams) / float64(seconds), bytes / seconds, cpu(lines), cpu(alone), most}, nil
}

// cpu returns the CPU time that a daemon uses at rest, in % of a core, as the mean over all daemons.
func cpu(lines []checker.Line) float64 {
	type span struct{ from, to checker.Line }
	by := map[string]*span{}
	first := lines[0].T
	for _, l := range lines {
		if t := time.Duration(l.T - first); l.What == checker.Sent && l.CPUMS > 0 && t > realRest && t < realStart {
			s := by[l.Of]
			if s == nil {
				s = &span{from: l}
				by[l.Of] = s
			}
			s.to = l
		}
	}
	var shares []float64
	for _, s := range by {
		if d := s.to.T - s.from.T; d > 0 {
			shares = append(shares, float64(s.to.CPUMS-s.from.CPUMS)*1e6/float64(d)*100)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	return sum / float64(len(shares))
}
