package membership

import (
	"math"
	"time"
)

const (
	// retransmitFactor is how often each update is sent, times the binary logarithm of the region's size (SWIM, 4.1,
	// lambda). Larger reaches members more surely at loss, and costs more bytes.
	retransmitFactor = 3
	// lostTransmissionFactor is how many times as often an update is sent to members that do not seem to hear this one.
	lostTransmissionFactor = 3
	// gossipFanout is the number of members that updates are sent to at a time, besides probes.
	gossipFanout = 3
	// gossipInterval is the time between two such rounds. Shorter spreads updates faster and fills datagrams less.
	gossipInterval = 100 * time.Millisecond
	// maxRecentSenders bounds the members that are remembered as having sent a datagram last.
	maxRecentSenders = 8
	// recentSenderAge is how long ago a datagram of such a member may have come: in fleets up to 15 every member that
	// can be heard probes or answers within it.
	recentSenderAge = 3 * time.Second
)

// updateQueue holds the updates that are gossiped, by how often each was sent: the least often sent goes first.
type updateQueue struct {
	levels [][]*queuedUpdate // by sent
	index  map[updateKey]*queuedUpdate
}

type updateKey struct{ name, reporter string }

// queuedUpdate is a member's state as of when it was queued. The record that is sent is the member's present one.
type queuedUpdate struct {
	member      *member
	reporter    string // of a suspicion: there may be several
	boot        uint64
	runID       uint64
	incarnation uint32
	state       State
	sent        int  // times sent to members that seem to hear this one
	lost        int  // times sent to members that do not
	removed     bool // another one replaced it, or it was sent often enough
}

func (q *updateQueue) empty() bool { return len(q.index) == 0 }

// put queues a member's present state. reporter is one of the reporters of a suspicion, else empty.
func (q *updateQueue) put(m *member, reporter string) {
	if q.index == nil {
		q.index = map[updateKey]*queuedUpdate{}
	}
	key := updateKey{m.Name, reporter}
	if previous := q.index[key]; previous != nil {
		previous.removed = true
	}
	u := &queuedUpdate{
		member:      m,
		reporter:    reporter,
		boot:        m.Boot,
		runID:       m.RunID,
		incarnation: m.Incarnation,
		state:       m.State,
	}
	q.index[key] = u
	q.appendTo(0, u)
}

func (q *updateQueue) appendTo(level int, u *queuedUpdate) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], u)
}

// isStale reports whether the member's state is no longer the one that was queued.
func (u *queuedUpdate) isStale() bool {
	m := u.member
	return u.removed || m.Boot != u.boot || m.RunID != u.runID || m.Incarnation != u.incarnation || m.State != u.state
}

func (q *updateQueue) remove(u *queuedUpdate) {
	key := updateKey{u.member.Name, u.reporter}
	if q.index[key] == u {
		delete(q.index, key)
	}
	u.removed = true
}

// removeAbout removes the updates about some members.
func (q *updateQueue) removeAbout(matches func(*member) bool) {
	for _, level := range q.levels {
		for _, u := range level {
			if matches(u.member) {
				q.remove(u)
			}
		}
	}
}

// maxTransmissions is how often each update is sent within the region.
func (v *View) maxTransmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(v.localRegion.live)+2))))
}

// updateFill is one datagram that is being filled up with updates.
type updateFill struct {
	message          *Message
	size             int  // bytes so far
	likelyLost       bool // the receiver does not seem to hear this member
	maxTransmissions int

	included map[string]bool // names of members with an update in the message
	full     bool            // an update did not fit
	sent     []*queuedUpdate // that go to the next level
}

// add puts an update into the message. It reports false if the member has one there already, or the message is full.
func (f *updateFill) add(v *View, u *queuedUpdate) bool {
	if f.included[u.member.Name] {
		return false
	}
	size := u.member.size() + len(u.reporter)
	if f.size+size > maxDatagramBytes {
		f.full = true
		return false
	}
	r := v.outgoingRecord(u.member)
	if u.reporter != "" {
		r.Reporter = u.reporter
	}
	f.message.Updates = append(f.message.Updates, r)
	f.included[u.member.Name] = true
	f.size += size
	return true
}

