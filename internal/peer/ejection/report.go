package ejection

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of outcome counts. A larger value pools more requests for
	// a decision, and takes past failures into account for longer.
	decayTime = 10 * time.Second
	// maxReportsPerServer is the number of reports of failing members kept for each server, and the same number of
	// reports of other members. It exceeds the number of reporters that any decision needs; a larger number costs
	// memory.
	maxReportsPerServer = 12
	// maxRecentReports is the number of recently received reports that responses include first.
	maxRecentReports = 64
	// linkProofGrace is the time before the start of a member's failures within which a success at another server still
	// proves that its link works. A larger value accepts members whose link has just broken.
	linkProofGrace = time.Second
	// maxOtherFailures is the maximum number of failures at other servers since a member's last success there: with two,
	// its own link is the more likely cause.
	maxOtherFailures = 1
	// minOtherSuccesses is the minimum decayed number of successes at other servers for a member's reports to count.
	minOtherSuccesses = 2
	// minFailureShareExcess is the minimum difference between a member's shares of failures at a server and at other
	// servers for the member to report a partial failure.
	minFailureShareExcess = 0.3
	// minFailureProbability is the lower bound for the estimated probability of a single failure by chance: no member
	// observes enough requests to conclude that failures are rarer.
	minFailureProbability = 0.02
	// maxCountedFailures is the maximum number of consecutive failures of one member that count: further failures
	// probably have the same cause.
	maxCountedFailures = 3
)

// decayedCounts are counts of outcomes that decay exponentially over decayTime.
type decayedCounts struct {
	successes, failures, errorResponses float64
	at                                  time.Duration // time up to which the counts are decayed
}

// decay decays the counts up to now.
func (c *decayedCounts) decay(now time.Duration) {
	weight := math.Exp(-float64(now-c.at) / float64(decayTime))
	c.successes *= weight
	c.failures *= weight
	c.errorResponses *= weight
	c.at = now
}

// failureShare returns the share of failures, or 0 without any outcomes.
func failureShare(failures, successes float64) float64 {
	return failures / max(failures+successes, 1e-9)
}

// report is one member's evidence about one process of a server, as received by this member. Times are by this member's
// clock and never later than the actual times; 0 means never. The fields are documented at Evidence.
type report struct {
	origin              string
	runID               uint64
	number              uint32
	startedMS           int64
	successes           float64
	failures            float64
	errorResponses      float64
	otherSuccesses      float64
	otherFailures       float64
	successRun          int // consecutive successes
	consecutiveFailures int
	observedAt          time.Duration // the newest outcome
	lastSuccess         time.Duration
	lastFailure         time.Duration
	failingSince        time.Duration // first failure since the last success
	otherSuccessAt      time.Duration
	otherFailuresSince  int
	rank                uint64 // rank of the origin by rendezvous hashing
}

func (r *report) failureShare() float64      { return failureShare(r.failures, r.successes) }
func (r *report) otherFailureShare() float64 { return failureShare(r.otherFailures, r.otherSuccesses) }

// failing reports whether the member's last outcome at the server was a failure.
func (r *report) failing() bool {
	return r.consecutiveFailures > 0 && r.lastFailure > 0 && r.lastSuccess <= r.failingSince
}

// reportsOutage reports whether the report is evidence of an outage: the member's last requests to the server failed
// while its own link works, as shown by a recent success at another server and at most maxOtherFailures failures at
// other servers since.
func (r *report) reportsOutage() bool {
	return r.failing() &&
		r.otherSuccessAt > 0 &&
		r.otherSuccessAt >= r.failingSince-linkProofGrace &&
		r.otherFailuresSince <= maxOtherFailures
}

// failsPartly reports whether requests fail far more often at the server than at other servers.
func (r *report) failsPartly() bool {
	return r.failures >= 0.5 &&
		r.otherSuccesses >= minOtherSuccesses &&
		r.failureShare()-r.otherFailureShare() >= minFailureShareExcess
}

// provesServerFault reports whether at least half of the failures were error responses, which a broken link can't
// cause.
func (r *report) provesServerFault() bool {
	return r.errorResponses > 0 && 2*r.errorResponses >= r.failures
}

// logLikelihood returns the logarithm of the probability that the consecutive failures occurred by chance, given the
// member's share of failures at other servers.
func (r *report) logLikelihood() float64 {
	probability := max(r.otherFailureShare(), minFailureProbability)
	if r.otherFailuresSince > 0 { // the member's link may just have broken
		probability = max(probability, 0.5)
	}
	return math.Log(probability) * float64(min(r.consecutiveFailures, maxCountedFailures))
}

// receivedReport is an entry of Member.recentReports.
type receivedReport struct {
	server *server
	report *report
}

