package checker

import "slices"

// noteMultiPartUse records an admitted request for checkAtomicity.
func (p *policyChecker) noteMultiPartUse(l *Line) {
	uses := p.multiPartUses[l.PID]
	if len(p.partsOfChange[l.ID]) > 1 && uses[l.ID] == 0 {
		if uses == nil {
			uses = map[string]int64{}
			p.multiPartUses[l.PID] = uses
		}
		uses[l.ID] = l.T
	}
	for id, since := range uses {
		if id != l.ID && l.T-since > int64(p.checker.bounds.PolicySpread) && slices.Contains(p.partsOfChange[id], l.Part) {
			p.mixedUses[partUse{l.PID, l.Part, l.Number, id}] = true
		}
	}
}

// checkAtomicity checks, at the end of the history, that each change of several parts is in force in all of them or in
// none.
func (p *policyChecker) checkAtomicity(t int64) {
	numbers := map[string]map[string]uint64{} // by change and part
	for part, q := range p.parts {
		for n, u := range q.used {
			if len(p.partsOfChange[u.id]) > 1 {
				if numbers[u.id] == nil {
					numbers[u.id] = map[string]uint64{}
				}
				numbers[u.id][part] = n
			}
		}
	}
	for id, numberOf := range numbers {
		p.atomic.Tried++
		for _, part := range p.partsOfChange[id] {
			if numberOf[part] > 0 {
				continue
			}
			// No process used the change in this part. This is allowed if a later change replaced it there first. If
			// two changes of one part came into force, the one that was proposed later was based on the other. So a
			// process that used the change in another part must not go on using, in this part, a change that was
			// proposed before it.
			for pid := range p.multiPartUses {
				q := p.part(part)
				if k := q.users[pid]; p.multiPartUses[pid][id] > 0 && k != nil && k.lastUsedAt > p.multiPartUses[pid][id]+int64(p.checker.bounds.PolicySpread) && p.proposedAt[q.used[k.number].id] < p.proposedAt[id] {
					p.atomic.recordBreak(t, p.checker.base, "change %s is used in one part but never in %q, where process %d still uses policy %d", id, part, pid, k.number)
				}
			}
		}
	}
	for use := range p.mixedUses {
		p.atomic.Tried++
		if n := numbers[use.change][use.part]; use.number < n {
			p.atomic.recordBreak(t, p.checker.base, "process %d uses policy %d of %q after it used change %s, which made that part %d", use.pid, use.number, use.part, use.change, n)
		}
	}
}
