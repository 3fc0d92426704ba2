package checker

import (
	"slices"
	"time"
)

// memberView is how one process sees one member.
type memberView struct {
	incarnation, state string
	aliveChangedAt     int64 // it is alive or not
	suspectedAt        int64
	regionSuspectedAt  int64 // since then, by one of its own region while that is cut off; 0: it is not
}

// applyReport takes what a daemon wrote.
func (j *checker) applyReport(l *Line) {
	o := j.process(l.PID)
	switch l.What {
	case Start:
		if old := j.findIncarnation(l.By, l.Life); old != nil && old != o { // it took over from that one, and is the same member
			j.processes[l.PID] = old
			j.order = slices.DeleteFunc(j.order, func(pid int) bool { return pid == l.PID })
			return
		}
		o.name, o.incarnation = l.By, l.Life
		j.byIncarnation[l.Life] = append(j.byIncarnation[l.Life], o)
	case Leaving:
		if o.leaving {
			return
		}
		o.leaving = true
		j.markTruthChanged(l.T)
		j.dropExpectations(func(d *expectation) bool { return d.observer == o || d.subject == o })
		if !j.areLinksHealthy(l.T) || l.T-o.startedAt < int64(j.bounds.Join) {
			return
		}
		incarnation, at := o.incarnation, l.T
		for _, w := range j.linkedObservers(o) {
			if w.pausedAt > 0 || l.T-w.startedAt <= int64(j.bounds.Join) || l.T-w.longPauseEndedAt <= int64(j.bounds.Settle) {
				continue
			}
			d := &expectation{claim: j.leaveKnown, since: l.T, deadline: l.T + int64(j.bounds.Leave) + j.delayAllowance(w, o), observer: w, subject: o, event: o.name + " left",
				isMet: func(s *memberView) bool {
					if s.incarnation == incarnation {
						return s.state == "left"
					}
					next := j.findIncarnation(o.name, s.incarnation)
					return next != nil && next.startedAt > at
				}}
			if s := w.view[o.name]; s != nil && d.isMet(s) { // the line was written late
				j.leaveKnown.Tried++
				j.leaveKnown.recordDuration(0)
				continue
			}
			j.expect(d)
		}
	case Member:
		j.applyMember(o, l)
	case Counted:
		o.countedBalancers = l.Most
		o.hasCounted = true
		o.countChangedAt = l.T
	case Contested:
		o.standingBy = l.StandBack
		if l.StandBack && o.duplicate {
			j.name.recordDuration(time.Duration(l.T - o.startedAt))
		}
	}
}

func (j *checker) applyMember(o *process, l *Line) {
	s := o.view[l.Of]
	if s == nil {
		s = &memberView{}
		o.view[l.Of] = s
	}
	was := *s
	s.incarnation, s.state = l.Life, l.State
	if aliveIncarnation(&was) != aliveIncarnation(s) {
		s.aliveChangedAt = l.T
	}
	if l.State == "suspect" {
		s.suspectedAt = l.T
	} else if s.regionSuspectedAt > 0 {
		j.regionCalm.recordMargin(time.Duration(l.T-s.regionSuspectedAt).Seconds(), "suspect for %v", time.Duration(l.T-s.regionSuspectedAt).Round(time.Millisecond))
		if l.T-s.regionSuspectedAt > int64(j.bounds.MaxSuspicion) {
			j.regionCalm.recordBreak(l.T, j.base, "%s doubted %s, of its region, for more than %v", o.name, l.Of, j.bounds.MaxSuspicion)
		}
		s.regionSuspectedAt = 0
	}
	p := j.findIncarnation(l.Of, l.Life)
	if p != nil && p != o {
		o.knownProcesses[p.pid] = true
		o.countChangedAt = l.T
	}
	if p != nil && p.up && !p.leaving && j.couldReachForLong(o, p, l.T) {
		rested := p.pausedAt == 0 && l.T-p.longPauseEndedAt > int64(j.bounds.Settle) || p.pausedAt > 0 && l.T-p.pausedAt < int64(j.bounds.Pause)
		if p.pausedAt == 0 && o.pausedAt == 0 && l.T-p.longPauseEndedAt > int64(j.bounds.Settle) && l.T-o.longPauseEndedAt > int64(j.bounds.Settle) {
			j.checkSuspicion(o, p, l)
		}
		switch {
		case !rested:
		case l.State == "suspect":
			j.wrongDeath.Tried++
		case l.State == "dead":
			j.wrongDeath.Tried++
			j.wrongDeath.recordBreak(l.T, j.base, "%s holds %s for dead: %s", o.name, p.name, l.Why)
		case l.State == "alive" && was.state == "suspect" && was.incarnation == l.Life:
			d := time.Duration(l.T - was.suspectedAt)
			j.wrongDeath.recordMargin(d.Seconds(), "suspect for %v", d.Round(time.Millisecond))
		}
	}
	for i := 0; i < len(j.expectations); {
		d := j.expectations[i]
		if d.observer != o || d.subject.name != l.Of || !d.isMet(s) {
			i++
			continue
		}
		j.expectations = slices.Delete(j.expectations, i, i+1)
		d.claim.Tried++
		d.claim.recordDuration(time.Duration(l.T - d.since))
	}
	// At rest nothing changes any more, but for suspicions that are refuted.
	if j.isSettled && l.State != "suspect" && was.state != "suspect" && j.expectedIncarnation(o, l.Of) != aliveIncarnation(s) {
		j.settle.recordBreak(l.T, j.base, "%s says at rest that %s is %s", o.name, l.Of, l.State)
	}
}

