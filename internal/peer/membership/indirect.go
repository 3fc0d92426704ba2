package membership

import "time"

// helperRequests selects the helpers for one probe, which ping its target on behalf of this member, and sends the
// requests to them.
type helperRequests struct {
	view   *View
	probe  *probe
	target *member
	limit  int              // maximum number of helpers
	chosen map[*member]bool // the helpers selected so far, and the target itself
}

// send sends a member the request to ping the target, unless the member is not alive or is already chosen, or the
// limit is reached.
func (h *helperRequests) send(helper *member) {
	if helper == nil || helper.State != Alive || h.chosen[helper] || len(h.chosen) > h.limit {
		return
	}
	h.chosen[helper] = true
	sent := h.view.sendDatagram(datagram{
		to: helper.Addr,
		message: &Message{
			Kind:   IndirectPing,
			Seq:    h.probe.seq,
			Target: h.target.Name,
			Addr:   h.target.Addr,
			Reply:  h.view.settings.Addr,
		},
		reserve:        reserveForResponses,
		about:          []*member{unlessAlive(h.target)},
		withoutUpdates: h.probe.isSweep(),
	})
	if sent {
		h.probe.helpers = append(h.probe.helpers, helper)
	}
}

func (h *helperRequests) sendAll(helpers []*member) {
	for _, helper := range helpers {
		h.send(helper)
	}
}

// probeIndirectly starts the second stage of a probe that was not answered in time. It sends a second ping, because one
// of two datagrams is more likely to arrive, and requests to helpers. It reports false if the target must no longer be
// probed.
func (v *View) probeIndirectly(p *probe) bool {
	target := v.members[p.target]
	if target == nil || target.list != listLive && p.remoteRegion == nil {
		return false
	}
	target.unresponsive = true
	p.indirect = true
	p.retrySeq = v.nextSeq()
	p.retrySentAt = v.now
	v.sendPing(p, p.retrySeq, target)

	requests := &helperRequests{
		view:   v,
		probe:  p,
		target: target,
		limit:  helperLimit(p, target),
		chosen: map[*member]bool{target: true},
	}
	requests.send(v.members[target.lastHelper]) // the helper that last reached the target
	if p.remoteRegion != nil {
		requests.chooseForRegion(p.remoteRegion)
	} else {
		requests.chooseForLocal()
	}
	helpers := v.sample(v.localRegion.live, requests.limit, func(m *member) bool {
		return !requests.chosen[m] && m.State == Alive
	})
	requests.sendAll(helpers)
	p.until = v.now + v.scaledByHealth(v.indirectTimeout(target, p.helpers))
	return true
}

// helperLimit returns the maximum number of helpers for a probe. A suspect gets more, because it may soon be declared
// dead.
func helperLimit(p *probe, target *member) int {
	switch {
	case p.isSweep():
		return p.maxHelpers
	case target.State == Suspect:
		return indirectHelpers * suspectHelperFactor
	}
	return indirectHelpers
}

// chooseForRegion selects helpers for a probe of another region: first members of third regions, which may reach both
// regions, and members of this region only if there are too few of them.
func (h *helperRequests) chooseForRegion(r *region) {
	v := h.view
	h.limit = maxRemoteHelpers
	if r.reportedUnreachable {
		h.limit = 1
	}
	v.hastenRegionProbe(r)
	h.send(v.members[r.lastHelper])
	if len(v.sortedRegions) > 2 {
		h.sendAll(v.sample(v.live, h.limit, h.isInThirdRegion))
	}
	if len(h.probe.helpers) > 0 && len(h.probe.helpers) >= h.limit {
		h.limit = 0
	}
}

// chooseForLocal selects helpers for a probe in this region. The helper through which any member was last reached comes
// first: if it connects two parts of a fleet for one member, it does so for others. During a partition, a member of
// another region may connect them.
func (h *helperRequests) chooseForLocal() {
	v := h.view
	h.send(v.members[v.lastHelper])
	if v.isPartitioned() && len(v.sortedRegions) > 1 {
		h.sendAll(v.sample(v.live, 1, h.isInThirdRegion))
	}
}

// isInThirdRegion reports whether a member is alive and in a reachable region other than this member's and the
// target's.
func (h *helperRequests) isInThirdRegion(m *member) bool {
	return m.region != h.view.localRegion && m.region != h.target.region && !m.region.unreachable && m.State == Alive
}

