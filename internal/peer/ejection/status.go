package ejection

import "time"

// ServerStatus is the ejection state of a server as shown to operators. The admin endpoint uses these JSON keys and
// values.
type ServerStatus struct {
	Server            string        `json:"server"`
	State             string        `json:"verdict"` // one of the constants below
	Reason            string        `json:"why,omitempty"`
	Reporters         []string      `json:"by,omitempty"`
	Duration          time.Duration `json:"for_ns"`  // time in this state
	AdmittedShare     float64       `json:"used_by"` // share of the subscribers that may use the server now
	Followed          bool          `json:"followed"`
	NotFollowedReason string        `json:"not_followed_for,omitempty"`
	Succeeded         float64       `json:"answered"` // decayed sums over all current reports
	Failed            float64       `json:"failed"`
}

// The values of ServerStatus.State. The strings are those of earlier releases.
const (
	stateReported = "accused" // failures are reported; the server may be suspected, but is not ejected
	stateEjected  = "out"     // the server is ejected or being readmitted
	stateDraining = "drains"  // another member's list shows the server as draining
	stateRemoved  = "gone"    // another member's list shows the server as removed
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
		status.NotFollowedReason = m.notFollowedReason(s)
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

// notFollowedReason returns why this member's agents use a server although it is ejected, or "" if they don't use it.
func (m *Member) notFollowedReason(s *server) string {
	switch {
	case s.capped:
		return "too many of its zone or pod are out"
	case m.mayUse(s):
		return "this member tries it for the fleet" // in a trial, in a readmission, or as the only live subscriber
	}
	return ""
}
