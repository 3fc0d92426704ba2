package ejection

import (
	"math"
	"slices"
	"time"
)

// heardOf is a voice as it came.
type heardOf struct {
	s *server
	v *voice
}

// answer is what is known here, as much as fits: what was asked about, then what came last, then the rest by turns.
func (m *Member) answer(to string, q *Message) *Message {
	x := &Message{ResponseTo: q.PollNumber}
	asker := m.peer(to)
	about := q.About
	told := map[*voice]bool{}
	tell := func(s *server, v *voice) {
		if len(x.Evidence) == itemsMost || told[v] || v.start != s.StartedMS || m.now-v.made > m.s.MaxEvidenceAge || v.made <= s.freed {
			return
		}
		told[v] = true
		i := Evidence{Server: s.ID, StartedMS: v.start, Origin: v.origin, RunID: v.life, Number: v.number, Succeeded: float32(v.ok), Failed: float32(v.bad), ErrorResponses: float32(v.said), OtherSucceeded: float32(v.elseOK), OtherFailed: float32(v.elseBad),
			ConsecutiveSuccesses: v.run, ConsecutiveFailures: v.streak, OtherFailuresSince: v.since, AgeMS: m.age(v.made)}
		if m.holds(s) {
			if rate, ok := s.base.perSecond(m.now); ok {
				i.BaselineFailureRate = float32(max(rate, 1e-6)) // known, if it is none
			}
		} else if s.toldBase > 0 && m.now-s.toldBase < baseSpans*baseSpan {
			i.BaselineFailureRate = float32(s.told)
		}
		for _, p := range []struct {
			to *uint32
			at time.Duration
		}{{&i.LastSuccessAgeMS, v.lastOK}, {&i.LastFailureAgeMS, v.lastBad}, {&i.FirstFailureAgeMS, v.began}, {&i.OtherSuccessAgeMS, v.works}} {
			if p.at > 0 {
				*p.to = m.age(p.at)
			}
		}
		x.Evidence = append(x.Evidence, i)
	}
	// What may be chance is told to who asks about it; what is more than that, to all. Members of the first form do not
	// ask: they are told this member's own as they always were.
	worth := func(s *server, v *voice) bool {
		own := v.origin == m.s.Name
		if m.s.FormatVersion == 1 {
			return s.isHot || own || v.fails() && m.now-v.began < freshFor
		}
		return s.isHot || own && (q.FormatVersion < form || m.unlikely(s, v.ok, v.bad, v.streak) || !v.fails() && s.accusers(m) > 1) // it speaks for it
	}
	for _, l := range about[:min(aboutMost, len(about))] {
		if s := m.servers[l.Server]; s != nil && s.StartedMS == l.StartedMS {
			m.speak(s)
			for _, v := range s.voices {
				if !q.OwnOnly || v.origin == m.s.Name {
					tell(s, v)
				}
			}
		}
	}
	if q.OwnOnly {
		m.counts.EvidenceSent += uint64(len(x.Evidence))
		return x
	}
	for n := len(m.log) - 1; n >= 0 && len(x.Evidence) < itemsMost/2; n-- {
		if o := m.log[n]; m.concerned(asker, o.s) && worth(o.s, o.v) && m.servers[o.s.ID] == o.s && slices.Contains(o.s.voices, o.v) {
			tell(o.s, o.v)
		}
	}
	live := slices.Clone(m.live) // speaking changes it
	for n := range live {
		at := (m.cursor + n) % len(live)
		s := live[at]
		if !m.concerned(asker, s) {
			continue
		}
		if s.drainAt > 0 && m.now-s.drainAt <= m.s.MaxDrainAge && len(x.Drains) < itemsMost {
			x.Drains = append(x.Drains, Drain{s.ID, s.StartedMS, s.drain, m.age(s.drainAt)})
		}
		if len(x.Evidence) == itemsMost || !s.open(m) {
			continue
		}
		if s.own.made > s.spoke || m.now-s.spoke > speakEach { // how it fares elsewhere may have changed
			m.speak(s)
		}
		for _, v := range s.voices {
			if worth(s, v) {
				tell(s, v)
			}
		}
		if len(x.Evidence) == itemsMost {
			m.cursor, x.More = at, 1 // from here on the next time
		}
	}
	m.counts.EvidenceSent += uint64(len(x.Evidence))
	return x
}