// relayedRequest is a ping or an identity request that this member sent as a helper of another member, the requester.
type relayedRequest struct {
	seq          uint32
	requesterSeq uint32 // sequence number of the requester's request, and of the answer to it
	target       string
	replyTo      string // address of the requester
	sentAt       time.Duration
	until        time.Duration
	identity     bool // IdentityRequest rather than Ping
}

// maxRelayedRequests is the maximum number of requests that this member relays at a time; further ones are dropped.
const maxRelayedRequests = 64

// relayPing sends a ping on behalf of another member.
func (v *View) relayPing(m *Message) {
	if m.Target == v.settings.Name || !v.canRelay(m) {
		return
	}
	r := v.newRelayedRequest(m)
	ping := &Message{Kind: Ping, Seq: r.seq, Target: m.Target}
	about := unlessAlive(v.members[m.Target])
	for i := range m.Updates {
		// This member ignores suspicions of members of other regions, but the suspect must receive the suspicion in order to
		// refute it.
		u := &m.Updates[i]
		if about == nil && u.Name == m.Target && u.State == Suspect && u.check() == nil {
			ping.Updates = []Record{*u}
		}
	}
	v.sendRelayed(m.Addr, ping, r, about)
}

// relayIdentityRequest sends an identity request on behalf of another member.
func (v *View) relayIdentityRequest(m *Message) {
	if !v.canRelay(m) {
		return
	}
	r := v.newRelayedRequest(m)
	r.identity = true
	request := &Message{Kind: IdentityRequest, Seq: r.seq, Addr: v.settings.Addr}
	v.sendRelayed(m.Addr, request, r, unlessAlive(v.members[m.Target]))
}

func (v *View) canRelay(m *Message) bool {
	return len(v.relayed) < maxRelayedRequests && m.Reply != "" && m.Addr != ""
}

func (v *View) newRelayedRequest(m *Message) *relayedRequest {
	timeout := v.settings.ProbeTimeout
	if target := v.members[m.Target]; target != nil {
		timeout = v.probeTimeout(target)
	}
	return &relayedRequest{
		seq:          v.nextSeq(),
		requesterSeq: m.Seq,
		target:       m.Target,
		replyTo:      m.Reply,
		sentAt:       v.now,
		until:        v.now + timeout,
	}
}

func (v *View) sendRelayed(to string, m *Message, r *relayedRequest, about *member) {
	if v.send(to, m, reserveForResponses, about) {
		v.relayed = append(v.relayed, r)
	}
}

// takeRelayed removes and returns the first relayed request that matches, or nil.
func (v *View) takeRelayed(matches func(*relayedRequest) bool) *relayedRequest {
	for i, r := range v.relayed {
		if matches(r) {
			v.relayed = append(v.relayed[:i], v.relayed[i+1:]...)
			return r
		}
	}
	return nil
}

// relayAck forwards an ack to the member on whose behalf the ping was sent. It reports whether this member relayed that
// ping.
func (v *View) relayAck(m *Message) bool {
	r := v.takeRelayed(func(r *relayedRequest) bool { return !r.identity && r.seq == m.Seq && r.target == m.Target })
	if r == nil {
		return false
	}
	if target := v.members[r.target]; target != nil && m.From == r.target {
		v.recordRoundTrip(target, v.now-r.sentAt)
	}
	v.send(r.replyTo, &Message{Kind: Ack, Seq: r.requesterSeq, Target: r.target}, reserveNone)
	return true
}

// relayIdentityResponse forwards an identity response with the identity unchanged: the RunID in the response matters,
// not its sender. It reports whether this member relayed the request.
func (v *View) relayIdentityResponse(m *Message) bool {
	r := v.takeRelayed(func(r *relayedRequest) bool { return r.identity && r.seq == m.Seq })
	if r == nil {
		return false
	}
	v.send(r.replyTo, &Message{
		Kind:         IdentityResponse,
		Seq:          r.requesterSeq,
		SubjectRunID: m.SubjectRunID,
		UptimeMS:     m.UptimeMS,
		Target:       m.identifiedName(),
	}, reserveNone)
	return true
}

// expireRelayedRequests drops the relayed requests that were not answered in time. The requester of a ping receives a
// Nack.
func (v *View) expireRelayedRequests() {
	for i := 0; i < len(v.relayed); {
		r := v.relayed[i]
		if v.now < r.until {
			i++
			continue
		}
		v.relayed = append(v.relayed[:i], v.relayed[i+1:]...)
		if !r.identity {
			v.send(r.replyTo, &Message{Kind: Nack, Seq: r.requesterSeq, Target: r.target}, reserveNone)
		}
	}
}
