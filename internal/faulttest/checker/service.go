package checker

import "time"

// serviceCount counts a daemon's requests while no fault but those of its peers could affect them.
type serviceCount struct{ requests, served int }

// serviceSettleTime is the minimum time between a start, pause or cut and a Service line that counts. The line is
// written three seconds after the second that it covers, and requests in flight during such a fault fail because of the
// fault, not because of peers.
const serviceSettleTime = int64(6 * time.Second)

// servingProcess returns the process that serves a daemon's clients, or nil.
func (ck *checker) servingProcess(name string) *process {
	for _, pid := range ck.order {
		if p := ck.processes[pid]; p.name == name && p.up && !p.duplicate {
			return p
		}
	}
	return nil
}

// applyService applies the outcomes of a daemon's requests of one second.
func (ck *checker) applyService(l *Line) {
	if until, cut := ck.serverCutUntil[l.Of]; cut && l.T < until {
		return
	}
	p := ck.servingProcess(l.Of)
	if p == nil || p.terminating || p.leaving || p.pausedAt > 0 || l.T-p.startedAt < serviceSettleTime || p.resumedAt > 0 && l.T-p.resumedAt < serviceSettleTime || l.T < p.starvedUntil+serviceSettleTime {
		return
	}
	ck.served.Tried += l.Count
	t := ck.serviceCounts[l.Of]
	ck.serviceCounts[l.Of] = serviceCount{t.requests + l.Count, t.served + l.Served}
}

func (ck *checker) checkService() {
	for _, who := range sortedKeys(ck.serviceCounts) {
		t := ck.serviceCounts[who]
		if t.requests == 0 {
			continue
		}
		share := float64(t.served) / float64(t.requests)
		ck.served.recordMargin(-share, "%.2f%% of %d (%s)", 100*share, t.requests, who)
		if share < ck.bounds.MinServed {
			ck.served.recordBreak(ck.now, ck.base, "%s served %.2f%% of %d requests", who, 100*share, t.requests)
		}
	}
}
