package membership

import "time"

// merge takes in what another tells of a member. Records of one name are ordered, and the newest holds, so that
// the order in which they come does not matter; but a name that a living process holds goes to another process at
// another address only once that one has made sure that the first is gone.
func (v *View) merge(r Record, why string) {
	if r.check() != nil {
		return
	}
	if r.Name == v.settings.Name {
		v.onOwnRecord(r)
		return
	}
	m := v.members[r.Name]
	if m != nil && r.RunID == m.RunID && r.Region == "" { // passed on by one that knows no regions
		r.Region = m.Region
	}
	if r = v.normalize(r); m == nil {
		if r.State == Left && time.Duration(r.AgeSeconds)*time.Second >= leftRetention || len(v.members) >= v.settings.MaxMembers {
			return
		}
		m = &member{stateSince: v.now, receivedAt: -never, ackAt: -never, nameHash: nameHash(r.Name)}
		v.members[r.Name] = m
		v.insertName(r.Name)
		v.accept(m, r, why, true)
		return
	}
	switch {
	case r.Boot == m.Boot && r.RunID == m.RunID && r.Incarnation == m.Incarnation && r.State == m.State:
		if r.State == Suspect && m.suspicion != nil {
			v.addReporter(m, r.Reporter)
		}
		if len(r.Region)+len(r.UnreachableRegions) > len(m.Region)+len(m.UnreachableRegions) { // what one that knows no regions has left out
			r.Reporter, r.AgeSeconds = m.Reporter, m.AgeSeconds
			v.setRecord(m, r, why, false)
		}
	case r.State == Dead && v.isRemoteRegion(r.Region) && m.State <= Suspect && r.RunID == m.RunID && v.now-m.lastConfirmed() < v.settings.MinSuspicion:
		// Those near it don't hear it, this member does: it is told, and refutes.
		v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, reserveForProbes)
	case r.State == Dead && m.State <= Suspect && r.RunID == m.RunID && v.now-m.lastConfirmed() < v.settings.MinSuspicion:
		// This member has just heard it itself.
		r.State, r.AgeSeconds = Suspect, 0
		v.merge(r, why)
	case !r.newer(&m.Record):
	case m.State <= Suspect && r.State <= Suspect && r.RunID != m.RunID && r.Addr != m.Addr && !r.NameVerified:
		if v.now >= m.nextConflictNotice { // its holder is told, and settles it
			m.nextConflictNotice = v.now + time.Second
			v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, reserveForProbes)
		}
	default:
		v.accept(m, r, why, false)
	}
}

// accept replaces what is known of a member, and passes it on.
func (v *View) accept(m *member, r Record, why string, fresh bool) {
	if r.State < Dead {
		r.AgeSeconds = 0
	}
	if r.RunID != m.RunID || r.Boot != m.Boot {
		m.highestNumber, m.refutedSuspicions, m.noSuspicionBefore, m.lastHelper, m.receivedAt, m.ackAt, m.unresponsive, m.roundTrip = 0, 0, 0, "", -never, -never, false, roundTrip{}
	}
	v.setRecord(m, r, why, fresh)
	if r.State == Suspect && m.suspicion != nil && r.Reporter != "" && r.Reporter != m.Name {
		m.suspicion.reporters = append(m.suspicion.reporters[:0], r.Reporter)
		v.suspicionsAt = min(v.suspicionsAt, m.suspicion.startedAt+v.suspicionTimeout(m))
	}
	by := ""
	if r.State == Suspect {
		by = r.Reporter
	}
	v.queueUpdate(m, by)
}

// lastConfirmed is when a member of this life was last known to be there by more than hearsay. never is half of what a
// Duration holds, so that differences fit.
func (m *member) lastConfirmed() time.Duration { return max(m.receivedAt, m.ackAt) }

// changeState changes a member's state by this member's own word.
func (v *View) changeState(m *member, r Record, why string) { v.setRecord(m, r, why, false) }

// setRecord is where a member's record changes, and nowhere else but for this one's own.
func (v *View) setRecord(m *member, r Record, why string, fresh bool) {
	was, wasShown := m.Record, m.effectiveState()
	if !fresh {
		v.sizes.add(m, -1)
	}
	m.Record = r
	v.updateDigest(m)
	v.updateLists(m)
	v.indexAddr(m, was.Addr)
	m.unreachable = v.isUnreachable(m)
	v.sizes.add(m, 1)
	if changed := fresh || was.State != r.State || was.Boot != r.Boot || was.RunID != r.RunID; changed {
		m.stateSince = v.now
		if r.State >= Dead {
			m.diedAt = v.now - time.Duration(r.AgeSeconds)*time.Second
		}
	}
	if s := m.suspicion; s != nil && (r.State != Suspect || r.Incarnation != was.Incarnation || r.RunID != was.RunID) {
		m.suspicion = nil
		v.suspects = swapRemove(v.suspects, m)
		if r.State == Alive {
			v.suspicionRefuted(m, s)
		}
	}
	if r.State == Suspect && m.suspicion == nil {
		m.suspicion = &suspicion{startedAt: v.now}
		v.suspects = append(v.suspects, m)
		v.suspicionsAt = min(v.suspicionsAt, v.now+v.minSuspicion())
	}
	if !fresh && was.State == Dead && r.State <= Suspect && (!v.isRemote(m) || m.region.watched) {
		v.exchange.requestWith(v, m.Addr) // a link is back: there will be more to tell
	}
	if fresh || wasShown != m.effectiveState() || was.RunID != r.RunID || was.Boot != r.Boot || was.Addr != r.Addr {
		v.emit(MemberChanged{Record: v.effectiveRecord(m), Previous: wasShown, FirstSeen: fresh, Reason: why})
	}
	v.saveSoon()
}

