package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxOwnLikelihood is the probability of one member's failures, by the baseline, up to which the member reports
	// them to all subscribers. A smaller value reports later; a larger one costs more messages in normal operation.
	maxOwnLikelihood = 1e-4
	// maxPooledLikelihood is the same for the failures of several members together, which are tested with each failure
	// that is reported to a collector. maxEstimatedLikelihood is used while no collector's count of the server's baseline
	// is available.
	maxPooledLikelihood    = 1e-3
	maxEstimatedLikelihood = 1e-5
	// minBaselineShare and maxBaselineShare bound the share of requests that is assumed to fail normally. A smaller share
	// can't be measured in a minute; a larger one is itself a fault, such as a bad release.
	minBaselineShare = 0.001
	maxBaselineShare = 0.01
	// minBackgroundRequests is the minimum number of requests for a measured share.
	minBackgroundRequests = 20
	// backgroundDecayFactor times decayTime is the time constant of the background counts: a minute.
	backgroundDecayFactor = 6
	// batchWindow is added to the time span of failures. Agents report in batches every 50 ms, so that several failures
	// may seem to occur at the same time.
	batchWindow = 100 * time.Millisecond
	// baselineSpan is the span of time in which collectors count failures, and baselineSpans the number of spans that
	// count: a minute in total. A shorter time follows changes faster and measures the rate less accurately.
	baselineSpan  = 5 * time.Second
	baselineSpans = 12
	// excludedSpans is the number of newest spans that don't count, because a burst would raise its own baseline.
	excludedSpans = 2
	// maxPoissonTerms and negligibleTerm limit the sum of a Poisson tail.
	maxPoissonTerms = 200
	negligibleTerm  = 1e-12
)

// countBackground counts outcomes at all servers of a source.
func (m *Member) countBackground(source string, sample OutcomeSample) {
	c := m.background[source]
	if c == nil {
		c = &decayedCounts{at: m.now}
		m.background[source] = c
	}
	c.decay(c.at + (m.now-c.at)/backgroundDecayFactor)
	c.at = m.now
	c.successes += float64(sample.Succeeded)
	c.failures += float64(sample.Failed)
}

// baselineShare returns the share of requests to servers of a source that fails normally.
func (m *Member) baselineShare(source string) float64 {
	c := m.background[source]
	if c == nil || c.successes+c.failures < minBackgroundRequests {
		return minBaselineShare
	}
	return min(maxBaselineShare, max(minBaselineShare, failureShare(c.failures, c.successes)))
}

// expectedFailureRate returns the normal number of failures a second at a server, of all members, and whether a
// collector has counted them. Collectors send their count with evidence, because an estimate by one member's own rate
// is inaccurate if some members send far more requests than others.
func (m *Member) expectedFailureRate(s *server, reports []*report) (perSecond float64, counted bool) {
	own := m.baselineShare(s.source) * m.requestRate(s, reports)
	if m.collects(s) {
		if rate, ok := s.baseline.perSecond(m.now); ok {
			return max(own, rate), true
		}
	} else if s.hasReceivedBaseline(m.now) {
		return max(own, s.receivedBaseline), true
	}
	// This estimate assumes that all members send as many requests as the reporters, which send more than most members.
	// It is doubled, because the reporters may not have counted for long either.
	mean := 0.0
	for _, r := range reports {
		mean += (r.successes + r.failures) / decayTime.Seconds() / float64(len(reports))
	}
	return max(own, 2*m.baselineShare(s.source)*mean*float64(len(m.subscriberNames(s)))), false
}

// hasReceivedBaseline reports whether a baseline failure rate was received recently.
func (s *server) hasReceivedBaseline(now time.Duration) bool {
	return s.receivedBaselineAt > 0 && now-s.receivedBaselineAt < baselineSpans*baselineSpan
}

// requestRate estimates the number of requests a second that all members send to a server: this member's rate for the
// server's source, divided by the number of servers in the source and multiplied by the number of subscribers.
func (m *Member) requestRate(s *server, reports []*report) float64 {
	perMember := 0.0
	if c := m.background[s.source]; c != nil && c.successes+c.failures >= minBackgroundRequests {
		weight := math.Exp(-float64(m.now-c.at) / float64(backgroundDecayFactor*decayTime))
		perMember = (c.successes + c.failures) * weight / (backgroundDecayFactor * decayTime.Seconds())
	} else {
		for _, r := range reports {
			perMember += (r.successes + r.failures + r.otherSuccesses + r.otherFailures) / decayTime.Seconds() / float64(len(reports))
		}
	}
	return perMember * float64(len(m.subscriberNames(s))) / float64(max(1, len(m.sources[s.source])))
}

