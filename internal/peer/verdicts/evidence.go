package verdicts

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Item is one member's own evidence about one process of a server. Ages are in ms, as the answer was made: how long
// ago something was, at the most.
type Item struct {
	Server  string  `cbor:"1,keyasint,omitempty"`
	Start   int64   `cbor:"2,keyasint,omitempty"`
	Origin  string  `cbor:"3,keyasint,omitempty"`
	Life    uint64  `cbor:"4,keyasint,omitempty"`
	Number  uint32  `cbor:"5,keyasint,omitempty"` // grows with each change at the origin
	OK      float32 `cbor:"6,keyasint,omitempty"` // faded counts
	Bad     float32 `cbor:"7,keyasint,omitempty"`
	ElseOK  float32 `cbor:"8,keyasint,omitempty"` // of all other servers
	ElseBad float32 `cbor:"9,keyasint,omitempty"`
	Run     int     `cbor:"10,keyasint,omitempty"` // answers since the last failure
	Age     uint32  `cbor:"11,keyasint,omitempty"` // of the newest sight in it
	LastOK  uint32  `cbor:"12,keyasint,omitempty"` // 0: none
	LastBad uint32  `cbor:"13,keyasint,omitempty"`
	Began   uint32  `cbor:"14,keyasint,omitempty"` // the first failure since the last answer
	Streak  int     `cbor:"15,keyasint,omitempty"` // failures since the last answer
	Works   uint32  `cbor:"16,keyasint,omitempty"` // the last answer of any other server; 0: none
	Since   int     `cbor:"17,keyasint,omitempty"` // failures at other servers since then
	Said    float32 `cbor:"18,keyasint,omitempty"` // of Bad, those that the server said itself
}

// Drain is a list's word that a server drains or is gone, as one member heard it.
type Drain struct {
	Server string `cbor:"1,keyasint,omitempty"`
	Start  int64  `cbor:"2,keyasint,omitempty"`
	State  State  `cbor:"3,keyasint,omitempty"`
	Age    uint32 `cbor:"4,keyasint,omitempty"` // ms since then, at the most
}

// tally is faded counts.
type tally struct {
	ok, bad, said float64
	at            time.Duration
}

func (t *tally) fade(now time.Duration) {
	w := math.Exp(-float64(now-t.at) / float64(fades))
	t.ok, t.bad, t.said, t.at = t.ok*w, t.bad*w, t.said*w, now
}

// voice is a member's evidence as it is known here. Times are by this member's clock, and no later than true.
type voice struct {
	origin          string
	life            uint64
	number          uint32
	start           int64
	ok, bad, said   float64
	elseOK, elseBad float64
	run             int
	made            time.Duration // the newest sight in it
	lastOK, lastBad time.Duration // 0: none
	began           time.Duration
	streak          int
	works           time.Duration
	since           int
	arrived         time.Duration // here
	rank            uint64
}

// server is one that is listed.
type server struct {
	Server
	source string
	own    struct {
		tally
		run, streak     int
		lastOK, lastBad time.Duration
		began           time.Duration
		made            time.Duration
	}
	voices []*voice // of others, and of this member where it has something to say
	court
	dirty   bool          // to be looked at
	next    time.Duration // and by then at the latest; 0: no need
	isHot   bool          // see hot, when it was last looked at
	spoke   time.Duration // this member's own voice was last made
	groups  [2]int        // its zone's and its pod's number
	drain   State         // told by others or by the own list, ahead of another's
	drainAt time.Duration // when it was first heard by anyone, at the earliest; 0: never
}

// onListed takes a list. A server of which it says something else than before, in a running process, is news.
func (m *Member) onListed(e Listed) {
	seen := map[string]bool{}
	_, again := m.sources[e.Source]
	var ids []string
	for _, l := range e.Servers {
		seen[l.ID] = true
		ids = append(ids, l.ID)
		s := m.servers[l.ID]
		if s == nil {
			if len(m.servers) >= serverMost {
				continue
			}
			s = &server{Server: l, source: e.Source}
			m.servers[l.ID] = s
			at, _ := slices.BinarySearch(m.order, l.ID)
			m.order = slices.Insert(m.order, at, l.ID)
			continue
		}
		was := s.Server
		if l.Start != was.Start { // another process: what was known of the last one is nothing to it
			*s = server{Server: l, source: e.Source}
		}
		s.Server, s.source = l, e.Source
		if l.Start == was.Start && was.State == Up && l.State != Up && again {
			m.drained(s, l.State)
		}
	}
	for _, id := range m.sources[e.Source] {
		if s := m.servers[id]; s != nil && !seen[id] {
			if s.State == Up {
				m.drained(s, Gone)
			}
			s.State = Gone
		}
	}
	for id, s := range m.servers { // what is gone is kept while others may need to hear of it
		if s.State == Gone && !seen[id] && (s.drainAt == 0 || m.now-s.drainAt > m.s.Drains) {
			delete(m.servers, id)
			if at, ok := slices.BinarySearch(m.order, id); ok {
				m.order = slices.Delete(m.order, at, at+1)
			}
		}
	}
	m.sources[e.Source] = ids
	m.group()
	m.changed = true
}

