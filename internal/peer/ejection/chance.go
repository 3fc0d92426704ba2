package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What fails by chance is told less. A member whose failure at a server is no more than chance tells it to the server's
// holders alone: a few members, the same for all, by rendezvous hashing. They hear of all lone failures there, and see
// whether so many so close together are chance (a scan statistic: failures of several members within a window, against
// a Poisson distribution). Whatever stands out, here or there, goes round as news.
const (
	collectorsPerServer        = 3                      // members told of a lone failure
	minCollectorNoticeInterval = time.Second            // between two that are told of one server
	minBroadcastInterval       = 2 * time.Second        // between two tellings of one server to any: half of them may be lost
	maxNoticePollsPerSecond    = 64                     // asked about in a second, whoever tells: more go by chance elsewhere
	maxOwnLikelihood           = 1e-4                   // likelihood by chance, below which failures stand out
	maxPooledLikelihood        = 1e-3                   // the same of several members together: a test each failure that a holder hears of
	minBaselineShare           = 0.001                  // share of requests that fails by chance, at the least: less can't be measured in a minute
	maxBaselineShare           = 0.01                   // and at the most: a bad release is not chance
	batchWindow                = 100 * time.Millisecond // failures so close together may have come at once: own agents tell every 50 ms
	backgroundDecayFactor      = 6                      // the background fades over so many times fades
	maxGuessedLikelihood       = 1e-5                   // and where nobody has counted yet what is chance
	baselineSpan               = 5 * time.Second        // by which holders count what fails by chance
	baselineSpans              = 12
	minBackgroundRequests      = 20 // requests that make a background
)

// countBackground counts what became of requests to any server of a source.
func (m *Member) countBackground(source string, x OutcomeSample) {
	t := m.background[source]
	if t == nil {
		t = &decayedCounts{at: m.now}
		m.background[source] = t
	}
	t.decay(t.at + (m.now-t.at)/backgroundDecayFactor)
	t.at = m.now
	t.successes += float64(x.Succeeded)
	t.failures += float64(x.Failed)
}

// baselineShare is the share of requests to servers of a source that fails by chance.
func (m *Member) baselineShare(source string) float64 {
	t := m.background[source]
	if t == nil || t.successes+t.failures < minBackgroundRequests {
		return minBaselineShare
	}
	return min(maxBaselineShare, max(minBaselineShare, failureShare(t.failures, t.successes)))
}

// expectedFailureRate is how many failures a second are chance at a server. Its holders count them, and say so with what they
// tell, since some send far more to it than others do; who has heard of none goes by its own rate.
func (m *Member) expectedFailureRate(s *server, voices []*report) (perSecond float64, counted bool) {
	own := m.baselineShare(s.source) * m.requestRate(s, voices)
	if m.collects(s) {
		if rate, ok := s.baseline.perSecond(m.now); ok {
			return max(own, rate), true
		}
	} else if s.receivedBaselineAt > 0 && m.now-s.receivedBaselineAt < baselineSpans*baselineSpan {
		return max(own, s.receivedBaseline), true
	}
	// Nobody has counted for long: as much as those tell that have failures, who send more than most. Twice that, since they
	// may not have counted for long either.
	all := 0.0
	for _, v := range voices {
		all += (v.successes + v.failures) / decayTime.Seconds() / float64(len(voices))
	}
	return max(own, 2*m.baselineShare(s.source)*all*float64(len(m.subscriberNames(s)))), false
}

// baselineCounter is how many failures a holder has heard of at a server, by spans of time. The last two spans don't count, and are
// struck out where the server is out by them: what befalls it now is not chance.
type baselineCounter struct {
	since    time.Duration
	span     int64
	failures [2 + baselineSpans]float64 // of this span, the one before ...
}

// advance brings it up to now.
func (b *baselineCounter) advance(now time.Duration) {
	for span := int64(now / baselineSpan); b.span < span; b.span++ {
		if span-b.span > int64(len(b.failures)) {
			b.failures, b.span = [len(b.failures)]float64{}, span-1
			continue
		}
		copy(b.failures[1:], b.failures[:])
		b.failures[0] = 0
	}
}

func (b *baselineCounter) add(now time.Duration) {
	b.advance(now)
	b.failures[0]++
}

func (b *baselineCounter) discardRecent(now time.Duration) {
	b.advance(now)
	b.failures[0], b.failures[1] = 0, 0
}

// perSecond is the rate, and whether it is known.
func (b *baselineCounter) perSecond(now time.Duration) (rate float64, ok bool) {
	b.advance(now)
	heard := time.Duration(b.span-1)*baselineSpan - b.since // until the spans that don't count
	if heard < baselineSpan {
		return 0, false
	}
	for _, n := range b.failures[2:] {
		rate += n
	}
	rate += 1 + math.Sqrt(rate) // it may have been fewer than usual: a standard deviation more, and one
	return rate / min(heard, baselineSpans*baselineSpan).Seconds(), true
}

// requestRate is about how many requests a second all members send to one server of a source: as many as this member's, which
// are spread over its servers, times the members.
func (m *Member) requestRate(s *server, voices []*report) float64 {
	per := 0.0
	if t := m.background[s.source]; t != nil && t.successes+t.failures >= minBackgroundRequests {
		w := math.Exp(-float64(m.now-t.at) / float64(backgroundDecayFactor*decayTime))
		per = (t.successes + t.failures) * w / (backgroundDecayFactor * decayTime.Seconds())
	} else if len(voices) > 0 {
		for _, v := range voices {
			per += (v.successes + v.failures + v.otherSuccesses + v.otherFailures) / decayTime.Seconds() / float64(len(voices))
		}
	}
	return per * float64(len(m.subscriberNames(s))) / float64(max(1, len(m.sources[s.source])))
}

