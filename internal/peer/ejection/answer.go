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
	x := &Message{Answer: q.Ask}
	asker := m.peer(to)
	about := q.About
	told := map[*voice]bool{}
	tell := func(s *server, v *voice) {
		if len(x.Items) == itemsMost || told[v] || v.start != s.Start || m.now-v.made > m.s.Age || v.made <= s.freed {
			return
		}
		told[v] = true
		i := Item{Server: s.ID, Start: v.start, Origin: v.origin, Life: v.life, Number: v.number, OK: float32(v.ok), Bad: float32(v.bad), Said: float32(v.said), ElseOK: float32(v.elseOK), ElseBad: float32(v.elseBad),
			Run: v.run, Streak: v.streak, Since: v.since, Age: m.age(v.made)}
		if m.holds(s) {
			if rate, ok := s.base.perSecond(m.now); ok {
				i.Chance = float32(max(rate, 1e-6)) // known, if it is none
			}
		} else if s.toldBase > 0 && m.now-s.toldBase < baseSpans*baseSpan {
			i.Chance = float32(s.told)
		}
		for _, p := range []struct {
			to *uint32
			at time.Duration
		}{{&i.LastOK, v.lastOK}, {&i.LastBad, v.lastBad}, {&i.Began, v.began}, {&i.Works, v.works}} {
			if p.at > 0 {
				*p.to = m.age(p.at)
			}
		}
		x.Items = append(x.Items, i)
	}
	// What may be chance is told to who asks about it; what is more than that, to all. Members of the first form do not
	// ask: they are told this member's own as they always were.
	worth := func(s *server, v *voice) bool {
		own := v.origin == m.s.Name
		if m.s.Form == 1 {
			return s.isHot || own || v.fails() && m.now-v.began < freshFor
		}
		return s.isHot || own && (q.Form < form || m.unlikely(s, v.ok, v.bad, v.streak) || !v.fails() && s.accusers(m) > 1) // it speaks for it
	}
	for _, l := range about[:min(aboutMost, len(about))] {
		if s := m.servers[l.Server]; s != nil && s.Start == l.Start {
			m.speak(s)
			for _, v := range s.voices {
				if !q.Own || v.origin == m.s.Name {
					tell(s, v)
				}
			}
		}
	}
	if q.Own {
		m.counts.Items += uint64(len(x.Items))
		return x
	}
	for n := len(m.log) - 1; n >= 0 && len(x.Items) < itemsMost/2; n-- {
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
		if s.drainAt > 0 && m.now-s.drainAt <= m.s.Drains && len(x.Drains) < itemsMost {
			x.Drains = append(x.Drains, Drain{s.ID, s.Start, s.drain, m.age(s.drainAt)})
		}
		if len(x.Items) == itemsMost || !s.open(m) {
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
		if len(x.Items) == itemsMost {
			m.cursor, x.More = at, 1 // from here on the next time
		}
	}
	m.counts.Items += uint64(len(x.Items))
	return x
}

// age is how long ago something was, in ms: at the most, whatever the rate of this clock. Never 0.
func (m *Member) age(at time.Duration) uint32 {
	d := float64(m.now-at) * (1 + m.s.Drift) / (1 - m.s.Drift)
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
	for n := range x.Items {
		i := &x.Items[n]
		s := m.servers[i.Server]
		if s == nil || i.Start != s.Start || i.Origin == m.s.Name || i.Origin == "" || i.Age == 0 || !(i.OK >= 0 && i.Bad >= 0 && i.Said >= 0 && i.ElseOK >= 0 && i.ElseBad >= 0) {
			continue
		}
		v := &voice{origin: i.Origin, life: i.Life, number: i.Number, start: i.Start, ok: float64(i.OK), bad: float64(i.Bad), said: float64(i.Said), elseOK: float64(i.ElseOK), elseBad: float64(i.ElseBad), run: i.Run,
			made: when(i.Age), lastOK: when(i.LastOK), lastBad: when(i.LastBad), began: when(i.Began), streak: i.Streak, works: when(i.Works), since: i.Since, arrived: m.now}
		if m.now-v.made > m.s.Age {
			continue
		}
		if i.Chance > 0 && i.Chance < 1e6 && !m.holds(s) {
			s.told, s.toldBase = float64(i.Chance), m.now
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
		if at := when(d.Age); s != nil && s.Start == d.Start && d.State > Up && d.State <= Gone && m.now-at <= m.s.Drains && (s.drainAt == 0 || d.State > s.drain) {
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