// indexAddr keeps which addresses are far, and has watchers found anew where what they say has changed.
func (v *View) indexAddr(m *member, was string) {
	if was != m.Addr {
		delete(v.remoteAddrs, was)
	}
	if v.isRemote(m) {
		v.remoteAddrs[m.Addr] = m.region
	} else {
		delete(v.remoteAddrs, m.Addr)
		v.regionsCheckAt = v.now
	}
}

func swapRemove(all []*member, m *member) []*member {
	for i, o := range all {
		if o == m {
			all[i] = all[len(all)-1]
			return all[:len(all)-1]
		}
	}
	return all
}

// onLocalInfo takes what the daemon tells of itself.
func (v *View) onLocalInfo(e LocalInfo) {
	if len(e.Metadata) > MaxMetadataBytes || e.Instances < 0 || e.Balancers < 0 {
		return
	}
	if int(v.self.Instances) == e.Instances && int(v.self.Balancers) == e.Balancers && string(v.self.Metadata) == string(e.Metadata) {
		return
	}
	v.sizes.add(v.self, -1)
	v.self.Instances, v.self.Balancers, v.self.Metadata = uint32(e.Instances), uint32(e.Balancers), e.Metadata
	v.self.Incarnation++
	v.sizes.add(v.self, 1)
	v.announce(v.self)
}

// leave says to all that can be reached, a few times, that this member goes.
func (v *View) leave() {
	if v.isLeaving {
		return
	}
	v.isLeaving, v.leaveRounds, v.leaveRoundAt = true, leaveRounds, v.now
	v.self.State, v.self.Reporter, v.self.diedAt = Left, v.settings.Name, v.now
	if v.yielding { // nobody knows of it
		v.leaveRounds = 0
	}
	v.updateDigest(v.self)
	v.queueUpdate(v.self, "")
	v.emit(SaveView{})
}

const (
	leaveRounds   = 3
	leaveFanout   = 32 // members each time
	leaveInterval = 60 * time.Millisecond
)

func (v *View) leaveDue() {
	if v.leaveRounds == 0 || v.now < v.leaveRoundAt {
		return
	}
	v.leaveRounds--
	v.leaveRoundAt = v.now + leaveInterval
	for _, m := range v.sample(v.localRegion.live, leaveFanout, func(*member) bool { return true }) {
		v.send(m.Addr, &Message{Kind: Gossip}, reserveNone, v.self)
	}
	for _, r := range v.sortedRegions { // those that are left of its region tell them too, if any are
		if r != v.localRegion && (r.watched || len(v.localRegion.live) == 0) {
			for _, m := range v.sample(r.live, 1, func(*member) bool { return true }) {
				v.send(m.Addr, &Message{Kind: Gossip}, reserveNone, v.self)
			}
		}
	}
}

// HasLeft reports whether all is said that a member says when it leaves.
func (v *View) HasLeft() bool { return v.isLeaving && v.leaveRounds == 0 }

// forgetMember is an operator's word that a dead member will not come back. If it does, it refutes that as any death.
func (v *View) forgetMember(name string) {
	if m := v.members[name]; m != nil && m.effectiveState() == Dead {
		r := m.Record
		r.State, r.Reporter, r.AgeSeconds = Left, v.settings.Name, 0
		v.changeState(m, r, "an operator said that it is gone")
		v.queueUpdate(m, "")
	}
}

// cleanupDue forgets who left long ago. The dead stay: silent is not gone, and what is shared among all rests on it.
func (v *View) cleanupDue() {
	if v.now < v.cleanupAt {
		return
	}
	v.cleanupAt = v.now + 10*time.Second
	for i := 0; i < len(v.sortedNames); i++ {
		if m := v.members[v.sortedNames[i]]; m.State == Left && m != v.self && v.now-m.diedAt >= leftRetention {
			v.digest ^= m.digest
			m.digest = 0
			v.updates.removeAbout(func(o *member) bool { return o == m })
			delete(v.members, m.Name)
			delete(v.remoteAddrs, m.Addr)
			v.removeName(m.Name)
			i--
			v.saveSoon()
		}
	}
}
