package ejection

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// ejectionQuorum is the number of members that must report a server. In smaller fleets it is all other members, but
	// at least two. With a quorum of 2, two broken links would eject a server; a larger quorum detects failing servers
	// later.
	ejectionQuorum = 3
	// unresponsiveQuorum is the corresponding number if the reporters had no response; in smaller fleets it is two thirds
	// of the members. If half of the members are partitioned from a server, the probability of that many reports is 1 in
	// 1,024, and other members are polled in addition.
	unresponsiveQuorum = 10
	// maxChanceLikelihood is the maximum probability that the reporters' failures occur by chance, given each
	// reporter's failures at other servers. A larger value ejects sooner, and causes more wrong ejections while many
	// servers fail some requests.
	maxChanceLikelihood = 0.05

	// corroborationWait is the time in which other members can contradict the reports of an outage before the server is
	// ejected: several rounds of polls. With fastReporters reports it is fastCorroborationWait. A longer wait means more
	// failed requests; a shorter one means more wrong ejections: 25 a minute at 0.5% errors with a wait of 300 ms without
	// polling.
	corroborationWait     = 700 * time.Millisecond
	fastReporters         = 6
	fastCorroborationWait = 250 * time.Millisecond

	// minPartialShare is the minimum share of failed requests, over all reports, for a partial failure. A smaller share
	// detects lighter faults, but also ejects servers that are only overloaded.
	minPartialShare = 0.15
	// minPartialFailures is the minimum number of failures for a partial failure.
	minPartialFailures = 8
	// minPartialRequests is the number of requests of a member from which its share of failures is compared with
	// others'.
	minPartialRequests = 5
	// minPartialReporters is the minimum number of such members.
	minPartialReporters = 4
	// minPartialExcess is added to twice the share of failures at other servers. A partial failure must exceed the sum.
	minPartialExcess = 0.05
)

// finding is a reason to eject a server.
type finding struct {
	reporters     []string      // names, ascending
	reason        string        // for operators
	wait          time.Duration // time for other members to contradict
	unresponsive  bool          // fewer reporters than the quorum had a response from the server
	failuresBegan time.Duration // first failure of any reporter; 0 for a partial failure
}

// pooledOutcomes holds sums over the reports of members with enough successes at other servers.
type pooledOutcomes struct {
	successes, failures, errorResponses float64
	otherSuccesses, otherFailures       float64
	reporters                           []*report // with error responses, and a larger share of failures than at other servers
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

// requiredReporters returns the number of members that must report a server.
func (m *Member) requiredReporters(s *server) int {
	return max(2, min(ejectionQuorum, len(m.subscriberNames(s))-1))
}

// requiredUnresponsiveReporters returns the number of members that must report a server that did not respond to them.
func (m *Member) requiredUnresponsiveReporters(s *server) int {
	return unresponsiveReportersOf(len(m.subscriberNames(s)))
}

// unresponsiveReportersOf returns the required number of such reporters for a number of members. In a small fleet it
// exceeds half of the members, so that a partition of half of them is not enough.
func unresponsiveReportersOf(members int) int {
	return max(2, min(ejectionQuorum, members-1), min(unresponsiveQuorum, (2*members+2)/3))
}

// detect reports whether a server should be ejected, and the reason.
func (m *Member) detect(s *server, reports []*report) (finding, bool) {
	pool := poolOutcomes(reports)
	s.failureShare = failureShare(pool.failures, pool.successes)
	if found, ok := m.detectOutage(s, reports); ok {
		return found, true
	}
	return m.detectPartialFailure(s, reports, pool)
}

// detectOutage detects a server that fails all requests.
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

// detectPartialFailure detects a server that answers a share of all requests with errors. Failures without a response,
// and failures that some members always have and others never have, may be caused by links; they don't count as a
// partial failure.
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

// outageReporters returns the reports of members for which a server fails all requests. It returns as many as possible,
// ordered by the start of the failures, the latest first, such that no member had a success after the first of these
// failures began. At least required of the reports must prove that the server is at fault. Otherwise at least
// requiredUnresponsive reports from independent localities are needed, so that broken links can't be the cause.
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

// succeededSince reports whether a member that is not failing had a success after that time.
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
