package core

import "strings"

func (l *Loop) summarize() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.refused,
		"failed", l.counts.failed, "gone", l.counts.gone, "attempts", l.counts.attempts, "late", l.counts.late,
		"open", len(l.requests))
	l.counts = counts{}
	for name, n := range l.shedBy {
		if why, policy := strings.CutPrefix(name, "policy: "); policy {
			l.log.Warn("turned away for the policy", "why", why, "requests", n)
			continue
		}
		l.log.Info("turned away by a limit of the fleet", "limit", name, "requests", n)
	}
	clear(l.shedBy)
	if l.kept.refused > 0 {
		l.log.Info("refused while verdicts of the fleet keep servers out", "servers", l.kept.names, "requests", l.kept.refused)
	}
	l.kept.refused = 0
}

// limited counts what a limit of the fleet turned away.
func (l *Loop) limited(name string) {
	if name != "" {
		l.shedBy[name]++
	}
}
