package ejection

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// court is how a server stands.
type court struct {
	out       bool
	why       string
	by        []string
	since     time.Duration // out since
	goodSince time.Duration // it answers those that try it; 0: it does not
	times     int           // convicted, not long ago
	lastOut   time.Duration
	silent    bool          // most that accuse it had no word from it
	suspected time.Duration // there are voices enough against it since; 0: there are not
	askedAt   time.Duration // and when that was last
	begun     time.Duration // the first of those that accuse it now began to
	from      time.Duration // and of those that did when it became suspected
	spoken    bool          // somebody has had an answer since then
	answered  []string      // who has answered a question about it since then; if it is silent, only if it sent something to it since they began to
	share     float64       // of its requests that failed, by all voices
	place     int           // this member's in the order in which members may use it ...
	placed    int           // ... by the members of that number
	capped    bool          // it would be out, but too many are
	freed     time.Duration // what spoke against it until then counts no more
}

const (
	quorum       = 3                      // members whose own evidence a verdict needs, or all others where there are fewer
	voicesMute   = 10                     // ... where the server said nothing itself: with half of the members cut off, so many fail on end by chance once in 1,024, and others are asked besides
	apart        = 0.3                    // an accuser's share of failures there, above its share elsewhere
	elseLeast    = 2                      // answers elsewhere, lately, without which nobody accuses
	chance       = 0.05                   // failures of all accusers are no likelier than this, by how each fares elsewhere
	luckLeast    = 0.02                   // no member is so lucky elsewhere that one failure says more than this
	streakMost   = 3                      // failures of one member on end count no more
	grace        = time.Second            // an answer elsewhere so long before the failures still speaks for its link
	deafness     = 700 * time.Millisecond // for so long others may speak for it before it is out ...
	voicesSure   = 6                      // ... or, with so many against it ...
	deafnessSure = 250 * time.Millisecond // ... for so long
	partLeast    = 0.15                   // share of failures from which a server fails in part ...
	partBad      = 8                      // ... with so many of them
	partSeen     = 5                      // requests of one member that tell whether it fails for all or for some
	partVoices   = 4                      // members with so many requests, at the least, that have to see it alike
	answersLeast = 6                      // answers of others without which a verdict waits ...
	answersWait  = 5 * time.Second        // ... for so long at the most
	askAgain     = 400 * time.Millisecond // between two rounds of witnesses while it waits for answers
	answersMute  = 12                     // the same where the server said nothing: of half that are cut off so many are asked once in 4,096 times
	rounds       = 3                      // questions and answers that a verdict waits for, besides
	triersMost   = 3                      // members that try one that is out
	runLeast     = 3                      // answers on end with which it begins to come back; twice as many each time
	runMost      = 48
	stageEvery   = time.Second           // twice as many members use it each time
	lookGrid     = 50 * time.Millisecond // servers that are looked at again are looked at together
	remembered   = 2 * time.Minute
)

// judge looks anew at the servers about which something is said, and tells own agents what has changed. It costs
// nothing for the others, however many there are.
func (m *Member) judge() {
	m.changed, m.lookAt, m.judged = false, 0, m.now
	for _, s := range m.live {
		if s.dirty || s.next > 0 && m.now >= s.next {
			s.dirty, s.next = false, 0
			m.try(s)
			s.isHot = s.hot(m)
		}
	}
	held := m.capOf()
	var all []Ejection
	rest := m.live[:0]
	for _, s := range m.live {
		if s.quiet(m) {
			s.live, s.isHot = false, false
			continue
		}
		rest = append(rest, s)
		if s.next > 0 { // others were looked at meanwhile
			m.look(s.next)
		}
		if at := s.drainAt; at > 0 && s.State == Up && m.now-at <= m.s.MaxDrainAge {
			all = append(all, Ejection{s.ID, s.StartedMS, true, at + m.s.MaxDrainAge})
			m.look(at + m.s.MaxDrainAge + 1)
		}
		was := s.capped
		s.capped = s.out && held[s.ID]
		if s.capped && !was {
			m.counts.Capped++
		}
		if s.out && !s.capped && !m.mayUse(s) {
			all = append(all, Ejection{s.ID, s.StartedMS, false, s.until(m)})
		}
	}
	clear(m.live[len(rest):])
	m.live = rest
	if !slices.EqualFunc(all, m.told, func(a, b Ejection) bool {
		return a.Server == b.Server && a.StartedMS == b.StartedMS && a.Draining == b.Draining && a.Until-b.Until < time.Second && b.Until-a.Until < time.Second
	}) {
		m.told = all
		m.do(EjectionsChanged{all})
	}
}

