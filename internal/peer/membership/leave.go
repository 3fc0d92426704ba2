package membership

import "time"

const (
	// leaveRounds is the number of rounds in which a leave is gossiped, leaveFanout the number of members in each
	// round, and leaveInterval the time between two rounds. With fewer messages a leave is lost more often and then
	// looks like a crash; a longer interval delays the shutdown.
	leaveRounds   = 3
	leaveFanout   = 32
	leaveInterval = 60 * time.Millisecond
	// cleanupInterval is the time between two checks for members that left long ago.
	cleanupInterval = 10 * time.Second
)

// onLocalInfo changes the fields of the local member's record that the daemon sets.
func (v *View) onLocalInfo(e LocalInfo) {
	if len(e.Metadata) > MaxMetadataBytes || e.Instances < 0 || e.Balancers < 0 {
		return
	}
	own := v.self
	if int(own.Instances) == e.Instances && int(own.Balancers) == e.Balancers && string(own.Metadata) == string(e.Metadata) {
		return
	}
	v.sizes.remove(own)
	own.Instances = uint32(e.Instances)
	own.Balancers = uint32(e.Balancers)
	own.Metadata = e.Metadata
	own.Incarnation++
	v.sizes.add(own)
	v.announce(own)
}

// leave starts gossiping that this member leaves.
func (v *View) leave() {
	if v.isLeaving {
		return
	}
	v.isLeaving = true
	v.leaveRoundsLeft = leaveRounds
	v.leaveRoundAt = v.now
	v.self.State = Left
	v.self.Reporter = v.settings.Name
	v.self.diedAt = v.now
	if v.yielding { // other members have no record of this process
		v.leaveRoundsLeft = 0
	}
	v.updateDigest(v.self)
	v.queueUpdate(v.self, "")
	v.emit(SaveView{})
}

// runLeave gossips the leave in the next round. Other regions receive it from this region's watchers, which may
// include this member. If there is no other live member in this region, this member sends it to them itself.
func (v *View) runLeave() {
	if v.leaveRoundsLeft == 0 || v.now < v.leaveRoundAt {
		return
	}
	v.leaveRoundsLeft--
	v.leaveRoundAt = v.now + leaveInterval
	v.gossipLeave(v.localRegion.live, leaveFanout)
	for _, r := range v.sortedRegions {
		if r != v.localRegion && (r.watched || len(v.localRegion.live) == 0) {
			v.gossipLeave(r.live, 1)
		}
	}
}

func (v *View) gossipLeave(members []*member, fanout int) {
	for _, m := range v.sample(members, fanout, anyMember) {
		v.send(m.Addr, &Message{Kind: Gossip}, reserveNone, v.self)
	}
}

// forgetMember marks a dead member as left because an operator declared it permanently removed. If the member returns,
// it refutes that in the same way as a death.
func (v *View) forgetMember(name string) {
	m := v.members[name]
	if m == nil || m.effectiveState() != Dead {
		return
	}
	v.reportState(m, Left, reasonForgotten)
}

// removeLongLeft removes members that left long ago. Dead members are kept: they may still run behind a broken link,
// and limits are divided among them too.
func (v *View) removeLongLeft() {
	if v.now < v.cleanupAt {
		return
	}
	v.cleanupAt = v.now + cleanupInterval
	for i := 0; i < len(v.sortedNames); {
		m := v.members[v.sortedNames[i]]
		if m.State != Left || m == v.self || v.now-m.diedAt < leftRetention {
			i++
			continue
		}
		v.removeMember(m) // also removes its name from sortedNames, so i now is the next one
	}
}

func (v *View) removeMember(m *member) {
	v.digest ^= m.digest
	m.digest = 0
	v.updates.removeAbout(func(other *member) bool { return other == m })
	delete(v.members, m.Name)
	v.unindexAddr(m, m.Addr)
	v.removeName(m.Name)
	v.saveSoon()
}
