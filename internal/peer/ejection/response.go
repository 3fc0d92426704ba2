package ejection

import (
	"math"
	"slices"
	"time"
)

const (
	// maxEvidencePerMessage is the number of items of evidence that fit in a datagram of 2,000 bytes, with names of 64
	// bytes.
	maxEvidencePerMessage = 16
	// ownReportInterval is the age above which this member refreshes its own report before sending it, because its
	// outcomes at other servers may have changed.
	ownReportInterval = 500 * time.Millisecond
	// firstFormatFreshness is the time for which a member with format 1 forwards reports of isolated failures.
	firstFormatFreshness = 3 * time.Second
	// minStatedBaseline is sent for a baseline without failures, because 0 means an unknown baseline.
	minStatedBaseline = 1e-6
	// maxStatedBaseline is the rate from which a received baseline is ignored as implausible, in failures a second.
	maxStatedBaseline = 1e6
)

// responseBuilder collects the content of a response, up to maxEvidencePerMessage.
type responseBuilder struct {
	member   *Member
	poll     *Message
	poller   *Peer // member that sent the poll; nil: no description of it
	response *Message
	added    map[*report]bool
}

// buildResponse returns the response to a poll, with as many reports as fit: first those about the servers that the
// poll names, then the reports received last, then the remaining ones in turn over several responses.
func (m *Member) buildResponse(to string, poll *Message) *Message {
	b := &responseBuilder{
		member:   m,
		poll:     poll,
		poller:   m.peer(to),
		response: &Message{ResponseTo: poll.PollNumber},
		added:    map[*report]bool{},
	}
	b.addPolledServers()
	if !poll.OwnOnly {
		b.addRecentReports()
		b.addActiveServers()
	}
	m.counts.EvidenceSent += uint64(len(b.response.Evidence))
	return b.response
}

func (b *responseBuilder) isFull() bool { return len(b.response.Evidence) == maxEvidencePerMessage }

// addPolledServers adds this member's own evidence about the servers that the poll names, and unless the poll is
// OwnOnly, the evidence of other members.
func (b *responseBuilder) addPolledServers() {
	m := b.member
	about := b.poll.About
	for _, polled := range about[:min(maxPollSubjects, len(about))] {
		s := m.servers[polled.Server]
		if s == nil || s.StartedMS != polled.StartedMS {
			continue
		}
		m.refreshOwnReport(s)
		for _, r := range s.reports {
			if !b.poll.OwnOnly || r.origin == m.settings.Name {
				b.add(s, r)
			}
		}
	}
}

// addRecentReports adds the reports received last, newest first, up to half of the response.
func (b *responseBuilder) addRecentReports() {
	m := b.member
	for n := len(m.recentReports) - 1; n >= 0 && len(b.response.Evidence) < maxEvidencePerMessage/2; n-- {
		s, r := m.recentReports[n].server, m.recentReports[n].report
		current := m.servers[s.ID] == s && slices.Contains(s.reports, r)
		if m.maySubscribe(b.poller, s) && b.isRelevant(s, r) && current {
			b.add(s, r)
		}
	}
}

// addActiveServers adds drains and evidence of the active servers, starting where the last response ended.
func (b *responseBuilder) addActiveServers() {
	m := b.member
	active := slices.Clone(m.active) // addServer may change m.active by refreshing reports
	for n := range active {
		at := (m.responseCursor + n) % len(active)
		s := active[at]
		if !m.maySubscribe(b.poller, s) {
			continue
		}
		if s.isDraining(m) && len(b.response.Drains) < maxEvidencePerMessage {
			b.response.Drains = append(b.response.Drains, Drain{s.ID, s.StartedMS, s.drainState, m.ageOf(s.drainedAt)})
		}
		if b.isFull() || !s.hasOpenReports(m) {
			continue
		}
		b.addServer(s)
		if b.isFull() {
			m.responseCursor = at
			b.response.More = 1
		}
	}
}

func (b *responseBuilder) addServer(s *server) {
	m := b.member
	if s.own.observedAt > s.ownReportAt || m.now-s.ownReportAt > ownReportInterval {
		m.refreshOwnReport(s)
	}
	for _, r := range s.reports {
		if b.isRelevant(s, r) {
			b.add(s, r)
		}
	}
}