// group numbers zones and pods, and counts what is up in each.
func (m *Member) group() {
	numbers := map[string]int{}
	m.ups = m.ups[:0]
	for _, id := range m.order {
		s := m.servers[id]
		s.dirty = true
		for n, name := range []string{fmt.Sprint("zone ", s.source, "/", s.Zone), fmt.Sprint("pod ", s.source, "/", s.Pod)} {
			g, ok := numbers[name]
			if !ok {
				g = len(numbers)
				numbers[name] = g
				m.ups = append(m.ups, 0)
			}
			s.groups[n] = g
			if s.State == Up {
				m.ups[g]++
			}
		}
	}
}

// drained notes that the own list says that a server drains or is gone.
func (m *Member) drained(s *server, to State) {
	if s.drainAt == 0 {
		s.drainAt = m.now
	}
	s.drain = max(s.drain, to)
	m.news()
}

// onSeen counts what own agents saw.
func (m *Member) onSeen(e Seen) {
	for _, x := range e.All {
		s := m.servers[x.Server]
		if s == nil || s.Start != x.Start || x.OK+x.Bad <= 0 {
			continue
		}
		m.total.fade(m.now)
		m.total.ok += float64(x.OK)
		m.total.bad += float64(x.Bad)
		o := &s.own
		o.fade(m.now)
		fresh := o.bad < 0.5 && x.Bad > 0
		o.ok += float64(x.OK)
		o.bad += float64(x.Bad)
		o.said += float64(min(x.Said, x.Bad))
		o.made = m.now
		m.note(s.ID, x)
		if x.OK > 0 {
			o.lastOK, o.run, o.streak = m.now, o.run+x.OK, 0
		}
		if x.Bad > 0 {
			if o.began <= o.lastOK || o.began == 0 {
				o.began = m.now
			}
			o.lastBad, o.run, o.streak = m.now, 0, o.streak+x.Bad
			if x.OK > 0 {
				o.began = m.now
			}
		}
		if x.Bad > 0 || s.open(m) {
			m.speak(s)
			m.changed, s.dirty = true, true
			switch {
			case s.out && (x.OK > 0) == (s.goodSince == 0):
				m.news()
			case fresh: // perhaps others have seen the like: a few are asked, and told
				m.question(m.others(pokes), []Life{{s.ID, s.Start}})
				m.poke()
			}
		}
	}
}

// ended is how a request ended.
type ended struct {
	server string
	ok     bool
	at     time.Duration
}

// note keeps the last few ends.
func (m *Member) note(server string, x Sight) {
	for range min(x.OK, endsKept/2) {
		m.ends = append(m.ends, ended{server, true, m.now})
	}
	for range min(x.Bad, endsKept/2) {
		m.ends = append(m.ends, ended{server, false, m.now})
	}
	if n := len(m.ends); n > 2*endsKept {
		m.ends = append(m.ends[:0], m.ends[n-endsKept:]...)
	}
}

// elsewhere is when any other server last answered, and how many requests to others have failed since.
func (m *Member) elsewhere(server string) (works time.Duration, since int) {
	for i := len(m.ends) - 1; i >= 0; i-- {
		e := m.ends[i]
		switch {
		case e.server == server:
		case e.ok:
			return e.at, since
		default:
			since++
		}
	}
	return 0, since
}

// speak makes this member's own voice what it has seen.
func (m *Member) speak(s *server) {
	o := &s.own
	if o.made == 0 {
		return
	}
	s.spoke = m.now
	o.fade(m.now)
	m.total.fade(m.now)
	m.number++ // it may have been asked elsewhere since
	v := &voice{origin: m.s.Name, life: m.s.Life, number: m.number, start: s.Start, ok: o.ok, bad: o.bad, said: o.said, run: o.run, made: o.made, lastOK: o.lastOK, lastBad: o.lastBad, began: o.began, streak: o.streak,
		elseOK: max(0, m.total.ok-o.ok), elseBad: max(0, m.total.bad-o.bad), arrived: m.now}
	v.works, v.since = m.elsewhere(s.ID)
	m.hear(s, v)
}

// open reports whether something is said against a server, or was lately.
func (s *server) open(m *Member) bool {
	if s.out || s.drainAt > 0 && m.now-s.drainAt <= m.s.Drains {
		return true
	}
	return slices.ContainsFunc(s.voices, func(v *voice) bool { return (v.fails() || v.partly()) && m.now-v.made <= m.s.Age })
}

// hot reports whether what is said against a server is more than one member's bad luck, as far as is known here.
func (s *server) hot(m *Member) bool {
	dead, _ := s.dead(s.heard(m), 2, 2)
	return s.out || len(dead) > 0
}

