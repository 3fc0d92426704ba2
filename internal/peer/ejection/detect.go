package ejection

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// ejectionQuorum is how many members have to report a server, or all others in smaller fleets, two at least. With 2,
	// two broken links eject a server; larger finds failing servers later.
	ejectionQuorum = 3
	// unresponsiveQuorum is the same where the reporters had no response, or two thirds of smaller fleets: with half of the
	// members cut off from a server, that many reports in a row are one chance in 1,024, and other members are polled besides.
	unresponsiveQuorum = 10
	// maxChanceLikelihood is how likely the reporters' failures may be by chance, given how each fares elsewhere. Larger
	// ejects sooner, and more servers wrongly while many fail a little.
	maxChanceLikelihood = 0.05

	// corroborationWait is how long other members may contradict the reports of an outage before the server is ejected:
	// several rounds of polls. With fastReporters reports it is fastCorroborationWait. Larger means more requests that fail,
	// smaller more wrong ejections (25 a minute at 0.5% errors in a trial that waited 300 ms and polled nobody).
	corroborationWait     = 700 * time.Millisecond
	fastReporters         = 6
	fastCorroborationWait = 250 * time.Millisecond

	// minPartialShare is the share of failed requests from which a server fails in part, over all reports. Smaller finds
	// lighter faults and takes overload for them.
	minPartialShare = 0.15
	// minPartialFailures is how many failures that takes.
	minPartialFailures = 8
	// minPartialRequests is how many requests of a member tell whether the server fails it about as often as others.
	minPartialRequests = 5
	// minPartialReporters is how many such members are needed.
	minPartialReporters = 4
	// minPartialExcess is added to twice the share of failures elsewhere, which a partial failure has to exceed.
	minPartialExcess = 0.05
)

// finding is a reason to eject a server.
type finding struct {
	reporters     []string      // ascending
	reason        string        // for operators
	wait          time.Duration // for others to contradict
	unresponsive  bool          // fewer reporters than the quorum had a response from it
	failuresBegan time.Duration // the first failure of any reporter; 0 for a partial failure
}

// pooledOutcomes are sums over the reports of members that fare well enough elsewhere.
type pooledOutcomes struct {
	successes, failures, errorResponses float64
	otherSuccesses, otherFailures       float64
	reporters                           []*report // those that had error responses, and more failures than elsewhere
}

func poolOutcomes(reports []*report) pooledOutcomes {
	var p pooledOutcomes
	for _, r := range reports {
		if r.otherSuccesses < minOtherSuccesses {
			continue
		}
		p.successes += r.successes
		p.failures += r.failures
		p.errorResponses += r.errorResponses
		p.otherSuccesses += r.otherSuccesses
		p.otherFailures += r.otherFailures
		if r.errorResponses >= 0.5 && r.failureShare() > r.otherFailureShare() {
			p.reporters = append(p.reporters, r)
		}
	}
	return p
}

// requiredReporters returns how many members have to report a server.
func (m *Member) requiredReporters(s *server) int {
	return max(2, min(ejectionQuorum, len(m.subscriberNames(s))-1))
}

// requiredUnresponsiveReporters returns how many are required where the server did not respond to them.
func (m *Member) requiredUnresponsiveReporters(s *server) int {
	return unresponsiveReportersOf(len(m.subscriberNames(s)))
}

// unresponsiveReportersOf returns how many are required of that many members: more than a partition of half of them leaves.
func unresponsiveReportersOf(members int) int {
	return max(2, min(ejectionQuorum, members-1), min(unresponsiveQuorum, (2*members+2)/3))
}

// detect reports whether, and why, a server should be ejected.
func (m *Member) detect(s *server, reports []*report) (finding, bool) {
	pool := poolOutcomes(reports)
	s.failureShare = failureShare(pool.failures, pool.successes)
	if found, ok := m.detectOutage(s, reports); ok {
		return found, true
	}
	return m.detectPartialFailure(s, reports, pool)
}

