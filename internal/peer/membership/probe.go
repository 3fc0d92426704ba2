package membership

import "time"

// probe is a ping that awaits its ack: first directly, then through helpers as well (SWIM, 3.1).
type probe struct {
	target      string
	seq         uint32 // of the first ping, and of the requests to helpers
	sentAt      time.Duration
	retrySeq    uint32 // of the second ping, so that its ack is told from the first's (Karn's algorithm); 0: not sent
	retrySentAt time.Duration
	until       time.Duration // the present stage times out

	indirect     bool            // the second stage: requests were sent to helpers
	helpers      []*member       // that the request was sent to
	nacks        map[string]bool // names of the helpers that sent a Nack
	maxHelpers   int             // defaultHelpers: as many as ever
	remoteRegion *region         // not nil: this member probes the region as one of its watchers
}

const (
	// indirectHelpers is the number of helpers of an indirect probe (SWIM's k); for a suspect it is twice that. More
	// reach a member more surely behind a bad link, and cost a datagram each way.
	indirectHelpers     = 3
	suspectHelperFactor = 2
	// sweepHelpers is the number of helpers during a partition, where many probes are sent.
	sweepHelpers = 1
	// defaultHelpers stands for indirectHelpers.
	defaultHelpers = 0
)

func (v *View) nextSeq() uint32 {
	v.lastSeq++
	return v.lastSeq
}

// probesDue continues the probes whose present stage has timed out, and starts the next one.
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
	// After a late step there are never two probes at once: what was missed is not made up for.
	interval := v.scaledByHealth(v.settings.ProbeInterval)
	v.probeAt = max(v.probeAt+interval, v.now+interval/2)
	if target := v.nextTarget(); target != nil {
		v.startProbe(target, defaultHelpers)
	}
	v.sweepProbes()
}

// startProbe sends the first ping of a probe. It reports whether the budget allowed it. A probe of a sweep carries no
// updates: they would take the budget of the others.
func (v *View) startProbe(target *member, maxHelpers int) bool {
	p := &probe{
		target:     target.Name,
		seq:        v.nextSeq(),
		sentAt:     v.now,
		until:      v.now + v.scaledByHealth(v.probeTimeout(target)),
		maxHelpers: maxHelpers,
	}
	if !v.sendPing(p, p.seq, target) {
		return false
	}
	v.probes = append(v.probes, p)
	return true
}

// sendPing sends a ping of a probe, with the target's own record unless it is alive.
func (v *View) sendPing(p *probe, seq uint32, target *member) bool {
	return v.sendDatagram(datagram{
		to:             target.Addr,
		message:        &Message{Kind: Ping, Seq: seq, Target: target.Name},
		reserve:        reserveForResponses,
		about:          []*member{unlessAlive(target)},
		likelyLost:     target.unresponsive,
		withoutUpdates: p.isSweep(),
	})
}

// isSweep reports whether a probe is one of the many that are sent during a partition.
func (p *probe) isSweep() bool { return p.maxHelpers != defaultHelpers }

// nextTarget takes the members of this region in a random order, and then in another one, so that the time between two
// probes of a member is bounded (SWIM, 4.3). Where there are regions, every second probe goes to this member's own zone
// in the same way: each member is still probed once an interval on average, by half of its zone and half of its region.
func (v *View) nextTarget() *member {
	v.lastProbeInZone = !v.lastProbeInZone && v.settings.Region != ""
	if v.lastProbeInZone {
		if m := v.nextInOrder(&v.zoneProbeOrder, v.zonePool); m != nil {
			return m
		}
	}
	return v.nextInOrder(&v.probeOrder, func() func(*member) bool { return anyMember })
}

// nextInOrder takes the next member from a probe order, which it refills with the members of this region in the pool. The
// pool is computed for a refill alone.
func (v *View) nextInOrder(order *[]string, pool func() func(*member) bool) *member {
	for range 2 {
		for len(*order) > 0 {
			last := len(*order) - 1
			m := v.members[(*order)[last]]
			*order = (*order)[:last]
			if m != nil && m.list == listLive && m.region == v.localRegion && !v.isProbing(m.Name) {
				return m
			}
		}
		inPool := pool()
		for _, m := range v.localRegion.live {
			if inPool(m) {
				*order = append(*order, m.Name)
			}
		}
		v.shuffle(*order)
	}
	return nil
}

