package soak

import (
	"testing"
	"time"
)

// A plan shrinks to the incidents that are needed for the failure.
func TestShrink(t *testing.T) {
	p := Draw(7, Size{Agents: 4, Servers: 4, Length: 20 * time.Second})
	if len(p.Incidents) < 6 {
		t.Fatalf("%d incidents", len(p.Incidents))
	}
	needed := p.Incidents[3].String()
	has := func(p Plan) bool {
		for _, x := range p.Incidents {
			if x.String() == needed {
				return true
			}
		}
		return false
	}
	if small := Shrink(p, 100, has); len(small.Incidents) != 1 || !has(small) || len(small.Faults) != 0 {
		t.Errorf("%v", small)
	}
	plays := 0
	Shrink(p, 5, func(Plan) bool { plays++; return false })
	if plays > 5 {
		t.Errorf("%d runs, 5 were allowed", plays)
	}
}

// The same seed draws the same plan, and two or three incidents overlap.
func TestPlansOverlap(t *testing.T) {
	size := Size{Agents: 8, Daemons: 2, Servers: 6, Length: 12 * time.Second}
	overlaps := 0
	for seed := range uint64(50) {
		p := Draw(seed, size)
		if p.String() != Draw(seed, size).String() {
			t.Fatalf("seed %d draws two plans", seed)
		}
		for i, a := range p.Incidents {
			for _, b := range p.Incidents[i+1:] {
				if b.At < a.At+a.For {
					overlaps++
				}
			}
		}
	}
	if overlaps < 200 {
		t.Errorf("%d overlaps in 50 plans", overlaps)
	}
}
