package membership

import (
	"slices"
	"time"
)

// member is what is known of another member, or of this one.
type member struct {
	Record
	digest     uint64        // its part in the view's digest
	nameHash   uint64        // of its rank as a watcher
	stateSince time.Duration // its present state, or its process, began in this view
	diedAt     time.Duration // it died or left: Record.AgeSeconds is computed from it

	// Lists that it is in.
	list        memberList
	listIndex   int // in View.live or View.dead
	region      *region
	regionIndex int  // in region.live or region.dead
	unreachable bool // it can't be reached, whatever its record says: see effectiveState

	// Of its present process; reset by forgetProcess.
	highestNumber     uint64        // of its datagrams
	receivedAt        time.Duration // its last datagram
	ackAt             time.Duration // it last answered this member, or a helper of it
	unresponsive      bool          // it has not answered a direct probe since its last datagram
	lastHelper        string        // through which it was last reached
	roundTrip         roundTrip     // by its answers
	refutedSuspicions int           // of this member's, one after another
	noSuspicionBefore time.Duration // this member does not suspect it before, since it refuted the last suspicions

	suspicion          *suspicion    // nil unless its state is Suspect
	nextConflictNotice time.Duration // it may be sent another record with its name
}

// memberList is the list that a member is in.
type memberList uint8

const (
	listNone memberList = iota // this member itself, and members that left
	listLive                   // View.live
	listDead                   // View.dead
)

// forgetProcess resets what was learned of a process of the member, where another process follows.
func (m *member) forgetProcess() {
	m.highestNumber = 0
	m.refutedSuspicions = 0
	m.noSuspicionBefore = 0
	m.lastHelper = ""
	m.receivedAt = -never
	m.ackAt = -never
	m.unresponsive = false
	m.roundTrip = roundTrip{}
}

// lastConfirmed is when the member's present process was last known to run by more than gossip.
func (m *member) lastConfirmed() time.Duration { return max(m.receivedAt, m.ackAt) }

// effectiveState is a member's state for all but the protocol: one that can't be reached is dead.
func (m *member) effectiveState() State {
	if m.unreachable && m.State <= Suspect {
		return Dead
	}
	return m.State
}

// isAlive is a filter for View.sample.
func isAlive(m *member) bool { return m.State == Alive }

// anyMember is a filter for View.sample.
func anyMember(*member) bool { return true }

// unlessAlive is the member, where its own state would be new to it, or nil.
func unlessAlive(m *member) *member {
	if m != nil && m.State != Alive {
		return m
	}
	return nil
}

// sample picks up to n random members of a list that a filter accepts. In long lists it draws with a bounded number
// of attempts, so it may find fewer than there are.
func (v *View) sample(list []*member, n int, accepts func(*member) bool) []*member {
	var picked []*member
	if len(list) <= 3*n {
		for _, i := range v.rng.Perm(len(list)) {
			if m := list[i]; len(picked) < n && accepts(m) {
				picked = append(picked, m)
			}
		}
		return picked
	}
	for range 6 * n {
		m := list[v.rng.IntN(len(list))]
		if slices.Contains(picked, m) || !accepts(m) {
			continue
		}
		picked = append(picked, m)
		if len(picked) == n {
			break
		}
	}
	return picked
}

// insertName adds to the sorted names.
func (v *View) insertName(name string) {
	i, _ := slices.BinarySearch(v.sortedNames, name)
	v.sortedNames = slices.Insert(v.sortedNames, i, name)
}

func (v *View) removeName(name string) {
	if i, ok := slices.BinarySearch(v.sortedNames, name); ok {
		v.sortedNames = slices.Delete(v.sortedNames, i, i+1)
	}
}

// updateDigest brings the view's digest up to a member's present record.
func (v *View) updateDigest(m *member) {
	v.digest ^= m.digest
	m.digest = recordDigest(&m.Record)
	v.digest ^= m.digest
}

// updateLists moves a member to the lists of its present state and region.
func (v *View) updateLists(m *member) {
	list := v.listFor(m)
	newRegion := v.localRegion
	if m != v.self {
		newRegion = v.regionNamed(m.Region)
	}
	if m.list == list && m.region == newRegion {
		return
	}
	v.regionsCheckAt = v.now
	switch m.list {
	case listLive:
		v.live = removeFromView(v.live, m)
		m.region.live = removeFromRegion(m.region.live, m)
	case listDead:
		v.dead = removeFromView(v.dead, m)
		m.region.dead = removeFromRegion(m.region.dead, m)
	}
	m.list = list
	m.region = newRegion
	switch list {
	case listLive:
		v.live = appendToView(v.live, m)
		newRegion.live = appendToRegion(newRegion.live, m)
	case listDead:
		v.dead = appendToView(v.dead, m)
		newRegion.dead = appendToRegion(newRegion.dead, m)
	}
}

func (v *View) listFor(m *member) memberList {
	switch {
	case m == v.self:
		return listNone
	case m.State <= Suspect:
		return listLive
	case m.State == Dead:
		return listDead
	}
	return listNone
}

func appendToView(list []*member, m *member) []*member {
	m.listIndex = len(list)
	return append(list, m)
}

func appendToRegion(list []*member, m *member) []*member {
	m.regionIndex = len(list)
	return append(list, m)
}

// removeFromView removes a member in constant time: the last one takes its place.
func removeFromView(list []*member, m *member) []*member {
	last := list[len(list)-1]
	list[m.listIndex] = last
	last.listIndex = m.listIndex
	return list[:len(list)-1]
}

// removeFromRegion is removeFromView for the lists of a region.
func removeFromRegion(list []*member, m *member) []*member {
	last := list[len(list)-1]
	list[m.regionIndex] = last
	last.regionIndex = m.regionIndex
	return list[:len(list)-1]
}
