package checker

import "slices"

// noteMultiPartUse takes note of a request, for changes of several parts.
func (p *policyChecker) noteMultiPartUse(l *Line) {
	went := p.multiPartUses[l.PID]
	if len(p.partsOfChange[l.ID]) > 1 && went[l.ID] == 0 {
		if went == nil {
			went = map[string]int64{}
			p.multiPartUses[l.PID] = went
		}
		went[l.ID] = l.T
	}
	for id, since := range went {
		if id != l.ID && l.T-since > int64(p.checker.bounds.PolicySpread) && slices.Contains(p.partsOfChange[id], l.Part) {
			p.mixedUses[partUse{l.PID, l.Part, l.Number, id}] = true
		}
	}
}

// checkAtomicity looks at changes of several parts once all is known.
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
	for id, of := range numbers {
		p.atomic.Tried++
		for _, part := range p.partsOfChange[id] {
			if of[part] > 0 {
				continue
			}
			// Nobody used it: then those that used the other part went on to what came after it. Of two changes of one part that
			// both came into force the one that was asked for later is the later one, for it was made of the other.
			for pid := range p.multiPartUses {
				q := p.part(part)
				if k := q.users[pid]; p.multiPartUses[pid][id] > 0 && k != nil && k.lastUsedAt > p.multiPartUses[pid][id]+int64(p.checker.bounds.PolicySpread) && p.proposedAt[q.used[k.number].id] < p.proposedAt[id] {
					p.atomic.recordBreak(t, p.checker.base, "change %s is used in a part, and never in %q, where process %d goes on by policy %d", id, part, pid, k.number)
				}
			}
		}
	}
	for w := range p.mixedUses {
		p.atomic.Tried++
		if n := numbers[w.change][w.part]; w.number < n {
			p.atomic.recordBreak(t, p.checker.base, "process %d takes by policy %d of %q after it took by change %s, which made that %d", w.pid, w.number, w.part, w.change, n)
		}
	}
}
