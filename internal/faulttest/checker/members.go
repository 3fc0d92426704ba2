package checker

import (
	"slices"
	"time"
)

// memberView is the state of one member in the view of one process.
type memberView struct {
	incarnation, state string
	aliveChangedAt     int64 // last change between alive and not alive
	suspectedAt        int64
	regionSuspectedAt  int64 // start of its suspicion by a process of its own region during a partition; 0: none
}

// applyReport applies a line of a daemon.
func (ck *checker) applyReport(l *Line) {
	o := ck.process(l.PID)
	switch l.What {
	case Start:
		if old := ck.findIncarnation(l.By, l.RunID); old != nil && old != o {
			// A successor after a handover is the same member.
			ck.processes[l.PID] = old
			ck.order = slices.DeleteFunc(ck.order, func(pid int) bool { return pid == l.PID })
			return
		}
		o.name, o.incarnation = l.By, l.RunID
		ck.byIncarnation[l.RunID] = append(ck.byIncarnation[l.RunID], o)
	case Leaving:
		if o.leaving {
			return
		}
		o.leaving = true
		ck.markTruthChanged(l.T)
		ck.dropExpectations(func(d *expectation) bool { return d.observer == o || d.subject == o })
		if !ck.areLinksHealthy(l.T) || l.T-o.startedAt < int64(ck.bounds.Join) {
			return
		}
		incarnation, at := o.incarnation, l.T
		for _, w := range ck.linkedObservers(o) {
			if w.pausedAt > 0 || l.T-w.startedAt <= int64(ck.bounds.Join) || l.T-w.longPauseEndedAt <= int64(ck.bounds.Settle) {
				continue
			}
			d := &expectation{claim: ck.leaveKnown, since: l.T, deadline: l.T + int64(ck.bounds.Leave) + ck.delayAllowance(w, o), observer: w, subject: o, event: o.name + " left",
				isMet: func(s *memberView) bool {
					if s.incarnation == incarnation {
						return s.state == "left"
					}
					next := ck.findIncarnation(o.name, s.incarnation)
					return next != nil && next.startedAt > at
				}}
			if s := w.view[o.name]; s != nil && d.isMet(s) { // the observer's line was written before the line of the leave
				ck.leaveKnown.Tried++
				ck.leaveKnown.recordDuration(0)
				continue
			}
			ck.expect(d)
		}
	case Member:
		ck.applyMember(o, l)
	case Counted:
		o.countedBalancers = l.MaxBalancers
		o.hasCounted = true
		o.countChangedAt = l.T
	case Contested:
		o.standingBy = l.Yielded
		if l.Yielded && o.duplicate {
			ck.name.recordDuration(time.Duration(l.T - o.startedAt))
		}
	}
}

func (ck *checker) applyMember(o *process, l *Line) {
	s := o.view[l.Of]
	if s == nil {
		s = &memberView{}
		o.view[l.Of] = s
	}
	was := *s
	s.incarnation, s.state = l.RunID, l.State
	if aliveIncarnation(&was) != aliveIncarnation(s) {
		s.aliveChangedAt = l.T
	}
	if l.State == "suspect" {
		s.suspectedAt = l.T
	} else if s.regionSuspectedAt > 0 {
		ck.noRegionSuspicion.recordMargin(time.Duration(l.T-s.regionSuspectedAt).Seconds(), "suspect for %v", time.Duration(l.T-s.regionSuspectedAt).Round(time.Millisecond))
		if l.T-s.regionSuspectedAt > int64(ck.bounds.MaxSuspicion) {
			ck.noRegionSuspicion.recordBreak(l.T, ck.base, "%s suspected %s, of its own region, for more than %v", o.name, l.Of, ck.bounds.MaxSuspicion)
		}
		s.regionSuspectedAt = 0
	}
	p := ck.findIncarnation(l.Of, l.RunID)
	if p != nil && p != o {
		o.knownProcesses[p.pid] = true
		o.countChangedAt = l.T
	}
	if p != nil && p.up && !p.leaving && ck.couldReachForLong(o, p, l.T) {
		rested := p.pausedAt == 0 && l.T-p.longPauseEndedAt > int64(ck.bounds.Settle) || p.pausedAt > 0 && l.T-p.pausedAt < int64(ck.bounds.Pause)
		if p.pausedAt == 0 && o.pausedAt == 0 && l.T-p.longPauseEndedAt > int64(ck.bounds.Settle) && l.T-o.longPauseEndedAt > int64(ck.bounds.Settle) {
			ck.checkSuspicion(o, p, l)
		}
		switch {
		case !rested:
		case l.State == "suspect":
			ck.wrongDeath.Tried++
		case l.State == "dead":
			ck.wrongDeath.Tried++
			ck.wrongDeath.recordBreak(l.T, ck.base, "%s considers %s dead: %s", o.name, p.name, l.Why)
		case l.State == "alive" && was.state == "suspect" && was.incarnation == l.RunID:
			d := time.Duration(l.T - was.suspectedAt)
			ck.wrongDeath.recordMargin(d.Seconds(), "suspect for %v", d.Round(time.Millisecond))
		}
	}
	for i := 0; i < len(ck.expectations); {
		d := ck.expectations[i]
		if d.observer != o || d.subject.name != l.Of || !d.isMet(s) {
			i++
			continue
		}
		ck.expectations = slices.Delete(ck.expectations, i, i+1)
		d.claim.Tried++
		d.claim.recordDuration(time.Duration(l.T - d.since))
	}
	// At rest, views no longer change, except for suspicions that are refuted.
	if ck.isSettled && l.State != "suspect" && was.state != "suspect" && ck.expectedIncarnation(o, l.Of) != aliveIncarnation(s) {
		ck.settle.recordBreak(l.T, ck.base, "%s reports at rest that %s is %s", o.name, l.Of, l.State)
	}
}

