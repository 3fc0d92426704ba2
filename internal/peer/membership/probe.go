package membership

import "time"

// probe is a question whether a member is there.
type probe struct {
	target   string
	seq      uint32
	at       time.Duration // it was sent
	again    uint32        // the second question, once others were asked too: its answer is told from the first's
	againAt  time.Duration
	until    time.Duration // of the present stage
	indirect bool          // others were asked too
	helpers  []*member
	few      int             // helpers of chance; 0: as many as ever
	far      *region         // it is of a watcher, for another region
	nacks    map[string]bool // which of them said that they are there
}

// errand is a question that another has this member ask.
type errand struct {
	seq, theirs uint32
	target      string
	reply       string
	at          time.Duration // it was asked
	until       time.Duration
	who         bool // WhoIs, not Ping
}

const errandsMost = 64

func (v *View) nextSeq() uint32 {
	v.seq++
	return v.seq
}

// probesDue starts the next probe, and judges those whose time is up.
func (v *View) probesDue() {
	for i := 0; i < len(v.probes); {
		p := v.probes[i]
		switch {
		case v.now < p.until:
			i++
		case !p.indirect && v.askOthers(p):
			i++
		default:
			v.probes = append(v.probes[:i], v.probes[i+1:]...)
			v.missed(p)
		}
	}
	if v.now < v.probeAt {
		return
	}
	// Never two at once for a slow clock: what was missed is not made up for.
	v.probeAt = max(v.probeAt+v.patience(v.s.ProbeInterval), v.now+v.patience(v.s.ProbeInterval)/2)
	if m := v.nextTarget(); m != nil {
		v.ask(m, 0)
	}
	v.sweep()
}

// ask begins a probe. It reports whether the budget had it.
func (v *View) ask(m *member, few int) bool {
	p := &probe{target: m.Name, seq: v.nextSeq(), at: v.now, until: v.now + v.patience(v.direct(m)), few: few}
	defer func(was bool) { v.bare = was }(v.bare)
	v.bare = few > 0 // news would take what the sweep needs
	if !v.sendTo(m, &Message{Kind: Ping, Seq: p.seq, Target: m.Name}, forProbes, suspected(m)) {
		return false
	}
	v.probes = append(v.probes, p)
	return true
}

// suspected is the member, where its own state would be news to it.
func suspected(m *member) *member {
	if m != nil && m.State != Alive {
		return m
	}
	return nil
}

// nextTarget goes through all of its region that are alive or suspect in an order by chance, and then in another one:
// the time between two probes of one member by another is bounded (SWIM, 4.3). Where there are regions, every second
// probe goes through its own zone in the same way: in the mean each member is still probed once a period, by half of
// its zone and by half of the region.
func (v *View) nextTarget() *member {
	if v.zoneNext = !v.zoneNext && v.s.Region != ""; v.zoneNext {
		if m := v.next(&v.zoneTurn, v.pool()); m != nil {
			return m
		}
	}
	return v.next(&v.turn, nil)
}

func (v *View) next(turn *[]string, of func(*member) bool) *member {
	for range 2 {
		for len(*turn) > 0 {
			m := v.members[(*turn)[len(*turn)-1]]
			*turn = (*turn)[:len(*turn)-1]
			if m != nil && m.listed == inLive && m.region == v.home && !v.probing(m.Name) {
				return m
			}
		}
		for _, m := range v.home.live {
			if of == nil || of(m) {
				*turn = append(*turn, m.Name)
			}
		}
		v.rng.Shuffle(len(*turn), func(i, j int) { (*turn)[i], (*turn)[j] = (*turn)[j], (*turn)[i] })
	}
	return nil
}

// pool tells who is of this member's zone. One that is alone in its zone counts in the first zone that has several, for
// all that know the same members: else it would be probed half as often.
func (v *View) pool() func(*member) bool {
	if len(v.zoneTurn) > 0 {
		return nil // nobody asks
	}
	count := map[string]int{v.self.Zone: 1}
	for _, m := range v.home.live {
		count[m.Zone]++
	}
	first, found := "", false
	for zone, n := range count {
		if n > 1 && (!found || zone < first) {
			first, found = zone, true
		}
	}
	of := func(m *member) string {
		if count[m.Zone] == 1 {
			return first
		}
		return m.Zone
	}
	own := of(v.self)
	return func(m *member) bool { return of(m) == own }
}

func (v *View) probing(name string) bool {
	for _, p := range v.probes {
		if p.target == name {
			return true
		}
	}
	return false
}

