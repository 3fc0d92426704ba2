package ejection

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Evidence is one member's own evidence about one process of a server. Ages are in ms, as the answer was made: how long
// ago something was, at the most.
type Evidence struct {
	Server               string  `cbor:"1,keyasint,omitempty"`
	StartedMS            int64   `cbor:"2,keyasint,omitempty"`
	Origin               string  `cbor:"3,keyasint,omitempty"`
	RunID                uint64  `cbor:"4,keyasint,omitempty"`
	Number               uint32  `cbor:"5,keyasint,omitempty"` // grows with each change at the origin
	Succeeded            float32 `cbor:"6,keyasint,omitempty"` // faded counts
	Failed               float32 `cbor:"7,keyasint,omitempty"`
	OtherSucceeded       float32 `cbor:"8,keyasint,omitempty"` // of all other servers
	OtherFailed          float32 `cbor:"9,keyasint,omitempty"`
	ConsecutiveSuccesses int     `cbor:"10,keyasint,omitempty"` // answers since the last failure
	AgeMS                uint32  `cbor:"11,keyasint,omitempty"` // of the newest sight in it
	LastSuccessAgeMS     uint32  `cbor:"12,keyasint,omitempty"` // 0: none
	LastFailureAgeMS     uint32  `cbor:"13,keyasint,omitempty"`
	FirstFailureAgeMS    uint32  `cbor:"14,keyasint,omitempty"` // the first failure since the last answer
	ConsecutiveFailures  int     `cbor:"15,keyasint,omitempty"` // failures since the last answer
	OtherSuccessAgeMS    uint32  `cbor:"16,keyasint,omitempty"` // the last answer of any other server; 0: none
	OtherFailuresSince   int     `cbor:"17,keyasint,omitempty"` // failures at other servers since then
	ErrorResponses       float32 `cbor:"18,keyasint,omitempty"` // of Bad, those that the server said itself
	BaselineFailureRate  float32 `cbor:"19,keyasint,omitempty"` // failures a second at the server that are chance, by a holder's count; the teller's word, not the origin's
}

// Drain is a list's word that a server drains or is gone, as one member heard it.
type Drain struct {
	Server    string      `cbor:"1,keyasint,omitempty"`
	StartedMS int64       `cbor:"2,keyasint,omitempty"`
	State     ListedState `cbor:"3,keyasint,omitempty"`
	AgeMS     uint32      `cbor:"4,keyasint,omitempty"` // ms since then, at the most
}

// decayedCounts is faded counts.
type decayedCounts struct {
	successes, failures, errorResponses float64
	at                                  time.Duration
}

func (t *decayedCounts) decay(now time.Duration) {
	w := math.Exp(-float64(now-t.at) / float64(decayTime))
	t.successes, t.failures, t.errorResponses, t.at = t.successes*w, t.failures*w, t.errorResponses*w, now
}

// report is a member's evidence as it is known here. Times are by this member's clock, and no later than true.
type report struct {
	origin                              string
	runID                               uint64
	number                              uint32
	startedMS                           int64
	successes, failures, errorResponses float64
	otherSuccesses, otherFailures       float64
	successRun                          int
	observedAt                          time.Duration // the newest sight in it
	lastSuccess, lastFailure            time.Duration // 0: none
	failingSince                        time.Duration
	consecutiveFailures                 int
	otherSuccessAt                      time.Duration
	otherFailuresSince                  int
	arrived                             time.Duration // here
	rank                                uint64
}

// server is one that is listed.
type server struct {
	Server
	source string
	own    struct {
		decayedCounts
		run, streak     int
		lastOK, lastBad time.Duration
		began           time.Duration
		made            time.Duration
		last            int // failures in the last sight
	}
	reports []*report // of others, and of this member where it has something to say
	ejectionState
	needsEvaluation     bool            // to be looked at
	active              bool            // among those that are gone through
	lastBroadcast       time.Duration   // this member last told any others of its failures there ...
	lastCollectorNotice time.Duration   // ... or the holders
	collectors          []string        // who else holds it ...
	isCollector         bool            // ... and whether this member does ...
	collectorsEpoch     int             // ... by the members of that number
	baseline            baselineCounter // as a holder
	receivedBaseline    float64         // failures a second that are chance, by a holder's word
	receivedBaselineAt  time.Duration
	evaluateAt          time.Duration // and by then at the latest; 0: no need
	anomalous           bool          // see hot, when it was last looked at
	ownReportAt         time.Duration // this member's own voice was last made
	failureDomains      [2]int        // its zone's and its pod's number
	drainState          ListedState   // told by others or by the own list, ahead of another's
	drainedAt           time.Duration // when it was first heard by anyone, at the earliest; 0: never
}

