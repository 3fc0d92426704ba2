package checker

import (
	"slices"
	"strings"
	"time"
)

// apartJudge judges that a change waits only for whom it concerns: where these, its author and all that may vote are whole and
// hear one another, it comes into force in time, whatever befalls others meanwhile.
type apartJudge struct {
	p     *policyJudge
	hurt  map[string]int64 // by member: it ended, started, was paused, or its disk was touched
	down  map[string]bool
	link  map[pair]int64 // it was changed
	bad   map[pair]bool
	claim *Claim
}

// apartWithin is how long such a change takes at the most: the time of all that a change of a whole fleet has on whole links
// under 5% loss.
const apartWithin = 3 * time.Second

func (a *apartJudge) begin(p *policyJudge) *Claim {
	a.p, a.hurt, a.down, a.link, a.bad = p, map[string]int64{}, map[string]bool{}, map[pair]int64{}, map[pair]bool{}
	a.claim = &Claim{Name: PolicyApart, Text: "a change of services' parts whose members, author and voters are whole comes into force, whatever is cut off or down elsewhere"}
	return a.claim
}

// note takes what befalls members and links.
func (p *policyJudge) note(l *Line) {
	a := &p.apart
	switch l.What {
	case Up, Down, Pause, Resume, Ending, Disk:
		a.hurt[l.Of] = l.T
		if l.What == Up || l.What == Down {
			a.down[l.Of] = l.What == Down
		}
	case Link:
		at := pair{l.From, l.To}
		a.link[at], a.bad[at] = l.T, l.Drop > 0.05 || l.Rough
	}
}

// told takes what became of a change.
func (a *apartJudge) told(l *Line) {
	p := a.p
	parts, asked := p.names[l.ID], p.asked[l.ID]
	if len(parts) == 0 || slices.Contains(parts, "") || asked == 0 {
		return
	}
	among := map[string]bool{l.Of: true}
	for _, v := range slices.Concat(p.voters, p.later) {
		among[v] = true
	}
	for _, pid := range p.j.order {
		if o := p.j.pids[pid]; slices.ContainsFunc(parts, func(part string) bool { return p.holding(pid, part) }) {
			if a.down[o.name] {
				return // it is waited for, as far as its lease goes, or for ever
			}
			among[o.name] = true
		}
	}
	from := asked - int64(p.j.b.Settle)
	elsewhere := false
	for name, at := range a.hurt {
		if among[name] && at > from {
			return
		}
		elsewhere = elsewhere || !among[name] && (at > from || a.down[name])
	}
	for at, t := range a.link {
		if among[at.from] && among[at.to] && (a.bad[at] || t > from) {
			return
		}
		elsewhere = elsewhere || a.bad[at]
	}
	if !elsewhere {
		return
	}
	for _, other := range []string{"another change", "it was made of", "it was in force", "are under way: no more"} {
		if strings.Contains(l.Why, other) {
			return
		}
	}
	a.claim.Tried++
	took := time.Duration(l.T - asked)
	a.claim.took(took)
	switch {
	case l.State != "in force":
		a.claim.fail(l.T, p.j.base, "change %s of %v was dropped: %s", l.ID, parts, l.Why)
	case took > apartWithin:
		a.claim.fail(l.T, p.j.base, "change %s of %v took %v", l.ID, parts, took.Round(time.Millisecond))
	}
}
