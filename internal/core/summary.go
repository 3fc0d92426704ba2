package core

import "strings"

// policyPrefix is the prefix of the keys of shedCounts that are reasons of the policy. The other keys are names of
// shared limits.
const policyPrefix = "policy: "

// summarize logs what the agent has done since the last summary.
func (l *Loop) summarize() {
	c := &l.counts
	l.log.Info("summary", "requests", c.requests, "served", c.served, "refused", c.refused, "failed", c.failed,
		"gone", c.clientDisconnects, "attempts", c.attempts, "late", c.late, "open", len(l.requests))
	l.counts = counts{}
	if l.logHeld != nil {
		l.logHeld()
	}
	for name, n := range l.shedCounts {
		if reason, isPolicy := strings.CutPrefix(name, policyPrefix); isPolicy {
			l.log.Warn("requests shed by the policy", "why", reason, "requests", n)
			continue
		}
		l.log.Info("requests refused by a shared limit", "limit", name, "requests", n)
	}
	clear(l.shedCounts)
	if l.ejected.refusals > 0 {
		l.log.Info("requests refused while servers are ejected",
			"servers", l.ejected.names, "requests", l.ejected.refusals)
	}
	l.ejected.refusals = 0
}

// countSharedLimit counts a request that a shared limit has ended. With an empty name it has no effect.
func (l *Loop) countSharedLimit(name string) {
	if name != "" {
		l.shedCounts[name]++
	}
}
