package membership

import "time"

// recordChange says how a member's record comes to change.
type recordChange struct {
	reason    string // for logs
	firstSeen bool   // the member was not known before
}

const (
	// conflictNoticeInterval is the least time between two notices to a member that another process uses its name.
	conflictNoticeInterval = time.Second
	// leftRetention is how long a member that left is remembered: an older update must not bring it back.
	leftRetention = time.Hour
)

// merge takes another member's record into the view. Records of one name are ordered and the newest wins, so that the
// order in which they arrive does not matter. But the name of a live process passes to another process at another
// address only once that one has verified that the first is gone.
func (v *View) merge(r Record, reason string) {
	if r.check() != nil {
		return
	}
	if r.Name == v.settings.Name {
		v.onOwnRecord(r)
		return
	}
	m := v.members[r.Name]
	if m != nil && r.RunID == m.RunID && r.Region == "" { // relayed by a member of a version without regions
		r.Region = m.Region
	}
	r = v.withoutRemoteSuspicion(r)
	if m == nil {
		v.addMember(r, reason)
		return
	}
	switch {
	case m.isSameStateAs(&r):
		v.mergeSameState(m, r, reason)
	case r.State == Dead && v.isRemoteRegion(r.Region) && v.contradictsDeath(m, &r):
		// Members near it don't hear it, but this one does: it receives the record, and refutes.
		v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, reserveForProbes)
	case r.State == Dead && v.contradictsDeath(m, &r):
		r.State = Suspect
		r.AgeSeconds = 0
		v.merge(r, reason)
	case !r.newer(&m.Record):
	case isUnverifiedClaim(m, &r):
		if v.now >= m.nextConflictNotice { // the holder of the name settles it
			m.nextConflictNotice = v.now + conflictNoticeInterval
			v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, reserveForProbes)
		}
	default:
		v.accept(m, r, recordChange{reason: reason})
	}
}

// addMember adds a member that was not known, unless it left long ago or there are too many.
func (v *View) addMember(r Record, reason string) {
	leftLongAgo := r.State == Left && time.Duration(r.AgeSeconds)*time.Second >= leftRetention
	if leftLongAgo || len(v.members) >= v.settings.MaxMembers {
		return
	}
	m := &member{stateSince: v.now, receivedAt: -never, ackAt: -never, nameHash: nameHash64(r.Name)}
	v.members[r.Name] = m
	v.insertName(r.Name)
	v.accept(m, r, recordChange{reason: reason, firstSeen: true})
}

// isSameStateAs reports whether a record says of a member what is known.
func (m *member) isSameStateAs(r *Record) bool {
	return r.sameProcess(&m.Record) && r.Incarnation == m.Incarnation && r.State == m.State
}

// mergeSameState takes from a record what may be new in it although the state is not: another reporter of a suspicion,
// and the regions, which members of versions without them leave out.
func (v *View) mergeSameState(m *member, r Record, reason string) {
	if r.State == Suspect && m.suspicion != nil {
		v.addReporter(m, r.Reporter)
	}
	if len(r.Region)+len(r.UnreachableRegions) > len(m.Region)+len(m.UnreachableRegions) {
		r.Reporter = m.Reporter
		r.AgeSeconds = m.AgeSeconds
		v.setRecord(m, r, recordChange{reason: reason})
	}
}

// contradictsDeath reports whether this member has just heard from the process that a record declares dead.
func (v *View) contradictsDeath(m *member, r *Record) bool {
	return m.State <= Suspect && r.RunID == m.RunID && v.now-m.lastConfirmed() < v.settings.MinSuspicion
}

// isUnverifiedClaim reports whether a record is of another process that claims the name of a live member, and has not
// verified that this one is gone.
func isUnverifiedClaim(m *member, r *Record) bool {
	return m.State <= Suspect && r.State <= Suspect && r.RunID != m.RunID && r.Addr != m.Addr && !r.NameVerified
}

// accept replaces a member's record by a newer one, and gossips it.
func (v *View) accept(m *member, r Record, change recordChange) {
	if r.State < Dead {
		r.AgeSeconds = 0
	}
	if !r.sameProcess(&m.Record) {
		m.forgetProcess()
	}
	v.setRecord(m, r, change)
	if r.State == Suspect && m.suspicion != nil && r.Reporter != "" && r.Reporter != m.Name {
		m.suspicion.reporters = append(m.suspicion.reporters[:0], r.Reporter)
		v.suspicionsAt = min(v.suspicionsAt, m.suspicion.startedAt+v.suspicionTimeout(m))
	}
	reporter := ""
	if r.State == Suspect {
		reporter = r.Reporter
	}
	v.queueUpdate(m, reporter)
}

// setRecord is where every record but this member's own changes, with all that depends on it.
func (v *View) setRecord(m *member, r Record, change recordChange) {
	previous := m.Record
	previousState := m.effectiveState()
	if !change.firstSeen {
		v.sizes.remove(m)
	}
	m.Record = r
	v.updateDigest(m)
	v.updateLists(m)
	v.indexAddr(m, previous.Addr)
	m.unreachable = v.isUnreachable(m)
	v.sizes.add(m)
	sameProcess := r.sameProcess(&previous)
	if change.firstSeen || previous.State != r.State || !sameProcess {
		m.stateSince = v.now
		if r.State >= Dead {
			m.diedAt = v.now - time.Duration(r.AgeSeconds)*time.Second
		}
	}
	v.updateSuspicion(m, &previous)
	if !change.firstSeen && previous.State == Dead && r.State <= Suspect && (!v.isRemote(m) || m.region.watched) {
		v.exchange.requestWith(v, m.Addr) // a link works again: there is more to learn
	}
	if change.firstSeen || previousState != m.effectiveState() || !sameProcess || previous.Addr != r.Addr {
		v.emit(MemberChanged{
			Record:    v.effectiveRecord(m),
			Previous:  previousState,
			FirstSeen: change.firstSeen,
			Reason:    change.reason,
		})
	}
	v.saveSoon()
}

// indexAddr keeps which addresses are of other regions, and has watchers selected anew where this region changes. An
// address belongs to the member that was last known there; one that is dead or has left does not take it from one that
// runs.
func (v *View) indexAddr(m *member, previousAddr string) {
	if previousAddr != m.Addr {
		v.unindexAddr(m, previousAddr)
	}
	if !v.isRemote(m) {
		v.regionsCheckAt = v.now
	}
	owner := v.remoteOwners[m.Addr]
	if owner != nil && owner != m && owner.State <= Suspect && m.State > Suspect {
		return
	}
	if v.isRemote(m) {
		v.remoteAddrs[m.Addr] = m.region
		v.remoteOwners[m.Addr] = m
		return
	}
	delete(v.remoteAddrs, m.Addr)
	delete(v.remoteOwners, m.Addr)
}

// unindexAddr takes an address out, unless it is another member's by now.
func (v *View) unindexAddr(m *member, addr string) {
	if v.remoteOwners[addr] == m {
		delete(v.remoteAddrs, addr)
		delete(v.remoteOwners, addr)
	}
}
