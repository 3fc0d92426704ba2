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
		last            int // failures in the last sight
	}
	voices []*voice // of others, and of this member where it has something to say
	court
	dirty    bool          // to be looked at
	live     bool          // among those that are gone through
	wide     time.Duration // this member last told any others of its failures there ...
	lone     time.Duration // ... or the holders
	heldBy   []string      // who else holds it ...
	holds    bool          // ... and whether this member does ...
	heldAs   int           // ... by the members of that number
	base     base          // as a holder
	told     float64       // failures a second that are chance, by a holder's word
	toldBase time.Duration
	next     time.Duration // and by then at the latest; 0: no need
	isHot    bool          // see hot, when it was last looked at
	spoke    time.Duration // this member's own voice was last made
	groups   [2]int        // its zone's and its pod's number
	drain    ListedState   // told by others or by the own list, ahead of another's
	drainAt  time.Duration // when it was first heard by anyone, at the earliest; 0: never
}

// onListed takes a list. A server of which it says something else than before, in a running process, is news.
func (m *Member) onListed(e ListUpdated) {
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
		if l.StartedMS != was.StartedMS { // another process: what was known of the last one is nothing to it
			*s = server{Server: l, source: e.Source, live: s.live}
		}
		s.Server, s.source = l, e.Source
		if l.StartedMS == was.StartedMS && was.State == Up && l.State != Up && again {
			m.drained(s, l.State)
		}
	}
	for _, id := range m.sources[e.Source] {
		if s := m.servers[id]; s != nil && !seen[id] {
			if s.State == Up {
				m.drained(s, Removed)
			}
			s.State = Removed
		}
	}
	for id, s := range m.servers { // what is gone is kept while others may need to hear of it
		if s.State == Removed && !seen[id] && (s.drainAt == 0 || m.now-s.drainAt > m.s.MaxDrainAge) {
			delete(m.servers, id)
			if at, ok := slices.BinarySearch(m.order, id); ok {
				m.order = slices.Delete(m.order, at, at+1)
			}
		}
	}
	if !again {
		at, _ := slices.BinarySearch(m.reads, e.Source)
		m.reads = slices.Insert(m.reads, at, e.Source)
	}
	m.sources[e.Source] = ids
	m.group()
}

// group numbers zones and pods, and counts what is up in each.
func (m *Member) group() {
	numbers := map[string]int{}
	m.ups = m.ups[:0]
	m.live = m.live[:0]
	for _, id := range m.order {
		s := m.servers[id]
		s.live = false
		m.touch(s)
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
func (m *Member) drained(s *server, to ListedState) {
	if s.drainAt == 0 {
		s.drainAt = m.now
	}
	s.drain = max(s.drain, to)
	m.enliven(s)
	m.news()
}

// onSeen counts what own agents saw.
func (m *Member) onSeen(e OutcomesObserved) {
	for _, x := range e.Samples {
		s := m.servers[x.Server]
		if s == nil || s.StartedMS != x.StartedMS || x.Succeeded+x.Failed <= 0 {
			continue
		}
		m.total.fade(m.now)
		m.total.ok += float64(x.Succeeded)
		m.total.bad += float64(x.Failed)
		o := &s.own
		o.fade(m.now)
		o.ok += float64(x.Succeeded)
		o.bad += float64(x.Failed)
		o.said += float64(min(x.ErrorResponses, x.Failed))
		o.made, o.last = m.now, x.Failed
		m.note(s.ID, x)
		m.saw(s.source, x)
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
		if x.Failed > 0 || s.open(m) {
			m.speak(s)
			m.touch(s)
			switch {
			case s.out && (x.Succeeded > 0) == (s.goodSince == 0):
				m.news()
			case !s.out && x.Failed > 0:
				m.failed(s)
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
func (m *Member) note(server string, x OutcomeSample) {
	for range min(x.Succeeded, endsKept/2) {
		m.ends = append(m.ends, ended{server, true, m.now})
	}
	for range min(x.Failed, endsKept/2) {
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
	v := &voice{origin: m.s.Name, life: m.s.RunID, number: m.number, start: s.StartedMS, ok: o.ok, bad: o.bad, said: o.said, run: o.run, made: o.made, lastOK: o.lastOK, lastBad: o.lastBad, began: o.began, streak: o.streak,
		elseOK: max(0, m.total.ok-o.ok), elseBad: max(0, m.total.bad-o.bad), arrived: m.now}
	v.works, v.since = m.elsewhere(s.ID)
	m.hear(s, v)
}

// open reports whether something is said against a server, or was lately.
func (s *server) open(m *Member) bool {
	if s.out || s.drainAt > 0 && m.now-s.drainAt <= m.s.MaxDrainAge {
		return true
	}
	return slices.ContainsFunc(s.voices, func(v *voice) bool { return (v.fails() || v.partly()) && m.now-v.made <= m.s.MaxEvidenceAge })
}

// hot reports whether what is said against a server is more than chance, as far as is known here.
func (s *server) hot(m *Member) bool {
	if m.s.FormatVersion == 1 {
		dead, _ := s.dead(m, s.heard(m), 2, 2)
		return s.out || len(dead) > 0
	}
	return s.out || m.standsOut(s)
}

// accusers is how many others accuse a server.
func (s *server) accusers(m *Member) (n int) {
	for _, v := range s.voices {
		if v.origin != m.s.Name && v.accuses() && m.now-v.made <= m.s.MaxEvidenceAge {
			n++
		}
	}
	return n
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
	m.enliven(s)
	if m.log = append(m.log, heardOf{s, v}); len(m.log) > 2*logMost {
		m.log = append(m.log[:0], m.log[logMost:]...)
	}
	return news && slices.Contains(s.voices, v)
}

// prune keeps the newest voices against a server, and the newest for it that speak of a time since any of these.
func (s *server) prune(m *Member) {
	var bad, good []time.Duration
	for _, o := range s.voices {
		if m.now-o.made > m.s.MaxEvidenceAge {
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
		case m.now-o.made > m.s.MaxEvidenceAge:
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
	return mix(h.Sum64())
}

// mix spreads over all bits in what the last bytes of names differ.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