// ownFailuresStandOut reports whether one member's failures at a server are unlikely by the baseline: either the
// consecutive failures or the sum within decayTime.
func (m *Member) ownFailuresStandOut(s *server, successes, failures float64, consecutiveFailures int) bool {
	share := m.baselineShare(s.source)
	return math.Pow(share, float64(consecutiveFailures)) <= maxOwnLikelihood ||
		poissonTail(math.Round(failures), share*(successes+failures)) <= maxOwnLikelihood
}

// pooledFailuresStandOut reports whether the failures that several members report are too many in too short a time for
// the baseline. It uses a scan statistic: for each k, the newest k failures are tested against a Poisson distribution.
func (m *Member) pooledFailuresStandOut(s *server) bool {
	reports := s.currentReports(m)
	failed := slices.DeleteFunc(slices.Clone(reports), func(r *report) bool { return r.lastFailure == 0 || r.failures < 0.1 })
	if len(failed) < 2 {
		return false
	}
	slices.SortStableFunc(failed, func(a, b *report) int { return cmp.Compare(b.lastFailure, a.lastFailure) })
	expected, counted := m.expectedFailureRate(s, reports)
	maxLikelihood := maxPooledLikelihood
	if !counted {
		maxLikelihood = maxEstimatedLikelihood
	}
	newest := failed[0].lastFailure
	oldest := newest
	count := 0
	for i, r := range failed {
		from := r.lastFailure
		count++
		if r.failing() && r.consecutiveFailures > 1 && r.failingSince > 0 {
			count += min(r.consecutiveFailures, maxCountedFailures) - 1
			from = r.failingSince
		}
		oldest = min(oldest, from)
		window := (newest - oldest + batchWindow).Seconds()
		// The newest failure defines the window, so it is not counted among the failures that occur by chance within
		// it.
		if i > 0 && poissonTail(float64(count-1), expected*window) <= maxLikelihood {
			return true
		}
	}
	return false
}

// poissonTail returns the probability of n or more events in a Poisson distribution with the given mean. It returns 1
// if n does not exceed the mean.
func poissonTail(n, mean float64) float64 {
	if n <= max(0, mean) { // the probability is about a half or more, and the sum below must start at its largest term
		return 1
	}
	logFactorial, _ := math.Lgamma(n + 1)
	term := math.Exp(n*math.Log(max(mean, negligibleTerm)) - mean - logFactorial)
	sum := 0.0
	for k := n; term > negligibleTerm && k < n+maxPoissonTerms; k++ {
		sum += term
		term *= mean / (k + 1)
	}
	return min(1, sum)
}

// baselineCounter counts failures at one server by spans of time. Only collectors use it.
type baselineCounter struct {
	since    time.Duration
	span     int64                                  // index of the newest span
	failures [excludedSpans + baselineSpans]float64 // newest first
}

func newBaselineCounter(now time.Duration) baselineCounter {
	return baselineCounter{since: now, span: int64(now / baselineSpan)}
}

// advance shifts the spans so that the newest one contains now.
func (b *baselineCounter) advance(now time.Duration) {
	for span := int64(now / baselineSpan); b.span < span; b.span++ {
		if span-b.span > int64(len(b.failures)) {
			b.failures = [len(b.failures)]float64{}
			b.span = span - 1
			continue
		}
		copy(b.failures[1:], b.failures[:])
		b.failures[0] = 0
	}
}

// add counts a failure.
func (b *baselineCounter) add(now time.Duration) {
	b.advance(now)
	b.failures[0]++
}

// discardRecent clears the spans that don't count yet, because their failures led to an ejection and are not normal.
func (b *baselineCounter) discardRecent(now time.Duration) {
	b.advance(now)
	clear(b.failures[:excludedSpans])
}

// perSecond returns the failure rate plus a margin of one standard deviation and one failure. ok is false if the
// failures have not been counted for long enough.
func (b *baselineCounter) perSecond(now time.Duration) (rate float64, ok bool) {
	b.advance(now)
	counted := time.Duration(b.span-1)*baselineSpan - b.since // without the excluded spans
	if counted < baselineSpan {
		return 0, false
	}
	for _, n := range b.failures[excludedSpans:] {
		rate += n
	}
	rate += 1 + math.Sqrt(rate)
	return rate / min(counted, baselineSpans*baselineSpan).Seconds(), true
}