// onListUpdated takes a list. A server of which it says something else than before, in a running process, is news.
func (m *Member) onListUpdated(e ListUpdated) {
	seen := map[string]bool{}
	_, again := m.sources[e.Source]
	var ids []string
	for _, l := range e.Servers {
		seen[l.ID] = true
		ids = append(ids, l.ID)
		s := m.servers[l.ID]
		if s == nil {
			if len(m.servers) >= maxServers {
				continue
			}
			s = &server{Server: l, source: e.Source}
			m.servers[l.ID] = s
			at, _ := slices.BinarySearch(m.order, l.ID)
			m.order = slices.Insert(m.order, at, l.ID)
			continue
		}
		was := s.Server
		if l.StartedMS != was.StartedMS { // another process: what was known of the last one is nothing to it
			*s = server{Server: l, source: e.Source, active: s.active}
		}
		s.Server, s.source = l, e.Source
		if l.StartedMS == was.StartedMS && was.State == Up && l.State != Up && again {
			m.noteDrain(s, l.State)
		}
	}
	for _, id := range m.sources[e.Source] {
		if s := m.servers[id]; s != nil && !seen[id] {
			if s.State == Up {
				m.noteDrain(s, Removed)
			}
			s.State = Removed
		}
	}
	for id, s := range m.servers { // what is gone is kept while others may need to hear of it
		if s.State == Removed && !seen[id] && (s.drainedAt == 0 || m.now-s.drainedAt > m.settings.MaxDrainAge) {
			delete(m.servers, id)
			if at, ok := slices.BinarySearch(m.order, id); ok {
				m.order = slices.Delete(m.order, at, at+1)
			}
		}
	}
	if !again {
		at, _ := slices.BinarySearch(m.sourceNames, e.Source)
		m.sourceNames = slices.Insert(m.sourceNames, at, e.Source)
	}
	m.sources[e.Source] = ids
	m.assignFailureDomains()
}

// assignFailureDomains numbers zones and pods, and counts what is up in each.
func (m *Member) assignFailureDomains() {
	numbers := map[string]int{}
	m.upServers = m.upServers[:0]
	m.active = m.active[:0]
	for _, id := range m.order {
		s := m.servers[id]
		s.active = false
		m.requestEvaluation(s)
		for n, name := range []string{fmt.Sprint("zone ", s.source, "/", s.Zone), fmt.Sprint("pod ", s.source, "/", s.Pod)} {
			g, ok := numbers[name]
			if !ok {
				g = len(numbers)
				numbers[name] = g
				m.upServers = append(m.upServers, 0)
			}
			s.failureDomains[n] = g
			if s.State == Up {
				m.upServers[g]++
			}
		}
	}
}

// noteDrain notes that the own list says that a server drains or is gone.
func (m *Member) noteDrain(s *server, to ListedState) {
	if s.drainedAt == 0 {
		s.drainedAt = m.now
	}
	s.drainState = max(s.drainState, to)
	m.activate(s)
	m.noteUpdate()
}

// onOutcomesObserved counts what own agents saw.
func (m *Member) onOutcomesObserved(e OutcomesObserved) {
	for _, x := range e.Samples {
		s := m.servers[x.Server]
		if s == nil || s.StartedMS != x.StartedMS || x.Succeeded+x.Failed <= 0 {
			continue
		}
		m.total.decay(m.now)
		m.total.successes += float64(x.Succeeded)
		m.total.failures += float64(x.Failed)
		o := &s.own
		o.decay(m.now)
		o.successes += float64(x.Succeeded)
		o.failures += float64(x.Failed)
		o.errorResponses += float64(min(x.ErrorResponses, x.Failed))
		o.made, o.last = m.now, x.Failed
		m.recordOutcomes(s.ID, x)
		m.countBackground(s.source, x)
		if x.Succeeded > 0 {
			o.lastOK, o.run, o.streak = m.now, o.run+x.Succeeded, 0
		}
		if x.Failed > 0 {
			if o.began <= o.lastOK || o.began == 0 {
				o.began = m.now
			}
			o.lastBad, o.run, o.streak = m.now, 0, o.streak+x.Failed
			if x.Succeeded > 0 {
				o.began = m.now
			}
		}
		if x.Failed > 0 || s.hasOpenReports(m) {
			m.refreshOwnReport(s)
			m.requestEvaluation(s)
			switch {
			case s.out && (x.Succeeded > 0) == (s.readmittingSince == 0):
				m.noteUpdate()
			case !s.out && x.Failed > 0:
				m.reportFailure(s)
			}
		}
	}
}

// recentOutcome is how a request ended.
type recentOutcome struct {
	server    string
	succeeded bool
	at        time.Duration
}

// recordOutcomes keeps the last few ends.
func (m *Member) recordOutcomes(server string, x OutcomeSample) {
	for range min(x.Succeeded, maxRecentOutcomes/2) {
		m.recentOutcomes = append(m.recentOutcomes, recentOutcome{server, true, m.now})
	}
	for range min(x.Failed, maxRecentOutcomes/2) {
		m.recentOutcomes = append(m.recentOutcomes, recentOutcome{server, false, m.now})
	}
	if n := len(m.recentOutcomes); n > 2*maxRecentOutcomes {
		m.recentOutcomes = append(m.recentOutcomes[:0], m.recentOutcomes[n-maxRecentOutcomes:]...)
	}
}

