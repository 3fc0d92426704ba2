package membership

import "time"

// Members are the records of all known members, this one included, by name, as the daemon and its operators should see
// them: a member that can't be reached, since its region can't or this member is isolated, is dead. Ages are as of the
// last step.
func (v *View) Members() []Record { return v.records(v.effectiveRecord) }

// Records are the same without regard to reachability: what another process continues from.
func (v *View) Records() []Record { return v.records(v.outgoingRecord) }

func (v *View) records(recordOf func(*member) Record) []Record {
	all := make([]Record, 0, len(v.sortedNames))
	for _, name := range v.sortedNames {
		all = append(all, recordOf(v.members[name]))
	}
	return all
}

// outgoingRecord is a member's record as it is sent to others.
func (v *View) outgoingRecord(m *member) Record {
	r := m.Record
	if r.State >= Dead {
		r.AgeSeconds = ageSeconds(v.now - m.diedAt)
	}
	return r
}

// effectiveRecord is a member's record as the daemon and its operators should see it.
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

// Addr is the address of a member; empty: it is not known.
func (v *View) Addr(name string) string {
	if name == v.self.Name {
		return v.self.Addr
	}
	if m := v.members[name]; m != nil {
		return m.Addr
	}
	return ""
}

// Since is when a member's present state, as Members shows it, began in this view; 0: the member is not known.
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

// DatagramNumber is the number of the last datagram sent. A process that takes over continues from it.
func (v *View) DatagramNumber() uint64 { return v.datagramNumber }

// Uptime is how long this process, with those that it took over from, has run.
func (v *View) Uptime() time.Duration { return v.now - v.self.stateSince + v.settings.Uptime }

// Local is this member's record.
func (v *View) Local() Record { return v.self.Record }

// Digest is a digest of the view: two members with the same digest have the same records.
func (v *View) Digest() uint64 { return v.digest }

// Health is Lifeguard's local health: 0 where this member receives all that it should, and more, up to 8, where it is
// slow or badly connected.
func (v *View) Health() int { return v.localHealth }

// Yields reports whether another process keeps this member's name, so that this one takes no part in the protocol.
func (v *View) Yields() bool { return v.yielding }

// OwnsName reports whether this member has its name for itself, as far as it can know: it has joined the fleet, or
// tried to for a while, and no other process is known by the name.
func (v *View) OwnsName() bool {
	if v.yielding || v.nameClaim.dueAt != 0 {
		return false
	}
	return v.joined || v.contacted || v.now-v.self.stateSince > yieldCheckInterval
}

// Joined reports whether this process has joined the fleet, or knows of nobody to join.
func (v *View) Joined() bool { return v.joined }

// Traffic counts what was sent and received so far.
func (v *View) Traffic() Traffic { return v.traffic }

// Size is the number of balancers that share the servers.
func (v *View) Size() Size { return v.sizes.reported }

// Isolated reports whether no member is heard from.
func (v *View) Isolated() bool { return v.isolated }

// HasLeft reports whether the leave has been gossiped as often as it should be.
func (v *View) HasLeft() bool { return v.isLeaving && v.leaveRoundsLeft == 0 }
