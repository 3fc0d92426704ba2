package policy

import "slices"

// updateServing decides what the daemon serves by, and emits ServingChanged if the decision differs from the last one.
func (m *member) updateServing() {
	s := m.decideServing()
	if s.Blocked == "" && !s.Standalone {
		s.ServedParts = m.servedParts
	}
	active := m.active
	s.Document = &active
	s.Parts = m.sortedActiveParts()
	s.Preparing = slices.Clone(s.Preparing)
	if m.serving.Document != nil && m.serving.equal(&s) {
		return
	}
	m.serving = s
	m.node.emit(ServingChanged{s})
}

// decideServing decides whether and until when requests are admitted, and whether changes being prepared restrict
// them.
func (m *member) decideServing() Serving {
	n := m.node
	switch {
	case !m.everInRoster && n.settings.ServeLastKnown && n.now >= m.standaloneAt():
		return Serving{Until: Never, Standalone: true, Preparing: m.prepared, ServedParts: m.configuredParts}
	case !m.everInRoster:
		return m.blocked("the policy in force is not known yet: no voter has answered")
	case !m.inRoster:
		return m.blocked("this process is not in the fleet's roster: the policy in force has changed, or is being changed, without it")
	case !n.settings.StopWhenIsolated && len(m.prepared) == 0:
		return Serving{Until: Never}
	case n.now < m.leaseExpiry:
		return Serving{Until: m.leaseExpiry}
	case !n.settings.StopWhenIsolated:
		return Serving{Until: Never, Preparing: m.prepared}
	}
	return Serving{Blocked: "no voter has answered for " + n.settings.Lease.String() + ": the policy may change without this member"}
}

// blocked returns a Serving that admits no requests. Its reason is the leader's refusal if there is one, or else the
// given reason.
func (m *member) blocked(reason string) Serving {
	if m.refusal != "" {
		reason = m.refusal
	}
	return Serving{Blocked: reason}
}