// askOthers has helpers probe a member that did not answer in time. One that reached it lately is among them.
func (v *View) askOthers(p *probe) bool {
	m := v.members[p.target]
	if m == nil || m.listed != inLive && p.far == nil {
		return false
	}
	m.deaf = true
	defer func(was bool) { v.bare = was }(v.bare)
	v.bare = p.few > 0
	p.indirect, p.again, p.againAt = true, v.nextSeq(), v.now
	// Once more directly: of two datagrams one more often comes through than of one.
	v.sendTo(m, &Message{Kind: Ping, Seq: p.again, Target: m.Name}, forProbes, suspected(m))
	most := helpers
	if m.State == Suspect { // it is a matter of its name now
		most *= 2
	}
	if p.few > 0 {
		most = p.few
	}
	asked := map[*member]bool{m: true}
	ask := func(h *member) {
		if h == nil || h.State != Alive || asked[h] || len(asked) > most {
			return
		}
		asked[h] = true
		if v.send(h.Addr, &Message{Kind: IndirectPing, Seq: p.seq, Target: m.Name, Addr: m.Addr, Reply: v.s.Addr}, forProbes, suspected(m)) {
			p.helpers = append(p.helpers, h)
		}
	}
	third := func(h *member) bool {
		return h.region != v.home && h.region != m.region && !h.region.away && h.State == Alive
	}
	ask(v.members[m.via])
	if p.far != nil { // a third region may reach both
		if most = farHelpers; p.far.mute {
			most = 1
		}
		v.doubts(p.far)
		ask(v.members[p.far.via])
		if len(v.areas) > 2 {
			for _, h := range v.some(v.live, most, third) {
				ask(h)
			}
		}
	} else {
		ask(v.members[v.via]) // who stands between two parts for one stands there for others
		if v.cutOff() && len(v.areas) > 1 {
			for _, h := range v.some(v.live, 1, third) {
				ask(h)
			}
		}
	}
	if p.far != nil && len(p.helpers) > 0 && len(p.helpers) >= most {
		most = 0
	}
	for _, h := range v.some(v.home.live, most, func(h *member) bool { return !asked[h] && h.State == Alive }) {
		ask(h)
	}
	p.until = v.now + v.patience(v.indirect(m, p.helpers))
	return true
}

// some are up to n members of a list by chance of which ok holds.
func (v *View) some(list []*member, n int, ok func(*member) bool) []*member {
	var all []*member
	if len(list) <= 3*n {
		for _, i := range v.rng.Perm(len(list)) {
			if m := list[i]; len(all) < n && ok(m) {
				all = append(all, m)
			}
		}
		return all
	}
draw:
	for range 6 * n {
		m := list[v.rng.IntN(len(list))]
		for _, o := range all {
			if o == m {
				continue draw
			}
		}
		if ok(m) {
			if all = append(all, m); len(all) == n {
				break
			}
		}
	}
	return all
}

// missed judges a probe that was not answered.
func (v *View) missed(p *probe) {
	m := v.members[p.target]
	v.gaveUp(p.seq, p.target, p.at)
	if p.again > 0 {
		v.gaveUp(p.again, p.target, p.againAt)
	}
	if p.far != nil {
		v.missedFar(p.far)
		return
	}
	if m == nil || m.listed != inLive {
		return
	}
	v.result(true)
	// Helpers that do not even say that they could not: it may be this member that is deaf (Lifeguard).
	// Those that have fallen silent themselves meanwhile say nothing of it: many may have died at once.
	for _, h := range p.helpers {
		if !p.nacks[h.Name] && !h.deaf && h.State == Alive {
			v.worsen(1)
		}
	}
	switch {
	case v.s.Baseline.NoSuspicion:
		v.declare(m, "a probe failed")
	case v.lone, v.now < m.muted && m.State == Alive:
	default:
		v.accuse(m)
	}
}

func (v *View) onDatagram(e DatagramReceived) {
	m := e.Message
	if !m.ok() || v.leaveState {
		return
	}
	v.sent.Received++
	switch m.Kind {
	case IdentityRequest:
		v.send(m.Addr, &Message{Kind: IdentityResponse, Seq: m.Seq, SubjectRunID: v.self.RunID, UptimeMS: uint64(v.up() / time.Millisecond)}, forAnswers)
		return
	case IdentityResponse:
		v.onIAm(m)
		return
	case IndirectIdentityRequest:
		v.runErrand(m, true)
		return
	}
	if v.standby {
		return
	}
	if m.From == v.s.Name {
		if m.RunID != v.self.RunID && m.Kind == Ping { // another process with this name: it should know of this one
			v.send(m.Addr, &Message{Kind: Gossip}, forNews, v.self)
		}
		return
	}
	from := v.members[m.From]
	back := m.Addr // where an answer goes
	if m.Kind == IndirectPing {
		back = m.Reply
	}
	switch {
	case from == nil || m.Boot > from.Boot || m.Boot == from.Boot && m.RunID > from.RunID:
		v.exchange.with(v, back) // a process that is not known here
	case m.Boot != from.Boot || m.RunID != from.RunID:
		v.sent.Stale++ // of an earlier one, or of one that lost its disk: it is told what is known
		if m.Kind == Ping {
			v.send(back, &Message{Kind: Gossip}, forNews, from)
		}
		return
	case m.Number+replayWindow < from.number:
		v.sent.Stale++
		return
	default:
		from.number = max(from.number, m.Number)
		back = from.Addr
		v.hear(from)
		v.hearAny(back)
		v.compare(from, m.Digest)
	}
	var wrong []*member
	for i := range m.Updates {
		r := &m.Updates[i]
		v.merge(*r, "news")
		if t := v.members[r.Name]; t != nil && r.State >= Suspect && r.RunID == t.RunID && t.State == Alive && t.newer(r) && len(wrong) < correctMost {
			wrong = append(wrong, t)
		}
	}
	if len(wrong) > 0 && from != nil { // it accuses who has refuted that, and has not heard so
		v.sendTo(from, &Message{Kind: Gossip}, forNews, wrong...)
	}
	switch m.Kind {
	case Ping:
		if m.Target == v.s.Name { // else the address had another owner
			v.send(back, &Message{Kind: Ack, Seq: m.Seq, Target: v.s.Name}, forAnswers, suspected(from))
		}
	case IndirectPing:
		v.runErrand(m, false)
	case Ack:
		v.onAck(m)
	case Nack:
		for _, p := range v.probes {
			if p.seq == m.Seq && p.target == m.Target {
				if p.nacks == nil {
					p.nacks = map[string]bool{}
				}
				p.nacks[m.From] = true
			}
		}
	}
}

