package hollow

import (
	"time"

	"vetchhaven/internal/faulttest/virtual"
)

// meter counts what members send and receive, by phase. It must be called in order of time.
type meter struct {
	marks []time.Duration
	loads [][]virtual.Load // by member and phase
	phase int
	used  []time.Duration // processor time as each phase began
}

func newMeter(members int, marks []time.Duration) *meter {
	m := &meter{marks: marks, used: []time.Duration{processor()}}
	for range members {
		m.loads = append(m.loads, make([]virtual.Load, len(marks)+1))
	}
	return m
}

func (m *meter) at(now time.Duration) int {
	for m.phase < len(m.marks) && now >= m.marks[m.phase] {
		m.phase++
		m.used = append(m.used, processor())
	}
	return m.phase
}

func (m *meter) sent(now time.Duration, member, bytes int) {
	m.loads[member][m.at(now)].Out.Add(now, bytes)
}

func (m *meter) received(now time.Duration, member, bytes int) {
	m.loads[member][m.at(now)].In.Add(now, bytes)
}

// phases returns the load in each phase of a finished run, averaged over the members for which of is true.
func (m *meter) phases(length time.Duration, of func(member int) bool) []Phase {
	m.at(length)
	return phases(m.marks, length, m.used, m.loads, of)
}

// phases returns the load in each phase of a run, averaged over the members for which of is true; nil: all members.
// Processor time is divided by the number of all members.
func phases(marks []time.Duration, length time.Duration, used []time.Duration, loads [][]virtual.Load, of func(member int) bool) []Phase {
	used = append(used, processor())
	var some [][]virtual.Load
	for n, l := range loads {
		if of == nil || of(n) {
			some = append(some, l)
		}
	}
	edges := append(append([]time.Duration{0}, marks...), length)
	var all []Phase
	for i := range edges[1:] {
		p := Phase{From: edges[i], To: edges[i+1]}
		span := p.To - p.From
		p.Out = rate(some, span, func(l []virtual.Load) virtual.Flow { return l[i].Out })
		p.In = rate(some, span, func(l []virtual.Load) virtual.Flow { return l[i].In })
		p.Processor = (used[i+1] - used[i]).Seconds() / span.Seconds() / float64(len(loads))
		all = append(all, p)
	}
	return all
}