// checkSuspicion checks a suspicion of a member of the observer's own region while the region is partitioned.
func (ck *checker) checkSuspicion(o, p *process, l *Line) {
	if o.region == "" || o.region != p.region || l.State != "suspect" && l.State != "dead" || !ck.isPartitioned(o.region) {
		return
	}
	for _, pid := range ck.order { // with an impaired link inside the region, a suspicion is allowed
		for _, other := range ck.order {
			a, b := ck.processes[pid], ck.processes[other]
			if k := (pair{a.name, b.name}); a.region == o.region && b.region == o.region && (ck.lossRates[k] > 0.01 || ck.impairedLinks[k]) {
				return
			}
		}
	}
	if l.State == "suspect" && ck.bounds.MaxSuspicion > 0 {
		o.view[p.name].regionSuspectedAt = l.T
		return
	}
	ck.noRegionSuspicion.recordBreak(l.T, ck.base, "%s reports that %s, of its own region, is %s: %s", o.name, p.name, l.State, l.Why)
}

// aliveIncarnation returns the run ID that a view considers alive; empty: none.
func aliveIncarnation(s *memberView) string {
	if s == nil || s.state == "dead" || s.state == "left" {
		return ""
	}
	return s.incarnation
}

// expectedIncarnation returns the run ID that o should consider alive for a name; empty: none.
func (ck *checker) expectedIncarnation(o *process, name string) string {
	for _, pid := range ck.order {
		p := ck.processes[pid]
		if p.name != name || !p.up || p.leaving || p.standingBy || !ck.canReach(o, p) {
			continue
		}
		if p.pausedAt > 0 && ck.now-p.pausedAt >= int64(ck.bounds.Settle) {
			continue
		}
		return p.incarnation
	}
	return ""
}

// checkViews checks every view once the fleet has been at rest for the settle time.
func (ck *checker) checkViews(t int64) {
	for _, d := range ck.lossRates {
		if d >= brokenLinkLoss && d < partitionLoss { // reachability depends on chance
			return
		}
	}
	names := map[string]bool{}
	for _, pid := range ck.order {
		names[ck.processes[pid].name] = true
	}
	was := ck.now
	ck.now = max(ck.now, t)
	for _, pid := range ck.order {
		o := ck.processes[pid]
		if !o.up || o.leaving || o.standingBy || o.pausedAt > 0 || o.incarnation == "" {
			continue
		}
		for _, name := range sortedKeys(names) {
			if name == o.name {
				continue
			}
			ck.settle.Tried++
			expected, actual := ck.expectedIncarnation(o, name), aliveIncarnation(o.view[name])
			if expected == actual {
				if s := o.view[name]; s != nil && s.aliveChangedAt > ck.truthChangedAt {
					ck.settle.recordDuration(time.Duration(s.aliveChangedAt - ck.truthChangedAt))
				}
				continue
			}
			switch {
			case expected == "":
				ck.settle.recordBreak(t, ck.base, "%s considers %s alive, which does not run or can't be reached", o.name, name)
			case actual == "":
				ck.settle.recordBreak(t, ck.base, "%s does not consider %s alive, which runs", o.name, name)
			default:
				ck.settle.recordBreak(t, ck.base, "%s considers an earlier process of %s alive", o.name, name)
			}
		}
	}
	ck.now = was
	ck.isSettled = true
}

// checkNames checks that each name that two processes use is held by exactly one of them.
func (ck *checker) checkNames(t int64) {
	for _, pid := range ck.order {
		tw := ck.processes[pid]
		if !tw.duplicate || !tw.up {
			continue
		}
		holds := 0
		for _, other := range ck.order {
			if p := ck.processes[other]; p.name == tw.name && p.up && !p.leaving && !p.standingBy {
				holds++
			}
		}
		if holds != 1 {
			ck.name.recordBreak(t, ck.base, "%d processes hold the name %s", holds, tw.name)
		}
	}
}
