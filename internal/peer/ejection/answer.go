package ejection

import (
	"math"
	"slices"
	"time"
)

// receivedReport is a voice as it came.
type receivedReport struct {
	server *server
	report *report
}

// buildResponse is what is known here, as much as fits: what was asked about, then what came last, then the rest by turns.
func (m *Member) buildResponse(to string, q *Message) *Message {
	x := &Message{ResponseTo: q.PollNumber}
	asker := m.peer(to)
	about := q.About
	told := map[*report]bool{}
	tell := func(s *server, v *report) {
		if len(x.Evidence) == maxEvidencePerMessage || told[v] || v.startedMS != s.StartedMS || m.now-v.observedAt > m.settings.MaxEvidenceAge || v.observedAt <= s.evidenceVoidUntil {
			return
		}
		told[v] = true
		i := Evidence{Server: s.ID, StartedMS: v.startedMS, Origin: v.origin, RunID: v.runID, Number: v.number, Succeeded: float32(v.successes), Failed: float32(v.failures), ErrorResponses: float32(v.errorResponses), OtherSucceeded: float32(v.otherSuccesses), OtherFailed: float32(v.otherFailures),
			ConsecutiveSuccesses: v.successRun, ConsecutiveFailures: v.consecutiveFailures, OtherFailuresSince: v.otherFailuresSince, AgeMS: m.ageOf(v.observedAt)}
		if m.collects(s) {
			if rate, ok := s.baseline.perSecond(m.now); ok {
				i.BaselineFailureRate = float32(max(rate, 1e-6)) // known, if it is none
			}
		} else if s.receivedBaselineAt > 0 && m.now-s.receivedBaselineAt < baselineSpans*baselineSpan {
			i.BaselineFailureRate = float32(s.receivedBaseline)
		}
		for _, p := range []struct {
			to *uint32
			at time.Duration
		}{{&i.LastSuccessAgeMS, v.lastSuccess}, {&i.LastFailureAgeMS, v.lastFailure}, {&i.FirstFailureAgeMS, v.failingSince}, {&i.OtherSuccessAgeMS, v.otherSuccessAt}} {
			if p.at > 0 {
				*p.to = m.ageOf(p.at)
			}
		}
		x.Evidence = append(x.Evidence, i)
	}
	// What may be chance is told to who asks about it; what is more than that, to all. Members of the first form do not
	// ask: they are told this member's own as they always were.
	worth := func(s *server, v *report) bool {
		own := v.origin == m.settings.Name
		if m.settings.FormatVersion == 1 {
			return s.anomalous || own || v.failing() && m.now-v.failingSince < firstFormatFreshness
		}
		return s.anomalous || own && (q.FormatVersion < currentFormat || m.ownFailuresStandOut(s, v.successes, v.failures, v.consecutiveFailures) || !v.failing() && s.otherReporters(m) > 1) // it speaks for it
	}
	for _, l := range about[:min(maxPollSubjects, len(about))] {
		if s := m.servers[l.Server]; s != nil && s.StartedMS == l.StartedMS {
			m.refreshOwnReport(s)
			for _, v := range s.reports {
				if !q.OwnOnly || v.origin == m.settings.Name {
					tell(s, v)
				}
			}
		}
	}
	if q.OwnOnly {
		m.counts.EvidenceSent += uint64(len(x.Evidence))
		return x
	}
	for n := len(m.recentReports) - 1; n >= 0 && len(x.Evidence) < maxEvidencePerMessage/2; n-- {
		if o := m.recentReports[n]; m.mayConcern(asker, o.server) && worth(o.server, o.report) && m.servers[o.server.ID] == o.server && slices.Contains(o.server.reports, o.report) {
			tell(o.server, o.report)
		}
	}
	live := slices.Clone(m.active) // speaking changes it
	for n := range live {
		at := (m.responseCursor + n) % len(live)
		s := live[at]
		if !m.mayConcern(asker, s) {
			continue
		}
		if s.drainedAt > 0 && m.now-s.drainedAt <= m.settings.MaxDrainAge && len(x.Drains) < maxEvidencePerMessage {
			x.Drains = append(x.Drains, Drain{s.ID, s.StartedMS, s.drainState, m.ageOf(s.drainedAt)})
		}
		if len(x.Evidence) == maxEvidencePerMessage || !s.hasOpenReports(m) {
			continue
		}
		if s.own.made > s.ownReportAt || m.now-s.ownReportAt > ownReportInterval { // how it fares elsewhere may have changed
			m.refreshOwnReport(s)
		}
		for _, v := range s.reports {
			if worth(s, v) {
				tell(s, v)
			}
		}
		if len(x.Evidence) == maxEvidencePerMessage {
			m.responseCursor, x.More = at, 1 // from here on the next time
		}
	}
	m.counts.EvidenceSent += uint64(len(x.Evidence))
	return x
}

