package ejection

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxTrialMembers is how many members keep using an ejected server, or an eighth of smaller fleets: their requests are
	// its health checks. Larger finds its recovery sooner and fails more requests.
	maxTrialMembers = 3
	// subscribersPerTrialMember keeps the trial members few in small fleets.
	subscribersPerTrialMember = 8
	// minSuccessRun is how many consecutive successes of all members begin a readmission. Each ejection within
	// ejectionMemory doubles it, up to maxSuccessRun. Larger readmits later, smaller readmits servers that fail in part.
	minSuccessRun = 3
	maxSuccessRun = 48
	// maxRunDoublings keeps the shift from overflowing; maxSuccessRun is reached long before.
	maxRunDoublings = 10
	// readmissionDoubling is the time in which twice as many members use a server that is being readmitted: a slow start.
	// Smaller floods a server that has just recovered.
	readmissionDoubling = time.Second
	// ejectedEvaluationInterval is the time between two evaluations of an ejected server.
	ejectedEvaluationInterval = readmissionDoubling / 4
	// failuresThatRestart is how many failures during readmission eject a server anew: one may be chance.
	failuresThatRestart = 2
	// maxReadmittedFailureShare is the share of failures up to which a member's failure during readmission is ignored.
	maxReadmittedFailureShare = 0.1
	// maxTrialShare keeps the share of trial members below 1: a server is readmitted by readmission only.
	maxTrialShare = 0.99
)

// evaluateEjected makes the transitions of an ejected server: readmission once it responds to trial members, ejection
// anew if it fails meanwhile, and the end of either.
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

// outcomesSinceEjection returns the sum of consecutive successes since the ejection, and of failures since readmission
// began.
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

// admittedShare returns the share of the subscribers that may use an ejected server now. It exceeds 1 at the end of a
// readmission.
func (m *Member) admittedShare(s *server) float64 {
	trial := float64(m.trialMembers(s)) / float64(max(1, len(m.subscriberNames(s))))
	if s.phase != phaseReadmitting {
		return min(trial, maxTrialShare)
	}
	return trial * math.Exp2(float64(m.now-s.readmittingSince)/float64(readmissionDoubling))
}

// mayUse reports whether this member may use an ejected server: the first members may, in an order that is each server's
// own and the same at all members. The last one never does, unless it is the only one: a member that sees no other live
// subscriber, as when it is cut off, uses the server at once.
func (m *Member) mayUse(s *server) bool {
	m.updateTrialRank(s)
	all := len(m.subscriberNames(s))
	if all <= 1 {
		return true
	}
	admitted := max(float64(m.trialMembers(s)), m.admittedShare(s)*float64(all))
	return float64(s.trialRank) < admitted && s.trialRank < all-1
}

// updateTrialRank counts the subscribers before this member, if the membership has changed since.
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