// hear books a voice: the newest of each member, and of many members the newest, as prune says. It reports whether the
// voice was news.
func (m *Member) hear(s *server, v *voice) bool {
	v.rank = rankOf(v.origin, s.ID)
	news := true
	if n := slices.IndexFunc(s.voices, func(o *voice) bool { return o.origin == v.origin }); n >= 0 {
		o := s.voices[n]
		if o.life == v.life && v.number <= o.number || o.life != v.life && v.made <= o.made {
			return false
		}
		news = o.accuses() != v.accuses() || (o.run == 0) != (v.run == 0)
		s.voices = slices.Delete(s.voices, n, n+1)
	}
	// In one order everywhere: members then tell on the same ones first.
	at, _ := slices.BinarySearchFunc(s.voices, v.rank, func(o *voice, r uint64) int { return cmp.Compare(o.rank, r) })
	s.voices = slices.Insert(s.voices, at, v)
	s.prune(m)
	if m.log = append(m.log, heardOf{s, v}); len(m.log) > 2*logMost {
		m.log = append(m.log[:0], m.log[logMost:]...)
	}
	return news && slices.Contains(s.voices, v)
}

// prune keeps the newest voices against a server, and the newest for it that speak of a time since any of these.
func (s *server) prune(m *Member) {
	var bad, good []time.Duration
	for _, o := range s.voices {
		if m.now-o.made > m.s.Age {
			continue
		}
		if o.fails() {
			bad = append(bad, o.began)
		} else {
			good = append(good, o.lastOK)
		}
	}
	least := func(all []time.Duration) time.Duration { // of those kept
		slices.SortFunc(all, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		if len(all) == 0 {
			return 0
		}
		return all[min(voicesMost, len(all))-1]
	}
	from := least(bad)
	since := max(from, least(good))
	s.voices = slices.DeleteFunc(s.voices, func(o *voice) bool {
		switch {
		case o.origin == m.s.Name:
			return false
		case m.now-o.made > m.s.Age:
			return true
		case o.fails():
			return o.began < from
		}
		return o.lastOK < since
	})
}

// rankOf orders members for a server, each server in another order.
func rankOf(member, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	x := h.Sum64() // names differ in their last bytes: spread that over all bits
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// heardOf is a voice as it came.
type heardOf struct {
	s *server
	v *voice
}

// answer is what is known here, as much as fits: what was asked about, then what came last, then the rest by turns.
func (m *Member) answer(seq uint64, about []Life) *Message {
	x := &Message{Answer: seq}
	told := map[*voice]bool{}
	tell := func(s *server, v *voice) {
		if len(x.Items) == itemsMost || told[v] || v.start != s.Start || m.now-v.made > m.s.Age || v.made <= s.freed {
			return
		}
		told[v] = true
		i := Item{Server: s.ID, Start: v.start, Origin: v.origin, Life: v.life, Number: v.number, OK: float32(v.ok), Bad: float32(v.bad), Said: float32(v.said), ElseOK: float32(v.elseOK), ElseBad: float32(v.elseBad),
			Run: v.run, Streak: v.streak, Since: v.since, Age: m.age(v.made)}
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
	// One member's bad luck is told on for a while only; what is more than that, to all.
	worth := func(s *server, v *voice) bool {
		return s.isHot || v.origin == m.s.Name || v.fails() && m.now-v.began < freshFor
	}
	for _, l := range about[:min(aboutMost, len(about))] {
		if s := m.servers[l.Server]; s != nil && s.Start == l.Start {
			m.speak(s)
			for _, v := range s.voices {
				tell(s, v)
			}
		}
	}
	for n := len(m.log) - 1; n >= 0 && len(x.Items) < itemsMost/2; n-- {
		if o := m.log[n]; worth(o.s, o.v) && m.servers[o.s.ID] == o.s && slices.Contains(o.s.voices, o.v) {
			tell(o.s, o.v)
		}
	}
	for n := range m.order {
		at := (m.cursor + n) % len(m.order)
		s := m.servers[m.order[at]]
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

// take takes an answer to a question asked at a time: nothing in it is older than it says, plus the time since then.
func (m *Member) take(asked time.Duration, x *Message) {
	when := func(age uint32) time.Duration {
		if age == 0 {
			return 0
		}
		return max(1, asked-time.Duration(age)*time.Millisecond)
	}
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
		was := s.open(m)
		if m.hear(s, v) {
			m.changed, s.dirty = true, true
			// One failure is chance, as often as not: it is told to who asks. Two of a kind go round.
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
			s.drain, news, m.changed, s.dirty = max(s.drain, d.State), true, true, true
			if s.drainAt == 0 || at < s.drainAt { // the earliest: it lapses by that
				s.drainAt = at
			}
		}
	}
	if news {
		m.news()
	}
}
