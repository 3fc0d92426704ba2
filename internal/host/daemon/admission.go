package daemon

import (
	"time"

	"vetchhaven/internal/peer/policy"
)

// Reasons for which instances admit no requests.
const (
	reasonPolicyUnknown  = "the policy in force is not known yet"
	reasonPolicySwitched = "another policy is in force: come again at once"
)

// servingState is the policy decision under which this daemon serves now.
type servingState struct {
	policy.Serving
	base time.Time // of Until
	// unservable is why the daemon can't serve by it; empty: it can.
	unservable string
}

// servesSource reports whether instances of a source may admit requests, as far as the source's part of the policy goes. A
// source whose name is too long for a part has none.
func (s *servingState) servesSource(source string) bool {
	_, served := s.Lookup(source)
	return served || len(source) > policy.MaxPartNameBytes
}

// servingChanged takes by what to serve from now on. The transport's goroutine calls it; it does not block. A lease that was
// renewed, or has expired, holds at once; another policy as soon as Run's goroutine switches to it.
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

// policyAdmits reports whether requests are admitted, as far as the fleet's policy goes.
func (d *Daemon) policyAdmits() bool {
	s := d.serving.Load()
	return s == nil || s.Blocked == "" && s.unservable == ""
}

// applyAdmission tells an agent until when it may admit requests. One that was built by another policy than the present one
// admits them no longer than both allow: a renewed lease is for the present policy, not for the one of an agent that is about to
// be replaced.
func (d *Daemon) applyAdmission(h agentHandle) {
	s := d.serving.Load()
	agent := h.agent
	if _, isReplaced := d.replaced.Load(agent); isReplaced || s == nil { // what it was told as it was replaced holds
		return
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

// policyLeaseExpiredReason is why no request is admitted after a lease has expired.
func (d *Daemon) policyLeaseExpiredReason() string {
	return "no voter of the fleet's policy has answered for " + d.policyLease.String()
}

// markCurrent records that an agent serves by the present policy, and applies its admission.
func (d *Daemon) markCurrent(instance *hostedInstance) {
	handle := agentHandle{instance.agent, instance.spec.Source, d.policy.fingerprint}
	d.agents.Store(instance.number, handle)
	d.applyAdmission(handle)
}
