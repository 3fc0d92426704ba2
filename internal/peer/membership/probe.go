package membership

import "time"

// probe is a question whether a member is there.
type probe struct {
	target       string
	seq          uint32
	sentAt       time.Duration // it was sent
	retrySeq     uint32        // the second question, once others were asked too: its answer is told from the first's
	retrySentAt  time.Duration
	until        time.Duration // of the present stage
	indirect     bool          // others were asked too
	helpers      []*member
	maxHelpers   int             // helpers of chance; 0: as many as ever
	remoteRegion *region         // it is of a watcher, for another region
	nacks        map[string]bool // which of them said that they are there
}

// relayedRequest is a question that another has this member ask.
type relayedRequest struct {
	seq, requesterSeq uint32
	target            string
	replyTo           string
	sentAt            time.Duration // it was asked
	until             time.Duration
	identity          bool // WhoIs, not Ping
}

const maxRelayedRequests = 64

func (v *View) nextSeq() uint32 {
	v.lastSeq++
	return v.lastSeq
}

// probesDue starts the next probe, and judges those whose time is up.
func (v *View) probesDue() {
	for i := 0; i < len(v.probes); {
		p := v.probes[i]
		switch {
		case v.now < p.until:
			i++
		case !p.indirect && v.probeIndirectly(p):
			i++
		default:
			v.probes = append(v.probes[:i], v.probes[i+1:]...)
			v.probeFailed(p)
		}
	}
	if v.now < v.probeAt {
		return
	}
	// Never two at once for a slow clock: what was missed is not made up for.
	v.probeAt = max(v.probeAt+v.scaledByHealth(v.settings.ProbeInterval), v.now+v.scaledByHealth(v.settings.ProbeInterval)/2)
	if m := v.nextTarget(); m != nil {
		v.startProbe(m, 0)
	}
	v.sweepProbes()
}

// startProbe begins a probe. It reports whether the budget had it.
func (v *View) startProbe(m *member, few int) bool {
	p := &probe{target: m.Name, seq: v.nextSeq(), sentAt: v.now, until: v.now + v.scaledByHealth(v.probeTimeout(m)), maxHelpers: few}
	defer func(was bool) { v.withoutUpdates = was }(v.withoutUpdates)
	v.withoutUpdates = few > 0 // news would take what the sweep needs
	if !v.sendToMember(m, &Message{Kind: Ping, Seq: p.seq, Target: m.Name}, reserveForResponses, unlessAlive(m)) {
		return false
	}
	v.probes = append(v.probes, p)
	return true
}

// unlessAlive is the member, where its own state would be news to it.
func unlessAlive(m *member) *member {
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
	if v.lastProbeInZone = !v.lastProbeInZone && v.settings.Region != ""; v.lastProbeInZone {
		if m := v.nextInOrder(&v.zoneProbeOrder, v.zonePool()); m != nil {
			return m
		}
	}
	return v.nextInOrder(&v.probeOrder, nil)
}

func (v *View) nextInOrder(turn *[]string, of func(*member) bool) *member {
	for range 2 {
		for len(*turn) > 0 {
			m := v.members[(*turn)[len(*turn)-1]]
			*turn = (*turn)[:len(*turn)-1]
			if m != nil && m.list == listLive && m.region == v.localRegion && !v.isProbing(m.Name) {
				return m
			}
		}
		for _, m := range v.localRegion.live {
			if of == nil || of(m) {
				*turn = append(*turn, m.Name)
			}
		}
		v.rng.Shuffle(len(*turn), func(i, j int) { (*turn)[i], (*turn)[j] = (*turn)[j], (*turn)[i] })
	}
	return nil
}