// zonePool returns whether a member is of this member's zone. A member that is alone in its zone counts in the first zone,
// by name, that has several: of zones a with 5 members, b with 1 and c with 4, the one of b is probed as if it were in a.
// All members that know the same others agree on that; otherwise the lone ones would be probed half as often.
func (v *View) zonePool() func(*member) bool {
	sizes := map[string]int{v.self.Zone: 1}
	for _, m := range v.localRegion.live {
		sizes[m.Zone]++
	}
	first := ""
	found := false
	for zone, size := range sizes {
		if size > 1 && (!found || zone < first) {
			first = zone
			found = true
		}
	}
	poolOf := func(m *member) string {
		if sizes[m.Zone] == 1 {
			return first
		}
		return m.Zone
	}
	own := poolOf(v.self)
	return func(m *member) bool { return poolOf(m) == own }
}

func (v *View) isProbing(name string) bool {
	for _, p := range v.probes {
		if p.target == name {
			return true
		}
	}
	return false
}

// probeFailed draws the conclusions from a probe that was not answered, directly or through helpers.
func (v *View) probeFailed(p *probe) {
	v.rememberTimedOut(timedOutProbe{p.seq, p.target, p.sentAt})
	if p.retrySeq > 0 {
		v.rememberTimedOut(timedOutProbe{p.retrySeq, p.target, p.retrySentAt})
	}
	if p.remoteRegion != nil {
		v.regionProbeFailed(p.remoteRegion)
		return
	}
	m := v.members[p.target]
	if m == nil || m.list != listLive {
		return
	}
	v.recordProbeOutcome(outcomeMissed)
	// Helpers that did not even send a Nack: it may be this member that can't receive (Lifeguard). Helpers that have
	// become unresponsive themselves prove nothing: many members may have died at once.
	for _, h := range p.helpers {
		if !p.nacks[h.Name] && !h.unresponsive && h.State == Alive {
			v.degradeHealth(1)
		}
	}
	switch {
	case v.settings.Baseline.NoSuspicion:
		v.declareDead(m, reasonProbeFailed)
	case v.isolated:
	case v.now < m.noSuspicionBefore && m.State == Alive:
	default:
		v.suspect(m)
	}
}

// onAck passes an ack on that this member awaits on behalf of another one, or completes a probe.
func (v *View) onAck(m *Message) {
	if v.relayAck(m) || v.completeProbe(m) {
		return
	}
	v.onLateAck(m)
}

// completeProbe ends the probe that an ack answers, and reports whether there is one.
func (v *View) completeProbe(m *Message) bool {
	for i, p := range v.probes {
		if p.target == m.Target && (p.seq == m.Seq || p.retrySeq == m.Seq && p.indirect) {
			v.probes = append(v.probes[:i], v.probes[i+1:]...)
			if target := v.members[p.target]; target != nil {
				v.probeAnswered(p, target, m)
			}
			return true
		}
	}
	return false
}

func (v *View) probeAnswered(p *probe, target *member, ack *Message) {
	if p.remoteRegion != nil {
		v.regionAnswered(p.remoteRegion, target)
	} else {
		v.recordProbeOutcome(outcomeAnswered)
	}
	target.ackAt = v.now
	if ack.From == p.target {
		v.onDirectAck(p, target, ack)
	} else {
		v.onIndirectAck(p, target, ack)
	}
}

// onDirectAck measures the round trip of the ping that was answered.
func (v *View) onDirectAck(p *probe, target *member, ack *Message) {
	if ack.Seq == p.seq {
		v.recordRoundTrip(target, v.now-p.sentAt)
	} else {
		v.recordRoundTrip(target, v.now-p.retrySentAt)
		v.rememberTimedOut(timedOutProbe{p.seq, p.target, p.sentAt}) // its ack may still come
	}
	target.refutedSuspicions = 0
	if p.remoteRegion == nil {
		v.improveHealth()
	}
}

// onIndirectAck remembers the helper that reached the target.
func (v *View) onIndirectAck(p *probe, target *member, ack *Message) {
	target.lastHelper = ack.From
	if p.remoteRegion != nil {
		p.remoteRegion.lastHelper = ack.From
	} else {
		v.lastHelper = ack.From
	}
	v.rememberTimedOut(timedOutProbe{p.seq, p.target, p.sentAt})
}

// onNack notes that a helper is there although the target did not answer it.
func (v *View) onNack(m *Message) {
	for _, p := range v.probes {
		if p.seq != m.Seq || p.target != m.Target {
			continue
		}
		if p.nacks == nil {
			p.nacks = map[string]bool{}
		}
		p.nacks[m.From] = true
	}
}
