package ejection

import (
	"slices"
	"time"
)

const (
	// pollFanout is the number of members that an alerted member polls at a time. A larger fanout spreads reports in
	// fewer rounds and costs proportionally more messages.
	pollFanout = 2
	// notifyFanout is the number of members that are notified of an update. With 3, updates reach all members of the
	// fleet within log n rounds even if half of the messages are lost.
	notifyFanout = 3
	// alertDuration is the time for which a member stays alerted after an update: several alert intervals.
	alertDuration = time.Second
	// minNotifyInterval and minPromptedPollInterval are the initial intervals between two rounds of notifications, and
	// between two polls that notifications prompt. Smaller intervals are faster for the first report and cost more
	// messages in bursts.
	minNotifyInterval       = 50 * time.Millisecond
	minPromptedPollInterval = 20 * time.Millisecond
	// maxBackoff bounds both intervals, which double while updates keep arriving. It bounds the delay in a storm of
	// updates.
	maxBackoff = 400 * time.Millisecond
	// backoffReset is the pause after which both intervals start from their initial values again.
	backoffReset = 2 * time.Second
	// minContinuationInterval is the minimum time between the last poll and a poll for the rest of a response that did
	// not fit in one message.
	minContinuationInterval = 100 * time.Millisecond
	// pollTimeout is the time for which a poll waits for a response. A longer one accepts later responses, with older
	// evidence, and keeps more polls in memory.
	pollTimeout = 3 * time.Second
	// maxPollSubjects is the maximum number of servers that a poll names. They must fit in a datagram with the
	// envelope.
	maxPollSubjects = 8
)

// Estimated sizes on the wire in bytes, for the budget of Settings.BytesPerSecond.
const (
	envelopeBytes    = 40
	evidenceBytes    = 64
	drainBytes       = 32
	incarnationBytes = 24
)

// pendingPoll is a poll without a response yet.
type pendingPoll struct {
	sentAt time.Duration
	about  []ServerProcess
}

// refillBudget refills the budget for the time since the last step. It is a token bucket with a capacity of one second.
func (m *Member) refillBudget() {
	rate := float64(m.settings.BytesPerSecond)
	if !m.started {
		m.started = true
		m.nextPoll = m.now
		m.budgetAt = m.now
		m.budget = rate
	}
	m.budget = min(rate, m.budget+rate*(m.now-m.budgetAt).Seconds())
	m.budgetAt = m.now
}

// send sends a message, or drops it if the budget is used up.
func (m *Member) send(to string, message *Message) {
	if m.settings.FormatVersion > 1 {
		message.FormatVersion = m.settings.FormatVersion
	}
	size := float64(envelopeBytes + evidenceBytes*len(message.Evidence) + drainBytes*len(message.Drains) + incarnationBytes*len(message.About))
	if m.budget < size {
		m.counts.Withheld++
		return
	}
	m.budget -= size
	m.emit(Send{to, message})
}

// alerted reports whether this member had an update within alertDuration.
func (m *Member) alerted() bool { return m.lastUpdate > 0 && m.now-m.lastUpdate < alertDuration }

// poll polls random subscribers of one list. While this member is alerted, it polls more often and more of them.
func (m *Member) poll() {
	fanout, interval := 1, m.settings.IdleInterval
	if m.alerted() {
		fanout, interval = pollFanout, m.settings.AlertInterval
	}
	jitter := 0.75 + 0.5*m.rng.Float64()
	m.nextPoll = m.now + time.Duration(jitter*float64(interval))
	source := m.pollSource()
	m.pollAbout(m.randomSubscribers(fanout, source), m.suspects(source))
	for number, p := range m.pendingPolls {
		if m.now-p.sentAt > pollTimeout {
			delete(m.pendingPolls, number)
		}
	}
}

// suspects returns the suspected servers of a list, up to maxPollSubjects.
func (m *Member) suspects(source string) []ServerProcess {
	var all []ServerProcess
	for _, s := range m.active {
		ofList := s.source == source || m.settings.FormatVersion == 1
		if s.phase == phaseSuspected && ofList && len(all) < maxPollSubjects {
			all = append(all, s.incarnation())
		}
	}
	return all
}

// pollAbout polls members for their evidence in general, and also for their own evidence about the given servers.
func (m *Member) pollAbout(members []string, about []ServerProcess) {
	m.sendPolls(members, &Message{About: about})
}

