package main

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/faulttest/hollow"
	"vetchhaven/tools/capacity/slopes"
)

// flags are the flags that the commands view, verdicts and limits share.
type flags struct {
	sizes   string
	seed    uint64
	toml    bool
	workers int
}

func (f *flags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.sizes, "sizes", f.sizes, "numbers of agents, one run after another")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random numbers")
	c.Flags().BoolVar(&f.toml, "toml", false, "print entries for docs/capacity/slopes.toml instead of a table")
	c.Flags().IntVar(&f.workers, "workers", 3, "number of cores that run the members")
	c.PreRun = func(*cobra.Command, []string) {
		runtime.GOMAXPROCS(f.workers)
		debug.SetGCPercent(25) // large views need much memory, which is scarcer here than CPU time
		debug.SetMemoryLimit(maxMemory)
	}
}

// maxMemory is the memory limit of a run, in bytes.
const maxMemory = 6 << 30

func (f *flags) numbers() ([]int, error) {
	var all []int
	for _, s := range strings.Split(f.sizes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 20 {
			return nil, fmt.Errorf("--sizes: %q is not a number of at least 20", s)
		}
		all = append(all, n)
	}
	if !slices.IsSorted(all) {
		return nil, fmt.Errorf("--sizes: %v are not in ascending order", all)
	}
	return all, nil
}

// entry fills in the command, date and machine, which all entries of a run share.
func (f *flags) entry(s slopes.Slope, command string) slopes.Slope {
	s.Command = fmt.Sprintf("go run ./tools/capacity %s --sizes %s --seed %d --toml", command, f.sizes, f.seed)
	s.Date = time.Now().Format(time.DateOnly)
	s.Machine = fmt.Sprintf("8 cores, 24 GiB, shared with other runs; this one on %d", f.workers)
	return s
}

// series holds the points of each quantity over one variable.
type series struct {
	f                         *flags
	mechanism, load, variable string
	note                      string
	points                    map[string][][2]float64
	ceiling                   float64 // upper bound of the mean bytes per second; 0: none
}

func (f *flags) series(mechanism, load, variable, note string) *series {
	return &series{f: f, mechanism: mechanism, load: load, variable: variable, note: note, points: map[string][][2]float64{}}
}

// quantities are the figures that are kept of a phase, with their units.
var quantities = []struct {
	name, unit string
	of         func(hollow.Phase) float64
}{
	{"bytes_out", "B/s", func(p hollow.Phase) float64 { return p.Out.Bytes }},
	{"bytes_in", "B/s", func(p hollow.Phase) float64 { return p.In.Bytes }},
	{"messages_out", "1/s", func(p hollow.Phase) float64 { return p.Out.Messages }},
	{"messages_in", "1/s", func(p hollow.Phase) float64 { return p.In.Messages }},
	{"bytes_out_most", "B/s", func(p hollow.Phase) float64 { return float64(p.Out.Most) }},
	{"bytes_in_most", "B/s", func(p hollow.Phase) float64 { return float64(p.In.Most) }},
	{"cpu", "core", func(p hollow.Phase) float64 { return p.Processor }},
}

func (s *series) add(size float64, p hollow.Phase) {
	for _, q := range quantities {
		s.points[q.name] = append(s.points[q.name], [2]float64{size, fourDigits(q.of(p))})
	}
}

// agreed adds the time until all members had the same view. If they never agreed (took is negative), no point is
// added.
func (s *series) agreed(size float64, took time.Duration) {
	if took >= 0 {
		s.points[timeAgreed] = append(s.points[timeAgreed], [2]float64{size, fourDigits(took.Seconds())})
	}
}

// timeAgreed is the name of the quantity that agreed adds: a time, by the number of members.
const timeAgreed = "time_agreed"

// entries returns an entry for each quantity, named mechanism.quantity.which.
func (s *series) entries(which, command, form string) (all []slopes.Slope) {
	for _, q := range quantities {
		e := slopes.Slope{Name: s.mechanism + "." + q.name + "." + which, Role: "agent", Load: s.load, Quantity: q.name, Unit: q.unit,
			Mechanism: s.mechanism, Variable: s.variable, Form: form, Points: s.points[q.name], Note: s.note}
		if q.name == "bytes_out" || q.name == "bytes_in" {
			e.Ceiling = s.ceiling
		}
		all = append(all, s.f.entry(e, command))
	}
	if points := s.points[timeAgreed]; len(points) > 0 {
		form := "linear"
		if len(points) == 1 {
			form = "table"
		}
		all = append(all, s.f.entry(slopes.Slope{Name: s.mechanism + "." + timeAgreed + "." + which, Role: "agent", Load: s.load, Quantity: timeAgreed, Unit: "s",
			Mechanism: s.mechanism, Variable: s.variable, Form: form, Points: points, Note: s.note + ". Until all that run have the same view"}, command))
	}
	return all
}

// fourDigits rounds a number to four significant figures, or to an integer if it has more digits before the point.
func fourDigits(x float64) float64 {
	if x == 0 {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(x))))
	if scale > 1 {
		return math.Round(x*scale) / scale
	}
	return math.Round(x)
}
