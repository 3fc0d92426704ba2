package ejection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// minEvaluationInterval is the minimum time between two evaluations, so that reports that arrive together are
	// evaluated once.
	minEvaluationInterval = 20 * time.Millisecond
	// evaluationGrid aligns later evaluations, so that servers are evaluated together.
	evaluationGrid = 50 * time.Millisecond
	// ejectionMemory is the time for which earlier ejections increase the number of successes needed for readmission (the
	// backoff of Envoy's base_ejection_time). A larger value keeps a flapping server out for longer.
	ejectionMemory = 2 * time.Minute

	// confirmationPolls is the number of members that are polled about a suspected server, and
	// confirmationPollsUnresponsive the number if the reporters had no response from it. More polls find contradicting
	// members more reliably and cost more messages.
	confirmationPolls             = 8
	confirmationPollsUnresponsive = 16
	// minResponses is the number of members that must respond about a suspected server before it is ejected. For an
	// unresponsive server, minResponsesUnresponsive members must have sent it a request since the suspicion began: if
	// half of the members are partitioned from it, the probability that all twelve are is 1 in 4,096.
	minResponses             = 6
	minResponsesUnresponsive = 12
	// maxResponseWait is the maximum time to wait for these responses. A larger value ejects later if messages are
	// lost.
	maxResponseWait = 5 * time.Second
	// pollRetryInterval is the time between two rounds of confirmation polls: a few round trips of a wide-area network.
	pollRetryInterval = 400 * time.Millisecond
	// awaitedRoundTrips is the number of round trips added to the wait before an ejection, so that polled members can
	// contradict.
	awaitedRoundTrips = 3
)

// phase is the phase of a server's process in the ejection cycle. Transitions:
//
//	admitted -> suspected             enough reports (Member.suspect)
//	suspected -> admitted             the reports no longer suffice; or a success contradicts the reports
//	                                  about an unresponsive server, and a new suspicion may begin
//	suspected -> ejected              no member contradicted in time (Member.eject)
//	ejected -> readmitting            the server responds to trial members (Member.beginReadmission)
//	readmitting -> ejected            the server fails again (Member.restartEjection)
//	readmitting, ejected -> admitted  all members use it again, or the evidence expired (server.readmit)
//
// A new process of the server starts as admitted, and so does a server after its removal.
type phase uint8

const (
	phaseAdmitted    phase = iota // all members may use the server
	phaseSuspected                // enough members report the server; others are polled before it is ejected
	phaseEjected                  // only trial members use the server
	phaseReadmitting              // a growing share of the members uses the server
)

func (p phase) String() string {
	return [...]string{"admitted", "suspected", "ejected", "readmitting"}[p]
}

// ejectionState is the state of one process of a server.
type ejectionState struct {
	phase        phase
	failureShare float64 // share of failed requests by all current reports; at the cap, the worst servers stay ejected

	// The following fields are used while the server is suspected.
	suspectedAt          time.Duration
	suspicionBegan       time.Duration // value of failuresBegan when the suspicion began
	confirmationPolledAt time.Duration
	responders           []string      // members that responded during the suspicion, see noteResponder
	contradicted         bool          // a responder had a success since suspicionBegan
	unresponsive         bool          // most reporters had no response from the server
	failuresBegan        time.Duration // first failure of any current reporter

	// The following fields are used while the server is ejected or being readmitted.
	ejectedAt        time.Duration
	reason           string   // for operators
	reporters        []string // ascending
	readmittingSince time.Duration
	capped           bool // Settings.MaxEjectedShare keeps the ejection from taking effect

	// The following fields are kept when an ejection ends.
	ejections         int // number of ejections, each within ejectionMemory of the one before
	lastEjection      time.Duration
	evidenceVoidUntil time.Duration // older evidence is ignored, because it led to an ejection that has ended

	trialRank      int // rank of this member in the order in which members may use the server
	trialRankEpoch int // Member.membershipEpoch for which trialRank was computed
}

// isEjected reports whether some members must avoid the server.
func (s *ejectionState) isEjected() bool {
	return s.phase == phaseEjected || s.phase == phaseReadmitting
}

