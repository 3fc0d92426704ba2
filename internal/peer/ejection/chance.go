package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What fails by chance is told less. A member whose failure at a server is no more than chance tells it to the server's
// holders alone: a few members, the same for all, by rendezvous hashing. They hear of all lone failures there, and see
// whether so many so close together are chance (a scan statistic: failures of several members within a window, against
// a Poisson distribution). Whatever stands out, here or there, goes round as news.
const (
	holders     = 3                      // members told of a lone failure
	loneGap     = time.Second            // between two that are told of one server
	wideGap     = 2 * time.Second        // between two tellings of one server to any: half of them may be lost
	lonesMost   = 64                     // asked about in a second, whoever tells: more go by chance elsewhere
	alarm       = 1e-4                   // likelihood by chance, below which failures stand out
	alarmPooled = 1e-3                   // the same of several members together: a test each failure that a holder hears of
	chanceLeast = 0.001                  // share of requests that fails by chance, at the least: less can't be measured in a minute
	chanceMost  = 0.01                   // and at the most: a bad release is not chance
	batchSlack  = 100 * time.Millisecond // failures so close together may have come at once: own agents tell every 50 ms
	slowFade    = 6                      // the background fades over so many times fades
	alarmGuess  = 1e-5                   // and where nobody has counted yet what is chance
	baseSpan    = 5 * time.Second        // by which holders count what fails by chance
	baseSpans   = 12
	knownLeast  = 20 // requests that make a background
)

// saw counts what became of requests to any server of a source.
func (m *Member) saw(source string, x OutcomeSample) {
	t := m.background[source]
	if t == nil {
		t = &tally{at: m.now}
		m.background[source] = t
	}
	t.fade(t.at + (m.now-t.at)/slowFade)
	t.at = m.now
	t.ok += float64(x.Succeeded)
	t.bad += float64(x.Failed)
}

// byChance is the share of requests to servers of a source that fails by chance.
func (m *Member) byChance(source string) float64 {
	t := m.background[source]
	if t == nil || t.ok+t.bad < knownLeast {
		return chanceLeast
	}
	return min(chanceMost, max(chanceLeast, ratio(t.bad, t.ok)))
}

// expected is how many failures a second are chance at a server. Its holders count them, and say so with what they
// tell, since some send far more to it than others do; who has heard of none goes by its own rate.
func (m *Member) expected(s *server, voices []*voice) (perSecond float64, counted bool) {
	own := m.byChance(s.source) * m.rate(s, voices)
	if m.holds(s) {
		if rate, ok := s.base.perSecond(m.now); ok {
			return max(own, rate), true
		}
	} else if s.toldBase > 0 && m.now-s.toldBase < baseSpans*baseSpan {
		return max(own, s.told), true
	}
	// Nobody has counted for long: as much as those tell that have failures, who send more than most. Twice that, since they
	// may not have counted for long either.
	all := 0.0
	for _, v := range voices {
		all += (v.ok + v.bad) / fades.Seconds() / float64(len(voices))
	}
	return max(own, 2*m.byChance(s.source)*all*float64(len(m.callers(s)))), false
}

// base is how many failures a holder has heard of at a server, by spans of time. The last two spans don't count, and are
// struck out where the server is out by them: what befalls it now is not chance.
type base struct {
	began time.Duration
	span  int64
	n     [2 + baseSpans]float64 // of this span, the one before ...
}

// turn brings it up to now.
func (b *base) turn(now time.Duration) {
	for span := int64(now / baseSpan); b.span < span; b.span++ {
		if span-b.span > int64(len(b.n)) {
			b.n, b.span = [len(b.n)]float64{}, span-1
			continue
		}
		copy(b.n[1:], b.n[:])
		b.n[0] = 0
	}
}

func (b *base) add(now time.Duration) {
	b.turn(now)
	b.n[0]++
}

func (b *base) strike(now time.Duration) {
	b.turn(now)
	b.n[0], b.n[1] = 0, 0
}

// perSecond is the rate, and whether it is known.
func (b *base) perSecond(now time.Duration) (rate float64, ok bool) {
	b.turn(now)
	heard := time.Duration(b.span-1)*baseSpan - b.began // until the spans that don't count
	if heard < baseSpan {
		return 0, false
	}
	for _, n := range b.n[2:] {
		rate += n
	}
	rate += 1 + math.Sqrt(rate) // it may have been fewer than usual: a standard deviation more, and one
	return rate / min(heard, baseSpans*baseSpan).Seconds(), true
}

// rate is about how many requests a second all members send to one server of a source: as many as this member's, which
// are spread over its servers, times the members.
func (m *Member) rate(s *server, voices []*voice) float64 {
	per := 0.0
	if t := m.background[s.source]; t != nil && t.ok+t.bad >= knownLeast {
		w := math.Exp(-float64(m.now-t.at) / float64(slowFade*fades))
		per = (t.ok + t.bad) * w / (slowFade * fades.Seconds())
	} else if len(voices) > 0 {
		for _, v := range voices {
			per += (v.ok + v.bad + v.elseOK + v.elseBad) / fades.Seconds() / float64(len(voices))
		}
	}
	return per * float64(len(m.callers(s))) / float64(max(1, len(m.sources[s.source])))
}

