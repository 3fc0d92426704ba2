package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxOwnLikelihood is how likely one member's failures may be, by the baseline, for it to report them to all. Smaller
	// reports later, larger costs messages on any day.
	maxOwnLikelihood = 1e-4
	// maxPooledLikelihood is the same for the failures of several members together; it is tested with each failure that a
	// collector learns of. maxGuessedLikelihood applies while nobody has counted the server's baseline.
	maxPooledLikelihood  = 1e-3
	maxGuessedLikelihood = 1e-5
	// minBaselineShare and maxBaselineShare bound the share of requests that is taken to fail normally: less than the first
	// cannot be measured in a minute, and more than the second is a fault of its own, such as a bad release.
	minBaselineShare = 0.001
	maxBaselineShare = 0.01
	// minBackgroundRequests is how many requests give a share at all.
	minBackgroundRequests = 20
	// backgroundDecayFactor is how much more slowly the background decays than other counts: over a minute.
	backgroundDecayFactor = 6
	// batchWindow is added to the time that failures took: they may have come at once, because agents report every 50 ms.
	batchWindow = 100 * time.Millisecond
	// baselineSpan is the unit of time in which collectors count failures, and baselineSpans how many of these count: a
	// minute. Smaller follows changes faster and knows the rate less well.
	baselineSpan  = 5 * time.Second
	baselineSpans = 12
	// excludedSpans are the newest spans, which do not count: a burst would hide itself in them.
	excludedSpans = 2
	// maxPoissonTerms and negligibleTerm end the sum of a Poisson tail.
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

// expectedFailureRate returns how many failures a second of all members are normal at a server, and whether a collector
// has counted them. Collectors state their count with their evidence, because some members send far more than others.
func (m *Member) expectedFailureRate(s *server, reports []*report) (perSecond float64, counted bool) {
	own := m.baselineShare(s.source) * m.requestRate(s, reports)
	if m.collects(s) {
		if rate, ok := s.baseline.perSecond(m.now); ok {
			return max(own, rate), true
		}
	} else if s.hasReceivedBaseline(m.now) {
		return max(own, s.receivedBaseline), true
	}
	// As much as those send that report failures, who send more than most; twice that, because they may not have counted
	// for long either.
	mean := 0.0
	for _, r := range reports {
		mean += (r.successes + r.failures) / decayTime.Seconds() / float64(len(reports))
	}
	return max(own, 2*m.baselineShare(s.source)*mean*float64(len(m.subscriberNames(s)))), false
}

// hasReceivedBaseline reports whether a collector stated the baseline failure rate lately.
func (s *server) hasReceivedBaseline(now time.Duration) bool {
	return s.receivedBaselineAt > 0 && now-s.receivedBaselineAt < baselineSpans*baselineSpan
}

// requestRate estimates how many requests a second all members send to one server of a source: as many as this member
// sends, spread over the source's servers, times the members.
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

// ownFailuresStandOut reports whether one member's failures at a server are unlikely by the baseline: consecutive ones,
// or the sum within decayTime.
func (m *Member) ownFailuresStandOut(s *server, successes, failures float64, consecutiveFailures int) bool {
	share := m.baselineShare(s.source)
	return math.Pow(share, float64(consecutiveFailures)) <= maxOwnLikelihood ||
		poissonTail(math.Round(failures), share*(successes+failures)) <= maxOwnLikelihood
}

// pooledFailuresStandOut reports whether the failures that several members report are too many, within too short a time,
// for the baseline: a scan statistic, which tests the newest k failures for each k against a Poisson distribution.
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
		maxLikelihood = maxGuessedLikelihood
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
		// The newest failure opens the window, and is not one that came by chance within it.
		if i > 0 && poissonTail(float64(count-1), expected*window) <= maxLikelihood {
			return true
		}
	}
	return false
}

// poissonTail returns the probability of n or more events of a Poisson distribution with that mean; 1 where n does not
// exceed the mean.
func poissonTail(n, mean float64) float64 {
	if n <= max(0, mean) { // about a half or more, and the sum below has to begin at its largest term
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

// baselineCounter counts, at a collector, the failures at one server by spans of time.
type baselineCounter struct {
	since    time.Duration
	span     int64                                  // number of the newest span
	failures [excludedSpans + baselineSpans]float64 // newest first
}

func newBaselineCounter(now time.Duration) baselineCounter {
	return baselineCounter{since: now, span: int64(now / baselineSpan)}
}

// advance shifts the spans up to now.
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

// discardRecent drops the spans that do not count yet: they led to an ejection, and are not normal.
func (b *baselineCounter) discardRecent(now time.Duration) {
	b.advance(now)
	clear(b.failures[:excludedSpans])
}

// perSecond returns the rate with a margin of a standard deviation and one failure, and whether it was counted for long
// enough.
func (b *baselineCounter) perSecond(now time.Duration) (rate float64, ok bool) {
	b.advance(now)
	counted := time.Duration(b.span-1)*baselineSpan - b.since // up to the spans that do not count
	if counted < baselineSpan {
		return 0, false
	}
	for _, n := range b.failures[excludedSpans:] {
		rate += n
	}
	rate += 1 + math.Sqrt(rate)
	return rate / min(counted, baselineSpans*baselineSpan).Seconds(), true
}
