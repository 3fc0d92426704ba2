package checker

import (
	"slices"
	"strings"
	"time"
)

// isolationChecker checks that a change waits only for the members that hold its parts: if these, the author and all
// voters run and are linked, the change comes into force in time, regardless of faults of other members.
type isolationChecker struct {
	policy        *policyChecker
	disturbedAt   map[string]int64 // by member: its last start, end, pause, resume or disk fault
	down          map[string]bool
	linkChangedAt map[pair]int64
	impaired      map[pair]bool
	claim         *Claim
}

// maxIsolatedChangeTime is the longest time that such a change may take. It is the time allowed for a change of the
// entire fleet on links with up to 5% loss.
const maxIsolatedChangeTime = 3 * time.Second

func (a *isolationChecker) begin(p *policyChecker) *Claim {
	a.policy = p
	a.disturbedAt = map[string]int64{}
	a.down = map[string]bool{}
	a.linkChangedAt = map[pair]int64{}
	a.impaired = map[pair]bool{}
	a.claim = &Claim{Name: PolicyIsolated, Text: "a change of services' parts whose members, author and voters are healthy comes into force, whatever is partitioned or down elsewhere"}
	return a.claim
}

// noteDisturbance records faults of members and links.
func (p *policyChecker) noteDisturbance(l *Line) {
	a := &p.isolation
	switch l.What {
	case Up, Down, Pause, Resume, ShutdownRequested, Disk:
		a.disturbedAt[l.Of] = l.T
		if l.What == Up || l.What == Down {
			a.down[l.Of] = l.What == Down
		}
	case Link:
		at := pair{l.From, l.To}
		a.linkChangedAt[at], a.impaired[at] = l.T, l.Drop > 0.05 || l.Impaired
	}
}

// authorNotified checks a change whose author has been notified of its outcome. A change whose outcome was caused by
// another change is not counted; such outcomes are recognized by the texts that package policy gives as their reasons.
func (a *isolationChecker) authorNotified(l *Line) {
	p := a.policy
	parts, proposedAt := p.partsOfChange[l.ID], p.proposedAt[l.ID]
	if len(parts) == 0 || slices.Contains(parts, "") || proposedAt == 0 {
		return
	}
	among := map[string]bool{l.Of: true}
	for _, v := range slices.Concat(p.voters, p.futureVoters) {
		among[v] = true
	}
	for _, pid := range p.checker.order {
		if o := p.checker.processes[pid]; slices.ContainsFunc(parts, func(part string) bool { return p.hasPart(pid, part) }) {
			if a.down[o.name] {
				return // the change waits for this member until its lease ends, or forever
			}
			among[o.name] = true
		}
	}
	from := proposedAt - int64(p.checker.bounds.Settle)
	hasFaultElsewhere := false
	for name, at := range a.disturbedAt {
		if among[name] && at > from {
			return
		}
		hasFaultElsewhere = hasFaultElsewhere || !among[name] && (at > from || a.down[name])
	}
	for at, t := range a.linkChangedAt {
		if among[at.from] && among[at.to] && (a.impaired[at] || t > from) {
			return
		}
		hasFaultElsewhere = hasFaultElsewhere || a.impaired[at]
	}
	if !hasFaultElsewhere {
		return
	}
	for _, other := range []string{"another change", "it was made of", "it was in force", "are under way: no more"} {
		if strings.Contains(l.Why, other) {
			return
		}
	}
	a.claim.Tried++
	took := time.Duration(l.T - proposedAt)
	a.claim.recordDuration(took)
	switch {
	case l.State != "in force":
		a.claim.recordBreak(l.T, p.checker.base, "change %s of %v was aborted: %s", l.ID, parts, l.Why)
	case took > maxIsolatedChangeTime:
		a.claim.recordBreak(l.T, p.checker.base, "change %s of %v took %v", l.ID, parts, took.Round(time.Millisecond))
	}
}
