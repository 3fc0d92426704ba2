package checker

import "time"

// serviceCount is a daemon's service while nothing but its peers could hinder it.
type serviceCount struct{ requests, served int }

// serviceSettleTime is how long a second of requests must be clear of starts, pauses and cuts: the line comes three seconds
// after it, and what was under way then tells of those, not of peers.
const serviceSettleTime = int64(6 * time.Second)

// servingProcess is the process that a daemon's clients meet; nil: none.
func (j *checker) servingProcess(name string) *process {
	for _, pid := range j.order {
		if p := j.processes[pid]; p.name == name && p.up && !p.duplicate {
			return p
		}
	}
	return nil
}

// applyService takes a second of a daemon's requests.
func (j *checker) applyService(l *Line) {
	if until, cut := j.serverCutUntil[l.Of]; cut && l.T < until {
		return
	}
	p := j.servingProcess(l.Of)
	if p == nil || p.terminating || p.leaving || p.pausedAt > 0 || l.T-p.startedAt < serviceSettleTime || p.resumedAt > 0 && l.T-p.resumedAt < serviceSettleTime || l.T < p.starvedUntil+serviceSettleTime {
		return
	}
	j.served.Tried += l.Asked
	t := j.serviceCounts[l.Of]
	j.serviceCounts[l.Of] = serviceCount{t.requests + l.Asked, t.served + l.Served}
}

func (j *checker) checkService() {
	for _, who := range sortedKeys(j.serviceCounts) {
		t := j.serviceCounts[who]
		if t.requests == 0 {
			continue
		}
		share := float64(t.served) / float64(t.requests)
		j.served.recordMargin(-share, "%.2f%% of %d (%s)", 100*share, t.requests, who)
		if share < j.bounds.MinServed {
			j.served.recordBreak(j.now, j.base, "%s served %.2f%% of %d requests", who, 100*share, t.requests)
		}
	}
}
