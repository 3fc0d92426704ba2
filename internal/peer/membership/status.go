package membership

import "time"

// Members returns the records of all members, the local one included, by name, as shown to the daemon and its
// operators: members that can't be reached, because their region is unreachable or this member is isolated, are shown
// as dead. Ages are as of the last step.
func (v *View) Members() []Record { return v.records(v.effectiveRecord) }

// Records returns the records of all members, without regard to reachability. Another process can continue from them.
func (v *View) Records() []Record { return v.records(v.outgoingRecord) }

func (v *View) records(recordOf func(*member) Record) []Record {
	all := make([]Record, 0, len(v.sortedNames))
	for _, name := range v.sortedNames {
		all = append(all, recordOf(v.members[name]))
	}
	return all
}

// outgoingRecord returns a member's record as it is sent to other members.
func (v *View) outgoingRecord(m *member) Record {
	r := m.Record
	if r.State >= Dead {
		r.AgeSeconds = ageSeconds(v.now - m.diedAt)
	}
	return r
}

// effectiveRecord returns a member's record as shown to the daemon and its operators.
func (v *View) effectiveRecord(m *member) Record {
	r := v.outgoingRecord(m)
	if m.effectiveState() != m.State {
		r.State = Dead
		r.Reporter = ""
		r.AgeSeconds = ageSeconds(v.now - v.unreachableSince(m))
	}
	return r
}

func ageSeconds(age time.Duration) uint32 { return uint32(max(0, age) / time.Second) }

// Addr returns the address of a member, or "" if the member is not in the view.
func (v *View) Addr(name string) string {
	if name == v.self.Name {
		return v.self.Addr
	}
	if m := v.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Since returns when a member's current state, as Members shows it, began in this view. It returns 0 if the member is
// not in the view.
func (v *View) Since(name string) time.Duration {
	m := v.members[name]
	if m == nil {
		return 0
	}
	if m.effectiveState() != m.State {
		return v.unreachableSince(m)
	}
	return m.stateSince
}

// DatagramNumber returns the number of the last datagram sent. A successor continues from it.
func (v *View) DatagramNumber() uint64 { return v.datagramNumber }

// Uptime returns how long this process has run, including the predecessors that it took over from.
func (v *View) Uptime() time.Duration { return v.now - v.self.stateSince + v.settings.Uptime }

// Local returns the local member's record.
func (v *View) Local() Record { return v.self.Record }

// Digest returns a digest of the view: members with the same digest have the same records.
func (v *View) Digest() uint64 { return v.digest }

// Health returns Lifeguard's local health: 0 if this member receives all expected answers, and up to 8 if it is slow or
// badly connected.
func (v *View) Health() int { return v.localHealth }

// Yields reports whether another process keeps this member's name, so that this process does not take part in the
// protocol.
func (v *View) Yields() bool { return v.yielding }

// OwnsName reports whether this member has found no other process that uses its name, after it has joined the fleet or
// has run for yieldCheckInterval.
func (v *View) OwnsName() bool {
	if v.yielding || v.nameClaim.dueAt != 0 {
		return false
	}
	return v.joined || v.contacted || v.now-v.self.stateSince > yieldCheckInterval
}

// Joined reports whether this process has joined the fleet or has no addresses to join through.
func (v *View) Joined() bool { return v.joined }

// Traffic returns the counts of datagrams and bytes so far.
func (v *View) Traffic() Traffic { return v.traffic }

// BalancerCount returns the number of balancers that share the servers.
func (v *View) BalancerCount() BalancerCount { return v.sizes.reported }

// Isolated reports whether this member receives datagrams from no other member.
func (v *View) Isolated() bool { return v.isolated }

// HasLeft reports whether the leave has been gossiped in all of its rounds.
func (v *View) HasLeft() bool { return v.isLeaving && v.leaveRoundsLeft == 0 }
