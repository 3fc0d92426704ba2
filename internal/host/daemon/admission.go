package daemon

import (
	"time"

	"vetchhaven/internal/peer/policy"
)

// Reasons why instances admit no requests.
const (
	reasonPolicyUnknown  = "the policy in force is not known yet"
	reasonPolicySwitched = "another policy is in force: come again at once"
)

// servingState is the policy decision under which this daemon serves now.
type servingState struct {
	policy.Serving
	base time.Time // the time that Until counts from
	// unservable is the reason why the daemon can't serve by the policy. It is empty if the daemon can.
	unservable string
}

// servesSource reports whether the source's part of the policy lets the source's instances admit requests. A source
// whose name is too long for a part has no part, and its instances may.
func (s *servingState) servesSource(source string) bool {
	_, served := s.Lookup(source)
	return served || len(source) > policy.MaxPartNameBytes
}

// servingChanged stores and applies a new policy decision. The transport's goroutine calls it, and it does not block.
// The renewal or expiry of a lease takes effect at once. Another policy takes effect as soon as Run's goroutine
// switches to it.
func (d *Daemon) servingChanged(s policy.Serving, base time.Time) {
	next := &servingState{Serving: s, base: base}
	last := d.serving.Load()
	if last != nil && last.unservable != "" && last.Document != nil && s.Document != nil && last.Fingerprint() == s.Fingerprint() {
		next.unservable = last.unservable
	}
	d.serving.Store(next)
	d.rangeAgents(d.applyAdmission)
	signal(d.servingUpdated)
}

// policyAdmits reports whether the fleet's policy lets this daemon admit requests.
func (d *Daemon) policyAdmits() bool {
	s := d.serving.Load()
	return s == nil || s.Blocked == "" && s.unservable == ""
}

// applyAdmission sets until when an agent may admit requests. An agent that was built for another policy than the
// current one admits requests only as long as both policies allow: a renewed lease applies to the current policy, not
// to the policy of an agent that is about to be replaced.
func (d *Daemon) applyAdmission(h agentHandle) {
	s := d.serving.Load()
	agent := h.agent
	if _, isReplaced := d.replaced.Load(agent); isReplaced || s == nil {
		return // there is no policy, or the agent is replaced and keeps the time that it was given then
	}
	isCurrent := h.fingerprint == s.Fingerprint()
	switch {
	case s.unservable != "":
		agent.AdmitUntil(time.Time{}, s.unservable)
	case s.Blocked != "":
		agent.AdmitUntil(time.Time{}, s.Blocked)
	case !s.servesSource(h.source):
		agent.AdmitUntil(time.Time{}, "the policy of "+h.source+" is not known yet")
	case s.Until >= policy.Never && isCurrent:
		agent.AdmitAlways()
	case s.Until >= policy.Never:
	case isCurrent:
		agent.AdmitUntil(s.base.Add(s.Until), d.policyLeaseExpiredReason())
	default:
		agent.ShortenAdmission(s.base.Add(s.Until), d.policyLeaseExpiredReason())
	}
}

// policyLeaseExpiredReason returns the reason why no request is admitted after a lease has expired.
func (d *Daemon) policyLeaseExpiredReason() string {
	return "no voter of the fleet's policy has answered for " + d.policyLease.String()
}

// markCurrent records that an instance's agent serves by the current policy, and applies its admission.
func (d *Daemon) markCurrent(instance *hostedInstance) {
	handle := agentHandle{instance.agent, instance.spec.Source, d.policy.fingerprint}
	d.agents.Store(instance.number, handle)
	d.applyAdmission(handle)
}