// zonePool tells who is of this member's zone. One that is alone in its zone counts in the first zone that has several, for
// all that know the same members: else it would be probed half as often.
func (v *View) zonePool() func(*member) bool {
	if len(v.zoneProbeOrder) > 0 {
		return nil // nobody asks
	}
	count := map[string]int{v.self.Zone: 1}
	for _, m := range v.localRegion.live {
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

func (v *View) isProbing(name string) bool {
	for _, p := range v.probes {
		if p.target == name {
			return true
		}
	}
	return false
}

// probeIndirectly has helpers probe a member that did not answer in time. One that reached it lately is among them.
func (v *View) probeIndirectly(p *probe) bool {
	m := v.members[p.target]
	if m == nil || m.list != listLive && p.remoteRegion == nil {
		return false
	}
	m.unresponsive = true
	defer func(was bool) { v.withoutUpdates = was }(v.withoutUpdates)
	v.withoutUpdates = p.maxHelpers > 0
	p.indirect, p.retrySeq, p.retrySentAt = true, v.nextSeq(), v.now
	// Once more directly: of two datagrams one more often comes through than of one.
	v.sendToMember(m, &Message{Kind: Ping, Seq: p.retrySeq, Target: m.Name}, reserveForResponses, unlessAlive(m))
	most := indirectHelpers
	if m.State == Suspect { // it is a matter of its name now
		most *= 2
	}
	if p.maxHelpers > 0 {
		most = p.maxHelpers
	}
	asked := map[*member]bool{m: true}
	ask := func(h *member) {
		if h == nil || h.State != Alive || asked[h] || len(asked) > most {
			return
		}
		asked[h] = true
		if v.send(h.Addr, &Message{Kind: IndirectPing, Seq: p.seq, Target: m.Name, Addr: m.Addr, Reply: v.settings.Addr}, reserveForResponses, unlessAlive(m)) {
			p.helpers = append(p.helpers, h)
		}
	}
	third := func(h *member) bool {
		return h.region != v.localRegion && h.region != m.region && !h.region.unreachable && h.State == Alive
	}
	ask(v.members[m.lastHelper])
	if p.remoteRegion != nil { // a third region may reach both
		if most = maxRemoteHelpers; p.remoteRegion.reportedUnreachable {
			most = 1
		}
		v.hastenRegionProbe(p.remoteRegion)
		ask(v.members[p.remoteRegion.lastHelper])
		if len(v.sortedRegions) > 2 {
			for _, h := range v.sample(v.live, most, third) {
				ask(h)
			}
		}
	} else {
		ask(v.members[v.lastHelper]) // who stands between two parts for one stands there for others
		if v.isPartitioned() && len(v.sortedRegions) > 1 {
			for _, h := range v.sample(v.live, 1, third) {
				ask(h)
			}
		}
	}
	if p.remoteRegion != nil && len(p.helpers) > 0 && len(p.helpers) >= most {
		most = 0
	}
	for _, h := range v.sample(v.localRegion.live, most, func(h *member) bool { return !asked[h] && h.State == Alive }) {
		ask(h)
	}
	p.until = v.now + v.scaledByHealth(v.indirectTimeout(m, p.helpers))
	return true
}

// sample are up to n members of a list by chance of which ok holds.
func (v *View) sample(list []*member, n int, ok func(*member) bool) []*member {
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

// probeFailed judges a probe that was not answered.
func (v *View) probeFailed(p *probe) {
	m := v.members[p.target]
	v.rememberTimedOut(p.seq, p.target, p.sentAt)
	if p.retrySeq > 0 {
		v.rememberTimedOut(p.retrySeq, p.target, p.retrySentAt)
	}
	if p.remoteRegion != nil {
		v.regionProbeFailed(p.remoteRegion)
		return
	}
	if m == nil || m.list != listLive {
		return
	}
	v.recordProbeResult(true)
	// Helpers that do not even say that they could not: it may be this member that is deaf (Lifeguard).
	// Those that have fallen silent themselves meanwhile say nothing of it: many may have died at once.
	for _, h := range p.helpers {
		if !p.nacks[h.Name] && !h.unresponsive && h.State == Alive {
			v.degradeHealth(1)
		}
	}
	switch {
	case v.settings.Baseline.NoSuspicion:
		v.declareDead(m, "a probe failed")
	case v.isolated, v.now < m.noSuspicionBefore && m.State == Alive:
	default:
		v.suspect(m)
	}
}

func (v *View) onDatagram(e DatagramReceived) {
	m := e.Message
	if !m.ok() || v.isLeaving {
		return
	}
	v.traffic.Received++
	switch m.Kind {
	case IdentityRequest:
		v.send(m.Addr, &Message{Kind: IdentityResponse, Seq: m.Seq, SubjectRunID: v.self.RunID, UptimeMS: uint64(v.uptime() / time.Millisecond)}, reserveNone)
		return
	case IdentityResponse:
		v.onIdentityResponse(m)
		return
	case IndirectIdentityRequest:
		v.relayRequest(m, true)
		return
	}
	if v.yielding {
		return
	}
	if m.From == v.settings.Name {
		if m.RunID != v.self.RunID && m.Kind == Ping { // another process with this name: it should know of this one
			v.send(m.Addr, &Message{Kind: Gossip}, reserveForProbes, v.self)
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
		v.exchange.requestWith(v, back) // a process that is not known here
	case m.Boot != from.Boot || m.RunID != from.RunID:
		v.traffic.Stale++ // of an earlier one, or of one that lost its disk: it is told what is known
		if m.Kind == Ping {
			v.send(back, &Message{Kind: Gossip}, reserveForProbes, from)
		}
		return
	case m.Number+replayWindow < from.highestNumber:
		v.traffic.Stale++
		return
	default:
		from.highestNumber = max(from.highestNumber, m.Number)
		back = from.Addr
		v.recordSender(from)
		v.onAnyDatagram(back)
		v.compareDigest(from, m.Digest)
	}
	var wrong []*member
	for i := range m.Updates {
		r := &m.Updates[i]
		v.merge(*r, "news")
		if t := v.members[r.Name]; t != nil && r.State >= Suspect && r.RunID == t.RunID && t.State == Alive && t.newer(r) && len(wrong) < maxCorrections {
			wrong = append(wrong, t)
		}
	}
	if len(wrong) > 0 && from != nil { // it accuses who has refuted that, and has not heard so
		v.sendToMember(from, &Message{Kind: Gossip}, reserveForProbes, wrong...)
	}
	switch m.Kind {
	case Ping:
		if m.Target == v.settings.Name { // else the address had another owner
			v.send(back, &Message{Kind: Ack, Seq: m.Seq, Target: v.settings.Name}, reserveNone, unlessAlive(from))
		}
	case IndirectPing:
		v.relayRequest(m, false)
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
	for i, e := range v.relayed {
		if !e.identity && e.seq == m.Seq && e.target == m.Target {
			v.relayed = append(v.relayed[:i], v.relayed[i+1:]...)
			if t := v.members[e.target]; t != nil && m.From == e.target {
				v.recordRoundTrip(t, v.now-e.sentAt)
			}
			v.send(e.replyTo, &Message{Kind: Ack, Seq: e.requesterSeq, Target: e.target}, reserveNone)
			return
		}
	}
	for i, p := range v.probes {
		if p.target == m.Target && (p.seq == m.Seq || p.retrySeq == m.Seq && p.indirect) {
			v.probes = append(v.probes[:i], v.probes[i+1:]...)
			t := v.members[p.target]
			if t == nil {
				return
			}
			if p.remoteRegion != nil {
				v.regionAnswered(p.remoteRegion, t)
			} else {
				v.recordProbeResult(false)
			}
			if t.ackAt = v.now; m.From != p.target {
				if t.lastHelper = m.From; p.remoteRegion != nil {
					p.remoteRegion.lastHelper = m.From
				} else {
					v.lastHelper = m.From
				}
				v.rememberTimedOut(p.seq, p.target, p.sentAt)
			} else {
				if m.Seq == p.seq {
					v.recordRoundTrip(t, v.now-p.sentAt)
				} else { // the first one's may still come
					v.recordRoundTrip(t, v.now-p.retrySentAt)
					v.rememberTimedOut(p.seq, p.target, p.sentAt)
				}
				if t.refutedSuspicions = 0; p.remoteRegion == nil {
					v.improveHealth()
				}
			}
			return
		}
	}
	v.onLateAck(m)
}

// relayRequest asks for another.
func (v *View) relayRequest(m *Message, who bool) {
	if len(v.relayed) >= maxRelayedRequests || m.Reply == "" || m.Addr == "" || m.Target == v.settings.Name && !who {
		return
	}
	wait := v.settings.ProbeTimeout
	if t := v.members[m.Target]; t != nil {
		wait = v.probeTimeout(t)
	}
	e := &relayedRequest{seq: v.nextSeq(), requesterSeq: m.Seq, target: m.Target, replyTo: m.Reply, sentAt: v.now, until: v.now + wait, identity: who}
	ask := &Message{Kind: Ping, Seq: e.seq, Target: m.Target}
	if who {
		ask = &Message{Kind: IdentityRequest, Seq: e.seq, Addr: v.settings.Addr}
	}
	about := unlessAlive(v.members[m.Target])
	for _, r := range m.Updates { // from afar it is not for this member to suspect; the suspect must know all the same
		if about == nil && !who && r.Name == m.Target && r.State == Suspect && r.check() == nil {
			ask.Updates = []Record{r}
		}
	}
	if v.send(m.Addr, ask, reserveForResponses, about) {
		v.relayed = append(v.relayed, e)
	}
}

func (v *View) relayedDue() {
	for i := 0; i < len(v.relayed); {
		e := v.relayed[i]
		if v.now < e.until {
			i++
			continue
		}
		v.relayed = append(v.relayed[:i], v.relayed[i+1:]...)
		if !e.identity {
			v.send(e.replyTo, &Message{Kind: Nack, Seq: e.requesterSeq, Target: e.target}, reserveNone)
		}
	}
}

// recordSender notes who is heard directly: news goes to these first, so that it finds its way where most can't hear most.
func (v *View) recordSender(m *member) {
	if m.receivedAt, m.unresponsive = v.now, false; v.isRemote(m) {
		return
	}
	for i, n := range v.recentSenders {
		if n == m.Name {
			copy(v.recentSenders[1:i+1], v.recentSenders[:i])
			v.recentSenders[0] = m.Name
			return
		}
	}
	if len(v.recentSenders) < maxRecentSenders {
		v.recentSenders = append(v.recentSenders, "")
	}
	copy(v.recentSenders[1:], v.recentSenders)
	v.recentSenders[0] = m.Name
}
