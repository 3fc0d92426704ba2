package ejection

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// decayTime is the time constant with which counts of outcomes decay. Larger pools more requests for a decision, and
	// remembers longer what is over.
	decayTime = 10 * time.Second
	// maxReportsPerServer is how many reports of failing members are kept of a server, and as many of others. It is above
	// every number of reporters that a decision needs; larger costs memory.
	maxReportsPerServer = 12
	// maxRecentReports is how many of the last reports received go into the next responses first.
	maxRecentReports = 64
	// linkProofGrace is how long before a member's failures a success elsewhere still proves that its link works. Larger
	// accepts members whose link has just broken.
	linkProofGrace = time.Second
	// maxOtherFailures is how many other servers may have failed a member since its last success elsewhere: at two,
	// its own link is the likelier cause.
	maxOtherFailures = 1
	// minOtherSuccesses is how many (decayed) successes elsewhere a member needs for its reports to count.
	minOtherSuccesses = 2
	// minFailureShareExcess is how far a member's share of failures at a server has to exceed that elsewhere for it to
	// report a partial failure.
	minFailureShareExcess = 0.3
	// minFailureProbability bounds how unlikely a single failure may be taken to be, by how a member fares elsewhere: no
	// member observes enough to know that failures are rarer.
	minFailureProbability = 0.02
	// maxCountedFailures is how many consecutive failures of one member count: more of them are one cause.
	maxCountedFailures = 3
)

// decayedCounts are counts of outcomes that decay exponentially over decayTime.
type decayedCounts struct {
	successes, failures, errorResponses float64
	at                                  time.Duration // decayed up to then
}

// decay brings the counts up to now.
func (c *decayedCounts) decay(now time.Duration) {
	weight := math.Exp(-float64(now-c.at) / float64(decayTime))
	c.successes *= weight
	c.failures *= weight
	c.errorResponses *= weight
	c.at = now
}

// failureShare returns the share of failures, 0 of nothing.
func failureShare(failures, successes float64) float64 {
	return failures / max(failures+successes, 1e-9)
}

// report is one member's evidence about one process of a server, as it is known here. Times are by this member's clock,
// and not later than the truth; 0 stands for never. Evidence documents the fields.
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
	rank                uint64 // of its origin, by rendezvous hashing
}

func (r *report) failureShare() float64      { return failureShare(r.failures, r.successes) }
func (r *report) otherFailureShare() float64 { return failureShare(r.otherFailures, r.otherSuccesses) }

// failing reports whether the member's last outcome at the server was a failure.
func (r *report) failing() bool {
	return r.consecutiveFailures > 0 && r.lastFailure > 0 && r.lastSuccess <= r.failingSince
}

// reportsOutage reports whether a member is a reporter of an outage: its last requests failed, and its own link works,
// because another server succeeded lately and hardly any failed after that.
func (r *report) reportsOutage() bool {
	return r.failing() &&
		r.otherSuccessAt > 0 &&
		r.otherSuccessAt >= r.failingSince-linkProofGrace &&
		r.otherFailuresSince <= maxOtherFailures
}

// failsPartly reports whether requests fail far oftener at the server than elsewhere, if not always.
func (r *report) failsPartly() bool {
	return r.failures >= 0.5 &&
		r.otherSuccesses >= minOtherSuccesses &&
		r.failureShare()-r.otherFailureShare() >= minFailureShareExcess
}

// provesServerFault reports whether most of the failures were error responses: a link loses requests, but does not answer
// them.
func (r *report) provesServerFault() bool {
	return r.errorResponses > 0 && 2*r.errorResponses >= r.failures
}

// logLikelihood returns the logarithm of how likely the consecutive failures are by chance, given how the member fares
// elsewhere.
func (r *report) logLikelihood() float64 {
	probability := max(r.otherFailureShare(), minFailureProbability)
	if r.otherFailuresSince > 0 { // its link may just have broken
		probability = max(probability, 0.5)
	}
	return math.Log(probability) * float64(min(r.consecutiveFailures, maxCountedFailures))
}

// receivedReport is a report in the order of arrival.
type receivedReport struct {
	server *server
	report *report
}

// recordReport keeps a report if it is newer than the one of the same origin. It reports whether it was kept and says
// something new: of another origin, of an outage that began or ended, of successes that began or ended.
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
	// The order is the same at all members, so that all forward the same reports first.
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

// reportIndex returns the index of an origin's report, -1 if there is none.
func (s *server) reportIndex(origin string) int {
	return slices.IndexFunc(s.reports, func(r *report) bool { return r.origin == origin })
}

// supersedes reports whether a report is at least as new as another one of the same origin. Numbers compare within one
// run of the origin only.
func (r *report) supersedes(o *report) bool {
	if r.runID == o.runID {
		return o.number <= r.number
	}
	return o.observedAt <= r.observedAt
}

// pruneReports keeps, besides this member's own, the newest reports of failing members, and the newest of the others that
// speak of a time since any of these.
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

// oldestRetained returns the oldest of the newest maxReportsPerServer times, 0 if there is none.
func oldestRetained(times []time.Duration) time.Duration {
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if len(times) == 0 {
		return 0
	}
	return times[min(maxReportsPerServer, len(times))-1]
}

// isExpired reports whether a report is too old to be considered.
func (m *Member) isExpired(r *report) bool { return m.now-r.observedAt > m.settings.MaxEvidenceAge }

// currentReports returns the reports that count: of the current process, not expired, and not void by a readmission.
func (s *server) currentReports(m *Member) []*report {
	var all []*report
	for _, r := range s.reports {
		if r.startedMS == s.StartedMS && !m.isExpired(r) && r.successes+r.failures > 0 && r.observedAt > s.evidenceVoidUntil {
			all = append(all, r)
		}
	}
	return all
}

// evidenceExpires returns when the newest failure of the current process is too old to be considered.
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

// remoteReporters returns how many other members report an outage.
func (s *server) remoteReporters(m *Member) int {
	count := 0
	for _, r := range s.reports {
		if r.origin != m.settings.Name && r.reportsOutage() && !m.isExpired(r) {
			count++
		}
	}
	return count
}

// isAnomalous reports whether what is reported of a server is unlikely to be its baseline, as far as is known here.
func (s *server) isAnomalous(m *Member) bool {
	if s.isEjected() {
		return true
	}
	if m.settings.FormatVersion == 1 {
		return len(s.outageReporters(m, s.currentReports(m), 2, 2)) > 0
	}
	return m.pooledFailuresStandOut(s)
}

// rendezvousRank ranks members for a server by highest random weight (Thaler & Ravishankar 1998): the same at all
// members, another order for each server.
func rendezvousRank(member, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return mixBits(h.Sum64())
}

// mixBits is the finalizer of MurmurHash3: FNV spreads differences in the last bytes of names over few bits only.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
