package membership

import (
	"math"
	"time"
)

const (
	// retransmitFactor times the binary logarithm of the region's size is the number of times that each update is sent
	// (lambda in SWIM, section 4.1). A larger factor is more reliable under loss and costs more bytes.
	retransmitFactor = 3
	// lostTransmissionFactor times maxTransmissions is the number of transmissions to members that seem not to receive
	// this one's datagrams.
	lostTransmissionFactor = 3
	// gossipFanout is the number of members that receive updates in each gossip round, in addition to probes.
	gossipFanout = 3
	// gossipInterval is the time between two gossip rounds. A shorter interval spreads updates faster in smaller
	// datagrams.
	gossipInterval = 100 * time.Millisecond
	// maxRecentSenders is the number of members kept in View.recentSenders.
	maxRecentSenders = 8
	// recentSenderAge is the maximum age of a recent sender's last datagram. In fleets up to 15, every member that this
	// one can receive from probes it or answers it within that time.
	recentSenderAge = 3 * time.Second
)

// updateQueue holds the updates to gossip. Updates that were sent the fewest times are sent first.
type updateQueue struct {
	levels [][]*queuedUpdate // indexed by queuedUpdate.sent
	index  map[updateKey]*queuedUpdate
}

type updateKey struct{ name, reporter string }

// queuedUpdate identifies the state of a member when the update was queued. The record that is sent is the member's
// current one.
type queuedUpdate struct {
	member      *member
	reporter    string // reporter of a suspicion, which may have several; else empty
	boot        uint64
	runID       uint64
	incarnation uint32
	state       State
	sent        int  // number of times sent to members that seem to receive datagrams from this one
	lost        int  // number of times sent to members that seem not to
	removed     bool // replaced by a newer update, or sent often enough
}

func (q *updateQueue) empty() bool { return len(q.index) == 0 }

// put queues a member's current state. reporter is one of the reporters of a suspicion, else empty.
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

// isStale reports whether the update was removed or the member's state has changed since it was queued.
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

// removeAbout removes the updates about members that match.
func (q *updateQueue) removeAbout(matches func(*member) bool) {
	for _, level := range q.levels {
		for _, u := range level {
			if matches(u.member) {
				q.remove(u)
			}
		}
	}
}

// maxTransmissions returns the number of times that each update is sent within the region.
func (v *View) maxTransmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(v.localRegion.live)+2))))
}

// updateFill is a datagram that is being filled with updates.
type updateFill struct {
	message          *Message
	size             int  // current size in bytes
	likelyLost       bool // the receiver seems not to receive datagrams from this member
	maxTransmissions int

	included map[string]bool // names of members with an update in the message
	full     bool            // an update did not fit
	sent     []*queuedUpdate // updates to move to the next level
}

// add adds an update to the message. It reports false if the message already has an update of that member or is full.
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

// countTransmission counts a transmission of an update, and reports whether the update has been sent often enough.
func (f *updateFill) countTransmission(u *queuedUpdate) bool {
	if f.likelyLost {
		u.lost++
	} else {
		u.sent++
	}
	return u.sent >= f.maxTransmissions || u.lost >= lostTransmissionFactor*f.maxTransmissions
}

// fill adds updates to a datagram as long as they fit, starting with those that were sent the fewest times.
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

// fillFrom adds updates of one level to a datagram, and returns the updates that stay in the level.
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

// queueUpdate queues a member's state for gossip in this region and, if the member belongs to this region, also for the
// regions that this member watches. Suspicions are not sent to other regions, but their outcomes are.
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

// announce gossips a change of the record of the local member m.
func (v *View) announce(m *member) {
	v.updateDigest(m)
	v.queueUpdate(m, "")
	v.saveSoon()
}

// runGossip sends updates to a few members, in addition to those that probes carry. It selects recent senders, so that
// updates spread even if most pairs of members can't reach each other, and random members.
func (v *View) runGossip() {
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
	// Members that seem unresponsive are included as well, because this member itself may be unable to receive.
	for _, m := range v.sample(v.localRegion.live, 1, func(m *member) bool { return m.unresponsive }) {
		gossip(m)
	}
}

// recordSender records that a datagram of a member arrived. A member of this region moves to the front of the recent
// senders.
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
			at-- // drops the oldest sender
		}
	}
	copy(v.recentSenders[1:at+1], v.recentSenders[:at])
	v.recentSenders[0] = m.Name
}
