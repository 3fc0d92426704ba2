package membership

import "time"

// probe is a ping that waits for its ack: first directly, then through helpers as well (SWIM, section 3.1).
type probe struct {
	target      string
	seq         uint32 // sequence number of the first ping and of the requests to helpers
	sentAt      time.Duration
	retrySeq    uint32 // of the second ping: distinguishes its ack from the first one's (Karn's algorithm); 0: not sent
	retrySentAt time.Duration
	until       time.Duration // when the current stage times out

	indirect     bool            // second stage: requests were sent to helpers
	helpers      []*member       // helpers that a request was sent to
	nacks        map[string]bool // names of the helpers that sent a Nack
	maxHelpers   int             // limit of a sweep probe; defaultHelpers for other probes
	remoteRegion *region         // region that this member probes as its watcher; nil for a probe in its own region
}

const (
	// indirectHelpers is the number of helpers of an indirect probe (SWIM's k); a probe of a suspect has
	// suspectHelperFactor times as many. More helpers are more likely to reach a member behind a bad link; each costs a
	// datagram each way.
	indirectHelpers     = 3
	suspectHelperFactor = 2
	// sweepHelpers is the number of helpers of each probe in a sweep, which sends many probes.
	sweepHelpers = 1
	// defaultHelpers is the value of probe.maxHelpers that selects indirectHelpers.
	defaultHelpers = 0
)

func (v *View) nextSeq() uint32 {
	v.lastSeq++
	return v.lastSeq
}

// runProbes advances the probes whose current stage has timed out, and starts the next probe if it is due.
func (v *View) runProbes() {
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
	// A late step does not make up for missed intervals, so that it never starts two probes at once.
	interval := v.scaledByHealth(v.settings.ProbeInterval)
	v.probeAt = max(v.probeAt+interval, v.now+interval/2)
	if target := v.nextTarget(); target != nil {
		v.startProbe(target, defaultHelpers)
	}
	v.sweepProbes()
}

// startProbe sends the first ping of a probe. It reports whether the budget allowed it.
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

// sendPing sends a ping of a probe. It carries the target's own record unless the target is alive. A ping of a sweep
// carries no other updates: they would use up the budget for the remaining probes.
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

// isSweep reports whether a probe belongs to a sweep, which probes many members during a partition.
func (p *probe) isSweep() bool { return p.maxHelpers != defaultHelpers }

// nextTarget returns the next member to probe. It goes through the members of this region in random order and shuffles
// them again for each round, so that the time between two probes of a member is bounded (SWIM, section 4.3). In a fleet
// with regions, every second probe goes to this member's own zone in the same way. Each member is still probed once an
// interval on average: half of these probes come from its zone and half from its region.
func (v *View) nextTarget() *member {
	v.lastProbeInZone = !v.lastProbeInZone && v.settings.Region != ""
	if v.lastProbeInZone {
		if m := v.nextInOrder(&v.zoneProbeOrder, v.zonePool); m != nil {
			return m
		}
	}
	return v.nextInOrder(&v.probeOrder, func() func(*member) bool { return anyMember })
}

// nextInOrder removes and returns the next member of a probe order. When the order is empty it is refilled with the
// members of this region that pool's filter accepts; pool is only called for a refill.
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

// zonePool returns a filter that accepts the members of this member's zone. A member that is the only one of its zone
// is assigned to the first zone, by name, that has several members: with 5 members in zone a, 1 in b and 4 in c, the
// member of b is probed like a member of a. Otherwise such members would be probed half as often. Members with equal
// views assign them alike.
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

// probeFailed handles a probe that was answered neither directly nor through helpers.
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
	// A missing Nack of a helper is a sign that this member itself can't receive (Lifeguard). Helpers that have become
	// unresponsive themselves don't count, because many members may have died at once.
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

// onAck forwards an ack that answers a ping on behalf of another member, or completes a probe of this member.
func (v *View) onAck(m *Message) {
	if v.relayAck(m) || v.completeProbe(m) {
		return
	}
	v.onLateAck(m)
}

// completeProbe ends the probe that an ack answers. It reports whether there is such a probe.
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

// onDirectAck measures the round-trip time of the ping that its target answered itself.
func (v *View) onDirectAck(p *probe, target *member, ack *Message) {
	if ack.Seq == p.seq {
		v.recordRoundTrip(target, v.now-p.sentAt)
	} else {
		v.recordRoundTrip(target, v.now-p.retrySentAt)
		v.rememberTimedOut(timedOutProbe{p.seq, p.target, p.sentAt}) // the first ping's ack may still arrive
	}
	target.refutedSuspicions = 0
	if p.remoteRegion == nil {
		v.improveHealth()
	}
}

// onIndirectAck records the helper that reached the target.
func (v *View) onIndirectAck(p *probe, target *member, ack *Message) {
	target.lastHelper = ack.From
	if p.remoteRegion != nil {
		p.remoteRegion.lastHelper = ack.From
	} else {
		v.lastHelper = ack.From
	}
	v.rememberTimedOut(timedOutProbe{p.seq, p.target, p.sentAt})
}

// onNack records that a helper responded although the target did not answer it.
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