// quiet reports whether nothing is said about a server any more; what was is dropped.
func (s *server) quiet(m *Member) bool {
	if s.dirty || s.next > 0 || s.out || s.drainAt > 0 && m.now-s.drainAt <= m.s.MaxDrainAge {
		return false
	}
	if slices.ContainsFunc(s.voices, func(v *voice) bool { return m.now-v.made <= m.s.MaxEvidenceAge }) {
		return false
	}
	s.voices = nil
	return true
}

// look has judge called by then.
func (m *Member) look(at time.Duration) {
	if m.lookAt == 0 || at < m.lookAt {
		m.lookAt = at
	}
}

// until is when a verdict lapses for want of new evidence.
func (s *server) until(m *Member) time.Duration {
	newest := time.Duration(0)
	for _, v := range s.voices {
		if v.start == s.StartedMS {
			newest = max(newest, v.lastBad)
		}
	}
	return newest + m.s.MaxEvidenceAge
}

// heard are the voices that count.
func (s *server) heard(m *Member) []*voice {
	var all []*voice
	for _, v := range s.voices {
		if v.start == s.StartedMS && m.now-v.made <= m.s.MaxEvidenceAge && v.ok+v.bad > 0 && v.made > s.freed {
			all = append(all, v)
		}
	}
	return all
}

func ratio(bad, ok float64) float64 { return bad / max(bad+ok, 1e-9) }

// accuses reports whether a member's own evidence is against a server: its last requests there failed, and its link
// works, since another server has answered it lately and no two have failed it after that.
func (v *voice) accuses() bool {
	return v.fails() && v.works > 0 && v.works >= v.began-grace && v.since < 2
}

// luck is the logarithm of how likely its failures on end are, by how it fares elsewhere.
func (v *voice) luck() float64 {
	p := max(ratio(v.elseBad, v.elseOK), luckLeast)
	if v.since > 0 {
		p = max(p, 0.5)
	}
	return math.Log(p) * float64(min(v.streak, streakMost))
}

// proves reports whether most of a member's failures there were said by the server itself. A link can't have made these;
// where nothing came back, it may have.
func (v *voice) proves() bool { return v.said > 0 && 2*v.said >= v.bad }

// fails reports whether a member's last word of a server is a failure.
func (v *voice) fails() bool { return v.streak > 0 && v.lastBad > 0 && v.lastOK <= v.began }

// partly reports whether it fails there far oftener than elsewhere, if not always.
func (v *voice) partly() bool {
	return v.bad >= 0.5 && v.elseOK >= elseLeast && ratio(v.bad, v.ok)-ratio(v.elseBad, v.elseOK) >= apart
}