// ageOf is how long ago something was, in ms: at the most, whatever the rate of this clock. Never 0.
func (m *Member) ageOf(at time.Duration) uint32 {
	d := float64(m.now-at) * (1 + m.settings.ClockDrift) / (1 - m.settings.ClockDrift)
	return uint32(min(d/float64(time.Millisecond)+1, math.MaxUint32/2))
}

// timeOfAge is when something was, that was so old when a question asked then was answered; 0: never.
func timeOfAge(asked time.Duration, age uint32) time.Duration {
	if age == 0 {
		return 0
	}
	return max(1, asked-time.Duration(age)*time.Millisecond)
}

// applyResponse takes an answer to a question asked at a time: nothing in it is older than it says, plus the time since then.
func (m *Member) applyResponse(asked time.Duration, x *Message) {
	when := func(age uint32) time.Duration { return timeOfAge(asked, age) }
	news := false
	for n := range x.Evidence {
		i := &x.Evidence[n]
		s := m.servers[i.Server]
		if s == nil || i.StartedMS != s.StartedMS || i.Origin == m.settings.Name || i.Origin == "" || i.AgeMS == 0 || !(i.Succeeded >= 0 && i.Failed >= 0 && i.ErrorResponses >= 0 && i.OtherSucceeded >= 0 && i.OtherFailed >= 0) {
			continue
		}
		v := &report{origin: i.Origin, runID: i.RunID, number: i.Number, startedMS: i.StartedMS, successes: float64(i.Succeeded), failures: float64(i.Failed), errorResponses: float64(i.ErrorResponses), otherSuccesses: float64(i.OtherSucceeded), otherFailures: float64(i.OtherFailed), successRun: i.ConsecutiveSuccesses,
			observedAt: when(i.AgeMS), lastSuccess: when(i.LastSuccessAgeMS), lastFailure: when(i.LastFailureAgeMS), failingSince: when(i.FirstFailureAgeMS), consecutiveFailures: i.ConsecutiveFailures, otherSuccessAt: when(i.OtherSuccessAgeMS), otherFailuresSince: i.OtherFailuresSince, arrived: m.now}
		if m.now-v.observedAt > m.settings.MaxEvidenceAge {
			continue
		}
		if i.BaselineFailureRate > 0 && i.BaselineFailureRate < 1e6 && !m.collects(s) {
			s.receivedBaseline, s.receivedBaselineAt = float64(i.BaselineFailureRate), m.now
		}
		if n := slices.IndexFunc(s.reports, func(o *report) bool { return o.origin == v.origin }); v.lastFailure > 0 && (n < 0 || s.reports[n].number != v.number && v.lastFailure > s.reports[n].lastFailure+batchWindow) {
			m.countBaselineFailure(s)
		}
		was := s.hasOpenReports(m)
		if m.recordReport(s, v) {
			m.requestEvaluation(s)
			// One failure is chance, as often as not: it is told to who asks. What stands out goes round.
			s.anomalous = s.isAnomalous(m)
			news = news || s.out && !v.failing() || v.reportsOutage() && !s.out && s.anomalous
			if !was {
				m.refreshOwnReport(s) // others are to hear what it is like from here
			}
		}
	}
	for _, d := range x.Drains {
		s := m.servers[d.Server]
		if at := when(d.AgeMS); s != nil && s.StartedMS == d.StartedMS && d.State > Up && d.State <= Removed && m.now-at <= m.settings.MaxDrainAge && (s.drainedAt == 0 || d.State > s.drainState) {
			s.drainState, news = max(s.drainState, d.State), true
			m.requestEvaluation(s)
			if s.drainedAt == 0 || at < s.drainedAt { // the earliest: it lapses by that
				s.drainedAt = at
			}
		}
	}
	if news {
		m.noteUpdate()
	}
}