// ownFailuresStandOut reports whether one member's own failures at a server stand out.
func (m *Member) ownFailuresStandOut(s *server, ok, bad float64, streak int) bool {
	p := m.baselineShare(s.source)
	return math.Pow(p, float64(streak)) <= maxOwnLikelihood || poissonTail(math.Round(bad), p*(ok+bad)) <= maxOwnLikelihood
}

// pooledFailuresStandOut reports whether the failures that several members tell of are too many, so close together, for chance.
func (m *Member) pooledFailuresStandOut(s *server) bool {
	voices := s.currentReports(m)
	failed := slices.DeleteFunc(slices.Clone(voices), func(v *report) bool { return v.lastFailure == 0 || v.failures < 0.1 })
	if len(failed) < 2 {
		return false
	}
	slices.SortStableFunc(failed, func(a, b *report) int { return cmp.Compare(b.lastFailure, a.lastFailure) })
	expected, counted := m.expectedFailureRate(s, voices)
	least := maxPooledLikelihood
	if !counted {
		least = maxGuessedLikelihood
	}
	n, first := 0, failed[0].lastFailure
	for i, v := range failed {
		from := v.lastFailure
		n++
		if v.failing() && v.consecutiveFailures > 1 && v.failingSince > 0 {
			n += min(v.consecutiveFailures, maxCountedFailures) - 1
			from = v.failingSince
		}
		first = min(first, from)
		// The newest is what is asked about: the others came by themselves.
		if i > 0 && poissonTail(float64(n-1), expected*(failed[0].lastFailure-first+batchWindow).Seconds()) <= least {
			return true
		}
	}
	return false
}

// poissonTail is how likely n or more are where so many are expected.
func poissonTail(n, expected float64) float64 {
	if n <= max(0, expected) { // no less than about a half, and the sum below begins at its largest term
		return 1
	}
	lg, _ := math.Lgamma(n + 1)
	term := math.Exp(n*math.Log(max(expected, 1e-12)) - expected - lg)
	sum := 0.0
	for k := n; term > 1e-12 && k < n+200; k++ {
		sum += term
		term *= expected / (k + 1)
	}
	return min(1, sum)
}

// countBaselineFailure counts a failure that is told to a holder.
func (m *Member) countBaselineFailure(s *server) {
	if m.collects(s) {
		s.baseline.add(m.now)
	}
}

// reportFailure tells of a failure of own agents: to the holders, and to any once it is more than chance.
func (m *Member) reportFailure(s *server) {
	about := []Incarnation{{s.ID, s.StartedMS}}
	if m.settings.FormatVersion == 1 {
		if s.own.failures < float64(s.own.last)+0.5 {
			m.pollAbout(m.randomSubscribers(notifyFanout, s.source), about)
			m.notify(s.source)
		}
		return
	}
	m.countBaselineFailure(s)
	if s.lastCollectorNotice == 0 || m.now-s.lastCollectorNotice >= minCollectorNoticeInterval {
		s.lastCollectorNotice = m.now
		for _, to := range m.collectorsOf(s) {
			m.send(to, &Message{Notify: true, About: about})
		}
	}
	if (s.lastBroadcast == 0 || m.now-s.lastBroadcast >= minBroadcastInterval) && m.ownFailuresStandOut(s, s.own.successes, s.own.failures, s.own.streak) {
		s.lastBroadcast = m.now
		m.pollAbout(m.randomSubscribers(notifyFanout, s.source), about)
		m.notify(s.source)
	}
}

// collectorsOf are the members that hear of lone failures at a server, without this one.
func (m *Member) collectorsOf(s *server) []string {
	var top [collectorsPerServer]struct {
		rank uint64
		name string
	}
	if s.collectorsEpoch == m.membershipEpoch {
		return s.collectors
	}
	for _, n := range m.subscriberNames(s) {
		r := rendezvousRank(n, s.ID)
		for i := range top {
			if r > top[i].rank {
				copy(top[i+1:], top[i:])
				top[i].rank, top[i].name = r, n
				break
			}
		}
	}
	var all []string
	self := false
	for _, t := range top {
		if t.name == m.settings.Name {
			self = true
		} else if t.name != "" {
			all = append(all, t.name)
		}
	}
	if self && !s.isCollector {
		s.baseline = baselineCounter{since: m.now, span: int64(m.now / baselineSpan)}
	}
	s.isCollector, s.collectors, s.collectorsEpoch = self, all, m.membershipEpoch
	return all
}

// collects reports whether this member is one of them.
func (m *Member) collects(s *server) bool {
	m.collectorsOf(s)
	return s.isCollector
}

// onFailureNotice hears that a member has had failures: it is asked what it saw, since what comes unasked may be of any age.
func (m *Member) onFailureNotice(from string, about []Incarnation) {
	if m.now-m.noticePollsSince >= time.Second {
		m.noticePollsSince, m.noticePolls = m.now, 0
	}
	about = about[:min(maxPollSubjects, len(about))]
	about = slices.DeleteFunc(slices.Clone(about), func(l Incarnation) bool {
		s := m.servers[l.Server]
		return s == nil || s.StartedMS != l.StartedMS || s.out
	})
	if len(about) == 0 || m.noticePolls >= maxNoticePollsPerSecond {
		return
	}
	m.noticePolls++
	m.sendPolls([]string{from}, &Message{About: about, OwnOnly: true})
}