// try looks at one server.
func (m *Member) try(s *server) {
	if s.State == Removed || len(s.voices) == 0 && !s.out {
		s.court = court{freed: s.freed, place: s.place, placed: s.placed}
		return
	}
	voices := s.heard(m)
	if s.out {
		m.retry(s, voices)
		return
	}
	if s.times > 0 && m.now-s.lastOut > remembered {
		s.times = 0
	}
	by, why, wait := m.against(s, voices)
	if by == nil {
		s.suspected = 0
		return
	}
	if s.suspected > 0 && s.silent && s.spoken { // it is asked anew
		s.suspected = 0
	}
	if s.suspected == 0 {
		s.suspected, s.answered, s.askedAt, s.from, s.spoken = m.now, nil, m.now, s.begun, false
		n := witnesses
		if s.silent {
			n = witnessesMute
		}
		m.questionOf(m.witnesses(n, s.source), &Message{About: []Incarnation{{s.ID, s.StartedMS}}, OwnOnly: s.silent})
	}
	if at := s.suspected + wait + rounds*m.way; m.now < at { // who is asked has to be heard
		s.again(m, at)
		return
	}
	few := min(answersLeast, len(m.callers(s))-1)
	if s.silent {
		few = min(answersMute, len(m.callers(s))-1)
	}
	if len(s.answered) < few && m.now < s.suspected+answersWait {
		if m.now-s.askedAt >= askAgain { // answers were lost, or are late
			s.askedAt = m.now
			m.questionOf(m.witnesses(witnesses, s.source), &Message{About: []Incarnation{{s.ID, s.StartedMS}}, OwnOnly: s.silent})
		}
		s.again(m, m.now)
		return
	}
	s.dirty = true
	s.out, s.why, s.by, s.since, s.goodSince, s.suspected = true, why, by, m.now, 0, 0
	s.times++
	s.lastOut = m.now
	s.base.strike(m.now)
	m.counts.Ejected++
	m.do(Log{fmt.Sprintf("server %s is out: %s, by %s", s.ID, why, strings.Join(by, ", "))})
	m.news()
	s.again(m, m.now+stageEvery/4)
}

// heardWitness takes what a member itself saw of a server that is suspected. It counts if it has sent something to it since
// the first of those that accuse it began to; with an answer since then, the suspicion is over.
func (s *server) heardWitness(name string, made, lastOK time.Duration) {
	if made <= s.from || slices.Contains(s.answered, name) {
		return
	}
	s.answered = append(s.answered, name)
	s.spoken = s.spoken || lastOK > s.from
}

// again has a server looked at by then.
func (s *server) again(m *Member, at time.Duration) {
	s.next = at + lookGrid - at%lookGrid
	m.look(s.next)
}

// need is how many voices a verdict needs.
func (m *Member) need(s *server) int { return max(2, min(quorum, len(m.callers(s))-1)) }

// mute is how many it needs where the server said nothing itself: more than half of the members cut off from it would be.
func (m *Member) mute(s *server) int { return m.muteOf(len(m.callers(s))) }

func (m *Member) muteOf(members int) int {
	return max(2, min(quorum, members-1), min(voicesMute, (2*members+2)/3))
}

// against says by whose evidence, and for what, a server should be out, and how long that should be left to those who
// can speak for it; nil: it should not.
func (m *Member) against(s *server, voices []*voice) (by []string, why string, wait time.Duration) {
	var part []*voice
	ok, bad, said, elseOK, elseBad := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, v := range voices {
		if v.elseOK < elseLeast {
			continue
		}
		ok, bad, said, elseOK, elseBad = ok+v.ok, bad+v.bad, said+v.said, elseOK+v.elseOK, elseBad+v.elseBad
		if v.said >= 0.5 && ratio(v.bad, v.ok) > ratio(v.elseBad, v.elseOK) {
			part = append(part, v)
		}
	}
	s.share = ratio(bad, ok)
	names := func(all []*voice) []string {
		var out []string
		for _, v := range all {
			out = append(out, v.origin)
		}
		slices.Sort(out)
		return out
	}
	if dead, alive := s.dead(m, voices, m.need(s), m.mute(s)); len(dead) > 0 {
		enough := min(voicesSure, max(m.need(s), len(m.callers(s))-1))
		proved := 0
		for _, v := range dead {
			proved += b2i(v.proves())
		}
		s.silent, s.begun = proved < m.need(s), m.now
		for _, v := range dead {
			s.begun = min(s.begun, v.began)
		}
		switch wait = deafness; {
		case len(dead) >= enough:
			wait = deafnessSure
		case len(voices) < enough: // news is scarce
			wait = 2 * deafness
		}
		return names(dead), fmt.Sprintf("fails for %d members, answers %d", len(dead), alive), wait
	}
	// It fails in part, by its own word: for about all alike, not for some always and for others never, which is a link.
	// What was lost without a word is a link's fault for all that can be known.
	if 2*said < bad || len(part) < m.need(s) || s.share < max(partLeast, 2*ratio(elseBad, elseOK)+0.05) || bad < partBad {
		return nil, "", 0
	}
	seen, alike := 0, 0
	for _, v := range voices {
		if v.ok+v.bad < partSeen || v.elseOK < elseLeast {
			continue
		}
		if seen++; ratio(v.bad, v.ok) >= s.share/3 && ratio(v.bad, v.ok) <= 1-(1-s.share)/3 {
			alike++
		}
	}
	if seen < min(partVoices, len(m.callers(s))-1) || 5*alike < 4*seen {
		return nil, "", 0
	}
	s.silent, s.begun = false, 0
	return names(part), fmt.Sprintf("fails %.0f%% of its requests", 100*s.share), 2 * deafness
}

