package ejection

import (
	"slices"
	"time"
)

const (
	// collectorsPerServer is how many members collect a server's isolated failures. Larger finds bursts more surely and
	// costs messages with each failure.
	collectorsPerServer = 3
	// minCollectorNoticeInterval is the time between two notices of one member to a server's collectors.
	minCollectorNoticeInterval = time.Second
	// minBroadcastInterval is the time between two of its reports to random subscribers: half of them may be lost.
	minBroadcastInterval = 2 * time.Second
	// maxNoticePollsPerSecond bounds the polls that notices prompt, whoever sends them. Further ones are ignored: the
	// failures are then frequent enough to be found without them.
	maxNoticePollsPerSecond = 64
)

// reportFailure notifies the server's collectors of a failure of own agents, and random subscribers of failures that are
// unlikely by the baseline.
func (m *Member) reportFailure(s *server) {
	about := []Incarnation{s.incarnation()}
	if m.settings.FormatVersion == 1 {
		if s.own.failures < float64(s.own.lastSampleFailures)+0.5 { // the first failure after a while
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
	broadcastDue := s.lastBroadcast == 0 || m.now-s.lastBroadcast >= minBroadcastInterval
	if broadcastDue && m.ownFailuresStandOut(s, s.own.successes, s.own.failures, s.own.consecutiveFailures) {
		s.lastBroadcast = m.now
		m.pollAbout(m.randomSubscribers(notifyFanout, s.source), about)
		m.notify(s.source)
	}
}

// countBaselineFailure counts a failure where this member is a collector.
func (m *Member) countBaselineFailure(s *server) {
	if m.collects(s) {
		s.baseline.add(m.now)
	}
}

// rankedName is a member with its rank for a server.
type rankedName struct {
	rank uint64
	name string
}

// collectorsOf returns a server's collectors without this member: the subscribers of the highest rendezvous ranks.
func (m *Member) collectorsOf(s *server) []string {
	if s.collectorsEpoch == m.membershipEpoch {
		return s.collectors
	}
	var top [collectorsPerServer]rankedName
	for _, name := range m.subscriberNames(s) {
		rank := rendezvousRank(name, s.ID)
		for i := range top {
			if rank > top[i].rank {
				copy(top[i+1:], top[i:])
				top[i] = rankedName{rank, name}
				break
			}
		}
	}
	wasCollector := s.isCollector
	s.isCollector = false
	s.collectors = nil
	for _, t := range top {
		switch t.name {
		case "":
		case m.settings.Name:
			s.isCollector = true
		default:
			s.collectors = append(s.collectors, t.name)
		}
	}
	if s.isCollector && !wasCollector {
		s.baseline = newBaselineCounter(m.now)
	}
	s.collectorsEpoch = m.membershipEpoch
	return s.collectors
}

// collects reports whether this member is a collector of a server.
func (m *Member) collects(s *server) bool {
	m.collectorsOf(s)
	return s.isCollector
}

// onFailureNotice polls a member that had failures for its own evidence.
func (m *Member) onFailureNotice(from string, about []Incarnation) {
	if m.now-m.noticePollsSince >= time.Second {
		m.noticePollsSince = m.now
		m.noticePolls = 0
	}
	about = about[:min(maxPollSubjects, len(about))]
	about = slices.DeleteFunc(slices.Clone(about), func(i Incarnation) bool {
		s := m.servers[i.Server]
		return s == nil || s.StartedMS != i.StartedMS || s.isEjected()
	})
	if len(about) == 0 || m.noticePolls >= maxNoticePollsPerSecond {
		return
	}
	m.noticePolls++
	m.sendPolls([]string{from}, &Message{About: about, OwnOnly: true})
}