func (v *View) onAck(m *Message) {
	for i, e := range v.errands {
		if !e.who && e.seq == m.Seq && e.target == m.Target {
			v.errands = append(v.errands[:i], v.errands[i+1:]...)
			if t := v.members[e.target]; t != nil && m.From == e.target {
				v.measured(t, v.now-e.at)
			}
			v.send(e.reply, &Message{Kind: Ack, Seq: e.theirs, Target: e.target}, forAnswers)
			return
		}
	}
	for i, p := range v.probes {
		if p.target == m.Target && (p.seq == m.Seq || p.again == m.Seq && p.indirect) {
			v.probes = append(v.probes[:i], v.probes[i+1:]...)
			t := v.members[p.target]
			if t == nil {
				return
			}
			if p.far != nil {
				v.answered(p.far, t)
			} else {
				v.result(false)
			}
			if t.ackAt = v.now; m.From != p.target {
				if t.via = m.From; p.far != nil {
					p.far.via = m.From
				} else {
					v.via = m.From
				}
				v.gaveUp(p.seq, p.target, p.at)
			} else {
				if m.Seq == p.seq {
					v.measured(t, v.now-p.at)
				} else { // the first one's may still come
					v.measured(t, v.now-p.againAt)
					v.gaveUp(p.seq, p.target, p.at)
				}
				if t.mutes = 0; p.far == nil {
					v.better()
				}
			}
			return
		}
	}
	v.answeredLate(m)
}

// runErrand asks for another.
func (v *View) runErrand(m *Message, who bool) {
	if len(v.errands) >= errandsMost || m.Reply == "" || m.Addr == "" || m.Target == v.s.Name && !who {
		return
	}
	wait := v.s.ProbeTimeout
	if t := v.members[m.Target]; t != nil {
		wait = v.direct(t)
	}
	e := &errand{seq: v.nextSeq(), theirs: m.Seq, target: m.Target, reply: m.Reply, at: v.now, until: v.now + wait, who: who}
	ask := &Message{Kind: Ping, Seq: e.seq, Target: m.Target}
	if who {
		ask = &Message{Kind: IdentityRequest, Seq: e.seq, Addr: v.s.Addr}
	}
	about := suspected(v.members[m.Target])
	for _, r := range m.Updates { // from afar it is not for this member to suspect; the suspect must know all the same
		if about == nil && !who && r.Name == m.Target && r.State == Suspect && r.check() == nil {
			ask.Updates = []Record{r}
		}
	}
	if v.send(m.Addr, ask, forProbes, about) {
		v.errands = append(v.errands, e)
	}
}

func (v *View) errandsDue() {
	for i := 0; i < len(v.errands); {
		e := v.errands[i]
		if v.now < e.until {
			i++
			continue
		}
		v.errands = append(v.errands[:i], v.errands[i+1:]...)
		if !e.who {
			v.send(e.reply, &Message{Kind: Nack, Seq: e.theirs, Target: e.target}, forAnswers)
		}
	}
}

// hear notes who is heard directly: news goes to these first, so that it finds its way where most can't hear most.
func (v *View) hear(m *member) {
	if m.heardAt, m.deaf = v.now, false; v.isFar(m) {
		return
	}
	for i, n := range v.heard {
		if n == m.Name {
			copy(v.heard[1:i+1], v.heard[:i])
			v.heard[0] = m.Name
			return
		}
	}
	if len(v.heard) < heardKept {
		v.heard = append(v.heard, "")
	}
	copy(v.heard[1:], v.heard)
	v.heard[0] = m.Name
}