// sendPolls sends a poll with the template's content to each member. Each poll has its own number.
func (m *Member) sendPolls(members []string, template *Message) {
	for _, to := range members {
		m.pollNumber++
		m.pendingPolls[m.pollNumber] = pendingPoll{m.now, template.About}
		m.lastPoll = m.now
		m.counts.Polls++
		m.send(to, &Message{PollNumber: m.pollNumber, About: template.About, OwnOnly: template.OwnOnly})
	}
}

// noteUpdate makes this member alerted and schedules a notification of other members.
func (m *Member) noteUpdate() {
	m.lastUpdate = m.now
	m.nextPoll = min(m.nextPoll, m.now+m.settings.AlertInterval)
	if m.notifyAt == 0 {
		m.notifyAt = max(m.now, m.lastNotify+m.notifyBackoff.next(m.now, minNotifyInterval))
	}
}

// notify notifies random subscribers of a list.
func (m *Member) notify(source string) {
	m.notifyAt = 0
	m.lastNotify = m.now
	for _, to := range m.randomSubscribers(notifyFanout, source) {
		m.send(to, &Message{Notify: true})
	}
}

// onReceived handles a message, which may be a notification, a poll and a response at the same time.
func (m *Member) onReceived(e Received) {
	if e.Message == nil || e.From == m.settings.Name {
		return
	}
	m.handleNotification(e.From, e.Message)
	if e.Message.PollNumber > 0 {
		m.counts.Responses++
		m.send(e.From, m.buildResponse(e.From, e.Message))
	}
	if p, ok := m.pendingPolls[e.Message.ResponseTo]; ok && e.Message.ResponseTo > 0 {
		m.handleResponse(e.From, p, e.Message)
	}
}

func (m *Member) handleNotification(from string, message *Message) {
	switch {
	case !message.Notify:
	case len(message.About) > 0 && m.settings.FormatVersion > 1:
		m.onFailureNotice(from, message.About)
	case m.now-m.lastPoll >= m.promptedPollBackoff.current(m.now, minPromptedPollInterval):
		m.promptedPollBackoff.next(m.now, minPromptedPollInterval)
		m.pollAbout([]string{from}, nil)
	}
}

func (m *Member) handleResponse(from string, p pendingPoll, response *Message) {
	delete(m.pendingPolls, response.ResponseTo)
	m.roundTrip = max(m.now-p.sentAt, m.roundTrip-m.roundTrip/16) // decays by a sixteenth with each response
	m.applyResponse(p.sentAt, response)
	for _, polled := range p.about {
		if s := m.servers[polled.Server]; s != nil && s.phase == phaseSuspected {
			s.noteResponder(from, p, response)
		}
	}
	if response.More > 0 && m.now-m.lastPoll >= minContinuationInterval {
		m.pollAbout([]string{from}, nil)
	}
}

// noteResponder records that a member responded to a poll about a suspected server. If the server is unresponsive,
// only evidence that originates at the responder counts: see recordCorroboration.
func (s *server) noteResponder(from string, p pendingPoll, response *Message) {
	if !s.unresponsive {
		if !slices.Contains(s.responders, from) {
			s.responders = append(s.responders, from)
		}
		return
	}
	for n := range response.Evidence {
		e := &response.Evidence[n]
		if e.Server == s.ID && e.StartedMS == s.StartedMS && e.Origin == from && e.AgeMS > 0 {
			s.recordCorroboration(from, timeOfAge(p.sentAt, e.AgeMS), timeOfAge(p.sentAt, e.LastSuccessAgeMS))
		}
	}
}

// backoff is an interval that doubles with each use, up to maxBackoff. It starts from its first value again after it
// was not used for backoffReset.
type backoff struct{ interval, lastUse time.Duration }

// current returns the current interval.
func (b *backoff) current(now, first time.Duration) time.Duration {
	if b.interval == 0 || now-b.lastUse > backoffReset {
		return first
	}
	return b.interval
}

// next returns the current interval, and doubles it for the next use.
func (b *backoff) next(now, first time.Duration) time.Duration {
	interval := b.current(now, first)
	b.interval = min(2*interval, maxBackoff)
	b.lastUse = now
	return interval
}
