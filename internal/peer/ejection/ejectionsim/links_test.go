package ejectionsim

import (
	"fmt"
	"testing"
	"time"
)

// On these days, half of the members can't reach a server and many messages are lost. There are wrong ejections if too
// few members outside the partition are polled. The days are those of "tools/verdicts links".
func TestResponsesAboutAnUnresponsiveServerAreNotAllPartitioned(t *testing.T) {
	for _, c := range []struct {
		day      uint64
		duration time.Duration
	}{
		{0, 7 * time.Second},
		{45, 20 * time.Second},
	} {
		t.Run(fmt.Sprint("day ", c.day), func(t *testing.T) {
			o := BrokenLinks(c.day)
			o.Duration = c.duration
			linkLoss := o.LinkLoss
			overBrokenLinks := 0
			o.LinkLoss = func(agent, server int, now time.Duration) float64 {
				loss := linkLoss(agent, server, now)
				if loss > 0 {
					overBrokenLinks++
				}
				return loss
			}
			r, err := Run(o)
			if err != nil {
				t.Fatal(err)
			}
			if r.WrongEjections > 0 || overBrokenLinks == 0 {
				t.Errorf("%d wrong ejections, %d requests over broken links", r.WrongEjections, overBrokenLinks)
			}
		})
	}
}