// isRelevant reports whether a report belongs in the response to a poll that does not name its server. Reports of
// isolated failures don't, because collectors poll for them by server. Members with format 1 can't do so, and therefore
// receive this member's own reports.
func (b *responseBuilder) isRelevant(s *server, r *report) bool {
	m := b.member
	own := r.origin == m.settings.Name
	if m.settings.FormatVersion == 1 {
		return s.anomalous || own || r.failing() && m.now-r.failingSince < firstFormatFreshness
	}
	if s.anomalous {
		return true
	}
	if !own {
		return false
	}
	return b.poll.FormatVersion < currentFormat ||
		m.ownFailuresStandOut(s, r.successes, r.failures, r.consecutiveFailures) ||
		!r.failing() && s.remoteReporters(m) > 1 // the report contradicts the reporters
}

// add adds a report, unless it was added already, no longer counts, or does not fit.
func (b *responseBuilder) add(s *server, r *report) {
	m := b.member
	if b.isFull() || b.added[r] || r.startedMS != s.StartedMS || m.isExpired(r) || r.observedAt <= s.evidenceVoidUntil {
		return
	}
	b.added[r] = true
	e := m.evidenceOf(s, r)
	e.BaselineFailureRate = m.statedBaseline(s)
	b.response.Evidence = append(b.response.Evidence, e)
}

// evidenceOf converts a report to evidence for sending.
func (m *Member) evidenceOf(s *server, r *report) Evidence {
	return Evidence{
		Server:               s.ID,
		StartedMS:            r.startedMS,
		Origin:               r.origin,
		RunID:                r.runID,
		Number:               r.number,
		Succeeded:            float32(r.successes),
		Failed:               float32(r.failures),
		OtherSucceeded:       float32(r.otherSuccesses),
		OtherFailed:          float32(r.otherFailures),
		ConsecutiveSuccesses: r.successRun,
		AgeMS:                m.ageOf(r.observedAt),
		LastSuccessAgeMS:     m.ageOrNever(r.lastSuccess),
		LastFailureAgeMS:     m.ageOrNever(r.lastFailure),
		FirstFailureAgeMS:    m.ageOrNever(r.failingSince),
		ConsecutiveFailures:  r.consecutiveFailures,
		OtherSuccessAgeMS:    m.ageOrNever(r.otherSuccessAt),
		OtherFailuresSince:   r.otherFailuresSince,
		ErrorResponses:       float32(r.errorResponses),
	}
}

// statedBaseline returns the baseline failure rate of a server as a collector counted it, or 0 if no such rate is
// available.
func (m *Member) statedBaseline(s *server) float32 {
	if m.collects(s) {
		if rate, ok := s.baseline.perSecond(m.now); ok {
			return float32(max(rate, minStatedBaseline))
		}
		return 0
	}
	if s.hasReceivedBaseline(m.now) {
		return float32(s.receivedBaseline)
	}
	return 0
}

// ageOf returns an upper bound of the age of a time in ms, by any clock within Settings.ClockDrift. It is never 0.
func (m *Member) ageOf(at time.Duration) uint32 {
	age := float64(m.now-at) * (1 + m.settings.ClockDrift) / (1 - m.settings.ClockDrift)
	return uint32(min(age/float64(time.Millisecond)+1, math.MaxUint32/2))
}

// ageOrNever returns ageOf, or 0 for a time that means never.
func (m *Member) ageOrNever(at time.Duration) uint32 {
	if at <= 0 {
		return 0
	}
	return m.ageOf(at)
}

// timeOfAge converts an age in a response to the time of the event, by this member's clock and not later than the
// actual time. polledAt is when the poll was sent. It returns 0 if the age is 0, which means never.
func timeOfAge(polledAt time.Duration, ageMS uint32) time.Duration {
	if ageMS == 0 {
		return 0
	}
	return max(1, polledAt-time.Duration(ageMS)*time.Millisecond)
}

