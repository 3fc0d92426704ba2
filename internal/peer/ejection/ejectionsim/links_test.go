package ejectionsim

import (
	"testing"
	"time"
)

// Days of tools/verdicts links, as far as they had a wrong verdict in builds that heard too few who are not cut off:
// half of the members lose a server, and much of what is told is lost as well.
func TestWitnessesOfASilentServerAreNotAllCutOff(t *testing.T) {
	for day, length := range map[uint64]time.Duration{0: 7 * time.Second, 45: 20 * time.Second} {
		o, tried := BrokenLinks(day), 0
		o.Length = length
		link := o.Link
		o.Link = func(a, s int, now time.Duration) float64 {
			p := link(a, s, now)
			if p > 0 {
				tried++
			}
			return p
		}
		r, err := Play(o)
		if err != nil {
			t.Fatal(err)
		}
		if r.Wrong > 0 || tried == 0 {
			t.Errorf("day %d: %d wrong verdicts, %d requests over broken links", day, r.Wrong, tried)
		}
	}
}