// age is how long ago something was, in ms: at the most, whatever the rate of this clock. Never 0.
func (m *Member) age(at time.Duration) uint32 {
	d := float64(m.now-at) * (1 + m.s.ClockDrift) / (1 - m.s.ClockDrift)
	return uint32(min(d/float64(time.Millisecond)+1, math.MaxUint32/2))
}

// when is when something was, that was so old when a question asked then was answered; 0: never.
func when(asked time.Duration, age uint32) time.Duration {
	if age == 0 {
		return 0
	}
	return max(1, asked-time.Duration(age)*time.Millisecond)
}

// take takes an answer to a question asked at a time: nothing in it is older than it says, plus the time since then.
func (m *Member) take(asked time.Duration, x *Message) {
	when := func(age uint32) time.Duration { return when(asked, age) }
	news := false
	for n := range x.Evidence {
		i := &x.Evidence[n]
		s := m.servers[i.Server]
		if s == nil || i.StartedMS != s.StartedMS || i.Origin == m.s.Name || i.Origin == "" || i.AgeMS == 0 || !(i.Succeeded >= 0 && i.Failed >= 0 && i.ErrorResponses >= 0 && i.OtherSucceeded >= 0 && i.OtherFailed >= 0) {
			continue
		}
		v := &voice{origin: i.Origin, life: i.RunID, number: i.Number, start: i.StartedMS, ok: float64(i.Succeeded), bad: float64(i.Failed), said: float64(i.ErrorResponses), elseOK: float64(i.OtherSucceeded), elseBad: float64(i.OtherFailed), run: i.ConsecutiveSuccesses,
			made: when(i.AgeMS), lastOK: when(i.LastSuccessAgeMS), lastBad: when(i.LastFailureAgeMS), began: when(i.FirstFailureAgeMS), streak: i.ConsecutiveFailures, works: when(i.OtherSuccessAgeMS), since: i.OtherFailuresSince, arrived: m.now}
		if m.now-v.made > m.s.MaxEvidenceAge {
			continue
		}
		if i.BaselineFailureRate > 0 && i.BaselineFailureRate < 1e6 && !m.holds(s) {
			s.told, s.toldBase = float64(i.BaselineFailureRate), m.now
		}
		if n := slices.IndexFunc(s.voices, func(o *voice) bool { return o.origin == v.origin }); v.lastBad > 0 && (n < 0 || s.voices[n].number != v.number && v.lastBad > s.voices[n].lastBad+batchSlack) {
			m.heardFail(s)
		}
		was := s.open(m)
		if m.hear(s, v) {
			m.touch(s)
			// One failure is chance, as often as not: it is told to who asks. What stands out goes round.
			s.isHot = s.hot(m)
			news = news || s.out && !v.fails() || v.accuses() && !s.out && s.isHot
			if !was {
				m.speak(s) // others are to hear what it is like from here
			}
		}
	}
	for _, d := range x.Drains {
		s := m.servers[d.Server]
		if at := when(d.AgeMS); s != nil && s.StartedMS == d.StartedMS && d.State > Up && d.State <= Removed && m.now-at <= m.s.MaxDrainAge && (s.drainAt == 0 || d.State > s.drain) {
			s.drain, news = max(s.drain, d.State), true
			m.touch(s)
			if s.drainAt == 0 || at < s.drainAt { // the earliest: it lapses by that
				s.drainAt = at
			}
		}
	}
	if news {
		m.news()
	}
}