// unlikely reports whether one member's own failures at a server stand out.
func (m *Member) unlikely(s *server, ok, bad float64, streak int) bool {
	p := m.byChance(s.source)
	return math.Pow(p, float64(streak)) <= alarm || poisson(math.Round(bad), p*(ok+bad)) <= alarm
}

// standsOut reports whether the failures that several members tell of are too many, so close together, for chance.
func (m *Member) standsOut(s *server) bool {
	voices := s.heard(m)
	failed := slices.DeleteFunc(slices.Clone(voices), func(v *voice) bool { return v.lastBad == 0 || v.bad < 0.1 })
	if len(failed) < 2 {
		return false
	}
	slices.SortStableFunc(failed, func(a, b *voice) int { return cmp.Compare(b.lastBad, a.lastBad) })
	expected, counted := m.expected(s, voices)
	least := alarmPooled
	if !counted {
		least = alarmGuess
	}
	n, first := 0, failed[0].lastBad
	for i, v := range failed {
		from := v.lastBad
		n++
		if v.fails() && v.streak > 1 && v.began > 0 {
			n += min(v.streak, streakMost) - 1
			from = v.began
		}
		first = min(first, from)
		// The newest is what is asked about: the others came by themselves.
		if i > 0 && poisson(float64(n-1), expected*(failed[0].lastBad-first+batchSlack).Seconds()) <= least {
			return true
		}
	}
	return false
}

// poisson is how likely n or more are where so many are expected.
func poisson(n, expected float64) float64 {
	if n <= max(0, expected) { // no less than about a half, and the sum below begins at its largest term
		return 1
	}
	lg, _ := math.Lgamma(n + 1)
	term := math.Exp(n*math.Log(max(expected, 1e-12)) - expected - lg)
	sum := 0.0
	for k := n; term > 1e-12 && k < n+200; k++ {
		sum += term
		term *= expected / (k + 1)
	}
	return min(1, sum)
}

// heardFail counts a failure that is told to a holder.
func (m *Member) heardFail(s *server) {
	if m.holds(s) {
		s.base.add(m.now)
	}
}

// failed tells of a failure of own agents: to the holders, and to any once it is more than chance.
func (m *Member) failed(s *server) {
	about := []Incarnation{{s.ID, s.StartedMS}}
	if m.s.FormatVersion == 1 {
		if s.own.bad < float64(s.own.last)+0.5 {
			m.question(m.others(pokes, s.source), about)
			m.poke(s.source)
		}
		return
	}
	m.heardFail(s)
	if s.lone == 0 || m.now-s.lone >= loneGap {
		s.lone = m.now
		for _, to := range m.holdersOf(s) {
			m.send(to, &Message{Notify: true, About: about})
		}
	}
	if (s.wide == 0 || m.now-s.wide >= wideGap) && m.unlikely(s, s.own.ok, s.own.bad, s.own.streak) {
		s.wide = m.now
		m.question(m.others(pokes, s.source), about)
		m.poke(s.source)
	}
}

// holdersOf are the members that hear of lone failures at a server, without this one.
func (m *Member) holdersOf(s *server) []string {
	var top [holders]struct {
		rank uint64
		name string
	}
	if s.heldAs == m.named {
		return s.heldBy
	}
	for _, n := range m.callers(s) {
		r := rankOf(n, s.ID)
		for i := range top {
			if r > top[i].rank {
				copy(top[i+1:], top[i:])
				top[i].rank, top[i].name = r, n
				break
			}
		}
	}
	var all []string
	self := false
	for _, t := range top {
		if t.name == m.s.Name {
			self = true
		} else if t.name != "" {
			all = append(all, t.name)
		}
	}
	if self && !s.holds {
		s.base = base{began: m.now, span: int64(m.now / baseSpan)}
	}
	s.holds, s.heldBy, s.heldAs = self, all, m.named
	return all
}

// holds reports whether this member is one of them.
func (m *Member) holds(s *server) bool {
	m.holdersOf(s)
	return s.holds
}

// onLone hears that a member has had failures: it is asked what it saw, since what comes unasked may be of any age.
func (m *Member) onLone(from string, about []Incarnation) {
	if m.now-m.lonesAt >= time.Second {
		m.lonesAt, m.lones = m.now, 0
	}
	about = about[:min(aboutMost, len(about))]
	about = slices.DeleteFunc(slices.Clone(about), func(l Incarnation) bool {
		s := m.servers[l.Server]
		return s == nil || s.StartedMS != l.StartedMS || s.out
	})
	if len(about) == 0 || m.lones >= lonesMost {
		return
	}
	m.lones++
	m.questionOf([]string{from}, &Message{About: about, OwnOnly: true})
}