// evaluate evaluates the servers that are due, and announces changes to the agents. Its cost depends on the number of
// active servers, not of all servers.
func (m *Member) evaluate() {
	m.evaluationDue = false
	m.evaluateAt = 0
	m.lastEvaluation = m.now
	for _, s := range m.active {
		if s.needsEvaluation || s.evaluateAt > 0 && m.now >= s.evaluateAt {
			s.needsEvaluation = false
			s.evaluateAt = 0
			m.evaluateServer(s)
			s.anomalous = s.isAnomalous(m)
		}
	}
	overCap := m.overCap()
	var ejections []Ejection
	stillActive := m.active[:0]
	for _, s := range m.active {
		if s.forgetIfInactive(m) {
			s.active = false
			s.anomalous = false
			continue
		}
		stillActive = append(stillActive, s)
		if s.evaluateAt > 0 {
			m.evaluateBy(s.evaluateAt)
		}
		ejections = m.appendEjections(ejections, s, overCap[s.ID])
	}
	clear(m.active[len(stillActive):])
	m.active = stillActive
	if !slices.EqualFunc(ejections, m.announced, sameEjection) {
		m.announced = ejections
		m.emit(EjectionsChanged{ejections})
	}
}

// appendEjections appends the drain and the ejection of a server that this member's agents must respect, if any.
func (m *Member) appendEjections(all []Ejection, s *server, overCap bool) []Ejection {
	if s.State == Up && s.isDraining(m) {
		until := s.drainedAt + m.settings.MaxDrainAge
		all = append(all, Ejection{s.ID, s.StartedMS, true, until})
		m.evaluateBy(until + 1)
	}
	wasCapped := s.capped
	s.capped = s.isEjected() && overCap
	if s.capped && !wasCapped {
		m.counts.Capped++
	}
	if s.isEjected() && !s.capped && !m.mayUse(s) {
		all = append(all, Ejection{s.ID, s.StartedMS, false, s.evidenceExpires(m)})
	}
	return all
}

// forgetIfInactive reports whether a server no longer has current reports, an ejection, a drain or a due evaluation. It
// then drops the server's reports.
func (s *server) forgetIfInactive(m *Member) bool {
	if s.needsEvaluation || s.evaluateAt > 0 || s.isEjected() || s.isDraining(m) {
		return false
	}
	if slices.ContainsFunc(s.reports, func(r *report) bool { return !m.isExpired(r) }) {
		return false
	}
	s.reports = nil
	return true
}

// evaluateBy schedules a call of evaluate at the given time or earlier.
func (m *Member) evaluateBy(at time.Duration) {
	if m.evaluateAt == 0 || at < m.evaluateAt {
		m.evaluateAt = at
	}
}

// scheduleEvaluation schedules the evaluation of a server at the given time, rounded up to the grid.
func (s *server) scheduleEvaluation(m *Member, at time.Duration) {
	s.evaluateAt = at + evaluationGrid - at%evaluationGrid
	m.evaluateBy(s.evaluateAt)
}

// evaluateServer makes the phase transitions that a server's reports require.
func (m *Member) evaluateServer(s *server) {
	if s.State == Removed || len(s.reports) == 0 && !s.isEjected() {
		s.ejectionState = ejectionState{
			evidenceVoidUntil: s.evidenceVoidUntil,
			trialRank:         s.trialRank,
			trialRankEpoch:    s.trialRankEpoch,
		}
		return
	}
	reports := s.currentReports(m)
	if s.isEjected() {
		m.evaluateEjected(s, reports)
		return
	}
	if s.ejections > 0 && m.now-s.lastEjection > ejectionMemory {
		s.ejections = 0
	}
	found, ok := m.detect(s, reports)
	if !ok {
		s.phase = phaseAdmitted
		return
	}
	s.unresponsive = found.unresponsive
	s.failuresBegan = found.failuresBegan
	if s.phase == phaseSuspected && s.unresponsive && s.contradicted {
		s.phase = phaseAdmitted // a new suspicion starts, with new responders
	}
	if s.phase == phaseAdmitted {
		m.suspect(s)
	}
	if m.isCorroborated(s, found.wait) {
		m.eject(s, found)
	}
}