// checkSuspicion looks at a doubt about one of the same region.
func (j *checker) checkSuspicion(o, p *process, l *Line) {
	if o.region == "" || o.region != p.region || l.State != "suspect" && l.State != "dead" || !j.isPartitioned(o.region) {
		return
	}
	for _, pid := range j.order { // what is broken inside, may be doubted
		for _, other := range j.order {
			a, b := j.processes[pid], j.processes[other]
			if k := (pair{a.name, b.name}); a.region == o.region && b.region == o.region && (j.lossRates[k] > 0.01 || j.impairedLinks[k]) {
				return
			}
		}
	}
	if l.State == "suspect" && j.bounds.MaxSuspicion > 0 {
		o.view[p.name].regionSuspectedAt = l.T
		return
	}
	j.regionCalm.recordBreak(l.T, j.base, "%s says that %s, of its region, is %s: %s", o.name, p.name, l.State, l.Why)
}

// aliveIncarnation is the life that is alive, or nothing.
func aliveIncarnation(s *memberView) string {
	if s == nil || s.state == "dead" || s.state == "left" {
		return ""
	}
	return s.incarnation
}

// expectedIncarnation is the life of a name that o should hold for alive; empty: none.
func (j *checker) expectedIncarnation(o *process, name string) string {
	for _, pid := range j.order {
		p := j.processes[pid]
		if p.name != name || !p.up || p.leaving || p.standingBy || !j.canReach(o, p) {
			continue
		}
		if p.pausedAt > 0 && j.now-p.pausedAt >= int64(j.bounds.Settle) {
			continue
		}
		return p.incarnation
	}
	return ""
}

// checkViews looks at every view once nothing has happened for long enough.
func (j *checker) checkViews(t int64) {
	for _, d := range j.lossRates {
		if d >= brokenLinkLoss && d < partitionLoss { // who hears whom is up to chance
			return
		}
	}
	names := map[string]bool{}
	for _, pid := range j.order {
		names[j.processes[pid].name] = true
	}
	was := j.now
	j.now = max(j.now, t)
	for _, pid := range j.order {
		o := j.processes[pid]
		if !o.up || o.leaving || o.standingBy || o.pausedAt > 0 || o.incarnation == "" {
			continue
		}
		for _, name := range sortedKeys(names) {
			if name == o.name {
				continue
			}
			j.settle.Tried++
			expected, actual := j.expectedIncarnation(o, name), aliveIncarnation(o.view[name])
			if expected == actual {
				if s := o.view[name]; s != nil && s.aliveChangedAt > j.truthChangedAt {
					j.settle.recordDuration(time.Duration(s.aliveChangedAt - j.truthChangedAt))
				}
				continue
			}
			switch {
			case expected == "":
				j.settle.recordBreak(t, j.base, "%s holds %s for alive, which does not run or can't be reached", o.name, name)
			case actual == "":
				j.settle.recordBreak(t, j.base, "%s does not hold %s for alive, which runs", o.name, name)
			default:
				j.settle.recordBreak(t, j.base, "%s holds an earlier process of %s for alive", o.name, name)
			}
		}
	}
	j.now = was
	j.isSettled = true
}

// checkNames looks at names with two processes.
func (j *checker) checkNames(t int64) {
	for _, pid := range j.order {
		tw := j.processes[pid]
		if !tw.duplicate || !tw.up {
			continue
		}
		holds := 0
		for _, other := range j.order {
			if p := j.processes[other]; p.name == tw.name && p.up && !p.leaving && !p.standingBy {
				holds++
			}
		}
		if holds != 1 {
			j.name.recordBreak(t, j.base, "%d processes hold the name %s", holds, tw.name)
		}
	}
}
