package membership

import "math"

// updateQueue is what is told on with other messages, what was told least often first, each a number of times that grows
// with the logarithm of the fleet's size (SWIM, 4.1).
type updateQueue struct {
	levels [][]*queuedUpdate
	index  map[updateKey]*queuedUpdate
}

type updateKey struct{ name, reporter string }

type queuedUpdate struct {
	member      *member
	reporter    string // the accuser, of a suspicion
	boot        uint64
	runID       uint64
	incarnation uint32
	state       State
	sent        int
	lost        int // sent where it was most likely not heard
	removed     bool
}

func (n *updateQueue) empty() bool { return len(n.index) == 0 }

// put has a member's present state told. by names one of several accusers.
func (n *updateQueue) put(m *member, by string) {
	if n.index == nil {
		n.index = map[updateKey]*queuedUpdate{}
	}
	k := updateKey{m.Name, by}
	if old := n.index[k]; old != nil {
		old.removed = true
	}
	i := &queuedUpdate{member: m, reporter: by, boot: m.Boot, runID: m.RunID, incarnation: m.Incarnation, state: m.State}
	n.index[k] = i
	n.appendTo(0, i)
}

func (n *updateQueue) appendTo(level int, i *queuedUpdate) {
	for len(n.levels) <= level {
		n.levels = append(n.levels, nil)
	}
	n.levels[level] = append(n.levels[level], i)
}

// isStale reports whether an item has been overtaken.
func (i *queuedUpdate) isStale() bool {
	return i.removed || i.member.Boot != i.boot || i.member.RunID != i.runID || i.member.Incarnation != i.incarnation || i.member.State != i.state
}

func (n *updateQueue) remove(i *queuedUpdate) {
	k := updateKey{i.member.Name, i.reporter}
	if n.index[k] == i {
		delete(n.index, k)
	}
	i.removed = true
}

// removeAbout forgets what is said of some members.
func (n *updateQueue) removeAbout(of func(*member) bool) {
	for _, level := range n.levels {
		for _, i := range level {
			if of(i.member) {
				n.remove(i)
			}
		}
	}
}

// maxTransmissions is how often each news is told.
func (v *View) maxTransmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(v.localRegion.live)+2))))
}

// fill adds news to a datagram as long as there is room, and returns its new size.
func (n *updateQueue) fill(v *View, m *Message, size int, counts bool, most int) int {
	if n.empty() {
		return size
	}
	in := make(map[string]bool, len(m.Updates))
	for i := range m.Updates {
		in[m.Updates[i].Name] = true
	}
	var later []*queuedUpdate
	full := false
	for l := range n.levels {
		level := n.levels[l]
		keep := level[:0]
		for at, i := range level {
			if full {
				keep = append(keep, level[at:]...)
				break
			}
			if i.isStale() {
				n.remove(i)
				continue
			}
			need := i.member.size() + len(i.reporter)
			if in[i.member.Name] {
				keep = append(keep, i)
				continue
			}
			if size+need > maxDatagramBytes {
				full = true
				keep = append(keep, i)
				continue
			}
			r := v.outgoingRecord(i.member)
			if i.reporter != "" {
				r.Reporter = i.reporter
			}
			m.Updates = append(m.Updates, r)
			in[i.member.Name] = true
			size += need
			if counts {
				i.sent++
			} else {
				i.lost++
			}
			switch {
			case i.sent >= most || i.lost >= lostTransmissionFactor*most:
				n.remove(i)
			case counts:
				later = append(later, i)
			default:
				keep = append(keep, i)
			}
		}
		clear(level[len(keep):])
		n.levels[l] = keep
		if full {
			break
		}
	}
	for _, i := range later {
		n.appendTo(i.sent, i)
	}
	return size
}

// gossipDue passes news on to a few members by itself, besides what probes carry.
func (v *View) gossipDue() {
	if v.updates.empty() || v.now < v.gossipAt {
		return
	}
	v.gossipAt = v.now + gossipInterval
	told := map[string]bool{}
	tell := func(m *member) {
		if m != nil && m.list == listLive && !told[m.Name] && len(told) < gossipFanout && !v.updates.empty() {
			told[m.Name] = true
			v.sendToMember(m, &Message{Kind: Gossip}, reserveForProbes, unlessAlive(m))
		}
	}
	for _, i := range v.rng.Perm(len(v.recentSenders)) {
		if m := v.members[v.recentSenders[i]]; len(told) < gossipFanout-1 && m != nil && !m.unresponsive && v.now-m.receivedAt < recentSenderAge {
			tell(m)
		}
	}
	for _, m := range v.sample(v.localRegion.live, gossipFanout, func(m *member) bool { return !m.unresponsive }) {
		tell(m)
	}
	for _, m := range v.sample(v.localRegion.live, 1, func(m *member) bool { return m.unresponsive }) { // it may be this member that does not hear
		tell(m)
	}
}

// announce has something about a member told on.
func (v *View) announce(m *member) {
	v.updateDigest(m)
	v.queueUpdate(m, "")
	v.saveSoon()
}