// countTransmission counts that an update was sent, and reports whether it was sent often enough.
func (f *updateFill) countTransmission(u *queuedUpdate) bool {
	if f.likelyLost {
		u.lost++
	} else {
		u.sent++
	}
	return u.sent >= f.maxTransmissions || u.lost >= lostTransmissionFactor*f.maxTransmissions
}

// fill adds updates to a datagram as long as they fit, the least often sent first.
func (q *updateQueue) fill(v *View, f *updateFill) {
	if q.empty() {
		return
	}
	f.included = make(map[string]bool, len(f.message.Updates))
	for i := range f.message.Updates {
		f.included[f.message.Updates[i].Name] = true
	}
	for i := range q.levels {
		q.levels[i] = q.fillFrom(v, q.levels[i], f)
		if f.full {
			break
		}
	}
	for _, u := range f.sent {
		q.appendTo(u.sent, u)
	}
}

// fillFrom adds the updates of one level, and returns those that stay in it.
func (q *updateQueue) fillFrom(v *View, level []*queuedUpdate, f *updateFill) []*queuedUpdate {
	remaining := level[:0]
	for i, u := range level {
		if f.full {
			remaining = append(remaining, level[i:]...)
			break
		}
		if u.isStale() {
			q.remove(u)
			continue
		}
		if !f.add(v, u) {
			remaining = append(remaining, u)
			continue
		}
		switch {
		case f.countTransmission(u):
			q.remove(u)
		case f.likelyLost:
			remaining = append(remaining, u)
		default:
			f.sent = append(f.sent, u)
		}
	}
	clear(level[len(remaining):])
	return remaining
}

// queueUpdate queues a member's state for its own region, and, if the member is of that region, for the regions that
// this member watches. A suspicion stays in the region; its end does not.
func (v *View) queueUpdate(m *member, reporter string) {
	v.updates.put(m, reporter)
	if v.isRemote(m) || m.State == Suspect {
		return
	}
	for _, r := range v.sortedRegions {
		if r.watched && !r.reportedUnreachable && r != v.localRegion {
			r.updates.put(m, "")
		}
	}
}

// announce gossips a change of a member's record that this member made itself.
func (v *View) announce(m *member) {
	v.updateDigest(m)
	v.queueUpdate(m, "")
	v.saveSoon()
}

// gossipDue sends updates to a few members, besides what probes carry: to some whose datagrams came last, so that
// updates find a way where most members can't hear most others, and to random ones.
func (v *View) gossipDue() {
	if v.updates.empty() || v.now < v.gossipAt {
		return
	}
	v.gossipAt = v.now + gossipInterval
	receivers := map[string]bool{}
	gossip := func(m *member) {
		if m.list != listLive || receivers[m.Name] || len(receivers) >= gossipFanout || v.updates.empty() {
			return
		}
		receivers[m.Name] = true
		v.sendToMember(m, &Message{Kind: Gossip}, reserveForProbes, unlessAlive(m))
	}
	for _, i := range v.rng.Perm(len(v.recentSenders)) {
		m := v.members[v.recentSenders[i]]
		if len(receivers) < gossipFanout-1 && m != nil && !m.unresponsive && v.now-m.receivedAt < recentSenderAge {
			gossip(m)
		}
	}
	for _, m := range v.sample(v.localRegion.live, gossipFanout, func(m *member) bool { return !m.unresponsive }) {
		gossip(m)
	}
	// It may be this member that can't receive.
	for _, m := range v.sample(v.localRegion.live, 1, func(m *member) bool { return m.unresponsive }) {
		gossip(m)
	}
}

// recordSender moves a member of this region to the front of the recent senders.
func (v *View) recordSender(m *member) {
	m.receivedAt = v.now
	m.unresponsive = false
	if v.isRemote(m) {
		return
	}
	at := 0
	for at < len(v.recentSenders) && v.recentSenders[at] != m.Name {
		at++
	}
	if at == len(v.recentSenders) {
		if at < maxRecentSenders {
			v.recentSenders = append(v.recentSenders, "")
		} else {
			at-- // the oldest one is forgotten
		}
	}
	copy(v.recentSenders[1:at+1], v.recentSenders[:at])
	v.recentSenders[0] = m.Name
}