// dead are the members for which a server fails outright: the most of them, newest first and at least so many, such
// that since the first of these began to fail nobody is known to have had an answer. Least have to prove that it is the
// server that fails, or so many more have to say so that it can't be their links.
func (s *server) dead(m *Member, voices []*voice, least, mute int) (dead []*voice, alive int) {
	var all []*voice
	for _, v := range voices {
		if v.accuses() {
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(a, b *voice) int { return cmp.Compare(b.began, a.began) })
	for n := len(all); n >= least; n-- {
		proved := 0
		for _, v := range all[:n] {
			proved += b2i(v.proves())
		}
		if proved < least && (n < mute || !m.independent(s, all[:n])) {
			break
		}
		from, alive := all[n-1].began, 0
		for _, v := range voices {
			if !v.fails() && v.lastOK > from {
				alive++
			}
		}
		luck := 0.0
		for _, v := range all[:n] {
			luck += v.luck()
		}
		if alive == 0 && luck <= math.Log(chance) {
			return all[:n], alive
		}
	}
	return nil, 0
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// retry looks at one that is out: it comes back once it answers those that try it, to twice as many members each
// second, and begins anew with a failure. Without any evidence left it is free.
func (m *Member) retry(s *server, voices []*voice) {
	if s.until(m) <= m.now {
		m.counts.Expired++
		m.do(Log{fmt.Sprintf("server %s is free again: nobody has seen it fail for %v", s.ID, m.s.MaxEvidenceAge)})
		s.clear(m.now)
		return
	}
	s.again(m, min(s.until(m)+1, m.now+stageEvery/4))
	runs, again := 0, 0
	for _, v := range voices {
		if v.lastOK > s.since {
			runs += v.run
		}
		if s.goodSince > 0 && v.lastBad > s.goodSince && v.run == 0 && ratio(v.bad, v.ok) > 0.1 {
			again += min(v.streak, 2)
		}
	}
	need := min(runLeast<<min(s.times-1, 10), runMost)
	switch {
	case again >= 2: // one is chance
		s.goodSince, s.since = 0, m.now
		s.times++
		s.lastOut = m.now
	case s.goodSince == 0 && runs >= need:
		s.goodSince = m.now
		m.do(Log{fmt.Sprintf("server %s answers again: it comes back by and by", s.ID)})
	}
	if s.goodSince > 0 && m.part(s) >= 1 {
		m.counts.Readmitted++
		m.do(Log{fmt.Sprintf("server %s is back", s.ID)})
		s.clear(m.now)
	}
}

// clear ends a verdict. What spoke against it is forgotten: it takes new evidence to have it out again.
func (s *server) clear(now time.Duration) {
	s.out, s.why, s.by, s.goodSince, s.suspected = false, "", nil, 0, 0
	s.voices, s.freed = nil, now
	s.own.bad, s.own.ok, s.own.said = 0, 0, 0
}

func (m *Member) triers(s *server) int { return max(1, min(triersMost, len(m.callers(s))/8)) }

// part is the share of the members that may use one that is out.
func (m *Member) part(s *server) float64 {
	few := float64(m.triers(s)) / float64(max(1, len(m.callers(s))))
	if s.goodSince == 0 {
		return min(few, 0.99)
	}
	return few * math.Exp2(float64(m.now-s.goodSince)/float64(stageEvery))
}

// mayUse reports whether this member may: the first few, in an order that is each server's own and the same for all.
func (m *Member) mayUse(s *server) bool {
	if s.placed != m.named { // who is there has changed
		mine := rankOf(m.s.Name, s.ID)
		s.place, s.placed = 0, m.named
		for _, n := range m.callers(s) {
			if n != m.s.Name && rankOf(n, s.ID) < mine {
				s.place++
			}
		}
	}
	before := s.place
	all := len(m.callers(s))
	return float64(before) < max(float64(m.triers(s)), m.part(s)*float64(all)) && before < max(1, all-1) || all <= 1
}

// capOf are the servers that would be out, and are not since too many of their zone or pod are: the worst stay out, and
// of these the ones that are out for longer.
func (m *Member) capOf() map[string]bool {
	var outs []*server
	for _, s := range m.live {
		if s.out && s.State == Up {
			outs = append(outs, s)
		}
	}
	slices.SortStableFunc(outs, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.since, b.since), cmp.Compare(a.ID, b.ID))
	})
	held := map[string]bool{}
	taken := make([]int, len(m.ups))
	for _, s := range outs {
		for _, g := range s.groups {
			most := int(m.s.MaxEjectedShare * float64(m.ups[g]))
			if most == 0 && m.ups[g] > 1 {
				most = 1
			}
			if taken[g] >= most {
				held[s.ID] = true
			}
		}
		if !held[s.ID] {
			for _, g := range s.groups {
				taken[g]++
			}
		}
	}
	return held
}

