package ejection

import (
	"slices"
	"time"
)

const (
	// collectorsPerServer is the number of members that collect a server's isolated failures. More collectors find
	// bursts more reliably and cost more messages with each failure.
	collectorsPerServer = 3
	// minCollectorNoticeInterval is the minimum time between two notices of a member to a server's collectors.
	minCollectorNoticeInterval = time.Second
	// minBroadcastInterval is the minimum time between two reports of a member to random subscribers. Reports are
	// repeated because half of the messages may be lost.
	minBroadcastInterval = 2 * time.Second
	// maxNoticePollsPerSecond is the maximum number of polls that notices of all members prompt. Further notices are
	// ignored, because failures are then frequent enough to be detected without them.
	maxNoticePollsPerSecond = 64
)

// reportFailure notifies a server's collectors of a failure that this member's agents observed. If the failures are
// unlikely by the baseline, it also polls and notifies random subscribers.
func (m *Member) reportFailure(s *server) {
	about := []ServerProcess{s.incarnation()}
	if m.settings.FormatVersion == 1 {
		if s.own.failures < float64(s.own.lastSampleFailures)+0.5 { // without this sample, the decayed count is below 0.5
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

// countBaselineFailure counts a failure for the baseline if this member is a collector of the server.
func (m *Member) countBaselineFailure(s *server) {
	if m.collects(s) {
		s.baseline.add(m.now)
	}
}

// rankedName is a member's name with the member's rank for a server.
type rankedName struct {
	rank uint64
	name string
}

// collectorsOf returns a server's collectors other than this member. Collectors are the subscribers with the highest
// rendezvous ranks.
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

// onFailureNotice handles a notice of a member that observed failures: it polls the member for its own evidence.
func (m *Member) onFailureNotice(from string, about []ServerProcess) {
	if m.now-m.noticePollsSince >= time.Second {
		m.noticePollsSince = m.now
		m.noticePolls = 0
	}
	about = about[:min(maxPollSubjects, len(about))]
	about = slices.DeleteFunc(slices.Clone(about), func(i ServerProcess) bool {
		s := m.servers[i.Server]
		return s == nil || s.StartedMS != i.StartedMS || s.isEjected()
	})
	if len(about) == 0 || m.noticePolls >= maxNoticePollsPerSecond {
		return
	}
	m.noticePolls++
	m.sendPolls([]string{from}, &Message{About: about, OwnOnly: true})
}