// suspect starts the suspicion of a server: other members are polled before it is ejected.
func (m *Member) suspect(s *server) {
	s.phase = phaseSuspected
	s.suspectedAt = m.now
	s.suspicionBegan = s.failuresBegan
	s.responders = nil
	s.contradicted = false
	polls := confirmationPolls
	if s.unresponsive {
		polls = confirmationPollsUnresponsive
	}
	m.sendConfirmationPolls(s, polls)
}

func (m *Member) sendConfirmationPolls(s *server, polls int) {
	s.confirmationPolledAt = m.now
	m.sendPolls(m.randomCorroborators(polls, s.source), &Message{About: []ServerProcess{s.incarnation()}, OwnOnly: s.unresponsive})
}

// isCorroborated reports whether other members had time to contradict a suspicion and enough of them responded. If not,
// it schedules another evaluation of the server.
func (m *Member) isCorroborated(s *server, wait time.Duration) bool {
	if until := s.suspectedAt + wait + awaitedRoundTrips*m.roundTrip; m.now < until {
		s.scheduleEvaluation(m, until)
		return false
	}
	required := minResponses
	if s.unresponsive {
		required = minResponsesUnresponsive
	}
	required = min(required, len(m.subscriberNames(s))-1)
	if len(s.responders) >= required || m.now >= s.suspectedAt+maxResponseWait {
		return true
	}
	if m.now-s.confirmationPolledAt >= pollRetryInterval { // responses were lost or are late
		m.sendConfirmationPolls(s, confirmationPolls)
	}
	s.scheduleEvaluation(m, m.now)
	return false
}

// recordCorroboration records another member's own evidence about a suspected, unresponsive server. The evidence counts
// if that member has had an outcome at the server since the first reporter's failures began. A success since then
// contradicts the suspicion.
func (s *server) recordCorroboration(member string, observedAt, lastSuccess time.Duration) {
	if observedAt <= s.suspicionBegan || slices.Contains(s.responders, member) {
		return
	}
	s.responders = append(s.responders, member)
	s.contradicted = s.contradicted || lastSuccess > s.suspicionBegan
}

// eject ejects a server: all members except the trial members avoid it.
func (m *Member) eject(s *server, found finding) {
	s.phase = phaseEjected
	s.ejectedAt = m.now
	s.reason = found.reason
	s.reporters = found.reporters
	s.countEjection(m.now)
	s.needsEvaluation = true // evaluates the server again in the next evaluation, whatever causes it
	s.baseline.discardRecent(m.now)
	m.counts.Ejected++
	m.emit(Log{fmt.Sprintf("server %s is ejected: %s, reported by %s", s.ID, s.reason, strings.Join(s.reporters, ", "))})
	m.noteUpdate()
	s.scheduleEvaluation(m, m.now+ejectedEvaluationInterval)
}

func (s *ejectionState) countEjection(now time.Duration) {
	s.ejections++
	s.lastEjection = now
}

// beginReadmission starts the readmission of an ejected server: a growing share of the members uses it.
func (m *Member) beginReadmission(s *server) {
	s.phase = phaseReadmitting
	s.readmittingSince = m.now
	m.emit(Log{fmt.Sprintf("server %s responds again: readmission begins", s.ID)})
}

// restartEjection restarts the ejection of a server that failed during its readmission.
func (m *Member) restartEjection(s *server) {
	if s.phase == phaseReadmitting {
		m.emit(Log{fmt.Sprintf("server %s fails again: its readmission ends, and it is ejected again", s.ID)})
	}
	s.phase = phaseEjected
	s.ejectedAt = m.now
	s.countEjection(m.now)
}

// readmit lets all members use a server again. Only new evidence can eject it again.
func (s *server) readmit(now time.Duration) {
	s.phase = phaseAdmitted
	s.reason = ""
	s.reporters = nil
	s.reports = nil
	s.evidenceVoidUntil = now
	s.own.failures = 0
	s.own.successes = 0
	s.own.errorResponses = 0
}
