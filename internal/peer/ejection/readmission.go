package ejection

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxTrialMembers is the number of members that keep using an ejected server. Their requests serve as its health
	// checks. More trial members find the recovery of a server sooner and fail more requests.
	maxTrialMembers = 3
	// subscribersPerTrialMember is the minimum number of subscribers for each trial member, so that only an eighth of a
	// smaller fleet are trial members (but at least one).
	subscribersPerTrialMember = 8
	// minSuccessRun is the number of consecutive successes, of all members together, that start a readmission. Each
	// ejection within ejectionMemory doubles it, up to maxSuccessRun. A larger number readmits later; a smaller one
	// readmits servers with partial failures.
	minSuccessRun = 3
	maxSuccessRun = 48
	// maxRunDoublings prevents an overflow of the shift; maxSuccessRun is reached with fewer doublings.
	maxRunDoublings = 10
	// readmissionDoubling is the time in which the number of members that use a server doubles during its readmission:
	// a slow start. A shorter time overloads a server that has just recovered.
	readmissionDoubling = time.Second
	// ejectedEvaluationInterval is the maximum time between two evaluations of an ejected server.
	ejectedEvaluationInterval = readmissionDoubling / 4
	// failuresThatRestart is the number of failures during readmission that eject a server again. A single failure may
	// occur by chance.
	failuresThatRestart = 2
	// maxReadmittedFailureShare is the share of failures up to which a member's failure during readmission is ignored.
	maxReadmittedFailureShare = 0.1
	// maxTrialShare keeps the share of trial members below 1, so that a server is admitted to all members only by
	// readmission.
	maxTrialShare = 0.99
)

// evaluateEjected makes the phase transitions of an ejected server: it starts the readmission of a server that
// responds to trial members, restarts the ejection of a server that fails during its readmission, and ends the
// ejection.
func (m *Member) evaluateEjected(s *server, reports []*report) {
	if s.evidenceExpires(m) <= m.now {
		m.counts.Expired++
		m.emit(Log{fmt.Sprintf("server %s is readmitted: no failure observed for %v", s.ID, m.settings.MaxEvidenceAge)})
		s.readmit(m.now)
		return
	}
	s.scheduleEvaluation(m, min(s.evidenceExpires(m)+1, m.now+ejectedEvaluationInterval))
	successes, failures := s.outcomesSinceEjection(reports)
	required := min(minSuccessRun<<min(s.ejections-1, maxRunDoublings), maxSuccessRun)
	switch {
	case failures >= failuresThatRestart:
		m.restartEjection(s)
	case s.phase == phaseEjected && successes >= required:
		m.beginReadmission(s)
	}
	if s.phase == phaseReadmitting && m.admittedShare(s) >= 1 {
		m.counts.Readmitted++
		m.emit(Log{fmt.Sprintf("server %s is readmitted by all", s.ID)})
		s.readmit(m.now)
	}
}

// outcomesSinceEjection returns the sum over all members of consecutive successes since the ejection, and of failures
// since the readmission began.
func (s *server) outcomesSinceEjection(reports []*report) (successes, failures int) {
	for _, r := range reports {
		if r.lastSuccess > s.ejectedAt {
			successes += r.successRun
		}
		failsAgain := s.phase == phaseReadmitting && r.lastFailure > s.readmittingSince && r.successRun == 0
		if failsAgain && r.failureShare() > maxReadmittedFailureShare {
			failures += min(r.consecutiveFailures, failuresThatRestart)
		}
	}
	return successes, failures
}

func (m *Member) trialMembers(s *server) int {
	return max(1, min(maxTrialMembers, len(m.subscriberNames(s))/subscribersPerTrialMember))
}

// admittedShare returns the share of the subscribers that may currently use an ejected server. It exceeds 1 at the end
// of a readmission.
func (m *Member) admittedShare(s *server) float64 {
	trial := float64(m.trialMembers(s)) / float64(max(1, len(m.subscriberNames(s))))
	if s.phase != phaseReadmitting {
		return min(trial, maxTrialShare)
	}
	return trial * math.Exp2(float64(m.now-s.readmittingSince)/float64(readmissionDoubling))
}

// mayUse reports whether this member may use an ejected server. Members are admitted in an order that differs between
// servers and is the same at all members. The last member is never admitted before the end of the ejection, unless it
// is the only live subscriber in its view, for example when it is isolated: then it uses the server at once.
func (m *Member) mayUse(s *server) bool {
	m.updateTrialRank(s)
	all := len(m.subscriberNames(s))
	if all <= 1 {
		return true
	}
	admitted := max(float64(m.trialMembers(s)), m.admittedShare(s)*float64(all))
	return float64(s.trialRank) < admitted && s.trialRank < all-1
}

// updateTrialRank updates trialRank, the number of subscribers before this member, if the membership has changed.
func (m *Member) updateTrialRank(s *server) {
	if s.trialRankEpoch == m.membershipEpoch {
		return
	}
	own := rendezvousRank(m.settings.Name, s.ID)
	s.trialRank = 0
	s.trialRankEpoch = m.membershipEpoch
	for _, name := range m.subscriberNames(s) {
		if name != m.settings.Name && rendezvousRank(name, s.ID) < own {
			s.trialRank++
		}
	}
}