// otherServers is when any other server last answered, and how many requests to others have failed since.
func (m *Member) otherServers(server string) (works time.Duration, since int) {
	for i := len(m.recentOutcomes) - 1; i >= 0; i-- {
		e := m.recentOutcomes[i]
		switch {
		case e.server == server:
		case e.succeeded:
			return e.at, since
		default:
			since++
		}
	}
	return 0, since
}

// refreshOwnReport makes this member's own voice what it has seen.
func (m *Member) refreshOwnReport(s *server) {
	o := &s.own
	if o.made == 0 {
		return
	}
	s.ownReportAt = m.now
	o.decay(m.now)
	m.total.decay(m.now)
	m.reportNumber++ // it may have been asked elsewhere since
	v := &report{origin: m.settings.Name, runID: m.settings.RunID, number: m.reportNumber, startedMS: s.StartedMS, successes: o.successes, failures: o.failures, errorResponses: o.errorResponses, successRun: o.run, observedAt: o.made, lastSuccess: o.lastOK, lastFailure: o.lastBad, failingSince: o.began, consecutiveFailures: o.streak,
		otherSuccesses: max(0, m.total.successes-o.successes), otherFailures: max(0, m.total.failures-o.failures), arrived: m.now}
	v.otherSuccessAt, v.otherFailuresSince = m.otherServers(s.ID)
	m.recordReport(s, v)
}

// hasOpenReports reports whether something is said against a server, or was lately.
func (s *server) hasOpenReports(m *Member) bool {
	if s.out || s.drainedAt > 0 && m.now-s.drainedAt <= m.settings.MaxDrainAge {
		return true
	}
	return slices.ContainsFunc(s.reports, func(v *report) bool {
		return (v.failing() || v.failsPartly()) && m.now-v.observedAt <= m.settings.MaxEvidenceAge
	})
}

// isAnomalous reports whether what is said against a server is more than chance, as far as is known here.
func (s *server) isAnomalous(m *Member) bool {
	if m.settings.FormatVersion == 1 {
		dead, _ := s.outrightReporters(m, s.currentReports(m), 2, 2)
		return s.out || len(dead) > 0
	}
	return s.out || m.pooledFailuresStandOut(s)
}

// otherReporters is how many others accuse a server.
func (s *server) otherReporters(m *Member) (n int) {
	for _, v := range s.reports {
		if v.origin != m.settings.Name && v.reportsOutage() && m.now-v.observedAt <= m.settings.MaxEvidenceAge {
			n++
		}
	}
	return n
}

// recordReport books a voice: the newest of each member, and of many members the newest, as prune says. It reports whether the
// voice was news.
func (m *Member) recordReport(s *server, v *report) bool {
	v.rank = rendezvousRank(v.origin, s.ID)
	news := true
	if n := slices.IndexFunc(s.reports, func(o *report) bool { return o.origin == v.origin }); n >= 0 {
		o := s.reports[n]
		if o.runID == v.runID && v.number <= o.number || o.runID != v.runID && v.observedAt <= o.observedAt {
			return false
		}
		news = o.reportsOutage() != v.reportsOutage() || (o.successRun == 0) != (v.successRun == 0)
		s.reports = slices.Delete(s.reports, n, n+1)
	}
	// In one order everywhere: members then tell on the same ones first.
	at, _ := slices.BinarySearchFunc(s.reports, v.rank, func(o *report, r uint64) int { return cmp.Compare(o.rank, r) })
	s.reports = slices.Insert(s.reports, at, v)
	s.pruneReports(m)
	m.activate(s)
	if m.recentReports = append(m.recentReports, receivedReport{s, v}); len(m.recentReports) > 2*maxRecentReports {
		m.recentReports = append(m.recentReports[:0], m.recentReports[maxRecentReports:]...)
	}
	return news && slices.Contains(s.reports, v)
}

// pruneReports keeps the newest voices against a server, and the newest for it that speak of a time since any of these.
func (s *server) pruneReports(m *Member) {
	var bad, good []time.Duration
	for _, o := range s.reports {
		if m.now-o.observedAt > m.settings.MaxEvidenceAge {
			continue
		}
		if o.failing() {
			bad = append(bad, o.failingSince)
		} else {
			good = append(good, o.lastSuccess)
		}
	}
	least := func(all []time.Duration) time.Duration { // of those kept
		slices.SortFunc(all, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		if len(all) == 0 {
			return 0
		}
		return all[min(maxReportsPerServer, len(all))-1]
	}
	from := least(bad)
	since := max(from, least(good))
	s.reports = slices.DeleteFunc(s.reports, func(o *report) bool {
		switch {
		case o.origin == m.settings.Name:
			return false
		case m.now-o.observedAt > m.settings.MaxEvidenceAge:
			return true
		case o.failing():
			return o.failingSince < from
		}
		return o.lastSuccess < since
	})
}

// rendezvousRank orders members for a server, each server in another order.
func rendezvousRank(member, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return mixBits(h.Sum64())
}

// mixBits spreads over all bits in what the last bytes of names differ.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
