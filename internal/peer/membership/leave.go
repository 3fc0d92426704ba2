package membership

import "time"

const (
	// leaveRounds is how often a leave is gossiped, leaveFanout to how many members each time, and leaveInterval the
	// time between two rounds. Fewer lose a leave more often, and it looks like a crash; longer delays the shutdown.
	leaveRounds   = 3
	leaveFanout   = 32
	leaveInterval = 60 * time.Millisecond
	// cleanupInterval is the time between two looks for members that left long ago.
	cleanupInterval = 10 * time.Second
)

// onLocalInfo changes what this member reports about itself.
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

// leave begins to gossip that this member leaves.
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
	if v.yielding { // no other member knows of it
		v.leaveRoundsLeft = 0
	}
	v.updateDigest(v.self)
	v.queueUpdate(v.self, "")
	v.emit(SaveView{})
}

// leaveDue gossips the leave once more. Other regions learn it from this one's watchers, this member included if it is
// one; where nobody else is left in this region, they learn it directly.
func (v *View) leaveDue() {
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

// forgetMember takes an operator's statement that a dead member will not come back. If it does, it refutes that as any
// death.
func (v *View) forgetMember(name string) {
	m := v.members[name]
	if m == nil || m.effectiveState() != Dead {
		return
	}
	v.report(m, Left, reasonForgotten)
}

// cleanupDue forgets members that left long ago. Dead ones stay: they may run beyond a broken link, and the shares of
// limits count on them.
func (v *View) cleanupDue() {
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
		v.removeMember(m) // and its name: the next one takes this place
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
