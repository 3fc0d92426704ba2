package ejection

import "time"

// maxRecentOutcomes is the number of recent outcomes that show whether this member's link works. A larger number also
// finds older successes at other servers if one server receives most requests.
const maxRecentOutcomes = 16

// ownOutcomes are the outcomes of this member's agents at one process of a server.
type ownOutcomes struct {
	decayedCounts
	successRun          int
	consecutiveFailures int
	lastSuccess         time.Duration
	lastFailure         time.Duration
	failingSince        time.Duration // first failure since the last success
	observedAt          time.Duration // time of the newest sample
	lastSampleFailures  int
}

// recentOutcome is the outcome of one request.
type recentOutcome struct {
	server    string
	succeeded bool
	at        time.Duration
}

// onOutcomesObserved counts outcomes, and reports failures to other members.
func (m *Member) onOutcomesObserved(e OutcomesObserved) {
	for _, sample := range e.Samples {
		s := m.servers[sample.Server]
		if s == nil || s.StartedMS != sample.StartedMS || sample.Succeeded+sample.Failed <= 0 {
			continue
		}
		m.countSample(s, sample)
		if sample.Failed > 0 || s.hasOpenReports(m) {
			m.refreshOwnReport(s)
			m.requestEvaluation(s)
			switch {
			case s.isEjected():
				if (sample.Succeeded > 0) == (s.phase == phaseEjected) { // the server responds again, or fails again
					m.noteUpdate()
				}
			case sample.Failed > 0:
				m.reportFailure(s)
			}
		}
	}
}

func (m *Member) countSample(s *server, sample OutcomeSample) {
	m.total.decay(m.now)
	m.total.successes += float64(sample.Succeeded)
	m.total.failures += float64(sample.Failed)
	s.own.add(m.now, sample)
	m.recordRecentOutcomes(s.ID, sample)
	m.countBackground(s.source, sample)
}

func (o *ownOutcomes) add(now time.Duration, sample OutcomeSample) {
	o.decay(now)
	o.successes += float64(sample.Succeeded)
	o.failures += float64(sample.Failed)
	o.errorResponses += float64(min(sample.ErrorResponses, sample.Failed))
	o.observedAt = now
	o.lastSampleFailures = sample.Failed
	if sample.Succeeded > 0 {
		o.lastSuccess = now
		o.successRun += sample.Succeeded
		o.consecutiveFailures = 0
	}
	if sample.Failed > 0 {
		if o.failingSince <= o.lastSuccess || o.failingSince == 0 {
			o.failingSince = now
		}
		o.lastFailure = now
		o.successRun = 0
		o.consecutiveFailures += sample.Failed
		if sample.Succeeded > 0 {
			o.failingSince = now
		}
	}
}

// recordRecentOutcomes records the outcomes of a sample. It assumes that the successes of a sample precede its
// failures.
func (m *Member) recordRecentOutcomes(server string, sample OutcomeSample) {
	for range min(sample.Succeeded, maxRecentOutcomes/2) {
		m.recentOutcomes = append(m.recentOutcomes, recentOutcome{server, true, m.now})
	}
	for range min(sample.Failed, maxRecentOutcomes/2) {
		m.recentOutcomes = append(m.recentOutcomes, recentOutcome{server, false, m.now})
	}
	if n := len(m.recentOutcomes); n > 2*maxRecentOutcomes {
		m.recentOutcomes = append(m.recentOutcomes[:0], m.recentOutcomes[n-maxRecentOutcomes:]...)
	}
}

// otherServers returns the time of the last success at any other server, and the number of failures at other servers
// since then.
func (m *Member) otherServers(server string) (lastSuccess time.Duration, failuresSince int) {
	for i := len(m.recentOutcomes) - 1; i >= 0; i-- {
		o := m.recentOutcomes[i]
		switch {
		case o.server == server:
		case o.succeeded:
			return o.at, failuresSince
		default:
			failuresSince++
		}
	}
	return 0, failuresSince
}

// refreshOwnReport updates this member's own report about a server from the outcomes of its agents.
func (m *Member) refreshOwnReport(s *server) {
	own := &s.own
	if own.observedAt == 0 {
		return
	}
	s.ownReportAt = m.now
	own.decay(m.now)
	m.total.decay(m.now)
	m.reportNumber++ // at least the outcomes at other servers may have changed
	r := &report{
		origin:              m.settings.Name,
		runID:               m.settings.RunID,
		number:              m.reportNumber,
		startedMS:           s.StartedMS,
		successes:           own.successes,
		failures:            own.failures,
		errorResponses:      own.errorResponses,
		otherSuccesses:      max(0, m.total.successes-own.successes),
		otherFailures:       max(0, m.total.failures-own.failures),
		successRun:          own.successRun,
		consecutiveFailures: own.consecutiveFailures,
		observedAt:          own.observedAt,
		lastSuccess:         own.lastSuccess,
		lastFailure:         own.lastFailure,
		failingSince:        own.failingSince,
	}
	r.otherSuccessAt, r.otherFailuresSince = m.otherServers(s.ID)
	m.recordReport(s, r)
}