// recordReport stores a report if it is newer than the one of the same origin. It returns whether the report was
// stored and other members may need it: it is the first of its origin, or an outage or a run of successes began or
// ended.
func (m *Member) recordReport(s *server, r *report) bool {
	r.rank = rendezvousRank(r.origin, s.ID)
	isNew := true
	if n := s.reportIndex(r.origin); n >= 0 {
		old := s.reports[n]
		if old.supersedes(r) {
			return false
		}
		isNew = old.reportsOutage() != r.reportsOutage() || (old.successRun == 0) != (r.successRun == 0)
		s.reports = slices.Delete(s.reports, n, n+1)
	}
	// Reports are in the same order at all members, so that all members forward the same reports first.
	at, _ := slices.BinarySearchFunc(s.reports, r.rank, func(o *report, rank uint64) int { return cmp.Compare(o.rank, rank) })
	s.reports = slices.Insert(s.reports, at, r)
	s.pruneReports(m)
	m.activate(s)
	m.recentReports = append(m.recentReports, receivedReport{s, r})
	if len(m.recentReports) > 2*maxRecentReports {
		m.recentReports = append(m.recentReports[:0], m.recentReports[maxRecentReports:]...)
	}
	return isNew && slices.Contains(s.reports, r)
}

// reportIndex returns the index of an origin's report, or -1 if the origin has no report.
func (s *server) reportIndex(origin string) int {
	return slices.IndexFunc(s.reports, func(r *report) bool { return r.origin == origin })
}

// supersedes reports whether a report is at least as new as another one of the same origin. Numbers are comparable only
// within one run of the origin.
func (r *report) supersedes(o *report) bool {
	if r.runID == o.runID {
		return o.number <= r.number
	}
	return o.observedAt <= r.observedAt
}

// pruneReports removes reports that are not needed. It keeps this member's own report, the newest reports of failing
// members, and the newest reports of other members with successes since the failures in those reports began.
func (s *server) pruneReports(m *Member) {
	var failingSince, lastSuccess []time.Duration
	for _, r := range s.reports {
		switch {
		case m.isExpired(r):
		case r.failing():
			failingSince = append(failingSince, r.failingSince)
		default:
			lastSuccess = append(lastSuccess, r.lastSuccess)
		}
	}
	oldestFailing := oldestRetained(failingSince)
	oldestSuccess := max(oldestFailing, oldestRetained(lastSuccess))
	s.reports = slices.DeleteFunc(s.reports, func(r *report) bool {
		switch {
		case r.origin == m.settings.Name:
			return false
		case m.isExpired(r):
			return true
		case r.failing():
			return r.failingSince < oldestFailing
		}
		return r.lastSuccess < oldestSuccess
	})
}

// oldestRetained returns the oldest of the newest maxReportsPerServer times, or 0 if there are no times.
func oldestRetained(times []time.Duration) time.Duration {
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if len(times) == 0 {
		return 0
	}
	return times[min(maxReportsPerServer, len(times))-1]
}

// isExpired reports whether a report is older than Settings.MaxEvidenceAge.
func (m *Member) isExpired(r *report) bool { return m.now-r.observedAt > m.settings.MaxEvidenceAge }

// currentReports returns the reports that count: those about the current process that have not expired and are newer
// than the last readmission.
func (s *server) currentReports(m *Member) []*report {
	var all []*report
	for _, r := range s.reports {
		if r.startedMS == s.StartedMS && !m.isExpired(r) && r.successes+r.failures > 0 && r.observedAt > s.evidenceVoidUntil {
			all = append(all, r)
		}
	}
	return all
}

// evidenceExpires returns when the newest failure of the current process expires.
func (s *server) evidenceExpires(m *Member) time.Duration {
	newest := time.Duration(0)
	for _, r := range s.reports {
		if r.startedMS == s.StartedMS {
			newest = max(newest, r.lastFailure)
		}
	}
	return newest + m.settings.MaxEvidenceAge
}

// hasOpenReports reports whether there is an ejection, a drain, or a report of failures.
func (s *server) hasOpenReports(m *Member) bool {
	if s.isEjected() || s.isDraining(m) {
		return true
	}
	return slices.ContainsFunc(s.reports, func(r *report) bool { return (r.failing() || r.failsPartly()) && !m.isExpired(r) })
}

// remoteReporters returns the number of other members that report an outage.
func (s *server) remoteReporters(m *Member) int {
	count := 0
	for _, r := range s.reports {
		if r.origin != m.settings.Name && r.reportsOutage() && !m.isExpired(r) {
			count++
		}
	}
	return count
}

// isAnomalous reports whether the reported failures of a server are unlikely by its baseline, according to the reports
// that this member has.
func (s *server) isAnomalous(m *Member) bool {
	if s.isEjected() {
		return true
	}
	if m.settings.FormatVersion == 1 {
		return len(s.outageReporters(m, s.currentReports(m), 2, 2)) > 0
	}
	return m.pooledFailuresStandOut(s)
}

// rendezvousRank returns the rank of a member for a server by highest random weight (Thaler & Ravishankar 1998). Ranks
// are the same at all members, and each server has a different order.
func rendezvousRank(member, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return mixBits(h.Sum64())
}

// mixBits is the finalizer of MurmurHash3. It is needed because in FNV the last bytes of a name affect only few bits.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
