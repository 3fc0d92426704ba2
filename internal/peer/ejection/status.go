package ejection

import "time"

// ServerStatus is a server's ejection state for operators. The JSON keys and values are those of the admin endpoint.
type ServerStatus struct {
	Server            string        `json:"server"`
	State             string        `json:"verdict"` // one of the constants below
	Reason            string        `json:"why,omitempty"`
	Reporters         []string      `json:"by,omitempty"`
	Duration          time.Duration `json:"for_ns"`  // in this state
	AdmittedShare     float64       `json:"used_by"` // share of the subscribers that may use it now
	Followed          bool          `json:"followed"`
	NotFollowedReason string        `json:"not_followed_for,omitempty"`
	Succeeded         float64       `json:"answered"` // decayed sums over all current reports
	Failed            float64       `json:"failed"`
}

// The values of ServerStatus.State, in the words of earlier releases.
const (
	stateReported = "accused" // there are failure reports; it may be suspected, and is not ejected
	stateEjected  = "out"     // ejected, also while it is being readmitted
	stateDraining = "drains"  // another member's list says that it drains
	stateRemoved  = "gone"    // another member's list says that it was removed
)

// Status returns all servers with ejections, drains or reports of failures, by ID.
func (m *Member) Status() []ServerStatus {
	var all []ServerStatus
	for _, s := range m.active {
		if s.hasOpenReports(m) {
			all = append(all, m.statusOf(s))
		}
	}
	return all
}

func (m *Member) statusOf(s *server) ServerStatus {
	status := ServerStatus{Server: s.ID, State: stateReported, AdmittedShare: 1, Reason: s.reason, Reporters: s.reporters}
	for _, r := range s.currentReports(m) {
		status.Succeeded += r.successes
		status.Failed += r.failures
		if !s.isEjected() && (r.reportsOutage() || r.failsPartly()) {
			status.Reporters = append(status.Reporters, r.origin)
		}
	}
	switch {
	case s.isEjected():
		status.State = stateEjected
		status.Duration = m.now - s.ejectedAt
		status.AdmittedShare = min(1, m.admittedShare(s))
		status.NotFollowedReason = m.whyNotFollowed(s)
		status.Followed = status.NotFollowedReason == ""
	case s.isDraining(m):
		status.Duration = m.now - s.drainedAt
		status.State = stateDraining
		if s.drainState == Removed {
			status.State = stateRemoved
		}
		status.Followed = s.State == Up
		if !status.Followed {
			status.NotFollowedReason = "its own list says so"
		}
	}
	return status
}

// whyNotFollowed returns why this member's agents use an ejected server nevertheless; "" if they do not.
func (m *Member) whyNotFollowed(s *server) string {
	switch {
	case s.capped:
		return "too many of its zone or pod are out"
	case m.mayUse(s):
		return "this member tries it for the fleet" // a trial member, one of a readmission, or the only live subscriber
	}
	return ""
}
