package core

import "strings"

func (l *Loop) summarize() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.refused,
		"failed", l.counts.failed, "gone", l.counts.clientDisconnects, "attempts", l.counts.attempts, "late", l.counts.late,
		"open", len(l.requests))
	l.counts = counts{}
	for name, n := range l.shedCounts {
		if why, policy := strings.CutPrefix(name, "policy: "); policy {
			l.log.Warn("turned away for the policy", "why", why, "requests", n)
			continue
		}
		l.log.Info("turned away by a limit of the fleet", "limit", name, "requests", n)
	}
	clear(l.shedCounts)
	if l.ejected.refusals > 0 {
		l.log.Info("refused while verdicts of the fleet keep servers out", "servers", l.ejected.names, "requests", l.ejected.refusals)
	}
	l.ejected.refusals = 0
}

// countSharedLimit counts what a limit of the fleet turned away.
func (l *Loop) countSharedLimit(name string) {
	if name != "" {
		l.shedCounts[name]++
	}
}