// ServerStatus is how a server stands, for operators.
type ServerStatus struct {
	Server            string        `json:"server"`
	State             string        `json:"verdict"` // out, accused, drains, gone
	Reason            string        `json:"why,omitempty"`
	Reporters         []string      `json:"by,omitempty"` // whose evidence
	Duration          time.Duration `json:"for_ns"`
	AdmittedShare     float64       `json:"used_by"` // share of members that may use it now
	Followed          bool          `json:"followed"`
	NotFollowedReason string        `json:"not_followed_for,omitempty"`
	Succeeded         float64       `json:"answered"` // by all voices known here, faded
	Failed            float64       `json:"failed"`
}

// Status is all servers about which something is said.
func (m *Member) Status() []ServerStatus {
	var all []ServerStatus
	for _, s := range m.live {
		if !s.open(m) {
			continue
		}
		one := ServerStatus{Server: s.ID, State: "accused", AdmittedShare: 1, Reason: s.why, Reporters: s.by}
		for _, v := range s.heard(m) {
			one.Succeeded, one.Failed = one.Succeeded+v.ok, one.Failed+v.bad
			if !s.out && (v.accuses() || v.partly()) {
				one.Reporters = append(one.Reporters, v.origin)
			}
		}
		switch {
		case s.out:
			one.State, one.Duration, one.AdmittedShare, one.Followed = "out", m.now-s.since, min(1, m.part(s)), true
			if s.capped {
				one.Followed, one.NotFollowedReason = false, "too many of its zone or pod are out"
			} else if m.mayUse(s) {
				one.Followed, one.NotFollowedReason = false, "this member tries it for the fleet"
			}
		case s.drainAt > 0 && m.now-s.drainAt <= m.s.MaxDrainAge:
			one.State, one.Duration, one.Followed = [...]string{"", "drains", "gone"}[s.drain], m.now-s.drainAt, s.State == Up
			if s.State != Up {
				one.NotFollowedReason = "its own list says so"
			}
		}
		all = append(all, one)
	}
	return all
}