// detectOutage finds a server that fails all requests.
func (m *Member) detectOutage(s *server, reports []*report) (finding, bool) {
	required := m.requiredReporters(s)
	reporters := s.outageReporters(m, reports, required, m.requiredUnresponsiveReporters(s))
	if len(reporters) == 0 {
		return finding{}, false
	}
	found := finding{
		reporters:     origins(reporters),
		reason:        fmt.Sprintf("fails for %d members, answers 0", len(reporters)),
		wait:          corroborationWait,
		unresponsive:  countProofs(reporters) < required,
		failuresBegan: m.now,
	}
	for _, r := range reporters {
		found.failuresBegan = min(found.failuresBegan, r.failingSince)
	}
	enough := min(fastReporters, max(required, len(m.subscriberNames(s))-1))
	switch {
	case len(reporters) >= enough:
		found.wait = fastCorroborationWait
	case len(reports) < enough: // reports arrive slowly
		found.wait = 2 * corroborationWait
	}
	return found, true
}

// detectPartialFailure finds a server that answers a share of all requests with errors. Failures without a response
// may be the link's, and eject nobody here; so may failures that some members always have and others never.
func (m *Member) detectPartialFailure(s *server, reports []*report, pool pooledOutcomes) (finding, bool) {
	minShare := max(minPartialShare, 2*failureShare(pool.otherFailures, pool.otherSuccesses)+minPartialExcess)
	if 2*pool.errorResponses < pool.failures ||
		len(pool.reporters) < m.requiredReporters(s) ||
		s.failureShare < minShare ||
		pool.failures < minPartialFailures {
		return finding{}, false
	}
	observers, alike := 0, 0
	for _, r := range reports {
		if r.successes+r.failures < minPartialRequests || r.otherSuccesses < minOtherSuccesses {
			continue
		}
		observers++
		if r.failureShare() >= s.failureShare/3 && r.failureShare() <= 1-(1-s.failureShare)/3 {
			alike++
		}
	}
	if observers < min(minPartialReporters, len(m.subscriberNames(s))-1) || 5*alike < 4*observers { // four fifths
		return finding{}, false
	}
	return finding{
		reporters: origins(pool.reporters),
		reason:    fmt.Sprintf("fails %.0f%% of its requests", 100*s.failureShare),
		wait:      2 * corroborationWait,
	}, true
}

// outageReporters returns the members for which a server fails all requests: as many as possible, those whose failures
// began last first, such that no member is known to have had a success since the first of them began to fail. At least
// required of them have to prove that the server is at fault; else it takes requiredUnresponsive of independent
// localities, so that it cannot be their links.
func (s *server) outageReporters(m *Member, reports []*report, required, requiredUnresponsive int) []*report {
	var failing []*report
	for _, r := range reports {
		if r.reportsOutage() {
			failing = append(failing, r)
		}
	}
	slices.SortStableFunc(failing, func(a, b *report) int { return cmp.Compare(b.failingSince, a.failingSince) })
	for n := len(failing); n >= required; n-- {
		candidates := failing[:n]
		if countProofs(candidates) < required && (n < requiredUnresponsive || !m.independentLocalities(s, candidates)) {
			break
		}
		if !succeededSince(reports, candidates[n-1].failingSince) && jointLogLikelihood(candidates) <= math.Log(maxChanceLikelihood) {
			return candidates
		}
	}
	return nil
}

// succeededSince reports whether any member whose requests do not fail had a success after that time.
func succeededSince(reports []*report, since time.Duration) bool {
	return slices.ContainsFunc(reports, func(r *report) bool { return !r.failing() && r.lastSuccess > since })
}

func jointLogLikelihood(reports []*report) float64 {
	sum := 0.0
	for _, r := range reports {
		sum += r.logLikelihood()
	}
	return sum
}

func countProofs(reports []*report) int {
	count := 0
	for _, r := range reports {
		if r.provesServerFault() {
			count++
		}
	}
	return count
}

func origins(reports []*report) []string {
	var names []string
	for _, r := range reports {
		names = append(names, r.origin)
	}
	slices.Sort(names)
	return names
}
