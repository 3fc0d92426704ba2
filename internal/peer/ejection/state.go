package ejection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// minEvaluationInterval is the time between two evaluations: reports that arrive together are evaluated once.
	minEvaluationInterval = 20 * time.Millisecond
	// evaluationGrid aligns evaluations that are due later, so that servers are evaluated together.
	evaluationGrid = 50 * time.Millisecond
	// ejectionMemory is how long earlier ejections count towards what readmission takes (the backoff of Envoy's
	// base_ejection_time). Larger holds a flapping server out for longer.
	ejectionMemory = 2 * time.Minute

	// confirmationPolls is how many members are polled about a suspected server, and confirmationPollsUnresponsive where
	// the reporters had no response from it. Larger finds contradicting members more surely and costs messages.
	confirmationPolls             = 8
	confirmationPollsUnresponsive = 16
	// minResponses is how many members have to respond about a suspected server before it is ejected. For an unresponsive
	// one minResponsesUnresponsive have to have sent something to it since: with half of the members cut off from it, all
	// of twelve are cut off once in 4,096 times.
	minResponses             = 6
	minResponsesUnresponsive = 12
	// maxResponseWait is how long these responses are awaited, at most. Larger ejects later where messages are lost.
	maxResponseWait = 5 * time.Second
	// pollRetryInterval is the time between two rounds of confirmation polls: a few round trips of a wide-area network.
	pollRetryInterval = 400 * time.Millisecond
	// awaitedRoundTrips is how many round trips an ejection waits besides, so that polled members can contradict.
	awaitedRoundTrips = 3
)

// phase is where a server's process stands in the cycle of ejection. Transitions:
//
//	admitted -> suspected             enough reports (Member.suspect)
//	suspected -> admitted             the reports no longer suffice; or a success contradicts those of an
//	                                  unresponsive server, and suspicion may begin anew
//	suspected -> ejected              nobody contradicted in time (Member.eject)
//	ejected -> readmitting            it responds to trial members (Member.beginReadmission)
//	readmitting -> ejected            it fails again (Member.restartEjection)
//	readmitting, ejected -> admitted  all members use it again, or the evidence expired (server.readmit)
//
// Another process of the server, or its removal, starts anew at admitted.
type phase uint8

const (
	phaseAdmitted    phase = iota // all members may use it
	phaseSuspected                // enough members report it; others are polled before it is ejected
	phaseEjected                  // only trial members use it
	phaseReadmitting              // a growing share of the members uses it
)

func (p phase) String() string {
	return [...]string{"admitted", "suspected", "ejected", "readmitting"}[p]
}

// ejectionState is the state of one process of a server.
type ejectionState struct {
	phase        phase
	failureShare float64 // of its requests, by all current reports; the worst servers stay ejected under the cap

	// While suspected.
	suspectedAt          time.Duration
	suspicionBegan       time.Duration // the first failure of any reporter, when suspicion began
	confirmationPolledAt time.Duration
	responders           []string      // members that responded since, see noteResponder
	contradicted         bool          // one of them had a success since suspicionBegan
	unresponsive         bool          // most reporters had no response from the server
	failuresBegan        time.Duration // the first failure of any current reporter

	// While ejected or readmitting.
	ejectedAt        time.Duration
	reason           string   // for operators
	reporters        []string // ascending
	readmittingSince time.Duration
	capped           bool // Settings.MaxEjectedShare keeps the ejection from taking effect

	// Across ejections.
	ejections         int // within ejectionMemory of one another
	lastEjection      time.Duration
	evidenceVoidUntil time.Duration // evidence from before counts no more: it led to an ejection that ended

	trialRank      int // this member's among those that may use the server first
	trialRankEpoch int // Member.membershipEpoch of trialRank
}

// isEjected reports whether some members have to avoid the server.
func (s *ejectionState) isEjected() bool {
	return s.phase == phaseEjected || s.phase == phaseReadmitting
}

// evaluate evaluates the servers that are due, and announces to the agents what changed. Its cost grows with the active
// servers, not with all.
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
		if s.forgetIfQuiet(m) {
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

// appendEjections appends what this member's agents have to respect of one server: a drain, an ejection, or neither.
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

// forgetIfQuiet reports whether nothing is reported about a server any more, and then forgets its reports.
func (s *server) forgetIfQuiet(m *Member) bool {
	if s.needsEvaluation || s.evaluateAt > 0 || s.isEjected() || s.isDraining(m) {
		return false
	}
	if slices.ContainsFunc(s.reports, func(r *report) bool { return !m.isExpired(r) }) {
		return false
	}
	s.reports = nil
	return true
}

// evaluateBy has evaluate called by then.
func (m *Member) evaluateBy(at time.Duration) {
	if m.evaluateAt == 0 || at < m.evaluateAt {
		m.evaluateAt = at
	}
}

// scheduleEvaluation has a server evaluated by then, rounded up to the grid.
func (s *server) scheduleEvaluation(m *Member, at time.Duration) {
	s.evaluateAt = at + evaluationGrid - at%evaluationGrid
	m.evaluateBy(s.evaluateAt)
}

// evaluateServer makes the transitions that a server's reports ask for.
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
		s.phase = phaseAdmitted // suspicion starts anew, with new responders
	}
	if s.phase == phaseAdmitted {
		m.suspect(s)
	}
	if m.isCorroborated(s, found.wait) {
		m.eject(s, found)
	}
}

// suspect polls other members about a server before it is ejected.
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
	m.sendPolls(m.randomCorroborators(polls, s.source), &Message{About: []Incarnation{s.incarnation()}, OwnOnly: s.unresponsive})
}

// isCorroborated reports whether other members had time to contradict a suspicion, and enough of them responded. If not,
// the server is evaluated again.
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
	if m.now-s.confirmationPolledAt >= pollRetryInterval { // responses were lost, or are late
		m.sendConfirmationPolls(s, confirmationPolls)
	}
	s.scheduleEvaluation(m, m.now)
	return false
}

// recordCorroboration takes a member's own evidence about an unresponsive server that is suspected. It counts if the
// member has sent it something since the first reporter's failures began; a success since then contradicts the suspicion.
func (s *server) recordCorroboration(member string, observedAt, lastSuccess time.Duration) {
	if observedAt <= s.suspicionBegan || slices.Contains(s.responders, member) {
		return
	}
	s.responders = append(s.responders, member)
	s.contradicted = s.contradicted || lastSuccess > s.suspicionBegan
}

// eject has all members but the trial members avoid a server.
func (m *Member) eject(s *server, found finding) {
	s.phase = phaseEjected
	s.ejectedAt = m.now
	s.reason = found.reason
	s.reporters = found.reporters
	s.countEjection(m.now)
	s.needsEvaluation = true // with the next evaluation, whatever causes it
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

// beginReadmission lets a growing share of the members use an ejected server.
func (m *Member) beginReadmission(s *server) {
	s.phase = phaseReadmitting
	s.readmittingSince = m.now
	m.emit(Log{fmt.Sprintf("server %s responds again: readmission begins", s.ID)})
}

// restartEjection ejects a server anew that failed during its readmission.
func (m *Member) restartEjection(s *server) {
	if s.phase == phaseReadmitting {
		m.emit(Log{fmt.Sprintf("server %s fails again: its readmission ends, and it is ejected again", s.ID)})
	}
	s.phase = phaseEjected
	s.ejectedAt = m.now
	s.countEjection(m.now)
}

// readmit lets all members use a server again. It takes new evidence to eject it once more.
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
