package agree

import (
	"fmt"
	"testing"
)

func TestOne(t *testing.T) {
	p, o := Draw(4, 8)
	for _, e := range p.Events {
		fmt.Println(e.At, e.Do, e.Who, e.To, e.Both, e.State, e.Kind, e.Link.Drop)
	}
	r, rep := play(t, p, o)
	for _, c := range rep.Claims {
		fmt.Println(c.Name, c.Verdict(), c.Tried, c.Broken, c.Nearest, c.Breaks)
	}
	for _, l := range r.Lines {
		if l.ID == "c3" && l.What != "took" {
			fmt.Printf("%.3f %s %s %s %s %d %s\n", float64(l.T)/1e9, l.What, l.Of, l.ID, l.State, l.Number, l.Why)
		}
	}
}
