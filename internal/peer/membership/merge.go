package membership

import "time"

// recordChange describes the cause of a change of a member's record.
type recordChange struct {
	reason    string // for logs
	firstSeen bool   // the member was not in the view before
}

const (
	// conflictNoticeInterval is the minimum time between two notices to a member that another process uses its name.
	conflictNoticeInterval = time.Second
	// leftRetention is the time for which the record of a member that left is kept, so that an older update does not add
	// the member again.
	leftRetention = time.Hour
)

// merge merges a received record into the view. The newest record of a name wins, so that the order in which records
// arrive does not matter. There is one exception: the name of a live process passes to a process at another address
// only after that process has verified that the first one no longer runs.
func (v *View) merge(r Record, reason string) {
	if r.check() != nil {
		return
	}
	if r.Name == v.settings.Name {
		v.onOwnRecord(r)
		return
	}
	m := v.members[r.Name]
	if m != nil && r.RunID == m.RunID && r.Region == "" { // forwarded by a member of a version without regions
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
		// Members of its region declared it dead, but this member receives its datagrams: the record is sent to it, so that
		// it can refute it.
		v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, reserveForProbes)
	case r.State == Dead && v.contradictsDeath(m, &r):
		r.State = Suspect
		r.AgeSeconds = 0
		v.merge(r, reason)
	case !r.newer(&m.Record):
	case isUnverifiedClaim(m, &r):
		if v.now >= m.nextConflictNotice { // the holder of the name resolves the conflict
			m.nextConflictNotice = v.now + conflictNoticeInterval
			v.send(m.Addr, &Message{Kind: Gossip, Updates: []Record{r}}, reserveForProbes)
		}
	default:
		v.accept(m, r, recordChange{reason: reason})
	}
}

// addMember adds an unknown member, unless it left long ago or the view is full.
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

// isSameStateAs reports whether a record has the same process, incarnation and state as the member's own record.
func (m *member) isSameStateAs(r *Record) bool {
	return r.sameProcess(&m.Record) && r.Incarnation == m.Incarnation && r.State == m.State
}

// mergeSameState merges the parts of a record that may be new although its state is not: another reporter of a
// suspicion, and the regions, which members of versions without regions omit.
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

// contradictsDeath reports whether this member recently received a datagram or an ack from the process that a record
// declares dead.
func (v *View) contradictsDeath(m *member, r *Record) bool {
	return m.State <= Suspect && r.RunID == m.RunID && v.now-m.lastConfirmed() < v.settings.MinSuspicion
}

// isUnverifiedClaim reports whether a record belongs to another process that claims the name of a live member without
// having verified that the member no longer runs.
func isUnverifiedClaim(m *member, r *Record) bool {
	return m.State <= Suspect && r.State <= Suspect && r.RunID != m.RunID && r.Addr != m.Addr && !r.NameVerified
}

// accept replaces a member's record with a newer one, and gossips it.
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

// setRecord replaces a member's record and updates everything that depends on it. All changes of records go through
// setRecord, except those of the local member's own record.
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
		v.exchange.requestWith(v, m.Addr) // a link has been restored, so the views probably differ in more records
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

// indexAddr updates the index of addresses in other regions, and schedules a new selection of watchers if a member of
// this region changed. An address belongs to the member that last had it, but a member that is dead or has left does
// not take it from a live one.
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

// unindexAddr removes a member's address from the index, unless the address belongs to another member now.
func (v *View) unindexAddr(m *member, addr string) {
	if v.remoteOwners[addr] == m {
		delete(v.remoteAddrs, addr)
		delete(v.remoteOwners, addr)
	}
}