// applyResponse applies the response to a poll that was sent at polledAt.
func (m *Member) applyResponse(polledAt time.Duration, response *Message) {
	updated := false
	for n := range response.Evidence {
		if m.applyEvidence(polledAt, &response.Evidence[n]) {
			updated = true
		}
	}
	for _, d := range response.Drains {
		if m.applyDrain(polledAt, d) {
			updated = true
		}
	}
	if updated {
		m.noteUpdate()
	}
}

// isValid reports whether evidence has an origin, an age, and valid counts (not negative or NaN).
func (e *Evidence) isValid() bool {
	return e.Origin != "" && e.AgeMS != 0 &&
		e.Succeeded >= 0 && e.Failed >= 0 && e.ErrorResponses >= 0 &&
		e.OtherSucceeded >= 0 && e.OtherFailed >= 0
}

// applyEvidence records evidence of another member. It reports whether other members should be notified.
func (m *Member) applyEvidence(polledAt time.Duration, e *Evidence) bool {
	s := m.servers[e.Server]
	if s == nil || e.StartedMS != s.StartedMS || e.Origin == m.settings.Name || !e.isValid() {
		return false
	}
	r := e.report(polledAt)
	if m.isExpired(r) {
		return false
	}
	if e.BaselineFailureRate > 0 && e.BaselineFailureRate < maxStatedBaseline && !m.collects(s) {
		s.receivedBaseline = float64(e.BaselineFailureRate)
		s.receivedBaselineAt = m.now
	}
	if s.isNewFailure(r) {
		m.countBaselineFailure(s)
	}
	hadOpenReports := s.hasOpenReports(m)
	if !m.recordReport(s, r) {
		return false
	}
	m.requestEvaluation(s)
	s.anomalous = s.isAnomalous(m)
	shouldNotify := s.isEjected() && !r.failing() || r.reportsOutage() && !s.isEjected() && s.anomalous
	if !hadOpenReports {
		m.refreshOwnReport(s) // other members need this member's outcomes at the server
	}
	return shouldNotify
}

// report converts evidence from a response to a report. polledAt is when the poll was sent.
func (e *Evidence) report(polledAt time.Duration) *report {
	return &report{
		origin:              e.Origin,
		runID:               e.RunID,
		number:              e.Number,
		startedMS:           e.StartedMS,
		successes:           float64(e.Succeeded),
		failures:            float64(e.Failed),
		errorResponses:      float64(e.ErrorResponses),
		otherSuccesses:      float64(e.OtherSucceeded),
		otherFailures:       float64(e.OtherFailed),
		successRun:          e.ConsecutiveSuccesses,
		consecutiveFailures: e.ConsecutiveFailures,
		observedAt:          timeOfAge(polledAt, e.AgeMS),
		lastSuccess:         timeOfAge(polledAt, e.LastSuccessAgeMS),
		lastFailure:         timeOfAge(polledAt, e.LastFailureAgeMS),
		failingSince:        timeOfAge(polledAt, e.FirstFailureAgeMS),
		otherSuccessAt:      timeOfAge(polledAt, e.OtherSuccessAgeMS),
		otherFailuresSince:  e.OtherFailuresSince,
	}
}

// isNewFailure reports whether a report has a failure that the last report of the same origin did not have.
func (s *server) isNewFailure(r *report) bool {
	if r.lastFailure <= 0 {
		return false
	}
	n := s.reportIndex(r.origin)
	if n < 0 {
		return true
	}
	last := s.reports[n]
	return last.number != r.number && r.lastFailure > last.lastFailure+batchWindow
}

// applyDrain records a drain that another member announced. It reports whether other members should be notified.
func (m *Member) applyDrain(polledAt time.Duration, d Drain) bool {
	s := m.servers[d.Server]
	drainedAt := timeOfAge(polledAt, d.AgeMS)
	if s == nil || s.StartedMS != d.StartedMS || d.State <= Up || d.State > Removed || m.now-drainedAt > m.settings.MaxDrainAge {
		return false
	}
	if s.drainedAt > 0 && d.State <= s.drainState {
		return false
	}
	s.drainState = max(s.drainState, d.State)
	m.requestEvaluation(s)
	if s.drainedAt == 0 || drainedAt < s.drainedAt { // the drain expires by its earliest announcement
		s.drainedAt = drainedAt
	}
	return true
}
